package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Times of looks.
const (
	// lookWait is how long a worker may hold the answer to a look. It also paces
	// the reports of progress, which show hung tasks and disturbed services.
	lookWait = 1000 * time.Millisecond
	// retryLook is the pause after a look without an answer.
	retryLook = 200 * time.Millisecond
	// unreachableLook is the pause after several.
	unreachableLook = 700 * time.Millisecond
	// undurableLook is the pause between looks while ends wait for the store.
	undurableLook = 250 * time.Millisecond
)

// looked is the answer to a look.
type looked struct {
	worker *worker
	order  LookOrder
	report Report
	err    error
	sent   time.Time
	// extra marks a look that does not belong to the worker's series.
	extra bool
	took  time.Duration
}

// scheduleLooks sends the looks that are due.
func (t *term) scheduleLooks() {
	for _, w := range t.workers {
		if t.lookDue(w) {
			t.look(w)
		}
	}
}

// lookDue reports whether w must be asked now: it has work, ends to acknowledge,
// or has not answered in this term.
func (t *term) lookDue(w *worker) bool {
	if w.lookBusy || t.now.Before(w.nextLook) || t.stopping {
		return false
	}
	wanted := !w.raised || len(w.runs) > 0 || w.acked < w.committed || w.failures > 0
	return wanted && (w.listed || w.inherited || len(w.runs) > 0)
}

// look asks a worker for its report and renews its lease.
func (t *term) look(w *worker) {
	o := LookOrder{Fence: t.number, Acknowledged: w.committed}
	if len(w.runs) > 0 && w.raised && w.failures == 0 && w.committed == w.lastEnd && !w.probe {
		o.Wait = lookWait
		if w.tight {
			o.Wait = tightLook
		}
	}
	// A silent worker's lease is not renewed: its end must come in known time.
	if len(w.runs) > 0 && w.raised && w.failures == 0 && t.active() {
		o.Deadline = w.deadline(t.now, t.leaseLength())
	}
	w.lookBusy, w.probe = true, false
	t.counters.looks.Inc()
	go t.sendLook(w, w.info, o, false, t.answers.limit())
}

// probe asks a worker at once, beside a look that may be waiting.
func (t *term) probe(w *worker) {
	t.counters.looks.Inc()
	go t.sendLook(w, w.info, LookOrder{Fence: t.number, Acknowledged: w.committed}, true, t.answers.limit())
}

func (t *term) sendLook(w *worker, info WorkerInfo, o LookOrder, extra bool, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, o.Wait+limit)
	defer cancel()
	sent := time.Now()
	report, err := t.cfg.Workers.Look(ctx, info, o)
	t.post(looked{w, o, report, err, sent, extra, time.Since(sent)})
}

func (e looked) handle(t *term) {
	w := e.worker
	if e.order.Wait == 0 || e.err != nil {
		t.answers.observe(e.took - e.order.Wait)
	}
	if !e.extra {
		w.lookBusy = false
	}
	switch {
	case e.err != nil:
		t.silent(w, e.err)
	case e.report.Verdict == StartOtherLife:
		t.otherLife(w)
	case e.report.Verdict == StartFenced:
		t.retire("a worker has seen a higher fence")
	case e.report.Verdict != StartRunning:
		w.failures++
		w.nextLook = t.now.Add(retryLook)
	default:
		t.takeReport(w, e)
	}
}

// silent notes a call that got no answer.
func (t *term) silent(w *worker, err error) {
	w.failures++
	pause := retryLook
	if w.failures > 3 {
		pause = unreachableLook
	}
	w.nextLook = t.now.Add(pause)
	t.counters.silent.Inc()
	if w.failures == 1 {
		t.log.WithError(err).WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "unreachable",
			"runs": len(w.runs), "answered_ms_ago": t.now.Sub(w.clockAt).Milliseconds()}).Warn("worker does not answer")
	}
}

// otherLife notes that another lifetime answers at the worker's address. Its
// entry follows; until then the former one's runs are lost.
func (t *term) otherLife(w *worker) {
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "replaced", "runs": len(w.runs)}).Warn("another lifetime answers")
	for _, r := range w.runs {
		t.lose(r, "worker-restarted")
	}
	w.failures++
	w.nextLook = t.now.Add(unreachableLook)
	t.dirty = true
}

