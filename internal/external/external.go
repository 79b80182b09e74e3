// Package external defines the interfaces through which the system uses the
// platform: the table service, the object store, the host list and the workers.
// Decision code depends on these interfaces only. Package httpapi implements
// them over HTTP; package standin serves the other side for tests and vpier dev.
//
// Errors are *model.Error. KindConflict means that a condition failed and nothing
// was written; KindUnavailable that nothing happened; KindUnknown that the
// operation may have taken effect; KindNotFound that the row or object is absent.
package external

import (
	"context"
	"iter"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Key addresses a row of the table service. Rows of a partition are ordered by
// Row as bytes.
type Key struct {
	Partition string `json:"partition"`
	Row       string `json:"row"`
}

// Row is a stored row. Version is at least 1 and grows with each write.
type Row struct {
	Key     Key    `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition states what a write requires of the row before it.
type Condition struct {
	// Absent requires that the row does not exist.
	Absent bool `json:"absent,omitempty"`
	// Version requires this version when it is not zero.
	Version uint64 `json:"version,omitempty"`
}

// Write is one change of a transaction: a put, or a delete when Delete is true.
type Write struct {
	Key       Key       `json:"key"`
	Value     []byte    `json:"value,omitempty"`
	Delete    bool      `json:"delete,omitempty"`
	Condition Condition `json:"condition"`
}

// Table is the transactional table service.
type Table interface {
	// Commit applies all writes or none.
	Commit(ctx context.Context, writes ...Write) error
	// Get reads one row.
	Get(ctx context.Context, key Key) (Row, error)
	// Range reads up to limit rows of a partition with Row >= from, in order.
	Range(ctx context.Context, partition, from string, limit int) ([]Row, error)
}

// Objects is the object store. Put replaces an object as a whole.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// HostState is the platform's opinion of a host; it lags behind reality.
type HostState string

const (
	// HostLive is a host in service.
	HostLive HostState = "live"
	// HostLeaving is a host that is about to leave service.
	HostLeaving HostState = "leaving"
)

// HostRole tells what runs on a host.
type HostRole string

const (
	// RoleWorker is a worker that runs tasks.
	RoleWorker HostRole = "worker"
	// RoleRunner is an upstream runner of a service.
	RoleRunner HostRole = "runner"
	// RoleEntry is one of the system's own hosts.
	RoleEntry HostRole = "entry"
)

// Host is an entry of the host list.
type Host struct {
	ID    string    `json:"id"`
	Role  HostRole  `json:"role"`
	State HostState `json:"state"`
	// Addr is the IP address and port of the host's HTTP interface.
	Addr       string            `json:"addr"`
	DataCentre model.DataCentre  `json:"data_centre"`
	Rack       model.Rack        `json:"rack,omitempty"`
	Service    model.ServiceName `json:"service,omitempty"`
	// Capacity is set for workers.
	Capacity model.Resources `json:"capacity,omitzero"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// AttemptRef names one attempt of a task.
type AttemptRef struct {
	Task    model.TaskID  `json:"task"`
	Attempt model.Attempt `json:"attempt"`
}

// Start asks a worker to run an attempt under a lease.
type Start struct {
	AttemptRef
	Class     model.ClassName `json:"class"`
	Resources model.Resources `json:"resources"`
	// Lease is how long the attempt may run without a renewal.
	Lease time.Duration `json:"lease"`
	// Checkpoint is the object to resume from; empty for a start from nothing.
	Checkpoint string `json:"checkpoint,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// WorkerCommand is one batch of commands to a worker on behalf of a cell. A
// worker rejects the whole batch when Epoch is lower than the highest that it
// has seen for Cell, and rejects its starts when Session is too old.
type WorkerCommand struct {
	Cell  model.CellID `json:"cell"`
	Epoch model.Epoch  `json:"epoch"`
	// Session is the one from the worker's latest report.
	Session string  `json:"session,omitempty"`
	Starts  []Start `json:"starts,omitempty"`
	// Renew extends leases by RenewFor from receipt.
	Renew    []AttemptRef  `json:"renew,omitempty"`
	RenewFor time.Duration `json:"renew_for,omitempty"`
	// Stop ends attempts without a checkpoint.
	Stop []AttemptRef `json:"stop,omitempty"`
	// Checkpoint saves progress; Evict saves progress, then ends the attempt.
	Checkpoint []AttemptRef `json:"checkpoint,omitempty"`
	Evict      []AttemptRef `json:"evict,omitempty"`
	// Throttle sets the share of its processors, in percent, that an attempt may use.
	Throttle []Throttle `json:"throttle,omitempty"`
	// Ack lists ended attempts whose outcome is durable; the worker forgets them.
	Ack []AttemptRef `json:"ack,omitempty"`
	// Expect is the RunningDigest of the cell's attempts that the sender knows to
	// run. When it matches, the report sets Unchanged in place of Running.
	Expect string `json:"expect,omitempty"`
	// RenewExpected extends the leases of all these attempts by RenewFor, and of
	// none when Expect does not match.
	RenewExpected bool `json:"renew_expected,omitempty"`
}

// RunningDigest identifies a set of running attempts with their last checkpoints,
// in any order.
func RunningDigest(running iter.Seq2[AttemptRef, string]) string {
	var sum, count uint64
	var buf []byte
	for ref, checkpoint := range running {
		buf = append(append(buf[:0], ref.Task...), 0)
		buf = strconv.AppendUint(buf, uint64(ref.Attempt), 10)
		buf = append(append(buf, 0), checkpoint...)
		sum += xxhash.Sum64(buf)
		count++
	}
	return strconv.FormatUint(count, 36) + "-" + strconv.FormatUint(sum, 36)
}

// Throttle limits an attempt's processor use.
type Throttle struct {
	AttemptRef
	Percent int `json:"percent"`
}

// RunningAttempt is a live attempt in a report.
type RunningAttempt struct {
	AttemptRef
	Class model.ClassName `json:"class"`
	// Used is the measured use, UsageAge old when the report was made.
	Used     model.Resources `json:"used"`
	UsageAge time.Duration   `json:"usage_age"`
	// Checkpoint is the last completed checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Progress is the completed share from 0 to 1 as the task reports it.
	Progress float64 `json:"progress"`
}

// EndedAttempt is an attempt that ended and has not been acknowledged.
type EndedAttempt struct {
	AttemptRef
	// Outcome is done, failed, evicted, cancelled or lost (lease ran out).
	Outcome    model.Outcome `json:"outcome"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	// Result is the object or inline value that a done attempt produced.
	Result string `json:"result,omitempty"`
	Error  string `json:"error,omitempty"`
}

// ServiceSample is a late latency measurement of a service on the worker.
type ServiceSample struct {
	Service model.ServiceName `json:"service"`
	P99     time.Duration     `json:"p99"`
	Age     time.Duration     `json:"age"`
}

// WorkerReport is a worker's answer to a command.
type WorkerReport struct {
	Worker model.WorkerID `json:"worker"`
	// Session is to be quoted in the next command.
	Session string `json:"session"`
	// SessionTTL is how long the worker accepts starts that quote Session.
	SessionTTL time.Duration    `json:"session_ttl"`
	Running    []RunningAttempt `json:"running,omitempty"`
	// Unchanged states that the running attempts are those of Expect.
	Unchanged bool            `json:"unchanged,omitempty"`
	Ended     []EndedAttempt  `json:"ended,omitempty"`
	Services  []ServiceSample `json:"services,omitempty"`
	// Rejected lists starts that the worker refused, with the reason.
	Rejected []RejectedStart `json:"rejected,omitempty"`
}

// Reasons of a RejectedStart.
const (
	// RejectSession means that the session was unknown or too old.
	RejectSession = "session"
	// RejectCapacity means that the declared resources did not fit.
	RejectCapacity = "capacity"
)

// RejectedStart is a start that a worker refused; the attempt did not run.
type RejectedStart struct {
	AttemptRef
	// Reason is RejectSession, RejectCapacity or a text of the worker.
	Reason string `json:"reason"`
}

// WorkerAPI sends commands to workers. KindFenced means that the worker has seen
// a higher epoch for the cell; nothing of the batch was carried out.
type WorkerAPI interface {
	Command(ctx context.Context, worker Host, cmd WorkerCommand) (WorkerReport, error)
}
