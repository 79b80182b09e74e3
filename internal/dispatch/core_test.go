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

var first = external.AttemptRef{Task: "a", Attempt: 1}

// script drives a core with one worker by hand.
type script struct {
	t       *testing.T
	c       *Core
	now     time.Time
	session int
}

func newScript(t *testing.T, known ...Known) *script {
	s := &script{t: t, c: NewCore(Config{Cell: "c", Epoch: 1}, origin, known), now: origin}
	s.c.SetWorkers(origin, []external.Host{{ID: "w", Addr: "w"}})
	s.c.SetEpochAcknowledged(origin)
	return s
}

// plan moves to the next message and returns it.
func (s *script) plan() Outgoing {
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

// answer gives the report to a command.
func (s *script) answer(out Outgoing, r external.WorkerReport) {
	s.session++
	r.Worker, r.Session, r.SessionTTL = "w", string(rune('a'+s.session)), DefaultSessionTTL
	s.c.Done(s.now, out, r, nil)
}

func running(refs ...external.AttemptRef) external.WorkerReport {
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

// begin fetches a session and plans the command with the start of the attempt.
func (s *script) begin() Outgoing {
	require.NoError(s.t, s.c.Start(s.now, "w", external.Start{AttemptRef: first}))
	s.answer(s.plan(), external.WorkerReport{})
	out := s.plan()
	require.Len(s.t, out.Command.Starts, 1)
	return out
}

// Guards against a start in doubt that is sent again, or given up while it could
// still be accepted: either way an attempt could run twice.
func TestStartInDoubtIsSentOnce(t *testing.T) {
	for _, stop := range []bool{false, true} {
		s := newScript(t)
		s.c.Done(s.now, s.begin(), external.WorkerReport{}, errUnknown)
		risk := s.now.Add(withMargin(DefaultSessionTTL))
		if stop {
			s.c.Stop(s.now, first)
		}
		var sent time.Time
		for s.c.attempts[first].phase == phaseSent {
			out := s.plan()
			require.Empty(t, out.Command.Starts)
			sent = s.now
			s.answer(out, external.WorkerReport{})
		}
		require.False(t, sent.Before(risk))
		require.Equal(t, []EventKind{EventAdopted, EventEnded}, kinds(s.c.Events()))
	}
}

// Guards against an attempt that counts as lost while a renewal could still keep
// it alive, or before a majority knows the owner's epoch.
func TestLostOnlyAfterSilence(t *testing.T) {
	s := newScript(t, Known{AttemptRef: first, Worker: "w"})
	s.answer(s.plan(), running(first))
	s.c.Events()
	contact, renewed := s.now, s.now
	for s.c.attempts[first].phase == phaseRunning {
		out := s.plan()
		if len(out.Command.Renew) > 0 || out.Command.RenewExpected {
			renewed = s.now
		}
		s.c.Done(s.now, out, external.WorkerReport{}, errUnknown)
	}
	require.Less(t, renewed.Sub(contact), DefaultOwnershipLease)
	require.Greater(t, renewed.Sub(contact), DefaultTaskLease/3)
	require.GreaterOrEqual(t, s.now.Sub(contact), (Config{}).LostAfter())
	require.Equal(t, 20900*time.Millisecond, (Config{}).LostAfter())
	require.Equal(t, []EventKind{EventLost}, kinds(s.c.Events()))

	s = newScript(t, Known{AttemptRef: first, Worker: "w"})
	s.c.ackedAt = time.Time{}
	for s.now.Before(origin.Add(time.Hour)) {
		s.c.Done(s.now, s.plan(), external.WorkerReport{}, errUnknown)
	}
	require.Empty(t, s.c.Events())
}

// Guards against the outcome of an attempt that counts as lost being forgotten by
// its worker before the loss is durable, as happened in a store outage.
func TestOutcomeAfterLossStaysUntilDurable(t *testing.T) {
	s := newScript(t, Known{AttemptRef: first, Worker: "w"})
	s.answer(s.plan(), running(first))
	for s.c.attempts[first].phase != phaseEnded {
		s.c.Done(s.now, s.plan(), external.WorkerReport{}, errUnknown)
	}
	late := external.WorkerReport{Ended: []external.EndedAttempt{{AttemptRef: first, Outcome: model.OutcomeDone}}}
	for range 3 {
		out := s.plan()
		require.Empty(t, out.Command.Ack)
		s.answer(out, late)
	}
	s.c.Ack(first)
	s.answer(s.plan(), late)
	require.Equal(t, []external.AttemptRef{first}, s.plan().Command.Ack)
}

// Guards against a wait for lost attempts that is too short for a former owner
// that renews in a store outage until the hold time after a majority knows the
// new epoch, on a worker that the new owner cannot reach.
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
			c.Done(now, out, report, err)
		}
	}
	start := external.Start{AttemptRef: first, Resources: unit, Payload: standin.Payload{RunMS: 60000}.Encode()}
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
			latter = NewCore(Config{Cell: "c", Epoch: 2}, now, []Known{{AttemptRef: first, Worker: "a"}})
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
	// The former owner's last renewal was still alive after the hold time.
	require.Greater(t, ledger.Ends()[0].At.Sub(origin), acknowledged+DefaultHold+DefaultTaskLease/2)
}

