package fleet

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// Constants of the checks of runs.
const (
	// speculativeCopyFactor times the expected run time is the age at which a run of a
	// speculative task gets a copy.
	speculativeCopyFactor = 1.6
	// minRatedRunTime is the least run time from which a worker's speed is estimated.
	minRatedRunTime = 250 * time.Millisecond
	// queueRatioWeight is the least weight of a new sample in a queue's run time ratio.
	queueRatioWeight = 0.05
	// readyPercent is the progress that a ready lasting task reports.
	readyPercent = 100
	// startupTimeout is how long a lasting task may take to become ready.
	startupTimeout = 6 * time.Second
)

// queueRunTime is the moving average of the ratio of run time to estimate of a queue's tasks.
type queueRunTime struct {
	ratio   float64
	samples int
}

func (s *queueRunTime) observe(ratio float64) {
	weight := max(queueRatioWeight, 1/float64(s.samples+1))
	s.ratio += weight * (ratio - s.ratio)
	s.samples++
}

// expectedRunTime returns how long a task of a step should run, judged by the queue's ratio.
func (t *term) expectedRunTime(j *job, s *Step) time.Duration {
	ratio := 1.0
	if q := t.queueRunTimes[j.queue]; q != nil && q.samples > 5 {
		ratio = q.ratio
	}
	return time.Duration(ratio * float64(max(s.Estimate, minEstimate)))
}

// observeCompletedRun updates the run times of the queue and the health of the worker after
// a run that completed.
func (t *term) observeCompletedRun(w *worker, r *run) {
	ratio := 0.0
	if ran := t.now.Sub(r.startedAt); !r.adopted && r.checkpoint == "" && ran > minRatedRunTime && !r.step.Filler && r.step.Estimate > 0 {
		q := t.queueRunTimes[r.job.queue]
		if q == nil {
			q = &queueRunTime{ratio: 1}
			t.queueRunTimes[r.job.queue] = q
		}
		observed := float64(ran) / float64(r.step.Estimate)
		ratio = observed / q.ratio
		q.observe(min(observed, 3*q.ratio+1))
	}
	wasSlow := w.health.isSlow()
	w.health.recordSuccess(ratio)
	if w.health.isSlow() != wasSlow {
		t.log.WithFields(logrus.Fields{"decision": "slow", "worker": w.info.Worker, "ratio": w.health.runTimeRatio, "choice": w.health.isSlow()}).Info("worker speed rating changed")
	}
}

// observeServingRun passes the report of a run with a latency target to the interference
// model.
func (t *term) observeServingRun(r *run) {
	if r.step == nil || r.job == nil {
		return
	}
	if r.step.LatencyTarget > 0 {
		t.interference.observe(r, t.now)
	}
}

// checkRuns handles runs that hang or take too long, and adjusts the paces of fillers.
func (t *term) checkRuns() {
	if !t.active() {
		return
	}
	for _, w := range t.workers {
		if w.unansweredCalls > 0 || !w.answered {
			continue
		}
		t.endProbation(w)
		for _, r := range w.runs {
			// While ends are missing from the reports, a run without progress may have ended.
			if r.state == runLive && r.job != nil && !r.job.over() && !w.endsCut {
				t.checkRun(w, r)
			}
		}
		t.adjustPaces(w)
	}
}

// probationTime is how long a run must make progress on a worker after its quarantine to
// end its probation.
const probationTime = 2 * time.Second

// endProbation ends the probation of a worker when a run started after its quarantine has
// been working for probationTime. A completed run also ends it, but lasting tasks never
// complete.
func (t *term) endProbation(w *worker) {
	if !w.health.onProbation() || w.health.excluded(t.now) {
		return
	}
	for _, r := range w.runs {
		working := r.percent >= readyPercent || w.lastPollSent.Sub(r.progressAt) < hungTimeout
		if r.state == runLive && !r.startedAt.Before(w.health.excludedUntil) && t.now.Sub(r.startedAt) > probationTime && working {
			w.health.recordSuccess(0)
			t.planDue = true
			t.log.WithFields(logrus.Fields{"decision": "rest", "worker": w.info.Worker, "choice": "over", "reason": "working"}).Info("worker probation ended")
			return
		}
	}
}

