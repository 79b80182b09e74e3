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

// Methods between nodes for epochs of cells.
const (
	methodLearn = "cell.learn"
	methodState = "member.state"
)

// holdTime is H of the design page: how long an answer about a member's state
// counts.
const holdTime = 3 * time.Second

// learnParams tell a member who owns a cell; the answer is its acknowledgement.
type learnParams struct {
	Cell  model.CellID `json:"cell"`
	Epoch model.Epoch  `json:"epoch"`
	Node  model.NodeID `json:"node"`
	Addr  string       `json:"addr"`
}

// stateParams ask a member whether it has a confirmed view or knows newer owners.
type stateParams struct {
	Epochs map[model.CellID]model.Epoch `json:"epochs"`
}

// memberState is the answer to member.state.
type memberState struct {
	Confirmed bool           `json:"confirmed"`
	Newer     []model.CellID `json:"newer,omitempty"`
	Share     share.Digest   `json:"share"`
}

// epochTable tracks which epochs this node knows, which of its own a majority of
// the members has acknowledged, and for which of its cells a majority allows
// renewals in a store outage.
type epochTable struct {
	mu           sync.Mutex
	known        map[model.CellID]model.Epoch
	acknowledged map[model.CellID]model.Epoch
	// outageUntil is when the permission to renew without a valid ownership
	// lease ends.
	outageUntil map[model.CellID]time.Time
}

func newEpochTable() *epochTable {
	return &epochTable{
		known:        map[model.CellID]model.Epoch{},
		acknowledged: map[model.CellID]model.Epoch{},
		outageUntil:  map[model.CellID]time.Time{},
	}
}

// learn notes an epoch and reports whether it is the highest known.
func (t *epochTable) learn(id model.CellID, epoch model.Epoch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch < t.known[id] {
		return false
	}
	t.known[id] = epoch
	return true
}

// newer lists the cells of which a higher epoch than the given one is known.
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

func (t *epochTable) allowOutage(id model.CellID, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outageUntil[id] = until
}

// mayRenew reports whether a cell's task leases may be renewed in a store outage.
func (t *epochTable) mayRenew(id model.CellID, epoch model.Epoch, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known[id] <= epoch && now.Before(t.outageUntil[id])
}

// majority is the number of members that make a majority of n.
func majority(n int) int { return n/2 + 1 }

// askAll calls f for every other member at the same time and returns the number
// of calls that it accepted.
func askAll(ctx context.Context, members map[model.NodeID]control.Member, self model.NodeID, f func(context.Context, control.Member) bool) int {
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

// announceEpochs tells the members of each owned cell whose epoch a majority has
// not acknowledged yet. The cells do not wait for each other: a member that is
// down delays each call by the timeout, and a node may take over many cells at once.
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
	acks := askAll(call, view.Members, n.id, func(ctx context.Context, m control.Member) bool {
		return n.peers.Call(ctx, m.Addr, methodLearn, params, nil) == nil
	})
	if acks+1 >= majority(len(view.Members)) {
		n.epochs.acknowledge(id, epoch)
	}
}

// outageAge is the age of the view from which the members are asked about a
// store outage. Slot shares and task leases depend on the answers from 2 s on.
const outageAge = 1500 * time.Millisecond

// checkOutage asks the members, while this node's view is not confirmed, whether
// theirs is. Random gossip would reach a majority too late at times, and a node
// that hears no majority may not use its slots.
func (n *Node) checkOutage(ctx context.Context) {
	begun := time.Now()
	view := n.control.View()
	if !n.joined.Load() || view.Age(begun) < outageAge {
		return
	}
	answers := n.askStates(ctx, view, stateParams{n.cells.Epochs()}, begun)
	n.allowRenewals(view, answers, begun)
}

// askStates asks all other members and passes their slot reports on.
func (n *Node) askStates(ctx context.Context, view *control.View, params stateParams, begun time.Time) []memberState {
	var mu sync.Mutex
	var answers []memberState
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	askAll(call, view.Members, n.id, func(ctx context.Context, m control.Member) bool {
		var state memberState
		if err := n.peers.Call(ctx, m.Addr, methodState, params, &state); err != nil {
			return false
		}
		n.shares.Observe(m.ID, state.Share, begun)
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, state)
		return true
	})
	return answers
}

// allowRenewals permits the renewal of task leases without a valid ownership
// lease for the hold time.
func (n *Node) allowRenewals(view *control.View, answers []memberState, begun time.Time) {
	for _, id := range renewable(n.cells.Epochs(), answers, len(view.Members)) {
		n.epochs.allowOutage(id, begun.Add(holdTime))
	}
}

// renewable lists the owned cells whose task leases may be renewed: a majority of
// the members, this node included, has no confirmed view, and nobody who answered
// knows a newer owner. Then the store is down for all, and no successor can exist.
func renewable(owned map[model.CellID]model.Epoch, answers []memberState, members int) []model.CellID {
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

// handleLearn takes over who owns a cell.
func (n *Node) handleLearn(_ context.Context, p learnParams) (any, error) {
	if !n.epochs.learn(p.Cell, p.Epoch) {
		return nil, model.Errorf(model.KindFenced, "ask the cell's current owner", "a newer owner of cell %s is known", p.Cell)
	}
	n.owners.Learn(p.Cell, ownership.OwnerInfo{Node: p.Node, Addr: p.Addr, Epoch: p.Epoch})
	return struct{}{}, nil
}

// handleState answers whether this node's view is confirmed.
func (n *Node) handleState(_ context.Context, p stateParams) (any, error) {
	return memberState{Confirmed: n.control.Fresh(time.Now()), Newer: n.epochs.newer(p.Epochs), Share: n.shares.Digest()}, nil
}
