package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times of the election.
const (
	// silenceLimit is how long a leader may not renew before others take over;
	// it renews every 400 ms.
	silenceLimit = 1900 * time.Millisecond
	// campaignSpread spreads the campaigns of the nodes.
	campaignSpread = 250 * time.Millisecond
	// releasedSpread spreads them after a leader has given up by itself.
	releasedSpread = 40 * time.Millisecond
	// campaignTimeout bounds the transaction that takes the lead.
	campaignTimeout = 1500 * time.Millisecond
	// leaderWait is how long a watch of the leader's row is held. The row changes
	// every 400 ms, so an empty answer tells that renewals are missing.
	leaderWait = 900 * time.Millisecond
)

// follow is a node's view of the leader's renewals. Silence counts only while the
// store answers: a node that cannot read knows nothing of the leader.
type follow struct {
	record  leaderRecord
	known   bool
	version uint64
	// changed is when the last renewal was seen, or when reading began again.
	changed time.Time
	spread  time.Duration
}

// dueIn returns the time until due can become true without further news.
func (f *follow) dueIn(now time.Time, node model.NodeID) time.Duration {
	return max(f.patience(node)-now.Sub(f.changed), time.Millisecond)
}

// patience is how long this node leaves the leader's row unchanged before it
// campaigns.
func (f *follow) patience(node model.NodeID) time.Duration {
	free := f.spread * releasedSpread / campaignSpread
	switch {
	case !f.known:
		return free
	case !f.record.Released:
		return silenceLimit + f.spread
	case f.record.Successor == node:
		return 0
	case f.record.Successor != "":
		return successorWait + free
	}
	return free
}

// formerAlive returns the latest moment at which the former leader may have
// renewed: its last renewal was sent before this node saw it.
func (f *follow) formerAlive(now time.Time) time.Time {
	switch {
	case !f.known:
		return now
	case f.record.Released:
		return now.Add(-orderLimit) // it gives no order any more
	}
	return f.changed
}

// due reports whether this node should try to take the lead.
func (f *follow) due(now time.Time, node model.NodeID, process uint64) bool {
	if f.known && !f.record.Released && f.record.Node == node && f.record.Process != process {
		return true // the leader was a former process of this node
	}
	return now.Sub(f.changed) >= f.patience(node)
}

// seen takes a state of the leader's row.
func (f *follow) seen(row Row, now time.Time) {
	var r leaderRecord
	if row.Removed || decodeRecord(row, &r) != nil {
		f.known = false
		return
	}
	if row.Version == f.version {
		return
	}
	f.record, f.known, f.version, f.changed = r, true, row.Version, now
	f.spread = time.Duration(rand.Int64N(int64(campaignSpread)))
}

// followLeader watches the leader's renewals and campaigns when they cease.
func (n *Node) followLeader(ctx context.Context) {
	f := follow{spread: time.Duration(rand.Int64N(int64(campaignSpread)))}
	after, ok := n.readLeader(ctx, &f)
	for ok && ctx.Err() == nil {
		if n.mayLead(&f) && f.due(time.Now(), n.cfg.Node, n.cfg.Process) {
			n.campaign(ctx, &f)
		}
		wait := leaderWait
		if n.mayLead(&f) {
			wait = min(leaderWait, f.dueIn(time.Now(), n.cfg.Node))
		}
		call, cancel := context.WithTimeout(ctx, wait+watchTimeout)
		page, err := n.cfg.Store.Watch(call, tableLeader, after, wait)
		cancel()
		if err != nil || page.Version < after {
			if err != nil && !model.IsKind(err, model.KindStale) && ctx.Err() == nil {
				n.storeUnread(err)
			}
			after, ok = n.readLeader(ctx, &f)
			continue
		}
		n.storeAnswered()
		after = page.Version
		for _, row := range page.Rows {
			n.leaderRow(&f, row)
		}
	}
}

// readLeader reads the leader's row. Afterwards silence counts anew.
func (n *Node) readLeader(ctx context.Context, f *follow) (uint64, bool) {
	s := n.source(tableLeader, nil)
	s.parts = []string{leaderPart}
	rows, page, ok := s.listUntil(ctx)
	if !ok {
		return 0, false
	}
	n.storeAnswered()
	f.changed = time.Now()
	for _, row := range rows {
		n.leaderRow(f, row)
	}
	return page.Version, true
}

