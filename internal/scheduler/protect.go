package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// protection is the state of a worker's services against batch work: a miss
// steps up by throttling, then a checkpoint, then an eviction; good samples
// step down.
type protection struct {
	// missed is true after a sample beyond a limit that was measured after the
	// last step took effect.
	missed bool
	// good counts consecutive samples well below the limits.
	good int
	// steppedAt is when the last step was planned.
	steppedAt time.Time
	throttled int
}

// strained reports whether batch work on the worker is held back.
func (p *protection) strained() bool { return p.missed || p.throttled > 0 }

// effectDelay is the time that a step needs before samples can show it: the
// group commit, the command and the start of a new measurement window.
const effectDelay = time.Second

// judgeSample updates the protection of a worker by one sample.
func (s *Scheduler) judgeSample(h *host, sample serviceSample) {
	if sample.measured.Before(h.protection.steppedAt.Add(effectDelay)) {
		return
	}
	level := s.strain(sample)
	p := &h.protection
	switch {
	case level > 1:
		p.missed, p.good = true, 0
	case level < s.cfg.RelaxBelow:
		p.missed, p.good = false, p.good+1
	default:
		p.missed, p.good = false, 0
	}
	if p.strained() {
		s.strained[h.ID] = h
	}
}

// strain returns how far a sample is towards its limit; above 1 is a miss. The
// limits are the declared target and the measured slowdown.
func (s *Scheduler) strain(sample serviceSample) float64 {
	level := 0.0
	if target := targetOf(s.view, sample.service); target > 0 {
		level = sample.p99.Seconds() / target.Seconds()
	}
	// On a single worker a shift of load cannot be told from interference, because
	// the baseline rests on workers with less batch work; there the target decides.
	if ratio, known := s.model.observed(sample); known && len(s.hosts) > 1 {
		level = max(level, (ratio-1)/s.cfg.SlowdownLimit)
	}
	return level
}

func targetOf(view *control.View, service model.ServiceName) time.Duration {
	if view == nil || view.Declaration == nil {
		return 0
	}
	for _, d := range view.Declaration.Services {
		if d.Name == service {
			return d.TargetP99.D()
		}
	}
	return 0
}

// protect plans one step for each strained worker.
func (s *Scheduler) protect() {
	for _, id := range sortedKeys(s.strained) {
		h := s.strained[id]
		p := &h.protection
		switch {
		case p.missed && s.now.Sub(p.steppedAt) >= effectDelay:
			s.stepUp(h)
		case !p.missed && p.throttled > 0 && p.good >= s.cfg.RelaxSamples:
			s.stepDown(h)
		}
		if !p.strained() {
			delete(s.strained, id)
			s.changed = true
		}
	}
}

// stepUp takes the cheapest step that is left: throttle, then checkpoint, then
// evict.
func (s *Scheduler) stepUp(h *host) {
	tasks := s.contributors(h)
	h.protection.missed = false
	if len(tasks) == 0 {
		return
	}
	h.protection.steppedAt = s.now
	if s.throttleDown(h, tasks) {
		return
	}
	victim := s.cheapest(h, tasks)
	run := h.run(victim.Spec.ID)
	if s.now.Sub(run.checkpointAt) > s.cfg.CheckpointEvery && run.asked.Before(run.checkpointAt) {
		run.asked = s.now
		s.plan.Checkpoints = append(s.plan.Checkpoints, CheckpointRequest{h.ID, victim.Ref()})
		s.decide("checkpoint", string(victim.Spec.ID), len(tasks), string(h.ID), "target-missed")
		return
	}
	if s.spendEviction() {
		s.evict(victim, "target-missed")
	}
}

// throttleDown halves the shares of tasks, those that slow the services most
// first, until the expected relief brings the measured slowdown well below the
// limit. It returns false when nothing is left to throttle.
func (s *Scheduler) throttleDown(h *host, tasks []*cell.Task) bool {
	excess, scale := s.excess(h)
	throttled := false
	for _, t := range tasks {
		run := h.run(t.Spec.ID)
		if run.throttle <= s.cfg.MinThrottle {
			continue
		}
		before := s.contribution(h, t)
		s.throttle(h, t, max(run.throttle/2, s.cfg.MinThrottle), "target-missed")
		throttled = true
		excess -= scale * (before - s.contribution(h, t))
		if excess <= 0 {
			break
		}
	}
	return throttled
}

