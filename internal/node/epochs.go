package node

import (
	"context"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
	"github.com/vanillapier/vanillapier/internal/share"
)

// RPC methods for the epochs of cells.
const (
	methodLearn = "cell.learn"
	methodState = "member.state"
)

// memberStateTTL is how long a member's answer to member.state is valid. The design page
// calls it H.
const memberStateTTL = 3 * time.Second

// learnParams announce the owner of a cell to a member, whose reply acknowledges it.
type learnParams struct {
	Cell  model.CellID `json:"cell"`
	Epoch model.Epoch  `json:"epoch"`
	Node  model.NodeID `json:"node"`
	Addr  string       `json:"addr"`
}

// stateParams hold the epochs of the sender's cells. The member replies whether its view is
// confirmed and which of the cells have newer owners.
type stateParams struct {
	Epochs map[model.CellID]model.Epoch `json:"epochs"`
}

// memberState is the reply to member.state.
type memberState struct {
	Confirmed bool           `json:"confirmed"`
	Newer     []model.CellID `json:"newer,omitempty"`
	Share     share.Digest   `json:"share"`
}

// epochTable holds the highest known epoch of each cell, the epochs of own cells that a
// majority of the members has acknowledged, and the cells whose task leases may be renewed
// during a store outage.
type epochTable struct {
	mu           sync.Mutex
	known        map[model.CellID]model.Epoch
	acknowledged map[model.CellID]model.Epoch
	// renewalAllowedUntil is until when task leases may be renewed without a valid ownership
	// lease.
	renewalAllowedUntil map[model.CellID]time.Time
}

func newEpochTable() *epochTable {
	return &epochTable{
		known:               map[model.CellID]model.Epoch{},
		acknowledged:        map[model.CellID]model.Epoch{},
		renewalAllowedUntil: map[model.CellID]time.Time{},
	}
}

// learn records an epoch. It returns false if a higher one is known.
func (t *epochTable) learn(id model.CellID, epoch model.Epoch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch < t.known[id] {
		return false
	}
	t.known[id] = epoch
	return true
}

// newer returns the cells for which a higher epoch than the given one is known.
func (t *epochTable) newer(epochs map[model.CellID]model.Epoch) []model.CellID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []model.CellID
	for id, epoch := range epochs {
		if t.known[id] > epoch {
			out = append(out, id)
		}
	}
	return out
}

func (t *epochTable) acknowledge(id model.CellID, epoch model.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acknowledged[id] = epoch
}

func (t *epochTable) isAcknowledged(id model.CellID, epoch model.Epoch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acknowledged[id] == epoch
}

func (t *epochTable) allowOutageRenewal(id model.CellID, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewalAllowedUntil[id] = until
}

// outageRenewalAllowed reports whether the task leases of a cell may be renewed now, during a
// store outage.
func (t *epochTable) outageRenewalAllowed(id model.CellID, epoch model.Epoch, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known[id] <= epoch && now.Before(t.renewalAllowedUntil[id])
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }

// callMembers calls f for every other member concurrently and returns how many calls returned
// true.
func callMembers(ctx context.Context, members map[model.NodeID]control.Member, self model.NodeID, f func(context.Context, control.Member) bool) int {
	var wg sync.WaitGroup
	results := make(chan bool, len(members))
	for id, m := range members {
		if id == self {
			continue
		}
		wg.Go(func() { results <- f(ctx, m) })
	}
	wg.Wait()
	close(results)
	accepted := 0
	for ok := range results {
		if ok {
			accepted++
		}
	}
	return accepted
}

// announceEpochs announces the epoch of each owned cell to the members until a majority has
// acknowledged it. Cells are handled concurrently: an unreachable member delays each call by
// the timeout, and a node may take over many cells at once.
func (n *Node) announceEpochs(ctx context.Context) {
	view := n.control.View()
	var cells sync.WaitGroup
	for id, epoch := range n.cells.Epochs() {
		if !n.epochs.isAcknowledged(id, epoch) {
			cells.Go(func() { n.announceEpoch(ctx, view, id, epoch) })
		}
	}
	cells.Wait()
}