func (n *Node) leaderRow(f *follow, row Row) {
	before := f.record
	f.seen(row, time.Now())
	if !f.known {
		return
	}
	r := f.record
	n.leader.Store(&r)
	if before.Term != r.Term || before.Released != r.Released {
		n.log.WithFields(logrus.Fields{"decision": "leader", "term": r.Term, "leader": r.Node, "address": r.Addr, "released": r.Released}).Info("leader")
	}
	n.askForLead(r)
	if t := n.term.Load(); t != nil && t.number < r.Term {
		t.retire("another node has taken the lead")
	}
}

// mayLead reports whether this node could lead now.
func (n *Node) mayLead(f *follow) bool {
	t := n.term.Load()
	return !n.draining.Load() && (t == nil || t.ctx.Err() != nil)
}

// campaign tries to take the lead with the next term.
func (n *Node) campaign(ctx context.Context, f *follow) {
	fence, version, err := n.readFence(ctx)
	if err != nil {
		n.metrics.terms.WithLabelValues(outcome(err)).Inc()
		f.changed = time.Now()
		return
	}
	// A renewal that this node has not seen would make the former leader's orders
	// last longer than it reckons. One after the read of the fence fails the
	// transaction.
	if !n.unchanged(ctx, f) {
		return
	}
	number, nonce := fence.Term+1, rand.Uint64()
	id := RowID{tableFence, leaderPart, keyLeader}
	tx := Transaction{
		Expect: []Expectation{{id, version}},
		Puts:   []Row{{RowID: id, Value: encode(fenceRecord{number, nonce})}, n.cfg.renewal(number, false, "")},
	}
	call, cancel := context.WithTimeout(ctx, campaignTimeout)
	result, err := n.cfg.Store.Commit(call, tx)
	cancel()
	n.metrics.terms.WithLabelValues(outcome(err)).Inc()
	n.log.WithFields(logrus.Fields{"decision": "campaign", "term": number, "silent_ms": time.Since(f.changed).Milliseconds(),
		"choice": outcome(err)}).Info("campaign")
	if err != nil {
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			f.changed = time.Now()
			return
		}
		// The answer was lost: the fence tells whether the campaign was won.
		fence, version, err = n.readFence(ctx)
		if err != nil || fence.Nonce != nonce {
			f.changed = time.Now()
			return
		}
		result.Version = version
	}
	n.lead(number, result.Version, f.formerAlive(time.Now()))
}

// unchanged reads the leader's row and reports whether it is the one known.
func (n *Node) unchanged(ctx context.Context, f *follow) bool {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := n.cfg.Store.List(call, tableLeader, leaderPart, keyLeader, keyLeader+"\x00", 1)
	if err != nil {
		f.changed = time.Now()
		return false
	}
	if len(page.Rows) == 0 {
		return !f.known
	}
	if page.Rows[0].Version == f.version {
		return true
	}
	n.leaderRow(f, page.Rows[0])
	return false
}

func (n *Node) readFence(ctx context.Context) (fenceRecord, uint64, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := n.cfg.Store.List(call, tableFence, leaderPart, keyLeader, keyLeader+"\x00", 1)
	if err != nil || len(page.Rows) == 0 {
		return fenceRecord{}, 0, err
	}
	var f fenceRecord
	if err := decodeRecord(page.Rows[0], &f); err != nil {
		return fenceRecord{}, 0, err
	}
	return f, page.Rows[0].Version, nil
}

// lead runs a term in the background.
func (n *Node) lead(number, fenceVersion uint64, formerAlive time.Time) {
	t := newTerm(n.cfg, number, fenceVersion, formerAlive, n.log, n.metrics)
	n.term.Store(t)
	n.leader.Store(&leaderRecord{Term: number, Node: n.cfg.Node, Process: n.cfg.Process, Addr: n.cfg.PeerAddr, MilliCPU: n.cfg.Limits.MilliCPU})
	n.wait.Go(t.run)
}

// Leading reports whether this node leads and knows of no newer leader.
func (n *Node) Leading() bool {
	t := n.term.Load()
	return t != nil && t.ctx.Err() == nil
}
