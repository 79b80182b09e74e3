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

// Plan is the result of one planning round. The cell's owner appends Records to the
// journal and sends the throttles and checkpoint requests only once they are durable.
type Plan struct {
	Records []cell.Record
	// Throttles change the processor limits of live attempts.
	Throttles []ThrottleChange
	// Checkpoints request checkpoints of live attempts.
	Checkpoints []CheckpointRequest
	// Urgent is true when the records must not wait for the group commit.
	Urgent bool
	// Decisions are the log entries of the plan.
	Decisions []telemetry.Decision
	// Next is the delay after which Plan is due even without new events.
	Next time.Duration
}

// ThrottleChange sets the percentage of its processors that an attempt may use.
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

// fullSpeed is the throttle percentage of an unthrottled attempt.
const fullSpeed = 100

// limits holds the limits of the declaration, with those of Config as defaults.
type limits struct {
	evictionsPerMinute int
	drainPerSecond     int
	quarantineFailures int
}

// Scheduler plans the work of one cell. It is not safe for concurrent use, and it is
// the only observer of its cell's state.
type Scheduler struct {
	cfg              Config
	st               *cell.State
	now              time.Time
	view             *control.View
	limits           limits
	hosts            map[model.WorkerID]*host
	order            []*host
	index            capacityIndex
	queue            *queue
	units            map[model.TaskID]*unit
	gangs            map[model.JobID]*unit
	dirtyGangs       map[model.JobID]bool
	pending          map[model.TaskID]*pendingTask
	quota            *quotas
	interference     *interferenceModel
	filters          []Filter
	choose           chooser
	retries          map[model.TaskID]retry
	chargedByAttempt map[external.AttemptRef]bool
	cells            []CellSummary
	shapes           []model.Resources
	own              CellSummary

	// classCPU is the processors of live tasks by class, in thousandths of a core.
	classCPU   map[model.ClassName]int64
	lowSlope   float64
	lowSlopeAt time.Time

	// freeCPU is the sum over indexed hosts; urgentCPU is the size of the largest recent
	// urgent job. Both are in thousandths of a core.
	freeCPU   int64
	urgentCPU float64
	urgentAt  time.Time

	quarantined      []*host
	protectedHosts   map[model.WorkerID]*host
	evictions        []time.Time
	outSince         map[model.DataCentre]time.Time
	returnedAt       map[model.DataCentre]time.Time
	lastDrain        time.Time
	transferTokensAt time.Time
	transferTokens   float64
	lastHold         time.Time
	preemptOffset    int

	placementDue     bool
	lastFullScan     time.Time
	plan             *Plan
	pendingDecisions []telemetry.Decision
	candidateBuf     []*host
	cursorBuf        []cursor
	// cursorHeapBuf is the reused buffer of the cursor heap.
	cursorHeapBuf cursorHeap
	failedShapes  map[model.ClassName][]model.Resources
}

// pendingTask describes a task that has a record in a plan that is not durable yet.
type pendingTask struct {
	host *host
	unit *unit
}

// New returns a scheduler of the cell st and registers it as its observer. An unknown
// policy falls back to PolicyLearned.
func New(cfg Config, st *cell.State) *Scheduler {
	s := &Scheduler{
		cfg: cfg.withDefaults(), st: st,
		hosts: map[model.WorkerID]*host{}, protectedHosts: map[model.WorkerID]*host{},
		outSince: map[model.DataCentre]time.Time{}, returnedAt: map[model.DataCentre]time.Time{},
		interference: newInterferenceModel(), retries: map[model.TaskID]retry{}, chargedByAttempt: map[external.AttemptRef]bool{},
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

// Restored implements cell.Observer. It rebuilds everything that is derived from the state.
func (s *Scheduler) Restored() {
	s.queue = newQueue()
	s.quota = newQuotas(s.cfg.QuotaSettle)
	s.units, s.gangs = map[model.TaskID]*unit{}, map[model.JobID]*unit{}
	s.classCPU = map[model.ClassName]int64{}
	s.dirtyGangs, s.pending = map[model.JobID]bool{}, map[model.TaskID]*pendingTask{}
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
	s.placementDue = true
}

// SetWorkers replaces the workers of the cell by those of the host list and sets
// their capacities in the cell's state.
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
	s.updateSummary()
	s.placementDue = true
}

// updateSummary recomputes the worker shapes and the part of the summary that depends
// on the worker list only.
func (s *Scheduler) updateSummary() {
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
		s.own.Largest = largerShape(s.own.Largest, h.Capacity)
	}
}

