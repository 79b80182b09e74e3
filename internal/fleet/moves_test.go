package fleet

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// newTestTerm returns a term of cell 0 whose event loop does not run.
func newTestTerm(cells int) *term {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := newLayout(cells, racksOf(max(cells, 2), 20))
	t := newTerm(Config{}, 0, l, 3, 10, epoch, log.WithField("test", true), newMetrics(telemetry.NewMetrics("test")))
	t.now, t.startedAt = epoch, epoch
	return t
}

func cellWith(cell int, capacity, reserved, spare int64, at time.Time) reportedLoad {
	return reportedLoad{cell, cellLoad{Capacity: capacity, Reserved: reserved, Spare: spare}, at}
}

func TestChooseCell(t *testing.T) {
	arrived := at(10)
	before, after := at(9), at(11)
	service := stepDemand{milliCPU: 10, lasting: true}
	imaged := stepDemand{milliCPU: 10, lasting: true, image: "web"}
	preferred, unpreferred := 1, 1
	for imagePreference("web", preferred) < imagePreference("web", 0) {
		preferred++
	}
	for imagePreference("web", unpreferred) > imagePreference("web", 0) {
		unpreferred++
	}
	filler := stepDemand{milliCPU: 100, filler: true}
	urgent := stepDemand{milliCPU: 100}
	render := stepDemand{milliCPU: 100, filler: true, image: "render"}
	withToleratedSpare := func(r cellLoad, milliCPU int64) cellLoad {
		r.ToleratedSpare = map[string]int64{"render": milliCPU}
		return r
	}
	withServices := func(r cellLoad, present, before, after int64) cellLoad {
		r.Services, r.Accepted = map[string]int64{"web": present}, map[string]int64{"a": before, "web": 10, "z": after}
		return r
	}
	half := cellLoad{Capacity: 1000, Reserved: 500, Spare: 300}
	full := cellLoad{Capacity: 1000, Reserved: 950, Spare: 20}
	for name, c := range map[string]struct {
		own         cellLoad
		others      []reportedLoad
		demand      stepDemand
		fits, burst bool
		choice      cellChoice
		cell        int
	}{
		"no other cell is known":                {full, nil, service, false, true, stayInCell, 0},
		"service, cells are even":               {half, []reportedLoad{cellWith(1, 1000, 400, 0, after)}, service, true, false, stayInCell, 0},
		"service, another cell is emptier":      {half, []reportedLoad{cellWith(1, 1000, 490, 0, before), cellWith(2, 1000, 200, 0, before)}, service, true, false, moveToCell, 2},
		"service of a burst, no news since":     {half, []reportedLoad{cellWith(1, 1000, 0, 0, before)}, service, true, true, waitForCellLoads, 0},
		"service of a burst, news since":        {half, []reportedLoad{cellWith(1, 1000, 0, 0, after)}, service, true, true, moveToCell, 1},
		"service, its image prefers another":    {half, []reportedLoad{cellWith(preferred, 1000, 450, 0, before)}, imaged, true, false, moveToCell, preferred},
		"service, its image prefers this one":   {half, []reportedLoad{cellWith(unpreferred, 1000, 400, 0, before)}, imaged, true, false, stayInCell, 0},
		"service, the preferred cell is full":   {half, []reportedLoad{cellWith(preferred, 1000, 700, 0, before)}, imaged, true, false, stayInCell, 0},
		"service, another cell has its image":   {withServices(half, 10, 0, 0), []reportedLoad{{unpreferred, withServices(half, 20, 0, 0), before}}, imaged, true, false, moveToCell, unpreferred},
		"service, its image is here":            {withServices(half, 40, 0, 0), []reportedLoad{{preferred, withServices(half, 20, 0, 0), before}}, imaged, true, false, stayInCell, 0},
		"service of a burst, planned here":      {withServices(full, 10, 0, 900), []reportedLoad{{1, withServices(half, 90, 0, 900), after}}, imaged, true, true, stayInCell, 0},
		"service of a burst, planned elsewhere": {withServices(half, 90, 900, 0), []reportedLoad{{1, withServices(full, 0, 900, 0), after}}, imaged, true, true, moveToCell, 1},
		"service that does not fit here":        {half, []reportedLoad{cellWith(1, 1000, 450, 0, before)}, service, false, false, moveToCell, 1},
		"service that fits nowhere waits":       {half, []reportedLoad{cellWith(1, 1000, 900, 0, before)}, service, false, false, waitForCellLoads, 0},
		"filler, spare is even":                 {half, []reportedLoad{cellWith(1, 1000, 0, 400, after)}, filler, true, false, stayInCell, 0},
		"filler, another cell has clearly more": {half, []reportedLoad{cellWith(1, 1000, 0, 700, after)}, filler, true, false, moveToCell, 1},
		"filler that fits nowhere here":         {full, []reportedLoad{cellWith(1, 1000, 0, 150, after)}, filler, false, false, moveToCell, 1},
		"filler, nothing is spare anywhere":     {full, []reportedLoad{cellWith(1, 1000, 0, 50, after)}, filler, false, false, stayInCell, 0},
		"filler that presses on services here":  {withToleratedSpare(half, -50), []reportedLoad{{1, withToleratedSpare(half, 150), after}, {2, withToleratedSpare(half, 300), after}}, render, true, false, moveToCell, 2},
		"filler that presses nowhere less":      {withToleratedSpare(half, -50), []reportedLoad{{1, withToleratedSpare(half, 60), after}}, render, true, false, stayInCell, 0},
		"filler that hardly presses here":       {withToleratedSpare(half, 10), []reportedLoad{{1, withToleratedSpare(half, 900), after}}, render, true, false, stayInCell, 0},
		"filler that only services here bear":   {withToleratedSpare(half, 50), []reportedLoad{{1, withToleratedSpare(cellLoad{Capacity: 1000, Spare: 900}, 0), after}}, render, true, false, stayInCell, 0},
		"urgent work that fits does not move":   {full, []reportedLoad{cellWith(1, 1000, 0, 0, after)}, urgent, true, false, stayInCell, 0},
		"urgent work that does not fit":         {full, []reportedLoad{cellWith(1, 1000, 300, 0, after)}, urgent, false, false, moveToCell, 1},
		"urgent work, all cells are full":       {full, []reportedLoad{cellWith(1, 1000, 960, 0, after)}, urgent, false, false, stayInCell, 0},
		"too wide for the other cell":           {full, []reportedLoad{cellWith(1, 150, 0, 0, after)}, urgent, false, false, stayInCell, 0},
	} {
		t.Run(name, func(t *testing.T) {
			choice, cell := chooseCell(reportedLoad{0, c.own, after}, c.others, c.demand, c.fits, c.burst, arrived)
			require.Equal(t, c.choice, choice)
			if choice == moveToCell {
				require.Equal(t, c.cell, cell)
			}
		})
	}
}

