package fleet

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

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

// leaderWitnesses is what a term knows of its witnesses.
type leaderWitnesses struct {
	candidates []witnessOffer
	// members are the chosen witnesses. declared and stored are those of the last renewal that was sent
	// and of the last one that was answered.
	members, declared, stored []witness
	// confirmedAt is when the last request was sent that a majority of each set confirmed which the next
	// leader may read.
	confirmedAt time.Time
	asking      bool
	askedAt     time.Time
	// checkedAt is when the witnesses were last checked; unanswered counts the calls in a row that a
	// process left without an answer.
	checkedAt  time.Time
	unanswered map[uint64]int
}

// maxUnansweredChecks is how many calls in a row a witness may leave unanswered before another process
// takes its place.
const maxUnansweredChecks = 2

// sets returns the sets of witnesses that the next leader may read: those of the last renewal that was
// answered, and those of the last one that was sent.
func (s *leaderWitnesses) sets() [][]witness {
	var sets [][]witness
	for _, set := range [][]witness{s.stored, s.declared} {
		if len(set) > 0 {
			sets = append(sets, set)
		}
	}
	return sets
}

// confirmedByAll reports whether a majority of each set confirmed a request.
func (s *leaderWitnesses) confirmedByAll(confirmed map[witness]bool) bool {
	for _, set := range s.sets() {
		n := 0
		for _, m := range set {
			if confirmed[m] {
				n++
			}
		}
		if n < majority(len(set)) {
			return false
		}
	}
	return len(s.sets()) > 0
}

// declare notes the witnesses of a renewal that is about to be sent.
func (s *leaderWitnesses) declare() []witness {
	if !slices.Equal(s.declared, s.members) {
		s.confirmedAt = time.Time{}
	}
	s.declared = s.members
	return s.declared
}

// chooseWitnesses returns the witnesses of a leader: members that still answer stay, then come
// candidates of the data centres with the fewest witnesses, that of the leader last.
func chooseWitnesses(members []witness, candidates []witnessOffer, unanswered map[uint64]int, leaderDC model.DataCentre) []witness {
	lost := func(process uint64) bool { return unanswered[process] >= maxUnansweredChecks }
	inDC := map[model.DataCentre]int{leaderDC: 1}
	var chosen []witness
	waiting := slices.DeleteFunc(slices.Clone(candidates), func(o witnessOffer) bool { return lost(o.Process) })
	take := func(i int) {
		o := waiting[i]
		inDC[o.DataCentre]++
		chosen = append(chosen, witness{Node: o.Node, Process: o.Process, Addr: o.Addr})
		waiting = slices.Delete(waiting, i, i+1)
	}
	for _, m := range members {
		if i := slices.IndexFunc(waiting, func(o witnessOffer) bool { return o.Process == m.Process && o.Node == m.Node }); i >= 0 {
			take(i)
		}
	}
	for len(chosen) < maxWitnesses && len(waiting) > 0 {
		best := 0
		for i, o := range waiting {
			if inDC[o.DataCentre] < inDC[waiting[best].DataCentre] {
				best = i
			}
		}
		take(best)
	}
	slices.SortFunc(chosen, func(a, b witness) int { return cmp.Compare(a.Node, b.Node) })
	return chosen
}

// leaseReach returns when leases that are granted now end at the latest.
func (t *term) leaseReach() time.Time {
	longest := t.lastRenewal.Add(maxLeaseReach)
	s := &t.witnesses
	if len(s.declared) == 0 && len(s.stored) == 0 {
		return longest
	}
	if reach := latest(t.lastRenewal, s.confirmedAt).Add(witnessedReach); reach.Before(longest) {
		return reach
	}
	return longest
}

// handle implements event: the process becomes a candidate. Another process of its node has ended.
func (e witnessOffer) handle(t *term) {
	s := &t.witnesses
	s.candidates = slices.DeleteFunc(s.candidates, func(o witnessOffer) bool { return o.Node == e.Node })
	if len(s.candidates) >= maxWitnessCandidates || t.stopping {
		return
	}
	s.candidates = append(s.candidates, e)
	t.chooseWitnesses()
}

func (t *term) chooseWitnesses() {
	s := &t.witnesses
	members := chooseWitnesses(s.members, s.candidates, s.unanswered, t.cfg.DataCentre)
	if slices.Equal(members, s.members) {
		return
	}
	s.members = members
	t.log.WithFields(logrus.Fields{"decision": "witnesses", "nodes": nodesOf(members), "candidates": len(s.candidates)}).Info("witnesses chosen")
}

