package fleet_test

import (
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
