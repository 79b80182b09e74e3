package fleet

import (
	"math"
	"time"
)

// Constants of the judgement of workers.
const (
	// failuresToRest is how many failures in a row rest a worker. One may be the
	// task's own fault.
	failuresToRest = 2
	// restTime is how long a worker that fails, hangs or refuses gets no work; it
	// doubles with each rest in a row up to restMax.
	restTime = 4 * time.Second
	restMax  = 16 * time.Second
	// refusalRest follows an answer that the worker is unhealthy or has no room.
	refusalRest = 300 * time.Millisecond
	// slowWeight is the weight of a new sample of a worker's speed.
	slowWeight = 0.4
	// slowFactor is the ratio of run times that marks a worker as slow. Sizes of
	// equal tasks differ by up to a factor of 1.5.
	slowFactor = 2.2
)

// health is what the leader has seen of a worker's conduct.
type health struct {
	failures int // failed runs in a row
	rests    int // rests without a success in between
	until    time.Time
	// slow is the mean ratio of observed to expected run times.
	slow float64
	// trusted is true after a success that followed the last failure.
	trusted bool
}

func newHealth() health { return health{slow: 1} }

// resting reports whether the worker gets no work at now.
func (h *health) resting(now time.Time) bool { return now.Before(h.until) }

// succeeded notes a run that ended done; ratio is its observed to its expected
// time, 0 when unknown.
func (h *health) succeeded(ratio float64) {
	h.failures, h.rests, h.trusted = 0, 0, true
	if ratio > 0 {
		h.observe(ratio)
	}
}

// observe adds a sample of the worker's speed.
func (h *health) observe(ratio float64) {
	ratio = math.Min(math.Max(ratio, 0.1), 20)
	h.slow += slowWeight * (ratio - h.slow)
}

// failed notes a failed run and rests the worker when several failed in a row.
func (h *health) failed(now time.Time) {
	h.failures++
	h.trusted = false
	if h.failures >= failuresToRest {
		h.rest(now)
	}
}

// rest keeps work away from the worker for a time that grows with each rest. Runs
// that show the same trouble during a rest do not lengthen it.
func (h *health) rest(now time.Time) {
	h.trusted = false
	if h.resting(now) && h.rests > 0 {
		return
	}
	d := min(restTime<<min(h.rests, 4), restMax)
	h.rests++
	h.failures = failuresToRest - 1 // the next failure rests it again
	h.until = now.Add(d)
}

// pause keeps work away for a short time, after a refusal.
func (h *health) pause(now time.Time) {
	if until := now.Add(refusalRest); until.After(h.until) {
		h.until = until
	}
}

// onProbation reports whether the worker has rested and not succeeded since. It
// gets one task at a time, and none whose budget a further failure would strain.
func (h *health) onProbation() bool { return h.rests > 0 }

// isSlow reports whether runs take much longer on the worker than elsewhere.
func (h *health) isSlow() bool { return h.slow > slowFactor }
