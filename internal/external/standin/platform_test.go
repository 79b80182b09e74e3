package standin

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// newSmallPlatform returns a started platform with one worker and one runner.
func newSmallPlatform(t *testing.T) *Platform {
	p := NewPlatform(PlatformConfig{
		Seed:        1,
		DataCentres: []DataCentreConfig{{Name: "dc", Racks: 1, WorkersPerRack: 1, Capacity: unit}},
		Services:    []ServiceConfig{{Name: "desk", Runners: 1, Connections: 2}},
	})
	require.NoError(t, p.Start())
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	return p
}

// Guards against a paused worker that drops received commands: a real one executes them
// when it resumes, after the senders have timed out.
func TestPausedWorkerExecutesOldCommandsOnResume(t *testing.T) {
	p := newSmallPlatform(t)
	host := p.Hosts()[0]
	api := httpapi.NewWorkers(nil)
	p.Faults().SetWorker(host.ID, WorkerFault{Paused: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := api.Command(ctx, host, external.WorkerCommand{Cell: "c", Epoch: 5})
	require.Equal(t, model.KindUnknown, model.KindOf(err))
	p.Faults().SetWorker(host.ID, WorkerFault{})
	// The old command raises the epoch once it is executed.
	require.Eventually(t, func() bool {
		_, err := api.Command(t.Context(), host, external.WorkerCommand{Cell: "c", Epoch: 4})
		return model.IsKind(err, model.KindFenced)
	}, time.Minute, time.Millisecond)
}

// Guards against a worker whose tasks do not end on their own, or that fails tasks without
// the fault or completes them with it.
func TestWorkerRunsTasksByTimer(t *testing.T) {
	p := newSmallPlatform(t)
	host := p.Hosts()[0]
	api := httpapi.NewWorkers(nil)
	for i, want := range []model.Outcome{model.OutcomeDone, model.OutcomeFailed} {
		p.Faults().SetWorker(host.ID, WorkerFault{FailStarts: want == model.OutcomeFailed})
		r, err := api.Command(t.Context(), host, external.WorkerCommand{Cell: "c", Epoch: 1})
		require.NoError(t, err)
		s := startOf(model.Attempt(i+1), Payload{RunMS: 50})
		_, err = api.Command(t.Context(), host, external.WorkerCommand{Cell: "c", Epoch: 1, Session: r.Session, Starts: []external.Start{s}})
		require.NoError(t, err)
		require.Eventually(t, func() bool { return len(p.Ledger().Ends()) == i+1 }, time.Minute, time.Millisecond)
		require.Equal(t, want, p.Ledger().Ends()[i].Outcome)
	}
}

// Guards against connections beyond a runner's limit being served or not counted.
func TestRunnerEnforcesConnections(t *testing.T) {
	p := newSmallPlatform(t)
	var addr string
	for _, h := range p.Hosts() {
		if h.Role == external.RoleRunner {
			addr = h.Addr
		}
	}
	var open []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		open = append(open, c)
	}
	require.Eventually(t, func() bool { return p.Ledger().Count(RuleConnections) == 1 }, time.Minute, time.Millisecond)
	for _, c := range open {
		require.NoError(t, c.Close())
	}
	// Closed connections no longer count.
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + addr)
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}, time.Minute, time.Millisecond)
}
