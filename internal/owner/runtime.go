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
	// statuses are answered between iterations and while an append is in flight.
	statuses chan statusRequest
	// done is closed when the goroutine has ended.
	done chan struct{}

	// The fields below belong to the goroutine. batch, effects and urgent are
	// those of the present iteration.
	batch   []cell.Record
	effects []func()
	urgent  bool
	// durable shows the state without the batch.
	durable durableView
	// sending holds the tasks whose transfer is on its way.
	sending map[model.TaskID]bool
	// sinceSnapshot counts records since the last snapshot was begun.
	sinceSnapshot int
	saving        chan error
	acknowledged  bool
	// unsent holds placements whose start could not be given to the dispatcher.
	unsent []unsentStart
	// hostsFrom is what the present list of workers was made from.
	hostsFrom hostSource
	report    atomic.Pointer[Report]
}

// newRuntime recovers the cell's state and returns its runtime, not yet running.
func newRuntime(cfg *Config, owned *ownership.Owned) (*Runtime, error) {
	state, err := recoverState(owned)
	if err != nil {
		return nil, err
	}
	r := assemble(cfg, owned.Epoch, owned, state)
	if err := r.sched.RestoreEstimates(state.Aux()); err != nil {
		r.log.WithError(err).Warn("interference estimates dropped")
	}
	dc := cfg.Dispatch
	dc.Cell, dc.Epoch = owned.Cell, owned.Epoch
	gates := dispatch.Gates{MayStart: r.mayStart, MayRenew: r.mayRenew}
	opts := dispatch.Options{Now: cfg.Now, Metrics: cfg.Metrics}
	r.disp = dispatch.New(dc, cfg.Workers, gates, knownAttempts(state), opts)
	return r, nil
}

// assemble returns a runtime without a dispatcher.
func assemble(cfg *Config, epoch model.Epoch, journal Journal, state *cell.State) *Runtime {
	return &Runtime{
		id: state.ID(), epoch: epoch, cfg: cfg, journal: journal, state: state,
		sched:    scheduler.New(cfg.Scheduler, state),
		log:      cfg.Log.WithFields(logrus.Fields{"cell": string(state.ID()), "epoch": uint64(epoch)}),
		requests: make(chan request, requestBuffer), statuses: make(chan statusRequest),
		done: make(chan struct{}), durable: newDurableView(),
		sending: map[model.TaskID]bool{},
	}
}

// mayStart is the gate for starts: ownership, freshness and data centre state.
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

// mayRenew is the gate for all commands.
func (r *Runtime) mayRenew(now time.Time) error {
	if r.journal.LeaseValid(now) || r.cfg.OutageRenewal(r.id, r.epoch) {
		return nil
	}
	return model.Errorf(model.KindStale, "wait for the next successful append", "the ownership lease of cell %s has expired", r.id)
}

// run is the goroutine of the cell. It ends with ctx, which ends with the ownership.
func (r *Runtime) run(ctx context.Context) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-r.statuses:
			r.answerStatus(req)
			continue
		case req := <-r.requests:
			r.take(req, r.cfg.Now())
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

// iterate takes in what has arrived, plans, makes everything durable in one row
// and carries it out. It returns the time until the next plan is due.
func (r *Runtime) iterate(ctx context.Context) (time.Duration, error) {
	now := r.cfg.Now()
	r.refreshHosts()
	r.takeEvents(now)
	r.drainRequests(now)
	plan := r.plan(now)
	if err := r.commit(ctx); err != nil {
		r.sched.Abort()
		return 0, err
	}
	r.sched.Committed(plan.Records, r.cfg.Now())
	r.carryOut(plan)
	r.sendTransfers(ctx)
	r.maybeSnapshot(ctx)
	r.publish()
	if plan.Next <= 0 || plan.Next > r.cfg.Tick {
		return r.cfg.Tick, nil
	}
	return plan.Next, nil
}

