package fleet_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// The rows that tell the next leader how long the leases of a new lifetime last left out that an order
// for the former lifetime may be carried out some seconds after the leader has heard of the new one. The
// leader itself waits for that.
func TestNextLeaderWaitsForLateOrderOnNextLifetime(t *testing.T) {
	for _, kill := range []bool{false, true} {
		for seed := range uint64(6) {
			t.Run("killed="+strconv.FormatBool(kill)+"/"+strconv.Itoa(int(seed)), func(t *testing.T) {
				long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 60 * time.Second, Needs: wideNeeds} }
				prepare := func() *fleettest.Cluster {
					c := fleettest.NewCluster(460+seed, 3, 3, long)
					c.Workers.LeaseMax = 10 * time.Second
					return c
				}
				runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
					time.Sleep(10 * time.Second) // the clocks of all workers are ahead of that of a new lifetime
					w := restart(c, c.RunningWorkers()[0])
					c.Workers.WithLock(func() { w.Late = true })
					submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, PerWorker: 1, Needs: wideNeeds, Estimate: 60 * time.Second}}})
					time.Sleep(200 * time.Millisecond) // the start is on its way
					for _, m := range c.Nodes {
						m.Workers.Cut(w, true)
					}
					c.Workers.WithLock(func() { w.Late = false })
					c.List(w)
					c.AddWorker("a9") // has room for the task of the worker that is cut off
					time.Sleep(1500 * time.Millisecond)
					if kill {
						c.Kill(c.Leader())
					}
					time.Sleep(26 * time.Second)
				})
			})
		}
	}
}

// An order for the former lifetime that the new one carried out late extended the lease of all that ran
// there by then. Once no run was in doubt, the leader did not wait for that.
func TestLateOrderExtendsLeasesOfNextLifetime(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 60 * time.Second, Needs: wideNeeds} }
			prepare := func() *fleettest.Cluster {
				c := fleettest.NewCluster(480+seed, 3, 1, long)
				c.Workers.LeaseMax = 10 * time.Second
				return c
			}
			runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
				time.Sleep(60 * time.Second) // the clocks of all workers are ahead of that of a new lifetime
				w := restart(c, c.RunningWorkers()[0])
				c.Workers.WithLock(func() { w.Late = true })
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: wideNeeds, Estimate: 60 * time.Second}}})
				time.Sleep(20 * time.Millisecond) // the start is on its way
				c.Workers.WithLock(func() { w.Late = false })
				c.List(w) // the leader stops the run in doubt and starts the task again
				for c.Workers.RunCount(w) == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(300 * time.Millisecond) // a report has listed it
				for _, m := range c.Nodes {
					m.Workers.Cut(w, true)
				}
				c.AddWorker("a9") // has room for the task of the worker that is cut off
				time.Sleep(26 * time.Second)
			})
		})
	}
}
