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
)

// leadershipRequest asks the leader of a term to hand over leadership of a cell.
type leadershipRequest struct {
	Cell int          `json:"cell"`
	Term uint64       `json:"term"`
	Node model.NodeID `json:"node"`
	// MilliCPU is the processor share that the requesting host has for the cell.
	MilliCPU int64 `json:"milli_cpu"`
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
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		answered := n.callLeader(ctx, c, methodRequestLeadership, leadershipRequest{c.index, r.Term, n.cfg.Node, own}, nil)
		n.log.WithFields(logrus.Fields{"decision": "ask-lead", "cell": c.index, "term": r.Term, "leader": r.Node, "leader_milli_cpu": r.MilliCPU,
			"milli_cpu": own, "heard": answered}).Info("requested leadership from a smaller host")
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
	t.post(stepDown{p.Node, n.overloaded()}) // dropped when the term is over
	return nil, nil
}

// mayHandOver reports whether leadership can be handed over without a long pause. It cannot
// while the store is slow or fails, as the release and the reads of the next term would wait
// for it.
func (t *term) mayHandOver() bool {
	return !t.commitDelayed() && t.lastCommitTime < delayedCommitAge && t.now.Sub(t.lastRenewal) < 2*renewInterval
}
