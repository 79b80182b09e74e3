package share

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	testSlots       = 8
	testConnections = 64
	testExecution   = 2 * time.Second
)

var testRunners = []model.RunnerID{"r1", "r2"}

// simNode is a simulated node whose clock runs at its own rate.
type simNode struct {
	id          model.NodeID
	rate        float64
	manager     *Manager
	view        *control.View
	alive       bool
	paused      bool
	noStore     bool
	leaving     bool
	conns       map[model.RunnerID]int
	sim         *sim
	pendingView *control.View // a confirmation in transit
}

func (n *simNode) now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(n.sim.now) * n.rate))
}

// usableSlots reports for each slot of a runner whether n may use it now.
func (n *simNode) usableSlots(r model.RunnerID) []bool {
	now := n.now()
	if !n.runs() || !n.manager.state.Active(now) {
		return nil
	}
	return n.manager.state.heldSlots(now, r, n.manager.services["desk"])
}

func (n *simNode) runs() bool { return n.alive && !n.paused }

// simRequest is a request in flight at a runner.
type simRequest struct {
	node   *simNode
	runner model.RunnerID
	end    time.Duration
	done   bool // ended at the runner; the node may not have noticed yet
	// borrowed is true when the request uses an additional connection.
	borrowed bool
}

// delayedMessage is a message that is delivered later or never.
type delayedMessage struct{ deliver func() }

// sim simulates nodes, a store, a host list and runners.
type sim struct {
	now      time.Duration
	nodes    []*simNode
	views    []*control.View
	storeUp  bool
	listed   map[model.NodeID]bool
	requests []*simRequest
	delayed  []delayedMessage
	cut      map[[2]model.NodeID]bool
	next     int
	runners  []model.RunnerID
}

func newSim(nodes int, rates []float64) *sim {
	s := &sim{storeUp: true, runners: testRunners, listed: map[model.NodeID]bool{}, cut: map[[2]model.NodeID]bool{}}
	s.views = []*control.View{{Members: map[model.NodeID]control.Member{}}}
	for i := range nodes {
		s.join(rates[i%len(rates)])
	}
	return s
}

func (s *sim) latest() *control.View { return s.views[len(s.views)-1] }

// record appends a control record that changes the members.
func (s *sim) record(change func(map[model.NodeID]control.Member, uint64)) {
	last := s.latest()
	v := *last
	v.Sequence++
	v.MembersSequence = v.Sequence
	v.Members = maps.Clone(last.Members)
	v.Declaration = &declaration.Declaration{Services: []declaration.Service{{
		Name: "desk", SlotsPerRunner: testSlots, ConnectionsPerRunner: testConnections, DefaultTimeout: declaration.Duration(testExecution),
	}}}
	change(v.Members, v.Sequence)
	s.views = append(s.views, &v)
}

func (s *sim) join(rate float64) *simNode {
	s.next++
	n := &simNode{id: model.NodeID(fmt.Sprintf("n%d", s.next)), rate: rate, alive: true, sim: s, conns: map[model.RunnerID]int{}}
	n.manager = NewManager(Options{
		Node: n.id, Clock: n.now,
		View:        func() *control.View { return n.view },
		HostRemoved: func(id model.NodeID) bool { return !s.listed[id] },
	})
	n.manager.SetTrimmer(func(_ model.ServiceName, r model.RunnerID, limit int) bool {
		n.conns[r] = min(n.conns[r], limit)
		return true
	})
	s.nodes = append(s.nodes, n)
	s.listed[n.id] = true
	s.record(func(m map[model.NodeID]control.Member, seq uint64) { m[n.id] = control.Member{ID: n.id, Since: seq} })
	return n
}

// remove appends a leave record for a member.
func (s *sim) remove(id model.NodeID) {
	s.record(func(m map[model.NodeID]control.Member, _ uint64) { delete(m, id) })
}

// confirm lets n read the latest view from the store without delay.
func (s *sim) confirm(n *simNode) {
	if !n.runs() || n.noStore || !s.storeUp {
		return
	}
	v := *s.latest()
	v.ConfirmedAt = n.now()
	s.adopt(n, &v)
}

