package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times of callers' requests.
const (
	// replyMargin is the part of a caller's deadline that is reserved for sending the reply.
	replyMargin = 150 * time.Millisecond
	// submitRetryShare is the share of a queue's latency objective for which a submission
	// without effect is retried before it is refused.
	submitRetryShare = 0.25
	// forwardTimeout bounds a request that is forwarded to the leader.
	forwardTimeout = 600 * time.Millisecond
	// acceptRetryPause is the pause between two attempts of a write.
	acceptRetryPause = 15 * time.Millisecond
	// retryShort and retryLong are the retry delays sent to callers that are refused: the
	// short one when the cause may lie with this node alone, the long one when the store is
	// lost.
	retryShort = 1 * time.Second
	retryLong  = 2 * time.Second
	// lostStoreWaitShare is the share of a caller's time for which a submission whose outcome
	// is unknown waits for a lost store to answer again. Callers repeat such a submission a few
	// times at once; a store outage outlasts that, but not their time.
	lostStoreWaitShare = 0.1
	// stateTimeout bounds a query to the leader; for a job's state the store is read after it.
	stateTimeout = 250 * time.Millisecond
	// renewalMaxAge is how long after it was seen a renewal is used for the pending counts.
	// The counts may be 2 s old, and a renewal may take a second to reach this node.
	renewalMaxAge = 1000 * time.Millisecond
	// pendingCacheAge is the maximum age of cached counts.
	pendingCacheAge = 400 * time.Millisecond
	// pendingCacheMaxAge is their maximum age when the leader does not answer.
	pendingCacheMaxAge = 1800 * time.Millisecond
)

// Bounds of the attempts to store a job. An attempt without an answer is repeated: if the
// first one wrote the row, the repetition finds it and the job counts as accepted.
const (
	acceptTimeout    = 700 * time.Millisecond
	acceptTimeoutMax = 2200 * time.Millisecond
	// acceptTries is the number of attempts without an answer after which the outcome is
	// reported as unknown.
	acceptTries = 2
	// slowStoreLatency is the transaction time from which the store counts as slow. A slow
	// store gets one attempt with acceptTimeoutMax: repetitions would make it slower still.
	slowStoreLatency = 250 * time.Millisecond
)

// Submit implements Intake. A job is accepted when its row is stored.
func (n *Node) Submit(ctx context.Context, q Queue, id string, spec Spec) error {
	start := time.Now()
	tries, err := n.acceptJob(ctx, q, id, spec)
	n.observeRequest("submit", id, q, start, err, tries)
	return err
}

func (n *Node) acceptJob(ctx context.Context, q Queue, id string, spec Spec) (tries int, err error) {
	if err := n.cfg.Limits.checkProgress(spec); err != nil {
		return 0, err
	}
	d, err := n.knownCells("retry later")
	if err != nil {
		return 0, err
	}
	c := d.cellOf(id)
	row := Row{RowID: d.layout.jobRow(id), Value: encode(jobRecord{Queue: q.Name, Spec: spec, AcceptedAt: n.clock.estimate(), Settings: q.settings()})}
	if len(row.Value) > n.cfg.Limits.RowBytes && n.cfg.Limits.RowBytes > 0 {
		return 0, model.Errorf(model.KindInvalid, "send smaller jobs", "job of %d bytes exceeds a row", len(row.Value))
	}
	waitUntil, inDoubt := lostStoreWaitEnd(ctx), false
	for {
		made, err := n.tryAccept(ctx, q, c, row)
		tries += made
		if inDoubt && model.IsKind(err, model.KindUnavailable) {
			return tries, unknownOutcome(err) // an earlier attempt may still take effect
		}
		if !model.IsKind(err, model.KindUnknown) || !n.store.waitRegained(ctx, waitUntil) {
			return tries, err
		}
		inDoubt = true
	}
}

// lostStoreWaitEnd returns until when a submission waits for a lost store.
func lostStoreWaitEnd(ctx context.Context) time.Time {
	now := time.Now()
	if d, ok := ctx.Deadline(); ok {
		return now.Add(time.Duration(lostStoreWaitShare * float64(d.Sub(now))))
	}
	return now
}

