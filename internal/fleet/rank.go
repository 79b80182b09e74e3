package fleet

import "slices"

// ranking holds the scores of the workers for the tasks of one step. A start changes the score of its own
// worker only, so a step with many tasks looks at all workers once.
type ranking struct {
	placement *placement
	scores    []float64
	obstacles []obstacle
}

// rank returns the scores for a task of a step that has no history.
func (p *placement) rank(r taskRequest) *ranking {
	k := &ranking{p, make([]float64, len(p.workers)), make([]obstacle, len(p.workers))}
	r.task = nil
	for i := range p.workers {
		k.compute(i, r)
	}
	return k
}

func (k *ranking) compute(i int, r taskRequest) {
	w := k.placement.workers[i]
	if k.obstacles[i] = k.placement.obstacle(w, r); k.obstacles[i] == lacksNothing {
		k.scores[i] = k.placement.score(w, r)
	}
}

// update computes the score of a worker again on which a task of the step has started.
func (k *ranking) update(w *worker, r taskRequest) {
	r.task = nil
	k.compute(slices.Index(k.placement.workers, w), r)
}

// find is findWorker for a task of the step.
func (k *ranking) find(r taskRequest) (*worker, obstacle) {
	if len(r.task.failed) > 0 || len(r.task.runs) > 0 || len(r.task.crashes) > 0 {
		return k.placement.findWorker(r)
	}
	best, furthest := -1, lacksLabel
	for i, o := range k.obstacles {
		if o != lacksNothing {
			furthest = max(furthest, o)
		} else if best < 0 || k.scores[i] < k.scores[best] {
			best = i
		}
	}
	if best < 0 {
		return nil, furthest
	}
	return k.placement.workers[best], lacksNothing
}
