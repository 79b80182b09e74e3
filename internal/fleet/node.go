package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/linkmeter"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
	"github.com/vanillapier/vanillapier/internal/usage"
)

// Config configures a Node. All fields but Advisor, Inventory, Seed, Link, Usage and EventHook
// are required.
type Config struct {
	Node       model.NodeID
	DataCentre model.DataCentre
	// Cells fixes the number of cells of a new deployment; default by measured load.
	Cells int
	// PeerAddr is the address and port at which peers call this node.
	PeerAddr string
	// Process distinguishes processes of one node; default the start time.
	Process uint64
	// Seed fixes random choices; default the start time.
	Seed uint64
	// Started and StartedUnix are the same moment on the steady clock and, in Unix
	// milliseconds, by the time of day. Later jumps of the time of day have no effect.
	Started     time.Time
	StartedUnix int64
	Limits      Limits
	Bounds      Bounds
	Store       Store
	Workers     Workers
	Decoder     Decoder
	Advisor     Advisor
	Inventory   Inventory
	Peers       Peers
	Log         *logrus.Entry
	Metrics     *telemetry.Metrics
	// Link counts the bytes of this process's connections; nil counts none.
	Link *linkmeter.Meter
	// Usage tells what the process has used of its host; nil where that is not measured.
	Usage func() usage.Total
	// EventHook, when set, is called for each event and plan of a leader's loop. Tests emulate
	// a slow processor by it.
	EventHook func()
}

func (c *Config) provision() {
	now := time.Now()
	if c.Started.IsZero() {
		c.Started, c.StartedUnix = now, now.UnixMilli()
	}
	if c.Process == 0 {
		c.Process = uint64(now.UnixNano())
	}
	if c.Seed == 0 {
		c.Seed = c.Process
	}
}

// Node is one process of the system: it takes requests, and leads when it has won
// the lead.
type Node struct {
	cfg       Config
	log       *logrus.Entry
	metrics   *metrics
	routing   atomic.Pointer[routing]
	cellTable atomic.Pointer[cellTable]
	draining  atomic.Bool
	store     storeHealth
	pending   pendingCache
	operator  operatorTable
	clock     storeClock
	usage     atomic.Pointer[usage.Utilization]
	wg        sync.WaitGroup
	// leadRequestedAt is when this node last asked for the lead; it belongs to the
	// goroutine that follows the leaders.
	leadRequestedAt time.Time
}

// routing is the configuration that requests are routed by.
type routing struct {
	configuration Configuration
	routes        routeTable
}

// NewNode returns a node that does nothing yet.
func NewNode(cfg Config) *Node {
	cfg.provision()
	n := &Node{cfg: cfg, log: cfg.Log, metrics: newMetrics(cfg.Metrics)}
	n.handlePeers()
	return n
}

// Run follows the store, serves peers and leads when elected, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{"event": "start", "dc": n.cfg.DataCentre, "peers": n.cfg.PeerAddr, "process": n.cfg.Process}).Info("node starts")
	n.wg.Go(func() { n.watchOperatorTable(ctx) })
	n.wg.Go(func() { n.watchLeaders(ctx) })
	n.wg.Go(func() { n.monitorUsage(ctx) })
	err := n.cfg.Peers.Run(ctx)
	for _, t := range n.terms() {
		t.cancel()
	}
	n.wg.Wait()
	n.log.WithField("event", "stop").Info("node stops")
	return err
}

// Drain prepares a planned stop: the node reports that it is not ready and hands
// over the cells that it leads. It returns when the lead is given up, or when ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	n.log.WithField("event", "drain").Info("node prepares to stop")
	terms := n.terms()
	for _, t := range terms {
		t.post(stepDown{})
	}
	for _, t := range terms {
		select {
		case <-ctx.Done():
		case <-t.ctx.Done():
		}
	}
}

// terms lists the terms of the cells that this node leads.
func (n *Node) terms() []*term {
	d := n.cellTable.Load()
	if d == nil {
		return nil
	}
	var terms []*term
	for _, c := range d.cells {
		if c.leading() {
			terms = append(terms, c.term.Load())
		}
	}
	return terms
}

// readyAnswerAge is how recent an answer of the store must be for a ready node.
const readyAnswerAge = 3 * time.Second

// Ready reports whether the balancer should send new connections.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.routing.Load() != nil && n.cellTable.Load() != nil && n.store.answeredWithin(readyAnswerAge)
}

