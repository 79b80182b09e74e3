package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

func urgent(s *model.TaskSpec) { s.Urgency = model.UrgencyUrgent }
func gang(s *model.TaskSpec)   { s.Gang = true }
func cores(n int64) func(*model.TaskSpec) {
	return func(s *model.TaskSpec) { s.Resources = model.Resources{MilliCPU: n * 1000, MemoryMB: 1000} }
}

func (r *harness) task(id string) *cell.Task {
	t, ok := r.st.Task(model.TaskID(id))
	require.True(r.t, ok, id)
	return t
}

// endAttempt ends the live attempt of a task as a worker's report does.
func (r *harness) endAttempt(id string, o model.Outcome) {
	t := r.task(id)
	ended := []external.EndedAttempt{{AttemptRef: t.Ref(), Outcome: o}}
	r.apply(r.s.EndedRecords(t.Worker, ended, r.now)...)
}

// setOtherCell adds a second cell with four free workers of the given size.
func (r *harness) setOtherCell(cores int64) {
	shape := model.Resources{MilliCPU: cores * 1000, MemoryMB: 500000}
	r.s.SetCells([]CellSummary{{ID: "leuven-0", DataCentre: "leuven", Capacity: scale(shape, 4), Free: scale(shape, 4), Largest: shape, Room: shape, Workers: 4}})
}

func (r *harness) setDataCentreOut() {
	r.view = &control.View{Sequence: r.view.Sequence + 1, Out: map[model.DataCentre]uint64{"gent": 9}}
}

func decisionCounts(p Plan) map[string]int {
	out := map[string]int{}
	for _, d := range p.Decisions {
		out[d.Kind]++
	}
	return out
}

// Guards against starting only a part of a gang.
func TestGangIsPlacedAtomically(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.submit("filler", 1, cores(12))
	r.step(time.Second)
	r.submit("g", 6, gang)
	r.step(time.Second)
	require.Equal(t, map[string]int{"queued": 6}, r.states("g"))
	r.endAttempt("filler/0", model.OutcomeDone)
	r.step(time.Second)
	require.Equal(t, map[string]int{"live": 6}, r.states("g"))
}

// Guards against a gang that keeps running without a lost task that cannot rejoin it, and
// against restarting the whole gang when the task can.
func TestLostGangTaskRejoinsOrGangRestarts(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.submit("g", 8, gang)
	r.step(time.Second)
	r.endAttempt("g/0", model.OutcomeLost)
	r.step(time.Second)
	require.Equal(t, map[string]int{"live": 8}, r.states("g"))
	for _, t := range r.st.LiveOn("gent-w00001")[:1] {
		r.endAttempt(string(t.Spec.ID), model.OutcomeLost)
	}
	r.s.SetWorkers(workersOf(1, "gent", model.Resources{MilliCPU: 16000, MemoryMB: 62500}))
	r.step(time.Second)
	require.Zero(t, r.states("g")["evicting"])
	r.now = r.now.Add(40 * time.Second)
	r.step(time.Second)
	require.Equal(t, 7, r.states("g")["evicting"])
}

// Guards against tasks that wait forever although they fit no worker, and against a reason
// that does not name the nearest fit.
func TestUnrunnableReasonNamesNearestFit(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.setOtherCell(32)
	r.submit("big", 1, cores(64))
	r.submit("gang", 9, func(s *model.TaskSpec) { gang(s); cores(16)(s) })
	r.step(time.Second)
	require.Equal(t, cell.TaskUnrunnable, r.task("big/0").State)
	require.Contains(t, r.task("big/0").Reason, "leuven with 32000m cpu")
	require.Equal(t, map[string]int{"unrunnable": 9}, r.states("gang"))
	require.Contains(t, r.task("gang/0").Reason, "4 workers")
}

