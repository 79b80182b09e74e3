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
	token = "e2e-token"
	// poll is the interval at which conditions are looked at again.
	poll = 100 * time.Millisecond
	// cellLease is the nodes' default lease of a cell.
	cellLease = 6 * time.Second
	// waitLimit ends a wait: every condition follows within a few leases of the
	// fault that precedes it, or within the run time of tasks of some seconds.
	waitLimit = 30 * cellLease
)

const text = `version: 1
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

// cluster is a platform with nodes in processes of their own, which reach each
// other, the store and the workers through the network.
type cluster struct {
	t        *testing.T
	platform *standin.Platform
	network  *network
	store    *proxy
	tokens   string
	// mu guards the elements of nodes while load runs.
	mu    sync.Mutex
	nodes []*process
	// peerFlags choose how the nodes authenticate each other.
	peerFlags func(index int) []string
	// extra holds further settings of all nodes.
	extra []string
}

// process is one vpierd. Its name is that of the node in the network.
type process struct {
	cmd            *exec.Cmd
	name           string
	callers, admin string
	done           chan struct{}
}

func newCluster(t *testing.T, nodes int) *cluster {
	c := newPlatform(t)
	c.fill(nodes)
	return c
}

// fill starts nodes and puts the declaration in force.
func (c *cluster) fill(nodes int) {
	for i := range nodes {
		c.nodes = append(c.nodes, c.launch(i)) // ready only with a declaration
	}
	c.accept()
}

// clusters bounds the clusters that run at the same time on a shared machine.
var clusters = make(chan struct{}, 5)

// newPlatform returns a cluster without nodes.
func newPlatform(t *testing.T) *cluster {
	t.Parallel()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	doc, err := declaration.Parse("e2e", []byte(text))
	require.NoError(t, err)
	c := &cluster{t: t, platform: standin.NewPlatform(shape(doc.Declaration)), network: newNetwork(t)}
	c.peerFlags = func(int) []string { return []string{"--peer-plaintext"} }
	require.NoError(t, c.platform.Start())
	t.Cleanup(func() { _ = c.platform.Close() })
	sum := sha256.Sum256([]byte(token))
	c.tokens = filepath.Join(t.TempDir(), "operators")
	require.NoError(t, os.WriteFile(c.tokens, []byte("e2e:"+hex.EncodeToString(sum[:])+"\n"), 0o600))
	c.store = c.network.proxy(t, "store")
	c.store.open(strings.TrimPrefix(c.platform.URL(), "http://"))
	for _, h := range c.platform.Hosts() {
		if h.Role != external.RoleWorker {
			continue
		}
		worker := c.network.proxy(t, h.ID)
		worker.open(h.Addr)
		h.Addr = worker.addr()
		c.platform.HostList().Set(h)
	}
	return c
}

// workers lists the ids of all workers.
func (c *cluster) workers() []string {
	var ids []string
	for _, h := range c.platform.Hosts() {
		if h.Role == external.RoleWorker {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// others lists the names of all nodes but one.
func (c *cluster) others(index int) []string {
	var names []string
	for i, p := range c.nodes {
		if i != index {
			names = append(names, p.name)
		}
	}
	return names
}

func shape(d *declaration.Declaration) standin.PlatformConfig {
	s := standin.PlatformConfig{Seed: 1}
	for _, dc := range d.DataCentres {
		s.DataCentres = append(s.DataCentres, standin.DataCentreConfig{
			Name: dc.Name, Racks: dc.Racks, WorkersPerRack: dc.WorkersPerRack, Capacity: dc.Worker.Resources(),
		})
	}
	s.Services = []standin.ServiceConfig{{Name: "desk", Runners: 12, Time: standin.ServiceTime{Median: 15 * time.Millisecond}}}
	return s
}

var listening = regexp.MustCompile(`"admin":"([^"]+)","callers":"([^"]+)".*"peers":"([^"]+)"`)

// lives counts processes, for their names.
var lives atomic.Int64

// start runs a node and waits until it is ready.
func (c *cluster) start(index int) *process {
	p := c.launch(index)
	c.wait("node ready", p.ready)
	return p
}

// launch runs a node and returns once it listens.
func (c *cluster) launch(index int) *process { return c.run(index, false) }

// launchCut runs a node that cannot reach the store.
func (c *cluster) launchCut(index int) *process { return c.run(index, true) }

func (c *cluster) run(index int, cut bool) *process {
	p := &process{name: fmt.Sprintf("node-%d.%d", index, lives.Add(1)), done: make(chan struct{})}
	c.network.both(cut, p.name, "store")
	peer := c.network.proxy(c.t, p.name)
	flags := append(append(c.flags(index), "--advertise", peer.addr(), "--source-address", c.network.register(p.name)), c.extra...)
	p.cmd = exec.Command(binary, append(flags, c.peerFlags(index)...)...)
	log, err := p.cmd.StderrPipe()
	require.NoError(c.t, err)
	require.NoError(c.t, p.cmd.Start())
	addresses := make(chan []string, 1)
	go p.readLog(log, addresses)
	c.t.Cleanup(func() { p.kill() })
	found := <-addresses
	require.Len(c.t, found, 4, "the node ended before it listened")
	p.admin, p.callers = found[1], found[2]
	peer.open(found[3])
	return p
}

