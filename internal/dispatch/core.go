package dispatch

import (
	"container/heap"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// phase is what the owner knows about an attempt on its worker.
type phase int

const (
	// phasePending: no copy of the start is on its way or with the worker.
	phasePending phase = iota
	// phaseSent: the start may have been carried out, or may still be.
	phaseSent
	// phaseRunning: a report listed the attempt as running.
	phaseRunning
	// phaseEnded: ended or lost; the owner has not acknowledged it.
	phaseEnded
)

// want is what the owner asked for; it only moves forward.
type want int

const (
	wantRun want = iota
	wantEvict
	wantStop
)

// attempt is the state of one attempt that the owner has placed.
type attempt struct {
	ref    external.AttemptRef
	worker *workerState
	start  external.Start
	phase  phase
	want   want
	// riskUntil is how long a start whose result is unknown could still be
	// accepted; it follows from the age bound of the session that it quoted. It
	// is zero for an attempt of a former owner: a worker that has reported under
	// the current epoch refuses that owner's starts.
	riskUntil  time.Time
	queuedAt   time.Time
	lost       bool
	checkpoint string
	// saveNow and throttle are orders not yet delivered.
	saveNow  bool
	throttle int
}

// workerState is what the owner knows about one worker.
type workerState struct {
	host     external.Host
	listed   bool
	attempts map[external.AttemptRef]*attempt
	// unknown holds running attempts that the owner did not place.
	unknown map[external.AttemptRef]struct{}
	// acks holds acknowledgements that the worker has not received.
	acks map[external.AttemptRef]struct{}

	session      string
	sessionTTL   time.Duration
	sessionSent  time.Time // start of the exchange that brought the session
	sessionBy    time.Time // end of it
	adopted      bool
	lastContact  time.Time
	lastSent     time.Time
	lastRenewal  time.Time
	lastFull     time.Time // last report that listed the running attempts
	listRenewals bool      // the next renewal names its attempts, as a digest did not match
	blockedUntil time.Time
	failures     int
	inFlight     bool
	probe        bool // the command in flight counts in Core.probing
	due          time.Time
	index        int // position in the heap, or -1
}

// Core holds the rules of dispatch without input, output and clock. It is not
// safe for concurrent use.
type Core struct {
	cfg        Config
	created    time.Time
	ackedAt    time.Time
	workers    map[model.WorkerID]*workerState
	attempts   map[external.AttemptRef]*attempt
	schedule   dueHeap
	events     []Event
	fenced     bool
	gateClosed bool // whether the last Plan forbade starts
	probing    int  // commands in flight to workers that failed to answer the last one
	stats      Stats
	lostAfter  time.Duration
}

// NewCore returns the dispatch of a cell under a new epoch. known holds the live
// attempts from the journal; anything else that workers report is stopped.
func NewCore(cfg Config, now time.Time, known []Known) *Core {
	cfg.provision()
	c := &Core{
		cfg: cfg, created: now, lostAfter: cfg.LostAfter(),
		workers: map[model.WorkerID]*workerState{}, attempts: map[external.AttemptRef]*attempt{},
	}
	for _, k := range known {
		w := c.worker(now, k.Worker)
		a := &attempt{ref: k.AttemptRef, worker: w, phase: phaseSent, queuedAt: now}
		if k.Evicting {
			a.want = wantEvict
		}
		if k.Stopping {
			a.want = wantStop
		}
		c.attempts[a.ref], w.attempts[a.ref] = a, a
	}
	return c
}

// worker returns the state of a worker and creates it when it is missing.
func (c *Core) worker(now time.Time, id model.WorkerID) *workerState {
	w := c.workers[id]
	if w == nil {
		w = &workerState{
			host: external.Host{ID: string(id)}, index: -1,
			attempts: map[external.AttemptRef]*attempt{},
			unknown:  map[external.AttemptRef]struct{}{},
			acks:     map[external.AttemptRef]struct{}{},
		}
		c.workers[id] = w
		c.reschedule(w, now)
	}
	return w
}

// SetEpochAcknowledged states that since at, on this node's clock, the owner's
// acquire record is durable and a majority of the view's members has acknowledged
// its epoch. Without it no attempt is declared lost.
func (c *Core) SetEpochAcknowledged(at time.Time) {
	if c.ackedAt.IsZero() {
		c.ackedAt = at
	}
}

// SetWorkers replaces the list of workers. A worker that is no longer listed
// gets no starts, and is kept while it has attempts.
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

// dropIfUnused forgets an unlisted worker without attempts.
func (c *Core) dropIfUnused(w *workerState) {
	if w.listed || len(w.attempts) > 0 || w.inFlight {
		return
	}
	if w.index >= 0 {
		heap.Remove(&c.schedule, w.index)
	}
	delete(c.workers, model.WorkerID(w.host.ID))
}

// Start asks for an attempt to be started. The caller has made the placement
// durable. A repeated call has no effect.
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
	c.hasten(w, now)
	return nil
}

