package dispatch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
)

// TestMain sets a fixed seed and the number of checks of the property tests unless they
// are given as flags.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, values := range map[string][2]string{"rapid.seed": {"0", "1"}, "rapid.checks": {"100", "200"}} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == values[0] {
			_ = f.Value.Set(values[1])
		}
	}
	os.Exit(m.Run())
}

var (
	origin = time.Unix(1_000_000, 0)
	unit   = model.Resources{MilliCPU: 1000, MemoryMB: 100}
)

const (
	simulatedWorkers = 3
	simulatedTasks   = 5
	// slotsPerWorker is low enough that placements sometimes wait for capacity.
	slotsPerWorker = 2
)

// task is the state of a task in the cell's journal.
type task struct {
	attempt    model.Attempt
	worker     model.WorkerID // empty while queued
	checkpoint string
	evicting   bool
	done       bool
	ends       map[model.Attempt]int
}

// simulatedOwner is a node that owns the cell or still assumes that it does.
type simulatedOwner struct {
	epoch       model.Epoch
	core        *Core
	lastAppend  time.Time
	pausedUntil time.Time
	// epochAckedAt is when a majority acknowledges the epoch. A former owner may rely
	// on older reports of a majority for the hold time after that.
	epochAckedAt time.Time
	// renewingInOutage is true when the ownership lease expired in a store outage. The
	// owner then renews task leases as long as the rule for outages allows.
	renewingInOutage bool
}

// delivery is a command in transit.
type delivery struct {
	at           time.Time
	owner        *simulatedOwner
	out          OutgoingCommand
	awaitsReport bool // whether the owner is still waiting for the report
}

// simulation is a cell in virtual time with workers, a journal and successive owners.
type simulation struct {
	t       *rapid.T
	now     time.Time
	ledger  *standin.Ledger
	workers map[model.WorkerID]*standin.WorkerCore
	rates   map[model.WorkerID]float64
	paused  map[model.WorkerID]time.Time
	// unreachableFrom maps a worker to the lowest epoch whose owner cannot reach it. A
	// former owner may still reach a worker that the current owner cannot.
	unreachableFrom map[model.WorkerID]model.Epoch
	hosts           []external.Host
	tasks           map[model.TaskID]*task
	epoch           model.Epoch
	lastAppend      time.Time
	owners          []*simulatedOwner
	inTransit       []delivery
	faultsDisabled  bool
	// outageUntil is when the store is available again.
	outageUntil time.Time
}

func (m *simulation) outage() bool { return m.now.Before(m.outageUntil) }

// mayRenewInOutage implements the rule for renewals in a store outage: a majority has
// reported within the hold time that it has no current view either and knows no higher
// epoch.
func (m *simulation) mayRenewInOutage(o *simulatedOwner) bool {
	if !o.renewingInOutage {
		return false
	}
	limit := m.outageUntil.Add(DefaultHold)
	if o.epoch != m.epoch {
		limit = m.owners[int(o.epoch)].epochAckedAt.Add(DefaultHold) // the next owner, as epochs count from 1
	}
	return m.now.Before(limit)
}

// workerTime converts simulation time to the clock of a worker, which has its own rate.
func (m *simulation) workerTime(id model.WorkerID, at time.Time) time.Time {
	return origin.Add(time.Duration(float64(at.Sub(origin)) * m.rates[id]))
}

func newSimulation(t *rapid.T) *simulation {
	m := &simulation{
		t: t, now: origin, ledger: standin.NewLedger(), tasks: map[model.TaskID]*task{},
		workers: map[model.WorkerID]*standin.WorkerCore{}, rates: map[model.WorkerID]float64{},
		paused: map[model.WorkerID]time.Time{}, unreachableFrom: map[model.WorkerID]model.Epoch{},
	}
	for i := range simulatedWorkers {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		m.rates[id] = rapid.SampledFrom([]float64{0.96, 1, 1.04}).Draw(t, "rate")
		m.startWorker(id)
		m.hosts = append(m.hosts, external.Host{ID: string(id), Addr: string(id), Role: external.RoleWorker})
	}
	for i := range simulatedTasks {
		m.tasks[model.TaskID(fmt.Sprintf("t%d", i))] = &task{ends: map[model.Attempt]int{}}
	}
	m.takeOver()
	return m
}

