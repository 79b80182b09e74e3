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

// sim is the state of one replay.
type sim struct {
	*engine
	trace  *Trace
	config scheduler.Config
	out    Outcome

	ownersByCell map[model.CellID]*owner
	ownerList    []*owner
	workers      map[model.WorkerID]*worker
	workerList   []*worker
	tasks        map[model.TaskID]*simTask
	jobs         map[model.JobID][]*simTask
	summaries    []scheduler.CellSummary
	placedAt     map[external.AttemptRef]time.Duration
	// checkpointProgress maps a checkpoint object to the progress that it contains.
	// durableCheckpoints maps a task to its last checkpoint in the journal.
	checkpointProgress map[string]time.Duration
	durableCheckpoints map[model.TaskID]string

	view           *control.View
	teams          []Team
	changedAt      time.Duration
	outSince       map[model.DataCentre]time.Duration
	storeDownUntil time.Duration
	loadFactors    map[model.DataCentre]float64
	noiseFactors   map[model.ClassName]float64
	latency        latencyHistogram
	usefulWork     float64
	workSeries     []float64
	openTasks      int
	err            error
	// exemptUntil is the end of the last disturbance that keeps urgent work from starting at
	// once: a store outage or a change of owner.
	exemptUntil time.Duration
}

// Options selects the policy and the seed of a replay.
type Options struct {
	// Config is the scheduler configuration. Its Seed is overwritten by the seed of the
	// replay.
	Config scheduler.Config
	// Seed seeds delays and measurement noise. 0 selects the seed of the trace.
	Seed uint64
	// Reference also runs the references of the relative metrics: the offline packing, the
	// best-fit policy, and the trace without data centre changes.
	Reference bool
}

// Run replays a trace. An error means that the replay itself failed; missed requirements are
// listed in the outcome.
func Run(t *Trace, o Options) (Outcome, error) {
	out, s, err := runOnce(t, o, true)
	if err != nil || !o.Reference {
		return out, err
	}
	err = s.addReferences(t, o, &out)
	return out, err
}

// runOnce replays a trace up to its horizon. With settle, it continues until all work has
// ended or the settle time is over, and checks the final state.
func runOnce(t *Trace, o Options, settle bool) (Outcome, *sim, error) {
	seed := cmp.Or(o.Seed, t.Header.Seed, 1)
	s := newSim(t, o.Config, seed)
	s.schedule()
	horizon := t.Header.Horizon.D()
	s.runUntil(horizon, func() bool { return s.err != nil })
	s.recordMetrics(horizon)
	if !settle {
		return s.out, s, s.err
	}
	last := Seconds(0)
	if n := len(t.Events); n > 0 {
		last = t.Events[n-1].At
	}
	s.runUntil(horizon+t.Header.Settle.D(), func() bool {
		return s.err != nil || (s.openTasks == 0 && s.now >= last.D())
	})
	s.checkFinalState()
	return s.out, s, s.err
}

