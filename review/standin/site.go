package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of a node. Each node has a loopback address of its own.
const (
	portFront = 8161
	portReady = 8167
	portFirst = 7720
	portLast  = 7735
)

const (
	routeHost   = "desk.example"
	routePrefix = "/orders/"
	// clientWait is the requesters' time limit.
	clientWait = 3 * time.Second
)

// site is a small deployment: a store, runners and nodes.
type site struct {
	program, tmp string
	trouble      bool
	started      time.Time
	store        *store
	inventory    *inventory // nil for none
	nodes        []*proc
	runners      []*runner
	client       *http.Client
	wg           sync.WaitGroup

	mu     sync.Mutex
	out    *bufio.Writer
	file   *os.File
	events []event
}

// proc is a process that the case has started.
type proc struct {
	name, ip, settings string
	store              string // the address at which a node calls the store
	// touchedAt is when the process was last started or told to end by SIGTERM; owned by mu.
	touchedAt time.Time

	mu   sync.Mutex
	cmd  *exec.Cmd     // nil while it does not run
	done chan struct{} // closed when the process has exited
}

// runner is a runner's machine; its process may be killed and started again.
type runner struct {
	proc
	args []string
	link *link
}

// ip returns a loopback address of this play.
func ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, kind, n+1) }

func newSite(program, record string) (*site, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	st, err := newStore(ip(1, 0))
	if err != nil {
		return nil, err
	}
	return &site{program: program, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), store: st, file: file,
		out: bufio.NewWriter(file), client: &http.Client{Timeout: clientWait, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}, nil
}

// record writes a line of the record.
func (s *site) record(format string, args ...any) { s.recordAt(time.Now(), format, args...) }

func (s *site) recordAt(at time.Time, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f %s\n", at.Sub(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes of the site.
func (s *site) close() {
	s.wg.Wait()
	for _, n := range s.nodes {
		n.kill()
	}
	for _, r := range s.runners {
		r.kill()
		_ = r.link.listener.Close()
	}
	_ = s.store.server.Close()
	if s.inventory != nil {
		_ = s.inventory.server.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.out.Flush()
	_ = s.file.Close()
	_ = os.RemoveAll(s.tmp)
}

// begin starts a command as the process.
func (p *proc) begin(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // it was told to end
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done, p.touchedAt = cmd, done, time.Now()
	return nil
}

// signal sends a signal to the process and returns the channel that is closed when it has exited.
func (p *proc) signal(sig syscall.Signal) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, fmt.Errorf("%s was not started", p.name)
	}
	if sig == syscall.SIGTERM {
		p.touchedAt = time.Now()
	}
	return p.done, p.cmd.Process.Signal(sig)
}

// kill kills the process and waits until it has exited.
func (p *proc) kill() {
	if done, _ := p.signal(syscall.SIGKILL); done != nil { // an error means that it has exited
		<-done
	}
}

// route is a route of the manifest.
type route struct {
	attempts int
}

// configure writes the manifest.
func (s *site) configure(r route) {
	s.store.put("op", "config", map[string]any{"version": 3, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []any{map[string]any{"name": "desk", "admission_control": true, "spare": false}},
		"routes": []any{map[string]any{"name": "r-1", "host": routeHost, "path_prefix": routePrefix, "service": "desk", "kind": "unsafe",
			"timeout_ms": 3000, "slo_ms": 1000, "max_attempts": r.attempts, "priority": 0, "stretch": 2.0}}})
}

// addRunners starts n runners.
func (s *site) addRunners(n int, size func(i int) (cpu, mem int64)) error {
	for i := range n {
		cpu, mem := size(i)
		id := fmt.Sprintf("i-%04x%02d", rand.IntN(1<<16), i)
		addr := net.JoinHostPort(ip(2, i), "8367")
		l, err := newLink(ip(5, i), addr)
		if err != nil {
			return err
		}
		r := &runner{link: l, proc: proc{name: id, ip: ip(2, i)}, args: []string{"worker", "-id", id, "-addr", addr, "-listed", l.addr, "-zone", zone(i), "-rack", "r" + strconv.Itoa(i%3),
			"-store", s.store.addr, "-cpu", strconv.FormatInt(cpu, 10), "-mem", strconv.FormatInt(mem, 10)}}
		s.runners = append(s.runners, r)
		if err := s.startRunner(r, 0); err != nil {
			return err
		}
	}
	return nil
}