// startWorker starts a worker, or restarts it after a crash of its host.
func (m *simulation) startWorker(id model.WorkerID) {
	capacity, rate := unit, m.rates[id]
	for range slotsPerWorker - 1 {
		capacity = capacity.Add(unit)
	}
	m.workers[id] = standin.NewWorkerCore(standin.WorkerConfig{
		ID: id, Capacity: capacity, Ledger: m.ledger,
		TrueTime: func(at time.Time) time.Time {
			return origin.Add(time.Duration(float64(at.Sub(origin)) / rate))
		},
	}, m.workerTime(id, m.now))
	delete(m.paused, id)
}

// takeOver appends an acquire record and creates the new owner.
func (m *simulation) takeOver() {
	m.epoch++
	m.lastAppend = m.now
	var known []KnownAttempt
	for _, id := range m.taskIDs() {
		if k := m.tasks[id]; k.worker != "" {
			ref := external.AttemptRef{Task: id, Attempt: k.attempt}
			known = append(known, KnownAttempt{AttemptRef: ref, Worker: k.worker, Evicting: k.evicting})
		}
	}
	o := &simulatedOwner{epoch: m.epoch, lastAppend: m.now, core: NewCore(Config{Cell: "c", Epoch: m.epoch}, m.now, known)}
	o.epochAckedAt = m.now.Add(m.drawDuration("acknowledged", 3*time.Second))
	o.core.SetWorkers(m.now, m.hosts)
	m.owners = append(m.owners, o)
}

func (m *simulation) taskIDs() []model.TaskID {
	var ids []model.TaskID
	for i := range simulatedTasks {
		ids = append(ids, model.TaskID(fmt.Sprintf("t%d", i)))
	}
	return ids
}

// append makes a record durable, or fences the owner if its epoch is not the latest.
func (m *simulation) append(o *simulatedOwner) bool {
	if m.outage() {
		return false
	}
	if o.epoch != m.epoch {
		o.core.fenced = true
		return false
	}
	m.lastAppend, o.lastAppend = m.now, m.now
	return true
}

// runOwner performs one iteration of an owner.
func (m *simulation) runOwner(o *simulatedOwner) {
	if o.core.Fenced() || m.now.Before(o.pausedUntil) {
		return
	}
	if !m.now.Before(o.epochAckedAt) {
		o.core.SetEpochAcknowledged(o.epochAckedAt)
	}
	o.renewingInOutage = o.renewingInOutage && m.now.Sub(o.lastAppend) >= DefaultOwnershipLease || m.outage() && m.now.Sub(o.lastAppend) >= DefaultOwnershipLease
	if !m.mayRenewInOutage(o) && m.now.Sub(o.lastAppend) > DefaultOwnershipLease/3 {
		m.append(o)
	}
	m.handleEvents(o)
	m.placeTasks(o)
	for _, out := range o.core.Plan(m.now, 10, true) {
		m.send(o, out)
	}
	m.handleEvents(o)
}

// send checks the gates and passes the command to the simulated network. It may pause
// the owner between the two.
func (m *simulation) send(o *simulatedOwner, out OutgoingCommand) {
	owns := m.now.Sub(o.lastAppend) < DefaultOwnershipLease
	if !o.core.Authorize(m.now, &out, owns, owns || m.mayRenewInOutage(o)) {
		o.core.HandleResult(m.now, out, external.WorkerReport{}, WithheldError())
		return
	}
	d := delivery{at: m.now, owner: o, out: out, awaitsReport: true}
	fault := "ok"
	if !m.faultsDisabled {
		fault = rapid.SampledFrom([]string{"ok", "ok", "ok", "lost answer", "dropped", "refused", "late", "held"}).Draw(m.t, "fate")
	}
	if from, ok := m.unreachableFrom[model.WorkerID(out.Host.ID)]; ok && o.epoch >= from {
		fault = "dropped"
	}
	switch fault {
	case "lost answer":
		d.awaitsReport = false
	case "late":
		d.awaitsReport = false
		d.at = m.now.Add(m.drawDuration("late", 5*time.Second))
	case "held":
		o.pausedUntil = m.now.Add(m.drawDuration("held", 30*time.Second))
		d.at = o.pausedUntil
	case "refused":
		o.core.HandleResult(m.now, out, external.WorkerReport{}, model.Errorf(model.KindUnavailable, "", "refused"))
		return
	}
	if fault != "dropped" {
		m.inTransit = append(m.inTransit, d)
	}
	if fault == "dropped" || !d.awaitsReport {
		o.core.HandleResult(m.now, out, external.WorkerReport{}, model.Errorf(model.KindUnknown, "", "no answer"))
	}
}

