package cell

import (
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// TaskState is the lifecycle state of a task in this cell.
type TaskState uint8

const (
	// TaskQueued waits for a placement.
	TaskQueued TaskState = iota + 1
	// TaskLive has an attempt on a worker.
	TaskLive
	// TaskEvicting has an attempt that was asked to checkpoint and stop.
	TaskEvicting
	// TaskCancelling has an attempt that was asked to stop and will not be retried.
	TaskCancelling
	// TaskTransferring waits until another cell has made its transfer durable.
	TaskTransferring
	// TaskDone ended with a result.
	TaskDone
	// TaskFailed used up its retries.
	TaskFailed
	// TaskCancelled ended because its job was cancelled.
	TaskCancelled
	// TaskUnrunnable fits no worker of the deployment.
	TaskUnrunnable
	// TaskTransferred now belongs to another cell.
	TaskTransferred
)

var taskStateNames = [...]string{
	"unknown", "queued", "live", "evicting", "cancelling", "transferring",
	"done", "failed", "cancelled", "unrunnable", "transferred",
}

// String returns the state as it appears in status reports.
func (s TaskState) String() string {
	if int(s) >= len(taskStateNames) {
		return taskStateNames[0]
	}
	return taskStateNames[s]
}

// HoldsWorker reports whether a task in state s has resources committed.
func (s TaskState) HoldsWorker() bool {
	return s == TaskLive || s == TaskEvicting || s == TaskCancelling
}

// Ended reports whether a task in state s will not run again in this cell.
func (s TaskState) Ended() bool { return s >= TaskDone }

// Task is one task of the cell. Callers outside the package must not change it.
type Task struct {
	Spec  model.TaskSpec
	State TaskState
	// Attempt is the number of the last attempt; 0 before the first.
	Attempt model.Attempt
	// Worker is the worker of the live attempt, or of the last one.
	Worker model.WorkerID
	// Checkpoint is the object that the next attempt resumes from.
	Checkpoint string
	// Failures counts the failed attempts that count against the retry limit, Spec.MaxRetries.
	Failures int
	// SubmittedAt is in Unix milliseconds.
	SubmittedAt int64
	// To is the destination of a transfer.
	To model.CellID
	// Hops counts the transfers of the task.
	Hops uint32
	// Group is the number of gang tasks that are transferred together.
	Group int
	// Result, Error and Reason describe the end of the task.
	Result string
	Error  string
	Reason string
}

// Ref returns the reference of the last attempt.
func (t *Task) Ref() external.AttemptRef {
	return external.AttemptRef{Task: t.Spec.ID, Attempt: t.Attempt}
}

// job groups the tasks of one submission.
type job struct {
	id         model.JobID
	tasks      []*Task
	cancelled  bool
	unfinished int
	// listed is true while the job is in the list of ended jobs.
	listed bool
}

// JobStatus is a copy of the state of a job for reports.
type JobStatus struct {
	Job       model.JobID  `json:"job"`
	Cancelled bool         `json:"cancelled,omitempty"`
	Ended     bool         `json:"ended"`
	Tasks     []TaskStatus `json:"tasks"`
}

// TaskStatus is a copy of the state of a task for reports.
type TaskStatus struct {
	Task     model.TaskID   `json:"task"`
	State    string         `json:"state"`
	Attempt  model.Attempt  `json:"attempt,omitempty"`
	Worker   model.WorkerID `json:"worker,omitempty"`
	Failures int            `json:"failures,omitempty"`
	// Cell is the cell that holds a transferred task.
	Cell   model.CellID `json:"cell,omitempty"`
	Result string       `json:"result,omitempty"`
	Error  string       `json:"error,omitempty"`
	Reason string       `json:"reason,omitempty"`
}

func (j *job) status() JobStatus {
	out := j.summary()
	for _, t := range j.tasks {
		out.Tasks = append(out.Tasks, t.Status())
	}
	return out
}

func (j *job) summary() JobStatus {
	return JobStatus{Job: j.id, Cancelled: j.cancelled, Ended: j.unfinished == 0}
}

// Status returns a copy of the task's state for reports.
func (t *Task) Status() TaskStatus {
	return TaskStatus{
		Task: t.Spec.ID, State: t.State.String(), Attempt: t.Attempt, Worker: t.Worker,
		Failures: t.Failures, Cell: t.To, Result: t.Result, Error: t.Error, Reason: t.Reason,
	}
}

// Transfer is a task in transfer to another cell. In is the record to apply at the
// destination.
type Transfer struct {
	To model.CellID
	In TransferIn
}
