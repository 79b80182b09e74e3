package owner

import (
	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// durableView answers for the status of jobs while an append is in flight. The
// state is then ahead of the journal by the records of the batch; the view keeps
// what those records changed, as it was before. Only the touched tasks are
// copied, so that the cost follows the batch and not the size of the jobs. It
// belongs to the goroutine of the cell.
type durableView struct {
	jobs  map[model.JobID]jobBefore
	tasks map[model.TaskID]taskBefore
}

// jobBefore is a job as the journal has it; known is false for a job that the
// batch submits.
type jobBefore struct {
	known  bool
	status cell.JobStatus // without tasks
}

// taskBefore is a task as the journal has it.
type taskBefore struct {
	known  bool
	status cell.TaskStatus
}

func newDurableView() durableView {
	return durableView{jobs: map[model.JobID]jobBefore{}, tasks: map[model.TaskID]taskBefore{}}
}

// clear forgets the batch, which has become durable.
func (v *durableView) clear() {
	clear(v.jobs)
	clear(v.tasks)
}

// note keeps what a record is about to change. It precedes the record's Apply.
func (v *durableView) note(state *cell.State, rec cell.Record) {
	switch {
	case rec.Submitted != nil:
		v.noteJob(state, rec.Submitted.Job.ID)
	case rec.Cancelled != nil:
		v.noteJob(state, rec.Cancelled.Job)
		for _, t := range state.JobTasks(rec.Cancelled.Job) {
			v.noteTask(state, t.Spec.ID)
		}
	case rec.TransferIn != nil:
		v.noteJob(state, rec.TransferIn.Spec.Job)
		v.noteTask(state, rec.TransferIn.Spec.ID)
	default:
		if id := taskOf(rec); id != "" {
			v.noteTask(state, id)
		}
	}
}

// taskOf returns the task that a record of a single known task changes.
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
	return "" // a checkpoint does not show in the status
}

func (v *durableView) noteJob(state *cell.State, id model.JobID) {
	if _, noted := v.jobs[id]; noted {
		return
	}
	status, known := state.JobSummary(id)
	v.jobs[id] = jobBefore{known: known, status: status}
}

// noteTask keeps a task and, because its end may be that of the job, the job.
func (v *durableView) noteTask(state *cell.State, id model.TaskID) {
	if _, noted := v.tasks[id]; noted {
		return
	}
	task, known := state.Task(id)
	if !known {
		v.tasks[id] = taskBefore{}
		return
	}
	v.noteJob(state, task.Spec.Job)
	v.tasks[id] = taskBefore{known: true, status: task.Status()}
}

// job returns the status of a job as the journal has it. A job that the batch
// prunes, as one of the oldest that have ended, counts as unknown already.
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
