package fleet

import (
	"strconv"
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

// A lost task that claims room which becomes free in minutes must still be lent to a cell that has free room now.
func TestClaimBehindLongWorkKeepsNoTaskFromFreeRoomElsewhere(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{4000, 11_000})
	w.tasks = []int{0}
	for _, r := range tm.workers["w0"].runs {
		if !r.step.Lasting {
			r.step.Estimate = 10 * time.Minute
		}
	}
	load := cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{8000, 8000, nil}}}
	tm.cellLoads = func() []reportedLoad { return []reportedLoad{{1, load, tm.now}} }
	for range 20 {
		tm.refreshRemoteCapacity()
		tm.placeSteps([]*waitingStep{w})
		tm.now = tm.now.Add(100 * time.Millisecond)
	}
	require.Equal(t, 2, w.state().tasks[0].lentTo, "lent to cell 1")
}

// The same holds for a quarantined worker with free room.
func TestClaimBehindLongWorkKeepsNoTaskFromLastResort(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{4000, 11_000}, lostTestLoad{8000, 0})
	tm.layout, w.tasks = singleCellLayout(), []int{0}
	for _, r := range tm.workers["w0"].runs {
		if !r.step.Lasting {
			r.step.Estimate = 10 * time.Minute
		}
	}
	tm.workers["w1"].health.quarantine(tm.now)
	for range 20 {
		tm.placeSteps([]*waitingStep{w})
		tm.now = tm.now.Add(100 * time.Millisecond)
	}
	require.Len(t, w.state().tasks[0].runs, 1)
}

// A claim stayed with a worker whose work takes minutes, although the task fits on another one much sooner.
func TestClaimLeavesLongWork(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{4000, 11_000}, lostTestLoad{4000, 11_000})
	tm.layout, w.tasks = singleCellLayout(), []int{0}
	for _, r := range tm.workers["w0"].runs {
		r.step.Estimate = 10 * time.Minute
	}
	w.state().claims = []*worker{tm.workers["w0"]}
	tm.claimRoom(placements{}, []*waitingStep{w})
	require.Equal(t, []*worker{tm.workers["w1"]}, w.state().claims)
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
	second := addLostTask(tm, 10_000)
	tm.placeSteps([]*waitingStep{w, second})
	require.Equal(t, "w1", string(w.state().tasks[0].runs[0].worker.info.Worker))
	require.Empty(t, second.state().tasks[0].runs)
	require.Equal(t, []*worker{tm.workers["w0"]}, second.state().claims)
}

// addLostTask adds a job with a lost task and returns its waiting step.
func addLostTask(tm *term, milliCPU int64) *waitingStep {
	j := newJob("large", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: milliCPU, MemoryMB: 10}}}}}, 5, epoch)
	j.started = true
	tm.jobs[j.id] = j
	o := j.openOccurrence(0, time.Time{}, tm.now)
	o.steps[0].tasks[0].attempt = 1
	return &waitingStep{job: j, occurrence: o, step: &j.spec.Steps[0], queue: tm.queues["q"], tasks: []int{0}, restart: true}
}

