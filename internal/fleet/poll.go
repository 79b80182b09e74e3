package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Times of polls.
const (
	// pollWait is how long a worker may hold its answer to a poll. It is also the interval
	// of progress reports, by which hung tasks and disturbed services are detected.
	pollWait = 1000 * time.Millisecond
	// pollRetryPause is the pause after a poll without an answer.
	pollRetryPause = 200 * time.Millisecond
	// unreachablePollPause is the pause after more than three unanswered calls in a row.
	unreachablePollPause = 700 * time.Millisecond
	// unstoredEndsPollPause is the pause between polls while a delayed transaction keeps
	// reported ends from being stored.
	unstoredEndsPollPause = 250 * time.Millisecond
	// recordedPollPause is the pause between polls of a worker that answers while a lease record
	// is stored for it.
	recordedPollPause = 250 * time.Millisecond
	// doubtPollPause is the pause between polls of a worker that may not have begun a run.
	doubtPollPause = 100 * time.Millisecond
	// idlePollInterval is the interval between polls of a worker that runs nothing. Its clock may be
	// slow, so that the lease of its next task is shorter the longer ago its last answer is.
	idlePollInterval = 60 * time.Second
)

// pollReply is the answer to a poll.
type pollReply struct {
	worker *worker
	order  PollOrder
	report Report
	err    error
	sent   time.Time
	// probe marks a probe, which is sent beside the worker's regular polls, later one to the address of its
	// laterEntry.
	probe, later bool
	took         time.Duration
}

// schedulePolls sends the polls that are due, as many as the host carries, see pollOrder.
func (t *term) schedulePolls() {
	var due []*worker
	for _, w := range t.workers {
		if t.pollDue(w) {
			due = append(due, w)
		}
	}
	free := t.freePolls(len(due))
	if free < len(due) {
		slices.SortFunc(due, pollOrder)
	}
	for _, w := range due[:free] {
		t.poll(w)
	}
}

// pollOrder is the order of polls that are due: those that have waited longest go first. Among workers that have
// not answered the term, those that were not asked yet go before those that left calls unanswered, then those
// that may hold runs of earlier terms, whose leases end.
func pollOrder(a, b *worker) int {
	rank := func(w *worker) int {
		if w.inherited {
			return 0
		}
		return 1
	}
	return cmp.Or(a.nextPoll.Compare(b.nextPoll), cmp.Compare(a.unansweredCalls, b.unansweredCalls), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.info.Worker, b.info.Worker))
}

// pollIfDue polls a worker at once if that is due and the host carries it; else schedulePolls does.
func (t *term) pollIfDue(w *worker) {
	if t.pollDue(w) && t.freePolls(1) > 0 {
		t.poll(w)
	}
}

// pollDue reports whether w must be polled now: it has runs or ends to acknowledge, has not
// answered in this term, did not answer its last call, or has been idle for idlePollInterval.
func (t *term) pollDue(w *worker) bool {
	if w.pollInFlight || t.now.Before(w.nextPoll) || t.stopping {
		return false
	}
	wanted := !w.reached() || w.holdsRuns() || w.lastAckedEnd < w.lastStoredEnd || w.unansweredCalls > 0 || t.now.Sub(w.clockAt) > idlePollInterval
	return wanted && (w.listed || w.inherited || w.holdsRuns() || w.lastAckedEnd < w.lastStoredEnd)
}

// poll asks a worker for its report and extends its lease.
func (t *term) poll(w *worker) {
	o := PollOrder{Fence: t.number}
	// The next lifetime numbers its ends from 1 too and would forget those that it has, so nothing
	// is acknowledged twice, or before a worker that left a call unanswered has told its lifetime.
	if w.unansweredCalls == 0 && w.lastAckedEnd < w.lastStoredEnd {
		o.Acknowledged = w.lastStoredEnd
	}
	if len(w.runs) > 0 && w.answered && w.unansweredCalls == 0 && w.lastStoredEnd == w.lastSeenEnd && !w.pollWithoutWait && w.leaseRecordTerm == 0 && !w.hasRunInDoubt() {
		o.Wait = pollWait
		if w.lowHeadroom {
			o.Wait = lowHeadroomPollInterval
		}
	}
	// The lease of a worker that does not answer is not extended, so that it ends at a
	// known time.
	if w.holdsRuns() && w.reached() && w.unansweredCalls == 0 && w.leaseRecordTerm == 0 && t.active() {
		o.Deadline = t.offerLease(w)
	}
	w.pollInFlight, w.pollWithoutWait = true, false
	if w.laterEntry != nil && t.loaded {
		t.probeLater(w)
	}
	t.metrics.polls.Inc()
	go t.sendPoll(pollReply{worker: w, order: o}, w.info, t.answerTimeout.timeout(), t.pollSlots.begin(t.now))
}

