package share

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// State is one node's state in the slot assignment protocol. It takes the time as an argument,
// performs no I/O and is not safe for concurrent use.
type State struct {
	self   model.NodeID
	policy Policy

	sequence            uint64 // members sequence of the current view
	lastControlSequence uint64 // control sequence of the latest view seen
	members             []model.NodeID
	confirmedAt         time.Time
	pastViews           []pastView
	departed            map[model.NodeID]departure
	acks                map[model.NodeID]Ack
	reports             map[model.NodeID]report
	hostRemoved         func(model.NodeID) bool
	leaving             bool
	ackedSequence       uint64
	// clear is the value for Ack.ClearedThrough.
	clear uint64
	// version increases whenever the node's slots may have changed.
	version uint64
}

// report is the view that a member reported, with the local time at which the exchange began.
type report struct {
	sequence uint64
	at       time.Time
}

// NewState returns the state of node self before its first view. hostRemoved reports whether
// the host list has been read and does not contain a node's host; nil means never.
func NewState(self model.NodeID, policy Policy, hostRemoved func(model.NodeID) bool) *State {
	if hostRemoved == nil {
		hostRemoved = func(model.NodeID) bool { return false }
	}
	return &State{
		self: self, policy: policy.withDefaults(), hostRemoved: hostRemoved,
		departed: map[model.NodeID]departure{},
		acks:     map[model.NodeID]Ack{},
		reports:  map[model.NodeID]report{},
	}
}

// Apply applies a view and ignores views older than the current one. Views should be passed one
// by one; a gap is handled, but delays gained slots.
func (s *State) Apply(now time.Time, v *control.View) {
	if v == nil || v.Sequence < s.lastControlSequence || v.MembersSequence < s.sequence {
		return
	}
	if v.ConfirmedAt.After(s.confirmedAt) {
		s.confirmedAt = v.ConfirmedAt
	}
	if v.MembersSequence > s.sequence {
		s.changeMembers(now, v)
	}
	s.lastControlSequence = v.Sequence
}

// changeMembers applies a view with a later members sequence.
func (s *State) changeMembers(now time.Time, v *control.View) {
	to := memberIDs(v)
	if s.sequence == 0 {
		s.applyFirstView(now, v, to)
	} else {
		since := func(id model.NodeID) uint64 { return v.Members[id].Since }
		views, incomplete := possibleViews(s.members, to, v.MembersSequence-s.lastControlSequence, since)
		for _, members := range views {
			s.pastViews = append(s.pastViews, pastView{members: members, supersededBy: v.MembersSequence, incomplete: incomplete, learnedAt: now})
		}
	}
	for _, id := range difference(s.members, to) {
		s.departed[id] = departure{sequence: v.MembersSequence}
	}
	s.sequence, s.members = v.MembersSequence, to
	s.mergePastViews()
	s.version++
}

// applyFirstView handles a node's first view, under which every member may hold any slot.
func (s *State) applyFirstView(now time.Time, v *control.View, to []model.NodeID) {
	s.pastViews = []pastView{{members: to, supersededBy: v.MembersSequence, incomplete: true, learnedAt: now}}
	if noDepartureBefore(v) {
		s.clear = v.MembersSequence
	}
}

// mergePastViews merges the oldest past views while there are more than maxPastViews.
func (s *State) mergePastViews() {
	for len(s.pastViews) > maxPastViews {
		a, b := s.pastViews[0], s.pastViews[1]
		s.pastViews = s.pastViews[1:]
		s.pastViews[0] = pastView{members: union(a.members, b.members), supersededBy: b.supersededBy, incomplete: true, learnedAt: b.learnedAt}
	}
}

// Observe merges a member's acknowledgement.
func (s *State) Observe(node model.NodeID, a Ack) {
	old := s.acks[node]
	merged := old.merge(a)
	if merged != old {
		s.acks[node] = merged
		s.version++
	}
}

// Report records the view that a member has. at is the local time at which the exchange with
// the member began.
func (s *State) Report(node model.NodeID, sequence uint64, at time.Time) {
	if old := s.reports[node]; at.After(old.at) {
		s.reports[node] = report{sequence, at}
	}
}

// Active reports whether the node may use its slots now: its view was confirmed within the hold
// time, or a majority of its members reported the same view within that time.
func (s *State) Active(now time.Time) bool {
	if s.sequence == 0 || s.leaving || !slices.Contains(s.members, s.self) {
		return false
	}
	if now.Sub(s.confirmedAt) <= s.policy.Hold {
		return true
	}
	same := 1
	for _, id := range s.members {
		r := s.reports[id]
		if id != s.self && r.sequence == s.sequence && now.Sub(r.at) <= s.policy.Hold {
			same++
		}
	}
	return same >= majority(len(s.members))
}

// Refresh updates the state from the time and the acknowledgements received, and drops past
// views that no node can act on any more. maxExecution is the maximum over all services.
func (s *State) Refresh(now time.Time, maxExecution time.Duration) {
	s.markStopped(now)
	s.advanceClearedThrough(now, maxExecution)
	n := 0
	for n < len(s.pastViews) && s.inactive(s.pastViews[n], now, maxExecution) {
		n++
	}
	if n > 0 {
		s.pastViews = slices.Delete(s.pastViews, 0, n)
		s.version++
	}
}

