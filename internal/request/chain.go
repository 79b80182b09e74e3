package request

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// call is the state of one request in the filter chain.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	id      string
	view    *control.View
	svc     *declaration.Service
	service model.ServiceName
	path    string
	caller  string

	idempotent bool
	key        string
	// claimChecked is true once the claim row of key has been read and allows the request.
	claimChecked bool
	arrived      time.Time
	deadline     time.Time
	body         []byte
	grant        *grant
	claim        *heldClaim
	response     *response
}

// handler processes a call; every call gets exactly one response.
type handler func(c *call)

// filter wraps the next handler with one step of the chain.
type filter func(next handler) handler

// Chain serves callers' requests. It is safe for concurrent use.
type Chain struct {
	cfg     Config
	deps    Deps
	run     handler
	up      *upstreams
	leaving leavingTable
	pools   sync.Map // model.ServiceName to *pool
	// connections is nil when Shares does not divide connections.
	connections ConnectionShares
	drain       drainState
	metrics     *metrics
	mem         bodyMemory

	randMu sync.Mutex
	rand   *rand.Rand
}

// New validates cfg and returns a Chain. It returns KindInvalid for settings out of range and
// missing dependencies.
func New(cfg Config, deps Deps) (*Chain, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if deps.View == nil || deps.Hosts == nil || deps.Shares == nil {
		return nil, model.Errorf(model.KindInvalid, "set View, Hosts and Shares", "request chain lacks a dependency")
	}
	deps = depsWithDefaults(deps)
	m, err := newMetrics(deps.Metrics)
	if err != nil {
		return nil, err
	}
	c := &Chain{
		cfg:     cfg,
		deps:    deps,
		metrics: m,
		up:      newUpstreams(cfg),
		leaving: leavingTable{retention: cfg.LeavingRetention},
		mem:     bodyMemory{limit: cfg.BodyMemory},
		rand:    rand.New(rand.NewPCG(deps.Seed, 1)),
	}
	if cs, ok := deps.Shares.(ConnectionShares); ok {
		c.connections = cs
		cs.SetTrimmer(func(_ model.ServiceName, r model.RunnerID, limit int) bool { return c.up.trim(r, limit) })
	}
	c.run = c.build()
	return c, nil
}

// depsWithDefaults returns d with defaults for optional dependencies.
func depsWithDefaults(d Deps) Deps {
	if d.Clock == nil {
		d.Clock = time.Now
	}
	if d.Decisions == nil {
		d.Decisions = telemetry.Discard{}
	}
	if d.Metrics == nil {
		d.Metrics = prometheus.NewRegistry()
	}
	return d
}

// build composes the filters in the order in which a request passes them.
func (c *Chain) build() handler {
	filters := []filter{c.identify, c.deadline, c.bufferBody, c.lookupKey, c.admit, c.claim, c.route, c.forward}
	h := handler(c.respond)
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// ServeHTTP handles a request to a service or an order.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.drain.tryAdd() {
		f := c.drainRefusal()
		f.correctOutcome(r, false)
		f.write(w)
		return
	}
	defer c.drain.done()
	if r.URL.Path == ordersPath || strings.HasPrefix(r.URL.Path, ordersPath+"/") {
		c.serveOrders(w, r)
		return
	}
	c.run(&call{w: w, r: r, ctx: r.Context(), id: c.newID(), arrived: c.deps.Clock()})
}

// newID returns 128 random bits in hexadecimal.
func (c *Chain) newID() string {
	c.randMu.Lock()
	a, b := c.rand.Uint64(), c.rand.Uint64()
	c.randMu.Unlock()
	var raw [16]byte
	for i := range 8 {
		raw[i] = byte(a >> (8 * i))
		raw[8+i] = byte(b >> (8 * i))
	}
	return hex.EncodeToString(raw[:])
}

// refuse responds to cl with f and logs the decision.
func (c *Chain) refuse(cl *call, f *Refusal, reason string) {
	f.correctOutcome(cl.r, cl.claimChecked)
	c.deps.Decisions.LogDecision(telemetry.Decision{Kind: "refuse", Subject: cl.id, Choice: string(f.outcome), Reason: reason})
	c.metrics.countResponse(cl.service, string(f.outcome), reason)
	f.write(cl.w)
}
