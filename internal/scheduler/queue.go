package scheduler

import (
	"cmp"
	"container/heap"
	"time"

	"github.com/google/btree"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// unit is what is placed together: one task, or the unfinished tasks of a gang.
type unit struct {
	tasks []*cell.Task
	gang  bool
	// partial is true while other tasks of the gang run; such a unit stays in
	// the cell.
	partial bool
	urgency model.Urgency
	team    model.TeamName
	// submitted is the submission time in Unix milliseconds.
	submitted int64
	notBefore time.Time
	// since is when the unit became ready in this cell.
	since  time.Time
	reason string
	state  unitState
	// heldUntil is the end of the hold on workers for an urgent unit.
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

// need returns the sum over the unit's tasks.
func (u *unit) need() model.Resources {
	var sum model.Resources
	for _, t := range u.tasks {
		sum = sum.Add(t.Spec.Resources)
	}
	return sum
}

// queueKey separates units that are ordered by age alone. The class is part of
// it so that units of a class that finds no worker do not hide those of others.
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

// queue holds all units that wait.
type queue struct {
	waiting map[queueKey]*teamQueue
	order   []*teamQueue
	delayed delayHeap
	count   int
}

func newQueue() *queue { return &queue{waiting: map[queueKey]*teamQueue{}} }

// btreeDegree keeps nodes small; most queues hold few units.
const btreeDegree = 16

func (q *queue) add(u *unit, now time.Time) {
	if u.notBefore.After(now) {
		u.state = unitDelayed
		heap.Push(&q.delayed, u)
		return
	}
	u.state = unitWaiting
	if u.since.IsZero() {
		u.since = now
	}
	key := u.key()
	tq := q.waiting[key]
	if tq == nil {
		tq = &teamQueue{key, btree.NewG(btreeDegree, older)}
		q.waiting[key] = tq
		q.order = append(q.order, tq)
	}
	tq.units.ReplaceOrInsert(u)
	q.count++
}

func (q *queue) remove(u *unit) {
	switch u.state {
	case unitWaiting:
		q.waiting[u.key()].units.Delete(u)
		q.count--
	case unitDelayed:
		heap.Remove(&q.delayed, u.heapIndex)
	}
	u.state = unitRemoved
}

// wake moves delayed units that are due into the waiting queues.
func (q *queue) wake(now time.Time) bool {
	woken := false
	for len(q.delayed) > 0 && !q.delayed[0].notBefore.After(now) {
		u := heap.Pop(&q.delayed).(*unit)
		q.add(u, now)
		woken = true
	}
	return woken
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

// effectiveUrgency raises a unit by one class for each agePerClass that it has
// waited since submission, so that every unit reaches the highest class.
func effectiveUrgency(u model.Urgency, waited, agePerClass time.Duration) model.Urgency {
	raised := int(u) + int(max(waited, 0)/agePerClass)
	return model.Urgency(min(raised, int(model.UrgencyUrgent)))
}

// rank orders units: urgency, then the team's use of its share, then age.
type rank struct {
	urgency   model.Urgency
	use       float64
	submitted int64
	team      model.TeamName
}

func (r rank) before(o rank) bool {
	c := cmp.Or(
		cmp.Compare(o.urgency, r.urgency), cmp.Compare(r.use, o.use),
		cmp.Compare(r.submitted, o.submitted), cmp.Compare(r.team, o.team),
	)
	return c < 0
}

// cursor walks one team queue during a plan.
type cursor struct {
	tq     *teamQueue
	unit   *unit
	rank   rank
	misses int
	// version is quotas.version at the time of rank.use.
	version uint64
}

// turnHeap yields cursors in the order of rank.
type turnHeap []*cursor

func (h turnHeap) Len() int           { return len(h) }
func (h turnHeap) Less(i, j int) bool { return h[i].rank.before(h[j].rank) }
func (h turnHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) { *h = append(*h, x.(*cursor)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}

// after returns the unit that follows u in the queue, or the first when u is nil.
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

// pushTurn returns a cursor to the heap.
func pushTurn(h *turnHeap, c *cursor) { heap.Push(h, c) }
