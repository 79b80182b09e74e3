// Package fleet schedules jobs on a fleet of workers. All nodes share one table service,
// the store. Every node accepts jobs from callers and stores them; one node at a time, the
// leader, decides where their tasks run.
//
// A fleet that is too large for one host is divided into cells; see layout.go. Each cell has
// its own leader, some racks of workers and a share of the jobs. "The leader" below is the
// leader of a cell.
//
// State is kept in three places. A job is one row, written by the node that accepted it. Its
// progress is another row, written by the leader. Which runs are active is known only to the
// workers. Every transaction of a leader depends on the fence row, and every order to a
// worker carries the term number, so a former leader can neither write nor give orders. A
// new leader reads the rows, raises the fence at the workers, reads from them which runs are
// active and which have ended, and only then starts tasks.
//
// A lasting task runs until its job is cancelled. Lasting tasks that are no fillers are also
// called services; a serving task is one with a latency target. A model.ServiceName is not one
// of these but the name of an upstream service, to whose pool a worker belongs. A filler
// reserves no processors and uses those that other tasks leave. Its pressure on a service is
// the headroom that it takes from the service; see pressure_model.go.
//
// One goroutine, the term's loop, owns all control state. Calls run in goroutines of their
// own and post their results to the loop as events.
package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Limits are the resource limits that the platform sets.
type Limits struct {
	// RowBytes bounds the value of a row of the store.
	RowBytes int
	// MilliCPU is this host's processor share in thousandths of a core; 0 when unknown.
	MilliCPU int64
	// MemoryMB is this host's memory in megabytes.
	MemoryMB int64
	// LinkBytes is the bandwidth of this host's link in bytes per second; 0 when unknown.
	LinkBytes int64
}

// Bounds are the durations of the platform's contract on which decisions depend.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// Retention is how long the state of a finished job must stay readable.
	Retention time.Duration
	// Maintenance is how long a machine is down for maintenance.
	Maintenance time.Duration
}

// State is the state of a job that callers see.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in state s has ended.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Intake serves the requests of callers. Its errors are of KindNotFound for an unknown
// queue, of KindGone for an unknown job, of KindUnavailable, KindStale or KindExhausted for
// a request that had no effect and never will, and of KindUnknown for one that may have had
// or may still have an effect.
type Intake interface {
	// Route returns the queue of a request and the rest of its path.
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

// RetryError is a refusal of a request that may be sent again after a delay.
type RetryError struct {
	After time.Duration
	Err   error
}

// Error describes the refusal and the delay.
func (e *RetryError) Error() string { return fmt.Sprintf("%v; retry after %v", e.Err, e.After) }

// Unwrap returns the refusal.
func (e *RetryError) Unwrap() error { return e.Err }

func retryAfter(after time.Duration, kind model.Kind, remedy, format string, args ...any) error {
	return &RetryError{After: after, Err: model.Errorf(kind, remedy, format, args...)}
}
