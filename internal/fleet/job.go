package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// attemptsPerTerm separates the attempt numbers of terms: a new leader does not
// know which numbers its predecessor used for starts that nobody has seen.
const attemptsPerTerm = 64

// taskKey names a task within its job.
type taskKey struct{ occurrence, step, index int }

// Name returns the name of a task towards workers.
func (k taskKey) Name(job string) TaskName {
	return TaskName(job + "." + strconv.Itoa(k.occurrence) + "." + strconv.Itoa(k.step) + "." + strconv.Itoa(k.index))
}

// StepName names the step of an occurrence, as the advisor knows it.
func (k taskKey) StepName(job string) string {
	return fmt.Sprintf("%s.%d.%d", job, k.occurrence, k.step)
}

// parseTask splits a task's name into the job's id and the key.
func parseTask(name TaskName) (string, taskKey, bool) {
	parts := strings.Split(string(name), ".")
	if len(parts) != 4 {
		return "", taskKey{}, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return "", taskKey{}, false
		}
		n[i] = v
	}
	return parts[0], taskKey{n[0], n[1], n[2]}, true
}

// task is the state of one task.
type task struct {
	done bool
	// failed lists the attempts that ended by failure, so that an end that is
	// reported twice counts once.
	failed []int
	// failedOn lists the workers of these attempts, as far as this term knows.
	failedOn []model.WorkerID
	// attempt is the highest number that was used.
	attempt int
	// checkpoint is the newest that is known.
	checkpoint string
	runs       []*run
	// notBefore delays the next start.
	notBefore time.Time
	// lent is one more than the cell that runs the task for this one; 0 for none. Stuck
	// is since when a lasting task that ran has found no worker.
	lent     int
	lentSent bool // the row for the other cell is on its way, or there
	stuck    time.Time
}

// hasFailed reports whether the failure of an attempt was counted.
func (t *task) hasFailed(attempt int) bool {
	for _, a := range t.failed {
		if a == attempt {
			return true
		}
	}
	return false
}

// runsOn reports whether a run of the task is on w.
func (t *task) runsOn(w *worker) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker == w })
}

// stepState is the state of a step of one occurrence.
type stepState struct {
	tasks []task
	left  int // tasks that are not done
	// ready is when the steps before were done; zero while they are not.
	ready  time.Time
	advice *advice
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	number int
	// due is when the occurrence may start.
	due   time.Time
	steps []stepState
	left  int // steps that are not done
}

// job is an accepted submission.
type job struct {
	id    string
	queue string
	spec  Spec
	// accepted is the version of the job's row.
	accepted uint64
	// arrived is when the job was accepted, on this node's clock.
	arrived time.Time
	// inherited jobs were accepted before this term; earlier terms may have
	// started tasks that nobody has seen.
	inherited bool
	chains    []time.Duration

	cancelled   bool
	failed      string // reason; empty when the job has not failed
	started     bool
	occurrences []*occurrence // open ones
	opened      int           // occurrences opened so far
	finished    map[int]bool  // occurrences that are done

	// acceptedAt is the store's steady clock at acceptance, as stored.
	acceptedAt time.Duration
	// seen is when this term heard of the job.
	seen time.Time
	// attempts is the highest number that other cells may have used for a start.
	attempts int
	// path lists the cells that the job has left before this one.
	path []int
	// lapsed means that a run was given up as its worker's lease was over.
	lapsed bool
	// moved is one more than the cell to which the job has moved; 0 for none. Its row
	// is there when arrivedThere is set.
	moved        int
	arrivedThere bool
	// borrowed holds the rows by which another cell, which owns the job, has lent some of
	// its tasks; empty for the cell's own jobs.
	borrowed []RowID
	// moveCheck is when a better cell is looked for next; waitsForNews means that the job
	// does not begin before other cells have told of their load.
	moveCheck    time.Time
	waitsForNews bool

	// shown is the state that callers may see: it is durable where it is final.
	shown State
	// dirty marks progress that is not in the store yet.
	dirty bool
	// ended is when the job became final.
	ended time.Time
}

func newJob(id string, r jobRecord, version uint64, arrived time.Time) *job {
	return &job{
		id: id, queue: r.Queue, spec: r.Spec, accepted: version, arrived: arrived, acceptedAt: r.AcceptedAt, path: r.Path, attempts: r.Attempts,
		chains: r.Spec.Chains(), finished: map[int]bool{}, shown: StateQueued,
	}
}

