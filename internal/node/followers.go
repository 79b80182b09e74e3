package node

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// methodTail is the RPC method that returns the state of a cell that a member follows.
const methodTail = "cell.tail"

const (
	// maxFollowerStateBytes limits the state that is sent to a peer; the peer reads a larger
	// one from the store. JSON encoding adds a third, and the state must fit into one message.
	maxFollowerStateBytes = 2 << 20
	// maxFollowersAsked is the number of members asked for a state. The standby that follows
	// a cell is the highest-ranked member other than the owner.
	maxFollowersAsked = 2
	// followerTimeout limits one call. The fallback is to read the store.
	followerTimeout = 500 * time.Millisecond
)

type tailParams struct {
	Cell model.CellID `json:"cell"`
}

// FollowerState asks the highest-ranked members of a cell for their state of the cell. It
// implements ownership.PeerSource.
func (n *Node) FollowerState(ctx context.Context, id model.CellID) (ownership.FollowerState, error) {
	asked, suspects := 0, n.suspects()
	for _, member := range ownership.Order(id, n.members()) {
		m, ok := n.control.View().Members[member]
		if !ok || member == n.id || suspects[member] {
			continue
		}
		if state, err := n.fetchFollowerState(ctx, m, id); err == nil {
			return state, nil
		}
		if asked++; asked == maxFollowersAsked {
			break
		}
	}
	return ownership.FollowerState{}, model.Errorf(model.KindNotFound, "read the store", "no member follows cell %s", id)
}

func (n *Node) fetchFollowerState(ctx context.Context, m control.Member, id model.CellID) (ownership.FollowerState, error) {
	ctx, cancel := context.WithTimeout(ctx, followerTimeout)
	defer cancel()
	var state ownership.FollowerState
	err := n.peers.Call(ctx, m.Addr, methodTail, tailParams{id}, &state)
	return state, err
}

func (n *Node) handleTail(_ context.Context, p tailParams) (any, error) {
	state, err := n.owners.FollowerState(p.Cell)
	if err != nil {
		return nil, err
	}
	size := len(state.Snapshot.Data)
	for _, entry := range state.Tail {
		for _, record := range entry.Records {
			size += len(record)
		}
	}
	if size > maxFollowerStateBytes {
		return nil, model.Errorf(model.KindExhausted, "read the store", "the state of cell %s has %d bytes", p.Cell, size)
	}
	return state, nil
}
