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
	// leaderTimeout is how long a leader's renewals may be missing before others campaign; a
	// leader renews every 400 ms.
	leaderTimeout = 1900 * time.Millisecond
	// campaignJitter bounds the random delay that spreads the campaigns of the nodes.
	campaignJitter = 250 * time.Millisecond
	// releasedJitter bounds that delay after a leader has released leadership.
	releasedJitter = 40 * time.Millisecond
	// campaignTimeout bounds the transaction that takes leadership.
	campaignTimeout = 1500 * time.Millisecond
	// leaderWatchWait is how long the store may hold a watch of the leaders' rows. A row
	// changes every 400 ms, so an empty answer means that renewals are missing.
	leaderWatchWait = 900 * time.Millisecond
	// leaderWatchPause is the pause between two watches of the renewals of several cells.
	// leaderWatchPauseSmall is that of small hosts, which lead only when no larger host does, for any number
	// of cells.
	leaderWatchPause      = 200 * time.Millisecond
	leaderWatchPauseSmall = 700 * time.Millisecond
	// smallHostDelay is how much longer a host waits before a campaign for each multiple of
	// its own processor share by which the largest known host exceeds it, up to
	// smallHostDelayMax. ledCellDelay is how much longer it waits for each cell that it leads, and
	// fullHostDelay if it would lead more than it carries.
	smallHostDelay    = 120 * time.Millisecond
	smallHostDelayMax = 800 * time.Millisecond
	ledCellDelay      = 200 * time.Millisecond
	fullHostDelay     = 600 * time.Millisecond
	// largeHostMilliCPU is the lower bound of the largest processor share in this comparison in a
	// fleet of several cells, in thousandths of a core. It applies also while no leader is known.
	largeHostMilliCPU = 800
)

// leaderWatch is a node's view of the renewals of a cell's leader. Missing renewals count
// only while the store answers: a node that cannot read the store knows nothing of the leader.
type leaderWatch struct {
	record  leaderRecord
	known   bool
	version uint64
	// sentBy is when the last renewal was sent at the latest: when it was first seen, or before that by the
	// store's clock. silentSince is when it was first seen, or when reading resumed or a campaign failed if
	// that is later. A node that starts does not wait for a leader whose leases have ended.
	sentBy, silentSince time.Time
	// seenAt is when the last renewal was first seen, or when reading resumed if that is later.
	seenAt time.Time
	jitter time.Duration
	// extraDelay is how much longer than other nodes this node waits before a campaign,
	// because its host is smaller or already leads other cells.
	extraDelay time.Duration
}

// campaignDueIn returns the time until campaignDue becomes true if no renewal is seen.
func (f *leaderWatch) campaignDueIn(now time.Time, node model.NodeID) time.Duration {
	return max(f.campaignDelay(node)-now.Sub(f.silentSince), time.Millisecond)
}

// campaignDelay is how long the leader's row must stay unchanged before this node campaigns.
func (f *leaderWatch) campaignDelay(node model.NodeID) time.Duration {
	vacantDelay := f.jitter*releasedJitter/campaignJitter + f.extraDelay
	switch {
	case !f.known:
		return vacantDelay
	case !f.record.Released:
		return leaderTimeout + f.jitter + f.extraDelay
	case f.record.Successor == node:
		return 0
	case f.record.Successor != "":
		return successorWait + vacantDelay
	}
	return vacantDelay
}

// formerLeaderRenewedBy returns the latest moment at which the former leader may have renewed. Its leases
// end at most maxLeaseReach after the result. For a leader with another lease reach, the result is shifted by the difference.
func (f *leaderWatch) formerLeaderRenewedBy(now time.Time) time.Time {
	if !f.known {
		return now
	}
	if !f.record.Released {
		return f.sentBy.Add(f.record.leaseReachOrDefault() - maxLeaseReach)
	}
	// It gave its last order before it sent the release. A leader before it may still give some to
	// workers that it has not heard of.
	renewedBy := endedRenewal(f.sentBy)
	if earlier := f.sentBy.Add(-f.record.formerRenewalAge()); !f.record.RunsKnown && earlier.After(renewedBy) {
		return earlier
	}
	return renewedBy
}

// formerOrdersBy returns the latest moment at which the former leader may have renewed or given an
// order. One that has released leadership gave its last order before it sent the release.
func (f *leaderWatch) formerOrdersBy(now time.Time) time.Time {
	if f.known && f.record.Released {
		return f.sentBy
	}
	return f.formerLeaderRenewedBy(now)
}

