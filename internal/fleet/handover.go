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
	Term     uint64       `json:"term"`
	Node     model.NodeID `json:"node"`
	MilliCPU int64        `json:"milli_cpu"`
}

// larger reports whether a host with one processor share should lead in place of
// one with another. Hosts of unknown size are left alone.
func larger(candidate, leader int64) bool {
	return leader > 0 && float64(candidate) >= largerHost*float64(leader)
}

// askForLead asks a leader on a clearly smaller host to hand the lead over. It is
// called with each renewal; a leader that does not answer is asked again.
func (n *Node) askForLead(r leaderRecord) {
	if r.Released || r.Node == n.cfg.Node || n.draining.Load() || !larger(n.cfg.Limits.MilliCPU, r.MilliCPU) {
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
		heard := n.ask(ctx, methodLead, leadParams{r.Term, n.cfg.Node, n.cfg.Limits.MilliCPU}, nil)
		n.log.WithFields(logrus.Fields{"decision": "ask-lead", "term": r.Term, "leader": r.Node, "leader_milli_cpu": r.MilliCPU,
			"milli_cpu": n.cfg.Limits.MilliCPU, "heard": heard}).Info("larger host asks for the lead")
	})
}

// handleLead answers a larger host that asks for the lead.
func (n *Node) handleLead(_ context.Context, p leadParams) (any, error) {
	t := n.term.Load()
	if t == nil || t.ctx.Err() != nil || t.number != p.Term || !larger(p.MilliCPU, n.cfg.Limits.MilliCPU) {
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
