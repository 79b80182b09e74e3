package owner

import (
	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// durableView provides the durable status of jobs while an append is in flight. The
// cell's state then already contains the records of the batch, which are not durable
// yet. The view keeps the previous status of the jobs and tasks that the batch changes.
// Only changed tasks are copied, so that the cost depends on the size of the batch and
// not on the size of the jobs. It must only be used by the goroutine of the cell.
type durableView struct {
	jobs  map[model.JobID]priorJob
	tasks map[model.TaskID]priorTask
}

// priorJob is the durable status of a job. known is false for a job that the batch
// submits.
type priorJob struct {
	known  bool
	status cell.JobStatus // without tasks
}

// priorTask is the durable status of a task.
type priorTask struct {
	known  bool
	status cell.TaskStatus
}

func newDurableView() durableView {
	return durableView{jobs: map[model.JobID]priorJob{}, tasks: map[model.TaskID]priorTask{}}
}

// clear resets the view after the batch has become durable.
func (v *durableView) clear() {
	clear(v.jobs)
	clear(v.tasks)
}

// capture saves the status of what a record changes. It must be called before the
// record is applied.
func (v *durableView) capture(state *cell.State, rec cell.Record) {
	switch {
	case rec.Submitted != nil:
		v.captureJob(state, rec.Submitted.Job.ID)
	case rec.Cancelled != nil:
		v.captureJob(state, rec.Cancelled.Job)
		for _, t := range state.JobTasks(rec.Cancelled.Job) {
			v.captureTask(state, t.Spec.ID)
		}
	case rec.TransferIn != nil:
		v.captureJob(state, rec.TransferIn.Spec.Job)
		v.captureTask(state, rec.TransferIn.Spec.ID)
	default:
		if id := taskOf(rec); id != "" {
			v.captureTask(state, id)
		}
	}
}

// taskOf returns the task that a record changes, if the record changes one existing
// task.
func taskOf(rec cell.Record) model.TaskID {
	switch {
	case rec.Placed != nil:
		return rec.Placed.Task
	case rec.Ended != nil:
		return rec.Ended.Task
	case rec.Evicting != nil:
		return rec.Evicting.Task
	case rec.Unrunnable != nil:
		return rec.Unrunnable.Task
	case rec.TransferOut != nil:
		return rec.TransferOut.Task
	case rec.TransferEnd != nil:
		return rec.TransferEnd.Task
	}
	return "" // a checkpoint is not part of the status
}

func (v *durableView) captureJob(state *cell.State, id model.JobID) {
	if _, captured := v.jobs[id]; captured {
		return
	}
	status, known := state.JobSummary(id)
	v.jobs[id] = priorJob{known: known, status: status}
}

// captureTask saves a task and its job, because the end of a task may end the job.
func (v *durableView) captureTask(state *cell.State, id model.TaskID) {
	if _, captured := v.tasks[id]; captured {
		return
	}
	task, known := state.Task(id)
	if !known {
		v.tasks[id] = priorTask{}
		return
	}
	v.captureJob(state, task.Spec.Job)
	v.tasks[id] = priorTask{known: true, status: task.Status()}
}

// job returns the durable status of a job. A job that the batch prunes because it is
// among the oldest ended jobs is reported as unknown.
func (v *durableView) job(state *cell.State, id model.JobID) (cell.JobStatus, bool) {
	before, touched := v.jobs[id]
	if touched && !before.known {
		return cell.JobStatus{}, false
	}
	status, ok := state.Job(id)
	if !ok || !touched {
		return status, ok
	}
	durable := before.status
	for _, t := range status.Tasks {
		was, changed := v.tasks[t.Task]
		switch {
		case !changed:
			durable.Tasks = append(durable.Tasks, t)
		case was.known:
			durable.Tasks = append(durable.Tasks, was.status)
		}
	}
	return durable, true
}
