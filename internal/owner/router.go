package owner

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// RPC methods between nodes for cells.
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

// CallFunc calls a method of a peer. Errors are *model.Error: KindUnavailable if the
// request was not sent, KindUnknown if the peer may have executed it.
type CallFunc func(ctx context.Context, addr, method string, params, result any) error

// Router routes requests for a cell to its owner, which is this node or a peer.
type Router struct {
	// Cells holds the cells that this node owns.
	Cells *Cells
	// Owner returns the last known owner of a cell.
	Owner func(id model.CellID) (ownership.OwnerInfo, bool)
	// Call calls a method of a peer.
	Call CallFunc
	// Self is this node's id.
	Self model.NodeID
}

// ownerAddr returns the address of a cell's owner. It returns an error if the cell has
// no owner or is still being recovered on this node.
func (r *Router) ownerAddr(id model.CellID) (string, error) {
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
	addr, err := r.ownerAddr(id)
	if err != nil {
		return err
	}
	return r.Call(ctx, addr, MethodSubmit, SubmitParams{id, job}, nil)
}

// Transfer makes a task that is transferred from another cell durable in cell id.
func (r *Router) Transfer(ctx context.Context, id model.CellID, in cell.TransferIn) error {
	if local, ok := r.Cells.Local(id); ok {
		return local.AcceptTransfer(ctx, in)
	}
	addr, err := r.ownerAddr(id)
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
	addr, err := r.ownerAddr(id)
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
	addr, err := r.ownerAddr(id)
	if err != nil {
		return cell.JobStatus{}, err
	}
	var status cell.JobStatus
	err = r.Call(ctx, addr, MethodStatus, JobParams{id, job}, &status)
	return status, err
}

// Cancel cancels a job in its home cell and in the cells to which its tasks were
// transferred. The caller must retry after an error.
func (r *Router) Cancel(ctx context.Context, home model.CellID, job model.JobID) error {
	return r.visitCells(ctx, home, job, func(id model.CellID) error { return r.CancelIn(ctx, id, job) }, nil)
}

// Status returns the status of a job. Each task has the status reported by the cell
// that holds it.
func (r *Router) Status(ctx context.Context, home model.CellID, job model.JobID) (cell.JobStatus, error) {
	merged := newMergedStatus(job)
	err := r.visitCells(ctx, home, job, nil, merged.add)
	return merged.result(), err
}

// StatusIn returns the status of a job whose home cell is not known, for example while
// the store that holds the job's claim is unavailable. It queries all given cells and
// fails if one of them fails, because the result would lack its tasks. It returns
// KindNotFound if none of the cells has the job.
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
	if len(merged.index) == 0 {
		return cell.JobStatus{}, model.Errorf(model.KindNotFound, "check the job id", "no cell has job %q", job)
	}
	return merged.result(), nil
}

// mergedStatus combines the status of one job from several cells.
type mergedStatus struct {
	status cell.JobStatus
	index  map[model.TaskID]int
}

func newMergedStatus(job model.JobID) *mergedStatus {
	return &mergedStatus{status: cell.JobStatus{Job: job}, index: map[model.TaskID]int{}}
}

// add merges the status reported by one cell. The status from the cell that holds a task
// takes precedence over that from cells which transferred it away.
func (m *mergedStatus) add(s cell.JobStatus) {
	m.status.Cancelled = m.status.Cancelled || s.Cancelled
	for _, t := range s.Tasks {
		i, seen := m.index[t.Task]
		switch {
		case !seen:
			m.index[t.Task] = len(m.status.Tasks)
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

// visitCells follows a job's tasks from cell to cell and visits each cell once. It calls
// act before it reads a cell's status, so that tasks which are transferred meanwhile are
// followed.
func (r *Router) visitCells(ctx context.Context, home model.CellID, job model.JobID, act func(model.CellID) error, collect func(cell.JobStatus)) error {
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
			// The destination does not know a task whose transfer is in flight.
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

// allEnded reports whether there are tasks and all of them are in a final state.
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
