package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// RunChecker records the starts and ends of runs on the workers and the violations of the
// contract: two runs of a task at once or a start after the task is done, unless the task is
// speculative, a start of a speculative task over a second after its end was acknowledged, unless
// the worker carried the order out late, a start long after the job was cancelled, a run that goes on
// after that, and three more starts of a task after three workers have crashed because of it. The
// workers call started, ended, crashed and acknowledged with the fleet's lock held.
type RunChecker struct {
	mu               sync.Mutex
	running          map[fleet.TaskName]map[string]int  // attempt by worker, for each task
	acknowledgedDone map[fleet.TaskName]bool            // tasks that ended done, and whose end the leader acknowledged
	acknowledgedAt   map[fleet.TaskName]time.Time       // when it acknowledged the first such end
	lastStart        map[fleet.TaskName]time.Time       // time of the last start
	done             map[string]map[fleet.TaskName]bool // tasks that ended done, by job
	startedAt        time.Time
	starts           int
	violations       []string
	// cancelled holds the time at which the cancellation of a job was acknowledged.
	cancelled map[string]time.Time
	// heldUntil is the time until which a worker may get orders that its link has held back.
	heldUntil map[model.WorkerID]time.Time
	// runs holds the runs on workers whose process runs.
	runs map[runOnWorker]*checkedRun
	// lastingRuns holds the runs of lasting tasks that have ended.
	lastingRuns map[fleet.TaskName][]Span
	// disturbed means that faults are in progress, linksDisturbed that some may keep workers from
	// being stopped; calmSince is when the last ones ended.
	disturbed, linksDisturbed bool
	calmSince                 time.Time
	// startsExcusedUntil is contactTime after the last Calm that followed Disturb.
	startsExcusedUntil time.Time
	// crashes counts the workers that each task has crashed, startsAfterCrashes its starts
	// after the first crashBudget of them. lostRuns counts the runs of each task that ended with
	// their worker, whatever the cause, failedRuns those that failed.
	crashes, startsAfterCrashes, lostRuns, failedRuns map[fleet.TaskName]int
	// lastAttempt holds the highest attempt of each task that has started.
	lastAttempt map[fleet.TaskName]int
	// InTouch, if set, reports whether nodes may be in touch now. The contract's bound on starts after
	// crashes does not hold for those that are ordered and carried out while none may be.
	InTouch func() bool
}

// runOnWorker names a run on a lifetime of a worker.
type runOnWorker struct {
	ref    fleet.RunRef
	worker *Worker
}

// checkedRun is a run that has not ended.
type checkedRun struct {
	startedAt time.Time
	late      bool // the worker carried the order out late
	reported  bool // as a violation
	lasting   bool
}

// NewRunChecker returns a checker without runs.
func NewRunChecker() *RunChecker {
	return &RunChecker{running: map[fleet.TaskName]map[string]int{}, acknowledgedDone: map[fleet.TaskName]bool{}, acknowledgedAt: map[fleet.TaskName]time.Time{}, lastStart: map[fleet.TaskName]time.Time{}, done: map[string]map[fleet.TaskName]bool{}, startedAt: time.Now(), cancelled: map[string]time.Time{}, heldUntil: map[model.WorkerID]time.Time{}, runs: map[runOnWorker]*checkedRun{}, lastingRuns: map[fleet.TaskName][]Span{}, crashes: map[fleet.TaskName]int{}, startsAfterCrashes: map[fleet.TaskName]int{}, lostRuns: map[fleet.TaskName]int{}, failedRuns: map[fleet.TaskName]int{}, lastAttempt: map[fleet.TaskName]int{}}
}

func (l *RunChecker) recordViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%v: ", time.Since(l.startedAt).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// AddViolation records a violation that another part of the simulation has found.
func (l *RunChecker) AddViolation(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolation("%s", what)
}

