package fleet_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// slowTask returns a task that takes three seconds, so that faults occur while it runs.
func slowTask(fleet.TaskName) fleettest.Task {
	return fleettest.Task{Work: 3 * time.Second, Needs: smallNeeds, Checkpoint: true}
}

func TestLeaderKilled(t *testing.T) {
	runCluster(t, 20, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 4 {
			submit(t, c, jobID(i), twoSteps())
		}
		time.Sleep(time.Second)
		old := c.Leader()
		c.Kill(old)
		time.Sleep(3 * time.Second)
		require.NotNil(t, c.Leader(), "a new leader within 3 s")
		waitAll(t, c, 4, 30*time.Second)
		require.Equal(t, 24, c.Checker.StartCount(), "the new leader adopts what runs")
	})
}

func TestLeaderDrains(t *testing.T) {
	runCluster(t, 21, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), twoSteps())
		time.Sleep(time.Second)
		old := c.Leader()
		old.Node.Drain(t.Context())
		time.Sleep(400 * time.Millisecond)
		require.NotNil(t, c.Leader(), "leadership is handed over at once")
		require.NotSame(t, old, c.Leader())
		require.False(t, old.Node.Ready())
		waitAll(t, c, 1, 20*time.Second)
		require.Equal(t, 6, c.Checker.StartCount())
	})
}

// A leader that is cut off from the store keeps giving orders for a while. A peer that does not
// know the next leader yet forwards new jobs to it. It must not start them: the next leader
// assumes that jobs accepted in its own term have no runs, so they would run twice.
func TestLeaderCutFromStore(t *testing.T) {
	runCluster(t, 22, 4, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		const jobs = 30
		one := fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second, Checkpoints: true}}}
		submit(t, c, jobID(jobs), one)
		time.Sleep(200 * time.Millisecond)
		var packed *fleettest.Worker // the worker on which the leader places further tasks
		for _, w := range c.Fleet {
			if c.Workers.RunCount(w) > 0 {
				packed = w
			}
		}
		old := c.Leader()
		old.Store.SetFault(fleettest.Silent)
		var slow *fleettest.Member
		for _, m := range c.Nodes {
			if m != old {
				slow = m
				m.Workers.Cut(packed, true) // the next leader cannot fence this worker
			}
		}
		slow.Store.SetDelay(400 * time.Millisecond) // it learns late of the next leader
		for i := range jobs {
			go func() { _ = slow.Node.Submit(t.Context(), c.Queue, jobID(i), one) }()
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(time.Second)
		slow.Store.SetDelay(0)
		for _, m := range c.Nodes {
			m.Workers.Cut(packed, false)
		}
		old.Store.SetFault(fleettest.Healthy)
		waitAll(t, c, jobs+1, 60*time.Second)
	})
}

// The former leader reaches workers that the new leader does not reach. Their runs may continue
// under its leases, so the new leader must not start these tasks elsewhere meanwhile.
func TestLeaderCutFromStoreHoldsWorkersThatOthersMiss(t *testing.T) {
	runCluster(t, 23, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 4 {
			submit(t, c, jobID(i), twoSteps())
		}
		time.Sleep(200 * time.Millisecond)
		old := c.Leader()
		for _, m := range c.Nodes {
			if m != old {
				m.Workers.Cut(c.Fleet[0], true)
				m.Workers.Cut(c.Fleet[1], true)
			}
		}
		old.Store.SetFault(fleettest.Busy)
		time.Sleep(8 * time.Second)
		for _, m := range c.Nodes {
			m.Workers.Cut(c.Fleet[0], false)
			m.Workers.Cut(c.Fleet[1], false)
		}
		old.Store.SetFault(fleettest.Healthy)
		waitAll(t, c, 4, 60*time.Second)
	})
}

func TestAllNodesKilledAtOnce(t *testing.T) {
	runCluster(t, 24, 4, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 6 {
			submit(t, c, jobID(i), twoSteps())
		}
		c.StopAll()
		time.Sleep(time.Second)
		c.StartAll()
		waitAll(t, c, 6, 60*time.Second)
	})
}

