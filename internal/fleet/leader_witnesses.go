package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// leaderWitnesses is what a term knows of its witnesses.
type leaderWitnesses struct {
	candidates []witnessOffer
	// members are the chosen witnesses. declared and stored are those of the last renewal that was sent
	// and of the last one that was answered.
	members, declared, stored []witness
	// inheritedUntil is until when the witnesses of the leader before are kept; zero for no longer.
	inheritedUntil time.Time
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

// unionOf returns the witnesses of all sets, each once.
func unionOf(sets [][]witness) []witness {
	var members []witness
	for _, m := range slices.Concat(sets...) {
		if !slices.Contains(members, m) {
			members = append(members, m)
		}
	}
	return members
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

// inheritedTime is how long a leader keeps the witnesses of the one before it, while other processes
// offer themselves.
const inheritedTime = witnessOfferJitter + notifyTimeout

// inherit takes over the witnesses that the row names with which the term began at now.
func (s *leaderWitnesses) inherit(r *witnessRecord, now time.Time) {
	if r != nil {
		s.members, s.declared, s.stored, s.inheritedUntil = r.Members, r.Members, r.Members, now.Add(inheritedTime)
	}
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
	if !s.inheritedUntil.IsZero() {
		return
	}
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

// askWitnesses asks the witnesses for a confirmation while renewals are missing, and otherwise now and then
// whether they answer, those that were lost too.
func (t *term) askWitnesses() {
	s := &t.witnesses
	if !s.inheritedUntil.IsZero() && !t.now.Before(s.inheritedUntil) {
		s.inheritedUntil = time.Time{}
		t.chooseWitnesses()
	}
	if s.asking || t.stopping || (len(s.candidates) == 0 && len(s.sets()) == 0) {
		return
	}
	confirm := len(s.sets()) > 0 && t.now.Sub(t.lastRenewal) >= confirmationAge && t.now.Sub(s.askedAt) >= confirmationInterval
	if check := t.now.Sub(s.checkedAt) >= witnessCheckInterval; !confirm && !check {
		return
	}
	s.asking, s.checkedAt = true, t.now
	if confirm {
		s.askedAt = t.now
		go t.callWitnesses(unionOf(s.sets()), true)
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
