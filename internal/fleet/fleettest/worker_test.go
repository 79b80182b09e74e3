package fleettest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// Guards against a lifetime that grants more than the longest lease: after a restart the clock
// begins anew, so a deadline on the clock of the former lifetime lies far ahead.
func TestLeaseOfNewLifetimeIsShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, former, _ := checkerFleet(false)
		f.SetClock(former, time.Hour, 1)
		deadline := former.clock() + 5*time.Second
		f.Kill(former)
		next := f.Add(former.Info)
		o := fleet.StartOrder{RunRef: fleet.RunRef{Task: "long.0.0.0", Attempt: 1}, Deadline: deadline}
		f.tasks = func(fleet.TaskName) Task { return Task{Lasting: true} }
		reply, err := f.View().Start(t.Context(), former.Info, o)
		require.NoError(t, err)
		require.Equal(t, fleet.StartRunning, reply.Verdict)
		time.Sleep(6*time.Second - time.Millisecond)
		require.Equal(t, 1, f.RunCount(next))
		time.Sleep(2 * time.Millisecond)
		require.Zero(t, f.RunCount(next))
	})
}

// Guards against leases in real time: they are measured on a clock that may be slow.
func TestLeaseOnSlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, w, _ := checkerFleet(false)
		f.tasks = func(fleet.TaskName) Task { return Task{Lasting: true} }
		f.SetClock(w, 24*time.Hour, 0.98)
		startRun(t, f, w, 1, 5*time.Second)
		time.Sleep(5100 * time.Millisecond)
		require.Equal(t, 1, f.RunCount(w))
		require.Equal(t, []string{"job.0.0.0 attempt 1 on w0"}, f.checker.Running("job"))
		require.Empty(t, f.checker.Running("jo"))
		time.Sleep(10 * time.Millisecond)
		require.Zero(t, f.RunCount(w))
		require.Empty(t, f.checker.Running("job"))
	})
}

func TestReportCutsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, w, _ := checkerFleet(false)
		f.ListedEnds = 2
		for attempt, ends := range []int{0, 1, 2, 2} {
			var r fleet.Report
			f.WithLock(func() { r = w.report() })
			require.Len(t, r.Ended, ends)
			require.Equal(t, ends == 2, r.EndsCut)
			startRun(t, f, w, attempt+1, 5*time.Second)
			time.Sleep(1100 * time.Millisecond)
		}
	})
}
