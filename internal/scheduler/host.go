package scheduler

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// host is the scheduler's state of one worker.
type host struct {
	Worker
	present    bool
	reserved   model.Resources
	free       model.Resources
	live       []*cell.Task
	services   []serviceSample
	mixHistory []mixEntry
	runs       map[model.TaskID]*runInfo
	health     health
	protection protection
	// heldFor is the unit for which the worker is held until heldUntil.
	heldFor   *unit
	heldUntil time.Time

	// Position in the capacity index.
	indexed                bool
	accelClass, cpuClass   int
	memoryClass, bucketPos int
}

// serviceSample is the last measurement of a service on a worker.
type serviceSample struct {
	service  model.ServiceName
	p99      time.Duration
	measured time.Time
}

// runInfo is the reported progress of a live attempt and its throttle.
type runInfo struct {
	checkpoint          string
	checkpointAt        time.Time
	checkpointRequested time.Time
	throttle            int
}

// classFraction is the fraction of a worker's processors that a batch class uses.
type classFraction struct {
	class    model.ClassName
	fraction float64
}

// mixEntry is the mix of batch classes on a worker from a point in time on.
type mixEntry struct {
	at  time.Time
	mix []classFraction
}

// mixHistoryLength bounds the stored mixes of a worker. Samples are at most about ten
// seconds old, and the mix of a worker changes about once a second at peak load.
const mixHistoryLength = 12

func (h *host) run(id model.TaskID) *runInfo {
	r := h.runs[id]
	if r == nil {
		r = &runInfo{throttle: fullSpeed}
		h.runs[id] = r
	}
	return r
}

func (h *host) addLive(t *cell.Task) { h.live = append(h.live, t) }

func (h *host) removeLive(t *cell.Task) {
	i := slices.Index(h.live, t)
	if i >= 0 {
		h.live = slices.Delete(h.live, i, i+1)
	}
	if r := h.runs[t.Spec.ID]; r != nil && r.throttle < fullSpeed {
		h.protection.throttledTasks--
	}
	delete(h.runs, t.Spec.ID)
}

// cpuFraction returns the fraction of the worker's processors that t may use.
func (h *host) cpuFraction(t *cell.Task) float64 {
	if h.Capacity.MilliCPU == 0 {
		return 0
	}
	p := float64(t.Spec.Resources.MilliCPU) / float64(h.Capacity.MilliCPU)
	if r := h.runs[t.Spec.ID]; r != nil {
		p *= float64(r.throttle) / fullSpeed
	}
	return p
}

// mix returns the fractions of the classes that run on the worker, in order of first use.
func (h *host) mix() []classFraction {
	out := make([]classFraction, 0, 4)
	for _, t := range h.live {
		out = addFraction(out, t.Spec.Class, h.cpuFraction(t))
	}
	return out
}

func addFraction(mix []classFraction, class model.ClassName, fraction float64) []classFraction {
	for i := range mix {
		if mix[i].class == class {
			mix[i].fraction += fraction
			return mix
		}
	}
	return append(mix, classFraction{class, fraction})
}

// noteMix adds the current mix to the history after a change.
func (h *host) noteMix(now time.Time) {
	if n := len(h.mixHistory); n > 0 && h.mixHistory[n-1].at.Equal(now) {
		h.mixHistory[n-1].mix = h.mix()
		return
	}
	if len(h.mixHistory) == mixHistoryLength {
		h.mixHistory = slices.Delete(h.mixHistory, 0, 1)
	}
	h.mixHistory = append(h.mixHistory, mixEntry{now, h.mix()})
}

// mixBefore returns the mix at a past time, and false when the history does not reach that
// far back. Before the first entry of a history that was never truncated, the mix is empty.
func (h *host) mixBefore(at time.Time) ([]classFraction, bool) {
	for i := len(h.mixHistory) - 1; i >= 0; i-- {
		if !h.mixHistory[i].at.After(at) {
			return h.mixHistory[i].mix, true
		}
	}
	return nil, len(h.mixHistory) < mixHistoryLength
}
