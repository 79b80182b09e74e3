package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times of orders.
const (
	// stopRetryPause is the pause after a stop order that got no answer.
	stopRetryPause = 300 * time.Millisecond
	// taskRetryPause is the pause before a task is started again after a refusal.
	taskRetryPause = 20 * time.Millisecond
)

// startReply is the answer to a start order.
type startReply struct {
	run    *run
	worker *worker // to which the order was sent
	reply  WorkerReply
	err    error
	took   time.Duration
}

// startTask starts a task on a worker with enough free capacity.
func (t *term) startTask(j *job, key taskKey, w *worker, ticket string) *run {
	_, tk := j.task(key)
	return t.startAttempt(j, key, w, ticket, j.nextAttempt(tk, t.number), tk.checkpoint)
}

// startAttempt starts a task with a given attempt number and checkpoint, which the members
// of a gang share.
func (t *term) startAttempt(j *job, key taskKey, w *worker, ticket string, attempt int, checkpoint string) *run {
	occ, tk := j.task(key)
	step := &j.spec.Steps[key.step]
	tk.attempt = attempt
	idle := tk.account.idleTime(t.now)
	if len(tk.runs) == 0 {
		tk.account.startRun(occ.steps[key.step].readyAt, t.now)
	}
	r := &run{ref: RunRef{key.Name(j.id), attempt}, job: j, key: key, worker: w, step: step, reserved: step.Reserved(),
		startedAt: t.now, stateSince: t.now, progressAt: t.now, withdrawn: make(chan struct{}), pace: 100, paceClock: paceClock{since: t.now, pace: 100}, checkpoint: checkpoint, ticket: ticket, crashesBefore: tk.primeCrashes() > 0}
	w.attach(r, t.now)
	w.observeStart(r)
	tk.runs = append(tk.runs, r)
	if !j.started {
		// A node that reads the job's state from the store must not show an older one.
		j.started, j.dirty = true, true
	}
	t.log.WithFields(logrus.Fields{"decision": "place", "task": r.ref.Task, "attempt": attempt, "worker": w.info.Worker,
		"dc": w.info.DataCentre, "free_cpu": w.free().MilliCPU, "waited_ms": t.waitTime(j, key).Milliseconds(), "idle_ms": idle.Milliseconds(),
		"seen_ms_ago": t.now.Sub(w.clockAt).Milliseconds(), "held": j.holdsStart(step), "reason": startReason(tk, step)}).Info("task placed")
	switch {
	case j.holdsStart(step):
		j.dirty = true
		t.holdStart(r)
	case !step.Gang && t.freeCalls(1) == 0: // the members of a gang start together
		t.holdStart(r)
	default:
		t.orderStart(r)
	}
	return r
}

// orderStart sends the start order of a run that has its place on a worker.
func (t *term) orderStart(r *run) {
	r.state, r.stateSince = runSent, t.now
	w := r.worker
	o := StartOrder{RunRef: r.ref, Spec: r.job.spec.Text, Checkpoint: r.checkpoint, Ticket: r.ticket,
		Deadline: t.extendLease(w), Fence: t.number, Withdrawn: r.withdrawn}
	t.metrics.starts.Inc()
	go t.sendStart(r, w, w.info, o, t.answerTimeout.timeout(), t.callSlots.begin(t.now))
}

// waitTime returns the time since the task's step became ready.
func (t *term) waitTime(j *job, key taskKey) time.Duration {
	o := j.openOccurrenceAt(key.occurrence)
	return t.now.Sub(o.steps[key.step].readyAt)
}

func startReason(tk *task, step *Step) string {
	switch {
	case len(tk.runs) > 1:
		return "copy"
	case len(tk.failed) > 0:
		return "after-failure"
	case tk.checkpoint != "":
		return "resume"
	case tk.attempt > 1:
		return "again"
	case step.Lasting:
		return "lasting"
	}
	return "first"
}

func (t *term) sendStart(r *run, w *worker, info WorkerInfo, o StartOrder, limit time.Duration, slot uint64) {
	defer t.calls.begin(&t.calls.starts)()
	defer t.callSlots.end(slot)
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	sent := time.Now()
	reply, err := t.cfg.Workers.Start(ctx, info, o)
	t.post(startReply{r, w, reply, err, time.Since(sent)})
}