// takeReport brings the leader's view of a worker up to date.
func (t *term) takeReport(w *worker, e looked) {
	fresh := e.report.Clock >= w.clock
	if w.failures > 0 {
		t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "reachable", "failures": w.failures}).Info("worker answers")
	}
	w.observe(e.report.Clock, t.now)
	w.acked = max(w.acked, e.order.Acknowledged)
	first := !w.raised
	w.raised = true
	if fresh {
		w.lookOK = e.sent
		t.takeRunning(w, e.report.Running)
	}
	for _, end := range e.report.Ended {
		t.takeEnd(w, end)
	}
	if fresh {
		t.findMissing(w, e)
	}
	w.nextLook = t.now
	switch {
	case w.committed < w.lastEnd && len(e.report.Ended) > 0 && t.commitDelayed():
		w.nextLook = t.now.Add(undurableLook)
	case w.committed < w.lastEnd:
		w.nextLook = t.now.Add(tickInterval * 2) // the transaction's end asks sooner
	}
	if first {
		w.inherited = false
		t.dirty = true
	}
	if !w.durable {
		t.markUsed(w)
	}
	if t.lookDue(w) {
		t.look(w)
	}
}

// takeRunning updates known runs and adopts those of earlier terms.
func (t *term) takeRunning(w *worker, running []RunStatus) {
	for _, s := range running {
		r := w.runs[s.RunRef]
		if r == nil {
			if r = t.adopt(w, s); r == nil {
				continue
			}
		}
		r.confirmed = t.now
		if s.Checkpoint != "" {
			r.checkpoint = s.Checkpoint
		}
		if s.Percent != r.percent || r.moved.IsZero() {
			r.percent, r.moved, r.paceAgain = s.Percent, t.now, false
		}
		r.reading = s.Reading
		if r.state == runSent || r.state == runDoubt {
			r.state, r.changed = runLive, t.now
		}
		t.observeRun(r)
	}
}

// adopt takes over a run that this term has not started. Runs of work that is
// over, or that nobody knows, are stopped.
func (t *term) adopt(w *worker, s RunStatus) *run {
	id, key, ok := parseTask(s.Task)
	j := t.jobs[id]
	r := &run{ref: s.RunRef, worker: w, state: runLive, since: t.now, changed: t.now, pace: 100, adopted: true}
	if !ok || j == nil || !t.loaded {
		if t.loaded {
			t.log.WithFields(logrus.Fields{"decision": "stop", "task": s.Task, "attempt": s.Attempt, "worker": w.info.Worker, "reason": "unknown"}).Warn("unknown run")
			w.attach(r, t.now)
			t.stop(r, "unknown")
		}
		return nil
	}
	r.job, r.key = j, key
	_, tk := j.task(key)
	if key.step < len(j.spec.Steps) {
		r.step = &j.spec.Steps[key.step]
		r.reserved = r.step.Reserved()
		if r.step.Filler {
			r.pace = 0 // unknown: it is set as for a run that stands still
		}
	}
	w.attach(r, t.now)
	if tk == nil && !j.over() && r.step != nil && key.occurrence < j.spec.Occurrences() && !j.finished[key.occurrence] {
		j.add(key.occurrence, j.dueAt(key.occurrence, t.wall), t.now)
		_, tk = j.task(key)
	}
	if tk == nil || tk.done || j.over() {
		t.stop(r, "over")
		return r
	}
	tk.attempt = max(tk.attempt, s.Attempt)
	tk.runs = append(tk.runs, r)
	j.started = true
	t.log.WithFields(logrus.Fields{"decision": "adopt", "task": s.Task, "attempt": s.Attempt, "worker": w.info.Worker, "percent": s.Percent}).Log(t.detail(), "run adopted")
	t.adopted++
	if len(tk.runs) > 1 && !r.step.Speculative {
		t.log.WithField("task", s.Task).Error("two runs of one task")
	}
	return r
}

// findMissing settles runs that a report lacks although it was asked for after
// the worker had confirmed or refused them.
func (t *term) findMissing(w *worker, e looked) {
	listed := make(map[RunRef]bool, len(e.report.Running))
	for _, s := range e.report.Running {
		listed[s.RunRef] = true
	}
	for ref, r := range w.runs {
		if listed[ref] || !e.sent.After(r.changed) {
			continue
		}
		switch r.state {
		case runDoubt:
			t.stop(r, "start-unanswered")
		case runLive:
			t.lose(r, "missing")
		case runStopping:
			if r.stopped {
				t.lose(r, "stopped-unseen")
			}
		}
	}
}

// takeEnd takes an end of the worker's list, once.
func (t *term) takeEnd(w *worker, e RunEnd) {
	if e.Number <= w.lastEnd {
		return
	}
	w.lastEnd = e.Number
	id, key, ok := parseTask(e.Task)
	r := w.runs[e.RunRef]
	if r != nil {
		w.detach(r, t.now)
	}
	j := t.jobs[id]
	if !ok || j == nil {
		return
	}
	t.dirty = true
	t.endTask(w, j, key, r, e)
}
