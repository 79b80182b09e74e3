package request

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/routing"
)

// rawRunner adds a runner whose TCP connections are handled by handle. It returns a count of
// the requests whose header arrived.
func (w *testEnv) rawRunner(id string, handle func(net.Conn, int)) *atomic.Int64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buf := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(buf)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					handle(conn, int(requests.Add(1)))
				}
			}()
		}
	}()
	w.addHost(external.Host{ID: id, Role: external.RoleRunner, State: external.HostLive, Addr: l.Addr().String(), Service: "desk"})
	return &requests
}

// resetConn closes the connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

const post, get = "POST", "GET"

// roundRobin makes the choice of runners deterministic.
func roundRobin() routing.Balancer { return &routing.RoundRobin{} }

// Guards, for each way in which a runner can fail, against a false outcome, a second send and
// a truncated body that is passed on as complete.
func TestRunnerFailures(t *testing.T) {
	tests := []struct {
		name    string
		handle  func(net.Conn, int)
		method  string
		status  int
		outcome string
		sends   int64
	}{
		{"hangs, non-idempotent", func(net.Conn, int) {}, post, 504, "unknown", 1},
		{"hangs, idempotent", func(net.Conn, int) {}, get, 504, "unknown", 1},
		{"accepts then resets", func(c net.Conn, _ int) { resetConn(c) }, post, 502, "unknown", 1},
		{"resets mid-body", func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			resetConn(c)
		}, post, 502, "unknown", 1},
		{"ends a chunked body early", func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			_ = c.Close()
		}, get, 502, "unknown", 1},
		{"declares too long a length", func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			_ = c.Close()
		}, get, 502, "unknown", 1},
		{"declares too short a length with a digest", func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Digest: "+digestHeader([]byte("abcdef"))+"\r\n\r\nabcdef")
		}, get, 502, "unknown", 1},
		{"sends another body than its digest trailer", func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Content-Digest\r\n\r\n3\r\nabc\r\n0\r\nContent-Digest: "+digestHeader([]byte("abd"))+"\r\n\r\n")
		}, get, 502, "unknown", 1},
		{"answers twice", func(c net.Conn, n int) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%dHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n9", n)
		}, get, 200, "done", 1},
		{"refuses because it is leaving", func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nVpier-Leaving: true\r\nContent-Length: 0\r\n\r\n")
		}, post, 503, "not-run", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newTestEnv(t)
			sends := w.rawRunner("r1", test.handle)
			_, url := w.node("n1")
			r := sendRequest(t, test.method, url+"/v1/services/desk/", nil, headerTimeout, "300", headerKey, "k")
			require.NoError(t, r.err)
			require.Equal(t, []any{test.status, test.outcome, test.sends}, []any{r.status, r.outcome, sends.Load()}, string(r.body))
			if test.outcome != "done" {
				require.Contains(t, string(r.body), `"remedy"`)
				require.NotEmpty(t, r.header.Get("Retry-After"))
			}
		})
	}
}

// digestHeader returns the Content-Digest value of body.
func digestHeader(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// Guards against a replay by net/http: when a reused connection breaks after the request was
// sent, the transport must not send the request again.
func TestTransportNeverReplays(t *testing.T) {
	for _, method := range []string{post, get} {
		t.Run(method, func(t *testing.T) {
			w := newTestEnv(t)
			sends := w.rawRunner("r1", func(c net.Conn, n int) {
				if n == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					return
				}
				resetConn(c)
			})
			_, url := w.node("n1")
			require.Equal(t, 200, sendRequest(t, get, url+"/v1/services/desk/", nil).status)
			r := sendRequest(t, method, url+"/v1/services/desk/", nil, headerKey, "k")
			require.Equal(t, []any{502, "unknown"}, []any{r.status, r.outcome})
			require.EqualValues(t, 2, sends.Load(), "requests that reached the runner")
		})
	}
}

// Guards against a failed connection attempt that is reported as unknown or blocks the key,
// although nothing was sent.
func TestConnectFailureIsNotRun(t *testing.T) {
	w := newTestEnv(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	w.addHost(external.Host{ID: "r1", Role: external.RoleRunner, State: external.HostLive, Addr: addr, Service: "desk"})
	_, url := w.node("n1")
	r := sendRequest(t, post, url+"/v1/services/desk/", []byte("a"), headerKey, "k")
	require.Equal(t, []any{503, "not-run"}, []any{r.status, r.outcome})
	w.setState("r1", external.HostLeaving)
	w.runner("desk", "r2", func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })
	r = sendRequest(t, post, url+"/v1/services/desk/", []byte("a"), headerKey, "k")
	require.Equal(t, []any{200, "ok"}, []any{r.status, string(r.body)}, "the key can be used again")
}

