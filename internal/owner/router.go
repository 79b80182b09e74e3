package owner

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// Methods between nodes for cells.
const (
	MethodSubmit   = "cell.submit"
	MethodCancel   = "cell.cancel"
	MethodStatus   = "cell.status"
	MethodTransfer = "cell.transfer"
)

// SubmitParams are the parameters of cell.submit.
type SubmitParams struct {
	Cell model.CellID  `json:"cell"`
	Job  model.JobSpec `json:"job"`
}

// JobParams are the parameters of cell.cancel and cell.status.
type JobParams struct {
	Cell model.CellID `json:"cell"`
	Job  model.JobID  `json:"job"`
}

// TransferParams are the parameters of cell.transfer.
type TransferParams struct {
	Cell model.CellID    `json:"cell"`
	In   cell.TransferIn `json:"in"`
}

// Caller calls a method of a peer. Errors are *model.Error: KindUnavailable when
// the request was not sent, KindUnknown when it may have been carried out.
type Caller func(ctx context.Context, addr, method string, params, result any) error

// Router brings requests for a cell to its owner, here or on a peer.
type Router struct {
	// Cells are those of this node.
	Cells *Cells
	// Owner returns the last known owner of a cell.
	Owner func(id model.CellID) (ownership.OwnerInfo, bool)
	// Call reaches peers.
	Call Caller
	// Self is this node's id.
	Self model.NodeID
}

// remote returns the address of a cell's owner when it is a peer.
func (r *Router) remote(id model.CellID) (string, error) {
	info, ok := r.Owner(id)
	if !ok {
		return "", model.Errorf(model.KindUnavailable, "retry after the take-over", "cell %s has no owner at present", id)
	}
	if info.Node == r.Self {
		return "", model.Errorf(model.KindUnavailable, "retry in a moment", "cell %s is being recovered on this node", id)
	}
	return info.Addr, nil
}

// Submit makes a job durable in a cell. It is idempotent by job id.
func (r *Router) Submit(ctx context.Context, id model.CellID, job model.JobSpec) error {
	if local, ok := r.Cells.Local(id); ok {
		return local.Submit(ctx, job)
	}
	addr, err := r.remote(id)
	if err != nil {
		return err
	}
	return r.Call(ctx, addr, MethodSubmit, SubmitParams{id, job}, nil)
}

// Transfer makes a task of another cell durable in cell id.
func (r *Router) Transfer(ctx context.Context, id model.CellID, in cell.TransferIn) error {
	if local, ok := r.Cells.Local(id); ok {
		return local.AcceptTransfer(ctx, in)
	}
	addr, err := r.remote(id)
	if err != nil {
		return err
	}
	return r.Call(ctx, addr, MethodTransfer, TransferParams{id, in}, nil)
}

// CancelIn cancels a job in one cell.
func (r *Router) CancelIn(ctx context.Context, id model.CellID, job model.JobID) error {
	if local, ok := r.Cells.Local(id); ok {
		return local.Cancel(ctx, job)
	}
	addr, err := r.remote(id)
	if err != nil {
		return err
	}
	return r.Call(ctx, addr, MethodCancel, JobParams{id, job}, nil)
}

// statusIn returns the status of a job's tasks in one cell.
func (r *Router) statusIn(ctx context.Context, id model.CellID, job model.JobID) (cell.JobStatus, error) {
	if local, ok := r.Cells.Local(id); ok {
		return local.Status(ctx, job)
	}
	addr, err := r.remote(id)
	if err != nil {
		return cell.JobStatus{}, err
	}
	var status cell.JobStatus
	err = r.Call(ctx, addr, MethodStatus, JobParams{id, job}, &status)
	return status, err
}

// Cancel cancels a job in its home cell and wherever its tasks have moved. It is
// repeated by the caller after an error.
func (r *Router) Cancel(ctx context.Context, home model.CellID, job model.JobID) error {
	return r.visit(ctx, home, job, func(id model.CellID) error { return r.CancelIn(ctx, id, job) }, nil)
}

// Status returns the status of a job with each task as the cell that holds it
// reports it.
func (r *Router) Status(ctx context.Context, home model.CellID, job model.JobID) (cell.JobStatus, error) {
	merged := newMergedStatus(job)
	err := r.visit(ctx, home, job, nil, merged.add)
	return merged.result(), err
}

// StatusIn returns the status of a job whose home cell is not known, as while the
// store that holds its claim is down. It asks all of the given cells; an error of
// one is an error of the whole, because the answer would lack its tasks.
// KindNotFound means that none of them has the job.
func (r *Router) StatusIn(ctx context.Context, cells []model.CellID, job model.JobID) (cell.JobStatus, error) {
	merged := newMergedStatus(job)
	for _, id := range cells {
		status, err := r.statusIn(ctx, id, job)
		if model.IsKind(err, model.KindNotFound) {
			continue
		}
		if err != nil {
			return cell.JobStatus{}, err
		}
		merged.add(status)
	}
	if len(merged.at) == 0 {
		return cell.JobStatus{}, model.Errorf(model.KindNotFound, "check the job id", "no cell has job %q", job)
	}
	return merged.result(), nil
}

// mergedStatus combines what several cells report of one job.
type mergedStatus struct {
	status cell.JobStatus
	at     map[model.TaskID]int
}

func newMergedStatus(job model.JobID) *mergedStatus {
	return &mergedStatus{status: cell.JobStatus{Job: job}, at: map[model.TaskID]int{}}
}

// add takes over a cell's report. The cell that holds a task knows it better than
// those that it has left.
func (m *mergedStatus) add(s cell.JobStatus) {
	m.status.Cancelled = m.status.Cancelled || s.Cancelled
	for _, t := range s.Tasks {
		i, seen := m.at[t.Task]
		switch {
		case !seen:
			m.at[t.Task] = len(m.status.Tasks)
			m.status.Tasks = append(m.status.Tasks, t)
		case t.Cell == "":
			m.status.Tasks[i] = t
		}
	}
}

func (m *mergedStatus) result() cell.JobStatus {
	m.status.Ended = allEnded(m.status.Tasks)
	return m.status
}

// visit follows a job's tasks from cell to cell, each once. act is called before
// a cell's status is read, so that a task that moves away meanwhile is followed.
func (r *Router) visit(ctx context.Context, home model.CellID, job model.JobID, act func(model.CellID) error, collect func(cell.JobStatus)) error {
	pending, seen := []model.CellID{home}, map[model.CellID]bool{home: true}
	for len(pending) > 0 {
		id := pending[0]
		pending = pending[1:]
		if act != nil {
			if err := act(id); err != nil && !(id != home && model.IsKind(err, model.KindNotFound)) {
				return err
			}
		}
		status, err := r.statusIn(ctx, id, job)
		if err != nil {
			// A task on its way is not known at its destination yet.
			if id != home && model.IsKind(err, model.KindNotFound) {
				continue
			}
			return err
		}
		if collect != nil {
			collect(status)
		}
		for _, t := range status.Tasks {
			if t.Cell != "" && !seen[t.Cell] {
				seen[t.Cell] = true
				pending = append(pending, t.Cell)
			}
		}
	}
	return nil
}

// allEnded reports whether every task has reached a final state somewhere.
func allEnded(tasks []cell.TaskStatus) bool {
	for _, t := range tasks {
		switch t.State {
		case cell.TaskDone.String(), cell.TaskFailed.String(), cell.TaskCancelled.String(), cell.TaskUnrunnable.String():
		default:
			return false
		}
	}
	return len(tasks) > 0
}
