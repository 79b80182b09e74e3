package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

var (
	epochStart = time.Unix(1_000_000, 0)
	unit       = model.Resources{MilliCPU: 1000, MemoryMB: 100}
)

func at(d time.Duration) time.Time { return epochStart.Add(d) }

func ref(attempt model.Attempt) external.AttemptRef {
	return external.AttemptRef{Task: "t", Attempt: attempt}
}

func startOf(attempt model.Attempt, p Payload) external.Start {
	return external.Start{AttemptRef: ref(attempt), Class: "plate", Resources: unit, Lease: 8 * time.Second, Payload: p.Encode()}
}

// newTestWorker returns a worker with a capacity of two units.
func newTestWorker(id model.WorkerID, edit func(*WorkerConfig)) *WorkerCore {
	cfg := WorkerConfig{ID: id, DataCentre: "dc", Capacity: unit.Add(unit), Seed: 1}
	if edit != nil {
		edit(&cfg)
	}
	return NewWorkerCore(cfg, epochStart)
}

// send requests a session and sends the command with it.
func send(t *testing.T, w *WorkerCore, now time.Time, cmd external.WorkerCommand) external.WorkerReport {
	t.Helper()
	cmd.Cell = "c"
	r, err := w.Command(now, external.WorkerCommand{Cell: "c", Epoch: cmd.Epoch})
	require.NoError(t, err)
	cmd.Session = r.Session
	r, err = w.Command(now, cmd)
	require.NoError(t, err)
	return r
}

// Guards against a start with an expired session or a session of another process.
func TestSessionsExpireAndBelongToOneProcess(t *testing.T) {
	w := newTestWorker("w", nil)
	r, err := w.Command(epochStart, external.WorkerCommand{Cell: "c", Epoch: 1})
	require.NoError(t, err)
	start := external.WorkerCommand{Cell: "c", Epoch: 1, Session: r.Session, Starts: []external.Start{startOf(1, Payload{})}}
	late, err := w.Command(at(2*time.Second+1), start)
	require.NoError(t, err)
	require.Equal(t, []external.RejectedStart{{AttemptRef: ref(1), Reason: external.RejectSession}}, late.Rejected)

	other := NewWorkerCore(WorkerConfig{ID: "w", Capacity: unit, Seed: 1}, at(time.Second))
	start.Session = late.Session
	r, err = other.Command(at(2*time.Second+1), start)
	require.NoError(t, err)
	require.Len(t, r.Rejected, 1, "a restarted worker accepted a session of its previous process")

	r, err = w.Command(at(4*time.Second), start)
	require.NoError(t, err)
	require.Empty(t, r.Rejected)
	require.Len(t, r.Running, 1)
}

// Guards against commands of a superseded owner, including renewals.
func TestLowerEpochIsFenced(t *testing.T) {
	w := newTestWorker("w", nil)
	send(t, w, epochStart, external.WorkerCommand{Epoch: 2, Starts: []external.Start{startOf(1, Payload{RunMS: 60000})}})
	_, err := w.Command(at(7*time.Second), external.WorkerCommand{
		Cell: "c", Epoch: 1, Renew: []external.AttemptRef{ref(1)}, RenewFor: time.Minute, Stop: []external.AttemptRef{ref(1)},
	})
	require.Equal(t, model.KindFenced, model.KindOf(err))
	require.Len(t, w.Live(), 1)
	w.Advance(at(8 * time.Second))
	require.Empty(t, w.Live(), "a fenced renewal extended the lease")
}

// Shows which failure the session check prevents: a former owner that was paused after its
// last ownership check starts a task that the new owner has placed on another worker. The
// first run disables the check, and the ledger must detect the double execution.
func TestPausedFormerOwnerDoubleRun(t *testing.T) {
	for _, accept := range []bool{true, false} {
		ledger := NewLedger()
		edit := func(c *WorkerConfig) { c.Ledger, c.AcceptOldSessions = ledger, accept }
		a, b := newTestWorker("a", edit), newTestWorker("b", edit)
		r, err := a.Command(epochStart, external.WorkerCommand{Cell: "c", Epoch: 1})
		require.NoError(t, err)
		held := external.WorkerCommand{Cell: "c", Epoch: 1, Session: r.Session, Starts: []external.Start{startOf(1, Payload{RunMS: 60000})}}
		// The new owner cannot reach worker a, so a has not seen epoch 2.
		send(t, b, at(30*time.Second), external.WorkerCommand{Epoch: 2, Starts: []external.Start{startOf(2, Payload{RunMS: 60000})}})
		_, err = a.Command(at(31*time.Second), held)
		require.NoError(t, err)
		want := 0
		if accept {
			want = 1
		}
		require.Equal(t, want, ledger.Count(RuleOneAttempt), "session check off: %v", accept)
	}
}

