package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A filler starts where the services of a worker tolerate it at full pace, as sharing their headroom
// among more fillers makes every job late. Under a standing backlog there may never be such a worker
// for some jobs. While no more than idleReservedShare of the processors are reserved, such a job
// gets one run at a reduced pace. Placement at full pace does not count these runs, and their pace
// rises only as far as the headroom and the processors that other fillers leave.

const (
	// idleLimit and idleLimitOnTime are how long nothing of a job may have run, with a task ready,
	// before one of its tasks starts at a reduced pace. Work that can still be on time waits longer,
	// as it loses more on a worker with little headroom.
	idleLimit       = 1000 * time.Millisecond
	idleLimitOnTime = 1800 * time.Millisecond
	// idleCheckInterval is the least time between two searches for idle jobs.
	idleCheckInterval = 40 * time.Millisecond
	// idlePace is the least pace, in percent, of a run that was started at a reduced one.
	idlePace = 3
	// repeatPace is the same for a run of a task that may be done: it may hold up its job for nothing.
	repeatPace = 10
	// maxReducedRuns bounds the runs with a reduced pace on one worker.
	maxReducedRuns = 12
	// maxUnprovenRuns is the number of runs of a job from which on nothing more of it starts at a
	// reduced pace, although all their tasks may be done.
	maxUnprovenRuns = 4
	// idleReservedShare is the reserved share of the processors from which on idle jobs wait. By
	// contract a job may idle only where half of them are reserved.
	idleReservedShare = 0.55
)

// idleLimitOf returns how long the job of a step may be idle before it is started at a reduced pace.
func idleLimitOf(w *waitingStep) time.Duration {
	if w.urgency == urgencyOnTime {
		return idleLimitOnTime
	}
	return idleLimit
}

// mostlyFree reports whether less than idleReservedShare of a service's processors are reserved, in
// the cell or in all cells together: a job may not idle because its cell is fuller than others.
// Workers that get no work for the moment count too. What waits in other cells counts as reserved,
// as they report it so.
func (t *term) mostlyFree(service model.ServiceName) bool {
	reserved, capacity := int64(0), int64(0)
	for _, w := range t.workers {
		if w.listed && w.info.Service == service {
			reserved += w.reserved.MilliCPU
			capacity += w.info.Capacity.MilliCPU
		}
	}
	if float64(reserved) < idleReservedShare*float64(capacity) {
		return true
	}
	for _, o := range t.otherCellLoads() {
		reserved += o.load.Reserved
		capacity += o.load.Capacity
	}
	return float64(reserved) < idleReservedShare*float64(capacity)
}

// idleStep is a step whose job has been idle since a time, with the task of it to start.
type idleStep struct {
	step  *waitingStep
	task  int
	since time.Time
}

// idleSteps returns the steps that suit and whose jobs have been idle for their limit, the longest idle first.
func (t *term) idleSteps(waiting []*waitingStep, suits func(*waitingStep) bool) []idleStep {
	var idle []idleStep
	for _, w := range waiting {
		if !suits(w) || w.job.over() {
			continue
		}
		if since, none := w.job.unprovenSince(); none && t.now.Sub(since) >= idleLimitOf(w) && !w.job.hasHeldStart() {
			idle = append(idle, idleStep{w, w.undoneTask(), since})
		}
	}
	slices.SortFunc(idle, func(a, b idleStep) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.step.job.id, b.step.job.id), cmp.Compare(a.step.index, b.step.index))
	})
	return idle
}

// stillIdle reports whether no step of the job has started since it was found idle.
func (i idleStep) stillIdle() bool {
	since, none := i.step.job.unprovenSince()
	return none && since.Equal(i.since) && !i.step.job.hasHeldStart()
}

// hasHeldStart reports whether a start of the job has its place and is held back.
func (j *job) hasHeldStart() bool {
	for _, tk := range j.openTasks() {
		if slices.ContainsFunc(tk.runs, (*run).held) {
			return true
		}
	}
	return false
}

