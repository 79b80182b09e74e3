package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A task may crash each worker that starts it, and with the worker all other runs there. The
// worker does not tell which run was the cause. Each run that had just started is a suspect, the
// latest ones before others: a crash counts for its task, in the progress of the job, so that the
// next leader knows it. The next start of such a task is placed away from other new runs and from
// much other work. A task is given up, and its job fails, when it is the only prime suspect of a
// second crash at the same age, or after three crashes as a prime suspect. By contract a task may
// be given up after two crashes. Where workers have just ended without a suspect, others end for the
// same cause, some of them just after a start; then two crashes are not enough.
//
// The answer to a start may be lost, and the worker crash before it reports the run. Such a crash
// counts for one of the three as a prime suspect, and for no more: a start without an answer may have
// been sent to a worker that was already down, and the other two are enough by contract.
//
// A crash counts as soon as the worker refuses connections, since the leader may end before the
// worker is back. It no longer counts when a report of the worker, or of its next lifetime, lists
// the run, or when the next lifetime may have carried the start out and its leases end.

const (
	// earlyCrashAge is the age at the worker's last answer up to which a run is a suspect.
	earlyCrashAge = 1 * time.Second
	// sameAge is the difference of the ages of two runs that counts as none.
	sameAge = 100 * time.Millisecond
	// maxPrimeCrashes is the number of crashes as a prime suspect, and maxCrashes that of all
	// crashes, after which a task is given up. By contract it must not be started three times
	// more after three crashes; a change of leader may hide a crash.
	maxPrimeCrashes = 3
	maxCrashes      = 4
	// maxUnansweredCrashes is how many of maxPrimeCrashes may have come under starts without an answer. By
	// contract no task is given up without two crashes under runs that have begun.
	maxUnansweredCrashes = maxPrimeCrashes - 2
	// survivalAge is the age at which a run of a lasting task disproves earlier suspicions.
	survivalAge = 5 * time.Second
	// crashWindow is the longest time from a worker's last answer to the first call without one for
	// which the ages of its runs at the crash are known.
	crashWindow = 250 * time.Millisecond
	// otherCauseTime is how long the end of a worker without a suspect tells that workers end for
	// another cause than their runs.
	otherCauseTime = 10 * time.Second
	// apartTime is how long no other job starts on a worker after a task that was a prime suspect.
	apartTime = 300 * time.Millisecond
	// crashHarmBias is the cost of each run on a worker for a task that was a prime suspect,
	// suspectBias the cost of other runs there that would be suspects; see score.
	crashHarmBias = 0.25
	suspectBias   = 4.0
)

// taskCrash is the crash of a worker under an attempt of a task.
type taskCrash struct {
	Attempt int `cbor:"1,keyasint"`
	// AgeMS is the age of the run at the worker's last answer, in milliseconds.
	AgeMS int64 `cbor:"2,keyasint,omitempty"`
	// Prime means that no run of another job had started on the worker clearly later. It is false for
	// Unanswered.
	Prime bool `cbor:"3,keyasint,omitempty"`
	// Sole means that the task was a prime suspect before, at the same age, and that no run of
	// another job on the worker was one this time.
	Sole bool `cbor:"4,keyasint,omitempty"`
	// OtherCause means that workers had just ended for another cause than their runs.
	OtherCause bool `cbor:"5,keyasint,omitempty"`
	// Unanswered means that the start got no answer and no report has listed the run, so that it may not
	// have begun.
	Unanswered bool `cbor:"6,keyasint,omitempty"`
}

// primeCrashes counts the crashes in which the task was a prime suspect.
func (tk *task) primeCrashes() int {
	n := 0
	for _, c := range tk.crashes {
		if c.Prime {
			n++
		}
	}
	return n
}

// confirmedCrashes counts the crashes under runs that have certainly begun.
func (tk *task) confirmedCrashes() int {
	n := 0
	for _, c := range tk.crashes {
		if !c.Unanswered {
			n++
		}
	}
	return n
}

// crashesWorkers reports whether the crashes under a task are enough to give it up.
func (tk *task) crashesWorkers() bool {
	confirmed := tk.confirmedCrashes()
	return confirmed >= maxCrashes || tk.primeCrashes()+len(tk.crashes)-confirmed >= maxPrimeCrashes ||
		slices.ContainsFunc(tk.crashes, func(c taskCrash) bool { return c.Sole })
}

// addCrash adds a crash. Of those under starts without an answer the latest maxUnansweredCrashes are kept.
func (tk *task) addCrash(c taskCrash) {
	if c.Unanswered && len(tk.crashes)-tk.confirmedCrashes() >= maxUnansweredCrashes {
		oldest := slices.IndexFunc(tk.crashes, func(o taskCrash) bool { return o.Unanswered })
		tk.crashes = slices.Delete(tk.crashes, oldest, oldest+1)
	}
	tk.crashes = append(tk.crashes, c)
}

