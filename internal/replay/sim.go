package replay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// sim is one replay.
type sim struct {
	*engine
	trace  *Trace
	config scheduler.Config
	out    Outcome

	owners    map[model.CellID]*owner
	cells     []*owner
	workers   map[model.WorkerID]*worker
	order     []*worker
	tasks     map[model.TaskID]*work
	jobs      map[model.JobID][]*work
	summaries []scheduler.CellSummary
	placedAt  map[external.AttemptRef]time.Duration
	// checkpoints maps a checkpoint object to the progress behind it, and
	// durable a task to its last checkpoint in the journal.
	checkpoints map[string]time.Duration
	durable     map[model.TaskID]string

	view      *control.View
	teams     []Team
	changedAt time.Duration
	outAt     map[model.DataCentre]time.Duration
	storeTill time.Duration
	loads     map[model.DataCentre]float64
	noises    map[model.ClassName]float64
	tail      tail
	useful    float64
	series    []float64
	open      int
	fault     error
	// exemptTill is the end of the last disturbance that keeps urgent work from
	// starting at once: a store outage or the change of an owner.
	exemptTill time.Duration
}

// Options selects the policy and the seed of a replay.
type Options struct {
	// Config is the scheduler's configuration; its Seed is set from Seed.
	Config scheduler.Config
	// Seed seeds delays and measurement noise; 0 takes the trace's seed.
	Seed uint64
	// Reference also runs the comparisons that relative outcomes need: the
	// offline packing, best fit, and the trace without data centre changes.
	Reference bool
}

// Run replays a trace. An error means that the replay itself failed; missed
// requirements are listed in the outcome.
func Run(t *Trace, o Options) (Outcome, error) {
	out, s, err := runOnce(t, o, true)
	if err != nil || !o.Reference {
		return out, err
	}
	err = s.addReferences(t, o, &out)
	return out, err
}

// runOnce replays a trace, up to its horizon or until all work has ended.
func runOnce(t *Trace, o Options, settle bool) (Outcome, *sim, error) {
	seed := cmp.Or(o.Seed, t.Header.Seed, 1)
	o.Config.Seed = seed
	s := newSim(t, o.Config, seed)
	s.schedule()
	horizon := t.Header.Horizon.D()
	s.runUntil(horizon, func() bool { return s.fault != nil })
	s.measure(horizon)
	if !settle {
		return s.out, s, s.fault
	}
	last := Seconds(0)
	if n := len(t.Events); n > 0 {
		last = t.Events[n-1].At
	}
	s.runUntil(horizon+t.Header.Settle.D(), func() bool {
		return s.fault != nil || (s.open == 0 && s.now >= last.D())
	})
	s.finish()
	return s.out, s, s.fault
}

func newSim(t *Trace, cfg scheduler.Config, seed uint64) *sim {
	s := &sim{
		engine: newEngine(seed), trace: t, config: cfg,
		owners: map[model.CellID]*owner{}, workers: map[model.WorkerID]*worker{},
		tasks: map[model.TaskID]*work{}, jobs: map[model.JobID][]*work{},
		placedAt: map[external.AttemptRef]time.Duration{}, checkpoints: map[string]time.Duration{},
		durable: map[model.TaskID]string{},
		outAt:   map[model.DataCentre]time.Duration{}, loads: map[model.DataCentre]float64{},
		noises: map[model.ClassName]float64{}, teams: t.Header.Teams,
	}
	s.out = Outcome{Trace: t.Header.Name, Policy: policyName(cfg), Seed: seed, Evictions: map[string]int{}}
	s.view = &control.View{Sequence: 1, Declaration: declarationOf(&t.Header, s.teams), Out: map[model.DataCentre]uint64{}}
	for _, dc := range t.Header.DataCentres {
		s.addDataCentre(dc)
	}
	s.refreshSummaries()
	return s
}

func policyName(cfg scheduler.Config) string {
	return string(cmp.Or(cfg.Policy, scheduler.PolicyLearned))
}

func (s *sim) addDataCentre(dc DataCentre) {
	o := &owner{sim: s, id: model.CellID(dc.Name + "-0"), dc: dc.Name, view: s.view}
	o.known, o.noted = map[external.AttemptRef]bool{}, map[external.AttemptRef]string{}
	o.st = cell.NewState(o.id)
	o.sched = scheduler.New(s.config, o.st)
	s.owners[o.id] = o
	s.cells = append(s.cells, o)
	capacity := model.Resources{MilliCPU: int64(dc.Cores * 1000), MemoryMB: int64(dc.MemoryGB * 1000)}
	for i := range dc.Racks * dc.WorkersPerRack {
		rack := i / dc.WorkersPerRack
		w := &worker{sim: s, cell: o}
		w.Worker = scheduler.Worker{
			ID: model.WorkerID(fmt.Sprintf("%s/r%d/w%02d", dc.Name, rack, i)), DataCentre: dc.Name,
			Rack: model.Rack(fmt.Sprintf("r%d", rack)), Capacity: capacity,
		}
		o.workers = append(o.workers, w)
		s.workers[w.ID] = w
		s.order = append(s.order, w)
	}
	o.watch()
}

