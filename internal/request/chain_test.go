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

// Guards against an answer that is altered, and a service that is not found by
// path or header.
func TestChainPassesAnswer(t *testing.T) {
	w := newWorld(t)
	w.runner("desk", "r1", func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		rw.Header().Set("X-Path", r.URL.RequestURI())
		_, _ = rw.Write(append([]byte("echo "), body...))
	})
	_, url := w.node("n1")
	r := ask(t, "GET", url+"/v1/services/desk/a%2Fb?x=1", nil)
	require.NoError(t, r.err)
	require.Equal(t, []any{200, "done", "echo ", "/a%2Fb?x=1"}, []any{r.status, r.outcome, string(r.body), r.header.Get("X-Path")})
	r = ask(t, "PUT", url+"/c", []byte("b"), headerService, "desk", headerIdempotent, "true")
	require.Equal(t, []any{200, "echo b", "/c"}, []any{r.status, string(r.body), r.header.Get("X-Path")})
	require.Equal(t, 404, ask(t, "GET", url+"/v1/services/none/", nil).status)
}

// Guards against a second execution under one key, through any node, and against
// a key that is accepted for another body.
func TestNonIdempotentRunsOnce(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int64
	big := bytes.Repeat([]byte("x"), 100<<10)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = rw.Write(big)
	})
	_, n1 := w.node("n1")
	_, n2 := w.node("n2")
	first := ask(t, "POST", n1+"/v1/services/desk/p", []byte("a"), headerKey, "k")
	again := ask(t, "POST", n2+"/v1/services/desk/p", []byte("a"), headerKey, "k")
	require.Equal(t, []any{200, "done", big}, []any{first.status, first.outcome, first.body})
	require.Equal(t, []any{200, "done", big, "true"}, []any{again.status, again.outcome, again.body, again.header.Get(headerReplayed)})
	require.Equal(t, 409, ask(t, "POST", n2+"/v1/services/desk/p", []byte("b"), headerKey, "k").status)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against new work for a leaving runner and against in-flight requests
// that are cut off by a graceful stop.
func TestDrainAndLeaving(t *testing.T) {
	w := newWorld(t)
	started, finish := make(chan bool), make(chan bool)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
		started <- true
		<-finish
		_, _ = rw.Write([]byte("ok"))
	})
	c, url := w.node("n1")
	got := make(chan reply)
	go func() { got <- ask(t, "GET", url+"/v1/services/desk/", nil) }()
	<-started
	w.setState("r1", external.HostLeaving)
	require.Equal(t, 503, ask(t, "GET", url+"/v1/services/desk/", nil).status)
	require.Equal(t, []string{"r1"}, c.Leaving())
	drained := make(chan error)
	go func() { drained <- c.Drain(context.Background()) }()
	finish <- true
	r := <-got
	require.Equal(t, []any{200, "ok"}, []any{r.status, string(r.body)})
	require.NoError(t, <-drained)
	r = ask(t, "GET", url+"/v1/services/desk/", nil)
	require.Equal(t, []any{503, "not-run", "1"}, []any{r.status, r.outcome, r.header.Get("Retry-After")})
}
