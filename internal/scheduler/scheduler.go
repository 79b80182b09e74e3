package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Plan is what the owner makes durable and then carries out. Records are to be
// appended to the journal first; the rest is sent after that.
type Plan struct {
	Records []cell.Record
	// Throttles changes the processor shares of live attempts.
	Throttles []ThrottleChange
	// Checkpoints asks for checkpoints of live attempts.
	Checkpoints []CheckpointRequest
	// Urgent is true when the records should not wait for the group commit.
	Urgent bool
	// Decisions is the log of the plan.
	Decisions []telemetry.Decision
	// Next is the time after which Plan is due even without new events.
	Next time.Duration
}

// ThrottleChange sets the share of its processors that an attempt may use.
type ThrottleChange struct {
	Worker model.WorkerID
	external.AttemptRef
	Percent int
}

// CheckpointRequest asks a worker to save an attempt's progress.
type CheckpointRequest struct {
	Worker model.WorkerID
	external.AttemptRef
}

// fullSpeed is the throttle percentage without a limit.
const fullSpeed = 100

// limits are the declaration's limits, or the configured ones.
type limits struct {
	evictionsPerMinute int
	drainPerSecond     int
	quarantineFailures int
}

// Scheduler plans for one cell. It is not safe for concurrent use, and it is
// the only observer of its cell's state.
type Scheduler struct {
	cfg     Config
	st      *cell.State
	now     time.Time
	view    *control.View
	limits  limits
	hosts   map[model.WorkerID]*host
	order   []*host
	index   capacityIndex
	queue   *queue
	units   map[model.TaskID]*unit
	gangs   map[model.JobID]*unit
	regroup map[model.JobID]bool
	pending map[model.TaskID]*planned
	quota   *quotas
	model   *interference
	filters []Filter
	choose  chooser
	retries map[model.TaskID]retry
	endings map[external.AttemptRef]bool
	cells   []CellSummary
	shapes  []model.Resources
	own     CellSummary

	// classCPU is the live work in the cell by class, in thousandths of a core.
	classCPU map[model.ClassName]int64
	quiet    float64
	quietAt  time.Time

	// freeCPU is the sum over indexed hosts; urgentCPU is the largest urgent task
	// seen lately. Both are in thousandths of a core.
	freeCPU   int64
	urgentCPU float64
	urgentAt  time.Time

	quarantined []*host
	strained    map[model.WorkerID]*host
	evictions   []time.Time
	outSince    map[model.DataCentre]time.Time
	returned    map[model.DataCentre]time.Time
	lastDrain   time.Time
	lastMoves   time.Time
	moveTokens  float64
	lastHold    time.Time
	preemptFrom int

	changed  bool
	lastFull time.Time
	plan     *Plan
	notes    []telemetry.Decision
	scratch  []*host
	cursors  []cursor
	// turnOrder is the memory of the heap of cursors.
	turnOrder turnHeap
	failed    map[model.ClassName][]model.Resources
}

// planned is a task with a record in a plan that is not durable yet.
type planned struct {
	host *host
	unit *unit
}

// New returns a scheduler over st and observes it. An unknown policy falls back
// to the learned one.
func New(cfg Config, st *cell.State) *Scheduler {
	s := &Scheduler{
		cfg: cfg.withDefaults(), st: st,
		hosts: map[model.WorkerID]*host{}, strained: map[model.WorkerID]*host{},
		outSince: map[model.DataCentre]time.Time{}, returned: map[model.DataCentre]time.Time{},
		model: newInterference(), retries: map[model.TaskID]retry{}, endings: map[external.AttemptRef]bool{},
	}
	filters, choose, err := s.policyOf(s.cfg.Policy)
	if err != nil {
		filters, choose, _ = s.policyOf(PolicyLearned)
	}
	s.filters, s.choose = filters, choose
	s.limits = s.limitsOf(nil)
	s.Restored()
	st.SetObserver(s)
	return s
}

