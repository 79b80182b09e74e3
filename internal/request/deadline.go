package request

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// defaultTimeout applies when neither the caller nor the declaration states one.
const defaultTimeout = 5 * time.Second

// deadline sets the time by which the caller needs its response and limits the request's
// context to it.
func (c *Chain) deadline(next handler) handler {
	return func(cl *call) {
		timeout, f := c.timeoutOf(cl)
		if f != nil {
			c.refuse(cl, f, "bad-timeout")
			return
		}
		cl.deadline = cl.arrived.Add(timeout)
		ctx, cancel := context.WithTimeout(cl.ctx, timeout)
		defer cancel()
		cl.ctx = ctx
		next(cl)
	}
}

// timeoutOf returns the request's timeout: the caller's, or else the declared default.
func (c *Chain) timeoutOf(cl *call) (time.Duration, *Refusal) {
	timeout := cl.svc.DefaultTimeout.D()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if v := cl.r.Header.Get(headerTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return 0, newRefusal(http.StatusBadRequest, model.KindInvalid, 0,
				headerTimeout+" is not a positive number of milliseconds", "send a whole number, or leave the header out")
		}
		timeout = c.cfg.MaxTimeout
		if ms < c.cfg.MaxTimeout.Milliseconds() {
			timeout = time.Duration(ms) * time.Millisecond
		}
	}
	return min(timeout, c.cfg.MaxTimeout), nil
}
