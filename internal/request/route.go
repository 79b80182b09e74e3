package request

import "github.com/vanillapier/vanillapier/internal/routing"

// route checks the runner that admission chose. The runner may have begun to leave while the
// claim was written; then another runner is chosen, or the request is refused before anything
// was sent.
func (c *Chain) route(next handler) handler {
	return func(cl *call) {
		c.logRoute(cl, "route", cl.grant.choice)
		if cl.grant.leaving() && !c.reroute(cl) {
			c.abandon(cl, refuseNoRunner(cl.service))
			return
		}
		next(cl)
	}
}

// leaving reports whether the granted runner has begun to leave.
func (g *grant) leaving() bool {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	g.pool.refresh(g.pool.chain.deps.Clock())
	return g.choice.Runner.Leaving()
}

// reroute replaces the grant by one at another runner.
func (c *Chain) reroute(cl *call) bool {
	p := cl.grant.pool
	w := c.waiterFor(cl)
	w.exclude = cl.grant.choice.Runner.ID
	cl.grant.finish(routing.Neutral)
	g, f := p.acquire(cl.ctx, w)
	if f != nil {
		cl.grant = nil
		return false
	}
	cl.grant = g
	c.logRoute(cl, "reroute", g.choice)
	return true
}
