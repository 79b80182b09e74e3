package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// expiryFactor times the objective is the time after which a job earns nothing.
	expiryFactor = 3
	// minEstimate is the least estimate that is believed.
	minEstimate = 50 * time.Millisecond
)

// urgency classes, in the order of placement.
const (
	// urgencyOnTime work can still meet its objective.
	urgencyOnTime = iota
	// urgencyLate work has missed its objective and still counts.
	urgencyLate
	// urgencyExpired work counts no more; it is done when nothing else wants the room.
	urgencyExpired
)

// waitingStep is a step with tasks that wait for a worker.
type waitingStep struct {
	job        *job
	occurrence *occurrence
	index      int
	step       *Step
	queue      Queue
	tasks      []int
	urgency    int
	priority   int
	// slack is how much later the step could start and the job still meet its
	// objective, or the age of work without one.
	slack time.Duration
	// remainingWork is what is left of the occurrence, in core-seconds.
	remainingWork float64
	// image and perWorkerLimit are the image of a lasting step, if it has one, and how many of
	// its tasks one worker may run; zero for others.
	image          string
	perWorkerLimit int
	// restart is set for lasting tasks that have run before.
	restart bool
}

// key returns the key of the task with an index.
func (w *waitingStep) key(i int) taskKey { return taskKey{w.occurrence.number, w.index, i} }

// objectiveTimes returns when occurrence o of j should be complete.
func objectiveTimes(j *job, o *occurrence, q Queue) (due, end time.Time) {
	begin := j.acceptedLocalTime
	if !o.due.IsZero() {
		begin = o.due
	}
	chain := time.Duration(0)
	for i, s := range j.spec.Steps {
		if len(s.After) == 0 {
			chain = max(chain, j.chainEstimates[i])
		}
	}
	allowed := time.Duration(q.Stretch*float64(max(chain, minEstimate))) + q.Objective
	return begin.Add(allowed), begin.Add(expiryFactor * allowed)
}

// urgencyOf ranks a step of a job at now.
func urgencyOf(now time.Time, j *job, o *occurrence, step int, q Queue) (urgency int, slack time.Duration) {
	if j.spec.Steps[step].Lasting {
		return urgencyOnTime, o.steps[step].readyAt.Add(q.Objective).Sub(now)
	}
	due, end := objectiveTimes(j, o, q)
	left := j.remainingChain(step)
	slack = due.Sub(now) - left
	switch {
	case now.After(end):
		return urgencyExpired, slack
	case now.After(due), float64(slack) < -lateSlackShare*float64(left):
		return urgencyLate, slack
	}
	return urgencyOnTime, slack
}

// lateSlackShare of the time that is left to work must be missing before a job counts
// as late: estimates are rough.
const lateSlackShare = 0.25

