// Package cell holds the state of one cell: its tasks, their attempts and the
// resources committed on each worker. State changes only by applying records,
// which the cell's owner first makes durable in the cell's journal. Applying is
// deterministic and performs no I/O.
package cell

import (
	"github.com/vanillapier/vanillapier/internal/model"
)

// Record is one transition of a cell. Exactly one field is set.
type Record struct {
	Submitted   *Submitted   `cbor:"1,keyasint,omitempty"`
	Placed      *Placed      `cbor:"2,keyasint,omitempty"`
	Ended       *Ended       `cbor:"3,keyasint,omitempty"`
	Cancelled   *Cancelled   `cbor:"4,keyasint,omitempty"`
	Evicting    *Evicting    `cbor:"5,keyasint,omitempty"`
	Checkpoint  *Checkpoint  `cbor:"6,keyasint,omitempty"`
	Unrunnable  *Unrunnable  `cbor:"7,keyasint,omitempty"`
	TransferOut *TransferOut `cbor:"8,keyasint,omitempty"`
	TransferIn  *TransferIn  `cbor:"9,keyasint,omitempty"`
	TransferEnd *TransferEnd `cbor:"10,keyasint,omitempty"`
}

// Submitted adds a job. Applying it again for the same job id has no effect.
type Submitted struct {
	Job model.JobSpec `cbor:"1,keyasint"`
	// At is the submission time in Unix milliseconds, used only for ranking and reports.
	At int64 `cbor:"2,keyasint,omitempty"`
}

// Placed commits a worker's resources to the next attempt of a task.
type Placed struct {
	Task    model.TaskID   `cbor:"1,keyasint"`
	Attempt model.Attempt  `cbor:"2,keyasint"`
	Worker  model.WorkerID `cbor:"3,keyasint"`
}

// Ended ends an attempt and frees its resources. Evicted and lost attempts
// return the task to the queue with the checkpoint, if any.
type Ended struct {
	Task       model.TaskID  `cbor:"1,keyasint"`
	Attempt    model.Attempt `cbor:"2,keyasint"`
	Outcome    model.Outcome `cbor:"3,keyasint"`
	Checkpoint string        `cbor:"4,keyasint,omitempty"`
	Result     string        `cbor:"5,keyasint,omitempty"`
	Error      string        `cbor:"6,keyasint,omitempty"`
	// Charged is true when a failure counts against the task's retry limit.
	Charged bool `cbor:"7,keyasint,omitempty"`
}

// Cancelled marks a job as cancelled. Queued tasks end at once; live attempts end when the
// worker confirms.
type Cancelled struct {
	Job model.JobID `cbor:"1,keyasint"`
}

// Evicting requests that a live attempt saves a checkpoint and stops.
type Evicting struct {
	Task    model.TaskID  `cbor:"1,keyasint"`
	Attempt model.Attempt `cbor:"2,keyasint"`
	Reason  string        `cbor:"3,keyasint,omitempty"`
}

// Checkpoint sets the last completed checkpoint of a live attempt.
type Checkpoint struct {
	Task    model.TaskID  `cbor:"1,keyasint"`
	Attempt model.Attempt `cbor:"2,keyasint"`
	Object  string        `cbor:"3,keyasint"`
}

// Unrunnable ends a task that fits no worker of the deployment.
type Unrunnable struct {
	Task   model.TaskID `cbor:"1,keyasint"`
	Reason string       `cbor:"2,keyasint"`
}

// TransferOut starts the transfer of a queued task to another cell; the task can no longer
// be placed here.
type TransferOut struct {
	Task model.TaskID `cbor:"1,keyasint"`
	To   model.CellID `cbor:"2,keyasint"`
	// Group is the number of tasks of a gang that are transferred together; 0 or 1 for a
	// task that is transferred alone.
	Group int `cbor:"3,keyasint,omitempty"`
}

// TransferIn adds a task that another cell transfers to this one. Applying it has no effect
// unless Hop is above the task's hop count in this cell, so a repeated or late record
// cannot bring back a task that has been transferred onwards.
type TransferIn struct {
	Spec       model.TaskSpec `cbor:"1,keyasint"`
	From       model.CellID   `cbor:"2,keyasint"`
	Attempts   model.Attempt  `cbor:"3,keyasint"`
	Failures   int            `cbor:"4,keyasint,omitempty"`
	Checkpoint string         `cbor:"5,keyasint,omitempty"`
	At         int64          `cbor:"6,keyasint,omitempty"`
	// Hop is the number of this transfer of the task, starting at 1.
	Hop uint32 `cbor:"7,keyasint,omitempty"`
	// Group is TransferOut.Group; the tasks are not placed until all have arrived.
	Group int `cbor:"8,keyasint,omitempty"`
	// Cancelled is true when the job was cancelled during the transfer.
	Cancelled bool `cbor:"9,keyasint,omitempty"`
}

// TransferEnd marks a task as transferred once the destination has made it durable.
type TransferEnd struct {
	Task model.TaskID `cbor:"1,keyasint"`
}