// tryAccept stores the row of a job, or has the leader of its cell store it. Its errors tell
// whether this attempt may have had an effect.
func (n *Node) tryAccept(ctx context.Context, q Queue, c *cell, row Row) (tries int, err error) {
	if n.store.lost() {
		// This attempt has written nothing yet, so a refusal by the leader does not prevent it.
		if err := n.forwardToLeader(ctx, c, methodAccept, newRowParams(c, row)); !model.IsKind(err, model.KindUnavailable) {
			return 1, unknownOutcome(err)
		}
	}
	tries, err = n.storeJob(ctx, c, row, time.Duration(submitRetryShare*float64(q.Objective)))
	if !model.IsKind(err, model.KindUnavailable) {
		return tries, err
	}
	if err := n.forwardToLeader(ctx, c, methodAccept, newRowParams(c, row)); !model.IsKind(err, model.KindUnavailable) {
		return tries + 1, unknownOutcome(err)
	}
	after := retryShort
	if n.store.lost() {
		after = retryLong
	}
	return tries, &RetryError{after, err}
}

// knownCells returns the cells, or the refusal for callers while they are not known yet.
func (n *Node) knownCells(remedy string) (*cellTable, error) {
	if d := n.cellTable.Load(); d != nil {
		return d, nil
	}
	return nil, retryAfter(retryShort, model.KindUnavailable, remedy, "this node does not know the cells yet")
}

// storeJob writes the row of a job, unless the job has been cancelled. KindUnavailable means that it
// is not stored and will not be; KindUnknown means that it may be stored.
func (n *Node) storeJob(ctx context.Context, c *cell, row Row, retryFor time.Duration) (tries int, err error) {
	start := time.Now()
	cancellation := RowID{row.Table, row.Part, row.Key + cancelSuffix}
	tx := Transaction{Expect: []Expectation{{row.RowID, 0}, {cancellation, 0}}, Puts: []Row{row}}
	unanswered := 0
	timeout, limit := n.store.acceptBounds()
	for {
		tries++
		sent := time.Now()
		call, cancel := acceptContext(ctx, timeout)
		result, err := n.cfg.Store.Commit(call, tx)
		timedOut := call.Err() != nil
		cancel()
		var conflict *ConflictError
		switch {
		case err == nil:
			n.recordStoreAnswer()
			n.store.recordLatency(time.Since(sent))
			n.clock.update(result.Now)
			row.Version = result.Version
			go n.notifyLeader(c, row)
			return tries, nil
		case errors.As(err, &conflict):
			n.recordStoreAnswer()
			n.store.recordLatency(time.Since(sent))
			if conflict.lists(cancellation) && !conflict.lists(row.RowID) {
				return tries, model.Errorf(model.KindUnavailable, "send the job under another id", "job %s was cancelled before it was accepted", row.Key)
			}
			return tries, nil // stored before, by this or by another node
		case model.IsKind(err, model.KindInvalid):
			return tries, err
		case model.IsKind(err, model.KindUnknown):
			unanswered++
			if !timedOut {
				n.recordStoreLoss(err) // the connection broke; a slow store may still answer
			}
			// A store that is lost to this node gets one attempt: the caller retries, possibly
			// at a node that reaches the store.
			if unanswered >= limit || ctx.Err() != nil || n.store.lost() {
				return tries, unknownOutcome(err)
			}
		case unanswered > 0 && (time.Since(start) > acceptTries*acceptTimeout || ctx.Err() != nil):
			return tries, unknownOutcome(err)
		case unanswered == 0 && time.Since(start) > retryFor:
			return tries, model.Wrap(model.KindUnavailable, err, "retry later", "the store refuses")
		}
		time.Sleep(acceptRetryPause)
	}
}

// unknownOutcome wraps the error of a write that may take effect; nil stays nil.
func unknownOutcome(err error) error {
	if err == nil {
		return nil
	}
	return model.Wrap(model.KindUnknown, err, "send the same id again", "the job may have been accepted")
}

// newRowParams returns the parameters of a call about a row that is not stored yet.
func newRowParams(c *cell, row Row) rowParams {
	return rowParams{Cell: c.index, Key: row.Key, Part: row.Part, Value: row.Value}
}

// forwardToLeader asks a cell's leader to make a change in the store that this node cannot
// make. KindUnavailable means that the change is not made and will not be.
func (n *Node) forwardToLeader(ctx context.Context, c *cell, method string, params any) error {
	leader := c.leader.Load()
	if leader == nil || leader.Node == n.cfg.Node || !c.leaderCalls.usable(leader.Term) {
		return model.Errorf(model.KindUnavailable, "retry later", "no leader to forward to")
	}
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	err := n.cfg.Peers.Call(call, leader.Addr, method, params, nil)
	if model.IsKind(err, model.KindUnknown) {
		c.leaderCalls.recordFailure(leader.Term)
	}
	return err
}

// acceptContext bounds an attempt by its timeout and by the caller's deadline less
// replyMargin.
func acceptContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	until := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Add(-replyMargin).Before(until) {
		until = d.Add(-replyMargin)
	}
	// A caller that disconnects must not cancel the write, as its outcome would be unknown.
	return context.WithDeadline(context.WithoutCancel(ctx), until)
}

