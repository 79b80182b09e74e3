package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Sizes and times of the leader's transactions.
const (
	// commitInterval is the least interval between the starts of two transactions. Each is
	// charged for and takes about 12 ms, so a shorter interval would only make them smaller.
	commitInterval = 30 * time.Millisecond
	// progressCommitInterval is that interval while nobody waits for what there is to store. It is short
	// enough that a worker's ends are stored before the next regular poll would list them again.
	progressCommitInterval = 80 * time.Millisecond
	// commitCheckInterval is the interval between two checks of whether somebody waits.
	commitCheckInterval = 10 * time.Millisecond
	// maxCommitRows bounds the rows of a transaction; the store allows 100 entries.
	maxCommitRows = 90
	// maxCommitBytes bounds the values of a transaction; the store allows 1 MB of
	// JSON, which holds them as base64.
	maxCommitBytes = 500_000
	// delayedCommitAge is the age above which a transaction without a result is delayed.
	delayedCommitAge = 200 * time.Millisecond
	// commitBackoff is the pause after the first failed attempt; it doubles up to
	// commitBackoffMax.
	commitBackoff    = 30 * time.Millisecond
	commitBackoffMax = 300 * time.Millisecond
)

// commitTimeouts bounds the attempts of a transaction in turn; the last value repeats. A slow
// store takes most of a second.
var commitTimeouts = []time.Duration{600 * time.Millisecond, 1000 * time.Millisecond, 1500 * time.Millisecond}

// pendingCommit is a transaction of the term that has no result yet.
type pendingCommit struct {
	tx        Transaction
	nonce     uint64
	startedAt time.Time
	renews    bool
	releases  bool
	// witnesses are those that the renewal tells.
	witnesses []witness
	updates   []jobUpdate
	used      []Lifetime
	// ends maps workers to the highest run end that the transaction makes durable; empty when
	// some progress did not fit into the transaction.
	ends map[*worker]uint64
	// queries ask for the states of jobs that the transaction changes; they wait for its result.
	queries []stateQuery
}

// changesState reports whether callers may see another state of a job once the transaction is
// applied.
func (c *pendingCommit) changesState(job string) bool {
	return slices.ContainsFunc(c.updates, func(u jobUpdate) bool {
		return u.job.id == job && (u.state != u.job.visibleState || u.moved)
	})
}

// jobUpdate is the change of a job that takes effect once the transaction is applied.
type jobUpdate struct {
	job *job
	// state is what callers may see from then on.
	state State
	// lent lists the tasks that the transaction lends to other cells.
	lent []taskKey
	// moved means that the transaction stores that the job moves to another cell.
	moved bool
	// returned are the rows by which the transaction returns borrowed tasks.
	returned []Row
}

// commitResult is the result of a transaction.
type commitResult struct {
	commit *pendingCommit
	// version is the version of the rows written; 0 when a later term has begun.
	version uint64
	// storeNow is the store's monotonic clock after sent; 0 when unknown.
	storeNow time.Duration
	// sent is when the successful attempt was sent.
	sent  time.Time
	tries int
}

// commitDelayed reports whether the transaction in flight has taken too long.
func (t *term) commitDelayed() bool {
	return t.pendingCommit != nil && t.now.Sub(t.pendingCommit.startedAt) > delayedCommitAge
}

// flush starts a transaction when there is something to store, to renew or to confirm.
func (t *term) flush() {
	if c := t.nextTransaction(); c != nil {
		go t.sendTransaction(c)
	}
}

// nextTransaction returns the transaction that is due, or nil.
func (t *term) nextTransaction() *pendingCommit {
	if t.pendingCommit != nil || t.now.Before(t.nextCommit) || t.ctx.Err() != nil || t.released {
		return nil
	}
	renew := t.now.Sub(t.lastRenewal) >= renewInterval
	if !renew && t.now.Sub(t.lastCommitStart) < progressCommitInterval && !t.commitAwaited() {
		t.nextCommit = t.now.Add(commitCheckInterval)
		return nil
	}
	c, complete := t.collectTransaction()
	release := t.stopping && !t.ordersPending() && !t.maintenancePending() && t.leasesRecorded(complete)
	readingDue := t.stopping && t.storeClock.at.Before(t.stoppedAt)
	if len(c.tx.Puts) == 0 && len(c.tx.Delete) == 0 && !renew && !release && !readingDue && !t.confirmationDue {
		return nil
	}
	t.addFence(c, renew || release, release)
	t.pendingCommit, t.confirmationDue = c, false
	t.lastCommitStart, t.nextCommit = t.now, t.now.Add(commitInterval)
	return c
}

