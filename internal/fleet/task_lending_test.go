package fleet_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// runningAll returns the number of runs on all workers.
func runningAll(c *fleettest.Cluster) int {
	n := 0
	for _, w := range c.AllWorkers() {
		n += c.Workers.RunCount(w)
	}
	return n
}

// lendOne starts a lasting job of two large tasks, kills one of its workers for good, waits
// until the lost task runs in the other cell, and calls test.
func lendOne(t *testing.T, seed uint64, test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	lendOneWith(t, seed, func(*fleettest.Cluster) {}, test)
}

// lendOneWith is like lendOne with a further fault at the time when the worker is lost.
func lendOneWith(t *testing.T, seed uint64, fault func(*fleettest.Cluster), test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	lendTask(t, seed, func() time.Duration { return 0 }, fault, test)
}

// lendTask is like lendOneWith with tasks that crash their workers after the time that crashAfter
// returns at their start; 0 for never.
func lendTask(t *testing.T, seed uint64, crashAfter func() time.Duration, fault func(*fleettest.Cluster), test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	large := model.Resources{MilliCPU: 6000, MemoryMB: 500}
	tasks := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Lasting: true, Needs: large, CrashAfter: crashAfter()}
	}
	runInCells(t, seed, 4, 4, 2, tasks, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 2, PerWorker: 1, Needs: large, Lasting: true}}})
		time.Sleep(2 * time.Second)
		require.Equal(t, 2, runningAll(c))
		for _, w := range c.AllWorkers() {
			if c.Workers.RunCount(w) > 0 {
				c.Workers.Kill(w)
				c.Unlist(w)
				break
			}
		}
		fault(c)
		for range 150 {
			if runningAll(c) == 2 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, 2, runningAll(c), "the lost task runs again, in the other cell")
		test(t, c)
	})
}

// cancelAll cancels the job and checks that no task of it runs any more or starts again, also
// after changes of leaders and after the retention of the job.
func cancelAll(t *testing.T, c *fleettest.Cluster) {
	t.Helper()
	require.NoError(t, c.Nodes[0].Node.Cancel(t.Context(), c.Queue, jobID(0)))
	c.Checker.Cancelled(jobID(0))
	time.Sleep(3 * time.Second)
	require.Zero(t, runningAll(c))
	c.StopAll()
	time.Sleep(time.Second)
	c.StartAll()
	time.Sleep(8 * time.Second)
	require.Zero(t, runningAll(c), "no task starts under new leaders")
	time.Sleep(3 * time.Minute) // longer than the retention
	c.StopAll()
	time.Sleep(time.Second)
	c.StartAll()
	time.Sleep(8 * time.Second)
	require.Zero(t, runningAll(c), "no task starts after the job is removed")
}

func TestLostTaskIsLent(t *testing.T) {
	for seed := range uint64(4) {
		lendOne(t, 250+seed, cancelAll)
	}
}

// A lent task must keep running when the leaders of both cells change, and must not be started
// by both cells.
func TestLentTaskSurvivesLeaderChanges(t *testing.T) {
	for seed := range uint64(4) {
		lendOne(t, 260+seed, func(t *testing.T, c *fleettest.Cluster) {
			for _, name := range leaders(t, c) {
				if m := member(c, name); m.Up() {
					c.Kill(m)
				}
				time.Sleep(6 * time.Second)
				require.Equal(t, 2, runningAll(c))
			}
			for _, m := range c.Nodes {
				if !m.Up() {
					c.Start(m)
				}
			}
			time.Sleep(3 * time.Second)
			cancelAll(t, c)
		})
	}
}

// The cell that gives up a borrowed task does not own its job: the other tasks must keep running,
// and the job must stay known after the retention time, until it is cancelled.
func TestBorrowedTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	var crash atomic.Int64
	lendTask(t, 272, func() time.Duration { return time.Duration(crash.Load()) }, func(*fleettest.Cluster) {}, func(t *testing.T, c *fleettest.Cluster) {
		crash.Store(int64(crashDelay))
		w := c.Workers.LatestRun() // the lent task
		c.Workers.Kill(w)
		c.AddWorker(string(w.Info.Worker))
		time.Sleep(40 * time.Second)
		crash.Store(0)
		time.Sleep(20 * time.Second)
		require.Equal(t, 1, runningAll(c), "the crashing task is not started any more, the other one runs")
		time.Sleep(4 * time.Minute) // longer than the retention
		for _, m := range c.Nodes {
			state, err := m.Node.State(t.Context(), c.Queue, jobID(0))
			require.NoError(t, err)
			require.Equal(t, fleet.StateRunning, state)
		}
		cancelAll(t, c)
	})
}

// A lent task that is lost again must be started again by the cell that borrowed it.
func TestLentTaskIsRestarted(t *testing.T) {
	lendOne(t, 270, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 2 {
			for _, w := range c.AllWorkers() {
				if c.Workers.RunCount(w) > 0 {
					c.Workers.Kill(w)
					c.AddWorker(string(w.Info.Worker))
					break
				}
			}
			time.Sleep(12 * time.Second)
			require.Equal(t, 2, runningAll(c), "round %d", i)
		}
		cancelAll(t, c)
	})
}

// A task that is lost together with the leaders of the cells must be lent by the new leaders.
func TestTaskLostWithTheLeadersIsLent(t *testing.T) {
	for seed := range uint64(3) {
		killLeaders := func(c *fleettest.Cluster) {
			for range 2 {
				if l := c.Leader(); l != nil {
					c.Kill(l)
				}
			}
		}
		lendOneWith(t, 280+seed, killLeaders, func(t *testing.T, c *fleettest.Cluster) {
			for _, m := range c.Nodes {
				if !m.Up() {
					c.Start(m)
				}
			}
			time.Sleep(3 * time.Second)
			cancelAll(t, c)
		})
	}
}
