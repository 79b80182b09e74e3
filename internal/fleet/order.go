package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateFactor times the objective is the time after which a job earns nothing.
	lateFactor = 3
	// estimateFloor is the least estimate that is believed.
	estimateFloor = 50 * time.Millisecond
)

// urgency classes, in the order of placement.
const (
	// inTime work can still meet its objective.
	inTime = iota
	// late work has missed its objective and still counts.
	late
	// hopeless work counts no more; it is done when nothing else wants the room.
	hopeless
)

// want is a step with tasks that wait for a worker.
type want struct {
	job      *job
	occ      *occurrence
	index    int
	step     *Step
	queue    Queue
	tasks    []int
	class    int
	priority int
	// slack is how much later the step could start and the job still meet its
	// objective, or the age of work without one.
	slack time.Duration
	// work is what is left of the occurrence, in core-seconds.
	work float64
	// image and bound are the image of a lasting step, if it has one, and how many of
	// its tasks one worker may run; zero for others.
	image string
	bound int
	// restart is set for lasting tasks that have run before.
	restart bool
}

// key returns the key of the task with an index.
func (w *want) key(i int) taskKey { return taskKey{w.occ.number, w.index, i} }

// objective returns when occurrence o of j should be complete.
func objective(j *job, o *occurrence, q Queue) (due, end time.Time) {
	begin := j.arrived
	if !o.due.IsZero() {
		begin = o.due
	}
	chain := time.Duration(0)
	for i, s := range j.spec.Steps {
		if len(s.After) == 0 {
			chain = max(chain, j.chains[i])
		}
	}
	allowed := time.Duration(q.Stretch*float64(max(chain, estimateFloor))) + q.Objective
	return begin.Add(allowed), begin.Add(lateFactor * allowed)
}

// classify ranks a step of a job at now.
func classify(now time.Time, j *job, o *occurrence, step int, q Queue) (class int, slack time.Duration) {
	if j.spec.Steps[step].Lasting {
		return inTime, o.steps[step].ready.Add(q.Objective).Sub(now)
	}
	due, end := objective(j, o, q)
	left := j.remaining(step)
	slack = due.Sub(now) - left
	switch {
	case now.After(end):
		return hopeless, slack
	case now.After(due), float64(slack) < -missShare*float64(left):
		return late, slack
	}
	return inTime, slack
}

// missShare of the time that is left to work must be missing before a job counts
// as late: estimates are rough.
const missShare = 0.25

// workLeft sums what is left to do of an occurrence, in core-seconds.
func workLeft(spec Spec, o *occurrence) float64 {
	sum := 0.0
	for i := range o.steps {
		s := &spec.Steps[i]
		sum += float64(o.steps[i].left) * float64(s.Needs.MilliCPU) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

// sortWants orders waiting steps: by class, so that late work does not make other
// work late; by priority; by the work that is left of the job, so that as many jobs
// as possible are in time; by slack. It answers bursts of more work than room,
// where an order by slack alone makes all jobs late.
func sortWants(wants []*want) { slices.SortFunc(wants, compareWants) }

// compareWants orders two waiting steps.
func compareWants(a, b *want) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority), compareRestarts(a, b), compareServices(a, b),
		cmp.Compare(a.work, b.work), cmp.Compare(a.slack, b.slack), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.index, b.index))
}

// collectWants lists the steps with tasks that may start now.
func (t *term) collectWants() []*want {
	var wants []*want
	settled := t.settled()
	for _, j := range t.jobs {
		if j.over() || j.shown.Final() || (j.inherited && !settled) || !t.jobConfirmed(j) {
			continue
		}
		q, known := t.queues[j.queue]
		if !known {
			continue
		}
		for _, o := range j.occurrences {
			wants = t.occurrenceWants(wants, j, o, q)
		}
	}
	return wants
}

// jobConfirmed reports whether the term was in force after the job was accepted. A
// later term can therefore rely on it that jobs accepted after its own begin were
// started by no earlier one.
func (t *term) jobConfirmed(j *job) bool { return j.accepted <= t.fenceVersion }

func (t *term) occurrenceWants(wants []*want, j *job, o *occurrence, q Queue) []*want {
	for i := range o.steps {
		s := &o.steps[i]
		if s.ready.IsZero() || s.left == 0 {
			continue
		}
		idle := t.idleTasks(&j.spec.Steps[i], s)
		if len(idle) == 0 {
			continue
		}
		w := want{job: j, occ: o, index: i, step: &j.spec.Steps[i], queue: q, tasks: idle, priority: q.Priority}
		w.class, w.slack = classify(t.now, j, o, i, q)
		if !w.step.Lasting {
			w.work = workLeft(j.spec, o)
			wants = append(wants, &w)
			continue
		}
		w.image, w.bound = w.step.Image, w.step.perWorker()
		wants = appendLasting(wants, w, s)
	}
	return wants
}

// appendLasting adds the tasks of a lasting step that have run before and those that
// have not as two wants. Those of jobs that began before this term count as run: their
// runs may be lost with their worker and unknown here. So do those that another cell has
// lent.
func appendLasting(wants []*want, w want, s *stepState) []*want {
	again, fresh := w, w
	again.restart, again.tasks, fresh.tasks = true, nil, nil
	for _, i := range w.tasks {
		if s.tasks[i].attempt > 0 || (w.job.inherited && w.job.started) || len(w.job.borrowed) > 0 {
			again.tasks = append(again.tasks, i)
		} else {
			fresh.tasks = append(fresh.tasks, i)
		}
	}
	for _, part := range []want{again, fresh} {
		if len(part.tasks) > 0 {
			wants = append(wants, &part)
		}
	}
	return wants
}

// idleTasks lists the tasks of a step without a run. A gang starts only when no
// member runs any more.
func (t *term) idleTasks(spec *Step, s *stepState) []int {
	var idle []int
	for i := range s.tasks {
		tk := &s.tasks[i]
		switch {
		case tk.done, tk.lent > 0:
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
func compareServices(a, b *want) int {
	return cmp.Or(cmp.Compare(b.lasting(), a.lasting()), cmp.Compare(a.image, b.image), cmp.Compare(a.bound, b.bound))
}

// compareRestarts orders lasting tasks that have run before others: the room that they
// lost must not go to new work.
func compareRestarts(a, b *want) int {
	switch {
	case a.restart == b.restart:
		return 0
	case a.restart:
		return -1
	}
	return 1
}

// lasting returns 1 for a lasting step with an image and 0 for others.
func (w *want) lasting() int {
	if w.image == "" {
		return 0
	}
	return 1
}