// Guards against ending a job as unrunnable while declared workers that would fit it have
// not arrived, or while their data centre is out of service.
func TestExpectedEquipmentKeepsAJobWaiting(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.view.Declaration = &declaration.Declaration{DataCentres: []declaration.DataCentre{
		{Name: "gent", Cells: 1, Racks: 1, WorkersPerRack: 4, Worker: declaration.Capacity{Cores: 128, MemoryGB: 500}},
	}}
	r.submit("big", 1, cores(64))
	r.step(time.Second)
	require.Equal(t, cell.TaskQueued, r.task("big/0").State)
}

// Guards against a job that waits here although it fits only another cell's workers.
func TestJobThatFitsAnotherCellIsTransferred(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.setOtherCell(64)
	r.submit("big", 1, cores(40))
	r.step(time.Second)
	require.Equal(t, cell.TaskTransferring, r.task("big/0").State)
	require.Equal(t, model.CellID("leuven-0"), r.task("big/0").To)
}

// Guards against leaking the reservations of a plan that did not become durable, and
// against planning a second record for a task before the first is durable.
func TestAbortReturnsReservations(t *testing.T) {
	r := newHarness(t, Config{}, 1)
	r.submit("j", 4, nil)
	require.Len(t, r.s.Plan(r.now, r.view).Records, 4)
	require.Empty(t, r.s.Plan(r.now, r.view).Records)
	r.s.Abort()
	require.Len(t, r.step(time.Second).Records, 4)
	require.Equal(t, map[string]int{"live": 4}, r.states("j"))
}

// Guards against urgent tasks that wait behind other tasks, and against more evictions than
// necessary.
func TestUrgentPreemptionEvictsMinimum(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.submit("bulk", 8, nil)
	r.step(time.Second)
	r.submit("u", 1, urgent)
	p := r.step(time.Second)
	require.True(t, p.Urgent)
	require.Equal(t, 1, decisionCounts(p)["evict"])
	require.Zero(t, decisionCounts(r.step(time.Second))["evict"], "one eviction is enough")
	for i := range 8 {
		id := fmt.Sprintf("bulk/%d", i)
		if r.task(id).State == cell.TaskEvicting {
			require.True(t, r.s.Urgent([]cell.Record{{Ended: &cell.Ended{Task: model.TaskID(id)}}}))
			r.endAttempt(id, model.OutcomeEvicted)
		}
	}
	r.step(time.Second)
	require.Equal(t, cell.TaskLive, r.task("u/0").State)
	require.Equal(t, 1, r.states("bulk")["queued"])
}

// Guards against urgent tasks that wait because other tasks of their team use up the quota.
func TestUrgentWorkPreemptsWithinTeamQuota(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.view.Declaration = &declaration.Declaration{Teams: []declaration.Team{{Name: "press", Quota: declaration.Capacity{Cores: 16, MemoryGB: 100}}}}
	team := func(s *model.TaskSpec) { s.Team = "press" }
	r.submit("bulk", 4, team)
	r.step(time.Second)
	r.submit("u", 1, func(s *model.TaskSpec) { team(s); urgent(s) })
	require.Equal(t, 1, decisionCounts(r.step(time.Second))["evict"])
	for _, task := range r.st.Live() {
		if task.State == cell.TaskEvicting {
			r.endAttempt(string(task.Spec.ID), model.OutcomeEvicted)
		}
	}
	r.step(time.Second)
	require.Equal(t, cell.TaskLive, r.task("u/0").State)
}

// Guards against starts in a data centre that is out of service, and against tasks that
// stay there although another cell has free capacity.
func TestDataCentreDrainIsRateLimitedAndOrderedByUrgency(t *testing.T) {
	r := newHarness(t, Config{DrainPerSecond: 2}, 2)
	r.submit("low", 3, nil)
	r.submit("high", 2, func(s *model.TaskSpec) { s.Urgency = model.UrgencyHigh })
	r.step(time.Second)
	r.setDataCentreOut()
	r.setOtherCell(64)
	r.submit("new", 1, nil)
	p := r.step(time.Second)
	require.Equal(t, map[string]int{"evict": 2, "move": 1}, decisionCounts(p))
	require.Equal(t, map[string]int{"evicting": 2}, r.states("high"))
	r.endAttempt("high/0", model.OutcomeEvicted)
	p = r.step(time.Second)
	require.Zero(t, decisionCounts(p)["place"])
	require.Equal(t, cell.TaskTransferring, r.task("high/0").State)
	require.Equal(t, map[string]int{"live": 1, "evicting": 2}, r.states("low"))
}

