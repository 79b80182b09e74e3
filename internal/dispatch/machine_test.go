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

// TestMain fixes the seed of the property tests unless one is given.
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
	machineWorkers = 3
	machineTasks   = 5
	// slotsPerWorker makes placement wait for capacity at times.
	slotsPerWorker = 2
)

// task is the durable state of a task in the cell's journal.
type task struct {
	attempt    model.Attempt
	worker     model.WorkerID // empty while queued
	checkpoint string
	evicting   bool
	done       bool
	endings    map[model.Attempt]int
}

// owner is one node that owns the cell, or believes so.
type owner struct {
	epoch       model.Epoch
	core        *Core
	lastAppend  time.Time
	pausedUntil time.Time
	// ackedAt is when a majority knows the epoch. Former owners may then have
	// reports of a majority against it for the hold time.
	ackedAt time.Time
	// holding is true when the ownership lease ran out in a store outage, so that
	// the owner renews as long as the rule for outages allows.
	holding bool
}

// delivery is a command on its way.
type delivery struct {
	at     time.Time
	owner  *owner
	out    Outgoing
	answer bool // whether the owner still waits for the report
}

// machine is a cell in virtual time: workers, a journal and successive owners.
type machine struct {
	t       *rapid.T
	now     time.Time
	ledger  *standin.Ledger
	workers map[model.WorkerID]*standin.WorkerCore
	rates   map[model.WorkerID]float64
	paused  map[model.WorkerID]time.Time
	// cut holds the lowest epoch whose owner cannot reach the worker; a former
	// owner may still reach one that the present owner cannot.
	cut      map[model.WorkerID]model.Epoch
	hosts    []external.Host
	tasks    map[model.TaskID]*task
	epoch    model.Epoch
	appended time.Time
	owners   []*owner
	traffic  []delivery
	healed   bool
	// outageUntil is when the store answers again.
	outageUntil time.Time
}

func (m *machine) outage() bool { return m.now.Before(m.outageUntil) }

// mayHold is the rule for renewals in a store outage: a majority has reported
// within the hold time that it has no view either and knows no higher epoch.
func (m *machine) mayHold(o *owner) bool {
	if !o.holding {
		return false
	}
	limit := m.outageUntil.Add(DefaultHold)
	if o.epoch != m.epoch {
		limit = m.owners[int(o.epoch)].ackedAt.Add(DefaultHold) // the next owner, as epochs count from 1
	}
	return m.now.Before(limit)
}

// local converts true time to the clock of a worker, which runs at its own rate.
func (m *machine) local(id model.WorkerID, at time.Time) time.Time {
	return origin.Add(time.Duration(float64(at.Sub(origin)) * m.rates[id]))
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, now: origin, ledger: standin.NewLedger(), tasks: map[model.TaskID]*task{},
		workers: map[model.WorkerID]*standin.WorkerCore{}, rates: map[model.WorkerID]float64{},
		paused: map[model.WorkerID]time.Time{}, cut: map[model.WorkerID]model.Epoch{},
	}
	for i := range machineWorkers {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		m.rates[id] = rapid.SampledFrom([]float64{0.96, 1, 1.04}).Draw(t, "rate")
		m.boot(id)
		m.hosts = append(m.hosts, external.Host{ID: string(id), Addr: string(id), Role: external.RoleWorker})
	}
	for i := range machineTasks {
		m.tasks[model.TaskID(fmt.Sprintf("t%d", i))] = &task{endings: map[model.Attempt]int{}}
	}
	m.takeOver()
	return m
}

// boot starts a worker, or restarts it after its host died.
func (m *machine) boot(id model.WorkerID) {
	capacity, rate := unit, m.rates[id]
	for range slotsPerWorker - 1 {
		capacity = capacity.Add(unit)
	}
	m.workers[id] = standin.NewWorkerCore(standin.WorkerConfig{
		ID: id, Capacity: capacity, Ledger: m.ledger,
		TrueTime: func(at time.Time) time.Time {
			return origin.Add(time.Duration(float64(at.Sub(origin)) / rate))
		},
	}, m.local(id, m.now))
	delete(m.paused, id)
}

// takeOver appends an acquire record and creates the owner that it names.
func (m *machine) takeOver() {
	m.epoch++
	m.appended = m.now
	var known []Known
	for _, id := range m.taskIDs() {
		if k := m.tasks[id]; k.worker != "" {
			ref := external.AttemptRef{Task: id, Attempt: k.attempt}
			known = append(known, Known{AttemptRef: ref, Worker: k.worker, Evicting: k.evicting})
		}
	}
	o := &owner{epoch: m.epoch, lastAppend: m.now, core: NewCore(Config{Cell: "c", Epoch: m.epoch}, m.now, known)}
	o.ackedAt = m.now.Add(m.duration("acknowledged", 3*time.Second))
	o.core.SetWorkers(m.now, m.hosts)
	m.owners = append(m.owners, o)
}

