package scheduler

import (
	"cmp"
	"slices"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// preemptSampleSize bounds the workers examined for a preemption.
const preemptSampleSize = 64

// preemptFor plans evictions for an urgent unit that finds no capacity, and holds the
// workers for it. With ownTeam, only tasks of the unit's team are evicted, up to the size
// of the unit, which also frees the team's quota. It returns the number of searches done.
func (s *Scheduler) preemptFor(u *unit, ownTeam bool) int {
	if s.now.Before(u.heldUntil) {
		return 0
	}
	assigned := map[*host]model.Resources{}
	var preemptions []preemption
	for _, t := range u.tasks {
		h, victims := s.cheapestPreemption(u, t, assigned, ownTeam)
		if h == nil {
			return 1
		}
		assigned[h] = assigned[h].Add(t.Spec.Resources)
		preemptions = append(preemptions, preemption{h, victims})
	}
	u.heldUntil = s.now.Add(s.cfg.HoldTime)
	for _, p := range preemptions {
		p.host.heldFor, p.host.heldUntil = u, u.heldUntil
		for _, v := range p.victims {
			s.evict(v, "preempt")
			s.plan.Urgent = true
		}
	}
	return 1
}

// preemption is a worker and the tasks to evict from it.
type preemption struct {
	host    *host
	victims []*cell.Task
}

// cheapestPreemption returns, from a sample of workers, the one on which freeing capacity
// for t costs least, and the tasks to evict from it.
func (s *Scheduler) cheapestPreemption(u *unit, t *cell.Task, assigned map[*host]model.Resources, ownTeam bool) (*host, []*cell.Task) {
	var best *host
	var victims []*cell.Task
	lowest := 0.0
	r := &placementRequest{task: t, unit: u, view: s.view, now: s.now}
	n := len(s.order)
	for i := range min(n, preemptSampleSize) {
		h := s.order[(s.preemptOffset+i)%n]
		if !(inService{}).keep(r, h) || !(notHeld{}).keep(r, h) || h.health.quarantined {
			continue
		}
		need := assigned[h].Add(t.Spec.Resources)
		evict, cost, ok := s.victims(h, need, u, ownTeam)
		if ok && (best == nil || cost < lowest) {
			best, victims, lowest = h, evict, cost
		}
	}
	s.preemptOffset = (s.preemptOffset + preemptSampleSize) % max(n, 1)
	return best, victims
}

// victims returns the tasks of lower urgency to evict so that need becomes free, and the
// cost of evicting them. It considers tasks with the least work to lose first. Gang tasks
// are exempt, because the whole gang may have to restart, unless the capacity must come
// from one team.
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
	s.sortByWorkLost(h, choice)
	count := 0
	for count < len(choice) && !need.Fits(free) {
		free = free.Add(choice[count].Spec.Resources)
		count++
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	evict := trimVictims(choice[:count], free, need)
	cost := 0.0
	for _, t := range evict {
		cost += evictionCost + s.workLost(h, t)
		if t.Spec.Gang {
			cost += evictionCost * float64(len(s.st.JobTasks(t.Spec.Job)))
		}
	}
	return evict, cost, true
}

// evictionCost is the fixed cost of an eviction in core-seconds, besides the work at risk:
// the checkpoint, the wait in the queue and the restart.
const evictionCost = 120

// trimVictims drops the tasks whose eviction is not needed for need to fit, starting with
// the most costly.
func trimVictims(choice []*cell.Task, free, need model.Resources) []*cell.Task {
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

// sortByWorkLost sorts tasks by urgency, then by the work at risk in an eviction.
func (s *Scheduler) sortByWorkLost(h *host, tasks []*cell.Task) {
	slices.SortFunc(tasks, func(a, b *cell.Task) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Urgency, b.Spec.Urgency),
			cmp.Compare(s.workLost(h, a), s.workLost(h, b)),
			cmp.Compare(a.Spec.ID, b.Spec.ID),
		)
	})
}

// workLost returns the core-seconds since the last checkpoint of a live attempt. An
// eviction saves a checkpoint first, but if the worker fails or its lease expires before
// that, this work has to be repeated.
func (s *Scheduler) workLost(h *host, t *cell.Task) float64 {
	run := h.run(t.Spec.ID)
	return s.now.Sub(run.checkpointAt).Seconds() * float64(t.Spec.Resources.MilliCPU) / 1000
}
