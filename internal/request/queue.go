package request

import (
	"container/heap"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// waiter is a request that waits for a slot.
type waiter struct {
	// bulk requests wait behind all interactive ones.
	bulk     bool
	deadline time.Time
	// rank is the deadline plus a delay for each earlier waiter of the same caller,
	// so that one caller's burst does not push the others back.
	rank     time.Time
	sequence uint64
	caller   string
	// probe allows the request to test a backed-off runner.
	probe bool
	// exclude is a runner that must not get the request again.
	exclude model.RunnerID
	result  chan grantResult
	index   int
}

// grantResult is a slot, or the refusal that ends the wait.
type grantResult struct {
	choice  routing.Choice
	refusal *Refusal
}

// queue orders waiters: interactive before bulk, then by rank. It is bounded and
// not safe for concurrent use.
type queue struct {
	items    waiterHeap
	byCaller map[string]int
	next     uint64
}

// newQueue returns an empty queue.
func newQueue() *queue { return &queue{byCaller: map[string]int{}} }

// len returns the number of waiters.
func (q *queue) len() int { return len(q.items) }

// push adds w. Spacing is the expected time between two slots becoming free.
func (q *queue) push(w *waiter, spacing time.Duration) {
	q.rankFor(w, spacing)
	q.next++
	w.sequence = q.next
	q.byCaller[w.caller]++
	heap.Push(&q.items, w)
}

// rankFor sets w's rank from the waiters that its caller already has.
func (q *queue) rankFor(w *waiter, spacing time.Duration) {
	delay := time.Duration(q.byCaller[w.caller]*len(q.byCaller)) * spacing
	w.rank = w.deadline.Add(delay)
}

// head returns the first waiter, or nil.
func (q *queue) head() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// remove takes w out. It reports false when w was not waiting any more.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.items, w.index)
	if q.byCaller[w.caller]--; q.byCaller[w.caller] == 0 {
		delete(q.byCaller, w.caller)
	}
	return true
}

// ahead counts the waiters that come before w, which is not in the queue yet.
func (q *queue) ahead(w *waiter) int {
	n := 0
	for _, o := range q.items {
		if before(o, w) {
			n++
		}
	}
	return n
}

// victim returns the waiter to drop from a full queue in favour of w, or nil when
// w itself should be refused. It is the last waiter of the largest caller, if
// that caller has at least two more than w's, or the last bulk waiter when w is
// interactive.
func (q *queue) victim(w *waiter) *waiter {
	if !w.bulk {
		if v := q.last(func(o *waiter) bool { return o.bulk }); v != nil {
			return v
		}
	}
	largest, n := "", 0
	for caller, count := range q.byCaller {
		if count > n || count == n && caller < largest {
			largest, n = caller, count
		}
	}
	if n < q.byCaller[w.caller]+2 {
		return nil
	}
	v := q.last(func(o *waiter) bool { return o.caller == largest })
	if w.bulk && !v.bulk {
		return nil
	}
	return v
}

// last returns the last waiter in order for which match is true, or nil.
func (q *queue) last(match func(*waiter) bool) *waiter {
	var found *waiter
	for _, o := range q.items {
		if match(o) && (found == nil || before(found, o)) {
			found = o
		}
	}
	return found
}

// before reports whether a is served before b.
func before(a, b *waiter) bool {
	if a.bulk != b.bulk {
		return !a.bulk
	}
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.sequence < b.sequence
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return before(h[i], h[j]) }
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds an element at the end.
func (h *waiterHeap) Push(x any) {
	w, ok := x.(*waiter)
	if !ok {
		return
	}
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the element at the end.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