func newSim(t *Trace, cfg scheduler.Config, seed uint64) *sim {
	s := &sim{
		engine: newEngine(seed), trace: t, config: cfg,
		ownersByCell: map[model.CellID]*owner{}, workers: map[model.WorkerID]*worker{},
		tasks: map[model.TaskID]*simTask{}, jobs: map[model.JobID][]*simTask{},
		placedAt: map[external.AttemptRef]time.Duration{}, checkpointProgress: map[string]time.Duration{},
		durableCheckpoints: map[model.TaskID]string{},
		outSince:           map[model.DataCentre]time.Duration{}, loadFactors: map[model.DataCentre]float64{},
		noiseFactors: map[model.ClassName]float64{}, teams: t.Header.Teams,
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
	o.endsHandled, o.submittedCheckpoints = map[external.AttemptRef]bool{}, map[external.AttemptRef]string{}
	o.st = cell.NewState(o.id)
	o.sched = scheduler.New(s.config, o.st)
	s.ownersByCell[o.id] = o
	s.ownerList = append(s.ownerList, o)
	capacity := model.Resources{MilliCPU: int64(dc.Cores * 1000), MemoryMB: int64(dc.MemoryGB * 1000)}
	for i := range dc.Racks * dc.WorkersPerRack {
		rack := i / dc.WorkersPerRack
		w := &worker{sim: s, owner: o}
		w.Worker = scheduler.Worker{
			ID: model.WorkerID(fmt.Sprintf("%s/r%d/w%02d", dc.Name, rack, i)), DataCentre: dc.Name,
			Rack: model.Rack(fmt.Sprintf("r%d", rack)), Capacity: capacity,
		}
		o.workers = append(o.workers, w)
		s.workers[w.ID] = w
		s.workerList = append(s.workerList, w)
	}
	o.checkWorkers()
}

// schedule schedules the events of the trace and the periodic activities.
func (s *sim) schedule() {
	for i := range s.trace.Events {
		e := &s.trace.Events[i]
		s.scheduleAt(e.At.D(), func() { s.applyEvent(e) })
	}
	alive := func() bool { return true }
	for i, w := range s.workerList {
		offset := time.Duration(i*7%1000) * time.Millisecond
		s.scheduleEvery(offset, reportInterval, func() bool { w.report(); return alive() })
		s.scheduleEvery(offset+100*time.Millisecond, sampleInterval, func() bool { w.sample(); return alive() })
	}
	for i, o := range s.ownerList {
		s.scheduleEvery(time.Duration(i)*13*time.Millisecond, time.Second, func() bool { o.checkWorkers(); return alive() })
	}
	s.scheduleEvery(time.Second, time.Second, func() bool { s.tick(); return alive() })
}

// tick runs once per second. It records measurements and exchanges the summaries of the cells.
func (s *sim) tick() {
	for _, w := range s.workerList {
		for _, r := range w.attempts {
			w.advance(r)
		}
		if w.up() {
			load := s.loadFactor(w.DataCentre)
			s.latency.add(load, baseLatencyFactor(load), w.slowdown(load))
		}
	}
	s.workSeries = append(s.workSeries, s.usefulWork)
	s.refreshSummaries()
}

func (s *sim) refreshSummaries() {
	s.summaries = nil
	for _, o := range s.ownerList {
		s.summaries = append(s.summaries, o.sched.Summary())
	}
}

func (s *sim) applyEvent(e *Event) {
	switch {
	case e.Submit != nil:
		s.submit(e.Submit)
	case e.Cancel != nil:
		s.cancel(e.Cancel)
	case e.Load != nil:
		s.loadFactors[e.Load.DataCentre] = e.Load.Factor
	case e.HostDown != nil:
		s.forWorkers(e.HostDown.Workers, func(w *worker) { w.crash(s.now + e.HostDown.Duration.D()) })
	case e.BadWorker != nil:
		s.forWorkers(e.BadWorker.Workers, func(w *worker) { w.faultyUntil = s.now + e.BadWorker.Duration.D() })
	case e.Noise != nil:
		s.noiseFactors[e.Noise.Class] = e.Noise.Factor
		s.scheduleAfter(e.Noise.Duration.D(), func() { delete(s.noiseFactors, e.Noise.Class) })
	case e.Store != nil:
		s.storeDownUntil = s.now + e.Store.Duration.D()
		s.exemptUrgentFor(e.Store.Duration.D())
	case e.Operate != nil:
		s.applyCommand(e.Operate)
	case e.OwnerRestart != nil:
		s.ownersByCell[model.CellID(e.OwnerRestart.DataCentre+"-0")].restart()
		s.exemptUrgentFor(takeoverDelay)
	}
}

func (s *sim) forWorkers(prefix string, do func(*worker)) {
	for _, w := range s.workerList {
		if strings.HasPrefix(string(w.ID), prefix) {
			do(w)
		}
	}
}

// exemptUrgentFor exempts urgent work from the start time limit when it is waiting, or is
// submitted during a disturbance of duration d or while the backlog of the disturbance is
// processed.
func (s *sim) exemptUrgentFor(d time.Duration) {
	const around = 2 * time.Second
	s.exemptUntil = max(s.exemptUntil, s.now+d+around)
	for _, t := range s.tasks {
		if !t.started {
			t.exempt = true
		}
	}
}

func (s *sim) storeDown() bool { return s.now < s.storeDownUntil }

func (s *sim) loadFactor(dc model.DataCentre) float64 { return cmp.Or(s.loadFactors[dc], 1) }

func (s *sim) noiseFactor(c model.ClassName) float64 { return cmp.Or(s.noiseFactors[c], 1) }

// submit submits a job to a cell, as a node does that accepts it.
func (s *sim) submit(e *Submit) {
	job := model.JobSpec{ID: e.Job}
	class := s.class(e.Class)
	urgency, _ := parseUrgency(class.Urgency)
	for i := range e.Tasks {
		spec := model.TaskSpec{
			ID: model.TaskID(fmt.Sprintf("%s/%d", e.Job, i)), Job: e.Job, Team: e.Team, Class: e.Class,
			Urgency: urgency, DeclaredRun: e.DeclaredRun.D(), Gang: e.Gang, MaxRetries: class.Retries,
			Resources: model.Resources{MilliCPU: int64(e.Cores * 1000), MemoryMB: int64(e.MemoryGB * 1000)},
		}
		job.Tasks = append(job.Tasks, spec)
		t := &simTask{id: spec.ID, submit: e, class: class, resources: spec.Resources, runTime: e.RunTimes[min(i, len(e.RunTimes)-1)].D(), remainingFaults: e.Faults, submittedAt: s.now}
		s.tasks[spec.ID] = t
		s.jobs[e.Job] = append(s.jobs[e.Job], t)
		s.openTasks++
	}
	s.out.Tasks += e.Tasks
	s.deliver(job, s.now)
}

// deliver submits a job to the chosen cell. It retries while no data centre is in service or
// the owner of the cell is down.
func (s *sim) deliver(job model.JobSpec, at time.Duration) {
	to := scheduler.ChooseCell(job, s.summaries, s.view.IsOut)
	o := s.ownersByCell[to]
	if o == nil || o.down {
		s.scheduleAfter(time.Second, func() { s.deliver(job, at) })
		return
	}
	record := cell.Record{Submitted: &cell.Submitted{Job: job, At: epoch.Add(at).UnixMilli()}}
	s.scheduleAfter(peerDelay, func() { o.submit(record) })
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
		for _, o := range s.ownerList {
			o.cancel(id)
		}
	}
}