func nodesOf(members []witness) []model.NodeID {
	nodes := make([]model.NodeID, len(members))
	for i, m := range members {
		nodes[i] = m.Node
	}
	return nodes
}

// askWitnesses asks the sent and stored witnesses for a confirmation while renewals are missing, and otherwise now
// and then all, and those that were lost, whether they answer.
func (t *term) askWitnesses() {
	s := &t.witnesses
	if s.asking || t.stopping || len(s.candidates) == 0 {
		return
	}
	sets := s.sets()
	confirm := len(sets) > 0 && t.now.Sub(t.lastRenewal) >= confirmationAge && t.now.Sub(s.askedAt) >= confirmationInterval
	if check := t.now.Sub(s.checkedAt) >= witnessCheckInterval; !confirm && !check {
		return
	}
	s.asking, s.checkedAt = true, t.now
	if confirm {
		s.askedAt = t.now
	}
	if confirm {
		members := slices.Clone(sets[0])
		for _, m := range sets[len(sets)-1] {
			if !slices.Contains(members, m) {
				members = append(members, m)
			}
		}
		go t.callWitnesses(members, true)
		return
	}
	go t.callWitnesses(append(s.lostCandidates(), s.members...), false)
}

// lostCandidates returns candidates that left too many calls unanswered. They are witnesses again once
// they answer.
func (s *leaderWitnesses) lostCandidates() []witness {
	var lost []witness
	for _, o := range s.candidates {
		if s.unanswered[o.Process] >= maxUnansweredChecks {
			lost = append(lost, witness{Node: o.Node, Process: o.Process, Addr: o.Addr})
		}
	}
	return lost
}

// callWitnesses calls witnesses at once and posts their answers.
func (t *term) callWitnesses(members []witness, confirm bool) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(t.ctx, notifyTimeout)
	defer cancel()
	replies := make([]witnessReply, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			var r witnessReply
			p := witnessParams{termParams{t.cell, t.number}, confirm}
			if err := t.cfg.Peers.Call(ctx, m.Addr, methodWitness, p, &r); err == nil && r.Process == m.Process {
				replies[i] = r
			}
		})
	}
	wg.Wait()
	t.post(witnessAnswers{members, replies, sent, confirm})
}

// witnessAnswers are the answers of witnesses that were asked at sent; those of processes that did not
// answer are empty.
type witnessAnswers struct {
	members []witness
	replies []witnessReply
	sent    time.Time
	confirm bool
}

func (e witnessAnswers) handle(t *term) {
	s := &t.witnesses
	s.asking = false
	confirmed := map[witness]bool{}
	for i, r := range e.replies {
		switch {
		case r.LaterTerm:
			t.end("a witness knows of a later term")
			return
		case r.Process == 0:
			s.unanswered[e.members[i].Process]++
		default:
			delete(s.unanswered, r.Process)
		}
		if r.Confirmed {
			confirmed[e.members[i]] = true
		}
	}
	if !e.confirm {
		t.chooseWitnesses()
		return
	}
	held := s.confirmedByAll(confirmed)
	if held && t.sentSinceResume(e.sent) {
		s.confirmedAt = e.sent
	}
	t.metrics.confirmations.WithLabelValues(confirmationLabel(held)).Inc()
	t.log.WithFields(logrus.Fields{"decision": "witnesses", "confirmed": len(confirmed), "witnesses": len(e.members), "choice": confirmationLabel(held),
		"renewed_ms_ago": t.now.Sub(t.lastRenewal).Milliseconds()}).Info("asked the witnesses whether the store answers")
}

func confirmationLabel(held bool) string {
	if held {
		return "confirmed"
	}
	return "unconfirmed"
}

