package share

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// refreshInterval is the interval at which state that depends on the time is
	// recomputed.
	refreshInterval = 50 * time.Millisecond
	// usageIdleTimeout is how long the usage of a runner is kept after its limit was last
	// requested.
	usageIdleTimeout = 10 * time.Minute
	// maxRelayed bounds the number of other nodes' acknowledgements in one digest.
	maxRelayed = 16
	// defaultSlots, defaultConnections and defaultMaxExecution apply where the declaration
	// has no value.
	defaultSlots        = 8
	defaultConnections  = 64
	defaultMaxExecution = 5 * time.Second
)

// Trimmer closes a node's idle connections to a runner down to limit. It reports
// whether at most limit connections remain.
type Trimmer func(service model.ServiceName, runner model.RunnerID, limit int) bool

// Manager tracks the slots that a node holds at all runners. It is safe for concurrent use.
type Manager struct {
	view  func() *control.View
	clock func() time.Time
	self  model.NodeID

	mu           sync.Mutex
	state        *State
	lastView     *control.View
	services     map[model.ServiceName]Service
	maxExecution time.Duration
	usages       map[usageKey]*slotUsage
	refreshedAt  time.Time
	lastLeaseID  uint64
	trim         Trimmer
	relayFrom    int
}

type usageKey struct {
	service model.ServiceName
	runner  model.RunnerID
}

// Options holds what a Manager needs.
type Options struct {
	Node   model.NodeID
	Policy Policy
	// View returns the node's current view.
	View func() *control.View
	// HostRemoved reports whether the host list once contained the node's host and no
	// longer does. Nil means never.
	HostRemoved func(model.NodeID) bool
	// Clock returns the time. Default time.Now.
	Clock func() time.Time
}

// NewManager returns a Manager that holds no slots until its first view.
func NewManager(o Options) *Manager {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return &Manager{
		view: o.View, clock: o.Clock, self: o.Node,
		state:    NewState(o.Node, o.Policy, o.HostRemoved),
		services: map[model.ServiceName]Service{}, usages: map[usageKey]*slotUsage{},
		maxExecution: defaultMaxExecution,
	}
}

// Apply applies a view. The Manager also reads the current view by itself; passing every view
// in order avoids gaps, which delay gained slots.
func (m *Manager) Apply(v *control.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.apply(now, v)
	m.refresh(now)
}

// apply applies v to the state and reads the limits of the declaration.
func (m *Manager) apply(now time.Time, v *control.View) {
	if v == nil || v == m.lastView {
		return
	}
	m.lastView = v
	m.state.Apply(now, v)
	if v.Declaration == nil {
		return
	}
	m.services = make(map[model.ServiceName]Service, len(v.Declaration.Services))
	m.maxExecution = 0
	for _, d := range v.Declaration.Services {
		s := Service{Name: d.Name, Slots: orDefault(d.SlotsPerRunner, defaultSlots), Connections: orDefault(d.ConnectionsPerRunner, defaultConnections)}
		s.MaxExecution = orDefault(d.DefaultTimeout.D(), defaultMaxExecution)
		m.services[d.Name] = s
		m.maxExecution = max(m.maxExecution, s.MaxExecution)
	}
	m.state.version++
}

// orDefault returns v, or def when v is not positive.
func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// sync applies the current view and refreshes the state.
func (m *Manager) sync(now time.Time) {
	m.apply(now, m.view())
	m.refresh(now)
}

// refresh refreshes the state at most once per refreshInterval.
func (m *Manager) refresh(now time.Time) {
	if now.Sub(m.refreshedAt) >= refreshInterval {
		m.refreshedAt = now
		m.state.Refresh(now, m.maxExecution)
	}
}

