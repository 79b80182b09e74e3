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

// takeEvents turns what workers reported into records.
func (r *Runtime) takeEvents(now time.Time) {
	for _, u := range r.unsent {
		r.takeEnd(u.worker, u.ended, now)
	}
	r.unsent = nil
	for _, e := range r.disp.Events() {
		switch e.Kind {
		case dispatch.EventEnded:
			r.takeEnd(e.Worker, e.Ended, now)
		case dispatch.EventLost:
			r.sched.NoteUnreachable(e.Worker, e.Ref.Task, now)
			r.takeEnd(e.Worker, e.Ended, now)
		case dispatch.EventRejected:
			if e.Reason == dispatch.ReasonUnreachable {
				r.sched.NoteUnreachable(e.Worker, e.Ref.Task, now)
			}
			r.takeEnd(e.Worker, external.EndedAttempt{AttemptRef: e.Ref, Outcome: model.OutcomeNotRun, Error: e.Reason}, now)
		case dispatch.EventCheckpointed:
			r.takeCheckpoint(e)
		case dispatch.EventAdopted, dispatch.EventReport:
			r.sched.Observe(external.WorkerReport{Worker: e.Worker, Running: e.Running, Services: e.Services}, now)
		case dispatch.EventFenced:
			r.log.WithField("reason", e.Reason).Warn("a worker knows a newer owner")
		}
	}
}

// takeEnd records the end of an attempt. An end that is not the live attempt's
// is a repetition of one that is durable already, and is acknowledged at once.
func (r *Runtime) takeEnd(worker model.WorkerID, ended external.EndedAttempt, now time.Time) {
	records := r.sched.EndedRecords(worker, []external.EndedAttempt{ended}, now)
	for _, rec := range records {
		if err := r.apply(rec); err != nil {
			r.log.WithError(err).Warn("the state refused the end of an attempt")
		}
	}
	r.after(func() { r.disp.Ack(ended.AttemptRef) })
	if len(records) > 0 {
		r.after(func() { r.logEnd(worker, ended) })
	}
}

// logEnd writes the line that tells how an attempt ended.
func (r *Runtime) logEnd(worker model.WorkerID, ended external.EndedAttempt) {
	r.cfg.Decisions.LogDecision(telemetry.Decision{
		Kind: telemetry.KindEnd, Subject: string(ended.Task), Choice: string(worker), Reason: string(ended.Outcome),
		Fields: logrus.Fields{"cell": string(r.id), "attempt": uint32(ended.Attempt)},
	})
}

func (r *Runtime) takeCheckpoint(e dispatch.Event) {
	task, ok := r.state.Task(e.Ref.Task)
	if !ok || task.Attempt != e.Ref.Attempt || task.Checkpoint == e.Checkpoint {
		return
	}
	rec := cell.Record{Checkpoint: &cell.Checkpoint{Task: e.Ref.Task, Attempt: e.Ref.Attempt, Object: e.Checkpoint}}
	if err := r.apply(rec); err != nil {
		r.log.WithError(err).Debug("checkpoint of a former attempt ignored")
	}
}

// carryOut performs the effects of the durable batch and starts a new one.
func (r *Runtime) carryOut(plan scheduler.Plan) {
	for _, rec := range r.batch {
		r.command(rec)
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

// command sends what a durable record asks of a worker. The state may have moved
// on within the batch, so it is consulted again.
func (r *Runtime) command(rec cell.Record) {
	switch {
	case rec.Placed != nil:
		r.start(rec.Placed)
	case rec.Evicting != nil:
		r.disp.Evict(external.AttemptRef{Task: rec.Evicting.Task, Attempt: rec.Evicting.Attempt})
	case rec.Cancelled != nil:
		r.stopCancelled(rec.Cancelled.Job)
	}
}

func (r *Runtime) start(p *cell.Placed) {
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
	// The worker left the host list between plan and append; the attempt was
	// never sent, which the next iteration records.
	r.log.WithError(err).WithField("task", string(p.Task)).Warn("start not sent")
	r.requeue(p.Worker, ref, err)
}

// unsentStart is a durable placement that no worker was told of.
type unsentStart struct {
	worker model.WorkerID
	ended  external.EndedAttempt
}

// requeue records that an attempt was never sent.
func (r *Runtime) requeue(worker model.WorkerID, ref external.AttemptRef, cause error) {
	ended := external.EndedAttempt{AttemptRef: ref, Outcome: model.OutcomeNotRun, Error: cause.Error()}
	r.unsent = append(r.unsent, unsentStart{worker: worker, ended: ended})
}

func (r *Runtime) stopCancelled(id model.JobID) {
	for _, task := range r.state.JobTasks(id) {
		if task.State == cell.TaskCancelling {
			r.disp.Stop(task.Ref())
		}
	}
}

// sendTransfers hands queued tasks to the owners of other cells. Each runs in a
// goroutine of its own and reports back through the request channel.
func (r *Runtime) sendTransfers(ctx context.Context) {
	for _, t := range r.state.Transfers() {
		if len(r.sending) >= maxTransfersInFlight {
			return
		}
		if r.sending[t.In.Spec.ID] {
			continue
		}
		r.sending[t.In.Spec.ID] = true
		go r.sendTransfer(ctx, t)
	}
}

const (
	// maxTransfersInFlight bounds the concurrent calls to other owners.
	maxTransfersInFlight = 16
	// transferTimeout bounds one call to another owner.
	transferTimeout = 5 * time.Second
	// transferRetry is the wait between calls for the same task.
	transferRetry = 500 * time.Millisecond
)

// sendTransfer repeats the call until the destination has made the task durable.
// The destination recognises repetitions by task and hop.
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

// followCancel cancels a task's job at its destination when the job was cancelled
// here while the task was on its way: the transfer may have been sent before.
func (r *Runtime) followCancel(id model.TaskID) {
	task, ok := r.state.Task(id)
	if !ok || !r.state.JobCancelled(task.Spec.Job) {
		return
	}
	to, job := task.To, task.Spec.Job
	r.after(func() { go r.cancelElsewhere(to, job) })
}

// cancelElsewhere repeats the cancellation until the destination has made it
// durable or this ownership ends.
func (r *Runtime) cancelElsewhere(to model.CellID, job model.JobID) {
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

// maybeSnapshot saves a snapshot in the background after enough records. The
// state is encoded here, where no append is in flight.
func (r *Runtime) maybeSnapshot(ctx context.Context) {
	select {
	case err := <-r.saving:
		r.saving = nil
		if err != nil {
			r.log.WithError(err).Warn("snapshot not saved; it is tried again later")
		}
	default:
	}
	if r.saving != nil || r.sinceSnapshot < r.cfg.SnapshotRecords {
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
	r.saving, r.sinceSnapshot = result, 0
	go func() { result <- r.journal.SaveSnapshotAt(ctx, seq, data) }()
}
