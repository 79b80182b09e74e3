package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// maxEntries bounds the former views kept; older ones are merged.
	maxEntries = 64
	// maxJumps bounds the membership changes in one step whose possible orders are
	// enumerated.
	maxJumps = 4
)

// former is a view, or a possible view, under which a node may still hold slots.
type former struct {
	members []model.NodeID
	// clearAt is the view whose acknowledgement proves that a node no longer acts
	// on this one.
	clearAt uint64
	// unknown is true when other views may lie between this one and clearAt, so
	// that any member may hold any slot and members may have departed unseen.
	unknown bool
	// learned is when the view clearAt became known here.
	learned time.Time
}

// departure is a member that is no longer in the view.
type departure struct {
	// sequence is the members sequence of the first view seen without the node.
	sequence uint64
	// stopped is when the departed node could no longer find a majority for an
	// older view, or the host list did not contain it; zero until then.
	stopped time.Time
}

// Ack is a node's statement about the views. All of its parts stay true for ever.
type Ack struct {
	// Sequence is the members sequence of the latest view that the node acts on
	// exclusively: it uses no slot that this view does not give it.
	Sequence uint64 `json:"seq"`
	// Clear is a members sequence: the node knows that all members which departed
	// up to it hold no slots any more.
	Clear uint64 `json:"clear,omitempty"`
	// Drained is true when the node holds no slot and will not take one again.
	Drained bool `json:"drained,omitempty"`
}

// merge combines two acknowledgements of one node.
func (a Ack) merge(b Ack) Ack {
	return Ack{Sequence: max(a.Sequence, b.Sequence), Clear: max(a.Clear, b.Clear), Drained: a.Drained || b.Drained}
}

// memberIDs returns the members of v in order.
func memberIDs(v *control.View) []model.NodeID {
	ids := make([]model.NodeID, 0, len(v.Members))
	for id := range v.Members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// neverDeparted reports whether no member can have departed before v: a departure
// takes two records, a join and a leave, besides those that v accounts for.
func neverDeparted(v *control.View) bool {
	known := uint64(len(v.Members))
	for _, seq := range v.Out {
		if seq <= v.MembersSequence {
			known++
		}
	}
	return v.MembersSequence < known+2
}

// between returns the possible views from a member set to the next one, the first
// included. Unknown is true when they cannot be enumerated. Records is the number
// of journal records between the two views.
func between(from, to []model.NodeID, records uint64, since func(model.NodeID) uint64) (views [][]model.NodeID, unknown bool) {
	joined := without(to, from)
	left := without(from, to)
	changes := len(joined) + len(left)
	// A member that joined and left unseen takes two records.
	if changes > maxJumps || records >= uint64(changes)+2 {
		return [][]model.NodeID{union(from, to)}, true
	}
	slices.SortFunc(joined, func(a, b model.NodeID) int { return cmp.Compare(since(a), since(b)) })
	for n := range len(joined) + 1 {
		for mask := range 1 << len(left) {
			if n == len(joined) && mask == 1<<len(left)-1 {
				continue // this is the new view itself
			}
			view := without(from, chosen(left, mask))
			views = append(views, union(view, joined[:n]))
		}
	}
	return views, false
}

// chosen returns the elements of list whose bit is set in mask.
func chosen(list []model.NodeID, mask int) []model.NodeID {
	var out []model.NodeID
	for i, id := range list {
		if mask&(1<<i) != 0 {
			out = append(out, id)
		}
	}
	return out
}

// without returns the elements of a that are not in b.
func without(a, b []model.NodeID) []model.NodeID {
	out := make([]model.NodeID, 0, len(a))
	for _, id := range a {
		if !slices.Contains(b, id) {
			out = append(out, id)
		}
	}
	return out
}

// union returns the elements of both lists in order.
func union(a, b []model.NodeID) []model.NodeID {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
