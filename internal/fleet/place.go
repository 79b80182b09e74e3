package fleet

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Weights of the score of a worker; the lowest score wins. The unit is the share
// of a worker's processors that a placement leaves free.
const (
	// noServiceBias steers work that reserves its processors to workers with
	// services, which it does not disturb, and leaves the others to fillers.
	noServiceBias = 0.3
	// failureBias keeps work from workers whose last run failed.
	failureBias = 2.0
	// slowBias is the cost of a run time that is twice as long.
	slowBias = 1.5
	// otherRackBias is the cost of a rack away from the data.
	otherRackBias = 1.5
	// minFillerShare is the least share of a filler's demand that must be left over.
	minFillerShare = 1.0
	// servingUseShare is the share of its reservation that a service uses on average;
	// fillers get the rest.
	servingUseShare = 0.5
	// jobBias and imageBias gather the lasting tasks of one job, whose loads swing
	// together, and those of one image on the same workers: what fillers find there
	// is the least headroom of all services present. A second image costs more than
	// an empty worker, another job of the image less.
	jobBias   = 0.4
	imageBias = 2.0
	// interferenceBias is the cost of the predicted pressure on services.
	interferenceBias = 2.0
)

// placement is the view of workers while a plan is made.
type placement struct {
	now          time.Time
	workers      []*worker
	interference *interference
	// refusedNeeds holds the smallest needs that found no worker in this plan.
	refusedNeeds map[demandGroup]model.Resources
	// reservedWorkers holds workers that are kept for lasting tasks which ran before.
	reservedWorkers map[*worker]bool
}

// reserveWorkerFor keeps the worker on which a lasting task finds room soonest free of other new
// work: the one with most room once all work that ends by itself has ended. It answers
// fleets full of services, where each hole that a short task leaves is too small alone.
func (p *placement) reserveWorkerFor(s *Step) {
	var best *worker
	room := int64(0)
	for _, w := range p.workers {
		free := w.free()
		for _, r := range w.runs {
			if r.step != nil && !r.step.Lasting {
				free = free.Add(r.reserved)
			}
		}
		if p.reservedWorkers[w] || !w.hasLabel(s.Label) || !s.Reserved().Fits(free) {
			continue
		}
		if now := w.free().MilliCPU; best == nil || now > room {
			best, room = w, now
		}
	}
	if best == nil {
		return
	}
	if p.reservedWorkers == nil {
		p.reservedWorkers = map[*worker]bool{}
	}
	p.reservedWorkers[best] = true
}

// demandGroup groups steps that compete for the same room.
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

// knownRefused reports whether a smaller step has found no worker in this plan: a plan
// only takes room, so this one would find none either.
func (p *placement) knownRefused(s *Step) bool {
	need, ok := p.refusedNeeds[demandGroupOf(s)]
	return ok && need.Fits(s.Needs)
}

// recordRefusal remembers that a step without further conditions found no worker.
func (p *placement) recordRefusal(s *Step) {
	if s.Label != "" || s.PerWorker > 0 || s.SameRack || s.Gang {
		return
	}
	if p.refusedNeeds == nil {
		p.refusedNeeds = map[demandGroup]model.Resources{}
	}
	if need, ok := p.refusedNeeds[demandGroupOf(s)]; !ok || s.Needs.Fits(need) {
		p.refusedNeeds[demandGroupOf(s)] = s.Needs
	}
}

// taskRequest describes one task that wants a worker.
type taskRequest struct {
	step *Step
	// task may be nil for a task without a history.
	task *task
	// tasksPerWorker counts the tasks of the step per worker.
	tasksPerWorker map[*worker]int
	// rack restricts the choice, unless empty.
	rack string
	// restart is set for lasting tasks that ran before: they may use room that is kept.
	restart bool
	// tickets restricts the choice to workers with a ticket, unless nil.
	tickets map[model.WorkerID]string
}

