package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// lostTestTerm returns a term with a job of two lost lasting tasks of 4 cores and their waiting step. Each of the
// workers w0, w1, ... has 16 cores, of which a service and short tasks reserve the given numbers.
func lostTestTerm(loads ...struct{ lasting, short int64 }) (*term, *waitingStep) {
	tm := newTestTerm(2)
	for i, load := range loads {
		w := testWorker("w" + string(rune('0'+i)))
		tm.workers[w.info.Worker] = w
		testRun(w, &Step{Lasting: true, Needs: model.Resources{MilliCPU: load.lasting}}, 2*i)
		testRun(w, &Step{Needs: model.Resources{MilliCPU: load.short}}, 2*i+1)
	}
	s := Step{Count: 2, Lasting: true, Needs: model.Resources{MilliCPU: 4000, MemoryMB: 10}}
	j := newJob("lost", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{s}}}, 5, epoch)
	j.started = true
	tm.queues["q"] = Queue{Name: "q", Service: "svc"}
	tm.jobs[j.id] = j
	o := j.openOccurrence(0, time.Time{}, tm.now)
	for i := range o.steps[0].tasks {
		o.steps[0].tasks[i].attempt = 1
	}
	return tm, &waitingStep{job: j, occurrence: o, index: 0, step: &j.spec.Steps[0], queue: tm.queues["q"], tasks: []int{0, 1}, restart: true}
}

// The line must tell room that is free from room that short tasks hold and from that on quarantined workers.
func TestLostTasksViewTellsWhoHoldsTheRoom(t *testing.T) {
	type load = struct{ lasting, short int64 }
	for name, c := range map[string]struct {
		loads       []load
		quarantined bool
		room        taskRoom
	}{
		"free":        {[]load{{12_000, 0}}, false, taskRoom{now: 1, later: 1}},
		"short tasks": {[]load{{4000, 11_000}}, false, taskRoom{later: 2}},
		"services":    {[]load{{13_000, 0}, {13_000, 3000}}, false, taskRoom{}},
		"quarantined": {[]load{{4000, 11_000}}, true, taskRoom{quarantined: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			tm, w := lostTestTerm(c.loads...)
			if c.quarantined {
				tm.workers["w0"].health.quarantine(tm.now)
			}
			tm.now = tm.now.Add(time.Second)
			v := tm.viewLostTasks([]*waitingStep{w})
			require.Equal(t, 2, v.tasks)
			require.Equal(t, c.room, v.room)
		})
	}
}

// A quarantined worker was the only one with room, and a lost service waited until the end of the quarantine.
// Where there is other room, or where the task itself failed there, it must not be used.
func TestLostTaskStartsOnQuarantinedWorkerWithoutOtherRoom(t *testing.T) {
	type load = struct{ lasting, short int64 }
	for name, c := range map[string]struct {
		other   load
		prepare func(*health, time.Time)
		failed  []model.WorkerID
		worker  model.WorkerID
	}{
		"no other room":        {load{13_000, 0}, func(h *health, now time.Time) { h.quarantine(now) }, nil, "w0"},
		"other room":           {load{12_000, 0}, func(h *health, now time.Time) { h.quarantine(now) }, nil, "w1"},
		"refuses starts":       {load{13_000, 0}, func(h *health, now time.Time) { h.quarantine(now); h.exclude(now) }, nil, ""},
		"failed on probation":  {load{13_000, 0}, func(h *health, now time.Time) { h.quarantines = 1; h.quarantine(now) }, nil, "w0"},
		"task failed there":    {load{13_000, 0}, func(h *health, now time.Time) { h.quarantine(now) }, []model.WorkerID{"w0"}, ""},
		"refuses, has no rest": {load{13_000, 0}, func(h *health, now time.Time) { h.exclude(now) }, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			tm, w := lostTestTerm(load{8000, 0}, c.other)
			c.prepare(&tm.workers["w0"].health, tm.now)
			tm.layout = singleCellLayout()
			w.tasks = []int{0}
			w.state().tasks[0].failedOn = c.failed
			pools := placements{}
			tm.claimRoom(pools, []*waitingStep{w})
			tm.placeOrMakeRoom(pools["svc"], w)
			tk := &w.state().tasks[0]
			if c.worker == "" {
				require.Empty(t, tk.runs)
				return
			}
			require.Len(t, tk.runs, 1)
			require.Equal(t, c.worker, tk.runs[0].worker.info.Worker)
		})
	}
}
