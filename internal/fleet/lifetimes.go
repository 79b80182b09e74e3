package fleet

import (
	"time"

	"github.com/sirupsen/logrus"
)

// A worker that starts again keeps its id and, as a rule, its address. An order that was sent to
// the former lifetime may be carried out by the new one, at once or late, and its answer does not
// tell which of them did. Only reports and entries of the list name the lifetime. A run has
// certainly ended with a lifetime only if a report of that lifetime has listed it. The others pass
// to the new lifetime: its reports and its answers to stop orders settle them. Starts reach no other
// lifetime than the one that is meant (see Workers), but those of nodes of earlier versions may.

// isOtherLifetime reports whether a report with born is that of another lifetime than w. An entry may name
// none though the reports do.
func (w *worker) isOtherLifetime(born int64) bool { return born != 0 && born != w.info.Born }

// replaceByReport begins the lifetime that has answered a poll of w. Nothing starts on it before
// its entry tells its capacity.
func (t *term) replaceByReport(w *worker, born int64) *worker {
	if l := w.laterEntry; l != nil && l.Born == born {
		return t.replaceWorker(w, *l)
	}
	info := w.info
	info.Born, info.Draining, info.Leaving = born, false, 0
	next := t.replaceWorker(w, info)
	next.listed = false
	return next
}

// replaceWorker begins a new lifetime of a worker. The runs that the former one has listed have
// ended, and those whose start is held back never began; the others pass to the new one.
func (t *term) replaceWorker(w *worker, info WorkerInfo) *worker {
	next := newWorker(info)
	// An entry of another writer may begin a lifetime that ends with the next report of w.
	next.inheritedLeaseEnd, next.longestLease = w.leaseEnd(), w.longestLease
	t.observeEnd(w)
	t.recordCrash(w, true, true)
	lost := 0
	for _, r := range w.runs {
		if r.listed || r.state == runHeld {
			t.markLost(r, reasonRestarted)
			lost++
		} else {
			t.passRun(r, next)
		}
	}
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": info.Worker, "choice": "restarted", "runs": lost, "in_doubt": len(next.runs),
		"born": info.Born, "former": w.info.Born}).Warn("worker restarted")
	t.markUnused(w)
	t.workers[info.Worker] = next
	t.planDue = true
	if len(next.runs) > 0 || (w.inherited && !w.answered) {
		t.inheritOrders(w, next)
	}
	return next
}

// inheritOrders makes a new lifetime answer for the orders that were sent to the former one: it may
// have carried them out.
func (t *term) inheritOrders(former, next *worker) {
	next.inherited, next.inheritedAt, next.leaseSentBy = true, t.now, former.leaseSentBy
	next.ordersArriveBy = former.ordersArriveBy
	for _, r := range next.runs {
		if arriveBy := former.leaseSentBy.Add(maxOrderDelay); r.sentTo == 0 && arriveBy.After(next.ordersArriveBy) {
			next.ordersArriveBy = arriveBy
		}
	}
	t.extendByOrders(next, latest(t.lastOrder(former), next.ordersArriveBy))
	t.usedRowsToPut[next.info.Lifetime] = t.usedRecord(next)
}

// lastOrder returns when the last order may have been sent to a worker that another lifetime has followed.
func (t *term) lastOrder(w *worker) time.Time {
	if w.inherited && !w.answered && w.leaseSentBy.IsZero() {
		return t.formerLeaderRenewedBy.Add(maxOrderAge)
	}
	return t.now
}

// extendByOrders bounds the leases that orders for a former lifetime may have set in w by a last one. They end at
// times on the clock of that lifetime, so only the worker's own limit bounds them.
func (t *term) extendByOrders(w *worker, lastOrder time.Time) {
	w.longestLease, w.leaseEndAssumed = t.workerLeaseMax(), false
	w.inheritedLeaseEnd = latest(w.inheritedLeaseEnd, lastOrder.Add(leaseTime(w.longestLease)))
}

// usedRecord returns the row of tableUsed of w without a lease record.
func (t *term) usedRecord(w *worker) usedRecord {
	u := w.usedIdentity()
	if (w.longestLease > maxLease || !w.ordersArriveBy.IsZero()) && t.now.Before(w.inheritedLeaseEnd) && !t.storeClock.at.IsZero() {
		u.FormerLeaseEnd = t.storeClock.upperBound(w.inheritedLeaseEnd)
	}
	return u
}

// workerLeaseMax bounds a lease whose deadline means nothing on the worker's clock.
func (t *term) workerLeaseMax() time.Duration { return max(t.cfg.Bounds.LeaseMax, maxLease) }

// extendLease returns the deadline of a start that is sent to w now.
func (t *term) extendLease(w *worker) time.Duration {
	w.leaseSentBy = t.now.Add(t.answerTimeout.timeout())
	return w.extendLease(t.now, t.leaseLength())
}

// offerLease returns the deadline of a poll that is sent to w now. It extends the lease if the poll's
// connection turns out to be one to the lifetime that w is; see settleOffer.
func (t *term) offerLease(w *worker) time.Duration {
	w.leaseSentBy = t.now.Add(t.answerTimeout.timeout())
	w.offeredDeadline = w.deadline(t.now, t.leaseLength())
	return w.offeredDeadline
}

// settleOffer records what the poll in flight has sent of its order.
func (w *worker) settleOffer(e pollReply) {
	w.offeredDeadline, w.leaseDeadline = 0, max(w.leaseDeadline, e.report.Deadline)
	switch {
	case e.err != nil || e.report.Verdict != StartRunning:
	case e.report.Acknowledged != e.order.Acknowledged || e.report.Deadline != e.order.Deadline:
		w.withheld++ // its connection was not known to be one to the lifetime that is meant
	default:
		w.withheld = 0
	}
}

