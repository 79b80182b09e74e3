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
	// leaderTimeout is how long a leader may not renew before others take over;
	// it renews every 400 ms.
	leaderTimeout = 1900 * time.Millisecond
	// campaignJitter spreads the campaigns of the nodes.
	campaignJitter = 250 * time.Millisecond
	// releasedJitter spreads them after a leader has given up by itself.
	releasedJitter = 40 * time.Millisecond
	// campaignTimeout bounds the transaction that takes the lead.
	campaignTimeout = 1500 * time.Millisecond
	// leaderWatchWait is how long a watch of the leader's row is held. The row changes
	// every 400 ms, so an empty answer tells that renewals are missing.
	leaderWatchWait = 900 * time.Millisecond
	// leaderWatchPause and leaderWatchPauseSmall are the pauses between two watches of the
	// renewals of several cells; the second one on small hosts, which lead only when
	// no larger one does.
	leaderWatchPause      = 200 * time.Millisecond
	leaderWatchPauseSmall = 700 * time.Millisecond
	// smallHostDelay is how much longer a host waits before a campaign for each time
	// that another is larger, ledCellDelay for each cell that it leads already.
	smallHostDelay    = 120 * time.Millisecond
	smallHostDelayMax = 800 * time.Millisecond
	ledCellDelay      = 200 * time.Millisecond
	// largeHostMilliCPU is the processor share, in thousandths of a core, that hosts are
	// compared with while no leader is known.
	largeHostMilliCPU = 800
)

// leaderWatch is a node's view of the leader's renewals. Silence counts only while the
// store answers: a node that cannot read knows nothing of the leader.
type leaderWatch struct {
	record  leaderRecord
	known   bool
	version uint64
	// silentSince is when the last renewal was seen, or when reading began again.
	silentSince time.Time
	jitter      time.Duration
	// extraDelay is how much longer than others this node waits, as its host is smaller
	// or leads other cells already.
	extraDelay time.Duration
}

// campaignDueIn returns the time until due can become true without further news.
func (f *leaderWatch) campaignDueIn(now time.Time, node model.NodeID) time.Duration {
	return max(f.campaignDelay(node)-now.Sub(f.silentSince), time.Millisecond)
}

// campaignDelay is how long this node leaves the leader's row unchanged before it
// campaigns.
func (f *leaderWatch) campaignDelay(node model.NodeID) time.Duration {
	free := f.jitter*releasedJitter/campaignJitter + f.extraDelay
	switch {
	case !f.known:
		return free
	case !f.record.Released:
		return leaderTimeout + f.jitter + f.extraDelay
	case f.record.Successor == node:
		return 0
	case f.record.Successor != "":
		return successorWait + free
	}
	return free
}

// formerRenewedBy returns the latest moment at which the former leader may have
// renewed: its last renewal was sent before this node saw it. One whose leases reach
// further or less far counts as if it had renewed later or earlier.
func (f *leaderWatch) formerRenewedBy(now time.Time) time.Time {
	switch {
	case !f.known:
		return now
	case f.record.Released:
		return now.Add(maxLease - maxLeaseReach) // it gives no order any more
	}
	return f.silentSince.Add(f.record.leaseReachOrDefault() - maxLeaseReach)
}

// campaignDue reports whether this node should try to take the lead.
func (f *leaderWatch) campaignDue(now time.Time, node model.NodeID, process uint64) bool {
	if f.known && !f.record.Released && f.record.Node == node && f.record.Process != process {
		return true // the leader was a former process of this node
	}
	return now.Sub(f.silentSince) >= f.campaignDelay(node)
}

// update takes a state of the leader's row.
func (f *leaderWatch) update(row Row, now time.Time) {
	var r leaderRecord
	if row.Removed || decodeRecord(row, &r) != nil {
		f.known = false
		return
	}
	if row.Version == f.version {
		return
	}
	f.record, f.known, f.version, f.silentSince = r, true, row.Version, now
	f.jitter = time.Duration(rand.Int64N(int64(campaignJitter)))
}

// watchLeaders watches the renewals of all cells and campaigns where they cease.
func (n *Node) watchLeaders(ctx context.Context) {
	after, ok := n.awaitLayout(ctx)
	if ok {
		after, ok = n.readLeaders(ctx)
	}
	for ok && ctx.Err() == nil {
		n.campaignIfDue(ctx)
		wait := n.nextWatchWait()
		call, cancel := context.WithTimeout(ctx, wait+watchTimeout)
		page, err := n.cfg.Store.Watch(call, tableLeader, after, wait)
		cancel()
		if err != nil || page.Version < after {
			if err != nil && !model.IsKind(err, model.KindStale) && ctx.Err() == nil {
				n.recordStoreFailure(err)
			}
			after, ok = n.readLeaders(ctx)
			continue
		}
		n.recordStoreAnswer()
		after = page.Version
		n.applyLeaderRows(page.Rows)
		n.pauseWatch(ctx, len(page.Rows) > 0)
	}
}

// campaignIfDue tries to take the lead of the cells whose leaders are silent.
func (n *Node) campaignIfDue(ctx context.Context) {
	d := n.cellTable.Load()
	for _, c := range d.cells {
		c.watch.extraDelay = n.campaignExtraDelay(d)
		if n.mayLead(c) && c.watch.campaignDue(time.Now(), n.cfg.Node, n.cfg.Process) {
			n.campaign(ctx, c)
		}
	}
}

