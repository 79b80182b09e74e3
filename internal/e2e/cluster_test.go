package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/request"
)

const (
	operatorToken = "e2e-token"
	// pollInterval is the interval at which wait evaluates its condition.
	pollInterval = 100 * time.Millisecond
	// cellLease is the default duration of the nodes' ownership leases.
	cellLease = 6 * time.Second
	// waitTimeout bounds a wait. Every condition holds within a few leases of the fault
	// that precedes it, or after the run time of the tasks, which is some seconds.
	waitTimeout = 30 * cellLease
)

const declarationText = `version: 1
deployment: e2e
data_centres:
  - {name: north, region: r, racks: 2, workers_per_rack: 3, worker: {cores: 16, memory_gb: 64}}
  - {name: south, region: r, racks: 2, workers_per_rack: 3, worker: {cores: 16, memory_gb: 64}}
services:
  - {name: desk, runners: 12, slots_per_runner: 8, connections_per_runner: 64, target_p99: 400ms, default_timeout: 5s}
teams:
  - {name: print, quota: {cores: 192, memory_gb: 768}}
batch_classes:
  - {name: plate, urgency: normal, resources: {cores: 1, memory_gb: 1}}
`

// binary is the path of vpierd, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "vpierd-e2e-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "vpierd")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/vpierd")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build vpierd: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is a simulated platform with nodes in separate processes, which reach each other,
// the store and the workers through the proxies of network.
type cluster struct {
	t          *testing.T
	platform   *standin.Platform
	network    *network
	storeProxy *proxy
	tokensPath string
	// mu guards the elements of nodes while sendLoad runs.
	mu    sync.Mutex
	nodes []*process
	// peerFlags returns the flags for the authentication between nodes.
	peerFlags func(index int) []string
	// extraFlags holds additional flags of all nodes.
	extraFlags []string
}

// process is one vpierd process. Its name identifies it in the network.
type process struct {
	cmd                   *exec.Cmd
	name                  string
	callerAddr, adminAddr string
	done                  chan struct{}
}

func newCluster(t *testing.T, nodes int) *cluster {
	c := newEmptyCluster(t)
	c.startNodes(nodes)
	return c
}

// startNodes starts nodes and accepts the declaration.
func (c *cluster) startNodes(nodes int) {
	for i := range nodes {
		c.nodes = append(c.nodes, c.launch(i)) // a node is ready only with a declaration
	}
	c.acceptDeclaration()
}

// clusterSlots bounds the number of concurrent clusters, to limit the load on a shared
// machine.
var clusterSlots = make(chan struct{}, 5)

// newEmptyCluster returns a cluster without nodes.
func newEmptyCluster(t *testing.T) *cluster {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	doc, err := declaration.Parse("e2e", []byte(declarationText))
	require.NoError(t, err)
	c := &cluster{t: t, platform: standin.NewPlatform(platformShape(doc.Declaration)), network: newNetwork(t)}
	c.peerFlags = func(int) []string { return []string{"--peer-plaintext"} }
	require.NoError(t, c.platform.Start())
	t.Cleanup(func() { _ = c.platform.Close() })
	sum := sha256.Sum256([]byte(operatorToken))
	c.tokensPath = filepath.Join(t.TempDir(), "operators")
	require.NoError(t, os.WriteFile(c.tokensPath, []byte("e2e:"+hex.EncodeToString(sum[:])+"\n"), 0o600))
	c.storeProxy = c.network.newProxy(t, "store")
	c.storeProxy.setTarget(strings.TrimPrefix(c.platform.URL(), "http://"))
	for _, h := range c.platform.Hosts() {
		if h.Role != external.RoleWorker {
			continue
		}
		worker := c.network.newProxy(t, h.ID)
		worker.setTarget(h.Addr)
		h.Addr = worker.addr()
		c.platform.HostList().Set(h)
	}
	return c
}

