package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// secondsSpan returns a span between two times in seconds of a run that began at the zero time.
func secondsSpan(from, to float64) fleettest.Span {
	at := func(s float64) time.Time { return time.Time{}.Add(time.Duration(s * float64(time.Second))) }
	return fleettest.Span{From: at(from), To: at(to)}
}

func secondsSpans(bounds ...float64) []fleettest.Span {
	var spans []fleettest.Span
	for i := 0; i < len(bounds); i += 2 {
		spans = append(spans, secondsSpan(bounds[i], bounds[i+1]))
	}
	return spans
}

// Guards against a check that cannot fail, or fails where the contract allows the wait.
func TestWaitOfLastingTaskIsBoundedInCalmTimeWithRoom(t *testing.T) {
	for _, c := range []struct {
		name       string
		gap        fleettest.Span
		calm, room []fleettest.Span
		margin     float64
	}{
		{"3 s from 6 s after the last run", secondsSpan(10, 19), secondsSpans(0, 60), secondsSpans(0, 60), 0},
		{"a run just before", secondsSpan(10, 18.9), secondsSpans(0, 60), secondsSpans(0, 60), 0.1},
		{"no run until the end", secondsSpan(10, 60), secondsSpans(0, 60), secondsSpans(0, 60), -41},
		{"impaired at the moment of the last run", secondsSpan(10, 19), secondsSpans(0, 10, 10, 60), secondsSpans(0, 60), 0},
		{"impaired 7 s before the run", secondsSpan(10, 19.5), secondsSpans(0, 11, 12.5, 60), secondsSpans(0, 60), 0},
		{"impaired 6.9 s before the run", secondsSpan(10, 19.5), secondsSpans(0, 11, 12.6, 60), secondsSpans(0, 60), 0.1},
		{"impaired again and again", secondsSpan(10, 60), secondsSpans(0, 12, 13, 19, 20, 26, 27, 33.5, 34, 40, 41, 47, 48, 54, 55, 60), secondsSpans(0, 60), 0.5},
		{"impaired from 9 s on", secondsSpan(10, 60), secondsSpans(0, 19), secondsSpans(0, 60), 0},
		{"impaired just before 9 s", secondsSpan(10, 60), secondsSpans(0, 18.9), secondsSpans(0, 60), 0.1},
		{"room since 3 s", secondsSpan(10, 30), secondsSpans(0, 60), secondsSpans(0, 12, 27, 60), 0},
		{"room since 2.9 s", secondsSpan(10, 30), secondsSpans(0, 60), secondsSpans(0, 12, 27.1, 60), 0.1},
		{"room until 9 s", secondsSpan(10, 30), secondsSpans(0, 60), secondsSpans(0, 19), 0},
		{"room before the wait only", secondsSpan(10, 30), secondsSpans(0, 60), secondsSpans(0, 9), 10},
		{"late in the wait", secondsSpan(10, 60), secondsSpans(0, 12, 40, 60), secondsSpans(0, 60), -13},
	} {
		require.InDelta(t, c.margin, gapMargin(c.gap, c.calm, c.room).Seconds(), 1e-6, c.name)
	}
	require.Positive(t, gapMargin(secondsSpan(10, 60), secondsSpans(0, 60), nil), "never room")
	require.Positive(t, gapMargin(secondsSpan(10, 60), nil, secondsSpans(0, 60)), "never calm")
}

func TestSpansBetweenSpans(t *testing.T) {
	for _, c := range []struct{ spans, want []fleettest.Span }{
		{nil, secondsSpans(10, 20)},
		{secondsSpans(12, 13, 5, 11), secondsSpans(11, 12, 13, 20)},
		{secondsSpans(11, 15, 12, 13), secondsSpans(10, 11, 15, 20)},
		{secondsSpans(14, 14), secondsSpans(10, 14, 14, 20)},
		{secondsSpans(10, 12, 12, 18), secondsSpans(18, 20)},
		{secondsSpans(1, 2, 19, 30), secondsSpans(10, 19)},
		{secondsSpans(1, 30), nil},
		{secondsSpans(21, 30), secondsSpans(10, 20)},
	} {
		require.Equal(t, c.want, spansBetween(secondsSpan(10, 20), c.spans))
	}
	require.Equal(t, 5*time.Second, overlap(secondsSpan(10, 20), secondsSpans(0, 2, 8, 12, 13, 15, 19, 25, 26, 30)))
}

