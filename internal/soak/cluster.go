package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"math/rand/v2"
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

// route is the route of all jobs. Its retry budget is larger than the faults can exhaust.
var route = platformtest.Route{Host: "shop.example", Prefix: "/q/", Service: "svc", Attempts: 50}

const (
	// shortLeaseMax is the longest lease that workers grant, as on the first deployment.
	shortLeaseMax = 6 * time.Second
	// grace is the time in which a process must exit after SIGTERM.
	grace = 6 * time.Second
	zones = 3
)

// cluster holds the simulated platform and the vpierd processes of one run.
type cluster struct {
	binary, dir   string
	cells         int
	clocks        *rand.Rand   // draws the clocks of the workers
	trace         bytes.Buffer // what the workers were told and what came of it; kept in memory, as the workers wait for each line
	rows          *fleettest.Store
	storeAccess   *fleettest.View
	storeServer   *platformtest.Store
	ledger        *fleettest.RunChecker
	simWorkers    *fleettest.Workers
	nodes         []*node
	workers       []*worker
	restarts      sync.WaitGroup
	network       network
	links         []*dataCentreLinks // of each data centre, in a run that aims at leaders
	aimedFaults   int                // aimed faults that have not ended
	conditions    conditions
	large         int        // number of nodes on large hosts, the first ones
	narrow        bool       // links and processor shares are limited
	hostLinks     []hostLink // of each node, in a run with small hosts
	lead          leadWatch
	stopShares    context.CancelFunc
	configVersion int
	lastStart     int64
}

// node is one vpierd with its own proxy to the store.
type node struct {
	name         string
	settingsPath string
	callerAddr   string
	readyAddr    string
	storeProxy   *proxy
	logFile      *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	done  chan struct{} // closed when the process has exited
	stops stopReason
	lost  atomic.Bool // not started again until its return
	share float64
}

// stopReason is a set of reasons for which a process is stopped by SIGSTOP.
type stopReason int

const (
	stoppedByFreeze stopReason = 1 << iota
	stoppedBySlowness
	stoppedByShare // it has used its share of a processor
)

const (
	longTaskShare = 8
	longTaskTime  = 2 * time.Second
)

// worker is a simulated worker behind a proxy.
type worker struct {
	id       string
	zone     string
	listen   string        // address of the proxy
	age      time.Duration // of the process that starts next, by its clock
	runner   *platformtest.Runner
	instance *fleettest.Worker
	proxy    *proxy
	silent   []*proxy // held by silences that have not ended
}

// taskBehaviour gives each task a run time between 0.2 and 0.9 s, derived from its name; one in
// longTaskShare takes longTaskTime more, so that it also runs across faults.
func taskBehaviour(name fleet.TaskName) fleettest.Task {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	work := 200*time.Millisecond + time.Duration(h.Sum32()%700)*time.Millisecond
	if h.Sum32()/700%longTaskShare == 0 {
		work += longTaskTime
	}
	return fleettest.Task{Work: work, Needs: model.Resources{MilliCPU: taskCPU, MemoryMB: taskMemory}, Checkpoint: true}
}

func newCluster(o Options, dir string) (*cluster, error) {
	c := &cluster{binary: o.Binary, cells: o.Cells, dir: dir, large: largeHosts(o), narrow: o.Small > 0, rows: fleettest.NewStore(o.Seed), ledger: fleettest.NewRunChecker(), lastStart: 1000,
		clocks: rand.New(rand.NewPCG(o.Seed, 15))}
	if c.narrow && c.cells == 0 {
		c.cells = 1 // as hard for a small host as can be
	}
	var err error
	if c.network, err = reserveNetwork(0); err != nil {
		return c, err
	}
	behaviour := taskBehaviour
	switch {
	case o.Aim:
		behaviour = aimedTaskBehaviour
	case o.SilentRestarts:
		behaviour = silentTaskBehaviour
	}
	c.storeAccess = c.rows.View()
	c.storeServer = platformtest.NewStore(c.storeAccess)
	c.simWorkers = fleettest.NewWorkers(o.Seed, withLasting(behaviour), c.ledger)
	c.simWorkers.Trace, c.simWorkers.LeaseMax = &c.trace, o.leaseMax()
	c.configure()
	for i := range o.Workers {
		w := &worker{id: fmt.Sprintf("i-%d", i), zone: zone(i), age: c.drawAge(), listen: freeAddress}
		if o.Aim {
			w.listen = c.network.workerAddr(i)
		}
		c.workers = append(c.workers, w)
		if err := c.startInstance(w); err != nil {
			return c, err
		}
	}
	if o.Aim {
		if err := c.linkDataCentres(o.Nodes); err != nil {
			return c, err
		}
	}
	if c.narrow {
		c.narrowLinks(o.Nodes)
	}
	for i := range o.Nodes {
		n, err := c.newNode(i, o)
		if err != nil {
			return c, err
		}
		c.nodes = append(c.nodes, n)
		if err := c.start(n); err != nil {
			return c, err
		}
	}
	if c.narrow {
		ctx, cancel := context.WithCancel(context.Background())
		c.stopShares = cancel
		go c.limitShares(ctx)
	}
	return c, nil
}