// nextWatchWait is how long the next watch is held: until a campaign can be due.
func (n *Node) nextWatchWait() time.Duration {
	wait := leaderWatchWait
	for _, c := range n.cellTable.Load().cells {
		if n.mayLead(c) {
			wait = min(wait, c.watch.campaignDueIn(time.Now(), n.cfg.Node))
		}
	}
	return wait
}

// pauseWatch collects the renewals of several cells between two watches: each of
// them would wake every node.
func (n *Node) pauseWatch(ctx context.Context, changed bool) {
	d := n.cellTable.Load()
	if len(d.cells) == 1 || !changed {
		return
	}
	pause := leaderWatchPause
	if n.isSmall(d) {
		pause = leaderWatchPauseSmall
	}
	sleep(ctx, min(pause, n.nextWatchWait()))
}

// readLeaders reads the renewals of all cells and the layout. Afterwards silence
// counts anew.
func (n *Node) readLeaders(ctx context.Context) (uint64, bool) {
	s := n.newSource(tableLeader, nil)
	s.parts = []string{layoutPart}
	d := n.cellTable.Load()
	for _, c := range d.cells {
		s.parts = append(s.parts, c.part)
	}
	rows, page, ok := s.listUntil(ctx)
	if !ok {
		return 0, false
	}
	n.recordStoreAnswer()
	for _, c := range d.cells {
		c.watch.silentSince = time.Now()
	}
	n.applyLeaderRows(rows)
	return page.Version, true
}

// applyLeaderRows takes changed rows of the leaders' table.
func (n *Node) applyLeaderRows(rows []Row) {
	for _, row := range rows {
		if row.RowID == layoutRow() {
			n.applyLayoutRow(row)
		}
	}
	d := n.cellTable.Load()
	for _, row := range rows {
		for _, c := range d.cells {
			if c.part == row.Part && row.Key == keyLeader {
				n.applyLeaderRow(c, row)
			}
		}
	}
}

func (n *Node) applyLeaderRow(c *cell, row Row) {
	before := c.watch.record
	c.watch.update(row, time.Now())
	if !c.watch.known {
		return
	}
	r := c.watch.record
	c.leader.Store(&leaderSnapshot{r, c.watch.silentSince})
	if before.Term != r.Term || before.Released != r.Released {
		n.log.WithFields(logrus.Fields{"decision": "leader", "cell": c.index, "term": r.Term, "leader": r.Node, "address": r.Addr, "released": r.Released}).Info("leader")
	}
	n.requestLead(c, r)
	if t := c.term.Load(); t != nil && t.number < r.Term {
		t.end("another node has taken the lead")
	}
}

// mayLead reports whether this node could lead a cell now.
func (n *Node) mayLead(c *cell) bool { return !n.draining.Load() && !c.leading() }

// campaign tries to take the lead with the next term.
func (n *Node) campaign(ctx context.Context, c *cell) {
	f := &c.watch
	fence, version, err := n.readFence(ctx, c)
	if err != nil {
		n.metrics.terms.WithLabelValues(resultLabel(err)).Inc()
		f.silentSince = time.Now()
		return
	}
	// A renewal that this node has not seen would make the former leader's orders
	// last longer than it reckons. One after the read of the fence fails the
	// transaction.
	if !n.leaderUnchanged(ctx, c) {
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
	n.metrics.terms.WithLabelValues(resultLabel(err)).Inc()
	n.log.WithFields(logrus.Fields{"decision": "campaign", "cell": c.index, "term": number, "silent_ms": time.Since(f.silentSince).Milliseconds(),
		"choice": resultLabel(err)}).Info("campaign")
	if err != nil {
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			f.silentSince = time.Now()
			return
		}
		// The answer was lost: the fence tells whether the campaign was won.
		fence, version, err = n.readFence(ctx, c)
		if err != nil || fence.Nonce != nonce {
			f.silentSince = time.Now()
			return
		}
		result.Version = version
	}
	n.startTerm(c, number, result.Version, f.formerRenewedBy(time.Now()), sent)
}

// leaderUnchanged reads the leader's row and reports whether it is the one known.
func (n *Node) leaderUnchanged(ctx context.Context, c *cell) bool {
	f := &c.watch
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := n.cfg.Store.List(call, tableLeader, c.part, keyLeader, keyLeader+"\x00", 1)
	if err != nil {
		f.silentSince = time.Now()
		return false
	}
	if len(page.Rows) == 0 {
		return !f.known
	}
	if page.Rows[0].Version == f.version {
		return true
	}
	n.applyLeaderRow(c, page.Rows[0])
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

// startTerm runs a term of a cell in the background. Sent is when the transaction was sent that
// began it: other nodes reckon from its row how long leases of the term last.
func (n *Node) startTerm(c *cell, number, fenceVersion uint64, formerRenewedBy, sent time.Time) {
	d := n.cellTable.Load()
	t := newTerm(n.cfg, c.index, d.layout, number, fenceVersion, formerRenewedBy, n.log, n.metrics)
	t.lastRenewal = sent
	t.cellLoads, t.notify, t.evacuate, t.operator = d.cellLoads, n.notifyCell, n.evacuateWorker, &n.operator
	c.term.Store(t)
	c.leader.Store(&leaderSnapshot{leaderRecord{Term: number, Node: n.cfg.Node, Process: n.cfg.Process, Addr: n.cfg.PeerAddr, MilliCPU: n.cfg.Limits.MilliCPU}, time.Now()})
	n.metrics.leading.Set(float64(n.ledCells()))
	n.wg.Go(func() {
		t.run()
		n.metrics.leading.Set(float64(n.ledCells()))
	})
}

// Leading reports whether this node leads a cell and knows of no newer leader.
func (n *Node) Leading() bool { return n.ledCells() > 0 }
