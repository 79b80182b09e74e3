// Package storeclient wraps the platform's table service and object store with
// deadlines, budgets by priority, jittered retries and a circuit breaker, so
// that one node cannot overload the store and nodes do not return all at once
// after an outage.
package storeclient

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Config sets the limits of one node's use of the store. Zero fields take the
// defaults given with each field.
type Config struct {
	// ReadsPerSecond and WritesPerSecond are the node's budgets. Defaults 150
	// and 40: a twelfth of what the store handles, for up to 8 nodes and room
	// for other users.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Burst is the number of operations of each kind that may start at once.
	// Default 20.
	Burst int
	// MaxWaiting bounds the operations that wait for each budget. Default 1024.
	MaxWaiting int
	// Timeout bounds one operation on the wire. Default 2s.
	Timeout time.Duration
	// RetryInitial and RetryMax are the first and the longest backoff between
	// retries; each is randomised by half. Defaults 50ms and 2s.
	RetryInitial time.Duration
	RetryMax     time.Duration
	// RetryTries bounds the tries of an operation that is safe to repeat. Default 4.
	RetryTries uint
	// BreakerFailures is the number of consecutive failures that opens the
	// circuit breaker. Default 8.
	BreakerFailures uint32
	// BreakerOpen is how long the breaker stays open before it lets one probe
	// through. Each node's value is spread by up to half, from Seed. Default 1s.
	BreakerOpen time.Duration
	// Seed makes the spread of BreakerOpen differ between nodes.
	Seed uint64
	// Observe, when set, receives each operation that reached the store.
	Observe func(Operation)
}

// Operation describes one operation that was sent to the store.
type Operation struct {
	// Name is commit, get, range, object-put, object-get, object-list or object-delete.
	Name     string
	Write    bool
	Priority Priority
	// Waited is the time spent waiting for the budget, Took the time on the wire.
	Waited time.Duration
	Took   time.Duration
	// Kind is the kind of the error, or empty on success.
	Kind model.Kind
}

func (c Config) withDefaults() Config {
	setDefault(&c.ReadsPerSecond, 150)
	setDefault(&c.WritesPerSecond, 40)
	setDefault(&c.Burst, 20)
	setDefault(&c.MaxWaiting, 1024)
	setDefault(&c.Timeout, 2*time.Second)
	setDefault(&c.RetryInitial, 50*time.Millisecond)
	setDefault(&c.RetryMax, 2*time.Second)
	setDefault(&c.RetryTries, 4)
	setDefault(&c.BreakerFailures, 8)
	setDefault(&c.BreakerOpen, time.Second)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
