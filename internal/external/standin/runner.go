package standin

import (
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Headers of the runner protocol.
const (
	// HeaderLeaving is "true" on the 503 response of a runner that leaves service.
	HeaderLeaving = "Vpier-Leaving"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRunner is the id of the runner that executed the request.
	HeaderRunner = "Vpier-Runner"
)

// Defaults of RunnerConfig.
const (
	defaultSlots       = 8
	defaultConnections = 64
	// maxRunnerBody bounds the body of a request to a runner, in bytes.
	maxRunnerBody = 64 << 20
	// undersentBytes is the number of bytes by which Content-Length exceeds the body under
	// WrongLength.
	undersentBytes = 100
)

// ServiceTime is a log-normal distribution of service times.
type ServiceTime struct {
	// Median is the median service time; with zero, requests take no time.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; zero makes it constant.
	Sigma float64
}

// RunnerConfig describes a runner.
type RunnerConfig struct {
	// ID identifies the runner. Required.
	ID model.RunnerID
	// Service is the service that the runner serves.
	Service model.ServiceName
	// Slots bounds requests in execution; default 8. Excess requests are rejected.
	Slots int
	// Connections bounds open connections; default 64. Excess ones are closed.
	Connections int
	// Time is the distribution of service times.
	Time ServiceTime
	// Slowdown returns an additional factor of the service time; nil means 1.
	Slowdown func() float64
	// Ledger records executions and violations; nil creates one.
	Ledger *Ledger
	// Faults injects faults; nil means none.
	Faults *Faults
	// Seed determines the service times.
	Seed uint64
}

// RunnerStats are the statistics of a runner.
type RunnerStats struct {
	// Executed is the number of requests executed.
	Executed int
	// SlotRefusals and ConnectionRefusals count violations of the limits.
	SlotRefusals       int
	ConnectionRefusals int
	// LeavingRefusals counts requests rejected because the runner was leaving.
	LeavingRefusals int
	// LastWhileLeaving is the time between the first rejection since the runner began to
	// leave and the latest request (R8).
	LastWhileLeaving time.Duration
	// MaxInFlight and MaxConnections are the largest values observed.
	MaxInFlight    int
	MaxConnections int
}

// Runner simulates an upstream process of a service.
type Runner struct {
	cfg  RunnerConfig
	done chan struct{}
	stop sync.Once

	mu           sync.Mutex
	rng          *rand.Rand
	inFlight     int
	conns        map[net.Conn]struct{}
	leavingSince time.Time
	stats        RunnerStats
	keys         map[string]int
}

// NewRunner returns an idle runner. Close ends hanging requests.
func NewRunner(cfg RunnerConfig) *Runner {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Connections == 0 {
		cfg.Connections = defaultConnections
	}
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	return &Runner{
		cfg: cfg, done: make(chan struct{}), rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		conns: map[net.Conn]struct{}{}, keys: map[string]int{},
	}
}

// Close ends hanging requests.
func (r *Runner) Close() { r.stop.Do(func() { close(r.done) }) }

// Stats returns the counts so far.
func (r *Runner) Stats() RunnerStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Executions returns the number of executions of requests with the key on this runner.
func (r *Runner) Executions(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}

// ConnState counts connections. It is used as http.Server.ConnState.
func (r *Runner) ConnState(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(r.conns) >= r.cfg.Connections {
			r.stats.ConnectionRefusals++
			r.cfg.Ledger.Report(RuleConnections, time.Now(), "runner %s: more than %d connections", r.cfg.ID, r.cfg.Connections)
			_ = c.Close()
			return
		}
		r.conns[c] = struct{}{}
		r.stats.MaxConnections = max(r.stats.MaxConnections, len(r.conns))
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// ServeHTTP executes one request: it waits for the service time and echoes the body. The
// response to a request without a body is a RunnerResponse.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	fault := r.cfg.Faults.Runner(string(r.cfg.ID))
	if fault.Down {
		abortConnection()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRunnerBody))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	if fault.BreakBeforeExecution {
		abortConnection()
	}
	if r.refuseLeaving(w, fault.Leaving) || r.refuseSlot(w) {
		return
	}
	defer r.release()
	r.recordExecution(req.Header.Get(HeaderKey))
	r.simulateWork(req, fault)
	r.respond(w, req, fault, body)
}

func (r *Runner) refuseLeaving(w http.ResponseWriter, leaving bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !leaving {
		r.leavingSince = time.Time{}
		return false
	}
	if r.leavingSince.IsZero() {
		r.leavingSince = time.Now()
	}
	r.stats.LeavingRefusals++
	r.stats.LastWhileLeaving = time.Since(r.leavingSince)
	w.Header().Set("Connection", "close")
	w.Header().Set(HeaderLeaving, "true")
	http.Error(w, "leaving service", http.StatusServiceUnavailable)
	return true
}

func (r *Runner) refuseSlot(w http.ResponseWriter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.cfg.Slots {
		r.stats.SlotRefusals++
		r.cfg.Ledger.Report(RuleSlots, time.Now(), "runner %s: more than %d requests", r.cfg.ID, r.cfg.Slots)
		http.Error(w, "all slots in use", http.StatusServiceUnavailable)
		return true
	}
	r.inFlight++
	r.stats.MaxInFlight = max(r.stats.MaxInFlight, r.inFlight)
	return false
}

func (r *Runner) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

func (r *Runner) recordExecution(key string) {
	r.mu.Lock()
	r.stats.Executed++
	if key != "" {
		r.keys[key]++
	}
	r.mu.Unlock()
	if key != "" {
		r.cfg.Ledger.Executed(key)
	}
}

// simulateWork waits for the service time. Under Hang it waits until the client disconnects
// or the runner is closed.
func (r *Runner) simulateWork(req *http.Request, fault RunnerFault) {
	if fault.Hang {
		select {
		case <-req.Context().Done():
		case <-r.done:
		}
		abortConnection()
	}
	d := r.sampleServiceTime()
	if fault.SlowFactor > 0 {
		d = time.Duration(float64(d) * fault.SlowFactor)
	}
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.done:
	}
}

func (r *Runner) sampleServiceTime() time.Duration {
	factor := 1.0
	if r.cfg.Slowdown != nil {
		factor = r.cfg.Slowdown()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(r.cfg.Time.Median) * factor * math.Exp(r.cfg.Time.Sigma*r.rng.NormFloat64()))
}

// RunnerResponse is the response to a request without a body.
type RunnerResponse struct {
	Runner  model.RunnerID    `json:"runner"`
	Service model.ServiceName `json:"service"`
	Path    string            `json:"path"`
	Key     string            `json:"key,omitempty"`
}

func (r *Runner) respond(w http.ResponseWriter, req *http.Request, fault RunnerFault, body []byte) {
	key := req.Header.Get(HeaderKey)
	contentType := req.Header.Get("Content-Type")
	if len(body) == 0 {
		data, err := json.Marshal(RunnerResponse{r.cfg.ID, r.cfg.Service, req.URL.RequestURI(), key})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		body, contentType = data, "application/json"
	}
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set(HeaderRunner, string(r.cfg.ID))
	if key != "" {
		h.Set(HeaderKey, key)
	}
	length := len(body)
	if fault.WrongLength {
		length += undersentBytes
	}
	h.Set("Content-Length", strconv.Itoa(length))
	if fault.Reset {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush() // the first half must reach the client
		abortConnection()
	}
	_, _ = w.Write(body)
}
