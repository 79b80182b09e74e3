package fleet

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Where services reserve nearly all processors, short tasks find a free one only when another
// short task ends. New services therefore leave free what short work has needed lately. A
// service that waits loses little; short jobs that wait behind services that run for minutes
// miss their objectives.

const (
	// shortDemandRise and shortDemandFall are the time constants with which the estimate of
	// the demand follows a higher and a lower demand. It falls slowly because short jobs
	// arrive in bursts.
	shortDemandRise = 1 * time.Second
	shortDemandFall = 15 * time.Second
)

// shortKey names the short work of a service's workers with one priority.
type shortKey struct {
	service  model.ServiceName
	priority int
}

// shortDemand estimates the processors that short work needs, in thousandths of a core.
type shortDemand struct {
	peak     float64 // slowly falling peak of what runs or waits
	running  int64
	observed time.Time
}

// observe updates the estimate with the needs of the running and waiting tasks.
func (d *shortDemand) observe(running, waiting int64, now time.Time) {
	needed := float64(running + waiting)
	constant := shortDemandRise
	if needed < d.peak {
		constant = shortDemandFall
	}
	if d.observed.IsZero() {
		d.peak = needed
	} else {
		d.peak += min(now.Sub(d.observed).Seconds()/constant.Seconds(), 1) * (needed - d.peak)
	}
	d.running, d.observed = running, now
}

// free returns the capacity to keep free for tasks that had not started when the demand was observed.
func (d *shortDemand) free() int64 { return d.beyond(d.running) }

// beyond returns the part of the demand that is not running.
func (d *shortDemand) beyond(running int64) int64 { return max(int64(d.peak)-running, 0) }

// isShort reports whether the tasks of a step end by themselves and reserve processors.
func (s *Step) isShort() bool { return !s.Lasting && !s.Filler }

// observeShortWork updates the demand of short work, at most once per tickInterval.
func (t *term) observeShortWork(waiting []*waitingStep) {
	if t.now.Sub(t.shortWorkObserved) < tickInterval {
		return
	}
	t.shortWorkObserved = t.now
	type sums struct{ running, waiting int64 }
	demand := map[shortKey]sums{}
	for key := range t.shortWork {
		demand[key] = sums{}
	}
	for key, running := range t.runningShortWork() {
		demand[key] = sums{running: running}
	}
	for _, w := range waiting {
		if w.step.isShort() && w.urgency != urgencyExpired {
			key := shortKey{w.queue.Service, w.priority}
			s := demand[key]
			s.waiting += int64(len(w.tasks)) * w.step.Needs.MilliCPU
			demand[key] = s
		}
	}
	for key, s := range demand {
		if t.shortWork[key] == nil {
			t.shortWork[key] = &shortDemand{}
		}
		t.shortWork[key].observe(s.running, s.waiting, t.now)
	}
}

// runningShortWork returns the processors that running short tasks reserve, in thousandths of a core.
func (t *term) runningShortWork() map[shortKey]int64 {
	running := map[shortKey]int64{}
	for _, w := range t.workers {
		if w.shortMilliCPU == 0 {
			continue
		}
		for _, r := range w.runs {
			if r.job != nil && r.step != nil && r.step.isShort() {
				running[shortKey{w.info.Service, t.queues[r.job.queue].Priority}] += r.reserved.MilliCPU
			}
		}
	}
	return running
}

// capacityToHold returns the capacity that the new services among waiting steps must leave free. What
// short tasks have left since their demand was observed is kept for the next ones.
func (t *term) capacityToHold(waiting []*waitingStep) heldCapacity {
	h := heldCapacity{unaccounted: t.unaccountedServices()}
	if len(t.shortWork) == 0 || !slices.ContainsFunc(waiting, (*waitingStep).leavesCapacity) {
		return h
	}
	h.shortWork = make(map[shortKey]int64, len(t.shortWork))
	running := t.runningShortWork()
	for key, d := range t.shortWork {
		h.shortWork[key] = d.beyond(running[key])
	}
	return h
}

// leavesCapacity reports whether the step is a new service, whose start must leave capacity free.
func (w *waitingStep) leavesCapacity() bool {
	return !w.restart && w.step.Lasting && !w.step.Filler && w.step.Needs.MilliCPU > 0
}

// heldCapacity is capacity that new services must leave free, in thousandths of a core.
type heldCapacity struct {
	// unaccounted is for services of earlier terms; see unaccountedServices.
	unaccounted map[model.ServiceName]int64
	shortWork   map[shortKey]int64
}

// forShortWork returns what short work of the same or a higher priority needs.
func (h heldCapacity) forShortWork(w *waitingStep) int64 {
	held := int64(0)
	for key, demand := range h.shortWork {
		if key.service == w.queue.Service && key.priority <= w.priority {
			held += demand
		}
	}
	return held
}

// allowedTasks returns how many tasks of a waiting step may start with the held capacity left
// free. Only new services leave capacity free. They leave none for short work while half of
// the processors are free and twice what they need.
func (p *placement) allowedTasks(w *waitingStep, h heldCapacity) int {
	tasks, each := int64(len(w.tasks)), w.step.Needs.MilliCPU
	if !w.leavesCapacity() {
		return len(w.tasks)
	}
	held, short := h.unaccounted[w.queue.Service], h.forShortWork(w)
	if held+short == 0 {
		return len(w.tasks)
	}
	free, capacity := p.freeCPU()
	if 2*free < capacity || free < 2*tasks*each {
		held += short
	}
	return int(min(max((free-held)/each, 0), tasks))
}

// allowedOfIdleJob is like allowedTasks for a step of which that allows none: one task of a job that
// has been idle for idleLimit need not leave capacity free for short work, while half of the processors
// are free and twice what the task needs.
func (p *placement) allowedOfIdleJob(w *waitingStep, h heldCapacity) int {
	since, idle := w.job.idleSince()
	if !idle || p.now.Sub(since) < idleLimit || w.step.Gang {
		return 0
	}
	free, capacity := p.freeCPU()
	if 2*free < capacity || free-h.unaccounted[w.queue.Service] < 2*w.step.Needs.MilliCPU {
		return 0
	}
	return 1
}

// freeCPU returns the free processors of the workers and all of them, in thousandths of a core.
func (p *placement) freeCPU() (free, capacity int64) {
	for _, w := range p.workers {
		free += w.free().MilliCPU
		capacity += w.info.Capacity.MilliCPU
	}
	return free, capacity
}
