package request

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// admission decides for one service which request gets a slot, which waits and which is
// refused. It performs no I/O and takes the time as an argument; the caller holds a lock.
type admission struct {
	service model.ServiceName
	router  *routing.Pool
	queue   *queue
	budget  *routing.Budget
	shares  Shares
	// queueLimit is the declared queue limit; callerSharePercent is Config.PerCallerShare.
	queueLimit         int
	callerSharePercent int
}

// admitOrQueue grants a slot to w, queues it or refuses it. When it returns true, the result
// is already in w.result.
func (a *admission) admitOrQueue(now time.Time, w *waiter) bool {
	w.index = -1
	if a.router.Serving() == 0 {
		w.result <- admissionResult{refusal: refuseNoRunner(a.service)}
		return true
	}
	if a.queue.len() == 0 {
		if c := a.tryAcquire(now, w); c.Runner != nil {
			w.result <- admissionResult{choice: c}
			return true
		}
	}
	if f := a.enqueue(now, w); f != nil {
		w.result <- admissionResult{refusal: f}
		return true
	}
	a.dispatchQueue(now)
	return w.index < 0
}

// tryAcquire picks a runner for w and acquires a slot there. The choice has no runner when no
// slot is free.
func (a *admission) tryAcquire(now time.Time, w *waiter) routing.Choice {
	for range 4 { // each lost slot lowers one limit; four in a row mean that the shares are changing
		c := a.router.Pick(now, routing.PickOptions{Probe: w.probe, Exclude: w.exclude})
		if c.Runner == nil {
			return c
		}
		if a.shares.Acquire(a.service, c.Runner.ID) {
			a.router.Start(c.Runner)
			return c
		}
		a.router.SetLimits(func(id model.RunnerID) int { return a.shares.Limit(a.service, id) })
	}
	return routing.Choice{Reason: "slots-lost"}
}

// enqueue adds w to the queue, or returns the reason why it cannot wait.
func (a *admission) enqueue(now time.Time, w *waiter) *Refusal {
	interval := a.slotInterval()
	a.queue.setVirtualDeadline(w, interval)
	wait := time.Duration(a.queue.ahead(w)+1) * interval
	if now.Add(wait + a.router.MedianLatency()).After(w.deadline) {
		return refuseDeadline(a.service, wait)
	}
	if slots, _ := a.router.Slots(); slots == 0 {
		return refuseNoSlots(a.service)
	}
	if a.queue.byCaller[w.caller]*100 >= a.callerSharePercent*a.queueLimit && len(a.queue.byCaller) > 1 {
		return refuseCaller(a.service, wait)
	}
	if a.queue.len() >= a.queueLimit {
		v := a.queue.evictionCandidate(w)
		if v == nil {
			return refuseFull(a.service, wait)
		}
		a.queue.remove(v)
		v.result <- admissionResult{refusal: refuseFull(a.service, wait)}
	}
	a.queue.push(w, interval)
	return nil
}

// slotInterval returns the expected time between two slots becoming free.
func (a *admission) slotInterval() time.Duration {
	slots, _ := a.router.Slots()
	return a.router.MedianLatency() / time.Duration(max(1, slots))
}

// dispatchQueue grants free slots to waiters in queue order and refuses those whose deadline
// can no longer be met.
func (a *admission) dispatchQueue(now time.Time) {
	for w := a.queue.head(); w != nil; w = a.queue.head() {
		if now.Add(a.router.MedianLatency()).After(w.deadline) {
			a.queue.remove(w)
			w.result <- admissionResult{refusal: refuseDeadline(a.service, a.slotInterval()*time.Duration(a.queue.len()+1))}
			continue
		}
		c := a.tryAcquire(now, w)
		if c.Runner == nil {
			break
		}
		a.queue.remove(w)
		w.result <- admissionResult{choice: c}
	}
	a.overflow(now)
}

// overflow sends the last waiters to slow, backed-off runners once the wait in the queue
// exceeds the median latency. A slow response is better than a refusal, and the slots of the
// slow runners are needed when all others are full.
func (a *admission) overflow(now time.Time) {
	for time.Duration(a.queue.len())*a.slotInterval() > a.router.MedianLatency() {
		w := a.queue.last(func(*waiter) bool { return true })
		c := a.router.Overflow(w.deadline.Sub(now))
		if c.Runner == nil || !a.shares.Acquire(a.service, c.Runner.ID) {
			return
		}
		a.router.Start(c.Runner)
		a.queue.remove(w)
		w.result <- admissionResult{choice: c}
	}
}

// cancel removes a waiter that stopped waiting. False means that its result is already in
// w.result.
func (a *admission) cancel(w *waiter) bool { return a.queue.remove(w) }

// tryAcquireExtra acquires a slot for a retry or hedge without queueing, or returns no runner.
func (a *admission) tryAcquireExtra(now time.Time, exclude model.RunnerID) routing.Choice {
	if a.queue.len() > 0 {
		return routing.Choice{Reason: "queue-not-empty"}
	}
	return a.tryAcquire(now, &waiter{exclude: exclude})
}

// finish releases a slot and dispatches the queue.
func (a *admission) finish(now time.Time, r *routing.Runner, latency time.Duration, result routing.Result) {
	a.router.Finish(r, now, latency, result)
	a.shares.Release(a.service, r.ID)
	a.dispatchQueue(now)
}

// shedIfNoRunners refuses all waiters when no runner is left.
func (a *admission) shedIfNoRunners() {
	if a.router.Serving() > 0 {
		return
	}
	for w := a.queue.head(); w != nil; w = a.queue.head() {
		a.queue.remove(w)
		w.result <- admissionResult{refusal: refuseNoRunner(a.service)}
	}
}