// campaignDue reports whether this node should campaign for leadership.
func (f *leaderWatch) campaignDue(now time.Time, node model.NodeID, process uint64) bool {
	if f.known && !f.record.Released && f.record.Node == node && f.record.Process != process {
		return true // the leader was an earlier process of this node
	}
	return now.Sub(f.silentSince) >= f.campaignDelay(node)
}

// leasesEnded reports whether all leases of the leader that has written the row have ended, so that nothing
// runs any more that its return would save.
func (f *leaderWatch) leasesEnded(now time.Time) bool {
	return now.After(formerLeasesEnd(f.formerLeaderRenewedBy(now)))
}

// update applies a version of the leader's row. storeNow is a reading of the store's clock that had arrived
// by now; 0 for none.
func (f *leaderWatch) update(row Row, now time.Time, storeNow time.Duration) {
	var r leaderRecord
	if row.Removed || decodeRecord(row, &r) != nil {
		f.known = false
		return
	}
	if row.Version == f.version {
		return
	}
	first := f.version == 0
	f.record, f.known, f.version, f.sentBy, f.silentSince, f.seenAt = r, true, row.Version, now, now, now
	if r.StoreNow > 0 && storeNow > r.StoreNow {
		f.sentBy = now.Add(r.StoreNow - storeNow)
	}
	if first && f.leasesEnded(now) {
		f.silentSince = now.Add(-leaderTimeout)
	}
	f.jitter = time.Duration(rand.Int64N(int64(campaignJitter)))
}

// watchPause is a pause between two watches, in which a node sees no renewals.
type watchPause struct{ began, ended time.Time }

// discountPause dates a renewal that was just seen by when it would have been seen without a pause before
// the watch: the pause must not delay a campaign.
func (f *leaderWatch) discountPause(p watchPause) {
	if f.sentBy.Before(p.ended) {
		f.silentSince = latest(f.sentBy, p.began)
	}
}

// watchLeaders watches the renewals of all cells' leaders and campaigns where they stop.
func (n *Node) watchLeaders(ctx context.Context) {
	if !n.awaitLayout(ctx) {
		return
	}
	after, ok := n.readLeaders(ctx)
	for ok && ctx.Err() == nil {
		n.campaignIfDue(ctx)
		wait := n.nextWatchWait()
		page, err := watchOnce(ctx, n.cfg.Store, tableLeader, after, wait, wait+watchTimeout)
		switch {
		case model.IsKind(err, model.KindStale):
			after, ok = n.readLeaders(ctx)
		case err != nil:
			if ctx.Err() == nil {
				n.recordStoreFailure(err)
			}
			after, ok = n.resumeWatch(ctx, after)
		default:
			n.recordStoreAnswer()
			after = page.Version
			n.applyLeaderRows(ctx, page.Rows, page.Now)
			n.pauseWatch(ctx, len(page.Rows) > 0)
		}
	}
}

// campaignIfDue campaigns for the cells whose leaders have stopped renewing.
func (n *Node) campaignIfDue(ctx context.Context) {
	d := n.cellTable.Load()
	for _, c := range d.cells {
		c.watch.extraDelay = n.campaignExtraDelay(d)
		if n.mayLead(c) && c.watch.campaignDue(time.Now(), n.cfg.Node, n.cfg.Process) {
			n.campaign(ctx, c)
		}
	}
}

// nextWatchWait is how long the next watch may wait: at most until a campaign can be due.
func (n *Node) nextWatchWait() time.Duration {
	wait := leaderWatchWait
	for _, c := range n.cellTable.Load().cells {
		if n.mayLead(c) {
			wait = min(wait, c.watch.campaignDueIn(time.Now(), n.cfg.Node))
		}
	}
	return wait
}

// pauseWatch pauses after a watch so that the next one returns several renewals together: without the
// pause, each renewal would wake every node.
func (n *Node) pauseWatch(ctx context.Context, changed bool) {
	n.watchPause = watchPause{}
	pause := min(n.watchPauseTime(), n.nextWatchWait())
	if !changed || pause <= 0 {
		return
	}
	began := time.Now()
	sleep(ctx, pause)
	n.watchPause = watchPause{began, time.Now()}
}

// watchPauseTime returns how long this node pauses after renewals. One that has asked for leadership must see
// soon that it has been released.
func (n *Node) watchPauseTime() time.Duration {
	d := n.cellTable.Load()
	switch {
	case time.Since(n.leadershipRequestedAt) < leadershipRequestInterval:
		return 0
	case n.isSmall(d):
		return leaderWatchPauseSmall
	case len(d.cells) > 1:
		return leaderWatchPause
	}
	return 0
}

// readLeaders reads the renewals of all cells and the layout, and restarts the time for
// which renewals count as missing. It returns the version to watch from.
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
	n.restartSilence()
	n.applyLeaderRows(ctx, rows, page.Now)
	return page.Version, true
}

