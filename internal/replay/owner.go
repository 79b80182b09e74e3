package replay

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// Timing of the owner, as the design page states it.
const (
	groupCommit  = 100 * time.Millisecond
	urgentCommit = 20 * time.Millisecond
	storeWrite   = 15 * time.Millisecond
	commandDelay = 10 * time.Millisecond
	peerDelay    = 5 * time.Millisecond
	storeRetry   = 500 * time.Millisecond
	// lostAfter is L + H + S + D plus a 10% margin for clock rates.
	lostAfter = (6 + 3 + 2 + 8) * time.Second * 11 / 10
	// missingEvery is the number of reports between searches for attempts that a
	// worker has lost.
	missingEvery = 5
	// unreachableAfter is two missed reports.
	unreachableAfter = 2500 * time.Millisecond
	// takeOver is L plus a 10% margin.
	takeOver = 6 * time.Second * 11 / 10
)

// owner is the owner of one cell: it plans, appends and dispatches.
type owner struct {
	sim     *sim
	id      model.CellID
	dc      model.DataCentre
	st      *cell.State
	sched   *scheduler.Scheduler
	view    *control.View
	workers []*worker
	inbox   []cell.Record
	// flight is the part of the batch being appended that came from outside.
	flight []cell.Record
	known  map[external.AttemptRef]bool
	// noted holds the last checkpoint of each attempt that was submitted.
	noted  map[external.AttemptRef]string
	busy   bool
	down   bool
	due    time.Duration
	wakeAt time.Duration
}

// submit takes records from outside; urgent ones are flushed early.
func (o *owner) submit(records ...cell.Record) {
	o.inbox = append(o.inbox, records...)
	if o.sched.Urgent(records) {
		o.wake(urgentCommit)
		return
	}
	o.wake(groupCommit)
}

// wake schedules a plan after a delay unless one is due earlier.
func (o *owner) wake(d time.Duration) {
	at := o.sim.now + d
	if o.wakeAt > o.sim.now && o.wakeAt <= at {
		return
	}
	o.wakeAt = at
	o.sim.at(at, func() {
		if o.wakeAt == at {
			o.wakeAt = 0
			o.tick()
		}
	})
}

// tick plans and appends the plan together with what arrived.
func (o *owner) tick() {
	if o.down {
		return
	}
	if o.busy {
		o.due = o.sim.now
		return
	}
	o.sched.SetCells(o.sim.summaries)
	p := o.sched.Plan(o.sim.time(), o.view)
	o.sim.count(p)
	o.flight, o.inbox = o.inbox, nil
	batch := append(slices.Clone(o.flight), p.Records...)
	o.throttle(p)
	if len(batch) == 0 {
		o.wake(p.Next)
		return
	}
	o.append(batch, p)
}

// throttle sends what needs no record.
func (o *owner) throttle(p scheduler.Plan) {
	for _, c := range p.Throttles {
		w := o.sim.workers[c.Worker]
		o.sim.after(commandDelay, func() { w.setThrottle(c.AttemptRef, c.Percent) })
	}
	for _, c := range p.Checkpoints {
		w := o.sim.workers[c.Worker]
		o.sim.after(commandDelay, func() {
			if r := w.find(c.AttemptRef); r != nil && w.up() && !r.stopping {
				w.save(r)
			}
		})
	}
}

// append makes a batch durable, or aborts the plan while the store is out. What
// arrived from outside is kept and appended later.
func (o *owner) append(batch []cell.Record, p scheduler.Plan) {
	o.busy = true
	st := o.st
	o.sim.after(storeWrite, func() {
		o.busy = false
		if o.down || st != o.st {
			return
		}
		if o.sim.storeOut() {
			o.sched.Abort()
			o.inbox = append(o.flight, o.inbox...)
			o.flight = nil
			o.wake(storeRetry)
			return
		}
		urgent := o.sched.Urgent(o.flight)
		o.flight = nil
		o.durable(batch)
		o.sched.Committed(p.Records, o.sim.time())
		if o.due > 0 {
			o.due = 0
			o.wake(urgentCommit)
		}
		if urgent {
			o.wake(0)
		}
		o.wake(min(p.Next, groupCommit))
	})
}

// durable applies a batch and carries out its effects.
func (o *owner) durable(batch []cell.Record) {
	o.sim.checkGangs(o, batch)
	for _, r := range batch {
		if err := o.st.Apply(r); err != nil {
			o.sim.refused(o, err)
			continue
		}
		o.effect(r)
	}
}

