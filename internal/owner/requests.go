package owner

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// request is a message to the goroutine of a cell. Reply is buffered, so that
// the goroutine never waits for the sender.
type request struct {
	submit   *model.JobSpec
	cancel   model.JobID
	transfer *cell.TransferIn
	// transferred is the id of a task that its destination has made durable.
	transferred model.TaskID
	reply       chan answer
}

// answer is the result of a request, sent once its records are durable. The job
// is set for a status request only.
type answer struct {
	job cell.JobStatus
	err error
}

// statusRequest asks for the durable status of a job. Reply is buffered.
type statusRequest struct {
	job   model.JobID
	reply chan answer
}

// ask sends req and waits for the answer. Once req is queued, a cancelled
// context leaves its effect unknown.
func (r *Runtime) ask(ctx context.Context, req request) error {
	req.reply = make(chan answer, 1)
	select {
	case r.requests <- req:
	case <-r.done:
		return r.notOwner()
	case <-ctx.Done():
		return model.Wrap(model.KindUnavailable, ctx.Err(), "retry; the cell is busy or the store is slow", "request to cell %s was not accepted in time", r.id)
	}
	select {
	case a := <-req.reply:
		return a.err
	case <-r.done:
		return model.Errorf(model.KindUnknown, "repeat the request; it is idempotent", "ownership of cell %s ended during the request", r.id)
	case <-ctx.Done():
		return model.Wrap(model.KindUnknown, ctx.Err(), "repeat the request; it is idempotent", "request to cell %s was not durable in time", r.id)
	}
}

func (r *Runtime) notOwner() error {
	return model.Errorf(model.KindFenced, "ask the cell's current owner", "this node does not own cell %s", r.id)
}

// Submit makes a job durable. It is idempotent by job id.
func (r *Runtime) Submit(ctx context.Context, job model.JobSpec) error {
	return r.ask(ctx, request{submit: &job})
}

// Cancel makes the cancellation of a job durable.
func (r *Runtime) Cancel(ctx context.Context, id model.JobID) error {
	return r.ask(ctx, request{cancel: id})
}

// Status returns the durable status of a job. KindNotFound means that the cell
// does not know it. It is answered while an append is in flight as well, as a
// store outage may block one for long.
func (r *Runtime) Status(ctx context.Context, id model.JobID) (cell.JobStatus, error) {
	req := statusRequest{job: id, reply: make(chan answer, 1)}
	select {
	case r.statuses <- req:
	case <-r.done:
		return cell.JobStatus{}, r.notOwner()
	case <-ctx.Done():
		return cell.JobStatus{}, model.Wrap(model.KindUnavailable, ctx.Err(), "retry; the cell is busy", "status of job %s in cell %s", id, r.id)
	}
	a := <-req.reply // the goroutine answers at once what it has received
	return a.job, a.err
}

// answerStatus answers from what is durable.
func (r *Runtime) answerStatus(req statusRequest) {
	job, ok := r.durable.job(r.state, req.job)
	if !ok {
		err := model.Errorf(model.KindNotFound, "check the job id", "cell %s has no job %q", r.id, req.job)
		req.reply <- answer{err: err}
		return
	}
	req.reply <- answer{job: job}
}

// AcceptTransfer makes a task of another cell durable here.
func (r *Runtime) AcceptTransfer(ctx context.Context, in cell.TransferIn) error {
	return r.ask(ctx, request{transfer: &in})
}

// take turns a request into records and notes the reply for after the append.
func (r *Runtime) take(req request, now time.Time) {
	var err error
	switch {
	case req.submit != nil:
		err = r.apply(cell.Record{Submitted: &cell.Submitted{Job: *req.submit, At: now.UnixMilli()}})
		r.urgent = r.urgent || wantsUrgent(*req.submit)
	case req.cancel != "":
		err = r.takeCancel(req.cancel)
	case req.transfer != nil:
		err = r.apply(cell.Record{TransferIn: req.transfer})
	case req.transferred != "":
		err = r.apply(cell.Record{TransferEnd: &cell.TransferEnd{Task: req.transferred}})
		delete(r.sending, req.transferred)
		r.followCancel(req.transferred)
	}
	if req.reply == nil {
		return
	}
	r.after(func() { req.reply <- answer{err: err} })
}

// takeCancel skips the record for a job that was cancelled or has ended, so that
// repeated cancellations cost nothing.
func (r *Runtime) takeCancel(id model.JobID) error {
	job, ok := r.state.Job(id)
	if ok && (job.Cancelled || job.Ended) {
		return nil
	}
	return r.apply(cell.Record{Cancelled: &cell.Cancelled{Job: id}})
}

func wantsUrgent(job model.JobSpec) bool {
	return len(job.Tasks) > 0 && job.Tasks[0].Urgency >= model.UrgencyUrgent
}
