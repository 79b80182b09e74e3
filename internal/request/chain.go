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

// call is one request on its way through the filters.
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
	// checked is true once the claim row of key was read and allows the request.
	checked  bool
	arrived  time.Time
	deadline time.Time
	body     []byte
	grant    *grant
	claim    *heldClaim
	answer   *answer
}

// handler processes a call; every call gets exactly one answer.
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
	mem         memory

	randMu sync.Mutex
	rand   *rand.Rand
}

// New checks cfg and returns a Chain. KindInvalid reports settings or
// dependencies that are missing.
func New(cfg Config, deps Deps) (*Chain, error) {
	cfg = cfg.provision()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if deps.View == nil || deps.Hosts == nil || deps.Shares == nil {
		return nil, model.Errorf(model.KindInvalid, "set View, Hosts and Shares", "request chain lacks a dependency")
	}
	deps = provisionDeps(deps)
	m, err := newMetrics(deps.Metrics)
	if err != nil {
		return nil, err
	}
	c := &Chain{
		cfg:     cfg,
		deps:    deps,
		metrics: m,
		up:      newUpstreams(cfg),
		leaving: leavingTable{memory: cfg.LeaveMemory},
		mem:     memory{limit: cfg.BodyMemory},
		rand:    rand.New(rand.NewPCG(deps.Seed, 1)),
	}
	if cs, ok := deps.Shares.(ConnectionShares); ok {
		c.connections = cs
		cs.SetTrimmer(func(_ model.ServiceName, r model.RunnerID, limit int) bool { return c.up.trim(r, limit) })
	}
	c.run = c.build()
	return c, nil
}

// provisionDeps fills in optional dependencies.
func provisionDeps(d Deps) Deps {
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

// build composes the filters in the order of the design page.
func (c *Chain) build() handler {
	filters := []filter{c.identify, c.deadline, c.receive, c.recall, c.admit, c.claim, c.route, c.forward}
	h := handler(c.collect)
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// ServeHTTP answers a request to a service or an order.
func (c *Chain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !c.drain.enter() {
		f := c.drainRefusal()
		f.account(r, false)
		f.write(w)
		return
	}
	defer c.drain.leave()
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

// refuse answers cl with f and records the decision.
func (c *Chain) refuse(cl *call, f *Refusal, reason string) {
	f.account(cl.r, cl.checked)
	c.deps.Decisions.LogDecision(telemetry.Decision{Kind: "refuse", Subject: cl.id, Choice: string(f.outcome), Reason: reason})
	c.metrics.answered(cl.service, string(f.outcome), reason)
	f.write(cl.w)
}
