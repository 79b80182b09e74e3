package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

type lostTestLoad = struct{ lasting, short int64 }

// Where the last usable worker of a service drained, a lost task was not started on a quarantined one.
func TestLastResortServesWhereNoWorkerIsUsable(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{8000, 0}, lostTestLoad{0, 0})
	tm.layout = singleCellLayout()
	tm.workers["w0"].health.quarantine(tm.now)
	tm.workers["w1"].info.Draining = true
	tm.placeSteps([]*waitingStep{w})
	for _, tk := range w.state().tasks {
		require.Len(t, tk.runs, 1)
		require.Equal(t, model.WorkerID("w0"), tk.runs[0].worker.info.Worker)
	}
}

// A quarantined worker that is being emptied for its upkeep must get no lost task.
func TestLastResortIsNoWorkerThatIsEmptied(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{8000, 0}, lostTestLoad{13_000, 0})
	tm.layout = singleCellLayout()
	tm.workers["w0"].health.quarantine(tm.now)
	tm.evacuatingUntil["w0"] = tm.now.Add(time.Minute)
	tm.placeSteps([]*waitingStep{w})
	for _, tk := range w.state().tasks {
		require.Empty(t, tk.runs)
	}
}

// A start on a quarantined worker that waited for a call slot was withdrawn, and decided again by the next plan.
func TestHeldStartOnLastResortIsSent(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{8000, 0}, lostTestLoad{13_000, 0})
	tm.layout = singleCellLayout()
	tm.workers["w0"].health.quarantine(tm.now)
	tm.placeSteps([]*waitingStep{w})
	r := w.state().tasks[0].runs[0]
	require.Equal(t, "w0", string(r.worker.info.Worker))
	require.True(t, tm.mayStillStart(r))
}
