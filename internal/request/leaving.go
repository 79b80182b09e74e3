package request

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
)

// leavingTable holds the runners that have signalled that they are leaving. A mark ends when
// the host list shows the runner as live after having shown it as leaving, or after the
// retention time, so that one false signal does not exclude a runner permanently.
type leavingTable struct {
	retention     time.Duration
	mu            sync.Mutex
	marks         map[string]leavingMark
	listedLeaving map[string]bool
	count         atomic.Uint64
}

// leavingMark is a leaving signal with the time it was received. Local marks, those from this
// node's own observation, are reported to peers.
type leavingMark struct {
	at    time.Time
	local bool
}

// mark records that id is leaving. It reports whether the mark is new.
func (t *leavingTable) mark(now time.Time, id string, local bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.marks == nil {
		t.marks = map[string]leavingMark{}
	}
	old, known := t.marks[id]
	fresh := !known || now.Sub(old.at) >= t.retention
	if !fresh && (old.local || !local) {
		return false
	}
	t.marks[id] = leavingMark{at: now, local: local}
	t.count.Add(1)
	return fresh
}

// marked reports whether id has a mark that has not expired.
func (t *leavingTable) marked(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.marks[id]
	return ok && now.Sub(m.at) < t.retention
}

// observe applies the host list: a runner that returned from leaving to live loses its mark.
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
		} else if t.listedLeaving[h.ID] {
			delete(t.marks, h.ID)
		}
	}
	t.listedLeaving = listed
}

// version returns a number that changes whenever a mark is added.
func (t *leavingTable) version() uint64 { return t.count.Load() }

// reportable returns, sorted, the runners that this node itself saw leaving.
func (t *leavingTable) reportable(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, m := range t.marks {
		if m.local && now.Sub(m.at) < t.retention {
			ids = append(ids, id)
		}
	}
	for id := range t.listedLeaving {
		if m, ok := t.marks[id]; !ok || !m.local {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Leaving returns the ids of the runners that this node saw leaving, from the host list or
// from the runner itself. Marks received from peers are not passed on, so that they do not
// circulate forever.
func (c *Chain) Leaving() []string {
	now := c.deps.Clock()
	c.leaving.observe(now, c.deps.Hosts())
	return c.leaving.reportable(now)
}

// MarkLeaving records runners that a peer saw leaving. They get no new requests.
func (c *Chain) MarkLeaving(runners []string) {
	for _, id := range runners {
		c.leaving.mark(c.deps.Clock(), id, false)
	}
}
