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
	// addr is empty once the term of the process is known to have ended.
	addr string
	// renewedBy is formerLeaderRenewedBy for this leader, and othersRenewedBy for other leaders before the
	// term that are not in earlier.
	renewedBy, othersRenewedBy time.Time
	// witnessed is nil if the leader has no witnesses, or once they have answered.
	witnessed *witnessed
	// earlier are leaders before this one whose witnesses have not answered.
	earlier []*witnessed
}

// silentLeaderRecord is the stored form of a silentLeader.
type silentLeaderRecord struct {
	_       struct{} `cbor:",toarray"`
	Node    model.NodeID
	Process uint64
	Addr    string
	// OthersRenewalMS is how long before the renewal othersRenewedBy and the renewals of earlier leaders
	// were at least.
	OthersRenewalMS int64
}

// earlierLeadersRecord tells of the leaders before a silent one, some of them with witnesses.
type earlierLeadersRecord struct {
	Witnesses []witnessRecord `cbor:"1,keyasint"`
	// OthersRenewalMS is how long before the renewal othersRenewedBy was at least.
	OthersRenewalMS int64 `cbor:"2,keyasint"`
}

// maxEarlierLeaders bounds the leaders before a silent one whose witnesses are asked.
const maxEarlierLeaders = 3

// silentLeader returns the leader that may give orders beside a term that begins now; nil if none is
// known.
func (f *leaderWatch) silentLeader(now time.Time) *silentLeader {
	r := f.record
	switch {
	case !f.known:
		return nil
	case !r.Released:
		s := &silentLeader{node: r.Node, process: r.Process, addr: r.Addr, renewedBy: f.formerLeaderRenewedBy(now), witnessed: r.Witnesses.witnessedBy(f.sentBy)}
		if !r.RunsKnown {
			s.othersRenewedBy, s.earlier = r.leadersBefore(f.sentBy)
		}
		return s
	case r.Silent == nil:
		return nil
	}
	s := &silentLeader{node: r.Silent.Node, process: r.Silent.Process, addr: r.Silent.Addr, renewedBy: f.sentBy.Add(-r.formerRenewalAge()),
		witnessed: r.SilentWitnesses.witnessedBy(f.sentBy)}
	s.othersRenewedBy, s.earlier = r.leadersBeforeSilent(f.sentBy)
	s.othersRenewedBy = latest(s.othersRenewedBy, endedRenewal(f.sentBy))
	return s
}

// leadersBefore returns what a row that was sent by a moment tells of all leaders before its term: those
// whose witnesses have not answered, and by when the others renewed.
func (r leaderRecord) leadersBefore(sentBy time.Time) (othersRenewedBy time.Time, earlier []*witnessed) {
	all := sentBy.Add(-r.formerRenewalAge())
	silent := r.SilentWitnesses.witnessedBy(sentBy)
	if r.Silent == nil || silent == nil {
		return all, nil
	}
	othersRenewedBy, earlier = r.leadersBeforeSilent(sentBy)
	earlier = append([]*witnessed{silent}, earlier...)
	if len(earlier) > maxEarlierLeaders {
		for _, w := range earlier[maxEarlierLeaders:] {
			othersRenewedBy = latest(othersRenewedBy, w.renewedBy)
		}
		earlier = earlier[:maxEarlierLeaders]
	}
	return earliest(othersRenewedBy, all), earlier
}

// leadersBeforeSilent is the same for the leaders before the silent one that the row names.
func (r leaderRecord) leadersBeforeSilent(sentBy time.Time) (othersRenewedBy time.Time, earlier []*witnessed) {
	if r.Earlier == nil {
		return sentBy.Add(-time.Duration(r.Silent.OthersRenewalMS) * time.Millisecond), nil
	}
	for i := range r.Earlier.Witnesses {
		if w := r.Earlier.Witnesses[i].witnessedBy(sentBy); w != nil {
			earlier = append(earlier, w)
		}
	}
	return sentBy.Add(-time.Duration(r.Earlier.OthersRenewalMS) * time.Millisecond), earlier
}

