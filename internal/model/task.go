package model

import "time"

// Urgency is the priority of work; a higher value is placed first.
type Urgency int8

const (
	// UrgencyBulk is work without a time constraint.
	UrgencyBulk Urgency = iota
	// UrgencyNormal is the default for batch work.
	UrgencyNormal
	// UrgencyHigh is batch work that a person or a press line waits for.
	UrgencyHigh
	// UrgencyUrgent is work that must start within the urgent start target.
	UrgencyUrgent
)

// TaskSpec describes one task as submitted. It never changes afterwards.
type TaskSpec struct {
	ID      TaskID    `json:"id" cbor:"1,keyasint"`
	Job     JobID     `json:"job" cbor:"2,keyasint"`
	Team    TeamName  `json:"team" cbor:"3,keyasint,omitempty"`
	Class   ClassName `json:"class" cbor:"4,keyasint,omitempty"`
	Urgency Urgency   `json:"urgency" cbor:"5,keyasint,omitempty"`
	// Resources is reserved in full while an attempt of the task is live.
	Resources Resources `json:"resources" cbor:"6,keyasint"`
	// DeclaredRun is the submitter's estimate of the run time. It may be wrong by an order of
	// magnitude and is used only for ranking.
	DeclaredRun time.Duration `json:"declared_run" cbor:"7,keyasint,omitempty"`
	// Gang is true when all tasks of the job start together or not at all.
	Gang bool `json:"gang,omitempty" cbor:"8,keyasint,omitempty"`
	// MaxRetries bounds failed attempts that count against the job.
	MaxRetries int `json:"max_retries,omitempty" cbor:"9,keyasint,omitempty"`
	// Payload is passed to the worker unchanged.
	Payload []byte `json:"payload,omitempty" cbor:"10,keyasint,omitempty"`
}

// JobSpec is a batch job as submitted: its tasks share team, class and urgency.
type JobSpec struct {
	ID    JobID      `json:"id" cbor:"1,keyasint"`
	Tasks []TaskSpec `json:"tasks" cbor:"2,keyasint"`
}

// Attempt is the number of an execution of a task, starting at 1.
type Attempt uint32

// Epoch is the number of a cell's ownership period and serves as the fencing token towards
// workers. It increases by one with each acquisition.
type Epoch uint64

// Outcome is the final or intermediate result of an attempt or request.
type Outcome string

const (
	// OutcomeDone means that the work was executed and its result is known.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the work is proved not to have been executed.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the work may have been executed.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that an attempt ended with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeEvicted means that an attempt stopped on request after a checkpoint.
	OutcomeEvicted Outcome = "evicted"
	// OutcomeCancelled means that the submitter cancelled the work.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeLost means that an attempt's lease expired without a report.
	OutcomeLost Outcome = "lost"
)
