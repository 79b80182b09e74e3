package fleet_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// awaitBusyWorker waits until a worker has a run and returns it.
func awaitBusyWorker(t *testing.T, c *fleettest.Cluster, limit time.Duration) *fleettest.Worker {
	t.Helper()
	for deadline := time.Now().Add(limit); len(busyWorkers(c)) == 0; time.Sleep(time.Millisecond / 4) {
		require.True(t, time.Now().Before(deadline), "a worker has a run")
	}
	return busyWorkers(c)[0]
}

// Workers that were idle had started again unnoticed and carried starts out, and were cut off before
// they could report. Each time that counted as a crash of the former lifetime under the task, also
// after the leases had ended, and its job failed: no worker had crashed under it.
func TestStartsCarriedOutByNextLifetimeAreNoCrashes(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: 20 * time.Second, Needs: smallNeeds, Checkpoint: true}
	}
	runCluster(t, 407, 3, 8, long, func(t *testing.T, c *fleettest.Cluster) {
		sendUnverifiedStarts(c)
		time.Sleep(5 * time.Second)
		cutOff := map[string]bool{}
		inTouch := func(visit func(w *fleettest.Worker)) {
			for _, w := range c.RunningWorkers() {
				if !cutOff[string(w.Info.Worker)] {
					visit(w)
				}
			}
		}
		for round := range 5 {
			inTouch(func(w *fleettest.Worker) { restart(c, w) })
			if round == 0 {
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: 20 * time.Second, Checkpoints: true}}})
			}
			w := awaitBusyWorker(t, c, 20*time.Second)
			time.Sleep(1500 * time.Microsecond) // the start is answered
			for _, m := range c.Nodes {
				m.Workers.Cut(w, true)
			}
			cutOff[string(w.Info.Worker)] = true
			time.Sleep(entryDelay)
			c.List(w)
			inTouch(c.List)
			for c.Workers.RunCount(w) > 0 { // until its lease is over
				time.Sleep(50 * time.Millisecond)
			}
		}
		require.False(t, c.Checker.MayFail(jobID(0)))
		waitState(t, c, jobID(0), fleet.StateCompleted, time.Minute)
	})
}

// restartIdleWorkers makes idle workers start again one after the other, n times.
func restartIdleWorkers(c *fleettest.Cluster, n int) {
	for range n {
		for _, w := range c.RunningWorkers() {
			if c.Workers.RunCount(w) == 0 {
				c.List(restart(c, w))
				break
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// Workers started again one after the other. Two of them did so just after a start of the same task,
// which made it the only suspect of crashes at the same age, and its job failed.
func TestRestartsInSeriesFailNoJob(t *testing.T) {
	starts := 0
	tasks := func(fleet.TaskName) fleettest.Task {
		task := fleettest.Task{Work: 3 * time.Second, Needs: smallNeeds}
		if starts++; starts <= 2 { // the restarts that coincide with its starts
			task.CrashAfter = 20 * time.Millisecond
		}
		return task
	}
	runCluster(t, 408, 3, 8, tasks, func(t *testing.T, c *fleettest.Cluster) {
		time.Sleep(5 * time.Second)
		restartIdleWorkers(c, 1)
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: 3 * time.Second}}})
		restartIdleWorkers(c, 12)
		waitState(t, c, jobID(0), fleet.StateCompleted, 30*time.Second)
	})
}

// Guards against a task that crashes its workers and counts as innocent since others start again in
// series: it is given up within the bound of the contract. Without them two crashes are enough.
func TestCrashingTaskIsGivenUpBesideRestarts(t *testing.T) {
	for restarts, attempts := range map[int]int{0: 2, 60: 3} {
		t.Run("restarts="+strconv.Itoa(restarts), func(t *testing.T) {
			runCluster(t, 409, 3, 8, crashingTasks(0), func(t *testing.T, c *fleettest.Cluster) {
				time.Sleep(5 * time.Second)
				restartIdleWorkers(c, min(restarts, 1))
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}}})
				restartIdleWorkers(c, restarts)
				waitFailed(t, c, 0, 1, 20*time.Second)
				task := fleet.TaskName(jobID(0) + ".0.0.0")
				require.Equal(t, attempts, c.Checker.LastAttempt(task))
				// One start may meet a restart of its worker, which counts as a crash that the task did not cause.
				require.GreaterOrEqual(t, c.Checker.Crashes(task), 2)
			})
		})
	}
}
