package scheduler

import (
	"container/heap"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// fullScanInterval is the interval at which blocked units are retried without a change of
// state, because ageing, holds and ramp-up depend on time alone.
const fullScanInterval = time.Second

// backfillDepth bounds the units of one queue that a plan skips in search of one that
// fits.
const backfillDepth = 32

// Bounds on the units tried without a start: in a plan that follows a change, and in the
// full scan once a second. A try costs 1 to 3 us even without a search, and a full cell
// plans ten times a second.
const (
	missesPerChange = 96
	missesPerScan   = 1024
)

// place tries units in rank order and reserves workers for them.
func (s *Scheduler) place() {
	if !s.placementDue && s.now.Sub(s.lastFullScan) < fullScanInterval {
		return
	}
	allowed := missesPerChange
	if s.now.Sub(s.lastFullScan) >= fullScanInterval {
		allowed, s.lastFullScan = missesPerScan, s.now
	}
	s.placementDue = false
	if s.isOut() {
		return
	}
	s.failedShapes = map[model.ClassName][]model.Resources{}
	cursors := s.newCursorHeap()
	blocked, started := 0, 0
	for misses := 0; cursors.Len() > 0 && misses < allowed; {
		if blocked >= s.cfg.MaxBlockedPerPlan || started >= s.cfg.MaxStartsPerPlan {
			break
		}
		c := s.popCursor(cursors)
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
			heap.Push(cursors, c)
		}
	}
	if started >= s.cfg.MaxStartsPerPlan {
		s.placementDue = true
	}
}

// newCursorHeap returns a heap of cursors at the heads of all non-empty queues. The next
// call reuses its memory.
func (s *Scheduler) newCursorHeap() *cursorHeap {
	if cap(s.cursorBuf) < len(s.queue.order) {
		s.cursorBuf = make([]cursor, 0, 2*len(s.queue.order))
	}
	cursors, out := s.cursorBuf[:0], s.cursorHeapBuf[:0]
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
	s.cursorHeapBuf = out
	return &out
}

// popCursor removes and returns the first cursor. A team's quota use grows during a plan,
// so an outdated rank is recomputed and compared again first.
func (s *Scheduler) popCursor(cursors *cursorHeap) *cursor {
	for {
		c := heap.Pop(cursors).(*cursor)
		if c.quotaVersion == s.quota.version {
			return c
		}
		fresh := s.rankOf(c)
		if cursors.Len() == 0 || !(*cursors)[0].rank.before(fresh) {
			return c
		}
		c.rank = fresh
		heap.Push(cursors, c)
	}
}

func (s *Scheduler) rankOf(c *cursor) rank {
	use := c.rank.quotaUse
	if c.quotaVersion != s.quota.version {
		use, c.quotaVersion = s.quota.useRatio(c.unit.team), s.quota.version
	}
	waited := s.now.Sub(time.UnixMilli(c.unit.submitted))
	return rank{
		urgency:   effectiveUrgency(c.unit.urgency, waited, s.cfg.AgePerClass),
		quotaUse:  use,
		submitted: c.unit.submitted,
		team:      c.unit.team,
	}
}

// placeResult is the result of trying one unit.
type placeResult struct {
	started  int
	searches int
}

// placeUnit places all tasks of a unit or none. A unit that cannot be placed may be
// transferred to another cell, preempt other work when it is urgent, or end when it can
// never run.
func (s *Scheduler) placeUnit(u *unit) placeResult {
	if u.readySince.IsZero() {
		// The unit was restored before the first plan set the time.
		u.readySince = s.now
	}
	if !s.withinQuota(u) {
		return s.handleOverQuota(u)
	}
	if s.knownNotToFit(u) {
		return placeResult{searches: s.handleBlocked(u, "no-capacity", false)}
	}
	reason := s.reserveUnit(u)
	if reason == "" {
		return placeResult{started: len(u.tasks)}
	}
	s.noteFailedShape(u)
	return placeResult{searches: 1 + s.handleBlocked(u, reason, true)}
}

// isOut reports whether the cell's data centre is out of service.
func (s *Scheduler) isOut() bool { return s.own.DataCentre != "" && s.view.IsOut(s.own.DataCentre) }

// knownNotToFit reports whether a task of the same class that is no larger found no worker
// in this plan. Free capacity only shrinks during a plan.
func (s *Scheduler) knownNotToFit(u *unit) bool {
	if u.gang || u.urgency >= model.UrgencyUrgent {
		return false
	}
	spec := u.tasks[0].Spec
	for _, r := range s.failedShapes[spec.Class] {
		if r.Fits(spec.Resources) {
			return true
		}
	}
	return false
}

func (s *Scheduler) noteFailedShape(u *unit) {
	_, avoids := s.retries[u.tasks[0].Spec.ID]
	if u.gang || avoids {
		return
	}
	spec := u.tasks[0].Spec
	s.failedShapes[spec.Class] = append(s.failedShapes[spec.Class], spec.Resources)
}

