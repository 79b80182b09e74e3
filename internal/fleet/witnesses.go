package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A leader that falls silent may be gone, or cut off from the store while it goes on extending leases.
// A later leader cannot tell these apart, so it waits for the leases that the former one may have
// granted. They must outlast an outage of the store, which nobody can use to take over, and should be
// short otherwise. Some other processes, the witnesses of a term, tell the two cases apart: without the
// confirmation of a majority of them no lease of the term lasts longer than witnessedReach after its
// last renewal; with it, the request for the confirmation counts like a renewal, up to maxLeaseReach.
// A witness confirms while the store does not answer it either and it knows of no later term. The next
// leader asks the witnesses for their last confirmation. Once so many have answered that the others are
// no majority, it knows how long the leases of the former leader last at most.
//
// Witnesses keep nothing on disk. A process that has started since is no witness: without enough answers
// the next leader waits for maxLeaseReach.

const (
	// witnessedReach is the longest time from a renewal, or from the request of a confirmation, to the
	// end of a lease of a term that has witnesses. It exceeds maxLease by what a renewal usually takes.
	witnessedReach = maxLease + 500*time.Millisecond
	// maxWitnesses bounds the witnesses of a term.
	maxWitnesses = 5
	// confirmationAge is the age of the last renewal at which a leader asks its witnesses, and
	// confirmationInterval the interval of such requests.
	confirmationAge      = time.Second
	confirmationInterval = 500 * time.Millisecond
	// storeSilence is how long the store must not have answered a witness before it confirms. A node
	// has an answer with each renewal of its leader.
	storeSilence = 700 * time.Millisecond
	// partProbeTimeout bounds the read by which a witness finds out whether the store answers for a cell's
	// part. It leaves time for the answer to the leader within notifyTimeout.
	partProbeTimeout = 200 * time.Millisecond
	// campaignFailureAge is how long after a refused campaign a witness confirms: until its next one.
	campaignFailureAge = leaderTimeout + campaignTimeout
	// witnessCheckInterval is the interval at which a leader checks that its witnesses answer.
	witnessCheckInterval = 5 * time.Second
	// witnessOfferJitter bounds the delay that spreads the offers of the nodes, and witnessOfferTries
	// the tries of a node whose offer gets no answer.
	witnessOfferJitter = time.Second
	witnessOfferTries  = 3
	// maxWitnessCandidates bounds the offers that a leader remembers.
	maxWitnessCandidates = 64
)

// witness is a process that may confirm to a leader that the store does not answer.
type witness struct {
	_       struct{} `cbor:",toarray"`
	Node    model.NodeID
	Process uint64
	Addr    string
}

// witnessRecord tells in a leader's row which witnesses a term has.
type witnessRecord struct {
	Members []witness `cbor:"1,keyasint"`
	// ReachMS is the longest time from a renewal or a confirmation to the end of a lease.
	ReachMS int64 `cbor:"2,keyasint"`
	// RenewalMS is how long before the row the last renewal of the term was sent at least; 0 for the
	// term that wrote the row.
	RenewalMS int64 `cbor:"3,keyasint,omitempty"`
}

// recordOf tells of the witnesses of the term that writes a row; nil if it has none.
func recordOf(members []witness) *witnessRecord {
	if len(members) == 0 {
		return nil
	}
	return &witnessRecord{Members: members, ReachMS: witnessedReach.Milliseconds()}
}

// majority returns how many of n witnesses must confirm.
func majority(n int) int { return n/2 + 1 }

// noMajorityWithout returns how many of n witnesses must have answered a later leader so that the
// others are no majority.
func noMajorityWithout(n int) int { return n - majority(n) + 1 }

// confirmations is what a process remembers as a witness of a cell.
type confirmations struct {
	mu sync.Mutex
	// begun is the latest term of which the node that leads it has told.
	begun uint64
	// confirmedAt is when this process confirmed last; zero for never.
	confirmedAt time.Time
}

// latestTerm returns the latest term of which the node that leads it has told.
func (c *confirmations) latestTerm() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// learnTerm notes that a term of another node has begun and returns the last confirmation. Earlier terms
// get none from then on.
func (c *confirmations) learnTerm(number uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = max(c.begun, number)
	return c.confirmedAt
}

// confirm records a confirmation for a term at now. It reports false if a later term is known.
func (c *confirmations) confirm(number uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if number < c.begun {
		return false
	}
	c.confirmedAt = latest(c.confirmedAt, now)
	return true
}

// witnessParams ask a witness of a term.
type witnessParams struct {
	termParams
	// Confirm asks for a confirmation, else only whether the process answers.
	Confirm bool `json:"confirm"`
}

// witnessReply is the answer of a witness.
type witnessReply struct {
	Process   uint64 `json:"process"`
	Confirmed bool   `json:"confirmed"`
	// LaterTerm means that the process knows of a later term.
	LaterTerm bool `json:"later_term"`
}

// witnessOffer offers a process as a witness to the leader of a term.
type witnessOffer struct {
	termParams
	Node       model.NodeID     `json:"node"`
	Process    uint64           `json:"process"`
	Addr       string           `json:"addr"`
	DataCentre model.DataCentre `json:"dc"`
}

// handleWitness answers the leader of a term as its witness.
func (n *Node) handleWitness(ctx context.Context, p witnessParams) (any, error) {
	c := n.cell(p.Cell)
	if c == nil {
		return nil, model.Errorf(model.KindUnavailable, "retry later", "no cell %d is known here", p.Cell)
	}
	r := witnessReply{Process: n.cfg.Process, LaterTerm: c.confirmations.latestTerm() > p.Term}
	if p.Confirm && !r.LaterTerm && n.storeFails(ctx, c) {
		r.Confirmed = c.confirmations.confirm(p.Term, time.Now())
		r.LaterTerm = !r.Confirmed
	}
	return r, nil
}

// storeFails reports whether the store lets this node take no lead of a cell: it does not answer, at least
// not for the part of the cell, or has refused a campaign.
func (n *Node) storeFails(ctx context.Context, c *cell) bool {
	failedAt := c.campaignFailedAt.Load()
	if !n.store.answeredWithin(storeSilence) || (failedAt != nil && time.Since(*failedAt) < campaignFailureAge) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, partProbeTimeout)
	defer cancel()
	_, _, err := n.readFence(ctx, c)
	return err != nil
}

// handleWitnessOffer passes an offer to the term that it is for.
func (n *Node) handleWitnessOffer(_ context.Context, p witnessOffer) (any, error) {
	if c := n.cell(p.Cell); c != nil && c.leading() {
		if t := c.term.Load(); t.number == p.Term {
			return t.post(p), nil
		}
	}
	return false, nil
}

// offerWitness offers this process as a witness to the leader of a term.
func (n *Node) offerWitness(ctx context.Context, c *cell, r leaderRecord) {
	if r.Node == n.cfg.Node || r.Released || n.draining.Load() {
		return
	}
	o := witnessOffer{termParams{c.index, r.Term}, n.cfg.Node, n.cfg.Process, n.cfg.PeerAddr, n.cfg.DataCentre}
	n.wg.Go(func() {
		for range witnessOfferTries {
			if sleep(ctx, time.Duration(rand.Int64N(int64(witnessOfferJitter)))); ctx.Err() != nil {
				return
			}
			if l := c.leader.Load(); l == nil || l.Term != r.Term {
				return
			}
			call, cancel := context.WithTimeout(ctx, notifyTimeout)
			err := n.cfg.Peers.Call(call, r.Addr, methodOfferWitness, o, nil)
			cancel()
			if err == nil {
				return
			}
		}
	})
}