// commitAwaited reports whether callers, workers or other cells wait for the next transaction. Nobody waits
// for ends of single tasks, checkpoints, and rows of workers that run nothing any more.
func (t *term) commitAwaited() bool {
	if t.stopping || t.confirmationDue || len(t.usedRowsToPut) > 0 {
		return true
	}
	for _, j := range t.jobs {
		if j.dirty && j.commitAwaited() {
			return true
		}
	}
	if t.loaded && t.leaseRecordsNeeded() {
		return true
	}
	for _, w := range t.waves {
		if w.dirty {
			return true
		}
	}
	return false
}

// commitAwaited reports whether somebody waits until the job's progress is stored: callers for the end of the
// job, another cell for a task or the whole job, a worker for a start that is held back, or the
// job itself, for which an earlier transaction had too little space.
func (j *job) commitAwaited() bool {
	if j.needsOwnCommit || len(j.returns) > 0 || j.movedTo > 0 && !j.moveStored || j.state().Final() != j.visibleState.Final() {
		return true
	}
	for _, tk := range j.openTasks() {
		if tk.lentTo > 0 && !tk.lentSent || slices.ContainsFunc(tk.runs, func(r *run) bool { return r.held() && r.heldFor() == waitsForStartRecord }) {
			return true
		}
	}
	return false
}

// collectTransaction collects progress, used workers and waves for a transaction. It reports
// whether all progress fits.
func (t *term) collectTransaction() (*pendingCommit, bool) {
	c := &pendingCommit{nonce: t.random.Uint64(), startedAt: t.now, ends: map[*worker]uint64{}}
	jobs := t.dirtyJobs()
	if len(jobs) > 0 && !jobs[0].needsOwnCommit {
		t.collectUsed(c, maxCommitRows/2)
	}
	size, complete := 0, true
	for _, j := range jobs {
		if len(c.tx.Puts)+len(c.tx.Delete) >= maxCommitRows-2 || size > t.commitBytes() {
			complete = false
			break
		}
		added, ok := t.addProgress(c, j, size)
		if j.needsOwnCommit = !ok; !ok {
			complete = false
			continue
		}
		size += added
		c.updates = append(c.updates, jobUpdate{j, j.state(), j.lentTasks(true), j.movedTo > 0 && !j.moveStored, j.returns})
		j.dirty, j.returns = false, nil
	}
	if complete {
		t.collectLeaseRecords(c, size)
	}
	t.collectUsed(c, maxCommitRows)
	t.collectWaves(c)
	if complete {
		for _, w := range t.workers {
			if w.lastSeenEnd > w.lastStoredEnd {
				c.ends[w] = w.lastSeenEnd
			}
		}
	}
	return c, complete
}

// dirtyJobs returns the jobs whose progress is not stored, first those that found too little space
// in an earlier transaction. Until the tables are applied, what is stored may be newer.
func (t *term) dirtyJobs() []*job {
	if len(t.tableSteps) > 0 {
		return nil
	}
	var first, others []*job
	for _, j := range t.jobs {
		switch {
		case j.dirty && j.needsOwnCommit:
			first = append(first, j)
		case j.dirty:
			others = append(others, j)
		}
	}
	return append(first, others...)
}

// commitBytes returns the size of values from which on a transaction takes no more progress: on a narrow link
// a large one would not be answered in time.
func (t *term) commitBytes() int {
	if link := t.cfg.Limits.LinkBytes; link > 0 {
		return min(maxCommitBytes, int(float64(link)*maxReadDelay.Seconds()))
	}
	return maxCommitBytes
}

