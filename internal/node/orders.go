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

// orders brings callers' batch jobs to the owners of their cells. It implements
// request.Orders.
type orders struct {
	router *owner.Router
	view   func() *control.View
	cells  func() []scheduler.CellSummary

	mu sync.Mutex
	// avoid holds the time until which new jobs go to other cells.
	avoid map[model.CellID]time.Time
}

// avoidFor is how long new jobs go to other cells after the owner of one could
// not be reached. A take-over lasts longer; the next failure renews the mark.
const avoidFor = 2 * time.Second

// Submit makes the job durable in its cell.
func (o *orders) Submit(ctx context.Context, id model.CellID, job model.JobSpec) error {
	err := o.router.Submit(ctx, id, job)
	if model.IsKind(err, model.KindUnavailable) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.avoid[id] = time.Now().Add(avoidFor)
	}
	return err
}

// reachable keeps the cells whose owners have not failed lately, or all when
// every owner has.
func (o *orders) reachable(cells []model.CellID) []model.CellID {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	var out []model.CellID
	for _, id := range cells {
		if now.After(o.avoid[id]) {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return cells
	}
	return out
}

// Cancel ends a job wherever its tasks are.
func (o *orders) Cancel(ctx context.Context, id model.CellID, job model.JobID) error {
	return o.router.Cancel(ctx, id, job)
}

// Status returns the progress of a job. Without a cell, all cells are asked.
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

// orderStatus condenses the states of a job's tasks into one.
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

// jobState names the state of a job from the number of its tasks in each state.
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

// HomeCell chooses the better of two cells in service, picked by the job's id,
// by free processors. Two choices keep nodes with the same summaries from
// sending everything to one cell. A task that fits neither goes to a cell whose
// largest worker holds it, if there is one.
func (o *orders) HomeCell(job model.JobSpec) (model.CellID, error) {
	view := o.view()
	var open []model.CellID
	for _, id := range owner.CellsOf(view) {
		if !view.IsOut(owner.DataCentreOf(id)) {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return "", model.Errorf(model.KindUnavailable, "return a data centre to service", "no data centre is in service")
	}
	open = o.reachable(open)
	known := map[model.CellID]scheduler.CellSummary{}
	for _, s := range o.cells() {
		known[s.ID] = s
	}
	if fit := cellsThatFit(open, known, job); len(fit) > 0 {
		open = fit
	}
	first, second := twoChoices(string(job.ID), len(open))
	if known[open[second]].Free.MilliCPU > known[open[first]].Free.MilliCPU {
		return open[second], nil
	}
	return open[first], nil
}

// cellsThatFit keeps the cells whose largest worker can hold the job's largest
// task. Cells without a summary count as fitting.
func cellsThatFit(open []model.CellID, known map[model.CellID]scheduler.CellSummary, job model.JobSpec) []model.CellID {
	var fit []model.CellID
	for _, id := range open {
		s, ok := known[id]
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

// twoChoices derives two indexes below n from a job id.
func twoChoices(id string, n int) (first, second int) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	sum := h.Sum64()
	return int(sum % uint64(n)), int(sum >> 32 % uint64(n))
}
