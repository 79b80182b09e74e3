package routing

import "time"

const (
	// meanWeight is the weight of a new sample in the mean. About 10 samples dominate the
	// mean, so a slowdown shows within a second at 8 slots and a latency of 50 ms.
	meanWeight = 0.2
	// tailQuantile is the quantile that the tail estimate tracks.
	tailQuantile = 0.95
	// tailStep is the step size of the tail estimate relative to the mean.
	tailStep = 0.1
)

// Estimator tracks the latency of one runner by an exponentially weighted moving average and a
// stochastic estimate of a high quantile. It does not allocate.
type Estimator struct {
	mean    float64
	tail    float64
	samples int
}

// Add records one completed request.
func (e *Estimator) Add(d time.Duration) {
	x := float64(d)
	e.samples++
	if e.samples == 1 {
		e.mean, e.tail = x, x
		return
	}
	e.mean += meanWeight * (x - e.mean)
	step := tailStep * e.mean
	if x > e.tail {
		e.tail += step * tailQuantile
	} else {
		e.tail -= step * (1 - tailQuantile)
	}
	e.tail = max(e.tail, e.mean)
}

// Reset replaces all samples by the single sample d.
func (e *Estimator) Reset(d time.Duration) {
	*e = Estimator{mean: float64(d), tail: float64(d), samples: 1}
}

// Mean returns the mean, or 0 without samples.
func (e *Estimator) Mean() time.Duration { return time.Duration(e.mean) }

// Tail returns the estimate of the high quantile, or 0 without samples.
func (e *Estimator) Tail() time.Duration { return time.Duration(e.tail) }

// Samples returns the number of samples since the last reset.
func (e *Estimator) Samples() int { return e.samples }
