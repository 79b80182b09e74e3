package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// protection is the state of protecting a worker's services from batch interference. A
// sample above a limit escalates: throttling first, then a checkpoint, then an eviction.
// Samples well below the limits relax the throttling.
type protection struct {
	// limitExceeded is true after a sample above a limit that was measured once the last
	// step had taken effect.
	limitExceeded bool
	// goodSamples counts consecutive samples well below the limits.
	goodSamples int
	// lastStepAt is the time at which the last step was planned.
	lastStepAt     time.Time
	throttledTasks int
}

// active reports whether batch work on the worker is throttled or about to be.
func (p *protection) active() bool { return p.limitExceeded || p.throttledTasks > 0 }

// effectDelay is the time until samples can reflect a step: the group commit, the command
// and the start of a new measurement window.
const effectDelay = time.Second

// evaluateSample updates the protection of a worker with one sample.
func (s *Scheduler) evaluateSample(h *host, sample serviceSample) {
	if sample.measured.Before(h.protection.lastStepAt.Add(effectDelay)) {
		return
	}
	level := s.limitRatio(sample)
	p := &h.protection
	switch {
	case level > 1:
		p.limitExceeded, p.goodSamples = true, 0
	case level < s.cfg.RelaxBelow:
		p.limitExceeded, p.goodSamples = false, p.goodSamples+1
	default:
		p.limitExceeded, p.goodSamples = false, 0
	}
	if p.active() {
		s.protectedHosts[h.ID] = h
	}
}

