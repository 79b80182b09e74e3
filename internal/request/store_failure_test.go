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

// Faults of a commit.
var (
	errLost    = model.Errorf(model.KindUnknown, "read again", "response lost")
	errDown    = model.Errorf(model.KindUnavailable, "retry", "store down")
	errTooLate = model.Errorf(model.KindUnknown, "read again", "request lost")
)

// Guards against a request that is sent without a durable claim, and against a
// refusal or a second send when only the store's response was lost.
func TestClaimWriteFailures(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(n int) (bool, error)
		status  int
		outcome string
		runs    int64
	}{
		{"down", func(int) (bool, error) { return false, errDown }, 503, "not-run", 0},
		{"response lost", func(n int) (bool, error) { return true, only(n, 1, errLost) }, 200, "done", 1},
		{"request lost, then works", func(n int) (bool, error) { return n > 1, only(n, 1, errTooLate) }, 200, "done", 1},
		{"request always lost", func(int) (bool, error) { return false, errTooLate }, 503, "not-run", 0},
		{"outcome response lost", func(n int) (bool, error) { return true, only(n, 2, errLost) }, 200, "done", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			w.cfg.ClaimTimeout = 200 * time.Millisecond
			w.table.fault = test.fault
			var runs atomic.Int64
			w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				_, _ = rw.Write([]byte("ok"))
			})
			_, url := w.node("n1")
			url += "/v1/services/desk/"
			r := ask(t, post, url, []byte("a"), headerKey, "k")
			require.Equal(t, []any{test.status, test.outcome, test.runs}, []any{r.status, r.outcome, runs.Load()}, string(r.body))
			w.table.setFault(nil)
			again := ask(t, post, url, []byte("a"), headerKey, "k")
			require.Equal(t, []any{200, "done", int64(1)}, []any{again.status, again.outcome, runs.Load()}, string(again.body))
		})
	}
}

// only returns err for the k-th commit.
func only(n, k int, err error) error {
	if n == k {
		return err
	}
	return nil
}

// Guards against a false "not-run" for a repeated key when the store cannot tell,
// and against idempotent traffic that stops with the store.
func TestStoreDown(t *testing.T) {
	w := newWorld(t)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {})
	_, url := w.node("n1")
	url += "/v1/services/desk/"
	w.table.down = true
	for attempt, outcome := range map[string]string{"1": "not-run", "": "unknown", "2": "unknown"} {
		r := ask(t, post, url, nil, headerKey, "k", headerAttempt, attempt)
		require.Equal(t, []any{503, outcome}, []any{r.status, r.outcome}, "attempt %q", attempt)
	}
	require.Equal(t, 200, ask(t, get, url, nil).status)
}

// Guards against a complete answer that the caller loses because its outcome
// cannot be recorded before the deadline.
func TestAnswerWhileOutcomeCannotBeRecorded(t *testing.T) {
	w := newWorld(t)
	w.cfg.ClaimTimeout = time.Minute
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("ok")) })
	w.table.setFault(func(n int) (bool, error) { return n == 1, only(min(n, 2), 2, errDown) })
	c, url := w.node("n1")
	r := ask(t, post, url+"/v1/services/desk/", nil, headerKey, "k", headerTimeout, "4000")
	require.Equal(t, []any{200, "done", "ok"}, []any{r.status, r.outcome, string(r.body)})
	w.table.setFault(nil)
	require.NoError(t, c.Drain(t.Context()), "the record is completed in the background")
	_, n2 := w.node("n2")
	r = ask(t, post, n2+"/v1/services/desk/", nil, headerKey, "k")
	require.Equal(t, []any{200, "ok", "true"}, []any{r.status, string(r.body), r.header.Get(headerReplayed)})
}

// Guards against two executions when the same key arrives at two nodes at once,
// and against a wrong claim about the one that lost.
func TestSameKeyAtTwoNodes(t *testing.T) {
	w := newWorld(t)
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
			replies <- ask(t, post, []string{n1, n2}[i%2]+"/v1/services/desk/", []byte("a"), headerKey, "k")
		})
	}
	for range 7 {
		r := <-replies
		require.Equal(t, []any{409, "unknown"}, []any{r.status, r.outcome}, "the others are told to ask again")
	}
	close(release)
	wg.Wait()
	require.Equal(t, 200, (<-replies).status)
	require.EqualValues(t, 1, runs.Load())
	require.Equal(t, "ok", string(ask(t, post, n2+"/v1/services/desk/", []byte("a"), headerKey, "k").body))
}

// Guards against a second execution after the node that sent the request died,
// and against "not-run" for it.
func TestNodeKilledAfterDispatch(t *testing.T) {
	w := newWorld(t)
	var runs atomic.Int64
	w.runner("desk", "r1", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	c, _ := w.node("n1")
	// The node's death leaves the claim without an outcome.
	cl := &call{service: "desk", path: "/", body: []byte("a"), r: &http.Request{Method: post, URL: mustURL("/")}}
	held, _, err := c.obtain(t.Context(), ClaimRow("k"), Claim{ID: "n1/x", Digest: digestOf(cl)})
	require.NoError(t, err)
	require.NotNil(t, held)
	_, n2 := w.node("n2")
	r := ask(t, post, n2+"/v1/services/desk/", []byte("a"), headerKey, "k")
	require.Equal(t, []any{409, "unknown", int64(0)}, []any{r.status, r.outcome, runs.Load()})
}

// Guards against an outcome that is lost because the caller stopped waiting.
func TestOutcomeRecordedAfterCallerTimeout(t *testing.T) {
	w := newWorld(t)
	release := make(chan bool)
	w.runner("desk", "r1", func(rw http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(rw, "late")
	})
	c, url := w.node("n1")
	url += "/v1/services/desk/"
	r := ask(t, post, url, nil, headerKey, "k", headerTimeout, "50")
	require.Equal(t, []any{504, "unknown"}, []any{r.status, r.outcome})
	close(release)
	require.NoError(t, c.Drain(t.Context()))
	_, n2 := w.node("n2")
	r = ask(t, post, n2+"/v1/services/desk/", nil, headerKey, "k")
	require.Equal(t, []any{200, "late", "true"}, []any{r.status, string(r.body), r.header.Get(headerReplayed)})
}
