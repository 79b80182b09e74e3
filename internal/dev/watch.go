package dev

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/node"
	"github.com/vanillapier/vanillapier/internal/waiting"
)

// watchEvery is the interval at which the views of the nodes are polled.
const watchEvery = 100 * time.Millisecond

// viewMonitor polls the views of all nodes. It measures how long records take to be
// applied on all nodes and detects views that go back to an earlier sequence.
type viewMonitor struct {
	cluster  *cluster
	operator *operator

	mu       sync.Mutex
	pending  map[uint64]time.Time
	slowest  time.Duration
	applied  int
	highest  map[*node.Node]uint64
	reverted int
}

func newViewMonitor(c *cluster) *viewMonitor {
	return &viewMonitor{
		cluster: c, operator: &operator{cluster: c, client: &http.Client{}},
		pending: map[uint64]time.Time{}, highest: map[*node.Node]uint64{},
	}
}

// expect adds a record that all nodes must apply.
func (w *viewMonitor) expect(sequence uint64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[sequence] = at
}

// run polls the views until ctx ends.
func (w *viewMonitor) run(ctx context.Context) {
	for waiting.Sleep(ctx, watchEvery) {
		w.read(ctx)
	}
}

func (w *viewMonitor) read(ctx context.Context) {
	lowest, known := ^uint64(0), false
	for _, n := range w.cluster.running() {
		_, admin, _ := n.Addrs()
		call, cancel := context.WithTimeout(ctx, time.Second)
		view, err := w.operator.view(call, admin)
		cancel()
		if err != nil || view.Sequence == 0 {
			continue // a node that is starting or stopping has no view
		}
		known = true
		lowest = min(lowest, view.Sequence)
		w.recordView(n, view.Sequence)
	}
	if known {
		w.markApplied(lowest)
	}
}

func (w *viewMonitor) recordView(n *node.Node, sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if sequence < w.highest[n] {
		w.reverted++
	}
	w.highest[n] = max(w.highest[n], sequence)
}

// markApplied completes the pending records up to lowest, the sequence of the slowest
// node.
func (w *viewMonitor) markApplied(lowest uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for sequence, at := range w.pending {
		if sequence <= lowest {
			w.slowest = max(w.slowest, time.Since(at))
			w.applied++
			delete(w.pending, sequence)
		}
	}
}

// result returns the longest time until a record was applied on all nodes, and the numbers
// of applied records, pending records and reverted views.
func (w *viewMonitor) result() (slowest time.Duration, applied, waiting, reverted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowest, w.applied, len(w.pending), w.reverted
}

// urgentDelays returns the time from each urgent order to the start of its task. Because
// no order can be accepted while the store is down, the time of an order sent then counts
// from the end of the outage.
func urgentDelays(tracker *orderTracker, starts map[model.TaskID]time.Time, storeOutages []outage) []time.Duration {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var delays []time.Duration
	for _, e := range tracker.orders {
		if e.spec.Urgency != "urgent" || e.job == "" {
			continue
		}
		from := e.sentAt
		for _, o := range storeOutages {
			if from.After(o.from) && from.Before(o.to) {
				from = o.to
			}
		}
		if at, ok := starts[model.TaskID(string(e.job)+"/0")]; ok {
			delays = append(delays, at.Sub(from))
		}
	}
	return delays
}
