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

// Timing of the owner, from the design page.
const (
	groupCommitDelay  = 100 * time.Millisecond
	urgentCommitDelay = 20 * time.Millisecond
	storeWriteDelay   = 15 * time.Millisecond
	commandDelay      = 10 * time.Millisecond
	peerDelay         = 5 * time.Millisecond
	storeRetryDelay   = 500 * time.Millisecond
	// lostAfter is L + H + S + D (ownership lease, hold time of member states, session TTL
	// and task lease) plus a margin of 10% for clock rates.
	lostAfter = (6 + 3 + 2 + 8) * time.Second * 11 / 10
	// missingCheckReports is the number of reports between two checks for attempts that a
	// worker has lost.
	missingCheckReports = 5
	// unreachableAfter corresponds to two missed reports.
	unreachableAfter = 2500 * time.Millisecond
	// takeoverDelay is L, the ownership lease, plus a margin of 10%.
	takeoverDelay = 6 * time.Second * 11 / 10
)

// owner is the owner of one cell. It plans, appends records and sends commands.
type owner struct {
	sim     *sim
	id      model.CellID
	dc      model.DataCentre
	st      *cell.State
	sched   *scheduler.Scheduler
	view    *control.View
	workers []*worker
	inbox   []cell.Record
	// inFlight holds the submitted records of the batch being appended, without the records of
	// the plan.
	inFlight    []cell.Record
	endsHandled map[external.AttemptRef]bool
	// submittedCheckpoints holds the last checkpoint of each attempt for which a record was
	// submitted.
	submittedCheckpoints map[external.AttemptRef]string
	appending            bool
	down                 bool
	deferredTick         time.Duration
	nextTick             time.Duration
}

// submit queues records for the next batch. Urgent records are appended earlier.
func (o *owner) submit(records ...cell.Record) {
	o.inbox = append(o.inbox, records...)
	if o.sched.Urgent(records) {
		o.tickAfter(urgentCommitDelay)
		return
	}
	o.tickAfter(groupCommitDelay)
}

// tickAfter schedules a tick after a delay unless one is due earlier.
func (o *owner) tickAfter(d time.Duration) {
	at := o.sim.now + d
	if o.nextTick > o.sim.now && o.nextTick <= at {
		return
	}
	o.nextTick = at
	o.sim.scheduleAt(at, func() {
		if o.nextTick == at {
			o.nextTick = 0
			o.tick()
		}
	})
}

// tick plans and appends the plan together with the queued records. While an append is in
// progress, the tick is deferred until it ends.
func (o *owner) tick() {
	if o.down {
		return
	}
	if o.appending {
		o.deferredTick = o.sim.now
		return
	}
	o.sched.SetCells(o.sim.summaries)
	p := o.sched.Plan(o.sim.currentTime(), o.view)
	o.sim.countPlan(p)
	o.inFlight, o.inbox = o.inbox, nil
	batch := append(slices.Clone(o.inFlight), p.Records...)
	o.sendUnrecorded(p)
	if len(batch) == 0 {
		o.tickAfter(p.Next)
		return
	}
	o.append(batch, p)
}

// sendUnrecorded sends the throttle and checkpoint commands of a plan, which need no record.
func (o *owner) sendUnrecorded(p scheduler.Plan) {
	for _, c := range p.Throttles {
		w := o.sim.workers[c.Worker]
		o.sim.scheduleAfter(commandDelay, func() { w.setThrottle(c.AttemptRef, c.Percent) })
	}
	for _, c := range p.Checkpoints {
		w := o.sim.workers[c.Worker]
		o.sim.scheduleAfter(commandDelay, func() {
			if r := w.findAttempt(c.AttemptRef); r != nil && w.up() && !r.stopping {
				w.takeCheckpoint(r)
			}
		})
	}
}

// append makes a batch durable. During a store outage it aborts the plan and keeps the
// submitted records for a later batch.
func (o *owner) append(batch []cell.Record, p scheduler.Plan) {
	o.appending = true
	st := o.st
	o.sim.scheduleAfter(storeWriteDelay, func() {
		o.appending = false
		if o.down || st != o.st {
			return
		}
		if o.sim.storeDown() {
			o.sched.Abort()
			o.inbox = append(o.inFlight, o.inbox...)
			o.inFlight = nil
			o.tickAfter(storeRetryDelay)
			return
		}
		urgent := o.sched.Urgent(o.inFlight)
		o.inFlight = nil
		o.applyBatch(batch)
		o.sched.Committed(p.Records, o.sim.currentTime())
		if o.deferredTick > 0 {
			o.deferredTick = 0
			o.tickAfter(urgentCommitDelay)
		}
		if urgent {
			o.tickAfter(0)
		}
		o.tickAfter(min(p.Next, groupCommitDelay))
	})
}

// applyBatch applies a durable batch and executes its effects.
func (o *owner) applyBatch(batch []cell.Record) {
	o.sim.checkGangs(o, batch)
	for _, r := range batch {
		if err := o.st.Apply(r); err != nil {
			o.sim.recordRefused(o, err)
			continue
		}
		o.applyEffect(r)
	}
}

