package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Guards against a pause between two watches that delays the campaigns of small hosts: of a leader that was
// lost in the middle of the pause, they saw the last renewal later.
func TestPausesOfSmallHostsDelayNoCampaign(t *testing.T) {
	const longest = 1900*time.Millisecond + 250*time.Millisecond + 760*time.Millisecond // without a renewal: timeout, jitter, delay of small hosts
	for i := range uint64(10) {
		runCluster(t, 980+i, 2, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
			setHostSizes(c, 110, 800)
			time.Sleep(time.Duration(i) * 70 * time.Millisecond)
			former := c.Leader()
			require.EqualValues(t, 800, former.MilliCPU)
			c.Kill(former)
			killed := time.Now()
			for c.Leader() == nil {
				time.Sleep(10 * time.Millisecond)
				require.Less(t, time.Since(killed), longest+100*time.Millisecond)
			}
		})
	}
}

// Each renewal of the leader woke every node of a fleet with one cell: half of all calls of the store.
func TestSmallHostsDoNotReadEachRenewal(t *testing.T) {
	const small, seconds = 20, 20
	shares := append([]int64{800}, make([]int64, small)...)
	for i := range small {
		shares[i+1] = 110
	}
	runCluster(t, 990, small+1, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		setHostSizes(c, shares...)
		before, _ := c.Store.Calls()
		time.Sleep(seconds * time.Second)
		reads, _ := c.Store.Calls()
		require.Less(t, float64(reads-before)/(small+1)/seconds, 3.0, "reads of a node in a second, operators' table included")
	})
}

// While the store refused calls, each node asked it for the renewals of every cell by a call of its own.
func TestReadsOfFailingStoreDoNotGrowWithCells(t *testing.T) {
	const nodes, seconds = 6, 4
	runInCells(t, 991, nodes, 6, 3, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Busy)
		}
		before, _ := c.Store.Calls()
		time.Sleep(seconds * time.Second)
		reads, _ := c.Store.Calls()
		require.Less(t, float64(reads-before)/nodes/seconds, 30.0, "reads of a node in a second, those of terms included")
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Healthy)
		}
		time.Sleep(settleTime)
		require.NotNil(t, c.Leader())
	})
}