func zone(i int) string { return []string{"gent", "antwerpen", "leuven"}[i%3] }

// startRunner starts a runner's process and returns when it listens. Its first entry in the store
// follows after firstBeat.
func (s *site) startRunner(r *runner, firstBeat time.Duration) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, append(r.args, "-first-beat", firstBeat.String())...)
	cmd.Stderr = os.Stderr
	up := make(chan struct{})
	cmd.Stdout = &eventReader{site: s, up: up}
	if err := r.begin(cmd); err != nil {
		return err
	}
	select {
	case <-up:
		return nil
	case <-time.After(5 * time.Second):
		return fmt.Errorf("runner %s does not start", r.name)
	}
}

// eventReader reads the events of a runner's process.
type eventReader struct {
	site *site
	rest []byte
	up   chan struct{}
}

// Write implements io.Writer.
func (r *eventReader) Write(data []byte) (int, error) {
	r.rest = append(r.rest, data...)
	for {
		line, rest, ok := bytes.Cut(r.rest, []byte("\n"))
		if !ok {
			return len(data), nil
		}
		r.rest = rest
		var e event
		if err := json.Unmarshal(line, &e); err != nil {
			return 0, err
		}
		r.site.addEvent(e)
		if e.Kind == "up" {
			close(r.up)
		}
	}
}

func (s *site) addEvent(e event) {
	s.mu.Lock()
	s.events = append(s.events, e)
	s.mu.Unlock()
	s.recordAt(time.Unix(0, e.At), "runner %s born %d: %s %s %d %s %d fence %d", e.Worker, e.Born, e.Kind, e.Task, e.Attempt, e.How, e.Number, e.Fence)
}

// allEvents returns a copy of the events so far.
func (s *site) allEvents() []event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]event(nil), s.events...)
}

// killRunner kills a runner's process.
func (s *site) killRunner(r *runner) {
	s.addEvent(event{At: time.Now().UnixNano(), Kind: "killed", Worker: r.name})
	r.kill()
}

