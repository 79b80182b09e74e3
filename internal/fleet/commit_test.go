package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wait of progressCommitInterval for what callers, workers and other cells wait for, and
// against a transaction of its own for each end of a task.
func TestOnlyProgressWaitsForLaterTransaction(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(tm *term, j *job, w *worker)
		awaited bool
	}{
		"end of one task":  {func(_ *term, j *job, _ *worker) { j.finishTask(taskKey{}, at(10)) }, false},
		"checkpoint":       {func(_ *term, j *job, _ *worker) { j.dirty = true }, false},
		"worker is unused": {func(tm *term, _ *job, w *worker) { w.usedRowStored = true; tm.markUnused(w) }, false},
		"end of the job": {func(_ *term, j *job, _ *worker) {
			j.finishTask(taskKey{}, at(10))
			j.finishTask(taskKey{index: 1}, at(10))
		}, true},
		"failure":           {func(_ *term, j *job, _ *worker) { j.failureReason, j.dirty = "x", true }, true},
		"cancellation":      {func(_ *term, j *job, _ *worker) { j.cancelled, j.dirty = true, true }, true},
		"lent task":         {func(tm *term, j *job, _ *worker) { tm.lend(j, taskKey{}, &j.occurrences[0].steps[0].tasks[0], 1) }, true},
		"returned task":     {func(_ *term, j *job, _ *worker) { j.returns, j.dirty = []Row{{}}, true }, true},
		"moved job":         {func(_ *term, j *job, _ *worker) { j.movedTo, j.dirty = 2, true }, true},
		"large job":         {func(_ *term, j *job, _ *worker) { j.needsOwnCommit, j.dirty = true, true }, true},
		"first use":         {func(tm *term, _ *job, w *worker) { w.usedRowStored = false; tm.markUsed(w) }, true},
		"silent worker":     {func(_ *term, _ *job, w *worker) { w.usedRowStored, w.unansweredCalls = true, unreachableCalls }, true},
		"new job":           {func(tm *term, _ *job, _ *worker) { tm.confirmationDue = true }, true},
		"maintenance begun": {func(tm *term, _ *job, _ *worker) { tm.waves = map[int]*wave{1: {dirty: true}} }, true},
		"renewal":           {func(tm *term, _ *job, _ *worker) { tm.lastRenewal = at(10).Add(-renewInterval) }, true},
		"release":           {func(tm *term, _ *job, _ *worker) { tm.stopping = true }, true},
		"service waits for its first start": {func(tm *term, j *job, w *worker) {
			j.spec.Steps[0].Lasting, j.started, j.visibleState = true, false, StateQueued
			tm.startTask(j, taskKey{}, w, "")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			tm.now, tm.lastRenewal, tm.lastCommitStart = at(10), at(10), at(10)
			j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 2}}}}, 0, at(9))
			j.openOccurrence(0, time.Time{}, at(9))
			j.started, j.visibleState = true, StateRunning
			w := testWorker("w")
			w.usedRowStored = true
			tm.jobs[j.id], tm.workers[w.info.Worker] = j, w
			c.change(tm, j, w)
			tm.now = tm.now.Add(commitInterval)
			require.Equal(t, c.awaited, tm.nextTransaction() != nil)
			tm.now = at(10).Add(progressCommitInterval)
			require.True(t, tm.pendingCommit != nil || tm.nextTransaction() != nil)
		})
	}
}
