package fleet

import (
	"math"
	"time"
)

// Constants of the health assessment of workers.
const (
	// quarantineFailures is the number of consecutive failures after which a worker is
	// quarantined. A single one may be the task's own fault.
	quarantineFailures = 2
	// quarantineTime is how long a worker whose runs fail or hang, or that refuses starts, gets
	// no work. It doubles with each consecutive quarantine up to quarantineTimeMax.
	quarantineTime    = 4 * time.Second
	quarantineTimeMax = 16 * time.Second
	// untriedTime is how long after its quarantine a worker gets only tasks that have not failed.
	untriedTime = 1 * time.Second
	// refusalPause is how long a worker gets no work after it answers that it is unhealthy or
	// lacks free capacity.
	refusalPause = 300 * time.Millisecond
	// runTimeWeight is the weight of a new sample in a worker's run time ratio.
	runTimeWeight = 0.4
	// slowRatio is the run time ratio above which a worker counts as slow. The run times of
	// equal tasks alone differ by up to a factor of 1.5.
	slowRatio = 2.2
)

// health is the leader's assessment of a worker by the outcomes of its runs and orders.
type health struct {
	failures      int // consecutive failed runs
	quarantines   int // quarantines without a success in between
	excludedUntil time.Time
	// refusedUntil is until when the worker gets no work because it refused a start.
	refusedUntil time.Time
	// runTimeRatio is the mean ratio of observed to expected run times.
	runTimeRatio float64
	// recovered means that a success has followed the last failure.
	recovered bool
}

func newHealth() health { return health{runTimeRatio: 1} }

// excluded reports whether the worker gets no work at now.
func (h *health) excluded(now time.Time) bool {
	return now.Before(h.excludedUntil) || now.Before(h.refusedUntil)
}

// lastResort reports whether the worker is quarantined or on probation, and may run a lost lasting task for which
// there is no other room. It may not while it refuses starts.
func (h *health) lastResort(now time.Time) bool {
	return h.onProbation() && !now.Before(h.refusedUntil)
}

// recordSuccess records a successful run. ratio is the ratio of its observed to its expected
// run time, or 0 when unknown.
func (h *health) recordSuccess(ratio float64) {
	h.failures, h.quarantines, h.recovered = 0, 0, true
	if ratio > 0 {
		h.observeRunTime(ratio)
	}
}

// observeRunTime adds a sample of the ratio of observed to expected run times.
func (h *health) observeRunTime(ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.1), 20)
	h.runTimeRatio += runTimeWeight * (ratio - h.runTimeRatio)
}

// recordFailure records a failed run, and quarantines the worker after quarantineFailures
// consecutive ones if it may be quarantined.
func (h *health) recordFailure(now time.Time, mayQuarantine bool) {
	h.failures++
	h.recovered = false
	if h.failures >= quarantineFailures && mayQuarantine {
		h.quarantine(now)
	}
}

// quarantine excludes the worker from work for a time that grows with each quarantine. Further
// faults during a quarantine do not lengthen it.
func (h *health) quarantine(now time.Time) {
	h.recovered = false
	if h.excluded(now) && h.quarantines > 0 {
		return
	}
	d := min(quarantineTime<<min(h.quarantines, 4), quarantineTimeMax)
	h.quarantines++
	h.failures = quarantineFailures - 1 // the next failure quarantines it again
	h.excludedUntil = now.Add(d)
}

// exclude excludes the worker from work for refusalPause after it refused a start.
func (h *health) exclude(now time.Time) {
	h.refusedUntil = now.Add(refusalPause)
}

// onProbation reports whether the worker was quarantined and has had no success since. It gets one
// task at a time.
func (h *health) onProbation() bool { return h.quarantines > 0 }

// needsUntried reports whether a worker on probation gets only tasks that have not failed before, as
// a further failure could use up the attempts of a task. It ends with time: there may be no such
// task. Lasting tasks may fail any number of times, so they are excepted.
func (h *health) needsUntried(now time.Time) bool {
	return h.onProbation() && now.Sub(h.excludedUntil) < untriedTime
}

// isSlow reports whether runs take much longer on the worker than elsewhere.
func (h *health) isSlow() bool { return h.runTimeRatio > slowRatio }