// Guards against evicting tasks from a data centre that is out of service before DrainGrace
// is over, while no other cell has free capacity.
func TestDrainWaitsForCapacityElsewhere(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.submit("j", 3, nil)
	r.step(time.Second)
	r.setDataCentreOut()
	require.Zero(t, decisionCounts(r.step(time.Second))["evict"])
	r.now = r.now.Add(2 * time.Minute)
	require.Equal(t, 3, decisionCounts(r.step(time.Second))["evict"])
}

// Guards against one plan per cancelled job, and against placements or leaked reservations
// of jobs that are cancelled between a plan and its application.
func TestMassCancellationLeavesNothingToPlace(t *testing.T) {
	r := newHarness(t, Config{}, 1)
	for i := range 50 {
		r.submit(fmt.Sprintf("j%d", i), 2, nil)
	}
	p := r.s.Plan(r.now, r.view)
	for i := range 50 {
		r.apply(cell.Record{Cancelled: &cell.Cancelled{Job: model.JobID(fmt.Sprintf("j%d", i))}})
	}
	for _, rec := range p.Records {
		require.Equal(t, model.KindConflict, model.KindOf(r.st.Apply(rec)))
	}
	r.s.Committed(p.Records, r.now)
	require.Empty(t, r.step(time.Second).Records)
	require.Equal(t, r.s.order[0].Capacity, r.s.order[0].free)
}

// Guards against placing more than probes on a worker that fails every task, and against
// retries without a delay.
func TestFailingWorkerIsQuarantinedAndProbed(t *testing.T) {
	r := newHarness(t, Config{QuarantineFailures: 3}, 1)
	r.submit("j", 4, func(s *model.TaskSpec) { s.MaxRetries = 5 })
	r.step(time.Second)
	for i := range 4 {
		r.endAttempt(fmt.Sprintf("j/%d", i), model.OutcomeFailed)
	}
	require.Equal(t, 1, r.task("j/0").Failures)
	require.Zero(t, r.task("j/3").Failures, "failures of a suspect worker are not charged")
	p := r.step(time.Second)
	require.Zero(t, decisionCounts(p)["place"])
	require.Equal(t, 1, decisionCounts(p)["quarantine"], "decisions made between plans are logged")
	r.now = r.now.Add(40 * time.Second)
	require.Equal(t, 1, decisionCounts(r.step(time.Second))["place"], "one probe")
	require.Zero(t, decisionCounts(r.step(time.Second))["place"])
	r.now = r.now.Add(time.Minute)
	require.Equal(t, 3, decisionCounts(r.step(time.Second))["place"], "the probe ran long enough")
}

// report sends a service sample of the first worker.
func (r *harness) report(p99 time.Duration) {
	r.s.Observe(external.WorkerReport{
		Worker: r.s.order[0].ID, Services: []external.ServiceSample{{Service: "desk", P99: p99}},
	}, r.now)
}

