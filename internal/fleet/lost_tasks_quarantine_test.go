package fleet_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// quarantinePlay runs a test on four workers: lasting tasks to be lost fill one of them, services two, and the other
// is free.
func quarantinePlay(t *testing.T, seed uint64, lostTasks int, test func(t *testing.T, c *fleettest.Cluster, lost, other *fleettest.Worker)) {
	lost, filling := model.Resources{MilliCPU: 7000 / int64(lostTasks), MemoryMB: 500}, model.Resources{MilliCPU: 7700, MemoryMB: 500}
	tasks := func(name fleet.TaskName) fleettest.Task {
		switch {
		case strings.HasPrefix(string(name), jobID(0)):
			return fleettest.Task{Lasting: true, Needs: lost}
		case strings.HasPrefix(string(name), jobID(1)):
			return fleettest.Task{Lasting: true, Needs: filling}
		}
		return fleettest.Task{Work: 300 * time.Millisecond, Needs: smallNeeds}
	}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, 3, 4, tasks)
		c.Workers.LeaseMax = lostLease
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), lastingStep(lostTasks, lost))
		time.Sleep(time.Second)
		submit(t, c, jobID(1), lastingStep(2, filling))
		time.Sleep(time.Second)
		used, idle := workersOf(c, true), workersOf(c, false)
		require.Len(t, idle, 1)
		at := slices.IndexFunc(used, func(w *fleettest.Worker) bool { return c.Workers.RunsTask(w, jobID(0)) })
		test(t, c, used[at], idle[0])
	})
}

// awaitQuarantine submits short jobs until the worker, whose tasks fail, is quarantined for the nth time: for 4 s at
// first, for 16 s from the third time on.
func awaitQuarantine(t *testing.T, c *fleettest.Cluster, failing *fleettest.Worker, n int) {
	c.Workers.WithLock(func() { failing.Fail = true })
	resting, quarantines := false, 0
	for i := 2; quarantines < n; i++ {
		require.Less(t, i, 400, "quarantines")
		if i%4 == 0 {
			submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: 300 * time.Millisecond}}})
		}
		time.Sleep(50 * time.Millisecond)
		for _, w := range c.Leader().Node.Inspect(t.Context(), "").Fleet.Workers {
			if w.Worker == failing.Info.Worker && resting != (w.State == "resting") {
				if resting = !resting; resting {
					quarantines++
				}
			}
		}
	}
}

// Room on a quarantined worker was left idle while lost tasks waited, although two failures in a row may be the fault
// of the tasks that failed.
func TestLostTaskRunsOnQuarantinedWorkerIfThereIsNoOtherRoom(t *testing.T) {
	requireRunInQuarantine(t, 1, 3500*time.Millisecond)
}

// The same with a worker that has failed again after its quarantine: lost tasks waited up to 16 s for its end.
func TestLostTaskRunsOnWorkerThatFailedAgainIfThereIsNoOtherRoom(t *testing.T) {
	requireRunInQuarantine(t, 3, lostTaskLimit)
}

// requireRunInQuarantine checks that a task which is lost at the begin of the nth quarantine of the only worker with
// room runs again within limit, before the end of the quarantine.
func requireRunInQuarantine(t *testing.T, n int, limit time.Duration) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		quarantinePlay(t, seed, 1, func(t *testing.T, c *fleettest.Cluster, lost, failing *fleettest.Worker) {
			awaitQuarantine(t, c, failing, n)
			loseWorkers(c, lost)
			time.Sleep(limit)
			require.Len(t, c.Checker.Running(jobID(0)), 1)
		})
	})
}

// A lost task must not run where tasks fail while another worker has room.
func TestLostTaskAvoidsQuarantinedWorker(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		quarantinePlay(t, seed, 1, func(t *testing.T, c *fleettest.Cluster, lost, failing *fleettest.Worker) {
			awaitQuarantine(t, c, failing, 3)
			c.AddWorker("w7")
			time.Sleep(time.Second)
			loseWorkers(c, lost)
			for range 300 {
				time.Sleep(20 * time.Millisecond)
				require.False(t, c.Workers.RunsTask(failing, jobID(0)))
			}
			require.Len(t, c.Checker.Running(jobID(0)), 1)
		})
	})
}

// A worker that refuses starts, as it has less capacity than its entry says, must not get one after the other, also
// if it alone seems to have room for lost tasks.
func TestLostTaskIsNotSentAgainAtOnceToWorkerThatRefuses(t *testing.T) {
	const refusalPause = 300 * time.Millisecond
	forSeeds(t, func(t *testing.T, seed uint64) {
		quarantinePlay(t, seed, 2, func(t *testing.T, c *fleettest.Cluster, lost, refusing *fleettest.Worker) {
			var refused []time.Time
			c.Workers.WithLock(func() {
				refusing.Info.Capacity.MilliCPU = 1000
				c.Workers.Trace = traceFunc(func(line string) {
					if strings.Contains(line, string(refusing.Info.Worker)+" ") && strings.Contains(line, "start "+jobID(0)) {
						refused = append(refused, time.Now())
					}
				})
			})
			loseWorkers(c, lost)
			time.Sleep(12 * time.Second)
			c.Workers.WithLock(func() { c.Workers.Trace = nil })
			require.NotEmpty(t, refused)
			for i := range refused[1:] {
				if gap := refused[i+1].Sub(refused[i]); gap > 20*time.Millisecond { // otherwise they are of one plan
					require.GreaterOrEqual(t, gap, refusalPause)
				}
			}
		})
	})
}

// traceFunc is called with each line that is written.
type traceFunc func(line string)

// Write implements io.Writer.
func (f traceFunc) Write(line []byte) (int, error) {
	f(string(line))
	return len(line), nil
}
