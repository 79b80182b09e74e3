package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// gangTerm returns a term with a gang of two whose members run on one worker each.
func gangTerm(t *testing.T, step Step) (*term, *job, []*run) {
	t.Helper()
	tm := newTestTerm(1)
	tm.now, tm.lastRenewal, tm.loaded, tm.layout = at(10), at(10), true, &layout{Cells: 1}
	tm.queues["q"] = Queue{Name: "q", Service: "svc", Stretch: 2}
	step.Count, step.Gang, step.Needs = 2, true, model.Resources{MilliCPU: 1000}
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, epoch)
	j.openOccurrence(0, time.Time{}, at(1))
	j.started = true
	tm.jobs["j"] = j
	var runs []*run
	for i, id := range []string{"v", "w"} {
		w := testWorker(id)
		w.observeClock(time.Second, at(10))
		w.lastPollSent = at(10)
		tm.workers[w.info.Worker] = w
		r := testRun(w, &j.spec.Steps[0], i)
		r.job, r.progressAt, r.stopInFlight = j, at(10), true
		tk := &j.occurrences[0].steps[0].tasks[i]
		tk.runs, tk.attempt = append(tk.runs, r), 1
		runs = append(runs, r)
	}
	return tm, j, runs
}

// A gang of which one member was lost waited until the others ended by themselves: members that
// have done their part wait for the lost one, and lasting ones never end.
func TestGangStartsAgainAfterMemberIsLost(t *testing.T) {
	for name, step := range map[string]Step{"short": {}, "lasting": {Lasting: true}} {
		t.Run(name, func(t *testing.T) {
			tm, j, runs := gangTerm(t, step)
			tm.checkRuns()
			require.True(t, runs[1].live(), "a complete gang goes on")
			tm.loseRuns(runs[0].worker, reasonLeaseOver)
			for range 2 * time.Second / tickInterval {
				tm.now = tm.now.Add(tickInterval)
				tm.lastRenewal = tm.now
				tm.checkRuns()
			}
			require.Equal(t, runStopping, runs[1].state)
			tm.applyEnd(runs[1].worker, RunEnd{Number: 1, RunRef: runs[1].ref, How: EndStopped})
			waiting := tm.appendWaitingSteps(nil, j, j.occurrences[0], tm.queues["q"])
			require.Len(t, waiting, 1)
			require.Len(t, waiting[0].tasks, 2, "all members start together")
		})
	}
}

// A member whose run is not known yet after a change of leader is not lost.
func TestInheritedGangIsNotStoppedBeforeItsRunsAreKnown(t *testing.T) {
	tm, j, runs := gangTerm(t, Step{})
	j.inherited = true
	unknown := testWorker("u")
	unknown.answered, unknown.inherited, unknown.inheritedLeaseEnd = false, true, at(15)
	tm.workers["u"] = unknown
	tm.markLost(runs[0], reasonMissing)
	tm.checkRuns()
	require.True(t, runs[1].live())
	tm.confirmedAt = at(16)
	tm.checkRuns()
	require.Equal(t, runStopping, runs[1].state)
}

// Runs that a term had lost because another worker had taken the address were taken for running by
// the next term, from the former leader's record: their tasks waited for the end of the lease again.
func TestNextTermAdoptsNoRunOfTakenAddress(t *testing.T) {
	tm := newTestTerm(1)
	tm.now, tm.loaded, tm.lastRenewal, tm.storeClock = at(2), true, at(2), storeReading{100 * time.Second, at(2)}
	w := testWorker("w")
	w.observeClock(time.Second, at(1))
	w.unansweredCalls, w.listed = unreachableCalls, false
	tm.workers["w"] = w
	testRun(w, &Step{Count: 1}, 0)
	stored := map[string][]byte{}
	store := func() {
		c, _ := tm.collectTransaction()
		for _, r := range c.tx.Puts {
			stored[r.Key] = r.Value
		}
		for _, id := range c.tx.Delete {
			delete(stored, id.Key)
		}
	}
	store()
	require.Len(t, stored, 1, "the run is recorded")
	tm.now = at(2.1)
	tm.handleReplacedLifetime(w)
	store()
	require.Empty(t, stored)
}

// The task of a start without an answer waited for good on a worker that reports but leaves stops
// unanswered.
func TestStartInDoubtEndsWithoutAnswerToItsStop(t *testing.T) {
	tm, w := waitTerm(t, "j")
	j := tm.jobs["j"]
	waitRun(w, j, runUnconfirmed)
	tk := &j.occurrences[0].steps[0].tasks[0]
	r := tk.runs[0]
	sent := tm.now
	r.startedAt, r.stateSince, r.stopInFlight = sent, sent, true
	last := sent.Add(answerTimeoutMax + maxOrderDelay) // until then the worker may carry it out
	for len(tk.runs) > 0 && tm.now.Before(last.Add(2*pollWait)) {
		tm.now = tm.now.Add(pollWait)
		tm.lastRenewal = tm.now
		w.pollInFlight = true
		pollReply{worker: w, sent: tm.now.Add(-answerTimeoutMin), report: Report{Verdict: StartRunning, Clock: tm.now.Sub(epoch)}, probe: true}.handle(tm)
		stopReply{r, w, WorkerReply{}, context.DeadlineExceeded}.handle(tm)
		r.stopInFlight = true
	}
	require.Empty(t, tk.runs)
	require.True(t, tm.now.After(last))
}

// A job that arrives beside a transaction in flight is confirmed by the next one, without a renewal.
func TestJobAcceptedBesideTransactionIsConfirmedByTheNext(t *testing.T) {
	tm := newTestTerm(1)
	tm.now, tm.lastRenewal, tm.loaded = at(1), at(1), true
	tm.confirmationDue = true
	first := tm.nextTransaction()
	require.NotNil(t, first)
	id := "0000000000000001"
	spec := Spec{Steps: []Step{{Count: 1}}}
	jobRows{rows: []Row{{RowID: tm.layout.jobRow(id), Version: 20, Value: encode(jobRecord{Queue: "q", Spec: spec})}}}.handle(tm)
	commitResult{commit: first, version: 15, sent: at(1)}.handle(tm)
	require.False(t, tm.jobConfirmed(tm.jobs[id]))
	tm.now = tm.now.Add(commitInterval)
	next := tm.nextTransaction()
	require.NotNil(t, next)
	require.False(t, next.renews)
	commitResult{commit: next, version: 21, sent: tm.now}.handle(tm)
	require.True(t, tm.jobConfirmed(tm.jobs[id]))
}

// A store that is down for all is no reason to change the leader.
func TestStoreOutageDoesNotStallTheLoad(t *testing.T) {
	tm := newTestTerm(1)
	tick := func(s float64, renews bool) {
		tm.now = at(s)
		if renews {
			tm.lastRenewal = tm.now
		}
		tm.onTick()
	}
	tm.lastRenewal = at(0)
	for s := 0.0; s < 30; s++ {
		tick(s, false)
	}
	require.False(t, tm.stopping)
	for s := 30.0; s < 39; s++ {
		tick(s, true)
		require.False(t, tm.stopping, "the reads have had %v s", s-30)
	}
	tick(42, true)
	require.True(t, tm.stopping)
}