// A job that has moved must not be accepted again. Its row may be newer than a list of all
// rows that is handled later, so its absence from that list does not mean that it is deleted.
func TestMovedJobIsNotAcceptedAgain(t *testing.T) {
	tm := newTestTerm(3)
	id := "0"
	for i := 0; tm.layout.cellOf(id) != 0; i++ {
		id = string(rune('a' + i))
	}
	row := Row{RowID: tm.layout.jobRow(id), Version: 50, Value: encode(jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1}}}})}
	jobRows{rows: []Row{row}}.handle(tm)
	require.NotNil(t, tm.jobs[id])
	tm.jobs[id].movedTo = 2
	jobRows{fullVersion: 40}.handle(tm)
	jobRows{rows: []Row{row}}.handle(tm)
	require.Equal(t, 2, tm.jobs[id].movedTo, "the job stays moved")
	jobRows{fullVersion: 60}.handle(tm)
	require.Nil(t, tm.jobs[id], "a job whose row is gone is forgotten")
}

// The reported load of a cell does not include jobs that were moved there since. Without adding
// them, too many jobs would move to the same cell.
func TestRecentMovesCountAsLoad(t *testing.T) {
	tm := newTestTerm(3)
	tm.cellLoads = func() []reportedLoad {
		return []reportedLoad{cellWith(0, 1000, 0, 0, epoch), cellWith(1, 1000, 0, 1000, epoch), cellWith(2, 1000, 0, 0, epoch.Add(-cellLoadMaxAge-time.Second))}
	}
	tm.recentMoves = []recentMove{{1, stepDemand{milliCPU: 300}, epoch}, {1, stepDemand{milliCPU: 300}, epoch.Add(-2 * recentMoveWindow)}}
	others := tm.otherCellLoads()
	require.Len(t, others, 1, "neither the own cell nor one whose report is too old")
	require.Equal(t, int64(300), others[0].load.Reserved)
}

