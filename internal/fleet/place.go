package fleet

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Weights of the score of a worker; the lowest score wins. A score of 1 equals leaving
// all of the worker's processors free.
const (
	// noServiceBias is the cost of a worker without services for tasks that reserve
	// processors. Such tasks do not disturb services, so workers without services are left to
	// fillers.
	noServiceBias = 0.3
	// failureBias is the cost of a worker whose last run failed.
	failureBias = 2.0
	// slowBias is the cost of a run time that is twice as long.
	slowBias = 1.5
	// otherRackBias is the cost of a rack other than the one that holds the data.
	otherRackBias = 1.5
	// minFillerShare is the least share of a filler's demand that must be available as
	// unreserved or unused processor capacity.
	minFillerShare = 1.0
	// servingUseShare is the share of its reservation that a service uses on average;
	// fillers may use the rest.
	servingUseShare = 0.5
	// jobBias and imageBias place lasting tasks of one job, whose loads vary together, and
	// those of one image on the same workers: fillers are limited by the lowest headroom of
	// all services on a worker. Joining tasks of another image costs more than using an
	// empty worker, joining another job of the same image costs less.
	jobBias   = 0.4
	imageBias = 2.0
	// interferenceBias weights the predicted pressure of a filler on services.
	interferenceBias = 2.0
)

// placement holds the candidate workers of one plan.
type placement struct {
	now     time.Time
	service model.ServiceName
	workers []*worker
	// lastResort holds the workers that are quarantined or on probation and may run lost lasting tasks for which
	// there is no other room.
	lastResort   []*worker
	interference *interference
	// claimed is what lost lasting tasks claim on workers; see claims.go.
	claimed         map[*worker]model.Resources
	expectedRunTime func(*job, *Step) time.Duration
	// usable and runEnds are computed when claims need them: the set of workers and the expected ends of their runs.
	usable  map[*worker]bool
	runEnds map[*worker][]runEnd
	// smallestUnclaimable and smallestNotFree are the smallest needs for which there is no room to claim, and none
	// that is free.
	smallestUnclaimable, smallestNotFree *model.Resources
	// unplaceable holds, by group, the smallest needs for which this plan has found no worker.
	unplaceable map[demandGroup]unplaceable
	// reservedWorkers holds workers that are kept free for jobs of which nothing runs.
	reservedWorkers map[*worker]bool
}

// reserve keeps new work away from a worker, restarts of lasting tasks excepted.
func (p *placement) reserve(w *worker) {
	if p.reservedWorkers == nil {
		p.reservedWorkers = map[*worker]bool{}
	}
	p.reservedWorkers[w] = true
}

// demandGroup groups steps that compete for the same capacity: fillers of one image, or
// all steps that reserve processors.
type demandGroup struct {
	filler bool
	image  string
}

func demandGroupOf(s *Step) demandGroup {
	if s.Filler {
		return demandGroup{true, s.Image}
	}
	return demandGroup{}
}

// unplaceable is what no worker was found for, and why.
type unplaceable struct {
	needs  model.Resources
	reason waitReason
}

// knownUnplaceable returns why this plan found no worker for a step with the same or smaller
// needs. A plan only takes capacity, so it finds none for this step either.
func (p *placement) knownUnplaceable(s *Step) waitReason {
	if u, ok := p.unplaceable[demandGroupOf(s)]; ok && u.needs.Fits(s.Needs) {
		return u.reason
	}
	return waitsForNothing
}

// recordUnplaceable records that no worker was found for a task. Tasks with further conditions
// are not recorded, as those with the same needs and without these conditions may still fit.
func (p *placement) recordUnplaceable(r taskRequest, reason waitReason) {
	s := r.step
	if s.Label != "" || s.PerWorker > 0 || s.SameRack || s.Gang || r.tickets != nil || (r.task != nil && len(r.task.failed) > 0) {
		return
	}
	if p.unplaceable == nil {
		p.unplaceable = map[demandGroup]unplaceable{}
	}
	if u, ok := p.unplaceable[demandGroupOf(s)]; !ok || s.Needs.Fits(u.needs) {
		p.unplaceable[demandGroupOf(s)] = unplaceable{s.Needs, reason}
	}
}

// taskRequest describes one task to place.
type taskRequest struct {
	job  *job
	step *Step
	// task may be nil for a task without a history.
	task *task
	// tasksPerWorker counts the tasks of the step per worker.
	tasksPerWorker map[*worker]int
	// rack restricts the choice, unless empty.
	rack string
	// restart is set for lasting tasks that ran before: they may use reserved workers, and room that is not free
	// yet for claims of others.
	restart bool
	// lastResort allows workers on probation, and forbids those on which the task has failed.
	lastResort bool
	// tickets restricts the choice to workers with a ticket, unless nil.
	tickets map[Lifetime]string
}

// hasTaskSlot reports whether w has fewer tasks of the step than one worker may run.
func (r *taskRequest) hasTaskSlot(w *worker) bool {
	return r.step.PerWorker == 0 || r.tasksPerWorker[w] < r.step.PerWorker
}

// chooseWorker returns the best worker for a task, or nil.
func (p *placement) chooseWorker(r taskRequest) *worker {
	w, _ := p.findWorker(r)
	return w
}

