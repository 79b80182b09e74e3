package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// packOffline returns the batch work of an offline packing, in core-seconds up to the horizon.
// The packing knows the true run times and slowdowns, has no delays, and moves tasks instantly
// and without loss when a host fails or a data centre is taken out. The result is the best of
// several queue orders.
func packOffline(t *Trace) float64 {
	best := 0.0
	for _, order := range offlineOrders {
		best = max(best, newPacking(t, order).run())
	}
	return round(best)
}

// maxOfflineSlowdown limits the true slowdown of services on a worker. It corresponds to the
// expected tail latency.
const maxOfflineSlowdown = 0.10

type offlineTask struct {
	submit      *Submit
	class       *Class
	resources   model.Resources
	remaining   time.Duration
	submittedAt time.Duration
	host        *offlineHost
	startedAt   time.Duration
	serial      int
	cancelled   bool
}

func (t *offlineTask) remainingCoreTime() float64 {
	return t.remaining.Seconds() * float64(t.resources.MilliCPU)
}

// slowdownOn returns the slowdown of the services on h caused by t.
func (t *offlineTask) slowdownOn(h *offlineHost) float64 {
	return t.class.Slope * float64(t.resources.MilliCPU) / float64(h.capacity.MilliCPU)
}

var offlineOrders = []func(a, b *offlineTask) int{
	func(a, b *offlineTask) int { return cmp.Compare(a.serial, b.serial) },
	func(a, b *offlineTask) int {
		return cmp.Or(cmp.Compare(b.remainingCoreTime(), a.remainingCoreTime()), cmp.Compare(a.serial, b.serial))
	},
	func(a, b *offlineTask) int {
		return cmp.Or(cmp.Compare(a.class.Slope, b.class.Slope), cmp.Compare(a.serial, b.serial))
	},
}

type offlineHost struct {
	id       string
	dc       model.DataCentre
	capacity model.Resources
	free     model.Resources
	slowdown float64
	down     bool
	tasks    []*offlineTask
}

type offlinePacking struct {
	trace   *Trace
	order   func(a, b *offlineTask) int
	hosts   []*offlineHost
	pending []*offlineTask
	jobs    map[model.JobID][]*offlineTask
	out     map[model.DataCentre]bool
	// storeDown is true during a store outage, in which no task can start.
	storeDown    bool
	events       eventHeap
	now          time.Duration
	serial       uint64
	doneWork     float64
	teamMilliCPU map[model.TeamName]int64
}

func newPacking(t *Trace, order func(a, b *offlineTask) int) *offlinePacking {
	p := &offlinePacking{
		trace: t, order: order, jobs: map[model.JobID][]*offlineTask{},
		out: map[model.DataCentre]bool{}, teamMilliCPU: map[model.TeamName]int64{},
	}
	s := newSim(t, scheduler.Config{}, 1)
	for _, w := range s.workerList {
		p.hosts = append(p.hosts, &offlineHost{id: string(w.ID), dc: w.DataCentre, capacity: w.Capacity, free: w.Capacity})
	}
	for i := range t.Events {
		p.scheduleEvent(&t.Events[i], s)
	}
	return p
}

func (p *offlinePacking) scheduleAt(at time.Duration, run func()) {
	p.serial++
	heap.Push(&p.events, timedEvent{at, p.serial, run})
}

// scheduleEvent schedules an event of the trace.
func (p *offlinePacking) scheduleEvent(e *Event, s *sim) {
	switch {
	case e.Submit != nil:
		p.scheduleAt(e.At.D(), func() { p.submit(e.Submit, s.class(e.Submit.Class)) })
	case e.Cancel != nil:
		p.scheduleAt(e.At.D(), func() { p.cancel(e.Cancel.Jobs) })
	case e.HostDown != nil:
		p.scheduleAt(e.At.D(), func() { p.setDown(e.HostDown.Workers, true) })
		p.scheduleAt((e.At + e.HostDown.Duration).D(), func() { p.setDown(e.HostDown.Workers, false) })
	case e.Store != nil:
		p.scheduleAt(e.At.D(), func() { p.storeDown = true })
		p.scheduleAt((e.At + e.Store.Duration).D(), func() { p.storeDown = false })
	case e.Operate != nil && e.Operate.Out != "":
		p.scheduleAt(e.At.D(), func() { p.setOut(e.Operate.Out, true) })
	case e.Operate != nil && e.Operate.In != "":
		p.scheduleAt(e.At.D(), func() { p.setOut(e.Operate.In, false) })
	}
}

