package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A worker's new lifetime carried out an order whose deadline, a time on the former lifetime's clock, it
// shortened to its own limit. It answered its leader once, which ended then. The next leader, which did
// not reach the worker, took the lease for a usual one and started the task elsewhere too early.
func TestNextLeaderWaitsForLeaseOfAnsweredLifetime(t *testing.T) { runLeaderLoss(t, true) }

// A next leader that found only the row of the former lifetime, and did not reach the worker, waited for
// the former leader's leases only. The new lifetime had carried out a start that was meant for the former
// one and shortened its lease to its own limit, 10 s. It gets no such start any more.
func TestNextLeaderWaitsForLeaseOfUnknownLifetime(t *testing.T) { runLeaderLoss(t, false) }

// runLeaderLoss plays the loss of a leader just after it has planned starts on a worker that has started
// again, and the cut of that worker. The leader has heard of the new lifetime, which has carried a start
// out, or not.
func runLeaderLoss(t *testing.T, heard bool) {
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 30 * time.Second, Needs: wideNeeds} }
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(414, 3, 3, long)
		c.Workers.LeaseMax = 10 * time.Second
		c.Workers.UnverifiedStarts = heard
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		time.Sleep(10 * time.Second) // the clocks of all workers are ahead of that of a new lifetime
		w := restart(c, c.RunningWorkers()[0])
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, PerWorker: 1, Needs: wideNeeds, Estimate: 30 * time.Second}}})
		for c.Workers.RunCount(w) == 0 && (heard || c.Checker.StartCount() < 2) {
			time.Sleep(time.Millisecond)
		}
		if heard {
			c.List(w)
			time.Sleep(150 * time.Millisecond) // the leader has heard of the new lifetime and stored its row
		} else {
			time.Sleep(20 * time.Millisecond) // all orders have arrived
			require.Zero(t, c.Workers.RunCount(w), "no start reaches a lifetime that has not reported")
		}
		c.Kill(c.Leader())
		for _, m := range c.Nodes {
			if m.Up() {
				m.Workers.Cut(w, true)
			}
		}
		c.AddWorker("a9") // has room for the task of the worker that is cut off
		time.Sleep(12 * time.Second)
		if !heard {
			require.Equal(t, 3, c.Checker.StartCount(), "each task starts once")
		}
	})
}

// The clock of a worker that had been idle for minutes was taken for later than it was, if it is slow
// as the contract allows. A lease from then on outlasted what the next leader waits for.
func TestNextLeaderWaitsForLeaseOfIdleWorkerWithSlowClock(t *testing.T) {
	t.Parallel()
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 30 * time.Second, Needs: wideNeeds} }
	for _, idle := range []time.Duration{50 * time.Second, 5 * time.Minute, 20 * time.Minute} {
		for _, rate := range []float64{0.98, 1} {
			prepare := func() *fleettest.Cluster {
				c := fleettest.NewCluster(432, 3, 3, long)
				c.Workers.LeaseMax = 10 * time.Second
				for _, w := range c.Fleet {
					c.Workers.SetClock(w, time.Hour, rate)
				}
				return c
			}
			runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
				time.Sleep(idle)
				w := c.RunningWorkers()[0]
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, PerWorker: 1, Needs: wideNeeds, Estimate: 30 * time.Second}}})
				for c.Checker.StartCount() < 3 {
					time.Sleep(time.Millisecond)
				}
				c.Kill(c.Leader())
				for _, m := range c.Nodes {
					if m.Up() {
						m.Workers.Cut(w, true)
					}
				}
				c.AddWorker("a9") // has room for the task of the worker that is cut off
				time.Sleep(12 * time.Second)
				require.Equal(t, 4, c.Checker.StartCount(), "the task starts elsewhere")
			})
		}
	}
}
