package request

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// response is a runner's response: either complete in body, or its start in body and the rest
// in stream.
type response struct {
	status  int
	header  http.Header
	body    []byte
	stream  *bodyStream
	length  int64
	release func()
	cancel  context.CancelFunc
	// attemptIndex is the index of the attempt that produced the response.
	attemptIndex int
	// bodyLost is true when the request was executed but its response body could not be held.
	bodyLost bool
}

// cleanUp releases the resources of a response.
func (a *response) cleanUp() {
	if a.stream != nil {
		a.stream.finish(routing.Neutral)
	}
	a.cancel()
	a.release()
}

// readResponse reads resp. A response up to the streaming limit, and any response to a
// non-idempotent request, is read whole and verified before the caller sees any of it. A
// longer one is verified while it is streamed.
func (c *Chain) readResponse(cl *call, resp *http.Response, atMostOnce bool, g *grant, cancel context.CancelFunc) (*response, *sendError) {
	a := &response{status: resp.StatusCode, header: http.Header{}, length: resp.ContentLength, release: func() {}, cancel: cancel}
	copyHeader(a.header, resp.Header)
	s := newBodyStream(resp, cl.r.Method, maxBodyBytes(cl.svc), g, cancel)
	limit := c.cfg.StreamAbove
	if atMostOnce {
		limit = maxBodyBytes(cl.svc)
	}
	body, release, whole, err := s.readUpTo(&c.mem, limit)
	if err != nil {
		return c.bodyReadFailed(a, s, atMostOnce, err)
	}
	a.body, a.release = body, release
	if !whole {
		a.stream = s
		return a, nil
	}
	s.copyDigest(a.header)
	a.length = int64(len(body))
	s.finish(routing.Success)
	return a, nil
}

// bodyReadFailed converts a body that could not be read into an error, or, when a
// non-idempotent request was executed and its response only exceeds the memory or body limit,
// into a response without a body.
func (c *Chain) bodyReadFailed(a *response, s *bodyStream, atMostOnce bool, err error) (*response, *sendError) {
	if atMostOnce && (err == errNoMemory || err == errBodyTooLarge) && s.discard() == nil {
		a.bodyLost = true
		s.finish(routing.Success)
		return a, nil
	}
	s.finish(routing.Failure)
	return nil, &sendError{err: err, sent: true}
}

// respond sends the response to the caller. A streamed response that fails midway ends with a
// connection reset, so that a truncated body never looks complete.
func (c *Chain) respond(cl *call) {
	a := cl.response
	defer a.cleanUp()
	if a.bodyLost {
		c.refuse(cl, refuseBodyLost(), "body-lost")
		return
	}
	writeBy := time.Now().Add(cl.deadline.Sub(c.deps.Clock()) + time.Second)
	_ = http.NewResponseController(cl.w).SetWriteDeadline(writeBy) // not supported by test recorders
	h := cl.w.Header()
	copyHeader(h, a.header)
	h.Set(headerOutcome, string(model.OutcomeDone))
	if a.length >= 0 && mayHaveBody(cl.r.Method, a.status) {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	if a.stream != nil {
		a.stream.announceTrailers(h)
	}
	cl.w.WriteHeader(a.status)
	if _, err := cl.w.Write(a.body); err == nil && a.stream != nil {
		c.streamRest(cl, a)
	}
	c.metrics.countResponse(cl.service, string(model.OutcomeDone), "answered")
	c.metrics.observeLatency(cl.service, c.deps.Clock().Sub(cl.arrived))
}

// streamRest copies the rest of a streamed response and aborts the caller's connection when it
// cannot be completed.
func (c *Chain) streamRest(cl *call, a *response) {
	err := a.stream.copyTo(cl.w)
	if err == nil {
		a.stream.copyTrailers(cl.w.Header())
		a.stream.finish(routing.Success)
		return
	}
	a.stream.finish(routing.Failure)
	c.metrics.countResponse(cl.service, string(model.OutcomeUnknown), "cut")
	panic(http.ErrAbortHandler)
}

// mayHaveBody reports whether a response to method with status may have a body.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuseBodyLost is the refusal when the request was executed but its response could not be
// held.
func refuseBodyLost() *Refusal {
	f := newRefusal(http.StatusBadGateway, model.KindExhausted, 0,
		"the request was executed; its answer is above the limits of this node", "read the result from the service")
	f.outcome = model.OutcomeDone
	return f.withReason("body-lost")
}

// discard reads the rest of a body without keeping it.
func (s *bodyStream) discard() error {
	_, err := io.Copy(io.Discard, s.body)
	return err
}
