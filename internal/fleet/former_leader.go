package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A leader that falls silent may only be cut off from the store. It gives orders for maxOrderAge after
// its last renewal, so a later one waits for maxLeaseReach before the tasks of workers that it does not
// reach start elsewhere. Once its term has ended, its leases last no longer than maxLease. Its process
// tells that itself when it is told of a later term. A later process of the same node proves it too: a
// node's next process starts once the former one has exited. A refused connection proves nothing here,
// as it may come from a link that fails.

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
	// Ended means that this process gives no more orders of earlier terms of the cell.
	Ended bool `json:"ended"`
	// ConfirmedMS is how long ago this process confirmed to a leader of the cell that the store does not
	// answer, -1 for never; nil from versions without witnesses.
	ConfirmedMS *int64 `json:"confirmed_ms,omitempty"`
}

// endedBy returns when the process of s had certainly stopped giving orders, by an answer that was
// received at now; ok is false if it may still give some.
func (s *silentLeader) endedBy(r termBegunReply, now time.Time) (by time.Time, ok bool) {
	switch {
	case r.Node != s.node || r.Process == 0:
		return time.Time{}, false
	case r.Process != s.process:
		return now.Add(-time.Duration(r.UpMS) * time.Millisecond), true
	}
	return now, r.Ended
}

// silentLeader is the last leader before a term that has not released leadership. It may still give
// orders, unless its process has ended.
type silentLeader struct {
	node    model.NodeID
	process uint64
	addr    string
	// othersRenewedBy is formerLeaderRenewedBy for the other leaders before the term.
	othersRenewedBy time.Time
	// witnessed is nil if the leader has no witnesses.
	witnessed *witnessed
}

// silentLeaderRecord is the stored form of a silentLeader.
type silentLeaderRecord struct {
	_       struct{} `cbor:",toarray"`
	Node    model.NodeID
	Process uint64
	Addr    string
	// OthersRenewalMS is how long before the renewal othersRenewedBy was at least.
	OthersRenewalMS int64
}

// silentLeader returns the leader that may give orders beside a term that begins now; nil if none is
// known.
func (f *leaderWatch) silentLeader(now time.Time) *silentLeader {
	r := f.record
	switch {
	case !f.known:
		return nil
	case !r.Released:
		s := &silentLeader{node: r.Node, process: r.Process, addr: r.Addr, witnessed: r.Witnesses.witnessedBy(f.seenAt)}
		if !r.RunsKnown {
			s.othersRenewedBy = f.seenAt.Add(-r.formerRenewalAge())
		}
		return s
	case r.Silent == nil:
		return nil
	}
	s := &silentLeader{node: r.Silent.Node, process: r.Silent.Process, addr: r.Silent.Addr,
		othersRenewedBy: f.seenAt.Add(-time.Duration(r.Silent.OthersRenewalMS) * time.Millisecond),
		witnessed:       r.SilentWitnesses.witnessedBy(f.seenAt)}
	if released := endedRenewal(now); released.After(s.othersRenewedBy) {
		s.othersRenewedBy = released
	}
	return s
}

// record returns what a renewal at now tells the next leader.
func (s *silentLeader) record(now time.Time) *silentLeaderRecord {
	return &silentLeaderRecord{Node: s.node, Process: s.process, Addr: s.addr, OthersRenewalMS: leastAgeMS(now, s.othersRenewedBy)}
}

// renewedBy returns formerLeaderRenewedBy, which was before, once the term of s had ended by a moment.
func (s *silentLeader) renewedBy(before, ended time.Time) time.Time {
	return s.boundedBy(before, endedRenewal(ended))
}

// boundedBy returns formerLeaderRenewedBy, which was before, once renewedBy holds for s.
func (s *silentLeader) boundedBy(before, renewedBy time.Time) time.Time {
	if s.othersRenewedBy.After(renewedBy) {
		renewedBy = s.othersRenewedBy
	}
	if before.Before(renewedBy) {
		return before
	}
	return renewedBy
}

