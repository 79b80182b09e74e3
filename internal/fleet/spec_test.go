package fleet

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Counts whose sum exceeds an int were accepted. The leader panicked when it opened the job, and
// so did each later one.
func TestSumOfTaskCountsOverflows(t *testing.T) {
	s := Spec{Steps: []Step{{Count: 1}, {Count: math.MaxInt}}}
	require.True(t, model.IsKind(s.Validate(), model.KindInvalid))
	s = Spec{Steps: []Step{{Count: maxTasks - 1}, {Count: 1}}}
	require.NoError(t, s.Validate())
}

// A stored job that is not valid must not end the process of the leader.
func TestInvalidStoredJobIsIgnored(t *testing.T) {
	tm := newTestTerm(1)
	stored := func(id string, s Spec) Row {
		return Row{RowID: tm.layout.jobRow(id), Value: encode(jobRecord{Queue: "q", Spec: s}), Version: 11}
	}
	tm.handleJobRow(stored("0000000000000001", Spec{Steps: []Step{{Count: 1}, {Count: math.MaxInt}}}), 0)
	tm.handleJobRow(stored("0000000000000002", Spec{Steps: []Step{{Count: -1}}}), 0)
	tm.handleJobRow(stored("0000000000000003", Spec{}), 0)
	tm.handleJobRow(stored("0000000000000004", Spec{Steps: []Step{{Count: 1}}}), 0)
	require.Len(t, tm.jobs, 1)
	require.Contains(t, tm.jobs, "0000000000000004")
}

// Figures near the limits of their types overflowed in the sums of loads, chains and due times.
func TestFiguresOutOfRangeAreInvalid(t *testing.T) {
	one := Step{Count: 1}
	for name, s := range map[string]Spec{
		"processors":      {Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: math.MaxInt64}}}},
		"memory":          {Steps: []Step{{Count: 1, Needs: model.Resources{MemoryMB: MaxResource + 1}}}},
		"accelerators":    {Steps: []Step{{Count: 1, Needs: model.Resources{Accelerators: math.MaxInt64}}}},
		"estimate":        {Steps: []Step{{Count: 1, Estimate: math.MaxInt64}}},
		"target":          {Steps: []Step{{Count: 1, LatencyTarget: math.MaxInt64}}},
		"negative target": {Steps: []Step{{Count: 1, LatencyTarget: -1}}},
		"interval":        {Steps: []Step{one}, Repeats: 2, Interval: math.MaxInt64},
		"start":           {Steps: []Step{one}, Repeats: 2, StartAt: math.MaxInt64},
		"early start":     {Steps: []Step{one}, Repeats: 2, StartAt: math.MinInt64},
	} {
		require.True(t, model.IsKind(s.Validate(), model.KindInvalid), name)
	}
	most := Step{Count: 1, Needs: model.Resources{MilliCPU: MaxResource, MemoryMB: MaxResource, Accelerators: MaxResource}, Estimate: maxDuration, LatencyTarget: maxDuration}
	s := Spec{Steps: slices.Repeat([]Step{most}, maxSteps), Repeats: maxRepeats, StartAt: maxStartAt, Interval: maxDuration}
	for i := 1; i < maxSteps; i++ {
		s.Steps[i].After = []int{i - 1}
	}
	require.NoError(t, s.Validate())
	require.Positive(t, s.Chains()[0])
	tm := newTestTerm(1)
	tm.cfg.Started, tm.cfg.StartedUnix = epoch, epoch.UnixMilli()
	j := newJob("j", jobRecord{Spec: s}, 1, epoch)
	require.True(t, j.dueAt(0, tm.monotonicTime).After(tm.now))
	require.True(t, j.dueAt(maxRepeats-1, tm.monotonicTime).After(tm.now), "the due time wraps around")
}

// A job with a schedule in the past was opened with all of its occurrences, each with thousands
// of tasks, and took gigabytes of memory.
func TestOpenOccurrencesAreBounded(t *testing.T) {
	tm := newTestTerm(1)
	open := func(s Spec) *job {
		j := newJob("j", jobRecord{Spec: s}, 1, epoch)
		j.openDue(tm.now, 0, func(int64) time.Time { return epoch })
		return j
	}
	j := open(Spec{Steps: []Step{{Count: 1000}}, Repeats: 100})
	require.Len(t, j.occurrences, 4)
	for i := range 1000 {
		j.finishTask(taskKey{0, 0, i}, epoch)
	}
	j.openDue(tm.now, 0, func(int64) time.Time { return epoch })
	require.Len(t, j.occurrences, 4, "the next one is opened when one has ended")
	require.Equal(t, 5, j.openedOccurrences)
	require.Len(t, open(Spec{Steps: []Step{{Count: maxTasks}}, Repeats: 2}).occurrences, 1, "the largest job makes progress")
}
