package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Hosts may differ in size, and the leader's work grows with the fleet. Whoever
// notices a silent leader first takes over, whatever its size, so that nothing
// waits; it then hands the lead to a host that is clearly larger.

const (
	// largerHostRatio is the least ratio of processor shares at which the lead is handed
	// over. A change of leader stops starts for some tenths of a second.
	largerHostRatio = 1.5
	// successorWait is how long the other nodes leave a handed-over lead to its
	// successor, which campaigns within one read of the store.
	successorWait = 400 * time.Millisecond
	// leadRequestInterval spaces the requests of one node for the lead.
	leadRequestInterval = time.Second
	// leadRequestJitter spreads the first requests of several large hosts.
	leadRequestJitter = 100 * time.Millisecond
)

// leadRequest asks the leader of a term to hand the lead over.
type leadRequest struct {
	Cell int          `json:"cell"`
	Term uint64       `json:"term"`
	Node model.NodeID `json:"node"`
	// MilliCPU is the processor share that the asking host has for the cell.
	MilliCPU int64 `json:"milli_cpu"`
}

// muchLarger reports whether a host with one processor share should lead in place of
// one with another. Hosts of unknown size are left alone.
func muchLarger(candidate, leader int64) bool {
	return leader > 0 && float64(candidate) >= largerHostRatio*float64(leader)
}

// milliCPUPerCell is the processor share that a host has for each of its cells.
func milliCPUPerCell(milliCPU int64, cells int) int64 { return milliCPU / int64(max(cells, 1)) }

// requestLead asks a leader with clearly less processor time for the cell to hand the
// lead over. It is called with each renewal; a leader that does not answer is asked
// again.
func (n *Node) requestLead(c *cell, r leaderRecord) {
	d := n.cellTable.Load()
	own := milliCPUPerCell(n.cfg.Limits.MilliCPU, n.ledCells()+1)
	if r.Released || r.Node == n.cfg.Node || n.draining.Load() || !muchLarger(own, milliCPUPerCell(r.MilliCPU, d.cellsLedBy(r.Node))) {
		return
	}
	now := time.Now()
	if now.Sub(n.leadRequestedAt) < leadRequestInterval {
		return
	}
	n.leadRequestedAt = now
	n.wg.Go(func() {
		time.Sleep(time.Duration(rand.Int64N(int64(leadRequestJitter))))
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		answered := n.callLeader(ctx, c, methodLead, leadRequest{c.index, r.Term, n.cfg.Node, own}, nil)
		n.log.WithFields(logrus.Fields{"decision": "ask-lead", "cell": c.index, "term": r.Term, "leader": r.Node, "leader_milli_cpu": r.MilliCPU,
			"milli_cpu": own, "heard": answered}).Info("larger host asks for the lead")
	})
}

// handleLeadRequest answers a larger host that asks for the lead.
func (n *Node) handleLeadRequest(_ context.Context, p leadRequest) (any, error) {
	c := n.cell(p.Cell)
	if c == nil || !c.leading() || !muchLarger(p.MilliCPU, milliCPUPerCell(n.cfg.Limits.MilliCPU, n.ledCells())) {
		return nil, nil
	}
	t := c.term.Load()
	if t.number != p.Term {
		return nil, nil
	}
	t.post(stepDown{successor: p.Node}) // dropped when the term is over
	return nil, nil
}

// mayHandOver reports whether the lead can be handed over without a long pause:
// the release and the next term's reads must not wait for a troubled store.
func (t *term) mayHandOver() bool {
	return !t.commitDelayed() && t.lastCommitTime < delayedCommitAge && t.now.Sub(t.lastRenewal) < 2*renewInterval
}