// State implements Intake.
func (n *Node) State(ctx context.Context, q Queue, id string) (State, error) {
	start := time.Now()
	state, source, err := n.state(ctx, id)
	n.observeRequest("state", id, q, start, err, 1)
	if err == nil && time.Since(start) > stateTimeout {
		n.log.WithFields(logrus.Fields{"decision": "state", "job": id, "choice": state, "source": source, "took_ms": time.Since(start).Milliseconds()}).Info("job state answered slowly")
	}
	return state, err
}

func (n *Node) state(ctx context.Context, id string) (State, string, error) {
	d, err := n.knownCells("ask again")
	if err != nil {
		return "", "", err
	}
	c := d.cellOf(id)
	if s, ok := n.queryLeaderState(ctx, c, id); ok {
		return s, "leader", nil
	}
	s, err := n.storedState(ctx, d, id)
	return s, "store", err
}

// storedState reads a job's state from its rows, following its moves between cells.
func (n *Node) storedState(ctx context.Context, d *cellTable, id string) (State, error) {
	c, before := d.cellOf(id), StateQueued
	for {
		state, moved, err := n.storedCellState(ctx, d.layout.jobRow(id), progressRow(c.part, id))
		if state == StateQueued {
			state = before // the cell has stored nothing of the job yet
		}
		before = state
		if err != nil || moved == 0 || state.Final() || moved > len(d.cells) {
			return state, err
		}
		c = d.cells[moved-1]
	}
}

// storedCellState reads a job's row and its progress in one cell. moved is one more than the
// cell to which the job has moved from there; 0 for none.
func (n *Node) storedCellState(ctx context.Context, jobRowID, progressRowID RowID) (state State, moved int, err error) {
	id := jobRowID.Key
	var jobs, progress Page
	var errs [2]error
	var wg sync.WaitGroup
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	wg.Go(func() {
		jobs, errs[0] = n.cfg.Store.List(call, jobRowID.Table, jobRowID.Part, id, id+"~", 2)
	})
	wg.Go(func() {
		progress, errs[1] = n.cfg.Store.List(call, progressRowID.Table, progressRowID.Part, id, id+"\x00", 1)
	})
	wg.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		n.store.recordFailure()
		return "", 0, &RetryError{retryShort, model.Wrap(model.KindUnavailable, err, "ask again", "neither leader nor store answers")}
	}
	n.recordStoreAnswer()
	return stateOf(id, jobs.Rows, progress.Rows)
}

// stateOf derives a job's state from its rows and its progress in one cell.
func stateOf(id string, jobs, progress []Row) (state State, moved int, err error) {
	state, found := StateQueued, false
	for _, row := range jobs {
		found = found || row.Key == id
	}
	if !found {
		return "", 0, model.Errorf(model.KindGone, "check the id", "no job %s", id)
	}
	for _, row := range progress {
		var p progressRecord
		if row.Key != id {
			continue
		}
		if err := decodeRecord(row, &p); err != nil {
			return "", 0, err
		}
		state, moved = p.State, p.MovedTo
	}
	return state, moved, nil
}

// Cancel implements Intake. The cancellation is acknowledged when it is stored.
func (n *Node) Cancel(ctx context.Context, q Queue, id string) error {
	start := time.Now()
	err := n.cancelJob(ctx, id)
	n.observeRequest("cancel", id, q, start, err, 1)
	return err
}

func (n *Node) cancelJob(ctx context.Context, id string) error {
	d, err := n.knownCells("send the cancellation again")
	if err != nil {
		return err
	}
	known := false
	if n.store.lost() {
		c := d.cellOf(id)
		if err := n.forwardToLeader(ctx, c, methodCancel, stateParams{c.index, id}); err == nil || model.IsKind(err, model.KindGone) {
			return err
		}
	}
	for try := 0; ; try++ {
		err := n.tryCancel(ctx, d, id, &known)
		if err == nil || model.IsKind(err, model.KindGone) {
			return err
		}
		n.store.recordFailure()
		if d, ok := ctx.Deadline(); ctx.Err() != nil || (ok && time.Until(d) < 2*replyMargin) || try >= 4 {
			return &RetryError{retryShort, model.Wrap(model.KindUnavailable, err, "send the cancellation again", "cancellation is not confirmed")}
		}
		time.Sleep(acceptRetryPause)
	}
}

