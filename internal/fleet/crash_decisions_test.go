package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against crashes that count for starts which the worker has certainly not carried out, and
// against ones that count for the next leader as a run that began.
func TestUnansweredStartThatWasNotCarriedOutIsNoCrash(t *testing.T) {
	refused := model.Errorf(model.KindUnavailable, "retry later", "connection refused")
	lost := model.Errorf(model.KindUnknown, "repeat the call", "no answer")
	for name, test := range map[string]struct {
		settle  func(tm *term, r *run)
		crashes int
	}{
		"no answer": {func(tm *term, r *run) { startReply{run: r, worker: r.worker, err: lost}.handle(tm) }, 1},
		"not sent":  {func(tm *term, r *run) { startReply{run: r, worker: r.worker, err: refused}.handle(tm) }, 0},
		"not sent, after": {func(tm *term, r *run) {
			tm.removeWorker(r.worker, reasonRestarted)
			startReply{run: r, worker: r.worker, err: refused}.handle(tm)
		}, 0},
		"refused": {func(tm *term, r *run) {
			startReply{run: r, worker: r.worker, reply: WorkerReply{Verdict: StartNoCapacity}}.handle(tm)
		}, 0},
		"worker lives":    {func(tm *term, r *run) { reportAfterSilence(tm, r.worker, 1) }, 0},
		"worker restarts": {func(tm *term, r *run) { reportAfterSilence(tm, r.worker, 2) }, 1},
		"next one has it": {func(tm *term, r *run) { reportAfterSilence(tm, r.worker, 2, RunStatus{RunRef: r.ref}) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			w := testWorker("w")
			w.clockAt, tm.workers[w.info.Worker] = tm.now, w
			j := newJob("job", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}}, 0, tm.now)
			o := j.openOccurrence(0, time.Time{}, tm.now)
			tm.jobs[j.id] = j
			r := tm.startAttempt(j, taskKey{}, w, "", 1, "")
			tm.recordNoAnswer(w, refused)
			tk := &o.steps[0].tasks[0]
			require.Len(t, tk.crashes, 1)
			require.Zero(t, tk.confirmedCrashes())
			test.settle(tm, r)
			require.Len(t, tk.crashes, test.crashes)
			next := newJob("job", jobRecord{Queue: "q", Spec: j.spec}, 0, tm.now)
			next.restore(j.progress(), tm.now, nil)
			require.False(t, next.begun && test.crashes > 0, "the next leader does not know whether the run began")
		})
	}
}

// reportAfterSilence applies a report of a lifetime of w, which lists some runs.
func reportAfterSilence(tm *term, w *worker, born int64, running ...RunStatus) {
	tm.now = tm.now.Add(time.Second)
	tm.lastRenewal = tm.now
	pollReply{worker: w, sent: tm.now, report: Report{Verdict: StartRunning, Born: born, Clock: time.Second, Running: running}}.handle(tm)
}

// A start that is held back has not been sent: a crash of its worker says nothing about the task.
func TestHeldStartIsNoCrash(t *testing.T) {
	tm := loadedTerm(t)
	w := testWorker("w")
	w.clockAt, tm.workers[w.info.Worker] = tm.now, w
	j := newJob("job", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}}, 0, tm.now)
	o := j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	r := tm.startAttempt(j, taskKey{}, w, "", 1, "")
	require.Equal(t, runHeld, r.state)
	tm.recordNoAnswer(w, model.Errorf(model.KindUnavailable, "retry later", "connection refused"))
	tm.replaceByReport(w, 2)
	require.Empty(t, o.steps[0].tasks[0].crashes)
}

// Guards against progress rows that grow with each start that gets no answer, and against tasks that are
// given up without two crashes as a prime suspect under runs that have begun.
func TestUnansweredCrashesAreBounded(t *testing.T) {
	tk := &task{}
	for attempt := range 10 {
		tk.addCrash(taskCrash{Attempt: attempt, Unanswered: true})
	}
	require.Equal(t, []taskCrash{{Attempt: 9, Unanswered: true}}, tk.crashes)
	require.False(t, tk.crashesWorkers())
	for attempt := 10; attempt < 10+maxCrashes-1; attempt++ {
		tk.addCrash(taskCrash{Attempt: attempt})
		require.False(t, tk.crashesWorkers(), "no prime suspect of a crash under a run that has begun")
	}
	tk.crashes[1].Prime = true
	require.False(t, tk.crashesWorkers(), "one such crash")
	tk.crashes[2].Prime = true
	require.True(t, tk.crashesWorkers())
}
