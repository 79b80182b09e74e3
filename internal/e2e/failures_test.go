package e2e

import (
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

// Guards against losing tasks, or running them twice, when the process that owns a cell is
// killed while tasks run.
func TestKilledOwner(t *testing.T) {
	c := newCluster(t, 3)
	c.wait("owner", func() bool { return c.owner("north.0") >= 0 })
	var jobs []model.JobID
	for i := range 6 {
		jobs = append(jobs, c.submitOrder(fmt.Sprintf("kill-%d", i), 4, 1500))
	}
	victim := c.owner("north.0")
	require.GreaterOrEqual(t, victim, 0)
	c.nodes[victim].kill()
	c.nodes[victim] = c.start(victim)
	for _, job := range jobs {
		c.waitDone(job)
	}
	c.requireNoViolations()
}

// Guards against an owner that is paused, resumes after a successor has taken over and
// continues as owner: its starts, renewals and appends must all be rejected.
func TestFrozenOwner(t *testing.T) {
	c := newCluster(t, 3)
	c.wait("owner", func() bool { return c.owner("south.0") >= 0 })
	var jobs []model.JobID
	for i := range 6 {
		jobs = append(jobs, c.submitOrder(fmt.Sprintf("freeze-%d", i), 4, 2000))
	}
	victim := c.owner("south.0")
	require.GreaterOrEqual(t, victim, 0)
	frozen := c.nodes[victim]
	frozen.signal(syscall.SIGSTOP)
	c.nodes[victim] = c.start(victim)
	c.wait("take-over", func() bool { return c.owner("south.0") >= 0 })
	frozen.signal(syscall.SIGCONT)
	for _, job := range jobs {
		c.waitDone(job)
	}
	c.requireNoViolations()
}

// Guards against a graceful stop that aborts requests or exits with a non-zero status.
func TestGracefulStopCompletesRequests(t *testing.T) {
	c := newCluster(t, 3)
	stopping := c.nodes[0]
	var wg sync.WaitGroup
	failures := make(chan string, 1000)
	stop := make(chan struct{})
	for i := range 8 {
		wg.Go(func() { sendLoad(t, c, i, stop, failures) })
	}
	time.Sleep(500 * time.Millisecond) // lets some load arrive before the stop; no check depends on it
	stopping.signal(syscall.SIGTERM)
	<-stopping.done
	close(stop)
	wg.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	require.Equal(t, 0, stopping.cmd.ProcessState.ExitCode())
	c.requireNoViolations()
}

// loadInterval limits the load of one goroutine to 200 requests per second. Without it,
// rejected requests use all the CPU time that the nodes under test need.
const loadInterval = 5 * time.Millisecond

// sendLoad sends requests to the nodes that are ready, as a load balancer does, and reports
// those that were aborted or had an unexpected status.
func sendLoad(t *testing.T, c *cluster, worker int, stop <-chan struct{}, failures chan<- string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(loadInterval):
		}
		p := c.node(n)
		if getStatus("http://"+p.callerAddr+"/readyz") != http.StatusOK {
			continue
		}
		header := map[string]string{"Vpier-Idempotent": "true"}
		body := fmt.Appendf(nil, "request %d.%d", worker, n)
		code, _, err := doHTTP(t.Context(), http.MethodPost, "http://"+p.callerAddr+"/v1/services/desk/proof", header, body, nil)
		if err != nil {
			failures <- fmt.Sprintf("request %d.%d was cut: %v", worker, n, err)
		}
		if err == nil && code != http.StatusOK && code != http.StatusServiceUnavailable {
			failures <- fmt.Sprintf("request %d.%d: status %d", worker, n, code)
		}
	}
}

// Guards against losing tasks, or running them twice, in a store outage that is longer than
// the ownership lease and is followed by taking a data centre out of service.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, 3)
	c.wait("owners", func() bool { return c.owner("south.0") >= 0 && c.owner("north.0") >= 0 })
	var jobs []model.JobID
	for i := range 6 {
		jobs = append(jobs, c.submitOrder(fmt.Sprintf("outage-%d", i), 4, 12_000))
	}
	c.wait("tasks running", func() bool { return len(c.platform.Ledger().Starts()) >= 24 })
	c.platform.Faults().SetStore(standin.ServiceFault{Down: true})
	time.Sleep(10 * time.Second) // the length of the outage
	lost := 0
	for _, e := range c.platform.Ledger().Ends() {
		if e.Outcome != model.OutcomeDone {
			lost++
		}
	}
	c.platform.Faults().SetStore(standin.ServiceFault{})
	require.Zero(t, lost, "running work must go on in a store outage")
	c.command(c.nodes[1], "data-centres/north/out", "request-out", func(cmd adminapi.Command) any {
		return adminapi.DataCentreRequest{Command: cmd, Reason: "test"}
	})
	for _, job := range jobs {
		c.waitDone(job)
	}
	c.requireNoViolations()
}

// Guards against executing a non-idempotent request twice when its node is killed after
// dispatch and the caller repeats it at another node.
func TestKilledNodeAfterDispatch(t *testing.T) {
	c := newCluster(t, 3)
	for id := range c.platform.Runners() {
		c.platform.Faults().SetRunner(string(id), standin.RunnerFault{SlowFactor: 200})
	}
	header := map[string]string{"Vpier-Idempotent": "false", "Idempotency-Key": "once", "Vpier-Timeout-Ms": "8000"}
	url := func(p *process) string { return "http://" + p.callerAddr + "/v1/services/desk/print" }
	go func() { _, _, _ = doHTTP(t.Context(), http.MethodPost, url(c.nodes[0]), header, []byte("plate"), nil) }()
	c.wait("dispatch", func() bool { return c.platform.Ledger().RequestExecutions("once") > 0 })
	c.nodes[0].kill()
	code, answer, err := doHTTP(t.Context(), http.MethodPost, url(c.nodes[1]), header, []byte("plate"), nil)
	require.NoError(t, err)
	require.Equal(t, "unknown", answer.Get("Vpier-Outcome"), "status %d", code)
	require.Equal(t, 1, c.platform.Ledger().RequestExecutions("once"))
}
