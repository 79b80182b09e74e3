package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// RowID addresses a row of the store. Rows of one table and part are ordered by
// key; one transaction changes rows of one part only.
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

// Expectation requires that a row has a version; 0 means that it is absent.
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

// Page is a part of a range, as of one moment.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
	// Now is the steady clock of the store.
	Now time.Duration
}

// ConflictError reports that an expectation of a transaction did not hold.
// Nothing was written. Rows holds the present rows among those expected.
type ConflictError struct{ Rows []Row }

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return "condition of the transaction does not hold (remedy: read the rows again)"
}

// Store is the table service. Its errors are of KindUnavailable (nothing was
// done), KindUnknown (a write may have taken effect, now or later), KindStale (a
// watch's history is gone), KindExhausted (call rate) or a *ConflictError.
type Store interface {
	// Commit applies tx and returns the version that its rows have from now on.
	Commit(ctx context.Context, tx Transaction) (Commit, error)
	// List returns rows with from <= key < to; an empty to means no upper bound.
	List(ctx context.Context, table, part, from, to string, limit int) (Page, error)
	// Watch waits up to wait for changes of a table after a version.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// Commit is the result of a transaction.
type Commit struct {
	Version uint64
	// Now is the steady clock of the store.
	Now time.Duration
}

// Lifetime is one life of a worker process. A worker that starts again under its
// id holds nothing of before and differs in Born.
type Lifetime struct {
	Worker model.WorkerID `json:"worker" cbor:"1,keyasint"`
	// Born is the start of the process in Unix milliseconds.
	Born int64 `json:"born" cbor:"2,keyasint"`
}

// WorkerInfo is a worker's entry in the platform's list. It lags behind reality.
type WorkerInfo struct {
	Lifetime
	Addr       string
	DataCentre model.DataCentre
	Service    model.ServiceName
	Capacity   model.Resources
	Labels     []string
	Draining   bool
	// Leaving is the least time until a draining worker leaves; 0 when unknown.
	Leaving time.Duration
}

// TaskName identifies a task of a job on the wire to workers.
type TaskName string

// RunRef names one attempt of a task.
type RunRef struct {
	Task    TaskName
	Attempt int
}

// StartOrder asks a worker to run an attempt.
type StartOrder struct {
	RunRef
	Spec       string
	Checkpoint string
	Ticket     string
	// Deadline is the end of the worker's lease on the worker's clock.
	Deadline time.Duration
	Fence    uint64
}

// StartVerdict is a worker's answer to a start.
type StartVerdict int

const (
	// StartRunning means that the attempt is there.
	StartRunning StartVerdict = iota
	// StartFenced means that the worker has seen a higher fence.
	StartFenced
	// StartSuperseded means that a later attempt was stopped or ended there.
	StartSuperseded
	// StartLate means that the deadline had passed on the worker's clock.
	StartLate
	// StartNoRoom means that the worker lacks free capacity.
	StartNoRoom
	// StartNoTicket means that the ticket is missing or not valid.
	StartNoTicket
	// StartUnhealthy means that the worker did nothing because it is unhealthy.
	StartUnhealthy
	// StartOtherLifetime means that another lifetime answered and did nothing.
	StartOtherLifetime
	// StartInvalid means that the worker could not read the order.
	StartInvalid
)

// WorkerReply is the common part of a worker's answers.
type WorkerReply struct {
	Verdict StartVerdict
	// Clock is the worker's steady clock when it answered.
	Clock time.Duration
}

// RunStatus is a run in a worker's report.
type RunStatus struct {
	RunRef
	Checkpoint string
	// Percent is the progress of a task, or its readiness when it lasts.
	Percent int
	// Reading is the tail latency in milliseconds of a serving task; otherwise the
	// processor use in thousandths of a core. It covers half a second.
	Reading int
}

// EndKind tells how a run ended.
type EndKind string

// Ends of runs.
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
	// Number counts the ends of one lifetime from 1.
	Number uint64
	RunRef
	How        EndKind
	Checkpoint string
}