// Guards against starts on a worker that still runs what the owner does not know,
// and against endings that nobody waits for staying on the worker.
func TestUnknownAttemptsAreStoppedFirst(t *testing.T) {
	s := newScript(t)
	stray, old := external.AttemptRef{Task: "x", Attempt: 4}, external.AttemptRef{Task: "y", Attempt: 1}
	require.NoError(t, s.c.Start(s.now, "w", external.Start{AttemptRef: first}))
	r := running(stray)
	r.Ended = []external.EndedAttempt{{AttemptRef: old}}
	s.answer(s.plan(), r)
	out := s.plan()
	require.Equal(t, []external.AttemptRef{stray}, out.Command.Stop)
	require.Equal(t, []external.AttemptRef{old}, out.Command.Ack)
	require.Empty(t, out.Command.Starts)
	s.answer(out, external.WorkerReport{})
	require.Len(t, s.plan().Command.Starts, 1)
	require.Equal(t, []EventKind{EventAdopted}, kinds(s.c.Events()))
}

// Guards against a start that leaves after the session or the gate that allowed
// it: this is how an owner that was paused would start a task too late.
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
		s := newScript(t)
		out := s.begin()
		require.Equal(t, c.wantOut, s.c.Release(s.now.Add(c.delay), &out, c.mayStart, c.maySend), c.name)
		require.Equal(t, c.wantStart, len(out.Command.Starts) == 1, c.name)
	}
}

// Guards against messages without pause while starts wait: for the gate, for an
// unknown attempt to stop, or on a worker that refuses every session.
func TestWaitingStartsDoNotFloodTheWorker(t *testing.T) {
	reject := func(out Outgoing) external.WorkerReport {
		var r external.WorkerReport
		for _, st := range out.Command.Starts {
			r.Rejected = append(r.Rejected, external.RejectedStart{AttemptRef: st.AttemptRef, Reason: external.RejectSession})
		}
		return r
	}
	for name, report := range map[string]func(Outgoing) external.WorkerReport{
		"gate":    func(Outgoing) external.WorkerReport { return external.WorkerReport{} },
		"unknown": func(Outgoing) external.WorkerReport { return running(external.AttemptRef{Task: "x"}) },
		"session": reject,
	} {
		s := newScript(t)
		require.NoError(t, s.c.Start(s.now, "w", external.Start{AttemptRef: first}))
		sent := 0
		for s.now.Before(origin.Add(10 * time.Second)) {
			due, _ := s.c.NextDue()
			s.now = due
			for _, out := range s.c.Plan(s.now, 1, name != "gate") {
				sent++
				s.answer(out, report(out))
			}
			require.LessOrEqual(t, sent, 101+1, name)
		}
		require.NotNil(t, s.c.attempts[first], name)
		if name == "gate" {
			require.LessOrEqual(t, sent, 6, "a closed gate makes polls more frequent")
			opened := s.c.workers["w"].lastSent.Add(DefaultMinInterval)
			planned := s.c.Plan(opened, 1, true) // the last poll's session is still fresh
			require.Len(t, planned, 1, "waiting starts are not hastened when the gate opens")
			require.Len(t, planned[0].Command.Starts, 1)
		}
	}
}