func zone(i int) string { return fmt.Sprintf("z%d", i%zones) }

// configure writes a new version of the configuration.
func (c *cluster) configure() {
	c.configVersion++
	route.PutConfiguration(c.rows, c.configVersion)
}

// takeOut takes a data centre out of service, or back into service.
func (c *cluster) takeOut(target int, out bool) { platformtest.SetZoneOut(c.rows, zone(target), out) }

// newInstance starts a new process of a worker, which is not listed yet.
func (c *cluster) newInstance(w *worker) {
	c.lastStart++
	info := fleet.WorkerInfo{Lifetime: fleet.Lifetime{Worker: model.WorkerID(w.id), Born: c.lastStart}, Service: route.Service,
		DataCentre: model.DataCentre(w.zone), Capacity: model.Resources{MilliCPU: workerCPU, MemoryMB: workerMemory}, Labels: []string{"a", "r-" + w.zone}}
	w.runner, w.instance = platformtest.NewRunner(c.simWorkers, info)
	c.simWorkers.SetClock(w.instance, w.age, minClockRate+(1-minClockRate)*c.clocks.Float64())
	w.age = newClock
}

const (
	// minClockRate is the contract's least rate of a worker's clock.
	minClockRate = 0.98
	// newClock is the clock of a worker that has just started again; the first processes are
	// up to maxAge or maxYoungAge old.
	newClock    = 10 * time.Millisecond
	maxYoungAge = 20 * time.Second
	maxAge      = 24 * time.Hour
)

// drawAge draws the age of a worker at the start of the run. Half of the workers are young: the
// clock of their next lifetime soon passes deadlines on the former one's.
func (c *cluster) drawAge() time.Duration {
	limit := []time.Duration{maxYoungAge, maxAge}[c.clocks.IntN(2)]
	return newClock + time.Duration(c.clocks.Int64N(int64(limit)))
}

// restartInstance replaces the process of a worker. Its address stays; its entry still names the
// former process.
func (c *cluster) restartInstance(w *worker) {
	former := w.runner
	c.simWorkers.Kill(w.instance)
	c.newInstance(w)
	w.proxy.setTarget(w.runner.Listener.Addr().String())
	_ = former.Config.Close() // only the listener can fail to close; nothing connects to it any more
}

// list writes the entry of a worker's process, unless its address is gone.
func (c *cluster) list(w *worker) error {
	if w.proxy.isClosed() {
		return nil
	}
	return w.runner.Register(c.rows, w.proxy.addr())
}

// startInstance starts a new process of a worker and adds it to the platform's list of
// workers under the address of its proxy.
func (c *cluster) startInstance(w *worker) error {
	c.newInstance(w)
	if w.proxy != nil {
		w.proxy.close()
	}
	proxy, err := newProxy(w.listen, w.runner.Listener.Addr().String())
	if err != nil {
		return err
	}
	w.proxy = proxy
	return w.runner.Register(c.rows, proxy.addr())
}

// killInstance kills a worker's process and removes it from the platform's list of workers.
func (c *cluster) killInstance(w *worker) {
	c.simWorkers.Kill(w.instance)
	w.proxy.close()
	w.runner.CloseClientConnections()
	platformtest.Deregister(c.rows, w.id)
}

// Ports of a node. Each node has an IP address of its own.
const (
	portCallers = 7000 + iota
	portReady
	portPeers
	portMetrics
	// portReservation is the port on reservationHost that a run holds while it uses a network.
	portReservation
)