// markStopped records the time for departed nodes that can no longer find a majority.
func (s *State) markStopped(now time.Time) {
	for id, d := range s.departed {
		if d.stoppedAt.IsZero() && !s.mayHaveMajority(id) {
			d.stoppedAt = now
			s.departed[id] = d
		}
	}
}

// mayHaveMajority reports whether a departed node, if it is still running, could find a majority
// for an older view. The host list can be wrong about a paused host, so it is trusted only when
// no other member could still report that view.
func (s *State) mayHaveMajority(id model.NodeID) bool {
	for _, f := range s.pastViews {
		if !slices.Contains(f.members, id) {
			continue
		}
		needed := majority(len(f.members))
		if f.incomplete {
			needed = 1 // the size of an unseen view is not known
		}
		others := s.countBehind(f, id)
		if others+1 >= needed && (others > 0 || !s.hostRemoved(id)) {
			return true
		}
	}
	return false
}

// countBehind counts the members of f other than id that may still report a view older than
// f.supersededBy.
func (s *State) countBehind(f pastView, id model.NodeID) int {
	n := 0
	for _, m := range f.members {
		a := s.acks[m]
		if m != id && m != s.self && a.Sequence < f.supersededBy && !a.Drained && !s.hostRemoved(m) {
			n++
		}
	}
	return n
}

// advanceClearedThrough raises the sequence up to which all departed members are known to hold
// no slots, from this node's observation or from members' acknowledgements.
func (s *State) advanceClearedThrough(now time.Time, maxExecution time.Duration) {
	for _, id := range s.members {
		s.clear = max(s.clear, s.acks[id].ClearedThrough)
	}
	for _, f := range s.pastViews {
		if f.incomplete && s.clear < f.supersededBy && now.Sub(f.learnedAt) < s.policy.reuseDelay(maxExecution) {
			return
		}
		for _, m := range f.members {
			if !slices.Contains(s.members, m) && !s.cleared(m, f.supersededBy, now, maxExecution) {
				return
			}
		}
	}
	s.clear = max(s.clear, s.sequence)
}

// inactive reports whether no other node can act on f any more.
func (s *State) inactive(f pastView, now time.Time, maxExecution time.Duration) bool {
	if f.incomplete && !s.unseenCleared(f, now, maxExecution) {
		return false
	}
	for _, m := range f.members {
		if !s.cleared(m, f.supersededBy, now, maxExecution) {
			return false
		}
	}
	return true
}

// unseenCleared reports whether members that departed unseen before f.supersededBy no longer
// hold slots.
func (s *State) unseenCleared(f pastView, now time.Time, maxExecution time.Duration) bool {
	return s.clear >= f.supersededBy || now.Sub(f.learnedAt) >= s.policy.reuseDelay(maxExecution)
}

// cleared reports whether node holds no slots under views older than the given members
// sequence.
func (s *State) cleared(node model.NodeID, sequence uint64, now time.Time, maxExecution time.Duration) bool {
	if node == s.self {
		return true
	}
	a := s.acks[node]
	if a.Sequence >= sequence || a.Drained {
		return true
	}
	if slices.Contains(s.members, node) {
		return false
	}
	d, known := s.departed[node]
	if known && s.clear >= d.sequence {
		return true
	}
	return !d.stoppedAt.IsZero() && now.Sub(d.stoppedAt) >= s.policy.reuseDelay(maxExecution)
}

// Held returns how many slots of a runner the node holds: those that the current view assigns to
// it and that no other node can still hold under a past view.
func (s *State) Held(now time.Time, runner model.RunnerID, svc Service) int {
	held := 0
	for _, ok := range s.heldSlots(now, runner, svc) {
		if ok {
			held++
		}
	}
	return held
}

// heldSlots reports for each slot of a runner whether the node holds it.
func (s *State) heldSlots(now time.Time, runner model.RunnerID, svc Service) []bool {
	if s.sequence == 0 || s.leaving {
		return nil
	}
	current := Order(runner, s.members)
	free := make([]bool, svc.Slots)
	for i := range free {
		free[i] = owner(current, i) == s.self
	}
	for _, f := range s.pastViews {
		s.exclude(free, f, now, runner, svc)
	}
	return free
}

// exclude unsets the entries of free that another node may hold under f.
func (s *State) exclude(free []bool, f pastView, now time.Time, runner model.RunnerID, svc Service) {
	if f.incomplete {
		if !s.inactive(f, now, svc.MaxExecution) {
			clear(free)
		}
		return
	}
	order := Order(runner, f.members)
	for i := range free {
		if free[i] && !s.cleared(owner(order, i), f.supersededBy, now, svc.MaxExecution) {
			free[i] = false
		}
	}
}

// Ack returns the node's own acknowledgement. within is true when the node's requests in flight
// and lent slots are covered by the slots that it holds under the current view. idle is true
// when it has neither.
func (s *State) Ack(within, idle bool) Ack {
	if within {
		s.ackedSequence = s.sequence
	}
	return Ack{Sequence: s.ackedSequence, ClearedThrough: s.clear, Drained: s.leaving && idle}
}

// Leave gives up all slots permanently, before the leave record is written.
func (s *State) Leave() {
	s.leaving = true
	s.version++
}

// Sequence returns the members sequence of the current view; 0 before the first.
func (s *State) Sequence() uint64 { return s.sequence }

// Version returns a number that increases whenever the result of Held may have changed.
func (s *State) Version() uint64 { return s.version }

// Pending reports whether the passing of time may still change what the node holds.
func (s *State) Pending() bool { return len(s.pastViews) > 0 }
