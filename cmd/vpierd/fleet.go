package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/linkmeter"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
	"github.com/vanillapier/vanillapier/internal/usage"
	"github.com/vanillapier/vanillapier/platform"
)

// Settings of listeners, clients and the Go runtime.
const (
	// headerTimeout bounds the time to read a request's header, idleTimeout the time that a
	// caller's connection may be idle.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// storeConnections is enough for the watches, a transaction and a burst of
	// submissions at the same time.
	storeConnections = 32
	// workerConnections is the number of connections to one worker: a long poll and
	// commands.
	workerConnections = 6
	// drainWait is the time for the load balancer to detect that the node is not ready: it
	// checks every second and needs two failed checks.
	drainWait = 2300 * time.Millisecond
	// graceMargin is the part of the time between SIGTERM and SIGKILL that a drain leaves
	// unused.
	graceMargin = 1200 * time.Millisecond
	// memoryShare is the share of the host's memory that is the soft memory limit of the
	// Go runtime.
	memoryShare = 0.75
	// gcPercent is high so that the heap grows before a collection: a node's live heap is a
	// few megabytes. On small hosts, which have less than fewCollectionsMilliCPU thousandths of a core,
	// frequent collections would cost the processor time that a leader needs.
	gcPercent              = 300
	gcPercentSmallHost     = 800
	fewCollectionsMilliCPU = 500
)

// collectionPercent returns by how much of its live part the heap grows before a collection, in percent, on a
// host with a processor share in thousandths of a core; 0 if that is unknown.
func collectionPercent(milliCPU int64) int {
	if milliCPU > 0 && milliCPU < fewCollectionsMilliCPU {
		return gcPercentSmallHost
	}
	return gcPercent
}

// runOnPlatform runs a node with the platform's settings file and returns the exit code.
func runOnPlatform(path string) int {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return fail(err, exitInvalid)
	}
	metrics := telemetry.NewMetrics(version())
	out := telemetry.NewAsyncWriter(os.Stdout, metrics)
	defer out.Close()
	log, err := telemetry.NewLogger(out, logLevel(), settings.Node)
	if err != nil {
		return fail(err, exitInvalid)
	}
	debug.SetGCPercent(collectionPercent(settings.Limits.MilliCPU))
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB<<20)))
	}
	p, err := newProcess(settings, path, log, metrics)
	if err != nil {
		log.WithError(err).Error("node cannot start")
		return fail(err, exitInvalid)
	}
	if err := p.run(); err != nil {
		log.WithError(err).Error("node stopped with an error")
		return exitFailed
	}
	return 0
}

