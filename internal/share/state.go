package share

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// State is one node's state of the share protocol. It is pure: it takes the time
// as an argument, sends nothing and is not safe for concurrent use.
type State struct {
	me     model.NodeID
	policy Policy

	sequence    uint64 // members sequence of the current view
	lastRecord  uint64 // control sequence of the latest view seen
	members     []model.NodeID
	confirmedAt time.Time
	formers     []former
	departed    map[model.NodeID]departure
	acks        map[model.NodeID]Ack
	reports     map[model.NodeID]report
	gone        func(model.NodeID) bool
	leaving     bool
	acked       uint64
	clear       uint64
	// changed grows whenever the division may have changed.
	changed uint64
}

// report is the view that a member said it has, at the local time at which the
// exchange was begun.
type report struct {
	sequence uint64
	at       time.Time
}

// NewState returns the state of node me before its first view. Gone tells whether
// the host list has been read and does not contain a node's host; nil means never.
func NewState(me model.NodeID, policy Policy, gone func(model.NodeID) bool) *State {
	if gone == nil {
		gone = func(model.NodeID) bool { return false }
	}
	return &State{
		me: me, policy: policy.provision(), gone: gone,
		departed: map[model.NodeID]departure{},
		acks:     map[model.NodeID]Ack{},
		reports:  map[model.NodeID]report{},
	}
}

// Apply takes over a view. Views older than the current one are ignored. Views
// should be passed one by one; a gap is handled, but delays gained slots.
func (s *State) Apply(now time.Time, v *control.View) {
	if v == nil || v.Sequence < s.lastRecord || v.MembersSequence < s.sequence {
		return
	}
	if v.ConfirmedAt.After(s.confirmedAt) {
		s.confirmedAt = v.ConfirmedAt
	}
	if v.MembersSequence > s.sequence {
		s.change(now, v)
	}
	s.lastRecord = v.Sequence
}

// change moves to a view with other members.
func (s *State) change(now time.Time, v *control.View) {
	to := memberIDs(v)
	if s.sequence == 0 {
		s.first(now, v, to)
	} else {
		since := func(id model.NodeID) uint64 { return v.Members[id].Since }
		views, unknown := between(s.members, to, v.MembersSequence-s.lastRecord, since)
		for _, members := range views {
			s.formers = append(s.formers, former{members: members, clearAt: v.MembersSequence, unknown: unknown, learned: now})
		}
	}
	for _, id := range without(s.members, to) {
		s.departed[id] = departure{sequence: v.MembersSequence}
	}
	s.sequence, s.members = v.MembersSequence, to
	s.merge()
	s.changed++
}

// first handles a node's first view: every member may hold any slot.
func (s *State) first(now time.Time, v *control.View, to []model.NodeID) {
	s.formers = []former{{members: to, clearAt: v.MembersSequence, unknown: true, learned: now}}
	if neverDeparted(v) {
		s.clear = v.MembersSequence
	}
}

// merge joins the oldest former views when there are too many.
func (s *State) merge() {
	for len(s.formers) > maxEntries {
		a, b := s.formers[0], s.formers[1]
		s.formers = s.formers[1:]
		s.formers[0] = former{members: union(a.members, b.members), clearAt: b.clearAt, unknown: true, learned: b.learned}
	}
}

// Observe takes over a member's acknowledgement.
func (s *State) Observe(node model.NodeID, a Ack) {
	old := s.acks[node]
	merged := old.merge(a)
	if merged != old {
		s.acks[node] = merged
		s.changed++
	}
}

// Report notes which view a member has. At is the local time at which the
// exchange that brought the report was begun.
func (s *State) Report(node model.NodeID, sequence uint64, at time.Time) {
	if old := s.reports[node]; at.After(old.at) {
		s.reports[node] = report{sequence, at}
	}
}

// Active reports whether the node may use its slots now: its view was confirmed
// within the hold time, or a majority of its members still has the same view.
func (s *State) Active(now time.Time) bool {
	if s.sequence == 0 || s.leaving || !slices.Contains(s.members, s.me) {
		return false
	}
	if now.Sub(s.confirmedAt) <= s.policy.Hold {
		return true
	}
	same := 1
	for _, id := range s.members {
		r := s.reports[id]
		if id != s.me && r.sequence == s.sequence && now.Sub(r.at) <= s.policy.Hold {
			same++
		}
	}
	return same >= majority(len(s.members))
}

// Settle updates what time and acknowledgements have proved, and forgets former
// views that no node acts on any more. Execution is the longest over all services.
func (s *State) Settle(now time.Time, execution time.Duration) {
	s.stopDeparted(now)
	s.advanceClear(now, execution)
	n := 0
	for n < len(s.formers) && s.settled(s.formers[n], now, execution) {
		n++
	}
	if n > 0 {
		s.formers = slices.Delete(s.formers, 0, n)
		s.changed++
	}
}

