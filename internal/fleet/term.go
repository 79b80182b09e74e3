package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times of a term.
const (
	// tickInterval paces the work that no event triggers.
	tickInterval = 50 * time.Millisecond
	// renewInterval is how often a leader renews; followers wait several of them.
	renewInterval = 400 * time.Millisecond
	// maxOrderAge is how long a leader that cannot renew goes on giving orders.
	// Store outages of some seconds must not stop running work.
	maxOrderAge = 7 * time.Second
	// maxLeaseReach is how long after a renewal the leases last at most that a leader grants:
	// a store that is silent for 6 s, and the tries to renew after it, end none. A later
	// leader waits as long for workers that it cannot reach.
	maxLeaseReach = 9 * time.Second
)

// event is something that happened; handle runs on the term's loop.
type event interface{ handle(t *term) }

// term is the time during which this node leads. All fields belong to the loop
// unless they say otherwise.
type term struct {
	cfg           Config
	log           *logrus.Entry
	cell          int
	part          string  // holds all rows that the term writes
	layout        *layout // as the term began; its cells and slots never change, so any goroutine reads it
	currentLayout *layout // the newest, with the racks placed since; the loop's alone
	number        uint64
	ctx           context.Context
	cancel        context.CancelFunc
	events        eventQueue
	loopLoad      loopLoad
	// endReason tells why the term has ended.
	endReason atomic.Pointer[string]

	now       time.Time
	startedAt time.Time
	random    *rand.Rand
	// runsKnown is set when no worker can hold unseen runs of earlier terms.
	runsKnown      bool
	adoptedRuns    int // runs taken over from earlier terms
	loaded         bool
	assigningRacks bool // a new layout is being stored
	jobs           map[string]*job
	workers        map[model.WorkerID]*worker
	// foreignWorkers holds the cells of workers of other cells, by key of the list, unplaced
	// those whose rack no cell has yet.
	foreignWorkers    map[string]int
	unassignedWorkers map[string]Row
	// evacuating holds workers that are emptied for upkeep, and until when.
	evacuating     map[model.WorkerID]time.Time
	queues         map[string]Queue
	configuration  *Configuration
	dataCentresOut map[model.DataCentre]bool
	waves          map[int]*wave

	// formerRenewedBy is when the former leader may have renewed last. It gives orders
	// for maxOrderAge longer at most.
	formerRenewedBy time.Time
	// fenceVersion is the version of the fence row after the last transaction.
	fenceVersion uint64
	// startVersion is the version of the store at which the term began.
	startVersion uint64
	commit       *commit
	nextCommit   time.Time
	// lastCommitTime is the time of the last transaction.
	lastCommitTime time.Duration
	lastRenewal    time.Time // when the last successful renewal was sent
	// confirmedAt is when the last successful transaction was sent: until then no
	// later term had begun.
	confirmedAt      time.Time
	unconfirmed      bool // jobs wait for a transaction before their first start
	released         bool // the last renewal says that the leader has stopped
	usedRowsToPut    map[Lifetime]usedRecord
	usedRowsToDelete map[Lifetime]bool

	// stopping means that no order is given any more.
	stopping bool
	// successor is the node to which the lead is handed; empty for none.
	successor model.NodeID
	planDue   bool // a plan is due
	lastPlan  time.Time
	// cellLoads returns what the leaders of cells tell of their load, tell hands a row to the
	// leader of another cell; nil where the term stands alone.
	cellLoads func() []reportedLoad
	// operator is the operators' table, which the node follows.
	operator *operatorTable
	notify   func(cell int, row Row)
	// evacuate asks the leader of another cell to evacuate a worker for upkeep.
	evacuate    func(context.Context, evacuateParams) evacuationStatus
	recentMoves []recentMove
	// remoteFree is the room of other cells that this one may use for lent tasks, by cell.
	remoteFree       map[int][]freeCapacity
	remoteFreeReadAt time.Time
	// unplaced is a task that found room in no cell in the last plan, unplacedInOtherCells are those
	// that other cells tell of.
	unplaced             *unplacedTask
	unplacedInOtherCells []unplacedTask
	queueRunTimes        map[string]*queueRunTime
	answerTimeout        answerTimeout
	interference         interference
	// modelsStoredAt is when what was learnt of images was last stored.
	modelsStoredAt time.Time
	// modelsReadAt is when those of other cells were last read; nextModelCell is the last one
	// read, counted from the own cell.
	modelsReadAt  time.Time
	nextModelCell int
	readingModels bool
	maintenance   maintenanceState
	metrics       *metrics
}

