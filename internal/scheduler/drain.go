package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
)

// drainEvery is the interval between rounds of evictions from a data centre or
// worker that leaves; each round may use the pace of one interval.
const drainEvery = time.Second

// drain plans evictions with checkpoint from workers that leave and from a data
// centre that is out, and moves its queue to cells in service.
func (s *Scheduler) drain() {
	if s.now.Sub(s.lastDrain) < drainEvery {
		return
	}
	s.lastDrain = s.now
	budget := s.limits.drainPerSecond
	for _, t := range s.leavingTasks() {
		if budget == 0 {
			break
		}
		if s.pending[t.Spec.ID] != nil || !s.mayLeave(t) {
			continue
		}
		s.evict(t, s.leaveReason())
		budget--
	}
	if s.isOut() {
		s.moveQueue()
	}
}

func (s *Scheduler) leaveReason() string {
	if s.isOut() {
		return "data-centre-out"
	}
	return "worker-leaving"
}

// leavingTasks returns the live tasks that must move, most urgent first, and
// among equals those with the least work to lose.
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

// mayLeave reports whether an eviction is due now: when a cell in service has
// room, or when the grace for work that fits nowhere else is over. Until then
// the work goes on where it is.
func (s *Scheduler) mayLeave(t *cell.Task) bool {
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

// moveQueue transfers waiting units out of a data centre that is out: at once
// where there is room, and after a wait to the cell that has the most.
func (s *Scheduler) moveQueue() {
	turns := s.turns()
	for turns.Len() > 0 {
		c := s.nextTurn(turns)
		u := c.unit
		if u.partial {
			s.evictRest(u.tasks[0].Spec.Job)
		}
		to := s.destination(u, s.now.Sub(u.since) < s.cfg.OverflowAfter)
		if to == nil || !s.spendMove(u) {
			if c.unit = c.tq.after(u); to != nil || c.unit == nil {
				continue
			}
			c.rank = s.rankOf(c)
			pushTurn(turns, c)
			continue
		}
		c.unit = c.tq.after(u)
		to.Free = to.Free.Sub(u.need())
		s.transfer(u, to.ID, "data-centre-out")
		if c.unit != nil {
			c.rank = s.rankOf(c)
			pushTurn(turns, c)
		}
	}
}