// watchOperatorTable keeps the routes up to date. A configuration is never replaced
// by an older one.
func (n *Node) watchOperatorTable(ctx context.Context) {
	_, table := n.cfg.Decoder.Tables()
	s := n.newSource(table, func(rows []Row, full bool, p Page) {
		n.clock.update(p.Now)
		n.operator.apply(rows, full, p.Version)
		for _, row := range rows {
			if !row.Removed && n.cfg.Decoder.OperatorRow(row).Configuration {
				n.applyConfiguration(row)
			}
		}
	})
	rows, page, ok := s.listUntil(ctx)
	if !ok {
		return
	}
	n.store.recordAnswer()
	s.onRows(rows, true, page)
	s.watch(ctx, page.Version)
}

func (n *Node) applyConfiguration(row Row) {
	c, err := n.operator.decode(n.cfg.Decoder, row)
	if err != nil {
		n.log.WithError(err).Error("configuration ignored")
		return
	}
	if v := n.routing.Load(); v != nil && c.Version <= v.configuration.Version {
		return
	}
	n.routing.Store(&routing{configuration: *c, routes: newRouteTable(c.Queues)})
	n.metrics.configuration.Set(float64(c.Version))
	n.log.WithFields(logrus.Fields{"event": "reload", "configuration": c.Version, "store_version": row.Version, "queues": len(c.Queues)}).Info("routes are in force")
}

// newSource returns a table of one part whose answers inform the node's health.
func (n *Node) newSource(table string, onRows func([]Row, bool, Page)) tableSource {
	return tableSource{
		store: n.cfg.Store, table: table, parts: []string{""}, jitter: jitter,
		onRows: func(rows []Row, full bool, p Page) {
			n.recordStoreAnswer()
			onRows(rows, full, p)
		},
		onError: n.recordStoreFailure,
	}
}

// recordStoreAnswer notes an answer of the store.
func (n *Node) recordStoreAnswer() {
	if n.store.recordAnswer() {
		n.log.WithField("event", "regained").Info("store answers again")
	}
}

// recordStoreFailure notes a failed read. History that is gone is an answer.
func (n *Node) recordStoreFailure(err error) {
	n.metrics.readErrors.WithLabelValues(resultLabel(err)).Inc()
	if !model.IsKind(err, model.KindStale) && n.store.recordFailure() {
		n.log.WithError(err).WithField("event", "lost").Warn("store does not answer")
	}
}

// jitter spreads retries of the nodes.
func jitter() time.Duration { return time.Duration(rand.Int64N(int64(readPause))) }

// storeHealth tracks whether the store answers this node.
type storeHealth struct {
	mu         sync.Mutex
	answeredAt time.Time
	failures   int
	// latency is the longest time of a recent transaction; it fades with each.
	latency time.Duration
}

// latencyDecay is what is left of a long latency after each shorter one.
const latencyDecay = 0.8

// recordLatency notes the time of a transaction that was answered.
func (h *storeHealth) recordLatency(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency = max(d, time.Duration(latencyDecay*float64(h.latency)))
}

// acceptBounds returns the time-out of a try to store a job and the number of
// tries without an answer. A slow store gets one long try.
func (h *storeHealth) acceptBounds() (time.Duration, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures >= lostThreshold || h.latency < slowStoreLatency {
		return acceptTimeout, acceptTries
	}
	return acceptTimeoutMax, 1
}

// recordAnswer notes an answer and reports whether the store was lost before.
func (h *storeHealth) recordAnswer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	lost := h.failures >= lostThreshold
	h.answeredAt, h.failures = time.Now(), 0
	return lost
}

// recordFailure notes a call without an answer and reports whether the store counts as
// lost from now on.
func (h *storeHealth) recordFailure() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	return h.failures == lostThreshold
}

// lostThreshold is how many failures in a row mean that the store is lost.
const lostThreshold = 2

// lost reports whether the store has failed several times in a row.
func (h *storeHealth) lost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= lostThreshold
}

func (h *storeHealth) answeredWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.answeredAt) < d
}

// storeClock estimates the store's steady clock.
type storeClock struct {
	mu  sync.Mutex
	now time.Duration
	at  time.Time
}

func (c *storeClock) update(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now > 0 {
		c.now, c.at = now, time.Now()
	}
}

// estimate returns the store's time, or 0 when it is unknown.
func (c *storeClock) estimate() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return 0
	}
	return c.now + time.Since(c.at)
}
