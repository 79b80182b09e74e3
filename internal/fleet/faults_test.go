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

// slowTask is a task of three seconds, so that faults strike while it runs.
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
		require.NotNil(t, c.Leader(), "the lead is handed over at once")
		require.NotSame(t, old, c.Leader())
		require.False(t, old.Node.Ready())
		waitAll(t, c, 1, 20*time.Second)
		require.Equal(t, 6, c.Checker.StartCount())
	})
}

// A leader that is cut off from the store goes on giving orders for a while and
// hears of new jobs from a peer that does not know the next leader yet. It must
// not start them: the next leader takes them for jobs that nobody has started.
func TestLeaderCutFromStore(t *testing.T) {
	runCluster(t, 22, 4, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		const jobs = 30
		one := fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second, Checkpoints: true}}}
		submit(t, c, jobID(jobs), one)
		time.Sleep(200 * time.Millisecond)
		var packed *fleettest.Worker // where the leader packs further work
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
		slow.Store.SetDelay(400 * time.Millisecond) // it hears late of the next leader
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

// The former leader reaches workers that the new leader does not: their runs may
// go on under its leases, so nothing of them may start elsewhere meanwhile.
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
			require.Equal(t, 24, c.Checker.StartCount(), "work goes on during an outage")
			require.Same(t, old, c.Leader(), "an outage for all changes no leader")
		})
	}
}

func TestStoreForgetsHistory(t *testing.T) {
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
			for c.Leader() == nil { // the lead may just pass on
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

// A worker ends a task unheard and its lease lapses, so the task starts again; that
// start is carried out late, after the first end was heard of and acknowledged.
// The contract allows it: the leader could not know. The task still counts once.
func TestEndOfLapsedWorkerBesideLateStart(t *testing.T) {
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
			time.Sleep(1500 * time.Millisecond) // the lease is over: the second start is sent
			c.Workers.WithLock(func() { c.Workers.LateShare = 0 })
			reach(second, false)
			reach(first, true)
			waitAll(t, c, 1, 5*time.Second)
			time.Sleep(4 * time.Second)
			require.Equal(t, 2, c.Checker.StartCount())
			reach(second, true)
			time.Sleep(2 * time.Second)
			require.Zero(t, c.Workers.RunCount(second), "what started late is stopped")
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

// A task that has made all its progress must end; one that does not is started anew.
func TestRunsThatNeverEnd(t *testing.T) {
	runCluster(t, 56, 3, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.Workers.WithLock(func() { c.Fleet[0].Unending = true })
		for i := range 3 {
			submit(t, c, jobID(i), twoSteps())
		}
		waitAll(t, c, 3, 60*time.Second)
	})
}

func TestClusterWithoutNoteOfDoneStartsNothingTwice(t *testing.T) {
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
		require.Equal(t, 6, c.Checker.StartCount(), "ends that the former leader saw are listed again")
	})
}

// The pace that a former leader gave a filler stays with the worker.
func TestPaceOfAdoptedFillerIsSetAnew(t *testing.T) {
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

// A worker that has gone before a change of leader does not hold the tasks back
// that it ran: the former leader has seen its leases end.
func TestWorkerGoneBeforeLeaderChanges(t *testing.T) {
	runCluster(t, 57, 3, 3, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, PerWorker: 2, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		c.Workers.Kill(c.Fleet[0])
		c.Unlist(c.Fleet[0])
		time.Sleep(5500 * time.Millisecond) // its leases are over, the bound keeps its tasks waiting
		c.Kill(c.Leader())
		time.Sleep(500 * time.Millisecond)
		c.AddWorker("w7")
		time.Sleep(5 * time.Second)
		require.Equal(t, 2, c.Workers.RunCount(c.Fleet[3]))
	})
}

// Lasting tasks never end, so their work must be enough to trust a worker again
// after a rest; otherwise its room stays unused.
func TestWorkerIsTrustedAgainByLastingTask(t *testing.T) {
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

// A worker that rested while lasting tasks worked on it gets work again. They are
// no run on trial: as long as they were taken for one, the worker got nothing.
func TestWorkerWithLastingTasksIsTriedAgain(t *testing.T) {
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
		time.Sleep(2 * time.Second) // both attempts have failed, the worker rests for 4 s
		submit(t, c, jobID(2), lasting)
		time.Sleep(10 * time.Second)
		state, err := c.Nodes[0].Node.State(t.Context(), c.Queue, jobID(1))
		require.NoError(t, err)
		require.Equal(t, fleet.StateFailed, state)
		require.Equal(t, 4, c.Workers.RunCount(c.Fleet[0]))
	})
}

// A node that the store turns away lets the leader store the job. Without a
// leader that can, its refusal is at once and true.
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
		require.Less(t, time.Since(begun), c.Queue.Objective/2, "a refusal is not held back")
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Healthy)
		}
		time.Sleep(5 * time.Second)
		_, err = c.Nodes[0].Node.State(t.Context(), c.Queue, jobID(1))
		require.True(t, model.IsKind(err, model.KindGone), "a refused job is never stored: %v", err)
		waitAll(t, c, 1, 20*time.Second)
	})
}

// A node that has lost a silent store alone goes through the leader at once, for
// submissions and cancellations.
func TestNodeThatLostTheStoreGoesThroughTheLeader(t *testing.T) {
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
		time.Sleep(20 * time.Millisecond) // the leader hears of it
		state, err := cut.Node.State(t.Context(), c.Queue, jobID(0))
		require.NoError(t, err)
		require.Equal(t, fleet.StateCancelled, state)
		require.True(t, model.IsKind(cut.Node.Cancel(t.Context(), c.Queue, jobID(9)), model.KindGone))
	})
}

// A silent store leaves the outcome of a submission open; the answer says so soon.
// A refusal after a try without an answer would be untrue: that try may land later.
func TestStoreThatTurnsBusyLeavesOutcomeOpen(t *testing.T) {
	runCluster(t, 62, 1, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		m := c.Nodes[0] // no other node can store the job for it
		c.Store.SetTransactionFaults(0, 1)
		time.AfterFunc(690*time.Millisecond, func() { // within the first try
			c.Store.SetTransactionFaults(0, 0)
			m.Store.SetFault(fleettest.Busy)
		})
		err := m.Node.Submit(t.Context(), c.Queue, jobID(0), twoSteps())
		require.True(t, model.IsKind(err, model.KindUnknown), "%v", err)
		m.Store.SetFault(fleettest.Healthy)
		waitAll(t, c, 1, 20*time.Second)
	})
}

func TestSilentStoreLeavesOutcomeOpen(t *testing.T) {
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

// A leader that is cut off from the store and from a worker sees the leases there
// end by its own reckoning, while the next leader has renewed them.
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
