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

// defaultBodyMB applies when the declaration sets no body limit.
const defaultBodyMB = 64

// maxBodyBytes returns the body limit of svc in bytes.
func maxBodyBytes(svc *declaration.Service) int64 {
	if svc.MaxBodyMB <= 0 {
		return defaultBodyMB << 20
	}
	return int64(svc.MaxBodyMB) << 20
}

// bodyMemory limits the bytes of request and response bodies held in memory at one time.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve accounts for n more bytes; false means that the limit would be exceeded.
func (m *bodyMemory) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// release gives back n reserved bytes.
func (m *bodyMemory) release(n int64) { m.used.Add(-n) }

var (
	errBodyTooLarge = errors.New("body exceeds the size limit")
	errNoMemory     = errors.New("body memory limit exceeded")
)

// readBody reads at most limit bytes of r and reserves them in m. The returned function
// releases them.
func (m *bodyMemory) readBody(r io.Reader, declared, limit int64) ([]byte, func(), error) {
	if declared == 0 || r == nil || r == http.NoBody {
		return nil, func() {}, nil
	}
	if declared > limit {
		return nil, nil, errBodyTooLarge
	}
	var reserved int64
	release := func() { m.release(reserved) }
	buf := bytes.Buffer{}
	if declared > 0 {
		if !m.reserve(declared) {
			return nil, nil, errNoMemory
		}
		reserved = declared
		buf.Grow(int(declared) + bytes.MinRead)
	}
	limited := &reservingReader{r: io.LimitReader(r, limit+1), m: m, reserved: &reserved}
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

// reservingReader reserves memory for bytes read beyond those already reserved.
type reservingReader struct {
	r        io.Reader
	m        *bodyMemory
	read     int64
	reserved *int64
}

// Read reads from the underlying reader and reserves what exceeds the reservation.
func (c *reservingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.read += int64(n)
	if extra := c.read - *c.reserved; extra > 0 {
		if !c.m.reserve(extra) {
			return n, errNoMemory
		}
		*c.reserved += extra
	}
	return n, err
}

// bodyRefusal converts a failure to read the caller's body into a refusal.
func bodyRefusal(err error) *Refusal {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, model.KindInvalid, 0,
			"the request body is above the service's limit", "send a smaller body")
	case errors.Is(err, errNoMemory):
		return newRefusal(http.StatusServiceUnavailable, model.KindExhausted, time.Second,
			"this node holds too many large bodies", "retry after the stated time")
	default:
		return newRefusal(http.StatusBadRequest, model.KindInvalid, 0,
			"the request body ended early", "send the whole body")
	}
}

// bufferBody reads the whole request body, because a claim covers its digest and a retry sends
// it again.
func (c *Chain) bufferBody(next handler) handler {
	return func(cl *call) {
		body, release, err := c.mem.readBody(cl.r.Body, cl.r.ContentLength, maxBodyBytes(cl.svc))
		if err != nil {
			c.refuse(cl, bodyRefusal(err), "bad-body")
			return
		}
		defer release()
		cl.body = body
		next(cl)
	}
}
