package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// maxPastViews bounds the number of past views kept; the oldest ones are merged.
	maxPastViews = 64
	// maxEnumeratedChanges is the largest number of membership changes between two views
	// for which the possible intermediate views are enumerated.
	maxEnumeratedChanges = 4
)

// pastView is an earlier view, or a possible one, under which a node may still hold slots.
type pastView struct {
	members []model.NodeID
	// supersededBy is the members sequence of the view whose acknowledgement proves that a
	// node no longer acts on this one.
	supersededBy uint64
	// incomplete is true when unknown views may lie between this one and supersededBy. Any
	// member may then hold any slot, and members may have joined and departed unseen.
	incomplete bool
	// learnedAt is when this node first saw the view supersededBy.
	learnedAt time.Time
}

// departure is a member that is no longer in the view.
type departure struct {
	// sequence is the members sequence of the first view seen without the node.
	sequence uint64
	// stoppedAt is when this node noticed that the departed node can no longer find a
	// majority for an older view; see State.mayHaveMajority. It is zero until then.
	stoppedAt time.Time
}

// Ack is a node's acknowledgement of views. Each of its statements stays true once it is made.
type Ack struct {
	// Sequence is the members sequence of the latest view that the node complies with: it
	// uses no slot that this view does not assign to it.
	Sequence uint64 `json:"seq"`
	// ClearedThrough is a members sequence: the node knows that members which departed at
	// or before it no longer hold slots.
	ClearedThrough uint64 `json:"clear,omitempty"`
	// Drained is true when the node holds no slot and will not take one again.
	Drained bool `json:"drained,omitempty"`
}

// merge combines two acknowledgements by the same node.
func (a Ack) merge(b Ack) Ack {
	return Ack{Sequence: max(a.Sequence, b.Sequence), ClearedThrough: max(a.ClearedThrough, b.ClearedThrough), Drained: a.Drained || b.Drained}
}

// memberIDs returns the sorted ids of the members of v.
func memberIDs(v *control.View) []model.NodeID {
	ids := make([]model.NodeID, 0, len(v.Members))
	for id := range v.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// noDepartureBefore reports whether no member can have departed before v. A departed member
// accounts for two records, a join and a leave, in addition to those that v accounts for.
func noDepartureBefore(v *control.View) bool {
	known := uint64(len(v.Members))
	for _, seq := range v.Out {
		if seq <= v.MembersSequence {
			known++
		}
	}
	return v.MembersSequence < known+2
}

// possibleViews returns the possible views from the member set from, included, to the next
// known set to, excluded. incomplete is true when they cannot be enumerated; the result is then
// the union of both sets. records is the number of journal records between the two views.
func possibleViews(from, to []model.NodeID, records uint64, since func(model.NodeID) uint64) (views [][]model.NodeID, incomplete bool) {
	joined := difference(to, from)
	left := difference(from, to)
	changes := len(joined) + len(left)
	// A member that joined and left unseen takes two records.
	if changes > maxEnumeratedChanges || records >= uint64(changes)+2 {
		return [][]model.NodeID{union(from, to)}, true
	}
	slices.SortFunc(joined, func(a, b model.NodeID) int { return cmp.Compare(since(a), since(b)) })
	for n := range len(joined) + 1 {
		for mask := range 1 << len(left) {
			if n == len(joined) && mask == 1<<len(left)-1 {
				continue // equal to the new view
			}
			view := difference(from, subset(left, mask))
			views = append(views, union(view, joined[:n]))
		}
	}
	return views, false
}

// subset returns the elements of list whose bit is set in mask.
func subset(list []model.NodeID, mask int) []model.NodeID {
	var out []model.NodeID
	for i, id := range list {
		if mask&(1<<i) != 0 {
			out = append(out, id)
		}
	}
	return out
}

// difference returns the elements of a that are not in b.
func difference(a, b []model.NodeID) []model.NodeID {
	out := make([]model.NodeID, 0, len(a))
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}

// union returns the sorted elements of both lists without duplicates.
func union(a, b []model.NodeID) []model.NodeID {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
