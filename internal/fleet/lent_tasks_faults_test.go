package fleet_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// lentTaskLimit is the time in which a task runs again that was lost with its worker: the worker's
// lease, the waits before it is returned and lent, and the reports of free capacity.
const lentTaskLimit = 12 * time.Second

// largeService returns a job of two large lasting tasks on different workers.
func largeService() fleet.Spec {
	return fleet.Spec{Steps: []fleet.Step{{Count: 2, PerWorker: 1, Needs: largeNeeds, Lasting: true}}}
}

var largeNeeds = model.Resources{MilliCPU: 6000, MemoryMB: 500}

func largeTask(fleet.TaskName) fleettest.Task {
	return fleettest.Task{Lasting: true, Needs: largeNeeds}
}

// workersOf returns the workers that run tasks of a job, or the others that run.
func workersOf(c *fleettest.Cluster, running bool) []*fleettest.Worker {
	var workers []*fleettest.Worker
	for _, w := range c.RunningWorkers() {
		if (c.Workers.RunCount(w) > 0) == running {
			workers = append(workers, w)
		}
	}
	return workers
}

func loseWorkers(c *fleettest.Cluster, workers ...*fleettest.Worker) {
	for _, w := range workers {
		c.Workers.Kill(w)
		c.Unlist(w)
	}
}

// A cell that its job has left knew the job as moved and ignored the row of a lent task, so a lost
// task of the job found no worker there.
func TestLostTaskIsLentToCellThatItsJobLeft(t *testing.T) {
	var log bytes.Buffer
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(290, 4, 4, largeTask)
		c.Cells, c.Log = 2, &log
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), largeService())
		time.Sleep(2 * time.Second)
		cells := [][]*fleettest.Worker{workersOf(c, true), workersOf(c, false)}
		require.Len(t, cells[0], 2)
		cancelJob(t, c, jobID(0))
		for i := 1; i <= 6; i++ {
			empty, used := i%2, 1-i%2
			loseWorkers(c, cells[empty]...)
			time.Sleep(time.Second)
			submit(t, c, jobID(i), largeService()) // it moves if it is accepted by the cell without workers
			time.Sleep(4 * time.Second)
			require.Equal(t, 2, runningOf(c, jobID(i)))
			cells[empty] = addAgain(c, cells[empty])
			lost := cells[used][0]
			loseWorkers(c, lost)
			time.Sleep(lentTaskLimit)
			require.Equal(t, 2, runningOf(c, jobID(i)), "job %d: the lost task runs in the other cell", i)
			cells[used] = append(addAgain(c, []*fleettest.Worker{lost}), cells[used][1])
			cancelJob(t, c, jobID(i))
		}
	})
	if os.Getenv("FLEET_LOG") == "" { // otherwise the lines go to stderr
		require.Contains(t, log.String(), `"decision":"move"`)
		require.Contains(t, log.String(), `"decision":"lend"`)
	}
}

// addAgain starts new lifetimes of workers.
func addAgain(c *fleettest.Cluster, workers []*fleettest.Worker) []*fleettest.Worker {
	var again []*fleettest.Worker
	for _, w := range workers {
		again = append(again, c.AddWorker(string(w.Info.Worker)))
	}
	return again
}

// cancelJob cancels a job and checks that its runs end.
func cancelJob(t *testing.T, c *fleettest.Cluster, id string) {
	t.Helper()
	for _, m := range c.Nodes {
		if m.Up() && m.Node.Cancel(t.Context(), c.Queue, id) == nil {
			break
		}
	}
	c.Checker.Cancelled(id)
	time.Sleep(4 * time.Second)
	require.Zero(t, runningOf(c, id))
}
