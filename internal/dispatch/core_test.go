package dispatch

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
)

var errUnknown = model.Errorf(model.KindUnknown, "", "no answer")

var firstAttempt = external.AttemptRef{Task: "a", Attempt: 1}

// coreDriver drives a Core with one worker step by step.
type coreDriver struct {
	t       *testing.T
	c       *Core
	now     time.Time
	session int
}

func newCoreDriver(t *testing.T, known ...KnownAttempt) *coreDriver {
	s := &coreDriver{t: t, c: NewCore(Config{Cell: "c", Epoch: 1}, origin, known), now: origin}
	s.c.SetWorkers(origin, []external.Host{{ID: "w", Addr: "w"}})
	s.c.SetEpochAcknowledged(origin)
	return s
}

// nextCommand advances the time to the next command and returns it.
func (s *coreDriver) nextCommand() OutgoingCommand {
	s.t.Helper()
	due, ok := s.c.NextDue()
	require.True(s.t, ok)
	if due.After(s.now) {
		s.now = due
	}
	out := s.c.Plan(s.now, 1, true)
	require.Len(s.t, out, 1)
	return out[0]
}

// reply passes a report for the command to the Core, with a new session.
func (s *coreDriver) reply(out OutgoingCommand, r external.WorkerReport) {
	s.session++
	r.Worker, r.Session, r.SessionTTL = "w", string(rune('a'+s.session)), DefaultSessionTTL
	s.c.HandleResult(s.now, out, r, nil)
}

func runningReport(refs ...external.AttemptRef) external.WorkerReport {
	var r external.WorkerReport
	for _, ref := range refs {
		r.Running = append(r.Running, external.RunningAttempt{AttemptRef: ref})
	}
	return r
}

func kinds(events []Event) []EventKind {
	var out []EventKind
	for _, e := range events {
		out = append(out, e.Kind)
	}
	return out
}

// planStart obtains a session and plans the command that starts the attempt.
func (s *coreDriver) planStart() OutgoingCommand {
	require.NoError(s.t, s.c.Start(s.now, "w", external.Start{AttemptRef: firstAttempt}))
	s.reply(s.nextCommand(), external.WorkerReport{})
	out := s.nextCommand()
	require.Len(s.t, out.Command.Starts, 1)
	return out
}

// Guards against a start with an unknown result that is sent again, or that is given
// up while the worker could still accept it. In both cases an attempt could run twice.
func TestStartWithUnknownResultIsSentOnce(t *testing.T) {
	for _, stop := range []bool{false, true} {
		s := newCoreDriver(t)
		s.c.HandleResult(s.now, s.planStart(), external.WorkerReport{}, errUnknown)
		acceptableUntil := s.now.Add(withMargin(DefaultSessionTTL))
		if stop {
			s.c.Stop(s.now, firstAttempt)
		}
		var sent time.Time
		for s.c.attempts[firstAttempt].phase == phaseSent {
			out := s.nextCommand()
			require.Empty(t, out.Command.Starts)
			sent = s.now
			s.reply(out, external.WorkerReport{})
		}
		require.False(t, sent.Before(acceptableUntil))
		require.Equal(t, []EventKind{EventAdopted, EventEnded}, kinds(s.c.Events()))
	}
}

// Guards against an attempt that is declared lost while a renewal could still keep its
// lease valid, or before a majority has acknowledged the owner's epoch.
func TestLostOnlyAfterSilence(t *testing.T) {
	s := newCoreDriver(t, KnownAttempt{AttemptRef: firstAttempt, Worker: "w"})
	s.reply(s.nextCommand(), runningReport(firstAttempt))
	s.c.Events()
	contact, renewed := s.now, s.now
	for s.c.attempts[firstAttempt].phase == phaseRunning {
		out := s.nextCommand()
		if len(out.Command.Renew) > 0 || out.Command.RenewExpected {
			renewed = s.now
		}
		s.c.HandleResult(s.now, out, external.WorkerReport{}, errUnknown)
	}
	require.Less(t, renewed.Sub(contact), DefaultOwnershipLease)
	require.Greater(t, renewed.Sub(contact), DefaultTaskLease/3)
	require.GreaterOrEqual(t, s.now.Sub(contact), (Config{}).LostAfter())
	require.Equal(t, 20900*time.Millisecond, (Config{}).LostAfter())
	require.Equal(t, []EventKind{EventLost}, kinds(s.c.Events()))

	s = newCoreDriver(t, KnownAttempt{AttemptRef: firstAttempt, Worker: "w"})
	s.c.epochAckedAt = time.Time{}
	for s.now.Before(origin.Add(time.Hour)) {
		s.c.HandleResult(s.now, s.nextCommand(), external.WorkerReport{}, errUnknown)
	}
	require.Empty(t, s.c.Events())
}