// Guards against protection steps in the wrong order, evictions beyond the limit, throttles
// that are never relaxed, and steps on samples measured before the last step took effect.
func TestMissedTargetEscalatesAndRelaxes(t *testing.T) {
	r := newHarness(t, Config{EvictionsPerMinute: 1, MaxStartsPerPlan: 2}, 1)
	r.view.Declaration = &declaration.Declaration{Services: []declaration.Service{{Name: "desk", TargetP99: declaration.Duration(100 * time.Millisecond)}}}
	r.submit("j", 2, nil)
	r.step(time.Minute)
	var steps []string
	for i := range 12 {
		if i == 0 {
			r.report(200 * time.Millisecond)
			r.step(0)
			r.report(200 * time.Millisecond)
			require.Empty(t, r.step(0).Throttles, "the step has had no time to take effect")
		}
		r.now = r.now.Add(3 * time.Second)
		r.report(200 * time.Millisecond)
		p := r.step(0)
		for kind := range decisionCounts(p) {
			steps = append(steps, kind)
		}
	}
	require.Contains(t, steps, "evict")
	require.Less(t, slices.Index(steps, "throttle"), slices.Index(steps, "checkpoint"))
	require.Less(t, slices.Index(steps, "checkpoint"), slices.Index(steps, "evict"))
	evicts := 0
	for _, s := range steps {
		if s == "evict" {
			evicts++
		}
	}
	require.Equal(t, 1, evicts, "the cap holds: %v", steps)
	for _, t := range r.st.Live() {
		if t.State == cell.TaskEvicting {
			r.endAttempt(string(t.Spec.ID), model.OutcomeEvicted)
		}
	}
	relaxed := 0
	for range 60 {
		r.now = r.now.Add(3 * time.Second)
		r.report(10 * time.Millisecond)
		relaxed += decisionCounts(r.step(0))["throttle"]
	}
	require.Positive(t, relaxed)
	require.Zero(t, r.s.order[0].protection.throttledTasks)
}

// Guards against a large unit that never starts because small ones take all free capacity.
func TestWorkerIsHeldForStarvedUnit(t *testing.T) {
	r := newHarness(t, Config{}, 1)
	r.submit("small", 4, nil)
	r.step(time.Second)
	r.submit("large", 1, cores(16))
	for i := range 40 {
		r.submit(fmt.Sprintf("more%d", i), 1, nil)
	}
	live := []string{"small/0", "small/1", "small/2", "small/3"}
	for i := 0; i < 200 && r.task("large/0").State != cell.TaskLive; i++ {
		r.step(15 * time.Second)
		if i%8 == 7 && len(live) > 0 {
			r.endAttempt(live[0], model.OutcomeDone)
			live = live[1:]
		}
		for j := range 40 {
			id := fmt.Sprintf("more%d/0", j)
			if r.task(id).State == cell.TaskLive && i%8 == 3 {
				r.endAttempt(id, model.OutcomeDone)
				break
			}
		}
	}
	require.Equal(t, cell.TaskLive, r.task("large/0").State)
}

// Guards against placing all tasks of a gang on one rack.
func TestGangSpreadsOverRacks(t *testing.T) {
	r := newHarness(t, Config{}, 12)
	r.submit("g", 6, gang)
	r.step(time.Second)
	racks := map[model.Rack]int{}
	for _, h := range r.s.order {
		racks[h.Rack] += len(h.live)
	}
	require.Equal(t, map[model.Rack]int{"r0": 3, "r1": 3}, racks)
}

// Guards against filling a returned data centre at once, by its own plans or because of the
// free capacity that it reports to other cells.
func TestReturnedDataCentreIsFilledGradually(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.setDataCentreOut()
	r.step(time.Second)
	require.Zero(t, r.s.Summary().Free, "no share, no room")
	r.view = &control.View{Sequence: 9}
	r.submit("j", 8, nil)
	r.step(time.Second)
	require.Equal(t, 2, r.states("j")["live"], "a quarter of each worker")
	r.now = r.now.Add(30 * time.Second)
	r.step(time.Second)
	require.Equal(t, 4, r.states("j")["live"])
	r.now = r.now.Add(time.Minute)
	r.step(time.Second)
	require.Equal(t, 8, r.states("j")["live"])
}