func (e startReply) handle(t *term) {
	r, w := e.run, e.run.worker
	t.answerTimeout.observe(e.took)
	defer t.sendHeldStarts()
	if e.err != nil && !notSent(e.err) {
		t.recordUnansweredStart(e.worker, r.ref)
	}
	if !e.mayHaveStarted() {
		t.withdrawUnansweredCrash(r)
	}
	if w.runs[r.ref] != r {
		return // the run has ended or was marked lost
	}
	r.sentTo = e.reply.SentTo
	if e.worker != w {
		t.applyFormerStartReply(r, e)
		return
	}
	if e.err != nil {
		t.handleUnansweredStart(r, e.err)
		return
	}
	w.observeReply(e.reply, t.now)
	if e.reply.Verdict == StartRunning {
		t.confirmStart(r)
		if pause := t.pollPause(); pause > 0 { // the start has set the lease
			w.nextPoll = latest(w.nextPoll, earliest(t.now.Add(pause), w.lastPollSent.Add(pollWait+maxPollPause)))
		}
		t.pollIfDue(w)
		return
	}
	t.handleRefusedStart(r, e.reply.Verdict)
}

// mayHaveStarted reports whether the worker may have started the run, now or later.
func (e startReply) mayHaveStarted() bool {
	if e.err != nil {
		return !notSent(e.err)
	}
	return e.reply.Verdict == StartRunning
}

// confirmStart records that a start order was carried out.
func (t *term) confirmStart(r *run) {
	r.answered = true
	if r.job != nil {
		r.job.begun = true
	}
	if r.state == runSent || r.state == runUnconfirmed {
		r.state, r.stateSince = runLive, t.now
		r.progressAt, r.stillFrom = t.now, r.paceClock.latest(t.now)
		if r.startPace > 0 {
			t.setPace(r, r.startPace)
			r.startPace = 0
		}
	}
}

// withdraw withdraws the start order of the run if it is not sent yet. An order may wait for a
// connection while other calls to the worker get no answer; it would be carried out long after
// the run was stopped or lost.
func (r *run) withdraw() {
	if r.withdrawn != nil {
		close(r.withdrawn)
		r.withdrawn = nil
	}
}

// notSent reports whether an order that failed with err was certainly not sent.
func notSent(err error) bool {
	return model.IsKind(err, model.KindUnavailable) || model.IsKind(err, model.KindExhausted)
}

// handleUnansweredStart handles a start order without an answer: the worker may carry it
// out now or later. If the order was certainly not sent, the run is lost at once.
func (t *term) handleUnansweredStart(r *run, err error) {
	w := r.worker
	var other *OtherLifetimeError
	switch {
	case errors.As(err, &other):
		t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "other-lifetime", "born": other.Born,
			"former": other.Meant.Born, "task": r.ref.Task, "attempt": r.ref.Attempt}).Warn("start order not sent: another lifetime of the worker answers")
		if w.unansweredCalls == 0 {
			t.probe(w) // its report begins the other lifetime
		}
		w.countUnanswered(t.now)
		t.markLost(r, reasonNotSent)
		return
	case notSent(err):
		withdrawn := r.withdrawn == nil // by the term, which says nothing about the worker
		t.markLost(r, reasonNotSent)
		if !withdrawn {
			t.recordNoAnswer(w, err)
		}
		return
	}
	t.recordNoAnswer(w, err)
	t.log.WithError(err).WithFields(logrus.Fields{"decision": "doubt", "task": r.ref.Task, "attempt": r.ref.Attempt,
		"worker": w.info.Worker}).Warn("start order got no answer")
	if r.state == runSent {
		r.state, r.stateSince = runUnconfirmed, t.now
	}
	t.probe(w)
}

