package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/dispatch"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// Runtime runs one owned cell.
type Runtime struct {
	id      model.CellID
	epoch   model.Epoch
	cfg     *Config
	journal Journal
	state   *cell.State
	sched   *scheduler.Scheduler
	disp    Dispatcher
	log     *logrus.Entry

	requests chan request
	// statusRequests are served between iterations and while an append is in flight.
	statusRequests chan statusRequest
	// done is closed when the goroutine of the cell has returned.
	done chan struct{}

	// The fields below are only used by the goroutine of the cell, except report.
	// batch, effects and urgent are those of the current iteration.
	batch   []cell.Record
	effects []func()
	urgent  bool
	// durable provides the state without the batch.
	durable durableView
	// transfersInFlight holds the tasks with a transfer in flight.
	transfersInFlight map[model.TaskID]bool
	// sinceSnapshot counts the records since the last snapshot was started.
	sinceSnapshot     int
	snapshotResult    chan error
	epochAcknowledged bool
	// unsentStarts holds placements whose start the dispatcher did not accept.
	unsentStarts []unsentStart
	// hostSource identifies the source of the current list of workers.
	hostSource hostSource
	report     atomic.Pointer[Report]
}

// newRuntime recovers the cell's state and returns its runtime, not yet running.
func newRuntime(cfg *Config, owned *ownership.Owned) (*Runtime, error) {
	state, err := recoverState(owned)
	if err != nil {
		return nil, err
	}
	r := newRuntimeWithState(cfg, owned.Epoch, owned, state)
	if err := r.sched.RestoreEstimates(state.Aux()); err != nil {
		r.log.WithError(err).Warn("interference estimates could not be restored; starting without them")
	}
	dc := cfg.Dispatch
	dc.Cell, dc.Epoch = owned.Cell, owned.Epoch
	gates := dispatch.Gates{MayStart: r.mayStart, MaySend: r.maySend}
	opts := dispatch.Options{Now: cfg.Now, Metrics: cfg.Metrics}
	r.disp = dispatch.New(dc, cfg.Workers, gates, knownAttempts(state), opts)
	return r, nil
}

// newRuntimeWithState returns a runtime without a dispatcher.
func newRuntimeWithState(cfg *Config, epoch model.Epoch, journal Journal, state *cell.State) *Runtime {
	return &Runtime{
		id: state.ID(), epoch: epoch, cfg: cfg, journal: journal, state: state,
		sched:    scheduler.New(cfg.Scheduler, state),
		log:      cfg.Log.WithFields(logrus.Fields{"cell": string(state.ID()), "epoch": uint64(epoch)}),
		requests: make(chan request, requestBuffer), statusRequests: make(chan statusRequest),
		done: make(chan struct{}), durable: newDurableView(),
		transfersInFlight: map[model.TaskID]bool{},
	}
}

// mayStart is the gate for starts. It checks the ownership lease, the freshness of the
// control view and the state of the data centre.
func (r *Runtime) mayStart(now time.Time) error {
	switch {
	case !r.journal.LeaseValid(now):
		return model.Errorf(model.KindStale, "wait for the next successful append", "the ownership lease of cell %s has expired", r.id)
	case !r.cfg.Fresh(now):
		return model.Errorf(model.KindStale, "wait for a confirmed view", "the control view is too old for starts")
	case r.cfg.View().IsOut(DataCentreOf(r.id)):
		return model.Errorf(model.KindUnavailable, "wait for the data centre's return", "data centre %s is out", DataCentreOf(r.id))
	}
	return nil
}

// maySend is the gate for all commands.
func (r *Runtime) maySend(now time.Time) error {
	if r.journal.LeaseValid(now) || r.cfg.OutageRenewal(r.id, r.epoch) {
		return nil
	}
	return model.Errorf(model.KindStale, "wait for the next successful append", "the ownership lease of cell %s has expired", r.id)
}

// run is the goroutine of the cell. It returns when ctx is cancelled, which happens when
// the ownership ends.
func (r *Runtime) run(ctx context.Context) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-r.statusRequests:
			r.respondStatus(req)
			continue
		case req := <-r.requests:
			r.handleRequest(req, r.cfg.Now())
		case <-r.disp.Notify():
		case <-timer.C:
		}
		next, err := r.iterate(ctx)
		if err != nil {
			r.log.WithError(err).Warn("cell stopped")
			return
		}
		timer.Reset(next)
	}
}

// iterate processes pending events and requests, plans, makes all records durable in one
// journal row and performs their effects. It returns the time until the next plan.
func (r *Runtime) iterate(ctx context.Context) (time.Duration, error) {
	now := r.cfg.Now()
	r.refreshHosts()
	r.processEvents(now)
	r.drainRequests(now)
	plan := r.plan(now)
	if err := r.commit(ctx); err != nil {
		r.sched.Abort()
		return 0, err
	}
	r.sched.Committed(plan.Records, r.cfg.Now())
	r.performEffects(plan)
	r.sendTransfers(ctx)
	r.maybeSnapshot(ctx)
	r.publishReport()
	if plan.Next <= 0 || plan.Next > r.cfg.Tick {
		return r.cfg.Tick, nil
	}
	return plan.Next, nil
}

