package dispatch

import (
	"fmt"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// errWithheld is the result of a command that Release did not let through.
var errWithheld = model.Errorf(model.KindStale, "wait until the ownership lease is renewed", "command withheld")

// Withheld returns the result to pass to Done when Release reported false.
func Withheld() error { return errWithheld }

// Done takes the result of a command that Plan returned.
func (c *Core) Done(now time.Time, out Outgoing, report external.WorkerReport, err error) {
	w := c.workers[model.WorkerID(out.Host.ID)]
	if w == nil || !w.inFlight {
		return
	}
	w.inFlight = false
	if w.probe {
		w.probe = false
		c.probing--
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
		c.failed(now, w, out, err)
		return
	}
	c.answered(now, w, out, report)
}

// failed handles a command without a report.
func (c *Core) failed(now time.Time, w *workerState, out Outgoing, err error) {
	c.stats.Failures++
	w.failures++
	switch model.KindOf(err) {
	case model.KindFenced:
		c.fenced = true
		c.emit(Event{Kind: EventFenced, Worker: model.WorkerID(w.host.ID), Reason: err.Error()})
	case model.KindUnavailable, model.KindNotFound, model.KindDenied:
		// Nothing was carried out; the starts stay pending.
	case model.KindInvalid:
		for _, s := range out.Command.Starts {
			if a := c.attempts[s.AttemptRef]; a != nil {
				c.reject(a, fmt.Sprintf("worker refused the command: %v", err))
			}
		}
	default:
		c.uncertain(w, out)
	}
	shift := min(w.failures, maxFailureShift)
	c.reschedule(w, now.Add(c.cfg.MinInterval<<shift))
}

// uncertain marks starts whose command may have been carried out, or may be
// carried out later. The session that they quote bounds how much later.
func (c *Core) uncertain(w *workerState, out Outgoing) {
	until := w.sessionBy.Add(withMargin(c.cfg.SessionTTL))
	for _, s := range out.Command.Starts {
		a := c.attempts[s.AttemptRef]
		if a == nil || a.phase == phaseEnded {
			continue
		}
		a.phase, a.riskUntil = phaseSent, until
	}
	w.session = ""
}

// answered applies a report. Reports of one worker arrive in the order of its
// commands, because only one is in flight.
func (c *Core) answered(now time.Time, w *workerState, out Outgoing, r external.WorkerReport) {
	first := !w.adopted
	w.adopted, w.failures, w.lastContact = true, 0, now
	w.session, w.sessionTTL, w.sessionSent, w.sessionBy = r.Session, r.SessionTTL, out.sentAt, now
	c.reportEvent(w, r, first)
	c.delivered(w, out, r.Unchanged)
	seen := make(map[external.AttemptRef]struct{}, len(r.Running)+len(r.Ended)+len(r.Rejected))
	clear(w.unknown)
	if !r.Unchanged {
		w.lastFull = now
	}
	for _, run := range r.Running {
		seen[run.AttemptRef] = struct{}{}
		c.running(w, run)
	}
	for _, end := range r.Ended {
		seen[end.AttemptRef] = struct{}{}
		c.ended(w, end)
	}
	for _, rej := range r.Rejected {
		if a := c.attempts[rej.AttemptRef]; a != nil && a.worker == w {
			seen[rej.AttemptRef] = struct{}{}
			c.rejected(a, rej.Reason)
		}
	}
	for _, a := range w.ordered() {
		if _, ok := seen[a.ref]; !ok && !(r.Unchanged && a.phase == phaseRunning) {
			c.missing(a, out.sentAt)
		}
	}
	c.reschedule(w, c.nextMessage(now, w, out))
	c.dropIfUnused(w)
}

// delivered clears orders that the worker has carried out.
func (c *Core) delivered(w *workerState, out Outgoing, unchanged bool) {
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
			a.saveNow = false
		}
	}
	for _, t := range out.Command.Throttle {
		if a := c.attempts[t.AttemptRef]; a != nil && a.throttle == t.Percent {
			a.throttle = 0
		}
	}
	for _, s := range out.Command.Starts {
		if a := c.attempts[s.AttemptRef]; a != nil && a.phase == phasePending {
			a.phase = phaseSent
		}
	}
}

