package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// jobRows reports changed rows of the jobs' table.
type jobRows struct {
	rows     []Row
	storeNow time.Duration
	// fullVersion is the version of the store at which rows was the whole content of the
	// cell's parts; 0 if rows holds changes.
	fullVersion uint64
	// knownAt is the store's clock when no other changes had happened; 0 if others may have.
	knownAt time.Duration
}

func (e jobRows) handle(t *term) {
	if e.fullVersion > 0 {
		t.jobsReadAt = e.storeNow
		t.dropUnstoredMovedJobs(e.rows, e.fullVersion)
	}
	for _, row := range e.rows {
		t.handleJobRow(row, e.storeNow)
	}
	t.jobsKnown(e.knownAt)
	if e.fullVersion > 0 && t.loaded {
		t.readCancellationsOfMovedJobs()
	}
}

// dropUnstoredMovedJobs drops jobs that have moved to another cell and whose rows are no longer
// stored, as of version. It keeps jobs accepted after that version, which the rows
// cannot contain: a dropped job would be taken for a new one when its row follows.
func (t *term) dropUnstoredMovedJobs(rows []Row, version uint64) {
	stored := make(map[string]bool, len(rows))
	for _, row := range rows {
		stored[row.Key] = true
	}
	for id, j := range t.jobs {
		if j.movedTo > 0 && len(j.previousCells) == 0 && j.acceptedVersion <= version && !stored[id] {
			delete(t.jobs, id)
		}
	}
}

// handleJobRow applies a row of the jobs' table if it concerns this cell. Cancellations are
// applied from any part: those of jobs that have moved here are in parts of other cells.
func (t *term) handleJobRow(row Row, storeNow time.Duration) {
	if t.ownsPart(row.Part) || strings.HasSuffix(row.Key, cancelSuffix) {
		t.applyJobRow(row, storeNow)
	}
}

// applyJobRow applies the row of a job or of a cancellation.
func (t *term) applyJobRow(row Row, storeNow time.Duration) {
	if row.Removed {
		if j := t.jobs[row.Key]; j != nil && j.movedTo > 0 {
			delete(t.jobs, row.Key) // the cell to which it moved has deleted it
		}
		return
	}
	if id, ok := strings.CutSuffix(row.Key, cancelSuffix); ok {
		t.cancelJob(id)
		return
	}
	if t.jobs[row.Key] != nil {
		return
	}
	if r, ok := t.decodeJob(row); ok {
		t.addJob(row, r, nil, storeNow)
	}
}

// decodeJob decodes the row of a job or of a lent task.
func (t *term) decodeJob(row Row) (r jobRecord, ok bool) {
	err := decodeRecord(row, &r)
	if err == nil {
		err = r.Spec.Validate() // earlier versions accepted more
	}
	if err != nil {
		t.log.WithError(err).WithField("job", row.Key).Error("ignored an undecodable or invalid job")
	}
	return r, err == nil
}

// addJob adds a job that is new to the term. borrowed is set for tasks that another cell has lent.
func (t *term) addJob(row Row, r jobRecord, borrowed []RowID, storeNow time.Duration) {
	arrived := t.now
	if storeNow > r.AcceptedAt && r.AcceptedAt > 0 {
		arrived = t.now.Add(r.AcceptedAt - storeNow)
	}
	j := newJob(row.Key, r, row.Version, arrived)
	j.borrowed = borrowed
	j.inherited, j.learnedAt = t.startedEarlier(row.Version, len(borrowed) > 0), t.now
	if r.Progress != nil {
		j.restore(*r.Progress, t.now, t.monotonicTime)
	}
	t.jobs[j.key()] = j
	if j.spec.Repeats > 0 {
		t.scheduledJobs = append(t.scheduledJobs, j)
	}
	t.restoreQueue(r)
	t.confirmationDue = t.confirmationDue || !t.jobConfirmed(j)
	j.openDue(t.now, 0, t.monotonicTime)
	t.planDue = true
	t.metrics.accepted.Inc()
	t.log.WithFields(logrus.Fields{"decision": "order", "job": j.id, "queue": j.queue, "kind": j.kind(), "objective_ms": t.objective(j).Milliseconds(), "version": row.Version,
		"age_ms": t.now.Sub(arrived).Milliseconds(), "inherited": j.inherited, "steps": len(j.spec.Steps), "shape": stepLogEntries(j.spec)}).Log(t.jobLogLevel(j), "job added")
	if t.cancelledEarly(j) {
		t.applyCancellation(j)
	} else if t.mayHaveMissedCancellation(j) {
		j.cancellationUnread = true
		t.readCancellations([]string{j.id})
	}
	if t.loaded && len(borrowed) == 0 {
		t.resendLentTasks(j) // a borrower may have returned one before the job moved here
	}
}

