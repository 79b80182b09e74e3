package fleet

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A new leader does not know at first which lasting tasks of earlier terms still run on
// workers that it has not reached. These tasks are unaccounted for. Until the leader knows
// all runs, new services must leave enough capacity free for all of them. Otherwise, where
// services fill the fleet, new ones would take the capacity that the tasks of a lost worker
// need before these may start again.

// unaccountedWorkers counts the workers that may hold runs of earlier terms which this term does
// not know, and returns when the last of their leases ends.
func (t *term) unaccountedWorkers() (int, time.Time) {
	n, until := 0, time.Time{}
	for _, w := range t.workers {
		if t.accountedFor(w) {
			continue
		}
		n++
		if w.inheritedLeaseEnd.After(until) {
			until = w.inheritedLeaseEnd
		}
	}
	return n, until
}

// accountedFor reports whether all runs of earlier terms on w are known.
func (t *term) accountedFor(w *worker) bool {
	switch {
	case !w.inherited:
		return true
	case w.answered && w.endsCut:
		// Tasks may be done by ends that are not listed yet; if w falls silent, its lease decides.
		return w.unansweredCalls > 0 && t.confirmedAt.After(w.leaseEnd())
	}
	return w.answered || w.runsKnown || t.confirmedAt.After(w.inheritedLeaseEnd)
}

// heldTasks counts the tasks without a known run that wait until all runs of earlier terms are
// known.
func (t *term) heldTasks() int {
	n := 0
	for _, j := range t.jobs {
		if !j.inherited || j.over() || j.visibleState.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				if !o.steps[i].readyAt.IsZero() {
					n += o.steps[i].tasksWithoutRun()
				}
			}
		}
	}
	return n
}

// unaccountedServices returns, by service, the needs of lasting tasks that earlier terms may
// have started and that this term has not seen run, in thousandths of a core. It returns nil
// when all runs are known.
func (t *term) unaccountedServices() map[model.ServiceName]int64 {
	if t.allRunsKnown() {
		return nil
	}
	unaccounted := map[model.ServiceName]int64{}
	t.unaccountedSteps(func(j *job, s *stepState, index int) {
		unaccounted[t.queues[j.queue].Service] += int64(s.tasksWithoutRun()) * j.spec.Steps[index].Needs.MilliCPU
	})
	return unaccounted
}

// unaccountedSteps calls visit with the lasting steps that earlier terms may have started.
func (t *term) unaccountedSteps(visit func(j *job, s *stepState, index int)) {
	for _, j := range t.jobs {
		if !j.inherited || j.over() || j.visibleState.Final() || j.movedTo > 0 {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				if j.spec.Steps[i].Lasting && !o.steps[i].readyAt.IsZero() {
					visit(j, &o.steps[i], i)
				}
			}
		}
	}
}

// tasksWithoutRun counts the tasks of a step that are not done, have no known run and are
// not lent.
func (s *stepState) tasksWithoutRun() int {
	n := 0
	for i := range s.tasks {
		if tk := &s.tasks[i]; !tk.done && tk.lentTo == 0 && len(tk.runs) == 0 {
			n++
		}
	}
	return n
}
