package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A worker whose first report came just before its entry got no work for the rest of the term: only
// reports registered it, and an idle worker is not asked for more.
func TestWorkerListedAfterItsFirstReportIsRegistered(t *testing.T) {
	for name, first := range map[string]func(*term, *worker) *worker{
		"the entry returns": func(tm *term, w *worker) *worker {
			w.answered, w.usedRowStored = false, false
			tm.unlistWorker(w)
			return w
		},
		"the worker has started again": func(tm *term, w *worker) *worker { return tm.replaceByReport(w, w.info.Born+1) },
	} {
		t.Run(name, func(t *testing.T) {
			tm := newTestTerm(1)
			tm.now, tm.lastRenewal, tm.loaded, tm.fenceVersion = at(1), at(1), true, 10
			w := testWorker("w")
			tm.workers["w"] = w
			w = first(tm, w)
			tm.applyReport(w, pollReply{worker: w, sent: at(1), report: Report{Verdict: StartRunning, Born: w.info.Born, Clock: time.Second}})
			tm.updateWorker(w, w.info)
			for s := 1.0; s < 3 && tm.unusableReason(w) != ""; s += tickInterval.Seconds() {
				tm.now, tm.confirmedAt, tm.lastRenewal = at(s), at(s), at(s)
				tm.expireLeases()
				require.False(t, tm.pollDue(w), "nothing is asked of an idle worker")
				if c := tm.nextTransaction(); c != nil {
					commitResult{commit: c, version: tm.fenceVersion + 1, sent: tm.now}.handle(tm)
				}
			}
			require.Empty(t, tm.unusableReason(w))
		})
	}
}