// stopDeparted notes departed nodes that can find no majority any more.
func (s *State) stopDeparted(now time.Time) {
	for id, d := range s.departed {
		if d.stopped.IsZero() && !s.mayHaveMajority(id) {
			d.stopped = now
			s.departed[id] = d
		}
	}
}

// mayHaveMajority reports whether a departed node, if it still ran, could find a
// majority of an older view. The host list alone is believed only when no other
// member could support the node, because it can be wrong about a paused host.
func (s *State) mayHaveMajority(id model.NodeID) bool {
	for _, f := range s.formers {
		if !slices.Contains(f.members, id) {
			continue
		}
		needed := majority(len(f.members))
		if f.unknown {
			needed = 1 // the size of an unseen view is not known
		}
		others := s.behind(f, id)
		if others+1 >= needed && (others > 0 || !s.gone(id)) {
			return true
		}
	}
	return false
}

// behind counts the members of f other than id that may still report a view
// older than f.clearAt.
func (s *State) behind(f former, id model.NodeID) int {
	n := 0
	for _, m := range f.members {
		a := s.acks[m]
		if m != id && m != s.me && a.Sequence < f.clearAt && !a.Drained && !s.gone(m) {
			n++
		}
	}
	return n
}

// advanceClear raises the sequence up to which all departed members are known to
// hold nothing, from own observation or a peer's statement.
func (s *State) advanceClear(now time.Time, execution time.Duration) {
	for _, id := range s.members {
		s.clear = max(s.clear, s.acks[id].Clear)
	}
	for _, f := range s.formers {
		if f.unknown && s.clear < f.clearAt && now.Sub(f.learned) < s.policy.takeWait(execution) {
			return
		}
		for _, m := range f.members {
			if !slices.Contains(s.members, m) && !s.cleared(m, f.clearAt, now, execution) {
				return
			}
		}
	}
	s.clear = max(s.clear, s.sequence)
}

// settled reports whether no node can act on f any more.
func (s *State) settled(f former, now time.Time, execution time.Duration) bool {
	if f.unknown && !s.unseenCleared(f, now, execution) {
		return false
	}
	for _, m := range f.members {
		if !s.cleared(m, f.clearAt, now, execution) {
			return false
		}
	}
	return true
}

// unseenCleared reports whether members that departed unseen before f.clearAt
// hold nothing any more.
func (s *State) unseenCleared(f former, now time.Time, execution time.Duration) bool {
	return s.clear >= f.clearAt || now.Sub(f.learned) >= s.policy.takeWait(execution)
}

// cleared reports whether node holds nothing under views older than clearAt.
func (s *State) cleared(node model.NodeID, clearAt uint64, now time.Time, execution time.Duration) bool {
	if node == s.me {
		return true
	}
	a := s.acks[node]
	if a.Sequence >= clearAt || a.Drained {
		return true
	}
	if slices.Contains(s.members, node) {
		return false
	}
	d, known := s.departed[node]
	if known && s.clear >= d.sequence {
		return true
	}
	return !d.stopped.IsZero() && now.Sub(d.stopped) >= s.policy.takeWait(execution)
}

// Held returns how many slots of a runner the node holds: those that the current
// view gives it and that no other node can hold any more.
func (s *State) Held(now time.Time, runner model.RunnerID, svc Service) int {
	held := 0
	for _, ok := range s.slots(now, runner, svc) {
		if ok {
			held++
		}
	}
	return held
}

// slots tells for each slot of a runner whether the node holds it.
func (s *State) slots(now time.Time, runner model.RunnerID, svc Service) []bool {
	if s.sequence == 0 || s.leaving {
		return nil
	}
	current := Order(runner, s.members)
	free := make([]bool, svc.Slots)
	for i := range free {
		free[i] = owner(current, i) == s.me
	}
	for _, f := range s.formers {
		s.exclude(free, f, now, runner, svc)
	}
	return free
}

// exclude clears the slots that another node may hold under f.
func (s *State) exclude(free []bool, f former, now time.Time, runner model.RunnerID, svc Service) {
	if f.unknown {
		if !s.settled(f, now, svc.Execution) {
			clear(free)
		}
		return
	}
	order := Order(runner, f.members)
	for i := range free {
		if free[i] && !s.cleared(owner(order, i), f.clearAt, now, svc.Execution) {
			free[i] = false
		}
	}
}

// Ack returns the node's own statement. Within is true when the node's requests
// in execution and lent slots are within what it holds under the current view.
func (s *State) Ack(within, idle bool) Ack {
	if within {
		s.acked = s.sequence
	}
	return Ack{Sequence: s.acked, Clear: s.clear, Drained: s.leaving && idle}
}

// Leave gives up all slots for good, ahead of the leave record.
func (s *State) Leave() {
	s.leaving = true
	s.changed++
}

// Sequence returns the members sequence of the current view; 0 before the first.
func (s *State) Sequence() uint64 { return s.sequence }

// Changed returns a number that changes whenever Held may have changed.
func (s *State) Changed() uint64 { return s.changed }

// Pending reports whether time alone may still change what the node holds.
func (s *State) Pending() bool { return len(s.formers) > 0 }
