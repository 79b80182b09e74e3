package request

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Errors injected into commits.
var (
	errResponseLost = model.Errorf(model.KindUnknown, "read again", "response lost")
	errStoreDown    = model.Errorf(model.KindUnavailable, "retry", "store down")
	errRequestLost  = model.Errorf(model.KindUnknown, "read again", "request lost")
)

// Guards against a request that is sent without a durable claim, and against a refusal or a
// second send when only the store's response was lost.
func TestClaimWriteFailures(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(n int) (bool, error)
		status  int
		outcome string
		runs    int64
	}{
		{"down", func(int) (bool, error) { return false, errStoreDown }, 503, "not-run", 0},
		{"response lost", func(n int) (bool, error) { return true, errOnCommit(n, 1, errResponseLost) }, 200, "done", 1},
		{"request lost, then works", func(n int) (bool, error) { return n > 1, errOnCommit(n, 1, errRequestLost) }, 200, "done", 1},
		{"request always lost", func(int) (bool, error) { return false, errRequestLost }, 503, "not-run", 0},
		{"outcome response lost", func(n int) (bool, error) { return true, errOnCommit(n, 2, errResponseLost) }, 200, "done", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newTestEnv(t)
			w.cfg.ClaimTimeout = 200 * time.Millisecond
			w.table.fault = test.fault
			var runs atomic.Int64
			w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				_, _ = rw.Write([]byte("ok"))
			})
			_, url := w.node("n1")
			url += "/v1/services/desk/"
			r := sendRequest(t, post, url, []byte("a"), headerKey, "k")
			require.Equal(t, []any{test.status, test.outcome, test.runs}, []any{r.status, r.outcome, runs.Load()}, string(r.body))
			w.table.setFault(nil)
			again := sendRequest(t, post, url, []byte("a"), headerKey, "k")
			require.Equal(t, []any{200, "done", int64(1)}, []any{again.status, again.outcome, runs.Load()}, string(again.body))
		})
	}
}

// errOnCommit returns err for the k-th commit.
func errOnCommit(n, k int, err error) error {
	if n == k {
		return err
	}
	return nil
}

// Guards against the outcome not-run for a repeated key that the store cannot look up, and
// against idempotent requests that fail while the store is down.
func TestStoreDown(t *testing.T) {
	w := newTestEnv(t)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {})
	_, url := w.node("n1")
	url += "/v1/services/desk/"
	w.table.down = true
	for attempt, outcome := range map[string]string{"1": "not-run", "": "unknown", "2": "unknown"} {
		r := sendRequest(t, post, url, nil, headerKey, "k", headerAttempt, attempt)
		require.Equal(t, []any{503, outcome}, []any{r.status, r.outcome}, "attempt %q", attempt)
	}
	require.Equal(t, 200, sendRequest(t, get, url, nil).status)
}

// Guards against a complete response that does not reach the caller because its outcome cannot
// be recorded before the deadline.
func TestResponseWhileOutcomeCannotBeRecorded(t *testing.T) {
	w := newTestEnv(t)
	w.cfg.ClaimTimeout = time.Minute
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })
	w.table.setFault(func(n int) (bool, error) { return n == 1, errOnCommit(min(n, 2), 2, errStoreDown) })
	c, url := w.node("n1")
	r := sendRequest(t, post, url+"/v1/services/desk/", nil, headerKey, "k", headerTimeout, "4000")
	require.Equal(t, []any{200, "done", "ok"}, []any{r.status, r.outcome, string(r.body)})
	w.table.setFault(nil)
	require.NoError(t, c.Drain(t.Context()), "the record is completed in the background")
	_, n2 := w.node("n2")
	r = sendRequest(t, post, n2+"/v1/services/desk/", nil, headerKey, "k")
	require.Equal(t, []any{200, "ok", "true"}, []any{r.status, string(r.body), r.header.Get(headerReplayed)})
}

// Guards against two executions when requests with the same key arrive at two nodes
// concurrently, and against a wrong outcome for the requests that did not get the claim.
func TestSameKeyAtTwoNodes(t *testing.T) {
	w := newTestEnv(t)
	var runs atomic.Int64
	release := make(chan bool)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		<-release
		_, _ = rw.Write([]byte("ok"))
	})
	_, n1 := w.node("n1")
	_, n2 := w.node("n2")
	replies := make(chan reply, 8)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			replies <- sendRequest(t, post, []string{n1, n2}[i%2]+"/v1/services/desk/", []byte("a"), headerKey, "k")
		})
	}
	for range 7 {
		r := <-replies
		require.Equal(t, []any{409, "unknown"}, []any{r.status, r.outcome}, "the other requests are told to retry")
	}
	close(release)
	wg.Wait()
	require.Equal(t, 200, (<-replies).status)
	require.EqualValues(t, 1, runs.Load())
	require.Equal(t, "ok", string(sendRequest(t, post, n2+"/v1/services/desk/", []byte("a"), headerKey, "k").body))
}

// Guards against a second execution after the crash of the node that sent the request, and
// against the outcome not-run for it.
func TestNodeCrashAfterDispatch(t *testing.T) {
	w := newTestEnv(t)
	var runs atomic.Int64
	w.runner("desk", "r1", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	c, _ := w.node("n1")
	// The crash leaves the claim without an outcome.
	cl := &call{service: "desk", path: "/", body: []byte("a"), r: &http.Request{Method: post, URL: mustURL("/")}}
	held, _, err := c.acquireClaim(t.Context(), ClaimRow("k"), Claim{ID: "n1/x", Digest: digestOf(cl)})
	require.NoError(t, err)
	require.NotNil(t, held)
	_, n2 := w.node("n2")
	r := sendRequest(t, post, n2+"/v1/services/desk/", []byte("a"), headerKey, "k")
	require.Equal(t, []any{409, "unknown", int64(0)}, []any{r.status, r.outcome, runs.Load()})
}

// Guards against an outcome that is not recorded because the caller timed out.
func TestOutcomeRecordedAfterCallerTimeout(t *testing.T) {
	w := newTestEnv(t)
	release := make(chan bool)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(rw, "late")
	})
	c, url := w.node("n1")
	url += "/v1/services/desk/"
	r := sendRequest(t, post, url, nil, headerKey, "k", headerTimeout, "50")
	require.Equal(t, []any{504, "unknown"}, []any{r.status, r.outcome})
	close(release)
	require.NoError(t, c.Drain(t.Context()))
	_, n2 := w.node("n2")
	r = sendRequest(t, post, n2+"/v1/services/desk/", nil, headerKey, "k")
	require.Equal(t, []any{200, "late", "true"}, []any{r.status, string(r.body), r.header.Get(headerReplayed)})
}
