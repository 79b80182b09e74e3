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
	headerClass = "Vpier-Class"
	classBulk   = "bulk"
	classFast   = "interactive"
	// pumpEvery is how often a waiter checks for slots gained without any request
	// having ended, as after a change of members.
	pumpEvery = 50 * time.Millisecond
)

// admit refuses what cannot be served in time and holds the rest until a slot is
// free. The slot is taken before the claim, so that a claim is only written for a
// request that can be sent at once.
func (c *Chain) admit(next handler) handler {
	return func(cl *call) {
		if dep, ok := c.missingDependency(cl); ok {
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
		defer cl.dropGrant()
		next(cl)
	}
}

// waiterFor describes cl to the admission queue.
func (c *Chain) waiterFor(cl *call) *waiter {
	bulk := !cl.idempotent
	switch cl.r.Header.Get(headerClass) {
	case classBulk:
		bulk = true
	case classFast:
		bulk = false
	}
	return &waiter{
		bulk: bulk, deadline: cl.deadline, caller: cl.caller, probe: cl.idempotent,
		result: make(chan grantResult, 1),
	}
}

// acquire waits for a slot until ctx ends.
func (p *pool) acquire(ctx context.Context, w *waiter) (*grant, *Refusal) {
	p.mu.Lock()
	now := p.chain.deps.Clock()
	p.refresh(now)
	p.arrive(now, w)
	p.mu.Unlock()
	select {
	case r := <-w.result:
		return p.granted(r)
	default:
	}
	return p.wait(ctx, w)
}

// wait blocks until w has its result or ctx ends.
func (p *pool) wait(ctx context.Context, w *waiter) (*grant, *Refusal) {
	tick := time.NewTicker(pumpEvery)
	defer tick.Stop()
	for {
		select {
		case r := <-w.result:
			return p.granted(r)
		case <-tick.C:
			p.poll()
		case <-ctx.Done():
			p.mu.Lock()
			gone := p.cancel(w)
			p.mu.Unlock()
			if gone {
				return nil, refuseDeadline(p.service, time.Second)
			}
		}
	}
}

// poll looks for changed runners and shares and serves the queue.
func (p *pool) poll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.chain.deps.Clock()
	p.refresh(now)
	p.pump(now)
}

// granted turns an admission result into a grant.
func (p *pool) granted(r grantResult) (*grant, *Refusal) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return &grant{pool: p, choice: r.choice, started: p.chain.deps.Clock()}, nil
}

// grant is a slot at a runner that must be given back exactly once.
type grant struct {
	pool    *pool
	choice  routing.Choice
	started time.Time
	done    bool
}

// finish gives the slot back with the result of the request.
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

// dropGrant gives back a slot that was never used.
func (cl *call) dropGrant() {
	if cl.grant != nil {
		cl.grant.finish(routing.Neutral)
	}
}

// missingDependency returns a service that cl's service depends on, directly or
// not, and that has no usable runner.
func (c *Chain) missingDependency(cl *call) (model.ServiceName, bool) {
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

// logRoute records the choice of a runner.
func (c *Chain) logRoute(cl *call, kind string, choice routing.Choice) {
	d := telemetry.Decision{Kind: kind, Subject: cl.id, Candidates: choice.Candidates, Reason: choice.Reason}
	if choice.Runner != nil {
		d.Choice = string(choice.Runner.ID)
	}
	c.deps.Decisions.LogDecision(d)
}

// refuseNoRunner is the answer when a service has no runner that takes requests.
func refuseNoRunner(svc model.ServiceName) *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindUnavailable, 2*time.Second,
		"no runner of "+string(svc)+" is in service", "retry after the stated time").because("no-runner")
}

// refuseNoSlots is the answer when runners exist but this node has no slots yet.
func refuseNoSlots(svc model.ServiceName) *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindUnavailable, time.Second,
		"this node has no slots for "+string(svc)+" at present", "retry; the load balancer may choose another node").because("no-slots")
}

// refuseDeadline is the early answer to a request that would miss its deadline.
func refuseDeadline(svc model.ServiceName, wait time.Duration) *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindExhausted, max(wait, time.Second),
		"the queue of "+string(svc)+" is too long for the request's deadline",
		"retry after the stated time, or allow a longer "+headerTimeout).because("deadline")
}

// refuseFull is the answer when the queue is full.
func refuseFull(svc model.ServiceName, wait time.Duration) *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindExhausted, max(wait, time.Second),
		"the queue of "+string(svc)+" is full", "retry after the stated time").because("queue-full")
}

// refuseCaller is the answer to a caller that holds its share of the queue.
func refuseCaller(svc model.ServiceName, wait time.Duration) *Refusal {
	return refusal(http.StatusTooManyRequests, model.KindExhausted, max(wait, time.Second),
		"this caller holds its share of the queue of "+string(svc), "send fewer requests at a time").because("caller-share")
}

// refuseDependency is the answer when a dependency has no usable runner.
func refuseDependency(svc, dep model.ServiceName) *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindUnavailable, 2*time.Second,
		string(svc)+" depends on "+string(dep)+", which has no runner in service", "retry after the stated time").because("dependency")
}