// applyCommand appends an operator command to the control journal, after the end of a store
// outage, and propagates the view to the owners within the time limit of the design.
func (s *sim) applyCommand(op *Operate) {
	if s.storeDown() {
		s.scheduleAt(s.storeDownUntil+time.Second, func() { s.applyCommand(op) })
		return
	}
	if op.ExpectedSequence >= 0 && uint64(op.ExpectedSequence) != s.view.Sequence {
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
		s.outSince[op.Out] = s.now
		s.out.outWindows = append(s.out.outWindows, outWindow{dc: op.Out, from: s.now})
	case op.In != "":
		delete(v.Out, op.In)
		delete(s.outSince, op.In)
		s.endOutWindow(op.In)
	case op.Teams != nil:
		s.teams = op.Teams
		v.Declaration = declarationOf(&s.trace.Header, s.teams)
	}
	s.view = &v
	s.out.Operated++
	for _, o := range s.ownerList {
		s.scheduleAfter(s.randomBetween(200*time.Millisecond, 1500*time.Millisecond), func() {
			if o.view.Sequence < v.Sequence {
				o.view = &v
				o.tickAfter(0)
			}
		})
	}
}

func (s *sim) endOutWindow(dc model.DataCentre) {
	for i := range s.out.outWindows {
		if w := &s.out.outWindows[i]; w.dc == dc && w.to == 0 {
			w.to = s.now
		}
	}
}

// addWork and loseWork update the useful work, which is the work done and not lost, in
// core-seconds.
func (s *sim) addWork(t *simTask, d time.Duration) {
	t.progress += d
	s.usefulWork += d.Seconds() * t.countedCores()
}

func (s *sim) loseWork(t *simTask, d time.Duration) {
	if d <= 0 {
		return
	}
	t.progress -= d
	s.usefulWork -= d.Seconds() * t.countedCores()
	s.out.LostCoreSeconds += d.Seconds() * t.countedCores()
}

// countedCores returns the number of cores by which the run time of the task is multiplied to
// obtain its work.
func (w *simTask) countedCores() float64 { return cmp.Or(w.submit.NeededCores, w.submit.Cores) }

func (s *sim) recordError(err error) {
	if err != nil && s.err == nil {
		s.err = err
	}
}

// countPlan counts a plan and its throttle commands.
func (s *sim) countPlan(p scheduler.Plan) {
	s.out.Plans++
	s.out.Throttles += len(p.Throttles)
}

// recordEnded records the durable end of an attempt.
func (s *sim) recordEnded(t *cell.Task, e *cell.Ended) {
	truth := s.tasks[e.Task]
	if e.Checkpoint != "" {
		s.durableCheckpoints[e.Task] = e.Checkpoint
	}
	if e.Outcome == model.OutcomeEvicted {
		s.out.Evictions[cmp.Or(t.Reason, "unknown")]++
	}
	if e.Outcome == model.OutcomeDone {
		truth.completions++
		if truth.completions > 1 {
			s.addViolation("R3", "task %s was completed %d times", e.Task, truth.completions)
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

func (s *sim) recordUnrunnable(r *cell.Unrunnable) {
	s.out.Unrunnable++
	if len(s.out.UnrunnableReasons) < 3 && !slices.Contains(s.out.UnrunnableReasons, r.Reason) {
		s.out.UnrunnableReasons = append(s.out.UnrunnableReasons, r.Reason)
	}
}

// recordRefused records a record that the state rejected. Plans are based on a state that may
// be one batch old, so conflicts are expected; any other error is a fault of the scheduler.
func (s *sim) recordRefused(o *owner, err error) {
	s.out.Conflicts++
	if !model.IsKind(err, model.KindConflict) {
		s.addViolation("apply", "cell %s refused a record: %v", o.id, err)
	}
}

// close removes an ended task from the open tasks, once.
func (s *sim) close(t *cell.Task) {
	truth := s.tasks[t.Spec.ID]
	if !truth.closed && t.State.Ended() && t.State != cell.TaskTransferred {
		truth.closed = true
		s.openTasks--
	}
}

// closeCancelled closes the tasks of a cancelled job that ended with the cancellation record.
func (s *sim) closeCancelled(o *owner, id model.JobID) {
	for _, t := range o.st.JobTasks(id) {
		s.close(t)
	}
}