// remainingWork sums what is left to do of an occurrence, in core-seconds.
func remainingWork(spec Spec, o *occurrence) float64 {
	sum := 0.0
	for i := range o.steps {
		s := &spec.Steps[i]
		sum += float64(o.steps[i].remaining) * float64(s.Needs.MilliCPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// sortWaitingSteps orders waiting steps: by class, so that late work does not make other
// work late; by priority; by the work that is left of the job, so that as many jobs
// as possible are in time; by slack. It answers bursts of more work than room,
// where an order by slack alone makes all jobs late.
func sortWaitingSteps(waiting []*waitingStep) { slices.SortFunc(waiting, compareWaitingSteps) }

// compareWaitingSteps orders two waiting steps.
func compareWaitingSteps(a, b *waitingStep) int {
	return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.priority, b.priority), compareRestarts(a, b), compareServices(a, b),
		cmp.Compare(a.remainingWork, b.remainingWork), cmp.Compare(a.slack, b.slack), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
}

// collectWaitingSteps lists the steps with tasks that may start now.
func (t *term) collectWaitingSteps() []*waitingStep {
	var waiting []*waitingStep
	settled := t.allRunsKnown()
	for _, j := range t.jobs {
		if j.over() || j.visibleState.Final() || (j.inherited && !settled) || !t.jobConfirmed(j) {
			continue
		}
		q, known := t.queues[j.queue]
		if !known {
			continue
		}
		for _, o := range j.occurrences {
			waiting = t.appendWaitingSteps(waiting, j, o, q)
		}
	}
	return waiting
}

// jobConfirmed reports whether the term was in force after the job was accepted. A
// later term can therefore rely on it that jobs accepted after its own begin were
// started by no earlier one.
func (t *term) jobConfirmed(j *job) bool { return j.acceptedVersion <= t.fenceVersion }

func (t *term) appendWaitingSteps(waiting []*waitingStep, j *job, o *occurrence, q Queue) []*waitingStep {
	for i := range o.steps {
		s := &o.steps[i]
		if s.readyAt.IsZero() || s.remaining == 0 {
			continue
		}
		idle := t.startableTasks(&j.spec.Steps[i], s)
		if len(idle) == 0 {
			continue
		}
		w := waitingStep{job: j, occurrence: o, index: i, step: &j.spec.Steps[i], queue: q, tasks: idle, priority: q.Priority}
		w.urgency, w.slack = urgencyOf(t.now, j, o, i, q)
		if !w.step.Lasting {
			w.remainingWork = remainingWork(j.spec, o)
			waiting = append(waiting, &w)
			continue
		}
		w.image, w.perWorkerLimit = w.step.Image, w.step.perWorker()
		waiting = appendLastingSteps(waiting, w, s)
	}
	return waiting
}

// appendLastingSteps adds the tasks of a lasting step that have run before and those that
// have not as two wants. Those of jobs that began before this term count as run: their
// runs may be lost with their worker and unknown here. So do those that another cell has
// lent.
func appendLastingSteps(waiting []*waitingStep, w waitingStep, s *stepState) []*waitingStep {
	again, fresh := w, w
	again.restart, again.tasks, fresh.tasks = true, nil, nil
	for _, i := range w.tasks {
		if s.tasks[i].attempt > 0 || (w.job.inherited && w.job.started) || len(w.job.borrowed) > 0 {
			again.tasks = append(again.tasks, i)
		} else {
			fresh.tasks = append(fresh.tasks, i)
		}
	}
	for _, part := range []waitingStep{again, fresh} {
		if len(part.tasks) > 0 {
			waiting = append(waiting, &part)
		}
	}
	return waiting
}

// startableTasks lists the tasks of a step without a run. A gang starts only when no
// member runs any more.
func (t *term) startableTasks(spec *Step, s *stepState) []int {
	var idle []int
	for i := range s.tasks {
		tk := &s.tasks[i]
		switch {
		case tk.done, tk.lentTo > 0:
		case len(tk.runs) > 0, t.now.Before(tk.notBefore):
			if spec.Gang {
				return nil
			}
		default:
			idle = append(idle, i)
		}
	}
	return idle
}

// compareServices orders lasting steps so that those of one image are placed one
// after the other, and first those with a bound per worker, which need many
// workers. Lasting steps come before others.
func compareServices(a, b *waitingStep) int {
	return cmp.Or(cmp.Compare(b.lastingRank(), a.lastingRank()), cmp.Compare(a.image, b.image), cmp.Compare(a.perWorkerLimit, b.perWorkerLimit))
}

// compareRestarts orders lasting tasks that have run before others: the room that they
// lost must not go to new work.
func compareRestarts(a, b *waitingStep) int {
	switch {
	case a.restart == b.restart:
		return 0
	case a.restart:
		return -1
	}
	return 1
}

// lastingRank returns 1 for a lasting step with an image and 0 for others.
func (w *waitingStep) lastingRank() int {
	if w.image == "" {
		return 0
	}
	return 1
}
