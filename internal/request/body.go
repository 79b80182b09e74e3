package request

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// defaultBodyMB applies when the declaration states no body limit.
const defaultBodyMB = 64

// maxBody returns the body limit of svc in bytes.
func maxBody(svc *declaration.Service) int64 {
	if svc.MaxBodyMB <= 0 {
		return defaultBodyMB << 20
	}
	return int64(svc.MaxBodyMB) << 20
}

// memory bounds the bytes of bodies held at one time.
type memory struct {
	limit int64
	used  atomic.Int64
}

// take reserves n bytes; false means that the limit would be exceeded.
func (m *memory) take(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// give returns n bytes.
func (m *memory) give(n int64) { m.used.Add(-n) }

var (
	errBodyTooLarge = errors.New("body above the limit")
	errNoMemory     = errors.New("body memory is used up")
)

// readBody reads at most limit bytes of r and charges them to m. The returned
// function gives the bytes back.
func (m *memory) readBody(r io.Reader, declared, limit int64) ([]byte, func(), error) {
	if declared == 0 || r == nil || r == http.NoBody {
		return nil, func() {}, nil
	}
	if declared > limit {
		return nil, nil, errBodyTooLarge
	}
	var charged int64
	release := func() { m.give(charged) }
	buf := bytes.Buffer{}
	if declared > 0 {
		if !m.take(declared) {
			return nil, nil, errNoMemory
		}
		charged = declared
		buf.Grow(int(declared) + bytes.MinRead)
	}
	limited := &chargedReader{r: io.LimitReader(r, limit+1), m: m, charged: &charged}
	if _, err := buf.ReadFrom(limited); err != nil {
		release()
		return nil, nil, err
	}
	if int64(buf.Len()) > limit {
		release()
		return nil, nil, errBodyTooLarge
	}
	return buf.Bytes(), release, nil
}

// chargedReader charges bytes beyond those already charged.
type chargedReader struct {
	r       io.Reader
	m       *memory
	read    int64
	charged *int64
}

// Read reads from the underlying reader and charges what exceeds the reservation.
func (c *chargedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.read += int64(n)
	if extra := c.read - *c.charged; extra > 0 {
		if !c.m.take(extra) {
			return n, errNoMemory
		}
		*c.charged += extra
	}
	return n, err
}

// bodyRefusal turns a failure to read the caller's body into a refusal.
func bodyRefusal(err error) *Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return refusal(http.StatusRequestEntityTooLarge, model.KindInvalid, 0,
			"the request body is above the service's limit", "send a smaller body")
	case errors.Is(err, errNoMemory):
		return refusal(http.StatusServiceUnavailable, model.KindExhausted, time.Second,
			"this node holds too many large bodies", "retry after the stated time")
	default:
		return refusal(http.StatusBadRequest, model.KindInvalid, 0,
			"the request body ended early", "send the whole body")
	}
}

// receive reads the request body whole, because a claim covers its digest and a
// retry sends it again.
func (c *Chain) receive(next handler) handler {
	return func(cl *call) {
		body, release, err := c.mem.readBody(cl.r.Body, cl.r.ContentLength, maxBody(cl.svc))
		if err != nil {
			c.refuse(cl, bodyRefusal(err), "bad-body")
			return
		}
		defer release()
		cl.body = body
		next(cl)
	}
}
