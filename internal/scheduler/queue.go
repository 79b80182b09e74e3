package scheduler

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/google/btree"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// unit is the smallest set of tasks that is placed together: one task, or the unfinished
// tasks of a gang.
type unit struct {
	tasks []*cell.Task
	gang  bool
	// partial is true while other tasks of the gang run; such a unit is not transferred.
	partial bool
	urgency model.Urgency
	team    model.TeamName
	// submitted is the submission time in Unix milliseconds.
	submitted int64
	notBefore time.Time
	// readySince is when the unit became ready for placement in this cell.
	readySince time.Time
	waitReason string
	state      unitState
	// heldUntil is the end of the hold on the workers preempted for an urgent unit.
	heldUntil time.Time
	// heapIndex is the position in the heap of delayed units.
	heapIndex int
}

type unitState uint8

const (
	unitWaiting unitState = iota + 1
	unitDelayed
	unitPlanned
	unitRemoved
)

func (u *unit) id() string {
	if u.gang {
		return string(u.tasks[0].Spec.Job)
	}
	return string(u.tasks[0].Spec.ID)
}

// need returns the total resources of the unit's tasks.
func (u *unit) need() model.Resources {
	var sum model.Resources
	for _, t := range u.tasks {
		sum = sum.Add(t.Spec.Resources)
	}
	return sum
}

// queueKey identifies a queue in which units are ordered by age alone. It includes the
// class so that units of a class that fits no worker do not block those of other classes.
type queueKey struct {
	urgency model.Urgency
	team    model.TeamName
	class   model.ClassName
}

func (u *unit) key() queueKey { return queueKey{u.urgency, u.team, u.tasks[0].Spec.Class} }

// teamQueue holds the waiting units of one key, oldest first.
type teamQueue struct {
	key   queueKey
	units *btree.BTreeG[*unit]
}

func older(a, b *unit) bool {
	if a.submitted != b.submitted {
		return a.submitted < b.submitted
	}
	return a.tasks[0].Spec.ID < b.tasks[0].Spec.ID
}

// queue holds all waiting and delayed units.
type queue struct {
	waiting map[queueKey]*teamQueue
	order   []*teamQueue
	delayed delayHeap
}

func newQueue() *queue { return &queue{waiting: map[queueKey]*teamQueue{}} }

// btreeDegree is small because most queues hold few units.
const btreeDegree = 16

func (q *queue) add(u *unit, now time.Time) {
	if u.notBefore.After(now) {
		u.state = unitDelayed
		heap.Push(&q.delayed, u)
		return
	}
	u.state = unitWaiting
	if u.readySince.IsZero() {
		u.readySince = now
	}
	key := u.key()
	tq := q.waiting[key]
	if tq == nil {
		tq = &teamQueue{key, btree.NewG(btreeDegree, older)}
		q.waiting[key] = tq
		q.order = append(q.order, tq)
	}
	tq.units.ReplaceOrInsert(u)
}

func (q *queue) remove(u *unit) {
	switch u.state {
	case unitWaiting:
		q.waiting[u.key()].units.Delete(u)
	case unitDelayed:
		heap.Remove(&q.delayed, u.heapIndex)
	}
	u.state = unitRemoved
}

// releaseDue moves delayed units that are due into the waiting queues and reports whether
// there were any.
func (q *queue) releaseDue(now time.Time) bool {
	released := false
	for len(q.delayed) > 0 && !q.delayed[0].notBefore.After(now) {
		u := heap.Pop(&q.delayed).(*unit)
		q.add(u, now)
		released = true
	}
	return released
}

// nextDelay returns the time until the next delayed unit is due.
func (q *queue) nextDelay(now time.Time) (time.Duration, bool) {
	if len(q.delayed) == 0 {
		return 0, false
	}
	return q.delayed[0].notBefore.Sub(now), true
}

type delayHeap []*unit

func (h delayHeap) Len() int           { return len(h) }
func (h delayHeap) Less(i, j int) bool { return h[i].notBefore.Before(h[j].notBefore) }
func (h delayHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *delayHeap) Push(x any) {
	u := x.(*unit)
	u.heapIndex = len(*h)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *delayHeap) Pop() any {
	old := *h
	u := old[len(old)-1]
	*h = old[:len(old)-1]
	return u
}

// effectiveUrgency raises a unit by one class for each agePerClass since its submission,
// so that every unit eventually reaches the highest class.
func effectiveUrgency(u model.Urgency, waited, agePerClass time.Duration) model.Urgency {
	raised := int(u) + int(max(waited, 0)/agePerClass)
	return model.Urgency(min(raised, int(model.UrgencyUrgent)))
}

// rank orders units by urgency, then by the team's use of its quota share, then by age.
type rank struct {
	urgency   model.Urgency
	quotaUse  float64
	submitted int64
	team      model.TeamName
}

func (r rank) before(o rank) bool {
	c := cmp.Or(
		cmp.Compare(o.urgency, r.urgency), cmp.Compare(r.quotaUse, o.quotaUse),
		cmp.Compare(r.submitted, o.submitted), cmp.Compare(r.team, o.team),
	)
	return c < 0
}

// cursor iterates over one team queue during a plan.
type cursor struct {
	tq     *teamQueue
	unit   *unit
	rank   rank
	misses int
	// quotaVersion is the quotas.version at which rank.quotaUse was computed.
	quotaVersion uint64
}

// cursorHeap is a heap of cursors in rank order.
type cursorHeap []*cursor

func (h cursorHeap) Len() int           { return len(h) }
func (h cursorHeap) Less(i, j int) bool { return h[i].rank.before(h[j].rank) }
func (h cursorHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *cursorHeap) Push(x any) { *h = append(*h, x.(*cursor)) }

// Pop implements heap.Interface.
func (h *cursorHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// after returns the unit after u in the queue, or the first one when u is nil.
func (tq *teamQueue) after(u *unit) *unit {
	var found *unit
	pick := func(x *unit) bool {
		if x == u {
			return true
		}
		found = x
		return false
	}
	if u == nil {
		tq.units.Ascend(pick)
		return found
	}
	tq.units.AscendGreaterOrEqual(u, pick)
	return found
}

// pushCursor returns a cursor to the heap.
func pushCursor(h *cursorHeap, c *cursor) { heap.Push(h, c) }