// PollOrder asks a worker for its report and extends its lease.
type PollOrder struct {
	Fence uint64
	// Acknowledged is the highest end that is durable; the worker forgets up to it.
	Acknowledged uint64
	// Deadline extends the lease on the worker's clock; 0 leaves it.
	Deadline time.Duration
	// Wait lets the worker hold its answer until a run ends.
	Wait time.Duration
}

// Report is a worker's list of runs and ends.
type Report struct {
	Verdict StartVerdict
	Clock   time.Duration
	Running []RunStatus
	Ended   []RunEnd
}

// Workers sends orders to workers. An error means that the order may be carried
// out, now or later.
type Workers interface {
	Start(ctx context.Context, w WorkerInfo, o StartOrder) (WorkerReply, error)
	Stop(ctx context.Context, w WorkerInfo, r RunRef, fence uint64) (WorkerReply, error)
	Poll(ctx context.Context, w WorkerInfo, o PollOrder) (Report, error)
	Pace(ctx context.Context, w WorkerInfo, r RunRef, percent int, fence uint64) (WorkerReply, error)
}

// Advice is an advisor's answer: a ticket for each worker that may run a step.
type Advice struct {
	Tickets map[model.WorkerID]string
	Valid   time.Duration
}

// Advisor knows which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []model.WorkerID) (Advice, error)
}

// Peers connects the nodes of the system.
type Peers interface {
	// Handle registers the handler of a method, before Run.
	Handle(method string, h func(ctx context.Context, params json.RawMessage) (any, error))
	// Call asks the node at addr.
	Call(ctx context.Context, addr, method string, params, result any) error
	// Run serves peers until ctx ends.
	Run(ctx context.Context) error
}

// Machine is a physical host of the platform's inventory.
type Machine struct {
	ID   string
	Pool model.ServiceName
	Up   bool
	// InMaintenance is set from the begin of an upkeep until the machine is up again.
	InMaintenance bool
	Worker        model.WorkerID
}

// Inventory lists machines and maintains them.
type Inventory interface {
	Machines(ctx context.Context) ([]Machine, error)
	// Maintain begins the upkeep of a machine; done also when it was begun before.
	Maintain(ctx context.Context, machine string, wave int, holder string, fence uint64) (MaintainVerdict, error)
}

// MaintainVerdict is the answer to Maintain.
type MaintainVerdict int

const (
	// MaintainBegun means that the upkeep has begun or is over.
	MaintainBegun MaintainVerdict = iota
	// MaintainBusy means that the machine is not up or is leaving.
	MaintainBusy
	// MaintainRefused means that the wave does not hold the machine, or another
	// holder has a higher fence.
	MaintainRefused
)

// Wave asks for the upkeep of machines.
type Wave struct {
	Number   int
	Machines []string
	// Within is the time in which all upkeep should have begun.
	Within time.Duration
	// Cap bounds machines that are down for upkeep at once.
	Cap int
}

// Queue is a route that takes jobs.
type Queue struct {
	Name string
	Host string
	// Prefix is the path before the job id.
	Prefix      string
	Service     model.ServiceName
	Priority    int
	MaxAttempts int
	// Stretch times a job's longest chain of work, plus Objective, is the time in
	// which it should complete.
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
	// Guards means that the workers reject what does not fit.
	Guards bool
	// Spare pools are switched off.
	Spare bool
}

// Decoder turns rows that other writers own into the product's types. A row that
// cannot be read is reported as an error and must change nothing.
type Decoder interface {
	// Worker reads an entry of the list of workers.
	Worker(row Row) (WorkerInfo, error)
	// Configuration reads the operators' settings.
	Configuration(row Row) (Configuration, error)
	// OperatorRow classifies a row that the operators write.
	OperatorRow(row Row) OperatorRow
	// WaveStatus returns the row that reports the progress of a wave.
	WaveStatus(number int, completed bool) Row
	// Tables names the tables that other writers own.
	Tables() (workers, operator string)
}

// OperatorRow is one row of the operators' table.
type OperatorRow struct {
	Configuration bool
	// DataCentre is set for a request to take a data centre out of service.
	DataCentre model.DataCentre
	// Wave is set for a request of upkeep.
	Wave *Wave
}
