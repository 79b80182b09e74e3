package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// packOffline returns the batch work, in core-seconds up to the horizon, of a
// packing with full knowledge: true run times and slowdowns, no delays, free
// and instant moves when hosts fail or a data centre is out. Of several orders
// of the queue it takes the best.
func packOffline(t *Trace) float64 {
	best := 0.0
	for _, order := range offlineOrders {
		best = max(best, newPacking(t, order).run())
	}
	return round(best)
}

// offlineSlowdown bounds the true slowdown of services on a worker, as the
// stated tail latency does.
const offlineSlowdown = 0.10

type offlineTask struct {
	submit *Submit
	class  *Class
	need   model.Resources
	left   time.Duration
	at     time.Duration
	host   *offlineHost
	since  time.Duration
	serial int
	gone   bool
}

func (t *offlineTask) area() float64 {
	return t.left.Seconds() * float64(t.need.MilliCPU)
}

// slow is the slowdown of services on h by the task.
func (t *offlineTask) slow(h *offlineHost) float64 {
	return t.class.Slope * float64(t.need.MilliCPU) / float64(h.capacity.MilliCPU)
}

var offlineOrders = []func(a, b *offlineTask) int{
	func(a, b *offlineTask) int { return cmp.Compare(a.serial, b.serial) },
	func(a, b *offlineTask) int {
		return cmp.Or(cmp.Compare(b.area(), a.area()), cmp.Compare(a.serial, b.serial))
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
	slow     float64
	down     bool
	runs     []*offlineTask
}

type packing struct {
	trace *Trace
	order func(a, b *offlineTask) int
	hosts []*offlineHost
	queue []*offlineTask
	jobs  map[model.JobID][]*offlineTask
	out   map[model.DataCentre]bool
	// blocked is true while the store is out: nothing starts without it.
	blocked bool
	ends    eventHeap
	now     time.Duration
	serial  uint64
	done    float64
	use     map[model.TeamName]int64
}

func newPacking(t *Trace, order func(a, b *offlineTask) int) *packing {
	p := &packing{
		trace: t, order: order, jobs: map[model.JobID][]*offlineTask{},
		out: map[model.DataCentre]bool{}, use: map[model.TeamName]int64{},
	}
	s := newSim(t, scheduler.Config{}, 1)
	for _, w := range s.order {
		p.hosts = append(p.hosts, &offlineHost{id: string(w.ID), dc: w.DataCentre, capacity: w.Capacity, free: w.Capacity})
	}
	for i := range t.Events {
		p.enter(&t.Events[i], s)
	}
	return p
}

func (p *packing) at(at time.Duration, run func()) {
	p.serial++
	heap.Push(&p.ends, timedEvent{at, p.serial, run})
}

// enter schedules an event of the trace.
func (p *packing) enter(e *Event, s *sim) {
	switch {
	case e.Submit != nil:
		p.at(e.At.D(), func() { p.submit(e.Submit, s.class(e.Submit.Class)) })
	case e.Cancel != nil:
		p.at(e.At.D(), func() { p.cancel(e.Cancel.Jobs) })
	case e.Down != nil:
		p.at(e.At.D(), func() { p.setDown(e.Down.Workers, true) })
		p.at((e.At + e.Down.For).D(), func() { p.setDown(e.Down.Workers, false) })
	case e.Store != nil:
		p.at(e.At.D(), func() { p.blocked = true })
		p.at((e.At + e.Store.For).D(), func() { p.blocked = false })
	case e.Operate != nil && e.Operate.Out != "":
		p.at(e.At.D(), func() { p.setOut(e.Operate.Out, true) })
	case e.Operate != nil && e.Operate.In != "":
		p.at(e.At.D(), func() { p.setOut(e.Operate.In, false) })
	}
}

func (p *packing) submit(e *Submit, class *Class) {
	for i := range e.Tasks {
		t := &offlineTask{submit: e, class: class, at: p.now, serial: int(p.serial) + i}
		t.need = model.Resources{MilliCPU: int64(e.Cores * 1000), MemoryMB: int64(e.MemoryGB * 1000)}
		t.left = e.Run[min(i, len(e.Run)-1)].D()
		if e.Needs > e.Cores {
			t.left = time.Duration(float64(t.left) * e.Needs / e.Cores)
		}
		p.queue = append(p.queue, t)
		p.jobs[e.Job] = append(p.jobs[e.Job], t)
	}
	p.serial += uint64(e.Tasks)
}

func (p *packing) cancel(jobs []model.JobID) {
	for _, id := range jobs {
		for _, t := range p.jobs[id] {
			p.stop(t)
			t.gone = true
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(t *offlineTask) bool { return t.gone })
}

func (p *packing) setDown(prefix string, down bool) {
	for _, h := range p.hosts {
		if len(h.id) >= len(prefix) && h.id[:len(prefix)] == prefix {
			h.down = down
			p.empty(h)
		}
	}
}

func (p *packing) setOut(dc model.DataCentre, out bool) {
	p.out[dc] = out
	for _, h := range p.hosts {
		if h.dc == dc && out {
			p.empty(h)
		}
	}
}

func (p *packing) empty(h *offlineHost) {
	for _, t := range slices.Clone(h.runs) {
		p.stop(t)
		p.queue = append(p.queue, t)
	}
}

// stop takes a task off its host and counts the work done.
func (p *packing) stop(t *offlineTask) {
	h := t.host
	if h == nil {
		return
	}
	ran := p.now - t.since
	t.left -= ran
	p.done += p.value(t, ran)
	h.free = h.free.Add(t.need)
	h.slow -= t.slow(h)
	h.runs = slices.DeleteFunc(h.runs, func(x *offlineTask) bool { return x == t })
	p.use[t.submit.Team] -= t.need.MilliCPU
	t.host = nil
}

// value returns the work of a task over a time, in core-seconds.
func (p *packing) value(t *offlineTask, ran time.Duration) float64 {
	if t.submit.Needs > 0 {
		return ran.Seconds() * min(t.submit.Needs, t.submit.Cores)
	}
	return ran.Seconds() * t.submit.Cores
}

func (p *packing) run() float64 {
	horizon := p.trace.Header.Horizon.D()
	for len(p.ends) > 0 && p.ends[0].at <= horizon {
		p.now = p.ends[0].at
		for len(p.ends) > 0 && p.ends[0].at == p.now {
			heap.Pop(&p.ends).(timedEvent).run()
		}
		p.fill()
	}
	p.now = horizon
	for _, h := range p.hosts {
		for _, t := range slices.Clone(h.runs) {
			p.stop(t)
		}
	}
	return p.done
}

// fill starts what fits, in the packing's order.
func (p *packing) fill() {
	if p.blocked {
		return
	}
	slices.SortStableFunc(p.queue, p.order)
	failed := map[*Class][]model.Resources{}
	kept := p.queue[:0]
	for _, t := range p.queue {
		smaller := slices.ContainsFunc(failed[t.class], func(r model.Resources) bool { return r.Fits(t.need) })
		if !smaller && p.start(t) {
			continue
		}
		if !smaller && p.withinQuota(t) {
			failed[t.class] = append(failed[t.class], t.need)
		}
		kept = append(kept, t)
	}
	p.queue = kept
}

func (p *packing) start(t *offlineTask) bool {
	var best *offlineHost
	for _, h := range p.hosts {
		if h.down || p.out[h.dc] || !t.need.Fits(h.free) || h.slow+t.slow(h) > offlineSlowdown {
			continue
		}
		if best == nil || h.free.MilliCPU < best.free.MilliCPU {
			best = h
		}
	}
	if best == nil || !p.withinQuota(t) {
		return false
	}
	t.host, t.since = best, p.now
	best.free = best.free.Sub(t.need)
	best.slow += t.slow(best)
	best.runs = append(best.runs, t)
	p.use[t.submit.Team] += t.need.MilliCPU
	since := p.now
	p.at(p.now+t.left, func() {
		if t.host == best && t.since == since {
			p.stop(t)
		}
	})
	return true
}

func (p *packing) withinQuota(t *offlineTask) bool {
	for _, team := range p.trace.Header.Teams {
		if team.Name == t.submit.Team {
			return p.use[team.Name]+t.need.MilliCPU <= int64(team.Cores*1000)
		}
	}
	return true
}
