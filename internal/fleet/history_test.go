package fleet_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// historyCallers call the nodes of a cluster and record what they are told.
type historyCallers struct {
	c       *fleettest.Cluster
	history *fleettest.History
	calls   sync.WaitGroup
}

const (
	// historyVisibility is the contract's time until every node knows a job or a cancellation.
	historyVisibility = 3 * time.Second
	// historyCallTimeout is how long a caller waits for an answer.
	historyCallTimeout = 3 * time.Second
)

func newHistoryCallers(c *fleettest.Cluster) *historyCallers {
	return &historyCallers{c: c, history: fleettest.NewHistory(time.Now())}
}

// call calls a node and records the result. An answer of a process that was killed is lost.
func (h *historyCallers) call(m *fleettest.Member, kind fleettest.CallKind, id string, do func(context.Context, *fleet.Node) (fleet.State, error)) fleettest.Call {
	call := fleettest.Call{Kind: kind, Job: id, Node: m.Name, Result: fleettest.CallUnknown}
	n := m.Running()
	if n == nil {
		return call
	}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), historyCallTimeout)
	defer cancel()
	state, err := do(ctx, n)
	switch {
	case m.Running() != n:
	case err == nil:
		call.Result, call.State = fleettest.CallAccepted, state
	case model.IsKind(err, model.KindGone):
		call.Result = fleettest.CallGone
	}
	h.history.Record(call, sent)
	return call
}

func (h *historyCallers) submit(m *fleettest.Member, id string, s fleet.Spec) fleettest.Call {
	return h.call(m, fleettest.CallSubmit, id, func(ctx context.Context, n *fleet.Node) (fleet.State, error) {
		return "", n.Submit(ctx, h.c.Queue, id, s)
	})
}

func (h *historyCallers) state(m *fleettest.Member, id string) fleettest.Call {
	return h.call(m, fleettest.CallState, id, func(ctx context.Context, n *fleet.Node) (fleet.State, error) {
		return n.State(ctx, h.c.Queue, id)
	})
}

func (h *historyCallers) cancel(m *fleettest.Member, id string) fleettest.Call {
	return h.call(m, fleettest.CallCancel, id, func(ctx context.Context, n *fleet.Node) (fleet.State, error) {
		return "", n.Cancel(ctx, h.c.Queue, id)
	})
}

// check waits for the calls in flight and judges all calls.
func (h *historyCallers) check(t *testing.T, calmSince time.Duration) {
	t.Helper()
	h.calls.Wait()
	for _, v := range fleettest.CheckHistory(h.history.Calls(), fleettest.HistoryBounds{Visibility: historyVisibility, CalmSince: calmSince}) {
		t.Errorf("%.3f s %s", v.At.Seconds(), v.Text)
	}
}

// A leader that was cut off from the store showed a job as running for up to 7 s after its last
// renewal, while the next leader had already shown the job as completed.
func TestFormerLeaderShowsNoOlderState(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			task := func(n fleet.TaskName) fleettest.Task {
				if n == (fleet.TaskName(jobID(0) + ".0.0.0")) {
					return fleettest.Task{Work: 200 * time.Millisecond, Needs: smallNeeds}
				}
				return fleettest.Task{Work: 3 * time.Second, Needs: smallNeeds}
			}
			steps := []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: 200 * time.Millisecond}, {Count: 2, Needs: smallNeeds, Estimate: 3 * time.Second, After: []int{0}}}
			runCluster(t, 460+seed, 3, 2, task, func(t *testing.T, c *fleettest.Cluster) {
				h := newHistoryCallers(c)
				require.Equal(t, fleettest.CallAccepted, h.submit(c.Nodes[0], jobID(0), fleet.Spec{Steps: steps}).Result)
				time.Sleep(time.Second) // the end of the first step is stored
				former := c.Leader()
				former.Store.SetFault(fleettest.Silent)
				former.Peers.Cut(true) // it does not hear of the next term
				former.Workers.CutAll(true)
				for range 120 {
					for _, m := range c.Nodes {
						h.calls.Go(func() { h.state(m, jobID(0)) })
					}
					time.Sleep(100 * time.Millisecond)
				}
				former.Store.SetFault(fleettest.Healthy)
				former.Peers.Cut(false)
				former.Workers.CutAll(false)
				waitState(t, c, jobID(0), fleet.StateCompleted, 10*time.Second)
				h.check(t, 0)
			})
		})
	}
}

// A leader showed a job as running as soon as it had sent the first start. The store held nothing of
// that until a task had ended, so nodes that read it, also the next leader, showed the job as queued.
func TestRunningJobIsNotShownAsQueued(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 30 * time.Second, Needs: smallNeeds} }
			runCluster(t, 480+seed, 3, 2, long, func(t *testing.T, c *fleettest.Cluster) {
				h := newHistoryCallers(c)
				require.Equal(t, fleettest.CallAccepted, h.submit(c.Nodes[0], jobID(0), twoSteps()).Result)
				observe := func() {
					for range 50 {
						for _, m := range c.Nodes {
							h.calls.Go(func() { h.state(m, jobID(0)) })
						}
						time.Sleep(20 * time.Millisecond)
					}
				}
				observe()
				leader := c.Leader()
				leader.Peers.Cut(true)
				observe()
				c.Kill(leader)
				observe()
				time.Sleep(settleTime)
				observe()
				h.check(t, 0)
				require.Equal(t, fleet.StateRunning, h.state(c.Leader(), jobID(0)).State)
			})
		})
	}
}

