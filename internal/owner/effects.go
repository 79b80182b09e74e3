package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/dispatch"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// processEvents converts dispatch events into records.
func (r *Runtime) processEvents(now time.Time) {
	for _, u := range r.unsentStarts {
		r.recordEnd(u.worker, u.ended, now)
	}
	r.unsentStarts = nil
	for _, e := range r.disp.Events() {
		switch e.Kind {
		case dispatch.EventEnded:
			r.recordEnd(e.Worker, e.Ended, now)
		case dispatch.EventLost:
			r.sched.NoteUnreachable(e.Worker, e.Ref.Task, now)
			r.recordEnd(e.Worker, e.Ended, now)
		case dispatch.EventRejected:
			if e.Reason == dispatch.ReasonUnreachable {
				r.sched.NoteUnreachable(e.Worker, e.Ref.Task, now)
			}
			r.recordEnd(e.Worker, external.EndedAttempt{AttemptRef: e.Ref, Outcome: model.OutcomeNotRun, Error: e.Reason}, now)
		case dispatch.EventCheckpointed:
			r.recordCheckpoint(e)
		case dispatch.EventAdopted, dispatch.EventReport:
			r.sched.Observe(external.WorkerReport{Worker: e.Worker, Running: e.Running, Services: e.Services}, now)
		case dispatch.EventFenced:
			r.log.WithField("reason", e.Reason).Warn("a worker reported a newer owner of the cell")
		}
	}
}

// recordEnd records the end of an attempt. If the attempt is not the live one, its end
// is already durable and the report is a duplicate, which is only acknowledged.
func (r *Runtime) recordEnd(worker model.WorkerID, ended external.EndedAttempt, now time.Time) {
	records := r.sched.EndedRecords(worker, []external.EndedAttempt{ended}, now)
	for _, rec := range records {
		if err := r.apply(rec); err != nil {
			r.log.WithError(err).Warn("the cell state rejected the record of an ended attempt")
		}
	}
	r.onDurable(func() { r.disp.Ack(ended.AttemptRef) })
	if len(records) > 0 {
		r.onDurable(func() { r.logEnd(worker, ended) })
	}
}

// logEnd logs how an attempt ended.
func (r *Runtime) logEnd(worker model.WorkerID, ended external.EndedAttempt) {
	r.cfg.Decisions.LogDecision(telemetry.Decision{
		Kind: telemetry.KindEnd, Subject: string(ended.Task), Choice: string(worker), Reason: string(ended.Outcome),
		Fields: logrus.Fields{"cell": string(r.id), "attempt": uint32(ended.Attempt)},
	})
}

func (r *Runtime) recordCheckpoint(e dispatch.Event) {
	task, ok := r.state.Task(e.Ref.Task)
	if !ok || task.Attempt != e.Ref.Attempt || task.Checkpoint == e.Checkpoint {
		return
	}
	rec := cell.Record{Checkpoint: &cell.Checkpoint{Task: e.Ref.Task, Attempt: e.Ref.Attempt, Object: e.Checkpoint}}
	if err := r.apply(rec); err != nil {
		r.log.WithError(err).Debug("checkpoint of an earlier attempt ignored")
	}
}

// performEffects performs the effects of the durable batch and starts a new batch.
func (r *Runtime) performEffects(plan scheduler.Plan) {
	for _, rec := range r.batch {
		r.sendToWorker(rec)
	}
	for _, t := range plan.Throttles {
		r.disp.Throttle(t.AttemptRef, t.Percent)
	}
	for _, c := range plan.Checkpoints {
		r.disp.Checkpoint(c.AttemptRef)
	}
	for _, d := range plan.Decisions {
		r.cfg.Decisions.LogDecision(d)
	}
	for _, f := range r.effects {
		f()
	}
	r.batch, r.effects, r.urgent = nil, nil, false
}

// sendToWorker passes the operation that a durable record requires to the dispatcher.
// Later records of the batch may have changed the state, so the state is checked again.
func (r *Runtime) sendToWorker(rec cell.Record) {
	switch {
	case rec.Placed != nil:
		r.sendStart(rec.Placed)
	case rec.Evicting != nil:
		r.disp.Evict(external.AttemptRef{Task: rec.Evicting.Task, Attempt: rec.Evicting.Attempt})
	case rec.Cancelled != nil:
		r.stopCancelled(rec.Cancelled.Job)
	}
}

