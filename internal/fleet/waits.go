package fleet

import (
	"cmp"
	"slices"
	"time"
)

// waitReason is why a task that is ready has no run. Each reason up to waitsForMove is a gate: it
// keeps the task out of the plan until an event opens it. The others are what the plan found.
type waitReason int

const (
	waitsForNothing waitReason = iota // runs, or may be placed
	waitsForFormerRuns
	waitsForConfirmation
	waitsForCancellationRead
	waitsForQueue
	waitsForBorrower
	waitsForStartRecord
	waitsForCallSlot
	waitsForStartAnswer
	waitsForStop
	waitsForRetry
	waitsForGangMembers
	waitsForMove
	waitsForTurn
	waitsForLeader
	waitsForWorkers
	waitsForHeldCapacity
	waitsForTicket
	waitsForLabel
	waitsForTaskSlot
	waitsForCapacity
	waitsForGangCapacity
	waitsForOtherCondition
	waitsForSpareCapacity
	waitsForHeadroom
	waitReasons // number of reasons
)

// waitTexts holds, by reason, its name in logs and metrics and its description for operators.
var waitTexts = [waitReasons]struct{ name, text string }{
	waitsForFormerRuns:       {"former-runs", "workers that may hold its runs have not answered since the change of leader"},
	waitsForConfirmation:     {"confirmation", "its acceptance is not confirmed yet"},
	waitsForCancellationRead: {"cancellation-read", "its cancellation in another cell is not read yet"},
	waitsForQueue:            {"queue", "no configuration has its queue"},
	waitsForBorrower:         {"lent", "another cell has borrowed the task"},
	waitsForStartRecord:      {"start-record", "the first start of a service is stored before it is ordered"},
	waitsForCallSlot:         {"call-slot", "the leader's host carries out as many calls as it can; the start has its place on a worker"},
	waitsForStartAnswer:      {"start-answer", "a start got no answer and may still be carried out"},
	waitsForStop:             {"stop", "a run of the task is being stopped"},
	waitsForRetry:            {"retry", "a pause after a refused start"},
	waitsForGangMembers:      {"gang-members", "other members of the gang still run"},
	waitsForMove:             {"cell-loads", "its job moves, or waits for the loads of other cells"},
	waitsForTurn:             {"turn", "behind more urgent work"},
	waitsForLeader:           {"leader", "the leader gives no orders now"},
	waitsForWorkers:          {"workers", "no usable worker of service"},
	waitsForHeldCapacity:     {"held-capacity", "free capacity is kept for short work or for services of an earlier leader"},
	waitsForTicket:           {"ticket", "no ticket of the advisor yet"},
	waitsForLabel:            {"label", "no usable worker with label"},
	waitsForTaskSlot:         {"task-slot", "each usable worker has as many tasks of the step as allowed"},
	waitsForCapacity:         {"capacity", "no usable worker with room"},
	waitsForGangCapacity:     {"gang-capacity", "no room for all members at once"},
	waitsForOtherCondition:   {"other-condition", "workers with room are on probation, reserved, in another rack or not to be used for it"},
	waitsForSpareCapacity:    {"spare-capacity", "too little left over beside reserved work"},
	waitsForHeadroom:         {"headroom", "the services beside it bear no more"},
}

// String returns the name of the reason in logs and metrics.
func (r waitReason) String() string { return waitTexts[r].name }

// waitReasonOf returns why a step waits whose best worker fails with obstacle o.
func waitReasonOf(o obstacle, s *Step) waitReason {
	switch {
	case o == lacksLabel:
		return waitsForLabel
	case o == lacksTaskSlot:
		return waitsForTaskSlot
	case o == lacksCapacity:
		return waitsForCapacity
	case s.Gang:
		return waitsForGangCapacity
	case o == lacksSpareCapacity:
		return waitsForSpareCapacity
	case o == lacksHeadroom:
		return waitsForHeadroom
	case o == failsOtherCondition:
		return waitsForOtherCondition
	}
	return waitsForTurn
}

// jobGate returns what keeps all tasks of a job out of the plan.
func (t *term) jobGate(j *job, runsKnown bool) waitReason {
	_, known := t.queues[j.queue]
	switch {
	case j.inherited && !runsKnown:
		return waitsForFormerRuns
	case !t.jobConfirmed(j):
		return waitsForConfirmation
	case j.cancellationUnread:
		return waitsForCancellationRead
	case !known:
		return waitsForQueue
	}
	return waitsForNothing
}

