package dispatch

import (
	"fmt"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// errWithheld is the result of a command that Authorize did not permit.
var errWithheld = model.Errorf(model.KindStale, "wait until the ownership lease is renewed", "command withheld")

// WithheldError returns the error to pass to HandleResult when Authorize returned
// false.
func WithheldError() error { return errWithheld }

// HandleResult processes the result of a command that Plan returned.
func (c *Core) HandleResult(now time.Time, out OutgoingCommand, report external.WorkerReport, err error) {
	w := c.workers[model.WorkerID(out.Host.ID)]
	if w == nil || !w.inFlight {
		return
	}
	w.inFlight = false
	if w.probe {
		w.probe = false
		c.probesInFlight--
	}
	if err == errWithheld {
		c.reschedule(w, now.Add(c.cfg.FastPoll))
		return
	}
	c.stats.Messages++
	if err == nil && report.Worker != model.WorkerID(w.host.ID) {
		err = model.Errorf(model.KindUnknown, "wait for the host list", "address %s belongs to worker %q, not %q", w.host.Addr, report.Worker, w.host.ID)
	}
	if err != nil {
		c.handleFailure(now, w, out, err)
		return
	}
	c.applyReport(now, w, out, report)
}

// handleFailure processes a command without a report.
func (c *Core) handleFailure(now time.Time, w *workerState, out OutgoingCommand, err error) {
	c.stats.Failures++
	w.failures++
	switch model.KindOf(err) {
	case model.KindFenced:
		c.fenced = true
		c.emit(Event{Kind: EventFenced, Worker: model.WorkerID(w.host.ID), Reason: err.Error()})
	case model.KindUnavailable, model.KindNotFound, model.KindDenied:
		// The worker executed nothing; the starts stay pending.
	case model.KindInvalid:
		for _, s := range out.Command.Starts {
			if a := c.attempts[s.AttemptRef]; a != nil {
				c.reject(a, fmt.Sprintf("worker refused the command: %v", err))
			}
		}
	default:
		c.markStartsUnknown(w, out)
	}
	shift := min(w.failures, maxFailureShift)
	c.reschedule(w, now.Add(c.cfg.MinInterval<<shift))
}

// markStartsUnknown marks the starts of a command that the worker may have executed or
// may still execute. The session in the command limits how late that can happen.
func (c *Core) markStartsUnknown(w *workerState, out OutgoingCommand) {
	until := w.sessionReceivedAt.Add(withMargin(c.cfg.SessionTTL))
	for _, s := range out.Command.Starts {
		a := c.attempts[s.AttemptRef]
		if a == nil || a.phase == phaseEnded {
			continue
		}
		a.phase, a.acceptableUntil = phaseSent, until
	}
	w.session = ""
}

// applyReport applies the report of a worker. Reports of one worker arrive in the
// order of its commands, because only one command is in flight.
func (c *Core) applyReport(now time.Time, w *workerState, out OutgoingCommand, r external.WorkerReport) {
	first := !w.adopted
	w.adopted, w.failures, w.lastContact = true, 0, now
	w.session, w.sessionTTL, w.sessionRequestedAt, w.sessionReceivedAt = r.Session, r.SessionTTL, out.sentAt, now
	c.emitReport(w, r, first)
	c.clearDelivered(w, out, r.Unchanged)
	seen := make(map[external.AttemptRef]struct{}, len(r.Running)+len(r.Ended)+len(r.Rejected))
	clear(w.unplaced)
	if !r.Unchanged {
		w.lastFullReport = now
	}
	for _, run := range r.Running {
		seen[run.AttemptRef] = struct{}{}
		c.applyRunning(w, run)
	}
	for _, end := range r.Ended {
		seen[end.AttemptRef] = struct{}{}
		c.applyEnded(w, end)
	}
	for _, rej := range r.Rejected {
		if a := c.attempts[rej.AttemptRef]; a != nil && a.worker == w {
			seen[rej.AttemptRef] = struct{}{}
			c.applyRejected(a, rej.Reason)
		}
	}
	for _, a := range w.sortedAttempts() {
		if _, ok := seen[a.ref]; !ok && !(r.Unchanged && a.phase == phaseRunning) {
			c.applyMissing(a, out.sentAt)
		}
	}
	c.reschedule(w, c.nextCommandTime(now, w, out))
	c.dropIfUnused(w)
}

// clearDelivered clears the operations that the worker has confirmed.
func (c *Core) clearDelivered(w *workerState, out OutgoingCommand, unchanged bool) {
	if len(out.Command.Renew) > 0 || out.Command.RenewExpected && unchanged {
		w.lastRenewal, w.listRenewals = out.sentAt, false
		c.stats.Renewals++
	} else if out.Command.RenewExpected {
		w.listRenewals = true
	}
	for _, ref := range out.Command.Ack {
		delete(w.acks, ref)
	}
	for _, ref := range out.Command.Checkpoint {
		if a := c.attempts[ref]; a != nil {
			a.pendingCheckpoint = false
		}
	}
	for _, t := range out.Command.Throttle {
		if a := c.attempts[t.AttemptRef]; a != nil && a.pendingThrottle == t.Percent {
			a.pendingThrottle = 0
		}
	}
	for _, s := range out.Command.Starts {
		if a := c.attempts[s.AttemptRef]; a != nil && a.phase == phasePending {
			a.phase = phaseSent
		}
	}
}

func (c *Core) applyRunning(w *workerState, r external.RunningAttempt) {
	a := c.attempts[r.AttemptRef]
	if a == nil || a.worker != w || a.phase == phaseEnded {
		w.unplaced[r.AttemptRef] = struct{}{}
		return
	}
	if a.phase != phaseRunning {
		a.phase = phaseRunning
		c.emit(Event{Kind: EventStarted, Worker: a.workerID(), Ref: a.ref})
	}
	if r.Checkpoint != "" && r.Checkpoint != a.lastCheckpoint() {
		a.checkpoint = r.Checkpoint
		c.emit(Event{Kind: EventCheckpointed, Worker: a.workerID(), Ref: a.ref, Checkpoint: r.Checkpoint})
	}
}

func (c *Core) applyEnded(w *workerState, e external.EndedAttempt) {
	a := c.attempts[e.AttemptRef]
	if a == nil || a.worker != w {
		// The attempt is not tracked, so the worker may drop its outcome. A lost
		// attempt is tracked until its loss is durable; otherwise the next owner
		// would find neither the loss nor the outcome.
		w.acks[e.AttemptRef] = struct{}{}
		return
	}
	if a.phase == phaseEnded {
		return
	}
	a.phase = phaseEnded
	c.emit(Event{Kind: EventEnded, Worker: a.workerID(), Ref: a.ref, Ended: e})
}

// applyRejected processes a start that the worker rejected in this command. If the
// session was too old, the start is sent again with a new session.
func (c *Core) applyRejected(a *attempt, reason string) {
	switch {
	case a.desired != desiredRun:
		c.reject(a, ReasonWithdrawn)
	case reason == external.RejectSession:
		a.phase = phasePending
	default:
		c.reject(a, reason)
	}
}

// applyMissing processes an attempt that a report under the current epoch did not
// list. sentAt is the time when the command was sent, which is before the report was
// made. A start with an unknown result may have run until the worker restarted, so the
// attempt ends as lost and not as rejected.
func (c *Core) applyMissing(a *attempt, sentAt time.Time) {
	if a.phase == phaseRunning || a.phase == phaseSent && !sentAt.Before(a.acceptableUntil) {
		c.endMissing(a)
	}
}

// endMissing ends an attempt that its worker does not have under the current epoch.
func (c *Core) endMissing(a *attempt) {
	a.phase = phaseEnded
	ended := external.EndedAttempt{
		AttemptRef: a.ref, Outcome: model.OutcomeLost, Checkpoint: a.lastCheckpoint(),
		Error: "worker reported without the attempt",
	}
	c.emit(Event{Kind: EventEnded, Worker: a.workerID(), Ref: a.ref, Ended: ended})
}

func (c *Core) emitReport(w *workerState, r external.WorkerReport, first bool) {
	id := model.WorkerID(w.host.ID)
	if first {
		c.emit(Event{Kind: EventAdopted, Worker: id, Running: r.Running, Services: r.Services})
		return
	}
	if len(r.Running) > 0 || len(r.Services) > 0 {
		c.emit(Event{Kind: EventReport, Worker: id, Running: r.Running, Services: r.Services})
	}
}

// nextCommandTime returns the time of the next command after a report. Starts are sent
// immediately after a command that only obtained the session; otherwise the poll
// intervals apply.
func (c *Core) nextCommandTime(now time.Time, w *workerState, out OutgoingCommand) time.Time {
	live, awaited, starts, operations := false, len(w.unplaced) > 0, false, false
	for _, a := range w.attempts {
		starts = starts || a.startable()
		operations = operations || a.pendingCheckpoint || a.pendingThrottle > 0
		awaited = awaited || a.phase == phaseSent || a.desired != desiredRun && a.phase != phaseEnded
		live = live || a.phase != phaseEnded
	}
	unrenewed := out.Command.RenewExpected && w.lastRenewal.Before(out.sentAt)
	starts = starts && !c.gateClosed // Plan expedites them when the gate opens
	canStart := starts && w.listed && len(w.unplaced) == 0 && !now.Before(w.startsBlockedUntil)
	switch {
	case canStart && len(out.Command.Starts) == 0:
		return now
	case canStart || operations || live && unrenewed:
		return w.lastSent.Add(c.cfg.MinInterval)
	case awaited || starts:
		return now.Add(c.cfg.FastPoll)
	case live || len(w.acks) > 0:
		return now.Add(c.cfg.Poll)
	default:
		return now.Add(c.cfg.IdlePoll)
	}
}