// findWorker returns the best worker for a task. It packs tasks that reserve processors tightly,
// which keeps capacity for large tasks, and spreads fillers over the remaining capacity. If there
// is none, it returns nil and the obstacle of the worker that meets the most conditions.
func (p *placement) findWorker(r taskRequest) (*worker, obstacle) {
	var best *worker
	bestScore, furthest := 0.0, lacksLabel
	for _, w := range p.workers {
		if o := p.obstacle(w, r); o != lacksNothing {
			furthest = max(furthest, o)
			continue
		}
		if score := p.score(w, r); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	if best != nil {
		return best, lacksNothing
	}
	return nil, furthest
}

// findLastResort returns the best worker for a lost lasting task among those that are quarantined or on
// probation, or nil.
func (p *placement) findLastResort(r taskRequest) *worker {
	if len(p.lastResort) == 0 {
		return nil
	}
	r.lastResort = true
	last := *p
	last.workers = p.lastResort
	return last.chooseWorker(r)
}

// obstacle is the first condition of a task that a worker does not meet, in the order of
// the checks.
type obstacle int

const (
	lacksLabel    obstacle = iota
	lacksTaskSlot          // the worker has as many tasks of the step as allowed
	lacksCapacity
	failsOtherCondition // reserved worker, rack, ticket, probation, another run of the task or one that may crash the worker
	lacksSpareCapacity  // too few processors are left over for a filler
	lacksHeadroom       // services do not bear the filler
	lacksNothing
)

// feasible reports whether w may run the task.
func (p *placement) feasible(w *worker, r taskRequest) bool { return p.obstacle(w, r) == lacksNothing }

// obstacle returns the first condition that w does not meet, or lacksNothing.
func (p *placement) obstacle(w *worker, r taskRequest) obstacle {
	s := r.step
	switch {
	case !w.hasLabel(s.Label):
		return lacksLabel
	case !r.hasTaskSlot(w):
		return lacksTaskSlot
	case !s.Reserved().Fits(w.free()):
		return lacksCapacity
	case p.reservedWorkers[w] && !r.restart,
		!p.fitsBesideClaims(w, r),
		r.rack != "" && w.rack != r.rack,
		r.tickets != nil && r.tickets[w.info.Lifetime] == "",
		w.health.onProbation() && w.hasTrialRun() && !r.lastResort,
		r.lastResort && r.task != nil && slices.Contains(r.task.failedOn, w.info.Worker),
		!s.Lasting && r.task != nil && len(r.task.failed) > 0 && w.health.needsUntried(p.now),
		r.task != nil && r.task.runsOn(w),
		w.keepsApart(r.job, p.now):
		return failsOtherCondition
	case s.Filler:
		return p.fillerObstacle(w, s)
	}
	return lacksNothing
}

// fillerObstacle returns lacksNothing if w has enough processor capacity for a filler and its
// services tolerate the filler.
func (p *placement) fillerObstacle(w *worker, s *Step) obstacle {
	if float64(w.fillerCapacity()) < minFillerShare*float64(s.Needs.MilliCPU) {
		return lacksSpareCapacity
	}
	if _, tolerated := p.interference.placementCost(w, s, p.now); tolerated < 1 {
		return lacksHeadroom
	}
	return lacksNothing
}

// score rates a feasible worker.
func (p *placement) score(w *worker, r taskRequest) float64 {
	s := r.step
	capacity := float64(max(w.info.Capacity.MilliCPU, 1))
	score := 0.0
	serving := w.hasServingRun()
	if s.Filler {
		cost, _ := p.interference.placementCost(w, s, p.now)
		score = interferenceBias*cost - float64(w.fillerCapacity())/capacity
	} else {
		score = float64(w.free().MilliCPU-s.Needs.MilliCPU) / capacity
		if !serving {
			score += noServiceBias
		}
		// Tasks that reserve processors take them away from fillers.
		score += 0.5 * float64(w.fillerMilliCPU) / capacity
	}
	if s.Lasting {
		jobs, images := otherLastingShares(w, s, r.tasksPerWorker[w])
		score += jobBias*jobs + imageBias*images
	}
	if s.Near != "" && w.rack != s.Near {
		score += otherRackBias
	}
	score += p.failurePenalty(w, r) + p.crashCost(w, r)
	if w.health.runTimeRatio > 1.3 {
		score += slowBias * (w.health.runTimeRatio - 1)
	}
	return score
}

// failurePenalty returns the cost of a worker whose runs failed. It is higher for a task
// that has failed before, and highest on a worker where that task failed.
func (p *placement) failurePenalty(w *worker, r taskRequest) float64 {
	cost := 0.0
	if w.health.failures > 0 {
		cost += failureBias
	}
	if r.task == nil || len(r.task.failed) == 0 {
		return cost
	}
	if !w.health.recovered {
		cost += failureBias / 2
	}
	if slices.Contains(r.task.failedOn, w.info.Worker) {
		cost += 2 * failureBias
	}
	return cost
}

// otherLastingShares returns which shares of the lasting runs on w belong to other steps
// than s and have other images than s. Step s has own runs on w.
func otherLastingShares(w *worker, s *Step, own int) (steps, images float64) {
	all, others := 0, 0
	for _, r := range w.runs {
		if r.step != nil && r.step.Lasting && r.live() {
			all++
			if r.step.Image != s.Image {
				others++
			}
		}
	}
	if all == 0 {
		return 0, 0
	}
	return float64(max(all-own, 0)) / float64(all), float64(others) / float64(all)
}

// feasibleRacks returns how many tasks of a step fit on the feasible workers of each rack.
func (p *placement) feasibleRacks(r taskRequest) map[string]int {
	capacity := map[string]int{}
	for _, w := range p.workers {
		if w.rack != "" && p.feasible(w, r) {
			capacity[w.rack] += taskCapacity(r.step, w)
		}
	}
	return capacity
}

// taskCapacity returns how many tasks of a step fit on a worker.
func taskCapacity(s *Step, w *worker) int {
	n := fitCount(s.Reserved(), w.free())
	if s.Filler && s.Needs.MilliCPU > 0 {
		n = min(n, int(w.fillerCapacity()/s.Needs.MilliCPU))
	}
	if s.PerWorker > 0 {
		n = min(n, s.PerWorker)
	}
	return n
}
