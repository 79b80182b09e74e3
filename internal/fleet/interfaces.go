package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// RowID identifies a row of the store. Rows of one table and part are ordered by key. A
// transaction changes rows of one part only.
type RowID struct {
	Table string
	Part  string
	Key   string
}

// Row is a stored row. Version grows with each transaction on the store.
type Row struct {
	RowID
	Value   []byte
	Version uint64
	// Removed marks a row that a watch reports as deleted.
	Removed bool
}

// Expectation requires that a row has the given version; 0 means that it is absent.
type Expectation struct {
	RowID
	Version uint64
}

// Transaction is applied as a whole or not at all.
type Transaction struct {
	Expect []Expectation
	Puts   []Row
	Delete []RowID
}

// Page is the result of a read: a consistent part of a range of rows, or changes.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
	// Now is the store's monotonic clock.
	Now time.Duration
}

// ConflictError reports that an expectation of a transaction did not hold. Nothing was
// written. Rows holds those expected rows that exist, in their current versions.
type ConflictError struct{ Rows []Row }

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return "condition of the transaction does not hold (remedy: read the rows again)"
}

// lists reports whether an expected row exists.
func (e *ConflictError) lists(id RowID) bool {
	return slices.ContainsFunc(e.Rows, func(r Row) bool { return r.RowID == id })
}

// Store is the table service. Its errors are of KindUnavailable (nothing was done),
// KindUnknown (a write may have taken effect or may still), KindStale (the history that a
// watch needs has been dropped), KindExhausted (too many calls) or a *ConflictError.
type Store interface {
	// Commit applies tx and returns the new version of its rows.
	Commit(ctx context.Context, tx Transaction) (Commit, error)
	// List returns rows with from <= key < to; an empty to means no upper bound.
	List(ctx context.Context, table, part, from, to string, limit int) (Page, error)
	// Watch returns the changes of a table after a version; it waits up to wait for some.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// Commit is the result of a transaction.
type Commit struct {
	Version uint64
	// Now is the store's monotonic clock.
	Now time.Duration
}

// Lifetime identifies one process of a worker. A worker that restarts keeps its id, runs
// nothing from before and differs in Born.
type Lifetime struct {
	Worker model.WorkerID `json:"worker" cbor:"1,keyasint"`
	// Born is the start time of the process in Unix milliseconds; 0 when unknown.
	Born int64 `json:"born" cbor:"2,keyasint"`
}

// WorkerInfo is a worker's entry in the platform's list of workers, which may be outdated.
type WorkerInfo struct {
	Lifetime
	Addr       string
	DataCentre model.DataCentre
	Service    model.ServiceName
	Capacity   model.Resources
	Labels     []string
	Draining   bool
	// Leaving is the minimum time until a draining worker leaves; 0 when unknown.
	Leaving time.Duration
}

// TaskName identifies a task of a job on the wire to workers.
type TaskName string

// RunRef identifies a run: one attempt of a task.
type RunRef struct {
	Task    TaskName
	Attempt int
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	RunRef
	Spec       string
	Checkpoint string
	Ticket     string
	// Deadline is the end of the worker's lease on the worker's clock.
	Deadline time.Duration
	Fence    uint64
	// Withdrawn is closed when the run is no longer wanted: an order that has not been sent yet
	// must not be sent any more.
	Withdrawn <-chan struct{}
}

// StartVerdict is a worker's answer to a start.
type StartVerdict int

const (
	// StartRunning means that the worker has the run.
	StartRunning StartVerdict = iota
	// StartFenced means that the worker has seen a higher fence.
	StartFenced
	// StartSuperseded means that a later attempt was stopped or has ended on the worker.
	StartSuperseded
	// StartDeadlinePassed means that the deadline had passed on the worker's clock.
	StartDeadlinePassed
	// StartNoCapacity means that the worker lacks free capacity.
	StartNoCapacity
	// StartNoTicket means that the ticket is missing or not valid.
	StartNoTicket
	// StartUnhealthy means that the worker did nothing because it is unhealthy.
	StartUnhealthy
	// StartOtherLifetime means that a worker with another id answered and did nothing.
	StartOtherLifetime
	// StartInvalid means that the worker could not decode the order.
	StartInvalid
)

// WorkerReply is the common part of a worker's answers.
type WorkerReply struct {
	Verdict StartVerdict
	// Clock is the monotonic clock of the lifetime that answered. Each one's begins anew, anywhere.
	Clock time.Duration
	// SentTo is the Born of the lifetime to which the order was sent, if a report on the same connection
	// has told it, else 0. It is also set when the order got no answer.
	SentTo int64
}

// RunStatus is a run in a worker's report.
type RunStatus struct {
	RunRef
	Checkpoint string
	// Percent is the progress of a task, or the readiness of a lasting task.
	Percent int
	// Reading is the tail latency of a serving task in milliseconds, or the processor use of
	// any other task in thousandths of a core, over half a second.
	Reading int
}

// EndKind is the way in which a run ended.
type EndKind string

// Kinds of ends of runs.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken"
	EndAlone   EndKind = "alone"
)

