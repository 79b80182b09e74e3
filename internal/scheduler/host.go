package scheduler

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// host is what the scheduler knows of one worker.
type host struct {
	Worker
	present  bool
	reserved model.Resources
	free     model.Resources
	live     []*cell.Task
	services []serviceSample
	history  []mixAt
	runs     map[model.TaskID]*runInfo
	health   health
	// protection is the state of the throttle ladder.
	protection protection
	// heldFor is the unit that the worker is held for, until heldUntil.
	heldFor   *unit
	heldUntil time.Time

	indexed    bool
	accel, cpu int
	mem, pos   int
}

// serviceSample is the last measurement of a service on a worker.
type serviceSample struct {
	service  model.ServiceName
	p99      time.Duration
	measured time.Time
}

// runInfo is what reports tell about a live attempt.
type runInfo struct {
	since        time.Time
	checkpoint   string
	checkpointAt time.Time
	asked        time.Time
	throttle     int
}

// share is a batch class's part of a worker's processors.
type share struct {
	class model.ClassName
	part  float64
}

// mixAt is the mix of batch classes from a point in time.
type mixAt struct {
	at  time.Time
	mix []share
}

// historyLength bounds the remembered mixes of a worker. Samples are at most
// some ten seconds old, and a worker changes its mix about once a second at peak.
const historyLength = 12

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
		h.protection.throttled--
	}
	delete(h.runs, t.Spec.ID)
}

// part returns the share of the worker's processors that t may use.
func (h *host) part(t *cell.Task) float64 {
	if h.Capacity.MilliCPU == 0 {
		return 0
	}
	p := float64(t.Spec.Resources.MilliCPU) / float64(h.Capacity.MilliCPU)
	if r := h.runs[t.Spec.ID]; r != nil {
		p *= float64(r.throttle) / fullSpeed
	}
	return p
}

// mix returns the classes that run on the worker now, in order of first use.
func (h *host) mix() []share {
	out := make([]share, 0, 4)
	for _, t := range h.live {
		out = addShare(out, t.Spec.Class, h.part(t))
	}
	return out
}

func addShare(mix []share, class model.ClassName, part float64) []share {
	for i := range mix {
		if mix[i].class == class {
			mix[i].part += part
			return mix
		}
	}
	return append(mix, share{class, part})
}

// note records the present mix after a change.
func (h *host) note(now time.Time) {
	if n := len(h.history); n > 0 && h.history[n-1].at.Equal(now) {
		h.history[n-1].mix = h.mix()
		return
	}
	if len(h.history) == historyLength {
		h.history = slices.Delete(h.history, 0, 1)
	}
	h.history = append(h.history, mixAt{now, h.mix()})
}

// mixBefore returns the mix at a past time, and whether it is still known.
func (h *host) mixBefore(at time.Time) ([]share, bool) {
	for i := len(h.history) - 1; i >= 0; i-- {
		if !h.history[i].at.After(at) {
			return h.history[i].mix, true
		}
	}
	return nil, len(h.history) < historyLength
}
