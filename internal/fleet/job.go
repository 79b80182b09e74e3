package fleet

import (
	"fmt"
	"iter"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// attemptsPerTerm is the size of the range of attempt numbers of each term. A new leader
// does not know which numbers its predecessor used for starts that it has not seen.
const attemptsPerTerm = 64

// taskKey names a task within its job.
type taskKey struct{ occurrence, step, index int }

// Name returns the name of a task on the wire to workers.
func (k taskKey) Name(job string) TaskName {
	return TaskName(job + "." + strconv.Itoa(k.occurrence) + "." + strconv.Itoa(k.step) + "." + strconv.Itoa(k.index))
}

// StepName returns the name of the step of an occurrence that the advisor knows.
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
	// failed lists the attempts that failed, so that a failure that is reported twice counts
	// once.
	failed []int
	// failedOn lists the workers of these attempts that this term knows.
	failedOn []model.WorkerID
	// crashes lists the attempts under which a worker crashed.
	crashes []taskCrash
	// attempt is the highest attempt number known to be used.
	attempt int
	// checkpoint is the newest known checkpoint.
	checkpoint string
	runs       []*run
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// mayBeDone means that the end of a run may not be known: the run was lost with its worker, or
	// an earlier term has started it. The task may have been done unseen.
	mayBeDone bool
	// busyStalls counts the runs that this term has stopped as hung while they used processor time.
	busyStalls int
	// lentTo is one more than the cell that borrows the task; 0 for none.
	lentTo   int
	lentSent bool // the row for the other cell is being written or exists
	// loans counts how often the task was lent. In a borrowed job it is the number of the loan.
	loans int
	// returnedBy is one more than the cell that returned the task last, at returnedAt, as cell
	// capacityIn had capacity for it; 0 for none.
	returnedBy, capacityIn int
	returnedAt             time.Time
	account                taskAccount
	// unplacedSince is when a lasting task of a started job was first found without a worker.
	unplacedSince time.Time
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
	tasks     []task
	remaining int // tasks that are not done
	// readyAt is when all preceding steps were done; zero until then.
	readyAt time.Time
	advice  *stepAdvice
	// claims holds the workers whose room lost tasks of the step claim.
	claims []*worker
	// waits is why the last plan did not place all startable tasks.
	waits waitReason
}

// occurrence is one pass through the steps of a job.
type occurrence struct {
	number int
	// due is when the occurrence may start.
	due       time.Time
	steps     []stepState
	remaining int // steps that are not done
}

// job is an accepted submission.
type job struct {
	id    string
	queue string
	spec  Spec
	// acceptedVersion is the version of the job's row.
	acceptedVersion uint64
	// acceptedLocalTime is when the job was accepted, on this node's clock.
	acceptedLocalTime time.Time
	// inherited jobs were accepted before the last transaction of an earlier term, which may have
	// started tasks that this term has not seen.
	inherited      bool
	chainEstimates []time.Duration

	cancelled           bool
	failureReason       string        // empty when the job has not failed
	started             bool          // a start order was sent or is held back
	begun               bool          // a worker has told that a task began
	occurrences         []*occurrence // open occurrences
	openedOccurrences   int           // number of occurrences opened so far
	finishedOccurrences map[int]bool  // numbers of the occurrences that are done

	// acceptedStoreTime is the store's monotonic clock at acceptance, as stored.
	acceptedStoreTime time.Duration
	// learnedAt is when this term learned of the job.
	learnedAt time.Time
	// attemptBase is the highest attempt number that other cells may have used.
	attemptBase int
	// previousCells lists the cells that the job has left before this one.
	previousCells []int
	// cancellationUnread means that the job comes from another cell and that this term has not read
	// yet whether it was cancelled there.
	cancellationUnread bool
	// leaseExpired means that a run was marked lost because its worker's lease had expired.
	leaseExpired bool
	// movedTo is one more than the cell to which the job has moved; 0 for none. moveStored
	// means that the job's row for that cell is stored.
	movedTo    int
	moveStored bool
	// borrowed holds the rows by which another cell, which owns the job, has lent some of
	// its tasks to this cell; empty for the cell's own jobs.
	borrowed []RowID
	// formerlyLent names the tasks that were lent before this term, of a job that is over.
	formerlyLent []string
	// returns are the rows that return borrowed tasks with the next transaction.
	returns []Row
	// nextMoveCheck is the earliest time of the next check for a better cell. waitsForCellLoads
	// means that the job does not start before newer loads of other cells are known.
	nextMoveCheck     time.Time
	waitsForCellLoads bool

	account jobAccount
	// runEndedAt is when a run of the job last ended, as far as this term knows.
	runEndedAt time.Time

	// visibleState is the state that callers see: the one that is stored, so that a node that
	// reads it from the store shows no older one.
	visibleState State
	// dirty marks progress that is not stored yet.
	dirty bool
	// chunkSums holds the checksums of the stored chunks of the progress. needsOwnCommit means that
	// its rows did not fit into the last transaction beside others.
	chunkSums      []uint64
	needsOwnCommit bool
	// endedAt is when the job ended.
	endedAt time.Time
}

func newJob(id string, r jobRecord, version uint64, arrived time.Time) *job {
	return &job{
		id: id, queue: r.Queue, spec: r.Spec, acceptedVersion: version, acceptedLocalTime: arrived, acceptedStoreTime: r.AcceptedAt, previousCells: r.PreviousCells, attemptBase: r.AttemptBase,
		chainEstimates: r.Spec.Chains(), finishedOccurrences: map[int]bool{}, visibleState: StateQueued,
	}
}

