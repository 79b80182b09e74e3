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
					sendUnverifiedStarts(c)
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
				sendUnverifiedStarts(c)
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

// Starts without an answer were settled by answered stops, and the tasks were done at their next
// attempts. The workers started again, and the next lifetimes, which know of no stop, carried the late
// starts out before their entries were listed.
func TestSettledStartIsCarriedOutByNextLifetime(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			brief := func(fleet.TaskName) fleettest.Task {
				return fleettest.Task{Work: 100 * time.Millisecond, Needs: wideNeeds}
			}
			runCluster(t, 520+seed, 3, 4, brief, func(t *testing.T, c *fleettest.Cluster) {
				c.Workers.WithLock(func() { c.Workers.LateShare, c.Workers.LateToNext = 1, true })
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 8, Needs: wideNeeds, Estimate: 100 * time.Millisecond}}})
				time.Sleep(60 * time.Millisecond) // the starts are on their way
				c.Workers.WithLock(func() { c.Workers.LateShare = 0 })
				waitState(t, c, jobID(0), fleet.StateCompleted, 5*time.Second)
				for _, w := range c.RunningWorkers() {
					next := restart(c, w)
					time.AfterFunc(entryDelay, func() { c.List(next) })
				}
				time.Sleep(maxLateness)
			})
		})
	}
}
