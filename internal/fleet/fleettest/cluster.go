package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/usage"
)

// Names in the rows that workers and operators write.
const (
	TableWorkers  = "workers"
	TableOperator = "operator"
	keyConfig     = "config"
	prefixOut     = "out/"
	// Service is the service of all workers.
	Service = model.ServiceName("svc")
	// Queue is the queue that the workers serve.
	Queue = "jobs"
)

// Decoder decodes rows that hold the types of package fleet as JSON.
type Decoder struct{}

// Tables implements fleet.Decoder.
func (Decoder) Tables() (workers, operator string) { return TableWorkers, TableOperator }

// Worker implements fleet.Decoder.
func (Decoder) Worker(row fleet.Row) (fleet.WorkerInfo, error) {
	var w fleet.WorkerInfo
	err := json.Unmarshal(row.Value, &w)
	return w, err
}

// Configuration implements fleet.Decoder.
func (Decoder) Configuration(row fleet.Row) (fleet.Configuration, error) {
	var c fleet.Configuration
	err := json.Unmarshal(row.Value, &c)
	return c, err
}

// OperatorRow implements fleet.Decoder.
func (Decoder) OperatorRow(row fleet.Row) fleet.OperatorRow {
	if row.Key == keyConfig {
		return fleet.OperatorRow{Configuration: true}
	}
	if len(row.Key) > len(prefixOut) && row.Key[:len(prefixOut)] == prefixOut {
		return fleet.OperatorRow{DataCentre: model.DataCentre(row.Key[len(prefixOut):])}
	}
	if strings.HasPrefix(row.Key, prefixWave) {
		var w fleet.Wave
		if json.Unmarshal(row.Value, &w) == nil {
			return fleet.OperatorRow{Wave: &w}
		}
	}
	return fleet.OperatorRow{}
}

// CrashRestartTime is how long a worker that a task has crashed is down before its next
// lifetime.
const CrashRestartTime = 3500 * time.Millisecond

// Cluster is a simulated system of nodes, workers, store and network in one process.
type Cluster struct {
	Store   *Store
	Workers *Workers
	Checker *RunChecker
	Network *Network
	Nodes   []*Member
	Fleet   []*Worker
	Queue   fleet.Queue
	// moreQueues are those that AddQueue has added.
	moreQueues []fleet.Queue
	// Inventory is nil unless a test sets it before the nodes start.
	Inventory *Inventory
	// Advisor is nil unless a test sets it before the nodes start; see UseAdvisor.
	Advisor *Advisor
	// Cells is the number of cells of the fleet; 0 lets the nodes choose it.
	Cells    int
	seed     uint64
	lastBorn int64
	// Log receives the logs of the nodes; they are discarded by default.
	Log   io.Writer
	logMu sync.Mutex
}

