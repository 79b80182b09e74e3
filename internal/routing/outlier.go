package routing

import (
	"slices"
	"time"
)

// OutlierConfig configures the backoff from runners that fail or are slow.
type OutlierConfig struct {
	// Failures is the number of consecutive failures that triggers the backoff. Default 3.
	Failures int
	// SlowFactor is the multiple of the median latency above which a runner is slow.
	// Default 3.
	SlowFactor float64
	// SlowSamples is the number of samples at which the threshold is twice SlowFactor. The
	// threshold is higher with fewer samples. Default 8.
	SlowSamples int
	// Base and Max are the first and the longest backoff delay. The delay doubles with
	// each failed probe. Defaults 1s and 30s.
	Base, Max time.Duration
	// MaxBackedOffPercent limits the percentage of runners that may be backed off at the
	// same time. Default 30.
	MaxBackedOffPercent int
}

// withDefaults returns c with defaults in place of zero values.
func (c OutlierConfig) withDefaults() OutlierConfig {
	if c.Failures == 0 {
		c.Failures = 3
	}
	if c.SlowFactor == 0 {
		c.SlowFactor = 3
	}
	if c.SlowSamples == 0 {
		c.SlowSamples = 8
	}
	if c.Base == 0 {
		c.Base = time.Second
	}
	if c.Max == 0 {
		c.Max = 30 * time.Second
	}
	if c.MaxBackedOffPercent == 0 {
		c.MaxBackedOffPercent = 30
	}
	return c
}

// backoffState is the backoff state of one runner.
type backoffState struct {
	active   bool
	failures int
	delay    time.Duration
	probeAt  time.Time
	probing  bool
	// slow is true when the last results were slow rather than failed.
	slow bool
}

// recordResult updates r's backoff after a result. Consecutive failures or a slow mean
// latency trigger it.
func (p *Pool) recordResult(r *Runner, now time.Time, latency time.Duration, failed bool) {
	if r.backoff.active {
		p.recordProbeResult(r, now, latency, failed)
		return
	}
	if failed {
		r.backoff.failures++
	} else {
		r.backoff.failures = 0
	}
	failing := r.backoff.failures >= p.outlierConfig.Failures
	if failing || p.isSlow(r) {
		r.backoff.slow = !failing
		p.backOff(r, now)
	}
}

// recordProbeResult ends or extends the backoff after a result from a backed-off runner. This
// includes the results of requests that were sent before the backoff.
func (p *Pool) recordProbeResult(r *Runner, now time.Time, latency time.Duration, failed bool) {
	r.backoff.probing = false
	r.backoff.slow = !failed
	if failed || p.isSlowLatency(float64(latency)) {
		r.backoff.delay = min(2*r.backoff.delay, p.outlierConfig.Max)
		r.backoff.probeAt = now.Add(p.jitter(r.backoff.delay))
		return
	}
	r.backoff = backoffState{}
	r.est.Reset(latency)
	p.backedOffCount--
	p.updateFree(r)
}

// isSlow reports whether r's mean latency is far above the median. The threshold is higher with
// few samples, because one or two long requests do not make a runner slow.
func (p *Pool) isSlow(r *Runner) bool {
	tolerance := 1 + float64(p.outlierConfig.SlowSamples)/float64(max(1, r.est.samples))
	return p.isSlowLatency(r.est.mean / tolerance)
}

// isSlowLatency reports whether a latency of d nanoseconds is far above the median.
func (p *Pool) isSlowLatency(d float64) bool {
	return p.medianLatency > 0 && d > p.outlierConfig.SlowFactor*float64(p.medianLatency) && d > float64(minSlowLatency)
}

// minSlowLatency is the latency up to which no runner counts as slow: differences of a few
// milliseconds are scheduling noise.
const minSlowLatency = 5 * time.Millisecond

// backOff starts a backoff from r unless too many runners are backed off already.
func (p *Pool) backOff(r *Runner, now time.Time) {
	if (p.backedOffCount+1)*100 > p.outlierConfig.MaxBackedOffPercent*p.serving() {
		return
	}
	r.backoff.active = true
	r.backoff.delay = p.outlierConfig.Base
	r.backoff.probeAt = now.Add(p.jitter(p.outlierConfig.Base))
	p.backedOffCount++
	p.updateFree(r)
}

// jitter returns a random duration from 75% to 125% of d, so that nodes do not probe at the same
// time.
func (p *Pool) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*p.rand.Float64()))
}

// probeDue returns a backed-off runner whose probe is due, or nil.
func (p *Pool) probeDue(now time.Time) *Runner {
	if p.backedOffCount == 0 {
		return nil
	}
	for _, r := range p.backedOff {
		due := r.backoff.active && !r.backoff.probing && !now.Before(r.backoff.probeAt)
		if due && !r.leaving && r.inFlight < r.limit {
			return r
		}
	}
	return nil
}

// Overflow returns a free runner that is backed off because it is slow, for a request that would
// otherwise wait long or be refused. It returns no runner if none is expected to respond within
// the given time.
func (p *Pool) Overflow(within time.Duration) Choice {
	var best *Runner
	for _, r := range p.backedOff {
		usable := r.backoff.active && r.backoff.slow && !r.leaving && r.inFlight < r.limit
		if usable && overflowMargin*r.est.Mean() <= within && (best == nil || r.est.mean < best.est.mean) {
			best = r
		}
	}
	if best == nil {
		return Choice{Reason: "no-overflow"}
	}
	return p.choiceOf(best, "overflow")
}

// overflowMargin is the multiple of a slow runner's mean latency that must fit within the time
// given to Overflow.
const overflowMargin = 2

// updateMedianLatency recomputes the median of the runners' mean latencies.
func (p *Pool) updateMedianLatency() {
	p.scratch = p.scratch[:0]
	for _, r := range p.order {
		if r.est.samples > 0 && !r.leaving {
			p.scratch = append(p.scratch, r.est.mean)
		}
	}
	if len(p.scratch) == 0 {
		return
	}
	slices.Sort(p.scratch)
	p.medianLatency = time.Duration(p.scratch[len(p.scratch)/2])
}