func (r *Runtime) sendStart(p *cell.Placed) {
	task, ok := r.state.Task(p.Task)
	if !ok || task.Attempt != p.Attempt || !task.State.HoldsWorker() {
		return
	}
	ref := external.AttemptRef{Task: p.Task, Attempt: p.Attempt}
	err := r.disp.Start(p.Worker, external.Start{
		AttemptRef: ref, Class: task.Spec.Class, Resources: task.Spec.Resources,
		Lease: r.cfg.Dispatch.TaskLease, Checkpoint: task.Checkpoint, Payload: task.Spec.Payload,
	})
	if err == nil {
		return
	}
	// The worker was removed from the host list between plan and append. The next
	// iteration records that the attempt was never sent.
	r.log.WithError(err).WithField("task", string(p.Task)).Warn("start not sent")
	r.addUnsentStart(p.Worker, ref, err)
}

// unsentStart is a durable placement that was not sent to its worker.
type unsentStart struct {
	worker model.WorkerID
	ended  external.EndedAttempt
}

// addUnsentStart saves an attempt that was never sent, whose end the next iteration records.
func (r *Runtime) addUnsentStart(worker model.WorkerID, ref external.AttemptRef, cause error) {
	ended := external.EndedAttempt{AttemptRef: ref, Outcome: model.OutcomeNotRun, Error: cause.Error()}
	r.unsentStarts = append(r.unsentStarts, unsentStart{worker: worker, ended: ended})
}

func (r *Runtime) stopCancelled(id model.JobID) {
	for _, task := range r.state.JobTasks(id) {
		if task.State == cell.TaskCancelling {
			r.disp.Stop(task.Ref())
		}
	}
}

// sendTransfers transfers queued tasks to the owners of other cells. Each transfer runs
// in its own goroutine and reports completion through the request channel.
func (r *Runtime) sendTransfers(ctx context.Context) {
	for _, t := range r.state.Transfers() {
		if len(r.transfersInFlight) >= maxTransfersInFlight {
			return
		}
		if r.transfersInFlight[t.In.Spec.ID] {
			continue
		}
		r.transfersInFlight[t.In.Spec.ID] = true
		go r.sendTransfer(ctx, t)
	}
}

const (
	// maxTransfersInFlight limits the concurrent calls to other owners.
	maxTransfersInFlight = 16
	// transferTimeout is the timeout of one call to another owner.
	transferTimeout = 5 * time.Second
	// transferRetry is the delay between calls for the same task.
	transferRetry = 500 * time.Millisecond
)

// sendTransfer retries the call until the destination has made the task durable. The
// destination detects duplicates by task and hop.
func (r *Runtime) sendTransfer(ctx context.Context, t cell.Transfer) {
	for {
		call, cancel := context.WithTimeout(ctx, transferTimeout)
		err := r.cfg.Transfer(call, t.To, t.In)
		cancel()
		if err == nil {
			break
		}
		r.log.WithError(err).WithField("task", string(t.In.Spec.ID)).Debug("transfer not confirmed yet")
		select {
		case <-ctx.Done():
			return
		case <-time.After(transferRetry):
		}
	}
	select {
	case r.requests <- request{transferred: t.In.Spec.ID}:
	case <-r.done:
	}
}

// forwardCancel cancels a task's job at its destination if the job was cancelled here
// during the transfer of the task, which may have been sent before the cancellation.
func (r *Runtime) forwardCancel(id model.TaskID) {
	task, ok := r.state.Task(id)
	if !ok || !r.state.JobCancelled(task.Spec.Job) {
		return
	}
	to, job := task.To, task.Spec.Job
	r.onDurable(func() { go r.cancelAtDestination(to, job) })
}

// cancelAtDestination retries the cancellation until the destination has made it
// durable or this ownership ends.
func (r *Runtime) cancelAtDestination(to model.CellID, job model.JobID) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		err := r.cfg.CancelIn(ctx, to, job)
		cancel()
		if err == nil || model.IsKind(err, model.KindNotFound) {
			return
		}
		r.log.WithError(err).WithField("job", string(job)).Debug("cancellation not confirmed yet")
		select {
		case <-r.done:
			return
		case <-time.After(transferRetry):
		}
	}
}

// maybeSnapshot saves a snapshot in the background once SnapshotRecords records were
// appended. The state is encoded synchronously, while no append is in flight.
func (r *Runtime) maybeSnapshot(ctx context.Context) {
	select {
	case err := <-r.snapshotResult:
		r.snapshotResult = nil
		if err != nil {
			r.log.WithError(err).Warn("snapshot not saved; the next one is saved after more records")
		}
	default:
	}
	if r.snapshotResult != nil || r.sinceSnapshot < r.cfg.SnapshotRecords {
		return
	}
	if estimates, err := r.sched.MarshalEstimates(); err == nil {
		r.state.SetAux(estimates)
	}
	data, err := r.state.MarshalSnapshot()
	if err != nil {
		r.log.WithError(err).Error("snapshot could not be encoded")
		return
	}
	seq, result := r.journal.LastSequence(), make(chan error, 1)
	r.snapshotResult, r.sinceSnapshot = result, 0
	go func() { result <- r.journal.SaveSnapshotAt(ctx, seq, data) }()
}