// logLevel returns the log level from the environment; the default is info.
func logLevel() string {
	if l := os.Getenv("VPIER_LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

// cellsVariable is the environment variable that sets the number of cells of a new
// deployment. When it is not set, the number depends on the size of the deployment.
const cellsVariable = "VPIER_FLEET_CELLS"

// fixedCells returns the number of cells set in the environment, or 0.
func fixedCells() (int, error) {
	v := os.Getenv(cellsVariable)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 || n > fleet.MaxCells {
		return 0, model.Errorf(model.KindInvalid, fmt.Sprintf("set %s to a number from 1 to %d, or not at all", cellsVariable, fleet.MaxCells), "%s=%q", cellsVariable, v)
	}
	return n, nil
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// process is a node and its HTTP servers.
type process struct {
	settings  platform.Settings
	path      string
	log       *logrus.Entry
	node      *fleet.Node
	callers   *http.Server
	ready     *http.Server
	metrics   *http.Server
	listeners [3]net.Listener
}

func newProcess(s platform.Settings, path string, log *logrus.Entry, m *telemetry.Metrics) (*process, error) {
	cells, err := fixedCells()
	if err != nil {
		return nil, err
	}
	link := &linkmeter.Meter{}
	cfg := fleet.Config{
		Cells: cells,
		Node:  s.Node, DataCentre: s.Zone, PeerAddr: s.Addresses.Peers, Limits: s.Limits, Bounds: s.Bounds,
		Store:   platform.NewStore(s.Addresses.Store, platform.NewTransport(storeConnections, link)),
		Workers: platform.NewWorkers(platform.NewTransport(workerConnections, link)),
		Decoder: platform.Rows{}, Log: log, Metrics: m,
		Link: link, Usage: usage.NewMeter(link), Suspended: usage.Suspended,
	}
	if s.Addresses.Advisor != "" {
		cfg.Advisor = platform.NewAdvisor(s.Addresses.Advisor, platform.NewTransport(4, link))
	}
	if s.Addresses.Inventory != "" {
		cfg.Inventory = platform.NewInventory(s.Addresses.Inventory, platform.NewTransport(2, link))
	}
	peers, err := fleet.NewPeers(cfg)
	if err != nil {
		return nil, err
	}
	cfg.Peers = peers
	node := fleet.NewNode(cfg)
	p := &process{settings: s, path: path, log: log, node: node}
	p.callers = &http.Server{Handler: platform.Callers{Intake: node}, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	p.ready = &http.Server{Handler: platform.Ready(node.Ready), ReadHeaderTimeout: headerTimeout}
	p.metrics = &http.Server{Handler: operatorHandler(node, m), ReadHeaderTimeout: headerTimeout}
	for i, addr := range []string{s.Addresses.Callers, s.Addresses.Ready, s.Addresses.Metrics} {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w (remedy: free the address or change the settings)", addr, err)
		}
		p.listeners[i] = link.Listener(ln)
	}
	return p, nil
}

// inspectTimeout bounds the request to the leader's event loop.
const inspectTimeout = time.Second

// operatorHandler serves the metrics, and at /fleet the node's view as JSON. The query
// parameter job adds the view of that job.
func operatorHandler(node *fleet.Node, m *telemetry.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", m.Handler())
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), inspectTimeout)
		defer cancel()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(node.Inspect(ctx, r.URL.Query().Get("job"))) // fails when the client has disconnected
	})
	return mux
}

// run serves until SIGTERM, then drains the node.
func (p *process) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return p.node.Run(ctx) }, func(error) { cancel() })
	for i, s := range []*http.Server{p.callers, p.ready, p.metrics} {
		g.Add(func() error { return serve(ctx, s, p.listeners[i]) }, func(error) { _ = s.Close() })
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	g.Add(func() error { return p.handleSignals(ctx, signals) }, func(error) { cancel() })
	return g.Run()
}

// serve serves until ctx ends: Serve returns when a shutdown begins, but requests in flight go on.
func serve(ctx context.Context, s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// handleSignals reloads the settings on SIGHUP and returns after a drain on SIGTERM.
func (p *process) handleSignals(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reload()
				continue
			}
			p.drain(ctx)
			return nil
		}
	}
}

// reload reads the settings again and logs what differs. Changes take effect at the next
// start. Settings that cannot be read leave the current ones unchanged.
func (p *process) reload() {
	s, err := platform.LoadSettings(p.path)
	if err != nil {
		p.log.WithError(err).WithField("event", "reload").Error("cannot reload the settings; the current settings stay in use")
		return
	}
	if changed := p.settings.Changes(s); len(changed) > 0 {
		p.log.WithFields(logrus.Fields{"event": "reload", "changed": changed}).Warn("changed settings take effect at the next start")
		return
	}
	p.log.WithField("event", "reload").Info("settings are unchanged")
}

// drain finishes requests in flight and transfers leadership, within the grace period.
func (p *process) drain(ctx context.Context) {
	grace := p.settings.Bounds.Grace - graceMargin
	ctx, cancel := context.WithTimeout(ctx, max(grace, graceMargin))
	defer cancel()
	p.node.Drain(ctx)
	p.callers.SetKeepAlivesEnabled(false)
	select {
	case <-ctx.Done():
	case <-time.After(drainWait):
	}
	if err := p.callers.Shutdown(ctx); err != nil {
		p.log.WithError(err).WithField("event", "drain").Warn("requests were still in flight at the end of the drain")
	}
}