// handleRefusedStart handles an answer by which the worker started nothing.
func (t *term) handleRefusedStart(r *run, v StartVerdict) {
	w := r.worker
	t.metrics.refusals.Inc()
	t.log.WithFields(logrus.Fields{"decision": "refused", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": w.info.Worker,
		"verdict": v, "free_cpu": w.free().MilliCPU}).Warn("worker refused the start order")
	switch v {
	case StartFenced:
		t.end("a worker has seen a higher fence")
		return
	case StartNoCapacity, StartUnhealthy:
		w.health.exclude(t.now)
		t.probe(w)
	case StartDeadlinePassed:
		t.probe(w) // its report tells its clock
	case StartOtherLifetime:
		t.handleReplacedLifetime(w)
	case StartNoTicket:
		t.dropTicket(r)
	case StartInvalid:
		if r.job != nil {
			t.log.WithField("task", r.ref.Task).Error("worker cannot decode the start order")
		}
		w.health.exclude(t.now)
	}
	t.markLost(r, reasonRefused)
	if _, tk := r.job.task(r.key); tk != nil {
		tk.notBefore = t.now.Add(taskRetryPause)
	}
}

// stopReply is the answer to a stop order.
type stopReply struct {
	run    *run
	worker *worker // to which the order was sent
	reply  WorkerReply
	err    error
}

// stopRun orders the worker to stop a run. The order is repeated until it is answered. The
// run's capacity is freed when the worker reports its end.
func (t *term) stopRun(r *run, reason string) {
	if r.state == runHeld { // the worker knows nothing of it
		t.markLost(r, reasonNotSent)
		return
	}
	if r.state != runStopping {
		r.withdraw()
		r.setStopping(reason, t.now)
		t.metrics.stops.WithLabelValues(reason).Inc()
		t.log.WithFields(logrus.Fields{"decision": "stop", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
			"reason": reason, "percent": r.percent, "reading": r.reading}).Info("stopping run")
	}
	if r.stopInFlight || r.stopAnswered || r.worker.runs[r.ref] != r {
		return
	}
	if t.freeCalls(1) == 0 {
		t.stopsWait = true // retryStops sends it
		return
	}
	r.stopInFlight = true
	go t.sendStop(r, r.worker, r.worker.info, t.answerTimeout.timeout(), t.callSlots.begin(t.now))
}

func (t *term) sendStop(r *run, w *worker, info WorkerInfo, limit time.Duration, slot uint64) {
	defer t.calls.begin(&t.calls.stops)()
	defer t.callSlots.end(slot)
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	reply, err := t.cfg.Workers.Stop(ctx, info, r.ref, t.number)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(stopRetryPause):
		}
	}
	t.post(stopReply{r, w, reply, err})
}

func (e stopReply) handle(t *term) {
	r, w := e.run, e.run.worker
	if e.worker != w {
		return // the run has passed to a new lifetime, which gets an order of its own
	}
	r.stopInFlight = false
	if w.runs[r.ref] != r {
		return
	}
	switch {
	case e.err != nil:
		// The runs of an unreachable worker end with its lease; until then retryStops repeats
		// the order.
		w.countUnanswered(t.now)
		return
	case e.reply.Verdict == StartFenced:
		t.end("a worker has seen a higher fence")
		return
	case e.reply.Verdict == StartOtherLifetime:
		t.handleReplacedLifetime(w)
		return
	case e.reply.Verdict == StartUnhealthy:
		return // the worker did nothing; retryStops repeats the order
	}
	w.observeReply(e.reply, t.now)
	r.stopAnswered, r.stateSince = true, t.now
	// The next report lists the end, or the run never existed.
	w.pollWithoutWait = true
	if !w.pollInFlight {
		w.nextPoll = t.now
		t.poll(w)
	} else {
		t.probe(w)
	}
}

// retryStops sends stop orders that waited for a slot, and repeats those that got no answer. It skips
// workers after five failed calls in a row.
func (t *term) retryStops() {
	if t.stopping {
		return
	}
	t.stopsWait = false
	for _, w := range t.workers {
		if w.unansweredCalls > 4 {
			continue
		}
		for _, r := range w.runs {
			if r.state == runStopping && !r.stopInFlight && !r.stopAnswered {
				t.stopRun(r, r.stopReason)
			}
		}
	}
}