func (o *owner) effect(r cell.Record) {
	switch {
	case r.Placed != nil:
		o.start(r.Placed)
	case r.Evicting != nil:
		o.command(r.Evicting.Task, (*worker).evict)
	case r.Cancelled != nil:
		o.stopCancelled(r.Cancelled.Job)
		o.sim.closeCancelled(o, r.Cancelled.Job)
	case r.Ended != nil:
		o.ended(r.Ended)
	case r.TransferOut != nil:
		o.send(r.TransferOut)
	case r.TransferIn != nil:
		o.confirm(r.TransferIn)
		o.sim.closeCancelled(o, r.TransferIn.Spec.Job)
	case r.TransferEnd != nil:
		o.followCancel(r.TransferEnd.Task)
	case r.Checkpoint != nil:
		o.sim.durable[r.Checkpoint.Task] = r.Checkpoint.Object
	case r.Unrunnable != nil:
		t, _ := o.st.Task(r.Unrunnable.Task)
		o.sim.unrunnable(r.Unrunnable)
		o.sim.close(t)
	}
}

// start sends a start, unless the view says by now that the data centre is out;
// the attempt then ends without having run.
func (o *owner) start(p *cell.Placed) {
	ref := external.AttemptRef{Task: p.Task, Attempt: p.Attempt}
	if o.view.IsOut(o.dc) {
		o.submit(cell.Record{Ended: &cell.Ended{Task: p.Task, Attempt: p.Attempt, Outcome: model.OutcomeNotRun}})
		return
	}
	t, _ := o.st.Task(p.Task)
	checkpoint := t.Checkpoint
	w := o.sim.workers[p.Worker]
	o.sim.placedAt[ref] = o.sim.now
	o.sim.after(commandDelay, func() { w.start(ref, o.sim.tasks[p.Task], checkpoint) })
}

func (o *owner) command(id model.TaskID, send func(*worker, external.AttemptRef)) {
	t, _ := o.st.Task(id)
	w, ref := o.sim.workers[t.Worker], t.Ref()
	o.sim.after(commandDelay, func() { send(w, ref) })
}

func (o *owner) stopCancelled(id model.JobID) {
	for _, t := range o.st.JobTasks(id) {
		if t.State == cell.TaskCancelling {
			o.command(t.Spec.ID, (*worker).stop)
		}
	}
}

func (o *owner) ended(e *cell.Ended) {
	t, _ := o.st.Task(e.Task)
	ref := external.AttemptRef{Task: e.Task, Attempt: e.Attempt}
	delete(o.known, ref)
	delete(o.noted, ref)
	if w := o.sim.workers[t.Worker]; w != nil {
		o.sim.after(commandDelay, func() { w.acknowledge(ref) })
	}
	o.sim.accepted(t, e)
}

// send delivers a transfer to the owner of the destination cell, again and
// again until the destination has made it durable.
func (o *owner) send(r *cell.TransferOut) {
	t, ok := o.st.Task(r.Task)
	if !ok || t.State != cell.TaskTransferring || t.To != r.To {
		return
	}
	in := cell.TransferIn{
		Spec: t.Spec, From: o.id, Attempts: t.Attempt, Failures: t.Failures, Checkpoint: t.Checkpoint,
		At: t.SubmittedAt, Hop: t.Hops, Group: t.Group, Cancelled: o.st.JobCancelled(t.Spec.Job),
	}
	to := o.sim.owners[r.To]
	o.sim.after(peerDelay, func() {
		if !to.down {
			to.submit(cell.Record{TransferIn: &in})
		}
	})
	o.sim.after(2*time.Second, func() { o.send(r) })
}

// confirm tells the source that a transfer is durable here.
func (o *owner) confirm(in *cell.TransferIn) {
	from := o.sim.owners[in.From]
	o.sim.after(peerDelay, func() {
		if t, ok := from.st.Task(in.Spec.ID); ok && t.State == cell.TaskTransferring && t.Hops == in.Hop {
			from.submit(cell.Record{TransferEnd: &cell.TransferEnd{Task: in.Spec.ID}})
		}
	})
}

// followCancel passes a cancellation on that came during the transfer.
func (o *owner) followCancel(id model.TaskID) {
	t, _ := o.st.Task(id)
	if o.st.JobCancelled(t.Spec.Job) {
		o.sim.owners[t.To].cancel(t.Spec.Job)
	}
}

func (o *owner) cancel(id model.JobID) {
	if _, known := o.st.Job(id); known {
		o.submit(cell.Record{Cancelled: &cell.Cancelled{Job: id}})
	}
}

