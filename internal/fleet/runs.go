package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times of orders.
const (
	// retryStop is the pause between stops that get no answer.
	retryStop = 300 * time.Millisecond
	// retryTask is the pause before a task is started again after a refusal.
	retryTask = 20 * time.Millisecond
)

// startDone is the answer to a start.
type startDone struct {
	run   *run
	reply WorkerReply
	err   error
	took  time.Duration
}

// start sends a task to a worker that has room for it.
func (t *term) start(j *job, key taskKey, w *worker, ticket string) {
	_, tk := j.task(key)
	t.startAs(j, key, w, ticket, j.nextAttempt(tk, t.number), tk.checkpoint)
}

// startAs sends a task with a given attempt number, as members of a gang share.
func (t *term) startAs(j *job, key taskKey, w *worker, ticket string, attempt int, checkpoint string) {
	_, tk := j.task(key)
	step := &j.spec.Steps[key.step]
	tk.attempt = attempt
	r := &run{ref: RunRef{key.Name(j.id), attempt}, job: j, key: key, worker: w, step: step, reserved: step.Reserved(),
		since: t.now, changed: t.now, moved: t.now, pace: 100, checkpoint: checkpoint, ticket: ticket}
	w.attach(r, t.now)
	tk.runs = append(tk.runs, r)
	o := StartOrder{RunRef: r.ref, Spec: j.spec.Text, Checkpoint: checkpoint, Ticket: ticket,
		Deadline: w.deadline(t.now, t.leaseLength()), Fence: t.number}
	if !j.started {
		j.started = true
		if j.shown == StateQueued {
			j.shown = StateRunning
		}
	}
	t.counters.starts.Inc()
	t.log.WithFields(logrus.Fields{"decision": "place", "task": r.ref.Task, "attempt": attempt, "worker": w.info.Worker,
		"dc": w.info.DataCentre, "free_cpu": w.free().MilliCPU, "waited_ms": t.waited(j, key).Milliseconds(),
		"seen_ms_ago": t.now.Sub(w.clockAt).Milliseconds(), "reason": startReason(tk, step)}).Info("start")
	go t.sendStart(r, w.info, o, t.answers.limit())
}

// waited is the time since the task's step was ready.
func (t *term) waited(j *job, key taskKey) time.Duration {
	o := j.find(key.occurrence)
	return t.now.Sub(o.steps[key.step].ready)
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

func (t *term) sendStart(r *run, info WorkerInfo, o StartOrder, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	sent := time.Now()
	reply, err := t.cfg.Workers.Start(ctx, info, o)
	t.post(startDone{r, reply, err, time.Since(sent)})
}

func (e startDone) handle(t *term) {
	r, w := e.run, e.run.worker
	t.answers.observe(e.took)
	if w.runs[r.ref] != r {
		return // ended or lost meanwhile
	}
	if e.err != nil {
		t.startUnanswered(r, e.err)
		return
	}
	if e.reply.Clock > 0 {
		w.observe(e.reply.Clock, t.now)
	}
	if e.reply.Verdict == StartRunning {
		r.confirmed = t.now
		if r.state == runSent || r.state == runDoubt {
			r.state, r.changed = runLive, t.now
			r.moved = t.now
		}
		if t.lookDue(w) {
			t.look(w)
		}
		return
	}
	t.startRefused(r, e.reply.Verdict)
}

// startUnanswered handles a start that may be carried out now or later. When
// nothing was sent, nothing can follow.
func (t *term) startUnanswered(r *run, err error) {
	w := r.worker
	t.silent(w, err)
	if model.IsKind(err, model.KindUnavailable) {
		t.lose(r, "not-sent")
		return
	}
	t.log.WithError(err).WithFields(logrus.Fields{"decision": "doubt", "task": r.ref.Task, "attempt": r.ref.Attempt,
		"worker": w.info.Worker}).Warn("start without an answer")
	if r.state == runSent {
		r.state, r.changed = runDoubt, t.now
	}
	t.probe(w)
}

// startRefused handles an answer that says that nothing was started.
func (t *term) startRefused(r *run, v StartVerdict) {
	w := r.worker
	t.counters.refusals.Inc()
	t.log.WithFields(logrus.Fields{"decision": "refused", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": w.info.Worker,
		"verdict": v, "free_cpu": w.free().MilliCPU}).Warn("start refused")
	switch v {
	case StartFenced:
		t.retire("a worker has seen a higher fence")
		return
	case StartNoRoom, StartUnhealthy:
		w.health.pause(t.now)
		t.probe(w)
	case StartOtherLife:
		t.otherLife(w)
	case StartNoTicket:
		t.dropTicket(r)
	case StartInvalid:
		if r.job != nil {
			t.log.WithField("task", r.ref.Task).Error("worker cannot read the order")
		}
		w.health.pause(t.now)
	}
	t.lose(r, "refused")
	if _, tk := r.job.task(r.key); tk != nil {
		tk.notBefore = t.now.Add(retryTask)
	}
}

// stopDone is the answer to a stop.
type stopDone struct {
	run   *run
	reply WorkerReply
	err   error
}

// stop ends a run. The stop is repeated until it is answered; the run's capacity
// is free when its end is listed.
func (t *term) stop(r *run, reason string) {
	if r.state != runStopping {
		r.state, r.changed, r.reason = runStopping, t.now, reason
		t.counters.stops.WithLabelValues(reason).Inc()
		t.log.WithFields(logrus.Fields{"decision": "stop", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
			"reason": reason, "percent": r.percent, "reading": r.reading}).Info("stop")
	}
	if r.stopSent || r.stopped || r.worker.runs[r.ref] != r {
		return
	}
	r.stopSent = true
	go t.sendStop(r, r.worker.info, t.answers.limit())
}

func (t *term) sendStop(r *run, info WorkerInfo, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	reply, err := t.cfg.Workers.Stop(ctx, info, r.ref, t.number)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(retryStop):
		}
	}
	t.post(stopDone{r, reply, err})
}

