package standin

import (
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// DataCentreConfig describes the workers of one data centre.
type DataCentreConfig struct {
	// Name identifies the data centre. Required, unique.
	Name model.DataCentre
	// Racks and WorkersPerRack determine the number of workers.
	Racks          int
	WorkersPerRack int
	// Capacity is the capacity of each worker.
	Capacity model.Resources
}

// ServiceConfig describes the runners of one service.
type ServiceConfig struct {
	// Name identifies the service. Required, unique.
	Name model.ServiceName
	// Runners is the number of runners. They are distributed over the workers' hosts.
	Runners int
	// Slots and Connections limit each runner; defaults 8 and 64.
	Slots       int
	Connections int
	// Time is the distribution of service times.
	Time ServiceTime
	// P99 is the latency without interference that the workers sample; the default is 4
	// times the median service time.
	P99 time.Duration
}

// PlatformConfig describes a platform.
type PlatformConfig struct {
	DataCentres []DataCentreConfig
	Services    []ServiceConfig
	// Interference is the slowdown of services by batch classes on the same host. It affects
	// the workers' samples and the runners' service times.
	Interference Interference
	// SessionTTL and UsageLag apply to each worker; zero selects the defaults.
	SessionTTL time.Duration
	UsageLag   time.Duration
	// Seed determines all random choices.
	Seed uint64
}

// Platform runs all servers of a simulated platform on loopback listeners.
type Platform struct {
	cfg     PlatformConfig
	faults  *Faults
	ledger  *Ledger
	table   *Table
	objects *Objects
	list    *HostList

	mu      sync.Mutex
	url     string
	hosts   []external.Host
	workers map[model.WorkerID]*Worker
	runners map[model.RunnerID]*Runner
	servers map[string]*http.Server
	serving sync.WaitGroup
}

// NewPlatform returns a platform that is not started.
func NewPlatform(shape PlatformConfig) *Platform {
	faults := NewFaults(shape.Seed)
	return &Platform{
		cfg: shape, faults: faults, ledger: NewLedger(),
		table: NewTable(faults), objects: NewObjects(faults), list: NewHostList(faults),
		workers: map[model.WorkerID]*Worker{}, runners: map[model.RunnerID]*Runner{},
		servers: map[string]*http.Server{},
	}
}

// Start opens the listeners on loopback. After an error the platform is closed.
func (p *Platform) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.startStore(); err != nil {
		return p.closeAfter(err)
	}
	if err := p.startWorkers(); err != nil {
		return p.closeAfter(err)
	}
	if err := p.startRunners(); err != nil {
		return p.closeAfter(err)
	}
	for _, h := range p.hosts {
		p.list.Set(h)
	}
	return nil
}

func (p *Platform) closeAfter(err error) error { return errors.Join(err, p.closeLocked()) }

// Close closes all listeners and connections and stops all timers.
func (p *Platform) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closeLocked()
}

func (p *Platform) closeLocked() error {
	for _, w := range p.workers {
		w.Close()
	}
	for _, r := range p.runners {
		r.Close()
	}
	var errs []error
	for _, s := range p.servers {
		errs = append(errs, s.Close())
	}
	clear(p.servers)
	p.serving.Wait()
	return errors.Join(errs...)
}

// URL returns the base URL of table service, object store and host list.
func (p *Platform) URL() string { return p.url }

// Hosts returns all workers and runners in the order of their start.
func (p *Platform) Hosts() []external.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hosts)
}

// Ledger returns the record of executions and violations.
func (p *Platform) Ledger() *Ledger { return p.ledger }

// Faults returns the fault controller.
func (p *Platform) Faults() *Faults { return p.faults }

// Table returns the table service.
func (p *Platform) Table() *Table { return p.table }

// Objects returns the object store.
func (p *Platform) Objects() *Objects { return p.objects }

// HostList returns the host list.
func (p *Platform) HostList() *HostList { return p.list }

// Worker returns a worker, or nil.
func (p *Platform) Worker(id model.WorkerID) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.workers[id]
}

// Runner returns a runner, or nil.
func (p *Platform) Runner(id model.RunnerID) *Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runners[id]
}

// Runners returns all runners by id.
func (p *Platform) Runners() map[model.RunnerID]*Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.runners)
}

// KillWorker ends a worker's attempts and closes its listener, to simulate a host failure.
// The host list keeps the entry until HostList.Remove.
func (p *Platform) KillWorker(id model.WorkerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil {
		return
	}
	w.Kill()
	w.Close()
	if s := p.servers[string(id)]; s != nil {
		_ = s.Close()
		delete(p.servers, string(id))
	}
}