// RunEnd is the end of a run in a worker's report.
type RunEnd struct {
	// Number numbers the ends of one lifetime of the worker, from 1.
	Number uint64
	RunRef
	How        EndKind
	Checkpoint string
}

// PollOrder asks a worker for its report and extends its lease.
type PollOrder struct {
	Fence uint64
	// Acknowledged is the number of the highest end that is stored; the worker forgets the
	// ends up to it. It is sent only to the lifetime that the worker's info names: ends of the
	// next one have the same numbers.
	Acknowledged uint64
	// Deadline is the new end of the lease on the worker's clock; 0 leaves the lease as it is. It is
	// sent only to the lifetime that the worker's info names: on the clock of the next one it means
	// nothing.
	Deadline time.Duration
	// Wait is how long the worker may hold its answer until a run ends.
	Wait time.Duration
}

// Report is a worker's answer to a poll: its active runs, and the ends not acknowledged yet.
type Report struct {
	Verdict StartVerdict
	// Born names the lifetime that answered; 0 when unknown.
	Born    int64
	Clock   time.Duration
	Running []RunStatus
	Ended   []RunEnd
	// EndsCut means that further ends may not be listed: a run in neither list may have ended.
	EndsCut bool
	// Acknowledged is that of the order, or 0 if it was not sent.
	Acknowledged uint64
	// Deadline is that of the order, or 0 if it was not sent. It is also set beside an error.
	Deadline time.Duration
}

// OtherLifetimeError means that an order was not sent, as a lifetime answers for which it was not meant.
// It is wrapped in an error of KindExhausted.
type OtherLifetimeError struct {
	Meant Lifetime
	// Born names the lifetime that answers; 0 when unknown.
	Born int64
}

// NewOtherLifetimeError returns the error for an order for a lifetime in whose place another answers.
func NewOtherLifetimeError(meant Lifetime, born int64) error {
	return model.Wrap(model.KindExhausted, &OtherLifetimeError{meant, born}, "ask for a report; nothing was sent", "order for %s", meant.Worker)
}

// Error describes the lifetimes.
func (e *OtherLifetimeError) Error() string {
	return fmt.Sprintf("lifetime %d answers instead of %d", e.Born, e.Meant.Born)
}

// Workers sends orders to workers. An error means that the order may have been carried out
// or may still be, unless it is of KindUnavailable (the worker refused the connection) or
// KindExhausted (the order waited for a connection in vain, or the connection is not one to the
// lifetime that is meant): then nothing was sent. Stops, paces and polls name the worker's id only: a
// later lifetime under the same id carries them out too, and only a Report tells which lifetime
// answered. What belongs to one lifetime reaches no other one: a start is carried out by the lifetime
// that w names or by none, and so are the acknowledgement and the deadline of a poll. Where w names no
// lifetime, that is one whose reports name none either.
type Workers interface {
	Start(ctx context.Context, w WorkerInfo, o StartOrder) (WorkerReply, error)
	Stop(ctx context.Context, w WorkerInfo, r RunRef, fence uint64) (WorkerReply, error)
	Poll(ctx context.Context, w WorkerInfo, o PollOrder) (Report, error)
	Pace(ctx context.Context, w WorkerInfo, r RunRef, percent int, fence uint64) (WorkerReply, error)
}

