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

// watchEvery is the interval at which each node's view is read.
const watchEvery = 100 * time.Millisecond

// watch reads the views of all nodes and notes how long records take to be in
// force everywhere, and whether a view ever goes back.
type watch struct {
	cluster  *cluster
	operator *operator

	mu       sync.Mutex
	pending  map[uint64]time.Time
	slowest  time.Duration
	inForce  int
	highest  map[*node.Node]uint64
	reverted int
}

func newWatch(c *cluster) *watch {
	return &watch{
		cluster: c, operator: &operator{cluster: c, client: &http.Client{}},
		pending: map[uint64]time.Time{}, highest: map[*node.Node]uint64{},
	}
}

// expect notes a record that must come into force everywhere.
func (w *watch) expect(sequence uint64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[sequence] = at
}

// run reads the views until ctx ends.
func (w *watch) run(ctx context.Context) {
	for waiting.Sleep(ctx, watchEvery) {
		w.read(ctx)
	}
}

func (w *watch) read(ctx context.Context) {
	lowest, known := ^uint64(0), false
	for _, n := range w.cluster.running() {
		_, admin, _ := n.Addrs()
		call, cancel := context.WithTimeout(ctx, time.Second)
		view, err := w.operator.view(call, admin)
		cancel()
		if err != nil || view.Sequence == 0 {
			continue // a node that starts or stops serves no view
		}
		known = true
		lowest = min(lowest, view.Sequence)
		w.note(n, view.Sequence)
	}
	if known {
		w.settle(lowest)
	}
}

func (w *watch) note(n *node.Node, sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if sequence < w.highest[n] {
		w.reverted++
	}
	w.highest[n] = max(w.highest[n], sequence)
}

// settle ends the wait for records that the slowest node has applied.
func (w *watch) settle(lowest uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for sequence, at := range w.pending {
		if sequence <= lowest {
			w.slowest = max(w.slowest, time.Since(at))
			w.inForce++
			delete(w.pending, sequence)
		}
	}
}

// result returns what was observed.
func (w *watch) result() (slowest time.Duration, inForce, waiting, reverted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowest, w.inForce, len(w.pending), w.reverted
}

// urgentDelays returns the time from each urgent order to the start of its task.
// No order can be accepted while the store is down; one sent then counts from the
// store's return.
func urgentDelays(book *orderBook, starts map[model.TaskID]time.Time, storeOuts []outage) []time.Duration {
	book.mu.Lock()
	defer book.mu.Unlock()
	var delays []time.Duration
	for _, e := range book.orders {
		if e.spec.Urgency != "urgent" || e.job == "" {
			continue
		}
		from := e.sentAt
		for _, o := range storeOuts {
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
