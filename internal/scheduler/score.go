package scheduler

import (
	"github.com/vanillapier/vanillapier/internal/model"
)

// Score ranks workers that pass the filters; the lowest cost wins.
type Score interface {
	Name() string
	cost(r *placementRequest, h *host) float64
}

// remainingFraction is the fraction of the worker that stays free, averaged over processors
// and memory. Low values pack tightly and keep whole workers free for large tasks.
type remainingFraction struct{}

// Name implements Score.
func (remainingFraction) Name() string { return "packing" }

func (remainingFraction) cost(r *placementRequest, h *host) float64 {
	left := h.free.Sub(r.task.Spec.Resources)
	return (fraction(left.MilliCPU, h.Capacity.MilliCPU) + fraction(left.MemoryMB, h.Capacity.MemoryMB)) / 2
}

// imbalance is the difference between the free fractions of processors and memory after
// the placement. A worker that runs out of one resource strands the other.
type imbalance struct{}

// Name implements Score.
func (imbalance) Name() string { return "balance" }

func (imbalance) cost(r *placementRequest, h *host) float64 {
	left := h.free.Sub(r.task.Spec.Resources)
	d := fraction(left.MilliCPU, h.Capacity.MilliCPU) - fraction(left.MemoryMB, h.Capacity.MemoryMB)
	return max(d, -d)
}

// slowdown is the largest expected slowdown, above 1, of the worker's services once the
// task is added.
type slowdown struct{ model *interferenceModel }

// Name implements Score.
func (slowdown) Name() string { return "slowdown" }

func (s slowdown) cost(r *placementRequest, h *host) float64 {
	if len(h.services) == 0 {
		return 0
	}
	return s.model.worstSlowdown(h, r.task) - 1
}

// rackSpread is the fraction of the gang's tasks already on the worker's rack, so that a
// rack failure stops as few of its tasks as possible.
type rackSpread struct{}

// Name implements Score.
func (rackSpread) Name() string { return "spread" }

func (rackSpread) cost(r *placementRequest, h *host) float64 {
	if len(r.unit.tasks) < 2 {
		return 0
	}
	return float64(r.tasksPerRack[h.Rack]) / float64(len(r.unit.tasks))
}

// weightedScore is a term of a sum of scores.
type weightedScore struct {
	score  Score
	weight float64
}

// weightedSum is the sum of weighted scores.
type weightedSum []weightedScore

// Name implements Score.
func (weightedSum) Name() string { return "sum" }

func (s weightedSum) cost(r *placementRequest, h *host) float64 {
	total := 0.0
	for _, w := range s {
		total += w.weight * w.score.cost(r, h)
	}
	return total
}

// Weights of the learned policy. A slowdown of a few percent outweighs any difference in
// packing, because the tail latency of services has priority.
const (
	weightSlowdown = 20.0
	weightPacking  = 1.0
	weightBalance  = 0.5
	weightSpread   = 2.0
)

// chooser selects one of the candidate workers; it returns nil when there are none.
type chooser func(r *placementRequest, hosts []*host) *host

// lowestCost returns a chooser that selects the worker with the lowest cost; ties go to
// the lowest id.
func lowestCost(s Score) chooser {
	return func(r *placementRequest, hosts []*host) *host {
		var best *host
		lowest := 0.0
		for _, h := range hosts {
			c := s.cost(r, h)
			if best == nil || c < lowest || (c == lowest && h.ID < best.ID) {
				best, lowest = h, c
			}
		}
		return best
	}
}

// lowestID selects the worker with the lowest id.
func lowestID(_ *placementRequest, hosts []*host) *host {
	var best *host
	for _, h := range hosts {
		if best == nil || h.ID < best.ID {
			best = h
		}
	}
	return best
}

// policyOf returns the filters and the chooser of a policy.
func (s *Scheduler) policyOf(p Policy) ([]Filter, chooser, error) {
	base := []Filter{
		inService{}, notHeld{}, notQuarantined{}, notAvoided{s.retries},
		rampUp{s.returnedAt, s.cfg.RampTime},
	}
	switch p {
	case PolicyFirstFit:
		return base, lowestID, nil
	case PolicyBestFit:
		return base, lowestCost(remainingFraction{}), nil
	case PolicyLearned:
		score := weightedSum{
			{slowdown{s.interference}, weightSlowdown}, {remainingFraction{}, weightPacking},
			{imbalance{}, weightBalance}, {rackSpread{}, weightSpread},
		}
		return append(base, headroom{s}, slowdownBudget{s.interference, s.cfg.SlowdownBudget, s.cfg.StarveAfter, s.lowInterferenceSlope}), lowestCost(score), nil
	}
	return nil, nil, model.Errorf(model.KindInvalid, "use learned, best-fit or first-fit", "policy %q", p)
}