// usage returns the up-to-date usage of a runner.
func (m *Manager) usage(now time.Time, service model.ServiceName, runner model.RunnerID) *slotUsage {
	key := usageKey{service, runner}
	a := m.usages[key]
	if a == nil {
		a = &slotUsage{service: service, lastUsed: now}
		m.usages[key] = a
	}
	stale := m.state.Pending() && now.Sub(a.computedAt) >= refreshInterval
	if a.computedAt.IsZero() || a.stateVersion != m.state.Version() || stale {
		a.held = m.state.Held(now, runner, m.services[service])
		a.stateVersion, a.computedAt = m.state.Version(), now
	}
	if len(a.lent)+len(a.borrowed) > 0 {
		a.expire(now)
	}
	return a
}

// Acquire takes one slot of a runner for a request. It returns false if this node has none free
// or may not use its slots now.
func (m *Manager) Acquire(service model.ServiceName, runner model.RunnerID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	if !m.state.Active(now) {
		return false
	}
	a := m.usage(now, service, runner)
	if a.inFlight >= a.limit(now) {
		return false
	}
	a.inFlight++
	return true
}

// Release returns a slot taken by Acquire.
func (m *Manager) Release(service model.ServiceName, runner model.RunnerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.usages[usageKey{service, runner}]; a != nil && a.inFlight > 0 {
		a.inFlight--
	}
}

// Limit returns the number of slots that this node may use at a runner now.
func (m *Manager) Limit(service model.ServiceName, runner model.RunnerID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	if !m.state.Active(now) {
		return 0
	}
	a := m.usage(now, service, runner)
	a.lastUsed = now
	return a.limit(now)
}

// Connections returns the number of connections that this node may keep open to a runner: in
// proportion to its own slots, and never fewer than its requests there. A request on a borrowed
// slot uses an additional connection that is closed afterwards; see Borrowed.
func (m *Manager) Connections(service model.ServiceName, runner model.RunnerID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	return m.connections(now, usageKey{service, runner}, m.usage(now, service, runner))
}

// connections returns the limit of open connections to the runner of key.
func (m *Manager) connections(now time.Time, key usageKey, a *slotUsage) int {
	s, n := m.services[key.service], 0
	if m.state.Active(now) {
		n = Connections(a.ownSlots(), s.Slots, s.Connections)
	}
	return max(n, a.inFlight)
}

// Borrowed reports whether this node has more requests at a runner than own slots. The
// connection of the latest request must then be closed after the request.
func (m *Manager) Borrowed(service model.ServiceName, runner model.RunnerID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.usage(m.clock(), service, runner)
	return a.inFlight > a.ownSlots()
}

// Tick refreshes the state and closes surplus connections. The node calls it a few times a
// second.
func (m *Manager) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	m.checkUsage(now)
}

// SetTrimmer sets the function that closes idle connections. The node acknowledges a view only
// after surplus connections are closed.
func (m *Manager) SetTrimmer(t Trimmer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trim = t
}

// Leave gives up all slots permanently. It is called when the node no longer accepts requests,
// before its leave record is written.
func (m *Manager) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Leave()
}

// Idle reports whether this node has neither requests in flight nor lent slots.
func (m *Manager) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, idle := m.checkUsage(m.clock())
	return idle
}

// checkUsage closes surplus connections. It reports whether the use of every runner is within
// the node's slots, and whether no runner is in use. It drops usages that have been idle.
func (m *Manager) checkUsage(now time.Time) (within, idle bool) {
	within, idle = true, true
	for key := range m.usages {
		a := m.usage(now, key.service, key.runner)
		within = within && a.withinLimits() && m.trimConnections(now, key, a)
		idle = idle && a.inFlight == 0 && len(a.lent) == 0
		if a.unused() && now.Sub(a.lastUsed) > usageIdleTimeout {
			delete(m.usages, key)
		}
	}
	return within, idle
}

// trimConnections closes surplus connections to a runner and reports whether none are left.
func (m *Manager) trimConnections(now time.Time, key usageKey, a *slotUsage) bool {
	if m.trim == nil {
		return true
	}
	return m.trim(key.service, key.runner, m.connections(now, key, a))
}

