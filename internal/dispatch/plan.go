package dispatch

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Plan returns at most limit commands that are due, one for each worker, and
// marks them as in flight: each needs a call of Done. mayStart is false while
// the gate forbids starts, so that none is planned in vain.
func (c *Core) Plan(now time.Time, limit int, mayStart bool) []Outgoing {
	var out []Outgoing
	if mayStart && c.gateClosed {
		c.hastenStarts(now)
	}
	c.gateClosed = !mayStart
	for !c.fenced && len(out) < limit && len(c.schedule) > 0 && !c.schedule[0].due.After(now) {
		w := heap.Pop(&c.schedule).(*workerState)
		c.expire(now, w)
		if !w.listed && len(w.attempts) == 0 {
			c.dropIfUnused(w)
			continue
		}
		if w.host.Addr == "" {
			// The journal names a worker that the host list has not shown yet.
			c.reschedule(w, now.Add(c.cfg.FastPoll))
			continue
		}
		if w.failures > 0 && c.probing >= max(1, c.cfg.Concurrency/probeShare) {
			c.reschedule(w, now.Add(c.cfg.FastPoll))
			continue
		}
		out = append(out, c.command(now, w, mayStart))
	}
	return out
}

// hastenStarts brings the messages to workers with waiting starts forward, after
// the gate has opened.
func (c *Core) hastenStarts(now time.Time) {
	for _, a := range c.attempts {
		if a.startable() {
			a.worker.blockedUntil = time.Time{}
			c.hasten(a.worker, now)
		}
	}
}

// expire applies the rules that need no report: lost attempts, and starts that a
// silent worker could not be sent.
func (c *Core) expire(now time.Time, w *workerState) {
	silent := c.silence(now, w)
	unsendable := !w.listed || silent >= c.cfg.StartTimeout
	for _, a := range w.ordered() {
		switch {
		case a.phase == phasePending && (a.want != wantRun || unsendable && now.Sub(a.queuedAt) >= c.cfg.StartTimeout):
			c.reject(a, reasonOf(a))
		case (a.phase == phaseSent || a.phase == phaseRunning) && c.lost(now, w):
			c.lose(a)
		}
	}
}

func reasonOf(a *attempt) string {
	switch {
	case a.want != wantRun:
		return ReasonWithdrawn
	case a.worker.listed && a.worker.failures == 0:
		return ReasonWithheld
	}
	return ReasonUnreachable
}

// silence returns how long the worker has not answered under this epoch.
func (c *Core) silence(now time.Time, w *workerState) time.Duration {
	if w.lastContact.IsZero() {
		return now.Sub(c.created)
	}
	return now.Sub(w.lastContact)
}

// lost reports whether the attempts on w can no longer run (5.4): the bound has
// passed since the last contact, and since a majority knew the owner's epoch.
func (c *Core) lost(now time.Time, w *workerState) bool {
	if c.ackedAt.IsZero() || w.inFlight {
		return false
	}
	return now.Sub(c.ackedAt) >= c.lostAfter && c.silence(now, w) >= c.lostAfter
}

func (c *Core) lose(a *attempt) {
	a.phase, a.lost = phaseEnded, true
	ended := external.EndedAttempt{
		AttemptRef: a.ref, Outcome: model.OutcomeLost, Checkpoint: a.lastCheckpoint(),
		Error: "worker was silent until every lease had run out",
	}
	c.emit(Event{Kind: EventLost, Worker: a.id(), Ref: a.ref, Ended: ended})
}

// lastCheckpoint is the one reported last, or the one that the attempt began from.
func (a *attempt) lastCheckpoint() string {
	if a.checkpoint != "" {
		return a.checkpoint
	}
	return a.start.Checkpoint
}

// command builds the next command to w and marks it as in flight.
func (c *Core) command(now time.Time, w *workerState, mayStart bool) Outgoing {
	cmd := external.WorkerCommand{Cell: c.cfg.Cell, Epoch: c.cfg.Epoch}
	renew := c.renewalDue(now, w)
	for _, a := range w.ordered() {
		c.addOrders(&cmd, a, renew)
	}
	cmd.Stop = append(cmd.Stop, sortedRefs(w.unknown)...)
	cmd.Ack = sortedRefs(w.acks)
	if mayStart {
		c.addStarts(now, &cmd, w)
	}
	c.shorten(now, w, &cmd)
	if w.failures > 0 {
		w.probe = true
		c.probing++
	}
	w.inFlight, w.lastSent = true, now
	return Outgoing{Host: w.host, Command: cmd, sentAt: now}
}

