package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOutdated(t *testing.T) {
	for _, c := range []struct {
		name                string
		knownAt, lastAnswer float64 // s
		want                bool
	}{
		{"no answer tells the clock", 0, 0, false},
		{"the jobs are what was read last", 60, 60, false},
		{"a regular watch and its pause", 58.5, 60, false},
		{"at the bound", 58, 60, false},
		{"a renewal long after the last watch", 57.9, 60, true},
		{"a watch that outran other answers", 60, 59, false},
	} {
		seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
		require.Equal(t, c.want, outdated(seconds(c.knownAt), seconds(c.lastAnswer)), c.name)
	}
}

// An answer that is overtaken does not hide that the jobs are outdated, and a store whose clock begins anew
// does not stop work for good.
func TestJobsLagWithAnswersOutOfOrder(t *testing.T) {
	tm := newTestTerm(1)
	tm.loaded = true
	jobRows{knownAt: 60 * time.Second}.handle(tm)
	tm.storeTime.observe(63 * time.Second)
	tm.storeTime.observe(61 * time.Second)
	require.True(t, tm.jobsOutdated())
	jobRows{rows: []Row{}, storeNow: 64 * time.Second}.handle(tm) // from another node, or one of many changes
	require.True(t, tm.jobsOutdated())
	jobRows{knownAt: 63 * time.Second}.handle(tm)
	require.False(t, tm.jobsOutdated())
	jobRows{knownAt: time.Second}.handle(tm)
	require.False(t, tm.jobsOutdated())
}
