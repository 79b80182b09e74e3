package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

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