// Guards against a worker that drops the outcome of an attempt declared lost before the
// loss is durable. This happened in a store outage: the outcome was acknowledged while
// the record of the loss waited for the store.
func TestOutcomeAfterLossStaysUntilDurable(t *testing.T) {
	s := newCoreDriver(t, KnownAttempt{AttemptRef: firstAttempt, Worker: "w"})
	s.reply(s.nextCommand(), runningReport(firstAttempt))
	for s.c.attempts[firstAttempt].phase != phaseEnded {
		s.c.HandleResult(s.now, s.nextCommand(), external.WorkerReport{}, errUnknown)
	}
	late := external.WorkerReport{Ended: []external.EndedAttempt{{AttemptRef: firstAttempt, Outcome: model.OutcomeDone}}}
	for range 3 {
		out := s.nextCommand()
		require.Empty(t, out.Command.Ack)
		s.reply(out, late)
	}
	s.c.Ack(firstAttempt)
	s.reply(s.nextCommand(), late)
	require.Equal(t, []external.AttemptRef{firstAttempt}, s.nextCommand().Command.Ack)
}

// Guards against a LostAfter that is too short. In a store outage, a former owner may
// renew leases on a worker that the new owner cannot reach, until the hold time has
// elapsed after a majority acknowledged the new epoch.
func TestFormerOwnerRenewsInOutage(t *testing.T) {
	const (
		takeOver     = 20 * time.Second
		acknowledged = 22 * time.Second
	)
	ledger := standin.NewLedger()
	newWorker := func(id model.WorkerID) *standin.WorkerCore {
		return standin.NewWorkerCore(standin.WorkerConfig{ID: id, Capacity: unit, Ledger: ledger}, origin)
	}
	workers := map[string]*standin.WorkerCore{"a": newWorker("a"), "b": newWorker("b")}
	hosts := []external.Host{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}}
	tick := func(c *Core, now time.Time, reaches ...string) {
		for _, out := range c.Plan(now, 2, true) {
			report, err := external.WorkerReport{}, error(errUnknown)
			if slices.Contains(reaches, out.Host.ID) {
				report, err = workers[out.Host.ID].Command(now, out.Command)
			}
			c.HandleResult(now, out, report, err)
		}
	}
	start := external.Start{AttemptRef: firstAttempt, Resources: unit, Payload: standin.Payload{RunMS: 60000}.Encode()}
	former := NewCore(Config{Cell: "c", Epoch: 1}, origin, nil)
	former.SetWorkers(origin, hosts)
	require.NoError(t, former.Start(origin, "a", start))
	var latter *Core
	var lostAt time.Duration
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := origin.Add(at)
		workers["a"].Advance(now)
		if at < acknowledged+DefaultHold {
			tick(former, now, "a")
		}
		if at == takeOver {
			latter = NewCore(Config{Cell: "c", Epoch: 2}, now, []KnownAttempt{{AttemptRef: firstAttempt, Worker: "a"}})
			latter.SetWorkers(now, hosts)
		}
		if at < takeOver {
			continue
		}
		if at == acknowledged {
			latter.SetEpochAcknowledged(now)
		}
		tick(latter, now, "b")
		for _, e := range latter.Events() {
			if e.Kind == EventLost {
				lostAt = at
				start.Attempt++
				require.NoError(t, latter.Start(now, "b", start))
			}
		}
	}
	require.GreaterOrEqual(t, lostAt, acknowledged+(Config{}).LostAfter())
	require.Len(t, ledger.Starts(), 2)
	require.Empty(t, ledger.Violations())
	// The lease of the former owner's last renewal was still valid after the hold time.
	require.Greater(t, ledger.Ends()[0].At.Sub(origin), acknowledged+DefaultHold+DefaultTaskLease/2)
}