func (l *RunChecker) started(w *Worker, o fleet.StartOrder, task Task, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	if l.running[o.Task] == nil {
		l.running[o.Task] = map[string]int{}
	}
	if !task.Speculative {
		for other, attempt := range l.running[o.Task] {
			l.recordViolation("task %s attempt %d starts on %s while attempt %d runs on %s", o.Task, o.Attempt, w.Info.Worker, attempt, other)
		}
		if l.acknowledgedDone[o.Task] {
			l.recordViolation("task %s attempt %d starts on %s after it was done", o.Task, o.Attempt, w.Info.Worker)
		}
	}
	if at, ok := l.acknowledgedAt[o.Task]; ok && task.Speculative && !late && time.Since(at) > maxStartAfterEnd {
		l.recordViolation("task %s attempt %d starts on %s %v after its end was acknowledged", o.Task, o.Attempt, w.Info.Worker, time.Since(at))
	}
	job, _, _ := strings.Cut(string(o.Task), ".")
	inTouch := !l.disturbed && time.Now().After(l.startsExcusedUntil) && !l.heldBack(w)
	startedAfterCancel := false
	if at, ok := l.cancelled[job]; ok && inTouch && !late && time.Since(at) > MaxStartAfterCancel {
		startedAfterCancel = true
		l.recordViolation("%s: task %s attempt %d starts on %s %v after its job was cancelled", Unasked, o.Task, o.Attempt, w.Info.Worker, time.Since(at))
	}
	if l.crashes[o.Task] >= crashBudget && (late || l.InTouch == nil || l.InTouch()) {
		if l.startsAfterCrashes[o.Task]++; l.startsAfterCrashes[o.Task] >= maxStartsAfterCrashes {
			l.recordViolation("task %s attempt %d: start %d after %d workers have crashed under it", o.Task, o.Attempt, l.startsAfterCrashes[o.Task], crashBudget)
		}
	}
	l.running[o.Task][string(w.Info.Worker)] = o.Attempt
	l.runs[runOnWorker{o.RunRef, w}] = &checkedRun{startedAt: time.Now(), late: late, reported: startedAfterCancel, lasting: task.Lasting}
	l.lastStart[o.Task] = time.Now()
	l.lastAttempt[o.Task] = max(l.lastAttempt[o.Task], o.Attempt)
}

// maxStartAfterEnd is the contract's bound on the time from the acknowledgement that a task is done
// to the last start of a copy of it.
const maxStartAfterEnd = time.Second

// MaxStartAfterCancel is the contract's bound on the time from the acknowledgement of a
// cancellation to the last start of a task of the job. It does not hold for orders that a worker has
// carried out late.
const MaxStartAfterCancel = 3 * time.Second

// Unasked marks the violations by tasks of cancelled jobs.
const Unasked = "UNASKED"

const (
	// maxStop is the contract's bound on the time that a stop takes.
	maxStop = 500 * time.Millisecond
	// contactTime is how long after the end of faults, and after a start that was carried out late,
	// the contract's bounds begin.
	contactTime = 3 * time.Second
)

// Disturb records that faults begin: the bounds on cancelled jobs do not hold until contactTime after
// Calm.
func (l *RunChecker) Disturb() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkCancelledRuns()
	l.disturbed = true
}

// DisturbLinks records that faults begin which may keep workers from being stopped. Starts are checked
// as before.
func (l *RunChecker) DisturbLinks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkCancelledRuns()
	l.linksDisturbed = true
}

// Calm records that all faults have ended.
func (l *RunChecker) Calm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disturbed {
		l.startsExcusedUntil = time.Now().Add(contactTime)
	}
	l.disturbed, l.linksDisturbed, l.calmSince = false, false, time.Now()
}

// checkCancelledRuns records the runs that go on although their jobs were cancelled. The lock is
// held.
func (l *RunChecker) checkCancelledRuns() {
	for k, r := range l.runs {
		l.checkCancelledRun(k, r)
	}
}

// checkCancelledRun records a run that goes on, or ends only now, although its job was cancelled. The
// lock is held.
func (l *RunChecker) checkCancelledRun(k runOnWorker, r *checkedRun) {
	job, _, _ := strings.Cut(string(k.ref.Task), ".")
	cancelledAt, ok := l.cancelled[job]
	if !ok || l.disturbed || l.linksDisturbed || r.reported {
		return
	}
	limit := cancelledAt.Add(MaxStartAfterCancel + maxStop)
	if calm := l.calmSince.Add(contactTime + MaxStartAfterCancel + maxStop); calm.After(limit) {
		limit = calm
	}
	if late := r.startedAt.Add(contactTime + maxStop); r.late && late.After(limit) {
		limit = late
	}
	if time.Now().After(limit) {
		r.reported = true
		l.recordViolation("%s: task %s attempt %d runs on %s %v after its job was cancelled, %v after its start, late=%t",
			Unasked, k.ref.Task, k.ref.Attempt, k.worker.Info.Worker, time.Since(cancelledAt), time.Since(r.startedAt), r.late)
	}
}

