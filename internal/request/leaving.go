package request

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
)

// leavingTable holds the signs that runners are leaving. A mark ends when the
// host list shows the runner as live after having shown it as leaving, or after
// the memory time, so that a single wrong sign does not exclude a runner forever.
type leavingTable struct {
	memory time.Duration
	mu     sync.Mutex
	marks  map[string]leavingMark
	listed map[string]bool
	count  atomic.Uint64
}

// leavingMark is a sign with the time it was seen. Own marks are told to peers.
type leavingMark struct {
	at  time.Time
	own bool
}

// mark notes that id is leaving. It reports whether the sign is new.
func (t *leavingTable) mark(now time.Time, id string, own bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.marks == nil {
		t.marks = map[string]leavingMark{}
	}
	old, known := t.marks[id]
	fresh := !known || now.Sub(old.at) >= t.memory
	if !fresh && (old.own || !own) {
		return false
	}
	t.marks[id] = leavingMark{at: now, own: own}
	t.count.Add(1)
	return fresh
}

// marked reports whether a valid sign exists for id.
func (t *leavingTable) marked(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.marks[id]
	return ok && now.Sub(m.at) < t.memory
}

// observe takes over the host list: a runner that returned from leaving to live
// loses its mark.
func (t *leavingTable) observe(_ time.Time, hosts []external.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, h := range hosts {
		if h.Role != external.RoleRunner {
			continue
		}
		if h.State == external.HostLeaving {
			listed[h.ID] = true
		} else if t.listed[h.ID] {
			delete(t.marks, h.ID)
		}
	}
	t.listed = listed
}

// version changes whenever a mark is added.
func (t *leavingTable) version() uint64 { return t.count.Load() }

// seen returns the runners that this node itself saw leaving, in order.
func (t *leavingTable) seen(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, m := range t.marks {
		if m.own && now.Sub(m.at) < t.memory {
			ids = append(ids, id)
		}
	}
	for id := range t.listed {
		if m, ok := t.marks[id]; !ok || !m.own {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Leaving returns the ids of the runners that this node saw leaving, from the
// host list or from the runner itself. Signs heard from peers are not repeated,
// so that they do not circulate for ever.
func (c *Chain) Leaving() []string {
	now := c.deps.Clock()
	c.leaving.observe(now, c.deps.Hosts())
	return c.leaving.seen(now)
}

// MarkLeaving notes runners that a peer saw leaving. They get nothing new.
func (c *Chain) MarkLeaving(runners []string) {
	for _, id := range runners {
		c.leaving.mark(c.deps.Clock(), id, false)
	}
}
