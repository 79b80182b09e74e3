package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A leader that falls silent may only be cut off from the store. It gives orders for maxOrderAge after
// its last renewal, so a later one waits for maxLeaseReach before the tasks of workers that it does not
// reach start elsewhere. The leases of a process that has ended last no longer than maxLease from then
// on. A later process of the same node proves that end: a node's next process starts once the former one
// has exited. A refused connection proves nothing here, as it may come from a link that fails.

// formerLeaderCallPause is the pause between calls to a former leader that does not answer.
const formerLeaderCallPause = 300 * time.Millisecond

// termParams name a term of a cell.
type termParams struct {
	Cell int    `json:"cell"`
	Term uint64 `json:"term"`
}

// termBegunReply tells which process of a node has answered a call; it is empty from older versions.
type termBegunReply struct {
	Node    model.NodeID `json:"node"`
	Process uint64       `json:"process"`
	// UpMS is how long the process has been running at least.
	UpMS int64 `json:"up_ms"`
}

// stopFormerLeaders tells the leader of the term before t that a new one has begun, and the last one
// before it that had not released leadership: its successor may not have reached it. A leader that the
// store does not answer would give orders for some seconds more. Workers that have seen the fence of
// the new term refuse them, but one that starts again has seen none. If a later process of the former
// leader's node answers, the former leader has ended.
func (n *Node) stopFormerLeaders(t *term, f leaderWatch) {
	n.stopLeader(t, f.unreleased, func(termBegunReply) {})
	former := f.record
	if former.Released {
		return
	}
	if former.Node == n.cfg.Node && former.Process != n.cfg.Process {
		t.boundFormerRenewal(f.renewedByOfEnded(n.startedAt))
	}
	n.stopLeader(t, former, func(reply termBegunReply) {
		if reply.Node == former.Node && reply.Process != 0 && reply.Process != former.Process {
			t.post(formerLeaderEnded{f.renewedByOfEnded(time.Now().Add(-time.Duration(reply.UpMS) * time.Millisecond))})
		}
	})
}

// stopLeader tells a leader of an earlier term, on another node, that t has begun. It repeats the call
// until there is an answer, which it passes to answered, or former leases have ended.
func (n *Node) stopLeader(t *term, former leaderRecord, answered func(termBegunReply)) {
	if former.Addr == "" || former.Node == n.cfg.Node {
		return
	}
	until := t.formerLeasesEnd()
	n.wg.Go(func() {
		for {
			reply, err := n.callFormerLeader(former, termParams{t.cell, t.number})
			if err == nil {
				answered(reply)
				return
			}
			n.log.WithError(err).WithField("leader", former.Node).Debug("the former leader does not answer")
			if sleep(t.ctx, formerLeaderCallPause); t.ctx.Err() != nil || time.Now().After(until) {
				return
			}
		}
	})
}

func (n *Node) callFormerLeader(former leaderRecord, p termParams) (reply termBegunReply, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	err = n.cfg.Peers.Call(ctx, former.Addr, methodTermBegun, p, &reply)
	return reply, err
}

// handleTermBegun ends this node's term of a cell when a later one has begun.
func (n *Node) handleTermBegun(_ context.Context, p termParams) (any, error) {
	if c := n.cell(p.Cell); c != nil {
		if t := c.term.Load(); t != nil && t.number < p.Term {
			t.end("another node has taken the lead")
		}
	}
	return termBegunReply{n.cfg.Node, n.cfg.Process, time.Since(n.startedAt).Milliseconds()}, nil
}

// formerLeaderEnded tells that the process of the former leader has ended, so that leases of earlier
// terms last no longer than if it had renewed last at renewedBy.
type formerLeaderEnded struct{ renewedBy time.Time }

func (e formerLeaderEnded) handle(t *term) { t.boundFormerRenewal(e.renewedBy) }

// boundFormerRenewal lowers formerLeaderRenewedBy to a moment that is proven, and with it the end of
// leases of workers that have neither answered nor a record of their own.
func (t *term) boundFormerRenewal(renewedBy time.Time) {
	if !renewedBy.Before(t.formerLeaderRenewedBy) {
		return
	}
	before := t.formerLeasesEnd()
	t.formerLeaderRenewedBy = renewedBy
	end, shortened := t.formerLeasesEnd(), 0
	for _, w := range t.workers {
		if w.inherited && !w.answered && w.longestLease == maxLease && w.inheritedLeaseEnd.Equal(before) {
			w.inheritedLeaseEnd = end
			shortened++
		}
	}
	t.log.WithFields(logrus.Fields{"former_leader": t.former.Node, "workers": shortened, "earlier_ms": before.Sub(end).Milliseconds(),
		"former_leases_ms": end.Sub(t.now).Milliseconds()}).Info("the process of the former leader has ended")
}
