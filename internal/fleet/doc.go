// Package fleet schedules jobs on a fleet of workers over a table service that
// all nodes share. Every node takes jobs from callers and stores them; one node
// at a time, the leader, decides where their tasks run.
//
// A fleet that one host cannot carry is divided into cells, each with a leader of its
// own, some racks of workers and a share of the jobs; see layout.go. What is said of
// the leader below holds for that of each cell.
//
// State and its place: a job is one row, written by the node that took it; its
// progress is another row, written by the leader; what runs is known to the
// workers alone. A leader fences its writes with one row and its orders with the
// term number, so that a former leader can change neither. A new leader reads the
// rows, raises the fence at the workers, reads what runs and has ended there, and
// only then starts anything.
//
// One goroutine, the term's loop, owns all control state. Calls run in goroutines
// of their own and post their results to the loop as events.
package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Limits are the sizes that the platform grants.
type Limits struct {
	// RowBytes bounds the value of a row of the store.
	RowBytes int
	// MilliCPU is this host's processor share in thousandths of a core; 0 when unknown.
	MilliCPU int64
	// MemoryMB is this host's memory in megabytes.
	MemoryMB int64
	// LinkBytes is what this host's link carries a second, in bytes; 0 when unknown.
	LinkBytes int64
}

// Bounds are the times of the platform's contract that decisions use.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// Retention is how long the state of a finished job must stay readable.
	Retention time.Duration
	// Maintenance is how long the upkeep of a machine takes.
	Maintenance time.Duration
}

// State is what a caller sees of a job.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in state s has ended for good.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Intake answers callers. Errors of KindNotFound name an unknown queue, of
// KindGone an unknown job, of KindUnavailable, KindStale and KindExhausted a
// request that had no effect and never will, of KindUnknown one that may have.
type Intake interface {
	// Route finds the queue of a request and the rest of its path.
	Route(host, path string) (Queue, string, error)
	// Ready reports whether callers should keep their connections to this node.
	Ready() bool
	// MaxBody bounds the body of a submission in bytes; 0 when unknown.
	MaxBody() int64
	Submit(ctx context.Context, queue Queue, id string, spec Spec) error
	State(ctx context.Context, queue Queue, id string) (State, error)
	Cancel(ctx context.Context, queue Queue, id string) error
	// Pending counts the accepted jobs of a queue of which no task has started.
	Pending(ctx context.Context, queue Queue) (int, error)
}

// RetryError tells when a refused request may be sent again.
type RetryError struct {
	After time.Duration
	Err   error
}

// Error returns the refusal and the time.
func (e *RetryError) Error() string { return fmt.Sprintf("%v; retry after %v", e.Err, e.After) }

// Unwrap returns the refusal.
func (e *RetryError) Unwrap() error { return e.Err }

func retryAfter(after time.Duration, kind model.Kind, remedy, format string, args ...any) error {
	return &RetryError{After: after, Err: model.Errorf(kind, remedy, format, args...)}
}
