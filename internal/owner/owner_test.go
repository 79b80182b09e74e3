package owner

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/dispatch"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

const testCell = model.CellID("south.0")

// fakeJournal keeps rows in memory. Each append returns and removes the first error of
// appendErrs, if any, and then writes nothing.
type fakeJournal struct {
	rows       [][][]byte
	appendErrs []error
	// beforeAppend is called by Append before the row is written.
	beforeAppend func()
}

func (j *fakeJournal) Append(_ context.Context, records [][]byte, _ bool) (uint64, error) {
	if j.beforeAppend != nil {
		j.beforeAppend()
	}
	if len(j.appendErrs) > 0 {
		err := j.appendErrs[0]
		j.appendErrs = j.appendErrs[1:]
		return 0, err
	}
	j.rows = append(j.rows, records)
	return uint64(len(j.rows)), nil
}
func (j *fakeJournal) LeaseValid(time.Time) bool                            { return true }
func (j *fakeJournal) LastSequence() uint64                                 { return uint64(len(j.rows)) }
func (j *fakeJournal) SaveSnapshotAt(context.Context, uint64, []byte) error { return nil }

// fakeDispatcher records the started and acknowledged attempts.
type fakeDispatcher struct {
	started, acked []external.AttemptRef
	events         []dispatch.Event
}

func (d *fakeDispatcher) SetWorkers([]external.Host)        {}
func (d *fakeDispatcher) SetEpochAcknowledged(time.Time)    {}
func (d *fakeDispatcher) Evict(external.AttemptRef)         {}
func (d *fakeDispatcher) Stop(external.AttemptRef)          {}
func (d *fakeDispatcher) Checkpoint(external.AttemptRef)    {}
func (d *fakeDispatcher) Throttle(external.AttemptRef, int) {}
func (d *fakeDispatcher) Notify() <-chan struct{}           { return nil }
func (d *fakeDispatcher) Run(context.Context) error         { return nil }
func (d *fakeDispatcher) Ack(refs ...external.AttemptRef)   { d.acked = append(d.acked, refs...) }
func (d *fakeDispatcher) Start(_ model.WorkerID, s external.Start) error {
	d.started = append(d.started, s.AttemptRef)
	return nil
}
func (d *fakeDispatcher) Events() []dispatch.Event {
	events := d.events
	d.events = nil
	return events
}

func testRuntime() (*Runtime, *fakeJournal, *fakeDispatcher) {
	hosts := testHosts(3)
	return testRuntimeWith(func() []external.Host { return hosts })
}

func testHosts(count int) []external.Host {
	var hosts []external.Host
	for i := range count {
		hosts = append(hosts, external.Host{
			ID: fmt.Sprintf("w%d", i), Role: external.RoleWorker, State: external.HostLive, DataCentre: "south",
			Rack: "r0", Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 16000},
		})
	}
	return hosts
}