// addNodes starts n nodes of the system.
func (s *site) addNodes(n int) error {
	seeds := []string{}
	for i := range n {
		name, addr := fmt.Sprintf("front-%s-%d", zone(i), i+1), ip(3, i)
		store, err := s.store.listen(ip(1, i+1))
		if err != nil {
			return err
		}
		at := func(port int) string { return net.JoinHostPort(addr, strconv.Itoa(port)) }
		settings := map[string]any{
			"node": name, "role": "node", "machine_class": "front", "serves": []string{"front"}, "ip": addr, "zone": zone(i), "region": "vlaanderen",
			"zones":  map[string]string{"gent": "vlaanderen", "antwerpen": "vlaanderen", "leuven": "vlaanderen"},
			"listen": map[string]string{"front": at(portFront), "ready": at(portReady)}, "port_range": []int{portFirst, portLast}, "seeds": seeds,
			"bootstrap": true, "limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(), "control_mode": "call",
			"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "places", "platform", "advice", "upkeep", "sharing"},
			"bounds": map[string]any{"contact_ms": 3000, "drain_ms": 2000, "grace_s": 6, "config_ms": 2000, "hold_max_ms": holdMax.Milliseconds(), "stop_ms": 400,
				"cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "maintenance_s": 2, "lease_ms": 3000},
			"platform": map[string]any{"address": store, "form": "table", "writes_per_s": 600, "reads_per_s": 2000, "tx_ms": 8.0, "part_writes_s": 150, "row_bytes": 65536, "across": false, "history_s": 20},
		}
		if s.inventory != nil {
			settings["cloud"] = map[string]any{"address": s.inventory.addr, "rate_per_s": 60.0, "duties": []string{}, "duty_per_s": 60.0}
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		p := &proc{name: name, ip: addr, store: store, settings: filepath.Join(s.tmp, name+".json")}
		if err := os.WriteFile(p.settings, data, 0o600); err != nil {
			return err
		}
		s.nodes = append(s.nodes, p)
		if err := s.startNode(p); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a node's process.
func (s *site) startNode(p *proc) error {
	log, err := os.OpenFile(filepath.Join(s.tmp, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.tmp, "VANILLAPIER_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	return p.begin(cmd)
}

// restartNode stops a node by SIGTERM and starts it again once it has exited, after grace_s at the
// latest.
func (s *site) restartNode(p *proc) error {
	const grace = 6 * time.Second
	done, err := p.signal(syscall.SIGTERM)
	if err != nil {
		return err
	}
	s.wg.Go(func() {
		select {
		case <-done:
		case <-time.After(grace):
			p.kill()
		}
		s.record("%s has exited", p.name)
		if err := s.startNode(p); err != nil {
			s.record("%s does not start again: %v", p.name, err)
		}
	})
	return nil
}

// awaitReady waits until all nodes are ready and the system has done a first submission.
func (s *site) awaitReady() error {
	end := time.Now().Add(25 * time.Second)
	for _, n := range s.nodes {
		for {
			resp, err := s.client.Get("http://" + net.JoinHostPort(n.ip, strconv.Itoa(portReady)) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	id, err := s.submit(0, job{text: "cpu=100 mem=100 work_ms=200", count: len(s.runners), cpu: 100, mem: 100, estimate: 200})
	if err != nil {
		return err
	}
	if _, ok := s.await(id, 10*time.Second, "completed"); !ok {
		return fmt.Errorf("the first submission is not done")
	}
	s.record("the system is ready")
	return nil
}

// job is a submission of one step.
type job struct {
	text            string
	count, cpu, mem int
	estimate        int
}

// call sends a request to a node. Status 0 means that there was no answer.
func (s *site) call(node int, method, id string, body any) (int, string) {
	data := []byte{}
	if body != nil {
		data, _ = json.Marshal(body)
	}
	p := s.nodes[node%len(s.nodes)]
	req, err := http.NewRequest(method, "http://"+net.JoinHostPort(p.ip, strconv.Itoa(portFront))+routePrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Vanillapier-Request-Deadline", strconv.FormatInt(clientWait.Milliseconds(), 10))
	resp, err := s.client.Do(req)
	if err != nil {
		s.record("client: %s %s at %s: no answer", method, id, p.name)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	if method != http.MethodGet {
		s.record("client: %s %s at %s: %d %s", method, id, p.name, resp.StatusCode, answer)
	}
	return resp.StatusCode, string(answer)
}

// newID returns an id for a submission.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in until it is accepted.
func (s *site) submit(node int, j job) (string, error) {
	id := newID()
	for try := range 20 {
		if status, _ := s.post(node+try, id, j); status/100 == 2 {
			return id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", fmt.Errorf("submission %s is not accepted", id)
}

// post hands a job in once.
func (s *site) post(node int, id string, j job) (int, string) {
	phase := map[string]any{"count": j.count, "cpu": j.cpu, "mem_mb": j.mem, "estimate_ms": j.estimate}
	return s.call(node, http.MethodPost, id, map[string]any{"spec": j.text, "phases": []any{phase}})
}

// state asks for the state of a submission.
func (s *site) state(node int, id string) string {
	status, answer := s.call(node, http.MethodGet, id, nil)
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return body.State
}

// await asks for the state of a submission until it is one of the given states.
func (s *site) await(id string, limit time.Duration, states ...string) (string, bool) {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		state := s.state(rand.IntN(len(s.nodes)), id)
		if state != last {
			s.record("client: state of %s: %s", id, state)
			last = state
		}
		for _, want := range states {
			if state == want {
				return state, true
			}
		}
	}
	return last, false
}
