package dispatch

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Plan returns at most limit commands that are due, one per worker, and marks them as
// in flight. The caller must call HandleResult for each. mayStart is false while the
// gate forbids starts; none is planned then.
func (c *Core) Plan(now time.Time, limit int, mayStart bool) []OutgoingCommand {
	var out []OutgoingCommand
	if mayStart && c.gateClosed {
		c.expediteStarts(now)
	}
	c.gateClosed = !mayStart
	for !c.fenced && len(out) < limit && len(c.schedule) > 0 && !c.schedule[0].due.After(now) {
		w := heap.Pop(&c.schedule).(*workerState)
		c.applyTimeouts(now, w)
		if !w.listed && len(w.attempts) == 0 {
			c.dropIfUnused(w)
			continue
		}
		if w.host.Addr == "" {
			// The worker is known from the journal but is not in the host list yet.
			c.reschedule(w, now.Add(c.cfg.FastPoll))
			continue
		}
		if w.failures > 0 && c.probesInFlight >= max(1, c.cfg.Concurrency/probeDivisor) {
			c.reschedule(w, now.Add(c.cfg.FastPoll))
			continue
		}
		out = append(out, c.buildCommand(now, w, mayStart))
	}
	return out
}

// expediteStarts expedites the commands to workers with pending starts after the gate
// has opened.
func (c *Core) expediteStarts(now time.Time) {
	for _, a := range c.attempts {
		if a.startable() {
			a.worker.startsBlockedUntil = time.Time{}
			c.expedite(a.worker, now)
		}
	}
}

// applyTimeouts applies the rules that need no report: it declares attempts lost, and
// rejects starts that could not be sent to an unresponsive or unlisted worker.
func (c *Core) applyTimeouts(now time.Time, w *workerState) {
	elapsed := c.sinceContact(now, w)
	unsendable := !w.listed || elapsed >= c.cfg.StartTimeout
	for _, a := range w.sortedAttempts() {
		switch {
		case a.phase == phasePending && (a.desired != desiredRun || unsendable && now.Sub(a.queuedAt) >= c.cfg.StartTimeout):
			c.reject(a, rejectReason(a))
		case (a.phase == phaseSent || a.phase == phaseRunning) && c.attemptsLost(now, w):
			c.declareLost(a)
		}
	}
}

func rejectReason(a *attempt) string {
	switch {
	case a.desired != desiredRun:
		return ReasonWithdrawn
	case a.worker.listed && a.worker.failures == 0:
		return ReasonWithheld
	}
	return ReasonUnreachable
}

// sinceContact returns the time since the last report of the worker under this epoch,
// or since the creation of the Core if there was none.
func (c *Core) sinceContact(now time.Time, w *workerState) time.Duration {
	if w.lastContact.IsZero() {
		return now.Sub(c.created)
	}
	return now.Sub(w.lastContact)
}

// attemptsLost reports whether the attempts on w can no longer run (section 5.4):
// LostAfter has elapsed since the last report of the worker, and since a majority
// acknowledged the owner's epoch.
func (c *Core) attemptsLost(now time.Time, w *workerState) bool {
	if c.epochAckedAt.IsZero() || w.inFlight {
		return false
	}
	return now.Sub(c.epochAckedAt) >= c.lostAfter && c.sinceContact(now, w) >= c.lostAfter
}

func (c *Core) declareLost(a *attempt) {
	a.phase, a.lost = phaseEnded, true
	ended := external.EndedAttempt{
		AttemptRef: a.ref, Outcome: model.OutcomeLost, Checkpoint: a.lastCheckpoint(),
		Error: "worker was silent until every lease had run out",
	}
	c.emit(Event{Kind: EventLost, Worker: a.workerID(), Ref: a.ref, Ended: ended})
}

// lastCheckpoint returns the checkpoint reported last, or else the one that the
// attempt started from.
func (a *attempt) lastCheckpoint() string {
	if a.checkpoint != "" {
		return a.checkpoint
	}
	return a.start.Checkpoint
}

// buildCommand builds the next command to w and marks it as in flight.
func (c *Core) buildCommand(now time.Time, w *workerState, mayStart bool) OutgoingCommand {
	cmd := external.WorkerCommand{Cell: c.cfg.Cell, Epoch: c.cfg.Epoch}
	renew := c.renewalDue(now, w)
	for _, a := range w.sortedAttempts() {
		c.addOperations(&cmd, a, renew)
	}
	cmd.Stop = append(cmd.Stop, sortedRefs(w.unplaced)...)
	cmd.Ack = sortedRefs(w.acks)
	if mayStart {
		c.addStarts(now, &cmd, w)
	}
	c.useDigest(now, w, &cmd)
	if w.failures > 0 {
		w.probe = true
		c.probesInFlight++
	}
	w.inFlight, w.lastSent = true, now
	return OutgoingCommand{Host: w.host, Command: cmd, sentAt: now}
}

// useDigest replaces the list of renewals in the command, and the list of running
// attempts in its report, by a digest if the command has no other operations. With 12
// attempts on a worker, these lists are 90% of all bytes sent and received. After a
// digest that did not match, the next renewal lists its attempts: attempts that
// checkpoint more often than every MinInterval never match, and their leases would
// expire.
func (c *Core) useDigest(now time.Time, w *workerState, cmd *external.WorkerCommand) {
	operations := len(cmd.Starts) + len(cmd.Stop) + len(cmd.Checkpoint) + len(cmd.Evict) + len(cmd.Throttle)
	if operations > 0 || w.failures > 0 || w.listRenewals || !w.lastFullReport.Add(c.cfg.FullReport).After(now) {
		return
	}
	for _, a := range w.attempts {
		if a.phase == phaseSent {
			return
		}
	}
	cmd.ExpectedDigest = w.digest()
	cmd.RenewExpected = len(cmd.Renew) > 0
	cmd.Renew = nil
}

