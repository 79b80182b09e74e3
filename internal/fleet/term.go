package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/usage"
)

// Times of a term.
const (
	// tickInterval is the interval of the work that no event triggers.
	tickInterval = 50 * time.Millisecond
	// renewInterval is the interval of a leader's renewals. leaderTimeout spans several.
	renewInterval = 400 * time.Millisecond
	// maxOrderAge is how long after its last renewal a leader continues to give orders. Store
	// outages of some seconds must not stop running work.
	maxOrderAge = 7 * time.Second
	// maxLeaseReach is the longest time from a renewal to the end of a lease that the leader
	// grants. It covers a store outage of 6 s and the attempts to renew after it, so that
	// these end no lease. A later leader waits this long for workers that it cannot reach.
	maxLeaseReach = 9 * time.Second
)

// event is an input of the term's loop; handle runs on the loop.
type event interface{ handle(t *term) }

// term is a period during which this node leads a cell, with its control state. All fields
// are owned by the loop unless their comment says otherwise.
type term struct {
	cfg           Config
	log           *logrus.Entry
	cell          int
	part          string  // part of the store for all rows that the term writes
	layout        *layout // at the start of the term; cells and slots never change, so any goroutine may read it
	currentLayout *layout // the newest, with racks added since; owned by the loop
	number        uint64
	ctx           context.Context
	cancel        context.CancelFunc
	events        eventQueue
	loopLoad      loopLoad
	// callSlots bounds the orders to workers that are under way, pollSlots the polls.
	callSlots, pollSlots *callSlots
	// endReason is why the term has ended.
	endReason atomic.Pointer[string]
	calls     callCounts
	// pressureLoggedAt is when the last line about the work of the term was written.
	pressureLoggedAt time.Time
	// hostUse returns what the process used of its host in the last second, zero if unknown.
	hostUse func() usage.Utilization

	now       time.Time
	startedAt time.Time
	random    *rand.Rand
	// runsKnown is set once all runs of earlier terms are accounted for; see allRunsKnown.
	runsKnown bool
	// formerRunsReported means that each worker with runs of earlier terms has told them and their ends, or
	// that an earlier term had recorded them. formerRunsLost means that the leases of one ended before.
	formerRunsReported, formerRunsLost bool
	adoptedRuns                        int // runs adopted from earlier terms
	loaded                             bool
	workersLoaded                      bool                      // the workers that may hold runs are known, see workersLoaded
	tableSteps                         []func()                  // what is left to do before the term has loaded its tables, see applyTables
	readAnsweredAt                     atomic.Pointer[time.Time] // the last answered read; nil before the first
	readLimiter                        *readLimiter
	// renewalsFailedAt is when renewals failed last before the tables were read. loadStalled means
	// that the term ends because they could not be read.
	renewalsFailedAt time.Time
	loadStalled      bool
	assigningRacks   bool // a layout with new racks is being stored
	jobs             map[string]*job
	scheduledJobs    []*job // those of them that have a schedule
	// finishedJobsCheckedAt is when finished jobs were last looked for, see removeFinishedJobs.
	finishedJobsCheckedAt time.Time
	// earlyCancellations holds when jobs were cancelled that the term does not know yet.
	earlyCancellations map[string]time.Time
	// endedWithoutSuspect is when a worker last ended although no run there had just started.
	endedWithoutSuspect time.Time
	workers             map[model.WorkerID]*worker
	// foreignWorkers holds the cell of each worker of another cell, by key of the list of
	// workers. unassignedWorkers holds the entries of workers whose rack has no cell yet.
	foreignWorkers    map[string]int
	unassignedWorkers map[string]Row
	// evacuatingUntil holds the workers that the leader of the first cell asks this term to
	// evacuate for maintenance, and until when they get no new work.
	evacuatingUntil map[model.WorkerID]time.Time
	queues          map[string]Queue
	configuration   *Configuration
	dataCentresOut  map[model.DataCentre]bool
	waves           map[int]*wave

	// former is the last record of the former leader; empty if there was none.
	former leaderRecord
	// formerLeaderRenewedBy is the latest moment at which the former leader may have renewed. It
	// gives orders for at most maxOrderAge after that.
	formerLeaderRenewedBy time.Time
	// silent is the former leader that may still give orders as far as this term knows; nil if none is
	// known or its process has ended.
	silent *silentLeader
	// formerOrdersBy is the same for a former leader that has not released leadership, else the
	// latest moment at which it may have given an order.
	formerOrdersBy time.Time
	// unverifiedOrdersBy is when the last order of a version has arrived that sent deadlines to whichever
	// lifetime of a worker answered; zero if there is none.
	unverifiedOrdersBy time.Time
	// witnesses are other processes that know whether the store answers; see leaseReach.
	witnesses   leaderWitnesses
	suspensions suspensions
	// fenceVersion is the version of the fence row after the last transaction.
	fenceVersion uint64
	// startVersion is the version of the store at the start of the term. formerFenceVersion is that of
	// the fence by the last transaction of an earlier term.
	startVersion, formerFenceVersion uint64
	// jobsReadAt is the store's monotonic clock when the jobs' table was last read in full.
	jobsReadAt time.Duration
	// jobsKnownAt is the store's monotonic clock up to which the term knows all changes of the jobs.
	// storeTime is that of the store's last answer; see jobs_lag.go.
	jobsKnownAt   time.Duration
	jobsLagLogged bool // the last line told that the jobs are outdated
	storeTime     storeTime
	pendingCommit *pendingCommit
	nextCommit    time.Time
	// lastCommitStart is when the last transaction was started.
	lastCommitStart time.Time
	// lastCommitTime is how long the last transaction took.
	lastCommitTime time.Duration
	lastRenewal    time.Time // when the last successful renewal was sent
	// confirmedAt is when the last successful transaction was sent: at that time no later
	// term had begun.
	confirmedAt     time.Time
	confirmationDue bool // jobs need a transaction before their first start
	// usedReadAt is when the rows of tableUsed had been read.
	usedReadAt time.Time
	// leaseRecordsSince is the first term whose lease records hold; see leaderRecord.
	leaseRecordsSince uint64
	storeClock        storeReading // by the last transaction
	released          bool         // a renewal that releases leadership is stored
	usedRowsToPut     map[Lifetime]usedRecord
	unansweredStarts  map[startKey]unansweredStart
	heldStarts        []*run // runs whose start order is held back; see holdStart
	stopsWait         bool   // stop orders wait for a slot
	usedRowsToDelete  map[Lifetime]bool

	// stopping means that the term gives no more orders, since stoppedAt.
	stopping  bool
	stoppedAt time.Time
	// successor is the node to which leadership is handed over; empty for none.
	successor model.NodeID
	planDue   bool // a plan is due
	lastPlan  time.Time
	// planTime is how long the last plan took, checksDueAt when the runs are checked next.
	planTime time.Duration
	// shortSince is since when plans had more to start than calls could begin; zero if the last one had not.
	shortSince  time.Time
	checksDueAt time.Time
	// plannedSteps is the number of waiting steps that the last plan has looked at.
	plannedSteps int
	// cellLoads returns the loads that the leaders of cells have reported; nil in tests
	// without a node.
	cellLoads func() []reportedLoad
	// operator is the operators' table, which the node watches.
	operator *operatorTable
	// notify sends a row to the leader of another cell; nil in tests without a node.
	notify func(cell int, row Row)
	// evacuate asks the leader of another cell to evacuate a worker for maintenance.
	evacuate    func(context.Context, evacuateParams) evacuationStatus
	recentMoves []recentMove
	// remoteFree is the free capacity of other cells that this one may use for lent tasks, by
	// cell.
	remoteFree       map[int][]freeCapacity
	remoteFreeReadAt time.Time
	// claimed is what lost lasting tasks claim on workers, claiming are their steps by the last plan. lostMayStart
	// means that room for a lost task has become free since, that another cell keeps some, or that a lent task has
	// arrived.
	claimed      map[*worker]model.Resources
	claiming     []*claimant
	lostMayStart bool
	// keptForOthers is the part of it for unplaced tasks of other cells.
	keptForOthers map[*worker]model.Resources
	// unplaced are the lasting tasks that have no room in this cell. reportedUnplaced are those that
	// other cells report.
	unplaced         *unplacedTask
	reportedUnplaced map[int]unplacedTask
	// lostUnplaced are those of them that have run, expectedUnplaced are tasks that may be lost soon and would have no
	// room either. roomRequests are the requests of other cells for such tasks, roomExchanges what they have answered
	// to those of this one, by cell; askForRoom sends a request and is nil in tests without a node.
	lostUnplaced, expectedUnplaced []unplacedTask
	roomRequests                   map[int]roomRequest
	roomQueries                    []roomQuery         // requests that wait for an answer
	roomGrants                     map[int][]roomGrant // room that the last plan keeps, by cell
	roomExchanges                  map[int]*roomExchange
	askForRoom                     func(context.Context, roomRequest) roomAnswer
	// reportsUnplacedSince is since when the cell's reports have told of an unplaced task; zero if the
	// last one did not.
	reportsUnplacedSince time.Time
	// returnedLoans holds, by the key of a lent task's row, the number of the loan that this cell
	// returned last.
	returnedLoans     map[string]int
	queueRunTimes     map[string]*queueRunTime
	shortWork         map[shortKey]*shortDemand
	shortWorkObserved time.Time
	loadLoggedAt      time.Time
	lostTasksLoggedAt time.Time
	idleJobsCheckedAt time.Time
	answerTimeout     answerTimeout
	interference      interference
	// modelsStoredAt is when the interference models of images were last stored.
	modelsStoredAt time.Time
	// modelsReadAt is when models of other cells were last read. lastModelOffset is the offset
	// from this cell of the cell that was read last.
	modelsReadAt    time.Time
	lastModelOffset int
	readingModels   bool
	maintenance     maintenanceState
	metrics         *metrics
}

