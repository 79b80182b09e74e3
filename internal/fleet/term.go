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
	// orderLimit is how long a leader that cannot renew goes on giving orders.
	// Store outages of some seconds must not stop running work.
	orderLimit = 7 * time.Second
	// leaseReach is how long after a renewal the leases last at most that a leader grants:
	// a store that is silent for 6 s, and the tries to renew after it, end none. A later
	// leader waits as long for workers that it cannot reach.
	leaseReach = 9 * time.Second
)

// event is something that happened; handle runs on the term's loop.
type event interface{ handle(t *term) }

// term is the time during which this node leads. All fields belong to the loop
// unless they say otherwise.
type term struct {
	cfg    Config
	log    *logrus.Entry
	cell   int
	part   string  // holds all rows that the term writes
	layout *layout // as the term began; its cells and slots never change, so any goroutine reads it
	placed *layout // the newest, with the racks placed since; the loop's alone
	number uint64
	ctx    context.Context
	cancel context.CancelFunc
	inbox  inbox
	load   loopLoad
	// retired tells why the term has ended.
	retired atomic.Pointer[string]

	now    time.Time
	begun  time.Time
	random *rand.Rand
	// knowsAll is set when no worker can hold unseen runs of earlier terms.
	knowsAll     bool
	adopted      int // runs taken over from earlier terms
	loaded       bool
	placingRacks bool // a new layout is being stored
	jobs         map[string]*job
	workers      map[model.WorkerID]*worker
	// foreign holds the cells of workers of other cells, by key of the list, unplaced
	// those whose rack no cell has yet.
	foreign  map[string]int
	unplaced map[string]Row
	// emptying holds workers that are emptied for upkeep, and until when.
	emptying map[model.WorkerID]time.Time
	queues   map[string]Queue
	setting  *Configuration
	out      map[model.DataCentre]bool
	waves    map[int]*wave

	// formerAlive is when the former leader may have renewed last. It gives orders
	// for orderLimit longer at most.
	formerAlive time.Time
	// fenceVersion is the version of the fence row after the last transaction.
	fenceVersion uint64
	// began is the version of the store at which the term began.
	began      uint64
	commit     *commit
	nextCommit time.Time
	// commitTook is the time of the last transaction.
	commitTook  time.Duration
	lastRenewal time.Time // when the last successful renewal was sent
	// confirmed is when the last successful transaction was sent: until then no
	// later term had begun.
	confirmed   time.Time
	unconfirmed bool // jobs wait for a transaction before their first start
	released    bool // the last renewal says that the leader has stopped
	usedDirty   map[Lifetime]usedRecord
	usedGone    map[Lifetime]bool

	// stopping means that no order is given any more.
	stopping bool
	// successor is the node to which the lead is handed; empty for none.
	successor model.NodeID
	dirty     bool // a plan is due
	planned   time.Time
	// rooms returns what the leaders of cells tell of their load, tell hands a row to the
	// leader of another cell; nil where the term stands alone.
	rooms func() []cellRoom
	// operator is the operators' table, which the node follows.
	operator *operatorTable
	tell     func(cell int, row Row)
	// empty asks the leader of another cell to empty a worker for upkeep.
	empty  func(context.Context, emptyParams) emptied
	grants []grant
	// holes is the room of other cells that this one may use for lent tasks, by cell.
	holes     map[int][]hole
	holesRead time.Time
	// stuck is a task that found room in no cell in the last plan, stuckElsewhere are those
	// that other cells tell of.
	stuck          *stuckTask
	stuckElsewhere []stuckTask
	speeds         map[string]*speed
	answers        answerTimes
	harm           interference
	// modelsStored is when what was learnt of images was last stored.
	modelsStored time.Time
	// modelsRead is when those of other cells were last read; modelsNext is the last one
	// read, counted from the own cell.
	modelsRead    time.Time
	modelsNext    int
	readingModels bool
	machines      upkeep
	counters      *metrics
}

func newTerm(cfg Config, cell int, l *layout, number, fenceVersion uint64, formerAlive time.Time, log *logrus.Entry, m *metrics) *term {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	return &term{
		cfg: cfg, log: log.WithFields(logrus.Fields{"cell": cell, "term": number}), cell: cell, part: l.cellPart(cell), layout: l, placed: l, number: number, ctx: ctx, cancel: cancel,
		inbox: newInbox(), load: loopLoad{began: now}, now: now, begun: now, random: rand.New(rand.NewPCG(cfg.Seed+uint64(cell), number)),
		jobs: map[string]*job{}, workers: map[model.WorkerID]*worker{},
		foreign: map[string]int{}, unplaced: map[string]Row{}, emptying: map[model.WorkerID]time.Time{},
		queues: map[string]Queue{}, out: map[model.DataCentre]bool{}, waves: map[int]*wave{},
		formerAlive: formerAlive, fenceVersion: fenceVersion, began: fenceVersion, lastRenewal: now,
		usedDirty: map[Lifetime]usedRecord{}, usedGone: map[Lifetime]bool{},
		speeds: map[string]*speed{}, harm: newInterference(), counters: m,
	}
}

// post hands an event to the loop. It drops the event when the term is over, and a
// question when too many wait; it reports whether the loop will handle it.
func (t *term) post(e event) bool { return t.ctx.Err() == nil && t.inbox.put(t.ctx, e) }