// key is the key of the job among those of a term and of its progress. The tasks of a job that a
// cell borrows are apart from the job itself, which the cell may have left or may own later.
func (j *job) key() string {
	if len(j.borrowed) > 0 {
		return loanKey(j.id)
	}
	return j.id
}

// state derives the state from the progress.
func (j *job) state() State {
	switch {
	case j.cancelled && j.movedTo == 0:
		return StateCancelled
	case j.failureReason != "":
		return StateFailed
	case len(j.finishedOccurrences) >= j.spec.Occurrences():
		return StateCompleted
	case j.started:
		return StateRunning
	}
	return StateQueued
}

// over reports whether this cell must not start tasks of the job any more.
func (j *job) over() bool {
	return j.movedTo > 0 || j.cancelled || j.failureReason != "" || j.state() == StateCompleted
}

// dueAt returns the due time of occurrence k; zero for jobs without a schedule. The function
// toMonotonic converts a wall-clock time to this node's monotonic clock.
func (j *job) dueAt(k int, toMonotonic func(unixMS int64) time.Time) time.Time {
	if j.spec.Repeats == 0 {
		return time.Time{}
	}
	return toMonotonic(j.spec.StartAt + int64(k)*j.spec.Interval.Milliseconds())
}

// openDue opens the occurrences that are due at now, or at most the duration early after it. The
// open ones together have at most maxTasks tasks; the next is opened once one of them has ended.
func (j *job) openDue(now time.Time, early time.Duration, toMonotonic func(int64) time.Time) {
	for j.openedOccurrences < j.spec.Occurrences() {
		due := j.dueAt(j.openedOccurrences, toMonotonic)
		if due.Sub(now) > early {
			return
		}
		if !j.finishedOccurrences[j.openedOccurrences] && j.openOccurrenceAt(j.openedOccurrences) == nil {
			if tasks := j.spec.tasks(); len(j.occurrences)*tasks > maxTasks-tasks {
				return
			}
			j.openOccurrence(j.openedOccurrences, due, now)
		}
		j.openedOccurrences++
	}
}

// openOccurrence opens occurrence k.
func (j *job) openOccurrence(k int, due, now time.Time) *occurrence {
	o := &occurrence{number: k, due: due, steps: make([]stepState, len(j.spec.Steps)), remaining: len(j.spec.Steps)}
	for i, s := range j.spec.Steps {
		o.steps[i] = stepState{tasks: make([]task, s.Count), remaining: s.Count}
	}
	j.occurrences = append(j.occurrences, o)
	o.advance(j.spec, now)
	return o
}

// openOccurrenceAt returns open occurrence k, or nil.
func (j *job) openOccurrenceAt(k int) *occurrence {
	for _, o := range j.occurrences {
		if o.number == k {
			return o
		}
	}
	return nil
}

// task returns a task of an open occurrence, or nil.
func (j *job) task(k taskKey) (*occurrence, *task) {
	o := j.openOccurrenceAt(k.occurrence)
	if o == nil || k.step >= len(o.steps) || k.index >= len(o.steps[k.step].tasks) {
		return nil, nil
	}
	return o, &o.steps[k.step].tasks[k.index]
}

// openTasks yields the tasks that are not done of the steps that are ready, with their steps.
func (j *job) openTasks() iter.Seq2[*stepState, *task] {
	return func(yield func(*stepState, *task) bool) {
		for _, o := range j.occurrences {
			for i := range o.steps {
				s := &o.steps[i]
				if s.readyAt.IsZero() || s.remaining == 0 {
					continue
				}
				for n := range s.tasks {
					if tk := &s.tasks[n]; !tk.done && !yield(s, tk) {
						return
					}
				}
			}
		}
	}
}

// advance marks steps as ready whose predecessors are done.
func (o *occurrence) advance(spec Spec, now time.Time) {
	for i := range o.steps {
		if !o.steps[i].readyAt.IsZero() {
			continue
		}
		ready := true
		for _, a := range spec.Steps[i].After {
			ready = ready && o.steps[a].remaining == 0
		}
		if ready {
			o.steps[i].readyAt = now
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
	if s.remaining--; s.remaining > 0 {
		return true
	}
	j.account.addStep(len(j.spec.Steps[k.step].After) == 0, &t.account)
	if o.remaining--; o.remaining > 0 {
		o.advance(j.spec, now)
		return true
	}
	j.close(o)
	return true
}

// close removes a finished occurrence from the open ones.
func (j *job) close(done *occurrence) {
	j.finishedOccurrences[done.number] = true
	for i, o := range j.occurrences {
		if o == done {
			j.occurrences = append(j.occurrences[:i], j.occurrences[i+1:]...)
			return
		}
	}
}

// failTask counts a failed attempt. It fails the job when the task has failed budget times.
// Lasting tasks have no budget.
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
		j.failureReason = fmt.Sprintf("task %d of step %d failed %d times", k.index, k.step, len(t.failed))
		j.endedAt = now
	}
}

// nextAttempt returns the attempt number for the next start of t in a term.
func (j *job) nextAttempt(t *task, term uint64) int {
	next := max(t.attempt, j.attemptBase) + 1
	if j.inherited {
		next = max(next, j.attemptBase+int(term-1)*attemptsPerTerm+1)
	}
	return next
}

// remainingChain estimates the time from the start of a step to the end of the longest
// chain of steps that begins with it.
func (j *job) remainingChain(step int) time.Duration { return j.chainEstimates[step] }
