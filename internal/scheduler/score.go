package scheduler

import (
	"github.com/vanillapier/vanillapier/internal/model"
)

// Score ranks workers that passed the filters; the lowest cost wins.
type Score interface {
	Name() string
	cost(r *request, h *host) float64
}

// leftOver is the share of the worker that stays free, over processors and
// memory. Low values pack tightly and keep whole workers free for large tasks.
type leftOver struct{}

// Name implements Score.
func (leftOver) Name() string { return "packing" }

func (leftOver) cost(r *request, h *host) float64 {
	left := h.free.Sub(r.task.Spec.Resources)
	return (part(left.MilliCPU, h.Capacity.MilliCPU) + part(left.MemoryMB, h.Capacity.MemoryMB)) / 2
}

// imbalance is the difference between the free shares of processors and memory
// after the placement. A worker that runs out of one dimension strands the other.
type imbalance struct{}

// Name implements Score.
func (imbalance) Name() string { return "balance" }

func (imbalance) cost(r *request, h *host) float64 {
	left := h.free.Sub(r.task.Spec.Resources)
	d := part(left.MilliCPU, h.Capacity.MilliCPU) - part(left.MemoryMB, h.Capacity.MemoryMB)
	return max(d, -d)
}

// slowdown is the increase of the worst expected slowdown of the worker's
// services that the task adds.
type slowdown struct{ model *interference }

// Name implements Score.
func (slowdown) Name() string { return "slowdown" }

func (s slowdown) cost(r *request, h *host) float64 {
	if len(h.services) == 0 {
		return 0
	}
	return s.model.worst(h, r.task) - 1
}

// rackSpread counts the gang's tasks already on the worker's rack, so that the
// loss of a rack stops as few of its tasks as possible.
type rackSpread struct{}

// Name implements Score.
func (rackSpread) Name() string { return "spread" }

func (rackSpread) cost(r *request, h *host) float64 {
	if len(r.unit.tasks) < 2 {
		return 0
	}
	return float64(r.racks[h.Rack]) / float64(len(r.unit.tasks))
}

// weighted is a term of a sum of scores.
type weighted struct {
	score  Score
	weight float64
}

// sum adds weighted scores.
type sum []weighted

// Name implements Score.
func (sum) Name() string { return "sum" }

func (s sum) cost(r *request, h *host) float64 {
	total := 0.0
	for _, w := range s {
		total += w.weight * w.score.cost(r, h)
	}
	return total
}

// Weights of the learned policy. A slowdown of a few percent outweighs any
// difference in packing, because the tail latency of services comes first.
const (
	weightSlowdown = 20.0
	weightPacking  = 1.0
	weightBalance  = 0.5
	weightSpread   = 2.0
)

// chooser picks a worker among candidates, or nil.
type chooser func(r *request, hosts []*host) *host

// byCost returns the chooser that takes the lowest cost, and the lowest id
// among equals.
func byCost(s Score) chooser {
	return func(r *request, hosts []*host) *host {
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

// byID takes the lowest worker id.
func byID(_ *request, hosts []*host) *host {
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
		gradual{s.returned, s.cfg.RampTime},
	}
	switch p {
	case PolicyFirstFit:
		return base, byID, nil
	case PolicyBestFit:
		return base, byCost(leftOver{}), nil
	case PolicyLearned:
		score := sum{
			{slowdown{s.model}, weightSlowdown}, {leftOver{}, weightPacking},
			{imbalance{}, weightBalance}, {rackSpread{}, weightSpread},
		}
		return append(base, headroom{s}, slowdownBudget{s.model, s.cfg.SlowdownBudget, s.cfg.StarveAfter, s.quietSlope}), byCost(score), nil
	}
	return nil, nil, model.Errorf(model.KindInvalid, "use learned, best-fit or first-fit", "policy %q", p)
}
