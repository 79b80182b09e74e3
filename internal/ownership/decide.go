package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Observation is a node's view of a cell's ownership after reading the journal up to Last.
type Observation struct {
	// Last is the last sequence read; 0 for an empty journal.
	Last uint64
	// Epoch is the epoch of the last row.
	Epoch model.Epoch
	// Owner is the last ownership record, nil when there was none.
	Owner *journal.OwnerChange
	// SeenAt is the local monotonic time at which the read that first returned row Last
	// completed.
	SeenAt time.Time
}

// Observe returns o updated with e, which was read at the local time now. It returns
// KindCorrupt if the epoch of e does not follow from the rows before it.
func (o Observation) Observe(e journal.Entry, now time.Time) (Observation, error) {
	want := o.Epoch
	if e.Owner != nil && e.Owner.Action == journal.OwnerAcquired {
		want++
	}
	if e.Epoch != want {
		return o, model.Errorf(model.KindCorrupt, "restore the journal from the store's backup",
			"sequence %d has epoch %d after epoch %d", e.Sequence, e.Epoch, o.Epoch)
	}
	o.Last, o.Epoch, o.SeenAt = e.Sequence, e.Epoch, now
	if e.Owner != nil {
		o.Owner = e.Owner
	}
	return o, nil
}

// Vacant reports whether the journal records no current owner of the cell.
func (o Observation) Vacant() bool {
	return o.Owner == nil || o.Owner.Action == journal.OwnerReleased
}

// AcquireAt returns the earliest local time at which a member with the given rank may append
// an acquire record at o.Last+1.
func AcquireAt(cfg Config, o Observation, rank int) time.Time {
	stagger := time.Duration(rank) * cfg.Stagger
	switch {
	case o.Owner == nil:
		return o.SeenAt.Add(stagger)
	case o.Owner.Action == journal.OwnerReleased:
		if o.Owner.Successor == cfg.Node {
			return o.SeenAt
		}
		if o.Owner.Successor != "" {
			stagger += cfg.Stagger
		}
		return o.SeenAt.Add(stagger)
	}
	lease := max(cfg.Lease, time.Duration(o.Owner.LeaseMillis)*time.Millisecond)
	expiry := lease + time.Duration(float64(lease)*cfg.Margin)
	return o.SeenAt.Add(expiry + stagger)
}

// LeaseValid reports whether an owner may act at now when its last successful
// append began at start.
func LeaseValid(lease time.Duration, start, now time.Time) bool {
	return !start.IsZero() && now.Sub(start) < lease
}

// AfterWrite decides whether a row that the store accepted belongs to the journal. valid tells
// whether the lease under which the append began was still valid when the response arrived. If
// it was not, another node may have acquired the cell and truncated the journal beyond the
// row. A delayed put-if-absent then succeeds without being part of the journal, so the rows
// after it must be read first. rowsChecked tells whether they were read, rowsFollow whether
// there are any.
func AfterWrite(valid, rowsChecked, rowsFollow bool) WriteOutcome {
	switch {
	case valid:
		return WriteAccepted
	case !rowsChecked:
		return WriteUnverified
	case rowsFollow:
		return WriteSuperseded
	}
	return WriteAccepted
}

// WriteOutcome is the outcome of AfterWrite.
type WriteOutcome uint8

const (
	// WriteAccepted means that the row belongs to the journal.
	WriteAccepted WriteOutcome = iota
	// WriteUnverified means that the writer must first read the rows after the written one.
	WriteUnverified
	// WriteSuperseded means that the writer is no longer the owner.
	WriteSuperseded
)

// maxPollRank is the rank from which members do not poll a cell. It limits the number of nodes
// that read a cell's journal, independent of the number of members.
const maxPollRank = 8

// pollInterval returns the interval at which a member with the given rank reads a cell's
// journal. ok is false when the member does not poll.
func pollInterval(cfg Config, rank int) (interval time.Duration, ok bool) {
	switch {
	case rank < 0 || rank >= maxPollRank:
		return 0, false
	case rank == 0:
		return cfg.Poll, true
	}
	return cfg.FarPoll << (rank - 1), true
}

// rendezvousWeight returns the weight of a node for a cell in rendezvous hashing.
func rendezvousWeight(cell model.CellID, node model.NodeID) uint64 {
	return xxhash.Sum64String(string(cell) + "\x00" + string(node))
}

// Order returns the members from the highest to the lowest rank for cell, by rendezvous
// hashing. Adding or removing a member moves only the cells that this member gains or loses.
func Order(cell model.CellID, members []control.Member) []model.NodeID {
	ids := make([]model.NodeID, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	slices.SortFunc(ids, func(a, b model.NodeID) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(cell, b), rendezvousWeight(cell, a)), cmp.Compare(a, b))
	})
	return ids
}

// rankOf returns the index of node in order, not counting except, or -1 if it is not in order.
func rankOf(order []model.NodeID, node, except model.NodeID) int {
	rank := 0
	for _, id := range order {
		switch id {
		case node:
			return rank
		case except:
		default:
			rank++
		}
	}
	return -1
}

// handOverTarget returns the highest-ranked member above the owner self to which self should
// hand a cell over, or "". stable reports whether a member has been present for long enough,
// recentlyFailed whether it did not acquire the cell after a recent hand-over.
func handOverTarget(order []model.NodeID, self model.NodeID, stable, recentlyFailed func(model.NodeID) bool) model.NodeID {
	for _, id := range order {
		if id == self {
			return ""
		}
		if stable(id) && !recentlyFailed(id) {
			return id
		}
	}
	return ""
}