// record returns what a renewal at now tells the next leader.
func (s *silentLeader) record(now time.Time) *silentLeaderRecord {
	return &silentLeaderRecord{Node: s.node, Process: s.process, Addr: s.addr, OthersRenewalMS: leastAgeMS(now, s.beforeRenewedBy())}
}

// earlierRecord returns what a renewal at now tells the next leader of the leaders before s; nil if none of
// them has witnesses.
func (s *silentLeader) earlierRecord(now time.Time) *earlierLeadersRecord {
	if len(s.earlier) == 0 {
		return nil
	}
	r := &earlierLeadersRecord{OthersRenewalMS: leastAgeMS(now, s.othersRenewedBy)}
	for _, w := range s.earlier {
		r.Witnesses = append(r.Witnesses, *w.record(now))
	}
	return r
}

// beforeRenewedBy returns formerLeaderRenewedBy for the leaders before s.
func (s *silentLeader) beforeRenewedBy() time.Time {
	renewedBy := s.othersRenewedBy
	for _, w := range s.earlier {
		renewedBy = latest(renewedBy, w.renewedBy)
	}
	return renewedBy
}

// allRenewedBy returns formerLeaderRenewedBy for s and the leaders before it.
func (s *silentLeader) allRenewedBy() time.Time { return latest(s.renewedBy, s.beforeRenewedBy()) }

// end notes that the process of s gave no more orders since a moment. Its witnesses may still bound its
// leases earlier.
func (s *silentLeader) end(since time.Time) {
	s.renewedBy, s.addr = earliest(s.renewedBy, endedRenewal(since)), ""
}

// settled reports whether nobody is left whose answer could bound the leases of s or of a leader before it.
func (s *silentLeader) settled() bool { return s.addr == "" && len(s.unanswered()) == 0 }

// passedOn reports whether a term tells the next one of s. Where the term knows that s has ended, its own
// leases end later.
func (s *silentLeader) passedOn() bool { return s.addr != "" || len(s.earlier) > 0 }

// witnessesRecord returns what a renewal at now tells the next leader of the witnesses of s.
func (s *silentLeader) witnessesRecord(now time.Time) *witnessRecord {
	if s.addr == "" {
		return nil
	}
	return s.witnessed.record(now)
}

// formerLeaders returns formerLeaderRenewedBy and the silent leader for a term of a cell that begins now. A
// former process of this node has ended.
func (n *Node) formerLeaders(f *leaderWatch, now time.Time) (renewedBy time.Time, silent *silentLeader) {
	renewedBy, silent = f.formerLeaderRenewedBy(now), f.silentLeader(now)
	if silent != nil && silent.node == n.cfg.Node && silent.addr == n.cfg.PeerAddr && silent.process != n.cfg.Process {
		silent.end(n.startedAt)
		renewedBy = earliest(renewedBy, silent.allRenewedBy())
		if silent.settled() {
			return renewedBy, nil
		}
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
	s := t.silent
	if s == nil {
		return
	}
	s.end(e.by)
	t.boundFormerLeases("the former leader has ended")
}

// boundFormerLeases sets formerLeaderRenewedBy by what is known of the leaders before the term, and the
// assumed end of leases of workers that have not answered. Both may only become earlier.
func (t *term) boundFormerLeases(msg string) {
	before := t.formerLeasesEnd()
	t.formerLeaderRenewedBy = earliest(t.formerLeaderRenewedBy, t.silent.allRenewedBy())
	end, shortened := t.formerLeasesEnd(), 0
	for _, w := range t.workers {
		if w.leaseEndAssumed && !w.answered && w.inheritedLeaseEnd.After(end) {
			w.inheritedLeaseEnd = end
			shortened++
		}
	}
	t.log.WithFields(logrus.Fields{"leader": t.silent.node, "workers": shortened, "earlier_ms": before.Sub(end).Milliseconds(),
		"former_leases_ms": end.Sub(t.now).Milliseconds()}).Info(msg)
	if t.silent.settled() {
		t.silent = nil
	}
}
