package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Jobs of a queue that the configuration had dropped waited for good after a change of leader.
func TestJobsOfDroppedQueueRunAfterChangeOfLeader(t *testing.T) {
	for name, cells := range map[string]int{"one cell": 1, "two cells": 2} {
		t.Run(name, func(t *testing.T) {
			prepare := func() *fleettest.Cluster {
				c := fleettest.NewCluster(480, 4, 4, shortTask)
				c.Cells = cells
				return c
			}
			runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
				const jobs = 4
				for _, dc := range []string{"dc0", "dc1", "dc2", "dc3"} {
					c.SetDataCentreOut(dc, true)
				}
				time.Sleep(time.Second)
				for i := range jobs {
					submit(t, c, jobID(i), twoSteps())
				}
				c.ConfigureEmpty(2)
				time.Sleep(time.Second)
				for _, m := range c.Nodes {
					c.Kill(m)
					c.Start(m)
				}
				time.Sleep(settleTime)
				for _, dc := range []string{"dc0", "dc1", "dc2", "dc3"} {
					c.SetDataCentreOut(dc, false)
				}
				waitAll(t, c, jobs, recoveryBound)
				for i := range jobs {
					require.Equal(t, 6, c.Checker.DoneTasks(jobID(i)))
				}
			})
		})
	}
}

// After a change of leader all earlier jobs waited 9 s for a worker although another one had answered
// at its address.
func TestWorkerWhoseAddressIsTakenDelaysNoOtherJob(t *testing.T) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		if n[:16] == fleet.TaskName(jobID(0)) {
			return lasting(n)
		}
		return shortTask(n)
	}
	runCluster(t, 481, 4, 4, tasks, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 4, PerWorker: 1, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2 * time.Second)
		former := c.Fleet[0]
		submit(t, c, jobID(1), twoSteps())
		c.Kill(c.Leader())
		c.Workers.Kill(former)
		c.Unlist(former)
		c.AddWorkerAt("x0", former.Info.Addr)
		killed := time.Now()
		waitState(t, c, jobID(1), fleet.StateCompleted, 20*time.Second)
		t.Logf("job done %v after the change of leader", time.Since(killed))
		require.Less(t, time.Since(killed), settleTime+3*time.Second, "two steps of a second, and a change of leader")
		time.Sleep(time.Second)
		require.Equal(t, 4, runningAll(c), "the lost task runs elsewhere")
	})
}

// Stated bounds of the gates whose usual event does not come.
const (
	// formerRunsBound is when the runs of a worker that nobody reaches are known to be over: the
	// reach of a lease after the last renewal, on a clock that is 2% slow.
	formerRunsBound = 9200 * time.Millisecond
	// leaseBound is the longest lease of a worker that falls silent, on a clock that is 2% slow.
	leaseBound = 5200 * time.Millisecond
	// unknownJobBound covers a watch, a pause and a read of the table.
	unknownJobBound = time.Second
	// recordTime covers two calls without an answer and a transaction, after which the next leader
	// knows the end of a worker's leases.
	recordTime = 3 * time.Second
	// gateSlack covers the calls without an answer, the transaction and the plan that follow.
	gateSlack = 2 * time.Second
)

// spreadSteps returns a job of two steps of a second each; the first has a task on each of four workers.
func spreadSteps() fleet.Spec {
	s := twoSteps()
	s.Steps[0].PerWorker = 1
	return s
}

func freeze(c *fleettest.Cluster, workers ...*fleettest.Worker) {
	for _, m := range c.Nodes {
		for _, w := range workers {
			m.Workers.Cut(w, true)
		}
	}
}

