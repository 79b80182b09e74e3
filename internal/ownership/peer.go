package ownership

import (
	"context"
	"slices"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// FollowerState is what a warm follower knows of a cell: a snapshot and the rows
// after it, without a gap, up to the last one that the follower has read.
type FollowerState struct {
	Snapshot journal.Snapshot
	Tail     []journal.Entry
}

// Last returns the last sequence that the state covers.
func (s FollowerState) Last() uint64 {
	return journal.Recovered{Snapshot: s.Snapshot, Tail: s.Tail}.Last()
}

// PeerSource serves the state of a cell from a peer that follows it. The journal
// stays authoritative: the state is used only up to the sequence that it covers,
// and the rows after it are read from the journal before the cell is acquired.
type PeerSource interface {
	// FollowerState returns a peer's state of cell. Errors: KindNotFound when no
	// peer has one.
	FollowerState(ctx context.Context, cell model.CellID) (FollowerState, error)
}

// FollowerState returns this node's state of a cell that it follows warmly, for
// peers that recover the cell. Errors: KindNotFound when it does not.
func (m *Manager) FollowerState(cell model.CellID) (FollowerState, error) {
	m.mu.Lock()
	c := m.cells[cell]
	m.mu.Unlock()
	if c != nil {
		if state, ok := c.follow.share(); ok {
			return state, nil
		}
	}
	return FollowerState{}, model.Errorf(model.KindNotFound, "ask another peer or read the store", "no warm state of cell %s", cell)
}

// share returns a copy of the state in memory.
func (f *follower) share() (FollowerState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.warm {
		return FollowerState{}, false
	}
	return FollowerState{Snapshot: f.state.Snapshot, Tail: slices.Clone(f.state.Tail)}, true
}

// recover reads the state from a peer and the journal tail after it, or, when
// that is not possible, snapshot and tail from the store.
func (f *follower) recover(ctx context.Context) (journal.Recovered, error) {
	if f.cfg.Peers != nil {
		rec, err := f.recoverFromPeer(ctx)
		if err == nil || f.fetched != nil {
			return rec, err
		}
	}
	return journal.Recover(ctx, f.log, f.snaps)
}

// recoverFromPeer reads the state from a peer and extends it with the journal.
func (f *follower) recoverFromPeer(ctx context.Context) (journal.Recovered, error) {
	// While the store fails, the state that was fetched before is used again.
	if f.fetched == nil {
		state, err := f.cfg.Peers.FollowerState(ctx, f.cell)
		if err != nil {
			return journal.Recovered{}, err
		}
		f.fetched = &state
	}
	rec, err := f.extend(ctx, *f.fetched)
	if !model.IsKind(err, model.KindUnavailable) {
		f.fetched = nil
	}
	return rec, err
}

// extend checks that the peer's rows follow one another and adds the rows of the
// journal after them. The peer's last row is read again from the journal and must
// be the same append, so that a peer which followed rows that never belonged to
// the journal is not believed.
func (f *follower) extend(ctx context.Context, state FollowerState) (journal.Recovered, error) {
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
