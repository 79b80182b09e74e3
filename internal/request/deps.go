package request

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/share"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Deps holds what a Chain needs from the rest of the node. View, Hosts and
// Shares are required. Without Claims, non-idempotent requests and orders are
// refused; without Orders, orders are refused.
type Deps struct {
	// View returns the node's current view, or nil before the first one.
	View func() *control.View
	// Hosts returns the latest host list. It is called for each request and must return a
	// slice that is replaced, never modified in place.
	Hosts func() []external.Host
	// Shares grants this node's slots at runners.
	Shares Shares
	// Claims stores the claim rows.
	Claims Claims
	// Objects stores responses that are too large for a claim row. Optional.
	Objects external.Objects
	// Orders forwards batch jobs to the owners of their cells.
	Orders Orders
	// Decisions logs decisions. Default: discard.
	Decisions telemetry.DecisionLogger
	// Metrics registers the metrics. Default: a new registry.
	Metrics prometheus.Registerer
	// Clock returns the time. Default time.Now.
	Clock func() time.Time
	// Node is this node's id.
	Node model.NodeID
	// Seed seeds the random choices, so that runs can be repeated.
	Seed uint64
}

// Shares divides the slots of each runner among the nodes and tracks this node's share. It is
// implemented by share.Manager and is safe for concurrent use.
type Shares interface {
	// Acquire takes one slot of runner for a request. False means that this node has no free
	// slot there now.
	Acquire(service model.ServiceName, runner model.RunnerID) bool
	// Release returns a slot taken by Acquire.
	Release(service model.ServiceName, runner model.RunnerID)
	// Limit returns the number of slots that this node may use at runner now.
	Limit(service model.ServiceName, runner model.RunnerID) int
}

// ConnectionShares is implemented by a Shares that also divides connections.
type ConnectionShares interface {
	// Connections returns the number of connections that may be open to runner.
	Connections(service model.ServiceName, runner model.RunnerID) int
	// Borrowed reports whether the latest request at runner uses a borrowed slot, so that its
	// connection must be closed afterwards.
	Borrowed(service model.ServiceName, runner model.RunnerID) bool
	// SetTrimmer sets the function that closes idle connections above a limit.
	SetTrimmer(share.Trimmer)
}

// OrderStatus is the progress of a batch job.
type OrderStatus struct {
	Job  model.JobID  `json:"job"`
	Cell model.CellID `json:"cell"`
	// State is queued, running, done, failed, cancelled or never (can never run).
	State string `json:"state"`
	// Tasks and Done count the tasks of the job.
	Tasks int `json:"tasks"`
	Done  int `json:"done"`
	// Results holds the result of each completed task, by task id.
	Results map[model.TaskID]string `json:"results,omitempty"`
	// Reason explains the states failed and never.
	Reason string `json:"reason,omitempty"`
}

// Orders forwards batch jobs to the owners of their cells.
type Orders interface {
	// Submit stores the job durably in cell. It is idempotent by job id. KindUnknown means
	// that the job may have been stored.
	Submit(ctx context.Context, cell model.CellID, job model.JobSpec) error
	// Status returns the progress of a job, or KindNotFound when the cell does not have the
	// job. With an empty cell it looks in all cells.
	Status(ctx context.Context, cell model.CellID, job model.JobID) (OrderStatus, error)
	// Cancel cancels a job. It has no effect on a job that has ended.
	Cancel(ctx context.Context, cell model.CellID, job model.JobID) error
	// HomeCell chooses the cell that a new job is submitted to.
	HomeCell(job model.JobSpec) (model.CellID, error)
}