func newTerm(cfg Config, cell int, l *layout, number, fenceVersion uint64, formerRenewedBy time.Time, log *logrus.Entry, m *metrics) *term {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	return &term{
		cfg: cfg, log: log.WithFields(logrus.Fields{"cell": cell, "term": number}), cell: cell, part: l.cellPart(cell), layout: l, currentLayout: l, number: number, ctx: ctx, cancel: cancel,
		events: newEventQueue(), loopLoad: loopLoad{windowStart: now}, now: now, startedAt: now, random: rand.New(rand.NewPCG(cfg.Seed+uint64(cell), number)),
		jobs: map[string]*job{}, workers: map[model.WorkerID]*worker{},
		foreignWorkers: map[string]int{}, unassignedWorkers: map[string]Row{}, evacuating: map[model.WorkerID]time.Time{},
		queues: map[string]Queue{}, dataCentresOut: map[model.DataCentre]bool{}, waves: map[int]*wave{},
		formerRenewedBy: formerRenewedBy, fenceVersion: fenceVersion, startVersion: fenceVersion, lastRenewal: now,
		usedRowsToPut: map[Lifetime]usedRecord{}, usedRowsToDelete: map[Lifetime]bool{},
		queueRunTimes: map[string]*queueRunTime{}, interference: newInterference(), metrics: m,
	}
}

// post hands an event to the loop. It drops the event when the term is over, and a
// question when too many wait; it reports whether the loop will handle it.
func (t *term) post(e event) bool { return t.ctx.Err() == nil && t.events.push(t.ctx, e) }

// end ends the term.
func (t *term) end(reason string) {
	if t.endReason.CompareAndSwap(nil, &reason) {
		t.log.WithField("reason", reason).Warn("term ends")
	}
	t.cancel()
}

// run is the loop. It returns when the term is over.
func (t *term) run() {
	t.log.WithField("fence_version", t.fenceVersion).Info("term begins")
	go t.loadTables()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for t.ctx.Err() == nil {
		var start time.Time
		select {
		case <-t.ctx.Done():
			return
		case a := <-t.events[classState]:
			start = t.handleEvents(a)
		case a := <-t.events[classOrder]:
			start = t.handleEvents(a)
		case a := <-t.events[classQuery]:
			start = t.handleEvents(a)
		case <-tick.C:
			t.now = time.Now()
			start = t.now
			t.onTick()
		}
		if t.loaded && t.planDue && t.ctx.Err() == nil && t.now.Sub(t.lastPlan) >= planInterval {
			t.planDue, t.lastPlan = false, t.now
			t.runEventHook()
			t.plan()
		}
		t.flush()
		t.recordRound(start)
	}
}

// handleEvents handles an event and others that wait, up to a bound. It returns when it
// began.
func (t *term) handleEvents(a queuedEvent) time.Time {
	start := time.Now()
	t.handleQueued(a)
	for i := range eventsPerRound {
		next, waiting := t.events.pop(i)
		if !waiting {
			break
		}
		t.handleQueued(next)
		if t.now.Sub(start) > maxRoundTime {
			break
		}
	}
	return start
}

// onTick does what is due by time.
func (t *term) onTick() {
	if !t.loaded {
		return
	}
	t.openOccurrences()
	t.expireLeases()
	t.checkRuns()
	t.retryStops()
	t.schedulePolls()
	t.runMaintenance()
	t.assignNewRacks()
	t.readModels()
	t.planDue = true
}

// active reports whether orders may be given: the term has renewed recently.
func (t *term) active() bool {
	return !t.stopping && t.now.Sub(t.lastRenewal) < maxOrderAge
}

// monotonicTime converts a time of day to this node's steady clock.
func (t *term) monotonicTime(unixMS int64) time.Time {
	return t.cfg.Started.Add(time.Duration(unixMS-t.cfg.StartedUnix) * time.Millisecond)
}