// Reasons of runs that are marked lost.
const (
	// reasonLeaseOver: the worker did not answer for longer than its lease.
	reasonLeaseOver = "lease-over"
	// reasonRestarted: the worker runs no more.
	reasonRestarted = "worker-restarted"
	// reasonNotSent and reasonRefused: the worker did not get the start, or refused it.
	reasonNotSent, reasonRefused = "not-sent", "refused"
	// reasonMissing and reasonStoppedUnseen: a complete report lists neither the run nor its end, after it
	// was started and after it was stopped.
	reasonMissing, reasonStoppedUnseen = "missing", "stopped-unseen"
)

// markLost drops a run that has certainly stopped although no end was reported.
func (t *term) markLost(r *run, reason string) {
	r.withdraw()
	r.worker.detach(r, t.now)
	t.planDue = true
	if r.job == nil {
		return
	}
	_, tk := r.job.task(r.key)
	if tk == nil {
		return
	}
	t.dropRun(tk, r)
	tk.mayBeDone = tk.mayBeDone || r.mayHaveEndedUnseen(reason)
	r.job.leaseExpired = r.job.leaseExpired || reason == reasonLeaseOver
	t.saveCheckpoint(r.job, tk, r, r.checkpoint)
	tk.account.endRun(r, false, tk.checkpoint != "", t.now)
	r.job.runEndedAt = t.now
	t.log.WithFields(logrus.Fields{"decision": "end", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
		"choice": "lost", "reason": reason, "seen_ms": r.seenRunning().Milliseconds()}).Info("run lost")
}

// mayHaveEndedUnseen reports whether a run that is lost for a reason may have ended without being listed.
func (r *run) mayHaveEndedUnseen(reason string) bool {
	switch {
	case r.answered:
		return true
	case reason == reasonNotSent || reason == reasonRefused || r.state == runHeld:
		return false
	case reason == reasonMissing || reason == reasonStoppedUnseen:
		return r.passed // an earlier lifetime may have carried the start out
	}
	return true
}

func (t *term) dropRun(tk *task, r *run) {
	if i := slices.Index(tk.runs, r); i >= 0 {
		tk.runs = slices.Delete(tk.runs, i, i+1)
	}
}

// saveCheckpoint keeps a run's newest checkpoint for the next start. The tasks of a gang
// share one checkpoint.
func (t *term) saveCheckpoint(j *job, tk *task, r *run, saved string) {
	if saved == "" || tk.done || r.step == nil || !r.step.Checkpoints {
		return
	}
	j.dirty = true
	tk.checkpoint = saved
	if r.step.Gang {
		o := j.openOccurrenceAt(r.key.occurrence)
		for i := range o.steps[r.key.step].tasks {
			o.steps[r.key.step].tasks[i].checkpoint = saved
		}
	}
}

// applyTaskEnd applies a reported end to its job. Run r is nil if this term does not know it.
func (t *term) applyTaskEnd(w *worker, j *job, key taskKey, r *run, e RunEnd) {
	if r != nil {
		if _, tk := j.task(key); tk != nil {
			t.dropRun(tk, r)
		}
	}
	t.metrics.ends.WithLabelValues(string(e.How)).Inc()
	fields := logrus.Fields{"decision": "end", "task": e.Task, "attempt": e.Attempt, "worker": w.info.Worker, "choice": e.How, "number": e.Number}
	if r != nil {
		fields["ran_ms"] = t.now.Sub(r.startedAt).Milliseconds()
		fields["reason"] = r.stopReason
	}
	t.log.WithFields(fields).Info("run ended")
	if j.visibleState.Final() || j.cancelled {
		return
	}
	o, tk := j.task(key)
	if tk == nil {
		return
	}
	tk.attempt = max(tk.attempt, e.Attempt)
	t.withdrawCrash(j, tk, e.Attempt)
	j.dirty = true
	j.started, j.begun = true, true // an earlier term may have started it without storing that
	if r == nil {
		r = &run{ref: e.RunRef, job: j, key: key, worker: w, step: &j.spec.Steps[key.step], startedAt: t.now}
	}
	tk.account.endRun(r, e.How == EndDone, e.Checkpoint != "" || r.checkpoint != "", t.now)
	j.runEndedAt = t.now
	switch e.How {
	case EndDone:
		t.completeTask(w, j, o, key, r)
	case EndFailed:
		t.saveCheckpoint(j, tk, r, e.Checkpoint)
		t.recordTaskFailure(w, j, key, r)
	default:
		saved := e.Checkpoint
		if saved == "" {
			saved = r.checkpoint
		}
		t.saveCheckpoint(j, tk, r, saved)
		if r.step.Gang && !r.step.Lasting && e.How != EndStopped {
			t.stopGang(j, key, "member-ended")
		}
	}
	if j.over() {
		t.stopFinishedJob(j)
	}
}

