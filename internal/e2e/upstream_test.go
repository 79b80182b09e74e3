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

// Guards against running a request or an order twice when its idempotency key reaches all
// nodes concurrently and one of them is killed meanwhile (R7).
func TestSameKeyOnAllNodesWhileNodeIsKilled(t *testing.T) {
	c := newCluster(t, 3)
	for id := range c.platform.Runners() {
		c.platform.Faults().SetRunner(string(id), standin.RunnerFault{SlowFactor: 40})
	}
	header := map[string]string{"Vpier-Idempotent": "false", "Idempotency-Key": "everywhere", "Vpier-Timeout-Ms": "6000"}
	send := func(p *process) string {
		_, answer, err := doHTTP(t.Context(), http.MethodPost, "http://"+p.callerAddr+"/v1/services/desk/print", header, []byte("plate"), nil)
		for err == nil && answer.Get("Vpier-Outcome") == "not-run" { // refused, so a retry is safe
			time.Sleep(pollInterval)
			_, answer, err = doHTTP(t.Context(), http.MethodPost, "http://"+p.callerAddr+"/v1/services/desk/print", header, []byte("plate"), nil)
		}
		return answer.Get("Vpier-Outcome")
	}
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() { send(c.node(i)) })
	}
	jobs := make([]model.JobID, 3)
	for i := range jobs {
		wg.Go(func() { jobs[i] = c.submitOrder("one-order", 3, 300) })
	}
	c.wait("dispatch", func() bool { return c.platform.Ledger().RequestExecutions("everywhere") > 0 })
	c.node(0).kill()
	c.replaceNode(0, c.start(0))
	wg.Wait()
	first := send(c.node(1))
	require.Contains(t, []string{"done", "unknown"}, first)
	require.Equal(t, first, send(c.node(2)), "all nodes give the recorded outcome")
	require.Equal(t, 1, c.platform.Ledger().RequestExecutions("everywhere"))
	require.Equal(t, jobs[0], jobs[1])
	require.Equal(t, jobs[0], jobs[2])
	c.waitDone(jobs[0])
	require.Len(t, c.platform.Ledger().Ends(), 3, "the order's tasks ran once")
	c.requireNoViolations()
}

// Guards against many concurrent cancellations that leave tasks running, end in another state
// than cancelled, or block later jobs.
func TestMassCancellation(t *testing.T) {
	c := newCluster(t, 3)
	jobs := c.submitOrders("wave", 20, 10, 60_000)
	var wg sync.WaitGroup
	for i, job := range jobs {
		for try := range 2 { // each is cancelled through two nodes concurrently
			wg.Go(func() {
				c.wait("cancelled", func() bool {
					url := "http://" + c.node(i+try).callerAddr + "/v1/orders/" + string(job)
					code, _, _ := doHTTP(t.Context(), http.MethodDelete, url, nil, nil, nil)
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
	c.waitAllDone(c.submitOrders("next", 4, 4, 100))
	c.requireNoViolations()
}

// Guards against jobs that fail because one worker fails every task that it starts.
func TestWorkerFailsEveryTask(t *testing.T) {
	c := newCluster(t, 3)
	for _, bad := range []string{"north-r01-w01", "south-r01-w01"} {
		c.platform.Faults().SetWorker(bad, standin.WorkerFault{FailStarts: true})
	}
	c.waitAllDone(c.submitOrders("bad-worker", 10, 4, 300))
	c.requireNoViolations()
}

// Guards against losing tasks, or running them twice, when workers are killed with their
// running tasks and restart as new processes at other addresses.
func TestWorkersKilledAndRestarted(t *testing.T) {
	c := newCluster(t, 3)
	jobs := c.submitOrders("killed-worker", 6, 4, 4000)
	c.wait("tasks running", func() bool { return len(c.platform.Ledger().Starts()) >= 24 })
	busy := map[model.WorkerID]bool{}
	for _, start := range c.platform.Ledger().Starts() {
		busy[start.Worker] = true
	}
	for worker := range busy {
		c.platform.KillWorker(worker)
		require.NoError(t, c.platform.RestartWorker(worker))
	}
	c.waitAllDone(jobs)
	c.requireNoViolations()
}

// Guards against losing jobs or requests when all nodes are replaced one after the other
// under load (R9).
func TestAllNodesReplacedUnderLoad(t *testing.T) {
	c := newCluster(t, 3)
	failures, stop := make(chan string, 1000), make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { sendLoad(t, c, i, stop, failures) })
	}
	var jobs []model.JobID
	for i := range 3 {
		jobs = append(jobs, c.submitOrders(fmt.Sprintf("round-%d", i), 3, 3, 1500)...)
		former := c.node(i)
		c.replaceNode(i, c.start(i))
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
	c.waitAllDone(jobs)
	c.wait("former members gone", func() bool {
		var view adminapi.ViewReply
		c.readView(c.node(0), &view)
		return len(view.Members) == 3
	})
	c.requireNoViolations()
}

// Guards against a node that retries a request, or reports it as not run, when the upstream
// resets the connection after executing it.
func TestBrokenUpstreamGivesUnknownOutcome(t *testing.T) {
	c := newCluster(t, 2)
	for id := range c.platform.Runners() {
		c.platform.Faults().SetRunner(string(id), standin.RunnerFault{Reset: true})
	}
	for i := range 4 {
		key := fmt.Sprintf("broken-%d", i)
		header := map[string]string{"Vpier-Idempotent": "false", "Idempotency-Key": key, "Vpier-Timeout-Ms": "4000"}
		var refusal adminapi.ErrorReply
		_, answer, err := doHTTP(context.Background(), http.MethodPost, "http://"+c.node(i).callerAddr+"/v1/services/desk/print", header, []byte("plate"), &refusal)
		require.NoError(t, err)
		require.Equal(t, "unknown", answer.Get("Vpier-Outcome"), refusal.Message)
		require.Equal(t, 1, c.platform.Ledger().RequestExecutions(key), "request %d: %s", i, refusal.Message)
	}
}
