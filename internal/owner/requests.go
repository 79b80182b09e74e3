package owner

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// request is a message to the goroutine of a cell. The reply channel is buffered, so
// that the goroutine never blocks on the sender.
type request struct {
	submit   *model.JobSpec
	cancel   model.JobID
	transfer *cell.TransferIn
	// transferred is the id of a task whose transfer is durable at its destination.
	transferred model.TaskID
	reply       chan response
}

// response is the result of a request, sent once its records are durable. job is set
// for status requests only.
type response struct {
	job cell.JobStatus
	err error
}

// statusRequest requests the durable status of a job. The reply channel is buffered.
type statusRequest struct {
	job   model.JobID
	reply chan response
}

// call sends req and waits for the response. If ctx is cancelled after req was queued,
// it is unknown whether req takes effect.
func (r *Runtime) call(ctx context.Context, req request) error {
	req.reply = make(chan response, 1)
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
	return r.call(ctx, request{submit: &job})
}

// Cancel makes the cancellation of a job durable.
func (r *Runtime) Cancel(ctx context.Context, id model.JobID) error {
	return r.call(ctx, request{cancel: id})
}

// Status returns the durable status of a job, or KindNotFound if the cell does not have
// the job. It also works while an append is in flight, because a store outage may block
// an append for a long time.
func (r *Runtime) Status(ctx context.Context, id model.JobID) (cell.JobStatus, error) {
	req := statusRequest{job: id, reply: make(chan response, 1)}
	select {
	case r.statusRequests <- req:
	case <-r.done:
		return cell.JobStatus{}, r.notOwner()
	case <-ctx.Done():
		return cell.JobStatus{}, model.Wrap(model.KindUnavailable, ctx.Err(), "retry; the cell is busy", "status of job %s in cell %s", id, r.id)
	}
	a := <-req.reply // the goroutine responds immediately to a received request
	return a.job, a.err
}

// respondStatus responds with the durable status of a job.
func (r *Runtime) respondStatus(req statusRequest) {
	job, ok := r.durable.job(r.state, req.job)
	if !ok {
		err := model.Errorf(model.KindNotFound, "check the job id", "cell %s has no job %q", r.id, req.job)
		req.reply <- response{err: err}
		return
	}
	req.reply <- response{job: job}
}

// AcceptTransfer makes a task that is transferred from another cell durable here.
func (r *Runtime) AcceptTransfer(ctx context.Context, in cell.TransferIn) error {
	return r.call(ctx, request{transfer: &in})
}

// handleRequest converts a request into records. The response is sent once they are
// durable.
func (r *Runtime) handleRequest(req request, now time.Time) {
	var err error
	switch {
	case req.submit != nil:
		err = r.apply(cell.Record{Submitted: &cell.Submitted{Job: *req.submit, At: now.UnixMilli()}})
		r.urgent = r.urgent || isUrgent(*req.submit)
	case req.cancel != "":
		err = r.handleCancel(req.cancel)
	case req.transfer != nil:
		err = r.apply(cell.Record{TransferIn: req.transfer})
	case req.transferred != "":
		err = r.apply(cell.Record{TransferEnd: &cell.TransferEnd{Task: req.transferred}})
		delete(r.transfersInFlight, req.transferred)
		r.forwardCancel(req.transferred)
	}
	if req.reply == nil {
		return
	}
	r.onDurable(func() { req.reply <- response{err: err} })
}

// handleCancel records a cancellation, unless the job is already cancelled or has ended,
// so that repeated cancellations append no records.
func (r *Runtime) handleCancel(id model.JobID) error {
	job, ok := r.state.Job(id)
	if ok && (job.Cancelled || job.Ended) {
		return nil
	}
	return r.apply(cell.Record{Cancelled: &cell.Cancelled{Job: id}})
}

func isUrgent(job model.JobSpec) bool {
	return len(job.Tasks) > 0 && job.Tasks[0].Urgency >= model.UrgencyUrgent
}
