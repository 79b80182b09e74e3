package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// crashDelay is how long after its start a task of these tests crashes its worker.
const crashDelay = 10 * time.Millisecond

// crashingTasks returns tasks of which the first one of each step of the jobs from firstCrashing
// on crashes its worker. Of jobs with the shape of a gang, each one does.
func crashingTasks(firstCrashing int) func(fleet.TaskName) fleettest.Task {
	return func(n fleet.TaskName) fleettest.Task {
		task := fleettest.Task{Work: time.Second, Needs: smallNeeds, Checkpoint: true}
		id, index, _ := strings.Cut(string(n), ".")
		if job, err := strconv.ParseUint(id, 16, 64); err == nil && int(job) > firstCrashing && (strings.HasSuffix(index, ".0") || crashShapes[int(job-1)%len(crashShapes)].Steps[0].Gang) {
			task.CrashAfter = crashDelay
		}
		return task
	}
}

// waitFailed waits until the jobs from first on, n in number, are shown as failed.
func waitFailed(t *testing.T, c *fleettest.Cluster, first, n int, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for i := range n {
		waitState(t, c, jobID(first+i), fleet.StateFailed, time.Until(deadline))
	}
}

// A task that crashes each worker that starts it was started without a limit, and crashed the
// workers of other jobs until its job was cancelled.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	runCluster(t, 400, 3, 8, crashingTasks(6), func(t *testing.T, c *fleettest.Cluster) {
		for i := range 8 {
			submit(t, c, jobID(i), twoSteps())
			time.Sleep(100 * time.Millisecond)
		}
		waitFailed(t, c, 6, 2, 20*time.Second)
		waitAll(t, c, 6, 20*time.Second)
	})
}

// The crashes that a former leader has seen must count for the next one, even if it ends between
// a crash and the return of the worker.
func TestCrashesCountAcrossLeaderChanges(t *testing.T) {
	runCluster(t, 401, 3, 8, crashingTasks(0), func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}}})
		task, seen := fleet.TaskName(jobID(0)+".0.0.0"), 0
		for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			if c.Checker.Crashes(task) == seen {
				continue
			}
			seen = c.Checker.Crashes(task)
			time.Sleep(200 * time.Millisecond)
			if l := c.Leader(); l != nil {
				c.Kill(l)
				c.Start(l)
			}
		}
		waitFailed(t, c, 0, 1, time.Second)
	})
}

// crashSeeds is the number of sequences that TestCrashesFailNoOtherJob plays. The environment
// variable FLEET_CRASH_SEEDS overrides it with a first seed and a count, such as "100,50".
const crashSeeds = 8

// Innocent tasks share workers with tasks that crash them. Their jobs must not be given up.
// Leaders are killed, and jobs are of all shapes. In every other sequence workers are lost for
// other reasons too; there a job may be given up as the contract allows.
func TestCrashesFailNoOtherJob(t *testing.T) {
	first, count := 420, crashSeeds
	if v := os.Getenv("FLEET_CRASH_SEEDS"); v != "" {
		_, err := fmt.Sscanf(v, "%d,%d", &first, &count)
		require.NoError(t, err)
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runCrashes(t, uint64(seed)) })
	}
}

// crashShapes are shapes of jobs; a crashing task is the first one of each step.
var crashShapes = []fleet.Spec{
	twoSteps(),
	{Steps: []fleet.Step{{Count: 6, Needs: smallNeeds, Estimate: time.Second, Filler: true, Image: "f"}}},
	{Steps: []fleet.Step{{Count: 4, Needs: smallNeeds, Estimate: time.Second, Gang: true}}},
	{Steps: []fleet.Step{{Count: 3, Needs: smallNeeds, Estimate: time.Second, Speculative: true}}},
}

func runCrashes(t *testing.T, seed uint64) {
	const innocent, crashing = 24, 5
	random := rand.New(rand.NewPCG(seed, 11))
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, 4, 12, crashingTasks(innocent))
		c.Cells = 1 + 2*int(seed%2)
		return c
	}
	loseWorkers := seed%4 >= 2
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		order := random.Perm(innocent + crashing)
		for n, i := range order {
			submit(t, c, jobID(i), crashShapes[i%len(crashShapes)])
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			switch {
			case n%9 == 4:
				if l := c.Leader(); l != nil {
					c.Kill(l)
					c.Start(l)
				}
			case n%9 == 8 && loseWorkers: // a rack is lost and comes back
				workers := c.RunningWorkers()
				for _, i := range random.Perm(len(workers))[:min(3, len(workers))] {
					w := workers[i]
					c.Workers.Kill(w)
					time.AfterFunc(fleettest.CrashRestartTime, func() { c.AddWorker(string(w.Info.Worker)) })
				}
			}
		}
		waitFailed(t, c, innocent, crashing, 60*time.Second)
		deadline := time.Now().Add(60 * time.Second)
		for i := range innocent {
			if loseWorkers && c.Checker.MayFail(jobID(i)) {
				waitEnded(t, c, jobID(i), time.Until(deadline))
				continue
			}
			waitState(t, c, jobID(i), fleet.StateCompleted, time.Until(deadline))
		}
	})
}

// waitEnded waits until a job is shown as completed or failed.
func waitEnded(t *testing.T, c *fleettest.Cluster, id string, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		state, err := c.Nodes[0].Node.State(t.Context(), c.Queue, id)
		if err == nil && (state == fleet.StateCompleted || state == fleet.StateFailed) {
			return
		}
		require.False(t, time.Now().After(deadline), "job %s: state %q, error %v", id, state, err)
	}
}