// primeBefore reports whether the task was a prime suspect of the crash of another attempt at
// the age of c, when no worker ended for another cause.
func (tk *task) primeBefore(c taskCrash) bool {
	return slices.ContainsFunc(tk.crashes, func(o taskCrash) bool {
		return o.Prime && !o.OtherCause && o.Attempt != c.Attempt && max(o.AgeMS-c.AgeMS, c.AgeMS-o.AgeMS) <= sameAge.Milliseconds()
	})
}

// early reports whether the run had just started when its worker answered last.
func (r *run) early() bool { return !r.adopted && r.seenRunning() <= earlyCrashAge }

// loseRuns drops the runs of a worker whose lifetime or leases have certainly ended.
func (t *term) loseRuns(w *worker, reason string) {
	t.recordCrash(w, true, reason != reasonLeaseOver)
	for _, r := range w.runs {
		if reason == reasonLeaseOver {
			t.withdrawCrashInDoubt(r)
		}
		t.markLost(r, reason)
	}
}

// recordCrash counts a crash of a worker for the tasks of the runs that it has begun, or may have begun:
// a start without an answer, which may have been sent to a worker that was already down, counts for less.
// Before the crash is certain, it counts only for runs that had just started. Unless the lifetime has
// ended, the worker may only be unreachable: then it must refuse connections, and no task is the sole
// suspect.
func (t *term) recordCrash(w *worker, certain, lifetimeEnded bool) {
	if len(w.runs) == 0 || !w.answered || !(lifetimeEnded || w.refusesCalls) || t.departurePlanned(w) {
		return
	}
	for _, r := range w.runs {
		tk := r.trackedTask()
		if tk == nil || r.state == runHeld || r.startedElsewhere() || ((!certain || r.step.Lasting) && !r.early()) {
			continue
		}
		age, leastAge := r.seenRunning(), w.leastAgeOfOthers(r.job)
		c := taskCrash{Attempt: r.ref.Attempt, AgeMS: age.Milliseconds(), Unanswered: !r.answered}
		c.Prime = r.answered && w.crashTimeKnown(t.now) && r.early() && age <= leastAge+sameAge
		c.OtherCause = !t.endedWithoutSuspect.IsZero() && t.now.Sub(t.endedWithoutSuspect) <= otherCauseTime
		c.Sole = c.Prime && !c.OtherCause && lifetimeEnded && age+sameAge < leastAge && tk.primeBefore(c)
		i := slices.IndexFunc(tk.crashes, func(o taskCrash) bool { return o.Attempt == c.Attempt })
		switch {
		case i < 0:
			tk.addCrash(c)
		case tk.crashes[i] == c || !certain:
			continue
		default:
			tk.crashes[i] = c
		}
		r.job.dirty, r.crashed = true, true
		t.log.WithFields(logrus.Fields{"decision": "crash", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": w.info.Worker, "certain": certain,
			"seen_ms": c.AgeMS, "prime": c.Prime, "sole": c.Sole, "other_cause": c.OtherCause, "unanswered": c.Unanswered, "crashes": len(tk.crashes)}).Log(t.rowLogLevel(), "worker crashed under a run")
	}
}

// observeEnd records the end of a lifetime that no run explains.
func (t *term) observeEnd(w *worker) {
	if !w.endObserved && !w.hasSuspect() && !t.departurePlanned(w) {
		t.endedWithoutSuspect = t.now
	}
	w.endObserved = true // its runs are dropped now
}

// hasSuspect reports whether a run on w may have ended it: one that had just started when the worker
// answered last, or one that no report has listed, as its start may be carried out late.
func (w *worker) hasSuspect() bool {
	for _, r := range w.runs {
		if r.state != runHeld && (!r.listed || r.seenRunning() <= earlyCrashAge) {
			return true
		}
	}
	return false
}

// startedElsewhere reports whether another lifetime than that of r.worker got the start order.
func (r *run) startedElsewhere() bool {
	return !r.listed && r.sentTo != 0 && r.worker.info.Born != 0 && r.sentTo != r.worker.info.Born
}

// withdrawCrashInDoubt removes the crash of a lifetime that may not have begun the run. Had the run
// ended with that lifetime, only a report of the next one would tell.
func (t *term) withdrawCrashInDoubt(r *run) {
	if tk := r.trackedTask(); tk != nil && r.crashInDoubt {
		t.withdrawCrash(r.job, tk, r.ref.Attempt)
	}
}

// withdrawUnansweredCrash removes the crash that counts under a run although its start got no answer, as
// the lifetime of the worker that got the start has not begun the run.
func (t *term) withdrawUnansweredCrash(r *run) {
	if tk := r.trackedTask(); tk != nil && r.crashed && slices.ContainsFunc(tk.crashes, func(c taskCrash) bool { return c.Unanswered && c.Attempt == r.ref.Attempt }) {
		t.withdrawCrash(r.job, tk, r.ref.Attempt)
	}
}

