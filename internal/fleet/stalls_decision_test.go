package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// reportedRun returns a run of a task with an estimate, and a function that applies a report some
// time later and tells whether the run counts as hung.
func reportedRun(estimate time.Duration, needs model.Resources) (*run, func(after time.Duration, s RunStatus) bool) {
	now := time.Unix(1_000_000, 0)
	j := newJob("1", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: needs, Estimate: estimate}}}}, 1, now)
	j.openDue(now, 0, func(int64) time.Time { return now })
	r := &run{job: j, step: &j.spec.Steps[0], state: runLive, startedAt: now, progressAt: now}
	t := &term{now: now, queueRunTimes: map[string]*queueRunTime{}}
	return r, func(after time.Duration, s RunStatus) bool {
		t.now = t.now.Add(after)
		r.observeProgress(s, t.now)
		r.listed = true
		return t.isStalled(&worker{lastPollSent: t.now}, r)
	}
}

func TestLongRunMayIdleForAMoment(t *testing.T) {
	_, report := reportedRun(900*time.Second, model.Resources{MilliCPU: 1000, MemoryMB: 100})
	require.False(t, report(5*time.Second, RunStatus{Reading: 1000}))
	require.False(t, report(time.Second, RunStatus{Reading: 0}), "one report without processor use")
	require.False(t, report(time.Second, RunStatus{Reading: 0}))
	require.False(t, report(time.Second, RunStatus{Reading: 900}))
	require.False(t, report(8*time.Second, RunStatus{Reading: 0}))
	require.True(t, report(2*time.Second, RunStatus{Reading: 0}), "no processor use for the time of a percent")
}

func TestLongRunWithoutProcessorsMayIdle(t *testing.T) {
	_, report := reportedRun(900*time.Second, model.Resources{MemoryMB: 100})
	require.False(t, report(80*time.Second, RunStatus{}))
	require.True(t, report(11*time.Second, RunStatus{}), "ten percents by its estimate")
}

func TestCheckpointIsProgress(t *testing.T) {
	_, report := reportedRun(900*time.Second, model.Resources{MilliCPU: 1000, MemoryMB: 100})
	require.False(t, report(80*time.Second, RunStatus{Reading: 1000, Checkpoint: "a"}))
	require.False(t, report(80*time.Second, RunStatus{Reading: 1000, Checkpoint: "b"}))
	require.True(t, report(91*time.Second, RunStatus{Reading: 1000, Checkpoint: "b"}))
}

// The rest of a percent that a new leader sees, and the percents before a checkpoint, say nothing
// about the rate.
func TestRateIsThatOfWholePercents(t *testing.T) {
	r, report := reportedRun(900*time.Second, model.Resources{MilliCPU: 1000, MemoryMB: 100})
	require.False(t, report(time.Second, RunStatus{Percent: 40, Reading: 1000}))
	require.False(t, report(time.Second, RunStatus{Percent: 41, Reading: 1000}))
	require.Zero(t, r.percentTime)
	require.False(t, report(12*time.Second, RunStatus{Percent: 42, Reading: 1000}))
	require.Equal(t, 12*time.Second, r.percentTime)
	require.False(t, report(47*time.Second, RunStatus{Percent: 42, Reading: 1000}))
	require.True(t, report(2*time.Second, RunStatus{Percent: 42, Reading: 1000}), "four percents at its own rate")
}
