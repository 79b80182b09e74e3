package fleettest

import (
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
