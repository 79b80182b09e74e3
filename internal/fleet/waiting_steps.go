package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// expiryFactor times the time allowed for a job is the age at which it expires: from then
	// on, completing it has no value.
	expiryFactor = 3
	// minEstimate is the lower bound for estimates of submitters.
	minEstimate = 50 * time.Millisecond
)

// Urgency classes, in the order of placement.
const (
	// urgencyOnTime work can still meet its objective.
	urgencyOnTime = iota
	// urgencyLate work has missed its objective but has not expired.
	urgencyLate
	// urgencyExpired work has expired. It runs only on capacity that no other work needs.
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
	// slack is how much later the step could start with the job still meeting its objective.
	// For lasting steps it is the time until the queue's objective for their start.
	slack time.Duration
	// remainingWork is the remaining work of the occurrence, in core-seconds.
	remainingWork float64
	// image is the image of a lasting step, if it has one, and perWorkerLimit is how many of
	// its tasks one worker may run. Both are zero for other steps.
	image          string
	perWorkerLimit int
	// restart is set for lasting tasks that have run before.
	restart bool
	// claimant has the claims of the step's lost tasks; nil if they have none.
	claimant *claimant
}

// state returns the state of the step.
func (w *waitingStep) state() *stepState { return &w.occurrence.steps[w.index] }

// key returns the key of the task with an index.
func (w *waitingStep) key(i int) taskKey { return taskKey{w.occurrence.number, w.index, i} }

// objectiveTimes returns when occurrence o of j should be complete, and when it expires.
func objectiveTimes(j *job, o *occurrence, q Queue) (deadline, expiry time.Time) {
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

// urgencyOf returns the urgency class and the slack of a step at now.
func urgencyOf(now time.Time, j *job, o *occurrence, step int, q Queue) (urgency int, slack time.Duration) {
	if j.spec.Steps[step].Lasting {
		return urgencyOnTime, o.steps[step].readyAt.Add(q.Objective).Sub(now)
	}
	deadline, expiry := objectiveTimes(j, o, q)
	left := j.remainingChain(step)
	slack = deadline.Sub(now) - left
	switch {
	case now.After(expiry):
		return urgencyExpired, slack
	case now.After(deadline), float64(slack) < -lateSlackShare*float64(left):
		return urgencyLate, slack
	}
	return urgencyOnTime, slack
}

// lateSlackShare is the share of the estimated remaining time by which a job must overrun
// its objective before it counts as late. Estimates are rough.
const lateSlackShare = 0.25

// remainingWork returns the estimated remaining work of an occurrence, in core-seconds.
func remainingWork(spec Spec, o *occurrence) float64 {
	sum := 0.0
	for i := range o.steps {
		s := &spec.Steps[i]
		sum += float64(o.steps[i].remaining) * float64(s.Needs.MilliCPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// sortWaitingSteps orders waiting steps by urgency class, so that late work does not make
// other work late; then by priority; then by the remaining work of the job, so that as many
// jobs as possible are on time; then by slack. When a burst exceeds the capacity, an order
// by slack alone would make all jobs late. Restarts of lasting tasks come first within a
// priority, then other lasting steps.
func sortWaitingSteps(waiting []*waitingStep) { slices.SortFunc(waiting, compareWaitingSteps) }

// compareWaitingSteps orders two waiting steps.
func compareWaitingSteps(a, b *waitingStep) int {
	return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.priority, b.priority), compareRestarts(a, b), compareServices(a, b),
		cmp.Compare(a.remainingWork, b.remainingWork), cmp.Compare(a.slack, b.slack), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
}

// collectWaitingSteps returns the steps with tasks that may start now.
func (t *term) collectWaitingSteps() []*waitingStep {
	var waiting []*waitingStep
	runsKnown := t.allRunsKnown()
	for _, j := range t.jobs {
		if j.over() || j.visibleState.Final() || t.jobGate(j, runsKnown) != waitsForNothing {
			continue
		}
		for _, o := range j.occurrences {
			waiting = t.appendWaitingSteps(waiting, j, o, t.queues[j.queue])
		}
	}
	return waiting
}

// jobConfirmed reports whether the term is known to have been in force after the job was
// accepted. Tasks start only then, so a later term knows that no earlier term started jobs
// that were accepted after its own start.
func (t *term) jobConfirmed(j *job) bool { return j.acceptedVersion <= t.fenceVersion }

func (t *term) appendWaitingSteps(waiting []*waitingStep, j *job, o *occurrence, q Queue) []*waitingStep {
	for i := range o.steps {
		s := &o.steps[i]
		if s.readyAt.IsZero() || s.remaining == 0 {
			continue
		}
		startable := t.startableTasks(&j.spec.Steps[i], s)
		if len(startable) == 0 {
			continue
		}
		w := waitingStep{job: j, occurrence: o, index: i, step: &j.spec.Steps[i], queue: q, tasks: startable, priority: q.Priority}
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

// appendLastingSteps adds the tasks of a lasting step as two waiting steps: those that have
// run before and those that have not. Tasks of jobs that started before this term count as
// run before, because their runs may have been lost with their worker without this term
// knowing of them. So do tasks borrowed from another cell.
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

// startableTasks returns the tasks of a step that may start now. A gang starts only when
// none of its members runs any more.
func (t *term) startableTasks(spec *Step, s *stepState) []int {
	var startable []int
	for i := range s.tasks {
		tk := &s.tasks[i]
		switch {
		case tk.done, tk.lentTo > 0:
		case len(tk.runs) > 0, t.now.Before(tk.notBefore):
			if spec.Gang {
				return nil
			}
		default:
			startable = append(startable, i)
		}
	}
	return startable
}

// compareServices orders lasting steps with an image before others and groups them by
// image. Within an image, steps with the lowest limit per worker come first, as they need
// the most workers.
func compareServices(a, b *waitingStep) int {
	return cmp.Or(cmp.Compare(b.lastingRank(), a.lastingRank()), cmp.Compare(a.image, b.image), cmp.Compare(a.perWorkerLimit, b.perWorkerLimit))
}

// compareRestarts orders restarts of lasting tasks before other work, so that new work does
// not take the capacity that they lost, and small ones before large ones, so that as many as possible run.
func compareRestarts(a, b *waitingStep) int {
	switch {
	case a.restart && b.restart:
		return cmp.Or(cmp.Compare(a.step.Needs.MilliCPU, b.step.Needs.MilliCPU), cmp.Compare(a.step.Needs.MemoryMB, b.step.Needs.MemoryMB))
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