// workers returns the ids of all workers.
func (c *cluster) workers() []string {
	var ids []string
	for _, h := range c.platform.Hosts() {
		if h.Role == external.RoleWorker {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// others returns the names of all nodes but the one at index.
func (c *cluster) others(index int) []string {
	var names []string
	for i, p := range c.nodes {
		if i != index {
			names = append(names, p.name)
		}
	}
	return names
}

func platformShape(d *declaration.Declaration) standin.PlatformConfig {
	s := standin.PlatformConfig{Seed: 1}
	for _, dc := range d.DataCentres {
		s.DataCentres = append(s.DataCentres, standin.DataCentreConfig{
			Name: dc.Name, Racks: dc.Racks, WorkersPerRack: dc.WorkersPerRack, Capacity: dc.Worker.Resources(),
		})
	}
	s.Services = []standin.ServiceConfig{{Name: "desk", Runners: 12, Time: standin.ServiceTime{Median: 15 * time.Millisecond}}}
	return s
}

var listenPattern = regexp.MustCompile(`"admin":"([^"]+)","callers":"([^"]+)".*"peers":"([^"]+)"`)

// processCount is the number of processes started, which makes their names unique.
var processCount atomic.Int64

// start starts a node and waits until it is ready.
func (c *cluster) start(index int) *process {
	p := c.launch(index)
	c.wait("node ready", p.ready)
	return p
}

// launch starts a node and returns once it listens.
func (c *cluster) launch(index int) *process { return c.launchNode(index, false) }

// launchWithoutStore starts a node that cannot reach the store.
func (c *cluster) launchWithoutStore(index int) *process { return c.launchNode(index, true) }

func (c *cluster) launchNode(index int, storeCut bool) *process {
	p := &process{name: fmt.Sprintf("node-%d.%d", index, processCount.Add(1)), done: make(chan struct{})}
	c.network.setCut(storeCut, p.name, "store")
	peer := c.network.newProxy(c.t, p.name)
	flags := append(append(c.flags(index), "--advertise", peer.addr(), "--source-address", c.network.registerNode(p.name)), c.extraFlags...)
	p.cmd = exec.Command(binary, append(flags, c.peerFlags(index)...)...)
	log, err := p.cmd.StderrPipe()
	require.NoError(c.t, err)
	require.NoError(c.t, p.cmd.Start())
	addresses := make(chan []string, 1)
	go p.readLog(log, addresses)
	c.t.Cleanup(func() { p.kill() })
	found := <-addresses
	require.Len(c.t, found, 4, "the node ended before it listened")
	p.adminAddr, p.callerAddr = found[1], found[2]
	peer.setTarget(found[3])
	return p
}

// flags returns the flags of a node except those for its peers.
func (c *cluster) flags(index int) []string {
	dc, store := []string{"north", "south"}[index%2], "http://"+c.storeProxy.addr()
	return []string{
		"--data-centre", dc, "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--operator-tokens", c.tokensPath, "--drain-wait", "1s", "--table-url", store, "--objects-url", store, "--hosts-url", store,
		"--seed", fmt.Sprint(index + 1), "--log-level", "info",
	}
}

func (p *process) ready() bool { return getStatus("http://"+p.callerAddr+"/readyz") == http.StatusOK }

// readLog sends the listen addresses from the log line that reports them, then drains the log
// until the process ends.
func (p *process) readLog(log io.Reader, addresses chan<- []string) {
	defer close(p.done)
	var seen bytes.Buffer
	buffer := make([]byte, 64<<10)
	sent := false
	for {
		n, err := log.Read(buffer)
		if !sent {
			seen.Write(buffer[:n])
			if found := listenPattern.FindStringSubmatch(seen.String()); found != nil || err != nil {
				addresses <- found
				sent = true
			}
		}
		if err != nil {
			_ = p.cmd.Wait()
			return
		}
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// wait polls until the condition holds. It fails the test, with the state of the nodes, when
// that takes longer than waitTimeout.
func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	limit := time.NewTimer(waitTimeout)
	defer limit.Stop()
	for !condition() {
		select {
		case <-c.t.Context().Done():
			c.t.Fatalf("test ended while waiting: %s", what)
		case <-limit.C:
			c.t.Fatalf("not within %v (%d cell leases): %s\n%s", waitTimeout, waitTimeout/cellLease, what, c.describe())
		case <-time.After(pollInterval):
		}
	}
}

// describe returns the state of each node, the cut links and the numbers of tasks.
func (c *cluster) describe() string {
	var text strings.Builder
	c.mu.Lock()
	nodes := append([]*process(nil), c.nodes...)
	c.mu.Unlock()
	for _, p := range nodes {
		s, answered := c.nodeStatus(p)
		fmt.Fprintf(&text, "%s: answers %t, ready %t, owns %v\n", p.name, answered, p.ready(), s.OwnedCells)
	}
	fmt.Fprintf(&text, "cut: %v\n", c.network.cutLinks())
	fmt.Fprintf(&text, "tasks started %d, ended %d", len(c.platform.Ledger().Starts()), len(c.platform.Ledger().Ends()))
	return text.String()
}

var client = &http.Client{Timeout: 10 * time.Second}

func getStatus(url string) int {
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// doHTTP sends one HTTP request. If into is not nil, it decodes a JSON response into it.
func doHTTP(ctx context.Context, method, url string, header map[string]string, body []byte, into any) (int, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && into != nil {
		_ = json.Unmarshal(data, into)
	}
	return resp.StatusCode, resp.Header, err
}

// command sends an operator's command to a node until it succeeds.
func (c *cluster) command(p *process, path, id string, build func(adminapi.Command) any) adminapi.CommandReply {
	c.t.Helper()
	var reply adminapi.CommandReply
	c.wait("command "+path, func() bool {
		var view adminapi.ViewReply
		base := "http://" + p.adminAddr + adminapi.Prefix
		if code, _, _ := doHTTP(c.t.Context(), http.MethodGet, base+"view", operatorAuth, nil, &view); code != http.StatusOK {
			return false
		}
		body, _ := json.Marshal(build(adminapi.Command{RequestID: id, SeenSequence: view.Sequence}))
		code, _, _ := doHTTP(c.t.Context(), http.MethodPost, base+path, operatorAuth, body, &reply)
		return code == http.StatusOK
	})
	return reply
}

func (c *cluster) acceptDeclaration() {
	p := c.nodes[0]
	proposed := c.command(p, "propose", "request-propose", func(cmd adminapi.Command) any {
		return adminapi.ProposeRequest{Command: cmd, Text: declarationText}
	})
	c.command(p, "accept", "request-accept", func(cmd adminapi.Command) any {
		return adminapi.AcceptRequest{Command: cmd, Proposal: proposed.Sequence}
	})
	for _, p := range c.nodes {
		c.wait("declaration in force on each node", func() bool {
			var view adminapi.ViewReply
			c.readView(p, &view)
			return view.Declaration != nil && p.ready()
		})
	}
}

// owner returns the index of the node that owns a cell, or -1.
func (c *cluster) owner(cell model.CellID) int {
	for i := range c.nodes {
		if c.owns(c.node(i), cell) {
			return i
		}
	}
	return -1
}

// submitOrder submits a job to one node after the other until it is accepted.
func (c *cluster) submitOrder(key string, tasks int, runMS int64) model.JobID {
	c.t.Helper()
	payload := standin.Payload{RunMS: runMS, CheckpointEveryMS: 200, Result: "ok"}.Encode()
	order := request.Order{Team: "print", Class: "plate"}
	for range tasks {
		order.Tasks = append(order.Tasks, request.OrderTask{Payload: payload})
	}
	body, err := json.Marshal(order)
	require.NoError(c.t, err)
	var accepted request.OrderAccepted
	try := 0
	c.wait("order "+key, func() bool {
		p := c.node(try)
		try++
		code, _, _ := doHTTP(c.t.Context(), http.MethodPost, "http://"+p.callerAddr+"/v1/orders", map[string]string{"Idempotency-Key": key}, body, &accepted)
		return code == http.StatusAccepted || code == http.StatusOK
	})
	return accepted.Job
}

// waitDone waits until a job is done.
func (c *cluster) waitDone(job model.JobID) {
	c.t.Helper()
	try := 0
	c.wait("job done", func() bool {
		p := c.node(try)
		try++
		var s request.OrderStatus
		_, _, _ = doHTTP(c.t.Context(), http.MethodGet, "http://"+p.callerAddr+"/v1/orders/"+string(job), nil, nil, &s)
		return s.State == "done"
	})
}

// requireNoViolations checks the records of the simulated platform: no violated guarantee, no
// request executed twice and no task done more than once.
func (c *cluster) requireNoViolations() {
	c.t.Helper()
	require.Empty(c.t, c.platform.Ledger().Violations())
	require.Empty(c.t, c.platform.Ledger().RepeatedRequests())
	done := map[model.TaskID]int{}
	for _, e := range c.platform.Ledger().Ends() {
		if e.Outcome == model.OutcomeDone {
			done[e.Task]++
		}
	}
	for task, n := range done {
		require.Equal(c.t, 1, n, "task %s was done more than once", task)
	}
}