// openOccurrences opens the scheduled occurrences that are due.
func (t *term) openOccurrences() {
	for _, j := range t.jobs {
		if j.openedOccurrences < j.spec.Occurrences() && !j.over() {
			j.openDue(t.now, 0, t.monotonicTime)
		}
	}
}

// tablesLoaded carries the rows that a term starts from.
type tablesLoaded struct {
	jobs, moved, progress, used, models, waves, workers []Row
	storeNow                                            time.Duration
	// changes are those since the tables were read, in order.
	changes []event
}

func (e tablesLoaded) handle(t *term) {
	for _, row := range e.workers {
		t.handleWorkerRow(row)
	}
	t.applyOperatorRows(t.operator.snapshot())
	for _, row := range e.jobs {
		t.handleJobRow(row, e.storeNow)
	}
	movedRows{e.moved, e.storeNow}.handle(t)
	for _, row := range e.progress {
		t.restoreProgress(row)
	}
	movedRows{e.moved, e.storeNow}.handle(t) // tasks that were lent since the progress was stored
	for _, row := range e.waves {
		t.restoreWave(row)
	}
	for _, row := range e.models {
		t.restoreModels(row)
	}
	inherited := 0
	for _, row := range e.used {
		if t.restoreUsedWorker(row) {
			inherited++
		}
	}
	for _, c := range e.changes {
		c.handle(t)
	}
	t.loaded, t.planDue = true, true
	t.resendMoves()
	t.log.WithFields(logrus.Fields{"jobs": len(t.jobs), "workers": len(t.workers), "used_workers": inherited,
		"configuration": t.configurationVersion()}).Info("term has read the store")
	t.schedulePolls()
}

func (t *term) configurationVersion() uint64 {
	if t.configuration == nil {
		return 0
	}
	return t.configuration.Version
}

// restoreUsedWorker marks a worker that may hold runs of earlier terms.
func (t *term) restoreUsedWorker(row Row) bool {
	var u usedRecord
	if decodeRecord(row, &u) != nil {
		return false
	}
	w := t.workers[u.Lifetime.Worker]
	if w != nil && w.info.Born != u.Lifetime.Born && u.Lifetime.Born != 0 && w.info.Born != 0 {
		if w.info.Born > u.Lifetime.Born {
			t.usedRowsToDelete[u.Lifetime] = true // that life is over
			return false
		}
		w = nil
	}
	if w == nil {
		w = newWorker(WorkerInfo{Lifetime: u.Lifetime, Addr: u.Addr, DataCentre: u.DataCentre, Service: u.Service})
		w.listed = false
		t.workers[u.Lifetime.Worker] = w
	}
	w.usedRowStored, w.inherited = true, true
	w.inheritedLeaseEnd = t.formerRenewedBy.Add(maxRealDuration(maxLeaseReach) + leaseMargin)
	return true
}

// allRunsKnown reports whether every worker that may hold unseen runs of earlier terms
// has answered or holds nothing any more.
func (t *term) allRunsKnown() bool {
	switch {
	case !t.loaded: // the workers that may hold runs are not known yet
		return false
	case t.runsKnown:
		return true
	}
	for _, w := range t.workers {
		if w.inherited && !w.answered && !t.confirmedAt.After(w.inheritedLeaseEnd) {
			return false
		}
	}
	t.runsKnown = true
	took := t.now.Sub(t.startedAt)
	t.metrics.recoverySeconds.Observe(took.Seconds())
	t.log.WithFields(logrus.Fields{"took_ms": took.Milliseconds(), "adopted": t.adoptedRuns}).Info("term knows all runs")
	return true
}

// rowLogLevel is the level of lines about single rows and runs: a new term takes over
// hundreds at once, and a burst of lines crowds out the others.
func (t *term) rowLogLevel() logrus.Level {
	if t.runsKnown {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// maxLease bounds leases: long enough for a change of leader, short enough
// that the work of a lost worker restarts soon.
const maxLease = 5 * time.Second

// leaseLength is the lease that workers are granted now. It gets shorter while renewals
// do not succeed.
func (t *term) leaseLength() time.Duration {
	return min(t.cfg.Bounds.LeaseMax, maxLease, maxLeaseReach-t.now.Sub(t.lastRenewal))
}
