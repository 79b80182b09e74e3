package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// While large hosts were there, the fleet became one cell. Small hosts that led it after them started a third of
// the work that the workers had place for, and jobs had nothing running beside free workers until the end.
func TestSmallHostsServeFleetAfterLargeOnesAreLost(t *testing.T) {
	const (
		large, small, workers, slots = 3, 8, 350, 4
		jobs, tasks                  = 350, 200
		takeover, observed           = 10 * time.Second, 10 * time.Second
		work                         = time.Second
	)
	needs := model.Resources{MilliCPU: 8000 / slots, MemoryMB: 8000 / slots}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(991, large+small, workers, func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: work, Needs: needs} })
		for i, m := range c.Nodes {
			if smallSize.set(m); i < large {
				largeSize.set(m)
			}
		}
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		c.StopAll()
		for _, m := range c.Nodes[large:] {
			c.Start(m)
		}
		time.Sleep(takeover)
		for i := range jobs {
			submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: tasks, Needs: needs, Estimate: work}}})
		}
		time.Sleep(takeover)
		const samples = 100
		running := 0
		for range samples {
			time.Sleep(observed / samples)
			running += len(c.Workers.RunningTasks())
		}
		share := float64(running) / samples / (workers * slots)
		t.Logf("%.2f of the capacity in use", share)
		require.GreaterOrEqual(t, share, 0.5)
	})
}
