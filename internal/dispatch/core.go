package dispatch

import (
	"container/heap"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// phase is the state of an attempt on its worker as far as the owner knows it.
type phase int

const (
	// phasePending: the worker has not received the start, and no copy of it is in
	// flight.
	phasePending phase = iota
	// phaseSent: the worker may have executed the start or may still execute it.
	phaseSent
	// phaseRunning: a report listed the attempt as running.
	phaseRunning
	// phaseEnded: the attempt has ended or is lost; the owner has not acknowledged
	// this yet.
	phaseEnded
)

// desiredState is the state that the owner requests for an attempt. It only
// increases.
type desiredState int

const (
	desiredRun desiredState = iota
	desiredEvict
	desiredStop
)

// attempt is the state of one attempt placed by the owner.
type attempt struct {
	ref     external.AttemptRef
	worker  *workerState
	start   external.Start
	phase   phase
	desired desiredState
	// acceptableUntil is the time until which the worker could still accept a start
	// whose result is unknown. It is derived from the maximum age of the session in
	// the command. It is zero for an attempt of a former owner, because a worker that
	// has reported under the current epoch rejects that owner's starts.
	acceptableUntil time.Time
	queuedAt        time.Time
	lost            bool
	checkpoint      string
	// pendingCheckpoint and pendingThrottle are operations that the worker has not
	// confirmed yet. pendingThrottle is a percentage; 0 means none.
	pendingCheckpoint bool
	pendingThrottle   int
}

// workerState is the state of one worker as far as the owner knows it.
type workerState struct {
	host     external.Host
	listed   bool
	attempts map[external.AttemptRef]*attempt
	// unplaced holds running attempts that the owner did not place.
	unplaced map[external.AttemptRef]struct{}
	// acks holds acknowledgements that the worker has not confirmed yet.
	acks map[external.AttemptRef]struct{}

	session            string
	sessionTTL         time.Duration
	sessionRequestedAt time.Time // when the command was sent whose report contained the session
	sessionReceivedAt  time.Time // when that report was received
	adopted            bool
	lastContact        time.Time
	lastSent           time.Time
	lastRenewal        time.Time
	lastFullReport     time.Time // last report that listed the running attempts
	listRenewals       bool      // the next renewal lists its attempts, because a digest did not match
	startsBlockedUntil time.Time
	failures           int
	inFlight           bool
	probe              bool // the command in flight is counted in Core.probesInFlight
	due                time.Time
	index              int // position in the heap, or -1
}

// Core implements the dispatch rules without I/O and without a clock. It is not safe
// for concurrent use.
type Core struct {
	cfg            Config
	created        time.Time
	epochAckedAt   time.Time
	workers        map[model.WorkerID]*workerState
	attempts       map[external.AttemptRef]*attempt
	schedule       dueHeap
	events         []Event
	fenced         bool
	gateClosed     bool // whether the last Plan was not allowed to plan starts
	probesInFlight int  // commands in flight to workers that did not respond to the last one
	stats          Stats
	lostAfter      time.Duration
}

// NewCore returns the Core of a cell under a new epoch. known holds the live attempts
// from the journal; any other attempt that a worker reports is stopped.
func NewCore(cfg Config, now time.Time, known []KnownAttempt) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg: cfg, created: now, lostAfter: cfg.LostAfter(),
		workers: map[model.WorkerID]*workerState{}, attempts: map[external.AttemptRef]*attempt{},
	}
	for _, k := range known {
		w := c.worker(now, k.Worker)
		a := &attempt{ref: k.AttemptRef, worker: w, phase: phaseSent, queuedAt: now}
		if k.Evicting {
			a.desired = desiredEvict
		}
		if k.Stopping {
			a.desired = desiredStop
		}
		c.attempts[a.ref], w.attempts[a.ref] = a, a
	}
	return c
}

// worker returns the state of a worker and creates it if necessary.
func (c *Core) worker(now time.Time, id model.WorkerID) *workerState {
	w := c.workers[id]
	if w == nil {
		w = &workerState{
			host: external.Host{ID: string(id)}, index: -1,
			attempts: map[external.AttemptRef]*attempt{},
			unplaced: map[external.AttemptRef]struct{}{},
			acks:     map[external.AttemptRef]struct{}{},
		}
		c.workers[id] = w
		c.reschedule(w, now)
	}
	return w
}

// SetEpochAcknowledged records that since the time at, on this node's clock, the
// owner's acquire record is durable and a majority of the view's members has
// acknowledged its epoch. Before this call, no attempt is declared lost.
func (c *Core) SetEpochAcknowledged(at time.Time) {
	if c.epochAckedAt.IsZero() {
		c.epochAckedAt = at
	}
}

// SetWorkers replaces the list of workers. A worker that is no longer listed gets no
// starts and is removed once it has no attempts.
func (c *Core) SetWorkers(now time.Time, hosts []external.Host) {
	listed := make(map[model.WorkerID]struct{}, len(hosts))
	for _, h := range hosts {
		id := model.WorkerID(h.ID)
		listed[id] = struct{}{}
		w := c.worker(now, id)
		w.host, w.listed = h, true
	}
	for id, w := range c.workers {
		if _, ok := listed[id]; !ok {
			w.listed = false
			c.dropIfUnused(w)
		}
	}
}

