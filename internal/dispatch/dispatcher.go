package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Options holds the optional dependencies of a Dispatcher.
type Options struct {
	// Now returns the current monotonic time. The default is time.Now.
	Now func() time.Time
	// Metrics registers the metrics. If nil, metrics are counted but not exported.
	Metrics *telemetry.Metrics
}

// metrics holds the dispatch metrics of one node, shared by its cells.
type metrics struct {
	commands *prometheus.CounterVec
	seconds  prometheus.Observer
	starts   prometheus.Counter
	events   *prometheus.CounterVec
}

func newMetrics(m *telemetry.Metrics) metrics {
	const subsystem = "dispatch"
	return metrics{
		commands: m.Counter(subsystem, "commands_total", "Commands to workers by result.", "result"),
		seconds: m.Histogram(subsystem, "command_seconds", "Time of one command to a worker.",
			telemetry.LatencyBuckets).WithLabelValues(),
		starts: m.Counter(subsystem, "starts_total", "Starts sent, including repeated ones.").WithLabelValues(),
		events: m.Counter(subsystem, "events_total", "Events reported to the cell's owner.", "kind"),
	}
}

// Dispatcher runs a Core: it sends the commands and passes the reports to the Core.
// All methods are safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	workers  external.WorkerAPI
	gates    Gates
	now      func() time.Time
	metrics  metrics
	slots    chan struct{}
	wake     chan struct{}
	notify   chan struct{}
	inFlight sync.WaitGroup

	mu   sync.Mutex
	core *Core
}

// New returns the dispatcher of a cell under a new epoch. known holds the live
// attempts from the cell's journal; any other attempt that a worker reports is
// stopped.
func New(cfg Config, workers external.WorkerAPI, gates Gates, known []KnownAttempt, opts Options) *Dispatcher {
	cfg.setDefaults()
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Dispatcher{
		cfg: cfg, workers: workers, gates: gates, now: opts.Now, metrics: newMetrics(opts.Metrics),
		slots: make(chan struct{}, cfg.Concurrency), wake: make(chan struct{}, 1), notify: make(chan struct{}, 1),
		core: NewCore(cfg, opts.Now(), known),
	}
}

// do runs f on the core and wakes Run, because f may have made a command due.
func (d *Dispatcher) do(f func(c *Core, now time.Time)) {
	d.mu.Lock()
	f(d.core, d.now())
	events := len(d.core.events) > 0
	d.mu.Unlock()
	signal(d.wake)
	if events {
		signal(d.notify)
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SetWorkers replaces the list of the cell's workers. Hosts with other roles are
// ignored.
func (d *Dispatcher) SetWorkers(hosts []external.Host) {
	var workers []external.Host
	for _, h := range hosts {
		if h.Role == external.RoleWorker {
			workers = append(workers, h)
		}
	}
	d.do(func(c *Core, now time.Time) { c.SetWorkers(now, workers) })
}

// SetEpochAcknowledged records that since the time at the acquire record is durable
// and a majority of the view's members has acknowledged the epoch. Before this call,
// no attempt is declared lost.
func (d *Dispatcher) SetEpochAcknowledged(at time.Time) {
	d.do(func(c *Core, _ time.Time) { c.SetEpochAcknowledged(at) })
}

// Start requests the start of an attempt whose placement is durable. It returns
// KindNotFound if the worker is not listed.
func (d *Dispatcher) Start(worker model.WorkerID, s external.Start) error {
	var err error
	d.do(func(c *Core, now time.Time) { err = c.Start(now, worker, s) })
	return err
}

// Evict requests a checkpoint followed by the end of an attempt.
func (d *Dispatcher) Evict(ref external.AttemptRef) {
	d.do(func(c *Core, now time.Time) { c.Evict(now, ref) })
}

// Stop requests the end of an attempt without a checkpoint.
func (d *Dispatcher) Stop(ref external.AttemptRef) {
	d.do(func(c *Core, now time.Time) { c.Stop(now, ref) })
}

// Checkpoint requests a checkpoint of a live attempt.
func (d *Dispatcher) Checkpoint(ref external.AttemptRef) {
	d.do(func(c *Core, now time.Time) { c.Checkpoint(now, ref) })
}

// Throttle sets the percentage of its CPU allocation that an attempt may use.
func (d *Dispatcher) Throttle(ref external.AttemptRef, percent int) {
	d.do(func(c *Core, now time.Time) { c.Throttle(now, ref, percent) })
}

// Ack records that the ends or losses of attempts are durable.
func (d *Dispatcher) Ack(refs ...external.AttemptRef) {
	d.do(func(c *Core, _ time.Time) {
		for _, ref := range refs {
			c.Ack(ref)
		}
	})
}

// Adopted reports whether the worker has reported under this epoch.
func (d *Dispatcher) Adopted(id model.WorkerID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Adopted(id)
}

// Stats returns the counters and the current state.
func (d *Dispatcher) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Stats()
}

// Events returns the events since the previous call, in order.
func (d *Dispatcher) Events() []Event {
	d.mu.Lock()
	events := d.core.Events()
	d.mu.Unlock()
	for _, e := range events {
		d.metrics.events.WithLabelValues(string(e.Kind)).Inc()
	}
	return events
}

// Notify receives a value after new events have become available.
func (d *Dispatcher) Notify() <-chan struct{} { return d.notify }

// Run sends commands as they become due until ctx is done, and then waits for the
// commands in flight.
func (d *Dispatcher) Run(ctx context.Context) error {
	defer d.inFlight.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		d.Tick(ctx, d.now())
		timer.Reset(d.untilDue())
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-d.wake:
		}
	}
}

