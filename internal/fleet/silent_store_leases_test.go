package fleet_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A leader was gone for good while the store was silent. The next one took the last renewal for as late as
// its own first read after that, and waited for leases that had ended: tasks of a worker that was lost
// beside the leader did not run for over 7 s once the store answered again.
func TestLeaderGoneInSilenceOfStoreProlongsNoLease(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			runCluster(t, 870+seed, 6, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
				const tasks = 12
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
				time.Sleep(marginSettle)
				awaitRenewal(c)
				time.Sleep(100 * time.Millisecond) // all nodes have seen it
				setStoreFaults(c, fleettest.Silent)
				w := busyWorkers(c)[0]
				c.Workers.Kill(w)
				c.Kill(c.Leader())
				time.AfterFunc(entryLifetime, func() { c.Unlist(w) })
				time.Sleep(3500*time.Millisecond + time.Duration(seed)*100*time.Millisecond)
				setStoreFaults(c, fleettest.Healthy)
				answers := time.Now()
				for runningAll(c) < tasks {
					require.Less(t, time.Since(answers), calmBound)
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("all tasks run again %v after the store answers", time.Since(answers))
			})
		})
	}
}

// awaitRenewal waits until the leader has stored a renewal.
func awaitRenewal(c *fleettest.Cluster) {
	version := func() (newest uint64) {
		for _, row := range c.Store.Rows("vp-leader") {
			newest = max(newest, row.Version)
		}
		return newest
	}
	for before := version(); version() == before; {
		time.Sleep(time.Millisecond)
	}
}

// setStoreFaults sets the store's fault for all nodes.
func setStoreFaults(c *fleettest.Cluster, fault fleettest.Fault) {
	for _, m := range c.Nodes {
		if m.Up() {
			m.Store.SetFault(fault)
		}
	}
}