// resumeWatch reads the renewals since a version after a failed watch, in one call for all cells, and restarts the
// time for which renewals count as missing. It reads all renewals again when the store has dropped that
// history, or when its version went back. It returns the version to watch from.
func (n *Node) resumeWatch(ctx context.Context, after uint64) (uint64, bool) {
	for ; ctx.Err() == nil; sleep(ctx, readPause+jitter()) {
		page, err := watchOnce(ctx, n.cfg.Store, tableLeader, after, refreshWait, readTimeout)
		switch {
		case model.IsKind(err, model.KindStale):
			return n.readLeaders(ctx)
		case err != nil:
			if ctx.Err() == nil {
				n.recordStoreFailure(err)
			}
			continue
		}
		n.recordStoreAnswer()
		n.restartSilence()
		n.applyLeaderRows(ctx, page.Rows, page.Now)
		return page.Version, true
	}
	return 0, false
}

// restartSilence restarts the time for which renewals count as missing: nothing is known of the time before.
func (n *Node) restartSilence() {
	now := time.Now()
	for _, c := range n.cellTable.Load().cells {
		c.watch.silentSince, c.watch.seenAt = now, now
	}
}

// applyLeaderRows applies changed rows of the leaders' table, which were read with the store's clock at
// storeNow.
func (n *Node) applyLeaderRows(ctx context.Context, rows []Row, storeNow time.Duration) {
	n.applyLayoutRows(rows)
	d := n.cellTable.Load()
	for _, row := range rows {
		for _, c := range d.cells {
			if c.part == row.Part && row.Key == keyLeader {
				n.applyLeaderRow(ctx, c, row, storeNow)
			}
		}
	}
}

func (n *Node) applyLeaderRow(ctx context.Context, c *cell, row Row, storeNow time.Duration) {
	before, version := c.watch.record, c.watch.version
	c.watch.update(row, time.Now(), storeNow)
	if !c.watch.known {
		return
	}
	if c.watch.version != version {
		c.watch.discountPause(n.watchPause)
	}
	r := c.watch.record
	c.leader.Store(&leaderSnapshot{r, c.watch.seenAt})
	if before.Term != r.Term || before.Released != r.Released {
		n.log.WithFields(logrus.Fields{"decision": "leader", "cell": c.index, "term": r.Term, "leader": r.Node, "address": r.Addr, "released": r.Released}).Info("leader changed")
		n.offerWitness(ctx, c, r)
	}
	n.requestLeadership(c, r)
	if t := c.term.Load(); t != nil && t.number < r.Term {
		t.end("another node has taken the lead")
	}
}

// mayLead reports whether this node may campaign for a cell.
func (n *Node) mayLead(c *cell) bool {
	stalled := c.loadStalledAt.Load()
	return !n.draining.Load() && !c.leading() && (stalled == nil || time.Since(*stalled) >= loadRetryPause)
}

// campaign tries to take leadership of a cell with the next term number.
func (n *Node) campaign(ctx context.Context, c *cell) {
	f := &c.watch
	suspended, readSent := n.cfg.readSuspensions(), time.Now()
	fence, read, err := n.readFence(ctx, c)
	formerFence := read.Version
	if err != nil {
		n.metrics.terms.WithLabelValues(resultLabel(err)).Inc()
		f.silentSince = time.Now()
		return
	}
	// A renewal that this node has not seen would make the former leader's leases last
	// longer than this node assumes. A renewal after the read of the fence makes the
	// transaction fail.
	if !n.leaderUnchanged(ctx, c) {
		return
	}
	number, nonce := fence.Term+1, rand.Uint64()
	id := RowID{tableFence, c.part, keyLeader}
	sent := time.Now()
	record := n.campaignRecord(f, number, sent)
	if read.Now > 0 {
		record.StoreNow = storeReading{read.Now, readSent}.upperBound(sent)
	}
	tx := Transaction{
		Expect: []Expectation{{id, read.Version}},
		Puts: []Row{{RowID: id, Value: encode(fenceRecord{number, nonce})},
			n.cfg.renewalRow(c.part, record)},
	}
	call, cancel := context.WithTimeout(ctx, campaignTimeout)
	result, err := n.cfg.Store.Commit(call, tx)
	cancel()
	n.metrics.terms.WithLabelValues(resultLabel(err)).Inc()
	n.log.WithFields(logrus.Fields{"decision": "campaign", "cell": c.index, "term": number, "silent_ms": time.Since(f.silentSince).Milliseconds(),
		"choice": resultLabel(err)}).Info("campaign ended")
	if err != nil {
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			f.silentSince = time.Now()
			return
		}
		// The result of the transaction is unknown: the fence shows whether it was applied.
		fence, read, err = n.readFence(ctx, c)
		if err != nil || fence.Nonce != nonce {
			failedAt := time.Now()
			f.silentSince = failedAt
			c.campaignFailedAt.Store(&failedAt)
			return
		}
		result = read
	}
	n.startTerm(ctx, c, record, fenceVersions{formerFence, result.Version}, storeReading{result.Now, sent}, suspended)
}

