// Package storeclient wraps the platform's table service and object store with deadlines, rate
// budgets with priorities, retries with jitter and a circuit breaker. A node then cannot
// overload the store, and the nodes do not all return at the same time after an outage.
package storeclient

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Config sets the limits for the use of the store by one node. Zero fields select the default
// stated with each field.
type Config struct {
	// ReadsPerSecond and WritesPerSecond are the budgets of the node. The defaults are 150 and
	// 40: a twelfth of the capacity of the store, which suffices for up to 8 nodes and leaves
	// room for other users.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Burst is the number of operations of each kind that may start at once. The default is
	// 20.
	Burst int
	// MaxWaiting limits the operations that wait for each budget. The default is 1024.
	MaxWaiting int
	// Timeout limits the duration of one operation after it was sent. The default is 2s.
	Timeout time.Duration
	// RetryInitial and RetryMax are the initial and the longest backoff between retries. Each
	// backoff is randomised by up to half. The defaults are 50ms and 2s.
	RetryInitial time.Duration
	RetryMax     time.Duration
	// RetryTries limits the tries of an operation that is safe to retry. The default is 4.
	RetryTries uint
	// BreakerFailures is the number of consecutive failures that opens the circuit breaker.
	// The default is 8.
	BreakerFailures uint32
	// BreakerOpen is how long the circuit breaker stays open before it admits one probe. Seed
	// extends the value of each node by up to half. The default is 1s.
	BreakerOpen time.Duration
	// Seed makes the extension of BreakerOpen differ between nodes.
	Seed uint64
	// Observe, when set, is called for each operation that was sent to the store.
	Observe func(Operation)
}

// Operation describes one operation that was sent to the store.
type Operation struct {
	// Name is commit, get, range, object-put, object-get, object-list or object-delete.
	Name     string
	Write    bool
	Priority Priority
	// Waited is the time spent waiting for the budget. Took is the time from sending the
	// operation to its result.
	Waited time.Duration
	Took   time.Duration
	// Kind is the kind of the error. It is empty on success.
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