func newTerm(cfg Config, cell int, l *layout, number, fenceVersion uint64, formerLeaderRenewedBy time.Time, log *logrus.Entry, m *metrics) *term {
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	return &term{
		readLimiter: newReadLimiter(cfg.Limits.LinkBytes),
		cfg:         cfg, log: log.WithFields(logrus.Fields{"cell": cell, "term": number}), cell: cell, part: l.cellPart(cell), layout: l, currentLayout: l, number: number, ctx: ctx, cancel: cancel,
		events: newEventQueue(), callSlots: newCallSlots(cfg.Limits.MilliCPU), pollSlots: newCallSlots(cfg.Limits.MilliCPU), loopLoad: loopLoad{windowStart: now}, now: now, startedAt: now, random: rand.New(rand.NewPCG(cfg.Seed+uint64(cell), number)),
		jobs: map[string]*job{}, earlyCancellations: map[string]time.Time{}, returnedLoans: map[string]int{}, claimed: map[*worker]model.Resources{}, keptForOthers: map[*worker]model.Resources{}, roomRequests: map[int]roomRequest{}, roomGrants: map[int][]roomGrant{}, roomExchanges: map[int]*roomExchange{}, workers: map[model.WorkerID]*worker{},
		foreignWorkers: map[string]int{}, unassignedWorkers: map[string]Row{}, evacuatingUntil: map[model.WorkerID]time.Time{},
		queues: map[string]Queue{}, dataCentresOut: map[model.DataCentre]bool{}, waves: map[int]*wave{},
		formerLeaderRenewedBy: formerLeaderRenewedBy, formerOrdersBy: formerLeaderRenewedBy, leaseRecordsSince: number, fenceVersion: fenceVersion, startVersion: fenceVersion, formerFenceVersion: fenceVersion, lastRenewal: now,
		usedRowsToPut: map[Lifetime]usedRecord{}, unansweredStarts: map[startKey]unansweredStart{}, usedRowsToDelete: map[Lifetime]bool{},
		queueRunTimes: map[string]*queueRunTime{}, shortWork: map[shortKey]*shortDemand{}, interference: newInterference(), metrics: m,
		witnesses: leaderWitnesses{checkedAt: now, unanswered: map[uint64]int{}},
		hostUse:   func() usage.Utilization { return usage.Utilization{} },
	}
}