// RestartWorker replaces a killed worker by a new process with the same id and a new
// address, and updates the host list.
func (p *Platform) RestartWorker(id model.WorkerID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.workers[id]
	if old == nil || p.servers[string(id)] != nil {
		return model.Errorf(model.KindInvalid, "kill the worker first", "worker %q", id)
	}
	w := NewWorker(old.cfg)
	addr, err := p.serve(string(id), w, nil)
	if err != nil {
		w.Close()
		return err
	}
	p.workers[id] = w
	for i := range p.hosts {
		if p.hosts[i].ID == string(id) {
			p.hosts[i].Addr = addr
			p.list.Set(p.hosts[i])
		}
	}
	return nil
}

func (p *Platform) startStore() error {
	mux := http.NewServeMux()
	mux.Handle("/v1/table/", p.table)
	mux.Handle(httpapi.PathObjects, p.objects)
	mux.Handle(httpapi.PathObjects+"/", p.objects)
	mux.Handle(httpapi.PathObjectDelete, p.objects)
	mux.Handle(httpapi.PathHosts, p.list)
	addr, err := p.serve("platform", mux, nil)
	p.url = "http://" + addr
	return err
}

func (p *Platform) startWorkers() error {
	services := map[model.ServiceName]time.Duration{}
	for _, s := range p.cfg.Services {
		services[s.Name] = s.P99
		if s.P99 == 0 {
			services[s.Name] = 4 * s.Time.Median
		}
	}
	for _, dc := range p.cfg.DataCentres {
		for rack := range dc.Racks {
			for i := range dc.WorkersPerRack {
				if err := p.startWorker(dc, rack, i, services); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (p *Platform) startWorker(dc DataCentreConfig, rack, i int, services map[model.ServiceName]time.Duration) error {
	rackName := model.Rack(fmt.Sprintf("r%02d", rack+1))
	id := model.WorkerID(fmt.Sprintf("%s-%s-w%02d", dc.Name, rackName, i+1))
	w := NewWorker(WorkerConfig{
		ID: id, DataCentre: dc.Name, Rack: rackName, Capacity: dc.Capacity,
		SessionTTL: p.cfg.SessionTTL, UsageLag: p.cfg.UsageLag,
		Services: services, Interference: p.cfg.Interference,
		Objects: p.objects, Ledger: p.ledger, Faults: p.faults, Seed: p.cfg.Seed + uint64(len(p.workers)),
	})
	p.workers[id] = w
	addr, err := p.serve(string(id), w, nil)
	p.hosts = append(p.hosts, external.Host{
		ID: string(id), Role: external.RoleWorker, State: external.HostLive, Addr: addr,
		DataCentre: dc.Name, Rack: rackName, Capacity: dc.Capacity,
	})
	return err
}

func (p *Platform) startRunners() error {
	workers := slices.Clone(p.hosts)
	next := 0
	for _, s := range p.cfg.Services {
		for i := range s.Runners {
			var on external.Host
			if len(workers) > 0 {
				on = workers[next%len(workers)]
			}
			next++
			if err := p.startRunner(s, i, on); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Platform) startRunner(s ServiceConfig, i int, on external.Host) error {
	id := model.RunnerID(fmt.Sprintf("%s-%02d", s.Name, i+1))
	cfg := RunnerConfig{
		ID: id, Service: s.Name, Slots: s.Slots, Connections: s.Connections, Time: s.Time,
		Ledger: p.ledger, Faults: p.faults, Seed: p.cfg.Seed + uint64(len(p.runners)),
	}
	if id := model.WorkerID(on.ID); p.workers[id] != nil {
		cfg.Slowdown = func() float64 { return p.Worker(id).Slowdown(s.Name) }
	}
	r := NewRunner(cfg)
	p.runners[id] = r
	addr, err := p.serve(string(id), r, r.ConnState)
	p.hosts = append(p.hosts, external.Host{
		ID: string(id), Role: external.RoleRunner, State: external.HostLive, Addr: addr,
		DataCentre: on.DataCentre, Rack: on.Rack, Service: s.Name,
	})
	return err
}

// serverIdle is above the idle timeout of the clients, so that a client rarely reuses a
// connection that is being closed.
const serverIdle = 120 * time.Second

func (p *Platform) serve(name string, h http.Handler, state func(net.Conn, http.ConnState)) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", model.Wrap(model.KindUnavailable, err, "free loopback ports or raise the limit of open files", "listen for %s", name)
	}
	srv := &http.Server{Handler: h, ConnState: state, IdleTimeout: serverIdle, ErrorLog: log.New(io.Discard, "", 0)}
	p.servers[name] = srv
	p.serving.Go(func() { _ = srv.Serve(ln) }) // ends with ErrServerClosed
	return ln.Addr().String(), nil
}
