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

// No other cell may be asked for room for a task that is never lent.
func TestNoRoomIsAskedForTasksThatAreNotLent(t *testing.T) {
	for name, change := range map[string]func(*Step){
		"accelerators":    func(s *Step) { s.Needs.Accelerators = 1 },
		"may not be away": func(s *Step) { s.MaxInterrupted = 1 },
		"near its data":   func(s *Step) { s.Near = "r1" },
	} {
		t.Run(name, func(t *testing.T) {
			tm, w := lostTestTerm()
			tm.loaded, tm.runsKnown = true, true
			change(w.step)
			gone := testWorker("gone")
			gone.listed = false
			tm.workers["gone"] = gone
			tk := &w.state().tasks[0]
			r := &run{ref: RunRef{w.key(0).Name(w.job.id), 1}, job: w.job, key: w.key(0), worker: gone, step: w.step, reserved: w.step.Reserved(), state: runLive}
			gone.attach(r, tm.now)
			tk.runs = append(tk.runs, r)
			tm.claimRoom(placements{}, nil)
			require.Empty(t, tm.lostUnplaced)
		})
	}
}

// Room that a claim leaves because its task starts elsewhere serves a larger task in the same plan. That one was lent or
// went to a quarantined worker.
func TestRoomOfWithdrawnClaimIsClaimed(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{4000, 12_000}, lostTestLoad{12_000, 0}, lostTestLoad{4000, 0})
	tm.layout, w.tasks = singleCellLayout(), []int{0}
	w.state().claims = []*worker{tm.workers["w0"]}
	tm.workers["w2"].health.quarantine(tm.now)
	large := Step{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 10_000, MemoryMB: 10}}
	j := newJob("large", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{large}}}, 5, epoch)
	j.started = true
	tm.jobs[j.id] = j
	o := j.openOccurrence(0, time.Time{}, tm.now)
	o.steps[0].tasks[0].attempt = 1
	second := &waitingStep{job: j, occurrence: o, step: &j.spec.Steps[0], queue: tm.queues["q"], tasks: []int{0}, restart: true}
	tm.placeSteps([]*waitingStep{w, second})
	require.Equal(t, "w1", string(w.state().tasks[0].runs[0].worker.info.Worker))
	require.Empty(t, o.steps[0].tasks[0].runs)
	require.Equal(t, []*worker{tm.workers["w0"]}, o.steps[0].claims)
}

// After a change of leader services that have never run claimed the room of those that may be lost.
func TestServiceThatNeverRanHasNoClaim(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{8000, 4000})
	tm.loaded = true
	tm.workers["silent"] = testWorker("silent")
	tm.workers["silent"].inherited, tm.workers["silent"].answered = true, false
	tm.workers["silent"].inheritedLeaseEnd = tm.now.Add(time.Minute)
	fresh := newJob("a", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 2, Lasting: true, Needs: model.Resources{MilliCPU: 4000}}}}}, 5, epoch)
	tm.jobs[fresh.id] = fresh
	o := fresh.openOccurrence(0, time.Time{}, tm.now)
	fresh.inherited, w.job.inherited = true, true
	tm.claimRoom(placements{}, nil)
	require.Empty(t, o.steps[0].claims)
	require.Len(t, w.state().claims, 2)
}
