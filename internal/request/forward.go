package request

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// executionTimeout returns the longest time that one request may run at a runner. Package
// share waits this long before it reuses the slots of a departed node.
func executionTimeout(svc *declaration.Service) time.Duration {
	if d := svc.DefaultTimeout.D(); d > 0 {
		return d
	}
	return defaultTimeout
}

// forward sends the request and passes the response to respond.
func (c *Chain) forward(next handler) handler {
	return func(cl *call) {
		if cl.idempotent {
			c.forwardIdempotent(cl, next)
			return
		}
		c.forwardOnce(cl, next)
	}
}

// attempt is the result of sending a request to a runner once.
type attempt struct {
	response *response
	err      *sendError
	leaving  bool
	grant    *grant
}

// send makes one attempt on g and reads the response as far as it is buffered. The slot is
// released when the response is complete or has failed.
func (c *Chain) send(ctx context.Context, cl *call, g *grant, atMostOnce bool) attempt {
	id := g.choice.Runner.ID
	up, closing := c.upstreamFor(cl.service, g.choice)
	timeout := executionTimeout(cl.svc)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	resp, err := up.roundTrip(ctx, cl, c.remaining(cl, timeout), atMostOnce || closing)
	if err != nil {
		cancel()
		g.finish(resultOf(ctx, err))
		return attempt{err: err, grant: g}
	}
	if c.detectLeaving(id, resp, atMostOnce || closing) {
		_ = resp.Body.Close()
		cancel()
		g.finish(routing.Neutral)
		return attempt{leaving: true, grant: g}
	}
	received, err := c.readResponse(cl, resp, atMostOnce, g, cancel)
	return attempt{response: received, err: err, grant: g}
}

// upstreamFor returns the connections to a runner. closing is true when the request's
// connection must be closed after it.
func (c *Chain) upstreamFor(service model.ServiceName, to routing.Choice) (up *upstream, closing bool) {
	id := to.Runner.ID
	if c.connections == nil {
		return c.up.get(id, to.Addr, connectionsPerSlot*to.Limit), false
	}
	up = c.up.get(id, to.Addr, c.connections.Connections(service, id))
	return up, c.connections.Borrowed(service, id)
}

// remaining returns the time until cl's deadline, at most limit.
func (c *Chain) remaining(cl *call, limit time.Duration) time.Duration {
	return min(limit, cl.deadline.Sub(c.deps.Clock()))
}

// resultOf classifies a failed attempt for the runner's statistics.
func resultOf(ctx context.Context, err *sendError) routing.Result {
	if err.stale || ctx.Err() == context.Canceled {
		return routing.Neutral
	}
	return routing.Failure
}

// detectLeaving records a runner as leaving when its response says so. It returns true when
// the runner refused the request for that reason, without having executed it. oneShot is true
// when the connection was opened for this request only, so that its close is no leaving
// signal.
func (c *Chain) detectLeaving(id model.RunnerID, resp *http.Response, oneShot bool) bool {
	refused := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerLeaving) == "true"
	closing := resp.Close && !oneShot
	if !refused && !closing {
		return false
	}
	if c.leaving.mark(c.deps.Clock(), string(id), true) {
		c.up.closeIdle(id)
	}
	return refused
}

// forwardOnce sends a non-idempotent request. The attempt continues after the caller has
// stopped waiting, so that its outcome is always recorded.
func (c *Chain) forwardOnce(cl *call, next handler) {
	g := cl.grant
	cl.grant = nil
	done := make(chan attempt, 1)
	c.drain.add()
	go func() {
		defer c.drain.done()
		a := c.send(context.WithoutCancel(cl.ctx), cl, g, true)
		c.recordAttempt(cl, a)
		done <- a
	}()
	select {
	case a := <-done:
		c.finishOnce(cl, a, next)
	case <-cl.ctx.Done():
		c.refuse(cl, newUnknownRefusal(http.StatusGatewayTimeout, "the request was sent and has not been answered in time",
			"ask again with the same "+headerKey), "timeout")
	}
}

// finishOnce responds to the caller of a non-idempotent request.
func (c *Chain) finishOnce(cl *call, a attempt, next handler) {
	switch {
	case a.leaving:
		c.refuse(cl, refuseLeaving(cl.service), "runner-leaving")
	case a.err != nil && !a.err.sent:
		c.refuse(cl, refuseConnect(cl.service), "connect")
	case a.err != nil:
		c.refuse(cl, newUnknownRefusal(http.StatusBadGateway, "the runner failed after the request was sent",
			"check the effect in the service; the same "+headerKey+" will not be sent again"), "runner-failed")
	default:
		cl.response = a.response
		next(cl)
	}
}

// forwardIdempotent sends an idempotent request, with retries and hedges within the retry
// budget and the deadline.
func (c *Chain) forwardIdempotent(cl *call, next handler) {
	f := &attemptSet{chain: c, cl: cl, results: make(chan attempt, maxAttempts)}
	a := f.run()
	switch {
	case a.response != nil:
		cl.response = a.response
		next(cl)
	case cl.ctx.Err() != nil:
		c.refuse(cl, newUnknownRefusal(http.StatusGatewayTimeout, "the runners did not answer in time", "retry; the request is idempotent"), "timeout")
	case a.leaving || a.err != nil && !a.err.sent:
		c.refuse(cl, refuseConnect(cl.service), "connect")
	default:
		c.refuse(cl, newUnknownRefusal(http.StatusBadGateway, "the runner failed while it answered", "retry; the request is idempotent"), "runner-failed")
	}
}

// refuseConnect is the refusal when no byte reached a runner.
func refuseConnect(svc model.ServiceName) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, time.Second,
		"no runner of "+string(svc)+" could be reached", "retry after the stated time").withReason("connect")
}

// refuseLeaving is the refusal when the runner refused the request because it is leaving.
func refuseLeaving(svc model.ServiceName) *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, time.Second,
		"the runner of "+string(svc)+" is leaving and refused the request", "retry after the stated time").withReason("runner-leaving")
}