// collectUsed adds the rows of workers that are about to get their first task, and deletes
// those of workers that run nothing any more, until a transaction has some number of rows. Half of one is
// theirs before progress takes its place: capacity that is not registered is idle.
func (t *term) collectUsed(c *pendingCommit, rows int) {
	for life, u := range t.usedRowsToPut {
		if len(c.tx.Puts)+len(c.tx.Delete) >= rows {
			return
		}
		c.tx.Puts = append(c.tx.Puts, Row{RowID: usedRow(t.part, life), Value: encode(u)})
		c.used = append(c.used, life)
		delete(t.usedRowsToPut, life)
	}
	for life := range t.usedRowsToDelete {
		if len(c.tx.Puts)+len(c.tx.Delete) >= rows {
			return
		}
		c.tx.Delete = append(c.tx.Delete, usedRow(t.part, life))
		delete(t.usedRowsToDelete, life)
	}
}

// maxKeyBytes is the longest key of a row that the store allows.
const maxKeyBytes = 200

// usedRow returns the id of the row of tableUsed for a lifetime. Where the worker's id leaves no
// space for the time of birth in the key, its digest stands for it.
func usedRow(part string, l Lifetime) RowID {
	worker, born := string(l.Worker), "/"+time.UnixMilli(l.Born).UTC().Format("20060102T150405.000")
	if len(worker)+len(born) > maxKeyBytes {
		digest := sha256.Sum256([]byte(worker))
		worker = hex.EncodeToString(digest[:])
	}
	return RowID{tableUsed, part, worker + born}
}

// addFence adds the fence and, if renew is set, the renewal and the models that are due. The
// renewal releases leadership if release is set.
func (t *term) addFence(c *pendingCommit, renew, release bool) {
	fence := RowID{tableFence, t.part, keyLeader}
	c.tx.Expect = []Expectation{{fence, t.fenceVersion}}
	c.tx.Puts = append(c.tx.Puts, Row{RowID: fence, Value: encode(fenceRecord{t.number, c.nonce})})
	c.renews, c.releases = renew, release
	if renew {
		c.witnesses = t.witnesses.declare()
		c.tx.Puts = append(c.tx.Puts, t.cfg.renewalRow(t.part, t.renewalRecord(release)))
		t.appendModels(c)
	}
}

// renewalRow returns the row by which the leader of a cell shows that it is alive.
func (c Config) renewalRow(part string, r leaderRecord) Row {
	r.Node, r.Process, r.Addr, r.MilliCPU = c.Node, c.Process, c.PeerAddr, c.Limits.MilliCPU
	r.LeaseReachMS = maxLeaseReach.Milliseconds()
	return Row{RowID: RowID{tableLeader, part, keyLeader}, Value: encode(r)}
}

// renewalRecord returns the record that the term publishes with its next renewal.
func (t *term) renewalRecord(release bool) leaderRecord {
	r := leaderRecord{Term: t.number, Released: release, Successor: t.successor, Loaded: t.loaded, LeaseRecordsSince: t.leaseRecordsSince,
		RunsKnown: t.allRunsKnown()}
	r.describeFormer(t.now, t.formerLeaderRenewedBy, t.silent)
	r.Witnesses = recordOf(t.witnesses.declared)
	r.UnverifiedOrdersEnd = t.unverifiedOrdersEnd()
	if t.sentSinceResume(t.storeClock.at) {
		r.StoreNow = t.storeClock.upperBound(t.now)
	}
	if t.loaded {
		r.Pending = t.pendingCounts()
		if t.layout.Cells > 1 {
			waiting := t.collectWaitingSteps()
			r.Load = t.ownLoad(waiting)
			t.addServices(&r.Load, waiting)
			r.Load.LargestFree, r.Load.Unplaced = t.largestFree(), t.unplaced
			t.observeReportedUnplaced()
		}
	}
	return r
}