// Report is the published summary of an owned cell.
type Report struct {
	Summary scheduler.CellSummary
	// Queued and Live count the tasks in these states; Known counts all tasks in the
	// state.
	Queued, Live, Known int
}

func (r *Runtime) publishReport() {
	report := Report{Summary: r.sched.Summary()}
	report.Queued, report.Live, report.Known = r.state.Counts()
	r.report.Store(&report)
}

func (r *Runtime) drainRequests(now time.Time) {
	for range requestBuffer {
		select {
		case req := <-r.requests:
			r.handleRequest(req, now)
		default:
			return
		}
	}
}

// apply applies a record to the state and adds it to the batch. A record that the state
// rejects is not journaled.
func (r *Runtime) apply(rec cell.Record) error {
	r.durable.capture(r.state, rec)
	if err := r.state.Apply(rec); err != nil {
		return err
	}
	r.batch = append(r.batch, rec)
	return nil
}

// onDurable registers an effect that runs once the batch is durable.
func (r *Runtime) onDurable(f func()) { r.effects = append(r.effects, f) }

// plan runs the scheduler and applies the planned records.
func (r *Runtime) plan(now time.Time) scheduler.Plan {
	r.sched.SetCells(r.cfg.Cells())
	plan := r.sched.Plan(now, r.cfg.View())
	for _, rec := range plan.Records {
		if err := r.apply(rec); err != nil {
			r.log.WithError(err).Error("the cell state rejected a planned record")
		}
	}
	r.urgent = r.urgent || plan.Urgent || r.sched.Urgent(r.batch)
	return plan
}

// commit appends the batch in one row and returns once it is durable. After an error,
// the runtime must stop.
func (r *Runtime) commit(ctx context.Context) error {
	if len(r.batch) == 0 {
		r.durable.clear() // a rejected record was captured but changed nothing
		return ctx.Err()
	}
	encoded := make([][]byte, len(r.batch))
	for i, rec := range r.batch {
		data, err := cell.EncodeRecord(rec)
		if err != nil {
			return err
		}
		encoded[i] = data
	}
	if err := r.appendServingStatus(ctx, encoded); err != nil {
		return err
	}
	r.sinceSnapshot += len(r.batch)
	r.durable.clear()
	return nil
}

// appendServingStatus appends the batch and serves status requests until the append has
// ended. The state does not change meanwhile.
func (r *Runtime) appendServingStatus(ctx context.Context, encoded [][]byte) error {
	result, urgent := make(chan error, 1), r.urgent
	go func() { result <- r.append(ctx, encoded, urgent) }()
	for {
		select {
		case err := <-result:
			return err
		case req := <-r.statusRequests:
			r.respondStatus(req)
		}
	}
}

// append writes one row and retries while nothing was written. It returns once the row is
// durable, the ownership has ended, or the append failed with KindUnknown or KindInvalid.
func (r *Runtime) append(ctx context.Context, encoded [][]byte, urgent bool) error {
	for {
		_, err := r.journal.Append(ctx, encoded, urgent)
		if err == nil || model.IsKind(err, model.KindUnknown) || model.IsKind(err, model.KindInvalid) {
			return err
		}
		// Nothing was written. The ownership lease may have expired in a store outage
		// without a new owner; ctx is cancelled when there is one.
		select {
		case <-ctx.Done():
			return err
		case <-time.After(appendRetry):
		}
	}
}

// refreshHosts updates the cell's workers if the host list or the declaration has
// changed. At the target size the list has tens of thousands of entries, and a cell
// iterates many times between two changes of the list.
func (r *Runtime) refreshHosts() {
	hosts, view := r.cfg.Hosts(), r.cfg.View()
	source := hostSource{declaration: view.Declaration, count: len(hosts)}
	if len(hosts) > 0 {
		source.first = &hosts[0]
	}
	if source != r.hostSource {
		r.hostSource = source
		r.setHosts(hosts, view)
	}
	if !r.epochAcknowledged && r.cfg.EpochAcknowledged(r.id, r.epoch) {
		r.epochAcknowledged = true
		r.disp.SetEpochAcknowledged(r.cfg.Now())
	}
}

// hostSource identifies the host list and the declaration from which a list of workers
// was built. Both are replaced as a whole and never modified in place.
type hostSource struct {
	declaration *declaration.Declaration
	first       *external.Host
	count       int
}

func (r *Runtime) setHosts(hosts []external.Host, view *control.View) {
	var mine []external.Host
	for _, h := range hosts {
		if h.Role == external.RoleWorker && CellOfWorker(view, h) == r.id {
			mine = append(mine, h)
		}
	}
	r.disp.SetWorkers(mine)
	workers := make([]scheduler.Worker, 0, len(mine))
	for _, h := range mine {
		workers = append(workers, scheduler.Worker{
			ID: model.WorkerID(h.ID), DataCentre: h.DataCentre, Rack: h.Rack,
			Capacity: h.Capacity, Leaving: h.State == external.HostLeaving,
		})
	}
	r.sched.SetWorkers(workers)
}
