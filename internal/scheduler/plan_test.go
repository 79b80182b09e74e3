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

func (r *rig) task(id string) *cell.Task {
	t, ok := r.st.Task(model.TaskID(id))
	require.True(r.t, ok, id)
	return t
}

// end closes the live attempt of a task as a worker's report does.
func (r *rig) end(id string, o model.Outcome) {
	t := r.task(id)
	ended := []external.EndedAttempt{{AttemptRef: t.Ref(), Outcome: o}}
	r.apply(r.s.EndedRecords(t.Worker, ended, r.now)...)
}

// other adds a cell with free workers of a size.
func (r *rig) other(cores int64) {
	shape := model.Resources{MilliCPU: cores * 1000, MemoryMB: 500000}
	r.s.SetCells([]CellSummary{{ID: "leuven-0", DataCentre: "leuven", Capacity: scale(shape, 4), Free: scale(shape, 4), Largest: shape, Room: shape, Workers: 4}})
}

func (r *rig) out() {
	r.view = &control.View{Sequence: r.view.Sequence + 1, Out: map[model.DataCentre]uint64{"gent": 9}}
}

func kinds(p Plan) map[string]int {
	out := map[string]int{}
	for _, d := range p.Decisions {
		out[d.Kind]++
	}
	return out
}

// Guards against a gang that starts in part.
func TestGangIsPlacedAsAWhole(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.submit("filler", 1, cores(12))
	r.step(time.Second)
	r.submit("g", 6, gang)
	r.step(time.Second)
	require.Equal(t, map[string]int{"queued": 6}, r.states("g"))
	r.end("filler/0", model.OutcomeDone)
	r.step(time.Second)
	require.Equal(t, map[string]int{"live": 6}, r.states("g"))
}

// Guards against a gang that runs on without a task that cannot rejoin it, and
// against a restart of the whole gang when the task can.
func TestLostGangTaskRejoinsOrTheGangRestarts(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.submit("g", 8, gang)
	r.step(time.Second)
	r.end("g/0", model.OutcomeLost)
	r.step(time.Second)
	require.Equal(t, map[string]int{"live": 8}, r.states("g"))
	for _, t := range r.st.LiveOn("gent-w00001")[:1] {
		r.end(string(t.Spec.ID), model.OutcomeLost)
	}
	r.s.SetWorkers(workersOf(1, "gent", model.Resources{MilliCPU: 16000, MemoryMB: 62500}))
	r.step(time.Second)
	require.Zero(t, r.states("g")["evicting"])
	r.now = r.now.Add(40 * time.Second)
	r.step(time.Second)
	require.Equal(t, 7, r.states("g")["evicting"])
}

// Guards against work that waits for ever although no worker can hold it, and
// against a reason that does not name the nearest fit.
func TestCanNeverRunNamesTheNearestFit(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.other(32)
	r.submit("big", 1, cores(64))
	r.submit("gang", 9, func(s *model.TaskSpec) { gang(s); cores(16)(s) })
	r.step(time.Second)
	require.Equal(t, cell.TaskUnrunnable, r.task("big/0").State)
	require.Contains(t, r.task("big/0").Reason, "leuven with 32000m cpu")
	require.Equal(t, map[string]int{"unrunnable": 9}, r.states("gang"))
	require.Contains(t, r.task("gang/0").Reason, "4 workers")
}

// Guards against a job ending as unable to run while expected equipment that
// would hold it has not arrived, or while its data centre is out.
func TestExpectedEquipmentKeepsAJobWaiting(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.view.Declaration = &declaration.Declaration{DataCentres: []declaration.DataCentre{
		{Name: "gent", Cells: 1, Racks: 1, WorkersPerRack: 4, Worker: declaration.Capacity{Cores: 128, MemoryGB: 500}},
	}}
	r.submit("big", 1, cores(64))
	r.step(time.Second)
	require.Equal(t, cell.TaskQueued, r.task("big/0").State)
}

// Guards against a job that fits only another cell's workers waiting here.
func TestJobThatFitsAnotherCellIsTransferred(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.other(64)
	r.submit("big", 1, cores(40))
	r.step(time.Second)
	require.Equal(t, cell.TaskTransferring, r.task("big/0").State)
	require.Equal(t, model.CellID("leuven-0"), r.task("big/0").To)
}

// Guards against a plan that leaks its reservations when it was not durable,
// and against a record planned twice before it is.
func TestAbortReturnsReservations(t *testing.T) {
	r := newRig(t, Config{}, 1)
	r.submit("j", 4, nil)
	require.Len(t, r.s.Plan(r.now, r.view).Records, 4)
	require.Empty(t, r.s.Plan(r.now, r.view).Records)
	r.s.Abort()
	require.Len(t, r.step(time.Second).Records, 4)
	require.Equal(t, map[string]int{"live": 4}, r.states("j"))
}