func TestStoreDownForAll(t *testing.T) {
	for _, fault := range []fleettest.Fault{fleettest.Silent, fleettest.Busy} {
		runCluster(t, 25, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
			for i := range 4 {
				submit(t, c, jobID(i), twoSteps())
			}
			time.Sleep(time.Second)
			old := c.Leader()
			for _, m := range c.Nodes {
				m.Store.SetFault(fault)
			}
			time.Sleep(5 * time.Second)
			for _, m := range c.Nodes {
				require.False(t, m.Node.Ready(), "a node without the store is not ready")
				m.Store.SetFault(fleettest.Healthy)
			}
			waitAll(t, c, 4, 30*time.Second)
			require.Equal(t, 24, c.Checker.StartCount(), "runs continue during an outage")
			require.Same(t, old, c.Leader(), "an outage for all changes no leader")
		})
	}
}

func TestStoreCompaction(t *testing.T) {
	runCluster(t, 26, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 8 {
			submit(t, c, jobID(i), twoSteps())
			c.Store.Compact()
			time.Sleep(100 * time.Millisecond)
		}
		c.SetDataCentreOut("dc1", true)
		c.Store.Compact()
		waitAll(t, c, 8, 30*time.Second)
	})
}

func TestTransactionsLostAndLate(t *testing.T) {
	for seed := range uint64(5) {
		runCluster(t, 30+seed, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
			c.Store.SetTransactionFaults(0.25, 0.15)
			for i := range 5 {
				submit(t, c, jobID(i), twoSteps())
			}
			for c.Leader() == nil { // the leader may just be changing
				time.Sleep(50 * time.Millisecond)
			}
			c.Kill(c.Leader())
			waitAll(t, c, 5, 120*time.Second)
		})
	}
}

func TestOrdersLate(t *testing.T) {
	for seed := range uint64(5) {
		runCluster(t, 40+seed, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
			c.Workers.WithLock(func() { c.Workers.LateShare = 0.2 })
			for i := range 6 {
				submit(t, c, jobID(i), twoSteps())
			}
			waitAll(t, c, 6, 120*time.Second)
		})
	}
}

// An unreachable worker finishes a task and its lease expires, so the leader starts the task
// again. That start takes effect late, after the end of the first run was reported and
// acknowledged. The contract allows it, as the leader could not know. The task must be done
// once, and the second run must be stopped.
func TestLateRestartOfFinishedTask(t *testing.T) {
	one := fleet.Spec{Text: "x", Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}}}
	for seed := range uint64(5) {
		runCluster(t, 45+seed, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
			reach := func(w *fleettest.Worker, ok bool) {
				for _, m := range c.Nodes {
					m.Workers.Cut(w, !ok)
				}
			}
			submit(t, c, jobID(0), one)
			time.Sleep(500 * time.Millisecond)
			first, second := c.Fleet[0], c.Fleet[1]
			if c.Workers.RunCount(first) == 0 {
				first, second = second, first
			}
			reach(first, false)
			time.Sleep(4500 * time.Millisecond)
			c.Workers.WithLock(func() { c.Workers.LateShare = 1 })
			time.Sleep(1500 * time.Millisecond) // the lease has expired and the second start is sent
			c.Workers.WithLock(func() { c.Workers.LateShare = 0 })
			reach(second, false)
			reach(first, true)
			waitAll(t, c, 1, 5*time.Second)
			time.Sleep(4 * time.Second)
			require.Equal(t, 2, c.Checker.StartCount())
			reach(second, true)
			time.Sleep(2 * time.Second)
			require.Zero(t, c.Workers.RunCount(second), "the late run is stopped")
		})
	}
}

func TestWorkerLost(t *testing.T) {
	runCluster(t, 50, 3, 3, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 3 {
			submit(t, c, jobID(i), twoSteps())
		}
		time.Sleep(time.Second)
		c.Workers.Kill(c.Fleet[0])
		waitAll(t, c, 3, 40*time.Second)
	})
}

func TestWorkerStartsAgain(t *testing.T) {
	runCluster(t, 51, 3, 2, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), twoSteps())
		time.Sleep(time.Second)
		for _, w := range c.Fleet {
			c.Workers.Kill(w)
		}
		c.AddWorker("w0")
		c.AddWorker("w1")
		begun := time.Now()
		waitAll(t, c, 1, 40*time.Second)
		require.Less(t, time.Since(begun), 8*time.Second, "a new lifetime frees the tasks of the former one at once")
	})
}

