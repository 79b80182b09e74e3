package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A worker's new lifetime had carried out an order for the former one and shortened its lease to its
// own limit, 10 s. A term that had heard from it handed the lead on; the next leader, which did not
// reach the worker, took the lease for a usual one and started the task elsewhere too early.
func TestLeaderAfterHandOverWaitsForLeaseOfAnsweredLifetime(t *testing.T) {
	for _, age := range []time.Duration{15 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond} {
		for _, listed := range []bool{true, false} {
			t.Run(fmt.Sprint(age, "/listed=", listed), func(t *testing.T) { runHandOverBesideNewLifetime(t, age, listed) })
		}
	}
}

// runHandOverBesideNewLifetime ends a leader just after a worker that has started again has carried out
// a start. The next leader hears from the worker and releases the lead at an age, as the worker is cut off.
func runHandOverBesideNewLifetime(t *testing.T, age time.Duration, listed bool) {
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 30 * time.Second, Needs: wideNeeds} }
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(415, 4, 3, long)
		c.Workers.LeaseMax, c.Workers.UnverifiedStarts = 10*time.Second, true
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		time.Sleep(10 * time.Second) // the clocks of all workers are ahead of that of a new lifetime
		w := restart(c, c.RunningWorkers()[0])
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, PerWorker: 1, Needs: wideNeeds, Estimate: 30 * time.Second}}})
		for c.Workers.RunCount(w) == 0 {
			time.Sleep(time.Millisecond)
		}
		former := c.Leader()
		c.Kill(former)
		if listed {
			c.List(w)
		}
		short := leaderBeside(c, former)
		time.Sleep(age)
		for _, m := range c.Nodes {
			if m.Up() {
				m.Workers.Cut(w, true)
			}
		}
		short.Node.Drain(t.Context())
		c.Kill(short)
		c.AddWorker("a9") // has room for the task of the worker that is cut off
		time.Sleep(12 * time.Second)
	})
}

// A leader released the lead before it had heard that a worker had started again and carried a start
// out. The next leader, which did not reach the worker, waited for leases of the usual length only. The
// new lifetime gets no such start any more.
func TestLeaderAfterReleaseWaitsForLeaseOfUnknownLifetime(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 30 * time.Second, Needs: wideNeeds} }
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(416, 3, 3, long)
		c.Workers.LeaseMax = 10 * time.Second
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		time.Sleep(10 * time.Second) // the clocks of all workers are ahead of that of a new lifetime
		w, former := restart(c, c.RunningWorkers()[0]), c.Leader()
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, PerWorker: 1, Needs: wideNeeds, Estimate: 30 * time.Second}}})
		for c.Checker.StartCount() < 2 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // all orders have arrived
		require.Zero(t, c.Workers.RunCount(w), "no start reaches a lifetime that has not reported")
		for _, m := range c.Nodes {
			m.Workers.Cut(w, true)
		}
		former.Node.Drain(t.Context())
		c.Kill(former)
		c.AddWorker("a9") // has room for the task of the worker that is cut off
		time.Sleep(12 * time.Second)
		require.Equal(t, 3, c.Checker.StartCount(), "each task starts once")
	})
}
