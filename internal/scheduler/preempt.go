package scheduler

import (
	"cmp"
	"slices"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// preemptSample bounds the workers searched for room to free for urgent work.
const preemptSample = 64

// makeRoom plans evictions for an urgent unit that finds no capacity, and holds
// the workers for it. With ownTeam, only work of the unit's team is evicted, as
// much as the unit needs, which frees the team's quota too. It returns the
// searches spent.
func (s *Scheduler) makeRoom(u *unit, ownTeam bool) int {
	if s.now.Before(u.heldUntil) {
		return 0
	}
	promised := map[*host]model.Resources{}
	var rooms []freedRoom
	for _, t := range u.tasks {
		h, victims := s.cheapestRoom(u, t, promised, ownTeam)
		if h == nil {
			return 1
		}
		promised[h] = promised[h].Add(t.Spec.Resources)
		rooms = append(rooms, freedRoom{h, victims})
	}
	u.heldUntil = s.now.Add(s.cfg.HoldTime)
	for _, room := range rooms {
		room.host.heldFor, room.host.heldUntil = u, u.heldUntil
		for _, v := range room.victims {
			s.evict(v, "preempt")
			s.plan.Urgent = true
		}
	}
	return 1
}

// freedRoom is a worker and the tasks to evict there.
type freedRoom struct {
	host    *host
	victims []*cell.Task
}

// cheapestRoom returns the worker, out of a sample, on which the least work is
// lost to make room for t, and the tasks to evict there.
func (s *Scheduler) cheapestRoom(u *unit, t *cell.Task, promised map[*host]model.Resources, ownTeam bool) (*host, []*cell.Task) {
	var best *host
	var victims []*cell.Task
	lowest := 0.0
	r := &request{task: t, unit: u, view: s.view, now: s.now}
	n := len(s.order)
	for i := range min(n, preemptSample) {
		h := s.order[(s.preemptFrom+i)%n]
		if !(inService{}).keep(r, h) || !(notHeld{}).keep(r, h) || h.health.quarantined {
			continue
		}
		need := promised[h].Add(t.Spec.Resources)
		evict, cost, ok := s.victims(h, need, u, ownTeam)
		if ok && (best == nil || cost < lowest) {
			best, victims, lowest = h, evict, cost
		}
	}
	s.preemptFrom = (s.preemptFrom + preemptSample) % max(n, 1)
	return best, victims
}

// victims returns the tasks of lower urgency to evict so that need becomes
// free, least work lost first. Gang tasks are spared, because the whole gang may
// have to restart, unless the room must come from one team.
func (s *Scheduler) victims(h *host, need model.Resources, u *unit, ownTeam bool) ([]*cell.Task, float64, bool) {
	free := h.free
	if ownTeam {
		free = model.Resources{}
	}
	var choice []*cell.Task
	for _, t := range h.live {
		switch {
		case ownTeam && t.Spec.Team != u.team:
		case t.State != cell.TaskLive || s.pending[t.Spec.ID] != nil:
			free = free.Add(t.Spec.Resources)
		case t.Spec.Urgency < u.urgency && (ownTeam || !t.Spec.Gang):
			choice = append(choice, t)
		}
	}
	s.byWorkLost(h, choice)
	count := 0
	for count < len(choice) && !need.Fits(free) {
		free = free.Add(choice[count].Spec.Resources)
		count++
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	evict := needed(choice[:count], free, need)
	cost := 0.0
	for _, t := range evict {
		cost += evictionCost + s.workLost(h, t)
		if t.Spec.Gang {
			cost += evictionCost * float64(len(s.st.JobTasks(t.Spec.Job)))
		}
	}
	return evict, cost, true
}

// evictionCost is the cost of an eviction besides the work it puts at risk, in
// core-seconds: the checkpoint, the wait in the queue and the new start.
const evictionCost = 120

// needed drops the tasks whose eviction is not needed for need to fit, the most
// costly first.
func needed(choice []*cell.Task, free, need model.Resources) []*cell.Task {
	var out []*cell.Task
	for i := len(choice) - 1; i >= 0; i-- {
		without := free.Sub(choice[i].Spec.Resources)
		if need.Fits(without) {
			free = without
			continue
		}
		out = append(out, choice[i])
	}
	return out
}

// byWorkLost sorts tasks by urgency, then by the work an eviction loses.
func (s *Scheduler) byWorkLost(h *host, tasks []*cell.Task) {
	slices.SortFunc(tasks, func(a, b *cell.Task) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Urgency, b.Spec.Urgency),
			cmp.Compare(s.workLost(h, a), s.workLost(h, b)),
			cmp.Compare(a.Spec.ID, b.Spec.ID),
		)
	})
}

// workLost returns the core-seconds since the last checkpoint of a live
// attempt. An eviction saves progress first, but when the worker fails or the
// lease runs out before that, this much is repeated.
func (s *Scheduler) workLost(h *host, t *cell.Task) float64 {
	run := h.run(t.Spec.ID)
	return s.now.Sub(run.checkpointAt).Seconds() * float64(t.Spec.Resources.MilliCPU) / 1000
}