// SetCells replaces the summaries of the other cells of the deployment.
func (s *Scheduler) SetCells(cells []CellSummary) {
	s.cells = s.cells[:0]
	for _, c := range cells {
		if c.ID != s.st.ID() {
			s.cells = append(s.cells, c)
		}
	}
	slices.SortFunc(s.cells, func(a, b CellSummary) int { return cmp.Compare(a.ID, b.ID) })
}

// Summary describes this cell to the schedulers of the other cells. While its data
// centre ramps up after an outage, it reports only the capacity that may be filled now, and
// none while its share of the quotas is zero or still growing.
func (s *Scheduler) Summary() CellSummary {
	out := s.own
	out.ID = s.st.ID()
	if s.quota.weightSet && (s.quota.weight == 0 || s.quota.weight < s.quota.targetWeight) {
		return out
	}
	allowed := 1.0
	if since, returned := s.returnedAt[out.DataCentre]; returned {
		allowed = rampFraction(s.now.Sub(since), s.cfg.RampTime)
	}
	for _, h := range s.order {
		if h.Leaving || h.Unreachable || h.health.quarantined {
			continue
		}
		free := h.free.Sub(scale(h.Capacity, 1-allowed))
		if !free.Negative() {
			out.Free = out.Free.Add(free)
			out.Room = largerShape(out.Room, free)
		}
	}
	return out
}

// largerShape returns the shape with more processors, or with more memory on a tie.
func largerShape(a, b model.Resources) model.Resources {
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

// refresh recomputes the free capacity of a host and updates the index.
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

// Plan computes the next plan under a view of the control journal. It does not change
// the cell's state. The caller makes the records durable, applies them and calls
// Committed, or calls Abort. Without a view nothing is planned.
func (s *Scheduler) Plan(now time.Time, view *control.View) Plan {
	s.now = now
	s.plan = &Plan{Decisions: s.pendingDecisions}
	s.pendingDecisions = nil
	if view == nil {
		s.plan.Next = idlePlanInterval
		return s.finishPlan()
	}
	s.applyView(view)
	if s.queue.releaseDue(now) {
		s.placementDue = true
	}
	s.regroupGangs()
	s.checkProbes()
	s.protect()
	s.drain()
	s.place()
	s.plan.Next = s.nextPlan()
	return s.finishPlan()
}

// finishPlan returns the current plan and closes it; later decisions go into the next one.
func (s *Scheduler) finishPlan() Plan {
	p := *s.plan
	s.plan = nil
	return p
}

// Intervals between plans without new events.
const (
	busyPlanInterval = 100 * time.Millisecond
	idlePlanInterval = time.Second
	minPlanInterval  = 10 * time.Millisecond
)

func (s *Scheduler) nextPlan() time.Duration {
	next := idlePlanInterval
	if len(s.plan.Records) > 0 || s.placementDue {
		next = busyPlanInterval
	}
	if d, ok := s.queue.nextDelay(s.now); ok {
		next = min(next, d)
	}
	return max(next, minPlanInterval)
}

// applyView updates limits, quotas and the data centres that went out of service or
// returned.
func (s *Scheduler) applyView(view *control.View) {
	if s.view == nil || s.view.Sequence != view.Sequence {
		s.placementDue = true
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
			s.returnedAt[dc] = s.now
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

// Committed reports that the records of a plan are durable and applied.
func (s *Scheduler) Committed(_ []cell.Record, now time.Time) {
	s.now = now
	s.requeuePending()
}

// Abort releases the reservations of plans that did not become durable.
func (s *Scheduler) Abort() { s.requeuePending() }

// requeuePending returns pending tasks to the queue. After Committed only those remain
// whose records the state rejected.
func (s *Scheduler) requeuePending() {
	for _, id := range sortedKeys(s.pending) {
		p := s.pending[id]
		s.unreserve(id, p)
		if p.unit != nil && p.unit.state == unitPlanned {
			s.queue.add(p.unit, s.now)
		}
	}
	clear(s.pending)
	s.placementDue = true
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// logDecision adds a decision to the current plan, or to the next one between plans.
func (s *Scheduler) logDecision(kind, subject string, candidates int, choice, reason string) {
	d := telemetry.Decision{Kind: kind, Subject: subject, Candidates: candidates, Choice: choice, Reason: reason}
	d.Fields = logrus.Fields{"cell": string(s.st.ID())}
	if s.plan == nil {
		s.pendingDecisions = append(s.pendingDecisions, d)
		return
	}
	s.plan.Decisions = append(s.plan.Decisions, d)
}

// addRecord adds a record to the plan and marks its task, so that no second record
// is planned for the task before the first is durable.
func (s *Scheduler) addRecord(id model.TaskID, p *pendingTask, r cell.Record) {
	s.plan.Records = append(s.plan.Records, r)
	s.pending[id] = p
}
