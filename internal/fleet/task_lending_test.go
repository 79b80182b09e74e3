package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// runningAll counts the runs on workers that are up.
func runningAll(c *fleettest.Cluster) int {
	n := 0
	for _, w := range c.All() {
		n += c.Workers.RunCount(w)
	}
	return n
}

// lendOne runs a lasting job of two large tasks, takes one of its workers away for good,
// and waits until the task runs in the other cell.
func lendOne(t *testing.T, seed uint64, test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	lendOneWith(t, seed, func(*fleettest.Cluster) {}, test)
}

// lendOneWith is lendOne with further trouble in the moment when the worker is lost.
func lendOneWith(t *testing.T, seed uint64, trouble func(*fleettest.Cluster), test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	large := model.Resources{MilliCPU: 6000, MemoryMB: 500}
	tasks := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Lasting: true, Needs: large} }
	runInCells(t, seed, 4, 4, 2, tasks, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 2, PerWorker: 1, Needs: large, Lasting: true}}})
		time.Sleep(2 * time.Second)
		require.Equal(t, 2, runningAll(c))
		for _, w := range c.All() {
			if c.Workers.RunCount(w) > 0 {
				c.Workers.Kill(w)
				c.Unlist(w)
				break
			}
		}
		trouble(c)
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

// cancelAll cancels the job and checks that nothing of it is left or comes back.
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
	require.Zero(t, runningAll(c), "also with new leaders")
	time.Sleep(3 * time.Minute) // past the retention
	c.StopAll()
	time.Sleep(time.Second)
	c.StartAll()
	time.Sleep(8 * time.Second)
	require.Zero(t, runningAll(c), "also when the job is forgotten")
}

func TestLostTaskIsLent(t *testing.T) {
	for seed := range uint64(4) {
		lendOne(t, 250+seed, cancelAll)
	}
}

// What is lent outlives the leaders of both cells, and runs once.
func TestLentTaskOutlivesLeaders(t *testing.T) {
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

// A lent task that is lost again starts again in the cell that borrowed it.
func TestLentTaskIsRestarted(t *testing.T) {
	lendOne(t, 270, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 2 {
			for _, w := range c.All() {
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

// A task that is lost with the leaders of the cells is lent too, once they have new ones.
func TestTaskLostWithTheLeadersIsLent(t *testing.T) {
	for seed := range uint64(3) {
		endLeaders := func(c *fleettest.Cluster) {
			for range 2 {
				if l := c.Leader(); l != nil {
					c.Kill(l)
				}
			}
		}
		lendOneWith(t, 280+seed, endLeaders, func(t *testing.T, c *fleettest.Cluster) {
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