// startIdleJobs starts one task at a reduced pace for each job of which nothing has run for
// idleLimit and for which the plan has found no worker, the longest idle first. It returns the number of starts.
func (t *term) startIdleJobs(p *placement, waiting []*waitingStep, limit int) int {
	if limit <= 0 || !t.mostlyFree(p.service) { // the last step of a plan may exceed its bound
		return 0
	}
	workers := p.workersForReduced()
	if len(workers) == 0 {
		return 0
	}
	idle := t.idleSteps(waiting, func(w *waitingStep) bool {
		return w.queue.Service == p.service && w.state().waits.allowsReducedPace() && !w.step.Gang
	})
	started := 0
	for _, i := range idle {
		if started == limit || len(workers) == 0 {
			break
		}
		w := i.step
		if !i.stillIdle() {
			continue
		}
		r := taskRequest{job: w.job, step: w.step, task: &w.state().tasks[i.task], tasksPerWorker: runsPerWorker(w.state())}
		if w.queue.Advised {
			if r.tickets = t.tickets(p, w); r.tickets == nil {
				continue
			}
		}
		if x, pace := p.findReducedPace(workers, r); x != nil {
			t.startReduced(w.job, w.key(i.task), x, r.tickets[x.info.Lifetime], pace)
			started++
			workers = slices.DeleteFunc(workers, func(o *worker) bool { return o == x })
		}
	}
	return started
}

// undoneTask returns a task of the step that is certainly not done, else any.
func (w *waitingStep) undoneTask() int {
	for _, i := range w.tasks {
		if !w.state().tasks[i].mayBeDone {
			return i
		}
	}
	return w.tasks[0]
}

// unprovenSince is like idleSince, but runs of tasks that may be done already do not count, up to
// maxUnprovenRuns of them.
func (j *job) unprovenSince() (since time.Time, unproven bool) {
	if since, unproven = j.idleSince(); unproven {
		return since, true
	}
	n := 0
	for _, tk := range j.openTasks() {
		for _, r := range tk.runs {
			if n++; !tk.mayBeDone || n == maxUnprovenRuns {
				return time.Time{}, false
			}
			if r.startedAt.After(since) {
				since = r.startedAt
			}
		}
	}
	return since, n > 0
}

// allowsReducedPace reports whether a filler that waits for this may start at a reduced pace.
func (r waitReason) allowsReducedPace() bool {
	return r == waitsForHeadroom || r == waitsForSpareCapacity
}

// allowsReducedPace reports whether a filler may start at a reduced pace on a worker with this obstacle.
func (o obstacle) allowsReducedPace() bool { return o == lacksHeadroom || o == lacksSpareCapacity }

// workersForReduced returns the workers on which a filler may start at a reduced pace; on probation
// they take one such run beside their trial.
func (p *placement) workersForReduced() []*worker {
	var workers []*worker
	for _, w := range p.workers {
		if w.mayReduce() && !(w.health.onProbation() && w.reducedMilliCPU > 0) && p.interference.viewOf(w, p.now).acceptsFillers(p.now) {
			workers = append(workers, w)
		}
	}
	return workers
}

// findReducedPace returns the one of the workers whose services tolerate the largest share of a
// filler that none of them tolerates at full pace, and the pace in percent; nil if there is none.
// Workers without processors to spare come after others, and those on probation last.
func (p *placement) findReducedPace(workers []*worker, r taskRequest) (*worker, int) {
	var best *worker
	most := 0.0
	for _, w := range workers {
		o, tolerated := p.obstacle(w, r), 0.0
		if !o.allowsReducedPace() {
			continue
		}
		if o == lacksHeadroom {
			_, tolerated = p.interference.placementCost(w, r.step, p.now)
		}
		order := -1
		if best != nil {
			order = cmp.Or(cmp.Compare(w.probationRank(), best.probationRank()), cmp.Compare(most, tolerated), cmp.Compare(w.reducedMilliCPU, best.reducedMilliCPU))
		}
		if order < 0 {
			best, most = w, tolerated
		}
	}
	return best, max(roundPace(most), idlePace)
}

// probationRank returns 1 for a worker on probation and 0 for others.
func (w *worker) probationRank() int {
	if w.health.onProbation() {
		return 1
	}
	return 0
}

// leastPace returns the least pace of a run at a reduced pace, in percent.
func (r *run) leastPace() int {
	if _, tk := r.job.task(r.key); tk != nil && tk.mayBeDone {
		return repeatPace
	}
	return idlePace
}

// mayReduce reports whether another filler may start on w at a reduced pace: one at a time, as a run
// works at full pace until its first pace is set.
func (w *worker) mayReduce() bool {
	n := 0
	for _, r := range w.runs {
		if !r.reduced {
			continue
		}
		if n++; n == maxReducedRuns || r.pace == 100 {
			return false
		}
	}
	return true
}