// sendTransaction repeats a transaction until its result is known. Repeating it is safe: it
// expects the fence version that it replaces, and a repetition that finds its own nonce in
// the fence knows that an earlier attempt was applied.
func (t *term) sendTransaction(c *pendingCommit) {
	pause := commitBackoff
	for try := 0; t.ctx.Err() == nil; try++ {
		sent := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeouts[min(try, len(commitTimeouts)-1)])
		result, err := t.cfg.Store.Commit(ctx, c.tx)
		cancel()
		t.metrics.commits.WithLabelValues(resultLabel(err)).Inc()
		if err == nil {
			t.post(commitResult{c, result.Version, result.Now, sent, try + 1})
			return
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			t.post(commitResult{c, fenceVersionOfNonce(conflict.Rows, c.nonce), 0, sent, try + 1})
			return
		}
		if try == 0 {
			t.log.WithError(err).Warn("transaction failed; retrying")
		}
		sleep(t.ctx, pause)
		pause = min(2*pause, commitBackoffMax)
	}
}

// resultLabel returns the metric and log label of the result of a store call.
func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	if kind := model.KindOf(err); kind != "" {
		return string(kind)
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return string(model.KindConflict)
	}
	return "error"
}

// fenceVersionOfNonce returns the version of the fence if the transaction with nonce wrote it,
// else 0.
func fenceVersionOfNonce(rows []Row, nonce uint64) uint64 {
	for _, row := range rows {
		var f fenceRecord
		if row.Table == tableFence && decodeRecord(row, &f) == nil && f.Nonce == nonce {
			return row.Version
		}
	}
	return 0
}

func (e commitResult) handle(t *term) {
	c := e.commit
	t.pendingCommit = nil
	if e.version == 0 {
		t.end("another node has taken the lead")
		return
	}
	t.fenceVersion = e.version
	t.planConfirmedJobs()
	// The fence proves that no later term had begun when the transaction was sent.
	if t.sentSinceResume(e.sent) {
		t.confirmedAt = latest(t.confirmedAt, e.sent)
	}
	if c.renews {
		t.witnesses.stored = c.witnesses
		// Other nodes date the renewal by its row, which all attempts share, and may see it as soon as the
		// first of them was sent.
		if t.sentSinceResume(c.startedAt) {
			t.lastRenewal = latest(t.lastRenewal, c.startedAt)
		}
	}
	if e.storeNow > 0 {
		t.storeClock = storeReading{e.storeNow, e.sent}
		t.storeTime.observe(e.storeNow)
	}
	t.lastCommitTime = time.Since(c.startedAt)
	t.metrics.commitSeconds.Observe(t.lastCommitTime.Seconds())
	if e.tries > 1 {
		t.log.WithFields(logrus.Fields{"tries": e.tries, "took_ms": time.Since(c.startedAt).Milliseconds()}).Info("transaction applied")
	}
	for _, s := range c.updates {
		s.job.visibleState = s.state
		t.sendLentTasks(s.job, s.lent)
		t.notifyReturned(s.job, s.returned, e.version)
		if s.moved {
			go t.sendMovedJob(s.job.id, s.job.movedTo-1, t.movedJobRecord(s.job))
		}
	}
	for _, q := range c.queries {
		q.handle(t)
	}
	for w, n := range c.ends {
		w.lastStoredEnd = max(w.lastStoredEnd, n)
		if !w.pollInFlight && t.pollPause() == 0 {
			w.nextPoll = t.now
		}
	}
	for _, life := range c.used {
		switch w := t.workers[life.Worker]; {
		case w == nil || w.info.Lifetime != life:
			t.usedRowsToDelete[life] = true // the lifetime was replaced, or has left, since the transaction began
		case !t.usedRowsToDelete[life]:
			w.usedRowStored, w.leaseRecordTerm, w.nextPoll, t.planDue = true, 0, t.now, true
		}
	}
	if c.releases {
		t.released = true
		t.end("released")
		return
	}
	t.sendHeldStarts()
	t.schedulePolls()
}