func (e stopDone) handle(t *term) {
	r, w := e.run, e.run.worker
	r.stopSent = false
	if w.runs[r.ref] != r {
		return
	}
	switch {
	case e.err != nil:
		// A silent worker's runs end with its lease; sweepRuns repeats the stop.
		w.failures++
		return
	case e.reply.Verdict == StartFenced:
		t.retire("a worker has seen a higher fence")
		return
	case e.reply.Verdict == StartOtherLife:
		t.otherLife(w)
		return
	case e.reply.Verdict == StartUnhealthy:
		return // nothing was done; sweepRuns repeats the stop
	}
	w.observe(e.reply.Clock, t.now)
	r.stopped, r.changed = true, t.now
	// The end shows in the next report, or the run was never there.
	w.probe = true
	if !w.lookBusy {
		w.nextLook = t.now
		t.look(w)
	} else {
		t.probe(w)
	}
}

// sweepRuns repeats stops that got no answer and probes for stopped runs whose
// end has not shown.
func (t *term) sweepRuns() {
	if t.stopping {
		return
	}
	for _, w := range t.workers {
		if w.failures > 4 {
			continue
		}
		for _, r := range w.runs {
			if r.state == runStopping && !r.stopSent && !r.stopped {
				t.stop(r, r.reason)
			}
		}
	}
}

// leaseOver is the reason of runs that are given up as their worker was silent for longer
// than its lease.
const leaseOver = "lease-over"

// lose drops a run that certainly does not work any more and has no listed end.
func (t *term) lose(r *run, reason string) {
	r.worker.detach(r, t.now)
	t.dirty = true
	if r.job == nil {
		return
	}
	_, tk := r.job.task(r.key)
	if tk == nil {
		return
	}
	t.dropRun(tk, r)
	r.job.lapsed = r.job.lapsed || reason == leaseOver
	t.saveCheckpoint(r.job, tk, r, r.checkpoint)
	t.log.WithFields(logrus.Fields{"decision": "end", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
		"choice": "lost", "reason": reason}).Info("end")
}

func (t *term) dropRun(tk *task, r *run) {
	if i := slices.Index(tk.runs, r); i >= 0 {
		tk.runs = slices.Delete(tk.runs, i, i+1)
	}
}

// saveCheckpoint keeps a run's newest checkpoint for the next start. Gangs share
// one value.
func (t *term) saveCheckpoint(j *job, tk *task, r *run, saved string) {
	if saved == "" || tk.done || r.step == nil || !r.step.Checkpoints {
		return
	}
	j.dirty = true
	tk.checkpoint = saved
	if r.step.Gang {
		o := j.find(r.key.occurrence)
		for i := range o.steps[r.key.step].tasks {
			o.steps[r.key.step].tasks[i].checkpoint = saved
		}
	}
}