// runLeaseEnd returns when the lease of a run has certainly ended. If neither a report nor the
// connection has told which lifetime got the start order, the worker may have started again unnoticed
// before that. Its clock begins anew then, so that only its own limit bounds the leases.
func (t *term) runLeaseEnd(r *run) time.Time {
	w := r.worker
	end := w.leaseEnd()
	if r.listed || r.sentTo != 0 || r.state == runHeld || w.leaseSentBy.IsZero() {
		return end
	}
	if other := w.leaseSentBy.Add(maxOrderDelay + leaseTime(t.workerLeaseMax())); other.After(end) {
		return other
	}
	return end
}

// lastLeaseEnd returns when the leases of all runs of w have certainly ended.
func (t *term) lastLeaseEnd(w *worker) time.Time {
	end := w.leaseEnd()
	for _, r := range w.runs {
		if e := t.runLeaseEnd(r); e.After(end) {
			end = e
		}
	}
	return end
}

// loseLapsedRuns drops the runs of a silent worker whose leases have certainly ended.
func (t *term) loseLapsedRuns(w *worker) {
	var lapsed []*run
	for _, r := range w.runs {
		if t.confirmedAfter(t.runLeaseEnd(r)) {
			lapsed = append(lapsed, r)
		}
	}
	if len(lapsed) == 0 {
		return
	}
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "lapsed", "runs": len(lapsed), "in_doubt": len(w.runs) - len(lapsed),
		"failures": w.unansweredCalls, "answered_ms_ago": t.now.Sub(w.clockAt).Milliseconds()}).Warn("leases of an unreachable worker have ended")
	t.recordCrash(w, true, false)
	w.endObserved = w.endObserved || w.hasSuspect()
	for _, r := range lapsed {
		t.withdrawCrashInDoubt(r)
		t.markLost(r, reasonLeaseOver)
	}
}

// restoreFormerLeases applies the end of leases that orders for a former lifetime may have set.
// storeNow is a reading of the store's clock that had arrived by readAt.
func (t *term) restoreFormerLeases(w *worker, formerEnd, storeNow time.Duration, readAt time.Time) {
	if formerEnd == 0 {
		return
	}
	w.longestLease, w.leaseEndAssumed = t.workerLeaseMax(), false
	if end := readAt.Add(formerEnd - storeNow); end.After(w.inheritedLeaseEnd) {
		w.inheritedLeaseEnd = end
	}
}

// passRun passes a run in doubt to the next lifetime of its worker. Orders for the run that have no
// answer yet, and answers to former ones, prove nothing about that lifetime.
func (t *term) passRun(r *run, next *worker) {
	r.withdraw()
	r.worker.detach(r, t.now)
	r.crashInDoubt, r.passed = r.crashed && r.sentTo == 0, true
	r.worker = next
	r.stopInFlight, r.stopAnswered, r.paceInFlight = false, false, false
	if r.state == runSent {
		r.state, r.stateSince = runUnconfirmed, t.now
	}
	if r.step != nil && r.step.Filler {
		r.pace, r.paceUnknown = 0, true
		r.paceClock.order(0, t.now)
	}
	next.attach(r, t.now)
}

// applyFormerStartReply applies the answer to a start order that was sent before the worker started
// again. It tells whether the order was carried out, but not by which lifetime.
func (t *term) applyFormerStartReply(r *run, e startReply) {
	switch {
	case notSent(e.err):
		t.markLost(r, reasonNotSent)
	case e.err != nil: // the run stays in doubt
	case e.reply.Verdict == StartRunning:
		t.confirmStart(r)
	case e.reply.Verdict == StartFenced:
		t.end("a worker has seen a higher fence")
	default:
		t.markLost(r, reasonRefused)
	}
}

// Earlier versions sent the deadline of a poll to whichever lifetime answered. During an upgrade a worker may
// have taken one from a former leader, or take it until it has answered this term.

// lastUnverifiedOrder returns the local time by which the last order of such a version has arrived, for a
// term that began with a record. formerOrdersBy is when the former leader gave its last order.
func lastUnverifiedOrder(end *time.Duration, begun storeReading, formerOrdersBy time.Time) time.Time {
	switch {
	case end == nil || *end > 0 && begun.now == 0:
		return formerOrdersBy.Add(maxOrderAge + answerTimeoutMax + maxOrderDelay)
	case *end == 0:
		return time.Time{}
	}
	return time.Now().Add(*end - begun.now)
}

// unverifiedOrdersEnd returns the term's UnverifiedOrdersEnd for the next one. It is nil until the store's
// clock is known.
func (t *term) unverifiedOrdersEnd() *time.Duration {
	switch {
	case t.now.After(t.unverifiedOrdersBy.Add(leaseTime(t.workerLeaseMax()))):
		return new(time.Duration)
	case t.storeClock.at.IsZero():
		return nil
	}
	end := t.storeClock.upperBound(t.unverifiedOrdersBy)
	return &end
}

// fenceWorker bounds the leases of earlier terms on a worker that has answered this one. Deadlines
// that were meant for a former lifetime are bounded by the worker's own limit only.
func (t *term) fenceWorker(w *worker) {
	if last := earliest(t.now, t.unverifiedOrdersBy); !w.fenced && t.now.Before(last.Add(leaseTime(t.workerLeaseMax()))) {
		t.extendByOrders(w, last)
	}
	w.fenced = true
	w.fenceFormerLeases(t.now)
}
