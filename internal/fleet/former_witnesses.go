package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// witnessed is what a term knows of an earlier leader and its witnesses.
type witnessed struct {
	members []witness
	// reach is the longest time from a renewal or a confirmation to the end of a lease.
	reach time.Duration
	// renewedBy is the latest moment at which the leader may have renewed.
	renewedBy time.Time
}

// inheritedWitnesses returns the witnesses with which a term of node begins: those of the leader before it.
// It has none of its own before others offer themselves, and would be waited for longest if it were lost.
func (f *leaderWatch) inheritedWitnesses(node model.NodeID) []witness {
	r := f.record.Witnesses
	if r == nil {
		r = f.record.SilentWitnesses
	}
	if !f.known || r == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.Members), func(m witness) bool { return m.Node == node })
}

// boundBy returns formerLeaderRenewedBy for the leader once its last confirmation is known.
func (w *witnessed) boundBy(confirmed time.Time) time.Time {
	return earliest(w.renewedBy, latest(w.renewedBy, confirmed).Add(w.reach-maxLeaseReach))
}

// record returns what a renewal at now tells the next leader.
func (w *witnessed) record(now time.Time) *witnessRecord {
	if w == nil {
		return nil
	}
	return &witnessRecord{Members: w.members, ReachMS: w.reach.Milliseconds(), RenewalMS: leastAgeMS(now, w.renewedBy)}
}

// witnessedBy returns what a row that was sent by a moment tells of a term's witnesses; nil if it has none.
func (r *witnessRecord) witnessedBy(sentBy time.Time) *witnessed {
	if r == nil || len(r.Members) == 0 || r.ReachMS <= 0 {
		return nil
	}
	return &witnessed{r.Members, time.Duration(r.ReachMS) * time.Millisecond, sentBy.Add(-time.Duration(r.RenewalMS) * time.Millisecond)}
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

// confirmedBy returns the same for the witnesses of w, by the answers of processes.
func (w *witnessed) confirmedBy(answered map[witness]time.Time) (latest time.Time, ok bool) {
	var confirmed []time.Time
	for _, m := range w.members {
		if at, ok := answered[m]; ok {
			confirmed = append(confirmed, at)
		}
	}
	return confirmedBy(len(w.members), confirmed)
}

// unanswered returns the earlier leaders whose witnesses have not answered.
func (s *silentLeader) unanswered() []*witnessed {
	if s.witnessed == nil {
		return s.earlier
	}
	return append([]*witnessed{s.witnessed}, s.earlier...)
}

// boundSilentLeader asks the witnesses of the silent leader and of those before it when they confirmed
// last, until enough of each have answered or all leases are over.
func (n *Node) boundSilentLeader(t *term) {
	if t.silent == nil {
		return
	}
	waiting, until := slices.Clone(t.silent.unanswered()), t.formerLeasesEnd()
	n.wg.Go(func() {
		answered := map[witness]time.Time{}
		for len(waiting) > 0 && t.ctx.Err() == nil && time.Now().Before(until) {
			n.askFormerWitnesses(t, membersOf(waiting), answered)
			waiting = slices.DeleteFunc(waiting, func(w *witnessed) bool {
				by, ok := w.confirmedBy(answered)
				if ok {
					t.post(witnessesAnswered{w, by})
				}
				return ok
			})
			if len(waiting) > 0 {
				sleep(t.ctx, formerLeaderCallPause)
			}
		}
	})
}

// membersOf returns the witnesses of all leaders, each once.
func membersOf(leaders []*witnessed) []witness {
	var sets [][]witness
	for _, w := range leaders {
		sets = append(sets, w.members)
	}
	return unionOf(sets)
}

// askFormerWitnesses asks those witnesses of an earlier term that have not answered yet, and adds when
// they confirmed last.
func (n *Node) askFormerWitnesses(t *term, members []witness, answered map[witness]time.Time) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	missing := slices.DeleteFunc(slices.Clone(members), func(m witness) bool {
		_, ok := answered[m]
		return ok
	})
	for _, m := range missing {
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

// witnessesAnswered tells that an earlier leader had its last confirmation by a moment; zero for none.
type witnessesAnswered struct {
	leader      *witnessed
	confirmedBy time.Time
}

func (e witnessesAnswered) handle(t *term) {
	s := t.silent
	if s == nil {
		return
	}
	bound := e.leader.boundBy(e.confirmedBy)
	i := slices.Index(s.earlier, e.leader)
	switch {
	case e.leader == s.witnessed:
		s.renewedBy, s.witnessed = earliest(s.renewedBy, bound), nil
	case i >= 0:
		s.othersRenewedBy, s.earlier = latest(s.othersRenewedBy, bound), slices.Delete(s.earlier, i, i+1)
	default:
		return
	}
	t.boundFormerLeases("the witnesses of an earlier leader bound its leases")
}
