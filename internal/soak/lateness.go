package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// lateInterval is the time between two looks at this process's own timers.
const lateInterval = 20 * time.Millisecond

// Lateness tells how long this process stood still at most: what the machine adds to the faults, as
// the store, the workers and the callers of a run stand still with it.
type Lateness struct {
	// Longest is the longest delay of a timer, At when it fired after the run's start.
	Longest time.Duration `json:"longest"`
	At      time.Duration `json:"at"`
	// Second counts the delays of a second or more.
	Second int `json:"second"`
}

// String describes the lateness on one line of the report.
func (l Lateness) String() string {
	return fmt.Sprintf("own timers at most %.2f s late, at %.2f s; %d times by a second or more", l.Longest.Seconds(), l.At.Seconds(), l.Second)
}

// timerWatch records delays of timers.
type timerWatch struct {
	mu   sync.Mutex
	late Lateness
}

// observe records the delay of a timer that fired at a time after the run's start.
func (w *timerWatch) observe(late, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if late > w.late.Longest {
		w.late.Longest, w.late.At = late, at
	}
	if late >= time.Second {
		w.late.Second++
	}
}

// lateness returns the delays until now.
func (w *timerWatch) lateness() Lateness {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// run observes timers until ctx ends.
func (w *timerWatch) run(ctx context.Context, start time.Time) {
	for due := time.Now().Add(lateInterval); sleepUntil(ctx, due); due = time.Now().Add(lateInterval) {
		w.observe(time.Since(due), time.Since(start))
	}
}
