package routing

import (
	"slices"
	"time"
)

// OutlierConfig tunes the back-off from runners that fail or are slow.
type OutlierConfig struct {
	// Failures is the number of consecutive failures that backs off. Default 3.
	Failures int
	// SlowFactor is the multiple of the typical latency that backs off. Default 3.
	SlowFactor float64
	// SlowSamples is the number of samples at which the factor has doubled; with few
	// samples more is needed to call a runner slow. Default 8.
	SlowSamples int
	// Base and Max bound the back-off, which doubles with each failed probe.
	// Defaults 1s and 30s.
	Base, Max time.Duration
	// MaxOutPercent caps the share of runners that may be out at once. Default 30.
	MaxOutPercent int
}

// provision fills in defaults.
func (c OutlierConfig) provision() OutlierConfig {
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
	if c.MaxOutPercent == 0 {
		c.MaxOutPercent = 30
	}
	return c
}

// outage is the back-off state of one runner.
type outage struct {
	active   bool
	failures int
	backoff  time.Duration
	probeAt  time.Time
	probing  bool
	// slow is true when the runner answers, but too late.
	slow bool
}

// judge updates r's back-off after a result. Slow and failed results back off.
func (p *Pool) judge(r *Runner, now time.Time, latency time.Duration, failed bool) {
	if r.out.active {
		p.judgeProbe(r, now, latency, failed)
		return
	}
	if failed {
		r.out.failures++
	} else {
		r.out.failures = 0
	}
	failing := r.out.failures >= p.outlier.Failures
	if failing || p.slow(r) {
		r.out.slow = !failing
		p.backOff(r, now)
	}
}

// judgeProbe ends or extends the back-off after a result from a backed-off runner.
// Results of requests sent before the back-off count as well.
func (p *Pool) judgeProbe(r *Runner, now time.Time, latency time.Duration, failed bool) {
	r.out.probing = false
	r.out.slow = !failed
	if failed || p.slowLatency(float64(latency)) {
		r.out.backoff = min(2*r.out.backoff, p.outlier.Max)
		r.out.probeAt = now.Add(p.jitter(r.out.backoff))
		return
	}
	r.out = outage{}
	r.est.Reset(latency)
	p.outCount--
	p.place(r)
}

// slow reports whether r's mean is far above the typical latency. The bar is higher
// with few samples: one or two long requests are no sign of a slow runner.
func (p *Pool) slow(r *Runner) bool {
	doubt := 1 + float64(p.outlier.SlowSamples)/float64(max(1, r.est.samples))
	return p.slowLatency(r.est.mean / doubt)
}

// slowLatency reports whether d nanoseconds are far above the typical latency.
func (p *Pool) slowLatency(d float64) bool {
	return p.typical > 0 && d > p.outlier.SlowFactor*float64(p.typical) && d > float64(slowFloor)
}

// slowFloor is the latency below which no runner is called slow: differences of
// a few milliseconds are scheduling noise.
const slowFloor = 5 * time.Millisecond

// backOff takes r out unless too many runners are out already.
func (p *Pool) backOff(r *Runner, now time.Time) {
	if (p.outCount+1)*100 > p.outlier.MaxOutPercent*p.serving() {
		return
	}
	r.out.active = true
	r.out.backoff = p.outlier.Base
	r.out.probeAt = now.Add(p.jitter(p.outlier.Base))
	p.outCount++
	p.place(r)
}

// jitter spreads d over 75% to 125%, so that nodes do not probe in step.
func (p *Pool) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*p.rand.Float64()))
}

// probeDue returns a backed-off runner whose probe is due, or nil.
func (p *Pool) probeDue(now time.Time) *Runner {
	if p.outCount == 0 {
		return nil
	}
	for _, r := range p.outs {
		due := r.out.active && !r.out.probing && !now.Before(r.out.probeAt)
		if due && !r.leaving && r.inFlight < r.limit {
			return r
		}
	}
	return nil
}

// Overflow returns a free runner that is backed off because it is slow, for a
// request that would otherwise wait long or be refused. No runner is returned when
// there is none that is expected to answer within the given time.
func (p *Pool) Overflow(within time.Duration) Choice {
	var best *Runner
	for _, r := range p.outs {
		usable := r.out.active && r.out.slow && !r.leaving && r.inFlight < r.limit
		if usable && overflowMargin*r.est.Mean() <= within && (best == nil || r.est.mean < best.est.mean) {
			best = r
		}
	}
	if best == nil {
		return Choice{Reason: "no-overflow"}
	}
	return p.choose(best, "overflow")
}

// overflowMargin is the multiple of a slow runner's mean latency that must fit
// before the deadline.
const overflowMargin = 2

// updateTypical recomputes the median of the runners' means.
func (p *Pool) updateTypical() {
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
	p.typical = time.Duration(p.scratch[len(p.scratch)/2])
}