// gate returns what keeps a task that is not done out of the plan. A task that runs has no gate.
func (tk *task) gate(now time.Time) waitReason {
	if tk.lentTo > 0 {
		return waitsForBorrower
	}
	reason := waitsForNothing
	for _, r := range tk.runs {
		switch r.state {
		case runSent, runLive:
			return waitsForNothing
		case runHeld:
			reason = max(reason, r.heldFor())
		case runUnconfirmed:
			reason = max(reason, waitsForStartAnswer)
		case runStopping:
			reason = max(reason, waitsForStop)
		}
	}
	if len(tk.runs) == 0 && now.Before(tk.notBefore) {
		return waitsForRetry
	}
	return reason
}

// hasRun reports whether a run of the task has not been ordered to stop and is not in doubt.
func (tk *task) hasRun() bool {
	return slices.ContainsFunc(tk.runs, func(r *run) bool { return r.state == runSent || r.state == runLive })
}

// waitedSince returns since when the task of a step has been ready without a run.
func (s *stepState) waitedSince(tk *task) time.Time {
	if tk.account.idleSince.After(s.readyAt) {
		return tk.account.idleSince
	}
	return s.readyAt
}

// idleSince returns since when nothing of the job has run although a task is ready; false if
// something runs or nothing is ready.
func (j *job) idleSince() (since time.Time, idle bool) {
	for s, tk := range j.openTasks() {
		if tk.hasRun() {
			return time.Time{}, false
		}
		if !idle || s.readyAt.Before(since) {
			since, idle = s.readyAt, true
		}
	}
	if j.runEndedAt.After(since) {
		since = j.runEndedAt
	}
	return since, idle
}

// WaitView sums up the tasks that wait for one reason.
type WaitView struct {
	Reason string `json:"reason"`
	Tasks  int    `json:"tasks"`
	// IdleJobs counts the jobs of these tasks of which nothing runs.
	IdleJobs int `json:"idle_jobs"`
	// LongestMS is the longest wait of a task, and Job its job.
	LongestMS int64  `json:"longest_ms"`
	Job       string `json:"job"`
}

// sumWaits sums up what the tasks wait for that are ready and do not run, by reason, the longest
// wait first. Reasons that the plan finds are those of the last plan.
func (t *term) sumWaits() []WaitView {
	var sums [waitReasons]WaitView
	runsKnown := t.allRunsKnown()
	for _, j := range t.jobs {
		if j.over() || j.visibleState.Final() {
			continue
		}
		t.addWaits(&sums, j, t.jobGate(j, runsKnown))
	}
	var waits []WaitView
	for reason, s := range sums {
		if s.Tasks > 0 {
			s.Reason = waitReason(reason).String()
			waits = append(waits, s)
		}
	}
	slices.SortFunc(waits, func(a, b WaitView) int { return cmp.Compare(b.LongestMS, a.LongestMS) })
	return waits
}

// addWaits adds the waiting tasks of a job with a gate.
func (t *term) addWaits(sums *[waitReasons]WaitView, j *job, gate waitReason) {
	_, idle := j.idleSince()
	var counted [waitReasons]bool
	for s, tk := range j.openTasks() {
		if tk.hasRun() {
			continue
		}
		reason := cmp.Or(gate, tk.gate(t.now), s.waits, waitsForTurn)
		sum := &sums[reason]
		sum.Tasks++
		if waited := t.now.Sub(s.waitedSince(tk)).Milliseconds(); sum.Job == "" || waited > sum.LongestMS {
			sum.LongestMS, sum.Job = waited, j.id
		}
		if idle && !counted[reason] {
			counted[reason] = true
			sum.IdleJobs++
		}
	}
}

// recordWaits publishes what tasks wait for as metrics.
func (m *metrics) recordWaits(waits []WaitView) {
	m.waitingTasks.Reset()
	m.longestWait.Reset()
	for _, w := range waits {
		m.waitingTasks.WithLabelValues(w.Reason).Set(float64(w.Tasks))
		m.longestWait.WithLabelValues(w.Reason).Set(float64(w.LongestMS) / 1000)
	}
}
