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
	// HeaderLeaving is "true" on a refusal by a runner that leaves service.
	HeaderLeaving = "Vpier-Leaving"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderRunner names the runner that executed the request.
	HeaderRunner = "Vpier-Runner"
)

// Defaults of RunnerConfig.
const (
	defaultSlots       = 8
	defaultConnections = 64
	// maxRunnerBody bounds the body of a request to a runner, in bytes.
	maxRunnerBody = 64 << 20
	// falseLength is the number of bytes announced but not sent under WrongLength.
	falseLength = 100
)

// ServiceTime is a log-normal distribution of service times.
type ServiceTime struct {
	// Median is the median service time; zero answers at once.
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
	// Slots bounds requests in execution; default 8. Excess requests are refused.
	Slots int
	// Connections bounds open connections; default 64. Excess ones are closed.
	Connections int
	// Time is the distribution of service times.
	Time ServiceTime
	// Slowdown returns a further factor of the service time; nil means 1.
	Slowdown func() float64
	// Ledger records executions and violations; nil creates one.
	Ledger *Ledger
	// Faults injects faults; nil means none.
	Faults *Faults
	// Seed fixes the service times.
	Seed uint64
}

// RunnerStats counts what a runner has seen.
type RunnerStats struct {
	// Executed is the number of requests executed.
	Executed int
	// SlotRefusals and ConnectionRefusals count violations of the limits.
	SlotRefusals       int
	ConnectionRefusals int
	// LeavingRefusals counts requests refused because the runner was leaving.
	LeavingRefusals int
	// LastWhileLeaving is how long after the first refusal of the present leave
	// the latest request arrived (R8).
	LastWhileLeaving time.Duration
	// MaxInFlight and MaxConnections are the largest values observed.
	MaxInFlight    int
	MaxConnections int
}

// Runner is an upstream process of a service.
type Runner struct {
	cfg  RunnerConfig
	done chan struct{}
	stop sync.Once

	mu       sync.Mutex
	rng      *rand.Rand
	inFlight int
	conns    map[net.Conn]struct{}
	leaving  time.Time
	stats    RunnerStats
	keys     map[string]int
}

// NewRunner returns an idle runner. Close ends requests that hang.
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

// Close ends requests that hang.
func (r *Runner) Close() { r.stop.Do(func() { close(r.done) }) }

// Stats returns the counts so far.
func (r *Runner) Stats() RunnerStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Executions returns how often this runner executed a request with the key.
func (r *Runner) Executions(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}

// ConnState counts connections; it is the http.Server hook of the same name.
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

// ServeHTTP executes one request: it waits for the service time and echoes the
// body, or without one answers with a description of the request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	fault := r.cfg.Faults.Runner(string(r.cfg.ID))
	if fault.Down {
		breakConnection()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRunnerBody))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	if fault.AcceptThenDie {
		breakConnection()
	}
	if r.refuseLeaving(w, fault.Leaving) || r.refuseSlot(w) {
		return
	}
	defer r.release()
	r.execute(req.Header.Get(HeaderKey))
	r.serve(req, fault)
	r.answer(w, req, fault, body)
}

func (r *Runner) refuseLeaving(w http.ResponseWriter, leaving bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !leaving {
		r.leaving = time.Time{}
		return false
	}
	if r.leaving.IsZero() {
		r.leaving = time.Now()
	}
	r.stats.LeavingRefusals++
	r.stats.LastWhileLeaving = time.Since(r.leaving)
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

func (r *Runner) execute(key string) {
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

// serve waits for the service time; under Hang it waits for the caller or Close.
func (r *Runner) serve(req *http.Request, fault RunnerFault) {
	if fault.Hang {
		select {
		case <-req.Context().Done():
		case <-r.done:
		}
		breakConnection()
	}
	d := r.sample()
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

func (r *Runner) sample() time.Duration {
	factor := 1.0
	if r.cfg.Slowdown != nil {
		factor = r.cfg.Slowdown()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(r.cfg.Time.Median) * factor * math.Exp(r.cfg.Time.Sigma*r.rng.NormFloat64()))
}

// RunnerAnswer is the answer to a request without a body.
type RunnerAnswer struct {
	Runner  model.RunnerID    `json:"runner"`
	Service model.ServiceName `json:"service"`
	Path    string            `json:"path"`
	Key     string            `json:"key,omitempty"`
}

func (r *Runner) answer(w http.ResponseWriter, req *http.Request, fault RunnerFault, body []byte) {
	key := req.Header.Get(HeaderKey)
	contentType := req.Header.Get("Content-Type")
	if len(body) == 0 {
		data, err := json.Marshal(RunnerAnswer{r.cfg.ID, r.cfg.Service, req.URL.RequestURI(), key})
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
		length += falseLength
	}
	h.Set("Content-Length", strconv.Itoa(length))
	if fault.Reset {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush() // the first half must reach the reader
		breakConnection()
	}
	_, _ = w.Write(body)
}
