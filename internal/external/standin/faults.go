package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxDelay bounds a Slow fault, so that a forgotten switch ends a test run.
const maxDelay = 30 * time.Second

// ServiceFault chooses the faults of the table service, object store or host
// list. The zero value means no fault.
type ServiceFault struct {
	// Down refuses each request with 503; nothing takes effect.
	Down bool
	// Cut breaks each connection after the request was read; nothing takes effect.
	Cut bool
	// Slow delays each request, half of it before the effect and half after it.
	Slow time.Duration
	// LoseAnswer is the probability that a write takes effect and its answer is lost.
	LoseAnswer float64
	// StaleReads is the probability that a read sees the state before the last write.
	StaleReads float64
	// Lag delays what the host list shows.
	Lag time.Duration
}

// WorkerFault chooses the faults of one worker. The zero value means no fault.
type WorkerFault struct {
	// Down refuses connections as far as a handler can: it breaks them unanswered.
	Down bool
	// Slow delays each command, half of it before the effect and half after it.
	Slow time.Duration
	// LoseAnswer is the probability that a command takes effect and its report is lost.
	LoseAnswer float64
	// Paused stops the worker process and its tasks. Leases run out meanwhile.
	Paused bool
	// FailStarts makes each started attempt fail after a short time.
	FailStarts bool
	// UsageLag replaces the configured lag of usage and service samples when above zero.
	UsageLag time.Duration
}

// RunnerFault chooses the faults of one runner. The zero value means no fault.
type RunnerFault struct {
	// SlowFactor multiplies service times when above zero.
	SlowFactor float64
	// Hang keeps requests open without an answer.
	Hang bool
	// Reset executes the request and breaks the connection within the body.
	Reset bool
	// WrongLength executes the request and announces more bytes than it sends.
	WrongLength bool
	// Leaving refuses new requests with 503, Connection: close and Vpier-Leaving: true.
	Leaving bool
	// AcceptThenDie breaks the connection after the request was read, before execution.
	AcceptThenDie bool
	// Down breaks each connection before the request is read.
	Down bool
}

// Faults is the controller of all injected faults. Its seed fixes the sequence
// of random choices. It is safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[ServiceName]ServiceFault
	workers  map[string]WorkerFault
	runners  map[string]RunnerFault
	onWorker map[string]func(WorkerFault)
}

// ServiceName names a platform service in the fault controller.
type ServiceName string

// Names of the platform services.
const (
	ServiceTable   ServiceName = "table"
	ServiceObjects ServiceName = "objects"
	ServiceHosts   ServiceName = "hosts"
)

// NewFaults returns a controller without active faults.
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

// Service returns the faults of a platform service; a nil controller has none.
func (f *Faults) Service(name ServiceName) ServiceFault {
	if f == nil {
		return ServiceFault{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[name]
}

// Worker returns the faults of a worker; a nil controller has none.
func (f *Faults) Worker(id string) WorkerFault {
	if f == nil {
		return WorkerFault{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id]
}

// Runner returns the faults of a runner; a nil controller has none.
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

// chance reports true with probability p.
func (f *Faults) chance(p float64) bool {
	if f == nil || p <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < p
}

// pause waits for half of a Slow fault. It ignores the caller's departure, as a
// slow service still carries out what it has accepted.
func pause(d time.Duration) {
	if d > 0 {
		time.Sleep(min(d, maxDelay) / 2)
	}
}

// breakConnection ends the request without an answer.
func breakConnection() { panic(http.ErrAbortHandler) }