// Evict asks for a checkpoint and the end of an attempt. It ends with
// EventEnded, or with EventRejected when it never ran.
func (c *Core) Evict(now time.Time, ref external.AttemptRef) { c.demand(now, ref, wantEvict) }

// Stop asks for the end of an attempt without a checkpoint. It ends with
// EventEnded, or with EventRejected when it never ran.
func (c *Core) Stop(now time.Time, ref external.AttemptRef) { c.demand(now, ref, wantStop) }

func (c *Core) demand(now time.Time, ref external.AttemptRef, to want) {
	a := c.attempts[ref]
	if a == nil || a.phase == phaseEnded || a.want >= to {
		return
	}
	a.want = to
	if a.phase == phasePending && !a.worker.inFlight {
		c.reject(a, ReasonWithdrawn)
		return
	}
	c.hasten(a.worker, now)
}

// Checkpoint asks for a checkpoint of a live attempt.
func (c *Core) Checkpoint(now time.Time, ref external.AttemptRef) {
	if a := c.attempts[ref]; a != nil && a.phase != phaseEnded {
		a.saveNow = true
		c.hasten(a.worker, now)
	}
}

// Throttle sets the share of its processors, in percent, that an attempt may use.
func (c *Core) Throttle(now time.Time, ref external.AttemptRef, percent int) {
	if a := c.attempts[ref]; a != nil && a.phase != phaseEnded {
		a.throttle = min(max(percent, 1), 100)
		c.hasten(a.worker, now)
	}
}

// Ack states that the end or loss of an attempt is durable, so that the worker
// may forget its report.
func (c *Core) Ack(ref external.AttemptRef) {
	a := c.attempts[ref]
	if a == nil || a.phase != phaseEnded {
		return
	}
	c.forget(a)
	if !a.lost {
		a.worker.acks[ref] = struct{}{}
	}
	c.dropIfUnused(a.worker)
}

// reject reports that an attempt did not run and will not.
func (c *Core) reject(a *attempt, reason string) {
	c.forget(a)
	c.emit(Event{Kind: EventRejected, Worker: a.id(), Ref: a.ref, Reason: reason})
}

func (c *Core) forget(a *attempt) {
	delete(c.attempts, a.ref)
	delete(a.worker.attempts, a.ref)
}

func (a *attempt) id() model.WorkerID { return model.WorkerID(a.worker.host.ID) }

func (c *Core) emit(e Event) { c.events = append(c.events, e) }

// Events returns the events since the last call, in order.
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

// Fenced reports whether a worker has seen a newer owner.
func (c *Core) Fenced() bool { return c.fenced }

// Stats returns the counts so far.
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

// dueHeap orders workers by the time of their next message.
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

// reschedule sets the time of the next message to w.
func (c *Core) reschedule(w *workerState, due time.Time) {
	w.due = due
	if w.index >= 0 {
		heap.Fix(&c.schedule, w.index)
		return
	}
	heap.Push(&c.schedule, w)
}

// hasten brings the next message to w forward as far as the interval allows.
func (c *Core) hasten(w *workerState, now time.Time) {
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

// GateClosed reports whether the last Plan forbade starts; Plan should then be
// called often enough to notice that the gate has opened.
func (c *Core) GateClosed() bool { return c.gateClosed }

// NextDue returns when Plan has something to do again.
func (c *Core) NextDue() (time.Time, bool) {
	if c.fenced || len(c.schedule) == 0 {
		return time.Time{}, false
	}
	return c.schedule[0].due, true
}
