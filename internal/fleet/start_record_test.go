package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A service was lost with its worker and its leader before its start was stored. The next leader took
// it for a new one, which waits behind capacity held for short work, and it did not run for a minute.
func TestServiceThatRanIsNotTakenForANewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := Step{Count: rapid.IntRange(1, 4).Draw(t, "tasks"), Lasting: true, Gang: rapid.Bool().Draw(t, "gang"),
			SameRack: rapid.Bool().Draw(t, "same_rack"), Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}
		tm := loadedTerm(t)
		for _, id := range []string{"a", "b"} {
			w := testWorker(id)
			w.rack = "r"
			tm.workers[w.info.Worker] = w
		}
		j := newJob("service", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, tm.now)
		j.inherited = rapid.Bool().Draw(t, "inherited")
		o := j.openOccurrence(0, time.Time{}, tm.now)
		tm.jobs[j.id] = j
		stored := map[RowID]Row{}
		for range 6 {
			tm.now = tm.now.Add(tickInterval)
			tm.lastRenewal = tm.now
			tm.plan()
			if rapid.Bool().Draw(t, "stored") {
				c, _ := tm.collectTransaction()
				for _, put := range c.tx.Puts {
					stored[put.RowID] = put
				}
				commitResult{commit: c, version: 1}.handle(tm)
			}
			for i := range o.steps[0].tasks {
				if !o.steps[0].tasks[i].hasRun() {
					continue
				}
				next := restored(j, stored)
				next.inherited = true
				next.openDue(tm.now, 0, nil)
				waiting := tm.appendWaitingSteps(nil, next, next.occurrences[0], tm.queues["q"])
				require.Len(t, waiting, 1)
				require.True(t, waiting[0].restart, "the next leader knows that the service has started")
			}
		}
	})
}

// Guards against a start that is stored before its place is taken: one free place would be promised to each
// waiting service, and all of them shown as running.
func TestOneFreePlaceStartsOneService(t *testing.T) {
	tm := loadedTerm(t)
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	for i := range 10 {
		j := newJob(fmt.Sprint("service", i), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 16000, MemoryMB: 100}}}}}, 0, tm.now)
		j.openOccurrence(0, time.Time{}, tm.now)
		tm.jobs[j.id] = j
	}
	for range 4 {
		tm.now = tm.now.Add(tickInterval)
		tm.lastRenewal = tm.now
		tm.plan()
		c, _ := tm.collectTransaction()
		commitResult{commit: c, version: 1}.handle(tm)
	}
	running, movable := 0, 0
	for _, j := range tm.jobs {
		if j.visibleState == StateRunning {
			running++
		}
		if j.movable() {
			movable++
		}
	}
	require.Len(t, w.runs, 1)
	require.Equal(t, 1, running, "callers see those as running that run")
	require.Equal(t, 9, movable, "the others may move to another cell")
}

// Services that waited for the same free place would count as lost ones for the next leader, although nothing of
// them had run: it kept workers free for them, and other work did not start beside free processors.
func TestServicesThatNeverRanKeepNoWorkerFree(t *testing.T) {
	tm := loadedTerm(t)
	free := testWorker("free")
	tm.workers[free.info.Worker] = free
	services := map[string]*job{}
	for i := range 10 {
		j := newJob(fmt.Sprint("service", i), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 16000, MemoryMB: 100}}}}}, 0, tm.now)
		j.openOccurrence(0, time.Time{}, tm.now)
		tm.jobs[j.id], services[j.id] = j, j
	}
	stored := map[RowID]Row{}
	for range 4 {
		tm.now = tm.now.Add(tickInterval)
		tm.lastRenewal = tm.now
		tm.plan()
		c, _ := tm.collectTransaction()
		for _, put := range c.tx.Puts {
			stored[put.RowID] = put
		}
		commitResult{commit: c, version: 1}.handle(tm)
	}
	require.Len(t, free.runs, 1)
	next := loadedTerm(t)
	for i := range 5 {
		w := testWorker(fmt.Sprint("w", i))
		testRun(w, &Step{Count: 1, Needs: model.Resources{MilliCPU: 1000}}, i)
		next.workers[w.info.Worker] = w
	}
	for _, j := range services {
		if len(j.occurrences[0].steps[0].tasks[0].runs) > 0 {
			continue // it runs on
		}
		r := restored(j, stored)
		r.queue, r.acceptedVersion, r.inherited = "q", 0, true
		r.openDue(next.now, 0, nil)
		next.jobs[r.id] = r
	}
	batch := newJob("batch", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Estimate: time.Second, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}}, 0, next.now)
	o := batch.openOccurrence(0, time.Time{}, next.now)
	next.jobs[batch.id] = batch
	for range 20 {
		next.now = next.now.Add(tickInterval)
		next.lastRenewal = next.now
		next.plan()
	}
	require.Len(t, o.steps[0].tasks[0].runs, 1, "75 of 80 cores are free")
}

