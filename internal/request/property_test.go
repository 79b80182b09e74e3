package request

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/share"
)

// executionLog counts the requests that runners executed.
type executionLog struct {
	mu             sync.Mutex
	runs           map[string]int // by X-Req
	active         map[string]int // by runner
	peak           int
	idempotentRuns int // executions of idempotent requests
}

// handler returns the handler of a runner that behaves as the X-Act header says.
func (l *executionLog) handler(id string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		l.begin(id, r)
		defer l.end(id)
		body := responseOf(r.Header.Get("X-Req"))
		switch r.Header.Get("X-Act") {
		case "reset":
			panic(http.ErrAbortHandler)
		case "cut":
			rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = rw.Write(body[:len(body)/2])
			panic(http.ErrAbortHandler)
		case "hang":
			<-r.Context().Done()
		case "slow":
			time.Sleep(5 * time.Millisecond)
		}
		_, _ = rw.Write(body)
	}
}

func (l *executionLog) begin(id string, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Header.Get("X-Req")]++
	if r.Method == get {
		l.idempotentRuns++
	}
	l.active[id]++
	l.peak = max(l.peak, l.active[id])
}

func (l *executionLog) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[id]--
}

// responseOf returns a runner's response to the request named id.
func responseOf(id string) []byte { return bytes.Repeat([]byte(id+";"), 400) }

// assignShares gives three nodes their shares of the slots by exchanging acknowledgements.
func assignShares(w *testEnv) {
	v := *w.view
	v.ConfirmedAt, v.MembersSequence, v.Sequence = time.Now(), 3, 3
	v.Members = map[model.NodeID]control.Member{}
	managers := map[model.NodeID]*share.Manager{}
	for i, id := range []model.NodeID{"n1", "n2", "n3"} {
		v.Members[id] = control.Member{ID: id, Since: uint64(i + 1)}
		managers[id] = share.NewManager(share.Options{Node: id, Policy: share.Policy{Hold: time.Hour}, View: func() *control.View { return w.view }})
	}
	w.view = &v
	for range 2 {
		for a, m := range managers {
			for b, o := range managers {
				if a != b {
					m.Observe(b, o.Digest(), time.Now())
				}
			}
		}
	}
	w.shares = func(id model.NodeID) Shares { return managers[id] }
}

// plannedRequest is one request of a test run.
type plannedRequest struct {
	node, behaviour, key int
	idempotent           bool
	id                   string
}

// drawPlan returns requests of which some use the same key.
func drawPlan(t *rapid.T) []plannedRequest {
	var plan []plannedRequest
	for i := range rapid.IntRange(10, 60).Draw(t, "requests") {
		p := plannedRequest{
			node: rapid.IntRange(0, 2).Draw(t, "node"), behaviour: rapid.IntRange(0, 7).Draw(t, "act"),
			key: rapid.IntRange(0, 8).Draw(t, "key"), idempotent: rapid.Bool().Draw(t, "fetch"),
		}
		p.id = fmt.Sprintf("key%d", p.key)
		if p.idempotent || p.key == 0 { // a unique key
			p.id = fmt.Sprintf("req%d", i)
		}
		plan = append(plan, p)
	}
	return plan
}

// Guards against a second execution of a non-idempotent request, the outcome not-run for one
// that ran, a response that is truncated or belongs to another request, more requests at a
// runner than its slots, and retries beyond the budget. Runners and store fail at random, and
// nodes use the same keys concurrently.
func TestRequestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTestEnv(t)
		w.cfg.HedgeAfter = time.Millisecond
		w.cfg.ClaimTimeout = 100 * time.Millisecond
		assignShares(w)
		l := &executionLog{runs: map[string]int{}, active: map[string]int{}}
		for _, id := range []string{"r1", "r2"} {
			w.runner("desk", id, l.handler(id))
		}
		var urls []string
		for _, id := range []string{"n1", "n2", "n3"} {
			_, url := w.node(id)
			urls = append(urls, url)
		}
		faults := rapid.SliceOfN(rapid.IntRange(0, 9), 16, 16).Draw(rt, "faults")
		w.table.setFault(func(n int) (bool, error) {
			switch faults[n%len(faults)] {
			case 0:
				return true, errResponseLost
			case 1:
				return false, errStoreDown
			case 2:
				return false, errRequestLost
			}
			return true, nil
		})
		plan := drawPlan(rt)
		replies := runPlan(t, plan, urls)
		checkPlan(rt, plan, replies, l)
	})
}

// runPlan sends all requests, at most twelve concurrently.
func runPlan(t *testing.T, plan []plannedRequest, urls []string) []reply {
	replies := make([]reply, len(plan))
	semaphore := make(chan bool, 12)
	var wg sync.WaitGroup
	behaviours := []string{"ok", "ok", "ok", "slow", "slow", "reset", "cut", "hang"}
	for i, p := range plan {
		semaphore <- true
		wg.Go(func() {
			defer func() { <-semaphore }()
			method, timeout := post, "2000"
			if p.idempotent {
				method = get
			}
			if behaviours[p.behaviour] == "hang" {
				timeout = "60"
			}
			replies[i] = sendRequest(t, method, urls[p.node]+"/v1/services/desk/x", nil,
				headerKey, p.id, "X-Req", p.id, "X-Act", behaviours[p.behaviour], headerTimeout, timeout)
		})
	}
	wg.Wait()
	return replies
}

// checkPlan compares the replies with what the runners executed.
func checkPlan(t *rapid.T, plan []plannedRequest, replies []reply, l *executionLog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	idempotentRequests := 0
	uses := map[string]int{}
	for _, p := range plan {
		uses[p.id]++
		if p.idempotent {
			idempotentRequests++
		}
	}
	for i, p := range plan {
		r := replies[i]
		require.NoError(t, r.err, "a small response is complete or refused")
		if !p.idempotent {
			require.LessOrEqual(t, l.runs[p.id], 1, "executions of %s", p.id)
		}
		switch r.outcome {
		case "done":
			if r.status == 200 {
				require.Equal(t, string(responseOf(p.id)), string(r.body))
				require.Positive(t, l.runs[p.id])
			}
		case "not-run":
			if uses[p.id] == 1 {
				require.Zero(t, l.runs[p.id], "%s was refused as not run", p.id)
			}
		default:
			require.Equal(t, "unknown", r.outcome)
		}
	}
	require.LessOrEqual(t, l.peak, 8, "requests at one runner")
	require.LessOrEqual(t, l.idempotentRuns, idempotentRequests+idempotentRequests/10, "retries and hedges")
}

// Guards against a crash or a hanging request when the host list contains no runner.
func TestHostListWithoutRunners(t *testing.T) {
	w := newTestEnv(t)
	w.addHost(external.Host{ID: "w1", Role: external.RoleWorker, Addr: (&net.TCPAddr{}).String()})
	_, url := w.node("n1")
	r := sendRequest(t, get, url+"/v1/services/desk/", nil)
	require.Equal(t, []any{503, "not-run"}, []any{r.status, r.outcome})
}
