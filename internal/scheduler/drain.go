package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
)

// drainInterval is the interval between rounds of evictions from leaving workers or from a
// data centre that is out of service; each round is limited to the rate of one interval.
const drainInterval = time.Second

// drain plans evictions with a checkpoint from leaving workers and from a data centre that
// is out of service, and transfers its queue to cells in service.
func (s *Scheduler) drain() {
	if s.now.Sub(s.lastDrain) < drainInterval {
		return
	}
	s.lastDrain = s.now
	budget := s.limits.drainPerSecond
	for _, t := range s.leavingTasks() {
		if budget == 0 {
			break
		}
		if s.pending[t.Spec.ID] != nil || !s.evictionDue(t) {
			continue
		}
		s.evict(t, s.drainReason())
		budget--
	}
	if s.isOut() {
		s.transferQueue()
	}
}

func (s *Scheduler) drainReason() string {
	if s.isOut() {
		return "data-centre-out"
	}
	return "worker-leaving"
}

// leavingTasks returns the live tasks on leaving workers and in a data centre that is out of
// service, most urgent first, and within one urgency those with the least work to lose.
func (s *Scheduler) leavingTasks() []*cell.Task {
	var out []*cell.Task
	for _, h := range s.order {
		if !h.Leaving && !s.view.IsOut(h.DataCentre) {
			continue
		}
		for _, t := range h.live {
			if t.State == cell.TaskLive {
				out = append(out, t)
			}
		}
	}
	slices.SortFunc(out, func(a, b *cell.Task) int {
		return cmp.Or(
			cmp.Compare(b.Spec.Urgency, a.Spec.Urgency),
			cmp.Compare(s.workLost(s.hosts[a.Worker], a), s.workLost(s.hosts[b.Worker], b)),
			cmp.Compare(a.Spec.ID, b.Spec.ID),
		)
	})
	return out
}

// evictionDue reports whether t should be evicted now. In a data centre that is out of
// service, a task keeps running until a cell in service has capacity for it or DrainGrace
// is over.
func (s *Scheduler) evictionDue(t *cell.Task) bool {
	if !s.isOut() {
		return true
	}
	since := s.outSince[s.own.DataCentre]
	if s.now.Sub(since) >= s.cfg.DrainGrace {
		return true
	}
	to := s.destination(&unit{tasks: []*cell.Task{t}}, true)
	if to == nil {
		return false
	}
	to.Free = to.Free.Sub(t.Spec.Resources)
	return true
}

// transferQueue transfers waiting units out of a data centre that is out of service: at
// once to a cell with enough free capacity, and after OverflowAfter to the cell with the
// largest free fraction that could ever hold them.
func (s *Scheduler) transferQueue() {
	cursors := s.newCursorHeap()
	for cursors.Len() > 0 {
		c := s.popCursor(cursors)
		u := c.unit
		if u.partial {
			s.evictLiveMembers(u.tasks[0].Spec.Job)
		}
		to := s.destination(u, s.now.Sub(u.readySince) < s.cfg.OverflowAfter)
		if to == nil || !s.allowTransfer(u) {
			if c.unit = c.tq.after(u); to != nil || c.unit == nil {
				continue
			}
			c.rank = s.rankOf(c)
			pushCursor(cursors, c)
			continue
		}
		c.unit = c.tq.after(u)
		to.Free = to.Free.Sub(u.need())
		s.transfer(u, to.ID, "data-centre-out")
		if c.unit != nil {
			c.rank = s.rankOf(c)
			pushCursor(cursors, c)
		}
	}
}