// lockedWriter serialises the writes of several loggers to one writer.
type lockedWriter struct {
	mu  *sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Member is a node with its views of the store, the workers and the peers.
type Member struct {
	Name    string
	Node    *fleet.Node
	Store   *View
	Workers *WorkersView
	Peers   *Peers
	cancel  context.CancelFunc
	done    chan struct{}
	starts  uint64
	// current is the node while its process runs, nil otherwise.
	current atomic.Pointer[fleet.Node]
	// MilliCPU is the configured CPU limit of the node, in thousandths of a core, and LinkBytes the
	// bandwidth of its link in bytes per second; 0 for no limit.
	MilliCPU, LinkBytes int64
	// Costs are the processor times of what the node does. If they are set, calls wait for the node's
	// processor, and answers of workers, like those of the store, for its link.
	Costs Costs
	// Usage returns the resource usage that the node reads of its process; nil if unknown, or that of the
	// processor and link if Costs are set.
	Usage func() usage.Total
	// eventCost is the simulated time of each event and plan of a leader's loop, in nanoseconds.
	eventCost atomic.Int64
	freezer   freezer
	host      *host // of the process that was started last
}

// SetEventCost makes each event and plan of the leaders of this node take d; 0 for no delay.
func (m *Member) SetEventCost(d time.Duration) { m.eventCost.Store(int64(d)) }

func (m *Member) spendEventCost(h *host) {
	m.freezer.wait()
	h.spendOnLoop()
	if d := time.Duration(m.eventCost.Load()); d > 0 {
		time.Sleep(d)
	}
}

// NewCluster returns a cluster with running workers and with nodes that are not started.
// The function tasks defines the behaviour of each task.
func NewCluster(seed uint64, nodes, workers int, tasks func(fleet.TaskName) Task) *Cluster {
	l := NewRunChecker()
	c := &Cluster{Store: NewStore(seed), Workers: NewWorkers(seed, tasks, l), Checker: l, Network: NewNetwork(), seed: seed, Log: io.Discard}
	c.Configure(1, 2)
	c.Workers.OnCrash = func(w *Worker) {
		time.AfterFunc(CrashRestartTime, func() { c.AddWorker(string(w.Info.Worker)) })
	}
	for i := range workers {
		c.AddWorker(fmt.Sprintf("w%d", i))
	}
	for i := range nodes {
		m := &Member{Name: fmt.Sprintf("n%d", i)}
		c.Nodes = append(c.Nodes, m)
	}
	return c
}

// Configure writes a configuration with the given version and maximum attempts per task.
func (c *Cluster) Configure(version uint64, attempts int) {
	c.Queue = fleet.Queue{Name: Queue, Host: "h", Prefix: "/q/", Service: Service, MaxAttempts: attempts, Stretch: 2, Objective: time.Second}
	c.write(TableOperator, keyConfig, fleet.Configuration{Version: version, Queues: []fleet.Queue{c.Queue},
		Services: map[model.ServiceName]fleet.ServiceSettings{Service: {Guards: true}}})
}

// AddQueue adds a queue with a priority to the configuration that Configure wrote, and returns it.
func (c *Cluster) AddQueue(version uint64, name string, priority int) fleet.Queue {
	q := c.Queue
	q.Name, q.Prefix, q.Priority = name, "/"+name+"/", priority
	c.moreQueues = append(c.moreQueues, q)
	c.write(TableOperator, keyConfig, fleet.Configuration{Version: version, Queues: append([]fleet.Queue{c.Queue}, c.moreQueues...),
		Services: map[model.ServiceName]fleet.ServiceSettings{Service: {Guards: true}}})
	return q
}

// UseUnguardedWorkers makes all workers carry out starts for which they lack capacity.
func (c *Cluster) UseUnguardedWorkers(version uint64) {
	c.Workers.WithLock(func() { c.Workers.Unguarded = true })
	c.write(TableOperator, keyConfig, fleet.Configuration{Version: version, Queues: []fleet.Queue{c.Queue},
		Services: map[model.ServiceName]fleet.ServiceSettings{Service: {}}})
}

// shrinkGrace is how long after it has shrunk a former capacity still counts by contract, and
// beatTime how long a worker may take to write a changed entry.
const (
	shrinkGrace = 4500 * time.Millisecond
	beatTime    = 1500 * time.Millisecond
)

// SetCapacity changes the capacity of a running worker, whose entry follows after at most
// beatTime.
func (c *Cluster) SetCapacity(w *Worker, capacity model.Resources, entryDelay time.Duration) {
	c.Workers.mu.Lock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.Info.Capacity, time.Now().Add(shrinkGrace)})
	w.Info.Capacity = capacity
	c.Workers.mu.Unlock()
	time.AfterFunc(min(entryDelay, beatTime), func() {
		c.Workers.mu.Lock()
		info := w.Info
		c.Workers.mu.Unlock()
		c.write(TableWorkers, string(info.Worker), info)
	})
}

// UseAdvisor makes starts of the queue require tickets. Nodes that already run do not know
// the advisor.
func (c *Cluster) UseAdvisor(version uint64, a *Advisor) {
	c.Advisor = a
	c.Workers.WithLock(func() { c.Workers.Advisor = a })
	c.Queue.Advised = true
	c.write(TableOperator, keyConfig, fleet.Configuration{Version: version, Queues: []fleet.Queue{c.Queue},
		Services: map[model.ServiceName]fleet.ServiceSettings{Service: {Guards: true}}})
}

// ConfigureEmpty writes a configuration without queues.
func (c *Cluster) ConfigureEmpty(version uint64) {
	c.write(TableOperator, keyConfig, fleet.Configuration{Version: version})
}

// SetDataCentreOut requests that a data centre is taken out of service, or withdraws the
// request.
func (c *Cluster) SetDataCentreOut(dc string, out bool) {
	if out {
		c.write(TableOperator, prefixOut+dc, struct{}{})
		return
	}
	c.Store.Delete(TableOperator, "", prefixOut+dc)
}

func (c *Cluster) write(table, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	c.Store.Put(table, "", key, data)
}

// AddWorker starts a worker, or a new lifetime of it, and writes its entry to the store.
func (c *Cluster) AddWorker(id string) *Worker {
	w := c.StartWorker(id)
	c.List(w)
	return w
}

// AddWorkerAt starts a worker at the address of a former one, and writes its entry to the store.
func (c *Cluster) AddWorkerAt(id, addr string) *Worker {
	w := c.startWorkerAt(id, addr)
	c.List(w)
	return w
}

// StartWorker starts a worker, or a new lifetime of it, whose entry is not written yet.
func (c *Cluster) StartWorker(id string) *Worker { return c.startWorkerAt(id, id+":1") }