// Restored implements cell.Observer: it rebuilds everything derived from the state.
func (s *Scheduler) Restored() {
	s.queue = newQueue()
	s.quota = newQuotas(s.cfg.QuotaSettle)
	s.units, s.gangs = map[model.TaskID]*unit{}, map[model.JobID]*unit{}
	s.classCPU = map[model.ClassName]int64{}
	s.regroup, s.pending = map[model.JobID]bool{}, map[model.TaskID]*planned{}
	for _, h := range s.hosts {
		h.live, h.reserved, h.runs = nil, model.Resources{}, map[model.TaskID]*runInfo{}
		s.refresh(h)
	}
	for _, t := range s.st.Live() {
		s.TaskChanged(t, 0)
	}
	for _, t := range s.st.Queued() {
		s.TaskChanged(t, 0)
	}
	s.changed = true
}

// SetWorkers replaces the workers of the cell, as the host list shows them, and
// states their capacities to the cell's state.
func (s *Scheduler) SetWorkers(workers []Worker) {
	for _, h := range s.hosts {
		h.present = false
	}
	for _, w := range workers {
		h := s.host(w.ID)
		h.Worker, h.present = w, true
		s.st.SetWorker(w.ID, w.Capacity)
	}
	s.order, s.shapes = s.order[:0], s.shapes[:0]
	for id, h := range s.hosts {
		if !h.present {
			s.st.RemoveWorker(id)
			h.Capacity = model.Resources{}
		}
		if !h.present && len(h.live) == 0 && h.reserved.IsZero() {
			s.refresh(h)
			delete(s.hosts, id)
			continue
		}
		s.refresh(h)
		if h.present {
			s.order = append(s.order, h)
		}
	}
	slices.SortFunc(s.order, func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
	s.summarise()
	s.changed = true
}

// summarise updates what changes only with the workers.
func (s *Scheduler) summarise() {
	s.own = CellSummary{}
	for _, h := range s.order {
		if !slices.Contains(s.shapes, h.Capacity) {
			s.shapes = append(s.shapes, h.Capacity)
		}
		s.own.DataCentre = h.DataCentre
		if h.Leaving {
			continue
		}
		s.own.Workers++
		s.own.Capacity = s.own.Capacity.Add(h.Capacity)
		s.own.Largest = larger(s.own.Largest, h.Capacity)
	}
}

// SetCells states what is known of the other cells of the deployment.
func (s *Scheduler) SetCells(cells []CellSummary) {
	s.cells = s.cells[:0]
	for _, c := range cells {
		if c.ID != s.st.ID() {
			s.cells = append(s.cells, c)
		}
	}
	slices.SortFunc(s.cells, func(a, b CellSummary) int { return cmp.Compare(a.ID, b.ID) })
}

// Summary describes this cell to the schedulers of the others. After the return
// of its data centre it offers room only as fast as it may be filled.
func (s *Scheduler) Summary() CellSummary {
	out := s.own
	out.ID = s.st.ID()
	if s.quota.stated && (s.quota.weight == 0 || s.quota.weight < s.quota.grow) {
		return out
	}
	allowed := 1.0
	if since, returned := s.returned[out.DataCentre]; returned {
		allowed = rampShare(s.now.Sub(since), s.cfg.RampTime)
	}
	for _, h := range s.order {
		if h.Leaving || h.Unreachable || h.health.quarantined {
			continue
		}
		room := h.free.Sub(scale(h.Capacity, 1-allowed))
		if !room.Negative() {
			out.Free = out.Free.Add(room)
			out.Room = larger(out.Room, room)
		}
	}
	return out
}

// larger returns the shape with more processors, and more memory among equals.
func larger(a, b model.Resources) model.Resources {
	if cmp.Or(cmp.Compare(a.MilliCPU, b.MilliCPU), cmp.Compare(a.MemoryMB, b.MemoryMB)) >= 0 {
		return a
	}
	return b
}

func (s *Scheduler) host(id model.WorkerID) *host {
	h := s.hosts[id]
	if h == nil {
		h = &host{Worker: Worker{ID: id}, runs: map[model.TaskID]*runInfo{}}
		s.hosts[id] = h
	}
	return h
}

// refresh recomputes the free capacity of a host and its place in the index.
func (s *Scheduler) refresh(h *host) {
	if h.indexed {
		s.freeCPU -= h.free.MilliCPU
	}
	h.free = h.Capacity.Sub(s.st.Committed(h.ID)).Sub(h.reserved)
	if !h.present || h.Leaving || h.Unreachable || h.free.Negative() {
		s.index.remove(h)
		return
	}
	s.index.put(h)
	s.freeCPU += h.free.MilliCPU
}

// Plan decides what to do now, under a view of the control journal. It changes
// nothing in the cell's state. The caller makes the records durable, applies
// them and calls Committed, or calls Abort. Without a view nothing is planned.
func (s *Scheduler) Plan(now time.Time, view *control.View) Plan {
	s.now = now
	s.plan = &Plan{Decisions: s.notes}
	s.notes = nil
	if view == nil {
		s.plan.Next = planIdle
		return s.handOver()
	}
	s.adopt(view)
	if s.queue.wake(now) {
		s.changed = true
	}
	s.regroupGangs()
	s.checkProbes()
	s.protect()
	s.drain()
	s.place()
	s.plan.Next = s.nextPlan()
	return s.handOver()
}

// handOver returns the plan; later decisions go into the next one.
func (s *Scheduler) handOver() Plan {
	p := *s.plan
	s.plan = nil
	return p
}

// Intervals between plans without new events.
const (
	planBusy  = 100 * time.Millisecond
	planIdle  = time.Second
	planFloor = 10 * time.Millisecond
)

func (s *Scheduler) nextPlan() time.Duration {
	next := planIdle
	if len(s.plan.Records) > 0 || s.changed {
		next = planBusy
	}
	if d, ok := s.queue.nextDelay(s.now); ok {
		next = min(next, d)
	}
	return max(next, planFloor)
}

// adopt takes over a view: limits, quotas and data centres that went out or
// came back.
func (s *Scheduler) adopt(view *control.View) {
	if s.view == nil || s.view.Sequence != view.Sequence {
		s.changed = true
	}
	s.view = view
	s.limits = s.limitsOf(view)
	s.quota.setDeclaration(view.Declaration)
	s.quota.setWeight(cellWeight(s.own, s.cells, view), s.now)
	for dc := range view.Out {
		if _, known := s.outSince[dc]; !known {
			s.outSince[dc] = s.now
		}
	}
	for dc := range s.outSince {
		if !view.IsOut(dc) {
			delete(s.outSince, dc)
			s.returned[dc] = s.now
		}
	}
}

func (s *Scheduler) limitsOf(view *control.View) limits {
	l := limits{s.cfg.EvictionsPerMinute, s.cfg.DrainPerSecond, s.cfg.QuarantineFailures}
	if view == nil || view.Declaration == nil {
		return l
	}
	d := view.Declaration.Limits
	l.evictionsPerMinute = cmp.Or(d.EvictionsPerMinute, l.evictionsPerMinute)
	l.drainPerSecond = cmp.Or(d.DrainStartsPerSecond, l.drainPerSecond)
	l.quarantineFailures = cmp.Or(d.QuarantineFailures, l.quarantineFailures)
	return l
}

// Committed tells that the records of a plan are durable and applied.
func (s *Scheduler) Committed(_ []cell.Record, now time.Time) {
	s.now = now
	s.dropPending()
}

// Abort drops the reservations of plans that did not become durable.
func (s *Scheduler) Abort() { s.dropPending() }

// dropPending returns what is still planned to the queue. After Committed only
// records that the state refused are left.
func (s *Scheduler) dropPending() {
	for _, id := range sortedKeys(s.pending) {
		p := s.pending[id]
		s.unreserve(id, p)
		if p.unit != nil && p.unit.state == unitPlanned {
			s.queue.add(p.unit, s.now)
		}
	}
	clear(s.pending)
	s.changed = true
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// decide logs a decision into the running plan, or into the next one.
func (s *Scheduler) decide(kind, subject string, candidates int, choice, reason string) {
	d := telemetry.Decision{Kind: kind, Subject: subject, Candidates: candidates, Choice: choice, Reason: reason}
	d.Fields = logrus.Fields{"cell": string(s.st.ID())}
	if s.plan == nil {
		s.notes = append(s.notes, d)
		return
	}
	s.plan.Decisions = append(s.plan.Decisions, d)
}

// emit adds a record to the plan and marks its task, so that no second record
// is planned for the task before the first is durable.
func (s *Scheduler) emit(id model.TaskID, p *planned, r cell.Record) {
	s.plan.Records = append(s.plan.Records, r)
	s.pending[id] = p
}
