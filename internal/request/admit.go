package request

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

const (
	headerClass      = "Vpier-Class"
	classBulk        = "bulk"
	classInteractive = "interactive"
	// queuePollInterval is how often a waiter checks for slots that become free without the
	// end of a request, as after a membership change.
	queuePollInterval = 50 * time.Millisecond
)

// admit refuses requests that cannot be served in time and queues the others until a slot is
// free. The slot is acquired before the claim, so that a claim is written only for a request
// that can be sent at once.
func (c *Chain) admit(next handler) handler {
	return func(cl *call) {
		if dep, ok := c.unavailableDependency(cl); ok {
			c.refuse(cl, refuseDependency(cl.service, dep), "dependency-unusable")
			return
		}
		p := c.pool(cl.svc)
		g, f := p.acquire(cl.ctx, c.waiterFor(cl))
		if f != nil {
			c.refuse(cl, f, f.reason)
			return
		}
		cl.grant = g
		defer cl.releaseGrant()
		next(cl)
	}
}

// waiterFor returns the admission queue's entry for cl.
func (c *Chain) waiterFor(cl *call) *waiter {
	bulk := !cl.idempotent
	switch cl.r.Header.Get(headerClass) {
	case classBulk:
		bulk = true
	case classInteractive:
		bulk = false
	}
	return &waiter{
		bulk: bulk, deadline: cl.deadline, caller: cl.caller, probe: cl.idempotent,
		result: make(chan admissionResult, 1),
	}
}

// acquire waits for a slot until ctx ends.
func (p *pool) acquire(ctx context.Context, w *waiter) (*grant, *Refusal) {
	p.mu.Lock()
	now := p.chain.deps.Clock()
	p.refresh(now)
	p.admitOrQueue(now, w)
	p.mu.Unlock()
	select {
	case r := <-w.result:
		return p.newGrant(r)
	default:
	}
	return p.wait(ctx, w)
}

// wait blocks until w has its result or ctx ends.
func (p *pool) wait(ctx context.Context, w *waiter) (*grant, *Refusal) {
	tick := time.NewTicker(queuePollInterval)
	defer tick.Stop()
	for {
		select {
		case r := <-w.result:
			return p.newGrant(r)
		case <-tick.C:
			p.poll()
		case <-ctx.Done():
			p.mu.Lock()
			removed := p.cancel(w)
			p.mu.Unlock()
			if removed {
				return nil, refuseDeadline(p.service, time.Second)
			}
		}
	}
}

// poll picks up changed runners and shares and dispatches the queue.
func (p *pool) poll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.chain.deps.Clock()
	p.refresh(now)
	p.dispatchQueue(now)
}

// newGrant converts an admission result into a grant.
func (p *pool) newGrant(r admissionResult) (*grant, *Refusal) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return &grant{pool: p, choice: r.choice, started: p.chain.deps.Clock()}, nil
}

// grant is a slot at a runner; it must be released exactly once.
type grant struct {
	pool    *pool
	choice  routing.Choice
	started time.Time
	done    bool
}

// finish releases the slot and reports the result of the request.
func (g *grant) finish(result routing.Result) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if g.done {
		return
	}
	g.done = true
	now := g.pool.chain.deps.Clock()
	g.pool.admission.finish(now, g.choice.Runner, now.Sub(g.started), result)
}

// releaseGrant releases a slot that was not used.
func (cl *call) releaseGrant() {
	if cl.grant != nil {
		cl.grant.finish(routing.Neutral)
	}
}

// unavailableDependency returns a direct or transitive dependency of cl's service that has no
// usable runner.
func (c *Chain) unavailableDependency(cl *call) (model.ServiceName, bool) {
	if len(cl.svc.DependsOn) == 0 {
		return "", false
	}
	seen := map[model.ServiceName]bool{cl.service: true}
	todo := append([]model.ServiceName(nil), cl.svc.DependsOn...)
	for len(todo) > 0 {
		name := todo[0]
		todo = todo[1:]
		if seen[name] {
			continue
		}
		seen[name] = true
		svc := serviceOf(cl.view, name)
		if svc == nil || !c.pool(svc).usable() {
			return name, true
		}
		todo = append(todo, svc.DependsOn...)
	}
	return "", false
}

// logRoute logs the choice of a runner.
func (c *Chain) logRoute(cl *call, kind string, choice routing.Choice) {
	d := telemetry.Decision{Kind: kind, Subject: cl.id, Candidates: choice.Candidates, Reason: choice.Reason}
	if choice.Runner != nil {
		d.Choice = string(choice.Runner.ID)
	}
	c.deps.Decisions.LogDecision(d)
}

// refuseNoRunner is the refusal when a service has no runner that takes requests.
func refuseNoRunner(svc model.ServiceName) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, 2*time.Second,
		"no runner of "+string(svc)+" is in service", "retry after the stated time").withReason("no-runner")
}

// refuseNoSlots is the refusal when runners exist but this node has no slots yet.
func refuseNoSlots(svc model.ServiceName) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, time.Second,
		"this node has no slots for "+string(svc)+" at present", "retry; the load balancer may choose another node").withReason("no-slots")
}

// refuseDeadline is the early refusal of a request that would miss its deadline.
func refuseDeadline(svc model.ServiceName, wait time.Duration) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindExhausted, max(wait, time.Second),
		"the queue of "+string(svc)+" is too long for the request's deadline",
		"retry after the stated time, or allow a longer "+headerTimeout).withReason("deadline")
}

// refuseFull is the refusal when the queue is full.
func refuseFull(svc model.ServiceName, wait time.Duration) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindExhausted, max(wait, time.Second),
		"the queue of "+string(svc)+" is full", "retry after the stated time").withReason("queue-full")
}

// refuseCaller is the refusal of a caller that already occupies its share of the queue.
func refuseCaller(svc model.ServiceName, wait time.Duration) *Refusal {
	return newRefusal(http.StatusTooManyRequests, model.KindExhausted, max(wait, time.Second),
		"this caller holds its share of the queue of "+string(svc), "send fewer requests at a time").withReason("caller-share")
}

// refuseDependency is the refusal when a dependency has no usable runner.
func refuseDependency(svc, dep model.ServiceName) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, 2*time.Second,
		string(svc)+" depends on "+string(dep)+", which has no runner in service", "retry after the stated time").withReason("dependency")
}