// Guards against a start that waits forever for a worker that cannot be reached.
func TestUnsentStartIsGivenBack(t *testing.T) {
	s := newScript(t)
	require.NoError(t, s.c.Start(s.now, "w", external.Start{AttemptRef: first}))
	for s.c.attempts[first] != nil {
		s.c.Done(s.now, s.plan(), external.WorkerReport{}, model.Errorf(model.KindUnavailable, "", "refused"))
	}
	require.Equal(t, ReasonUnreachable, s.c.Events()[0].Reason)
	require.GreaterOrEqual(t, s.now.Sub(origin), DefaultStartTimeout)
}

// Guards against a worker that is blamed for starts that closed gates held back:
// after a pause of the owner, all workers would be quarantined.
func TestWithheldStartIsNotTheWorkersFault(t *testing.T) {
	s := newScript(t)
	require.NoError(t, s.c.Start(s.now, "w", external.Start{AttemptRef: first}))
	for s.c.attempts[first] != nil {
		s.c.Done(s.now, s.plan(), external.WorkerReport{}, Withheld())
	}
	require.Equal(t, ReasonWithheld, s.c.Events()[0].Reason)
}

// Guards against an ending that is reported twice while its record is on the way.
func TestEndingIsReportedOnce(t *testing.T) {
	s := newScript(t, Known{AttemptRef: first, Worker: "w"})
	r := external.WorkerReport{Ended: []external.EndedAttempt{{AttemptRef: first, Outcome: model.OutcomeDone}}}
	for range 3 {
		out := s.plan()
		require.Empty(t, out.Command.Ack)
		s.answer(out, r)
	}
	require.Equal(t, []EventKind{EventAdopted, EventEnded}, kinds(s.c.Events()))
	s.c.Ack(first)
	require.Equal(t, []external.AttemptRef{first}, s.plan().Command.Ack)
}

// Guards against leases that are not renewed because the worker's attempts differ
// from the digest, or because the worker does not know the short form.
func TestShortFormFallsBack(t *testing.T) {
	s := newScript(t, Known{AttemptRef: first, Worker: "w"})
	s.answer(s.plan(), running(first))
	out := s.plan()
	require.True(t, out.Command.RenewExpected)
	require.Empty(t, out.Command.Renew)
	digest := func(yield func(external.AttemptRef, string) bool) { yield(first, "") }
	require.Equal(t, external.RunningDigest(digest), out.Command.Expect)
	s.answer(out, external.WorkerReport{Unchanged: true})
	require.Equal(t, phaseRunning, s.c.attempts[first].phase)

	out = s.plan()
	require.True(t, out.Command.RenewExpected)
	s.answer(out, running(first, external.AttemptRef{Task: "x"}))
	before := s.now
	out = s.plan()
	require.Equal(t, []external.AttemptRef{first}, out.Command.Renew)
	require.Equal(t, DefaultMinInterval, s.now.Sub(before))
}

// Guards against leases that run out although the worker answers: attempts that
// checkpoint often change the digest before each command arrives.
func TestOftenChangedAttemptsAreRenewed(t *testing.T) {
	s := newScript(t, Known{AttemptRef: first, Worker: "w"})
	renewed := s.now
	for n := range 400 {
		out := s.plan()
		require.Less(t, s.now.Sub(renewed), DefaultTaskLease, "the lease ran out")
		if len(out.Command.Renew) > 0 {
			renewed = s.now
		}
		report := running(first)
		report.Running[0].Checkpoint = strconv.Itoa(n)
		s.answer(out, report)
	}
}