// silencedGates suppress, for good, the event that usually opens a gate of job 1. They return when
// that event would have come.
var silencedGates = map[string]struct {
	silence func(*testing.T, *fleettest.Cluster) time.Time
	bound   time.Duration
}{
	"former runs, worker frozen":             {formerRunsOf(1, false), formerRunsBound},
	"former runs, worker gone from the list": {formerRunsOf(1, true), formerRunsBound},
	"former runs, two changes of leader":     {formerRunsOf(2, false), formerRunsBound},
	"start without an answer, worker frozen": {func(t *testing.T, c *fleettest.Cluster) time.Time {
		freeze(c, c.Fleet...)
		submit(t, c, jobID(1), spreadSteps())
		time.Sleep(200 * time.Millisecond) // the starts have been sent
		for _, m := range c.Nodes {
			for _, w := range c.Fleet[1:] {
				m.Workers.Cut(w, false)
			}
		}
		return time.Now()
	}, leaseBound},
	"stop without an answer, worker frozen": {func(t *testing.T, c *fleettest.Cluster) time.Time {
		c.Workers.WithLock(func() { c.Fleet[0].Hang = true })
		submit(t, c, jobID(1), spreadSteps())
		time.Sleep(500 * time.Millisecond)
		c.Leader().Workers.SetOrderQueueTime(time.Hour)
		time.Sleep(4 * time.Second) // the run counts as hung and is being stopped
		freeze(c, c.Fleet[0])
		c.Leader().Workers.SetOrderQueueTime(0)
		return time.Now()
	}, leaseBound},
	"job unknown, notification and history lost": {func(t *testing.T, c *fleettest.Cluster) time.Time {
		for _, m := range c.Nodes {
			if m != c.Leader() {
				m.Peers.Cut(true)
				require.NoError(t, m.Node.Submit(t.Context(), c.Queue, jobID(1), spreadSteps()))
				break
			}
		}
		c.Store.Compact()
		return time.Now()
	}, unknownJobBound},
}

// formerRunsOf changes the leader a number of times while nobody reaches a worker that has runs.
func formerRunsOf(leaders int, unlisted bool) func(*testing.T, *fleettest.Cluster) time.Time {
	return func(t *testing.T, c *fleettest.Cluster) time.Time {
		begun := time.Now()
		freeze(c, c.Fleet[0])
		if unlisted {
			c.Unlist(c.Fleet[0])
		}
		submit(t, c, jobID(1), twoSteps())
		for n := range leaders {
			if n > 0 {
				time.Sleep(recordTime)
			}
			c.Kill(c.Leader())
			for c.Leader() == nil {
				time.Sleep(10 * time.Millisecond)
			}
		}
		return begun
	}
}

func TestGatesOpenWithoutTheirUsualEvents(t *testing.T) {
	for name, gate := range silencedGates {
		t.Run(name, func(t *testing.T) {
			tasks := func(n fleet.TaskName) fleettest.Task {
				if n[:16] == fleet.TaskName(jobID(0)) {
					return lasting(n)
				}
				return shortTask(n)
			}
			runCluster(t, 482, 6, 4, tasks, func(t *testing.T, c *fleettest.Cluster) {
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 4, PerWorker: 1, Needs: smallNeeds, Lasting: true}}})
				time.Sleep(2 * time.Second)
				begun := gate.silence(t, c)
				waitState(t, c, jobID(1), fleet.StateCompleted, time.Minute)
				t.Logf("done %v after the usual event was due", time.Since(begun))
				require.Less(t, time.Since(begun), gate.bound+2*time.Second+gateSlack)
			})
		})
	}
}

// A leader whose reads got no answer kept the lead for good, and nothing started.
func TestLeaderThatCannotReadTheStoreLeavesTheLead(t *testing.T) {
	runCluster(t, 483, 4, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.Kill(c.Leader())
		for c.Leader() == nil {
			time.Sleep(time.Millisecond)
		}
		begun, blind := time.Now(), c.Leader()
		blind.Store.SetReadLoss(1)
		for _, m := range c.Nodes {
			if m.Up() && m != blind {
				require.NoError(t, m.Node.Submit(t.Context(), c.Queue, jobID(0), twoSteps()))
				break
			}
		}
		for c.Checker.DoneTasks(jobID(0)) < 6 && time.Since(begun) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("done after %v", time.Since(begun))
		require.Less(t, time.Since(begun), recoveryBound, "with two steps of a second")
		require.NotEqual(t, blind, c.Leader())
	})
}
