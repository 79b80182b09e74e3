package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Hosts may differ in size, and the leader's work grows with the fleet. Small hosts campaign a
// little later than large ones; see campaignExtraDelay. One that takes leadership all the same
// hands it over to a clearly larger host that asks for it.

const (
	// largerHostRatio is the minimum ratio of processor shares at which leadership is handed
	// over. It avoids frequent changes of leader, each of which delays starts by some tenths
	// of a second.
	largerHostRatio = 1.5
	// successorWait is how long the other nodes wait after a hand-over before they campaign;
	// the successor campaigns within one read of the store.
	successorWait = 400 * time.Millisecond
	// leadershipRequestInterval is the minimum interval between two requests of a node for
	// leadership.
	leadershipRequestInterval = time.Second
	// leadershipRequestJitter bounds the random delay that spreads the requests of several large
	// hosts.
	leadershipRequestJitter = 100 * time.Millisecond
	// leadershipRequestTimeout bounds a request. A leader that is behind takes long to answer, and has the most
	// to gain.
	leadershipRequestTimeout = 800 * time.Millisecond
)

// leadershipRequest asks the leader of a term to hand over leadership of a cell.
type leadershipRequest struct {
	Cell int          `json:"cell"`
	Term uint64       `json:"term"`
	Node model.NodeID `json:"node"`
	// MilliCPU is the processor share that the requesting host has for the cell.
	MilliCPU int64 `json:"milli_cpu"`
	// StoreMS is how long the store took to answer the requesting host, in milliseconds; 0 if unknown.
	StoreMS int64 `json:"store_ms,omitempty"`
}

// muchLarger reports whether a host with processor share candidate should lead in place of one
// with processor share leader. It is false for a leader of unknown size.
func muchLarger(candidate, leader int64) bool {
	return leader > 0 && float64(candidate) >= largerHostRatio*float64(leader)
}

// milliCPUPerCell returns the processor share that a host has for each of the cells it leads.
func milliCPUPerCell(milliCPU int64, cells int) int64 { return milliCPU / int64(max(cells, 1)) }

// requestLeadership asks a leader that has a clearly smaller processor share for the cell to
// hand over leadership. It is called for each renewal, so a leader that does not answer is
// asked again.
func (n *Node) requestLeadership(c *cell, r leaderRecord) {
	d := n.cellTable.Load()
	own := milliCPUPerCell(n.cfg.Limits.MilliCPU, n.ledCells()+1)
	if r.Released || r.Node == n.cfg.Node || n.draining.Load() || !muchLarger(own, milliCPUPerCell(r.MilliCPU, d.cellsLedBy(r.Node))) {
		return
	}
	now := time.Now()
	if now.Sub(n.leadershipRequestedAt) < leadershipRequestInterval {
		return
	}
	n.leadershipRequestedAt = now
	n.wg.Go(func() {
		time.Sleep(time.Duration(rand.Int64N(int64(leadershipRequestJitter))))
		asked := time.Now()
		if _, _, err := n.readFence(context.Background(), c); err != nil {
			return // this host could not take the lead now
		}
		store := time.Since(asked)
		ctx, cancel := context.WithTimeout(context.Background(), leadershipRequestTimeout)
		defer cancel()
		answered := n.callLeader(ctx, c, methodRequestLeadership, leadershipRequest{c.index, r.Term, n.cfg.Node, own, max(store.Milliseconds(), 1)}, nil)
		n.log.WithFields(logrus.Fields{"decision": "ask-lead", "cell": c.index, "term": r.Term, "leader": r.Node, "leader_milli_cpu": r.MilliCPU,
			"milli_cpu": own, "store_ms": store.Milliseconds(), "heard": answered}).Info("requested leadership from a smaller host")
	})
}

// handleLeadershipRequest hands leadership of a cell over to a larger host that requests it.
func (n *Node) handleLeadershipRequest(_ context.Context, p leadershipRequest) (any, error) {
	c := n.cell(p.Cell)
	if c == nil || !c.leading() || !muchLarger(p.MilliCPU, milliCPUPerCell(n.cfg.Limits.MilliCPU, n.ledCells())) {
		return nil, nil
	}
	t := c.term.Load()
	if t.number != p.Term {
		return nil, nil
	}
	t.post(stepDown{p.Node, n.overloaded(), time.Duration(p.StoreMS) * time.Millisecond}) // dropped when the term is over
	return nil, nil
}

// mayHandOver reports whether leadership can be handed over without a long pause. It cannot
// while the store is slow or fails, as the release and the reads of the next term would wait
// for it. Slow transactions here, while the store answers the successor at once, are due to this host.
func (t *term) mayHandOver(e stepDown) bool {
	switch {
	case e.overloaded:
		return true
	case e.successorStore > 0 && e.successorStore < delayedCommitAge:
		// Else the release may come too late.
		return t.provenLeader() && (t.pendingCommit == nil || t.now.Sub(t.pendingCommit.startedAt) < commitTimeouts[0])
	}
	return !t.commitDelayed() && t.lastCommitTime < delayedCommitAge && t.now.Sub(t.lastRenewal) < 2*renewInterval
}
