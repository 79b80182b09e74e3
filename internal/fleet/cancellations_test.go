package fleet_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// cancelSeeds is the number of seeds for which TestRandomCancellations plays each kind of sequence.
const cancelSeeds = 8

// orderDelay is longer than a call without an answer takes to have its effect, and cancelledTime
// longer than the contract lets a run go on whose job was cancelled or which was started late.
const (
	orderDelay    = 4 * time.Second
	cancelledTime = 7 * time.Second
)

// tryCancel cancels a job at a node and reports whether the caller was told that it does not run.
func tryCancel(c *fleettest.Cluster, m *fleettest.Member, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := m.Node.Cancel(ctx, c.Queue, id); err != nil && !model.IsKind(err, model.KindGone) {
		return false
	}
	c.Checker.Cancelled(id)
	return true
}

// cancelSomewhere cancels a job at one node after the other until it is acknowledged.
func cancelSomewhere(t *testing.T, c *fleettest.Cluster, id string) {
	t.Helper()
	for try := range 40 {
		if m := c.Nodes[try%len(c.Nodes)]; m.Up() && tryCancel(c, m, id) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatalf("the cancellation of job %s is not acknowledged", id)
}

// TestRandomCancellations injects random sequences of faults while jobs arrive and are cancelled,
// also jobs whose submission has no answer, and while workers start again. No run of a cancelled job
// goes on after the faults have ended.
func TestRandomCancellations(t *testing.T) {
	t.Parallel()
	first, end := seedRange(t, 600, cancelSeeds)
	for seed := first; seed < end; seed++ {
		for name, play := range map[string]struct{ kinds, cells int }{"": {commonFaults, 0}, "cells-": {allFaults, 3}, "overload-": {overloadFaults, 1 + 2*(seed%2)}} {
			t.Run(name+strconv.Itoa(seed), func(t *testing.T) { runCancellations(t, uint64(seed), play.kinds, play.cells) })
		}
	}
}

// cancellations are the jobs of a sequence and what callers have done with them.
type cancellations struct {
	c         *fleettest.Cluster
	random    *rand.Rand
	submitted []string // not cancelled yet
	unsettled []string // their cancellation is not acknowledged
}

func runCancellations(t *testing.T, seed uint64, kinds, cells int) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		if n[15]%2 == 0 {
			return fleettest.Task{Lasting: true, Needs: smallNeeds}
		}
		return fleettest.Task{Work: 20 * time.Second, Needs: smallNeeds, Checkpoint: true}
	}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, 4, 6, tasks)
		c.Cells = cells
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		f := &faults{c: c, random: rand.New(rand.NewPCG(seed, 7)), next: 6, kinds: kinds}
		k := &cancellations{c: c, random: rand.New(rand.NewPCG(seed, 17))}
		if kinds > commonFaults {
			setHostSizes(c, 200, 800, 200, 400)
		}
		c.Checker.Disturb()
		for i := range 24 {
			if f.random.IntN(3) > 0 {
				f.injectFault()
			}
			k.submit(i)
			for k.random.IntN(2) == 0 {
				k.cancelOne()
			}
			if k.random.IntN(3) == 0 {
				k.restartWorker()
			}
			time.Sleep(time.Duration(100+k.random.IntN(900)) * time.Millisecond)
		}
		f.endFaults()
		for len(k.submitted) > 3 {
			k.cancelOne()
		}
		c.Checker.Calm()
		for _, id := range k.unsettled {
			cancelSomewhere(t, c, id)
		}
		time.Sleep(orderDelay + cancelledTime)
		for _, id := range k.submitted {
			cancelSomewhere(t, c, id)
		}
		time.Sleep(cancelledTime)
		require.Empty(t, c.Checker.Violations())
		require.Zero(t, runningAll(c), "all jobs are cancelled")
	})
}

// submit submits a job at one node, which may be unable to tell whether it has accepted it.
func (k *cancellations) submit(i int) {
	m := k.c.Nodes[k.random.IntN(len(k.c.Nodes))]
	if !m.Up() {
		return
	}
	spec := fleet.Spec{Text: "x", Steps: []fleet.Step{{Count: 1 + k.random.IntN(3), Needs: smallNeeds, Estimate: 20 * time.Second, Checkpoints: true}}}
	if jobID(i)[15]%2 == 0 {
		spec.Steps[0].Lasting = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(200+k.random.IntN(2000))*time.Millisecond)
	defer cancel()
	_ = m.Node.Submit(ctx, k.c.Queue, jobID(i), spec)
	k.submitted = append(k.submitted, jobID(i))
}

// cancelOne cancels a job at one node.
func (k *cancellations) cancelOne() {
	m := k.c.Nodes[k.random.IntN(len(k.c.Nodes))]
	if len(k.submitted) == 0 || !m.Up() {
		return
	}
	i := k.random.IntN(len(k.submitted))
	id := k.submitted[i]
	k.submitted = append(k.submitted[:i], k.submitted[i+1:]...)
	if !tryCancel(k.c, m, id) {
		k.unsettled = append(k.unsettled, id)
	}
}

