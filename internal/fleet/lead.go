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
	// renewalsPause and renewalsPauseSmall are the pauses between two watches of the
	// renewals of several cells; the second one on small hosts, which lead only when
	// no larger one does.
	renewalsPause      = 200 * time.Millisecond
	renewalsPauseSmall = 700 * time.Millisecond
	// sizeHandicap is how much longer a host waits before a campaign for each time
	// that another is larger, ledHandicap for each cell that it leads already.
	sizeHandicap    = 120 * time.Millisecond
	sizeHandicapMax = 800 * time.Millisecond
	ledHandicap     = 200 * time.Millisecond
	// largeHost is the processor share, in thousandths of a core, that hosts are
	// compared with while no leader is known.
	largeHost = 800
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
	// handicap is how much longer than others this node waits, as its host is smaller
	// or leads other cells already.
	handicap time.Duration
}

// dueIn returns the time until due can become true without further news.
func (f *follow) dueIn(now time.Time, node model.NodeID) time.Duration {
	return max(f.patience(node)-now.Sub(f.changed), time.Millisecond)
}

// patience is how long this node leaves the leader's row unchanged before it
// campaigns.
func (f *follow) patience(node model.NodeID) time.Duration {
	free := f.spread*releasedSpread/campaignSpread + f.handicap
	switch {
	case !f.known:
		return free
	case !f.record.Released:
		return silenceLimit + f.spread + f.handicap
	case f.record.Successor == node:
		return 0
	case f.record.Successor != "":
		return successorWait + free
	}
	return free
}

// formerAlive returns the latest moment at which the former leader may have
// renewed: its last renewal was sent before this node saw it. One whose leases reach
// further or less far counts as if it had renewed later or earlier.
func (f *follow) formerAlive(now time.Time) time.Time {
	switch {
	case !f.known:
		return now
	case f.record.Released:
		return now.Add(leaseMaximum - leaseReach) // it gives no order any more
	}
	return f.changed.Add(f.record.leaseReach() - leaseReach)
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

// followLeaders watches the renewals of all cells and campaigns where they cease.
func (n *Node) followLeaders(ctx context.Context) {
	after, ok := n.findLayout(ctx)
	if ok {
		after, ok = n.readLeaders(ctx)
	}
	for ok && ctx.Err() == nil {
		n.campaignWhereDue(ctx)
		wait := n.leaderWait()
		call, cancel := context.WithTimeout(ctx, wait+watchTimeout)
		page, err := n.cfg.Store.Watch(call, tableLeader, after, wait)
		cancel()
		if err != nil || page.Version < after {
			if err != nil && !model.IsKind(err, model.KindStale) && ctx.Err() == nil {
				n.storeUnread(err)
			}
			after, ok = n.readLeaders(ctx)
			continue
		}
		n.storeAnswered()
		after = page.Version
		n.leaderRows(page.Rows)
		n.pauseWatch(ctx, len(page.Rows) > 0)
	}
}

// campaignWhereDue tries to take the lead of the cells whose leaders are silent.
func (n *Node) campaignWhereDue(ctx context.Context) {
	d := n.division.Load()
	for _, c := range d.cells {
		c.follow.handicap = n.handicap(d)
		if n.mayLead(c) && c.follow.due(time.Now(), n.cfg.Node, n.cfg.Process) {
			n.campaign(ctx, c)
		}
	}
}

// leaderWait is how long the next watch is held: until a campaign can be due.
func (n *Node) leaderWait() time.Duration {
	wait := leaderWait
	for _, c := range n.division.Load().cells {
		if n.mayLead(c) {
			wait = min(wait, c.follow.dueIn(time.Now(), n.cfg.Node))
		}
	}
	return wait
}

// pauseWatch collects the renewals of several cells between two watches: each of
// them would wake every node.
func (n *Node) pauseWatch(ctx context.Context, changed bool) {
	d := n.division.Load()
	if len(d.cells) == 1 || !changed {
		return
	}
	pause := renewalsPause
	if n.isSmall(d) {
		pause = renewalsPauseSmall
	}
	sleep(ctx, min(pause, n.leaderWait()))
}

// readLeaders reads the renewals of all cells and the layout. Afterwards silence
// counts anew.
func (n *Node) readLeaders(ctx context.Context) (uint64, bool) {
	s := n.source(tableLeader, nil)
	s.parts = []string{layoutPart}
	d := n.division.Load()
	for _, c := range d.cells {
		s.parts = append(s.parts, c.part)
	}
	rows, page, ok := s.listUntil(ctx)
	if !ok {
		return 0, false
	}
	n.storeAnswered()
	for _, c := range d.cells {
		c.follow.changed = time.Now()
	}
	n.leaderRows(rows)
	return page.Version, true
}

// leaderRows takes changed rows of the leaders' table.
func (n *Node) leaderRows(rows []Row) {
	for _, row := range rows {
		if row.RowID == layoutRow() {
			n.takeLayout(row)
		}
	}
	d := n.division.Load()
	for _, row := range rows {
		for _, c := range d.cells {
			if c.part == row.Part && row.Key == keyLeader {
				n.leaderRow(c, row)
			}
		}
	}
}

func (n *Node) leaderRow(c *cell, row Row) {
	before := c.follow.record
	c.follow.seen(row, time.Now())
	if !c.follow.known {
		return
	}
	r := c.follow.record
	c.leader.Store(&seenLeader{r, c.follow.changed})
	if before.Term != r.Term || before.Released != r.Released {
		n.log.WithFields(logrus.Fields{"decision": "leader", "cell": c.index, "term": r.Term, "leader": r.Node, "address": r.Addr, "released": r.Released}).Info("leader")
	}
	n.askForLead(c, r)
	if t := c.term.Load(); t != nil && t.number < r.Term {
		t.retire("another node has taken the lead")
	}
}

// mayLead reports whether this node could lead a cell now.
func (n *Node) mayLead(c *cell) bool { return !n.draining.Load() && !c.leading() }

// campaign tries to take the lead with the next term.
func (n *Node) campaign(ctx context.Context, c *cell) {
	f := &c.follow
	fence, version, err := n.readFence(ctx, c)
	if err != nil {
		n.metrics.terms.WithLabelValues(outcome(err)).Inc()
		f.changed = time.Now()
		return
	}
	// A renewal that this node has not seen would make the former leader's orders
	// last longer than it reckons. One after the read of the fence fails the
	// transaction.
	if !n.unchanged(ctx, c) {
		return
	}
	number, nonce := fence.Term+1, rand.Uint64()
	id := RowID{tableFence, c.part, keyLeader}
	tx := Transaction{
		Expect: []Expectation{{id, version}},
		Puts:   []Row{{RowID: id, Value: encode(fenceRecord{number, nonce})}, n.cfg.renewal(c.part, leaderRecord{Term: number})},
	}
	call, cancel := context.WithTimeout(ctx, campaignTimeout)
	sent := time.Now()
	result, err := n.cfg.Store.Commit(call, tx)
	cancel()
	n.metrics.terms.WithLabelValues(outcome(err)).Inc()
	n.log.WithFields(logrus.Fields{"decision": "campaign", "cell": c.index, "term": number, "silent_ms": time.Since(f.changed).Milliseconds(),
		"choice": outcome(err)}).Info("campaign")
	if err != nil {
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			f.changed = time.Now()
			return
		}
		// The answer was lost: the fence tells whether the campaign was won.
		fence, version, err = n.readFence(ctx, c)
		if err != nil || fence.Nonce != nonce {
			f.changed = time.Now()
			return
		}
		result.Version = version
	}
	n.lead(c, number, result.Version, f.formerAlive(time.Now()), sent)
}