// endTask applies a listed end to its job.
func (t *term) endTask(w *worker, j *job, key taskKey, r *run, e RunEnd) {
	if r != nil {
		if _, tk := j.task(key); tk != nil {
			t.dropRun(tk, r)
		}
	}
	t.counters.ends.WithLabelValues(string(e.How)).Inc()
	fields := logrus.Fields{"decision": "end", "task": e.Task, "attempt": e.Attempt, "worker": w.info.Worker, "choice": e.How, "number": e.Number}
	if r != nil {
		fields["ran_ms"] = t.now.Sub(r.since).Milliseconds()
		fields["reason"] = r.reason
	}
	t.log.WithFields(fields).Info("end")
	if j.shown.Final() || j.cancelled {
		return
	}
	o, tk := j.task(key)
	if tk == nil {
		return
	}
	tk.attempt = max(tk.attempt, e.Attempt)
	j.dirty = true
	j.started = true // perhaps by an earlier term, which had no time to store it
	if r == nil {
		r = &run{ref: e.RunRef, job: j, key: key, worker: w, step: &j.spec.Steps[key.step], since: t.now}
	}
	switch e.How {
	case EndDone:
		t.taskDone(w, j, o, key, r)
	case EndFailed:
		t.saveCheckpoint(j, tk, r, e.Checkpoint)
		t.taskFailed(w, j, key, r)
	default:
		saved := e.Checkpoint
		if saved == "" {
			saved = r.checkpoint
		}
		t.saveCheckpoint(j, tk, r, saved)
		if r.step.Gang && !r.step.Lasting && e.How != EndStopped {
			t.breakGang(j, key, "member-ended")
		}
	}
	if j.over() {
		t.finishJob(j)
	}
}

// taskDone records a finished task; one end stands for all members of a gang.
func (t *term) taskDone(w *worker, j *job, o *occurrence, key taskKey, r *run) {
	t.judge(w, r)
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
			continue // the other members end by themselves
		}
		for _, other := range others {
			t.stop(other, "copy-done")
		}
	}
}

// taskFailed counts a failure against the task's budget and the worker.
func (t *term) taskFailed(w *worker, j *job, key taskKey, r *run) {
	before := w.health.until
	w.health.failed(t.now)
	if w.health.until.After(before) {
		t.log.WithFields(logrus.Fields{"decision": "rest", "worker": w.info.Worker, "failures": w.health.failures,
			"until_ms": w.health.until.Sub(t.now).Milliseconds()}).Warn("worker rests: its tasks fail")
	}
	if _, tk := j.task(key); tk != nil {
		tk.failedOn = append(tk.failedOn, w.info.Worker)
	}
	q := t.queues[j.queue]
	if r.step.Gang {
		o := j.find(key.occurrence)
		for i := range o.steps[key.step].tasks {
			j.failTask(taskKey{key.occurrence, key.step, i}, r.ref.Attempt, q.MaxAttempts, t.now)
		}
		t.breakGang(j, key, "member-failed")
		return
	}
	j.failTask(key, r.ref.Attempt, q.MaxAttempts, t.now)
}

// breakGang stops the members of a gang that cannot finish without the one that
// ended; they start again together.
func (t *term) breakGang(j *job, key taskKey, reason string) {
	o := j.find(key.occurrence)
	if o == nil {
		return
	}
	for i := range o.steps[key.step].tasks {
		for _, r := range slices.Clone(o.steps[key.step].tasks[i].runs) {
			if r.live() {
				t.stop(r, reason)
			}
		}
	}
}

// finishJob stops what still runs for a job that is over.
func (t *term) finishJob(j *job) {
	if j.ended.IsZero() {
		j.ended = t.now
	}
	for _, w := range t.workers {
		for _, r := range w.runs {
			if r.job == j && r.live() && !(j.state() == StateCompleted && r.step.Gang) {
				t.stop(r, "job-over") // members of a finished gang end by themselves
			}
		}
	}
	t.log.WithFields(logrus.Fields{"decision": "job", "job": j.id, "queue": j.queue, "choice": j.state(), "reason": j.failed,
		"took_ms": t.now.Sub(j.arrived).Milliseconds()}).Info("job is over")
}
