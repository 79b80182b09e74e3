package request

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// connectionsPerSlot is the ratio of connections to slots that applies when
	// Shares does not implement ConnectionShares.
	connectionsPerSlot = 8
	// idlePerRunner bounds idle connections kept to one runner.
	idlePerRunner = 16
	// idleTimeout closes connections before common upstream idle limits do.
	idleTimeout = 15 * time.Second
)

// errConnections means that the runner's connection limit is reached.
var errConnections = errors.New("connection limit of the runner reached")

// upstream holds the connections to one runner.
type upstream struct {
	addr string
	// reuse keeps connections for idempotent requests. once opens one for each
	// non-idempotent request: a reused connection can break at the moment of the
	// send, and the outcome would be unknown for no good reason.
	reuse *http.Transport
	once  *http.Transport
	open  atomic.Int64
	limit atomic.Int64
}

// upstreams holds the connections to all runners by address.
type upstreams struct {
	cfg   Config
	mu    sync.Mutex
	byKey map[model.RunnerID]*upstream
}

// newUpstreams returns an empty set.
func newUpstreams(cfg Config) *upstreams {
	return &upstreams{cfg: cfg, byKey: map[model.RunnerID]*upstream{}}
}

// get returns the connections to a runner and sets their limit.
func (u *upstreams) get(id model.RunnerID, addr string, limit int) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	up := u.byKey[id]
	if up == nil || up.addr != addr {
		if up != nil {
			up.close()
		}
		up = u.connect(addr)
		u.byKey[id] = up
	}
	up.limit.Store(int64(max(1, limit)))
	return up
}

// trim closes the idle connections to a runner when more than limit are open. It
// reports whether at most limit remain.
func (u *upstreams) trim(id model.RunnerID, limit int) bool {
	u.mu.Lock()
	up := u.byKey[id]
	u.mu.Unlock()
	if up == nil {
		return true
	}
	up.limit.Store(int64(limit))
	if up.open.Load() > int64(limit) {
		up.close()
	}
	return up.open.Load() <= int64(limit)
}

// forget drops the connections to runners that keep does not name.
func (u *upstreams) forget(keep func(model.RunnerID) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, up := range u.byKey {
		if !keep(id) {
			up.close()
			delete(u.byKey, id)
		}
	}
}

// connect prepares the transports for one address without opening a connection.
func (u *upstreams) connect(addr string) *upstream {
	up := &upstream{addr: addr}
	up.reuse = u.transport(up)
	up.once = u.transport(up)
	up.once.DisableKeepAlives = true
	return up
}

// transport returns a transport whose connections count against up's limit.
func (u *upstreams) transport(up *upstream) *http.Transport {
	dialer := &net.Dialer{Timeout: u.cfg.ConnectTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return up.dial(ctx, dialer, network, addr)
		},
		MaxIdleConns:           idlePerRunner,
		MaxIdleConnsPerHost:    idlePerRunner,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: int64(u.cfg.MaxHeaderBytes),
		ReadBufferSize:         16 << 10,
	}
}

// dial opens a connection within the limit. Idle connections make room first.
func (up *upstream) dial(ctx context.Context, d *net.Dialer, network, addr string) (net.Conn, error) {
	if !up.take() {
		up.reuse.CloseIdleConnections()
		if !up.take() {
			return nil, errConnections
		}
	}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		up.open.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, open: &up.open}, nil
}

// take counts one connection unless the limit is reached.
func (up *upstream) take() bool {
	if up.open.Add(1) > up.limit.Load() {
		up.open.Add(-1)
		return false
	}
	return true
}

// close ends the idle connections.
func (up *upstream) close() { up.reuse.CloseIdleConnections() }

// closeIdle ends the idle connections to a runner, as when it leaves.
func (u *upstreams) closeIdle(id model.RunnerID) {
	u.mu.Lock()
	up := u.byKey[id]
	u.mu.Unlock()
	if up != nil {
		up.close()
	}
}

// close ends all idle connections.
func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, up := range u.byKey {
		up.close()
	}
}

// countedConn gives its count back when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and lowers the count once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// sendError is a failed exchange with a runner.
type sendError struct {
	err error
	// sent is false only when no byte of the request can have left this node.
	sent bool
	// stale is true when a reused connection was closed by the runner before the
	// request reached it, which says nothing about the runner's health.
	stale bool
}

// Error returns the cause.
func (e *sendError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }

// onceBody is a request body that the transport cannot rewind, so that it never
// repeats a request on its own.
type onceBody struct{ io.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }

// exchange sends cl to the runner and returns the head of its answer. The
// transport sends at most once: its body has no GetBody, which net/http requires
// for a replay.
func (up *upstream) exchange(ctx context.Context, cl *call, timeout time.Duration, single bool) (*http.Response, *sendError) {
	var got, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		got.Store(true)
		reused.Store(info.Reused)
	}}
	req, err := up.newRequest(httptrace.WithClientTrace(ctx, trace), cl, timeout, single)
	if err != nil {
		return nil, &sendError{err: err}
	}
	transport := up.reuse
	if single {
		transport = up.once
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		stale := reused.Load() && ctx.Err() == nil
		return nil, &sendError{err: err, sent: got.Load(), stale: stale}
	}
	return resp, nil
}

// newRequest builds the upstream request of cl. A connection that is opened for
// one request cannot cause a replay, so that an empty body may be sent as such.
func (up *upstream) newRequest(ctx context.Context, cl *call, timeout time.Duration, single bool) (*http.Request, error) {
	target := "http://" + up.addr + cl.path
	if cl.r.URL.RawQuery != "" {
		target += "?" + cl.r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, cl.r.Method, target, nil)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "check the request path", "build upstream request")
	}
	if len(cl.body) > 0 || !single {
		req.Body = onceBody{bytes.NewReader(cl.body)}
		req.ContentLength = int64(len(cl.body))
	}
	copyHeader(req.Header, cl.r.Header)
	req.Header.Set(headerRequestID, cl.id)
	req.Header.Set(headerTimeout, strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	req.Header.Set("Te", "trailers")
	if cl.key != "" {
		req.Header.Set(headerKey, cl.key)
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // an empty value keeps net/http from adding its own
	}
	return req, nil
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	headerService: true, headerTimeout: true, headerOutcome: true, headerReplayed: true, headerRequestID: true, headerAttempt: true,
}

// copyHeader copies end-to-end headers, without those that Connection names.
func copyHeader(dst, src http.Header) {
	named := src.Values("Connection")
	for name, values := range src {
		if hopHeaders[name] || namedIn(named, name) {
			continue
		}
		dst[name] = values
	}
}

// namedIn reports whether a Connection header names the given header.
func namedIn(connection []string, name string) bool {
	for _, line := range connection {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}
