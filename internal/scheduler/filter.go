package scheduler

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// placementRequest is the input for choosing the worker of one task. tasksPerRack counts
// the workers already chosen for other tasks of the unit.
type placementRequest struct {
	task         *cell.Task
	unit         *unit
	view         *control.View
	now          time.Time
	tasksPerRack map[model.Rack]int
}

// urgent reports whether the task was submitted as urgent. A unit that became urgent by
// ageing neither preempts nor bypasses filters.
func (r *placementRequest) urgent() bool { return r.task.Spec.Urgency >= model.UrgencyUrgent }

// Filter excludes workers that must not or should not run a task. The index checks
// capacity before the filters run.
type Filter interface {
	// Name is the reason logged when the filter excludes the last candidate.
	Name() string
	keep(r *placementRequest, h *host) bool
}

// inService excludes leaving and unreachable workers and those in a data centre that is
// out of service.
type inService struct{}

// Name implements Filter.
func (inService) Name() string { return "out-of-service" }

func (inService) keep(r *placementRequest, h *host) bool {
	return h.present && !h.Leaving && !h.Unreachable && !r.view.IsOut(h.DataCentre)
}

// notHeld excludes workers that are held for another unit.
type notHeld struct{}

// Name implements Filter.
func (notHeld) Name() string { return "held" }

func (notHeld) keep(r *placementRequest, h *host) bool {
	free := h.heldFor == nil || h.heldFor.state == unitRemoved || !r.now.Before(h.heldUntil)
	return free || h.heldFor == r.unit
}

// notQuarantined excludes quarantined workers, except for one probe task at a time.
// Gang tasks and urgent tasks are not used as probes.
type notQuarantined struct{}

// Name implements Filter.
func (notQuarantined) Name() string { return "quarantined" }

func (notQuarantined) keep(r *placementRequest, h *host) bool {
	if !h.health.quarantined {
		return true
	}
	probe := !r.unit.gang && !r.urgent() && h.reserved.IsZero()
	return probe && h.health.probe == "" && !r.now.Before(h.health.probeAt)
}

// notAvoided excludes the worker on which the task's last attempt failed.
type notAvoided struct{ retries map[model.TaskID]retry }

// Name implements Filter.
func (notAvoided) Name() string { return "failed-here" }

func (f notAvoided) keep(r *placementRequest, h *host) bool {
	past, failed := f.retries[r.task.Spec.ID]
	return !failed || past.worker != h.ID || r.now.After(past.notBefore.Add(avoidDuration))
}

// rampUp limits how full a worker may be after its data centre returned to service.
type rampUp struct {
	returnedAt map[model.DataCentre]time.Time
	ramp       time.Duration
}

// Name implements Filter.
func (rampUp) Name() string { return "filling" }

func (f rampUp) keep(r *placementRequest, h *host) bool {
	since, returned := f.returnedAt[h.DataCentre]
	if !returned || r.urgent() {
		return true
	}
	allowed := rampFraction(r.now.Sub(since), f.ramp)
	after := h.Capacity.Sub(h.free).Add(r.task.Spec.Resources)
	return allowed >= 1 || float64(after.MilliCPU) <= allowed*float64(h.Capacity.MilliCPU)
}

// rampStart is the fraction of a worker that may be filled right after the return. It
// admits tasks of common sizes, so that placement resumes at once but not in bulk.
const rampStart = 0.25

// rampFraction returns the fraction of a worker that may be filled when the given time has
// passed since the return.
func rampFraction(after, ramp time.Duration) float64 {
	if after >= ramp {
		return 1
	}
	return rampStart + (1-rampStart)*float64(max(after, 0))/float64(ramp)
}

// slowdownBudget excludes workers on which a service has exceeded a limit, and those on
// which the expected slowdown of a service would exceed the budget. For a high-interference
// class it also reserves the slowdown of filling the rest of the worker with
// low-interference work; otherwise a few such tasks would use up the budget and leave
// processors idle. Urgent tasks pass, and so do tasks that have waited too long, because a
// task that exceeds the budget by itself would otherwise never run. The score still ranks
// workers for these tasks, and exceeded limits lead to throttling.
type slowdownBudget struct {
	model       *interferenceModel
	budget      float64
	starveAfter time.Duration
	// lowInterferenceSlope returns the slowdown by low-interference work that fills a worker.
	lowInterferenceSlope func() float64
}

// Name implements Filter.
func (slowdownBudget) Name() string { return "slowdown" }

func (f slowdownBudget) keep(r *placementRequest, h *host) bool {
	if r.urgent() || len(h.services) == 0 || r.now.Sub(r.unit.readySince) >= f.starveAfter {
		return true
	}
	if h.protection.limitExceeded {
		return false
	}
	left := h.free.MilliCPU - r.task.Spec.Resources.MilliCPU
	reserve := 0.0
	if f.model.highestSlope(h, r.task.Spec.Class) > f.budget {
		reserve = f.lowInterferenceSlope() * fraction(left, h.Capacity.MilliCPU)
	}
	return f.model.worstSlowdown(h, r.task)+reserve <= 1+f.budget
}

// headroom keeps a small part of the cell free while urgent work has been submitted
// recently, because every preemption costs an eviction.
type headroom struct{ s *Scheduler }

// Name implements Filter.
func (headroom) Name() string { return "headroom" }

func (f headroom) keep(r *placementRequest, h *host) bool {
	if r.urgent() || f.s.urgentCPU == 0 {
		return true
	}
	return f.s.freeCPU-r.task.Spec.Resources.MilliCPU >= f.s.headroomCPU()
}

const (
	// headroomFraction bounds the headroom as a fraction of the cell's processors.
	headroomFraction = 0.02
	// headroomHalfLife is the half-life of the recorded size of the largest urgent job.
	headroomHalfLife = 3 * time.Minute
)

// headroomCPU returns the processors to keep free, in thousandths of a core.
func (s *Scheduler) headroomCPU() int64 {
	most := headroomFraction * float64(s.own.Capacity.MilliCPU)
	return int64(min(s.decayedUrgentCPU(), most))
}

func (s *Scheduler) decayedUrgentCPU() float64 {
	return s.urgentCPU * math.Exp2(-float64(s.now.Sub(s.urgentAt))/float64(headroomHalfLife))
}

// noteUrgent updates the size of the largest recent urgent job.
func (s *Scheduler) noteUrgent(t *cell.Task) {
	var need model.Resources
	for _, other := range s.st.JobTasks(t.Spec.Job) {
		need = need.Add(other.Spec.Resources)
	}
	s.urgentCPU = max(s.decayedUrgentCPU(), float64(need.MilliCPU))
	s.urgentAt = s.now
	s.quota.noteUrgent(t.Spec.Team, need, s.now)
}
