package cell

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

func spec(job string, i int, mod func(*model.TaskSpec)) model.TaskSpec {
	s := model.TaskSpec{
		ID: model.TaskID(fmt.Sprintf("%s/%d", job, i)), Job: model.JobID(job),
		Resources: model.Resources{MilliCPU: 1000, MemoryMB: 500}, MaxRetries: 1,
	}
	if mod != nil {
		mod(&s)
	}
	return s
}

func submitted(job string, n int, mod func(*model.TaskSpec)) Record {
	j := model.JobSpec{ID: model.JobID(job)}
	for i := range n {
		j.Tasks = append(j.Tasks, spec(job, i, mod))
	}
	return Record{Submitted: &Submitted{Job: j}}
}

func placed(task string, attempt model.Attempt, w string) Record {
	return Record{Placed: &Placed{Task: model.TaskID(task), Attempt: attempt, Worker: model.WorkerID(w)}}
}

func ended(task string, attempt model.Attempt, o model.Outcome) Record {
	return Record{Ended: &Ended{Task: model.TaskID(task), Attempt: attempt, Outcome: o, Checkpoint: "ck", Charged: true}}
}

// Guards against applying a record that breaks an invariant, and against rejecting a valid
// one.
func TestApplyRejectsInvalidTransitions(t *testing.T) {
	cases := []struct {
		name    string
		records []Record
		kind    model.Kind
	}{
		{"second live attempt", []Record{submitted("j", 1, nil), placed("j/0", 1, "w"), placed("j/0", 2, "v")}, model.KindConflict},
		{"attempt with a gap", []Record{submitted("j", 1, nil), placed("j/0", 2, "w")}, model.KindConflict},
		{"beyond capacity", []Record{submitted("j", 3, nil), placed("j/0", 1, "w"), placed("j/1", 1, "w"), placed("j/2", 1, "w")}, model.KindExhausted},
		{"end of a former attempt", []Record{submitted("j", 1, nil), placed("j/0", 1, "w"), ended("j/0", 1, model.OutcomeLost), placed("j/0", 2, "w"), ended("j/0", 1, model.OutcomeDone)}, model.KindConflict},
		{"unknown task", []Record{placed("x", 1, "w")}, model.KindNotFound},
		{"empty record", []Record{{}}, model.KindInvalid},
		{"cancel of an unknown job", []Record{{Cancelled: &Cancelled{Job: "j"}}}, model.KindNotFound},
		{"task id of another job", []Record{submitted("j", 1, nil), submitted("k", 1, func(s *model.TaskSpec) { s.ID = "j/0" })}, model.KindConflict},
		{"placement after cancellation", []Record{submitted("j", 1, nil), {Cancelled: &Cancelled{Job: "j"}}, placed("j/0", 1, "w")}, model.KindConflict},
		{"transfer of a live task", []Record{submitted("j", 1, nil), placed("j/0", 1, "w"), {TransferOut: &TransferOut{Task: "j/0", To: "b"}}}, model.KindConflict},
		{"repeated submission", []Record{submitted("j", 1, nil), submitted("j", 1, nil)}, ""},
		{"placement on a worker not yet known", []Record{submitted("j", 1, nil), placed("j/0", 1, "unknown")}, ""},
	}
	for _, c := range cases {
		s := NewState("a")
		s.SetWorker("w", model.Resources{MilliCPU: 2500, MemoryMB: 9000})
		for i, r := range c.records {
			err := s.Apply(r)
			if i < len(c.records)-1 || c.kind == "" {
				require.NoError(t, err, c.name)
				continue
			}
			require.Equal(t, c.kind, model.KindOf(err), "%s: %v", c.name, err)
		}
	}
}

// Guards against charged failures that are not counted, and uncharged ones that use up the
// retries.
func TestFailuresCountAgainstRetryBudget(t *testing.T) {
	s := NewState("a")
	require.NoError(t, s.Apply(submitted("j", 1, nil)))
	attempt := model.Attempt(0)
	fail := func(charged bool) TaskState {
		attempt++
		require.NoError(t, s.Apply(placed("j/0", attempt, "w")))
		require.NoError(t, s.Apply(Record{Ended: &Ended{Task: "j/0", Attempt: attempt, Outcome: model.OutcomeFailed, Charged: charged}}))
		task, _ := s.Task("j/0")
		return task.State
	}
	require.Equal(t, TaskQueued, fail(false))
	require.Equal(t, TaskQueued, fail(true))
	require.Equal(t, TaskQueued, fail(false))
	require.Equal(t, TaskFailed, fail(true))
}

// Guards against running a task in two cells, or losing it, when transfer records are
// repeated or arrive late.
func TestTransferIsIdempotentAndKeepsCheckpoint(t *testing.T) {
	a, b := NewState("a"), NewState("b")
	require.NoError(t, a.Apply(submitted("j", 1, nil)))
	require.NoError(t, a.Apply(placed("j/0", 1, "w")))
	require.NoError(t, a.Apply(ended("j/0", 1, model.OutcomeEvicted)))
	move := func(from, to *State) TransferIn {
		require.NoError(t, from.Apply(Record{TransferOut: &TransferOut{Task: "j/0", To: to.ID()}}))
		in := from.Transfers()[0].In
		for range 2 {
			require.NoError(t, to.Apply(Record{TransferIn: &in}))
			require.NoError(t, from.Apply(Record{TransferEnd: &TransferEnd{Task: "j/0"}}))
		}
		return in
	}
	first := move(a, b)
	task, _ := b.Task("j/0")
	require.Equal(t, "ck", task.Checkpoint)
	require.Equal(t, model.Attempt(1), task.Attempt)
	move(b, a)
	require.NoError(t, b.Apply(Record{TransferIn: &first}), "late repetition")
	require.Len(t, a.Queued(), 1)
	require.Empty(t, b.Queued())
}