// digest returns the digest of the attempts that the worker is known to run.
func (w *workerState) digest() string {
	return external.RunningDigest(func(yield func(external.AttemptRef, string) bool) {
		for ref, a := range w.attempts {
			if a.phase == phaseRunning && !yield(ref, a.lastCheckpoint()) {
				return
			}
		}
	})
}

// renewalDue reports whether the command renews leases. Renewals stop when the worker
// has not responded for L, so that LostAfter also covers a renewal with an unknown
// result that arrives late.
func (c *Core) renewalDue(now time.Time, w *workerState) bool {
	if c.sinceContact(now, w) >= c.cfg.OwnershipLease {
		return false
	}
	return now.Sub(w.lastRenewal) >= c.cfg.TaskLease/3-c.cfg.Poll
}

// addOperations adds all operations on an attempt except its start.
func (c *Core) addOperations(cmd *external.WorkerCommand, a *attempt, renew bool) {
	if a.phase != phaseRunning && a.phase != phaseSent {
		return
	}
	if renew {
		cmd.Renew = append(cmd.Renew, a.ref)
		cmd.RenewFor = c.cfg.TaskLease
	}
	switch a.desired {
	case desiredEvict:
		cmd.Evict = append(cmd.Evict, a.ref)
	case desiredStop:
		cmd.Stop = append(cmd.Stop, a.ref)
	}
	if a.pendingCheckpoint && a.desired == desiredRun {
		cmd.Checkpoint = append(cmd.Checkpoint, a.ref)
	}
	if a.pendingThrottle > 0 {
		cmd.Throttle = append(cmd.Throttle, external.Throttle{AttemptRef: a.ref, Percent: a.pendingThrottle})
	}
}

// addStarts adds the pending starts if the session is at most S/2 old and the worker
// runs no attempt that the owner did not place.
func (c *Core) addStarts(now time.Time, cmd *external.WorkerCommand, w *workerState) {
	if !c.sessionFresh(now, w) || len(w.unplaced) > 0 || !w.listed || now.Before(w.startsBlockedUntil) {
		return
	}
	for _, a := range w.sortedAttempts() {
		if a.startable() && len(cmd.Starts) < maxStartsPerCommand {
			cmd.Starts = append(cmd.Starts, a.start)
		}
	}
	if len(cmd.Starts) > 0 {
		cmd.Session = w.session
	}
}

// startable reports whether the start of the attempt may be sent. A start with an
// unknown result is not repeated: the worker may have run the attempt and restarted
// since then, and the attempt would run twice.
func (a *attempt) startable() bool { return a.phase == phasePending && a.desired == desiredRun }

// sessionFresh reports whether the session is at most S/2 old. Its age is measured
// from the time when the command was sent whose report contained it, which is before
// the worker issued the session.
func (c *Core) sessionFresh(now time.Time, w *workerState) bool {
	ttl := c.cfg.SessionTTL
	if w.sessionTTL > 0 {
		ttl = min(ttl, w.sessionTTL)
	}
	return w.session != "" && now.Sub(w.sessionRequestedAt) <= ttl/2
}

// Authorize checks a planned command again immediately before it is sent. It removes
// the starts if mayStart is false or the session has become too old. It returns false
// if the command must not be sent; the caller then passes WithheldError to
// HandleResult.
func (c *Core) Authorize(now time.Time, out *OutgoingCommand, mayStart, maySend bool) bool {
	if !maySend || c.fenced {
		return false
	}
	w := c.workers[model.WorkerID(out.Host.ID)]
	if len(out.Command.Starts) == 0 || w == nil {
		return true
	}
	if !mayStart || !c.sessionFresh(now, w) {
		c.withholdStarts(now, w, out, mayStart)
		return true
	}
	c.stats.Starts += uint64(len(out.Command.Starts))
	return true
}

func (c *Core) withholdStarts(now time.Time, w *workerState, out *OutgoingCommand, mayStart bool) {
	c.stats.Withheld += uint64(len(out.Command.Starts))
	out.Command.Starts, out.Command.Session = nil, ""
	if !mayStart {
		w.startsBlockedUntil = now.Add(c.cfg.FastPoll)
	}
}

// sortedAttempts returns the attempts in a fixed order, so that equal inputs produce
// equal commands.
func (w *workerState) sortedAttempts() []*attempt {
	out := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return compareRefs(a.ref, b.ref) })
	return out
}

func compareRefs(a, b external.AttemptRef) int {
	if n := strings.Compare(string(a.Task), string(b.Task)); n != 0 {
		return n
	}
	return int(a.Attempt) - int(b.Attempt)
}

func sortedRefs[V any](m map[external.AttemptRef]V) []external.AttemptRef {
	if len(m) == 0 {
		return nil
	}
	out := make([]external.AttemptRef, 0, len(m))
	for ref := range m {
		out = append(out, ref)
	}
	slices.SortFunc(out, compareRefs)
	return out
}
