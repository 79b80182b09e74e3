package soak

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/linkmeter"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/platform"
	"github.com/vanillapier/vanillapier/platform/platformtest"
)

func namedServer(t *testing.T, name string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) }))
	t.Cleanup(s.Close)
	return s
}

// Guards against a restart behind a cut that callers notice before the end of the cut, and against
// requests sent meanwhile that do not reach the process that is there at the end.
func TestRestartBehindCut(t *testing.T) {
	former, next := namedServer(t, "former"), namedServer(t, "next")
	p, err := newProxy(freeAddress, former.Listener.Addr().String())
	require.NoError(t, err)
	defer p.close()
	get := func() (string, error) {
		resp, err := http.Get("http://" + p.addr())
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return string(data), err
	}
	answer, err := get()
	require.NoError(t, err)
	require.Equal(t, "former", answer)
	http.DefaultClient.CloseIdleConnections()

	p.setModes(modeHold, modeHold)
	type result struct {
		answer string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		answer, err := get()
		results <- result{answer, err}
	}()
	require.Eventually(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.conns) > 0 }, 5*time.Second, time.Millisecond)
	p.setTarget(next.Listener.Addr().String())
	require.Empty(t, results, "nothing crosses the cut")
	p.setModes(modeForward, modeForward)
	r := <-results
	require.NoError(t, r.err)
	require.Equal(t, "next", r.answer)
}

// Guards against a simulated worker that drops an order because its sender has given up: a call
// without a response may be executed seconds later.
func TestOrderIsCarriedOutAfterCut(t *testing.T) {
	workers := fleettest.NewWorkers(1, func(fleet.TaskName) fleettest.Task { return fleettest.Task{Lasting: true} }, fleettest.NewRunChecker())
	r, w := platformtest.NewRunner(workers, fleet.WorkerInfo{Lifetime: fleet.Lifetime{Worker: "i-0", Born: 1}, Capacity: model.Resources{MilliCPU: 1}})
	defer r.Close()
	workers.SetClock(w, newClock, 1) // the deadline below is on this clock
	p, err := newProxy(freeAddress, r.Listener.Addr().String())
	require.NoError(t, err)
	defer p.close()
	ctx, cancel := context.WithCancel(t.Context())
	var link linkmeter.Meter
	client := platform.NewWorkers(platform.NewTransport(1, &link))
	worker := fleet.WorkerInfo{Lifetime: fleet.Lifetime{Worker: "i-0", Born: 1}, Addr: p.addr()}
	_, err = client.Poll(ctx, worker, fleet.PollOrder{Fence: 1}) // the connection is known to be the worker's
	require.NoError(t, err)
	_, before := link.Totals()
	p.setModes(modeHold, modeHold)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		order := fleet.StartOrder{RunRef: fleet.RunRef{Task: "0000000000000001.0.0.0", Attempt: 1}, Deadline: 6 * time.Second, Fence: 1}
		_, _ = client.Start(ctx, worker, order) // it gets no answer
	}()
	// The order fits into one write. httptrace's WroteRequest precedes that write.
	require.Eventually(t, func() bool { _, sent := link.Totals(); return sent > before }, 5*time.Second, time.Millisecond)
	cancel()
	<-returned
	require.Zero(t, workers.RunCount(w))
	p.setModes(modeForward, modeForward)
	require.Eventually(t, func() bool { return workers.RunCount(w) == 1 }, 5*time.Second, time.Millisecond)
}