// untilDue returns the time until the next command. While all slots are in use, it
// returns IdlePoll, because a completed command wakes Run.
func (d *Dispatcher) untilDue() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	due, ok := d.core.NextDue()
	if !ok || len(d.slots) == cap(d.slots) {
		return d.cfg.IdlePoll
	}
	wait := max(0, due.Sub(d.now()))
	if d.core.GateClosed() {
		return min(wait, d.cfg.MinInterval)
	}
	return wait
}

// Tick sends the commands that are due without waiting for their reports.
func (d *Dispatcher) Tick(ctx context.Context, now time.Time) {
	mayStart := d.gates.MayStart(now) == nil
	d.mu.Lock()
	planned := d.core.Plan(now, cap(d.slots)-len(d.slots), mayStart)
	for range planned {
		d.slots <- struct{}{} // never blocks: Plan returns at most the free slots, and only Tick adds
	}
	events := len(d.core.events) > 0
	d.mu.Unlock()
	for _, out := range planned {
		d.inFlight.Go(func() { d.send(ctx, out) })
	}
	if events {
		signal(d.notify)
	}
}

// send checks the gates, sends one command and applies its result.
func (d *Dispatcher) send(ctx context.Context, out OutgoingCommand) {
	report, err := external.WorkerReport{}, WithheldError()
	now := d.now()
	maySend, mayStart := d.gates.MaySend(now) == nil, d.gates.MayStart(now) == nil
	d.mu.Lock()
	authorized := d.core.Authorize(now, &out, mayStart, maySend)
	d.mu.Unlock()
	if authorized {
		report, err = d.exchange(ctx, out)
	}
	<-d.slots
	d.do(func(c *Core, now time.Time) { c.HandleResult(now, out, report, err) })
}

func (d *Dispatcher) exchange(ctx context.Context, out OutgoingCommand) (external.WorkerReport, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.CommandTimeout)
	defer cancel()
	begin := time.Now()
	report, err := d.workers.Command(ctx, out.Host, out.Command)
	d.metrics.seconds.Observe(time.Since(begin).Seconds())
	d.metrics.starts.Add(float64(len(out.Command.Starts)))
	result := "ok"
	if err != nil {
		result = string(model.KindOf(err))
	}
	d.metrics.commands.WithLabelValues(result).Inc()
	return report, err
}
