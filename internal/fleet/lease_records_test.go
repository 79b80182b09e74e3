package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A worker whose plain row replaced a lease record counted as registered although its row had been
// deleted: the next term would not wait for its runs.
func TestRowDeletedBesidePlainRowIsNotStored(t *testing.T) {
	tm := newTestTerm(1)
	w := testWorker("w")
	w.recordTerm, w.clock, w.clockAt, w.inheritedLeaseEnd = tm.number-1, time.Second, at(1), at(1.1)
	tm.workers["w"], tm.loaded, w.pollInFlight = w, true, true
	tm.now, tm.fenceVersion = at(1), 1
	tm.markUsed(w) // it has answered
	c1 := tm.collectTransaction()
	require.Len(t, c1.used, 1)
	w.unansweredCalls = 1
	tm.now, tm.confirmedAt = at(2), at(1.5)
	tm.expireLeases()
	tm.now = at(2.1)
	commitResult{commit: c1, version: 2, sent: at(2)}.handle(tm)
	c2 := tm.collectTransaction()
	w.unansweredCalls = 0
	if len(c2.tx.Delete) > 0 {
		require.False(t, w.usedRowStored && tm.unusableReason(w) == "", "the row is deleted, but tasks may start on the worker")
	}
}