// Guards against faults that are left out of the impairments, and against a loss that excuses all
// waits until its end.
func TestImpairmentsLastUntilTheirFaultsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c conditions
		begin := time.Now()
		for _, kind := range []Kind{CutWorker, Configuration, LoseLeader} {
			began := time.Now()
			c.faultEvent(faultEvent{Fault: &Fault{Kind: kind}}, began, began)
			time.Sleep(2 * time.Second)
			c.faultEvent(faultEvent{Fault: &Fault{Kind: kind}, isEnd: true}, began, time.Now())
		}
		at := func(s int) time.Time { return begin.Add(time.Duration(s) * time.Second) }
		require.Equal(t, []fleettest.Span{{From: at(0), To: at(2)}, {From: at(2), To: at(2)}, {From: at(4), To: at(4)}, {From: at(6), To: at(6)}}, c.impairments)
		require.Equal(t, at(6), c.lastImpairment())
	})
}

// Guards against a run that passes although lasting tasks do not run.
func TestLastingTaskWithoutRunIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		c := &callers{startTime: begin, cluster: &cluster{ledger: fleettest.NewRunChecker()}}
		time.Sleep(time.Second)
		c.jobs = []*jobRecord{{ID: "f1", Tasks: 1, Lasting: true, AcceptedAt: time.Now()}, {ID: "f2", Tasks: 1, Lasting: true}, {ID: "1", Tasks: 1, AcceptedAt: begin}}
		c.cluster.conditions.room = []fleettest.Span{{From: begin, To: begin.Add(time.Minute)}}
		time.Sleep(maxWithoutRun + judgedTime - time.Millisecond)
		require.Equal(t, Lasting{Tasks: 1, Longest: 8999 * time.Millisecond, Calm: 8999 * time.Millisecond, Margin: time.Millisecond}, c.checkLasting())
		require.Empty(t, c.violations)
		time.Sleep(time.Millisecond)
		require.Zero(t, c.checkLasting().Margin)
		require.Len(t, c.violations, 1, "the job that was not accepted and the one that ends are not judged")
		require.Contains(t, c.violations[0].Text, "LOST: lasting task f1.0.0.0 had no run from 1.00 s to 10.00 s")
	})
}

// Guards against a check that does not see the runs or the room, or sees lost ones.
func TestRunsAndRoomAreTakenFromTheWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{ledger: fleettest.NewRunChecker()}
		c.simWorkers = fleettest.NewWorkers(1, withLasting(taskBehaviour), c.ledger)
		info := fleet.WorkerInfo{Lifetime: fleet.Lifetime{Worker: "w", Born: 1}, Addr: "w", Capacity: taskNeeds.Add(taskNeeds).Add(taskNeeds)}
		w := c.simWorkers.Add(info)
		c.simWorkers.SetClock(w, newClock, 1) // the deadlines below are on this clock
		require.Equal(t, 3, c.simWorkers.Room(taskNeeds))
		start := func(task fleet.TaskName) {
			_, err := c.simWorkers.ViewOf(w).Start(t.Context(), info, fleet.StartOrder{RunRef: fleet.RunRef{Task: task, Attempt: 1}, Deadline: time.Minute, Fence: 1})
			require.NoError(t, err)
		}
		start("f1.0.0.0")
		begin := time.Now()
		start("1.0.0.0")
		require.Equal(t, 1, c.simWorkers.Room(taskNeeds))
		time.Sleep(time.Second)
		c.rows, c.workers = fleettest.NewStore(1), []*worker{{id: "v"}, {id: "w"}, {id: "x"}}
		loss, cut := Fault{Kind: LoseLeader, Workers: []int{2, 0}}, Fault{Kind: StallLeader, Workers: []int{2, 0}}
		c.aim(&loss)
		require.Equal(t, []int{1}, loss.Workers, "a loss hits lasting tasks")
		c.aim(&cut)
		require.Equal(t, []int{2, 0}, cut.Workers)
		want := map[fleet.TaskName][]fleettest.Span{"f1.0.0.0": {{From: begin, To: time.Now()}}}
		require.Equal(t, want, c.ledger.LastingRuns(), "a run that goes on")
		c.simWorkers.Kill(w)
		time.Sleep(time.Second)
		require.Equal(t, want, c.ledger.LastingRuns(), "a run that ended with its worker")
		require.Zero(t, c.simWorkers.Room(taskNeeds))
		loss.Workers = []int{2, 0}
		c.aim(&loss)
		require.Equal(t, []int{2, 0}, loss.Workers, "as drawn where no lasting task runs")
	})
}