// adopt applies v at n unless it is older than n's view. Views in between are skipped.
func (s *sim) adopt(n *simNode, v *control.View) {
	if n.view != nil && v.Sequence < n.view.Sequence {
		return
	}
	n.view = v
	n.manager.Apply(v)
}

// gossip asks b for its digest on behalf of a.
func (s *sim) gossip(a, b *simNode, later bool) {
	if a == b || !a.runs() || !b.runs() || s.cut[[2]model.NodeID{a.id, b.id}] {
		return
	}
	begun, d := a.now(), b.manager.Digest()
	s.send(later, func() {
		if a.runs() {
			a.manager.Observe(b.id, d, begun)
		}
	})
}

// lend asks b to lend to a.
func (s *sim) lend(a, b *simNode, later bool) {
	if a == b || !a.runs() || !b.runs() || s.cut[[2]model.NodeID{a.id, b.id}] {
		return
	}
	requested, l := a.now(), b.manager.Lend("desk", 2)
	s.send(later, func() {
		if a.runs() {
			a.manager.Borrow(l, requested)
			s.delayed = append(s.delayed, delayedMessage{func() {
				if a.runs() && b.alive {
					b.manager.AcceptReturn(l, a.manager.ReturnLease(l))
				}
			}})
		}
	})
}

func (s *sim) send(later bool, f func()) {
	if later {
		s.delayed = append(s.delayed, delayedMessage{f})
		return
	}
	f()
}

// request starts a request at n if n has a free slot.
func (s *sim) request(n *simNode, r model.RunnerID) {
	if n.runs() && n.manager.Acquire("desk", r) {
		q := &simRequest{node: n, runner: r, end: s.now + testExecution, borrowed: n.manager.Borrowed("desk", r)}
		s.requests = append(s.requests, q)
		if !q.borrowed {
			n.conns[r] = max(n.conns[r], n.manager.Connections("desk", r))
		}
	}
}

// advance moves the time forward and ends the requests that are due.
func (s *sim) advance(d time.Duration) {
	s.now += d
	for _, q := range s.requests {
		q.done = q.done || s.now >= q.end
	}
	defer each(s.nodes, func(n *simNode) {
		if n.runs() {
			n.manager.Tick()
		}
	})
	s.requests = slices.DeleteFunc(s.requests, func(q *simRequest) bool {
		if q.done && q.node.runs() {
			q.node.manager.Release("desk", q.runner)
		}
		return q.done && (q.node.runs() || !q.node.alive)
	})
}

// check requires that no slot has two holders and that the use of each runner is within its
// limits. The use includes the requests of crashed and paused nodes, and the requests that each
// running node may start.
func (s *sim) check(t require.TestingT) {
	for _, r := range s.runners {
		total, conns := 0, 0
		holder := map[int]model.NodeID{}
		for _, n := range s.nodes {
			for i, ok := range n.usableSlots(r) {
				if ok {
					require.Empty(t, holder[i], "slot %d of %s at %s is held by %s as well", i, r, s.now, n.id)
					holder[i] = n.id
				}
			}
			running := 0
			for _, q := range s.requests {
				if q.node == n && q.runner == r && !q.done {
					running++
					if q.borrowed {
						conns++
					}
				}
			}
			if n.runs() {
				running = max(running, n.manager.Limit("desk", r))
			}
			total += running
			// Only the runner can close the idle connections of a paused host that is
			// missing from the host list by mistake.
			if n.runs() || n.alive && s.listed[n.id] {
				conns += n.conns[r]
			}
		}
		require.LessOrEqual(t, total, testSlots, "slots of %s at %s", r, s.now)
		require.LessOrEqual(t, conns, testConnections, "connections of %s at %s", r, s.now)
	}
}

