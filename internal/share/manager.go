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
	// recheck bounds how long the effect of passing time goes unnoticed.
	recheck = 50 * time.Millisecond
	// accountIdle is when the account of a runner that is not asked for is dropped.
	accountIdle = 10 * time.Minute
	// maxRelayed bounds the acknowledgements of others in one digest.
	maxRelayed = 16
	// defaultSlots, defaultConnections and defaultExecution apply when the
	// declaration states nothing.
	defaultSlots       = 8
	defaultConnections = 64
	defaultExecution   = 5 * time.Second
)

// Trimmer closes a node's idle connections to a runner down to limit. It reports
// whether at most limit connections remain.
type Trimmer func(service model.ServiceName, runner model.RunnerID, limit int) bool

// Manager is a node's share of the slots of all runners. It is safe for
// concurrent use.
type Manager struct {
	view  func() *control.View
	clock func() time.Time
	me    model.NodeID

	mu        sync.Mutex
	state     *State
	last      *control.View
	services  map[model.ServiceName]Service
	execution time.Duration
	accounts  map[accountKey]*account
	settledAt time.Time
	leases    uint64
	trim      Trimmer
	relayFrom int
}

type accountKey struct {
	service model.ServiceName
	runner  model.RunnerID
}

// Options holds what a Manager needs.
type Options struct {
	Node   model.NodeID
	Policy Policy
	// View returns the node's current view.
	View func() *control.View
	// Gone tells that the host list once contained the node's host and does not
	// any more. Nil means never.
	Gone func(model.NodeID) bool
	// Clock returns the time. Default time.Now.
	Clock func() time.Time
}

// NewManager returns a Manager that holds nothing until its first view.
func NewManager(o Options) *Manager {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return &Manager{
		view: o.View, clock: o.Clock, me: o.Node,
		state:    NewState(o.Node, o.Policy, o.Gone),
		services: map[model.ServiceName]Service{}, accounts: map[accountKey]*account{},
		execution: defaultExecution,
	}
}

// Apply takes over a view. The Manager also reads the current view by itself;
// passing every view in order avoids the slower handling of gaps.
func (m *Manager) Apply(v *control.View) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.apply(now, v)
	m.settle(now)
}

// apply moves the state to v and reads the declaration's limits.
func (m *Manager) apply(now time.Time, v *control.View) {
	if v == nil || v == m.last {
		return
	}
	m.last = v
	m.state.Apply(now, v)
	if v.Declaration == nil {
		return
	}
	m.services = make(map[model.ServiceName]Service, len(v.Declaration.Services))
	m.execution = 0
	for _, d := range v.Declaration.Services {
		s := Service{Name: d.Name, Slots: orDefault(d.SlotsPerRunner, defaultSlots), Connections: orDefault(d.ConnectionsPerRunner, defaultConnections)}
		s.Execution = orDefault(d.DefaultTimeout.D(), defaultExecution)
		m.services[d.Name] = s
		m.execution = max(m.execution, s.Execution)
	}
	m.state.changed++
}

// orDefault returns v, or def when v is not positive.
func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}

// sync takes over the current view and the effect of passing time.
func (m *Manager) sync(now time.Time) {
	m.apply(now, m.view())
	m.settle(now)
}

// settle takes over the effect of passing time, at most once per recheck.
func (m *Manager) settle(now time.Time) {
	if now.Sub(m.settledAt) >= recheck {
		m.settledAt = now
		m.state.Settle(now, m.execution)
	}
}

// account returns the up-to-date account of a runner.
func (m *Manager) account(now time.Time, service model.ServiceName, runner model.RunnerID) *account {
	key := accountKey{service, runner}
	a := m.accounts[key]
	if a == nil {
		a = &account{service: service, touched: now}
		m.accounts[key] = a
	}
	stale := m.state.Pending() && now.Sub(a.at) >= recheck
	if a.at.IsZero() || a.version != m.state.Changed() || stale {
		a.held = m.state.Held(now, runner, m.services[service])
		a.version, a.at = m.state.Changed(), now
	}
	if len(a.lent)+len(a.borrowed) > 0 {
		a.expire(now)
	}
	return a
}

// Acquire takes one slot of a runner for a request. False means that this node
// has none free or may not use its slots now.
func (m *Manager) Acquire(service model.ServiceName, runner model.RunnerID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	if !m.state.Active(now) {
		return false
	}
	a := m.account(now, service, runner)
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
	if a := m.accounts[accountKey{service, runner}]; a != nil && a.inFlight > 0 {
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
	a := m.account(now, service, runner)
	a.touched = now
	return a.limit(now)
}

// Connections returns the number of connections that this node may keep open to a
// runner: in proportion to its own slots, and never fewer than its requests there.
// A request on a borrowed slot uses one connection of its own that is closed
// afterwards, see Borrowed.
func (m *Manager) Connections(service model.ServiceName, runner model.RunnerID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	return m.connections(now, accountKey{service, runner}, m.account(now, service, runner))
}

// connections returns the bound on open connections for an account.
func (m *Manager) connections(now time.Time, key accountKey, a *account) int {
	s, n := m.services[key.service], 0
	if m.state.Active(now) {
		n = Connections(a.own(), s.Slots, s.Connections)
	}
	return max(n, a.inFlight)
}

// Borrowed reports whether this node has more requests at a runner than slots of
// its own, so that the latest request must not leave an idle connection behind.
func (m *Manager) Borrowed(service model.ServiceName, runner model.RunnerID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.account(m.clock(), service, runner)
	return a.inFlight > a.own()
}

// Tick takes over the effect of passing time and closes surplus connections. The
// node calls it a few times a second.
func (m *Manager) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	m.use(now)
}