// probe asks a worker for its report at once, even while a poll is in flight. It acknowledges
// nothing.
func (t *term) probe(w *worker) {
	t.metrics.polls.Inc()
	go t.sendPoll(pollReply{worker: w, order: PollOrder{Fence: t.number}, probe: true}, w.info, t.answerTimeout.timeout(), t.pollSlots.begin(t.now))
}

// probeLater asks for the report of a later lifetime of w that has another address.
func (t *term) probeLater(w *worker) {
	if w.laterEntry.Addr == w.info.Addr {
		return
	}
	t.metrics.polls.Inc()
	go t.sendPoll(pollReply{worker: w, order: PollOrder{Fence: t.number}, probe: true, later: true}, *w.laterEntry, t.answerTimeout.timeout(), t.pollSlots.begin(t.now))
}

// sendPoll sends the poll that e describes and posts e with its result.
func (t *term) sendPoll(e pollReply, info WorkerInfo, limit time.Duration, slot uint64) {
	defer t.calls.begin(&t.calls.polls)()
	defer t.pollSlots.end(slot)
	ctx, cancel := context.WithTimeout(t.ctx, e.order.Wait+limit)
	defer cancel()
	e.sent = time.Now()
	e.report, e.err = t.cfg.Workers.Poll(ctx, info, e.order)
	e.took = time.Since(e.sent)
	t.post(e)
}

func (e pollReply) handle(t *term) {
	w := e.worker
	if e.order.Wait == 0 || e.err != nil {
		t.answerTimeout.observe(e.took - e.order.Wait)
	}
	if !e.probe {
		w.pollInFlight = false
		w.settleOffer(e)
	}
	if t.workers[w.info.Worker] != w {
		return // it has started again or left since
	}
	if e.later && !e.confirmsEntry() {
		return // it says nothing of this lifetime
	}
	if !t.loaded {
		t.keepEarlyReport(w, e)
		return
	}
	if e.err == nil && w.isOtherLifetime(e.report.Born) {
		e.logOtherLifetime(t)
		w = t.replaceByReport(w, e.report.Born)
		e.report.Acknowledged = 0 // an end of the former lifetime
	} else {
		t.settleLaterLifetime(w, e)
	}
	switch {
	case e.err != nil:
		t.recordNoAnswer(w, e.err)
	case e.report.Verdict == StartOtherLifetime:
		t.handleReplacedLifetime(w)
	case e.report.Verdict == StartFenced:
		t.end("a worker has seen a higher fence")
	case e.report.Verdict != StartRunning:
		w.countUnanswered(t.now)
		w.nextPoll = t.now.Add(pollRetryPause)
	default:
		t.applyReport(w, e)
	}
}

// logOtherLifetime logs what a poll that was meant for another lifetime than the one that has answered it carried.
func (e pollReply) logOtherLifetime(t *term) {
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": e.worker.info.Worker, "choice": "other-lifetime", "born": e.report.Born,
		"former": e.worker.info.Born, "clock_ms": e.report.Clock.Milliseconds(), "deadline_ms": e.order.Deadline.Milliseconds(),
		"acknowledged": e.report.Acknowledged, "took_ms": e.took.Milliseconds(), "probe": e.probe}).Warn("another lifetime of the worker has answered a poll")
}

// recordNoAnswer records a call without an answer and delays the next poll.
func (t *term) recordNoAnswer(w *worker, err error) {
	w.countUnanswered(t.now)
	pause := pollRetryPause
	if w.unansweredCalls > 3 {
		pause = unreachablePollPause
	}
	w.nextPoll = t.now.Add(pause)
	t.metrics.unanswered.Inc()
	t.suspectCrash(w, err)
	if w.unansweredCalls == 1 {
		t.log.WithError(err).WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "unreachable",
			"runs": len(w.runs), "answered_ms_ago": t.now.Sub(w.clockAt).Milliseconds()}).Warn("worker does not answer")
	}
}