// Guards against a response of 10 MB that is modified, or truncated without an error, and
// against memory use that grows with its size.
func TestLargeResponses(t *testing.T) {
	big := bytes.Repeat([]byte("0123456789abcdef"), 10<<16)
	cut := func(rw http.ResponseWriter, r *http.Request) {
		_, _ = rw.Write(big[:len(big)/2])
		panic(http.ErrAbortHandler)
	}
	tests := map[string]struct {
		serve http.HandlerFunc
		whole bool
	}{
		"with a length": {func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Length", strconv.Itoa(len(big)))
			_, _ = rw.Write(big)
		}, true},
		"chunked with a digest trailer": {func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Trailer", headerContentDigest)
			_, _ = rw.Write(big)
			rw.Header().Set(headerContentDigest, digestHeader(big))
		}, true},
		"chunked and cut": {cut, false},
		"with a length and cut": {func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", strconv.Itoa(len(big)))
			cut(rw, r)
		}, false},
		"with a wrong digest": {func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(headerContentDigest, digestHeader(big[1:]))
			_, _ = rw.Write(big)
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			w.cfg.BodyMemory = 1 << 20
			w.runner("desk", "r1", test.serve)
			c, url := w.node("n1")
			r := sendRequest(t, get, url+"/v1/services/desk/", nil)
			if test.whole {
				require.NoError(t, r.err)
				require.True(t, bytes.Equal(big, r.body))
			} else {
				require.Error(t, r.err, "a truncated response must not end without an error")
			}
			require.Zero(t, c.mem.used.Load(), "body memory still reserved")
			require.Zero(t, c.Load().Services["desk"].Used, "slots still in use")
		})
	}
}

// Guards against new requests to a runner after each kind of leaving signal.
func TestLeavingSignals(t *testing.T) {
	signals := map[string]func(w *testEnv, c *Chain){
		"host list": func(w *testEnv, _ *Chain) { w.setState("r1", external.HostLeaving) },
		"peer":      func(_ *testEnv, c *Chain) { c.MarkLeaving([]string{"r1"}) },
		"operator": func(w *testEnv, _ *Chain) {
			v := *w.view
			v.Out = map[model.DataCentre]uint64{"gent": 2}
			w.view = &v
		},
		"Connection: close": nil,
	}
	for name, signal := range signals {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t)
			var hits atomic.Int64
			w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
				hits.Add(1)
				if signal == nil {
					rw.Header().Set("Connection", "close")
				}
			})
			c, url := w.node("n1")
			require.Equal(t, 200, sendRequest(t, get, url+"/v1/services/desk/", nil).status)
			if signal != nil {
				signal(w, c)
			}
			r := sendRequest(t, get, url+"/v1/services/desk/", nil)
			require.Equal(t, []any{503, "not-run", int64(1)}, []any{r.status, r.outcome, hits.Load()})
			require.Equal(t, signal == nil || name == "host list", len(c.Leaving()) == 1, "reported to peers")
		})
	}
}

// Guards against a late response of a slow runner that reaches the caller after the hedge's
// response, and against a retry at the same runner.
func TestHedgeAndRetry(t *testing.T) {
	w := newTestEnv(t)
	w.cfg.HedgeAfter = 10 * time.Millisecond
	w.cfg.Balancer = roundRobin
	// On a busy machine any request may be hedged, which takes from the budget of retries.
	retryPercent := 100
	w.view.Declaration.Services[0].RetryBudgetPercent = &retryPercent
	release := make(chan bool)
	defer close(release)
	var failedAtR1 sync.Map // paths
	w.runner("desk", "r1", func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/slow"):
			failedAtR1.Store(r.URL.Path, true)
			<-release
			_, _ = rw.Write([]byte("late"))
		case strings.HasPrefix(r.URL.Path, "/reset"):
			failedAtR1.Store(r.URL.Path, true)
			panic(http.ErrAbortHandler)
		}
	})
	w.runner("desk", "r2", func(rw http.ResponseWriter, r *http.Request) { _, _ = rw.Write([]byte("r2 " + r.URL.Path)) })
	_, url := w.node("n1")
	for range 40 { // build up the retry budget
		require.Equal(t, 200, sendRequest(t, get, url+"/v1/services/desk/warm", nil).status)
	}
	for _, path := range []string{"/slow1", "/reset1", "/slow2", "/reset2"} {
		failed := false
		for range 10 { // until r1 has its turn
			r := sendRequest(t, get, url+"/v1/services/desk"+path, nil)
			require.Equal(t, []any{200, "r2 " + path}, []any{r.status, string(r.body)})
			if _, failed = failedAtR1.Load(path); failed {
				break
			}
		}
		require.True(t, failed, path)
	}
}

// Guards against requests to a service whose dependency is unavailable.
func TestMissingDependency(t *testing.T) {
	w := newTestEnv(t)
	w.runner("front", "f1", func(http.ResponseWriter, *http.Request) {})
	w.runner("desk", "r1", func(http.ResponseWriter, *http.Request) {})
	_, url := w.node("n1")
	require.Equal(t, 200, sendRequest(t, get, url+"/v1/services/front/", nil).status)
	w.setState("r1", external.HostLeaving)
	r := sendRequest(t, get, url+"/v1/services/front/", nil)
	require.Equal(t, []any{503, "not-run"}, []any{r.status, r.outcome})
	require.Contains(t, string(r.body), "desk")
}

// Guards against unlimited headers and bodies.
func TestLimits(t *testing.T) {
	w := newTestEnv(t)
	w.view.Declaration.Services[0].MaxBodyMB = 1
	w.runner("desk", "r1", func(rw http.ResponseWriter, r *http.Request) { _, _ = io.Copy(rw, r.Body) })
	_, url := w.node("n1")
	url += "/v1/services/desk/"
	require.Equal(t, 431, sendRequest(t, get, url, nil, "X-Long", strings.Repeat("x", 40<<10)).status)
	require.Equal(t, 413, sendRequest(t, post, url, make([]byte, 1<<20+1)).status)
	require.Equal(t, 200, sendRequest(t, post, url, make([]byte, 1<<20)).status)
	require.Equal(t, 400, sendRequest(t, get, url, nil, headerTimeout, "soon").status)
	require.Equal(t, 400, sendRequest(t, get, url, nil, headerIdempotent, "maybe").status)
}