func (m *simulation) drawDuration(label string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(most/time.Millisecond)).Draw(m.t, label)) * time.Millisecond
}

// deliver passes the commands that have arrived to their workers. A paused worker
// receives them when it resumes.
func (m *simulation) deliver() {
	inTransit := m.inTransit
	m.inTransit = nil
	for _, d := range inTransit {
		id := model.WorkerID(d.out.Host.ID)
		if _, paused := m.paused[id]; paused || d.at.After(m.now) {
			m.inTransit = append(m.inTransit, d)
			continue
		}
		m.checkAcks(d.out.Command)
		report, err := m.workers[id].Command(m.workerTime(id, m.now), d.out.Command)
		if d.awaitsReport {
			d.owner.core.HandleResult(m.now, d.out, report, err)
		}
	}
}

// checkAcks fails if a command acknowledges an end that is not durable.
func (m *simulation) checkAcks(cmd external.WorkerCommand) {
	for _, ref := range cmd.Ack {
		k := m.tasks[ref.Task]
		if k.attempt == ref.Attempt && k.worker != "" {
			m.t.Fatalf("end of %v acknowledged before it was durable", ref)
		}
	}
}

// handleEvents makes the ends of attempts durable and acknowledges them.
func (m *simulation) handleEvents(o *simulatedOwner) {
	if m.outage() || m.mayRenewInOutage(o) {
		return // events stay queued until the store is available
	}
	for _, e := range o.core.Events() {
		switch e.Kind {
		case EventEnded, EventLost, EventRejected:
			if !m.append(o) {
				return
			}
			m.recordEnd(e)
			if e.Kind != EventRejected {
				o.core.Ack(e.Ref)
			}
		}
	}
}

func (m *simulation) recordEnd(e Event) {
	k := m.tasks[e.Ref.Task]
	if k.attempt != e.Ref.Attempt || k.worker == "" {
		m.t.Fatalf("%s of %v, but the current attempt is %d on %q", e.Kind, e.Ref, k.attempt, k.worker)
	}
	k.ends[e.Ref.Attempt]++
	if k.ends[e.Ref.Attempt] > 1 {
		m.t.Fatalf("second end of %v", e.Ref)
	}
	k.worker, k.evicting = "", false
	if e.Ended.Checkpoint != "" {
		k.checkpoint = e.Ended.Checkpoint
	}
	k.done = e.Ended.Outcome == model.OutcomeDone
}

// placeTasks places queued tasks on adopted workers with free slots.
func (m *simulation) placeTasks(o *simulatedOwner) {
	if m.mayRenewInOutage(o) {
		return
	}
	for _, id := range m.taskIDs() {
		k := m.tasks[id]
		w, ok := m.findCapacity(o)
		if k.done || k.worker != "" || !ok || !m.append(o) {
			continue
		}
		k.attempt++
		k.worker = w
		run := standin.Payload{RunMS: 3000, FailAtMS: 0}
		err := o.core.Start(m.now, w, external.Start{
			AttemptRef: external.AttemptRef{Task: id, Attempt: k.attempt}, Resources: unit,
			Checkpoint: k.checkpoint, Payload: run.Encode(),
		})
		require.NoError(m.t, err)
	}
}

