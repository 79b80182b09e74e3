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

// Guards against work that is lost or doubled when the process that owns a cell
// is killed while tasks run.
func TestKilledOwner(t *testing.T) {
	c := newCluster(t, 3)
	c.wait("owner", func() bool { return c.owner("north.0") >= 0 })
	var jobs []model.JobID
	for i := range 6 {
		jobs = append(jobs, c.order(fmt.Sprintf("kill-%d", i), 4, 1500))
	}
	victim := c.owner("north.0")
	require.GreaterOrEqual(t, victim, 0)
	c.nodes[victim].kill()
	c.nodes[victim] = c.start(victim)
	for _, job := range jobs {
		c.finish(job)
	}
	c.noViolations()
}

// Guards against a frozen owner that goes on after a successor has taken over:
// its starts, renewals and appends must all be refused.
func TestFrozenOwner(t *testing.T) {
	c := newCluster(t, 3)
	c.wait("owner", func() bool { return c.owner("south.0") >= 0 })
	var jobs []model.JobID
	for i := range 6 {
		jobs = append(jobs, c.order(fmt.Sprintf("freeze-%d", i), 4, 2000))
	}
	victim := c.owner("south.0")
	require.GreaterOrEqual(t, victim, 0)
	frozen := c.nodes[victim]
	frozen.signal(syscall.SIGSTOP)
	c.nodes[victim] = c.start(victim)
	c.wait("take-over", func() bool { return c.owner("south.0") >= 0 })
	frozen.signal(syscall.SIGCONT)
	for _, job := range jobs {
		c.finish(job)
	}
	c.noViolations()
}

// Guards against a graceful stop that cuts requests, and against one that ends
// with another status than 0.
func TestGracefulStopCutsNothing(t *testing.T) {
	c := newCluster(t, 3)
	stopping := c.nodes[0]
	var wg sync.WaitGroup
	failures := make(chan string, 1000)
	stop := make(chan struct{})
	for i := range 8 {
		wg.Go(func() { load(t, c, i, stop, failures) })
	}
	time.Sleep(500 * time.Millisecond) // some load before the stop; no verdict depends on it
	stopping.signal(syscall.SIGTERM)
	<-stopping.done
	close(stop)
	wg.Wait()
	close(failures)
	for f := range failures {
		t.Error(f)
	}
	require.Equal(t, 0, stopping.cmd.ProcessState.ExitCode())
	c.noViolations()
}

// loadPause keeps the load of one goroutine below 200 requests a second: without it,
// load that is refused takes all processors from what the test waits for.
const loadPause = 5 * time.Millisecond

// load sends requests to all nodes while they are ready, as a load balancer
// does, and reports those that were cut.
func load(t *testing.T, c *cluster, worker int, stop <-chan struct{}, failures chan<- string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(loadPause):
		}
		p := c.node(n)
		if status("http://"+p.callers+"/readyz") != http.StatusOK {
			continue
		}
		header := map[string]string{"Vpier-Idempotent": "true"}
		body := fmt.Appendf(nil, "request %d.%d", worker, n)
		code, _, err := do(t.Context(), http.MethodPost, "http://"+p.callers+"/v1/services/desk/proof", header, body, nil)
		if err != nil {
			failures <- fmt.Sprintf("request %d.%d was cut: %v", worker, n, err)
		}
		if err == nil && code != http.StatusOK && code != http.StatusServiceUnavailable {
			failures <- fmt.Sprintf("request %d.%d: status %d", worker, n, code)
		}
	}
}

// Guards against work lost or doubled in a store outage longer than the ownership
// lease, while a data centre is taken out and back around it.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t, 3)
	c.wait("owners", func() bool { return c.owner("south.0") >= 0 && c.owner("north.0") >= 0 })
	var jobs []model.JobID
	for i := range 6 {
		jobs = append(jobs, c.order(fmt.Sprintf("outage-%d", i), 4, 12_000))
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
		c.finish(job)
	}
	c.noViolations()
}

// Guards against a non-idempotent request that is executed twice when its node is
// killed after dispatch and the caller repeats it elsewhere.
func TestKilledNodeAfterDispatch(t *testing.T) {
	c := newCluster(t, 3)
	for id := range c.platform.Runners() {
		c.platform.Faults().SetRunner(string(id), standin.RunnerFault{SlowFactor: 200})
	}
	header := map[string]string{"Vpier-Idempotent": "false", "Idempotency-Key": "once", "Vpier-Timeout-Ms": "8000"}
	url := func(p *process) string { return "http://" + p.callers + "/v1/services/desk/print" }
	go func() { _, _, _ = do(t.Context(), http.MethodPost, url(c.nodes[0]), header, []byte("plate"), nil) }()
	c.wait("dispatch", func() bool { return c.platform.Ledger().RequestExecutions("once") > 0 })
	c.nodes[0].kill()
	code, answer, err := do(t.Context(), http.MethodPost, url(c.nodes[1]), header, []byte("plate"), nil)
	require.NoError(t, err)
	require.Equal(t, "unknown", answer.Get("Vpier-Outcome"), "status %d", code)
	require.Equal(t, 1, c.platform.Ledger().RequestExecutions("once"))
}