func (c *cluster) newNode(i int, o Options) (*node, error) {
	n := &node{name: fmt.Sprintf("node-%d", i)}
	store, share, mbps := c.storeServer, []float64{0.4, 0.8}[i%2], 0.0
	if o.Aim {
		store = c.links[i%zones].store
		share, mbps = c.hostSize(i)
	}
	if !c.narrow {
		mbps = 0 // unknown
	}
	n.share = share
	var err error
	if n.storeProxy, err = newProxy(freeAddress, store.Addr()); err != nil {
		return nil, err
	}
	if c.narrow {
		n.storeProxy.link.Store(&c.hostLinks[i])
	}
	ip := c.network.host(i + 1)
	n.callerAddr, n.readyAddr = net.JoinHostPort(ip, strconv.Itoa(portCallers)), net.JoinHostPort(ip, strconv.Itoa(portReady))
	settings := platformtest.NodeSettings{Node: n.name, IP: ip, Zone: zone(i), Callers: portCallers, Ready: portReady, Peers: portPeers,
		Metrics: portMetrics, CPUShare: share, LinkMbps: mbps, Store: n.storeProxy.addr(),
		Bounds: fleet.Bounds{Grace: grace, LeaseMax: o.leaseMax(), Retention: 2 * time.Minute, Maintenance: 2 * time.Second}}
	data, err := settings.JSON()
	if err != nil {
		return nil, err
	}
	n.settingsPath = filepath.Join(c.dir, n.name+".json")
	if err := os.WriteFile(n.settingsPath, data, 0o600); err != nil {
		return nil, err
	}
	n.logFile, err = os.Create(filepath.Join(c.dir, n.name+".log"))
	return n, err
}

// start starts the node's process unless it is running.
func (c *cluster) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lost.Load() {
		return nil
	}
	if n.done != nil {
		select {
		case <-n.done:
		default:
			return nil
		}
	}
	cmd := exec.Command(c.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.settingsPath)
	if c.cells > 0 {
		cmd.Env = append(cmd.Env, "VPIER_FLEET_CELLS="+strconv.Itoa(c.cells))
	}
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done, n.stops = cmd, done, 0
	go func() {
		_ = cmd.Wait() // exitCode reads the outcome from ProcessState
		close(done)
	}()
	return nil
}

// signal sends a signal to the node's process, if it is running, and returns the channel
// that is closed when it has exited.
func (n *node) signal(sig syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.signalLocked(sig)
	return n.done
}

// signalLocked signals the process, if it is running. The lock is held.
func (n *node) signalLocked(sig syscall.Signal) {
	select {
	case <-n.done:
	default:
		_ = n.cmd.Process.Signal(sig) // fails if it has just exited
	}
}

// processState tells how the kernel sees the node's process: a process that has exited but was not
// waited for yet (Z) is late in this process's eyes only.
func (n *node) processState() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return processState(n.cmd.Process.Pid)
}

// processState tells the state of a process as its line in /proc names it.
func processState(pid int) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if errors.Is(err, fs.ErrNotExist) {
		return "its process has ended"
	}
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(data)) {
		if state, ok := strings.CutPrefix(line, "State:"); ok {
			return "its process is " + strings.TrimSpace(state)
		}
	}
	return "the state of its process is not known"
}

// dumpTime is the time for a process to write its stacks to its log.
const dumpTime = time.Second

// dumpGoroutines ends the process by a signal that makes it write the stacks of its goroutines.
func (n *node) dumpGoroutines() {
	select {
	case <-n.signal(syscall.SIGQUIT):
	case <-time.After(dumpTime):
	}
}

// pause stops the process for a reason, or continues it once there is no other reason.
func (n *node) pause(reason stopReason, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on {
		n.stops |= reason
		n.signalLocked(syscall.SIGSTOP)
		return
	}
	n.stops &^= reason
	if n.stops == 0 {
		n.signalLocked(syscall.SIGCONT)
	}
}

// freeze stops the process until it is unfrozen.
func (n *node) freeze(on bool) { n.pause(stoppedByFreeze, on) }

// exited returns a channel that is closed when the current process has exited.
func (n *node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// exitCode returns the exit code of a process that has exited; -1 if a signal ended it.
func (n *node) exitCode() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.ProcessState.ExitCode()
}

// lastErrorLine returns the last line of the node's log that is not at level info: a warning,
// an error or the output of a panic.
func (n *node) lastErrorLine() string {
	data, err := os.ReadFile(n.logFile.Name())
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

// close ends all processes and servers of the run, and writes what the workers were told.
func (c *cluster) close() error {
	if c.stopShares != nil {
		defer c.stopShares()
	}
	for _, n := range c.nodes {
		if n.done != nil {
			<-n.signal(syscall.SIGKILL)
		}
		n.storeProxy.close()
		_ = n.logFile.Close()
	}
	for _, w := range c.workers {
		if w.proxy != nil {
			w.proxy.close()
		}
		if w.runner != nil {
			w.runner.CloseClientConnections()
			_ = w.runner.Config.Close()
		}
	}
	if c.storeServer == nil { // no network was free
		return nil
	}
	_ = c.network.reservation.Close()
	for _, l := range c.links {
		l.close()
	}
	c.storeServer.CloseClientConnections()
	_ = c.storeServer.Config.Close()
	c.simWorkers.WithLock(func() { c.simWorkers.Trace = nil })
	return os.WriteFile(filepath.Join(c.dir, "workers.log"), c.trace.Bytes(), 0o600)
}