// handleReplacedLifetime handles an answer from a worker with another id at the worker's address:
// all runs are lost.
func (t *term) handleReplacedLifetime(w *worker) {
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "replaced", "runs": len(w.runs)}).Warn("another worker has taken the address; the runs are lost")
	t.observeEnd(w)
	t.loseRuns(w, reasonRestarted)
	w.runsKnown = true // none, those of earlier terms included
	t.markUnused(w)
	w.countUnanswered(t.now)
	w.nextPoll = t.now.Add(unreachablePollPause)
	t.planDue = true
}

// applyReport updates the leader's view of a worker from its report, and polls it again where that is due.
func (t *term) applyReport(w *worker, e pollReply) {
	t.takeReport(w, e)
	t.pollIfDue(w)
}

// takeReport updates the leader's view of a worker from its report.
func (t *term) takeReport(w *worker, e pollReply) {
	fresh := e.report.Clock >= w.clock
	if w.unansweredCalls > 0 {
		t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "reachable", "failures": w.unansweredCalls}).Info("worker answers again")
	}
	w.observeClock(e.report.Clock, t.now)
	w.lastAckedEnd = max(w.lastAckedEnd, e.report.Acknowledged)
	first := !w.answered
	w.answered, w.endsCut = true, e.report.EndsCut
	if fresh {
		w.interferenceView, w.pacesDue = nil, true
		w.lastPollSent = e.sent
		t.applyRunning(w, e.report.Running)
	}
	for _, end := range e.report.Ended {
		t.applyEnd(w, end)
	}
	if fresh {
		t.resolveMissingRuns(w, e)
	}
	w.nextPoll = t.now
	switch {
	case w.withheld > 1: // the worker may close each connection after its answer
		w.nextPoll = t.now.Add(pollRetryPause)
	case w.lastStoredEnd < w.lastSeenEnd && len(e.report.Ended) > 0 && t.commitDelayed():
		w.nextPoll = t.now.Add(unstoredEndsPollPause)
	case w.lastStoredEnd < w.lastSeenEnd:
		w.nextPoll = t.now.Add(tickInterval * 2) // a completed transaction polls sooner
	case w.hasRunInDoubt():
		w.nextPoll = t.now.Add(doubtPollPause)
	}
	if first {
		t.logFirstAnswer(w)
		t.fenceWorker(w)
		t.refuseUnansweredStarts(w)
		t.planDue = true
	}
	w.inherited = w.inherited && w.endsCut
	if !w.usedRowStored || w.leaseRecordTerm > 0 {
		t.markUsed(w)
	}
	if w.leaseRecordTerm > 0 {
		w.nextPoll = t.now.Add(recordedPollPause) // a poll that extends the leases follows the plain row
	}
	if !w.lowHeadroom && !w.hasRunInDoubt() {
		w.nextPoll = latest(w.nextPoll, t.now.Add(t.pollPause()))
	}
}

// promptAnswer is the time from the start of a term within which most workers answer it first.
const promptAnswer = 500 * time.Millisecond

// logFirstAnswer logs when a worker has first answered the term: it obeys no former leader from then
// on. The many answers that come promptly are logged at debug level.
func (t *term) logFirstAnswer(w *worker) {
	after := t.now.Sub(t.startedAt)
	level := logrus.InfoLevel
	if after < promptAnswer {
		level = logrus.DebugLevel
	}
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "fenced", "inherited": w.inherited,
		"running": len(w.runs), "term_ms": after.Milliseconds()}).Log(level, "worker has answered the term")
}

// applyRunning updates known runs from a report and adopts unknown ones of earlier terms.
func (t *term) applyRunning(w *worker, running []RunStatus) {
	for _, s := range running {
		r := w.runs[s.RunRef]
		if r == nil {
			if r = t.adopt(w, s); r == nil {
				continue
			}
		}
		r.observeProgress(s, t.now)
		r.listed = true
		t.confirmStart(r)
		if r.crashed || r.crashesBefore {
			t.observeSurvival(r)
		}
		t.observeServingRun(r)
	}
}

