package fleet_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// A job that waited in a full cell while its leader was lost stayed there, although all workers had told the next
// leader what ran on them, and four of six workers were free.
func TestQueuedJobLeavesFullCellAfterLeaderChange(t *testing.T) {
	const cells, workersPerCell = 3, 2
	needs := model.Resources{MilliCPU: 8000, MemoryMB: 500}
	work := func(cell int) time.Duration {
		if cell == 0 {
			return time.Minute
		}
		return 8 * time.Second
	}
	cellOf := func(id string) int { return int(xxhash.Sum64String(id) % 256 % cells) } // the slots of equal cells alternate
	task := func(n fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: work(cellOf(string(n)[:16])), Needs: needs}
	}
	runInCells(t, 246, 4, cells*workersPerCell, cells, task, func(t *testing.T, c *fleettest.Cluster) {
		left := [cells]int{workersPerCell + 1, workersPerCell, workersPerCell}
		for i := 0; left != [cells]int{}; i++ {
			cell := cellOf(jobID(i))
			if left[cell] == 0 || cell == 0 && left[0] == 1 && left[1]+left[2] > 0 {
				continue // the job that waits comes last
			}
			if left[0] == 1 && left[1]+left[2] == 0 {
				time.Sleep(2 * time.Second) // all cells are reported as full
			}
			left[cell]--
			submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: needs, Estimate: work(cell)}}})
		}
		time.Sleep(time.Second)
		require.Equal(t, cells*workersPerCell, runningAll(c), "one job waits")
		c.Kill(member(c, leaders(t, c)[0]))
		time.Sleep(20 * time.Second)
		require.Equal(t, workersPerCell+1, runningAll(c))
	})
}
