package request

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// drainState counts work in progress and refuses new calls after close.
type drainState struct {
	mu     sync.Mutex
	active int
	closed bool
	idle   chan struct{}
}

// tryAdd counts a new call. It reports false once the chain is closed.
func (d *drainState) tryAdd() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.active++
	return true
}

// add counts work that outlives its call, such as recording an outcome.
func (d *drainState) add() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
}

// done ends work that tryAdd or add counted.
func (d *drainState) done() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.closed && d.active == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// close refuses new calls and returns a channel that is closed once no work is left.
func (d *drainState) close() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	done := make(chan struct{})
	if d.active == 0 {
		close(done)
		return done
	}
	d.idle = done
	return done
}

// Drain prepares a graceful shutdown. The node must report itself as not ready before the
// call. New requests are still served for the drain delay, while the load balancer notices;
// after it they get 503 with Connection: close. Drain returns when no request is in flight, or
// with the context's error.
func (c *Chain) Drain(ctx context.Context) error {
	timer := time.NewTimer(c.cfg.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	idle := c.drain.close()
	select {
	case <-idle:
		c.up.close()
		return nil
	case <-ctx.Done():
		return model.Wrap(model.KindUnavailable, ctx.Err(), "allow a longer stop time", "requests still in flight")
	}
}

// drainRefusal is the refusal of requests that arrive after the drain delay.
func (c *Chain) drainRefusal() *Refusal {
	f := newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, time.Second,
		"this node is shutting down", "retry; the load balancer will choose another node")
	f.close = true
	return f
}
