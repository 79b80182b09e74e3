package fleettest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// checkerTask is the task of these tests. Each attempt takes a second.
const checkerTask = fleet.TaskName("job.0.0.0")

func checkerFleet(speculative bool) (*Workers, *Worker, *Worker) {
	tasks := func(fleet.TaskName) Task {
		return Task{Work: time.Second, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}, Speculative: speculative}
	}
	f := NewWorkers(1, tasks, NewRunChecker())
	add := func(id string) *Worker {
		return f.Add(fleet.WorkerInfo{Lifetime: fleet.Lifetime{Worker: model.WorkerID(id)}, Addr: id,
			Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 1000}})
	}
	return f, add("w0"), add("w1")
}

func startRun(t *testing.T, f *Workers, w *Worker, attempt int, lease time.Duration) {
	t.Helper()
	o := fleet.StartOrder{RunRef: fleet.RunRef{Task: checkerTask, Attempt: attempt}, Deadline: w.clock() + lease}
	reply, err := f.View().Start(t.Context(), w.Info, o)
	require.NoError(t, err)
	require.Equal(t, fleet.StartRunning, reply.Verdict)
}

func acknowledge(t *testing.T, f *Workers, w *Worker) {
	t.Helper()
	_, err := f.View().Poll(t.Context(), w.Info, fleet.PollOrder{Acknowledged: 1})
	require.NoError(t, err)
}

func TestRunCheckerFindsTwoRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, first, second := checkerFleet(false)
		startRun(t, f, first, 1, 5*time.Second)
		startRun(t, f, second, 2, 5*time.Second)
		require.Len(t, f.checker.Violations(), 1)
	})
}

func TestRunCheckerFindsStartAfterEnd(t *testing.T) {
	for name, test := range map[string]struct {
		speculative, ackFirst, lapse bool
		violations                   int
	}{
		"acknowledged before":               {ackFirst: true, violations: 1},
		"acknowledged later":                {violations: 1},
		"lapsed before its acknowledgement": {lapse: true},
		"copies are allowed":                {speculative: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, first, second := checkerFleet(test.speculative)
				startRun(t, f, first, 1, 2*time.Second)
				time.Sleep(1500 * time.Millisecond)
				if test.lapse {
					time.Sleep(time.Second)
				}
				if test.ackFirst {
					acknowledge(t, f, first)
				}
				startRun(t, f, second, 2, 5*time.Second)
				if !test.ackFirst {
					acknowledge(t, f, first)
				}
				require.Len(t, f.checker.Violations(), test.violations)
			})
		})
	}
}

func TestRunCheckerCountsLapseOnlyBeforeAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, first, second := checkerFleet(false)
		startRun(t, f, first, 1, 2*time.Second)
		time.Sleep(1500 * time.Millisecond)
		acknowledge(t, f, first)
		time.Sleep(time.Second) // the lease ends after the acknowledgement
		startRun(t, f, second, 2, 5*time.Second)
		require.Len(t, f.checker.Violations(), 1)
	})
}

// Guards against starts of cancelled jobs that the checker passes over, and against violations by
// orders that a link has held back: the contract's bound does not hold for these.
func TestRunCheckerFindsStartAfterCancel(t *testing.T) {
	for name, test := range map[string]struct {
		after      time.Duration
		held       model.WorkerID
		violations int
	}{
		"in time":                  {after: 3 * time.Second},
		"late":                     {after: 3001 * time.Millisecond, violations: 1},
		"held back":                {after: 3001 * time.Millisecond, held: "w0"},
		"held back elsewhere":      {after: 3001 * time.Millisecond, held: "w1", violations: 1},
		"held back long before it": {after: 5 * time.Second, held: "w0", violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, first, _ := checkerFleet(false)
				f.checker.Cancelled("job")
				f.checker.HeldBack(test.held, time.Now().Add(4*time.Second))
				time.Sleep(test.after - answerTime)
				startRun(t, f, first, 1, 5*time.Second)
				require.Len(t, f.checker.Violations(), test.violations)
			})
		})
	}
}

func TestRunCheckerFindsRunOfCancelledJob(t *testing.T) {
	const late = 2 * time.Second // after the cancellation, when the order is carried out
	for name, test := range map[string]struct {
		disturbed, late bool
		runs            time.Duration // from the cancellation on
		violations      int
	}{
		"stopped in time":              {runs: MaxStartAfterCancel + maxStop},
		"goes on":                      {runs: MaxStartAfterCancel + maxStop + 10*time.Millisecond, violations: 1},
		"during faults":                {runs: 20 * time.Second, disturbed: true},
		"started late":                 {runs: late + contactTime + maxStop, late: true},
		"started late and goes on":     {runs: late + contactTime + maxStop + 10*time.Millisecond, late: true, violations: 1},
		"goes on to the end of a test": {violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, w := NewRunChecker(), &Worker{}
				o := fleet.StartOrder{RunRef: fleet.RunRef{Task: checkerTask, Attempt: 1}}
				if !test.late {
					l.started(w, o, Task{}, false)
				}
				if test.disturbed {
					l.Disturb()
				}
				l.Cancelled("job")
				if test.late {
					time.Sleep(late)
					test.runs -= late
					l.started(w, o, Task{}, true)
				}
				if test.runs > 0 {
					time.Sleep(test.runs)
					l.ended(w, o.RunRef, Task{}, fleet.EndStopped)
				}
				time.Sleep(20 * time.Second)
				require.Len(t, l.Violations(), test.violations)
			})
		})
	}
}

