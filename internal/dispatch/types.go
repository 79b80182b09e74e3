// Package dispatch sends a cell's decisions to its workers and processes their
// reports. A command carries starts, lease renewals, evictions, stops and
// acknowledgements. Core implements the rules and takes the time as an argument;
// Dispatcher adds I/O and concurrency. The rules are specified in docs/design.md,
// section 5.4.
package dispatch

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Defaults of Config.
const (
	// DefaultTaskLease is D, the lease of a running attempt.
	DefaultTaskLease = 8 * time.Second
	// DefaultSessionTTL is S, the maximum age of a worker session.
	DefaultSessionTTL = 2 * time.Second
	// DefaultOwnershipLease is L, the lease of the cell's owner.
	DefaultOwnershipLease = 6 * time.Second
	// DefaultHold is H, the maximum age of the majority's reports that allow an owner
	// with an expired ownership lease to renew task leases during a store outage.
	DefaultHold = 3 * time.Second
	// DefaultMinInterval is the minimum interval between commands to one worker.
	DefaultMinInterval = 100 * time.Millisecond
	// DefaultFastPoll is the poll interval while an attempt is expected to end.
	DefaultFastPoll = 250 * time.Millisecond
	// DefaultPoll is the poll interval of a worker with live attempts. It bounds the
	// delay until the end of an attempt is noticed. It is below the renewal interval
	// D/3, so that every poll renews the leases.
	DefaultPoll = 2 * time.Second
	// DefaultFullReport is the interval at which a worker lists its running attempts
	// even if they are unchanged. The list carries resource usage, which is at least
	// 5 s old in any case.
	DefaultFullReport = 10 * time.Second
	// DefaultIdlePoll is the poll interval of a worker without attempts.
	DefaultIdlePoll = 4 * time.Second
	// DefaultCommandTimeout is the timeout of one command.
	DefaultCommandTimeout = 2 * time.Second
	// DefaultConcurrency is the maximum number of commands in flight to all workers.
	DefaultConcurrency = 64
	// DefaultStartTimeout is the time after which a start that could not be sent is
	// rejected.
	DefaultStartTimeout = 3 * time.Second
	// probeDivisor limits the commands in flight to workers that did not respond to
	// their last command to Concurrency/probeDivisor. Otherwise such workers could
	// occupy all slots until the command timeout and delay starts on other workers.
	probeDivisor = 2
	// maxStartsPerCommand limits the size of one command.
	maxStartsPerCommand = 64
	// maxFailureShift caps the exponential backoff of an unreachable worker at
	// 2^4 times MinInterval.
	maxFailureShift = 4
)

// withMargin adds a 10% margin for differences in clock rate to a duration that is
// measured on one clock and must have elapsed on another.
func withMargin(d time.Duration) time.Duration { return d + d/10 }

