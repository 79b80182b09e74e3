package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// restartBound is the contract's bound on the time without a run of a lasting task in which
// nothing fails: 6 s since its last run, and 3 s more.
const restartBound = 9 * time.Second

// stopLeader stops the leader's process gracefully.
func stopLeader(c *fleettest.Cluster) {
	l := c.Leader()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l.Node.Drain(ctx)
	c.Kill(l)
}

// leave makes a worker that has said that it drains end with all its runs.
func leave(c *fleettest.Cluster, w *fleettest.Worker) {
	c.Workers.Kill(w)
	c.Unlist(w)
}

// busyWorkers returns the workers with runs.
func busyWorkers(c *fleettest.Cluster) []*fleettest.Worker {
	var busy []*fleettest.Worker
	for _, w := range c.Fleet {
		if c.Workers.RunCount(w) > 0 {
			busy = append(busy, w)
		}
	}
	return busy
}

// loseWorker starts services and lets one of their workers drain and leave. It returns when the
// worker left.
func loseWorker(t *testing.T, c *fleettest.Cluster, tasks int) time.Time {
	t.Helper()
	submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, Needs: smallNeeds, Lasting: true}}})
	time.Sleep(2 * time.Second)
	w := busyWorkers(c)[0]
	c.Drain(w)
	time.Sleep(4 * time.Second)
	leave(c, w)
	return time.Now()
}

// Each change of leader restarted the wait for the leases of a worker that had left before.
func TestHandoverDoesNotProlongLeasesOfDepartedWorkers(t *testing.T) {
	for _, beforeStop := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(beforeStop.String(), func(t *testing.T) {
			runCluster(t, 130, 6, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
				const tasks = 6
				left := loseWorker(t, c, tasks)
				nextStop := beforeStop
				for runningAll(c) < tasks {
					require.Less(t, time.Since(left), restartBound)
					if time.Since(left) >= nextStop {
						stopLeader(c)
						nextStop += 2 * time.Second
					}
					time.Sleep(50 * time.Millisecond)
				}
				t.Logf("all tasks run again %v after the worker left", time.Since(left))
			})
		})
	}
}

// A task that had lost its run waited for workers that left later, on which it never ran.
func TestLostServiceDoesNotWaitForLaterDepartures(t *testing.T) {
	runCluster(t, 131, 4, 12, lasting, func(t *testing.T, c *fleettest.Cluster) {
		const perWorker, tasks = 4, 48
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: perWorker, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2 * time.Second)
		require.Len(t, busyWorkers(c), 12)
		first, later := c.Fleet[0], c.Fleet[1:5]
		for _, w := range c.Fleet[:5] {
			c.Drain(w)
		}
		time.Sleep(4 * time.Second)
		left := time.Now()
		leave(c, first)
		for i := range 8 { // new workers take the tasks
			c.AddWorker(string(rune('a'+i)) + "9")
		}
		for _, w := range later {
			time.Sleep(900 * time.Millisecond)
			leave(c, w)
		}
		stopLeader(c)
		time.Sleep(6*time.Second - time.Since(left))
		require.GreaterOrEqual(t, runningAll(c), tasks-perWorker*len(later), "the tasks of the first worker run again when its lease is over")
	})
}

// The next step of a job waited for a worker that held no run of it.
func TestHandoverBesideDepartedWorkerDelaysNoOtherJob(t *testing.T) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		if n[:16] == fleet.TaskName(jobID(0)) {
			return lasting(n)
		}
		return shortTask(n)
	}
	runCluster(t, 132, 4, 4, tasks, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 4, PerWorker: 1, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2 * time.Second)
		w := c.Fleet[0]
		c.Drain(w)
		time.Sleep(4 * time.Second)
		leave(c, w)
		submit(t, c, jobID(1), twoSteps())
		time.Sleep(800 * time.Millisecond)
		stopLeader(c)
		submitted := time.Now()
		waitState(t, c, jobID(1), fleet.StateCompleted, 10*time.Second)
		t.Logf("job done %v after the change of leader", time.Since(submitted))
		require.Less(t, time.Since(submitted), 3*time.Second, "two steps of a second, and a change of leader")
	})
}

// A leader that hears again from a worker whose leases it has recorded extended them, although
// the next leader relies on the record.
func TestRecordedLeasesAreNotExtended(t *testing.T) {
	for seed := range uint64(10) {
		runCluster(t, 140+seed, 3, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
			const tasks = 6
			submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 2, Needs: smallNeeds, Lasting: true}}})
			time.Sleep(2 * time.Second)
			w, leader := busyWorkers(c)[0], c.Leader()
			for _, m := range c.Nodes {
				m.Workers.Cut(w, true)
			}
			time.Sleep(3 * time.Second)
			leader.Store.SetFault(fleettest.Silent)
			leader.Workers.Cut(w, false)
			time.Sleep(6 * time.Second)
			require.Equal(t, tasks, runningAll(c), "the next leader has started the tasks of the worker again")
		})
	}
}