// formerLeaders returns formerLeaderRenewedBy and the silent leader for a term of a cell that begins now. A
// former process of this node has ended.
func (n *Node) formerLeaders(f *leaderWatch, now time.Time) (renewedBy time.Time, silent *silentLeader) {
	renewedBy, silent = f.formerLeaderRenewedBy(now), f.silentLeader(now)
	if silent != nil && silent.node == n.cfg.Node && silent.addr == n.cfg.PeerAddr && silent.process != n.cfg.Process {
		return silent.renewedBy(renewedBy, n.startedAt), nil
	}
	return renewedBy, silent
}

// endedRenewal returns when a leader that gives no more orders since a moment would have renewed last if
// its leases lasted maxLeaseReach: they end within maxLease.
func endedRenewal(since time.Time) time.Time { return since.Add(maxLease - maxLeaseReach) }

// stopSilentLeader tells the leader that may give orders beside t that a new term has begun. A leader
// that the store does not answer would go on for some seconds more. Workers that have seen the fence of
// the new term refuse its orders, but one that starts again has seen none. Its answer, or that of a later
// process of its node, tells that it has ended.
func (n *Node) stopSilentLeader(t *term) {
	s := t.silent
	if s == nil || s.addr == "" || s.addr == n.cfg.PeerAddr {
		return
	}
	until := t.formerLeasesEnd()
	n.wg.Go(func() {
		for {
			reply, err := n.callFormerLeader(s.addr, termParams{t.cell, t.number})
			if err == nil {
				if by, ok := s.endedBy(reply, time.Now()); ok {
					t.post(formerLeaderEnded{by})
				}
				return
			}
			n.log.WithError(err).WithField("leader", s.node).Debug("the former leader does not answer")
			if sleep(t.ctx, formerLeaderCallPause); t.ctx.Err() != nil || time.Now().After(until) {
				return
			}
		}
	})
}

func (n *Node) callFormerLeader(addr string, p termParams) (reply termBegunReply, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	err = n.cfg.Peers.Call(ctx, addr, methodTermBegun, p, &reply)
	return reply, err
}

// handleTermBegun ends this node's term of a cell when a later one has begun. This process begins no
// earlier one after that, though it may learn only then that it has won it.
func (n *Node) handleTermBegun(_ context.Context, p termParams) (any, error) {
	c := n.cell(p.Cell)
	reply := termBegunReply{Node: n.cfg.Node, Process: n.cfg.Process, UpMS: time.Since(n.startedAt).Milliseconds(), Ended: c != nil}
	if c != nil {
		reply.ConfirmedMS = new(int64)
		*reply.ConfirmedMS = -1
		if at := c.confirmations.learnTerm(p.Term); !at.IsZero() {
			*reply.ConfirmedMS = time.Since(at).Milliseconds()
		}
		if t := c.term.Load(); t != nil && t.number < p.Term {
			t.end("another node has taken the lead")
		}
	}
	return reply, nil
}

// formerLeaderEnded tells that the term of the silent leader had ended by a moment. That bounds
// formerLeaderRenewedBy, and with it the assumed end of leases of workers that have not answered.
type formerLeaderEnded struct{ by time.Time }

func (e formerLeaderEnded) handle(t *term) {
	if t.silent == nil {
		return
	}
	t.boundFormerLeases(t.silent.renewedBy(t.formerLeaderRenewedBy, e.by), "the former leader has ended")
	t.silent = nil
}

// boundFormerLeases sets formerLeaderRenewedBy, which may only become earlier, and the assumed end of
// leases of workers that have not answered.
func (t *term) boundFormerLeases(renewedBy time.Time, msg string) {
	before := t.formerLeasesEnd()
	t.formerLeaderRenewedBy = renewedBy
	end, shortened := t.formerLeasesEnd(), 0
	for _, w := range t.workers {
		if w.leaseEndAssumed && !w.answered && w.inheritedLeaseEnd.After(end) {
			w.inheritedLeaseEnd = end
			shortened++
		}
	}
	t.log.WithFields(logrus.Fields{"leader": t.silent.node, "workers": shortened, "earlier_ms": before.Sub(end).Milliseconds(),
		"former_leases_ms": end.Sub(t.now).Milliseconds()}).Info(msg)
}