// Guards against starts on a worker that still runs an attempt that the owner did not
// place, and against outcomes of untracked attempts that the worker keeps forever.
func TestUnknownAttemptsAreStoppedFirst(t *testing.T) {
	s := newCoreDriver(t)
	unplaced, old := external.AttemptRef{Task: "x", Attempt: 4}, external.AttemptRef{Task: "y", Attempt: 1}
	require.NoError(t, s.c.Start(s.now, "w", external.Start{AttemptRef: firstAttempt}))
	r := runningReport(unplaced)
	r.Ended = []external.EndedAttempt{{AttemptRef: old}}
	s.reply(s.nextCommand(), r)
	out := s.nextCommand()
	require.Equal(t, []external.AttemptRef{unplaced}, out.Command.Stop)
	require.Equal(t, []external.AttemptRef{old}, out.Command.Ack)
	require.Empty(t, out.Command.Starts)
	s.reply(out, external.WorkerReport{})
	require.Len(t, s.nextCommand().Command.Starts, 1)
	require.Equal(t, []EventKind{EventAdopted}, kinds(s.c.Events()))
}

// Guards against a start that is sent after its session has become too old or the gate
// has closed. Otherwise an owner that was paused could start a task too late.
func TestReleaseWithholdsStarts(t *testing.T) {
	for _, c := range []struct {
		name               string
		delay              time.Duration
		mayStart, maySend  bool
		wantStart, wantOut bool
	}{
		{"allowed", 0, true, true, true, true},
		{"session aged", DefaultSessionTTL/2 + 1, true, true, false, true},
		{"gate closed", 0, false, true, false, true},
		{"ownership lease ended", 0, true, false, true, false},
	} {
		s := newCoreDriver(t)
		out := s.planStart()
		require.Equal(t, c.wantOut, s.c.Authorize(s.now.Add(c.delay), &out, c.mayStart, c.maySend), c.name)
		require.Equal(t, c.wantStart, len(out.Command.Starts) == 1, c.name)
	}
}

// Guards against commands in a tight loop while starts are pending: because the gate is
// closed, an attempt that the owner did not place has not stopped, or the worker
// rejects every session.
func TestWaitingStartsDoNotFloodTheWorker(t *testing.T) {
	reject := func(out OutgoingCommand) external.WorkerReport {
		var r external.WorkerReport
		for _, st := range out.Command.Starts {
			r.Rejected = append(r.Rejected, external.RejectedStart{AttemptRef: st.AttemptRef, Reason: external.RejectSession})
		}
		return r
	}
	for name, report := range map[string]func(OutgoingCommand) external.WorkerReport{
		"gate":    func(OutgoingCommand) external.WorkerReport { return external.WorkerReport{} },
		"unknown": func(OutgoingCommand) external.WorkerReport { return runningReport(external.AttemptRef{Task: "x"}) },
		"session": reject,
	} {
		s := newCoreDriver(t)
		require.NoError(t, s.c.Start(s.now, "w", external.Start{AttemptRef: firstAttempt}))
		sent := 0
		for s.now.Before(origin.Add(10 * time.Second)) {
			due, _ := s.c.NextDue()
			s.now = due
			for _, out := range s.c.Plan(s.now, 1, name != "gate") {
				sent++
				s.reply(out, report(out))
			}
			require.LessOrEqual(t, sent, 101+1, name)
		}
		require.NotNil(t, s.c.attempts[firstAttempt], name)
		if name == "gate" {
			require.LessOrEqual(t, sent, 6, "a closed gate must not make polls more frequent")
			opened := s.c.workers["w"].lastSent.Add(DefaultMinInterval)
			planned := s.c.Plan(opened, 1, true) // the last poll's session is still fresh
			require.Len(t, planned, 1, "pending starts must be expedited when the gate opens")
			require.Len(t, planned[0].Command.Starts, 1)
		}
	}
}

// Guards against a start that stays pending forever on an unreachable worker.
func TestUnsentStartIsRejected(t *testing.T) {
	s := newCoreDriver(t)
	require.NoError(t, s.c.Start(s.now, "w", external.Start{AttemptRef: firstAttempt}))
	for s.c.attempts[firstAttempt] != nil {
		s.c.HandleResult(s.now, s.nextCommand(), external.WorkerReport{}, model.Errorf(model.KindUnavailable, "", "refused"))
	}
	require.Equal(t, ReasonUnreachable, s.c.Events()[0].Reason)
	require.GreaterOrEqual(t, s.now.Sub(origin), DefaultStartTimeout)
}