// A leader whose transactions were applied without an answer showed the former states of jobs, after
// other nodes had read the new ones from the store.
func TestLeaderShowsNoOlderStateThanTheStore(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			runCluster(t, 470+seed, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
				const jobs = 20
				h := newHistoryCallers(c)
				leader := c.Leader()
				for _, m := range c.Nodes {
					m.Peers.Cut(m != leader) // they read the store
				}
				for i := range jobs {
					if i == jobs/4 {
						c.Store.SetTransactionFaults(0.5, 0)
					}
					h.calls.Go(func() { h.submit(leader, jobID(i), twoSteps()) })
					for range 10 {
						for _, m := range c.Nodes {
							for k := range i {
								h.calls.Go(func() { h.state(m, jobID(k)) })
							}
						}
						time.Sleep(20 * time.Millisecond)
					}
				}
				c.Store.SetTransactionFaults(0, 0)
				for _, m := range c.Nodes {
					m.Peers.Cut(false)
				}
				waitAll(t, c, jobs, 30*time.Second)
				h.check(t, 0)
			})
		})
	}
}

// A leader showed a job as cancelled before that was stored, and a transaction that was in flight then
// took it back; one that had stored the end of the job was overwritten.
func TestCancellationLeavesFinalState(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			runCluster(t, 490+seed, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
				const jobs, lifetime = 30, 10 // of a job, in jobs that are submitted meanwhile
				h, start := newHistoryCallers(c), time.Now()
				leader := c.Leader()
				for _, m := range c.Nodes {
					m.Peers.Cut(m != leader) // they read the store
				}
				c.Store.SetTransactionFaults(0.5, 0)
				for i := range jobs {
					h.calls.Go(func() { h.submit(leader, jobID(i), twoSteps()) })
					for k := range 10 {
						if k%3 == 0 && i > lifetime {
							h.calls.Go(func() { h.cancel(leader, jobID(i-lifetime-k/3)) })
						}
						for _, m := range c.Nodes {
							for k := range i {
								h.calls.Go(func() { h.state(m, jobID(k)) })
							}
						}
						time.Sleep(20 * time.Millisecond)
					}
				}
				c.Store.SetTransactionFaults(0, 0)
				calm := time.Since(start)
				for _, m := range c.Nodes {
					m.Peers.Cut(false)
				}
				time.Sleep(settleTime)
				for range 10 {
					for i := range jobs {
						h.calls.Go(func() { h.state(c.Nodes[i%len(c.Nodes)], jobID(i)) })
					}
					time.Sleep(time.Second)
				}
				h.check(t, calm)
			})
		})
	}
}

// TestHistoryUnderRandomFaults injects random sequences of faults while callers submit, cancel and
// query jobs at all nodes, and judges what they were told.
func TestHistoryUnderRandomFaults(t *testing.T) {
	t.Parallel()
	first, end := seedRange(t, 1, randomSeeds)
	for seed := first; seed < end; seed++ {
		for _, cells := range []int{1, 3} {
			t.Run(strconv.Itoa(seed)+"-cells-"+strconv.Itoa(cells), func(t *testing.T) { runHistory(t, uint64(seed), cells) })
		}
	}
}

func runHistory(t *testing.T, seed uint64, cells int) {
	random := rand.New(rand.NewPCG(seed, 8))
	tasks := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: 1500 * time.Millisecond, Needs: smallNeeds, Checkpoint: true}
	}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, 4, 5, tasks)
		c.Cells = cells
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		const jobs, callsPerJob = 24, 12
		setHostSizes(c, 200, 800, 200, 400)
		f := &faults{c: c, random: random, next: 5, kinds: overloadFaults}
		h := newHistoryCallers(c)
		start := time.Now()
		for i := range jobs {
			if random.IntN(3) > 0 {
				f.injectFault()
			}
			m := f.node()
			h.calls.Go(func() { h.submit(m, jobID(i), twoSteps()) })
			for k := range callsPerJob {
				m, id := f.node(), jobID(random.IntN(i+1))
				if k == 0 && random.IntN(4) == 0 {
					h.calls.Go(func() { h.cancel(m, id) })
				}
				h.calls.Go(func() { h.state(m, id) })
				time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
			}
		}
		f.endFaults()
		calm := time.Since(start)
		time.Sleep(settleTime + historyVisibility)
		for range 30 {
			for i := range jobs {
				m := f.node()
				h.calls.Go(func() { h.state(m, jobID(i)) })
			}
			time.Sleep(time.Second)
		}
		h.check(t, calm)
	})
}
