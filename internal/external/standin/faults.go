package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxDelay bounds a Slow fault, so that a fault that is never reset cannot hang a test.
const maxDelay = 30 * time.Second

// ServiceFault configures the faults of the table service, object store or host list. The
// zero value means no fault.
type ServiceFault struct {
	// Down rejects each request with 503. Nothing takes effect.
	Down bool
	// BreakConnections breaks each connection after the request was read. Nothing takes
	// effect.
	BreakConnections bool
	// Slow is a delay of each request, half of it before the effect and half after it.
	Slow time.Duration
	// LoseResponse is the probability that a write takes effect and its response is lost.
	LoseResponse float64
	// StaleReads is the probability that a read returns the state before the last
	// transaction.
	StaleReads float64
	// Lag is the delay after which the host list shows a change.
	Lag time.Duration
}

// WorkerFault configures the faults of one worker. The zero value means no fault.
type WorkerFault struct {
	// Down breaks each connection without a response.
	Down bool
	// Slow is a delay of each command, half of it before the effect and half after it.
	Slow time.Duration
	// LoseResponse is the probability that a command takes effect and its report is lost.
	LoseResponse float64
	// Paused suspends the worker process and its tasks. Leases continue to expire.
	Paused bool
	// FailStarts makes each started attempt fail after a short time.
	FailStarts bool
	// UsageLag overrides the configured lag of usage and service samples when above zero.
	UsageLag time.Duration
}

// RunnerFault configures the faults of one runner. The zero value means no fault.
type RunnerFault struct {
	// SlowFactor multiplies service times when above zero.
	SlowFactor float64
	// Hang keeps requests open without a response.
	Hang bool
	// Reset executes the request and breaks the connection in the middle of the response
	// body.
	Reset bool
	// WrongLength executes the request and sends fewer bytes than Content-Length states.
	WrongLength bool
	// Leaving rejects new requests with 503, Connection: close and Vpier-Leaving: true.
	Leaving bool
	// BreakBeforeExecution breaks the connection after the request was read, before execution.
	BreakBeforeExecution bool
	// Down breaks each connection before the request is read.
	Down bool
}

// Faults controls the injected faults. Its seed determines the sequence of random choices.
// It is safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[ServiceName]ServiceFault
	workers  map[string]WorkerFault
	runners  map[string]RunnerFault
	onWorker map[string]func(WorkerFault)
}

// ServiceName identifies a platform service in Faults.
type ServiceName string

// Names of the platform services.
const (
	ServiceTable   ServiceName = "table"
	ServiceObjects ServiceName = "objects"
	ServiceHosts   ServiceName = "hosts"
)

// NewFaults returns Faults without active faults.
func NewFaults(seed uint64) *Faults {
	return &Faults{
		rng:      rand.New(rand.NewPCG(seed, seed)),
		services: map[ServiceName]ServiceFault{},
		workers:  map[string]WorkerFault{},
		runners:  map[string]RunnerFault{},
		onWorker: map[string]func(WorkerFault){},
	}
}

// SetService replaces the faults of a platform service.
func (f *Faults) SetService(name ServiceName, fault ServiceFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services[name] = fault
}

// SetStore replaces the faults of the table service and the object store.
func (f *Faults) SetStore(fault ServiceFault) {
	f.SetService(ServiceTable, fault)
	f.SetService(ServiceObjects, fault)
}

// SetWorker replaces the faults of one worker.
func (f *Faults) SetWorker(id string, fault WorkerFault) {
	f.mu.Lock()
	f.workers[id] = fault
	notify := f.onWorker[id]
	f.mu.Unlock()
	if notify != nil {
		notify(fault)
	}
}

// SetRunner replaces the faults of one runner.
func (f *Faults) SetRunner(id string, fault RunnerFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runners[id] = fault
}

// Service returns the faults of a platform service; nil Faults has none.
func (f *Faults) Service(name ServiceName) ServiceFault {
	if f == nil {
		return ServiceFault{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[name]
}

// Worker returns the faults of a worker; nil Faults has none.
func (f *Faults) Worker(id string) WorkerFault {
	if f == nil {
		return WorkerFault{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// Runner returns the faults of a runner; nil Faults has none.
func (f *Faults) Runner(id string) RunnerFault {
	if f == nil {
		return RunnerFault{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners[id]
}

// watchWorker calls notify after each change of the worker's faults.
func (f *Faults) watchWorker(id string, notify func(WorkerFault)) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onWorker[id] = notify
}

// chance returns true with probability p.
func (f *Faults) chance(p float64) bool {
	if f == nil || p <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < p
}

// delayHalf waits for half of a Slow delay. It does not stop when the client disconnects,
// because a slow service still executes the requests that it has accepted.
func delayHalf(d time.Duration) {
	if d > 0 {
		time.Sleep(min(d, maxDelay) / 2)
	}
}

// abortConnection breaks the connection without a response.
func abortConnection() { panic(http.ErrAbortHandler) }