// handleWitness answers the leader of a term as its witness.
func (n *Node) handleWitness(_ context.Context, p witnessParams) (any, error) {
	c := n.cell(p.Cell)
	if c == nil {
		return nil, model.Errorf(model.KindUnavailable, "retry later", "no cell %d is known here", p.Cell)
	}
	r := witnessReply{Process: n.cfg.Process, LaterTerm: c.confirmations.latestTerm() > p.Term}
	if p.Confirm && !r.LaterTerm && !n.store.answeredWithin(storeSilence) {
		r.Confirmed = c.confirmations.confirm(p.Term, time.Now())
		r.LaterTerm = !r.Confirmed
	}
	return r, nil
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

// witnessed is what a term knows of the witnesses of the silent leader.
type witnessed struct {
	members []witness
	// reach is the longest time from a renewal or a confirmation to the end of a lease.
	reach time.Duration
	// renewedBy is the latest moment at which the silent leader may have renewed.
	renewedBy time.Time
}

// record returns what a renewal at now tells the next leader.
func (w *witnessed) record(now time.Time) *witnessRecord {
	if w == nil {
		return nil
	}
	return &witnessRecord{Members: w.members, ReachMS: w.reach.Milliseconds(), RenewalMS: leastAgeMS(now, w.renewedBy)}
}

// witnessedBy returns what a row that was seen at a moment tells of a term's witnesses; nil if it has none.
func (r *witnessRecord) witnessedBy(seen time.Time) *witnessed {
	if r == nil || len(r.Members) == 0 || r.ReachMS <= 0 {
		return nil
	}
	return &witnessed{r.Members, time.Duration(r.ReachMS) * time.Millisecond, seen.Add(-time.Duration(r.RenewalMS) * time.Millisecond)}
}

// confirmedBy returns the latest moment at which a majority of n witnesses may have confirmed, by when
// those that answered confirmed last. ok is false while those that have not may be a majority.
func confirmedBy(n int, answered []time.Time) (latest time.Time, ok bool) {
	need := noMajorityWithout(n)
	if n == 0 || len(answered) < need {
		return time.Time{}, false
	}
	return slices.SortedFunc(slices.Values(answered), time.Time.Compare)[need-1], true
}

// boundSilentLeader asks the witnesses of the silent leader when they confirmed last, until enough have
// answered or its leases are over.
func (n *Node) boundSilentLeader(t *term) {
	if t.silent == nil || t.silent.witnessed == nil {
		return
	}
	w, until := t.silent.witnessed, t.formerLeasesEnd()
	n.wg.Go(func() {
		asked := map[witness]time.Time{}
		for t.ctx.Err() == nil && time.Now().Before(until) {
			n.askFormerWitnesses(t, w.members, asked)
			if by, ok := confirmedBy(len(w.members), slices.Collect(maps.Values(asked))); ok {
				t.post(witnessesAnswered{by})
				return
			}
			sleep(t.ctx, formerLeaderCallPause)
		}
	})
}

// askFormerWitnesses asks those witnesses of an earlier term that have not answered yet, and adds when
// they confirmed last.
func (n *Node) askFormerWitnesses(t *term, members []witness, answered map[witness]time.Time) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range members {
		mu.Lock()
		_, ok := answered[m]
		mu.Unlock()
		if ok {
			continue
		}
		wg.Go(func() {
			if at, ok := n.lastConfirmation(t, m); ok {
				mu.Lock()
				defer mu.Unlock()
				answered[m] = at
			}
		})
	}
	wg.Wait()
}

// lastConfirmation tells a witness of an earlier term that t has begun, and returns when it confirmed
// last, zero for never. ok is false without an answer of that process.
func (n *Node) lastConfirmation(t *term, m witness) (at time.Time, ok bool) {
	if m.Node == n.cfg.Node {
		c := n.cell(t.cell)
		return c.confirmations.learnTerm(t.number), m.Process == n.cfg.Process
	}
	reply, err := n.callFormerLeader(m.Addr, termParams{t.cell, t.number})
	if err != nil || reply.Node != m.Node || reply.Process != m.Process || reply.ConfirmedMS == nil {
		return time.Time{}, false
	}
	if *reply.ConfirmedMS < 0 {
		return time.Time{}, true
	}
	return time.Now().Add(-time.Duration(*reply.ConfirmedMS) * time.Millisecond), true
}

// witnessesAnswered tells that the silent leader had its last confirmation by a moment; zero for none.
type witnessesAnswered struct{ confirmedBy time.Time }

func (e witnessesAnswered) handle(t *term) {
	s := t.silent
	if s == nil || s.witnessed == nil {
		return
	}
	basis := latest(s.witnessed.renewedBy, e.confirmedBy)
	t.boundFormerLeases(s.boundedBy(t.formerLeaderRenewedBy, basis.Add(s.witnessed.reach-maxLeaseReach)), "the witnesses of the former leader bound its leases")
}