// post queues an event for the loop and reports whether it was queued. It drops the event
// when the term is over, and a query when the queue of queries is full.
func (t *term) post(e event) bool { return t.ctx.Err() == nil && t.events.push(t.ctx, e) }

// end ends the term.
func (t *term) end(reason string) {
	if t.endReason.CompareAndSwap(nil, &reason) {
		t.log.WithField("reason", reason).Warn("term ends")
	}
	t.cancel()
}

// run is the term's loop. It returns when the term is over.
func (t *term) run() {
	t.log.WithFields(logrus.Fields{"fence_version": t.fenceVersion, "former_term": t.former.Term, "former_leader": t.former.Node, "former_released": t.former.Released,
		"former_runs_known": t.former.RunsKnown, "former_leases_ms": t.formerLeasesEnd().Sub(t.now).Milliseconds()}).Info("term begins")
	go t.loadTables()
	defer t.recordLoading()
	defer t.logPressureNow()
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
			t.readClock()
			start = t.now
			t.onTick()
		}
		if t.loaded && t.planDue && t.ctx.Err() == nil && t.now.Sub(t.lastPlan) >= t.planPause() && t.hasStartsForPlan() {
			t.planDue, t.lostMayStart, t.lastPlan = false, false, t.now
			t.runEventHook()
			t.plan()
			t.planTime = time.Since(t.lastPlan)
		}
		t.flush()
		t.recordRound(start)
		t.logPressure()
	}
}

