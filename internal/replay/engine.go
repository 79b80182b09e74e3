package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.UnixMilli(1_700_000_000_000)

// engine runs events in virtual time, ordered by time and then by the order of scheduling.
type engine struct {
	now    time.Duration
	queue  eventHeap
	serial uint64
	rng    *rand.Rand
}

type timedEvent struct {
	at     time.Duration
	serial uint64
	run    func()
}

func newEngine(seed uint64) *engine {
	return &engine{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// currentTime returns the virtual time as a time.Time for the scheduler.
func (e *engine) currentTime() time.Time { return epoch.Add(e.now) }

// scheduleAfter schedules run after a delay.
func (e *engine) scheduleAfter(d time.Duration, run func()) {
	e.scheduleAt(e.now+max(d, 0), run)
}

func (e *engine) scheduleAt(at time.Duration, run func()) {
	e.serial++
	heap.Push(&e.queue, timedEvent{at, e.serial, run})
}

// scheduleEvery calls run after the delay first and then at an interval while run returns
// true.
func (e *engine) scheduleEvery(first, interval time.Duration, run func() bool) {
	var tick func()
	tick = func() {
		if run() {
			e.scheduleAfter(interval, tick)
		}
	}
	e.scheduleAfter(first, tick)
}

// runUntil runs events up to and including the time end, or until done returns true.
func (e *engine) runUntil(end time.Duration, done func() bool) {
	for len(e.queue) > 0 && e.queue[0].at <= end {
		ev := heap.Pop(&e.queue).(timedEvent)
		e.now = ev.at
		ev.run()
		if done() {
			return
		}
	}
	e.now = max(e.now, min(end, e.now))
}

// randomBetween returns a random duration from low to high.
func (e *engine) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(e.rng.Float64()*float64(high-low))
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	ev := old[len(old)-1]
	old[len(old)-1] = timedEvent{}
	*h = old[:len(old)-1]
	return ev
}