func (p *offlinePacking) submit(e *Submit, class *Class) {
	for i := range e.Tasks {
		t := &offlineTask{submit: e, class: class, submittedAt: p.now, serial: int(p.serial) + i}
		t.resources = model.Resources{MilliCPU: int64(e.Cores * 1000), MemoryMB: int64(e.MemoryGB * 1000)}
		t.remaining = e.RunTimes[min(i, len(e.RunTimes)-1)].D()
		if e.NeededCores > e.Cores {
			t.remaining = time.Duration(float64(t.remaining) * e.NeededCores / e.Cores)
		}
		p.pending = append(p.pending, t)
		p.jobs[e.Job] = append(p.jobs[e.Job], t)
	}
	p.serial += uint64(e.Tasks)
}

func (p *offlinePacking) cancel(jobs []model.JobID) {
	for _, id := range jobs {
		for _, t := range p.jobs[id] {
			p.stop(t)
			t.cancelled = true
		}
	}
	p.pending = slices.DeleteFunc(p.pending, func(t *offlineTask) bool { return t.cancelled })
}

func (p *offlinePacking) setDown(prefix string, down bool) {
	for _, h := range p.hosts {
		if len(h.id) >= len(prefix) && h.id[:len(prefix)] == prefix {
			h.down = down
			p.evictAll(h)
		}
	}
}

func (p *offlinePacking) setOut(dc model.DataCentre, out bool) {
	p.out[dc] = out
	for _, h := range p.hosts {
		if h.dc == dc && out {
			p.evictAll(h)
		}
	}
}

func (p *offlinePacking) evictAll(h *offlineHost) {
	for _, t := range slices.Clone(h.tasks) {
		p.stop(t)
		p.pending = append(p.pending, t)
	}
}

// stop removes a task from its host and adds the work done.
func (p *offlinePacking) stop(t *offlineTask) {
	h := t.host
	if h == nil {
		return
	}
	ran := p.now - t.startedAt
	t.remaining -= ran
	p.doneWork += p.workDone(t, ran)
	h.free = h.free.Add(t.resources)
	h.slowdown -= t.slowdownOn(h)
	h.tasks = slices.DeleteFunc(h.tasks, func(x *offlineTask) bool { return x == t })
	p.teamMilliCPU[t.submit.Team] -= t.resources.MilliCPU
	t.host = nil
}

// workDone returns the work of a task that ran for a time, in core-seconds.
func (p *offlinePacking) workDone(t *offlineTask, ran time.Duration) float64 {
	if t.submit.NeededCores > 0 {
		return ran.Seconds() * min(t.submit.NeededCores, t.submit.Cores)
	}
	return ran.Seconds() * t.submit.Cores
}

func (p *offlinePacking) run() float64 {
	horizon := p.trace.Header.Horizon.D()
	for len(p.events) > 0 && p.events[0].at <= horizon {
		p.now = p.events[0].at
		for len(p.events) > 0 && p.events[0].at == p.now {
			heap.Pop(&p.events).(timedEvent).run()
		}
		p.startPending()
	}
	p.now = horizon
	for _, h := range p.hosts {
		for _, t := range slices.Clone(h.tasks) {
			p.stop(t)
		}
	}
	return p.doneWork
}

// startPending starts the pending tasks that fit, in the order of the packing.
func (p *offlinePacking) startPending() {
	if p.storeDown {
		return
	}
	slices.SortStableFunc(p.pending, p.order)
	failed := map[*Class][]model.Resources{}
	stillPending := p.pending[:0]
	for _, t := range p.pending {
		cannotFit := slices.ContainsFunc(failed[t.class], func(r model.Resources) bool { return r.Fits(t.resources) })
		if !cannotFit && p.start(t) {
			continue
		}
		if !cannotFit && p.withinQuota(t) {
			failed[t.class] = append(failed[t.class], t.resources)
		}
		stillPending = append(stillPending, t)
	}
	p.pending = stillPending
}

func (p *offlinePacking) start(t *offlineTask) bool {
	var best *offlineHost
	for _, h := range p.hosts {
		if h.down || p.out[h.dc] || !t.resources.Fits(h.free) || h.slowdown+t.slowdownOn(h) > maxOfflineSlowdown {
			continue
		}
		if best == nil || h.free.MilliCPU < best.free.MilliCPU {
			best = h
		}
	}
	if best == nil || !p.withinQuota(t) {
		return false
	}
	t.host, t.startedAt = best, p.now
	best.free = best.free.Sub(t.resources)
	best.slowdown += t.slowdownOn(best)
	best.tasks = append(best.tasks, t)
	p.teamMilliCPU[t.submit.Team] += t.resources.MilliCPU
	since := p.now
	p.scheduleAt(p.now+t.remaining, func() {
		if t.host == best && t.startedAt == since {
			p.stop(t)
		}
	})
	return true
}

func (p *offlinePacking) withinQuota(t *offlineTask) bool {
	for _, team := range p.trace.Header.Teams {
		if team.Name == t.submit.Team {
			return p.teamMilliCPU[team.Name]+t.resources.MilliCPU <= int64(team.Cores*1000)
		}
	}
	return true
}
