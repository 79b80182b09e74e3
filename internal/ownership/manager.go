package ownership

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Manager runs the ownership of all cells on one node. It is safe for
// concurrent use.
type Manager struct {
	cfg     Config
	handler Handler

	mu        sync.Mutex
	ctx       context.Context
	releasing bool
	cells     map[model.CellID]*cellActor
	members   []control.Member
	// presentSince holds the local time since which each member has been present.
	presentSince map[model.NodeID]time.Time
	counters     counters
}

// New returns a manager that reports acquired and lost cells to handler. It is inactive until
// Run and SetCells have been called.
func New(cfg Config, handler Handler) *Manager {
	return &Manager{
		cfg: cfg.withDefaults(), handler: handler,
		cells: map[model.CellID]*cellActor{}, presentSince: map[model.NodeID]time.Time{},
		counters: counters{lost: map[string]int{}},
	}
}

// Run follows and owns cells until ctx ends. Without a prior Release, other members take the
// cells over only after the lease has expired.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	for _, c := range m.cells {
		m.start(c)
	}
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	actors := m.actors()
	m.mu.Unlock()
	for _, c := range actors {
		<-c.done
	}
	return ctx.Err()
}

// start runs c in a goroutine. The caller holds m.mu.
func (m *Manager) start(c *cellActor) {
	ctx, stop := context.WithCancel(m.ctx)
	c.stop = stop
	go c.run(ctx)
}

func (m *Manager) actors() []*cellActor {
	actors := make([]*cellActor, 0, len(m.cells))
	for _, c := range m.cells {
		actors = append(actors, c)
	}
	return actors
}

// SetCells sets the cells of the deployment and the members that may own them. The caller omits
// members that it suspects to have failed, so that no cell is handed over to them. A cell that
// is no longer listed is released.
func (m *Manager) SetCells(cells []model.CellID, members []control.Member) {
	now := m.cfg.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.setMembers(members, now)
	listed := make(map[model.CellID]bool, len(cells))
	for _, id := range cells {
		listed[id] = true
		if m.cells[id] == nil {
			m.add(id)
		}
	}
	for id, c := range m.cells {
		if !listed[id] {
			delete(m.cells, id)
			go m.remove(c)
			c.wakeUp()
			continue
		}
		// Each wake-up causes a read of the journal, so an unchanged list wakes nobody.
		if changed {
			c.wakeUp()
		}
	}
}

// setMembers replaces the members and reports whether the set has changed.
func (m *Manager) setMembers(members []control.Member, now time.Time) bool {
	changed := len(members) != len(m.presentSince)
	present := make(map[model.NodeID]time.Time, len(members))
	for _, member := range members {
		since, ok := m.presentSince[member.ID]
		if !ok {
			since, changed = now, true
		}
		present[member.ID] = since
	}
	m.members, m.presentSince = members, present
	return changed
}

func (m *Manager) add(id model.CellID) {
	c := newCellActor(m, id)
	m.cells[id] = c
	if m.ctx != nil && m.ctx.Err() == nil {
		m.start(c)
	}
}

// remove releases and stops a cell that is no longer in the declaration.
func (m *Manager) remove(c *cellActor) {
	if c.stop == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Lease)
	defer cancel()
	_ = c.release(ctx) // On failure, the ownership ends when the lease expires.
	c.stop()
}

// Owner returns the last known owner of cell, or false when the cell is vacant or unknown.
func (m *Manager) Owner(cell model.CellID) (OwnerInfo, bool) {
	m.mu.Lock()
	c := m.cells[cell]
	m.mu.Unlock()
	if c == nil {
		return OwnerInfo{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner, c.hasOwner
}

// Learn records an owner that a peer reported, for cells whose journal this node does not read.
// It ignores an epoch that is not higher than the known one.
func (m *Manager) Learn(cell model.CellID, info OwnerInfo) {
	m.mu.Lock()
	c := m.cells[cell]
	m.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if info.Epoch > c.owner.Epoch {
		c.owner, c.hasOwner = info, true
	}
}

// Release releases all owned cells; the manager acquires none afterwards. It flushes queued
// appends first. It returns the joined errors of cells whose release record may not be durable;
// other members take these over after the lease has expired.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	m.releasing = true
	actors := m.actors()
	m.mu.Unlock()
	errs := make([]error, len(actors))
	var wg sync.WaitGroup
	for i, c := range actors {
		wg.Go(func() { errs[i] = c.release(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// release asks the current ownership, if there is one, to end and waits for the result.
func (c *cellActor) release(ctx context.Context) error {
	owned := c.current()
	if owned == nil {
		return nil
	}
	r := releaseRequest{ctx: ctx, result: make(chan error, 1)}
	select {
	case c.releaseRequests <- r:
		return <-r.result
	case <-owned.done:
		return nil
	case <-ctx.Done():
		return model.Wrap(model.KindUnknown, ctx.Err(), "wait for the lease to end", "cell %s was not released", c.cell)
	}
}

func (c *cellActor) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) isReleasing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.releasing
}

func (m *Manager) memberCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

func (m *Manager) order(cell model.CellID) []model.NodeID {
	m.mu.Lock()
	members := m.members
	m.mu.Unlock()
	return Order(cell, members)
}

// rank returns this node's rank among the members that may acquire cell, or -1 if it is not a
// member. Another node that is the last recorded owner is not counted: it has failed, still
// owns the cell or has released it.
func (m *Manager) rank(cell model.CellID, o Observation) int {
	var owner model.NodeID
	if o.Owner != nil && o.Owner.Node != m.cfg.Node {
		owner = o.Owner.Node
	}
	return rankOf(m.order(cell), m.cfg.Node, owner)
}

// stable reports whether a member has been present for Config.StableFor.
func (m *Manager) stable(id model.NodeID) bool {
	now := m.cfg.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	since, ok := m.presentSince[id]
	return ok && now.Sub(since) >= m.cfg.StableFor
}
