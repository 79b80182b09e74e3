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

// answer is a runner's answer: complete in body, or body and the rest in stream.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	stream  *bodyStream
	length  int64
	release func()
	cancel  context.CancelFunc
	// index is the attempt that produced the answer.
	index int
	// bodyLost is true when the request was executed but its answer could not be held.
	bodyLost bool
}

// drop ends an answer that nobody needs.
func (a *answer) drop() {
	if a.stream != nil {
		a.stream.end(routing.Neutral)
	}
	a.cancel()
	a.release()
}

// receiveAnswer reads resp. An answer up to the streaming limit, and any answer to
// a non-idempotent request, is read whole and checked before the caller sees any
// of it. A longer one is checked while it is passed on.
func (c *Chain) receiveAnswer(cl *call, resp *http.Response, single bool, g *grant, cancel context.CancelFunc) (*answer, *sendError) {
	a := &answer{status: resp.StatusCode, header: http.Header{}, length: resp.ContentLength, release: func() {}, cancel: cancel}
	copyHeader(a.header, resp.Header)
	s := newBodyStream(resp, cl.r.Method, maxBody(cl.svc), g, cancel)
	hold := c.cfg.StreamAbove
	if single {
		hold = maxBody(cl.svc)
	}
	body, release, whole, err := s.readUpTo(&c.mem, hold)
	if err != nil {
		return c.unreadable(a, s, single, err)
	}
	a.body, a.release = body, release
	if !whole {
		a.stream = s
		return a, nil
	}
	s.copyDigest(a.header)
	a.length = int64(len(body))
	s.end(routing.Success)
	return a, nil
}

// unreadable turns a body that could not be read into a failure, or into an
// executed request without a body when only memory was short.
func (c *Chain) unreadable(a *answer, s *bodyStream, single bool, err error) (*answer, *sendError) {
	if single && (err == errNoMemory || err == errBodyTooLarge) && s.discard() == nil {
		a.bodyLost = true
		s.end(routing.Success)
		return a, nil
	}
	s.end(routing.Failure)
	return nil, &sendError{err: err, sent: true}
}

// collect passes the answer to the caller. A streamed answer that fails half-way
// ends with a reset connection, never with a clean end of a cut body.
func (c *Chain) collect(cl *call) {
	a := cl.answer
	defer a.drop()
	if a.bodyLost {
		c.refuse(cl, refuseBodyLost(), "body-lost")
		return
	}
	writeBy := time.Now().Add(cl.deadline.Sub(c.deps.Clock()) + time.Second)
	_ = http.NewResponseController(cl.w).SetWriteDeadline(writeBy) // not supported by test recorders
	h := cl.w.Header()
	copyHeader(h, a.header)
	h.Set(headerOutcome, string(model.OutcomeDone))
	if a.length >= 0 && hasBody(cl.r.Method, a.status) {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	if a.stream != nil {
		a.stream.announce(h)
	}
	cl.w.WriteHeader(a.status)
	if _, err := cl.w.Write(a.body); err == nil && a.stream != nil {
		c.passOn(cl, a)
	}
	c.metrics.answered(cl.service, string(model.OutcomeDone), "answered")
	c.metrics.observe(cl.service, c.deps.Clock().Sub(cl.arrived))
}

// passOn copies the rest of a streamed answer and aborts the caller's connection
// when it cannot be completed.
func (c *Chain) passOn(cl *call, a *answer) {
	err := a.stream.copyTo(cl.w)
	if err == nil {
		a.stream.trailers(cl.w.Header())
		a.stream.end(routing.Success)
		return
	}
	a.stream.end(routing.Failure)
	c.metrics.answered(cl.service, string(model.OutcomeUnknown), "cut")
	panic(http.ErrAbortHandler)
}

// hasBody reports whether an answer to method with status may have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// refuseBodyLost is the answer when the request was executed and its answer
// could not be held.
func refuseBodyLost() *Refusal {
	f := refusal(http.StatusBadGateway, model.KindExhausted, 0,
		"the request was executed; its answer is above the limits of this node", "read the result from the service")
	f.outcome = model.OutcomeDone
	return f.because("body-lost")
}

// discard reads the rest of a body without keeping it.
func (s *bodyStream) discard() error {
	_, err := io.Copy(io.Discard, s.body)
	return err
}