func (m *machine) taskIDs() []model.TaskID {
	var ids []model.TaskID
	for i := range machineTasks {
		ids = append(ids, model.TaskID(fmt.Sprintf("t%d", i)))
	}
	return ids
}

// append makes a record durable, or fences the owner.
func (m *machine) append(o *owner) bool {
	if m.outage() {
		return false
	}
	if o.epoch != m.epoch {
		o.core.fenced = true
		return false
	}
	m.appended, o.lastAppend = m.now, m.now
	return true
}

// run lets an owner act as its node does between two ticks.
func (m *machine) run(o *owner) {
	if o.core.Fenced() || m.now.Before(o.pausedUntil) {
		return
	}
	if !m.now.Before(o.ackedAt) {
		o.core.SetEpochAcknowledged(o.ackedAt)
	}
	o.holding = o.holding && m.now.Sub(o.lastAppend) >= DefaultOwnershipLease || m.outage() && m.now.Sub(o.lastAppend) >= DefaultOwnershipLease
	if !m.mayHold(o) && m.now.Sub(o.lastAppend) > DefaultOwnershipLease/3 {
		m.append(o)
	}
	m.handle(o)
	m.place(o)
	for _, out := range o.core.Plan(m.now, 10, true) {
		m.send(o, out)
	}
	m.handle(o)
}

// send checks the gate and hands the command to the network, or pauses the owner
// between the two.
func (m *machine) send(o *owner, out Outgoing) {
	owns := m.now.Sub(o.lastAppend) < DefaultOwnershipLease
	if !o.core.Release(m.now, &out, owns, owns || m.mayHold(o)) {
		o.core.Done(m.now, out, external.WorkerReport{}, Withheld())
		return
	}
	d := delivery{at: m.now, owner: o, out: out, answer: true}
	fate := "ok"
	if !m.healed {
		fate = rapid.SampledFrom([]string{"ok", "ok", "ok", "lost answer", "dropped", "refused", "late", "held"}).Draw(m.t, "fate")
	}
	if from, ok := m.cut[model.WorkerID(out.Host.ID)]; ok && o.epoch >= from {
		fate = "dropped"
	}
	switch fate {
	case "lost answer":
		d.answer = false
	case "late":
		d.answer = false
		d.at = m.now.Add(m.duration("late", 5*time.Second))
	case "held":
		o.pausedUntil = m.now.Add(m.duration("held", 30*time.Second))
		d.at = o.pausedUntil
	case "refused":
		o.core.Done(m.now, out, external.WorkerReport{}, model.Errorf(model.KindUnavailable, "", "refused"))
		return
	}
	if fate != "dropped" {
		m.traffic = append(m.traffic, d)
	}
	if fate == "dropped" || !d.answer {
		o.core.Done(m.now, out, external.WorkerReport{}, model.Errorf(model.KindUnknown, "", "no answer"))
	}
}

func (m *machine) duration(label string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(most/time.Millisecond)).Draw(m.t, label)) * time.Millisecond
}

// deliver hands over the commands that have arrived. A paused worker receives
// them when it resumes.
func (m *machine) deliver() {
	traffic := m.traffic
	m.traffic = nil
	for _, d := range traffic {
		id := model.WorkerID(d.out.Host.ID)
		if _, paused := m.paused[id]; paused || d.at.After(m.now) {
			m.traffic = append(m.traffic, d)
			continue
		}
		m.checkAcks(d.out.Command)
		report, err := m.workers[id].Command(m.local(id, m.now), d.out.Command)
		if d.answer {
			d.owner.core.Done(m.now, d.out, report, err)
		}
	}
}

// checkAcks fails when a worker is told to forget an ending that is not durable.
func (m *machine) checkAcks(cmd external.WorkerCommand) {
	for _, ref := range cmd.Ack {
		k := m.tasks[ref.Task]
		if k.attempt == ref.Attempt && k.worker != "" {
			m.t.Fatalf("ending of %v acknowledged before it was durable", ref)
		}
	}
}

// handle makes events durable and acknowledges them.
func (m *machine) handle(o *owner) {
	if m.outage() || m.mayHold(o) {
		return // events wait for the store
	}
	for _, e := range o.core.Events() {
		switch e.Kind {
		case EventEnded, EventLost, EventRejected:
			if !m.append(o) {
				return
			}
			m.finish(e)
			if e.Kind != EventRejected {
				o.core.Ack(e.Ref)
			}
		}
	}
}