func TestWorkerCutAndBack(t *testing.T) {
	runCluster(t, 52, 3, 3, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 3 {
			submit(t, c, jobID(i), twoSteps())
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range c.Nodes {
			m.Workers.Cut(c.Fleet[0], true)
		}
		time.Sleep(7 * time.Second)
		for _, m := range c.Nodes {
			m.Workers.Cut(c.Fleet[0], false)
		}
		waitAll(t, c, 3, 40*time.Second)
	})
}

func TestWorkerFailsAll(t *testing.T) {
	runCluster(t, 53, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.Workers.WithLock(func() { c.Fleet[0].Fail = true })
		for i := range 6 {
			submit(t, c, jobID(i), twoSteps())
			time.Sleep(200 * time.Millisecond)
		}
		waitAll(t, c, 6, 40*time.Second)
	})
}

func TestWorkerHangs(t *testing.T) {
	runCluster(t, 54, 3, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.Workers.WithLock(func() { c.Fleet[0].Hang = true })
		for i := range 3 {
			submit(t, c, jobID(i), twoSteps())
		}
		waitAll(t, c, 3, 30*time.Second)
	})
}

// A run that reaches 100% and does not end would keep its job open for ever. It must be stopped
// and its task started again.
func TestRunsThatNeverEnd(t *testing.T) {
	runCluster(t, 56, 3, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.Workers.WithLock(func() { c.Fleet[0].Unending = true })
		for i := range 3 {
			submit(t, c, jobID(i), twoSteps())
		}
		waitAll(t, c, 3, 60*time.Second)
	})
}

// Ends of tasks that the leader could not store before it died must reach the next leader: the
// workers report them until they are acknowledged. Otherwise finished tasks would start again.
func TestUnstoredTaskEndsAreReportedAgain(t *testing.T) {
	runCluster(t, 55, 3, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), twoSteps())
		time.Sleep(950 * time.Millisecond)
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Silent) // ends of the first step cannot be stored
		}
		time.Sleep(1500 * time.Millisecond)
		c.Kill(c.Leader())
		for _, m := range c.Nodes {
			if m.Up() {
				m.Store.SetFault(fleettest.Healthy)
			}
		}
		waitAll(t, c, 1, 30*time.Second)
		require.Equal(t, 6, c.Checker.StartCount(), "workers report the ends again that the former leader saw")
	})
}

// A filler keeps the pace that a former leader or a late order has set. The leader must set the
// pace again, or a paused filler would not continue.
func TestPaceOfAdoptedFillerIsSetAgain(t *testing.T) {
	filler := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: time.Minute, Needs: smallNeeds, Filler: true}
	}
	for _, change := range []string{"leader", "late order"} {
		runCluster(t, 56, 3, 1, filler, func(t *testing.T, c *fleettest.Cluster) {
			submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 2, Needs: smallNeeds, Filler: true, Image: "f", Estimate: time.Minute}}})
			time.Sleep(time.Second)
			c.Workers.SetPaces(c.Fleet[0], 0)
			if change == "leader" {
				c.Kill(c.Leader())
			}
			time.Sleep(6 * time.Second)
			require.Equal(t, []int{100, 100}, c.Workers.Paces(c.Fleet[0]), change)
			require.Equal(t, 2, c.Checker.StartCount(), "no task is moved")
		})
	}
}

// A worker is lost and its leases end before the leader changes. The new leader must not wait
// for these leases again before it starts the tasks elsewhere.
func TestWorkerLostBeforeLeaderChange(t *testing.T) {
	runCluster(t, 57, 3, 3, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, PerWorker: 2, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		c.Workers.Kill(c.Fleet[0])
		c.Unlist(c.Fleet[0])
		time.Sleep(5500 * time.Millisecond) // its leases have ended; its tasks wait due to the limit per worker
		c.Kill(c.Leader())
		time.Sleep(500 * time.Millisecond)
		c.AddWorker("w7")
		time.Sleep(5 * time.Second)
		require.Equal(t, 2, c.Workers.RunCount(c.Fleet[3]))
	})
}