// Guards against workers that hang holding all commands in flight, so that those
// that answer get none.
func TestSilentWorkersLeaveRoom(t *testing.T) {
	c := NewCore(Config{Cell: "c", Epoch: 1, Concurrency: 4}, origin, nil)
	var hosts []external.Host
	for i := range 10 {
		id := string(rune('a' + i))
		hosts = append(hosts, external.Host{ID: id, Addr: id})
	}
	c.SetWorkers(origin, hosts)
	for _, out := range c.Plan(origin, len(hosts), true) {
		if out.Host.ID != "j" {
			c.Done(origin, out, external.WorkerReport{}, errUnknown)
		} else {
			c.Done(origin, out, external.WorkerReport{Worker: "j"}, nil)
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

// Guards against orders that are not delivered, or delivered again for ever.
func TestOrdersAreDeliveredOnce(t *testing.T) {
	s := newScript(t, Known{AttemptRef: first, Worker: "w"})
	s.answer(s.plan(), running(first))
	s.c.Checkpoint(s.now, first)
	s.c.Throttle(s.now, first, 40)
	out := s.plan()
	require.Equal(t, []external.AttemptRef{first}, out.Command.Checkpoint)
	require.Equal(t, []external.Throttle{{AttemptRef: first, Percent: 40}}, out.Command.Throttle)
	s.c.Done(s.now, out, external.WorkerReport{}, errUnknown)
	out = s.plan()
	require.Len(t, out.Command.Throttle, 1, "not repeated after a lost answer")
	r := running(first)
	r.Running[0].Checkpoint = "k"
	s.answer(out, r)
	out = s.plan()
	require.Empty(t, out.Command.Checkpoint)
	require.Empty(t, out.Command.Throttle)
	require.Equal(t, []EventKind{EventAdopted, EventStarted, EventReport, EventCheckpointed}, kinds(s.c.Events()))
	s.c.Done(s.now, out, external.WorkerReport{}, model.Errorf(model.KindFenced, "", "newer owner"))
	require.True(t, s.c.Fenced())
	require.Empty(t, s.c.Plan(s.now.Add(time.Hour), 9, true))
}

// overlap counts commands in flight for each worker.
type overlap struct {
	external.WorkerAPI
	mu       sync.Mutex
	flying   map[string]int
	most     int
	together int
}

func (o *overlap) Command(ctx context.Context, h external.Host, cmd external.WorkerCommand) (external.WorkerReport, error) {
	o.mu.Lock()
	o.flying[h.ID]++
	o.most = max(o.most, o.flying[h.ID])
	total := 0
	for _, n := range o.flying {
		total += n
	}
	o.together = max(o.together, total)
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		o.flying[h.ID]--
		o.mu.Unlock()
	}()
	return o.WorkerAPI.Command(ctx, h, cmd)
}

// Guards against faults between core, HTTP client and worker: all tasks complete
// once, with one command in flight for each worker and bounded concurrency.
func TestDispatcherOverHTTP(t *testing.T) {
	p := standin.NewPlatform(standin.Shape{Seed: 1, DataCentres: []standin.DataCentreShape{{
		Name: "dc", Racks: 2, WorkersPerRack: 4, Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 800},
	}}})
	require.NoError(t, p.Start())
	defer func() { require.NoError(t, p.Close()) }()
	for _, h := range p.Hosts() {
		p.Faults().SetWorker(h.ID, standin.WorkerFault{LoseAnswer: 0.2})
	}
	api := &overlap{WorkerAPI: httpapi.NewWorkers(nil), flying: map[string]int{}}
	open := func(time.Time) error { return nil }
	d := New(Config{Cell: "c", Epoch: 1, Concurrency: 3}, api, Gates{MayStart: open, MayRenew: open}, nil, Options{})
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
	require.Equal(t, 1, api.most)
	require.LessOrEqual(t, api.together, 3)
}
