package fleet

import (
	"math"
	"time"
)

// Constants of the judgement of workers.
const (
	// quarantineFailures is how many failures in a row rest a worker. One may be the
	// task's own fault.
	quarantineFailures = 2
	// quarantineTime is how long a worker that fails, hangs or refuses gets no work; it
	// doubles with each rest in a row up to quarantineTimeMax.
	quarantineTime    = 4 * time.Second
	quarantineTimeMax = 16 * time.Second
	// refusalPause follows an answer that the worker is unhealthy or has no room.
	refusalPause = 300 * time.Millisecond
	// runTimeWeight is the weight of a new sample of a worker's speed.
	runTimeWeight = 0.4
	// slowRatio is the ratio of run times that marks a worker as slow. Sizes of
	// equal tasks differ by up to a factor of 1.5.
	slowRatio = 2.2
)

// health is what the leader has seen of a worker's conduct.
type health struct {
	failures      int // failed runs in a row
	quarantines   int // rests without a success in between
	excludedUntil time.Time
	// runTimeRatio is the mean ratio of observed to expected run times.
	runTimeRatio float64
	// recovered is true after a success that followed the last failure.
	recovered bool
}

func newHealth() health { return health{runTimeRatio: 1} }

// excluded reports whether the worker gets no work at now.
func (h *health) excluded(now time.Time) bool { return now.Before(h.excludedUntil) }

// recordSuccess notes a run that ended done; ratio is its observed to its expected
// time, 0 when unknown.
func (h *health) recordSuccess(ratio float64) {
	h.failures, h.quarantines, h.recovered = 0, 0, true
	if ratio > 0 {
		h.observeRunTime(ratio)
	}
}

// observeRunTime adds a sample of the worker's speed.
func (h *health) observeRunTime(ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.1), 20)
	h.runTimeRatio += runTimeWeight * (ratio - h.runTimeRatio)
}

// recordFailure notes a failed run and rests the worker when several failed in a row.
func (h *health) recordFailure(now time.Time) {
	h.failures++
	h.recovered = false
	if h.failures >= quarantineFailures {
		h.quarantine(now)
	}
}

// quarantine keeps work away from the worker for a time that grows with each quarantine. Runs
// that show the same trouble during a quarantine do not lengthen it.
func (h *health) quarantine(now time.Time) {
	h.recovered = false
	if h.excluded(now) && h.quarantines > 0 {
		return
	}
	d := min(quarantineTime<<min(h.quarantines, 4), quarantineTimeMax)
	h.quarantines++
	h.failures = quarantineFailures - 1 // the next failure rests it again
	h.excludedUntil = now.Add(d)
}

// exclude keeps work away for a short time, after a refusal.
func (h *health) exclude(now time.Time) {
	if until := now.Add(refusalPause); until.After(h.excludedUntil) {
		h.excludedUntil = until
	}
}

// onProbation reports whether the worker has rested and not succeeded since. It
// gets one task at a time, and none whose budget a further failure would strain.
func (h *health) onProbation() bool { return h.quarantines > 0 }

// isSlow reports whether runs take much longer on the worker than elsewhere.
func (h *health) isSlow() bool { return h.runTimeRatio > slowRatio }