// limitRatio returns the ratio of a sample to its limit; above 1 the limit is exceeded.
// The limits are the declared latency target and the limit on the measured slowdown.
func (s *Scheduler) limitRatio(sample serviceSample) float64 {
	level := 0.0
	if target := targetOf(s.view, sample.service); target > 0 {
		level = sample.p99.Seconds() / target.Seconds()
	}
	// With a single worker a change of load cannot be distinguished from interference,
	// because the baseline comes from workers with less batch work. Only the target
	// applies there.
	if ratio, known := s.interference.observedSlowdown(sample); known && len(s.hosts) > 1 {
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

// protect plans at most one step for each worker with active protection.
func (s *Scheduler) protect() {
	for _, id := range sortedKeys(s.protectedHosts) {
		h := s.protectedHosts[id]
		p := &h.protection
		switch {
		case p.limitExceeded && s.now.Sub(p.lastStepAt) >= effectDelay:
			s.escalate(h)
		case !p.limitExceeded && p.throttledTasks > 0 && p.goodSamples >= s.cfg.RelaxSamples:
			s.relax(h)
		}
		if !p.active() {
			delete(s.protectedHosts, id)
			s.placementDue = true
		}
	}
}

// escalate plans the cheapest remaining step: throttle, then checkpoint, then evict.
func (s *Scheduler) escalate(h *host) {
	tasks := s.contributors(h)
	h.protection.limitExceeded = false
	if len(tasks) == 0 {
		return
	}
	h.protection.lastStepAt = s.now
	if s.throttleTasks(h, tasks) {
		return
	}
	victim := s.cheapestEviction(h, tasks)
	run := h.run(victim.Spec.ID)
	if s.now.Sub(run.checkpointAt) > s.cfg.CheckpointEvery && run.checkpointRequested.Before(run.checkpointAt) {
		run.checkpointRequested = s.now
		s.plan.Checkpoints = append(s.plan.Checkpoints, CheckpointRequest{h.ID, victim.Ref()})
		s.logDecision("checkpoint", string(victim.Spec.ID), len(tasks), string(h.ID), "target-missed")
		return
	}
	if s.allowEviction() {
		s.evict(victim, "target-missed")
	}
}

// throttleTasks halves the processor limits of tasks, which are sorted by contribution in
// descending order, until the expected reduction brings the measured slowdown well below
// the limit. It returns false when no task can be throttled further.
func (s *Scheduler) throttleTasks(h *host, tasks []*cell.Task) bool {
	excess, scale := s.slowdownExcess(h)
	throttled := false
	for _, t := range tasks {
		run := h.run(t.Spec.ID)
		if run.throttle <= s.cfg.MinThrottle {
			continue
		}
		before := s.contribution(h, t)
		s.setThrottle(h, t, max(run.throttle/2, s.cfg.MinThrottle), "target-missed")
		throttled = true
		excess -= scale * (before - s.contribution(h, t))
		if excess <= 0 {
			break
		}
	}
	return throttled
}

// slowdownExcess returns how far the measured slowdown on h is above the level at which
// throttling is relaxed, and the factor by which it exceeds the expected slowdown.
func (s *Scheduler) slowdownExcess(h *host) (excess, scale float64) {
	measured := 1.0
	for _, sample := range h.services {
		if ratio, known := s.interference.observedSlowdown(sample); known {
			measured = max(measured, ratio)
		}
	}
	expected := s.interference.worstSlowdown(h, nil)
	scale = 1
	if expected > 1 {
		scale = min(max((measured-1)/(expected-1), 1), maxScale)
	}
	return measured - 1 - s.cfg.SlowdownLimit*s.cfg.RelaxBelow, scale
}

// maxScale bounds the factor by which a measurement scales the expected slowdown.
const maxScale = 4

// allowEviction reports whether the limit for the last minute admits another eviction, and
// counts it.
func (s *Scheduler) allowEviction() bool {
	s.evictions = slices.DeleteFunc(s.evictions, func(at time.Time) bool {
		return s.now.Sub(at) >= time.Minute
	})
	if len(s.evictions) >= s.limits.evictionsPerMinute {
		return false
	}
	s.evictions = append(s.evictions, s.now)
	return true
}

// contributors returns the tasks on h that may be throttled or evicted, largest expected
// slowdown first. Urgent tasks are exempt.
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

// contribution returns the expected slowdown that one task causes for the service on h
// that it affects most.
func (s *Scheduler) contribution(h *host, t *cell.Task) float64 {
	most := 0.0
	for _, sv := range h.services {
		most = max(most, s.interference.slope(sv.service, t.Spec.Class)*h.cpuFraction(t))
	}
	return most
}

// cheapestEviction returns the task with the least work to lose in relation to the slowdown
// that its eviction removes. The cost of a gang task is multiplied by the size of its gang.
func (s *Scheduler) cheapestEviction(h *host, tasks []*cell.Task) *cell.Task {
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

func (s *Scheduler) setThrottle(h *host, t *cell.Task, percent int, reason string) {
	run := h.run(t.Spec.ID)
	if run.throttle == fullSpeed && percent < fullSpeed {
		h.protection.throttledTasks++
	}
	if run.throttle < fullSpeed && percent == fullSpeed {
		h.protection.throttledTasks--
	}
	run.throttle = percent
	h.noteMix(s.now)
	s.plan.Throttles = append(s.plan.Throttles, ThrottleChange{h.ID, t.Ref(), percent})
	s.logDecision("throttle", string(t.Spec.ID), len(h.live), string(h.ID), reason)
}

// relax raises the processor limits of throttled tasks, those with the least expected
// slowdown first, as long as the total expected slowdown stays well below the limit.
func (s *Scheduler) relax(h *host) {
	tasks := s.contributors(h)
	slices.Reverse(tasks)
	margin := 1 + s.cfg.SlowdownLimit*s.cfg.RelaxBelow - s.interference.worstSlowdown(h, nil)
	for _, t := range tasks {
		run := h.run(t.Spec.ID)
		if run.throttle == fullSpeed {
			continue
		}
		more := min(2*run.throttle, fullSpeed)
		extra := s.contribution(h, t) * float64(more-run.throttle) / float64(run.throttle)
		if extra > margin {
			continue
		}
		margin -= extra
		h.protection.goodSamples, h.protection.lastStepAt = 0, s.now
		s.setThrottle(h, t, more, "target-met")
	}
}