// startedEarlier reports whether an earlier term may have started tasks of a job that was accepted with a
// version of its row; see jobConfirmed. A borrowed job gets further tasks by rows that it does not
// wait for.
func (t *term) startedEarlier(version uint64, borrowed bool) bool {
	if borrowed {
		return version <= t.startVersion
	}
	return version <= t.formerFenceVersion
}

// stepLogEntry describes a step in the log line about a job, for traces derived from logs.
type stepLogEntry struct {
	Count    int   `json:"count"`
	MilliCPU int64 `json:"milli_cpu"`
	MemoryMB int64 `json:"memory_mb"`
	Estimate int64 `json:"estimate_ms"`
	After    []int `json:"after,omitempty"`
	Gang     bool  `json:"gang,omitempty"`
	Lasting  bool  `json:"lasting,omitempty"`
	Filler   bool  `json:"filler,omitempty"`
}

func stepLogEntries(s Spec) []stepLogEntry {
	entries := make([]stepLogEntry, len(s.Steps))
	for i, st := range s.Steps {
		entries[i] = stepLogEntry{st.Count, st.Needs.MilliCPU, st.Needs.MemoryMB, st.Estimate.Milliseconds(), st.After, st.Gang, st.Lasting, st.Filler}
	}
	return entries
}

// jobLogLevel is the log level of the line about a job that is new to the term. Inherited
// jobs were already logged by an earlier term.
func (t *term) jobLogLevel(j *job) logrus.Level {
	if j.inherited {
		return logrus.DebugLevel
	}
	return logrus.InfoLevel
}

// earlyCancellationAge is how long the cancellation of an unknown job of another cell is kept. The
// job's row may arrive later: nodes send rows to the leader before the watch reports them in order,
// and a write of a former leader of the other cell may be carried out some seconds after it.
const earlyCancellationAge = 30 * time.Second

// cancelJob stops all work of a job. The cancellation of an unknown job is applied when its
// row arrives, unless the job is in another cell.
func (t *term) cancelJob(id string) {
	jobs := t.jobsOf(id)
	if len(jobs) == 0 {
		t.earlyCancellations[id] = t.now
	}
	for _, j := range jobs {
		t.applyCancellation(j)
	}
}

// cancelledEarly reports whether a job that is new to the term is cancelled already.
func (t *term) cancelledEarly(j *job) bool {
	for _, id := range []string{j.id, j.key()} {
		if _, early := t.earlyCancellations[id]; early {
			return true
		}
	}
	return slices.ContainsFunc(t.jobsOf(j.id), func(o *job) bool { return o.cancelled })
}

// applyCancellation stops all work of a job.
func (t *term) applyCancellation(j *job) {
	// A transaction in flight may have stored that the job is over.
	if j.cancelled || ((j.visibleState.Final() || j.state().Final()) && len(j.borrowed) == 0) {
		return
	}
	j.cancelled, j.dirty, j.endedAt = true, true, t.now
	t.cancelLentTasks(j)
	if j.movedTo > 0 {
		if j.moveStored {
			go t.sendCancellation(j.id, j.movedTo-1)
		}
		return
	}
	stopped := 0
	for _, w := range t.workers {
		for _, r := range w.runs {
			if r.job == j {
				t.stopRun(r, "cancelled")
				stopped++
			}
		}
	}
	t.planDue = true
	t.log.WithFields(logrus.Fields{"decision": "cancel", "job": j.id, "runs": stopped}).Info("job cancelled")
}