// adopt takes over a run that this term has not started. It stops the run if its job is
// over or unknown.
func (t *term) adopt(w *worker, s RunStatus) *run {
	id, key, ok := parseTask(s.Task)
	j := t.jobOfTask(id, key)
	r := &run{ref: s.RunRef, worker: w, state: runLive, startedAt: t.now, stateSince: t.now, pace: 100, adopted: true}
	if !ok || j == nil || !t.loaded {
		if t.loaded {
			t.log.WithFields(logrus.Fields{"decision": "stop", "task": s.Task, "attempt": s.Attempt, "worker": w.info.Worker, "reason": "unknown"}).Warn("stopping a run of an unknown job")
			w.attach(r, t.now)
			t.stopRun(r, "unknown")
		}
		return nil
	}
	r.job, r.key = j, key
	_, tk := j.task(key)
	if key.step < len(j.spec.Steps) {
		r.step = &j.spec.Steps[key.step]
		r.reserved = r.step.Reserved()
		if r.step.Filler {
			r.pace, r.paceUnknown = 0, true
		}
	}
	w.attach(r, t.now)
	if tk == nil && !j.over() && r.step != nil && key.occurrence < j.spec.Occurrences() && !j.finishedOccurrences[key.occurrence] {
		j.openOccurrence(key.occurrence, j.dueAt(key.occurrence, t.monotonicTime), t.now)
		_, tk = j.task(key)
	}
	if tk == nil || tk.done || j.over() {
		t.stopRun(r, "over")
		return r
	}
	tk.attempt = max(tk.attempt, s.Attempt)
	tk.runs = append(tk.runs, r)
	r.crashesBefore = len(tk.crashes) > 0
	j.started, j.dirty = true, j.dirty || !j.started
	t.log.WithFields(logrus.Fields{"decision": "adopt", "task": s.Task, "attempt": s.Attempt, "worker": w.info.Worker, "percent": s.Percent}).Log(t.rowLogLevel(), "run adopted")
	t.adoptedRuns++
	if len(tk.runs) > 1 && !r.step.Speculative {
		t.stopSupersededRuns(tk)
	}
	return r
}

// stopSupersededRuns stops all runs of a task except that of the latest attempt.
func (t *term) stopSupersededRuns(tk *task) {
	latest := slices.MaxFunc(tk.runs, func(a, b *run) int { return cmp.Compare(a.ref.Attempt, b.ref.Attempt) })
	for _, r := range slices.Clone(tk.runs) {
		if r != latest && r.live() {
			t.log.WithFields(logrus.Fields{"task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
				"latest": latest.ref.Attempt, "latest_worker": latest.worker.info.Worker}).Error("task has two runs")
			t.stopRun(r, "superseded")
		}
	}
}

// resolveMissingRuns handles runs that are missing from a report although the poll was sent
// after the run entered its present state. While ends are missing from the report, a run may have
// ended without being listed.
func (t *term) resolveMissingRuns(w *worker, e pollReply) {
	if e.report.EndsCut {
		return
	}
	listed := make(map[RunRef]bool, len(e.report.Running))
	for _, s := range e.report.Running {
		listed[s.RunRef] = true
	}
	for ref, r := range w.runs {
		if listed[ref] || !e.sent.After(r.stateSince) {
			continue
		}
		if !r.passed {
			t.withdrawUnansweredCrash(r) // the worker has not crashed
		}
		switch r.state {
		case runUnconfirmed:
			t.stopRun(r, "start-unanswered")
		case runLive:
			t.markLost(r, reasonMissing)
		case runStopping:
			if r.stopAnswered {
				t.settleUnansweredStart(w, ref)
				t.markLost(r, reasonStoppedUnseen)
			} else if e.sent.After(r.startArrivesBy()) {
				t.markLost(r, reasonMissing)
			}
		}
	}
}

// applyEnd processes an end that a worker reports, once.
func (t *term) applyEnd(w *worker, e RunEnd) {
	if e.Number <= w.lastSeenEnd {
		return
	}
	w.lastSeenEnd = e.Number
	id, key, ok := parseTask(e.Task)
	r := w.runs[e.RunRef]
	if r != nil {
		w.detach(r, t.now)
		t.lostMayStart = t.lostMayStart || t.hasRoomForLost(w)
		if r.job == nil {
			r = nil // only its stop was known
		}
	}
	j := t.jobOfTask(id, key)
	if r != nil {
		j = t.jobs[r.job.key()]
	}
	if !ok || j == nil {
		return
	}
	t.planDue = true
	t.applyTaskEnd(w, j, key, r, e)
}
