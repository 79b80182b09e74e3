package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against a request or an order that runs twice when its key reaches all
// nodes at once and one of them is killed meanwhile (R7).
func TestSameKeyEverywhereWhileANodeIsKilled(t *testing.T) {
	c := newCluster(t, 3)
	for id := range c.platform.Runners() {
		c.platform.Faults().SetRunner(string(id), standin.RunnerFault{SlowFactor: 40})
	}
	header := map[string]string{"Vpier-Idempotent": "false", "Idempotency-Key": "everywhere", "Vpier-Timeout-Ms": "6000"}
	send := func(p *process) string {
		_, answer, err := do(t.Context(), http.MethodPost, "http://"+p.callers+"/v1/services/desk/print", header, []byte("plate"), nil)
		for err == nil && answer.Get("Vpier-Outcome") == "not-run" { // refused, so it may be sent again
			time.Sleep(poll)
			_, answer, err = do(t.Context(), http.MethodPost, "http://"+p.callers+"/v1/services/desk/print", header, []byte("plate"), nil)
		}
		return answer.Get("Vpier-Outcome")
	}
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() { send(c.node(i)) })
	}
	jobs := make([]model.JobID, 3)
	for i := range jobs {
		wg.Go(func() { jobs[i] = c.order("one-order", 3, 300) })
	}
	c.wait("dispatch", func() bool { return c.platform.Ledger().RequestExecutions("everywhere") > 0 })
	c.node(0).kill()
	c.replace(0, c.start(0))
	wg.Wait()
	first := send(c.node(1))
	require.Contains(t, []string{"done", "unknown"}, first)
	require.Equal(t, first, send(c.node(2)), "all nodes give the recorded outcome")
	require.Equal(t, 1, c.platform.Ledger().RequestExecutions("everywhere"))
	require.Equal(t, jobs[0], jobs[1])
	require.Equal(t, jobs[0], jobs[2])
	c.finish(jobs[0])
	require.Len(t, c.platform.Ledger().Ends(), 3, "the order's tasks ran once")
	c.noViolations()
}

// Guards against waves of cancellations that leave tasks running, end as anything
// but cancelled, or keep later work from running.
func TestCancellationWave(t *testing.T) {
	c := newCluster(t, 3)
	jobs := c.orders("wave", 20, 10, 60_000)
	var wg sync.WaitGroup
	for i, job := range jobs {
		for try := range 2 { // each is cancelled through two nodes at the same time
			wg.Go(func() {
				c.wait("cancelled", func() bool {
					url := "http://" + c.node(i+try).callers + "/v1/orders/" + string(job)
					code, _, _ := do(t.Context(), http.MethodDelete, url, nil, nil, nil)
					return code == http.StatusAccepted
				})
			})
		}
	}
	wg.Wait()
	for i, job := range jobs {
		c.wait("job cancelled", func() bool {
			s, _ := c.orderStatus(c.node(i), job)
			return s.State == "cancelled" && s.Done == 0
		})
	}
	for _, worker := range c.workers() {
		require.Empty(t, c.platform.Worker(model.WorkerID(worker)).Live())
	}
	c.finishAll(c.orders("next", 4, 4, 100))
	c.noViolations()
}

// Guards against jobs that fail because one worker fails everything it starts.
func TestWorkerFailsEverything(t *testing.T) {
	c := newCluster(t, 3)
	for _, bad := range []string{"north-r01-w01", "south-r01-w01"} {
		c.platform.Faults().SetWorker(bad, standin.WorkerFault{FailStarts: true})
	}
	c.finishAll(c.orders("bad-worker", 10, 4, 300))
	c.noViolations()
}

// Guards against tasks that are lost, or run twice, when workers die with what
// they run and come back as new processes at other addresses.
func TestWorkersKilledAndRestarted(t *testing.T) {
	c := newCluster(t, 3)
	jobs := c.orders("killed-worker", 6, 4, 4000)
	c.wait("tasks running", func() bool { return len(c.platform.Ledger().Starts()) >= 24 })
	busy := map[model.WorkerID]bool{}
	for _, start := range c.platform.Ledger().Starts() {
		busy[start.Worker] = true
	}
	for worker := range busy {
		c.platform.KillWorker(worker)
		require.NoError(t, c.platform.RestartWorker(worker))
	}
	c.finishAll(jobs)
	c.noViolations()
}

// Guards against work or requests that are lost when all nodes are replaced one
// after the other under load (R9).
func TestAllNodesReplacedUnderLoad(t *testing.T) {
	c := newCluster(t, 3)
	failures, stop := make(chan string, 1000), make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { load(t, c, i, stop, failures) })
	}
	var jobs []model.JobID
	for i := range 3 {
		jobs = append(jobs, c.orders(fmt.Sprintf("round-%d", i), 3, 3, 1500)...)
		former := c.node(i)
		c.replace(i, c.start(i))
		former.signal(syscall.SIGTERM)
		<-former.done
		require.Equal(t, 0, former.cmd.ProcessState.ExitCode())
	}
	close(stop)
	wg.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	c.finishAll(jobs)
	c.wait("former members gone", func() bool {
		var view adminapi.ViewReply
		c.view(c.node(0), &view)
		return len(view.Members) == 3
	})
	c.noViolations()
}

// Guards against a request that is sent again, or reported as not run, when its
// upstream breaks after execution, through each of the nodes.
func TestBrokenUpstreamIsUnknown(t *testing.T) {
	c := newCluster(t, 2)
	for id := range c.platform.Runners() {
		c.platform.Faults().SetRunner(string(id), standin.RunnerFault{Reset: true})
	}
	for i := range 4 {
		key := fmt.Sprintf("broken-%d", i)
		header := map[string]string{"Vpier-Idempotent": "false", "Idempotency-Key": key, "Vpier-Timeout-Ms": "4000"}
		var refusal adminapi.ErrorReply
		_, answer, err := do(context.Background(), http.MethodPost, "http://"+c.node(i).callers+"/v1/services/desk/print", header, []byte("plate"), &refusal)
		require.NoError(t, err)
		require.Equal(t, "unknown", answer.Get("Vpier-Outcome"), refusal.Message)
		require.Equal(t, 1, c.platform.Ledger().RequestExecutions(key), "request %d: %s", i, refusal.Message)
	}
}