// workerRows reports changed entries of the platform's list of workers. full is set when the
// rows are the whole list.
type workerRows struct {
	rows []Row
	full bool
}

func (e workerRows) handle(t *term) {
	if e.full {
		clear(t.foreignWorkers)
		clear(t.unassignedWorkers)
		listed := map[string]bool{}
		for _, row := range e.rows {
			listed[row.Key] = true
		}
		for id, w := range t.workers {
			if !listed[string(id)] {
				t.unlistWorker(w)
			}
		}
	}
	for _, row := range e.rows {
		t.handleWorkerRow(row)
	}
}

// handleWorkerRow applies an entry of the list of workers. An entry that cannot be decoded is
// ignored: what is known of its worker stays.
func (t *term) handleWorkerRow(row Row) {
	id := model.WorkerID(row.Key)
	w := t.workers[id]
	if row.Removed {
		delete(t.foreignWorkers, row.Key)
		delete(t.unassignedWorkers, row.Key)
		if w != nil {
			t.unlistWorker(w)
		}
		return
	}
	if _, other := t.foreignWorkers[row.Key]; other {
		return
	}
	info, err := t.cfg.Decoder.Worker(row)
	if err != nil {
		t.metrics.unreadable.Inc()
		t.log.WithError(err).Debug("ignored an undecodable entry of the worker list")
		return
	}
	if w == nil && !t.ownsWorker(row, info) {
		return
	}
	switch {
	case w == nil:
		t.workers[id] = newWorker(info)
		t.planDue = true
		t.log.WithFields(logrus.Fields{"decision": "worker", "worker": id, "choice": "listed", "dc": info.DataCentre,
			"address": info.Addr, "milli_cpu": info.Capacity.MilliCPU, "memory_mb": info.Capacity.MemoryMB,
			"accelerators": info.Capacity.Accelerators, "labels": info.Labels}).Log(t.rowLogLevel(), "worker added")
	case info.Born == w.info.Born || info.Born == 0 || w.info.Born == 0:
		t.updateWorker(w, info)
	case info.Born < w.info.Born && w.answered && !w.inherited && len(w.runs) == 0:
		t.checkLaterLifetime(w, info) // later all the same if the time of day has stepped back
	case info.Born < w.info.Born && (w.answered || w.inherited || len(w.runs) > 0):
		return // an entry of an earlier lifetime
	case info.Born > w.info.Born && (w.laterEntry != nil || w.inherited || len(w.runs) > 0):
		t.checkLaterLifetime(w, info)
	default:
		t.replaceWorker(w, info)
	}
}

// checkLaterLifetime probes a worker that may still run although an entry names another lifetime of it. The entry may
// come from another writer, and then the runs of the worker go on. It counts once that lifetime has answered, or once
// the leases of this one have ended.
func (t *term) checkLaterLifetime(w *worker, later WorkerInfo) {
	known := w.laterEntry != nil
	w.laterEntry = &later
	if !known {
		w.laterEntrySeen = t.now
		t.probe(w)
		t.probeLater(w)
	}
}

// settleLaterLifetime drops an entry that checkLaterLifetime has kept if this lifetime has answered since.
func (t *term) settleLaterLifetime(w *worker, e pollReply) {
	if w.laterEntry == nil || e.sent.Before(w.laterEntrySeen) || e.err != nil || e.report.Verdict != StartRunning && e.report.Verdict != StartFenced {
		return
	}
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "entry ignored", "runs": len(w.runs),
		"born": w.laterEntry.Born, "answering": w.info.Born}).Warn("worker answers although its entry names a later lifetime")
	w.laterEntry = nil
}

// confirmsEntry reports whether the lifetime that the worker's laterEntry names has answered.
func (e pollReply) confirmsEntry() bool {
	l := e.worker.laterEntry
	return l != nil && e.err == nil && e.report.Verdict == StartRunning && e.report.Born == l.Born
}

