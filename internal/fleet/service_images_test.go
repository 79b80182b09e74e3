package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Services of all images came to all cells at once and shared workers there, where one cell would have given each
// image workers of its own. Fillers were then limited by the most sensitive of them for as long as they ran.
func TestServicesOfBurstShareWorkersByImage(t *testing.T) {
	const images, jobs, width = 10, 48, 8
	needs := model.Resources{MilliCPU: 2000, MemoryMB: 200}
	tasks := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Lasting: true, Needs: needs} }
	runInCells(t, 310, 6, 120, 3, tasks, func(t *testing.T, c *fleettest.Cluster) {
		for i := range jobs {
			go submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: width, Needs: needs, Lasting: true, PerWorker: 2, Image: fmt.Sprint("s", i%images)}}})
		}
		time.Sleep(8 * time.Second)
		require.Equal(t, jobs*width, runningServices(c, jobs))
		mixed := 0
		for _, w := range c.Fleet {
			found := map[int]bool{}
			for i := range jobs {
				if c.Workers.RunsTask(w, jobID(i)) {
					found[i%images] = true
				}
			}
			if len(found) > 1 {
				mixed++
			}
		}
		t.Logf("%d workers run services of several images", mixed)
		require.Zero(t, mixed)
	})
}