func (m *simulation) findCapacity(o *simulatedOwner) (model.WorkerID, bool) {
	used := map[model.WorkerID]int{}
	for _, k := range m.tasks {
		used[k.worker]++
	}
	for _, h := range m.hosts {
		id := model.WorkerID(h.ID)
		if used[id] < slotsPerWorker && o.core.Adopted(id) {
			return id, true
		}
	}
	return "", false
}

// injectFault draws and applies one fault, eviction or stop, or none.
func (m *simulation) injectFault() {
	o := m.owners[len(m.owners)-1]
	id := model.WorkerID(rapid.SampledFrom(m.hosts).Draw(m.t, "worker").ID)
	ref := external.AttemptRef{Task: rapid.SampledFrom(m.taskIDs()).Draw(m.t, "task")}
	k := m.tasks[ref.Task]
	ref.Attempt = k.attempt
	active := !o.core.Fenced() && !m.now.Before(o.pausedUntil) && k.worker != ""
	switch rapid.SampledFrom([]string{"", "", "", "pause owner", "pause worker", "cut", "heal", "restart", "outage", "evict", "stop"}).Draw(m.t, "action") {
	case "pause owner":
		o.pausedUntil = m.now.Add(m.drawDuration("owner pause", 40*time.Second))
	case "pause worker":
		if _, ok := m.paused[id]; !ok {
			m.workers[id].Pause(m.workerTime(id, m.now))
			m.paused[id] = m.now.Add(m.drawDuration("worker pause", 40*time.Second))
		}
	case "restart":
		m.workers[id].Kill(m.workerTime(id, m.now))
		m.startWorker(id)
	case "outage":
		if !m.outage() {
			m.outageUntil = m.now.Add(m.drawDuration("outage", 60*time.Second))
		}
	case "cut":
		m.unreachableFrom[id] = rapid.SampledFrom([]model.Epoch{1, m.epoch, m.epoch + 1}).Draw(m.t, "from epoch")
	case "heal":
		delete(m.unreachableFrom, id)
	case "evict":
		if active && m.append(o) {
			k.evicting = true
			o.core.Evict(m.now, ref)
		}
	case "stop":
		if active {
			o.core.Stop(m.now, ref)
		}
	}
}

// step advances the time and runs workers, network and owners.
func (m *simulation) step(dt time.Duration) {
	m.now = m.now.Add(dt)
	for _, h := range m.hosts {
		id := model.WorkerID(h.ID)
		if until, ok := m.paused[id]; ok && !m.now.Before(until) {
			m.workers[id].Resume(m.workerTime(id, m.now))
			delete(m.paused, id)
		}
		m.workers[id].Advance(m.workerTime(id, m.now))
	}
	m.deliver()
	if !m.outage() && m.now.Sub(m.lastAppend) > withMargin(DefaultOwnershipLease) {
		m.takeOver()
	}
	for _, o := range m.owners {
		m.runOwner(o)
	}
	for _, v := range m.ledger.Violations() {
		m.t.Fatalf("%s: %s", v.Rule, v.Detail)
	}
}

// Guards against two live attempts of a task, an attempt that runs twice, an end that is
// lost or recorded twice, and overcommitted workers. The simulated faults are paused
// owners and workers, lost responses, late commands, store outages in which a former
// owner renews leases, and ownership changes.
func TestDispatchSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newSimulation(rt)
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			m.injectFault()
			m.step(m.drawDuration("dt", 1500*time.Millisecond))
		}
		m.faultsDisabled = true
		m.outageUntil = m.now
		clear(m.unreachableFrom)
		for range 1000 {
			m.step(150 * time.Millisecond)
		}
		for id, k := range m.tasks {
			require.True(rt, k.done, "task %s did not finish: %+v", id, k)
		}
		for id, w := range m.workers {
			r, err := w.Command(m.workerTime(id, m.now), external.WorkerCommand{Cell: "c", Epoch: m.epoch})
			require.NoError(rt, err)
			require.Empty(rt, r.Ended, "worker %s still has unacknowledged outcomes", id)
			require.Empty(rt, r.Running)
		}
	})
}