// Guards against blaming the worker for starts that were withheld because the gates were
// closed. Otherwise all workers would be quarantined after a pause of the owner.
func TestWithheldStartDoesNotBlameWorker(t *testing.T) {
	s := newCoreDriver(t)
	require.NoError(t, s.c.Start(s.now, "w", external.Start{AttemptRef: firstAttempt}))
	for s.c.attempts[firstAttempt] != nil {
		s.c.HandleResult(s.now, s.nextCommand(), external.WorkerReport{}, WithheldError())
	}
	require.Equal(t, ReasonWithheld, s.c.Events()[0].Reason)
}

// Guards against an end that is reported as an event twice while its record is not yet
// durable.
func TestEndIsReportedOnce(t *testing.T) {
	s := newCoreDriver(t, KnownAttempt{AttemptRef: firstAttempt, Worker: "w"})
	r := external.WorkerReport{Ended: []external.EndedAttempt{{AttemptRef: firstAttempt, Outcome: model.OutcomeDone}}}
	for range 3 {
		out := s.nextCommand()
		require.Empty(t, out.Command.Ack)
		s.reply(out, r)
	}
	require.Equal(t, []EventKind{EventAdopted, EventEnded}, kinds(s.c.Events()))
	s.c.Ack(firstAttempt)
	require.Equal(t, []external.AttemptRef{firstAttempt}, s.nextCommand().Command.Ack)
}

// Guards against leases that are not renewed because the worker's attempts do not match
// the digest, or because the worker does not support digests.
func TestDigestMismatchFallsBackToList(t *testing.T) {
	s := newCoreDriver(t, KnownAttempt{AttemptRef: firstAttempt, Worker: "w"})
	s.reply(s.nextCommand(), runningReport(firstAttempt))
	out := s.nextCommand()
	require.True(t, out.Command.RenewExpected)
	require.Empty(t, out.Command.Renew)
	digest := func(yield func(external.AttemptRef, string) bool) { yield(firstAttempt, "") }
	require.Equal(t, external.RunningDigest(digest), out.Command.ExpectedDigest)
	s.reply(out, external.WorkerReport{Unchanged: true})
	require.Equal(t, phaseRunning, s.c.attempts[firstAttempt].phase)

	out = s.nextCommand()
	require.True(t, out.Command.RenewExpected)
	s.reply(out, runningReport(firstAttempt, external.AttemptRef{Task: "x"}))
	before := s.now
	out = s.nextCommand()
	require.Equal(t, []external.AttemptRef{firstAttempt}, out.Command.Renew)
	require.Equal(t, DefaultMinInterval, s.now.Sub(before))
}

// Guards against leases that expire although the worker responds: attempts that
// checkpoint often change the digest before each command arrives.
func TestFrequentlyCheckpointedAttemptsAreRenewed(t *testing.T) {
	s := newCoreDriver(t, KnownAttempt{AttemptRef: firstAttempt, Worker: "w"})
	renewed := s.now
	for n := range 400 {
		out := s.nextCommand()
		require.Less(t, s.now.Sub(renewed), DefaultTaskLease, "the lease expired")
		if len(out.Command.Renew) > 0 {
			renewed = s.now
		}
		report := runningReport(firstAttempt)
		report.Running[0].Checkpoint = strconv.Itoa(n)
		s.reply(out, report)
	}
}

// Guards against unresponsive workers that use all slots for commands in flight, so that
// responsive workers get no commands.
func TestUnresponsiveWorkersDoNotUseAllSlots(t *testing.T) {
	c := NewCore(Config{Cell: "c", Epoch: 1, Concurrency: 4}, origin, nil)
	var hosts []external.Host
	for i := range 10 {
		id := string(rune('a' + i))
		hosts = append(hosts, external.Host{ID: id, Addr: id})
	}
	c.SetWorkers(origin, hosts)
	for _, out := range c.Plan(origin, len(hosts), true) {
		if out.Host.ID != "j" {
			c.HandleResult(origin, out, external.WorkerReport{}, errUnknown)
		} else {
			c.HandleResult(origin, out, external.WorkerReport{Worker: "j"}, nil)
		}
	}
	later := origin.Add(time.Minute)
	var planned []string
	for _, out := range c.Plan(later, 4, true) {
		planned = append(planned, out.Host.ID)
	}
	require.Len(t, planned, 3)
	require.Contains(t, planned, "j")
}

