package request

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
)

// Guards against a modified response, and against a service that is not found by path or
// header.
func TestChainForwardsResponse(t *testing.T) {
	w := newTestEnv(t)
	w.runner("desk", "r1", func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		rw.Header().Set("X-Path", r.URL.RequestURI())
		_, _ = rw.Write(append([]byte("echo "), body...))
	})
	_, url := w.node("n1")
	r := sendRequest(t, "GET", url+"/v1/services/desk/a%2Fb?x=1", nil)
	require.NoError(t, r.err)
	require.Equal(t, []any{200, "done", "echo ", "/a%2Fb?x=1"}, []any{r.status, r.outcome, string(r.body), r.header.Get("X-Path")})
	r = sendRequest(t, "PUT", url+"/c", []byte("b"), headerService, "desk", headerIdempotent, "true")
	require.Equal(t, []any{200, "echo b", "/c"}, []any{r.status, string(r.body), r.header.Get("X-Path")})
	require.Equal(t, 404, sendRequest(t, "GET", url+"/v1/services/none/", nil).status)
}

// Guards against a second execution of a request with the same key through any node, and
// against a key that is accepted for a different body.
func TestNonIdempotentRunsOnce(t *testing.T) {
	w := newTestEnv(t)
	var runs atomic.Int64
	big := bytes.Repeat([]byte("x"), 100<<10)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = rw.Write(big)
	})
	_, n1 := w.node("n1")
	_, n2 := w.node("n2")
	first := sendRequest(t, "POST", n1+"/v1/services/desk/p", []byte("a"), headerKey, "k")
	again := sendRequest(t, "POST", n2+"/v1/services/desk/p", []byte("a"), headerKey, "k")
	require.Equal(t, []any{200, "done", big}, []any{first.status, first.outcome, first.body})
	require.Equal(t, []any{200, "done", big, "true"}, []any{again.status, again.outcome, again.body, again.header.Get(headerReplayed)})
	require.Equal(t, 409, sendRequest(t, "POST", n2+"/v1/services/desk/p", []byte("b"), headerKey, "k").status)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against new requests to a leaving runner, and against a graceful shutdown that
// interrupts requests in flight.
func TestDrainAndLeaving(t *testing.T) {
	w := newTestEnv(t)
	started, finish := make(chan bool), make(chan bool)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
		started <- true
		<-finish
		_, _ = rw.Write([]byte("ok"))
	})
	c, url := w.node("n1")
	got := make(chan reply)
	go func() { got <- sendRequest(t, "GET", url+"/v1/services/desk/", nil) }()
	<-started
	w.setState("r1", external.HostLeaving)
	require.Equal(t, 503, sendRequest(t, "GET", url+"/v1/services/desk/", nil).status)
	require.Equal(t, []string{"r1"}, c.Leaving())
	drained := make(chan error)
	go func() { drained <- c.Drain(context.Background()) }()
	finish <- true
	r := <-got
	require.Equal(t, []any{200, "ok"}, []any{r.status, string(r.body)})
	require.NoError(t, <-drained)
	r = sendRequest(t, "GET", url+"/v1/services/desk/", nil)
	require.Equal(t, []any{503, "not-run", "1"}, []any{r.status, r.outcome, r.header.Get("Retry-After")})
}