// Processors beside services that bear no more fillers are not spare. Fillers that moved there
// waited for headroom and moved on.
func TestSpareForFillersIsWhatServicesTolerate(t *testing.T) {
	for name, c := range map[string]struct {
		headroom    float64
		least, most int64
	}{
		"the service bears none":         {1.2, 0, 0},
		"the service bears some":         {2, 4000, 7000},
		"processors are short instead":   {4, 14_000, 14_000},
		"the service exceeds its target": {0.9, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tm := newTestTerm(2)
			w := testWorker("w")
			w.listed = true
			tm.workers = map[model.WorkerID]*worker{"w": w}
			addService(tm, w, 0, 4000, c.headroom)
			tm.interference.fillerImages["render"] = true
			spare := tm.ownLoad(nil).ToleratedSpare["render"]
			require.GreaterOrEqual(t, spare, c.least)
			require.LessOrEqual(t, spare, c.most)
		})
	}
}

func TestDemandOfWaitingStep(t *testing.T) {
	big := model.Resources{MilliCPU: 1000}
	of := func(s Step) stepDemand { return demandOf(&waitingStep{job: &job{}, step: &s, tasks: []int{3, 5}}) }
	require.Equal(t, stepDemand{milliCPU: 2000}, of(Step{Count: 9, Needs: big, Image: "i"}))
	require.Equal(t, stepDemand{milliCPU: 2000, filler: true, image: "i"}, of(Step{Count: 9, Needs: big, Filler: true, Image: "i"}))
	require.Equal(t, stepDemand{milliCPU: 2000, lasting: true, image: "i"}, of(Step{Count: 9, Needs: big, Lasting: true, Image: "i"}))
}

// The only sign that an earlier term started tasks of a job may be the end of a run. Such a job
// has started: it must not count as pending, and must not move as if nothing of it had run.
func TestRunEndMarksJobStarted(t *testing.T) {
	tm := newTestTerm(3)
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 2}}}}, 5, epoch)
	j.inherited = true
	j.openDue(epoch, 0, tm.monotonicTime)
	tm.jobs["j"] = j
	require.False(t, j.movable(), "tasks of an inherited job may have been started")
	w := testWorker("w")
	tm.applyEnd(w, RunEnd{Number: 1, RunRef: RunRef{"j.0.0.0", 1}, How: EndDone})
	require.True(t, j.started)
	require.Empty(t, tm.pendingCounts())
	require.Equal(t, StateRunning, j.state())
}

// A cell that receives a job which has started must continue it: finished tasks stay finished,
// checkpoints are kept, and its attempt numbers are above all that the other cell may have
// used, as workers refuse lower ones.
func TestMovedJobContinues(t *testing.T) {
	from := newTestTerm(3)
	from.number = 4
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 2, Checkpoints: true}}}}, 5, epoch)
	j.inherited = true
	j.openDue(epoch, 0, from.monotonicTime)
	from.jobs["j"] = j
	w := testWorker("w")
	from.applyEnd(w, RunEnd{Number: 1, RunRef: RunRef{"j.0.0.0", 1}, How: EndDone})
	from.applyEnd(w, RunEnd{Number: 2, RunRef: RunRef{"j.0.0.1", 65}, How: EndStopped, Checkpoint: "half"})
	j.movedTo = 2
	to := newTestTerm(3)
	to.cell = 1
	to.applyJobRow(Row{RowID: movedRow("cell-1", "j"), Version: 60, Value: encode(from.movedJobRecord(j))}, 0)
	got := to.jobs["j"]
	require.NotNil(t, got)
	require.Equal(t, 1, got.occurrences[0].steps[0].remaining)
	_, tk := got.task(taskKey{0, 0, 1})
	require.Equal(t, "half", tk.checkpoint)
	require.Greater(t, got.nextAttempt(tk, to.number), 4*attemptsPerTerm)
	require.Equal(t, []int{0}, got.previousCells)
	require.Equal(t, StateRunning, got.visibleState)
}

