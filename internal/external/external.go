// Package external defines the interfaces to the platform's services: the table service,
// the object store, the host list and the workers. Scheduling and routing code depends on
// these interfaces only. Package httpapi implements HTTP clients for them; package
// standin implements in-memory servers for tests and vpier dev.
//
// Errors are *model.Error. KindConflict means that a condition failed and nothing was
// written; KindUnavailable that nothing was changed; KindUnknown that the operation may
// have taken effect; KindNotFound that the row or object does not exist.
package external

import (
	"context"
	"iter"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Key identifies a row of the table service. Rows of a partition are ordered by the bytes
// of Row.
type Key struct {
	Partition string `json:"partition"`
	Row       string `json:"row"`
}

// Row is a stored row. Version is at least 1 and increases with each write.
type Row struct {
	Key     Key    `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition is a precondition of a write.
type Condition struct {
	// Absent requires that the row does not exist.
	Absent bool `json:"absent,omitempty"`
	// Version requires that the row has this version. Zero requires nothing.
	Version uint64 `json:"version,omitempty"`
}

// Write is one change of a transaction: a put, or a delete when Delete is true.
type Write struct {
	Key       Key       `json:"key"`
	Value     []byte    `json:"value,omitempty"`
	Delete    bool      `json:"delete,omitempty"`
	Condition Condition `json:"condition"`
}

// Table is a transactional table service.
type Table interface {
	// Commit applies all writes or none.
	Commit(ctx context.Context, writes ...Write) error
	// Get reads one row.
	Get(ctx context.Context, key Key) (Row, error)
	// Range reads up to limit rows of a partition with Row >= from, in order.
	Range(ctx context.Context, partition, from string, limit int) ([]Row, error)
}

// Objects is an object store. Put replaces the whole object.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// HostState is the state of a host according to the platform. It may be out of date.
type HostState string

const (
	// HostLive is a host in service.
	HostLive HostState = "live"
	// HostLeaving is a host that is about to leave service.
	HostLeaving HostState = "leaving"
)

// HostRole is the role of a host.
type HostRole string

const (
	// RoleWorker is a worker that runs tasks.
	RoleWorker HostRole = "worker"
	// RoleRunner is an upstream runner of a service.
	RoleRunner HostRole = "runner"
	// RoleEntry is a host that runs a node of this system.
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

// AttemptRef identifies an attempt of a task.
type AttemptRef struct {
	Task    model.TaskID  `json:"task"`
	Attempt model.Attempt `json:"attempt"`
}

// Start asks a worker to run an attempt under a lease.
type Start struct {
	AttemptRef
	Class     model.ClassName `json:"class"`
	Resources model.Resources `json:"resources"`
	// Lease is the time that the attempt may run without a renewal.
	Lease time.Duration `json:"lease"`
	// Checkpoint is the object to resume from; empty to start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// WorkerCommand is a batch of commands to a worker on behalf of a cell. A worker rejects
// the whole batch when Epoch is lower than the highest that it has received for Cell, and
// rejects the starts when Session has expired.
type WorkerCommand struct {
	Cell  model.CellID `json:"cell"`
	Epoch model.Epoch  `json:"epoch"`
	// Session is the session from the worker's latest report.
	Session string  `json:"session,omitempty"`
	Starts  []Start `json:"starts,omitempty"`
	// Renew lists attempts whose leases then end RenewFor after receipt of the command.
	Renew    []AttemptRef  `json:"renew,omitempty"`
	RenewFor time.Duration `json:"renew_for,omitempty"`
	// Stop lists attempts to stop without a checkpoint.
	Stop []AttemptRef `json:"stop,omitempty"`
	// Checkpoint lists attempts to checkpoint, Evict attempts to checkpoint and then stop.
	Checkpoint []AttemptRef `json:"checkpoint,omitempty"`
	Evict      []AttemptRef `json:"evict,omitempty"`
	// Throttle limits the CPU use of attempts.
	Throttle []Throttle `json:"throttle,omitempty"`
	// Ack lists ended attempts whose outcome is stored durably; the worker deletes them.
	Ack []AttemptRef `json:"ack,omitempty"`
	// ExpectedDigest is the RunningDigest of the cell's running attempts as known to the
	// sender. When it matches, the report sets Unchanged instead of Running.
	ExpectedDigest string `json:"expect,omitempty"`
	// RenewExpected renews the leases of all the cell's running attempts when ExpectedDigest
	// matches, and of none otherwise.
	RenewExpected bool `json:"renew_expected,omitempty"`
}

// RunningDigest returns a digest of a set of running attempts and their last checkpoints.
// It does not depend on the order.
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

// Throttle limits an attempt to Percent of its CPU capacity.
type Throttle struct {
	AttemptRef
	Percent int `json:"percent"`
}

// RunningAttempt is a live attempt in a report.
type RunningAttempt struct {
	AttemptRef
	Class model.ClassName `json:"class"`
	// Used is the measured resource use, UsageAge its age when the report was created.
	Used     model.Resources `json:"used"`
	UsageAge time.Duration   `json:"usage_age"`
	// Checkpoint is the last completed checkpoint.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Progress is the completed fraction, from 0 to 1, reported by the task.
	Progress float64 `json:"progress"`
}

// EndedAttempt is an attempt that has ended and is not yet acknowledged.
type EndedAttempt struct {
	AttemptRef
	// Outcome is done, failed, evicted, cancelled or lost (lease expired).
	Outcome    model.Outcome `json:"outcome"`
	Checkpoint string        `json:"checkpoint,omitempty"`
	// Result is the object name or inline value that a completed attempt produced.
	Result string `json:"result,omitempty"`
	Error  string `json:"error,omitempty"`
}

// ServiceSample is a delayed latency measurement of a service on the worker.
type ServiceSample struct {
	Service model.ServiceName `json:"service"`
	P99     time.Duration     `json:"p99"`
	Age     time.Duration     `json:"age"`
}

// WorkerReport is a worker's response to a command.
type WorkerReport struct {
	Worker model.WorkerID `json:"worker"`
	// Session must be sent in the next command.
	Session string `json:"session"`
	// SessionTTL is the time that the worker accepts starts with Session.
	SessionTTL time.Duration    `json:"session_ttl"`
	Running    []RunningAttempt `json:"running,omitempty"`
	// Unchanged is true when the running attempts match ExpectedDigest.
	Unchanged bool            `json:"unchanged,omitempty"`
	Ended     []EndedAttempt  `json:"ended,omitempty"`
	Services  []ServiceSample `json:"services,omitempty"`
	// Rejected lists the starts that the worker rejected, with the reason.
	Rejected []RejectedStart `json:"rejected,omitempty"`
}

// Reasons of a RejectedStart.
const (
	// RejectSession means that the session was unknown or expired.
	RejectSession = "session"
	// RejectCapacity means that the declared resources exceeded the free capacity.
	RejectCapacity = "capacity"
)

// RejectedStart is a start that a worker rejected. The attempt did not run.
type RejectedStart struct {
	AttemptRef
	// Reason is RejectSession, RejectCapacity or a message from the worker.
	Reason string `json:"reason"`
}

// WorkerAPI sends commands to workers. KindFenced means that the worker has received a
// higher epoch for the cell and executed nothing of the batch.
type WorkerAPI interface {
	Command(ctx context.Context, worker Host, cmd WorkerCommand) (WorkerReport, error)
}
