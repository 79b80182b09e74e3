package fleet_test

import (
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A next leader that found only the row of the former lifetime, and did not reach the worker, waited for
// the former leader's leases only. The new lifetime had shortened its lease to its own limit, 10 s.
func TestNextLeaderWaitsForLeaseOfUnknownLifetime(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 30 * time.Second, Needs: wideNeeds} }
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(415, 3, 3, long)
		c.Workers.LeaseMax = 10 * time.Second
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		time.Sleep(10 * time.Second) // the clocks of all workers are ahead of that of a new lifetime
		w := restart(c, c.RunningWorkers()[0])
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, PerWorker: 1, Needs: wideNeeds, Estimate: 30 * time.Second}}})
		for c.Workers.RunCount(w) == 0 { // the leader does not hear of the new lifetime
			time.Sleep(time.Millisecond)
		}
		c.Kill(c.Leader())
		for _, m := range c.Nodes {
			if m.Up() {
				m.Workers.Cut(w, true)
			}
		}
		c.AddWorker("a9") // has room for a task of the worker that is cut off
		time.Sleep(12 * time.Second)
	})
}