// startReduced starts a filler that is slowed down to a pace, in percent, as soon as it runs.
func (t *term) startReduced(j *job, key taskKey, w *worker, ticket string, pace int) {
	_, tk := j.task(key)
	r := t.startAttempt(j, key, w, ticket, j.nextAttempt(tk, t.number), tk.checkpoint)
	r.startPace = pace
	w.setReduced(r, true)
}

// reduceInPlace lets a paused filler go on at a reduced pace, if nothing else of its job works and
// no worker tolerates it at full pace: stopped, it would start again at a reduced pace elsewhere.
// One that may not be stopped goes on in any case. It reports whether the run goes on.
func (t *term) reduceInPlace(v *interferenceView, r *run) bool {
	o := r.job.openOccurrenceAt(r.key.occurrence)
	if r.reduced || o == nil || r.step.Gang || !v.acceptsFillers(t.now) || r.job.worksBeside(r) || !r.worker.mayReduce() {
		return false
	}
	p := t.newPlacement(r.worker.info.Service)
	if !t.mostlyFree(p.service) {
		return false
	}
	if r.mayRestart() && p.chooseWorker(taskRequest{job: r.job, step: r.step, tasksPerWorker: runsPerWorker(&o.steps[r.key.step])}) != nil {
		return false
	}
	r.worker.setReduced(r, true)
	return true
}

// worksBeside reports whether a run of the job other than r has not been ordered to pause or stop.
func (j *job) worksBeside(r *run) bool {
	for _, tk := range j.openTasks() {
		for _, other := range tk.runs {
			if other != r && other.live() && (other.pace > 0 || other.reduced || other.paceUnknown) {
				return true
			}
		}
	}
	return false
}

// stopReducedForIdleJobs makes room for jobs that reserve processors, of which nothing has run for
// idleLimit, where runs at a reduced pace hold the memory that they need. For restarts the plan does it.
func (t *term) stopReducedForIdleJobs(p *placement, waiting []*waitingStep) {
	for _, w := range waiting {
		reason := w.state().waits
		if w.queue.Service != p.service || w.step.Filler || w.step.Gang || w.restart || w.job.over() || (reason != waitsForCapacity && reason != waitsForOtherCondition) {
			continue
		}
		since, idle := w.job.idleSince()
		if !idle || t.now.Sub(since) < idleLimit {
			continue
		}
		r := taskRequest{job: w.job, step: w.step, tasksPerWorker: runsPerWorker(w.state())}
		if x := p.reserveReducedFor(r); x != nil {
			t.stopReducedFor(x, w.step)
		}
	}
}

// reserveReducedFor keeps new work away from one worker on which a task fits without the runs at a
// reduced pace, and returns it; nil if there is none. It takes the worker with the most memory that is
// free or becomes free, so that it stays with its choice while these runs are being stopped.
func (p *placement) reserveReducedFor(request taskRequest) *worker {
	var best *worker
	most := int64(0)
	for _, w := range p.workers {
		if w.reducedMilliCPU == 0 || p.reservedWorkers[w] || p.obstacle(w, request) != lacksCapacity {
			continue
		}
		free := w.free()
		freed := free.MemoryMB
		for _, r := range w.runs {
			if r.reduced {
				free = free.Add(r.reserved)
			}
			if !r.live() {
				freed += r.reserved.MemoryMB
			}
		}
		if request.step.Reserved().Fits(free) && (best == nil || freed > most) {
			best, most = w, freed
		}
	}
	if best != nil {
		p.reserve(best)
	}
	return best
}

// stopReducedFor stops runs at a reduced pace on w until a task has the memory that it needs there,
// those with the least progress first. They would hold it for many times their duration.
func (t *term) stopReducedFor(w *worker, s *Step) {
	lacking := s.Reserved().MemoryMB - w.free().MemoryMB
	var reduced []*run
	for _, r := range w.runs {
		switch {
		case !r.live():
			lacking -= r.reserved.MemoryMB
		case r.reduced && r.state == runLive && r.reserved.MemoryMB > 0:
			reduced = append(reduced, r)
		}
	}
	slices.SortFunc(reduced, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.percent, b.percent), cmp.Compare(a.ref.Task, b.ref.Task))
	})
	for _, r := range reduced {
		if lacking <= 0 {
			return
		}
		lacking -= r.reserved.MemoryMB
		t.stopRun(r, "makes-room")
	}
}