// updateWorker applies a newer entry of the same lifetime of a worker.
func (t *term) updateWorker(w *worker, info WorkerInfo) {
	if info.Draining != w.info.Draining || !w.listed {
		t.planDue = true
		t.log.WithFields(logrus.Fields{"decision": "worker", "worker": info.Worker, "choice": "draining",
			"draining": info.Draining, "leaving_ms": info.Leaving.Milliseconds()}).Info("worker updated")
	}
	if w.info.Born == 0 || info.Born != 0 {
		w.info, w.laterEntry = info, nil // this lifetime has written after the other
	}
	w.listed, w.rack = true, rackOf(w.info.Labels)
	if w.answered && w.unansweredCalls == 0 && !w.usedRowStored {
		t.markUsed(w) // its reports came while it was not listed
	}
}

// unlistWorker records that a worker is no longer in the list. Its runs may continue.
func (t *term) unlistWorker(w *worker) {
	w.laterEntry = nil
	if !w.listed {
		return
	}
	w.listed = false
	t.planDue = true
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "unlisted", "runs": len(w.runs),
		"answered_ms_ago": t.now.Sub(w.clockAt).Milliseconds()}).Info("worker left the list")
}

// removeWorker drops a lifetime of a worker that certainly runs nothing any more.
func (t *term) removeWorker(w *worker, reason string) {
	t.loseRuns(w, reason)
	t.markUnused(w)
	if t.workers[w.info.Worker] == w {
		delete(t.workers, w.info.Worker)
	}
	w.inherited = false
}

// confirmedAfter reports whether a transaction of this term that was sent after x has been applied. If x
// is past and none has been, it requests one.
func (t *term) confirmedAfter(x time.Time) bool {
	if t.confirmedAt.After(x) {
		return true
	}
	t.confirmationDue = t.confirmationDue || t.now.After(x)
	return false
}

// expireLeases marks the runs of workers whose leases have certainly ended as lost, and removes
// workers that have left. It waits for a transaction of this term that was sent after the end
// of a lease, which proves that no later leader has renewed the lease.
func (t *term) expireLeases() {
	for _, w := range t.workers {
		if w.inherited && !w.answered && t.confirmedAfter(t.lastLeaseEnd(w)) {
			t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "expired",
				"listed": w.listed, "lease_end_ms_ago": t.now.Sub(w.inheritedLeaseEnd).Milliseconds(), "term_ms": t.now.Sub(t.startedAt).Milliseconds()}).Warn("leases of an unreachable worker from earlier terms have ended")
			t.formerRunsLost = t.formerRunsLost || !w.runsKnown
			if w.laterEntry != nil { // that lifetime may have carried out orders for this one
				t.replaceWorker(w, *w.laterEntry)
				continue
			}
			t.removeWorker(w, reasonLeaseOver)
			if w.listed { // it may come back, but nothing from before can still run there
				t.workers[w.info.Worker] = newWorker(w.info)
			}
			continue
		}
		if w.departedIdle() && !t.now.Before(w.inheritedLeaseEnd) {
			t.markUnused(w)
			if !t.now.Before(w.leaseEnd()) { // if it comes back, its entry does not tell the leases
				t.removeWorker(w, "left")
			}
			continue
		}
		if w.unansweredCalls == 0 || w.clockAt.IsZero() || !t.confirmedAfter(w.leaseEnd()) {
			continue
		}
		if t.loseLapsedRuns(w); len(w.runs) > 0 {
			continue
		}
		if w.laterEntry != nil {
			t.replaceWorker(w, *w.laterEntry)
			continue
		}
		t.markUnused(w)
		if !w.listed && t.now.Sub(w.clockAt) > unreachableTimeout {
			t.removeWorker(w, "left")
		}
	}
	t.removeFinishedJobs()
	t.interference.dropStaleTrends(t.now)
}

const (
	// unreachableTimeout is how long an unreachable worker that is not listed is kept and
	// polled, and how long work waits for listed workers that are unreachable. It is the
	// length of three leases.
	unreachableTimeout = 15 * time.Second
	// retentionMargin is added to the retention time of finished jobs.
	retentionMargin = 30 * time.Second
	// finishedJobsInterval is the interval at which jobs are looked for that are past it.
	finishedJobsInterval = time.Second
)