// schedule enters the events of the trace and the periodic activities.
func (s *sim) schedule() {
	for i := range s.trace.Events {
		e := &s.trace.Events[i]
		s.at(e.At.D(), func() { s.event(e) })
	}
	alive := func() bool { return true }
	for i, w := range s.order {
		offset := time.Duration(i*7%1000) * time.Millisecond
		s.every(offset, reportEvery, func() bool { w.report(); return alive() })
		s.every(offset+100*time.Millisecond, sampleEvery, func() bool { w.sample(); return alive() })
	}
	for i, o := range s.cells {
		s.every(time.Duration(i)*13*time.Millisecond, time.Second, func() bool { o.watch(); return alive() })
	}
	s.every(time.Second, time.Second, func() bool { s.second(); return alive() })
}

// second records measurements and exchanges the cells' summaries.
func (s *sim) second() {
	for _, w := range s.order {
		for _, r := range w.runs {
			w.advance(r)
		}
		if w.up() {
			load := s.load(w.DataCentre)
			s.tail.add(load, latencyAt(load), w.slowdown(load))
		}
	}
	s.series = append(s.series, s.useful)
	s.refreshSummaries()
}

func (s *sim) refreshSummaries() {
	s.summaries = nil
	for _, o := range s.cells {
		s.summaries = append(s.summaries, o.sched.Summary())
	}
}

func (s *sim) event(e *Event) {
	switch {
	case e.Submit != nil:
		s.submit(e.Submit)
	case e.Cancel != nil:
		s.cancel(e.Cancel)
	case e.Load != nil:
		s.loads[e.Load.DataCentre] = e.Load.Factor
	case e.Down != nil:
		s.eachWorker(e.Down.Workers, func(w *worker) { w.crash(s.now + e.Down.For.D()) })
	case e.Bad != nil:
		s.eachWorker(e.Bad.Workers, func(w *worker) { w.badTill = s.now + e.Bad.For.D() })
	case e.Noise != nil:
		s.noises[e.Noise.Class] = e.Noise.Factor
		s.after(e.Noise.For.D(), func() { delete(s.noises, e.Noise.Class) })
	case e.Store != nil:
		s.storeTill = s.now + e.Store.For.D()
		s.disturb(e.Store.For.D())
	case e.Operate != nil:
		s.operate(e.Operate)
	case e.Restart != nil:
		s.owners[model.CellID(e.Restart.DataCentre+"-0")].restart()
		s.disturb(takeOver)
	}
}

func (s *sim) eachWorker(prefix string, do func(*worker)) {
	for _, w := range s.order {
		if strings.HasPrefix(string(w.ID), prefix) {
			do(w)
		}
	}
}

// disturb exempts urgent work that is submitted shortly before or during a
// disturbance, or while what it held up is made good.
func (s *sim) disturb(d time.Duration) {
	const around = 2 * time.Second
	s.exemptTill = max(s.exemptTill, s.now+d+around)
	for _, t := range s.tasks {
		if !t.started {
			t.exempt = true
		}
	}
}

func (s *sim) storeOut() bool { return s.now < s.storeTill }

func (s *sim) load(dc model.DataCentre) float64 { return cmp.Or(s.loads[dc], 1) }

func (s *sim) noise(c model.ClassName) float64 { return cmp.Or(s.noises[c], 1) }

// submit gives a job to a cell, as a node that accepts an order does.
func (s *sim) submit(e *Submit) {
	job := model.JobSpec{ID: e.Job}
	class := s.class(e.Class)
	urgency, _ := urgencyOf(class.Urgency)
	for i := range e.Tasks {
		spec := model.TaskSpec{
			ID: model.TaskID(fmt.Sprintf("%s/%d", e.Job, i)), Job: e.Job, Team: e.Team, Class: e.Class,
			Urgency: urgency, DeclaredRun: e.Declared.D(), Gang: e.Gang, MaxRetries: class.Retries,
			Resources: model.Resources{MilliCPU: int64(e.Cores * 1000), MemoryMB: int64(e.MemoryGB * 1000)},
		}
		job.Tasks = append(job.Tasks, spec)
		t := &work{id: spec.ID, submit: e, class: class, need: spec.Resources, run: e.Run[min(i, len(e.Run)-1)].D(), faults: e.Faults, submitted: s.now}
		s.tasks[spec.ID] = t
		s.jobs[e.Job] = append(s.jobs[e.Job], t)
		s.open++
	}
	s.out.Tasks += e.Tasks
	s.deliver(job, s.now)
}

// deliver submits a job, again while no data centre is in service.
func (s *sim) deliver(job model.JobSpec, at time.Duration) {
	to := scheduler.ChooseCell(job, s.summaries, s.view.IsOut)
	o := s.owners[to]
	if o == nil || o.down {
		s.after(time.Second, func() { s.deliver(job, at) })
		return
	}
	record := cell.Record{Submitted: &cell.Submitted{Job: job, At: epoch.Add(at).UnixMilli()}}
	s.after(peerDelay, func() { o.submit(record) })
}

