package ownership

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// PeerSource serves the state of a cell from a peer that follows it. The journal
// stays authoritative: the state is used only up to the sequence that it covers,
// and the rows after it are read from the journal before the cell is acquired.
type PeerSource interface {
	// FollowerState returns a peer's state of cell, with the ownership after it.
	// KindNotFound means that no peer has one.
	FollowerState(ctx context.Context, cell model.CellID) (journal.Snapshot, error)
}

// recover reads the state from a peer and the journal tail after it, or, when
// that is not possible, snapshot and tail from the store.
func (f *follower) recover(ctx context.Context) (journal.Recovered, error) {
	if f.cfg.Peers != nil {
		if rec, err := f.recoverFromPeer(ctx); err == nil {
			return rec, nil
		}
	}
	return journal.Recover(ctx, f.log, f.snaps)
}

func (f *follower) recoverFromPeer(ctx context.Context) (journal.Recovered, error) {
	snap, err := f.cfg.Peers.FollowerState(ctx, f.cell)
	if err != nil {
		return journal.Recovered{}, err
	}
	tail, err := f.log.Tail(ctx, snap.Sequence+1)
	if err != nil {
		return journal.Recovered{}, err
	}
	return journal.Recovered{Snapshot: snap, Tail: tail}, nil
}