// A claim that waited for short work kept the free part of its room for up to 2.5 s from lost tasks that fit there, of the
// same cell and of others.
func TestFreeRoomServesLostTasksBeforeClaimsThatWait(t *testing.T) {
	for name, other := range map[string]bool{"same cell": false, "another cell": true} {
		t.Run(name, func(t *testing.T) {
			tm, w := lostTestTerm(lostTestLoad{5000, 6000})
			tm.loaded, tm.runsKnown, tm.lastRenewal, w.tasks = true, true, tm.now, []int{0}
			large, w0 := addLostTask(tm, 10_000), tm.workers["w0"]
			large.state().claims = []*worker{w0}
			q := roomQuery{roomRequest{From: 1, Tasks: []unplacedTask{unplacedOf("svc", w.step, 1)}}, make(chan roomAnswer, 1)}
			if other {
				q.handle(tm)
				tm.placeSteps([]*waitingStep{large})
				require.Equal(t, []roomGrant{{q.request.Tasks[0], 1}}, (<-q.reply).Grants)
				return
			}
			tm.placeSteps([]*waitingStep{w, large})
			require.Len(t, w.state().tasks[0].runs, 1)
		})
	}
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

// Lost tasks of queues with advice had room kept before there were claims, those of one rack never had.
func TestRoomIsKeptForLostTasksWithConditions(t *testing.T) {
	for name, change := range map[string]func(*waitingStep){
		"advised":   func(w *waitingStep) { w.queue.Advised = true },
		"same rack": func(w *waitingStep) { w.step.SameRack = true },
	} {
		t.Run(name, func(t *testing.T) {
			tm, w := lostTestTerm(lostTestLoad{8000, 6000})
			tm.layout, w.tasks = singleCellLayout(), []int{0}
			change(w)
			tm.queues["q"] = w.queue
			pools := placements{}
			tm.claimRoom(pools, []*waitingStep{w})
			tm.placeOrMakeRoom(tm.placementOf(pools, "svc"), w)
			short := &Step{Needs: model.Resources{MilliCPU: 2000}}
			require.False(t, pools["svc"].feasible(tm.workers["w0"], taskRequest{step: short}), "new work takes the room of the lost task")
		})
	}
}

// BenchmarkClaims measures a plan in which 250 lost tasks find no worker.
func BenchmarkClaims(b *testing.B) {
	for _, workers := range []int{350, 2000} {
		for name, c := range map[string]struct {
			label    string
			milliCPU int64
			anew     bool // no task has a claim before the plan
		}{
			"first claims":       {"", 3000, true},
			"kept claims":        {"", 3000, false},
			"no room":            {"", 15_000, false},
			"no room with label": {"a", 15_000, false},
		} {
			b.Run(strconv.Itoa(workers)+" workers, "+name, func(b *testing.B) {
				tm, waiting := claimsBenchTerm(workers, 250, c.label, c.milliCPU)
				b.ReportAllocs()
				for b.Loop() {
					tm.now = tm.now.Add(20 * time.Millisecond)
					for _, w := range waiting {
						if c.anew {
							w.state().claims = nil
						}
					}
					tm.placeSteps(waiting)
				}
			})
		}
	}
}

// claimsBenchTerm returns a term whose workers have 20 short runs each and no free room, and steps with a lost task each.
func claimsBenchTerm(workers, steps int, label string, needs int64) (*term, []*waitingStep) {
	tm := newTestTerm(7)
	tm.queues["q"] = Queue{Name: "q", Service: "svc"}
	service, short := &Step{Lasting: true, Needs: model.Resources{MilliCPU: 5600}}, &Step{Needs: model.Resources{MilliCPU: 520}, Estimate: time.Second}
	for i := range workers {
		w := testWorker("w" + strconv.Itoa(i))
		tm.workers[w.info.Worker] = w
		testRun(w, service, 100*i)
		for n := range 20 {
			testRun(w, short, 100*i+n+1).startedAt = epoch.Add(time.Duration(n) * 10 * time.Millisecond)
		}
	}
	var waiting []*waitingStep
	for i := range steps {
		j := newJob("lost"+strconv.Itoa(i), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Label: label, Needs: model.Resources{MilliCPU: needs, MemoryMB: 10}}}}}, 5, epoch)
		j.started = true
		tm.jobs[j.id] = j
		o := j.openOccurrence(0, time.Time{}, tm.now)
		o.steps[0].tasks[0].attempt = 1
		waiting = append(waiting, &waitingStep{job: j, occurrence: o, step: &j.spec.Steps[0], queue: tm.queues["q"], tasks: []int{0}, restart: true})
	}
	return tm, waiting
}

// BenchmarkRoomRequest measures the answer to a request of one of six other cells that ask for room.
func BenchmarkRoomRequest(b *testing.B) {
	for _, workers := range []int{50, 350} {
		b.Run(strconv.Itoa(workers)+" workers", func(b *testing.B) {
			tm, _ := claimsBenchTerm(workers, 0, "", 0)
			tm.loaded, tm.runsKnown = true, true
			var sizes []unplacedTask
			for i := range maxRequestedUnplaced {
				sizes = append(sizes, unplacedTask{Service: "svc", MilliCPU: int64(3000 + i), MemoryMB: 10, Count: 4})
			}
			for from := 1; from < 7; from++ {
				tm.roomRequests[from] = roomRequest{Cell: 0, From: from, Tasks: sizes, at: tm.now}
			}
			b.ReportAllocs()
			for b.Loop() {
				tm.reserveForOtherCells(placements{}, tm.presentRequests(), roomRequest.lostTasks, maxClaimWait)
			}
		})
	}
}

// BenchmarkViewLostTasks measures the view for the line on lost tasks, which the leader logs once a second.
func BenchmarkViewLostTasks(b *testing.B) {
	tm, waiting := claimsBenchTerm(350, 250, "", 15_000)
	for b.Loop() {
		tm.viewLostTasks(waiting)
	}
}

// A search for room that is free soon hid the room that is free later from the tasks that may wait for it.
func TestSearchWithinLimitHidesNoLaterRoom(t *testing.T) {
	tm, w := lostTestTerm(lostTestLoad{4000, 11_000})
	tm.layout = singleCellLayout()
	p := tm.newPlacement("svc")
	p.expectedRunTime = func(*job, *Step) time.Duration { return time.Minute }
	for _, r := range tm.workers["w0"].runs {
		r.job = w.job
	}
	r := taskRequest{job: w.job, step: w.step}
	require.Nil(t, p.soonest(r, maxClaimWait))
	require.NotNil(t, p.soonest(r, anyTime))
}