func (s *sim) class(name model.ClassName) *Class {
	for i := range s.trace.Header.Classes {
		if s.trace.Header.Classes[i].Name == name {
			return &s.trace.Header.Classes[i]
		}
	}
	return nil
}

func (s *sim) cancel(c *Cancel) {
	for _, id := range c.Jobs {
		for _, t := range s.jobs[id] {
			t.cancelled = true
		}
		for _, o := range s.cells {
			o.cancel(id)
		}
	}
}

// operate appends an operator's command to the control journal, once the store
// is there, and spreads the view to the owners within the bound of the design.
func (s *sim) operate(op *Operate) {
	if s.storeOut() {
		s.at(s.storeTill+time.Second, func() { s.operate(op) })
		return
	}
	if op.Saw >= 0 && uint64(op.Saw) != s.view.Sequence {
		s.out.Refused++
		return
	}
	v := *s.view
	v.Sequence++
	v.Out = maps.Clone(v.Out)
	s.changedAt = s.now
	switch {
	case op.Out != "":
		v.Out[op.Out] = v.Sequence
		s.outAt[op.Out] = s.now
		s.out.windows = append(s.out.windows, window{dc: op.Out, from: s.now})
	case op.In != "":
		delete(v.Out, op.In)
		delete(s.outAt, op.In)
		s.closeWindow(op.In)
	case op.Teams != nil:
		s.teams = op.Teams
		v.Declaration = declarationOf(&s.trace.Header, s.teams)
	}
	s.view = &v
	s.out.Operated++
	for _, o := range s.cells {
		s.after(s.between(200*time.Millisecond, 1500*time.Millisecond), func() {
			if o.view.Sequence < v.Sequence {
				o.view = &v
				o.wake(0)
			}
		})
	}
}

func (s *sim) closeWindow(dc model.DataCentre) {
	for i := range s.out.windows {
		if w := &s.out.windows[i]; w.dc == dc && w.to == 0 {
			w.to = s.now
		}
	}
}

// gain and lose keep the work that is done and not lost, in core-seconds.
func (s *sim) gain(t *work, d time.Duration) {
	t.progress += d
	s.useful += d.Seconds() * t.amount()
}

func (s *sim) lose(t *work, d time.Duration) {
	if d <= 0 {
		return
	}
	t.progress -= d
	s.useful -= d.Seconds() * t.amount()
	s.out.LostCoreSeconds += d.Seconds() * t.amount()
}

// amount returns the processors that a task's work is counted with.
func (w *work) amount() float64 { return cmp.Or(w.submit.Needs, w.submit.Cores) }

func (s *sim) must(err error) {
	if err != nil && s.fault == nil {
		s.fault = err
	}
}

// count takes in a plan.
func (s *sim) count(p scheduler.Plan) {
	s.out.Plans++
	s.out.Throttles += len(p.Throttles)
}

// accepted takes in a durable end of an attempt.
func (s *sim) accepted(t *cell.Task, e *cell.Ended) {
	truth := s.tasks[e.Task]
	if e.Checkpoint != "" {
		s.durable[e.Task] = e.Checkpoint
	}
	if e.Outcome == model.OutcomeEvicted {
		s.out.Evictions[cmp.Or(t.Reason, "unknown")]++
	}
	if e.Outcome == model.OutcomeDone {
		truth.done++
		if truth.done > 1 {
			s.violate("R3", "task %s was completed %d times", e.Task, truth.done)
		}
	}
	switch t.State {
	case cell.TaskDone:
		s.out.Done++
	case cell.TaskFailed:
		s.out.Failed++
	}
	s.close(t)
}

func (s *sim) unrunnable(r *cell.Unrunnable) {
	s.out.Unrunnable++
	if len(s.out.UnrunnableReasons) < 3 && !slices.Contains(s.out.UnrunnableReasons, r.Reason) {
		s.out.UnrunnableReasons = append(s.out.UnrunnableReasons, r.Reason)
	}
}

// refused takes in a record that the state refused. Plans are made from a state
// that may be one batch old, so conflicts are normal; any other kind is a fault
// of the decision code.
func (s *sim) refused(o *owner, err error) {
	s.out.Conflicts++
	if !model.IsKind(err, model.KindConflict) {
		s.violate("apply", "cell %s refused a record: %v", o.id, err)
	}
}

// close counts a task that has ended, once.
func (s *sim) close(t *cell.Task) {
	truth := s.tasks[t.Spec.ID]
	if !truth.closed && t.State.Ended() && t.State != cell.TaskTransferred {
		truth.closed = true
		s.open--
	}
}

// closeCancelled counts the tasks of a cancelled job that ended with the record.
func (s *sim) closeCancelled(o *owner, id model.JobID) {
	for _, t := range o.st.JobTasks(id) {
		s.close(t)
	}
}