// planConfirmedJobs requests a plan for the jobs that the transaction confirmed, and another
// transaction when jobs were accepted after it.
func (t *term) planConfirmedJobs() {
	for _, j := range t.jobs {
		if !j.started && !j.over() {
			t.planDue = true
			t.confirmationDue = t.confirmationDue || !t.jobConfirmed(j)
		}
	}
}

// markUsed queues the row of tableUsed that must be stored before a worker's first task, or in
// place of a lease record.
func (t *term) markUsed(w *worker) {
	if (!w.usedRowStored && w.listed) || w.leaseRecordTerm > 0 {
		delete(t.usedRowsToDelete, w.info.Lifetime)
		t.usedRowsToPut[w.info.Lifetime] = t.usedRecord(w)
	}
}

// markUnused queues the removal of the row of a worker that certainly runs nothing, so that
// the next leader need not wait for the worker.
func (t *term) markUnused(w *worker) {
	delete(t.usedRowsToPut, w.info.Lifetime)
	if w.usedRowStored {
		w.usedRowStored = false
		t.usedRowsToDelete[w.info.Lifetime] = true
	}
}

// ordersPending reports whether a start has not been answered yet.
func (t *term) ordersPending() bool {
	for _, w := range t.workers {
		for _, r := range w.runs {
			if r.state == runSent {
				return true
			}
		}
	}
	return false
}

// stepDown asks the loop to release leadership, in favour of successor if it is set. overloaded means that
// this host itself may be what delays transactions. successorStore is how long the store took to answer the
// successor, 0 if unknown.
type stepDown struct {
	successor      model.NodeID
	overloaded     bool
	successorStore time.Duration
}

func (e stepDown) handle(t *term) {
	if t.stopping {
		return
	}
	if e.successor != "" && !t.mayHandOver(e) {
		t.log.WithFields(t.pressureFields()).WithFields(logrus.Fields{"decision": "hand-over", "choice": "refused", "successor": e.successor}).Info("leader keeps leadership")
		return
	}
	t.stopping, t.successor = true, e.successor
	t.nextCommit, t.stoppedAt = t.now, t.now
	for _, w := range t.workers {
		w.leaseEndAtStop = t.lastLeaseEnd(w)
	}
	t.log.WithField("successor", e.successor).Info("leader releases leadership")
}

// deleteJobRows deletes the rows of a job after its retention time. Failures are only logged:
// a later term removes the rows that are left.
func (t *term) deleteJobRows(id string, previousCells []int, borrowed []RowID, lent map[string][]RowID) {
	ctx, cancel := context.WithTimeout(t.ctx, commitTimeouts[0])
	defer cancel()
	_, err := t.cfg.Store.Commit(ctx, Transaction{Delete: []RowID{t.layout.jobRow(id), t.layout.cancelRow(id)}})
	if err == nil && len(borrowed) > 0 {
		_, err = t.cfg.Store.Commit(ctx, Transaction{Delete: append(borrowed, progressRow(t.part, loanKey(id)), movedRow(t.part, loanKey(id)+cancelSuffix))})
	}
	for _, cell := range append(previousCells, t.cell) {
		part := t.layout.cellPart(cell)
		if err == nil {
			_, err = t.cfg.Store.Commit(ctx, Transaction{Delete: []RowID{progressRow(part, id), movedRow(part, id), movedRow(part, id+cancelSuffix)}})
		}
	}
	for _, rows := range lent {
		for some := range slices.Chunk(rows, maxCommitRows) {
			if err == nil {
				_, err = t.cfg.Store.Commit(ctx, Transaction{Delete: some})
			}
		}
	}
	if err != nil {
		t.log.WithError(err).WithField("job", id).Warn("rows of a finished job were not all deleted")
	}
}

// deleteCancellation deletes the cancellation of a job that was never accepted.
func (t *term) deleteCancellation(id string) {
	ctx, cancel := context.WithTimeout(t.ctx, commitTimeouts[0])
	defer cancel()
	if _, err := t.cfg.Store.Commit(ctx, Transaction{Delete: []RowID{t.layout.cancelRow(id)}}); err != nil {
		t.log.WithError(err).WithField("job", id).Warn("the row of an old cancellation was not deleted")
	}
}
