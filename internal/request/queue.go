package request

import (
	"container/heap"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// waiter is a request that waits for a slot.
type waiter struct {
	// bulk requests are served after all interactive ones.
	bulk     bool
	deadline time.Time
	// virtualDeadline is the deadline plus a delay for each earlier waiter of the same caller,
	// so that a burst from one caller does not delay the others.
	virtualDeadline time.Time
	sequence        uint64
	caller          string
	// probe allows the request to be sent to a backed-off runner to test it.
	probe bool
	// exclude is a runner that must not get the request again.
	exclude model.RunnerID
	result  chan admissionResult
	index   int
}

// admissionResult is a slot, or the refusal that ends the wait.
type admissionResult struct {
	choice  routing.Choice
	refusal *Refusal
}

// queue orders waiters: interactive before bulk, then by virtual deadline. It is not safe for
// concurrent use.
type queue struct {
	items    waiterHeap
	byCaller map[string]int
	next     uint64
}

func newQueue() *queue { return &queue{byCaller: map[string]int{}} }

// len returns the number of waiters.
func (q *queue) len() int { return len(q.items) }

// push adds w. slotInterval is the expected time between two slots becoming free.
func (q *queue) push(w *waiter, slotInterval time.Duration) {
	q.setVirtualDeadline(w, slotInterval)
	q.next++
	w.sequence = q.next
	q.byCaller[w.caller]++
	heap.Push(&q.items, w)
}

// setVirtualDeadline sets w's virtual deadline from the number of waiters that its caller
// already has.
func (q *queue) setVirtualDeadline(w *waiter, slotInterval time.Duration) {
	delay := time.Duration(q.byCaller[w.caller]*len(q.byCaller)) * slotInterval
	w.virtualDeadline = w.deadline.Add(delay)
}

// head returns the first waiter, or nil.
func (q *queue) head() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// remove removes w from the queue. It reports false when w was no longer waiting.
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
		if servedBefore(o, w) {
			n++
		}
	}
	return n
}

// evictionCandidate returns the waiter to evict from a full queue in favour of w, or nil when
// w itself should be refused. When w is interactive, it is the last bulk waiter, if there is
// one. Otherwise it is the last waiter of the caller with the most waiters, if that caller has
// at least two more than w's caller; a bulk w does not evict an interactive waiter.
func (q *queue) evictionCandidate(w *waiter) *waiter {
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

// last returns the last waiter in queue order that matches, or nil.
func (q *queue) last(match func(*waiter) bool) *waiter {
	var found *waiter
	for _, o := range q.items {
		if match(o) && (found == nil || servedBefore(found, o)) {
			found = o
		}
	}
	return found
}

// servedBefore reports whether a is served before b.
func servedBefore(a, b *waiter) bool {
	if a.bulk != b.bulk {
		return !a.bulk
	}
	if !a.virtualDeadline.Equal(b.virtualDeadline) {
		return a.virtualDeadline.Before(b.virtualDeadline)
	}
	return a.sequence < b.sequence
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return servedBefore(h[i], h[j]) }
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
