package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/usage"
)

// setHostSizes restarts all nodes with the given CPU limits, in thousandths of a core.
func setHostSizes(c *fleettest.Cluster, shares ...int64) {
	c.StopAll()
	for i, m := range c.Nodes {
		m.MilliCPU = shares[i]
	}
	c.StartAll()
	time.Sleep(settleTime)
}

func TestLargerHostLeads(t *testing.T) {
	runCluster(t, 70, 4, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		setHostSizes(c, 200, 200, 800, 200)
		large := c.Nodes[2]
		require.Same(t, large, c.Leader())
		for i := range 4 {
			submit(t, c, jobID(i), twoSteps())
		}
		time.Sleep(time.Second)
		c.Kill(large)
		time.Sleep(settleTime)
		require.NotNil(t, c.Leader(), "a small host leads while the large one is away")
		c.Start(large)
		time.Sleep(settleTime)
		require.Same(t, large, c.Leader())
		waitAll(t, c, 4, 30*time.Second)
		require.Equal(t, 24, c.Checker.StartCount(), "a change of leader starts nothing again")
	})
}

// A small host took the lead of a lost large one before other large hosts campaigned, and handed it on: a
// second change of leader, which delays starts and all that waits for leases of earlier leaders.
func TestLargeHostFollowsLostLargeLeader(t *testing.T) {
	for seed := range uint64(8) {
		runCluster(t, 960+seed, 7, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
			setHostSizes(c, 192, 800, 192, 192, 800, 192, 192)
			former := c.Leader()
			require.EqualValues(t, 800, former.MilliCPU)
			c.Kill(former)
			require.EqualValues(t, 800, leaderBeside(c, former).MilliCPU)
		})
	}
}

func TestHostsOfSimilarSizeKeepTheLead(t *testing.T) {
	runCluster(t, 71, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		setHostSizes(c, 800, 1100, 1000)
		leader := c.Leader()
		for range 10 {
			time.Sleep(time.Second)
			require.Same(t, leader, c.Leader())
		}
	})
}

// Larger hosts request leadership while the store is slow. The leader must keep it: no orders
// are given from the release until the next leader has read the tables, which takes long then.
func TestLeadIsNotHandedOverWhileStoreIsSlow(t *testing.T) {
	runCluster(t, 72, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		setHostSizes(c, 200, 200, 200)
		leader := c.Leader()
		submit(t, c, jobID(0), twoSteps())
		leader.Store.SetDelay(300 * time.Millisecond)
		time.Sleep(time.Second)
		var large *fleettest.Member
		for _, m := range c.Nodes {
			if m != leader {
				large = m
				c.Kill(m)
				m.MilliCPU = 800
				c.Start(m)
				m.Store.SetDelay(300 * time.Millisecond)
			}
		}
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			require.Same(t, leader, c.Leader())
		}
		for _, m := range c.Nodes {
			m.Store.SetDelay(0)
		}
		time.Sleep(settleTime)
		require.NotSame(t, leader, c.Leader())
		require.Equal(t, large.MilliCPU, c.Leader().MilliCPU)
		waitAll(t, c, 1, 30*time.Second)
	})
}

// A small host that was too slow to lead kept the lead while larger ones asked for it, since its transactions
// were slow, until it had no time left to renew.
func TestOverloadedHostHandsLeadOn(t *testing.T) {
	runCluster(t, 74, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		begun := time.Now()
		busy := func() usage.Total { return usage.Total{CPU: time.Since(begun)} }
		for _, m := range c.Nodes {
			m.Usage = busy
		}
		setHostSizes(c, 200, 200, 200)
		leader := c.Leader()
		submit(t, c, jobID(0), twoSteps())
		leader.Store.SetDelay(300 * time.Millisecond)
		time.Sleep(time.Second)
		for _, m := range c.Nodes {
			if m != leader {
				c.Kill(m)
				m.MilliCPU = 800
				c.Start(m)
			}
		}
		time.Sleep(settleTime)
		require.NotSame(t, leader, c.Leader())
		require.EqualValues(t, 800, c.Leader().MilliCPU)
		waitAll(t, c, 1, 30*time.Second)
	})
}

// The designated successor may die before it takes leadership. The other nodes must leave it
// only a short time before they campaign.
func TestSuccessorDies(t *testing.T) {
	runCluster(t, 73, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		setHostSizes(c, 200, 200, 200)
		large := c.Nodes[0]
		if c.Leader() == large {
			large = c.Nodes[1]
		}
		submit(t, c, jobID(0), twoSteps())
		c.Kill(large)
		large.MilliCPU = 800
		c.Start(large)
		for range 200 { // until the leader has released leadership, or the new one leads
			if c.Leader() == nil || c.Leader() == large {
				break
			}
			time.Sleep(time.Millisecond)
		}
		c.Kill(large)
		time.Sleep(settleTime)
		require.NotNil(t, c.Leader())
		waitAll(t, c, 1, 30*time.Second)
	})
}