// Guards against urgent work that waits behind other work, and against more
// evictions than the room needs.
func TestUrgentWorkEvictsTheLeast(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.submit("bulk", 8, nil)
	r.step(time.Second)
	r.submit("u", 1, urgent)
	p := r.step(time.Second)
	require.True(t, p.Urgent)
	require.Equal(t, 1, kinds(p)["evict"])
	require.Zero(t, kinds(r.step(time.Second))["evict"], "one eviction is enough")
	for i := range 8 {
		id := fmt.Sprintf("bulk/%d", i)
		if r.task(id).State == cell.TaskEvicting {
			require.True(t, r.s.Urgent([]cell.Record{{Ended: &cell.Ended{Task: model.TaskID(id)}}}))
			r.end(id, model.OutcomeEvicted)
		}
	}
	r.step(time.Second)
	require.Equal(t, cell.TaskLive, r.task("u/0").State)
	require.Equal(t, 1, r.states("bulk")["queued"])
}

// Guards against urgent work that waits because its own team's other work has
// used up the quota.
func TestUrgentWorkMakesRoomInItsTeamsQuota(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.view.Declaration = &declaration.Declaration{Teams: []declaration.Team{{Name: "press", Quota: declaration.Capacity{Cores: 16, MemoryGB: 100}}}}
	team := func(s *model.TaskSpec) { s.Team = "press" }
	r.submit("bulk", 4, team)
	r.step(time.Second)
	r.submit("u", 1, func(s *model.TaskSpec) { team(s); urgent(s) })
	require.Equal(t, 1, kinds(r.step(time.Second))["evict"])
	for _, task := range r.st.Live() {
		if task.State == cell.TaskEvicting {
			r.end(string(task.Spec.ID), model.OutcomeEvicted)
		}
	}
	r.step(time.Second)
	require.Equal(t, cell.TaskLive, r.task("u/0").State)
}

// Guards against a start in a data centre that is out, and against work that
// stays there although another cell has room.
func TestDataCentreOutDrainsByUrgencyAtAPace(t *testing.T) {
	r := newRig(t, Config{DrainPerSecond: 2}, 2)
	r.submit("low", 3, nil)
	r.submit("high", 2, func(s *model.TaskSpec) { s.Urgency = model.UrgencyHigh })
	r.step(time.Second)
	r.out()
	r.other(64)
	r.submit("new", 1, nil)
	p := r.step(time.Second)
	require.Equal(t, map[string]int{"evict": 2, "move": 1}, kinds(p))
	require.Equal(t, map[string]int{"evicting": 2}, r.states("high"))
	r.end("high/0", model.OutcomeEvicted)
	p = r.step(time.Second)
	require.Zero(t, kinds(p)["place"])
	require.Equal(t, cell.TaskTransferring, r.task("high/0").State)
	require.Equal(t, map[string]int{"live": 1, "evicting": 2}, r.states("low"))
}

// Guards against evicting work from a data centre that is out while no other
// cell has room, before the grace is over.
func TestDrainWaitsForRoomElsewhere(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.submit("j", 3, nil)
	r.step(time.Second)
	r.out()
	require.Zero(t, kinds(r.step(time.Second))["evict"])
	r.now = r.now.Add(2 * time.Minute)
	require.Equal(t, 3, kinds(r.step(time.Second))["evict"])
}

// Guards against one plan for each cancelled job, and against placements of
// jobs that were cancelled meanwhile.
func TestCancellationWaveLeavesNothingToPlace(t *testing.T) {
	r := newRig(t, Config{}, 1)
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

// Guards against a worker that fails everything taking more than probes, and
// against a retry without a pause.
func TestBadWorkerIsQuarantinedAndProbed(t *testing.T) {
	r := newRig(t, Config{QuarantineFailures: 3}, 1)
	r.submit("j", 4, func(s *model.TaskSpec) { s.MaxRetries = 5 })
	r.step(time.Second)
	for i := range 4 {
		r.end(fmt.Sprintf("j/%d", i), model.OutcomeFailed)
	}
	require.Equal(t, 1, r.task("j/0").Failures)
	require.Zero(t, r.task("j/3").Failures, "failures of a suspect worker are not charged")
	p := r.step(time.Second)
	require.Zero(t, kinds(p)["place"])
	require.Equal(t, 1, kinds(p)["quarantine"], "decisions made between plans are logged")
	r.now = r.now.Add(40 * time.Second)
	require.Equal(t, 1, kinds(r.step(time.Second))["place"], "one probe")
	require.Zero(t, kinds(r.step(time.Second))["place"])
	r.now = r.now.Add(time.Minute)
	require.Equal(t, 3, kinds(r.step(time.Second))["place"], "the probe ran long enough")
}

// report sends a sample of the service on the first worker.
func (r *rig) report(p99 time.Duration) {
	r.s.Observe(external.WorkerReport{
		Worker: r.s.order[0].ID, Services: []external.ServiceSample{{Service: "desk", P99: p99}},
	}, r.now)
}

// Guards against steps in the wrong order, evictions beyond the cap, throttles
// that are never relaxed, and steps on samples from before the last step.
func TestMissedTargetStepsUpAndDown(t *testing.T) {
	r := newRig(t, Config{EvictionsPerMinute: 1, MaxStartsPerPlan: 2}, 1)
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
		for kind := range kinds(p) {
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
			r.end(string(t.Spec.ID), model.OutcomeEvicted)
		}
	}
	relaxed := 0
	for range 60 {
		r.now = r.now.Add(3 * time.Second)
		r.report(10 * time.Millisecond)
		relaxed += kinds(r.step(0))["throttle"]
	}
	require.Positive(t, relaxed)
	require.Zero(t, r.s.order[0].protection.throttled)
}

