package fleet

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Constants of the watch over runs.
const (
	// hungAfter is the time without progress and without use of the processor that
	// marks a run as hung. Progress is reported once a second; a run that resumes
	// from a checkpoint stands still for some hundred milliseconds.
	hungAfter = 1500 * time.Millisecond
	// stuckAfter is the time without progress that marks a run that uses processors.
	stuckAfter = 5 * time.Second
	// copyFactor times the expected run time is when a speculative task gets a copy.
	copyFactor = 1.6
	// minRatioTime is the least run time from which speed is judged.
	minRatioTime = 250 * time.Millisecond
	// speedWeight is the weight of a new sample of a queue's typical ratio.
	speedWeight = 0.05
	// readyPercent is what a lasting task at work reports.
	readyPercent = 100
	// startupTime is how long a lasting task may take until it is at work.
	startupTime = 6 * time.Second
)

// speed is the typical ratio of run time to estimate of a queue's tasks.
type speed struct {
	ratio   float64
	samples int
}

func (s *speed) observe(ratio float64) {
	weight := max(speedWeight, 1/float64(s.samples+1))
	s.ratio += weight * (ratio - s.ratio)
	s.samples++
}

// expected returns how long a task of a step should run.
func (t *term) expected(j *job, s *Step) time.Duration {
	ratio := 1.0
	if q := t.speeds[j.queue]; q != nil && q.samples > 5 {
		ratio = q.ratio
	}
	return time.Duration(ratio * float64(max(s.Estimate, estimateFloor)))
}

// judge learns from a run that ended done.
func (t *term) judge(w *worker, r *run) {
	ratio := 0.0
	if ran := t.now.Sub(r.since); !r.adopted && r.checkpoint == "" && ran > minRatioTime && !r.step.Filler && r.step.Estimate > 0 {
		q := t.speeds[r.job.queue]
		if q == nil {
			q = &speed{ratio: 1}
			t.speeds[r.job.queue] = q
		}
		observed := float64(ran) / float64(r.step.Estimate)
		ratio = observed / q.ratio
		q.observe(min(observed, 3*q.ratio+1))
	}
	wasSlow := w.health.isSlow()
	w.health.succeeded(ratio)
	if w.health.isSlow() != wasSlow {
		t.log.WithFields(logrus.Fields{"decision": "slow", "worker": w.info.Worker, "ratio": w.health.slow, "choice": w.health.isSlow()}).Info("speed of worker")
	}
}

// observeRun looks at a run's report.
func (t *term) observeRun(r *run) {
	if r.step == nil || r.job == nil {
		return
	}
	if r.step.LatencyTarget > 0 {
		t.harm.observe(r, t.now)
	}
}

// watchRuns finds runs that hang or take too long.
func (t *term) watchRuns() {
	if !t.active() {
		return
	}
	for _, w := range t.workers {
		if w.failures > 0 {
			continue
		}
		t.endProbation(w)
		for _, r := range w.runs {
			if r.state == runLive && r.job != nil && !r.job.over() {
				t.watchRun(w, r)
			}
		}
		t.control(w)
	}
}

// probationTime is how long a run must work on a worker after its rest.
const probationTime = 2 * time.Second

// endProbation trusts a worker again when a run has worked there since its rest;
// lasting tasks never end to prove it.
func (t *term) endProbation(w *worker) {
	if !w.health.onProbation() || w.health.resting(t.now) {
		return
	}
	for _, r := range w.runs {
		working := r.percent >= readyPercent || w.lookOK.Sub(r.moved) < hungAfter
		if r.state == runLive && !r.since.Before(w.health.until) && t.now.Sub(r.since) > probationTime && working {
			w.health.succeeded(0)
			t.dirty = true
			t.log.WithFields(logrus.Fields{"decision": "rest", "worker": w.info.Worker, "choice": "over", "reason": "working"}).Info("worker is trusted again")
			return
		}
	}
}

func (t *term) watchRun(w *worker, r *run) {
	switch {
	case r.step.Lasting:
		if r.percent < readyPercent && t.now.Sub(r.since) > startupTime && w.lookOK.Sub(r.moved) > stuckAfter {
			t.hung(w, r)
		}
	case r.percent >= readyPercent && r.step.Gang:
		// A member of a gang waits for the others to finish.
	case r.step.Filler:
		t.watchFiller(w, r)
	case standsStill(w, r, r.moved):
		t.hung(w, r)
	case r.step.Speculative && t.now.Sub(r.since) > time.Duration(copyFactor*float64(t.expected(r.job, r.step))):
		t.duplicate(r)
	}
}

// standsStill reports whether a run has made no progress since a moment, as far
// as the worker's reports tell.
func standsStill(w *worker, r *run, since time.Time) bool {
	limit := stuckAfter
	if r.reading == 0 {
		limit = hungAfter
	}
	return w.lookOK.Sub(since) > limit
}

// watchFiller finds fillers that stand still although they were told to work. An
// order on pace may have been carried out late, after a newer one, so the pace is
// set once more before the run counts as hung.
func (t *term) watchFiller(w *worker, r *run) {
	since := r.moved
	if r.paceAt.After(since) {
		since = r.paceAt
	}
	if r.pace < readyPercent || r.paceBusy || r.reading > 0 || !standsStill(w, r, since) {
		return
	}
	if !r.paceAgain {
		r.paceAgain = true
		t.setPace(r, readyPercent)
		return
	}
	t.hung(w, r)
}

// hung stops a run that makes no progress, so that the task starts elsewhere.
func (t *term) hung(w *worker, r *run) {
	w.health.rest(t.now)
	t.log.WithFields(logrus.Fields{"decision": "rest", "worker": w.info.Worker, "reason": "hung", "task": r.ref.Task,
		"percent": r.percent, "still_ms": t.now.Sub(r.moved).Milliseconds()}).Warn("worker rests: a task makes no progress")
	t.stop(r, "hung")
}

// duplicate starts a copy of a speculative task that takes long, on a worker of
// good conduct. The first to end counts.
func (t *term) duplicate(r *run) {
	_, tk := r.job.task(r.key)
	if tk == nil || tk.done || len(tk.runs) != 1 || t.now.Before(tk.notBefore) {
		return
	}
	if len(tk.failed) > 0 {
		return // a copy that fails would use up the budget
	}
	q := t.queues[r.job.queue]
	p := t.pool(q.Service)
	o := r.job.find(r.key.occurrence)
	w := p.choose(request{step: r.step, task: tk, onWorker: stepWorkers(&o.steps[r.key.step])})
	tk.notBefore = t.now.Add(hungAfter / 2)
	if w == nil || w.health.isSlow() || q.Advised {
		return
	}
	t.start(r.job, r.key, w, "")
}