func (m *machine) finish(e Event) {
	k := m.tasks[e.Ref.Task]
	if k.attempt != e.Ref.Attempt || k.worker == "" {
		m.t.Fatalf("%s of %v, but the current attempt is %d on %q", e.Kind, e.Ref, k.attempt, k.worker)
	}
	k.endings[e.Ref.Attempt]++
	if k.endings[e.Ref.Attempt] > 1 {
		m.t.Fatalf("second ending of %v", e.Ref)
	}
	k.worker, k.evicting = "", false
	if e.Ended.Checkpoint != "" {
		k.checkpoint = e.Ended.Checkpoint
	}
	k.done = e.Ended.Outcome == model.OutcomeDone
}

// place puts queued tasks on adopted workers with room.
func (m *machine) place(o *owner) {
	if m.mayHold(o) {
		return
	}
	for _, id := range m.taskIDs() {
		k := m.tasks[id]
		w, ok := m.room(o)
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

func (m *machine) room(o *owner) (model.WorkerID, bool) {
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

// disturb injects one fault or decision.
func (m *machine) disturb() {
	o := m.owners[len(m.owners)-1]
	id := model.WorkerID(rapid.SampledFrom(m.hosts).Draw(m.t, "worker").ID)
	ref := external.AttemptRef{Task: rapid.SampledFrom(m.taskIDs()).Draw(m.t, "task")}
	k := m.tasks[ref.Task]
	ref.Attempt = k.attempt
	active := !o.core.Fenced() && !m.now.Before(o.pausedUntil) && k.worker != ""
	switch rapid.SampledFrom([]string{"", "", "", "pause owner", "pause worker", "cut", "heal", "restart", "outage", "evict", "stop"}).Draw(m.t, "action") {
	case "pause owner":
		o.pausedUntil = m.now.Add(m.duration("owner pause", 40*time.Second))
	case "pause worker":
		if _, ok := m.paused[id]; !ok {
			m.workers[id].Pause(m.local(id, m.now))
			m.paused[id] = m.now.Add(m.duration("worker pause", 40*time.Second))
		}
	case "restart":
		m.workers[id].Kill(m.local(id, m.now))
		m.boot(id)
	case "outage":
		if !m.outage() {
			m.outageUntil = m.now.Add(m.duration("outage", 60*time.Second))
		}
	case "cut":
		m.cut[id] = rapid.SampledFrom([]model.Epoch{1, m.epoch, m.epoch + 1}).Draw(m.t, "from epoch")
	case "heal":
		delete(m.cut, id)
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

// step moves time forward and lets everyone act.
func (m *machine) step(dt time.Duration) {
	m.now = m.now.Add(dt)
	for _, h := range m.hosts {
		id := model.WorkerID(h.ID)
		if until, ok := m.paused[id]; ok && !m.now.Before(until) {
			m.workers[id].Resume(m.local(id, m.now))
			delete(m.paused, id)
		}
		m.workers[id].Advance(m.local(id, m.now))
	}
	m.deliver()
	if !m.outage() && m.now.Sub(m.appended) > withMargin(DefaultOwnershipLease) {
		m.takeOver()
	}
	for _, o := range m.owners {
		m.run(o)
	}
	for _, v := range m.ledger.Violations() {
		m.t.Fatalf("%s: %s", v.Rule, v.Detail)
	}
}

// Guards against two live attempts of a task, an attempt that runs twice, an
// ending that is lost or recorded twice, and overcommitment, with owners and
// workers that pause, answers that are lost, commands that arrive late, store
// outages in which a former owner renews, and owners that take over.
func TestDispatchMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt)
		for range rapid.IntRange(20, 150).Draw(rt, "steps") {
			m.disturb()
			m.step(m.duration("dt", 1500*time.Millisecond))
		}
		m.healed = true
		m.outageUntil = m.now
		clear(m.cut)
		for range 1000 {
			m.step(150 * time.Millisecond)
		}
		for id, k := range m.tasks {
			require.True(rt, k.done, "task %s did not finish: %+v", id, k)
		}
		for id, w := range m.workers {
			r, err := w.Command(m.local(id, m.now), external.WorkerCommand{Cell: "c", Epoch: m.epoch})
			require.NoError(rt, err)
			require.Empty(rt, r.Ended, "worker %s still waits for acknowledgements", id)
			require.Empty(rt, r.Running)
		}
	})
}