func (n *Node) announceEpoch(ctx context.Context, view *control.View, id model.CellID, epoch model.Epoch) {
	n.epochs.learn(id, epoch)
	params := learnParams{Cell: id, Epoch: epoch, Node: n.id, Addr: n.settings.Advertise}
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	acks := callMembers(call, view.Members, n.id, func(ctx context.Context, m control.Member) bool {
		return n.peers.Call(ctx, m.Addr, methodLearn, params, nil) == nil
	})
	if acks+1 >= majority(len(view.Members)) {
		n.epochs.acknowledge(id, epoch)
	}
}

// outageCheckAge is the age of the last confirmation at which a node starts to ask the members
// for their states. From an age of 2 s on, slot shares and task leases depend on the answers.
const outageCheckAge = 1500 * time.Millisecond

// checkOutage asks all members whether their views are confirmed if this node's view is not.
// Random gossip may take too long to reach a majority, and a node without recent reports of a
// majority must not use its slots.
func (n *Node) checkOutage(ctx context.Context) {
	start := time.Now()
	view := n.control.View()
	if !n.joined.Load() || view.Age(start) < outageCheckAge {
		return
	}
	answers := n.collectMemberStates(ctx, view, stateParams{n.cells.Epochs()}, start)
	n.allowOutageRenewals(view, answers, start)
}

// collectMemberStates asks all other members for their states and passes the slot shares in
// the replies to the share manager.
func (n *Node) collectMemberStates(ctx context.Context, view *control.View, params stateParams, start time.Time) []memberState {
	var mu sync.Mutex
	var answers []memberState
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	callMembers(call, view.Members, n.id, func(ctx context.Context, m control.Member) bool {
		var state memberState
		if err := n.peers.Call(ctx, m.Addr, methodState, params, &state); err != nil {
			return false
		}
		n.shares.Observe(m.ID, state.Share, start)
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, state)
		return true
	})
	return answers
}

// allowOutageRenewals allows the renewal of task leases without a valid ownership lease for
// memberStateTTL.
func (n *Node) allowOutageRenewals(view *control.View, answers []memberState, start time.Time) {
	for _, id := range renewableCells(n.cells.Epochs(), answers, len(view.Members)) {
		n.epochs.allowOutageRenewal(id, start.Add(memberStateTTL))
	}
}

// renewableCells returns the owned cells whose task leases may be renewed: a majority of the
// members, including this node, has no confirmed view, and no member that answered knows a
// newer owner of the cell. Then the store is down for all members, and no other node can have
// taken over the cell.
func renewableCells(owned map[model.CellID]model.Epoch, answers []memberState, members int) []model.CellID {
	unconfirmed, newer := 1, map[model.CellID]bool{}
	for _, a := range answers {
		if !a.Confirmed {
			unconfirmed++
		}
		for _, id := range a.Newer {
			newer[id] = true
		}
	}
	if unconfirmed < majority(members) {
		return nil
	}
	var out []model.CellID
	for id := range owned {
		if !newer[id] {
			out = append(out, id)
		}
	}
	return out
}

// handleLearn records the owner of a cell.
func (n *Node) handleLearn(_ context.Context, p learnParams) (any, error) {
	if !n.epochs.learn(p.Cell, p.Epoch) {
		return nil, model.Errorf(model.KindFenced, "ask the cell's current owner", "a newer owner of cell %s is known", p.Cell)
	}
	n.owners.Learn(p.Cell, ownership.OwnerInfo{Node: p.Node, Addr: p.Addr, Epoch: p.Epoch})
	return struct{}{}, nil
}

// handleState returns this node's state to a member that checks for a store outage.
func (n *Node) handleState(_ context.Context, p stateParams) (any, error) {
	return memberState{Confirmed: n.control.Fresh(time.Now()), Newer: n.epochs.newer(p.Epochs), Share: n.shares.Digest()}, nil
}