func (c *Cluster) startWorkerAt(id, addr string) *Worker {
	c.Workers.mu.Lock()
	c.lastBorn++
	born := c.lastBorn
	c.Workers.mu.Unlock()
	info := fleet.WorkerInfo{
		Lifetime: fleet.Lifetime{Worker: model.WorkerID(id), Born: born}, Addr: addr, DataCentre: model.DataCentre("dc" + id[len(id)-1:]),
		Service: Service, Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000}, Labels: []string{"a", "r" + id[len(id)-1:]},
	}
	w := c.Workers.Add(info)
	c.Workers.mu.Lock()
	defer c.Workers.mu.Unlock()
	c.Fleet = append(c.Fleet, w)
	return w
}

// AllWorkers returns all workers that were ever added. Tests in which the inventory adds
// workers concurrently use it instead of Fleet.
func (c *Cluster) AllWorkers() []*Worker {
	c.Workers.mu.Lock()
	defer c.Workers.mu.Unlock()
	return append([]*Worker(nil), c.Fleet...)
}

// RunningWorkers returns the workers whose process runs.
func (c *Cluster) RunningWorkers() []*Worker {
	c.Workers.mu.Lock()
	defer c.Workers.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.Fleet), func(w *Worker) bool { return w.dead })
}

// List writes the worker's entry to the store.
func (c *Cluster) List(w *Worker) { c.write(TableWorkers, string(w.Info.Worker), w.Info) }

// Unlist removes the worker's entry from the store.
func (c *Cluster) Unlist(w *Worker) { c.Store.Delete(TableWorkers, "", string(w.Info.Worker)) }

// Drain marks the worker's entry in the store as draining.
func (c *Cluster) Drain(w *Worker) {
	info := w.Info
	info.Draining = true
	c.write(TableWorkers, string(info.Worker), info)
}

// Start starts a node's process.
func (c *Cluster) Start(m *Member) {
	m.starts++
	logger := logrus.New()
	logger.SetOutput(&lockedWriter{&c.logMu, c.Log})
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	h := newHost(m)
	m.host, m.Store, m.Workers, m.Peers = h, c.Store.viewOver(h.link), c.Workers.View(), c.Network.Peers(m.Name)
	cfg := fleet.Config{
		Node: model.NodeID(m.Name), PeerAddr: m.Name, Process: m.starts<<8 + uint64(slices.Index(c.Nodes, m)), Seed: c.seed + m.starts,
		Limits: fleet.Limits{RowBytes: rowBytes, MilliCPU: m.MilliCPU, LinkBytes: m.LinkBytes},
		Bounds: fleet.Bounds{LeaseMax: c.Workers.LeaseMax, Grace: 6 * time.Second, Retention: 2 * time.Minute, Maintenance: MaintenanceTime},
		Cells:  c.Cells,
		Store:  heldStore{hostStore{m.Store, h}, &m.freezer}, Workers: heldWorkers{hostWorkers{m.Workers, h}, &m.freezer}, Decoder: Decoder{},
		Peers: heldPeers{hostPeers{m.Peers, h}, &m.freezer}, Log: logger.WithField("node", m.Name),
		EventHook: func() { m.spendEventCost(h) }, Usage: m.Usage,
	}
	if h.modelled() && cfg.Usage == nil {
		cfg.Usage = h.usage
	}
	if c.Inventory != nil {
		cfg.Inventory = c.Inventory
	}
	if c.Advisor != nil {
		cfg.Advisor = c.Advisor
	}
	m.Node = fleet.NewNode(cfg)
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	m.done = make(chan struct{})
	node, done := m.Node, m.done
	m.current.Store(node)
	go func() {
		defer close(done)
		_ = node.Run(ctx) // fails only if the peer listener fails; the simulated Peers has none
	}()
}

// StartAll starts all nodes.
func (c *Cluster) StartAll() {
	for _, m := range c.Nodes {
		c.Start(m)
	}
}

// Kill ends a node's process. Its calls in flight get no answer.
func (c *Cluster) Kill(m *Member) {
	if m.cancel != nil {
		m.current.Store(nil)
		m.cancel()
		close(m.host.ended)
		m.Freeze(false)
		<-m.done
		m.cancel = nil
	}
}

// Running returns the node while its process runs, nil otherwise. It is safe to call
// concurrently with Start and Kill.
func (m *Member) Running() *fleet.Node { return m.current.Load() }

// Up reports whether the node's process runs.
func (m *Member) Up() bool { return m.cancel != nil }

// StopAll ends all nodes.
func (c *Cluster) StopAll() {
	for _, m := range c.Nodes {
		c.Kill(m)
	}
}

// Leader returns a node that leads a cell, or nil.
func (c *Cluster) Leader() *Member {
	for _, m := range c.Nodes {
		if m.Up() && m.Node.Leading() {
			return m
		}
	}
	return nil
}