// restartWorker ends a worker and starts its next lifetime, which is listed some time later.
func (k *cancellations) restartWorker() {
	running := k.c.RunningWorkers()
	if len(running) < 3 {
		return
	}
	w := running[k.random.IntN(len(running))]
	k.c.Workers.Kill(w)
	time.AfterFunc(time.Duration(k.random.IntN(1500))*time.Millisecond, func() {
		if k.c.Workers.Runs(w.Info.Addr) { // started again already
			return
		}
		next := k.c.StartWorker(string(w.Info.Worker))
		time.AfterFunc(entryDelay, func() { k.c.List(next) })
	})
}

// A start without an answer was settled by an answered stop, and its worker started again. The next
// lifetime carried the order out: nothing was known to run there, so nobody asked, and the run of the
// cancelled job went on until its lease ended.
func TestNextLifetimeRefusesSettledStart(t *testing.T) {
	lastingJob := fleet.Spec{Steps: []fleet.Step{{Count: 2, Needs: smallNeeds, Lasting: true}}}
	for seed := range uint64(8) {
		runCluster(t, 620+seed, 3, 2, lasting, func(t *testing.T, c *fleettest.Cluster) {
			sendUnverifiedStarts(c)
			c.Workers.WithLock(func() { c.Workers.LateShare, c.Workers.LateToNext = 1, true })
			submit(t, c, jobID(0), lastingJob)
			time.Sleep(150 * time.Millisecond) // the orders are on their way
			c.Workers.WithLock(func() { c.Workers.LateShare = 0 })
			cancelSomewhere(t, c, jobID(0))
			time.Sleep(800 * time.Millisecond) // they got no answer and are settled
			for _, w := range c.RunningWorkers() {
				c.List(restart(c, w))
			}
			time.Sleep(orderDelay + cancelledTime)
			require.Zero(t, c.Checker.StartCount(), "no lifetime carries the orders out")
		})
	}
}

// The write of a job's row got no answer and had its effect after a caller had been told that there is
// no such job: the job ran.
func TestJobIsNotAcceptedAfterCancellation(t *testing.T) {
	for seed := range uint64(6) {
		runCluster(t, 640+seed, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
			c.Store.SetTransactionFaults(0, 1)
			time.AfterFunc(100*time.Millisecond, func() { c.Store.SetTransactionFaults(0, 0) })
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			require.True(t, model.IsKind(c.Nodes[0].Node.Submit(ctx, c.Queue, jobID(0), twoSteps()), model.KindUnknown))
			require.True(t, model.IsKind(c.Nodes[1].Node.Cancel(t.Context(), c.Queue, jobID(0)), model.KindGone))
			time.Sleep(8 * time.Second)
			require.Zero(t, c.Checker.StartCount())
			require.True(t, model.IsKind(c.Nodes[1].Node.Cancel(t.Context(), c.Queue, jobID(0)), model.KindGone))
			require.True(t, model.IsKind(c.Nodes[2].Node.Submit(t.Context(), c.Queue, jobID(0), twoSteps()), model.KindUnavailable))
			_, err := c.Nodes[2].Node.State(t.Context(), c.Queue, jobID(0))
			require.True(t, model.IsKind(err, model.KindGone))
			if seed%2 == 0 {
				c.Kill(c.Leader())
			}
			time.Sleep(3 * time.Minute) // longer than the retention
			require.Empty(t, c.Store.Rows("vp-jobs"), "old cancellations are deleted")
		})
	}
}

// A cell had borrowed a task of a job that was cancelled while its own leader did not reach the store.
// Before the owner of the job could tell it, all nodes ended. The next leader of the cell read no
// cancellations of other cells, and the next leader of the owner did not know any more that it had
// lent the task: it ran for ever.
func TestNextLeaderReadsCancellationsOfBorrowedTasks(t *testing.T) {
	for seed := range uint64(6) {
		lendOne(t, 650+seed, func(t *testing.T, c *fleettest.Cluster) {
			owner := member(c, leaders(t, c)[seed%2]) // the leader of the owner or of the borrower
			for _, m := range c.Nodes {
				if m != owner {
					m.Store.SetFault(fleettest.Silent)
				}
			}
			owner.Store.RefuseWrites("vp-moved")
			require.NoError(t, owner.Node.Cancel(t.Context(), c.Queue, jobID(0)))
			c.Checker.Cancelled(jobID(0))
			time.Sleep(300 * time.Millisecond)
			c.StopAll()
			c.StartAll()
			time.Sleep(4 * time.Second)
			require.Zero(t, runningAll(c))
		})
	}
}