// Report is what the rest of the node may know of an owned cell.
type Report struct {
	Summary scheduler.CellSummary
	// Queued and Live count tasks; Known counts all tasks that are remembered.
	Queued, Live, Known int
}

func (r *Runtime) publish() {
	report := Report{Summary: r.sched.Summary()}
	report.Queued, report.Live, report.Known = r.state.Counts()
	r.report.Store(&report)
}

func (r *Runtime) drainRequests(now time.Time) {
	for range requestBuffer {
		select {
		case req := <-r.requests:
			r.take(req, now)
		default:
			return
		}
	}
}

// apply applies a record to the state and adds it to the batch. A record that
// the state refuses is not journaled.
func (r *Runtime) apply(rec cell.Record) error {
	r.durable.note(r.state, rec)
	if err := r.state.Apply(rec); err != nil {
		return err
	}
	r.batch = append(r.batch, rec)
	return nil
}

// after registers an effect for when the batch is durable.
func (r *Runtime) after(f func()) { r.effects = append(r.effects, f) }

// plan asks the scheduler and applies its records.
func (r *Runtime) plan(now time.Time) scheduler.Plan {
	r.sched.SetCells(r.cfg.Cells())
	plan := r.sched.Plan(now, r.cfg.View())
	for _, rec := range plan.Records {
		if err := r.apply(rec); err != nil {
			r.log.WithError(err).Error("the state refused a planned record")
		}
	}
	r.urgent = r.urgent || plan.Urgent || r.sched.Urgent(r.batch)
	return plan
}

// commit appends the batch in one row and returns once it is durable. Errors end
// the ownership as far as this runtime is concerned.
func (r *Runtime) commit(ctx context.Context) error {
	if len(r.batch) == 0 {
		r.durable.clear() // a refused record was noted and changed nothing
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
	if err := r.appendAndAnswer(ctx, encoded); err != nil {
		return err
	}
	r.sinceSnapshot += len(r.batch)
	r.durable.clear()
	return nil
}

// appendAndAnswer answers status requests until the append has ended. The state
// does not change meanwhile.
func (r *Runtime) appendAndAnswer(ctx context.Context, encoded [][]byte) error {
	result, urgent := make(chan error, 1), r.urgent
	go func() { result <- r.append(ctx, encoded, urgent) }()
	for {
		select {
		case err := <-result:
			return err
		case req := <-r.statuses:
			r.answerStatus(req)
		}
	}
}

// append writes one row. It returns once the row is durable or the ownership has
// ended.
func (r *Runtime) append(ctx context.Context, encoded [][]byte, urgent bool) error {
	for {
		_, err := r.journal.Append(ctx, encoded, urgent)
		if err == nil || model.IsKind(err, model.KindUnknown) || model.IsKind(err, model.KindInvalid) {
			return err
		}
		// Nothing was written. The lease may have expired in a store outage without
		// a successor; ctx ends when there is one.
		select {
		case <-ctx.Done():
			return err
		case <-time.After(appendRetry):
		}
	}
}

// refreshHosts passes the cell's part of the host list on when the list or the
// declaration has changed. At the target size the list has tens of thousands of
// entries, and a cell iterates many times between two lists.
func (r *Runtime) refreshHosts() {
	hosts, view := r.cfg.Hosts(), r.cfg.View()
	source := hostSource{declaration: view.Declaration, count: len(hosts)}
	if len(hosts) > 0 {
		source.first = &hosts[0]
	}
	if source != r.hostsFrom {
		r.hostsFrom = source
		r.setHosts(hosts, view)
	}
	if !r.acknowledged && r.cfg.EpochAcknowledged(r.id, r.epoch) {
		r.acknowledged = true
		r.disp.SetEpochAcknowledged(r.cfg.Now())
	}
}

// hostSource identifies what a list of workers was made from. Host lists and
// declarations are replaced, never changed in place.
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