func (o *owner) applyEffect(r cell.Record) {
	switch {
	case r.Placed != nil:
		o.sendStart(r.Placed)
	case r.Evicting != nil:
		o.sendCommand(r.Evicting.Task, (*worker).evict)
	case r.Cancelled != nil:
		o.stopCancelled(r.Cancelled.Job)
		o.sim.closeCancelled(o, r.Cancelled.Job)
	case r.Ended != nil:
		o.handleEnded(r.Ended)
	case r.TransferOut != nil:
		o.sendTransfer(r.TransferOut)
	case r.TransferIn != nil:
		o.confirmTransfer(r.TransferIn)
		o.sim.closeCancelled(o, r.TransferIn.Spec.Job)
	case r.TransferEnd != nil:
		o.forwardCancel(r.TransferEnd.Task)
	case r.Checkpoint != nil:
		o.sim.durableCheckpoints[r.Checkpoint.Task] = r.Checkpoint.Object
	case r.Unrunnable != nil:
		t, _ := o.st.Task(r.Unrunnable.Task)
		o.sim.recordUnrunnable(r.Unrunnable)
		o.sim.close(t)
	}
}

// sendStart sends the start command of a placement. When the data centre is out of service in
// the current view, the attempt ends without having run.
func (o *owner) sendStart(p *cell.Placed) {
	ref := external.AttemptRef{Task: p.Task, Attempt: p.Attempt}
	if o.view.IsOut(o.dc) {
		o.submit(cell.Record{Ended: &cell.Ended{Task: p.Task, Attempt: p.Attempt, Outcome: model.OutcomeNotRun}})
		return
	}
	t, _ := o.st.Task(p.Task)
	checkpoint := t.Checkpoint
	w := o.sim.workers[p.Worker]
	o.sim.placedAt[ref] = o.sim.now
	o.sim.scheduleAfter(commandDelay, func() { w.start(ref, o.sim.tasks[p.Task], checkpoint) })
}

func (o *owner) sendCommand(id model.TaskID, send func(*worker, external.AttemptRef)) {
	t, _ := o.st.Task(id)
	w, ref := o.sim.workers[t.Worker], t.Ref()
	o.sim.scheduleAfter(commandDelay, func() { send(w, ref) })
}

func (o *owner) stopCancelled(id model.JobID) {
	for _, t := range o.st.JobTasks(id) {
		if t.State == cell.TaskCancelling {
			o.sendCommand(t.Spec.ID, (*worker).stop)
		}
	}
}

func (o *owner) handleEnded(e *cell.Ended) {
	t, _ := o.st.Task(e.Task)
	ref := external.AttemptRef{Task: e.Task, Attempt: e.Attempt}
	delete(o.endsHandled, ref)
	delete(o.submittedCheckpoints, ref)
	if w := o.sim.workers[t.Worker]; w != nil {
		o.sim.scheduleAfter(commandDelay, func() { w.acknowledge(ref) })
	}
	o.sim.recordEnded(t, e)
}

// sendTransfer sends a transfer to the owner of the destination cell and repeats it until the
// destination has made it durable.
func (o *owner) sendTransfer(r *cell.TransferOut) {
	t, ok := o.st.Task(r.Task)
	if !ok || t.State != cell.TaskTransferring || t.To != r.To {
		return
	}
	in := cell.TransferIn{
		Spec: t.Spec, From: o.id, Attempts: t.Attempt, Failures: t.Failures, Checkpoint: t.Checkpoint,
		At: t.SubmittedAt, Hop: t.Hops, Group: t.Group, Cancelled: o.st.JobCancelled(t.Spec.Job),
	}
	to := o.sim.ownersByCell[r.To]
	o.sim.scheduleAfter(peerDelay, func() {
		if !to.down {
			to.submit(cell.Record{TransferIn: &in})
		}
	})
	o.sim.scheduleAfter(2*time.Second, func() { o.sendTransfer(r) })
}

// confirmTransfer tells the source cell that a transfer is durable in this cell.
func (o *owner) confirmTransfer(in *cell.TransferIn) {
	from := o.sim.ownersByCell[in.From]
	o.sim.scheduleAfter(peerDelay, func() {
		if t, ok := from.st.Task(in.Spec.ID); ok && t.State == cell.TaskTransferring && t.Hops == in.Hop {
			from.submit(cell.Record{TransferEnd: &cell.TransferEnd{Task: in.Spec.ID}})
		}
	})
}

// forwardCancel forwards a cancellation that arrived during the transfer to the destination
// cell.
func (o *owner) forwardCancel(id model.TaskID) {
	t, _ := o.st.Task(id)
	if o.st.JobCancelled(t.Spec.Job) {
		o.sim.ownersByCell[t.To].cancel(t.Spec.Job)
	}
}

func (o *owner) cancel(id model.JobID) {
	if _, known := o.st.Job(id); known {
		o.submit(cell.Record{Cancelled: &cell.Cancelled{Job: id}})
	}
}