// handleEvents handles an event and further queued ones, bounded in number and time. It
// returns its start time.
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

// onTick runs the work that is due by time.
func (t *term) onTick() {
	t.askWitnesses()
	if !t.loaded {
		t.applyTables()
	}
	if !t.loaded {
		t.releaseIfLoadStalls()
		if t.workersLoaded {
			t.schedulePolls()
		}
		return
	}
	t.logJobsLag()
	t.openOccurrences()
	t.expireLeases()
	t.dropUnansweredStarts()
	t.requestRoom()
	if begun := time.Now(); !begun.Before(t.checksDueAt) {
		t.checkRuns()
		t.checksDueAt = time.Now().Add(workPause(time.Since(begun)))
	}
	t.retryStops()
	t.sendHeldStarts()
	t.schedulePolls()
	t.runMaintenance()
	t.assignNewRacks()
	t.readModels()
	t.planDue = true
}

// active reports whether the term may give orders: it has renewed recently.
func (t *term) active() bool {
	return !t.stopping && t.leaseReach().Sub(t.now) > maxLeaseReach-maxOrderAge
}

// maxScheduleAhead bounds the times that monotonicTime returns, as a Duration holds at most 292
// years.
const maxScheduleAhead = 100 * 365 * 24 * time.Hour

// monotonicTime converts a wall-clock time to this node's monotonic clock.
func (t *term) monotonicTime(unixMS int64) time.Time {
	ms := min(max(unixMS-t.cfg.StartedUnix, -maxScheduleAhead.Milliseconds()), maxScheduleAhead.Milliseconds())
	return t.cfg.Started.Add(time.Duration(ms) * time.Millisecond)
}

// openOccurrences opens the scheduled occurrences that are due.
func (t *term) openOccurrences() {
	t.scheduledJobs = slices.DeleteFunc(t.scheduledJobs, func(j *job) bool { return t.jobs[j.key()] != j })
	for _, j := range t.scheduledJobs {
		if j.openedOccurrences < j.spec.Occurrences() && !j.over() {
			j.openDue(t.now, 0, t.monotonicTime)
		}
	}
}

func (t *term) configurationVersion() uint64 {
	if t.configuration == nil {
		return 0
	}
	return t.configuration.Version
}