// Guards against less urgent work that takes the room of a service while its start is being stored.
func TestServiceKeepsItsRoomWhileItsStartIsStored(t *testing.T) {
	tm := loadedTerm(t)
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	cpu := w.free().MilliCPU
	service := newJob("service", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Image: "i", Needs: model.Resources{MilliCPU: cpu, MemoryMB: 100}}}}}, 0, tm.now)
	service.openOccurrence(0, time.Time{}, tm.now)
	tm.queues["low"] = Queue{Name: "low", Service: "svc", Priority: 1, Stretch: 2, Objective: time.Second}
	batch := newJob("batch", jobRecord{Queue: "low", Spec: Spec{Steps: []Step{{Count: 1, Estimate: time.Minute, Needs: model.Resources{MilliCPU: cpu, MemoryMB: 100}}}}}, 0, tm.now)
	o := batch.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[service.id], tm.jobs[batch.id] = service, batch
	tm.plan()
	c, _ := tm.collectTransaction()
	commitResult{commit: c, version: 1}.handle(tm)
	tm.plan()
	require.Len(t, service.occurrences[0].steps[0].tasks[0].runs, 1, "the service comes first")
	require.Empty(t, o.steps[0].tasks[0].runs)
}

// Guards what may happen while the start of a service is being stored: its order goes to no worker that may get
// no start any more, and the task does not wait for a run that never began.
func TestHeldStartIsNotSentToUnusableWorker(t *testing.T) {
	for name, c := range map[string]struct {
		happen    func(*term, *worker, *job)
		sent      bool
		startable bool // the next plan may start the task elsewhere
	}{
		"nothing":       {func(*term, *worker, *job) {}, true, false},
		"drains":        {func(_ *term, w *worker, _ *job) { w.info.Draining = true }, false, true},
		"falls silent":  {func(tm *term, w *worker, _ *job) { w.countUnanswered(tm.now) }, false, true},
		"leaves":        {func(tm *term, w *worker, _ *job) { tm.unlistWorker(w) }, false, true},
		"is recorded":   {func(tm *term, w *worker, _ *job) { w.leaseRecordTerm = tm.number }, false, true},
		"starts again":  {func(tm *term, w *worker, _ *job) { tm.replaceByReport(w, w.info.Born+1) }, false, true},
		"data centre":   {func(tm *term, w *worker, _ *job) { tm.dataCentresOut[w.info.DataCentre] = true }, false, true},
		"job cancelled": {func(tm *term, _ *worker, j *job) { tm.cancelJob(j.id) }, false, false},
		"leader stops":  {func(tm *term, _ *worker, _ *job) { stepDown{}.handle(tm) }, false, true},
		"renewals fail": {func(tm *term, _ *worker, _ *job) { tm.now = tm.now.Add(maxOrderAge) }, false, true},
		"lease is over": {func(tm *term, w *worker, _ *job) { tm.loseRuns(w, reasonLeaseOver) }, false, true},
		"another is run": {func(tm *term, w *worker, j *job) {
			tm.applyRunning(w, []RunStatus{{RunRef: RunRef{taskKey{}.Name(j.id), 90}}})
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			w := testWorker("w")
			tm.workers[w.info.Worker] = w
			j := newJob(fmt.Sprintf("%016x", 1), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}}, 0, tm.now)
			tk := &j.openOccurrence(0, time.Time{}, tm.now).steps[0].tasks[0]
			tm.jobs[j.id] = j
			tm.plan()
			require.Len(t, tk.runs, 1)
			r := tk.runs[0]
			require.Equal(t, runHeld, r.state)
			c.happen(tm, w, j)
			storeProgress(tm)
			require.Equal(t, c.sent, r.state == runSent)
			require.Equal(t, c.sent, r.worker.runs[r.ref] == r)
			require.Equal(t, c.startable, !j.over() && len(tk.runs) == 0)
			require.Empty(t, tm.heldStarts)
		})
	}
}
