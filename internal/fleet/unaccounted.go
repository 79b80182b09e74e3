package fleet

import "github.com/vanillapier/vanillapier/internal/model"

// A new leader does not know at first which lasting tasks of earlier terms still run, on
// workers that it has not reached. Until it does, new services leave as much room as all
// of these need: where services fill the fleet, the room that a lost worker's tasks need
// would be taken before they may start again.

// unaccountedServices adds up, by service, what the lasting tasks need that earlier terms may
// have started and nobody has seen, in thousandths of a core; nil when all runs are known.
func (t *term) unaccountedServices() map[model.ServiceName]int64 {
	if t.allRunsKnown() {
		return nil
	}
	unaccounted := map[model.ServiceName]int64{}
	for _, j := range t.jobs {
		if !j.inherited || j.over() || j.visibleState.Final() || j.movedTo > 0 {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				if j.spec.Steps[i].Lasting && !o.steps[i].readyAt.IsZero() {
					unaccounted[t.queues[j.queue].Service] += int64(o.steps[i].unassignedTasks()) * j.spec.Steps[i].Needs.MilliCPU
				}
			}
		}
	}
	return unaccounted
}

// unassignedTasks counts the tasks of a step that are not done, run nowhere and are not lent.
func (s *stepState) unassignedTasks() int {
	n := 0
	for i := range s.tasks {
		if tk := &s.tasks[i]; !tk.done && tk.lentTo == 0 && len(tk.runs) == 0 {
			n++
		}
	}
	return n
}

// leavesRoomFor reports whether a step of new services leaves room for unseen ones.
func (p *placement) leavesRoomFor(w *waitingStep, unaccounted int64) bool {
	if unaccounted == 0 || w.restart || !w.step.Lasting || w.step.Filler {
		return true
	}
	free := int64(0)
	for _, x := range p.workers {
		free += x.free().MilliCPU
	}
	return free-int64(len(w.tasks))*w.step.Needs.MilliCPU >= unaccounted
}
