package fleet

import (
	"time"

	"github.com/sirupsen/logrus"
)

// taskAccount says where the time of a task went, apart from work at full speed.
type taskAccount struct {
	// idleSince is since when the task has no run; zero before its first one.
	idleSince time.Time
	// waited is the time without a run, slowed the time that slower paces cost, and repeated
	// the time of runs whose work was lost.
	waited, slowed, repeated time.Duration
}

// startRun ends the wait of a task whose step is ready since readyAt.
func (a *taskAccount) startRun(readyAt, now time.Time) {
	if a.idleSince.Before(readyAt) {
		a.idleSince = readyAt
	}
	a.waited += now.Sub(a.idleSince)
}

// idleTime returns how long the task has been without a run; 0 before its first one.
func (a *taskAccount) idleTime(now time.Time) time.Duration {
	if a.idleSince.IsZero() {
		return 0
	}
	return now.Sub(a.idleSince)
}

// endRun adds a run. The work of a run that did not complete is lost unless its task can
// resume from a checkpoint.
func (a *taskAccount) endRun(r *run, completed, resumable bool, now time.Time) {
	a.idleSince = now
	a.slowed += r.slowedTime(now)
	if !completed && !resumable {
		a.repeated += now.Sub(r.startedAt)
	}
}

// slowedTime returns how much of its time the run has lost to slower paces.
func (r *run) slowedTime(now time.Time) time.Duration {
	if r.step == nil || !r.step.Filler || r.paceSetAt.IsZero() {
		return r.slowed
	}
	return r.slowed + now.Sub(r.paceSetAt)*time.Duration(100-r.pace)/100
}

// jobAccount says where the time of a job went. Of each step it counts the task that ended
// last.
type jobAccount struct{ firstWait, nextWait, slowed, repeated time.Duration }

func (a *jobAccount) addStep(first bool, t *taskAccount) {
	if first {
		a.firstWait += t.waited
	} else {
		a.nextWait += t.waited
	}
	a.slowed += t.slowed
	a.repeated += t.repeated
}

// Kinds of jobs in logs and metrics, by their first step.
const (
	kindLasting = "lasting"
	kindFiller  = "filler"
	kindShort   = "short"
)

func (j *job) kind() string {
	switch s := j.spec.Steps[0]; {
	case s.Lasting:
		return kindLasting
	case s.Filler:
		return kindFiller
	}
	return kindShort
}

// Verdicts on jobs that ended, by their objective.
const (
	verdictOnTime  = "on-time"
	verdictLate    = "late"
	verdictExpired = "expired"
)

// accountFields returns the log fields of the account of a job that ended.
func (t *term) accountFields(j *job) logrus.Fields {
	took := t.now.Sub(j.acceptedLocalTime)
	fields := logrus.Fields{"decision": "job", "job": j.id, "queue": j.queue, "kind": j.kind(), "choice": j.state(), "reason": j.failureReason, "took_ms": took.Milliseconds()}
	objective := t.objective(j)
	if objective == 0 {
		return fields
	}
	verdict := verdictOnTime
	switch {
	case took > expiryFactor*objective:
		verdict = verdictExpired
	case took > objective:
		verdict = verdictLate
	}
	fields["verdict"], fields["objective_ms"] = verdict, objective.Milliseconds()
	fields["first_wait_ms"], fields["next_wait_ms"] = j.account.firstWait.Milliseconds(), j.account.nextWait.Milliseconds()
	fields["slowed_ms"], fields["repeated_ms"] = j.account.slowed.Milliseconds(), j.account.repeated.Milliseconds()
	return fields
}

// objective returns how long a job may take; 0 for lasting jobs and those with a schedule.
func (t *term) objective(j *job) time.Duration {
	if j.spec.Repeats > 0 || j.spec.Steps[0].Lasting {
		return 0
	}
	deadline, _ := objectiveTimes(j, &occurrence{}, t.queues[j.queue])
	return deadline.Sub(j.acceptedLocalTime)
}

// loadLogInterval is the interval of the lines that describe the load of a cell.
const loadLogInterval = time.Second

// logLoad logs, once per loadLogInterval, how the processors are used, what waits for them
// and whether services work within their targets.
func (t *term) logLoad(waiting []*waitingStep) {
	if t.now.Sub(t.loadLoggedAt) < loadLogInterval {
		return
	}
	t.loadLoggedAt = t.now
	var capacity, free, largestFree, largestLater, largestUnclaimed, claimed, servicesReserved, shortReserved, fillerDemand, held int64
	services, atWork, overTarget, slowed := 0, 0, 0, 0
	for _, w := range t.workers {
		if t.unusableReason(w) == "" {
			capacity += w.info.Capacity.MilliCPU
			free += w.free().MilliCPU
			claimed += t.claimed[w].MilliCPU
			largestFree = max(largestFree, w.free().MilliCPU)
			largestLater = max(largestLater, w.endingCapacity().MilliCPU)
			largestUnclaimed = max(largestUnclaimed, w.endingCapacity().Sub(t.claimed[w]).MilliCPU)
		}
		fillerDemand += w.fillerMilliCPU
		servicesReserved += w.servingMilliCPU
		for _, r := range w.runs {
			switch {
			case r.step == nil || !r.live():
			case r.step.Lasting:
				services++
				if r.percent >= readyPercent {
					atWork++
				}
				if !r.overTargetSince.IsZero() {
					overTarget++
				}
			case r.step.Filler:
				if r.pace < readyPercent {
					slowed++
				}
			default:
				shortReserved += r.reserved.MilliCPU
			}
		}
	}
	for _, d := range t.shortWork {
		held += d.free()
	}
	t.metrics.held.Set(float64(held))
	waits := map[string]int{}
	for _, w := range waiting {
		for _, i := range w.tasks {
			if len(w.state().tasks[i].runs) == 0 {
				waits[w.job.kind()]++
			}
		}
	}
	reasons := t.sumWaits()
	t.metrics.recordWaits(reasons)
	fields := logrus.Fields{"decision": "load", "capacity_cpu": capacity, "free_cpu": free, "claimed_cpu": claimed,
		"largest_free_cpu": largestFree, "largest_later_cpu": largestLater, "largest_unclaimed_cpu": largestUnclaimed, "services_cpu": servicesReserved,
		"short_cpu": shortReserved, "filler_cpu": fillerDemand, "held_cpu": held, "waiting_short": waits[kindShort], "waiting_filler": waits[kindFiller],
		"waiting_lasting": waits[kindLasting], "services": services, "services_at_work": atWork, "services_over_target": overTarget,
		"fillers_slowed": slowed, "waits": reasons}
	if !t.allRunsKnown() {
		unaccounted, until := t.unaccountedWorkers()
		fields["unaccounted_workers"], fields["unaccounted_ms"], fields["held_tasks"] = unaccounted, until.Sub(t.now).Milliseconds(), t.heldTasks()
	}
	t.log.WithFields(fields).Info("load of the cell")
}
