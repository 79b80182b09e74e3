package fleet_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// The crash of a worker is recorded for each of its tasks. A job of thousands of tasks failed, as
// its progress exceeded a row.
func TestWideJobSurvivesCrashes(t *testing.T) {
	t.Parallel()
	needs := model.Resources{MilliCPU: 1, MemoryMB: 1}
	wide := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: 9 * time.Second, Needs: needs, Checkpoint: true}
	}
	for _, newLeader := range []bool{false, true} {
		runCluster(t, 430, 2, 1, wide, func(t *testing.T, c *fleettest.Cluster) {
			submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 4000, Needs: needs, Estimate: 9 * time.Second, Checkpoints: true}}})
			for range 2 {
				time.Sleep(4 * time.Second)
				w := c.RunningWorkers()[0]
				require.Equal(t, 4000, c.Workers.RunCount(w))
				c.Workers.Kill(w)
				time.Sleep(time.Second)
				c.AddWorker(string(w.Info.Worker))
				if newLeader {
					l := c.Leader()
					c.Kill(l)
					c.Start(l)
					time.Sleep(settleTime)
				}
			}
			time.Sleep(10 * time.Second)
			waitState(t, c, jobID(0), fleet.StateCompleted, 30*time.Second)
		})
	}
}

// The key of a worker's row exceeded what the store allows, so that each transaction was refused
// and the lead changed every two seconds.
func TestWorkersWithLongIDs(t *testing.T) {
	runCluster(t, 431, 2, 1, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		leader := c.Leader()
		for _, n := range []int{181, 182, 190, 200} {
			c.AddWorker(strings.Repeat("w", n-1) + "7")
		}
		time.Sleep(time.Second)
		for i := range 10 {
			submit(t, c, jobID(i), twoSteps())
			time.Sleep(300 * time.Millisecond)
		}
		waitAll(t, c, 10, 10*time.Second)
		require.Same(t, leader, c.Leader())
		for _, w := range c.RunningWorkers() {
			if len(w.Info.Worker) > 2 {
				c.Unlist(w)
			}
		}
		time.Sleep(20 * time.Second)
		require.Same(t, leader, c.Leader())
		require.LessOrEqual(t, len(c.Store.Rows("vp-used")), 1, "rows of workers that have left are deleted")
	})
}