func (t *term) checkRun(w *worker, r *run) {
	switch {
	case r.step.Gang && t.lacksMember(r):
		t.stopRun(r, "member-lost") // the members start again together
	case r.step.Lasting:
		if r.percent < readyPercent && t.now.Sub(r.startedAt) > startupTimeout && w.lastPollSent.Sub(r.progressAt) > busyHungTimeout {
			t.stopHungRun(w, r)
		}
	case r.percent >= readyPercent && r.step.Gang:
		// A member of a gang that is done waits for the others.
	case r.step.Filler:
		t.checkFiller(w, r)
	case t.isStalled(w, r):
		t.stopHungRun(w, r)
	case r.step.Speculative && t.now.Sub(r.startedAt) > time.Duration(speculativeCopyFactor*float64(t.expectedRunTime(r.job, r.step))):
		t.startCopy(r)
	}
}

// lacksMember reports whether a member of the gang of r has certainly no run.
func (t *term) lacksMember(r *run) bool {
	o := r.job.openOccurrenceAt(r.key.occurrence)
	if o == nil || (r.job.inherited && !t.allRunsKnown()) {
		return false
	}
	tasks := o.steps[r.key.step].tasks
	return slices.ContainsFunc(tasks, func(tk task) bool { return !tk.done && len(tk.runs) == 0 })
}

// checkFiller stops fillers that make no progress in the time that their pace allows them. The
// worker may have carried out an older pace order after the newest one, so the pace is set once more
// before the run counts as hung.
func (t *term) checkFiller(w *worker, r *run) {
	switch {
	case r.paceClock.pace == 0 || r.reading > 0 || !t.isStalled(w, r):
	case r.paceRepeated:
		t.stopHungRun(w, r)
	case !r.paceInFlight:
		r.paceRepeated, r.stillFrom = true, r.paceClock.latest(t.now.Add(paceTimeout+paceDelay))
		t.setPace(r, r.pace)
	}
}

// stopHungRun stops a run that makes no progress and quarantines its worker, so that the
// task starts elsewhere.
func (t *term) stopHungRun(w *worker, r *run) {
	w.health.quarantine(t.now)
	if _, tk := r.job.task(r.key); tk != nil && r.reading > 0 {
		tk.busyStalls = min(tk.busyStalls+1, maxBusyStalls)
	}
	t.log.WithFields(logrus.Fields{"decision": "rest", "worker": w.info.Worker, "reason": "hung", "task": r.ref.Task,
		"percent": r.percent, "still_ms": t.now.Sub(r.progressAt).Milliseconds()}).Warn("worker quarantined: a task makes no progress")
	t.stopRun(r, "hung")
}

// startCopy starts a copy of a speculative task that takes long, on a worker that is not
// slow. The first run to complete counts.
func (t *term) startCopy(r *run) {
	_, tk := r.job.task(r.key)
	if !t.mayPlace() || r.job.cancellationUnread || tk == nil || tk.done || len(tk.runs) != 1 || t.now.Before(tk.notBefore) {
		return
	}
	if len(tk.failed) > 0 || len(tk.crashes) > 0 {
		return // a copy that fails or crashes its worker would use up the task's attempts
	}
	q := t.queues[r.job.queue]
	p := t.newPlacement(q.Service)
	o := r.job.openOccurrenceAt(r.key.occurrence)
	w := p.chooseWorker(taskRequest{job: r.job, step: r.step, task: tk, tasksPerWorker: runsPerWorker(&o.steps[r.key.step])})
	tk.notBefore = t.now.Add(hungTimeout / 2)
	if w == nil || w.health.isSlow() || q.Advised {
		return
	}
	t.startTask(r.job, r.key, w, "")
}
