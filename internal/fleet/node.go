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

// Config configures a Node. Required are all fields except those with a default and Advisor,
// Inventory, Link, Usage and EventHook.
type Config struct {
	Node       model.NodeID
	DataCentre model.DataCentre
	// Cells fixes the number of cells of a new deployment; 0 derives it from the sizes of
	// the hosts and the fleet.
	Cells int
	// PeerAddr is the address and port on which this node serves peers.
	PeerAddr string
	// Process distinguishes successive processes of one node; defaults to the start time.
	Process uint64
	// Seed seeds the random choices; defaults to Process.
	Seed uint64
	// Started and StartedUnix are the same moment on the monotonic clock and on the wall
	// clock, the latter in Unix milliseconds; default to the call of NewNode. Later jumps of
	// the wall clock have no effect.
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
	// Usage returns what the process has used of its host; nil where that is not measured.
	Usage func() usage.Total
	// Suspended returns for how long the host has been suspended in all; nil where that is not measured.
	Suspended func() time.Duration
	// EventHook, when set, is called before each event and plan of a leader's loop. Tests use
	// it to emulate a slow processor.
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

// Node is one process of the system. It serves callers' requests, and leads the cells for
// which it has won an election.
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
	startedAt time.Time // no earlier than the end of the node's former process
	// leadershipRequestedAt is when this node last asked a leader to hand over; owned by the
	// goroutine of watchLeaders.
	leadershipRequestedAt time.Time
	// watchPause is the last pause of watchLeaders before its present watch; owned by the same goroutine.
	watchPause watchPause
}

// routing is the configuration by which requests are routed.
type routing struct {
	configuration Configuration
	routes        routeTable
}

// NewNode returns a node; Run starts it.
func NewNode(cfg Config) *Node {
	cfg.provision()
	n := &Node{cfg: cfg, log: cfg.Log, metrics: newMetrics(cfg.Metrics), startedAt: time.Now()}
	n.handlePeers()
	return n
}

// Run watches the store, serves peers and leads cells when elected, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{"event": "start", "dc": n.cfg.DataCentre, "peers": n.cfg.PeerAddr, "process": n.cfg.Process}).Info("node started")
	n.wg.Go(func() { n.watchOperatorTable(ctx) })
	n.wg.Go(func() { n.watchLeaders(ctx) })
	n.wg.Go(func() { n.monitorUsage(ctx) })
	err := n.cfg.Peers.Run(ctx)
	for _, t := range n.terms() {
		t.cancel()
	}
	n.wg.Wait()
	n.log.WithField("event", "stop").Info("node stopped")
	return err
}

// Drain prepares a planned stop: the node reports that it is not ready and releases the
// cells that it leads. It returns when all of them are released, or when ctx ends.
func (n *Node) Drain(ctx context.Context) {
	n.draining.Store(true)
	n.log.WithField("event", "drain").Info("node is draining")
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

// readyAnswerAge is the maximum age of the store's last answer for the node to be ready.
const readyAnswerAge = 3 * time.Second

// Ready reports whether the load balancer should send new connections to this node.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.routing.Load() != nil && n.cellTable.Load() != nil && n.store.answeredWithin(readyAnswerAge)
}

// watchOperatorTable keeps the operators' table and the routes up to date. An older
// configuration never replaces a newer one.
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
		n.log.WithError(err).Error("ignored an undecodable configuration")
		return
	}
	if v := n.routing.Load(); v != nil && c.Version <= v.configuration.Version {
		return
	}
	n.routing.Store(&routing{configuration: *c, routes: newRouteTable(c.Queues)})
	n.metrics.configuration.Set(float64(c.Version))
	n.log.WithFields(logrus.Fields{"event": "reload", "configuration": c.Version, "store_version": row.Version, "queues": len(c.Queues)}).Info("routes updated")
}

// newSource returns a source for a table of one part. Its calls update the store's health.
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

// recordStoreAnswer records an answer of the store.
func (n *Node) recordStoreAnswer() {
	if n.store.recordAnswer() {
		n.log.WithField("event", "regained").Info("store answers again")
	}
}

// recordStoreFailure records a failed read. A watch whose history the store has dropped is
// an answer and no failure.
func (n *Node) recordStoreFailure(err error) {
	n.metrics.readErrors.WithLabelValues(resultLabel(err)).Inc()
	if !model.IsKind(err, model.KindStale) {
		n.recordStoreLoss(err)
	}
}

// recordStoreLoss records a call that the store did not answer.
func (n *Node) recordStoreLoss(err error) {
	if n.store.recordFailure() {
		n.log.WithError(err).WithField("event", "lost").Warn("store does not answer")
	}
}

// jitter returns a random delay that spreads the retries of the nodes.
func jitter() time.Duration { return time.Duration(rand.Int64N(int64(readPause))) }

// storeHealth tracks whether the store answers this node.
type storeHealth struct {
	mu         sync.Mutex
	answeredAt time.Time
	failures   int
	// latency is the longest recent transaction time; it decays with each transaction.
	latency time.Duration
	// regained is closed when a lost store answers; nil while nobody waits.
	regained chan struct{}
}

// latencyDecay is the factor by which a shorter transaction reduces the recorded latency.
const latencyDecay = 0.8

// recordLatency records the time of a transaction that was answered.
func (h *storeHealth) recordLatency(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency = max(d, time.Duration(latencyDecay*float64(h.latency)))
}

// acceptBounds returns the timeout of an attempt to store a job and the maximum number of
// attempts without an answer. A slow store gets one long attempt: repeating the call would
// make it slower still.
func (h *storeHealth) acceptBounds() (time.Duration, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failures >= lostThreshold || h.latency < slowStoreLatency {
		return acceptTimeout, acceptTries
	}
	return acceptTimeoutMax, 1
}

// recordAnswer records an answer and reports whether the store was lost before it.
func (h *storeHealth) recordAnswer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	lost := h.failures >= lostThreshold
	h.answeredAt, h.failures = time.Now(), 0
	if h.regained != nil {
		close(h.regained)
		h.regained = nil
	}
	return lost
}

// waitRegained waits until a lost store answers, at most until the given time, and reports
// whether it does. It reports false at once if the store is not lost.
func (h *storeHealth) waitRegained(ctx context.Context, until time.Time) bool {
	h.mu.Lock()
	if h.failures < lostThreshold {
		h.mu.Unlock()
		return false
	}
	if h.regained == nil {
		h.regained = make(chan struct{})
	}
	regained := h.regained
	h.mu.Unlock()
	wait, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	select {
	case <-regained:
		return true
	case <-wait.Done():
		return false
	}
}

// recordFailure records a call without an answer and reports whether the store counts as
// lost from this call on.
func (h *storeHealth) recordFailure() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	return h.failures == lostThreshold
}

// lostThreshold is the number of consecutive failures from which the store counts as lost.
const lostThreshold = 2

// lost reports whether the store has failed lostThreshold times in a row.
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

// storeClock estimates the store's monotonic clock.
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