// Guards against unbounded growth by ended jobs, and against running a pruned job again
// when its submission or transfer is repeated.
func TestPrunedJobsAreNotRunAgain(t *testing.T) {
	s := NewState("a")
	for i := range endedJobsRetained + 10 {
		job := fmt.Sprintf("j%d", i)
		require.NoError(t, s.Apply(submitted(job, 1, nil)))
		require.NoError(t, s.Apply(Record{Cancelled: &Cancelled{Job: model.JobID(job)}}))
	}
	_, _, known := s.Counts()
	require.Equal(t, endedJobsRetained, known)
	require.NoError(t, s.Apply(submitted("j0", 1, nil)))
	require.Empty(t, s.Queued())
	_, ok := s.Job("j0")
	require.False(t, ok)
}

// randomRecord draws a record that may contradict the state.
func randomRecord(rt *rapid.T, s *State) Record {
	job := fmt.Sprintf("j%d", rapid.IntRange(0, 5).Draw(rt, "job"))
	task := model.TaskID(fmt.Sprintf("%s/%d", job, rapid.IntRange(0, 2).Draw(rt, "task")))
	worker := model.WorkerID(fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(rt, "worker")))
	attempt := model.Attempt(rapid.IntRange(0, 1).Draw(rt, "off"))
	hop := uint32(1)
	if t, ok := s.Task(task); ok {
		attempt += t.Attempt
		hop = t.Hops + uint32(rapid.IntRange(0, 1).Draw(rt, "hop"))
	}
	switch rapid.IntRange(0, 9).Draw(rt, "kind") {
	case 0, 1:
		return submitted(job, 3, func(t *model.TaskSpec) { t.Resources.MilliCPU = 700 })
	case 2, 3:
		return placed(string(task), attempt, string(worker))
	case 4:
		outcomes := []model.Outcome{model.OutcomeDone, model.OutcomeFailed, model.OutcomeLost, model.OutcomeEvicted, model.OutcomeNotRun}
		return ended(string(task), attempt, rapid.SampledFrom(outcomes).Draw(rt, "outcome"))
	case 5:
		return Record{Evicting: &Evicting{Task: task, Attempt: attempt}}
	case 6:
		return Record{Checkpoint: &Checkpoint{Task: task, Attempt: attempt, Object: "o"}}
	case 7:
		return Record{TransferOut: &TransferOut{Task: task, To: "b"}}
	case 8:
		in := TransferIn{Spec: spec(job, 0, nil), From: "b", Attempts: attempt, Hop: hop}
		return Record{TransferIn: &in}
	}
	if rapid.IntRange(0, 3).Draw(rt, "cancel") == 0 {
		return Record{Cancelled: &Cancelled{Job: model.JobID(job)}}
	}
	return Record{TransferEnd: &TransferEnd{Task: task}}
}

// Guards against overcommitment in any dimension, wrong sums of committed resources, and a
// state that differs after a snapshot or an encoded record.
func TestApplyKeepsInvariantsAndSnapshotsRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := newTestState(), newTestState()
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			r := randomRecord(rt, a)
			data, err := EncodeRecord(r)
			require.NoError(rt, err)
			decoded, err := DecodeRecord(data)
			require.NoError(rt, err)
			require.Equal(rt, a.Apply(r), b.Apply(decoded))
			checkCommitments(rt, a)
			if rapid.IntRange(0, 4).Draw(rt, "snapshot") == 0 {
				b = restoreCopy(rt, b)
			}
		}
		require.Equal(rt, snapshotOf(rt, a), snapshotOf(rt, b))
	})
}

func newTestState() *State {
	s := NewState("a")
	for i := range 3 {
		s.SetWorker(model.WorkerID(fmt.Sprintf("w%d", i)), model.Resources{MilliCPU: 1500, MemoryMB: 1200})
	}
	return s
}

func restoreCopy(rt *rapid.T, s *State) *State {
	out := newTestState()
	require.NoError(rt, out.RestoreSnapshot(snapshotOf(rt, s)))
	return out
}

func snapshotOf(rt *rapid.T, s *State) []byte {
	data, err := s.MarshalSnapshot()
	require.NoError(rt, err)
	return data
}

func checkCommitments(rt *rapid.T, s *State) {
	for id, w := range s.workers {
		var sum model.Resources
		for _, t := range s.LiveOn(id) {
			require.True(rt, t.State.HoldsWorker())
			sum = sum.Add(t.Spec.Resources)
		}
		require.Equal(rt, sum, s.Committed(id))
		require.True(rt, sum.Fits(w.capacity), "worker %s has %s committed", id, sum)
	}
}

// Guards against replacing a valid state by a corrupt snapshot or that of another cell.
func TestRestoreRejectsCorruptSnapshots(t *testing.T) {
	s := newTestState()
	require.NoError(t, s.Apply(submitted("j", 1, nil)))
	other, err := NewState("b").MarshalSnapshot()
	require.NoError(t, err)
	for _, data := range [][]byte{nil, {0xff, 0x00}, other} {
		require.Equal(t, model.KindCorrupt, model.KindOf(s.RestoreSnapshot(data)))
		require.Len(t, s.Queued(), 1)
	}
}