// removeFinishedJobs drops finished jobs after their retention time and deletes their rows. A
// job that has moved to another cell is dropped when its last cell deletes its row, and one whose
// tasks are borrowed when it is cancelled.
func (t *term) removeFinishedJobs() {
	if t.now.Sub(t.finishedJobsCheckedAt) < finishedJobsInterval {
		return
	}
	t.finishedJobsCheckedAt = t.now
	t.removeEarlyCancellations()
	for key, j := range t.jobs {
		borrowed := len(j.borrowed) > 0 && !j.cancelled
		if j.movedTo == 0 && !borrowed && j.visibleState.Final() && !j.dirty && t.now.Sub(j.endedAt) > t.cfg.Bounds.Retention+retentionMargin {
			delete(t.jobs, key)
			go t.deleteJobRows(j.id, slices.Clone(j.previousCells), slices.Clone(j.borrowed), t.lentRows(j))
		}
	}
}

// removeEarlyCancellations drops old cancellations of unknown jobs. The rows of those of this cell are
// deleted: they were cancelled before they could be accepted.
func (t *term) removeEarlyCancellations() {
	for id, at := range t.earlyCancellations {
		own, age := t.layout.cellOf(id) == t.cell, t.now.Sub(at)
		switch {
		case own && age > t.cfg.Bounds.Retention+retentionMargin && t.jobs[id] == nil:
			go t.deleteCancellation(id)
		case own && t.jobs[id] == nil, !own && age <= earlyCancellationAge:
			continue
		}
		delete(t.earlyCancellations, id)
	}
}

// operatorChanged reports that the operators' table has changed. It carries no rows: its
// handler reads the node's copy of the table, so the order of these events does not matter.
type operatorChanged struct{}

func (operatorChanged) handle(t *term) {
	t.applyOperatorRows(t.operator.snapshot())
	t.planDue = true
}

// applyOperatorRows applies the rows of the operators' table.
func (t *term) applyOperatorRows(rows []Row) {
	out := map[model.DataCentre]bool{}
	for _, row := range rows {
		o := t.cfg.Decoder.OperatorRow(row)
		switch {
		case o.Configuration:
			t.applyConfiguration(row)
		case o.DataCentre != "":
			out[o.DataCentre] = true
			if !t.dataCentresOut[o.DataCentre] {
				t.log.WithFields(logrus.Fields{"decision": "data-centre", "dc": o.DataCentre, "out": true, "version": row.Version}).Info("data centre taken out of service")
			}
		case o.Wave != nil:
			t.addWave(*o.Wave)
		}
	}
	for dc := range t.dataCentresOut {
		if !out[dc] {
			t.log.WithFields(logrus.Fields{"decision": "data-centre", "dc": dc, "out": false}).Info("data centre back in service")
		}
	}
	t.dataCentresOut = out
}

// applyConfiguration applies a configuration unless it is older than the current one. Queues
// that it drops stay known for the jobs that they have accepted.
func (t *term) applyConfiguration(row Row) {
	c, err := t.operator.decode(t.cfg.Decoder, row)
	if err != nil {
		t.log.WithError(err).Error("ignored an undecodable configuration")
		return
	}
	if t.configuration != nil && c.Version <= t.configuration.Version {
		return
	}
	t.configuration = c
	for _, q := range c.Queues {
		t.queues[q.Name] = q
	}
	t.log.WithFields(logrus.Fields{"decision": "configuration", "version": c.Version, "queues": len(c.Queues)}).Info("configuration applied")
}

// restoreQueue restores the queue of a stored job that the configuration of this term lacks.
func (t *term) restoreQueue(r jobRecord) {
	if _, known := t.queues[r.Queue]; !known && r.Settings != nil {
		t.queues[r.Queue] = r.Settings.queue(r.Queue)
	}
}

// queueSettings returns the settings of a queue; nil if the term does not know it.
func (t *term) queueSettings(name string) *queueSettings {
	if q, known := t.queues[name]; known {
		return q.settings()
	}
	return nil
}
