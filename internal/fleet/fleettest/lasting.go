package fleettest

import (
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Span is a period of time, or a moment if both ends are equal.
type Span struct{ From, To time.Time }

// LastingRuns returns the runs of all lasting tasks so far; those that have not ended reach until
// now.
func (l *RunChecker) LastingRuns() map[fleet.TaskName][]Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[fleet.TaskName][]Span{}
	for task, ended := range l.lastingRuns {
		runs[task] = append(runs[task], ended...)
	}
	for k, r := range l.runs {
		if r.lasting {
			runs[k.ref.Task] = append(runs[k.ref.Task], Span{r.startedAt, time.Now()})
		}
	}
	return runs
}

// LastingWorkers returns the workers on which lasting tasks run.
func (l *RunChecker) LastingWorkers() map[model.WorkerID]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	workers := map[model.WorkerID]bool{}
	for k, r := range l.runs {
		if r.lasting {
			workers[k.worker.Info.Worker] = true
		}
	}
	return workers
}

// Room returns how many tasks with the given needs would fit on the workers that are up.
func (f *Workers) Room(needs model.Resources) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := 0
	for _, w := range f.workers {
		for used := w.used().Add(needs); used.Fits(w.Info.Capacity); used = used.Add(needs) {
			room++
		}
	}
	return room
}

// RoomBesideLasting returns how many tasks with the given needs would fit on some workers once only lasting tasks
// run there.
func (f *Workers) RoomBesideLasting(workers []*Worker, needs model.Resources) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := 0
	for _, w := range workers {
		used := needs
		for _, k := range w.runs {
			if k.task.Lasting {
				used = used.Add(k.reserved())
			}
		}
		for ; used.Fits(w.Info.Capacity); used = used.Add(needs) {
			room++
		}
	}
	return room
}

// RunsTask reports whether a task runs on w whose name begins with a prefix.
func (f *Workers) RunsTask(w *Worker, prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for ref := range w.runs {
		if strings.HasPrefix(string(ref.Task), prefix) {
			return true
		}
	}
	return false
}