// dropIfUnused removes an unlisted worker without attempts.
func (c *Core) dropIfUnused(w *workerState) {
	if w.listed || len(w.attempts) > 0 || w.inFlight {
		return
	}
	if w.index >= 0 {
		heap.Remove(&c.schedule, w.index)
	}
	delete(c.workers, model.WorkerID(w.host.ID))
}

// Start requests the start of an attempt. The placement must be durable. Start is
// idempotent.
func (c *Core) Start(now time.Time, id model.WorkerID, s external.Start) error {
	w := c.workers[id]
	if w == nil || !w.listed {
		return model.Errorf(model.KindNotFound, "place the task on a listed worker", "worker %q", id)
	}
	if c.attempts[s.AttemptRef] != nil {
		return nil
	}
	s.Lease = c.cfg.TaskLease
	a := &attempt{ref: s.AttemptRef, worker: w, start: s, queuedAt: now}
	c.attempts[a.ref], w.attempts[a.ref] = a, a
	c.expedite(w, now)
	return nil
}

// Evict requests a checkpoint followed by the end of an attempt. The result is
// EventEnded, or EventRejected if the attempt never ran.
func (c *Core) Evict(now time.Time, ref external.AttemptRef) { c.setDesired(now, ref, desiredEvict) }

// Stop requests the end of an attempt without a checkpoint. The result is
// EventEnded, or EventRejected if the attempt never ran.
func (c *Core) Stop(now time.Time, ref external.AttemptRef) { c.setDesired(now, ref, desiredStop) }

func (c *Core) setDesired(now time.Time, ref external.AttemptRef, to desiredState) {
	a := c.attempts[ref]
	if a == nil || a.phase == phaseEnded || a.desired >= to {
		return
	}
	a.desired = to
	if a.phase == phasePending && !a.worker.inFlight {
		c.reject(a, ReasonWithdrawn)
		return
	}
	c.expedite(a.worker, now)
}

// Checkpoint requests a checkpoint of a live attempt.
func (c *Core) Checkpoint(now time.Time, ref external.AttemptRef) {
	if a := c.attempts[ref]; a != nil && a.phase != phaseEnded {
		a.pendingCheckpoint = true
		c.expedite(a.worker, now)
	}
}

// Throttle sets the percentage of its CPU allocation that an attempt may use.
func (c *Core) Throttle(now time.Time, ref external.AttemptRef, percent int) {
	if a := c.attempts[ref]; a != nil && a.phase != phaseEnded {
		a.pendingThrottle = min(max(percent, 1), 100)
		c.expedite(a.worker, now)
	}
}

// Ack records that the end or loss of an attempt is durable, so that the worker may
// drop its outcome.
func (c *Core) Ack(ref external.AttemptRef) {
	a := c.attempts[ref]
	if a == nil || a.phase != phaseEnded {
		return
	}
	c.removeAttempt(a)
	if !a.lost {
		a.worker.acks[ref] = struct{}{}
	}
	c.dropIfUnused(a.worker)
}

// reject removes an attempt that did not run and never will, and emits
// EventRejected.
func (c *Core) reject(a *attempt, reason string) {
	c.removeAttempt(a)
	c.emit(Event{Kind: EventRejected, Worker: a.workerID(), Ref: a.ref, Reason: reason})
}

func (c *Core) removeAttempt(a *attempt) {
	delete(c.attempts, a.ref)
	delete(a.worker.attempts, a.ref)
}

func (a *attempt) workerID() model.WorkerID { return model.WorkerID(a.worker.host.ID) }

func (c *Core) emit(e Event) { c.events = append(c.events, e) }

// Events returns the events since the previous call, in order.
func (c *Core) Events() []Event {
	out := c.events
	c.events = nil
	return out
}

// Adopted reports whether the worker has reported under this epoch.
func (c *Core) Adopted(id model.WorkerID) bool {
	w := c.workers[id]
	return w != nil && w.adopted
}

// Fenced reports whether a worker has reported a newer owner.
func (c *Core) Fenced() bool { return c.fenced }

// Stats returns the counters and the current state.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Workers, s.Attempts = len(c.workers), len(c.attempts)
	for _, w := range c.workers {
		if w.inFlight {
			s.InFlight++
		}
		if !w.adopted {
			s.Unadopted++
		}
	}
	return s
}

// dueHeap is a min-heap of workers by the time of their next command.
type dueHeap []*workerState

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	w := x.(*workerState)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// reschedule sets the time of the next command to w.
func (c *Core) reschedule(w *workerState, due time.Time) {
	w.due = due
	if w.index >= 0 {
		heap.Fix(&c.schedule, w.index)
		return
	}
	heap.Push(&c.schedule, w)
}

// expedite moves the next command to w to the earliest time that MinInterval allows.
func (c *Core) expedite(w *workerState, now time.Time) {
	if w.inFlight || w.failures > 0 {
		return
	}
	due := w.lastSent.Add(c.cfg.MinInterval)
	if due.Before(now) {
		due = now
	}
	if due.Before(w.due) {
		c.reschedule(w, due)
	}
}

// GateClosed reports whether the last Plan was not allowed to plan starts. Plan must
// then be called often enough to notice that the gate has opened.
func (c *Core) GateClosed() bool { return c.gateClosed }

// NextDue returns the time at which the next command is due.
func (c *Core) NextDue() (time.Time, bool) {
	if c.fenced || len(c.schedule) == 0 {
		return time.Time{}, false
	}
	return c.schedule[0].due, true
}