// After the end of faults a worker is in touch again, and the bounds begin.
func TestRunCheckerCountsFromEndOfFaults(t *testing.T) {
	for extra, violations := range map[time.Duration]int{0: 0, 10 * time.Millisecond: 1} {
		synctest.Test(t, func(t *testing.T) {
			l, w := NewRunChecker(), &Worker{}
			l.started(w, fleet.StartOrder{RunRef: fleet.RunRef{Task: checkerTask, Attempt: 1}}, Task{}, false)
			l.Disturb()
			l.Cancelled("job")
			time.Sleep(30 * time.Second)
			l.Calm()
			time.Sleep(contactTime + MaxStartAfterCancel + maxStop + extra)
			l.Disturb()
			require.Len(t, l.Violations(), violations)
		})
	}
}

// Faults of links excuse runs that go on, but not starts after the cancellation.
func TestRunCheckerFindsStartsBesideLinkFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, w := NewRunChecker(), &Worker{}
		order := func(attempt int) fleet.StartOrder {
			return fleet.StartOrder{RunRef: fleet.RunRef{Task: checkerTask, Attempt: attempt}}
		}
		l.started(w, order(1), Task{}, false)
		l.DisturbLinks()
		l.Cancelled("job")
		time.Sleep(20 * time.Second)
		l.ended(w, order(1).RunRef, Task{}, fleet.EndStopped)
		require.Empty(t, l.Violations())
		l.started(w, order(2), Task{}, false)
		require.Len(t, l.Violations(), 1)
		l.ended(w, order(2).RunRef, Task{}, fleet.EndStopped)
		l.Calm()
		l.started(w, order(3), Task{}, false)
		require.Len(t, l.Violations(), 2)
	})
}

func TestRunCheckerCountsFailures(t *testing.T) {
	l, w := NewRunChecker(), &Worker{}
	for _, end := range []struct {
		task fleet.TaskName
		how  fleet.EndKind
	}{{"job.0.0.0", fleet.EndFailed}, {"job.0.0.0", fleet.EndStopped}, {"job.0.0.0", fleet.EndFailed}, {"job.0.0.1", fleet.EndFailed}, {"jo.0.0.0", fleet.EndLapsed}} {
		l.ended(w, fleet.RunRef{Task: end.task}, Task{}, end.how)
	}
	require.Equal(t, 2, l.Failures("job"))
	require.Zero(t, l.Failures("jo"))
}

// Guards against starts after crashes that the checker passes over, and against violations by starts of
// nodes that are not in touch: the contract's bound does not hold for these.
func TestRunCheckerFindsStartsAfterCrashes(t *testing.T) {
	inTouch, outOfTouch := func() bool { return true }, func() bool { return false }
	for name, test := range map[string]struct {
		inTouch         func() bool
		late            bool
		crashes, starts int
		violations      int
	}{
		"within the budget":          {crashes: crashBudget, starts: maxStartsAfterCrashes - 1},
		"too few crashes":            {crashes: crashBudget - 1, starts: maxStartsAfterCrashes},
		"too many starts":            {crashes: crashBudget, starts: maxStartsAfterCrashes, violations: 1},
		"in touch":                   {inTouch: inTouch, crashes: crashBudget, starts: maxStartsAfterCrashes, violations: 1},
		"out of touch":               {inTouch: outOfTouch, crashes: crashBudget, starts: 2 * maxStartsAfterCrashes},
		"sent earlier, out of touch": {inTouch: outOfTouch, late: true, crashes: crashBudget, starts: maxStartsAfterCrashes, violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			l, w := NewRunChecker(), &Worker{}
			l.InTouch = test.inTouch
			for range test.crashes {
				l.crashed(checkerTask)
			}
			for attempt := range test.starts {
				o := fleet.StartOrder{RunRef: fleet.RunRef{Task: checkerTask, Attempt: attempt}}
				l.started(w, o, Task{}, test.late)
				l.ended(w, o.RunRef, Task{}, "")
			}
			require.Len(t, l.Violations(), test.violations)
		})
	}
}
