package scheduler

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// request is one choice of a worker: the task, its unit and what the unit's
// other tasks already took in this plan.
type request struct {
	task  *cell.Task
	unit  *unit
	view  *control.View
	now   time.Time
	racks map[model.Rack]int
}

// urgent reports whether the submitter declared the task as urgent; age alone
// gives no right to preempt or to pass filters.
func (r *request) urgent() bool { return r.task.Spec.Urgency >= model.UrgencyUrgent }

// Filter removes workers that must not or should not hold a task. Capacity is
// checked by the index before the filters.
type Filter interface {
	// Name is the reason that is logged when the filter leaves no worker.
	Name() string
	keep(r *request, h *host) bool
}

// inService refuses workers that leave and those in a data centre that is out.
type inService struct{}

// Name implements Filter.
func (inService) Name() string { return "out-of-service" }

func (inService) keep(r *request, h *host) bool {
	return h.present && !h.Leaving && !h.Unreachable && !r.view.IsOut(h.DataCentre)
}

// notHeld refuses workers that are held for another unit.
type notHeld struct{}

// Name implements Filter.
func (notHeld) Name() string { return "held" }

func (notHeld) keep(r *request, h *host) bool {
	free := h.heldFor == nil || h.heldFor.state == unitRemoved || !r.now.Before(h.heldUntil)
	return free || h.heldFor == r.unit
}

// notQuarantined refuses quarantined workers, apart from one probe at a time.
// Gangs and urgent work are no probes.
type notQuarantined struct{}

// Name implements Filter.
func (notQuarantined) Name() string { return "quarantined" }

func (notQuarantined) keep(r *request, h *host) bool {
	if !h.health.quarantined {
		return true
	}
	probe := !r.unit.gang && !r.urgent() && h.reserved.IsZero()
	return probe && h.health.probe == "" && !r.now.Before(h.health.probeAt)
}

// notAvoided refuses the worker on which the task's last attempt failed.
type notAvoided struct{ avoid map[model.TaskID]retry }

// Name implements Filter.
func (notAvoided) Name() string { return "failed-here" }

func (f notAvoided) keep(r *request, h *host) bool {
	past, failed := f.avoid[r.task.Spec.ID]
	return !failed || past.worker != h.ID || r.now.After(past.until.Add(avoidFor))
}

// gradual bounds how full a worker may be after its data centre returned.
type gradual struct {
	returned map[model.DataCentre]time.Time
	ramp     time.Duration
}

// Name implements Filter.
func (gradual) Name() string { return "filling" }

func (f gradual) keep(r *request, h *host) bool {
	since, returned := f.returned[h.DataCentre]
	if !returned || r.urgent() {
		return true
	}
	allowed := rampShare(r.now.Sub(since), f.ramp)
	after := h.Capacity.Sub(h.free).Add(r.task.Spec.Resources)
	return allowed >= 1 || float64(after.MilliCPU) <= allowed*float64(h.Capacity.MilliCPU)
}

// rampStart is the share of a worker that may be filled right after the return.
// It admits the common sizes, so that work returns at once, but not in bulk.
const rampStart = 0.25

// rampShare returns the share of a worker that may be filled after a time.
func rampShare(after, ramp time.Duration) float64 {
	if after >= ramp {
		return 1
	}
	return rampStart + (1-rampStart)*float64(max(after, 0))/float64(ramp)
}

// slowdownBudget refuses workers where the expected slowdown of a service
// would exceed the budget, also after the rest of the worker has been filled
// with quiet work, or where a miss is being dealt with. Without that reserve, a
// few tasks of a noisy class would use up the budget and leave processors idle.
// Urgent work passes, and so does work that has waited too long, because a task
// that exceeds the budget by itself would otherwise never run; the score still
// ranks the workers for them, and misses are throttled.
type slowdownBudget struct {
	model  *interference
	budget float64
	starve time.Duration
	// quiet returns the slowdown that quiet work causes per worker it fills.
	quiet func() float64
}

// Name implements Filter.
func (slowdownBudget) Name() string { return "slowdown" }

func (f slowdownBudget) keep(r *request, h *host) bool {
	if r.urgent() || len(h.services) == 0 || r.now.Sub(r.unit.since) >= f.starve {
		return true
	}
	if h.protection.missed {
		return false
	}
	left := h.free.MilliCPU - r.task.Spec.Resources.MilliCPU
	reserve := 0.0
	if f.model.noisiest(h, r.task.Spec.Class) > f.budget {
		reserve = f.quiet() * part(left, h.Capacity.MilliCPU)
	}
	return f.model.worst(h, r.task)+reserve <= 1+f.budget
}

// headroom keeps a little of the cell free for urgent work while such work has
// been seen lately, because each preemption is an eviction.
type headroom struct{ s *Scheduler }

// Name implements Filter.
func (headroom) Name() string { return "headroom" }

func (f headroom) keep(r *request, h *host) bool {
	if r.urgent() || f.s.urgentCPU == 0 {
		return true
	}
	return f.s.freeCPU-r.task.Spec.Resources.MilliCPU >= f.s.headroom()
}

const (
	// headroomPart bounds the headroom as a part of the cell's processors.
	headroomPart = 0.02
	// headroomHalfLife is the time after which the largest urgent job seen lately
	// counts half.
	headroomHalfLife = 3 * time.Minute
)

// headroom returns the processors to keep free, in thousandths of a core.
func (s *Scheduler) headroom() int64 {
	most := headroomPart * float64(s.own.Capacity.MilliCPU)
	return int64(min(s.decayedUrgent(), most))
}

func (s *Scheduler) decayedUrgent() float64 {
	return s.urgentCPU * math.Exp2(-float64(s.now.Sub(s.urgentAt))/float64(headroomHalfLife))
}

// noteUrgent remembers the size of the largest urgent job seen lately.
func (s *Scheduler) noteUrgent(t *cell.Task) {
	var need model.Resources
	for _, other := range s.st.JobTasks(t.Spec.Job) {
		need = need.Add(other.Spec.Resources)
	}
	s.urgentCPU = max(s.decayedUrgent(), float64(need.MilliCPU))
	s.urgentAt = s.now
	s.quota.noteUrgent(t.Spec.Team, need, s.now)
}