// Guards against a paused worker that resumes an attempt after its lease has expired.
func TestLeaseExpiresDuringPause(t *testing.T) {
	w := newTestWorker("w", nil)
	send(t, w, epochStart, external.WorkerCommand{Epoch: 1, Starts: []external.Start{startOf(1, Payload{RunMS: 9000})}})
	w.Pause(at(time.Second))
	_, ok := w.NextEvent()
	require.False(t, ok)
	w.Resume(at(20 * time.Second))
	r := send(t, w, at(20*time.Second), external.WorkerCommand{Epoch: 1})
	require.Empty(t, r.Running)
	require.Equal(t, model.OutcomeLost, r.Ended[0].Outcome)
	require.Equal(t, at(8*time.Second), w.cfg.Ledger.Ends()[0].At)
}

// Guards against lost or duplicate outcomes: a report is kept until it is acknowledged.
func TestEndedReportStaysUntilAcknowledged(t *testing.T) {
	w := newTestWorker("w", nil)
	start := startOf(1, Payload{RunMS: 100, Result: "out"})
	send(t, w, epochStart, external.WorkerCommand{Epoch: 1, Starts: []external.Start{start}})
	for range 2 {
		r := send(t, w, at(time.Second), external.WorkerCommand{Epoch: 1, Starts: []external.Start{start}})
		require.Empty(t, r.Running, "a repeated start ran again")
		require.Equal(t, external.EndedAttempt{AttemptRef: ref(1), Outcome: model.OutcomeDone, Result: "out"}, r.Ended[0])
	}
	r := send(t, w, at(time.Second), external.WorkerCommand{Epoch: 1, Ack: []external.AttemptRef{ref(1)}})
	require.Empty(t, r.Ended)
}

// Guards against lost progress: an evicted attempt must resume from its checkpoint, with and
// without an object store. Throttling must slow an attempt.
func TestEvictAndResume(t *testing.T) {
	for _, objects := range []*Objects{nil, NewObjects(nil)} {
		w := newTestWorker("w", func(c *WorkerConfig) { c.Objects = objects; c.CheckpointTime = time.Second })
		send(t, w, epochStart, external.WorkerCommand{Epoch: 1, Starts: []external.Start{startOf(1, Payload{RunMS: 10000})}})
		send(t, w, at(2*time.Second), external.WorkerCommand{Epoch: 1, Throttle: []external.Throttle{{AttemptRef: ref(1), Percent: 50}}})
		send(t, w, at(4*time.Second), external.WorkerCommand{Epoch: 1, Evict: []external.AttemptRef{ref(1)}})
		r := send(t, w, at(6*time.Second), external.WorkerCommand{Epoch: 1})
		require.Equal(t, model.OutcomeEvicted, r.Ended[0].Outcome)

		resumed := startOf(2, Payload{RunMS: 10000})
		resumed.Checkpoint = r.Ended[0].Checkpoint
		r = send(t, w, at(6*time.Second), external.WorkerCommand{Epoch: 1, Starts: []external.Start{resumed}})
		// 2 s at full speed and 3 s at half of it, of 10 s.
		require.InDelta(t, 0.35, r.Running[0].Progress, 1e-3)
		require.Equal(t, 1, w.cfg.Ledger.Resumes("t"))
	}
}

// Guards against overcommitment that is not detected.
func TestCapacityIsEnforced(t *testing.T) {
	w := newTestWorker("w", nil)
	var starts []external.Start
	for i := range 3 {
		s := startOf(1, Payload{RunMS: 60000})
		s.Task = model.TaskID(string(rune('a' + i)))
		starts = append(starts, s)
	}
	r := send(t, w, epochStart, external.WorkerCommand{Epoch: 1, Starts: starts})
	require.Len(t, r.Running, 2)
	require.Equal(t, external.RejectCapacity, r.Rejected[0].Reason)
	require.Equal(t, 1, w.cfg.Ledger.Count(RuleCapacity))
}

// Guards against samples that are not delayed or do not show interference. Both would
// overstate the quality of the slowdown estimates.
func TestServiceSamplesAreLateAndShowInterference(t *testing.T) {
	w := newTestWorker("w", func(c *WorkerConfig) {
		c.UsageLag = 3 * time.Second
		c.Services = map[model.ServiceName]time.Duration{"desk": 100 * time.Millisecond}
		c.Interference = Interference{"desk": {"plate": 1}}
	})
	send(t, w, at(2*time.Second), external.WorkerCommand{Epoch: 1, Starts: []external.Start{startOf(1, Payload{RunMS: 60000})}})
	r := send(t, w, at(2*time.Second+sampleInterval), external.WorkerCommand{Epoch: 1})
	require.Empty(t, r.Services)
	var before, after time.Duration
	for now := at(3 * time.Second); now.Before(at(8 * time.Second)); now = now.Add(sampleInterval) {
		cmd := external.WorkerCommand{Cell: "c", Epoch: 1, Renew: []external.AttemptRef{ref(1)}, RenewFor: time.Minute}
		r, err := w.Command(now, cmd)
		require.NoError(t, err)
		for _, s := range r.Services {
			require.GreaterOrEqual(t, s.Age, 3*time.Second)
			if now.Add(-s.Age).Before(at(2 * time.Second)) {
				before = max(before, s.P99)
			} else if now.Add(-s.Age).After(at(2 * time.Second)) {
				after = max(after, s.P99)
			}
		}
	}
	require.InDelta(t, 100, before.Milliseconds(), 6)
	require.InDelta(t, 200, after.Milliseconds(), 11)
}
