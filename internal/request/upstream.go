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
	// idlePerRunner limits the idle connections kept to one runner.
	idlePerRunner = 16
	// idleTimeout is shorter than the usual idle timeouts of upstreams, so that this node
	// closes idle connections first.
	idleTimeout = 15 * time.Second
)

// errConnections means that the runner's connection limit is reached.
var errConnections = errors.New("connection limit of the runner reached")

// upstream holds the connections to one runner.
type upstream struct {
	addr string
	// keepAlive reuses connections for idempotent requests. oneShot opens a new one for each
	// non-idempotent request: a reused connection can break at the moment of the send, which
	// would make the outcome unknown without need.
	keepAlive *http.Transport
	oneShot   *http.Transport
	openConns atomic.Int64
	connLimit atomic.Int64
}

// upstreams holds the connections to all runners by runner id.
type upstreams struct {
	cfg      Config
	mu       sync.Mutex
	byRunner map[model.RunnerID]*upstream
}

// newUpstreams returns an empty set.
func newUpstreams(cfg Config) *upstreams {
	return &upstreams{cfg: cfg, byRunner: map[model.RunnerID]*upstream{}}
}

// get returns the connections to a runner and sets their limit.
func (u *upstreams) get(id model.RunnerID, addr string, limit int) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	up := u.byRunner[id]
	if up == nil || up.addr != addr {
		if up != nil {
			up.close()
		}
		up = u.newUpstream(addr)
		u.byRunner[id] = up
	}
	up.connLimit.Store(int64(max(1, limit)))
	return up
}

// trim closes the idle connections to a runner when more than limit are open. It reports
// whether at most limit remain open.
func (u *upstreams) trim(id model.RunnerID, limit int) bool {
	u.mu.Lock()
	up := u.byRunner[id]
	u.mu.Unlock()
	if up == nil {
		return true
	}
	up.connLimit.Store(int64(limit))
	if up.openConns.Load() > int64(limit) {
		up.close()
	}
	return up.openConns.Load() <= int64(limit)
}

// closeUnlisted closes the connections to runners for which keep returns false.
func (u *upstreams) closeUnlisted(keep func(model.RunnerID) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, up := range u.byRunner {
		if !keep(id) {
			up.close()
			delete(u.byRunner, id)
		}
	}
}

// newUpstream creates the transports for one address without opening a connection.
func (u *upstreams) newUpstream(addr string) *upstream {
	up := &upstream{addr: addr}
	up.keepAlive = u.transport(up)
	up.oneShot = u.transport(up)
	up.oneShot.DisableKeepAlives = true
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

// dial opens a connection within the limit. When the limit is reached, it closes idle
// connections first.
func (up *upstream) dial(ctx context.Context, d *net.Dialer, network, addr string) (net.Conn, error) {
	if !up.reserveConn() {
		up.keepAlive.CloseIdleConnections()
		if !up.reserveConn() {
			return nil, errConnections
		}
	}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		up.openConns.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, open: &up.openConns}, nil
}

// reserveConn counts one connection; false means that the limit is reached.
func (up *upstream) reserveConn() bool {
	if up.openConns.Add(1) > up.connLimit.Load() {
		up.openConns.Add(-1)
		return false
	}
	return true
}

// close closes the idle connections.
func (up *upstream) close() { up.keepAlive.CloseIdleConnections() }

// closeIdle closes the idle connections to a runner, as when the runner is leaving.
func (u *upstreams) closeIdle(id model.RunnerID) {
	u.mu.Lock()
	up := u.byRunner[id]
	u.mu.Unlock()
	if up != nil {
		up.close()
	}
}

// close closes all idle connections.
func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, up := range u.byRunner {
		up.close()
	}
}

// countedConn decrements the connection count when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and decrements the count once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// sendError is the error of a failed attempt.
type sendError struct {
	err error
	// sent is false only when no byte of the request can have left this node.
	sent bool
	// stale is true when a reused connection was closed by the runner before the request
	// reached it, which says nothing about the runner's health.
	stale bool
}

// Error returns the cause.
func (e *sendError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.err }

// nonReplayableBody is a request body that the transport cannot rewind, so that it never sends
// a request again on its own.
type nonReplayableBody struct{ io.Reader }

// Close does nothing.
func (nonReplayableBody) Close() error { return nil }

// roundTrip sends cl to the runner and returns the response with its body unread. The
// transport sends at most once: net/http replays a request with a body only when it has
// GetBody, and this one has none.
func (up *upstream) roundTrip(ctx context.Context, cl *call, timeout time.Duration, oneShot bool) (*http.Response, *sendError) {
	var got, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		got.Store(true)
		reused.Store(info.Reused)
	}}
	req, err := up.newRequest(httptrace.WithClientTrace(ctx, trace), cl, timeout, oneShot)
	if err != nil {
		return nil, &sendError{err: err}
	}
	transport := up.keepAlive
	if oneShot {
		transport = up.oneShot
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		stale := reused.Load() && ctx.Err() == nil
		return nil, &sendError{err: err, sent: got.Load(), stale: stale}
	}
	return resp, nil
}

// newRequest builds the upstream request of cl. A connection opened for one request cannot
// cause a replay, so a one-shot request may have no body at all.
func (up *upstream) newRequest(ctx context.Context, cl *call, timeout time.Duration, oneShot bool) (*http.Request, error) {
	target := "http://" + up.addr + cl.path
	if cl.r.URL.RawQuery != "" {
		target += "?" + cl.r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, cl.r.Method, target, nil)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "check the request path", "build upstream request")
	}
	if len(cl.body) > 0 || !oneShot {
		req.Body = nonReplayableBody{bytes.NewReader(cl.body)}
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

// hopHeaders are the headers that apply to one connection only and are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	headerService: true, headerTimeout: true, headerOutcome: true, headerReplayed: true, headerRequestID: true, headerAttempt: true,
}

// copyHeader copies end-to-end headers, without those listed in Connection.
func copyHeader(dst, src http.Header) {
	named := src.Values("Connection")
	for name, values := range src {
		if hopHeaders[name] || listedInConnection(named, name) {
			continue
		}
		dst[name] = values
	}
}

// listedInConnection reports whether a Connection header lists the given header.
func listedInConnection(connection []string, name string) bool {
	for _, line := range connection {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}
