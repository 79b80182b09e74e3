package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
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
// not acknowledged yet.
func (n *Node) announceEpochs(ctx context.Context) {
	view := n.control.View()
	for id, epoch := range n.cells.Epochs() {
		if n.epochs.isAcknowledged(id, epoch) {
			continue
		}
		n.epochs.learn(id, epoch)
		params := learnParams{Cell: id, Epoch: epoch, Node: n.id, Addr: n.settings.Advertise}
		call, cancel := context.WithTimeout(ctx, time.Second)
		acks := askAll(call, view.Members, n.id, func(ctx context.Context, m control.Member) bool {
			return n.peers.Call(ctx, m.Addr, methodLearn, params, nil) == nil
		})
		cancel()
		if acks+1 >= majority(len(view.Members)) {
			n.epochs.acknowledge(id, epoch)
		}
	}
}

// checkOutage asks the members, while this node's view is not confirmed, whether
// theirs is. A majority without a confirmed view and without knowledge of a
// newer owner means a store outage: the leases of running tasks are renewed for
// the hold time, counted from before the questions were sent.
func (n *Node) checkOutage(ctx context.Context) {
	begun := time.Now()
	if n.control.Fresh(begun) {
		return
	}
	epochs := n.cells.Epochs()
	if len(epochs) == 0 {
		return
	}
	view := n.control.View()
	newer := make(map[model.CellID]int)
	var mu sync.Mutex
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	unconfirmed := askAll(call, view.Members, n.id, func(ctx context.Context, m control.Member) bool {
		var state memberState
		if err := n.peers.Call(ctx, m.Addr, methodState, stateParams{epochs}, &state); err != nil {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		for _, id := range state.Newer {
			newer[id]++
		}
		return !state.Confirmed
	})
	if unconfirmed+1 < majority(len(view.Members)) {
		return
	}
	for id := range epochs {
		if newer[id] == 0 {
			n.epochs.allowOutage(id, begun.Add(holdTime))
		}
	}
}

// handleLearn takes over who owns a cell.
func (n *Node) handleLearn(_ context.Context, raw json.RawMessage) (any, error) {
	var p learnParams
	if err := decodeParams(raw, &p); err != nil {
		return nil, err
	}
	if !n.epochs.learn(p.Cell, p.Epoch) {
		return nil, model.Errorf(model.KindFenced, "ask the cell's current owner", "a newer owner of cell %s is known", p.Cell)
	}
	n.owners.Learn(p.Cell, ownership.OwnerInfo{Node: p.Node, Addr: p.Addr, Epoch: p.Epoch})
	return struct{}{}, nil
}

// handleState answers whether this node's view is confirmed.
func (n *Node) handleState(_ context.Context, raw json.RawMessage) (any, error) {
	var p stateParams
	if err := decodeParams(raw, &p); err != nil {
		return nil, err
	}
	return memberState{Confirmed: n.control.Fresh(time.Now()), Newer: n.epochs.newer(p.Epochs)}, nil
}

func decodeParams(raw json.RawMessage, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return model.Wrap(model.KindInvalid, err, "upgrade the older node", "parameters of a peer's call")
	}
	return nil
}