// A term that released leadership before it had loaded its tables made the records of the
// term before it void.
func TestRecordsSurviveTermThatLoadsNothing(t *testing.T) {
	runCluster(t, 133, 6, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
		const tasks = 6
		left := loseWorker(t, c, tasks)
		time.Sleep(4 * time.Second)
		stopLeader(c)
		for c.Leader() == nil {
			time.Sleep(time.Millisecond)
		}
		c.Leader().Node.Drain(t.Context())
		for runningAll(c) < tasks {
			require.Less(t, time.Since(left), restartBound)
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("all tasks run again %v after the worker left", time.Since(left))
	})
}

// Runs of a worker that answered again before its leases had ended were lost, because the leader
// extended them only one poll after the worker's first answer.
func TestShortCutEndsNoLeases(t *testing.T) {
	const seeds = 5
	for _, cut := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 3300 * time.Millisecond} {
		lost := 0
		for seed := range uint64(seeds) {
			runCluster(t, 180+seed, 3, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, PerWorker: 2, Needs: smallNeeds, Lasting: true}}})
				time.Sleep(2*time.Second + time.Duration(seed)*100*time.Millisecond)
				w := busyWorkers(c)[0]
				for _, m := range c.Nodes {
					m.Workers.Cut(w, true)
				}
				time.Sleep(cut)
				for _, m := range c.Nodes {
					m.Workers.Cut(w, false)
				}
				for range 60 {
					time.Sleep(50 * time.Millisecond)
					if c.Workers.RunCount(w) == 0 {
						lost++
						break
					}
				}
			})
		}
		t.Logf("cut of %v: leases ended in %d of %d runs", cut, lost, seeds)
		require.Zero(t, lost, "cut of %v", cut)
	}
}

// After the end of a leader's process, a worker that had left idle long before held up all jobs.
func TestIdleDepartedWorkerHoldsUpNoJobAfterCrash(t *testing.T) {
	for _, departed := range []bool{false, true} {
		runCluster(t, 134, 4, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
			submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 32, Needs: smallNeeds, Estimate: time.Second}}})
			waitState(t, c, jobID(0), fleet.StateCompleted, 20*time.Second)
			time.Sleep(2 * time.Second)
			if departed {
				c.Drain(c.Fleet[0])
				time.Sleep(4 * time.Second)
				leave(c, c.Fleet[0])
				time.Sleep(20 * time.Second)
			}
			submit(t, c, jobID(1), twoSteps())
			time.Sleep(500 * time.Millisecond)
			c.Kill(c.Leader())
			from := time.Now()
			waitState(t, c, jobID(1), fleet.StateCompleted, 30*time.Second)
			t.Logf("departed worker: %v; job done %v after the end of the leader", departed, time.Since(from))
			require.Less(t, time.Since(from), 6*time.Second, "an election and two steps of a second")
		})
	}
}

// The row of a worker that had left idle stayed while its last lease lasted: a leader that began beside a killed one
// waited for that worker before it started what other workers had lost.
func TestIdleDepartureDelaysNoRestartAfterKilledLeader(t *testing.T) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		if n[:16] == fleet.TaskName(jobID(0)) {
			return lasting(n)
		}
		return fleettest.Task{Work: time.Second, Needs: wideNeeds}
	}
	for seed := range uint64(3) {
		runCluster(t, 133+seed, 4, 4, tasks, func(t *testing.T, c *fleettest.Cluster) {
			submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 2, PerWorker: 1, Needs: smallNeeds, Lasting: true}}})
			time.Sleep(2 * time.Second)
			lost := busyWorkers(c)[0]
			submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 4, PerWorker: 1, Needs: wideNeeds, Estimate: time.Second}}})
			time.Sleep(500 * time.Millisecond)
			var idle *fleettest.Worker
			for _, w := range busyWorkers(c) {
				if c.Workers.RunsTask(w, jobID(1)) && !c.Workers.RunsTask(w, jobID(0)) {
					idle = w
				}
			}
			require.NotNil(t, idle)
			waitState(t, c, jobID(1), fleet.StateCompleted, 10*time.Second)
			c.Drain(idle)
			time.Sleep(500 * time.Millisecond)
			leave(c, idle)
			leave(c, lost)
			left := time.Now()
			time.Sleep(time.Second)
			c.Kill(c.Leader())
			for runningAll(c) < 2 {
				require.Less(t, time.Since(left), lostTaskLimit)
				time.Sleep(50 * time.Millisecond)
			}
			t.Logf("all tasks run again %v after the worker left", time.Since(left))
		})
	}
}