// retire ends the term.
func (t *term) retire(reason string) {
	if t.retired.CompareAndSwap(nil, &reason) {
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
		var began time.Time
		select {
		case <-t.ctx.Done():
			return
		case a := <-t.inbox[classState]:
			began = t.handleEvents(a)
		case a := <-t.inbox[classOrder]:
			began = t.handleEvents(a)
		case a := <-t.inbox[classQuestion]:
			began = t.handleEvents(a)
		case <-tick.C:
			t.now = time.Now()
			began = t.now
			t.onTick()
		}
		if t.loaded && t.dirty && t.ctx.Err() == nil && t.now.Sub(t.planned) >= planInterval {
			t.dirty, t.planned = false, t.now
			t.spend()
			t.plan()
		}
		t.flush()
		t.noteRound(began)
	}
}

// handleEvents handles an event and others that wait, up to a bound. It returns when it
// began.
func (t *term) handleEvents(a arrival) time.Time {
	began := time.Now()
	t.accept(a)
	for i := range eventsPerRound {
		next, waiting := t.inbox.take(i)
		if !waiting {
			break
		}
		t.accept(next)
		if t.now.Sub(began) > roundMost {
			break
		}
	}
	return began
}

// onTick does what is due by time.
func (t *term) onTick() {
	if !t.loaded {
		return
	}
	t.openOccurrences()
	t.expire()
	t.watchRuns()
	t.sweepRuns()
	t.scheduleLooks()
	t.runUpkeep()
	t.placeRacks()
	t.readModels()
	t.dirty = true
}

// active reports whether orders may be given: the term has renewed recently.
func (t *term) active() bool {
	return !t.stopping && t.now.Sub(t.lastRenewal) < orderLimit
}

// wall converts a time of day to this node's steady clock.
func (t *term) wall(unixMS int64) time.Time {
	return t.cfg.Started.Add(time.Duration(unixMS-t.cfg.StartedUnix) * time.Millisecond)
}

// openOccurrences opens the scheduled occurrences that are due.
func (t *term) openOccurrences() {
	for _, j := range t.jobs {
		if j.opened < j.spec.Occurrences() && !j.over() {
			j.open(t.now, 0, t.wall)
		}
	}
}

// loadedEvent carries the rows that a term starts from.
type loadedEvent struct {
	jobs, moved, progress, used, models, waves, workers []Row
	storeNow                                            time.Duration
	// changes are those since the tables were read, in order.
	changes []event
}

func (e loadedEvent) handle(t *term) {
	for _, row := range e.workers {
		t.workerRow(row)
	}
	t.takeOperator(t.operator.all())
	for _, row := range e.jobs {
		t.jobRow(row, e.storeNow)
	}
	movedRows{e.moved, e.storeNow}.handle(t)
	for _, row := range e.progress {
		t.progressRow(row)
	}
	movedRows{e.moved, e.storeNow}.handle(t) // tasks that were lent since the progress was stored
	for _, row := range e.waves {
		t.waveRow(row)
	}
	for _, row := range e.models {
		t.modelsRow(row)
	}
	inherited := 0
	for _, row := range e.used {
		if t.usedRow(row) {
			inherited++
		}
	}
	for _, c := range e.changes {
		c.handle(t)
	}
	t.loaded, t.dirty = true, true
	t.finishMoves()
	t.log.WithFields(logrus.Fields{"jobs": len(t.jobs), "workers": len(t.workers), "used_workers": inherited,
		"configuration": t.configurationVersion()}).Info("term has read the store")
	t.scheduleLooks()
}

func (t *term) configurationVersion() uint64 {
	if t.setting == nil {
		return 0
	}
	return t.setting.Version
}

// usedRow marks a worker that may hold runs of earlier terms.
func (t *term) usedRow(row Row) bool {
	var u usedRecord
	if decodeRecord(row, &u) != nil {
		return false
	}
	w := t.workers[u.Life.Worker]
	if w != nil && w.info.Born != u.Life.Born && u.Life.Born != 0 && w.info.Born != 0 {
		if w.info.Born > u.Life.Born {
			t.usedGone[u.Life] = true // that life is over
			return false
		}
		w = nil
	}
	if w == nil {
		w = newWorker(WorkerInfo{Lifetime: u.Life, Addr: u.Addr, DataCentre: u.DataCentre, Service: u.Service})
		w.listed = false
		t.workers[u.Life.Worker] = w
	}
	w.durable, w.inherited = true, true
	w.deadBy = t.formerAlive.Add(slowest(leaseReach) + leaseMargin)
	return true
}

// settled reports whether every worker that may hold unseen runs of earlier terms
// has answered or holds nothing any more.
func (t *term) settled() bool {
	switch {
	case !t.loaded: // the workers that may hold runs are not known yet
		return false
	case t.knowsAll:
		return true
	}
	for _, w := range t.workers {
		if w.inherited && !w.raised && !t.confirmed.After(w.deadBy) {
			return false
		}
	}
	t.knowsAll = true
	took := t.now.Sub(t.begun)
	t.counters.recoverySeconds.Observe(took.Seconds())
	t.log.WithFields(logrus.Fields{"took_ms": took.Milliseconds(), "adopted": t.adopted}).Info("term knows all runs")
	return true
}

// detail is the level of lines about single rows and runs: a new term takes over
// hundreds at once, and a burst of lines crowds out the others.
func (t *term) detail() logrus.Level {
	if t.knowsAll {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// leaseMaximum bounds leases: long enough for a change of leader, short enough
// that the work of a lost worker restarts soon.
const leaseMaximum = 5 * time.Second

// leaseLength is the lease that workers are granted now. It gets shorter while renewals
// do not succeed.
func (t *term) leaseLength() time.Duration {
	return min(t.cfg.Bounds.LeaseMax, leaseMaximum, leaseReach-t.now.Sub(t.lastRenewal))
}