// excess returns how far the measured slowdown on h is above what is aimed at, and
// the factor by which it exceeds the expected one.
func (s *Scheduler) excess(h *host) (excess, scale float64) {
	measured := 1.0
	for _, sample := range h.services {
		if ratio, known := s.model.observed(sample); known {
			measured = max(measured, ratio)
		}
	}
	expected := s.model.worst(h, nil)
	scale = 1
	if expected > 1 {
		scale = min(max((measured-1)/(expected-1), 1), maxScale)
	}
	return measured - 1 - s.cfg.SlowdownLimit*s.cfg.RelaxBelow, scale
}

// maxScale bounds the correction of the expected slowdown by one measurement.
const maxScale = 4

// spendEviction takes one eviction from the cap for the last minute.
func (s *Scheduler) spendEviction() bool {
	s.evictions = slices.DeleteFunc(s.evictions, func(at time.Time) bool {
		return s.now.Sub(at) >= time.Minute
	})
	if len(s.evictions) >= s.limits.evictionsPerMinute {
		return false
	}
	s.evictions = append(s.evictions, s.now)
	return true
}

// contributors returns the batch tasks on h that can be held back, those that
// slow its services most first. Urgent tasks are exempt.
func (s *Scheduler) contributors(h *host) []*cell.Task {
	var out []*cell.Task
	for _, t := range h.live {
		if t.State == cell.TaskLive && s.pending[t.Spec.ID] == nil && t.Spec.Urgency < model.UrgencyUrgent {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *cell.Task) int {
		return cmp.Or(
			cmp.Compare(s.contribution(h, b), s.contribution(h, a)),
			cmp.Compare(a.Spec.ID, b.Spec.ID),
		)
	})
	return out
}

// contribution returns the expected slowdown by one task of the service on h
// that it slows most.
func (s *Scheduler) contribution(h *host, t *cell.Task) float64 {
	most := 0.0
	for _, sv := range h.services {
		most = max(most, s.model.slope(sv.service, t.Spec.Class)*h.part(t))
	}
	return most
}

// cheapest returns the task with the least work to lose for the slowdown that
// its eviction takes away. A gang task counts for its whole gang.
func (s *Scheduler) cheapest(h *host, tasks []*cell.Task) *cell.Task {
	cost := func(t *cell.Task) float64 {
		lost := 1 + s.workLost(h, t)
		if t.Spec.Gang {
			lost *= float64(len(s.st.JobTasks(t.Spec.Job)))
		}
		return lost / (s.contribution(h, t) + 1e-6)
	}
	return slices.MinFunc(tasks, func(a, b *cell.Task) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
}

func (s *Scheduler) throttle(h *host, t *cell.Task, percent int, reason string) {
	run := h.run(t.Spec.ID)
	if run.throttle == fullSpeed && percent < fullSpeed {
		h.protection.throttled++
	}
	if run.throttle < fullSpeed && percent == fullSpeed {
		h.protection.throttled--
	}
	run.throttle = percent
	h.note(s.now)
	s.plan.Throttles = append(s.plan.Throttles, ThrottleChange{h.ID, t.Ref(), percent})
	s.decide("throttle", string(t.Spec.ID), len(h.live), string(h.ID), reason)
}

// stepDown relaxes the throttles of tasks, those that slow the services least
// first, as far as the expected slowdown stays well below the limit.
func (s *Scheduler) stepDown(h *host) {
	tasks := s.contributors(h)
	slices.Reverse(tasks)
	room := 1 + s.cfg.SlowdownLimit*s.cfg.RelaxBelow - s.model.worst(h, nil)
	for _, t := range tasks {
		run := h.run(t.Spec.ID)
		if run.throttle == fullSpeed {
			continue
		}
		more := min(2*run.throttle, fullSpeed)
		extra := s.contribution(h, t) * float64(more-run.throttle) / float64(run.throttle)
		if extra > room {
			continue
		}
		room -= extra
		h.protection.good, h.protection.steppedAt = 0, s.now
		s.throttle(h, t, more, "target-met")
	}
}