// Contract for tasks that crash their workers: after crashBudget crashes a task must not be
// started maxStartsAfterCrashes times more.
const (
	crashBudget           = 3
	maxStartsAfterCrashes = 3
)

// crashed records that a task has crashed its worker.
func (l *RunChecker) crashed(task fleet.TaskName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[task]++
}

// lost records that a run ended with its worker.
func (l *RunChecker) lost(task fleet.TaskName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostRuns[task]++
}

// MayFail reports whether the contract allows that a job is given up because of crashes: two
// workers have ended under one of its tasks.
func (l *RunChecker) MayFail(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, n := range l.lostRuns {
		if n >= 2 && strings.HasPrefix(string(task), job+".") {
			return true
		}
	}
	return false
}

// Failures returns how many runs of one task of a job have failed, of that with the most.
func (l *RunChecker) Failures(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for task, n := range l.failedRuns {
		if strings.HasPrefix(string(task), job+".") {
			most = max(most, n)
		}
	}
	return most
}

// Crashes returns how many workers a task has crashed.
func (l *RunChecker) Crashes(task fleet.TaskName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashes[task]
}

// LastAttempt returns the highest attempt of a task that has started; 0 if it has not.
func (l *RunChecker) LastAttempt(task fleet.TaskName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAttempt[task]
}

// Cancelled records that the cancellation of a job was acknowledged; the first time counts.
func (l *RunChecker) Cancelled(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.cancelled[job]; !known {
		l.cancelled[job] = time.Now()
	}
}

// HeldBack records that the link of a worker has held orders back that arrive until a time.
func (l *RunChecker) HeldBack(w model.WorkerID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil[w] = until
}

// heldBack reports whether a worker's orders may be late. The lock is held.
func (l *RunChecker) heldBack(w *Worker) bool { return time.Now().Before(l.heldUntil[w.Info.Worker]) }

// Running returns the tasks of a job that run, each with attempt and worker.
func (l *RunChecker) Running(job string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []string
	for task, attempts := range l.running {
		if !strings.HasPrefix(string(task), job+".") {
			continue
		}
		for worker, attempt := range attempts {
			runs = append(runs, fmt.Sprintf("%s attempt %d on %s", task, attempt, worker))
		}
	}
	slices.Sort(runs)
	return runs
}

func (l *RunChecker) ended(w *Worker, r fleet.RunRef, _ Task, how fleet.EndKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if how == fleet.EndDone {
		job, _, _ := strings.Cut(string(r.Task), ".")
		if l.done[job] == nil {
			l.done[job] = map[fleet.TaskName]bool{}
		}
		l.done[job][r.Task] = true
	}
	if how == fleet.EndFailed {
		l.failedRuns[r.Task]++
	}
	delete(l.running[r.Task], string(w.Info.Worker))
	if k := (runOnWorker{r, w}); l.runs[k] != nil {
		l.checkCancelledRun(k, l.runs[k])
		if l.runs[k].lasting {
			l.lastingRuns[r.Task] = append(l.lastingRuns[r.Task], Span{l.runs[k].startedAt, time.Now()})
		}
		delete(l.runs, k)
	}
}

// acknowledged records that the leader has acknowledged the end of a run. An end does not
// count if the worker's lease expired before the acknowledgement: the leader had to treat the
// run as lost, so another attempt may already be in flight.
func (l *RunChecker) acknowledged(e listedEnd, task Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.How != fleet.EndDone {
		return
	}
	if e.leaseExpired {
		return
	}
	l.acknowledgedDone[e.Task] = true
	if l.acknowledgedAt[e.Task].IsZero() {
		l.acknowledgedAt[e.Task] = time.Now()
	}
	if !task.Speculative && l.lastStart[e.Task].After(e.at) {
		l.recordViolation("task %s started again after attempt %d was done", e.Task, e.Attempt)
	}
}

// StartCount returns the number of starts so far.
func (l *RunChecker) StartCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// DoneTasks returns the number of tasks of a job that have ended done.
func (l *RunChecker) DoneTasks(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.done[job])
}

// Started reports whether any task of a job has started.
func (l *RunChecker) Started(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task := range l.lastStart {
		if strings.HasPrefix(string(task), job+".") {
			return true
		}
	}
	return false
}

// Violations returns the violations so far.
func (l *RunChecker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkCancelledRuns()
	return append([]string(nil), l.violations...)
}

// AcknowledgedDone reports whether the leader has acknowledged that a task is done.
func (l *RunChecker) AcknowledgedDone(task fleet.TaskName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acknowledgedDone[task]
}