// crashTimeKnown reports whether a crash of the worker that shows at now is known to have followed
// its last answer at once. Otherwise its runs may have been much older, or have ended.
func (w *worker) crashTimeKnown(now time.Time) bool {
	if w.unansweredCalls > 0 {
		now = w.silentSince
	}
	return now.Sub(w.clockAt) <= crashWindow
}

// suspectCrash handles a call without an answer. A worker that refuses connections has most
// likely crashed; one that broke a connection off is asked again at once.
func (t *term) suspectCrash(w *worker, err error) {
	switch {
	case model.IsKind(err, model.KindUnavailable):
		w.refusesCalls = true
		t.recordCrash(w, false, false)
	case w.unansweredCalls == 1 && w.leastAgeOfOthers(nil) <= earlyCrashAge:
		t.probe(w)
	}
}

// leastAgeOfOthers returns the age at the worker's last answer of the run that was started last
// among those of jobs other than j.
func (w *worker) leastAgeOfOthers(j *job) time.Duration {
	least := time.Duration(math.MaxInt64) - sameAge
	for _, r := range w.runs {
		if r.job != j && !r.adopted && r.state != runHeld {
			least = min(least, r.seenRunning())
		}
	}
	return least
}

// trackedTask returns the task of a run whose crashes count, or nil.
func (r *run) trackedTask() *task {
	if r.job == nil || r.step == nil || r.job.over() {
		return nil
	}
	_, tk := r.job.task(r.key)
	if tk == nil || tk.done {
		return nil
	}
	return tk
}

// observeSurvival corrects the crashes of a task when its worker reports the run: that attempt
// has not crashed the worker. A lasting task that runs for survivalAge crashes none.
func (t *term) observeSurvival(r *run) {
	tk := r.trackedTask()
	if tk == nil {
		return
	}
	t.withdrawCrash(r.job, tk, r.ref.Attempt)
	r.crashed = false
	if r.step.Lasting && !r.adopted && t.now.Sub(r.startedAt) > survivalAge && len(tk.crashes) > 0 {
		tk.crashes, r.job.dirty, r.crashesBefore = nil, true, false
	}
}

// withdrawCrash removes the crash of an attempt, whose worker has reported it since.
func (t *term) withdrawCrash(j *job, tk *task, attempt int) {
	if i := slices.IndexFunc(tk.crashes, func(c taskCrash) bool { return c.Attempt == attempt }); i >= 0 {
		tk.crashes = slices.Delete(tk.crashes, i, i+1)
		j.dirty = true
	}
}

// giveUpCrashingTasks fails the jobs of waiting tasks that crash their workers, and returns the
// steps of the others.
func (t *term) giveUpCrashingTasks(waiting []*waitingStep) []*waitingStep {
	gaveUp := false
	for _, w := range waiting {
		for _, i := range w.tasks {
			if tk := &w.occurrence.steps[w.index].tasks[i]; tk.crashesWorkers() && !w.job.over() {
				t.giveUp(w.job, w.key(i), tk)
				gaveUp = true
			}
		}
	}
	if !gaveUp {
		return waiting
	}
	return slices.DeleteFunc(waiting, func(w *waitingStep) bool { return w.job.over() })
}

// giveUp fails a job because one of its tasks crashes its workers.
func (t *term) giveUp(j *job, key taskKey, tk *task) {
	j.failureReason = fmt.Sprintf("%d workers crashed under task %d of step %d", tk.confirmedCrashes(), key.index, key.step)
	j.endedAt, j.dirty = t.now, true
	t.metrics.gaveUp.Inc()
	t.log.WithFields(logrus.Fields{"decision": "give-up", "job": j.id, "task": key.Name(j.id), "crashes": len(tk.crashes),
		"confirmed": tk.confirmedCrashes(), "prime": tk.primeCrashes(), "reason": j.failureReason}).Warn("giving up a task that crashes its workers")
	t.cancelLentTasks(j)
	t.stopFinishedJob(j)
}

// crashCost rates a worker for a task that was a prime suspect: it should harm little other work and
// share the worker with no other suspect, so that a further crash has one cause.
func (p *placement) crashCost(w *worker, r taskRequest) float64 {
	if r.task == nil || r.task.primeCrashes() == 0 {
		return 0
	}
	cost := crashHarmBias * float64(len(w.runs))
	if w.lastStartJob != r.job && p.now.Sub(w.lastStart) <= earlyCrashAge {
		cost += suspectBias
	}
	return cost
}

// observeStart records the start of a run for the decisions about later starts on its worker.
func (w *worker) observeStart(r *run) {
	w.lastStart, w.lastStartJob, w.apartJob = r.startedAt, r.job, nil
	if r.crashesBefore {
		w.apartJob = r.job
	}
}

// keepsApart reports whether no task of j must start on w yet because a task of another job that may
// crash the worker has just started there.
func (w *worker) keepsApart(j *job, now time.Time) bool {
	return w.apartJob != nil && w.apartJob != j && now.Sub(w.lastStart) <= apartTime
}