// SetTrimmer sets the function that closes idle connections before a lost slot is
// acknowledged.
func (m *Manager) SetTrimmer(t Trimmer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.trim = t
}

// Leave gives up all slots for good. It is called once the node accepts nothing
// more, ahead of its leave record.
func (m *Manager) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Leave()
}

// Idle reports whether this node has neither requests in execution nor lent slots.
func (m *Manager) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, idle := m.use(m.clock())
	return idle
}

// use reports whether all runners are used within what the node holds, and
// whether none is used at all.
func (m *Manager) use(now time.Time) (within, idle bool) {
	within, idle = true, true
	for key := range m.accounts {
		a := m.account(now, key.service, key.runner)
		within = within && a.within() && m.trimmed(now, key, a)
		idle = idle && a.inFlight == 0 && len(a.lent) == 0
		if a.unused() && now.Sub(a.touched) > accountIdle {
			delete(m.accounts, key)
		}
	}
	return within, idle
}

// trimmed closes surplus connections and reports whether none are left.
func (m *Manager) trimmed(now time.Time, key accountKey, a *account) bool {
	if m.trim == nil {
		return true
	}
	return m.trim(key.service, key.runner, m.connections(now, key, a))
}

// Digest is what a node tells its peers about views in the gossip digest.
type Digest struct {
	// Sequence is the members sequence of the sender's current view.
	Sequence uint64 `json:"seq"`
	// Acks holds the sender's own statement and some that it heard from others.
	Acks map[model.NodeID]Ack `json:"acks"`
}

// Digest returns the node's part of the next gossip digest.
func (m *Manager) Digest() Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	within, idle := m.use(now)
	d := Digest{Sequence: m.state.Sequence(), Acks: map[model.NodeID]Ack{}}
	members := m.state.members
	for i := range min(len(members), maxRelayed) {
		id := members[(m.relayFrom+i)%len(members)]
		if a, ok := m.state.acks[id]; ok {
			d.Acks[id] = a
		}
	}
	m.relayFrom += maxRelayed
	d.Acks[m.me] = m.state.Ack(within, idle)
	return d
}

// Observe takes over a digest from a peer. Begun is the local time at which this
// node began the exchange, or zero when the peer began it; only a digest with a
// begin counts as a report of the peer's view.
func (m *Manager) Observe(from model.NodeID, d Digest, begun time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, a := range d.Acks {
		if id != m.me {
			m.state.Observe(id, a)
		}
	}
	if !begun.IsZero() {
		m.state.Report(from, d.Sequence, begun)
	}
}

// Lend lends up to n idle slots of a service to a peer.
func (m *Manager) Lend(service model.ServiceName, n int) Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sync(now)
	m.leases++
	l := Lease{ID: m.leases, Lender: m.me, Service: service, For: m.state.policy.Lend}
	if !m.state.Active(now) {
		return l
	}
	until := now.Add(m.state.policy.lentFor(m.services[service].Execution))
	for _, key := range m.keys(service) {
		if len(l.Runners) >= n {
			break
		}
		a := m.account(now, service, key.runner)
		if a.spare() == 0 {
			continue
		}
		a.lent = append(a.lent, loan{id: l.ID, lender: m.me, until: until})
		if !m.trimmed(now, key, a) {
			a.lent = a.lent[:len(a.lent)-1] // its connections are still open
			continue
		}
		l.Runners = append(l.Runners, key.runner)
	}
	return l
}

// keys returns the accounts of a service in order.
func (m *Manager) keys(service model.ServiceName) []accountKey {
	var keys []accountKey
	for key := range m.accounts {
		if key.service == service {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b accountKey) int { return strings.Compare(string(a.runner), string(b.runner)) })
	return keys
}

// Borrow takes over a lease. Requested is the local time at which this node sent
// its request, so that its use ends before the lender's count does.
func (m *Manager) Borrow(l Lease, requested time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	until := requested.Add(l.For)
	covered := until.Add(m.services[l.Service].Execution)
	for _, r := range l.Runners {
		a := m.account(now, l.Service, r)
		a.borrowed = append(a.borrowed, loan{id: l.ID, lender: l.Lender, until: until, covered: covered})
	}
}

// GiveBack ends the use of a borrowed lease early. It returns the runners whose
// slot is unused; the lender may count these as free at once with Returned.
func (m *Manager) GiveBack(l Lease) []model.RunnerID {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	var free []model.RunnerID
	for _, r := range l.Runners {
		a := m.account(now, l.Service, r)
		others := keep(append([]loan(nil), a.borrowed...), func(b loan) bool { return b.id != l.ID || b.lender != l.Lender })
		if len(others) < len(a.borrowed) && a.inFlight+len(a.lent) <= a.held+len(others) {
			a.borrowed = others
			free = append(free, r)
		}
	}
	return free
}

// Returned ends this node's count of lent slots that the borrower gave back.
func (m *Manager) Returned(l Lease, runners []model.RunnerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range runners {
		if a := m.accounts[accountKey{l.Service, r}]; a != nil {
			a.lent = keep(a.lent, func(b loan) bool { return b.id != l.ID })
		}
	}
}