// restoreUsedWorker marks a worker as possibly holding runs of earlier terms, and reports
// whether it did. storeNow is a reading of the store's clock that had arrived by readAt.
func (t *term) restoreUsedWorker(row Row, storeNow time.Duration, readAt time.Time) bool {
	var u usedRecord
	if decodeRecord(row, &u) != nil {
		return false
	}
	w := t.workers[u.Lifetime.Worker]
	if w != nil && w.info.Born == 0 {
		w.info.Born = u.Lifetime.Born // its entry names no lifetime
	}
	var later *WorkerInfo
	if w != nil && w.info.Born != u.Lifetime.Born && u.Lifetime.Born != 0 && w.info.Born != 0 {
		switch {
		case w.info.Born > u.Lifetime.Born && w.usedRowStored:
			t.usedRowsToDelete[u.Lifetime] = true // that lifetime is over
			return false
		case w.info.Born > u.Lifetime.Born:
			later, w = &w.info, nil // the entry may come from another writer
		case w.laterEntry != nil && w.laterEntry.Born == u.Lifetime.Born:
			entry := *w.laterEntry
			t.removeWorker(w, reasonRestarted)
			w = newWorker(entry)
			t.workers[u.Lifetime.Worker] = w
		default:
			t.removeWorker(w, reasonRestarted)
			later, w = w.laterEntry, nil
		}
	}
	if w == nil {
		w = newWorker(WorkerInfo{Lifetime: u.Lifetime, Addr: u.Addr, DataCentre: u.DataCentre, Service: u.Service})
		w.listed, w.laterEntry, w.laterEntrySeen = false, later, t.now
		t.workers[u.Lifetime.Worker] = w
	}
	w.usedRowStored, w.inherited = true, true
	w.inheritedLeaseEnd, w.leaseEndAssumed = t.formerLeasesEnd(), true
	t.restoreFormerLeases(w, u.FormerLeaseEnd, storeNow, readAt)
	t.restoreLeases(w, u.Leases, storeNow, readAt)
	return true
}

// formerLeasesEnd returns when the leases of earlier terms on workers that this one has not reached
// have ended.
func (t *term) formerLeasesEnd() time.Time { return formerLeasesEnd(t.formerLeaderRenewedBy) }

// formerLeasesEnd returns when the leases of a leader that last renewed at a time have ended.
func formerLeasesEnd(renewedBy time.Time) time.Time {
	return renewedBy.Add(leaseTime(maxLeaseReach))
}

// allRunsKnown reports whether all runs of earlier terms are accounted for: of every worker that
// may hold some, they were recorded, or it has answered, or its leases have certainly ended.
func (t *term) allRunsKnown() bool {
	switch {
	case !t.loaded: // the workers that may hold runs are not known yet
		return false
	case t.runsKnown:
		return true
	}
	n, _ := t.unaccountedWorkers()
	t.metrics.unaccounted.Set(float64(n))
	if n > 0 {
		return false
	}
	t.runsKnown, t.formerRunsReported = true, !t.formerRunsLost
	for _, w := range t.workers {
		t.formerRunsReported = t.formerRunsReported && !(w.inherited && (w.answered || !w.runsKnown))
	}
	took := t.now.Sub(t.startedAt)
	t.metrics.recoverySeconds.Observe(took.Seconds())
	t.log.WithFields(logrus.Fields{"took_ms": took.Milliseconds(), "adopted": t.adoptedRuns}).Info("all runs of earlier terms are accounted for")
	return true
}

// rowLogLevel is the log level of lines about single rows and runs. A new term takes over
// hundreds of them at once, and a burst of lines would crowd out others.
func (t *term) rowLogLevel() logrus.Level {
	if t.runsKnown {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}

// latest returns the later of two moments.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earliest returns the earlier of two moments.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxLease bounds the length of leases. It is long enough to outlast a change of leader and
// short enough that the work of a lost worker restarts soon.
const maxLease = 5 * time.Second

// leaseLength is the length of the leases that workers are granted now. It shrinks while
// renewals fail, so that no lease ends later than leaseReach.
func (t *term) leaseLength() time.Duration {
	return min(t.cfg.Bounds.LeaseMax, maxLease, t.leaseReach().Sub(t.now))
}