// Advice is an advisor's answer: a ticket for each worker that may run a step, and how long
// the tickets are valid.
type Advice struct {
	Tickets map[model.WorkerID]string
	Valid   time.Duration
}

// Advisor decides which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []model.WorkerID) (Advice, error)
}

// Peers connects the nodes of the system.
type Peers interface {
	// Handle registers the handler of a method. It must be called before Run.
	Handle(method string, h func(ctx context.Context, params json.RawMessage) (any, error))
	// Call calls a method of the node at addr.
	Call(ctx context.Context, addr, method string, params, result any) error
	// Run serves peers until ctx ends.
	Run(ctx context.Context) error
}

// Machine is a physical host of the platform's inventory.
type Machine struct {
	ID   string
	Pool model.ServiceName
	Up   bool
	// InMaintenance is set from the start of maintenance until the machine is up again.
	InMaintenance bool
	Worker        model.WorkerID
}

// Inventory lists machines and maintains them.
type Inventory interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Maintain begins the maintenance of a machine. It succeeds also when the maintenance has
	// begun before.
	Maintain(ctx context.Context, machine string, wave int, holder string, fence uint64) (MaintainVerdict, error)
}

// MaintainVerdict is the answer to Maintain.
type MaintainVerdict int

const (
	// MaintainBegun means that the maintenance has begun or is over.
	MaintainBegun MaintainVerdict = iota
	// MaintainBusy means that the machine is not up or is leaving.
	MaintainBusy
	// MaintainRefused means that the machine is not part of the wave, or that another holder
	// has a higher fence.
	MaintainRefused
)

// Wave is a request for the maintenance of machines.
type Wave struct {
	Number   int
	Machines []string
	// Within is the time within which the maintenance of all machines should have begun.
	Within time.Duration
	// Cap bounds the machines that are down for maintenance at the same time.
	Cap int
}

// Queue is a route to which callers submit jobs.
type Queue struct {
	Name string
	Host string
	// Prefix is the path before the job id.
	Prefix      string
	Service     model.ServiceName
	Priority    int
	MaxAttempts int
	// Stretch and Objective define the time in which a job should complete: Stretch times its
	// longest chain of work, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Advised queues need a ticket for each start.
	Advised bool
}

// Configuration is one version of the operators' settings.
type Configuration struct {
	Version  uint64
	Queues   []Queue
	Services map[model.ServiceName]ServiceSettings
	// MaxBody bounds request bodies in bytes.
	MaxBody int64
}

// ServiceSettings are an upstream service's settings.
type ServiceSettings struct {
	// Guards means that the workers reject starts that do not fit.
	Guards bool
	// Spare means that the service's pool is a spare one, which is switched off.
	Spare bool
}

// Decoder decodes rows that are owned by other writers. A row that cannot be decoded yields
// an error and must have no effect.
type Decoder interface {
	// Worker decodes an entry of the list of workers. All texts of the result are valid UTF-8.
	Worker(row Row) (WorkerInfo, error)
	// Configuration decodes the operators' settings.
	Configuration(row Row) (Configuration, error)
	// OperatorRow decodes a row of the operators' table and classifies it.
	OperatorRow(row Row) OperatorRow
	// WaveStatus returns the row that reports the progress of a wave.
	WaveStatus(number int, completed bool) Row
	// Tables returns the names of the tables that are owned by other writers.
	Tables() (workers, operator string)
}

// OperatorRow is one row of the operators' table.
type OperatorRow struct {
	// Configuration is set for the operators' settings.
	Configuration bool
	// DataCentre is set for a request to take a data centre out of service.
	DataCentre model.DataCentre
	// Wave is set for a request of maintenance.
	Wave *Wave
}