// chooseWorker returns the best worker for a task, or nil. It packs work that reserves
// processors as tightly as it fits, so that large tasks find room later, and
// spreads fillers over what is left.
func (p *placement) chooseWorker(r taskRequest) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range p.workers {
		if !p.feasible(w, r) {
			continue
		}
		if score := p.score(w, r); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// obstacle is the first condition of a task that a worker does not meet, in the
// order in which they are looked at.
type obstacle int

const (
	lacksLabel    obstacle = iota
	lacksTaskSlot          // the worker has as many tasks of the step as allowed
	lacksCapacity
	lacksOther // rack, ticket, trust, another run of the task, or what is left over
	lacksNothing
)

// feasible reports whether w may run the task.
func (p *placement) feasible(w *worker, r taskRequest) bool { return p.obstacle(w, r) == lacksNothing }

// obstacle returns what keeps the task from w.
func (p *placement) obstacle(w *worker, r taskRequest) obstacle {
	s := r.step
	switch {
	case !w.hasLabel(s.Label):
		return lacksLabel
	case s.PerWorker > 0 && r.tasksPerWorker[w] >= s.PerWorker:
		return lacksTaskSlot
	case !s.Reserved().Fits(w.free()):
		return lacksCapacity
	case p.reservedWorkers[w] && !r.restart,
		r.rack != "" && w.rack != r.rack,
		r.tickets != nil && r.tickets[w.info.Worker] == "",
		w.health.onProbation() && (w.hasTrialRun() || (!s.Lasting && r.task != nil && len(r.task.failed) > 0)),
		r.task != nil && r.task.runsOn(w),
		s.Filler && !p.fillerFits(w, s):
		return lacksOther
	}
	return lacksNothing
}

// fillerFits reports whether enough processor time is left for a filler, and
// whether the services beside it bear it.
func (p *placement) fillerFits(w *worker, s *Step) bool {
	if float64(w.fillerCapacity()) < minFillerShare*float64(s.Needs.MilliCPU) {
		return false
	}
	_, bears := p.interference.placementCost(w, s, p.now)
	return bears
}

// score rates a feasible worker.
func (p *placement) score(w *worker, r taskRequest) float64 {
	s := r.step
	capacity := float64(max(w.info.Capacity.MilliCPU, 1))
	score := 0.0
	serving := w.hasServingRun()
	if s.Filler {
		burden, _ := p.interference.placementCost(w, s, p.now)
		score = interferenceBias*burden - float64(w.fillerCapacity())/capacity
	} else {
		score = float64(w.free().MilliCPU-s.Needs.MilliCPU) / capacity
		if !serving {
			score += noServiceBias
		}
		// Work that reserves processors takes them from fillers.
		score += 0.5 * float64(w.fillerMilliCPU) / capacity
	}
	if s.Lasting {
		jobs, images := otherLastingShares(w, s, r.tasksPerWorker[w])
		score += jobBias*jobs + imageBias*images
	}
	if s.Near != "" && w.rack != s.Near {
		score += otherRackBias
	}
	score += p.failurePenalty(w, r)
	if w.health.runTimeRatio > 1.3 {
		score += slowBias * (w.health.runTimeRatio - 1)
	}
	return score
}

// failurePenalty is the cost of a worker whose runs failed, which grows for a task that
// has failed itself, and most where it did.
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

// otherLastingShares returns the shares of the lasting runs on w that are of another step
// than the one with own runs there, and that have another image.
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

// feasibleRacks counts the workers of each rack on which a task fits, and how
// many tasks fit there.
func (p *placement) feasibleRacks(r taskRequest) map[string]int {
	room := map[string]int{}
	for _, w := range p.workers {
		if w.rack != "" && p.feasible(w, r) {
			room[w.rack] += taskCapacity(r.step, w)
		}
	}
	return room
}

// taskCapacity returns how many tasks of a step fit on a worker.
func taskCapacity(s *Step, w *worker) int {
	n := 1 << 20
	free, need := w.free(), s.Reserved()
	for _, d := range [][2]int64{{free.MilliCPU, need.MilliCPU}, {free.MemoryMB, need.MemoryMB}, {free.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, int(d[0]/d[1]))
		}
	}
	if s.Filler && s.Needs.MilliCPU > 0 {
		n = min(n, int(w.fillerCapacity()/s.Needs.MilliCPU))
	}
	if s.PerWorker > 0 {
		n = min(n, s.PerWorker)
	}
	return n
}