// Guards against operations that are not delivered, or are repeated after delivery.
func TestOperationsAreDeliveredOnce(t *testing.T) {
	s := newCoreDriver(t, KnownAttempt{AttemptRef: firstAttempt, Worker: "w"})
	s.reply(s.nextCommand(), runningReport(firstAttempt))
	s.c.Checkpoint(s.now, firstAttempt)
	s.c.Throttle(s.now, firstAttempt, 40)
	out := s.nextCommand()
	require.Equal(t, []external.AttemptRef{firstAttempt}, out.Command.Checkpoint)
	require.Equal(t, []external.Throttle{{AttemptRef: firstAttempt, Percent: 40}}, out.Command.Throttle)
	s.c.HandleResult(s.now, out, external.WorkerReport{}, errUnknown)
	out = s.nextCommand()
	require.Len(t, out.Command.Throttle, 1, "throttle must be repeated after a lost response")
	r := runningReport(firstAttempt)
	r.Running[0].Checkpoint = "k"
	s.reply(out, r)
	out = s.nextCommand()
	require.Empty(t, out.Command.Checkpoint)
	require.Empty(t, out.Command.Throttle)
	require.Equal(t, []EventKind{EventAdopted, EventStarted, EventReport, EventCheckpointed}, kinds(s.c.Events()))
	s.c.HandleResult(s.now, out, external.WorkerReport{}, model.Errorf(model.KindFenced, "", "newer owner"))
	require.True(t, s.c.Fenced())
	require.Empty(t, s.c.Plan(s.now.Add(time.Hour), 9, true))
}

// concurrencyRecorder records the maximum number of commands in flight, for one worker
// and in total.
type concurrencyRecorder struct {
	external.WorkerAPI
	mu           sync.Mutex
	inFlight     map[string]int
	maxPerWorker int
	maxTotal     int
}

func (o *concurrencyRecorder) Command(ctx context.Context, h external.Host, cmd external.WorkerCommand) (external.WorkerReport, error) {
	o.mu.Lock()
	o.inFlight[h.ID]++
	o.maxPerWorker = max(o.maxPerWorker, o.inFlight[h.ID])
	total := 0
	for _, n := range o.inFlight {
		total += n
	}
	o.maxTotal = max(o.maxTotal, total)
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.inFlight[h.ID]--
		o.mu.Unlock()
	}()
	return o.WorkerAPI.Command(ctx, h, cmd)
}

// Guards against faults in the interaction of Core, HTTP client and worker: each task
// completes exactly once although responses are lost, with at most one command in flight
// per worker and bounded concurrency.
func TestDispatcherOverHTTP(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformConfig{Seed: 1, DataCentres: []standin.DataCentreConfig{{
		Name: "dc", Racks: 2, WorkersPerRack: 4, Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 800},
	}}})
	require.NoError(t, p.Start())
	defer func() { require.NoError(t, p.Close()) }()
	for _, h := range p.Hosts() {
		p.Faults().SetWorker(h.ID, standin.WorkerFault{LoseResponse: 0.2})
	}
	api := &concurrencyRecorder{WorkerAPI: httpapi.NewWorkers(nil), inFlight: map[string]int{}}
	open := func(time.Time) error { return nil }
	d := New(Config{Cell: "c", Epoch: 1, Concurrency: 3}, api, Gates{MayStart: open, MaySend: open}, nil, Options{})
	d.SetWorkers(p.Hosts())
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx) }()
	const tasks = 24
	for i := range tasks {
		s := external.Start{AttemptRef: external.AttemptRef{Task: model.TaskID(rune('a' + i)), Attempt: 1}, Resources: unit}
		s.Payload = standin.Payload{RunMS: 100}.Encode()
		require.NoError(t, d.Start(model.WorkerID(p.Hosts()[i%8].ID), s))
	}
	ended := map[external.AttemptRef]int{}
	for len(ended) < tasks {
		<-d.Notify()
		for _, e := range d.Events() {
			if e.Kind == EventEnded {
				require.Equal(t, model.OutcomeDone, e.Ended.Outcome)
				ended[e.Ref]++
				d.Ack(e.Ref)
			}
			require.NotEqual(t, EventRejected, e.Kind)
		}
	}
	cancel()
	require.NoError(t, errors.Join(<-stopped))
	for ref, n := range ended {
		require.Equal(t, 1, n, "%v", ref)
	}
	require.Empty(t, p.Ledger().Violations())
	require.Equal(t, 1, api.maxPerWorker)
	require.LessOrEqual(t, api.maxTotal, 3)
}