// heal ends all faults and lets the nodes converge.
func (s *sim) heal() {
	s.storeUp, s.cut = true, map[[2]model.NodeID]bool{}
	for _, n := range s.nodes {
		n.paused, n.noStore = false, false
		n.alive = n.alive && s.listed[n.id] // a live host that was unlisted by mistake is replaced
		if !n.alive {
			delete(s.listed, n.id)
		}
	}
	for id := range s.latest().Members {
		if !s.listed[id] {
			s.remove(id)
		}
	}
	for range 60 {
		s.advance(500 * time.Millisecond)
		for _, n := range s.nodes {
			s.confirm(n)
		}
		s.gossipAll(false)
	}
}

// Guards against more requests or connections at a runner than declared, while nodes join,
// crash, pause, lose the connection to the store or to peers, lend slots, leave and are
// replaced, with clock rates that differ by 9%. Also guards against slots that stay unused
// after all faults have ended.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0.957, 1.043), 4, 4).Draw(t, "rates")
		s := newSim(rapid.IntRange(1, 10).Draw(t, "nodes"), rates)
		if rapid.Bool().Draw(t, "warm") {
			s.heal()
		}
		t.Repeat(s.actions(rates))
		s.heal()
		s.check(t)
		s.checkAllUsed(t)
	})
}

// actions returns the actions of the property test. Several entries for the same action give
// it a higher weight.
func (s *sim) actions(rates []float64) map[string]func(*rapid.T) {
	node := func(t *rapid.T) *simNode { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")] }
	later := rapid.Bool()
	round := func(t *rapid.T) {
		s.advance(time.Duration(rapid.IntRange(50, 900).Draw(t, "ms")) * time.Millisecond)
		behind := rapid.IntRange(-len(s.nodes), len(s.nodes)-1).Draw(t, "behind")
		for i, n := range s.nodes {
			if i != behind {
				s.confirm(n)
			}
		}
		s.gossipAll(false)
		each(s.nodes, s.flood)
	}
	silent := func(t *rapid.T) { // time passes without any message
		s.advance(time.Duration(rapid.IntRange(500, 4000).Draw(t, "ms")) * time.Millisecond)
		each(s.nodes, s.flood)
	}
	replace := func(t *rapid.T) {
		n := node(t)
		if !s.storeUp || len(s.nodes) > 14 {
			return
		}
		n.alive = false
		s.unlist()
		s.removeUnlisted()
		s.join(rapid.SampledFrom(rates).Draw(t, "rate"))
	}
	// isolateAndRemove isolates a live node and removes it from the members, as when the host list
	// omits it by mistake.
	isolateAndRemove := func(t *rapid.T) {
		n := node(t)
		// A node that is alone in its view is its own majority. Only the host list can show
		// that it is gone, and the protocol trusts the list in that case.
		alone := n.view != nil && len(n.view.Members) < 2
		if alone || s.countWronglyUnlisted() > 0 || !n.alive || !s.storeUp {
			return
		}
		n.noStore = true
		bothDirections := rapid.Bool().Draw(t, "deaf")
		for _, o := range s.nodes {
			s.cut[[2]model.NodeID{n.id, o.id}] = bothDirections
			s.cut[[2]model.NodeID{o.id, n.id}] = true
		}
		delete(s.listed, n.id)
		s.removeUnlisted()
	}
	lend := func(t *rapid.T) { s.lend(node(t), node(t), later.Draw(t, "later")) }
	return map[string]func(*rapid.T){
		"":       func(t *rapid.T) { s.check(t) },
		"round1": round, "round2": round, "round3": round, "round4": round,
		"silent1": silent, "silent2": silent,
		"replace1": replace, "replace2": replace, "zombie1": isolateAndRemove, "zombie2": isolateAndRemove,
		"lend1": lend, "lend2": lend,
		"finish": func(t *rapid.T) {
			for _, q := range s.requests {
				q.done = q.done || rapid.Bool().Draw(t, "done")
			}
			s.advance(0)
		},
		"confirm1": func(t *rapid.T) { s.confirm(node(t)) },
		"confirm2": func(t *rapid.T) {
			if n := node(t); n.runs() && !n.noStore && s.storeUp {
				v := *s.latest()
				n.pendingView, v.ConfirmedAt = &v, n.now()
			}
		},
		"confirm3": func(t *rapid.T) {
			if n := node(t); n.runs() && n.pendingView != nil {
				s.adopt(n, n.pendingView)
				n.pendingView = nil
			}
		},
		"gossip": func(t *rapid.T) { s.gossip(node(t), node(t), later.Draw(t, "later")) },
		"deliver": func(t *rapid.T) {
			for range min(len(s.delayed), 8) {
				i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "parcel")
				p := s.delayed[i]
				s.delayed = slices.Delete(s.delayed, i, i+1)
				p.deliver()
			}
		},
		"pause":     func(t *rapid.T) { n := node(t); n.paused = !n.paused },
		"cutStore":  func(t *rapid.T) { n := node(t); n.noStore = !n.noStore },
		"storeDown": func(*rapid.T) { s.storeUp = !s.storeUp },
		"cutPeers": func(t *rapid.T) {
			k := [2]model.NodeID{node(t).id, node(t).id}
			s.cut[k] = !s.cut[k]
		},
		"isolate": func(t *rapid.T) { // one node loses the store; time passes
			n := node(t)
			n.noStore = true
			for _, o := range s.nodes {
				s.cut[[2]model.NodeID{n.id, o.id}] = rapid.Bool().Draw(t, "cut")
			}
		},
		"kill": func(t *rapid.T) { node(t).alive = false },
		"join": func(t *rapid.T) {
			if s.storeUp && len(s.nodes) < 16 {
				s.join(rapid.SampledFrom(rates).Draw(t, "rate"))
			}
		},
		"unlist": func(*rapid.T) { s.unlist() },
		"remove": func(*rapid.T) { s.removeUnlisted() },
		"declare": func(*rapid.T) { // a record that changes no member
			v := *s.latest()
			v.Sequence++
			s.views = append(s.views, &v)
		},
		"leave": func(t *rapid.T) {
			if n := node(t); n.runs() {
				n.leaving = true
				n.manager.Leave()
			}
		},
		"left": func(t *rapid.T) { each(s.nodes, s.finishLeave) },
	}
}

