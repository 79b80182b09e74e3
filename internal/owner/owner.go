// Package owner runs the cells that this node owns. Each cell has one goroutine that
// processes requests and worker reports, plans, makes the resulting records durable in
// the cell's journal, and only then performs their effects.
//
// The records of one iteration are applied to the cell's state before they are durable.
// This is safe because an append has only two results: it becomes durable, or the
// ownership has ended and the state is discarded. Effects that are visible outside the
// process (starts, acknowledgements, responses) wait for the append.
package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/dispatch"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Defaults of Config.
const (
	// DefaultTick is the maximum time between two plans of a cell.
	DefaultTick = 250 * time.Millisecond
	// DefaultSnapshotRecords is the number of records after which a snapshot is saved.
	DefaultSnapshotRecords = 5000
	// requestBuffer is the maximum number of requests queued while an append is in
	// flight.
	requestBuffer = 256
	// appendRetry is the delay before an append that wrote nothing is retried.
	appendRetry = 200 * time.Millisecond
)

// Config holds the settings and dependencies of a node's cells. Node, Workers, View,
// Hosts and Log are required.
type Config struct {
	// Node is this node's id.
	Node model.NodeID
	// Workers sends commands to workers.
	Workers external.WorkerAPI
	// View returns the current control view.
	View func() *control.View
	// Fresh reports whether the view is recent enough for starts.
	Fresh func(now time.Time) bool
	// Hosts returns the latest host list.
	Hosts func() []external.Host
	// OutageRenewal reports whether task leases of a cell may be renewed although
	// the ownership lease has expired (store outage).
	OutageRenewal func(id model.CellID, epoch model.Epoch) bool
	// EpochAcknowledged reports whether a majority of the members has acknowledged
	// the epoch.
	EpochAcknowledged func(id model.CellID, epoch model.Epoch) bool
	// Cells returns the latest known summaries of all cells of the deployment.
	Cells func() []scheduler.CellSummary
	// Transfer transfers a task to the owner of another cell and returns once the
	// task is durable there.
	Transfer func(ctx context.Context, to model.CellID, in cell.TransferIn) error
	// CancelIn cancels a job in another cell.
	CancelIn func(ctx context.Context, id model.CellID, job model.JobID) error
	// Scheduler and Dispatch configure placement and command delivery.
	Scheduler scheduler.Config
	Dispatch  dispatch.Config
	// Tick is the maximum time between two plans. Default 250ms.
	Tick time.Duration
	// SnapshotRecords is the number of records between snapshots. Default 5000.
	SnapshotRecords int
	// Decisions receives one line for each placement decision.
	Decisions telemetry.DecisionLogger
	Metrics   *telemetry.Metrics
	Log       *logrus.Entry
	// Now returns the monotonic time. Default time.Now.
	Now func() time.Time
}

func (c *Config) setDefaults() {
	if c.Tick == 0 {
		c.Tick = DefaultTick
	}
	if c.SnapshotRecords == 0 {
		c.SnapshotRecords = DefaultSnapshotRecords
	}
	if c.Decisions == nil {
		c.Decisions = telemetry.Discard{}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Journal is the journal of an owned cell; *ownership.Owned implements it.
type Journal interface {
	Append(ctx context.Context, records [][]byte, urgent bool) (uint64, error)
	LeaseValid(now time.Time) bool
	LastSequence() uint64
	SaveSnapshotAt(ctx context.Context, seq uint64, data []byte) error
}

// Dispatcher sends commands to workers; *dispatch.Dispatcher implements it.
type Dispatcher interface {
	SetWorkers(hosts []external.Host)
	SetEpochAcknowledged(at time.Time)
	Start(worker model.WorkerID, s external.Start) error
	Evict(ref external.AttemptRef)
	Stop(ref external.AttemptRef)
	Checkpoint(ref external.AttemptRef)
	Throttle(ref external.AttemptRef, percent int)
	Ack(refs ...external.AttemptRef)
	Events() []dispatch.Event
	Notify() <-chan struct{}
	Run(ctx context.Context) error
}