// Guards against losing the queue at a change of owner: the scheduler of a restored state
// must continue where the previous one stopped.
func TestSchedulerResumesFromRestoredState(t *testing.T) {
	r := newHarness(t, Config{}, 1)
	r.submit("j", 6, nil)
	r.submit("g", 2, gang)
	r.step(time.Second)
	data, err := r.st.MarshalSnapshot()
	require.NoError(t, err)
	n := newHarness(t, Config{}, 1)
	require.NoError(t, n.st.RestoreSnapshot(data))
	require.Equal(t, r.s.order[0].free, n.s.order[0].free)
	n.now = r.now
	for i := range 4 {
		n.endAttempt(fmt.Sprintf("j/%d", i), model.OutcomeDone)
	}
	n.step(time.Second)
	require.Equal(t, 2, n.states("j")["live"])
	require.Equal(t, 2, n.states("g")["live"])
	n.submit("late", 1, nil)
	data, err = n.st.MarshalSnapshot()
	require.NoError(t, err)
	l := newHarness(t, Config{}, 1)
	require.NoError(t, l.st.RestoreSnapshot(data))
	l.step(time.Second)
	require.Equal(t, start, l.s.units["late/0"].readySince, "restored work is not taken for starved")
}

// Guards against a gang that waits forever for a task that ended in another cell between
// two transfers.
func TestReturnedGangDoesNotWaitForTasksThatMovedOn(t *testing.T) {
	r := newHarness(t, Config{}, 2)
	r.submit("g", 3, gang)
	for i := range 3 {
		id := model.TaskID(fmt.Sprintf("g/%d", i))
		r.apply(cell.Record{TransferOut: &cell.TransferOut{Task: id, To: "leuven-0", Group: 3}}, cell.Record{TransferEnd: &cell.TransferEnd{Task: id}})
	}
	for i := range 2 {
		spec := r.task(fmt.Sprintf("g/%d", i)).Spec
		r.apply(cell.Record{TransferIn: &cell.TransferIn{Spec: spec, From: "leuven-0", Attempts: 1, Hop: 2, Group: 2}})
		if i == 0 {
			r.step(time.Second)
			require.Zero(t, r.states("g")["live"], "the second task has not arrived")
		}
	}
	r.step(time.Second)
	require.Equal(t, 2, r.states("g")["live"])
}

// Guards against transferring an urgent unit after evictions were planned for it.
func TestUrgentWorkStaysAfterPreemption(t *testing.T) {
	r := newHarness(t, Config{}, 1)
	r.submit("bulk", 4, nil)
	r.step(time.Second)
	r.submit("u", 1, urgent)
	require.Equal(t, 1, decisionCounts(r.step(time.Second))["evict"])
	r.setOtherCell(64)
	require.Zero(t, decisionCounts(r.step(time.Second))["move"])
	r.submit("v", 1, urgent)
	require.Equal(t, 1, decisionCounts(r.step(time.Second))["move"], "moving is cheaper than an eviction")
}

// Guards against a team's other tasks using the share reserved for its urgent work, and
// against a cell without headroom for it.
func TestHeadroomForRecentUrgentWork(t *testing.T) {
	r := newHarness(t, Config{}, 13)
	r.view.Declaration = &declaration.Declaration{Teams: []declaration.Team{{Name: "press", Quota: declaration.Capacity{Cores: 16, MemoryGB: 100}}}}
	team := func(s *model.TaskSpec) { s.Team = "press" }
	r.step(time.Second)
	r.submit("u", 1, func(s *model.TaskSpec) { team(s); urgent(s) })
	r.step(time.Second)
	r.submit("bulk", 4, team)
	r.step(time.Second)
	r.submit("other", 60, nil)
	r.step(time.Second)
	require.Equal(t, 2, r.states("bulk")["live"], "one task runs, one is reserved")
	require.Equal(t, 48, r.states("other")["live"], "one place of 52 stays free")
	r.now = r.now.Add(time.Hour)
	r.step(time.Second)
	require.Equal(t, 49, r.states("other")["live"], "the headroom has decayed")
}
