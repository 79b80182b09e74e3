// Package dispatch carries a cell's decisions to its workers and brings their
// reports back: starts, renewals, evictions, stops and acknowledgements. Core
// holds the rules and takes the time as an argument; Dispatcher adds input and
// output. docs/design.md, section 5.4, states the rules.
package dispatch

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Defaults of Config.
const (
	// DefaultTaskLease is D.
	DefaultTaskLease = 8 * time.Second
	// DefaultSessionTTL is S.
	DefaultSessionTTL = 2 * time.Second
	// DefaultOwnershipLease is L.
	DefaultOwnershipLease = 6 * time.Second
	// DefaultHold is H.
	DefaultHold = 3 * time.Second
	// DefaultMinInterval is the shortest time between messages to one worker.
	DefaultMinInterval = 100 * time.Millisecond
	// DefaultFastPoll is the interval while the end of an attempt is awaited.
	DefaultFastPoll = 250 * time.Millisecond
	// DefaultPoll is the interval for a worker with live attempts. It bounds how
	// late an end is noticed and is below the renewal interval D/3, so that each
	// poll renews.
	DefaultPoll = 2 * time.Second
	// DefaultFullReport is how often a worker lists its running attempts although
	// nothing changed, for their usage, which is 5 s old or more anyway.
	DefaultFullReport = 10 * time.Second
	// DefaultIdlePoll is the interval for a worker without attempts.
	DefaultIdlePoll = 4 * time.Second
	// DefaultCommandTimeout bounds one command.
	DefaultCommandTimeout = 2 * time.Second
	// DefaultConcurrency bounds commands in flight over all workers.
	DefaultConcurrency = 64
	// DefaultStartTimeout is when a start that was never sent is given back.
	DefaultStartTimeout = 3 * time.Second
	// probeShare is the divisor of Concurrency for commands to workers that did not
	// answer the last one: many of them would otherwise hold all commands in flight
	// for the command timeout, and delay starts elsewhere.
	probeShare = 2
	// maxStartsPerCommand bounds the size of one command.
	maxStartsPerCommand = 64
	// maxFailureShift bounds the backoff of an unreachable worker at 2^4 intervals.
	maxFailureShift = 4
)

// withMargin adds the clock-rate margin of 10% to a duration that is measured on
// one clock and must have passed on another.
func withMargin(d time.Duration) time.Duration { return d + d/10 }

// Config configures the dispatch of one cell under one epoch. Zero durations
// select the defaults.
type Config struct {
	// Cell and Epoch identify the ownership. Required.
	Cell  model.CellID
	Epoch model.Epoch
	// TaskLease is D; leases are renewed at least every D/3.
	TaskLease time.Duration
	// SessionTTL is S, the age at which workers refuse a session.
	SessionTTL time.Duration
	// OwnershipLease is L, and Hold is H; both enter the wait for lost attempts.
	OwnershipLease time.Duration
	Hold           time.Duration
	// MinInterval, FastPoll, Poll and IdlePoll set the time between messages to
	// one worker: with work to deliver, with an end awaited, with live attempts,
	// and without attempts.
	MinInterval time.Duration
	FastPoll    time.Duration
	Poll        time.Duration
	IdlePoll    time.Duration
	// FullReport is how often running attempts are listed although unchanged.
	FullReport time.Duration
	// StartTimeout gives back a start that could not be sent to a silent worker.
	StartTimeout time.Duration
	// CommandTimeout bounds one command; Concurrency bounds those in flight.
	CommandTimeout time.Duration
	Concurrency    int
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (c *Config) provision() {
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

// LostAfter returns how long a worker must be silent before its attempts count
// as lost: L + H + S + D with the clock-rate margin.
func (c Config) LostAfter() time.Duration {
	c.provision()
	return withMargin(c.OwnershipLease + c.Hold + c.SessionTTL + c.TaskLease)
}

// Gates are the conditions outside the dispatcher. They are called immediately
// before a command is sent, after its session was obtained.
type Gates struct {
	// MayStart returns an error while starts are forbidden: the view is not
	// fresh, the ownership lease has run out, or the data centre is out.
	MayStart func(now time.Time) error
	// MayRenew returns an error while nothing may be sent at all: the ownership
	// lease has run out and the rule for store outages does not allow renewals.
	MayRenew func(now time.Time) error
}

// Known is a live attempt that a new owner found in the cell's journal.
type Known struct {
	external.AttemptRef
	Worker model.WorkerID
	// Evicting is true when the journal asks for its eviction.
	Evicting bool
	// Stopping is true when the journal asks for its end without a checkpoint.
	Stopping bool
}

// EventKind tells what happened.
type EventKind string

const (
	// EventAdopted is the first report of a worker under the epoch; starts can
	// be sent to it from then on.
	EventAdopted EventKind = "adopted"
	// EventStarted means that the worker runs the attempt.
	EventStarted EventKind = "started"
	// EventEnded means that the attempt has ended; the owner makes the outcome
	// durable and calls Ack.
	EventEnded EventKind = "ended"
	// EventLost means that the attempt's lease has run out unseen (5.4); the
	// owner makes this durable and calls Ack.
	EventLost EventKind = "lost"
	// EventRejected means that the attempt did not run and will not; the
	// dispatcher has forgotten it. A start in doubt ends as lost instead.
	EventRejected EventKind = "rejected"
	// EventCheckpointed means that a checkpoint of a live attempt completed.
	EventCheckpointed EventKind = "checkpointed"
	// EventReport carries usage and service samples of a worker.
	EventReport EventKind = "report"
	// EventFenced means that a newer owner exists; the dispatcher has stopped.
	EventFenced EventKind = "fenced"
)

// Reasons of EventRejected besides those of the worker.
const (
	// ReasonWithdrawn means that the owner stopped the attempt before it ran.
	ReasonWithdrawn = "withdrawn"
	// ReasonUnreachable means that the start could not be sent in time, because the
	// worker does not answer or is not listed.
	ReasonUnreachable = "unreachable"
	// ReasonWithheld means that the start was not sent in time although nothing
	// speaks against the worker: the gates were closed.
	ReasonWithheld = "withheld"
)

// Event is something that a worker reported or that the rules conclude.
type Event struct {
	Kind   EventKind
	Worker model.WorkerID
	// Ref is set except for adopted, report and fenced.
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

// Outgoing is a command to send. Its fields are not changed after Plan.
type Outgoing struct {
	Host    external.Host
	Command external.WorkerCommand
	sentAt  time.Time
}

// Stats counts what a core has done since it was created.
type Stats struct {
	// Messages is the number of commands sent, Failures that of commands without
	// a report, and Renewals that of commands that renewed leases.
	Messages uint64
	Failures uint64
	Renewals uint64
	// Starts and Withheld count starts that were sent and that a gate held back.
	Starts   uint64
	Withheld uint64
	// Workers, Attempts, InFlight and Unadopted describe the present state.
	Workers   int
	Attempts  int
	InFlight  int
	Unadopted int
}