// A run that was marked lost when its worker's lease expired may have completed before without
// the leader knowing. Its job must stay in the cell that will receive this end, since another
// cell would start the task again. It may move if no worker of the cell can hold the task.
func TestJobWithLostRunStaysInCell(t *testing.T) {
	tm := newTestTerm(3)
	q := Queue{Name: "q", Service: "svc"}
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: 1000}}}}}, 5, epoch)
	j.started = true
	j.openDue(epoch, 0, tm.monotonicTime)
	w := &waitingStep{job: j, occurrence: j.occurrences[0], step: &j.spec.Steps[0], queue: q, tasks: []int{0}}
	worker := testWorker("w")
	tm.workers["w"] = worker
	tm.now = epoch.Add(2 * relocateAfter)
	require.True(t, tm.mayMove(w), "no task runs between two steps")

	r := &run{ref: RunRef{"j.0.0.0", 1}, job: j, worker: worker, step: w.step, key: taskKey{}}
	worker.attach(r, epoch)
	j.occurrences[0].steps[0].tasks[0].runs = []*run{r}
	require.False(t, tm.mayMove(w), "a task runs")
	tm.markLost(r, reasonLeaseOver)
	require.False(t, tm.mayMove(w))
	worker.unansweredCalls, worker.clockAt = 9, epoch
	require.False(t, tm.mayMove(w), "the only worker is silent, but may answer again")
	tm.now = epoch.Add(unreachableTimeout + time.Second)
	require.True(t, tm.mayMove(w), "the only worker has been silent for too long")
	worker.unansweredCalls = 0
	require.False(t, tm.mayMove(w), "the worker answers")
	worker.listed = false
	require.True(t, tm.mayMove(w), "no worker is left")
}

// A cancellation may reach the leader before the row of its job. It must hold when the row
// arrives, and must not be kept for ever.
func TestCancellationBeforeItsJob(t *testing.T) {
	tm := newTestTerm(1)
	tm.cfg.Store = emptyStore{}
	row := Row{RowID: RowID{Key: jobName}, Version: 12, Value: encode(jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1}}}})}
	tm.cancelJob(jobName)
	tm.applyJobRow(row, 0)
	require.Equal(t, StateCancelled, tm.jobs[jobName].state())
	require.True(t, tm.jobs[jobName].over())
	require.Equal(t, StateQueued, tm.jobs[jobName].visibleState, "nothing of it is stored")
	c, _ := tm.collectTransaction()
	commitResult{commit: c, version: 13}.handle(tm)
	require.Equal(t, StateCancelled, tm.jobs[jobName].visibleState)
	delete(tm.jobs, jobName)
	tm.now = tm.now.Add(earlyCancellationAge + time.Second)
	tm.removeFinishedJobs()
	require.Empty(t, tm.earlyCancellations)
	tm.applyJobRow(row, 0)
	require.Equal(t, StateQueued, tm.jobs[jobName].visibleState)
}

const jobName = "00000000000000aa"

// An inherited job that was not seen to start could run twice if it left before all workers have told their
// runs and ends: the end of a run on a worker that fell silent would come to the cell that it has left.
func TestInheritedJobStaysUntilRunsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		change func(tm *term, j *job, w *worker)
		moves  bool
	}{
		"worker has told all":       {func(tm *term, _ *job, w *worker) { w.answered, w.inherited = true, false }, true},
		"an earlier term had":       {func(_ *term, _ *job, w *worker) { w.runsKnown = true }, true},
		"worker lists no ends yet":  {func(tm *term, _ *job, w *worker) { w.answered, w.endsCut, w.unansweredCalls = true, true, 1 }, false},
		"worker has fallen silent":  {func(*term, *job, *worker) {}, false},
		"silent worker was removed": {func(tm *term, _ *job, _ *worker) { tm.expireLeases() }, false},
		"job has started":           {func(_ *term, j *job, w *worker) { w.answered, w.inherited, j.started = true, false, true }, false},
	} {
		t.Run(name, func(t *testing.T) {
			tm := newTestTerm(3)
			tm.loaded, tm.now, tm.confirmedAt = true, at(100), at(99)
			j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1}}}}, 5, epoch)
			j.inherited = true
			j.openDue(epoch, 0, tm.monotonicTime)
			w := testWorker("w")
			w.inherited, w.answered, w.clockAt = true, false, epoch
			tm.jobs["j"], tm.workers[w.info.Worker], tm.workers["other"] = j, w, testWorker("other")
			c.change(tm, j, w)
			require.True(t, tm.allRunsKnown())
			require.Equal(t, c.moves, tm.mayMove(&waitingStep{job: j, occurrence: j.occurrences[0], step: &j.spec.Steps[0], queue: Queue{Service: "svc"}, tasks: []int{0}}))
		})
	}
}