// state derives the state from the progress.
func (j *job) state() State {
	switch {
	case j.cancelled:
		return StateCancelled
	case j.failed != "":
		return StateFailed
	case len(j.finished) >= j.spec.Occurrences():
		return StateCompleted
	case j.started:
		return StateRunning
	}
	return StateQueued
}

// over reports whether no task of the job may start any more in this cell.
func (j *job) over() bool {
	return j.moved > 0 || j.cancelled || j.failed != "" || j.state() == StateCompleted
}

// dueAt returns the due time of occurrence k; zero for work without a schedule.
// wall converts a time of day to this node's steady clock.
func (j *job) dueAt(k int, wall func(unixMS int64) time.Time) time.Time {
	if j.spec.Repeats == 0 {
		return time.Time{}
	}
	return wall(j.spec.StartAt + int64(k)*j.spec.Interval.Milliseconds())
}

// open adds the occurrences that are due at now.
func (j *job) open(now time.Time, early time.Duration, wall func(int64) time.Time) {
	for j.opened < j.spec.Occurrences() {
		due := j.dueAt(j.opened, wall)
		if due.Sub(now) > early {
			return
		}
		if !j.finished[j.opened] && j.find(j.opened) == nil {
			j.add(j.opened, due, now)
		}
		j.opened++
	}
}

// add opens occurrence k.
func (j *job) add(k int, due, now time.Time) *occurrence {
	o := &occurrence{number: k, due: due, steps: make([]stepState, len(j.spec.Steps)), left: len(j.spec.Steps)}
	for i, s := range j.spec.Steps {
		o.steps[i] = stepState{tasks: make([]task, s.Count), left: s.Count}
	}
	j.occurrences = append(j.occurrences, o)
	o.advance(j.spec, now)
	return o
}

// find returns open occurrence k, or nil.
func (j *job) find(k int) *occurrence {
	for _, o := range j.occurrences {
		if o.number == k {
			return o
		}
	}
	return nil
}

// task returns a task of an open occurrence, or nil.
func (j *job) task(k taskKey) (*occurrence, *task) {
	o := j.find(k.occurrence)
	if o == nil || k.step >= len(o.steps) || k.index >= len(o.steps[k.step].tasks) {
		return nil, nil
	}
	return o, &o.steps[k.step].tasks[k.index]
}

// advance marks steps ready whose predecessors are done.
func (o *occurrence) advance(spec Spec, now time.Time) {
	for i := range o.steps {
		if !o.steps[i].ready.IsZero() {
			continue
		}
		ready := true
		for _, a := range spec.Steps[i].After {
			ready = ready && o.steps[a].left == 0
		}
		if ready {
			o.steps[i].ready = now
		}
	}
}

// finishTask records that a task is done and reports whether that is new.
func (j *job) finishTask(k taskKey, now time.Time) bool {
	o, t := j.task(k)
	if t == nil || t.done || j.spec.Steps[k.step].Lasting {
		return false
	}
	t.done, t.checkpoint, j.dirty = true, "", true
	s := &o.steps[k.step]
	if s.left--; s.left > 0 {
		return true
	}
	if o.left--; o.left > 0 {
		o.advance(j.spec, now)
		return true
	}
	j.close(o)
	return true
}

// close removes a finished occurrence.
func (j *job) close(done *occurrence) {
	j.finished[done.number] = true
	for i, o := range j.occurrences {
		if o == done {
			j.occurrences = append(j.occurrences[:i], j.occurrences[i+1:]...)
			return
		}
	}
}

// failTask counts a failed attempt. It fails the job when the budget is used up;
// lasting tasks have none.
func (j *job) failTask(k taskKey, attempt, budget int, now time.Time) {
	_, t := j.task(k)
	if t == nil || t.done || t.hasFailed(attempt) {
		return
	}
	j.dirty = true
	if j.spec.Steps[k.step].Lasting {
		return
	}
	t.failed = append(t.failed, attempt)
	if budget > 0 && len(t.failed) >= budget {
		j.failed = fmt.Sprintf("task %d of step %d failed %d times", k.index, k.step, len(t.failed))
		j.ended = now
	}
}

// nextAttempt returns the number for the next start of t in a term.
func (j *job) nextAttempt(t *task, term uint64) int {
	next := max(t.attempt, j.attempts) + 1
	if j.inherited {
		next = max(next, j.attempts+int(term-1)*attemptsPerTerm+1)
	}
	return next
}

// remaining estimates the time from the start of step s to the end of the job's
// longest chain.
func (j *job) remaining(step int) time.Duration { return j.chains[step] }