// Lasting tasks never end, so a working one must be enough to end the probation of a worker
// after its quarantine. Otherwise the remaining capacity of the worker would stay unused.
func TestLastingTaskEndsProbation(t *testing.T) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		if strings.HasPrefix(string(n), jobID(0)) {
			return fleettest.Task{Work: time.Second, Needs: smallNeeds}
		}
		return fleettest.Task{Lasting: true, Needs: smallNeeds}
	}
	runCluster(t, 58, 3, 1, tasks, func(t *testing.T, c *fleettest.Cluster) {
		c.Workers.WithLock(func() { c.Fleet[0].Hang = true })
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 2, Needs: smallNeeds, Estimate: time.Second}}})
		time.Sleep(4 * time.Second)
		c.Workers.WithLock(func() { c.Fleet[0].Hang = false })
		require.NoError(t, c.Nodes[0].Node.Cancel(t.Context(), c.Queue, jobID(0)))
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 4, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(12 * time.Second)
		require.Equal(t, 4, c.Workers.RunCount(c.Fleet[0]))
	})
}

// A worker is quarantined while lasting tasks run on it. These must not count as the one run
// that a worker on probation may have: when they did, the worker never got work again.
func TestLastingTasksDoNotBlockProbation(t *testing.T) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		if strings.HasPrefix(string(n), jobID(1)) {
			return fleettest.Task{Work: time.Second, Needs: smallNeeds, Fails: 2}
		}
		return fleettest.Task{Lasting: true, Needs: smallNeeds}
	}
	runCluster(t, 71, 3, 1, tasks, func(t *testing.T, c *fleettest.Cluster) {
		lasting := fleet.Spec{Steps: []fleet.Step{{Count: 2, Needs: smallNeeds, Lasting: true}}}
		submit(t, c, jobID(0), lasting)
		time.Sleep(2 * time.Second)
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}}})
		time.Sleep(2 * time.Second) // both attempts have failed; the worker is quarantined for 4 s
		submit(t, c, jobID(2), lasting)
		time.Sleep(10 * time.Second)
		state, err := c.Nodes[0].Node.State(t.Context(), c.Queue, jobID(1))
		require.NoError(t, err)
		require.Equal(t, fleet.StateFailed, state)
		require.Equal(t, 4, c.Workers.RunCount(c.Fleet[0]))
	})
}

// A node that the store refuses must have the leader store the job. If the leader cannot, the
// node must refuse the job at once, and a refused job must not be stored later.
func TestNodeCutFromStoreForwardsJobs(t *testing.T) {
	runCluster(t, 59, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		var cut *fleettest.Member
		for _, m := range c.Nodes {
			if m != c.Leader() {
				cut = m
			}
		}
		cut.Store.SetFault(fleettest.Busy)
		require.NoError(t, cut.Node.Submit(t.Context(), c.Queue, jobID(0), twoSteps()))
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Busy)
		}
		begun := time.Now()
		err := cut.Node.Submit(t.Context(), c.Queue, jobID(1), twoSteps())
		require.True(t, model.IsKind(err, model.KindUnavailable), "%v", err)
		var retry *fleet.RetryError
		require.ErrorAs(t, err, &retry)
		require.Less(t, time.Since(begun), c.Queue.Objective/2, "a refusal is not delayed")
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Healthy)
		}
		time.Sleep(5 * time.Second)
		_, err = c.Nodes[0].Node.State(t.Context(), c.Queue, jobID(1))
		require.True(t, model.IsKind(err, model.KindGone), "a refused job is never stored: %v", err)
		waitAll(t, c, 1, 20*time.Second)
	})
}

// cancellationShown is the time from the answer to a cancellation until its job is shown as cancelled:
// the rest of a transaction of the leader in flight, 30 ms to the next one, and that.
const cancellationShown = 100 * time.Millisecond

// If the store is silent for one node only, the node must send submissions and cancellations
// to the leader at once instead of waiting for the store.
func TestNodeWithSilentStoreForwardsToLeader(t *testing.T) {
	runCluster(t, 61, 3, 2, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		var cut *fleettest.Member
		for _, m := range c.Nodes {
			if m != c.Leader() {
				cut = m
			}
		}
		cut.Store.SetFault(fleettest.Silent)
		time.Sleep(4 * time.Second)
		begun := time.Now()
		require.NoError(t, cut.Node.Submit(t.Context(), c.Queue, jobID(0), twoSteps()))
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, cut.Node.Cancel(t.Context(), c.Queue, jobID(0)))
		c.Checker.Cancelled(jobID(0))
		require.Less(t, time.Since(begun), 700*time.Millisecond)
		time.Sleep(cancellationShown)
		state, err := cut.Node.State(t.Context(), c.Queue, jobID(0))
		require.NoError(t, err)
		require.Equal(t, fleet.StateCancelled, state)
		require.True(t, model.IsKind(cut.Node.Cancel(t.Context(), c.Queue, jobID(9)), model.KindGone))
	})
}