// campaignRecord returns the row with which a term begins.
func (n *Node) campaignRecord(f *leaderWatch, number uint64, now time.Time) leaderRecord {
	former := f.record
	if !f.known {
		former = leaderRecord{}
	}
	r := leaderRecord{Term: number, LeaseRecordsSince: former.leaseRecordsSince(number), Witnesses: recordOf(f.inheritedWitnesses(n.cfg.Node))}
	if r.UnverifiedOrdersEnd = former.UnverifiedOrdersEnd; !f.known {
		r.UnverifiedOrdersEnd = new(time.Duration)
	}
	renewedBy, silent := n.formerLeaders(f, now)
	r.describeFormer(now, renewedBy, silent)
	return r
}

// leaderUnchanged reads the leader's row and reports whether it is the version already seen.
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
	n.applyLeaderRow(ctx, c, page.Rows[0], page.Now)
	return false
}

// readFence reads the fence of a cell. The result holds the version of its row, 0 if there is none.
func (n *Node) readFence(ctx context.Context, c *cell) (fenceRecord, Commit, error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := n.cfg.Store.List(call, tableFence, c.part, keyLeader, keyLeader+"\x00", 1)
	if err != nil || len(page.Rows) == 0 {
		return fenceRecord{}, Commit{}, err
	}
	var f fenceRecord
	if err := decodeRecord(page.Rows[0], &f); err != nil {
		return fenceRecord{}, Commit{}, err
	}
	return f, Commit{Version: page.Rows[0].Version, Now: page.Now}, nil
}

// fenceVersions are the versions of a cell's fence before and after a campaign.
type fenceVersions struct{ former, own uint64 }

// startTerm runs the term of a cell that began with a record in the background. begun holds when the
// record was made, and a reading of the store's clock after that. Other nodes derive from the record how
// long the term's leases last. suspended was read before that. The term ends with ctx, which may have ended
// during the campaign.
func (n *Node) startTerm(ctx context.Context, c *cell, record leaderRecord, fence fenceVersions, begun storeReading, suspended suspensions) {
	d, number := n.cellTable.Load(), record.Term
	formerLeaderRenewedBy, silent := n.formerLeaders(&c.watch, time.Now())
	t := newTerm(n.cfg, c.index, d.layout, number, fence.own, formerLeaderRenewedBy, n.log, n.metrics)
	t.formerFenceVersion = fence.former
	t.lastRenewal, t.leaseRecordsSince, t.suspensions = begun.at, record.LeaseRecordsSince, suspended
	t.witnesses.inherit(record.Witnesses, t.now)
	if begun.now > 0 {
		t.storeClock = begun
	}
	t.formerOrdersBy = c.watch.formerOrdersBy(time.Now())
	t.unverifiedOrdersBy = lastUnverifiedOrder(record.UnverifiedOrdersEnd, begun, t.formerOrdersBy)
	t.hostUse = n.hostUse
	t.cellLoads, t.notify, t.evacuate, t.askForRoom, t.operator = d.cellLoads, n.notifyCell, n.evacuateWorker, n.askForRoom, &n.operator
	c.term.Store(t)
	if c.confirmations.latestTerm() > number {
		t.end("another node has taken the lead")
	}
	if c.watch.known {
		t.former = c.watch.record
		t.silent = silent
		n.stopSilentLeader(t)
		n.boundSilentLeader(t)
	}
	if n.draining.Load() { // since after the decision to campaign; Drain may not know of the term
		t.post(stepDown{})
	}
	c.leader.Store(&leaderSnapshot{leaderRecord{Term: number, Node: n.cfg.Node, Process: n.cfg.Process, Addr: n.cfg.PeerAddr, MilliCPU: n.cfg.Limits.MilliCPU}, time.Now()})
	n.metrics.leading.Set(float64(n.ledCells()))
	stop := context.AfterFunc(ctx, t.cancel)
	n.wg.Go(func() {
		defer stop()
		t.run()
		if t.loadStalled {
			now := time.Now()
			c.loadStalledAt.Store(&now)
		}
		n.metrics.leading.Set(float64(n.ledCells()))
	})
}

// Leading reports whether this node leads a cell and knows of no newer leader.
func (n *Node) Leading() bool { return n.ledCells() > 0 }