// shorten replaces the list of renewals, and that of running attempts in the
// report, by a digest when the command orders nothing else. With 12 attempts on a
// worker, the lists are nine tenths of all bytes. After a digest that did not
// match, the list follows: attempts that checkpoint more often than every
// MinInterval never match, and their leases would run out.
func (c *Core) shorten(now time.Time, w *workerState, cmd *external.WorkerCommand) {
	orders := len(cmd.Starts) + len(cmd.Stop) + len(cmd.Checkpoint) + len(cmd.Evict) + len(cmd.Throttle)
	if orders > 0 || w.failures > 0 || w.listRenewals || !w.lastFull.Add(c.cfg.FullReport).After(now) {
		return
	}
	for _, a := range w.attempts {
		if a.phase == phaseSent {
			return
		}
	}
	cmd.Expect = w.digest()
	cmd.RenewExpected = len(cmd.Renew) > 0
	cmd.Renew = nil
}

// digest identifies the attempts that the worker is known to run.
func (w *workerState) digest() string {
	return external.RunningDigest(func(yield func(external.AttemptRef, string) bool) {
		for ref, a := range w.attempts {
			if a.phase == phaseRunning && !yield(ref, a.lastCheckpoint()) {
				return
			}
		}
	})
}

// renewalDue reports whether the command renews leases. Renewals end when the
// worker has been silent for L, so that LostAfter also covers a renewal whose
// result is unknown and which arrives late.
func (c *Core) renewalDue(now time.Time, w *workerState) bool {
	if c.silence(now, w) >= c.cfg.OwnershipLease {
		return false
	}
	return now.Sub(w.lastRenewal) >= c.cfg.TaskLease/3-c.cfg.Poll
}

// addOrders adds everything but the start of an attempt.
func (c *Core) addOrders(cmd *external.WorkerCommand, a *attempt, renew bool) {
	if a.phase != phaseRunning && a.phase != phaseSent {
		return
	}
	if renew {
		cmd.Renew = append(cmd.Renew, a.ref)
		cmd.RenewFor = c.cfg.TaskLease
	}
	switch a.want {
	case wantEvict:
		cmd.Evict = append(cmd.Evict, a.ref)
	case wantStop:
		cmd.Stop = append(cmd.Stop, a.ref)
	}
	if a.saveNow && a.want == wantRun {
		cmd.Checkpoint = append(cmd.Checkpoint, a.ref)
	}
	if a.throttle > 0 {
		cmd.Throttle = append(cmd.Throttle, external.Throttle{AttemptRef: a.ref, Percent: a.throttle})
	}
}

// addStarts adds starts when the session is at most S/2 old and nothing that the
// owner did not place occupies the worker.
func (c *Core) addStarts(now time.Time, cmd *external.WorkerCommand, w *workerState) {
	if !c.sessionFresh(now, w) || len(w.unknown) > 0 || !w.listed || now.Before(w.blockedUntil) {
		return
	}
	for _, a := range w.ordered() {
		if a.startable() && len(cmd.Starts) < maxStartsPerCommand {
			cmd.Starts = append(cmd.Starts, a.start)
		}
	}
	if len(cmd.Starts) > 0 {
		cmd.Session = w.session
	}
}

// startable reports whether the start is to be sent. A start whose result is
// unknown is not repeated: the worker may have run it and restarted since, and
// the attempt would run twice.
func (a *attempt) startable() bool { return a.phase == phasePending && a.want == wantRun }

// sessionFresh reports whether the session is at most S/2 old. Its age counts
// from the start of the exchange that brought it, which is before its issue.
func (c *Core) sessionFresh(now time.Time, w *workerState) bool {
	ttl := c.cfg.SessionTTL
	if w.sessionTTL > 0 {
		ttl = min(ttl, w.sessionTTL)
	}
	return w.session != "" && now.Sub(w.sessionSent) <= ttl/2
}

// Release makes the last decision about a planned command immediately before it
// is sent. It withdraws the starts when mayStart is false or the session has aged
// meanwhile, and reports false when nothing may be sent at all; Done follows with
// Withheld in that case.
func (c *Core) Release(now time.Time, out *Outgoing, mayStart, maySend bool) bool {
	if !maySend || c.fenced {
		return false
	}
	w := c.workers[model.WorkerID(out.Host.ID)]
	if len(out.Command.Starts) == 0 || w == nil {
		return true
	}
	if !mayStart || !c.sessionFresh(now, w) {
		c.withhold(now, w, out, mayStart)
		return true
	}
	c.stats.Starts += uint64(len(out.Command.Starts))
	return true
}

func (c *Core) withhold(now time.Time, w *workerState, out *Outgoing, mayStart bool) {
	c.stats.Withheld += uint64(len(out.Command.Starts))
	out.Command.Starts, out.Command.Session = nil, ""
	if !mayStart {
		w.blockedUntil = now.Add(c.cfg.FastPoll)
	}
}

// ordered returns the attempts in a fixed order, so that equal inputs give equal
// commands.
func (w *workerState) ordered() []*attempt {
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
