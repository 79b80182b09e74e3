package fleet_test

import (
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
