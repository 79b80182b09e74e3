package fleet

import (
	"math"
	"testing"

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