// reserveUnit reserves a worker for each task of the unit. When a task finds none, it
// releases the reservations of the others and returns the reason.
func (s *Scheduler) reserveUnit(u *unit) string {
	r := &placementRequest{unit: u, view: s.view, now: s.now, tasksPerRack: map[model.Rack]int{}}
	chosen := make([]*host, 0, len(u.tasks))
	counts := make([]int, 0, len(u.tasks))
	for _, t := range u.tasks {
		r.task = t
		h, candidates, reason := s.pickWorker(r)
		if h == nil {
			s.releaseReserved(u, chosen)
			return reason
		}
		s.reserve(h, t)
		r.tasksPerRack[h.Rack]++
		chosen, counts = append(chosen, h), append(counts, candidates)
	}
	for i, t := range u.tasks {
		s.addPlacement(u, t, chosen[i], counts[i])
	}
	s.queue.remove(u)
	u.state = unitPlanned
	return ""
}

// pickWorker chooses a worker for a task and returns the number of candidates. Without a
// worker it returns the name of the filter that excluded the last candidate, or no-capacity.
func (s *Scheduler) pickWorker(r *placementRequest) (*host, int, string) {
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
	s.candidateBuf = s.candidates(r, keep)
	if len(s.candidateBuf) == 0 {
		return nil, 0, reason
	}
	return s.choose(r, s.candidateBuf), len(s.candidateBuf), ""
}

// candidates returns the workers to choose from. First fit needs them in order of id,
// which the index does not keep, so that policy scans all workers.
func (s *Scheduler) candidates(r *placementRequest, keep func(*host) bool) []*host {
	out := s.candidateBuf[:0]
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

// reserve reserves capacity on a worker and counts it against the team's quota.
func (s *Scheduler) reserve(h *host, t *cell.Task) {
	h.reserved = h.reserved.Add(t.Spec.Resources)
	s.quota.add(t.Spec.Team, t.Spec.Resources)
	s.refresh(h)
}

func (s *Scheduler) releaseReserved(u *unit, chosen []*host) {
	for i, h := range chosen {
		r := u.tasks[i].Spec
		h.reserved = h.reserved.Sub(r.Resources)
		s.quota.release(r.Team, r.Resources)
		s.refresh(h)
	}
}

func (s *Scheduler) addPlacement(u *unit, t *cell.Task, h *host, candidates int) {
	if h.heldFor == u {
		h.heldFor = nil
	}
	if t.Spec.Urgency >= model.UrgencyUrgent {
		s.plan.Urgent = true
	}
	s.addRecord(t.Spec.ID, &pendingTask{host: h, unit: u}, cell.Record{Placed: &cell.Placed{
		Task: t.Spec.ID, Attempt: t.Attempt + 1, Worker: h.ID,
	}})
	s.logDecision(telemetry.KindPlace, string(t.Spec.ID), candidates, string(h.ID), string(s.cfg.Policy))
}

// handleBlocked handles a unit that cannot start now and returns the number of searches done.
func (s *Scheduler) handleBlocked(u *unit, reason string, searched bool) int {
	s.logWait(u, reason)
	if u.partial {
		if s.now.Sub(u.readySince) >= s.cfg.GangWait {
			s.evictLiveMembers(u.tasks[0].Spec.Job)
		}
		return 0
	}
	if s.transferOrEnd(u) {
		return 0
	}
	if u.urgency >= model.UrgencyUrgent {
		return s.preemptFor(u, false)
	}
	if searched {
		s.holdForStarvedUnit(u)
	}
	return 0
}

// logWait logs why a unit waits, whenever the reason changes.
func (s *Scheduler) logWait(u *unit, reason string) {
	if u.waitReason == reason {
		return
	}
	u.waitReason = reason
	s.logDecision("wait", u.id(), 0, "", reason)
}

// holdForStarvedUnit holds workers for the first unit that has waited too long, because
// smaller units would otherwise take all capacity that becomes free. One unit is served
// at a time.
func (s *Scheduler) holdForStarvedUnit(u *unit) {
	waited := s.now.Sub(u.readySince)
	if waited < s.cfg.StarveAfter || s.now.Sub(s.lastHold) < s.cfg.HoldTime {
		return
	}
	s.lastHold = s.now
	remaining := map[*host]model.Resources{}
	for _, t := range u.tasks {
		h := s.mostFreeWorker(u, t, remaining)
		if h == nil {
			return
		}
		left, held := remaining[h]
		if !held {
			left = h.Capacity
		}
		remaining[h] = left.Sub(t.Spec.Resources)
		h.heldFor, h.heldUntil = u, s.now.Add(2*s.cfg.HoldTime)
	}
	s.logDecision("hold", u.id(), len(remaining), "", "starved")
}

// mostFreeWorker returns the worker with the most free processors whose capacity fits t in
// addition to the tasks of the unit already assigned to it; remaining holds what they leave.
func (s *Scheduler) mostFreeWorker(u *unit, t *cell.Task, remaining map[*host]model.Resources) *host {
	var best *host
	for _, h := range s.order {
		left, held := remaining[h]
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