// observe takes in a report: samples, checkpoints, ended attempts, and attempts
// that the worker no longer runs.
func (o *owner) observe(w *worker, report external.WorkerReport) {
	w.contact = o.sim.now
	if o.down {
		return
	}
	o.sched.Observe(report, o.sim.time())
	var fresh []external.EndedAttempt
	for _, e := range report.Ended {
		if !o.known[e.AttemptRef] {
			o.known[e.AttemptRef] = true
			if t, ok := o.st.Task(e.Task); !ok || t.Attempt != e.Attempt || !t.State.HoldsWorker() {
				w.acknowledge(e.AttemptRef)
			}
			fresh = append(fresh, e)
		}
	}
	records := o.sched.EndedRecords(w.ID, fresh, o.sim.time())
	for _, r := range report.Running {
		t, ok := o.st.Task(r.Task)
		fresh := r.Checkpoint != "" && r.Checkpoint != o.noted[r.AttemptRef]
		if ok && fresh && t.Attempt == r.Attempt && t.State.HoldsWorker() && r.Checkpoint != t.Checkpoint {
			o.noted[r.AttemptRef] = r.Checkpoint
			records = append(records, cell.Record{Checkpoint: &cell.Checkpoint{Task: r.Task, Attempt: r.Attempt, Object: r.Checkpoint}})
		}
	}
	if w.reports%missingEvery == 0 {
		records = append(records, o.missing(w, report)...)
	}
	if len(records) > 0 {
		o.submit(records...)
	}
}

// missing returns ends for attempts that a worker has lost by a restart: it
// reports, the start was sent long enough ago, and it knows nothing of them.
func (o *owner) missing(w *worker, report external.WorkerReport) []cell.Record {
	var out []cell.Record
	for _, t := range o.st.LiveOn(w.ID) {
		ref := t.Ref()
		if o.known[ref] || w.find(ref) != nil || hasEnded(report, ref) || o.sim.now-o.sim.placedAt[ref] < 2*time.Second {
			continue
		}
		o.known[ref] = true
		out = append(out, cell.Record{Ended: &cell.Ended{Task: t.Spec.ID, Attempt: t.Attempt, Outcome: model.OutcomeLost}})
	}
	return out
}

func hasEnded(report external.WorkerReport, ref external.AttemptRef) bool {
	for _, e := range report.Ended {
		if e.AttemptRef == ref {
			return true
		}
	}
	return false
}

// watch runs once a second: it marks workers that have missed reports, and ends
// the attempts of those silent for the full bound.
func (o *owner) watch() {
	if o.down {
		return
	}
	var list []scheduler.Worker
	for _, w := range o.workers {
		silent := o.sim.now - w.contact
		state := w.Worker
		state.Unreachable = silent > unreachableAfter
		list = append(list, state)
		if silent > lostAfter {
			o.declareLost(w)
		}
	}
	o.sched.SetWorkers(list)
	o.wake(0)
}

func (o *owner) declareLost(w *worker) {
	for _, t := range o.st.LiveOn(w.ID) {
		if ref := t.Ref(); !o.known[ref] {
			o.known[ref] = true
			o.submit(cell.Record{Ended: &cell.Ended{Task: t.Spec.ID, Attempt: t.Attempt, Outcome: model.OutcomeLost}})
		}
	}
}

// restart replaces the owner: the state goes through a snapshot, and everything
// in memory is lost. Callers and workers repeat what was not durable.
func (o *owner) restart() {
	o.down, o.busy, o.due = true, false, 0
	lost := append(o.flight, o.inbox...)
	o.flight, o.inbox = nil, nil
	data, err := o.sched.MarshalEstimates()
	o.sim.must(err)
	o.st.SetAux(data)
	snapshot, err := o.st.MarshalSnapshot()
	o.sim.must(err)
	o.sim.after(takeOver, func() {
		o.st = cell.NewState(o.id)
		o.sim.must(o.st.RestoreSnapshot(snapshot))
		o.sched = scheduler.New(o.sim.config, o.st)
		o.sim.must(o.sched.RestoreEstimates(o.st.Aux()))
		o.known, o.noted = map[external.AttemptRef]bool{}, map[external.AttemptRef]string{}
		o.down = false
		o.recover(lost)
		o.watch()
	})
}

// recover repeats what callers and peers would repeat, and the commands whose
// effect may have been lost with the former owner.
func (o *owner) recover(lost []cell.Record) {
	for _, r := range lost {
		if r.Submitted != nil || r.Cancelled != nil || r.TransferIn != nil || r.TransferEnd != nil {
			o.submit(r)
		}
	}
	for _, t := range o.st.Live() {
		switch t.State {
		case cell.TaskEvicting:
			o.command(t.Spec.ID, (*worker).evict)
		case cell.TaskCancelling:
			o.command(t.Spec.ID, (*worker).stop)
		}
	}
	for _, tr := range o.st.Transfers() {
		o.send(&cell.TransferOut{Task: tr.In.Spec.ID, To: tr.To, Group: tr.In.Group})
	}
}