// gossipAll lets every node ask every other for its digest.
func (s *sim) gossipAll(later bool) {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			s.gossip(a, b, later)
		}
	}
}

// flood starts as many requests as n's slots allow.
func (s *sim) flood(n *simNode) {
	for _, r := range s.runners {
		for range testSlots + 1 {
			s.request(n, r)
		}
	}
}

func each(nodes []*simNode, f func(*simNode)) {
	for _, n := range nodes {
		f(n)
	}
}

// countWronglyUnlisted counts live hosts that the host list does not contain.
func (s *sim) countWronglyUnlisted() int {
	n := 0
	for _, o := range s.nodes {
		if o.alive && !s.listed[o.id] {
			n++
		}
	}
	return n
}

// unlist removes the hosts of crashed nodes from the host list.
func (s *sim) unlist() {
	for _, n := range s.nodes {
		if !n.alive {
			delete(s.listed, n.id)
		}
	}
}

// removeUnlisted appends leave records for members whose host is not listed.
func (s *sim) removeUnlisted() {
	if !s.storeUp {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.latest().Members)) {
		if !s.listed[id] {
			s.remove(id)
		}
	}
}

// finishLeave completes a graceful shutdown.
func (s *sim) finishLeave(n *simNode) {
	_, member := s.latest().Members[n.id]
	if n.runs() && n.leaving && member && s.storeUp && n.manager.Idle() {
		s.remove(n.id)
		n.alive = false
		delete(s.listed, n.id)
	}
}

// checkAllUsed requires that every slot has a node that may use it.
func (s *sim) checkAllUsed(t require.TestingT) {
	members := 0
	for _, n := range s.nodes {
		if n.leaving && n.alive {
			return // the slots of a node that is still leaving are not reused yet
		}
		if _, ok := s.latest().Members[n.id]; ok && n.runs() {
			members++
		}
	}
	if members == 0 {
		return
	}
	for _, r := range s.runners {
		total := 0
		for _, n := range s.nodes {
			if n.runs() {
				total += n.manager.Limit("desk", r)
			}
		}
		require.Equal(t, testSlots, total, "slots of %s in use after all faults ended", r)
	}
}
