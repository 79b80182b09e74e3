package fleet

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Work is placed in the order of the least remaining work, so that as many jobs as possible are on time where
// processors are short. Where starts are short, as the leader's host is too small for its cell, that order spends
// each start on the least use, and wide jobs have nothing running beside free processors. While it lasts, work that
// can be on time still goes first, and of the rest one task of each idle job, the longest idle first.

// shortStartsPatience is how long starts must have been short before idle jobs go first. A burst passes without.
const shortStartsPatience = time.Second

// startsAreShort reports whether plans have had more to start for long than calls could begin.
func (t *term) startsAreShort() bool {
	return !t.shortSince.IsZero() && t.now.Sub(t.shortSince) >= shortStartsPatience
}

// startIdleSteps starts one task each of idle jobs with late steps, the longest idle first, in services most of whose
// processors are free. It returns the number of starts: up to a limit that only gangs exceed. Their tasks are
// taken from the steps.
func (t *term) startIdleSteps(pools placements, late []*waitingStep, limit int) int {
	free := map[model.ServiceName]bool{}
	idle := t.idleSteps(late, func(w *waitingStep) bool {
		service := w.queue.Service
		if _, known := free[service]; !known {
			free[service] = t.mostlyFree(service)
		}
		return free[service]
	})
	started, reduced := 0, 0
	atReducedPace := map[*placement][]*waitingStep{}
	for _, i := range idle {
		if started+reduced >= limit {
			break
		}
		p := t.placementOf(pools, i.step.queue.Service)
		if len(p.workers) == 0 || !i.stillIdle() {
			continue
		}
		one := *i.step
		if !one.step.Gang {
			one.tasks = []int{i.task}
		}
		n := t.placeStep(p, &one)
		if started += n; n == 0 && one.state().waits.allowsReducedPace() {
			reduced++
			atReducedPace[p] = append(atReducedPace[p], i.step)
		}
		i.step.dropStarted()
	}
	for p, steps := range atReducedPace {
		started += t.startIdleJobs(p, steps, len(steps))
		for _, w := range steps {
			w.dropStarted()
		}
	}
	return started
}

// dropStarted takes the tasks that a plan has started from a step.
func (w *waitingStep) dropStarted() {
	w.tasks = slices.DeleteFunc(w.tasks, func(i int) bool { return len(w.state().tasks[i].runs) > 0 })
}
