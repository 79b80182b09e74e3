package scheduler

import (
	"container/heap"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// fullScanEvery is the interval at which blocked units are tried again without
// a change, because ageing, holds and gradual filling depend on time alone.
const fullScanEvery = time.Second

// backfillDepth bounds the units of one queue that are passed over in a plan in
// search of one that fits.
const backfillDepth = 32

// Bounds on the units looked at without a start: in a plan that follows a
// change, and in the full scan once a second. A turn costs 1 to 3 us even when
// it needs no search, and a full cell plans ten times a second.
const (
	missesPerChange = 96
	missesPerScan   = 1024
)

// place takes units in order of rank and reserves workers for them.
func (s *Scheduler) place() {
	if !s.changed && s.now.Sub(s.lastFull) < fullScanEvery {
		return
	}
	allowed := missesPerChange
	if s.now.Sub(s.lastFull) >= fullScanEvery {
		allowed, s.lastFull = missesPerScan, s.now
	}
	s.changed = false
	if s.isOut() {
		return
	}
	s.failed = map[model.ClassName][]model.Resources{}
	turns := s.turns()
	blocked, started := 0, 0
	for misses := 0; turns.Len() > 0 && misses < allowed; {
		if blocked >= s.cfg.MaxBlockedPerPlan || started >= s.cfg.MaxStartsPerPlan {
			break
		}
		c := s.nextTurn(turns)
		u := c.unit
		c.unit = c.tq.after(u)
		result := s.placeUnit(u)
		started += result.started
		blocked += result.searches
		if result.started == 0 {
			c.misses++
			misses++
		}
		if c.unit != nil && c.misses < backfillDepth {
			c.rank = s.rankOf(c)
			heap.Push(turns, c)
		}
	}
	if started >= s.cfg.MaxStartsPerPlan {
		s.changed = true
	}
}

// turns returns the heads of all queues that are not empty. The memory is
// reused by the next call.
func (s *Scheduler) turns() *turnHeap {
	if cap(s.cursors) < len(s.queue.order) {
		s.cursors = make([]cursor, 0, 2*len(s.queue.order))
	}
	cursors, out := s.cursors[:0], s.turnOrder[:0]
	for _, tq := range s.queue.order {
		if tq.units.Len() == 0 {
			continue
		}
		cursors = append(cursors, cursor{tq: tq, unit: tq.after(nil)})
		c := &cursors[len(cursors)-1]
		c.rank = s.rankOf(c)
		out = append(out, c)
	}
	heap.Init(&out)
	s.turnOrder = out
	return &out
}

// nextTurn takes the first cursor. The use of a team grows during a plan, so a
// rank is checked again before its turn counts.
func (s *Scheduler) nextTurn(turns *turnHeap) *cursor {
	for {
		c := heap.Pop(turns).(*cursor)
		if c.version == s.quota.version {
			return c
		}
		fresh := s.rankOf(c)
		if turns.Len() == 0 || !(*turns)[0].rank.before(fresh) {
			return c
		}
		c.rank = fresh
		heap.Push(turns, c)
	}
}

func (s *Scheduler) rankOf(c *cursor) rank {
	use := c.rank.use
	if c.version != s.quota.version {
		use, c.version = s.quota.ratio(c.unit.team), s.quota.version
	}
	waited := s.now.Sub(time.UnixMilli(c.unit.submitted))
	return rank{
		urgency:   effectiveUrgency(c.unit.urgency, waited, s.cfg.AgePerClass),
		use:       use,
		submitted: c.unit.submitted,
		team:      c.unit.team,
	}
}

// turn is the result of trying one unit.
type turn struct {
	started  int
	searches int
}

// placeUnit places all tasks of a unit or none, and otherwise looks for another
// way: another cell, an eviction for urgent work, or the end of a unit that can
// never run.
func (s *Scheduler) placeUnit(u *unit) turn {
	if u.since.IsZero() {
		// The unit was restored before the first plan stated the time.
		u.since = s.now
	}
	if !s.withinQuota(u) {
		return s.overQuota(u)
	}
	if s.knownToFail(u) {
		return turn{searches: s.blocked(u, "no-capacity", false)}
	}
	reason := s.reserveUnit(u)
	if reason == "" {
		return turn{started: len(u.tasks)}
	}
	s.noteFailed(u)
	return turn{searches: 1 + s.blocked(u, reason, true)}
}

// isOut reports whether the cell's data centre is out of service.
func (s *Scheduler) isOut() bool { return s.own.DataCentre != "" && s.view.IsOut(s.own.DataCentre) }

// knownToFail reports whether a smaller task of the same class found no worker
// in this plan. Capacity only shrinks during a plan.
func (s *Scheduler) knownToFail(u *unit) bool {
	if u.gang || u.urgency >= model.UrgencyUrgent {
		return false
	}
	spec := u.tasks[0].Spec
	for _, r := range s.failed[spec.Class] {
		if r.Fits(spec.Resources) {
			return true
		}
	}
	return false
}

func (s *Scheduler) noteFailed(u *unit) {
	_, avoids := s.retries[u.tasks[0].Spec.ID]
	if u.gang || avoids {
		return
	}
	spec := u.tasks[0].Spec
	s.failed[spec.Class] = append(s.failed[spec.Class], spec.Resources)
}

// reserveUnit reserves a worker for each task. It returns the reason when one
// finds none, after giving back what the others took.
func (s *Scheduler) reserveUnit(u *unit) string {
	r := &request{unit: u, view: s.view, now: s.now, racks: map[model.Rack]int{}}
	chosen := make([]*host, 0, len(u.tasks))
	counts := make([]int, 0, len(u.tasks))
	for _, t := range u.tasks {
		r.task = t
		h, candidates, reason := s.pick(r)
		if h == nil {
			s.giveBack(u, chosen)
			return reason
		}
		s.take(h, t)
		r.racks[h.Rack]++
		chosen, counts = append(chosen, h), append(counts, candidates)
	}
	for i, t := range u.tasks {
		s.emitPlaced(u, t, chosen[i], counts[i])
	}
	s.queue.remove(u)
	u.state = unitPlanned
	return ""
}

// pick chooses a worker for a task. Without one it returns the name of the
// filter that removed the last candidate, or no-capacity.
func (s *Scheduler) pick(r *request) (*host, int, string) {
	reason := "no-capacity"
	keep := func(h *host) bool {
		for _, f := range s.filters {
			if !f.keep(r, h) {
				reason = f.Name()
				return false
			}
		}
		return true
	}
	s.scratch = s.candidates(r, keep)
	if len(s.scratch) == 0 {
		return nil, 0, reason
	}
	return s.choose(r, s.scratch), len(s.scratch), ""
}

// candidates returns the workers to choose from. First fit needs them in order
// of id, which the index does not keep, so the baseline scans.
func (s *Scheduler) candidates(r *request, keep func(*host) bool) []*host {
	out := s.scratch[:0]
	if s.cfg.Policy != PolicyFirstFit {
		return s.index.candidates(out, r.task.Spec.Resources, s.cfg.SampleSize, keep)
	}
	for _, h := range s.order {
		if r.task.Spec.Resources.Fits(h.free) && keep(h) {
			return append(out, h)
		}
	}
	return out
}

// take reserves a worker's capacity and counts it against the team.
func (s *Scheduler) take(h *host, t *cell.Task) {
	h.reserved = h.reserved.Add(t.Spec.Resources)
	s.quota.add(t.Spec.Team, t.Spec.Resources)
	s.refresh(h)
}

func (s *Scheduler) giveBack(u *unit, chosen []*host) {
	for i, h := range chosen {
		r := u.tasks[i].Spec
		h.reserved = h.reserved.Sub(r.Resources)
		s.quota.release(r.Team, r.Resources)
		s.refresh(h)
	}
}

func (s *Scheduler) emitPlaced(u *unit, t *cell.Task, h *host, candidates int) {
	if h.heldFor == u {
		h.heldFor = nil
	}
	if t.Spec.Urgency >= model.UrgencyUrgent {
		s.plan.Urgent = true
	}
	s.emit(t.Spec.ID, &planned{host: h, unit: u}, cell.Record{Placed: &cell.Placed{
		Task: t.Spec.ID, Attempt: t.Attempt + 1, Worker: h.ID,
	}})
	s.decide(telemetry.KindPlace, string(t.Spec.ID), candidates, string(h.ID), string(s.cfg.Policy))
}

// blocked handles a unit that cannot start now and returns the searches spent.
func (s *Scheduler) blocked(u *unit, reason string, searched bool) int {
	s.waiting(u, reason)
	if u.partial {
		if s.now.Sub(u.since) >= s.cfg.GangWait {
			s.evictRest(u.tasks[0].Spec.Job)
		}
		return 0
	}
	if s.resolveElsewhere(u) {
		return 0
	}
	if u.urgency >= model.UrgencyUrgent {
		return s.makeRoom(u, false)
	}
	if searched {
		s.holdForStarved(u)
	}
	return 0
}

// waiting logs why a unit waits, once for each reason.
func (s *Scheduler) waiting(u *unit, reason string) {
	if u.reason == reason {
		return
	}
	u.reason = reason
	s.decide("wait", u.id(), 0, "", reason)
}

// holdForStarved keeps workers free for the first unit that has waited too
// long, because smaller units would otherwise take every gap. One unit is
// served at a time.
func (s *Scheduler) holdForStarved(u *unit) {
	waited := s.now.Sub(u.since)
	if waited < s.cfg.StarveAfter || s.now.Sub(s.lastHold) < s.cfg.HoldTime {
		return
	}
	s.lastHold = s.now
	room := map[*host]model.Resources{}
	for _, t := range u.tasks {
		h := s.roomiest(u, t, room)
		if h == nil {
			return
		}
		left, held := room[h]
		if !held {
			left = h.Capacity
		}
		room[h] = left.Sub(t.Spec.Resources)
		h.heldFor, h.heldUntil = u, s.now.Add(2*s.cfg.HoldTime)
	}
	s.decide("hold", u.id(), len(room), "", "starved")
}

// roomiest returns the worker with the most free processors whose capacity
// holds t besides what is already promised to the unit.
func (s *Scheduler) roomiest(u *unit, t *cell.Task, room map[*host]model.Resources) *host {
	var best *host
	for _, h := range s.order {
		left, held := room[h]
		if !held {
			left = h.Capacity
		}
		taken := h.heldFor != nil && h.heldFor != u && s.now.Before(h.heldUntil)
		if h.Leaving || h.health.quarantined || taken || !t.Spec.Resources.Fits(left) {
			continue
		}
		if best == nil || h.free.MilliCPU > best.free.MilliCPU {
			best = h
		}
	}
	return best
}
