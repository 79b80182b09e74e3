package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Beside progress that filled each transaction, a new leader registered two workers with each, and a third of the
// fleet was not in use half a minute later.
func TestWorkersAreRegisteredBesideProgress(t *testing.T) {
	tm := loadedTerm(t)
	for i := range 3 * maxCommitRows {
		j := newJob(fmt.Sprint("j", i), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1}}}}, 0, tm.now)
		j.openOccurrence(0, tm.now, tm.now)
		j.dirty = true
		tm.jobs[j.id] = j
		w := testWorker(fmt.Sprint("w", i))
		w.usedRowStored = false
		tm.workers[w.info.Worker] = w
		tm.markUsed(w)
	}
	c, complete := tm.collectTransaction()
	require.False(t, complete)
	require.GreaterOrEqual(t, len(c.used), maxCommitRows/2)
	require.GreaterOrEqual(t, len(c.updates), maxCommitRows/3, "progress goes on")
	require.LessOrEqual(t, len(c.tx.Puts)+len(c.tx.Delete), maxCommitRows)
}

// The row of a worker that was replaced or left while the transaction with that row was in flight stayed behind: the
// next leader waited for a worker on which nothing runs.
func TestRowInFlightOfEndedLifetimeIsDeleted(t *testing.T) {
	next, again := testWorker("w").info, testWorker("w").info
	next.Born++
	for name, test := range map[string]struct {
		meanwhile func(*term, *worker)
		deleted   bool
	}{
		"unchanged":      {func(*term, *worker) {}, false},
		"replaced":       {func(tm *term, w *worker) { tm.replaceWorker(w, next) }, true},
		"has left":       {func(tm *term, w *worker) { tm.removeWorker(w, "left") }, true},
		"is back by now": {func(tm *term, w *worker) { tm.replaceWorker(tm.replaceWorker(w, next), again) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			w := testWorker("w")
			w.usedRowStored = false
			tm.workers["w"] = w
			tm.markUsed(w)
			c, _ := tm.collectTransaction()
			require.Equal(t, []Lifetime{w.info.Lifetime}, c.used)
			test.meanwhile(tm, w)
			commitResult{commit: c, version: 1, sent: tm.now}.handle(tm)
			c, _ = tm.collectTransaction()
			require.Equal(t, test.deleted, len(c.tx.Delete) == 1, "deleted: %v", c.tx.Delete)
			require.Equal(t, !test.deleted, tm.workers["w"] != nil && tm.workers["w"].usedRowStored)
		})
	}
}