// The first attempt to store a job gets no answer and the next one is refused. The outcome must
// be reported as unknown, not as a refusal: the first attempt may take effect later.
func TestRefusedRetryLeavesOutcomeUnknown(t *testing.T) {
	runCluster(t, 62, 1, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		m := c.Nodes[0] // there is no other node to store the job
		c.Store.SetTransactionFaults(0, 1)
		time.AfterFunc(690*time.Millisecond, func() { // during the first attempt
			c.Store.SetTransactionFaults(0, 0)
			m.Store.SetFault(fleettest.Busy)
		})
		err := m.Node.Submit(t.Context(), c.Queue, jobID(0), twoSteps())
		require.True(t, model.IsKind(err, model.KindUnknown), "%v", err)
		m.Store.SetFault(fleettest.Healthy)
		waitAll(t, c, 1, 20*time.Second)
	})
}

// If the store does not answer, the outcome of a submission is unknown. The caller must be told
// within a second instead of waiting for the store.
func TestSilentStoreLeavesOutcomeUnknown(t *testing.T) {
	runCluster(t, 60, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Silent)
		}
		time.Sleep(4 * time.Second)
		begun := time.Now()
		err := c.Nodes[0].Node.Submit(t.Context(), c.Queue, jobID(0), twoSteps())
		require.True(t, model.IsKind(err, model.KindUnknown), "%v", err)
		require.Less(t, time.Since(begun), time.Second)
	})
}

// A leader that is cut off from the store and from a worker computes that the leases there have
// ended, while the next leader has renewed them. It must not start the tasks elsewhere.
func TestCutOffLeaderRestartsNothing(t *testing.T) {
	runCluster(t, 62, 3, 2, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 4, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		old := c.Leader()
		held, free := c.Fleet[0], c.Fleet[1]
		if c.Workers.RunCount(held) == 0 {
			held, free = free, held
		}
		require.Equal(t, 4, c.Workers.RunCount(held))
		old.Store.SetFault(fleettest.Silent)
		old.Workers.Cut(held, true)
		for _, m := range c.Nodes {
			if m != old {
				m.Workers.Cut(free, true)
			}
		}
		time.Sleep(9 * time.Second)
		require.Equal(t, 4, c.Workers.RunCount(held))
		require.Zero(t, c.Workers.RunCount(free))
	})
}

// The order to start a copy waited for a connection, as other calls to the worker had no answer. The
// task was done meanwhile, and the copy started long after its end.
func TestOrderThatWaitsForConnectionIsWithdrawn(t *testing.T) {
	task := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: time.Second, Needs: smallNeeds, Speculative: true}
	}
	runCluster(t, 59, 3, 3, task, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: 500 * time.Millisecond, Speculative: true}}})
		time.Sleep(300 * time.Millisecond)
		for _, m := range c.Nodes {
			m.Workers.SetOrderQueueTime(450 * time.Millisecond)
		}
		waitState(t, c, jobID(0), fleet.StateCompleted, 10*time.Second)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, c.Checker.StartCount())
	})
}

// A job counted as begun once a start order was sent, although no worker had answered one.
func TestJobIsPendingUntilWorkerAnswers(t *testing.T) {
	runCluster(t, 61, 3, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		pending := func() int {
			n, err := c.Nodes[0].Node.Pending(t.Context(), c.Queue)
			require.NoError(t, err)
			return n
		}
		for _, m := range c.Nodes {
			m.Workers.CutAll(true)
		}
		submit(t, c, jobID(0), twoSteps())
		time.Sleep(time.Second)
		require.Equal(t, 1, pending())
		for _, m := range c.Nodes {
			m.Workers.CutAll(false)
		}
		for c.Checker.StartCount() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.Zero(t, pending())
		waitAll(t, c, 1, 30*time.Second)
	})
}