// Guards against a large unit that never starts because small ones take every gap.
func TestStarvedUnitGetsAWorkerHeld(t *testing.T) {
	r := newRig(t, Config{}, 1)
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
			r.end(live[0], model.OutcomeDone)
			live = live[1:]
		}
		for j := range 40 {
			id := fmt.Sprintf("more%d/0", j)
			if r.task(id).State == cell.TaskLive && i%8 == 3 {
				r.end(id, model.OutcomeDone)
				break
			}
		}
	}
	require.Equal(t, cell.TaskLive, r.task("large/0").State)
}

// Guards against a gang whose tasks all stop with one rack.
func TestGangSpreadsOverRacks(t *testing.T) {
	r := newRig(t, Config{}, 12)
	r.submit("g", 6, gang)
	r.step(time.Second)
	racks := map[model.Rack]int{}
	for _, h := range r.s.order {
		racks[h.Rack] += len(h.live)
	}
	require.Equal(t, map[model.Rack]int{"r0": 3, "r1": 3}, racks)
}

// Guards against a returned data centre that takes in work at once, in its own
// plans or through the room it offers to others.
func TestReturnedDataCentreIsFilledGradually(t *testing.T) {
	r := newRig(t, Config{}, 2)
	r.out()
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

// Guards against starting while a new owner's queue is lost: the scheduler of a
// restored state must go on where the former one stopped.
func TestSchedulerOverARestoredState(t *testing.T) {
	r := newRig(t, Config{}, 1)
	r.submit("j", 6, nil)
	r.submit("g", 2, gang)
	r.step(time.Second)
	data, err := r.st.MarshalSnapshot()
	require.NoError(t, err)
	n := newRig(t, Config{}, 1)
	require.NoError(t, n.st.RestoreSnapshot(data))
	require.Equal(t, r.s.order[0].free, n.s.order[0].free)
	n.now = r.now
	for i := range 4 {
		n.end(fmt.Sprintf("j/%d", i), model.OutcomeDone)
	}
	n.step(time.Second)
	require.Equal(t, 2, n.states("j")["live"])
	require.Equal(t, 2, n.states("g")["live"])
	n.submit("late", 1, nil)
	data, err = n.st.MarshalSnapshot()
	require.NoError(t, err)
	l := newRig(t, Config{}, 1)
	require.NoError(t, l.st.RestoreSnapshot(data))
	l.step(time.Second)
	require.Equal(t, start, l.s.units["late/0"].since, "restored work is not taken for starved")
}

// Guards against a gang that waits for ever for a task that ended elsewhere
// between two transfers.
func TestReturnedGangDoesNotWaitForTasksThatMovedOn(t *testing.T) {
	r := newRig(t, Config{}, 2)
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

// Guards against evictions for urgent work that then moves to another cell.
func TestUrgentWorkStaysWhereRoomIsMade(t *testing.T) {
	r := newRig(t, Config{}, 1)
	r.submit("bulk", 4, nil)
	r.step(time.Second)
	r.submit("u", 1, urgent)
	require.Equal(t, 1, kinds(r.step(time.Second))["evict"])
	r.other(64)
	require.Zero(t, kinds(r.step(time.Second))["move"])
	r.submit("v", 1, urgent)
	require.Equal(t, 1, kinds(r.step(time.Second))["move"], "moving is cheaper than an eviction")
}

// Guards against a team whose own work leaves no share for its urgent work, and
// a cell that leaves no room for it.
func TestHeadroomForUrgentWorkSeenLately(t *testing.T) {
	r := newRig(t, Config{}, 13)
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
