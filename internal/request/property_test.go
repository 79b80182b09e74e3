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

// ledger counts what runners executed.
type ledger struct {
	mu      sync.Mutex
	runs    map[string]int // by X-Req
	active  map[string]int // by runner
	peak    int
	fetches int // executions of idempotent requests
}

// serve returns a runner that behaves as the X-Act header says.
func (l *ledger) serve(id string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		l.begin(id, r)
		defer l.end(id)
		body := answerOf(r.Header.Get("X-Req"))
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

func (l *ledger) begin(id string, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Header.Get("X-Req")]++
	if r.Method == get {
		l.fetches++
	}
	l.active[id]++
	l.peak = max(l.peak, l.active[id])
}

func (l *ledger) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[id]--
}

// answerOf is the answer of a runner to the request named id.
func answerOf(id string) []byte { return bytes.Repeat([]byte(id+";"), 400) }

// dealShares gives three nodes their shares by exchanging acknowledgements.
func dealShares(w *world) {
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

// planned is one request of a run.
type planned struct {
	node, act, key int
	fetch          bool
	id             string
}

// drawPlan returns requests that partly repeat keys.
func drawPlan(t *rapid.T) []planned {
	var plan []planned
	for i := range rapid.IntRange(10, 60).Draw(t, "requests") {
		p := planned{
			node: rapid.IntRange(0, 2).Draw(t, "node"), act: rapid.IntRange(0, 7).Draw(t, "act"),
			key: rapid.IntRange(0, 8).Draw(t, "key"), fetch: rapid.Bool().Draw(t, "fetch"),
		}
		p.id = fmt.Sprintf("key%d", p.key)
		if p.fetch || p.key == 0 { // a key of its own
			p.id = fmt.Sprintf("req%d", i)
		}
		plan = append(plan, p)
	}
	return plan
}

// Guards against a second execution of a non-idempotent request, "not-run" for one
// that ran, another request's answer or part of one, more requests at a runner
// than its slots, and retries beyond the budget, under mixed failures of runners
// and store and with keys used at several nodes at once.
func TestRequestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t)
		w.cfg.HedgeAfter = time.Millisecond
		w.cfg.ClaimTimeout = 100 * time.Millisecond
		dealShares(w)
		l := &ledger{runs: map[string]int{}, active: map[string]int{}}
		for _, id := range []string{"r1", "r2"} {
			w.runner("desk", id, l.serve(id))
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
				return true, errLost
			case 1:
				return false, errDown
			case 2:
				return false, errTooLate
			}
			return true, nil
		})
		plan := drawPlan(rt)
		replies := runPlan(t, plan, urls)
		checkPlan(rt, plan, replies, l)
	})
}

// runPlan sends all requests, twelve at a time.
func runPlan(t *testing.T, plan []planned, urls []string) []reply {
	replies := make([]reply, len(plan))
	gate := make(chan bool, 12)
	var wg sync.WaitGroup
	acts := []string{"ok", "ok", "ok", "slow", "slow", "reset", "cut", "hang"}
	for i, p := range plan {
		gate <- true
		wg.Go(func() {
			defer func() { <-gate }()
			method, timeout := post, "2000"
			if p.fetch {
				method = get
			}
			if acts[p.act] == "hang" {
				timeout = "60"
			}
			replies[i] = ask(t, method, urls[p.node]+"/v1/services/desk/x", nil,
				headerKey, p.id, "X-Req", p.id, "X-Act", acts[p.act], headerTimeout, timeout)
		})
	}
	wg.Wait()
	return replies
}

// checkPlan compares the replies with what the runners executed.
func checkPlan(t *rapid.T, plan []planned, replies []reply, l *ledger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fetches := 0
	uses := map[string]int{}
	for _, p := range plan {
		uses[p.id]++
		if p.fetch {
			fetches++
		}
	}
	for i, p := range plan {
		r := replies[i]
		require.NoError(t, r.err, "small answers are whole or refused")
		if !p.fetch {
			require.LessOrEqual(t, l.runs[p.id], 1, "executions of %s", p.id)
		}
		switch r.outcome {
		case "done":
			if r.status == 200 {
				require.Equal(t, string(answerOf(p.id)), string(r.body))
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
	require.LessOrEqual(t, l.fetches, fetches+fetches/10, "retries and hedges")
}

// Guards against a crash or a wait when the host list holds no runner.
func TestHostListWithoutRunners(t *testing.T) {
	w := newWorld(t)
	w.addHost(external.Host{ID: "w1", Role: external.RoleWorker, Addr: (&net.TCPAddr{}).String()})
	_, url := w.node("n1")
	r := ask(t, get, url+"/v1/services/desk/", nil)
	require.Equal(t, []any{503, "not-run"}, []any{r.status, r.outcome})
}