// Config configures the dispatcher of one cell under one epoch. Zero values select
// the defaults.
type Config struct {
	// Cell and Epoch identify the ownership. Required.
	Cell  model.CellID
	Epoch model.Epoch
	// TaskLease is D, the lease of a running attempt. Leases are renewed at least
	// every D/3.
	TaskLease time.Duration
	// SessionTTL is S, the age at which a worker rejects a session.
	SessionTTL time.Duration
	// OwnershipLease is L, the lease of the cell's owner. Hold is H, the maximum age
	// of the majority's reports that allow renewals in a store outage after the
	// ownership lease has expired. Both are part of LostAfter.
	OwnershipLease time.Duration
	Hold           time.Duration
	// MinInterval, FastPoll, Poll and IdlePoll set the interval between commands to
	// one worker: with operations to deliver, while an attempt is expected to end,
	// with live attempts, and without attempts.
	MinInterval time.Duration
	FastPoll    time.Duration
	Poll        time.Duration
	IdlePoll    time.Duration
	// FullReport is the interval at which a worker lists its running attempts even
	// if they are unchanged.
	FullReport time.Duration
	// StartTimeout is the time after which a start is rejected because the worker
	// does not respond.
	StartTimeout time.Duration
	// CommandTimeout limits the duration of one command; Concurrency limits the
	// number of commands in flight.
	CommandTimeout time.Duration
	Concurrency    int
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (c *Config) setDefaults() {
	orDefault(&c.TaskLease, DefaultTaskLease)
	orDefault(&c.SessionTTL, DefaultSessionTTL)
	orDefault(&c.OwnershipLease, DefaultOwnershipLease)
	orDefault(&c.Hold, DefaultHold)
	orDefault(&c.MinInterval, DefaultMinInterval)
	orDefault(&c.FastPoll, DefaultFastPoll)
	orDefault(&c.Poll, DefaultPoll)
	orDefault(&c.IdlePoll, DefaultIdlePoll)
	orDefault(&c.FullReport, DefaultFullReport)
	orDefault(&c.StartTimeout, DefaultStartTimeout)
	orDefault(&c.CommandTimeout, DefaultCommandTimeout)
	orDefault(&c.Concurrency, DefaultConcurrency)
}

// LostAfter returns how long a worker must be unresponsive before its attempts are
// declared lost: L + H + S + D, with the margin for differences in clock rate.
func (c Config) LostAfter() time.Duration {
	c.setDefaults()
	return withMargin(c.OwnershipLease + c.Hold + c.SessionTTL + c.TaskLease)
}

// Gates are checks supplied by the owner of the cell. They are called immediately
// before a command is sent, after its session was obtained.
type Gates struct {
	// MayStart returns an error while starts are forbidden: the control view is
	// stale, the ownership lease has expired, or the data centre is out of service.
	MayStart func(now time.Time) error
	// MaySend returns an error while no command may be sent: the ownership lease
	// has expired and the rule for store outages does not allow renewals.
	MaySend func(now time.Time) error
}

// KnownAttempt is a live attempt that a new owner recovered from the cell's journal.
type KnownAttempt struct {
	external.AttemptRef
	Worker model.WorkerID
	// Evicting is true when the journal records a requested eviction.
	Evicting bool
	// Stopping is true when the journal records a requested stop without a
	// checkpoint.
	Stopping bool
}

// EventKind is the kind of an Event.
type EventKind string

const (
	// EventAdopted is the first report of a worker under the epoch. Starts can be
	// sent to the worker from then on.
	EventAdopted EventKind = "adopted"
	// EventStarted means that the worker runs the attempt.
	EventStarted EventKind = "started"
	// EventEnded means that the attempt has ended. The owner makes the outcome
	// durable and then calls Ack.
	EventEnded EventKind = "ended"
	// EventLost means that the worker did not respond until the attempt's lease had
	// certainly expired (section 5.4). The owner makes the loss durable and then
	// calls Ack.
	EventLost EventKind = "lost"
	// EventRejected means that the attempt did not run and never will. The
	// dispatcher has removed it. A start with an unknown result ends as lost
	// instead.
	EventRejected EventKind = "rejected"
	// EventCheckpointed means that a live attempt has completed a checkpoint.
	EventCheckpointed EventKind = "checkpointed"
	// EventReport carries the resource usage and service samples of a worker.
	EventReport EventKind = "report"
	// EventFenced means that a newer owner exists. The dispatcher has stopped.
	EventFenced EventKind = "fenced"
)

// Reasons of EventRejected in addition to those of the worker.
const (
	// ReasonWithdrawn means that the owner stopped the attempt before it ran.
	ReasonWithdrawn = "withdrawn"
	// ReasonUnreachable means that the start could not be sent in time because the
	// worker does not respond or is not listed.
	ReasonUnreachable = "unreachable"
	// ReasonWithheld means that the start was not sent in time because the gates
	// were closed. The worker is not at fault.
	ReasonWithheld = "withheld"
)

// Event is something that a worker reported or that Core derived from missing
// reports.
type Event struct {
	Kind   EventKind
	Worker model.WorkerID
	// Ref is set for all kinds except adopted, report and fenced.
	Ref external.AttemptRef
	// Ended is set for ended and lost.
	Ended external.EndedAttempt
	// Reason is set for rejected and fenced.
	Reason string
	// Checkpoint is set for checkpointed.
	Checkpoint string
	// Running and Services are set for adopted and report.
	Running  []external.RunningAttempt
	Services []external.ServiceSample
}

// OutgoingCommand is a command to send. Its fields do not change after Plan, except
// that Authorize may remove the starts.
type OutgoingCommand struct {
	Host    external.Host
	Command external.WorkerCommand
	sentAt  time.Time
}

// Stats holds the counters of a Core since its creation and its current state.
type Stats struct {
	// Messages counts commands sent, Failures counts commands without a report, and
	// Renewals counts commands that renewed leases.
	Messages uint64
	Failures uint64
	Renewals uint64
	// Starts counts starts that were sent; Withheld counts starts that were removed
	// from a command because a gate was closed or the session was too old.
	Starts   uint64
	Withheld uint64
	// Workers, Attempts, InFlight and Unadopted are current values.
	Workers   int
	Attempts  int
	InFlight  int
	Unadopted int
}
