package node

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/owner"
	"github.com/vanillapier/vanillapier/internal/request"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// orders routes callers' batch jobs to the owners of their cells. It implements request.Orders.
type orders struct {
	router *owner.Router
	view   func() *control.View
	cells  func() []scheduler.CellSummary

	mu sync.Mutex
	// avoidUntil is until when new jobs are sent to other cells.
	avoidUntil map[model.CellID]time.Time
}

// avoidDuration is how long new jobs are sent to other cells after the owner of a cell could
// not be reached. Taking over a cell takes longer; the next failed submission extends the time.
const avoidDuration = 2 * time.Second

// Submit makes the job durable in its cell.
func (o *orders) Submit(ctx context.Context, id model.CellID, job model.JobSpec) error {
	err := o.router.Submit(ctx, id, job)
	if model.IsKind(err, model.KindUnavailable) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.avoidUntil[id] = time.Now().Add(avoidDuration)
	}
	return err
}

// reachable returns the cells whose owners have not failed recently, or all cells if every
// owner has.
func (o *orders) reachable(cells []model.CellID) []model.CellID {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	var out []model.CellID
	for _, id := range cells {
		if now.After(o.avoidUntil[id]) {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return cells
	}
	return out
}

// Cancel cancels a job, including tasks that were transferred to other cells.
func (o *orders) Cancel(ctx context.Context, id model.CellID, job model.JobID) error {
	return o.router.Cancel(ctx, id, job)
}

// Status returns the progress of a job. If id is empty, it asks all cells.
func (o *orders) Status(ctx context.Context, id model.CellID, job model.JobID) (request.OrderStatus, error) {
	var status cell.JobStatus
	var err error
	if id == "" {
		status, err = o.router.StatusIn(ctx, owner.CellsOf(o.view()), job)
	} else {
		status, err = o.router.Status(ctx, id, job)
	}
	if err != nil {
		return request.OrderStatus{}, err
	}
	return orderStatus(id, status), nil
}

// orderStatus derives the status of an order from the states of the job's tasks.
func orderStatus(id model.CellID, status cell.JobStatus) request.OrderStatus {
	out := request.OrderStatus{Job: status.Job, Cell: id, Tasks: len(status.Tasks), Results: map[model.TaskID]string{}}
	count := map[string]int{}
	for _, t := range status.Tasks {
		count[t.State]++
		if t.State == cell.TaskDone.String() {
			out.Done++
			out.Results[t.Task] = t.Result
		}
		if out.Reason == "" && (t.State == cell.TaskFailed.String() || t.State == cell.TaskUnrunnable.String()) {
			out.Reason = t.Error + t.Reason
		}
	}
	out.State = jobState(status, count)
	return out
}

// jobState returns the state of a job. count holds the number of its tasks in each state.
func jobState(status cell.JobStatus, count map[string]int) string {
	running := count[cell.TaskLive.String()] + count[cell.TaskEvicting.String()] + count[cell.TaskCancelling.String()]
	switch {
	case !status.Ended && (running > 0 || count[cell.TaskDone.String()] > 0):
		return "running"
	case !status.Ended:
		return "queued"
	case count[cell.TaskUnrunnable.String()] > 0:
		return "never"
	case count[cell.TaskFailed.String()] > 0:
		return "failed"
	case count[cell.TaskCancelled.String()] > 0:
		return "cancelled"
	}
	return "done"
}

// HomeCell chooses the cell for a new job. The hash of the job's id selects two candidates, of
// which the one with more free CPU is chosen. Two random choices keep nodes with the same
// summaries from sending every job to the same cell. Candidates are the cells in service whose
// owners are reachable and whose largest worker fits the job's tasks; each of the last two
// conditions is ignored if no cell meets it.
func (o *orders) HomeCell(job model.JobSpec) (model.CellID, error) {
	view := o.view()
	var candidates []model.CellID
	for _, id := range owner.CellsOf(view) {
		if !view.IsOut(owner.DataCentreOf(id)) {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 {
		return "", model.Errorf(model.KindUnavailable, "return a data centre to service", "no data centre is in service")
	}
	candidates = o.reachable(candidates)
	summaries := map[model.CellID]scheduler.CellSummary{}
	for _, s := range o.cells() {
		summaries[s.ID] = s
	}
	if fit := fittingCells(candidates, summaries, job); len(fit) > 0 {
		candidates = fit
	}
	first, second := twoChoices(string(job.ID), len(candidates))
	if summaries[candidates[second]].Free.MilliCPU > summaries[candidates[first]].Free.MilliCPU {
		return candidates[second], nil
	}
	return candidates[first], nil
}

// fittingCells returns the cells whose largest worker fits every task of the job. Cells without
// a summary are included.
func fittingCells(cells []model.CellID, summaries map[model.CellID]scheduler.CellSummary, job model.JobSpec) []model.CellID {
	var fit []model.CellID
	for _, id := range cells {
		s, ok := summaries[id]
		if !ok || allFit(job, s.Largest) {
			fit = append(fit, id)
		}
	}
	return fit
}

func allFit(job model.JobSpec, largest model.Resources) bool {
	for _, t := range job.Tasks {
		if !t.Resources.Fits(largest) {
			return false
		}
	}
	return true
}

// twoChoices derives two indexes below n from the hash of a job id.
func twoChoices(id string, n int) (first, second int) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	sum := h.Sum64()
	return int(sum % uint64(n)), int(sum >> 32 % uint64(n))
}