// tryCancel stores the cancellation of a job. Of a job that does not exist it is stored too: the row
// of the job may still be on its way, and would be accepted after the caller was told that there is
// none.
func (n *Node) tryCancel(ctx context.Context, d *cellTable, id string, known *bool) error {
	timeout, _ := n.store.acceptBounds()
	call, cancel := acceptContext(ctx, timeout)
	defer cancel()
	if !*known {
		exists, err := n.jobExists(call, d.layout, id)
		if err != nil {
			return err
		}
		if !exists {
			return model.Errorf(model.KindGone, "check the id", "no job %s", id)
		}
		*known = true
	}
	row := Row{RowID: d.layout.cancelRow(id), Value: []byte{1}}
	if _, err := n.cfg.Store.Commit(call, Transaction{Puts: []Row{row}}); err != nil {
		return err
	}
	go n.notifyLeader(d.cellOf(id), row)
	return nil
}

// jobExists reports whether the row of a job is stored. If it returns false, it never will be: the
// cancellation is.
func (n *Node) jobExists(ctx context.Context, l *layout, id string) (bool, error) {
	job, cancellation := l.jobRow(id), l.cancelRow(id)
	page, err := n.cfg.Store.List(ctx, job.Table, job.Part, id, id+"~", 2)
	if err != nil {
		return false, err
	}
	n.recordStoreAnswer()
	if len(page.Rows) > 0 {
		return page.Rows[0].Key == id, nil
	}
	_, err = n.cfg.Store.Commit(ctx, Transaction{Expect: []Expectation{{job, 0}}, Puts: []Row{{RowID: cancellation, Value: []byte{1}}}})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return true, nil // stored since
	}
	return false, err
}

// Pending implements Intake.
func (n *Node) Pending(ctx context.Context, q Queue) (int, error) {
	start := time.Now()
	count, err := n.countPending(ctx, q.Name)
	n.observeRequest("pending", "", q, start, err, 1)
	return count, err
}

// pendingCache caches the pending counts that leaders returned, by cell.
type pendingCache struct {
	mu    sync.Mutex
	cells map[int]pendingCount
}

// pendingCount holds pending counts by queue, and when they were requested.
type pendingCount struct {
	counts map[string]int
	at     time.Time
}

func (c *pendingCache) get(cell int, age time.Duration) (map[string]int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.cells[cell]
	if p.counts == nil || time.Since(p.at) > age {
		return nil, false
	}
	return p.counts, true
}

func (c *pendingCache) set(cell int, p pendingCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cells == nil {
		c.cells = map[int]pendingCount{}
	}
	if p.at.After(c.cells[cell].at) {
		c.cells[cell] = p
	}
}

// countPending adds up the pending counts of a queue in all cells.
func (n *Node) countPending(ctx context.Context, queue string) (int, error) {
	d, err := n.knownCells("ask again")
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, c := range d.cells {
		counts, ok := n.cellPending(ctx, c)
		if !ok {
			return 0, retryAfter(retryShort, model.KindUnavailable, "ask again", "the leader of cell %d does not answer", c.index)
		}
		sum += counts[queue]
	}
	return sum, nil
}

// cellPending returns the pending counts of a cell: those of the leader's last renewal, which
// need no call, else cached ones, else those that the leader returns.
func (n *Node) cellPending(ctx context.Context, c *cell) (map[string]int, bool) {
	if l := c.leader.Load(); l != nil && l.Loaded && time.Since(l.seenAt) < renewalMaxAge {
		return l.Pending, true
	}
	if counts, ok := n.pending.get(c.index, pendingCacheAge); ok {
		return counts, true
	}
	asked := time.Now()
	if counts, ok := n.queryLeaderPending(ctx, c); ok {
		n.pending.set(c.index, pendingCount{counts, asked})
		return counts, true
	}
	return n.pending.get(c.index, pendingCacheMaxAge)
}

// observeRequest counts a request. It logs those that failed or that change a job.
func (n *Node) observeRequest(kind, id string, q Queue, start time.Time, err error, tries int) {
	took := time.Since(start)
	result := "ok"
	if err != nil {
		result = string(model.KindOf(err))
	}
	n.metrics.requests.WithLabelValues(kind, result).Inc()
	n.metrics.requestSeconds.WithLabelValues(kind).Observe(took.Seconds())
	if err == nil && kind != "submit" && kind != "cancel" {
		return
	}
	entry := n.log.WithFields(logrus.Fields{"decision": kind, "job": id, "queue": q.Name, "choice": result,
		"took_ms": took.Milliseconds(), "tries": tries})
	if err != nil && !model.IsKind(err, model.KindGone) {
		entry.WithError(err).Warn("request failed")
		return
	}
	entry.Info("request served")
}
