package soak

import (
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/platform"
	"github.com/vanillapier/vanillapier/platform/platformtest"
)

// route is the route of all jobs. Its budget of failed attempts is more than the
// faults can use up.
var route = platformtest.Route{Host: "shop.example", Prefix: "/q/", Service: "svc", Attempts: 50}

const (
	// leaseMax is the longest lease that workers grant, as on the first site.
	leaseMax = 6 * time.Second
	// grace is the time from SIGTERM to the end of a process.
	grace = 6 * time.Second
	zones = 3
)

// site is the platform's side and the processes of one run.
type site struct {
	binary, dir string
	cells       int
	rows        *fleettest.Store
	view        *fleettest.View
	store       *platformtest.Store
	ledger      *fleettest.RunChecker
	fleet       *fleettest.Workers
	nodes       []*node
	workers     []*worker
	restarts    sync.WaitGroup
	number      int64 // of this run in the process
	version     int
	born        int64
}

// node is one vpierd with its own link to the store.
type node struct {
	name     string
	settings string
	callers  string
	link     *proxy
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has ended
	frozen bool          // stands still until the end of a fault
}

// worker is a runner behind a proxy.
type worker struct {
	id     string
	zone   string
	runner *platformtest.Runner
	life   *fleettest.Worker
	link   *proxy
}

// behaviour gives each task a time between 0.2 and 0.9 s that its name decides.
func behaviour(name fleet.TaskName) fleettest.Task {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	work := 200*time.Millisecond + time.Duration(h.Sum32()%700)*time.Millisecond
	return fleettest.Task{Work: work, Needs: model.Resources{MilliCPU: taskCPU, MemoryMB: taskMemory}, Checkpoint: true}
}

func newSite(o Options, dir string) (*site, error) {
	s := &site{binary: o.Binary, cells: o.Cells, dir: dir, rows: fleettest.NewStore(o.Seed), ledger: fleettest.NewRunChecker(), number: sites.Add(1), born: 1000}
	s.view = s.rows.View()
	s.store = platformtest.NewStore(s.view)
	s.fleet = fleettest.NewWorkers(o.Seed, behaviour, s.ledger)
	s.configure()
	for i := range o.Workers {
		w := &worker{id: fmt.Sprintf("i-%d", i), zone: zone(i)}
		s.workers = append(s.workers, w)
		if err := s.addLife(w); err != nil {
			return s, err
		}
	}
	for i := range o.Nodes {
		n, err := s.newNode(i)
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, n)
		if err := s.start(n); err != nil {
			return s, err
		}
	}
	return s, nil
}

func zone(i int) string { return fmt.Sprintf("z%d", i%zones) }

// configure puts a new version of the configuration in force.
func (s *site) configure() {
	s.version++
	route.PutConfiguration(s.rows, s.version)
}

// takeOut takes a data centre out of service, or returns it.
func (s *site) takeOut(target int, out bool) { platformtest.SetEvacuated(s.rows, zone(target), out) }

// addLife starts a lifetime of a worker and lists it with the proxy's address.
func (s *site) addLife(w *worker) error {
	s.born++
	info := fleet.WorkerInfo{Lifetime: fleet.Lifetime{Worker: model.WorkerID(w.id), Born: s.born}, Service: route.Service,
		DataCentre: model.DataCentre(w.zone), Capacity: model.Resources{MilliCPU: workerCPU, MemoryMB: workerMemory}, Labels: []string{"a", "r-" + w.zone}}
	w.runner, w.life = platformtest.NewRunner(s.fleet, info)
	link, err := newProxy(w.runner.Listener.Addr().String())
	if err != nil {
		return err
	}
	if w.link != nil {
		w.link.close()
	}
	w.link = link
	return w.runner.Register(s.rows, link.addr())
}

// endLife kills a worker's process, and the platform notices.
func (s *site) endLife(w *worker) {
	s.fleet.Kill(w.life)
	w.link.close()
	w.runner.CloseClientConnections()
	platformtest.Deregister(s.rows, w.id)
}

// sites counts the runs of this process.
var sites atomic.Int64

// Ports of a node, on an address of its own.
const (
	portCallers = 7000 + iota
	portReady
	portPeers
	portMetrics
)

// nodeIP returns a loopback address that no other run uses. Ports of 127.0.0.1 would
// not do: while a node is down, an outgoing connection may take its port.
func nodeIP(site int64, node int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%200, site%250, node+1)
}

func (s *site) newNode(i int) (*node, error) {
	n := &node{name: fmt.Sprintf("node-%d", i)}
	var err error
	if n.link, err = newProxy(s.store.Addr()); err != nil {
		return nil, err
	}
	ip := nodeIP(s.number, i)
	n.callers = net.JoinHostPort(ip, strconv.Itoa(portCallers))
	settings := platformtest.NodeSettings{Node: n.name, IP: ip, Zone: zone(i), Callers: portCallers, Ready: portReady, Peers: portPeers,
		Metrics: portMetrics, CPUShare: []float64{0.4, 0.8}[i%2], Store: n.link.addr(),
		Bounds: fleet.Bounds{Grace: grace, LeaseMax: leaseMax, Retention: 2 * time.Minute, Maintenance: 2 * time.Second}}
	data, err := settings.JSON()
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(s.dir, n.name+".json")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(s.dir, n.name+".log"))
	return n, err
}

// start runs the node's process unless it runs already.
func (s *site) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done != nil {
		select {
		case <-n.done:
		default:
			return nil
		}
	}
	cmd := exec.Command(s.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.settings)
	if s.cells > 0 {
		cmd.Env = append(cmd.Env, "VPIER_FLEET_CELLS="+strconv.Itoa(s.cells))
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		_ = cmd.Wait() // the state tells how it ended
		close(done)
	}()
	return nil
}

// signal sends a signal to the node's process, if it runs, and returns the channel
// that is closed at its end.
func (n *node) signal(sig syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(sig) // it may have ended just now
	}
	return n.done
}

// freeze makes the process stand still, or go on.
func (n *node) freeze(on bool) {
	n.mu.Lock()
	n.frozen = on
	n.mu.Unlock()
	n.pause(on)
}

// pause stops or continues the process, unless it is frozen.
func (n *node) pause(on bool) {
	n.mu.Lock()
	frozen := n.frozen
	n.mu.Unlock()
	switch {
	case on:
		n.signal(syscall.SIGSTOP)
	case !frozen:
		n.signal(syscall.SIGCONT)
	}
}

// ended returns a channel that is closed when the current process has ended.
func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// exitCode returns the exit code of an ended process; -1 after a signal.
func (n *node) exitCode() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.ProcessState.ExitCode()
}

// lastWords returns the last line of the node's log that is a warning or worse, or
// that is no log line, as a panic's.
func (n *node) lastWords() string {
	data, err := os.ReadFile(n.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if !strings.Contains(lines[i], `"level":"info"`) {
			return lines[i]
		}
	}
	return ""
}

// close ends everything that the run started.
func (s *site) close() {
	for _, n := range s.nodes {
		if n.done != nil {
			<-n.signal(syscall.SIGKILL)
		}
		n.link.close()
		_ = n.log.Close()
	}
	for _, w := range s.workers {
		if w.link != nil {
			w.link.close()
		}
		if w.runner != nil {
			w.runner.CloseClientConnections()
			_ = w.runner.Config.Close()
		}
	}
	s.store.CloseClientConnections()
	_ = s.store.Config.Close()
}