// completeTask records a finished task and stops its other copies. The end of one member
// of a gang completes all members.
func (t *term) completeTask(w *worker, j *job, o *occurrence, key taskKey, r *run) {
	t.observeCompletedRun(w, r)
	if r.step.Lasting {
		return
	}
	keys := []taskKey{key}
	if r.step.Gang {
		keys = keys[:0]
		for i := range o.steps[key.step].tasks {
			keys = append(keys, taskKey{key.occurrence, key.step, i})
		}
	}
	for _, k := range keys {
		_, tk := j.task(k)
		if tk == nil {
			return
		}
		others := slices.Clone(tk.runs)
		j.finishTask(k, t.now)
		if r.step.Gang {
			continue // the other members finish by themselves
		}
		for _, other := range others {
			t.stopRun(other, "copy-done")
		}
	}
}

// mayQuarantine reports whether at least half of the listed workers of a service stay in use without
// w. Failures on most of them say more about the tasks than about the workers.
func (t *term) mayQuarantine(w *worker) bool {
	listed, inUse := 0, 0
	for _, other := range t.workers {
		if !other.listed || other.info.Service != w.info.Service {
			continue
		}
		listed++
		if other != w && !other.health.excluded(t.now) {
			inUse++
		}
	}
	return 2*inUse >= listed
}

// recordTaskFailure counts a failure against the task's budget and the worker.
func (t *term) recordTaskFailure(w *worker, j *job, key taskKey, r *run) {
	before := w.health.excludedUntil
	w.health.recordFailure(t.now, t.mayQuarantine(w))
	if w.health.excludedUntil.After(before) {
		t.log.WithFields(logrus.Fields{"decision": "rest", "worker": w.info.Worker, "failures": w.health.failures,
			"until_ms": w.health.excludedUntil.Sub(t.now).Milliseconds()}).Warn("worker quarantined: its tasks fail")
	}
	if _, tk := j.task(key); tk != nil {
		tk.failedOn = append(tk.failedOn, w.info.Worker)
	}
	q := t.queues[j.queue]
	if r.step.Gang {
		o := j.openOccurrenceAt(key.occurrence)
		for i := range o.steps[key.step].tasks {
			j.failTask(taskKey{key.occurrence, key.step, i}, r.ref.Attempt, q.MaxAttempts, t.now)
		}
		t.stopGang(j, key, "member-failed")
		return
	}
	j.failTask(key, r.ref.Attempt, q.MaxAttempts, t.now)
}

// stopGang stops the remaining members of a gang after one has ended. They cannot finish
// without it; all members start again together.
func (t *term) stopGang(j *job, key taskKey, reason string) {
	o := j.openOccurrenceAt(key.occurrence)
	if o == nil {
		return
	}
	for i := range o.steps[key.step].tasks {
		for _, r := range slices.Clone(o.steps[key.step].tasks[i].runs) {
			if r.live() {
				t.stopRun(r, reason)
			}
		}
	}
}

// stopFinishedJob stops the remaining runs of a job that has ended.
func (t *term) stopFinishedJob(j *job) {
	if j.endedAt.IsZero() {
		j.endedAt = t.now
	}
	for _, w := range t.workers {
		for _, r := range w.runs {
			if r.job == j && r.live() && !(j.state() == StateCompleted && r.step.Gang) {
				t.stopRun(r, "job-over") // members of a completed gang finish by themselves
			}
		}
	}
	t.log.WithFields(t.accountFields(j)).Info("job ended")
}
