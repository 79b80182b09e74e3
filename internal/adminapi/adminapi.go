// Package adminapi serves a node's admin HTTP API under /v1/admin/: proposing,
// accepting and rejecting declarations, taking data centres out of service and
// returning them, the history of these commands, and status.
//
// Each command carries the control sequence that the operator last saw, for
// optimistic concurrency control: if another operator's record was appended since,
// the command fails with 409 and the response contains that record. Each command
// also carries a request id that makes it idempotent.
package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Prefix is the path under which the API is served.
const Prefix = "/v1/admin/"

// Config holds the settings of the API. Zero values select the defaults.
type Config struct {
	// OperatorsFile lists the operators; see Operators. Required.
	OperatorsFile string
	// AllowPlaintext accepts requests without TLS from other hosts than this
	// one. Default false; requests over loopback are always accepted.
	AllowPlaintext bool
	// MaxBodyBytes bounds the body of a command. Default 2 MB, about 15 times a
	// declaration of the target size; validating 10 MB takes about 10 s of
	// CPU time.
	MaxBodyBytes int64
	// RequestsPerSecond and Burst bound the requests of one operator. Default
	// 20 a second with bursts of 40.
	RequestsPerSecond float64
	Burst             int
	// CommandTimeout bounds one command. Default 10 s.
	CommandTimeout time.Duration
}

// Default values of Config.
const (
	defaultMaxBodyBytes      = 2_000_000
	defaultRequestsPerSecond = 20
	defaultBurst             = 40
	defaultCommandTimeout    = 10 * time.Second
)

// withDefaults fills in the zero values of c.
func (c Config) withDefaults() Config {
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.RequestsPerSecond == 0 {
		c.RequestsPerSecond = defaultRequestsPerSecond
	}
	if c.Burst == 0 {
		c.Burst = defaultBurst
	}
	if c.CommandTimeout == 0 {
		c.CommandTimeout = defaultCommandTimeout
	}
	return c
}

// Control is this node's access to the control journal.
type Control interface {
	// View returns the latest applied view, or nil before the first one.
	View() *control.View
	// Append writes rec as the record after sequence seen and returns its sequence.
	// The error is of kind conflict when another record has that sequence, unknown
	// when rec may have been written, and unavailable when it was not.
	Append(ctx context.Context, seen uint64, rec control.Record) (uint64, error)
	// History returns up to limit entries with a sequence of at least from, in
	// order.
	History(ctx context.Context, from uint64, limit int) ([]control.Entry, error)
}

// Status reports the state of the node and the latest state received from its peers.
type Status interface {
	Status(ctx context.Context) (NodeStatus, error)
}

// Cluster reports the state of all nodes that respond to this one. If a Status
// implements it, status/all returns the states of all of them.
type Cluster interface {
	Cluster(ctx context.Context) (ClusterStatus, error)
}

// TextStore stores declaration texts that are too long for a journal record, keyed
// by digest.
type TextStore interface {
	PutText(ctx context.Context, digest string, text []byte) error
	Text(ctx context.Context, digest string) ([]byte, error)
}

// Deps are the dependencies of the API.
type Deps struct {
	Control Control
	Status  Status
	// Texts stores texts above 64 KiB. When it is nil, every text is stored in its
	// journal record.
	Texts TextStore
	// Log receives one line for each command. Required.
	Log *logrus.Entry
	// Now returns the time written into records. Default time.Now.
	Now func() time.Time
}

// server holds the state behind the handlers.
type server struct {
	cfg       Config
	deps      Deps
	operators *operatorsFile
	limits    *limits
	// checkSemaphore allows one validation of a text at a time, which bounds memory.
	checkSemaphore chan struct{}
}

// New returns the handler of the API. It fails when the configuration or the
// operators file is invalid.
func New(cfg Config, deps Deps) (http.Handler, error) {
	if deps.Control == nil || deps.Status == nil || deps.Log == nil {
		return nil, model.Errorf(model.KindInvalid, "set Control, Status and Log", "the admin API lacks a dependency")
	}
	if deps.Now == nil {
		deps.Now = time.Now
	}
	cfg = cfg.withDefaults()
	operators, err := openOperators(cfg.OperatorsFile, deps.Log)
	if err != nil {
		return nil, err
	}
	s := &server{
		cfg: cfg, deps: deps, operators: operators,
		limits:         newLimits(rate.Limit(cfg.RequestsPerSecond), cfg.Burst),
		checkSemaphore: make(chan struct{}, 1),
	}
	return s.routes(), nil
}

// routes returns the handlers by path.
func (s *server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+Prefix+"view", s.handle(s.view))
	mux.Handle("GET "+Prefix+"status", s.handle(s.status))
	mux.Handle("GET "+Prefix+"status/all", s.handle(s.cluster))
	mux.Handle("GET "+Prefix+"history", s.handle(s.history))
	mux.Handle("POST "+Prefix+"propose", s.handle(s.propose))
	mux.Handle("POST "+Prefix+"accept", s.handle(s.accept))
	mux.Handle("POST "+Prefix+"reject", s.handle(s.reject))
	mux.Handle("POST "+Prefix+"data-centres/{name}/out", s.handle(s.dataCentreOut))
	mux.Handle("POST "+Prefix+"data-centres/{name}/in", s.handle(s.dataCentreIn))
	mux.Handle("/", s.handle(func(r *http.Request, _ string) (any, error) {
		return nil, model.Errorf(model.KindNotFound, "see docs/OPERATIONS.md for the paths", "there is no %s %s", r.Method, r.URL.Path)
	}))
	return mux
}

// handle authenticates the operator, applies the rate limits, runs fn and writes
// its result as JSON.
func (s *server) handle(fn func(r *http.Request, actor string) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, err := s.authenticate(r)
		if err == nil {
			err = s.limits.allow(actor)
		}
		if err != nil {
			s.writeError(w, r, actor, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), s.cfg.CommandTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes)
		reply, err := fn(r.WithContext(ctx), actor)
		if err != nil {
			s.writeError(w, r, actor, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	})
}