func testRuntimeWith(hosts func() []external.Host) (*Runtime, *fakeJournal, *fakeDispatcher) {
	view := &control.View{
		Sequence: 1,
		Declaration: &declaration.Declaration{
			DataCentres:  []declaration.DataCentre{{Name: "south", Cells: 1}},
			Teams:        []declaration.Team{{Name: "print", Quota: declaration.Capacity{Cores: 100, MemoryGB: 1000}}},
			BatchClasses: []declaration.BatchClass{{Name: "plate"}},
		},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Unix(1000, 0)
	cfg := &Config{
		View: func() *control.View { return view }, Fresh: func(time.Time) bool { return true },
		Hosts:             hosts,
		OutageRenewal:     func(model.CellID, model.Epoch) bool { return false },
		EpochAcknowledged: func(model.CellID, model.Epoch) bool { return true },
		Cells:             func() []scheduler.CellSummary { return nil },
		Log:               logrus.NewEntry(log),
		Now:               func() time.Time { now = now.Add(50 * time.Millisecond); return now },
	}
	cfg.setDefaults()
	j, d := &fakeJournal{}, &fakeDispatcher{}
	r := newRuntimeWithState(cfg, 1, j, cell.NewState(testCell))
	r.disp = d
	return r, j, d
}

func testJob(id string, tasks int) model.JobSpec {
	job := model.JobSpec{ID: model.JobID(id)}
	for i := range tasks {
		job.Tasks = append(job.Tasks, model.TaskSpec{
			ID: model.TaskID(fmt.Sprintf("%s/%d", id, i)), Job: job.ID, Team: "print", Class: "plate",
			Resources: model.Resources{MilliCPU: 1000, MemoryMB: 1000},
		})
	}
	return job
}

// submit queues a submission and returns the channel of its response.
func submit(r *Runtime, job model.JobSpec) chan response {
	reply := make(chan response, 1)
	r.requests <- request{submit: &job, reply: reply}
	return reply
}

// Guards against a start or a response that is sent before the records that cause it are
// durable.
func TestEffectsWaitForTheAppend(t *testing.T) {
	r, j, d := testRuntime()
	reply := submit(r, testJob("a", 2))
	j.beforeAppend = func() {
		assert.Empty(t, d.started, "a start was sent before the append")
		assert.Empty(t, reply, "a response was sent before the append")
	}
	_, err := r.iterate(t.Context())
	require.NoError(t, err)
	require.Len(t, d.started, 2)
	require.NoError(t, (<-reply).err)
}

// Guards against performing the effects of a batch whose append failed because of a
// newer owner.
func TestNoEffectsAfterFailedAppend(t *testing.T) {
	r, j, d := testRuntime()
	reply := submit(r, testJob("a", 1))
	j.appendErrs = []error{model.Errorf(model.KindUnknown, "", "ownership ended")}
	_, err := r.iterate(t.Context())
	require.Error(t, err)
	require.Empty(t, d.started)
	require.Empty(t, reply)
}

// Guards against a batch that is lost or appended twice when the store is temporarily
// unavailable.
func TestUnavailableAppendIsRepeated(t *testing.T) {
	r, j, d := testRuntime()
	reply := submit(r, testJob("a", 1))
	down := model.Errorf(model.KindUnavailable, "", "store down")
	j.appendErrs = []error{down, down}
	_, err := r.iterate(t.Context())
	require.NoError(t, err)
	require.Len(t, j.rows, 1)
	require.Len(t, d.started, 1)
	require.NoError(t, (<-reply).err)
}

// Guards against acknowledging an end before it is durable, which would let the worker
// drop it, and against never acknowledging an end that is reported again.
func TestEndsAreAcknowledgedOnceDurable(t *testing.T) {
	r, j, d := testRuntime()
	submit(r, testJob("a", 1))
	_, err := r.iterate(t.Context())
	require.NoError(t, err)
	task, _ := r.state.Task("a/0")
	ended := dispatch.Event{
		Kind: dispatch.EventEnded, Worker: task.Worker, Ref: task.Ref(),
		Ended: external.EndedAttempt{AttemptRef: task.Ref(), Outcome: model.OutcomeDone, Result: "x"},
	}
	j.beforeAppend = func() { assert.Empty(t, d.acked) }
	d.events = []dispatch.Event{ended}
	_, err = r.iterate(t.Context())
	require.NoError(t, err)
	require.Equal(t, []external.AttemptRef{ended.Ref}, d.acked)
	j.beforeAppend = nil
	d.events = []dispatch.Event{ended}
	_, err = r.iterate(t.Context())
	require.NoError(t, err)
	require.Len(t, d.acked, 2, "a repeated end must be acknowledged again")
}

// Guards against tasks that wait for an unreachable worker: the worker appears empty, so
// that the scheduler would choose it for each placement.
func TestUnreachableWorkerIsAvoided(t *testing.T) {
	r, _, d := testRuntime()
	submit(r, testJob("a", 4))
	unreachable, elsewhere := model.WorkerID(""), 0
	for range 20 {
		_, err := r.iterate(t.Context())
		require.NoError(t, err)
		for _, task := range r.state.Live() {
			if unreachable == "" {
				unreachable = task.Worker
			}
			if task.Worker != unreachable {
				elsewhere++
				continue
			}
			d.events = append(d.events, dispatch.Event{
				Kind: dispatch.EventRejected, Worker: task.Worker, Ref: task.Ref(), Reason: dispatch.ReasonUnreachable,
			})
		}
	}
	require.NotZero(t, elsewhere)
	status, _ := r.state.Job("a")
	for _, task := range status.Tasks {
		require.Zero(t, task.Failures, "an unreachable worker is not the job's failure")
	}
}

// Guards against a changed host list that is mistaken for the previous one.
func TestChangedHostListIsUsed(t *testing.T) {
	hosts := testHosts(1)
	r, _, d := testRuntimeWith(func() []external.Host { return hosts })
	submit(r, testJob("a", 16))
	for _, count := range []int{1, 2, 1} {
		hosts = testHosts(count)
		_, err := r.iterate(t.Context())
		require.NoError(t, err)
		require.Equal(t, count, r.sched.Summary().Workers)
	}
	require.Len(t, d.started, 16)
}

// BenchmarkIdleIteration measures an iteration without work at the target size of 21,000
// workers.
func BenchmarkIdleIteration(b *testing.B) {
	hosts := testHosts(21_000)
	r, _, _ := testRuntimeWith(func() []external.Host { return hosts })
	for b.Loop() {
		if _, err := r.iterate(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a journal that a new owner cannot replay: for any mix of submissions,
// ends and cancellations, recovery must restore the same state.
func TestRecoveryEqualsTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, j, d := testRuntime()
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "submit") {
				submit(r, testJob(fmt.Sprintf("j%d", step), rapid.IntRange(1, 4).Draw(t, "tasks")))
			}
			if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
				r.requests <- request{cancel: model.JobID(fmt.Sprintf("j%d", rapid.IntRange(0, step).Draw(t, "job"))), reply: make(chan response, 1)}
			}
			d.events = drawEnds(t, r)
			_, err := r.iterate(context.Background())
			require.NoError(t, err)
		}
		successor, err := recoverRows(j.rows)
		require.NoError(t, err)
		want, err := r.state.MarshalSnapshot()
		require.NoError(t, err)
		got, err := successor.MarshalSnapshot()
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

// drawEnds draws ends of some live attempts, some of them reported twice.
func drawEnds(t *rapid.T, r *Runtime) []dispatch.Event {
	outcomes := []model.Outcome{model.OutcomeDone, model.OutcomeFailed, model.OutcomeLost, model.OutcomeEvicted}
	var events []dispatch.Event
	for _, task := range r.state.Live() {
		for range rapid.IntRange(0, 2).Draw(t, "ends") {
			outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			events = append(events, dispatch.Event{
				Kind: dispatch.EventEnded, Worker: task.Worker, Ref: task.Ref(),
				Ended: external.EndedAttempt{AttemptRef: task.Ref(), Outcome: outcome},
			})
		}
	}
	return events
}