// flags are the settings of a node except those for its peers.
func (c *cluster) flags(index int) []string {
	dc, store := []string{"north", "south"}[index%2], "http://"+c.store.addr()
	return []string{
		"--data-centre", dc, "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--operator-tokens", c.tokens, "--drain-wait", "1s", "--table-url", store, "--objects-url", store, "--hosts-url", store,
		"--seed", fmt.Sprint(index + 1), "--log-level", "info",
	}
}

func (p *process) ready() bool { return status("http://"+p.callers+"/readyz") == http.StatusOK }

// readLog passes the addresses on and drains the rest.
func (p *process) readLog(log io.Reader, addresses chan<- []string) {
	defer close(p.done)
	var seen bytes.Buffer
	buffer := make([]byte, 64<<10)
	sent := false
	for {
		n, err := log.Read(buffer)
		if !sent {
			seen.Write(buffer[:n])
			if found := listening.FindStringSubmatch(seen.String()); found != nil || err != nil {
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

// wait returns once the condition holds. It fails the test, with the state of the
// nodes, when that takes longer than waitLimit.
func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	limit := time.NewTimer(waitLimit)
	defer limit.Stop()
	for !condition() {
		select {
		case <-c.t.Context().Done():
			c.t.Fatalf("test ended while waiting: %s", what)
		case <-limit.C:
			c.t.Fatalf("not within %v (%d cell leases): %s\n%s", waitLimit, waitLimit/cellLease, what, c.describe())
		case <-time.After(poll):
		}
	}
}

// describe tells the state of each node and the cuts in force.
func (c *cluster) describe() string {
	var text strings.Builder
	c.mu.Lock()
	nodes := append([]*process(nil), c.nodes...)
	c.mu.Unlock()
	for _, p := range nodes {
		s, answered := c.nodeStatus(p)
		fmt.Fprintf(&text, "%s: answers %t, ready %t, owns %v\n", p.name, answered, p.ready(), s.OwnedCells)
	}
	fmt.Fprintf(&text, "cut: %v\n", c.network.cuts())
	fmt.Fprintf(&text, "tasks started %d, ended %d", len(c.platform.Ledger().Starts()), len(c.platform.Ledger().Ends()))
	return text.String()
}

var client = &http.Client{Timeout: 10 * time.Second}

func status(url string) int {
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// do sends one request and decodes a JSON answer.
func do(ctx context.Context, method, url string, header map[string]string, body []byte, into any) (int, http.Header, error) {
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

// command gives an operator's command to a node until it has taken effect.
func (c *cluster) command(p *process, path, id string, build func(adminapi.Command) any) adminapi.CommandReply {
	c.t.Helper()
	var reply adminapi.CommandReply
	c.wait("command "+path, func() bool {
		var view adminapi.ViewReply
		base := "http://" + p.admin + adminapi.Prefix
		if code, _, _ := do(c.t.Context(), http.MethodGet, base+"view", auth, nil, &view); code != http.StatusOK {
			return false
		}
		body, _ := json.Marshal(build(adminapi.Command{RequestID: id, SeenSequence: view.Sequence}))
		code, _, _ := do(c.t.Context(), http.MethodPost, base+path, auth, body, &reply)
		return code == http.StatusOK
	})
	return reply
}

func (c *cluster) accept() {
	p := c.nodes[0]
	proposed := c.command(p, "propose", "request-propose", func(cmd adminapi.Command) any {
		return adminapi.ProposeRequest{Command: cmd, Text: text}
	})
	c.command(p, "accept", "request-accept", func(cmd adminapi.Command) any {
		return adminapi.AcceptRequest{Command: cmd, Proposal: proposed.Sequence}
	})
	for _, p := range c.nodes {
		c.wait("declaration in force on each node", func() bool {
			var view adminapi.ViewReply
			c.view(p, &view)
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

// order submits a job through any node until it is accepted.
func (c *cluster) order(key string, tasks int, runMS int64) model.JobID {
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
		code, _, _ := do(c.t.Context(), http.MethodPost, "http://"+p.callers+"/v1/orders", map[string]string{"Idempotency-Key": key}, body, &accepted)
		return code == http.StatusAccepted || code == http.StatusOK
	})
	return accepted.Job
}

// finish waits until a job is done.
func (c *cluster) finish(job model.JobID) {
	c.t.Helper()
	try := 0
	c.wait("job done", func() bool {
		p := c.node(try)
		try++
		var s request.OrderStatus
		_, _, _ = do(c.t.Context(), http.MethodGet, "http://"+p.callers+"/v1/orders/"+string(job), nil, nil, &s)
		return s.State == "done"
	})
}

// noViolations checks the stand-ins' record of what must never happen.
func (c *cluster) noViolations() {
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