func (c *Core) running(w *workerState, r external.RunningAttempt) {
	a := c.attempts[r.AttemptRef]
	if a == nil || a.worker != w || a.phase == phaseEnded {
		w.unknown[r.AttemptRef] = struct{}{}
		return
	}
	if a.phase != phaseRunning {
		a.phase = phaseRunning
		c.emit(Event{Kind: EventStarted, Worker: a.id(), Ref: a.ref})
	}
	if r.Checkpoint != "" && r.Checkpoint != a.lastCheckpoint() {
		a.checkpoint = r.Checkpoint
		c.emit(Event{Kind: EventCheckpointed, Worker: a.id(), Ref: a.ref, Checkpoint: r.Checkpoint})
	}
}

func (c *Core) ended(w *workerState, e external.EndedAttempt) {
	a := c.attempts[e.AttemptRef]
	if a == nil || a.worker != w {
		// An outcome that nobody waits for; the worker may forget it. That of a
		// lost attempt stays until the loss is durable, as the next owner would
		// otherwise find neither.
		w.acks[e.AttemptRef] = struct{}{}
		return
	}
	if a.phase == phaseEnded {
		return
	}
	a.phase = phaseEnded
	c.emit(Event{Kind: EventEnded, Worker: a.id(), Ref: a.ref, Ended: e})
}

// rejected handles a start that the worker refused in this command. An old
// session only means that the start is sent again with a new one.
func (c *Core) rejected(a *attempt, reason string) {
	switch {
	case a.want != wantRun:
		c.reject(a, ReasonWithdrawn)
	case reason == external.RejectSession:
		a.phase = phasePending
	default:
		c.reject(a, reason)
	}
}

// missing handles an attempt that a report under the current epoch did not list.
// sentAt is when the command was sent, which is before the report was made. A
// start whose result is unknown may have run and may have ended with a restart
// of the worker, so it counts as lost and not as rejected.
func (c *Core) missing(a *attempt, sentAt time.Time) {
	if a.phase == phaseRunning || a.phase == phaseSent && !sentAt.Before(a.riskUntil) {
		c.gone(a)
	}
}

// gone ends an attempt that its worker, under the current epoch, does not have.
func (c *Core) gone(a *attempt) {
	a.phase = phaseEnded
	ended := external.EndedAttempt{
		AttemptRef: a.ref, Outcome: model.OutcomeLost, Checkpoint: a.lastCheckpoint(),
		Error: "worker reported without the attempt",
	}
	c.emit(Event{Kind: EventEnded, Worker: a.id(), Ref: a.ref, Ended: ended})
}

func (c *Core) reportEvent(w *workerState, r external.WorkerReport, first bool) {
	id := model.WorkerID(w.host.ID)
	if first {
		c.emit(Event{Kind: EventAdopted, Worker: id, Running: r.Running, Services: r.Services})
		return
	}
	if len(r.Running) > 0 || len(r.Services) > 0 {
		c.emit(Event{Kind: EventReport, Worker: id, Running: r.Running, Services: r.Services})
	}
}

// nextMessage returns when the worker is contacted next after a report. A start
// goes out at once after the exchange that only fetched its session; otherwise
// the interval between messages applies.
func (c *Core) nextMessage(now time.Time, w *workerState, out Outgoing) time.Time {
	live, awaited, starts, orders := false, len(w.unknown) > 0, false, false
	for _, a := range w.attempts {
		starts = starts || a.startable()
		orders = orders || a.saveNow || a.throttle > 0
		awaited = awaited || a.phase == phaseSent || a.want != wantRun && a.phase != phaseEnded
		live = live || a.phase != phaseEnded
	}
	unrenewed := out.Command.RenewExpected && w.lastRenewal.Before(out.sentAt)
	starts = starts && !c.gateClosed // otherwise Plan hastens them when the gate opens
	canStart := starts && w.listed && len(w.unknown) == 0 && !now.Before(w.blockedUntil)
	switch {
	case canStart && len(out.Command.Starts) == 0:
		return now
	case canStart || orders || live && unrenewed:
		return w.lastSent.Add(c.cfg.MinInterval)
	case awaited || starts:
		return now.Add(c.cfg.FastPoll)
	case live || len(w.acks) > 0:
		return now.Add(c.cfg.Poll)
	default:
		return now.Add(c.cfg.IdlePoll)
	}
}
