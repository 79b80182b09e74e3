package request

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// executionBound returns the longest time that one request may run at a runner.
// Package share waits for it before a dead node's slots are used again.
func executionBound(svc *declaration.Service) time.Duration {
	if d := svc.DefaultTimeout.D(); d > 0 {
		return d
	}
	return fallbackTimeout
}

// forward sends the request and hands the answer to collect.
func (c *Chain) forward(next handler) handler {
	return func(cl *call) {
		if cl.idempotent {
			c.forwardIdempotent(cl, next)
			return
		}
		c.forwardOnce(cl, next)
	}
}

// attempt is one exchange with a runner.
type attempt struct {
	answer  *answer
	err     *sendError
	leaving bool
	grant   *grant
}

// send performs one exchange on g and reads the answer as far as it is held in
// memory. The slot is given back when the answer is complete or has failed.
func (c *Chain) send(ctx context.Context, cl *call, g *grant, single bool) attempt {
	id := g.choice.Runner.ID
	up, closing := c.connect(cl.service, g.choice)
	bound := executionBound(cl.svc)
	ctx, cancel := context.WithTimeout(ctx, bound)
	resp, err := up.exchange(ctx, cl, c.remaining(cl, bound), single || closing)
	if err != nil {
		cancel()
		g.finish(resultOf(ctx, err))
		return attempt{err: err, grant: g}
	}
	if c.sawLeaving(id, resp, single || closing) {
		_ = resp.Body.Close()
		cancel()
		g.finish(routing.Neutral)
		return attempt{leaving: true, grant: g}
	}
	ans, err := c.receiveAnswer(cl, resp, single, g, cancel)
	return attempt{answer: ans, err: err, grant: g}
}

// connect returns the connections to a runner. Closing is true when the request's
// connection must not be kept.
func (c *Chain) connect(service model.ServiceName, to routing.Choice) (up *upstream, closing bool) {
	id := to.Runner.ID
	if c.connections == nil {
		return c.up.get(id, to.Addr, connectionsPerSlot*to.Limit), false
	}
	up = c.up.get(id, to.Addr, c.connections.Connections(service, id))
	return up, c.connections.Borrowed(service, id)
}

// remaining returns the time until cl's deadline, at most bound.
func (c *Chain) remaining(cl *call, bound time.Duration) time.Duration {
	return min(bound, cl.deadline.Sub(c.deps.Clock()))
}

// resultOf classifies a failed exchange for the runner's statistics.
func resultOf(ctx context.Context, err *sendError) routing.Result {
	if err.stale || ctx.Err() == context.Canceled {
		return routing.Neutral
	}
	return routing.Failure
}

// sawLeaving notes signs that the runner is leaving. It returns true when the
// runner refused the request for that reason, without having executed it.
func (c *Chain) sawLeaving(id model.RunnerID, resp *http.Response, single bool) bool {
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerLeaving) == "true"
	closing := resp.Close && !single
	if !refused && !closing {
		return false
	}
	if c.leaving.mark(c.deps.Clock(), string(id), true) {
		c.up.closeIdle(id)
	}
	return refused
}

// forwardOnce sends a non-idempotent request. The exchange outlives the caller,
// so that its outcome is recorded even if nobody waits for it any more.
func (c *Chain) forwardOnce(cl *call, next handler) {
	g := cl.grant
	cl.grant = nil
	done := make(chan attempt, 1)
	c.drain.hold()
	go func() {
		defer c.drain.leave()
		a := c.send(context.WithoutCancel(cl.ctx), cl, g, true)
		c.settleAttempt(cl, a)
		done <- a
	}()
	select {
	case a := <-done:
		c.finishOnce(cl, a, next)
	case <-cl.ctx.Done():
		c.refuse(cl, unknown(http.StatusGatewayTimeout, "the request was sent and has not been answered in time",
			"ask again with the same "+headerKey), "timeout")
	}
}

// finishOnce answers the caller of a non-idempotent request.
func (c *Chain) finishOnce(cl *call, a attempt, next handler) {
	switch {
	case a.leaving:
		c.refuse(cl, refuseLeaving(cl.service), "runner-leaving")
	case a.err != nil && !a.err.sent:
		c.refuse(cl, refuseConnect(cl.service), "connect")
	case a.err != nil:
		c.refuse(cl, unknown(http.StatusBadGateway, "the runner failed after the request was sent",
			"check the effect in the service; the same "+headerKey+" will not be sent again"), "runner-failed")
	default:
		cl.answer = a.answer
		next(cl)
	}
}

// forwardIdempotent sends an idempotent request, with retries and hedges within
// the budget and the deadline.
func (c *Chain) forwardIdempotent(cl *call, next handler) {
	f := &flight{chain: c, cl: cl, results: make(chan attempt, maxAttempts)}
	a := f.run()
	switch {
	case a.answer != nil:
		cl.answer = a.answer
		next(cl)
	case cl.ctx.Err() != nil:
		c.refuse(cl, unknown(http.StatusGatewayTimeout, "the runners did not answer in time", "retry; the request is idempotent"), "timeout")
	case a.leaving || a.err != nil && !a.err.sent:
		c.refuse(cl, refuseConnect(cl.service), "connect")
	default:
		c.refuse(cl, unknown(http.StatusBadGateway, "the runner failed while it answered", "retry; the request is idempotent"), "runner-failed")
	}
}

// refuseConnect is the answer when no byte reached a runner.
func refuseConnect(svc model.ServiceName) *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindUnavailable, time.Second,
		"no runner of "+string(svc)+" could be reached", "retry after the stated time").because("connect")
}

// refuseLeaving is the answer when the runner refused because it is leaving.
func refuseLeaving(svc model.ServiceName) *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindUnavailable, time.Second,
		"the runner of "+string(svc)+" is leaving and refused the request", "retry after the stated time").because("runner-leaving")
}
