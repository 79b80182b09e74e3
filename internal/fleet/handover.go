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
	// largerHost is the least ratio of processor shares at which the lead is handed
	// over. A change of leader stops starts for some tenths of a second.
	largerHost = 1.5
	// successorWait is how long the other nodes leave a handed-over lead to its
	// successor, which campaigns within one read of the store.
	successorWait = 400 * time.Millisecond
	// askLeadEvery spaces the requests of one node for the lead.
	askLeadEvery = time.Second
	// askLeadSpread spreads the first requests of several large hosts.
	askLeadSpread = 100 * time.Millisecond
)

// leadParams asks the leader of a term to hand the lead over.
type leadParams struct {
	Cell int          `json:"cell"`
	Term uint64       `json:"term"`
	Node model.NodeID `json:"node"`
	// MilliCPU is the processor share that the asking host has for the cell.
	MilliCPU int64 `json:"milli_cpu"`
}

// larger reports whether a host with one processor share should lead in place of
// one with another. Hosts of unknown size are left alone.
func larger(candidate, leader int64) bool {
	return leader > 0 && float64(candidate) >= largerHost*float64(leader)
}

// shareOfCell is the processor share that a host has for each of its cells.
func shareOfCell(milliCPU int64, cells int) int64 { return milliCPU / int64(max(cells, 1)) }

// askForLead asks a leader with clearly less processor time for the cell to hand the
// lead over. It is called with each renewal; a leader that does not answer is asked
// again.
func (n *Node) askForLead(c *cell, r leaderRecord) {
	d := n.division.Load()
	own := shareOfCell(n.cfg.Limits.MilliCPU, n.ledCells()+1)
	if r.Released || r.Node == n.cfg.Node || n.draining.Load() || !larger(own, shareOfCell(r.MilliCPU, d.led(r.Node))) {
		return
	}
	now := time.Now()
	if now.Sub(n.askedLead) < askLeadEvery {
		return
	}
	n.askedLead = now
	n.wait.Go(func() {
		time.Sleep(time.Duration(rand.Int64N(int64(askLeadSpread))))
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		defer cancel()
		heard := n.ask(ctx, c, methodLead, leadParams{c.index, r.Term, n.cfg.Node, own}, nil)
		n.log.WithFields(logrus.Fields{"decision": "ask-lead", "cell": c.index, "term": r.Term, "leader": r.Node, "leader_milli_cpu": r.MilliCPU,
			"milli_cpu": own, "heard": heard}).Info("larger host asks for the lead")
	})
}

// handleLead answers a larger host that asks for the lead.
func (n *Node) handleLead(_ context.Context, p leadParams) (any, error) {
	c := n.cell(p.Cell)
	if c == nil || !c.leading() || !larger(p.MilliCPU, shareOfCell(n.cfg.Limits.MilliCPU, n.ledCells())) {
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
	return !t.commitDelayed() && t.commitTook < delayedCommit && t.now.Sub(t.lastRenewal) < 2*renewInterval
}
