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

// Settings of the listeners and clients.
const (
	// headerTimeout and idleTimeout bound a caller's connection.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// storeConnections is enough for the watches, a transaction and a burst of
	// submissions at once.
	storeConnections = 32
	// workerConnections are opened to one worker: a waiting look, and orders.
	workerConnections = 6
	// drainWait lets the balancer notice that the node is not ready: it asks every
	// second and needs two misses.
	drainWait = 2300 * time.Millisecond
	// graceMargin is kept of the time between SIGTERM and SIGKILL.
	graceMargin = 1200 * time.Millisecond
	// memoryShare of the host's memory is the soft limit of the Go heap.
	memoryShare = 0.75
	// gcPercent lets the heap grow before it is collected: a node keeps some
	// megabytes, and collecting them often costs more than memory does.
	gcPercent = 800
)

// runOnPlatform runs a node with the platform's settings file.
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
	debug.SetGCPercent(gcPercent)
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB<<20)))
	}
	p, err := newProcess(settings, path, log, metrics)
	if err != nil {
		log.WithError(err).Error("node cannot start")
		return fail(err, exitInvalid)
	}
	if err := p.run(); err != nil {
		log.WithError(err).Error("node ends")
		return exitFailed
	}
	return 0
}

// logLevel returns the level named by the environment; default info.
func logLevel() string {
	if l := os.Getenv("VPIER_LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

// cellsVariable names the environment variable that fixes the number of cells of a new
// deployment; it is divided by its size when the variable is not set.
const cellsVariable = "VPIER_FLEET_CELLS"

// fixedCells returns the number of cells that the environment asks for; 0 for none.
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

// process is a node with its listeners.
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
		Link: link, Usage: usage.NewMeter(link),
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
	p.metrics = &http.Server{Handler: operatorPages(node, m), ReadHeaderTimeout: headerTimeout}
	for i, addr := range []string{s.Addresses.Callers, s.Addresses.Ready, s.Addresses.Metrics} {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w (remedy: free the address or change the settings)", addr, err)
		}
		p.listeners[i] = link.Listener(ln)
	}
	return p, nil
}

// inspectTimeout bounds the question to the leader's loop.
const inspectTimeout = time.Second

// operatorPages serves metrics, and the node's view as JSON at /fleet, with that of
// a job where ?job= names one.
func operatorPages(node *fleet.Node, m *telemetry.Metrics) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", m.Handler())
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), inspectTimeout)
		defer cancel()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(node.Inspect(ctx, r.URL.Query().Get("job"))) // fails when the caller has gone
	})
	return mux
}

// run serves until SIGTERM, then drains.
func (p *process) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return p.node.Run(ctx) }, func(error) { cancel() })
	for i, s := range []*http.Server{p.callers, p.ready, p.metrics} {
		g.Add(func() error { return serve(s, p.listeners[i]) }, func(error) { _ = s.Close() })
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	g.Add(func() error { return p.handleSignals(ctx, signals) }, func(error) { cancel() })
	return g.Run()
}

func serve(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// handleSignals reloads on SIGHUP and returns after a drain on SIGTERM.
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

// reload reads the settings again. Addresses and identity hold until a restart;
// settings that cannot be read leave those in force.
func (p *process) reload() {
	s, err := platform.LoadSettings(p.path)
	if err != nil {
		p.log.WithError(err).WithField("event", "reload").Error("settings are not reloaded")
		return
	}
	if s.Addresses != p.settings.Addresses || s.Bounds != p.settings.Bounds {
		p.log.WithField("event", "reload").Warn("changed settings take effect at the next start")
		return
	}
	p.log.WithField("event", "reload").Info("settings are unchanged")
}

// drain finishes requests in flight and hands the lead over, within the grace.
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
		p.log.WithError(err).WithField("event", "drain").Warn("requests were still in flight")
	}
}
