package request

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// admission decides for one service who gets a slot, who waits and who is
// refused. It performs no input or output and takes the time as an argument; the
// caller holds a lock.
type admission struct {
	service model.ServiceName
	route   *routing.Pool
	queue   *queue
	budget  *routing.Budget
	shares  Shares
	// queueLimit and callerShare bound the queue as in the declaration and Config.
	queueLimit  int
	callerShare int
}

// arrive grants a slot to w, queues it or refuses it. When it returns true, the
// result is in w.result already.
func (a *admission) arrive(now time.Time, w *waiter) bool {
	w.index = -1
	if a.route.Serving() == 0 {
		w.result <- grantResult{refusal: refuseNoRunner(a.service)}
		return true
	}
	if a.queue.len() == 0 {
		if c := a.take(now, w); c.Runner != nil {
			w.result <- grantResult{choice: c}
			return true
		}
	}
	if f := a.enqueue(now, w); f != nil {
		w.result <- grantResult{refusal: f}
		return true
	}
	a.pump(now)
	return w.index < 0
}

// take picks a runner for w and takes its slot. The choice has no runner when
// none is free.
func (a *admission) take(now time.Time, w *waiter) routing.Choice {
	for range 4 { // a lost slot lowers one limit; four misses mean a change of shares
		c := a.route.Pick(now, routing.PickOptions{Probe: w.probe, Exclude: w.exclude})
		if c.Runner == nil {
			return c
		}
		if a.shares.Acquire(a.service, c.Runner.ID) {
			a.route.Start(c.Runner)
			return c
		}
		a.route.SetLimits(func(id model.RunnerID) int { return a.shares.Limit(a.service, id) })
	}
	return routing.Choice{Reason: "slots-lost"}
}

// enqueue puts w into the queue, or returns why it cannot wait.
func (a *admission) enqueue(now time.Time, w *waiter) *Refusal {
	spacing := a.spacing()
	a.queue.rankFor(w, spacing)
	wait := time.Duration(a.queue.ahead(w)+1) * spacing
	if now.Add(wait + a.route.MedianLatency()).After(w.deadline) {
		return refuseDeadline(a.service, wait)
	}
	if slots, _ := a.route.Slots(); slots == 0 {
		return refuseNoSlots(a.service)
	}
	if a.queue.byCaller[w.caller]*100 >= a.callerShare*a.queueLimit && len(a.queue.byCaller) > 1 {
		return refuseCaller(a.service, wait)
	}
	if a.queue.len() >= a.queueLimit {
		v := a.queue.victim(w)
		if v == nil {
			return refuseFull(a.service, wait)
		}
		a.queue.remove(v)
		v.result <- grantResult{refusal: refuseFull(a.service, wait)}
	}
	a.queue.push(w, spacing)
	return nil
}

// spacing returns the expected time between two slots becoming free.
func (a *admission) spacing() time.Duration {
	slots, _ := a.route.Slots()
	return a.route.MedianLatency() / time.Duration(max(1, slots))
}

// pump grants free slots to waiters in order and refuses those that can no
// longer be served in time.
func (a *admission) pump(now time.Time) {
	for w := a.queue.head(); w != nil; w = a.queue.head() {
		if now.Add(a.route.MedianLatency()).After(w.deadline) {
			a.queue.remove(w)
			w.result <- grantResult{refusal: refuseDeadline(a.service, a.spacing()*time.Duration(a.queue.len()+1))}
			continue
		}
		c := a.take(now, w)
		if c.Runner == nil {
			break
		}
		a.queue.remove(w)
		w.result <- grantResult{choice: c}
	}
	a.overflow(now)
}

// overflow sends the last waiters to slow runners that are backed off, once the
// wait in the queue exceeds the typical latency. A slow answer beats a refusal, and
// the slots of slow runners are missed when the others are full.
func (a *admission) overflow(now time.Time) {
	for time.Duration(a.queue.len())*a.spacing() > a.route.MedianLatency() {
		w := a.queue.last(func(*waiter) bool { return true })
		c := a.route.Overflow(w.deadline.Sub(now))
		if c.Runner == nil || !a.shares.Acquire(a.service, c.Runner.ID) {
			return
		}
		a.route.Start(c.Runner)
		a.queue.remove(w)
		w.result <- grantResult{choice: c}
	}
}

// cancel removes a waiter that gave up. False means that its result is in w.result.
func (a *admission) cancel(w *waiter) bool { return a.queue.remove(w) }

// extra takes a slot at once for a retry or hedge, or returns no runner.
func (a *admission) extra(now time.Time, exclude model.RunnerID) routing.Choice {
	if a.queue.len() > 0 {
		return routing.Choice{Reason: "queue-not-empty"}
	}
	return a.take(now, &waiter{exclude: exclude})
}

// finish returns a slot and hands it on.
func (a *admission) finish(now time.Time, r *routing.Runner, latency time.Duration, result routing.Result) {
	a.route.Finish(r, now, latency, result)
	a.shares.Release(a.service, r.ID)
	a.pump(now)
}

// shed refuses all waiters when no runner is left.
func (a *admission) shed() {
	if a.route.Serving() > 0 {
		return
	}
	for w := a.queue.head(); w != nil; w = a.queue.head() {
		a.queue.remove(w)
		w.result <- grantResult{refusal: refuseNoRunner(a.service)}
	}
}