// Workers that are cut off and come back have not crashed: their tasks must not be given up.
func TestCutOffWorkersHaveNotCrashed(t *testing.T) {
	runCluster(t, 402, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 6 {
			submit(t, c, jobID(i), twoSteps())
			time.Sleep(30 * time.Millisecond)
			for _, m := range c.Nodes {
				m.Workers.CutAll(true)
			}
			time.Sleep(1500 * time.Millisecond)
			for _, m := range c.Nodes {
				m.Workers.CutAll(false)
			}
			time.Sleep(500 * time.Millisecond)
		}
		waitAll(t, c, 6, 60*time.Second)
	})
}

// A service whose tasks crash their workers must be given up too, while one that works and whose
// workers crash for other reasons, again and again, must be restarted each time.
func TestServiceThatCrashesWorkersIsGivenUp(t *testing.T) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		task := fleettest.Task{Lasting: true, Needs: smallNeeds}
		if strings.HasPrefix(string(n), jobID(1)) {
			task.CrashAfter = crashDelay
		}
		return task
	}
	runCluster(t, 403, 3, 6, tasks, func(t *testing.T, c *fleettest.Cluster) {
		service := fleet.Spec{Steps: []fleet.Step{{Count: 3, Needs: smallNeeds, Lasting: true}}}
		submit(t, c, jobID(0), service)
		time.Sleep(2 * time.Second)
		submit(t, c, jobID(1), service)
		waitFailed(t, c, 1, 1, 30*time.Second)
		for range 5 {
			time.Sleep(6 * time.Second)
			for _, w := range c.AllWorkers() {
				if c.Workers.RunCount(w) > 0 {
					c.Workers.Kill(w)
					time.AfterFunc(fleettest.CrashRestartTime, func() { c.AddWorker(string(w.Info.Worker)) })
				}
			}
		}
		time.Sleep(10 * time.Second)
		waitState(t, c, jobID(0), fleet.StateRunning, time.Second)
		require.Len(t, c.Workers.RunningTasks(), 3)
	})
}

// Workers that were cut off until their leases ended, again and again under the same task, counted
// as crashes, and its job failed.
func TestLeasesThatEndAreNoCrashes(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: 20 * time.Second, Needs: smallNeeds, Checkpoint: true}
	}
	runCluster(t, 404, 3, 8, long, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: 20 * time.Second, Checkpoints: true}}})
		for range 6 {
			time.Sleep(500 * time.Millisecond)
			busy := busyWorkers(c)
			require.Len(t, busy, 1)
			for _, m := range c.Nodes {
				m.Workers.Cut(busy[0], true)
			}
			time.Sleep(8 * time.Second)
		}
		waitState(t, c, jobID(0), fleet.StateCompleted, 60*time.Second)
	})
}

// darken cuts a worker off silently and ends it.
func darken(c *fleettest.Cluster, w *fleettest.Worker) {
	for _, m := range c.Nodes {
		m.Workers.Cut(w, true)
	}
	c.Workers.Kill(w)
}

// brighten starts the next lifetime of a darkened worker, which is not listed yet.
func brighten(c *fleettest.Cluster, w *fleettest.Worker) *fleettest.Worker {
	next := c.StartWorker(string(w.Info.Worker))
	for _, m := range c.Nodes {
		m.Workers.Cut(next, false)
	}
	return next
}

// doubtSettled is the time in which a start without an answer is settled once its worker answers: the
// pause before the next poll, a poll without an answer and one that the worker holds.
const doubtSettled = 3500 * time.Millisecond

// Starts that were sent to workers which were already down counted as crashes of these workers under
// the task: its job failed without a run.
func TestStartsToDeadWorkersAreNoCrashes(t *testing.T) {
	runCluster(t, 405, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		down, next := c.Fleet[0], c.Fleet[1]
		c.Drain(next)
		time.Sleep(100 * time.Millisecond)
		darken(c, down)
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}}})
		for range 6 {
			time.Sleep(time.Second)
			c.List(next)
			time.Sleep(100 * time.Millisecond)
			darken(c, next)
			down, next = next, brighten(c, down) // the start that is in doubt is settled, and the next one goes to the other worker
			time.Sleep(doubtSettled)
			require.False(t, c.Checker.Started(jobID(0)))
		}
		c.List(next)
		waitState(t, c, jobID(0), fleet.StateCompleted, 20*time.Second)
	})
}

// A worker fell silent just after a start and was killed much later, when the run had ended. Two
// such workers made the task the only suspect of crashes at the same age, and its job failed.
func TestCrashOfUnknownAgeMakesNoSuspect(t *testing.T) {
	runCluster(t, 406, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}}})
		for range 3 {
			for deadline := time.Now().Add(10 * time.Second); len(busyWorkers(c)) == 0; time.Sleep(time.Millisecond) {
				require.True(t, time.Now().Before(deadline))
			}
			w := busyWorkers(c)[0]
			time.Sleep(5 * time.Millisecond) // the start is answered
			for _, m := range c.Nodes {
				m.Workers.Cut(w, true)
			}
			time.Sleep(1500 * time.Millisecond)
			darken(c, w)
			c.List(brighten(c, w))
		}
		waitState(t, c, jobID(0), fleet.StateCompleted, 20*time.Second)
	})
}
