package ownership

import (
	"context"
	"slices"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// FollowerState is a warm follower's state of a cell: a snapshot and the rows after it, without
// a gap, up to the last row that the follower has read.
type FollowerState struct {
	Snapshot journal.Snapshot
	Tail     []journal.Entry
}

// Last returns the last sequence that the state covers.
func (s FollowerState) Last() uint64 {
	return journal.Recovered{Snapshot: s.Snapshot, Tail: s.Tail}.Last()
}

// PeerSource fetches the state of a cell from a peer that follows it. The journal stays
// authoritative: the rows after the state's last sequence are read from the journal before the
// cell is acquired.
type PeerSource interface {
	// FollowerState returns a peer's state of cell. Errors: KindNotFound when no
	// peer has one.
	FollowerState(ctx context.Context, cell model.CellID) (FollowerState, error)
}

// FollowerState returns this node's state of a cell, for peers that recover the cell. Errors:
// KindNotFound when this node is not a warm follower of the cell.
func (m *Manager) FollowerState(cell model.CellID) (FollowerState, error) {
	m.mu.Lock()
	c := m.cells[cell]
	m.mu.Unlock()
	if c != nil {
		if state, ok := c.follow.copyState(); ok {
			return state, nil
		}
	}
	return FollowerState{}, model.Errorf(model.KindNotFound, "ask another peer or read the store", "no warm state of cell %s", cell)
}

// copyState returns a copy of the state in memory, or false if f is not warm.
func (f *follower) copyState() (FollowerState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.warm {
		return FollowerState{}, false
	}
	return FollowerState{Snapshot: f.state.Snapshot, Tail: slices.Clone(f.state.Tail)}, true
}

// recover reads the state from a peer and the journal tail after it. If no usable peer state is
// available, it reads the snapshot and the tail from the store.
func (f *follower) recover(ctx context.Context) (journal.Recovered, error) {
	if f.cfg.Peers != nil {
		rec, err := f.recoverFromPeer(ctx)
		if err == nil || f.peerState != nil {
			return rec, err
		}
	}
	return journal.Recover(ctx, f.log, f.snaps)
}

// recoverFromPeer reads the state from a peer and appends the journal rows after it.
func (f *follower) recoverFromPeer(ctx context.Context) (journal.Recovered, error) {
	// The fetched state is kept while the store is unavailable, so that retries do not fetch
	// it again.
	if f.peerState == nil {
		state, err := f.cfg.Peers.FollowerState(ctx, f.cell)
		if err != nil {
			return journal.Recovered{}, err
		}
		f.peerState = &state
	}
	rec, err := f.extendFromJournal(ctx, *f.peerState)
	if !model.IsKind(err, model.KindUnavailable) {
		f.peerState = nil
	}
	return rec, err
}

// extendFromJournal checks that the peer's rows have no gap and appends the journal rows after
// them. The peer's last row is read again from the journal and must be the same append. This
// rejects a peer that followed rows which never belonged to the journal.
func (f *follower) extendFromJournal(ctx context.Context, state FollowerState) (journal.Recovered, error) {
	if len(state.Tail) == 0 {
		return journal.Recovered{}, model.Errorf(model.KindStale, "read the store", "the peer's state of cell %s has no row to compare", f.cell)
	}
	for i, e := range state.Tail {
		if e.Sequence != state.Snapshot.Sequence+1+uint64(i) {
			return journal.Recovered{}, model.Errorf(model.KindCorrupt, "read the store", "the peer's state of cell %s has a gap", f.cell)
		}
	}
	last := state.Tail[len(state.Tail)-1]
	tail, err := f.log.Tail(ctx, last.Sequence)
	if err != nil {
		return journal.Recovered{}, err
	}
	if len(tail) == 0 || tail[0].AppendID != last.AppendID {
		return journal.Recovered{}, model.Errorf(model.KindStale, "read the store", "the peer's state of cell %s is not in the journal", f.cell)
	}
	return journal.Recovered{Snapshot: state.Snapshot, Tail: append(state.Tail, tail[1:]...)}, nil
}
