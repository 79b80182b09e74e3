package fleet_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
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

// A lent task waited for good when the workers of its borrower had gone for good, although its own
// cell had a worker for it again.
func TestLentTaskRunsAgainWhenWorkersOfItsBorrowerGoForGood(t *testing.T) {
	for seed := range uint64(3) {
		lendOneWith(t, 296+seed, func(*fleettest.Cluster) {}, func(t *testing.T, c *fleettest.Cluster) {
			running := c.RunningWorkers()
			lost := c.AllWorkers()[slices.IndexFunc(c.AllWorkers(), func(w *fleettest.Worker) bool { return !slices.Contains(running, w) })]
			lent := c.Workers.LatestRun()
			loseWorkers(c, append(workersOf(c, false), lent)...)
			addAgain(c, []*fleettest.Worker{lost})
			time.Sleep(lentTaskLimit)
			require.Equal(t, 2, runningAll(c), "the lent task runs again in its own cell")
			for _, name := range leaders(t, c) { // later leaders know that it was returned
				if m := member(c, name); m.Up() {
					c.Kill(m)
					time.Sleep(100 * time.Millisecond)
					c.Start(m)
				}
				time.Sleep(6 * time.Second)
				require.Equal(t, 2, runningAll(c))
			}
			cancelAll(t, c)
			for _, table := range []string{"vp-moved", "vp-progress"} {
				require.Empty(t, c.Store.Rows(table), "no row of the removed job is left")
			}
		})
	}
}

// Whatever fails while tasks of services are lent and returned, none runs twice, and all run once
// the faults have ended and workers have room. None starts once its job is cancelled.
func TestLentTasksUnderRandomFaults(t *testing.T) {
	t.Parallel()
	first, end := seedRange(t, 1, 6)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runLendingFaults(t, uint64(seed)) })
	}
}

func runLendingFaults(t *testing.T, seed uint64) {
	const services, tasks = 3, 4
	needs := model.Resources{MilliCPU: 3000, MemoryMB: 500}
	step := fleet.Step{Count: tasks, Needs: needs, Lasting: true, PerWorker: int(seed % 3)}
	random := rand.New(rand.NewPCG(seed, 11))
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, 4, 9, func(fleet.TaskName) fleettest.Task { return fleettest.Task{Lasting: true, Needs: needs} })
		c.Cells = 3
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		f := &faults{c: c, random: random, next: 9, kinds: allFaults}
		for i := range services {
			submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{step}})
		}
		time.Sleep(3 * time.Second)
		for range 24 {
			if random.IntN(2) == 0 {
				f.injectFault()
			} else if running := c.RunningWorkers(); len(running) > 4 {
				loseWorkers(c, running[random.IntN(len(running))])
			} else {
				c.AddWorker("w" + strconv.Itoa(random.IntN(10)))
			}
			time.Sleep(time.Duration(200+random.IntN(3000)) * time.Millisecond)
		}
		f.endFaults()
		up := map[string]bool{}
		for _, w := range c.RunningWorkers() {
			up[string(w.Info.Worker)] = true
		}
		for i := range 10 {
			if id := "w" + strconv.Itoa(i); !up[id] {
				c.AddWorker(id)
			}
		}
		deadline := time.Now().Add(time.Minute)
		for runningServices(c, services) < services*tasks && time.Now().Before(deadline) {
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, services*tasks, runningServices(c, services), strings.Join(c.Checker.Violations(), "\n"))
		for i := range services {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			require.NoError(t, c.Nodes[i].Node.Cancel(ctx, c.Queue, jobID(i)))
			cancel()
			c.Checker.Cancelled(jobID(i))
		}
		time.Sleep(5 * time.Second)
		require.Zero(t, runningServices(c, services))
		for range 2 { // after a change of leaders, and after the jobs are removed
			c.StopAll()
			time.Sleep(time.Second)
			c.StartAll()
			time.Sleep(3 * time.Minute)
			require.Zero(t, runningServices(c, services))
		}
	})
}