// unchanged reads the leader's row and reports whether it is the one known.
func (n *Node) unchanged(ctx context.Context, c *cell) bool {
	f := &c.follow
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := n.cfg.Store.List(call, tableLeader, c.part, keyLeader, keyLeader+"\x00", 1)
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
	n.leaderRow(c, page.Rows[0])
	return false
}

func (n *Node) readFence(ctx context.Context, c *cell) (fenceRecord, uint64, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := n.cfg.Store.List(call, tableFence, c.part, keyLeader, keyLeader+"\x00", 1)
	if err != nil || len(page.Rows) == 0 {
		return fenceRecord{}, 0, err
	}
	var f fenceRecord
	if err := decodeRecord(page.Rows[0], &f); err != nil {
		return fenceRecord{}, 0, err
	}
	return f, page.Rows[0].Version, nil
}

// lead runs a term of a cell in the background. Sent is when the transaction was sent that
// began it: other nodes reckon from its row how long leases of the term last.
func (n *Node) lead(c *cell, number, fenceVersion uint64, formerAlive, sent time.Time) {
	d := n.division.Load()
	t := newTerm(n.cfg, c.index, d.layout, number, fenceVersion, formerAlive, n.log, n.metrics)
	t.lastRenewal = sent
	t.rooms, t.tell, t.empty, t.operator = d.rooms, n.tellCell, n.askEmpty, &n.operator
	c.term.Store(t)
	c.leader.Store(&seenLeader{leaderRecord{Term: number, Node: n.cfg.Node, Process: n.cfg.Process, Addr: n.cfg.PeerAddr, MilliCPU: n.cfg.Limits.MilliCPU}, time.Now()})
	n.metrics.leading.Set(float64(n.ledCells()))
	n.wait.Go(func() {
		t.run()
		n.metrics.leading.Set(float64(n.ledCells()))
	})
}

// Leading reports whether this node leads a cell and knows of no newer leader.
func (n *Node) Leading() bool { return n.ledCells() > 0 }