// Digest is the part of a gossip digest that describes a node's view and acknowledgements.
type Digest struct {
	// Sequence is the members sequence of the sender's current view.
	Sequence uint64 `json:"seq"`
	// Acks holds the sender's own acknowledgement and some that it relays.
	Acks map[model.NodeID]Ack `json:"acks"`
}

// Digest returns the node's part of the next gossip digest.
func (m *Manager) Digest() Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	within, idle := m.checkUsage(now)
	d := Digest{Sequence: m.state.Sequence(), Acks: map[model.NodeID]Ack{}}
	members := m.state.members
	for i := range min(len(members), maxRelayed) {
		id := members[(m.relayFrom+i)%len(members)]
		if a, ok := m.state.acks[id]; ok {
			d.Acks[id] = a
		}
	}
	m.relayFrom += maxRelayed
	d.Acks[m.self] = m.state.Ack(within, idle)
	return d
}

// Observe applies a digest from a peer. begun is the local time at which this node began the
// exchange, or zero if the peer began it. Only an exchange that this node began counts as a
// report of the peer's view.
func (m *Manager) Observe(from model.NodeID, d Digest, begun time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, a := range d.Acks {
		if id != m.self {
			m.state.Observe(id, a)
		}
	}
	if !begun.IsZero() {
		m.state.Report(from, d.Sequence, begun)
	}
}

// Lend lends up to n idle slots of a service to a peer, at most one at each runner.
func (m *Manager) Lend(service model.ServiceName, n int) Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	m.lastLeaseID++
	l := Lease{ID: m.lastLeaseID, Lender: m.self, Service: service, For: m.state.policy.Lend}
	if !m.state.Active(now) {
		return l
	}
	until := now.Add(m.state.policy.lendDuration(m.services[service].MaxExecution))
	for _, key := range m.sortedKeys(service) {
		if len(l.Runners) >= n {
			break
		}
		a := m.usage(now, service, key.runner)
		if a.idleSlots() == 0 {
			continue
		}
		a.lent = append(a.lent, loan{id: l.ID, lender: m.self, until: until})
		if !m.trimConnections(now, key, a) {
			a.lent = a.lent[:len(a.lent)-1] // its connections are still open
			continue
		}
		l.Runners = append(l.Runners, key.runner)
	}
	return l
}

// sortedKeys returns the keys of the usages of a service, sorted by runner.
func (m *Manager) sortedKeys(service model.ServiceName) []usageKey {
	var keys []usageKey
	for key := range m.usages {
		if key.service == service {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b usageKey) int { return strings.Compare(string(a.runner), string(b.runner)) })
	return keys
}

// Borrow adds the slots of a lease. requested is the local time at which this node sent its
// request. Counting from then ends the use of the slots before the lender counts them as free.
func (m *Manager) Borrow(l Lease, requested time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	until := requested.Add(l.For)
	requestsEndBy := until.Add(m.services[l.Service].MaxExecution)
	for _, r := range l.Runners {
		a := m.usage(now, l.Service, r)
		a.borrowed = append(a.borrowed, loan{id: l.ID, lender: l.Lender, until: until, requestsEndBy: requestsEndBy})
	}
}

// ReturnLease ends the use of a borrowed lease early. It returns the runners whose slot is
// unused; the lender may free these at once by AcceptReturn.
func (m *Manager) ReturnLease(l Lease) []model.RunnerID {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	var free []model.RunnerID
	for _, r := range l.Runners {
		a := m.usage(now, l.Service, r)
		others := filterLoans(append([]loan(nil), a.borrowed...), func(b loan) bool { return b.id != l.ID || b.lender != l.Lender })
		if len(others) < len(a.borrowed) && a.inFlight+len(a.lent) <= a.held+len(others) {
			a.borrowed = others
			free = append(free, r)
		}
	}
	return free
}

// AcceptReturn counts lent slots as free again that the borrower has returned.
func (m *Manager) AcceptReturn(l Lease, runners []model.RunnerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range runners {
		if a := m.usages[usageKey{l.Service, r}]; a != nil {
			a.lent = filterLoans(a.lent, func(b loan) bool { return b.id != l.ID })
		}
	}
}
