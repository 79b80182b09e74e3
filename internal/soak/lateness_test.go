package soak

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against broken promises of a run whose own process stood still without a word of it: its
// store, workers and callers answered nobody meanwhile.
func TestTimerWatchTellsHowLongTheProcessStoodStill(t *testing.T) {
	var w timerWatch
	require.Zero(t, w.lateness())
	w.observe(300*time.Millisecond, 2*time.Second)
	w.observe(2760*time.Millisecond, 19*time.Second)
	w.observe(time.Second, 30*time.Second)
	w.observe(999*time.Millisecond, 31*time.Second)
	require.Equal(t, Lateness{Longest: 2760 * time.Millisecond, At: 19 * time.Second, Second: 2}, w.lateness())
	require.Equal(t, "own timers at most 2.76 s late, at 19.00 s; 2 times by a second or more", w.lateness().String())
}

// Guards against a watch that takes the time between its looks for a delay, or ends before the run.
func TestTimerWatchOfAProcessThatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w timerWatch
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.run(ctx, time.Now())
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		select {
		case <-done:
			require.Fail(t, "ended early")
		default:
		}
		stop()
		<-done
		require.Zero(t, w.lateness(), "no timer is late in virtual time")
	})
}