// handleReport processes a worker report: samples, checkpoints, ended attempts, and attempts
// that the worker no longer runs.
func (o *owner) handleReport(w *worker, report external.WorkerReport) {
	w.lastContact = o.sim.now
	if o.down {
		return
	}
	o.sched.Observe(report, o.sim.currentTime())
	var fresh []external.EndedAttempt
	for _, e := range report.Ended {
		if !o.endsHandled[e.AttemptRef] {
			o.endsHandled[e.AttemptRef] = true
			if t, ok := o.st.Task(e.Task); !ok || t.Attempt != e.Attempt || !t.State.HoldsWorker() {
				w.acknowledge(e.AttemptRef)
			}
			fresh = append(fresh, e)
		}
	}
	records := o.sched.EndedRecords(w.ID, fresh, o.sim.currentTime())
	for _, r := range report.Running {
		t, ok := o.st.Task(r.Task)
		fresh := r.Checkpoint != "" && r.Checkpoint != o.submittedCheckpoints[r.AttemptRef]
		if ok && fresh && t.Attempt == r.Attempt && t.State.HoldsWorker() && r.Checkpoint != t.Checkpoint {
			o.submittedCheckpoints[r.AttemptRef] = r.Checkpoint
			records = append(records, cell.Record{Checkpoint: &cell.Checkpoint{Task: r.Task, Attempt: r.Attempt, Object: r.Checkpoint}})
		}
	}
	if w.reports%missingCheckReports == 0 {
		records = append(records, o.missingAttempts(w, report)...)
	}
	if len(records) > 0 {
		o.submit(records...)
	}
}

// missingAttempts returns end records for attempts that a worker has lost in a restart: the
// worker reports again, the start was sent at least 2 seconds ago, and the worker does not
// know the attempt.
func (o *owner) missingAttempts(w *worker, report external.WorkerReport) []cell.Record {
	var out []cell.Record
	for _, t := range o.st.LiveOn(w.ID) {
		ref := t.Ref()
		if o.endsHandled[ref] || w.findAttempt(ref) != nil || hasEnded(report, ref) || o.sim.now-o.sim.placedAt[ref] < 2*time.Second {
			continue
		}
		o.endsHandled[ref] = true
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

// checkWorkers runs once per second. It marks workers that have missed reports as unreachable,
// and ends the attempts of workers that have not reported for lostAfter.
func (o *owner) checkWorkers() {
	if o.down {
		return
	}
	var list []scheduler.Worker
	for _, w := range o.workers {
		silent := o.sim.now - w.lastContact
		state := w.Worker
		state.Unreachable = silent > unreachableAfter
		list = append(list, state)
		if silent > lostAfter {
			o.declareLost(w)
		}
	}
	o.sched.SetWorkers(list)
	o.tickAfter(0)
}

func (o *owner) declareLost(w *worker) {
	for _, t := range o.st.LiveOn(w.ID) {
		if ref := t.Ref(); !o.endsHandled[ref] {
			o.endsHandled[ref] = true
			o.submit(cell.Record{Ended: &cell.Ended{Task: t.Spec.ID, Attempt: t.Attempt, Outcome: model.OutcomeLost}})
		}
	}
}

// restart replaces the owner: the state is restored from a snapshot, and everything else in
// memory is lost. Callers and workers retry what was not durable.
func (o *owner) restart() {
	o.down, o.appending, o.deferredTick = true, false, 0
	lost := append(o.inFlight, o.inbox...)
	o.inFlight, o.inbox = nil, nil
	data, err := o.sched.MarshalEstimates()
	o.sim.recordError(err)
	o.st.SetAux(data)
	snapshot, err := o.st.MarshalSnapshot()
	o.sim.recordError(err)
	o.sim.scheduleAfter(takeoverDelay, func() {
		o.st = cell.NewState(o.id)
		o.sim.recordError(o.st.RestoreSnapshot(snapshot))
		o.sched = scheduler.New(o.sim.config, o.st)
		o.sim.recordError(o.sched.RestoreEstimates(o.st.Aux()))
		o.endsHandled, o.submittedCheckpoints = map[external.AttemptRef]bool{}, map[external.AttemptRef]string{}
		o.down = false
		o.recover(lost)
		o.checkWorkers()
	})
}

// recover submits the records that callers and peers would retry, and sends the commands
// again that may have been lost with the former owner.
func (o *owner) recover(lost []cell.Record) {
	for _, r := range lost {
		if r.Submitted != nil || r.Cancelled != nil || r.TransferIn != nil || r.TransferEnd != nil {
			o.submit(r)
		}
	}
	for _, t := range o.st.Live() {
		switch t.State {
		case cell.TaskEvicting:
			o.sendCommand(t.Spec.ID, (*worker).evict)
		case cell.TaskCancelling:
			o.sendCommand(t.Spec.ID, (*worker).stop)
		}
	}
	for _, tr := range o.st.Transfers() {
		o.sendTransfer(&cell.TransferOut{Task: tr.In.Spec.ID, To: tr.To, Group: tr.In.Group})
	}
}
