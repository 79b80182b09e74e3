package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A run was stopped because its job was unknown, and the job's row arrived before the end of the run
// was reported: the leader's process ended by itself.
func TestEndOfRunWhoseJobArrivesLater(t *testing.T) {
	for _, how := range []EndKind{EndStopped, EndLapsed, EndFailed, EndDone} {
		tm := newTestTerm(1)
		tm.loaded = true
		w := testWorker("w")
		tm.workers["w"] = w
		ref := RunRef{Task: jobName + ".0.0.0", Attempt: 1}
		w.attach(&run{ref: ref, worker: w, state: runStopping}, tm.now)
		tm.applyJobRow(Row{RowID: RowID{Key: jobName}, Version: 12, Value: encode(jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1}}}})}, 0)
		tm.applyEnd(w, RunEnd{Number: 1, RunRef: ref, How: how})
		require.Empty(t, w.runs)
		require.Equal(t, how == EndDone, tm.jobs[jobName].state() == StateCompleted)
	}
}
