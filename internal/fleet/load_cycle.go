package fleet

import (
	"math"
	"slices"
	"time"
)

// The load of many services comes in waves, and so does their headroom. A filler runs for some
// seconds, in which a wave may turn: the headroom that it will find is forecast by a sine wave
// fitted to the reports of the service. The fit is used only while it forecasts better than a
// linear trend, so loads without a period are not affected.

// Constants of the forecast of periodic load.
const (
	// cycleSampleGap is the least time between two samples; values in between are averaged.
	cycleSampleGap = 250 * time.Millisecond
	// cycleHistory is how long samples are kept.
	cycleHistory = 40 * time.Second
	// minCycleSamples is the least number of samples of a fit.
	minCycleSamples = 8
	// cycleRefit is the least time between two fits.
	cycleRefit = time.Second
	// shortestCycle and longestCycle bound the periods that are tried, and cycleStep is the
	// factor between two of them. A longer cycle is nearly linear over the horizon of a
	// forecast.
	shortestCycle = 4 * time.Second
	longestCycle  = 30 * time.Second
	cycleStep     = 1.1
	// cycleSpan is the least length of a history, in periods of the fitted cycle.
	cycleSpan = 0.7
	// cycleCheck is how far ahead forecasts are made to compare the cycle with the trend, and
	// cycleErrorWeight is the least weight of a new comparison.
	cycleCheck       = 1500 * time.Millisecond
	cycleErrorWeight = 0.15
	// minCycleChecks is the least number of comparisons after which a cycle is used.
	minCycleChecks = 3
	// goodCycleError is the share of the mean's error below which a cycle explains most of the
	// load.
	goodCycleError = 0.6
)

// cycle is a sine wave with an offset.
type cycle struct {
	period         time.Duration // 0 for no cycle
	origin         time.Time
	mean, cos, sin float64
}

// at returns the value of the wave.
func (c *cycle) at(t time.Time) float64 {
	sin, cos := math.Sincos(2 * math.Pi * t.Sub(c.origin).Seconds() / c.period.Seconds())
	return c.mean + c.cos*cos + c.sin*sin
}

// lowest returns the least value of the wave in an interval.
func (c *cycle) lowest(from, to time.Time) float64 {
	low := min(c.at(from), c.at(to))
	// The trough is half a period after the crest.
	crest := math.Atan2(c.sin, c.cos) / (2 * math.Pi)
	phase := from.Sub(c.origin).Seconds()/c.period.Seconds() - crest - 0.5
	untilTrough := (math.Ceil(phase) - phase) * c.period.Seconds()
	if untilTrough <= to.Sub(from).Seconds() {
		return c.mean - math.Hypot(c.cos, c.sin)
	}
	return low
}

// cycleSample is the mean of the values within cycleSampleGap.
type cycleSample struct {
	at    time.Time
	value float64
	count int
	// cycleForecast, trendForecast and meanForecast are the values that were expected, when the
	// sample was taken, for cycleCheck later.
	cycleForecast, trendForecast, meanForecast float64
	checked                                    bool
}

// fitCycle returns the wave with a period that fits the samples best, and the sum of its
// squared errors. It fails if the samples do not determine the wave.
func fitCycle(samples []cycleSample, period time.Duration) (cycle, float64, bool) {
	c := cycle{period: period, origin: samples[0].at}
	omega := 2 * math.Pi / period.Seconds()
	a, b := [][]float64{make([]float64, 3), make([]float64, 3), make([]float64, 3)}, make([]float64, 3)
	squares := 0.0
	for i := range samples {
		s := &samples[i]
		sin, cos := math.Sincos(omega * s.at.Sub(c.origin).Seconds())
		x := [3]float64{1, cos, sin}
		for k := range x {
			for m := range x {
				a[k][m] += x[k] * x[m]
			}
			b[k] += x[k] * s.value
		}
		squares += s.value * s.value
	}
	sums := slices.Clone(b)
	x, ok := solveLinear(a, b)
	if !ok {
		return cycle{}, 0, false
	}
	c.mean, c.cos, c.sin = x[0], x[1], x[2]
	return c, squares - x[0]*sums[0] - x[1]*sums[1] - x[2]*sums[2], true
}

// bestCycle returns the wave that fits the samples best among those with a period that the
// samples span. A known period restricts the search to its neighbours.
func bestCycle(samples []cycleSample, known time.Duration) cycle {
	span := samples[len(samples)-1].at.Sub(samples[0].at)
	best, bestError := cycle{}, math.Inf(1)
	try := func(period time.Duration) {
		if cycleSpan*float64(period) > float64(span) {
			return
		}
		if c, e, ok := fitCycle(samples, period); ok && e < bestError {
			best, bestError = c, e
		}
	}
	if known > 0 {
		for _, factor := range []float64{0.98, 1, 1.02} {
			try(time.Duration(factor * float64(known)))
		}
		return best
	}
	for p := float64(shortestCycle); p <= float64(longestCycle); p *= cycleStep {
		try(time.Duration(p))
	}
	return best
}

// cycleForecast forecasts a value that may be periodic, such as the load of a service whose
// users come in waves. It keeps comparing its forecasts with those of a linear trend and with
// the mean, of which one is better for loads without a period.
type cycleForecast struct {
	samples  []cycleSample
	fitted   cycle
	fittedAt time.Time
	checks   int
	// Mean squared errors of the forecasts.
	cycleError, trendError, meanError float64
}

// observe adds a value. The linear trend expects the value trendForecast at cycleCheck after
// now.
func (f *cycleForecast) observe(value, trendForecast float64, now time.Time) {
	if n := len(f.samples); n > 0 && now.Sub(f.samples[n-1].at) < cycleSampleGap {
		s := &f.samples[n-1]
		s.count++
		s.value += (value - s.value) / float64(s.count)
		return
	}
	f.compareForecasts()
	f.samples = slices.DeleteFunc(f.samples, func(s cycleSample) bool { return now.Sub(s.at) > cycleHistory })
	if len(f.samples) >= minCycleSamples && now.Sub(f.fittedAt) >= cycleRefit {
		f.fitted, f.fittedAt = bestCycle(f.samples, f.period()), now
	}
	s := cycleSample{at: now, value: value, count: 1, trendForecast: trendForecast, checked: f.fitted.period == 0}
	if !s.checked {
		s.cycleForecast, s.meanForecast = f.fitted.at(now.Add(cycleCheck)), f.mean()
	}
	f.samples = append(f.samples, s)
}

func (f *cycleForecast) mean() float64 {
	sum := 0.0
	for i := range f.samples {
		sum += f.samples[i].value
	}
	return sum / float64(len(f.samples))
}

// compareForecasts compares the forecasts for the time of the newest sample with its value.
func (f *cycleForecast) compareForecasts() {
	n := len(f.samples)
	if n == 0 {
		return
	}
	newest := &f.samples[n-1]
	for i := n - 2; i >= 0; i-- {
		s := &f.samples[i]
		age := newest.at.Sub(s.at)
		if age < cycleCheck {
			continue
		}
		if s.checked || age > cycleCheck+2*cycleSampleGap {
			return
		}
		s.checked = true
		f.checks++
		weight := max(cycleErrorWeight, 1/float64(f.checks))
		update := func(e *float64, forecast float64) {
			miss := forecast - newest.value
			*e += weight * (miss*miss - *e)
		}
		update(&f.cycleError, s.cycleForecast)
		update(&f.trendError, s.trendForecast)
		update(&f.meanError, s.meanForecast)
	}
}

// period returns the period of a reliable cycle, or 0.
func (f *cycleForecast) period() time.Duration {
	if f.reliable() {
		return f.fitted.period
	}
	return 0
}

// reliable reports whether the cycle has made better forecasts than the trend.
func (f *cycleForecast) reliable() bool {
	return f.fitted.period > 0 && f.checks >= minCycleChecks && f.cycleError < f.trendError
}

// good reports whether the cycle has made much better forecasts than the mean.
func (f *cycleForecast) good() bool { return f.cycleError < goodCycleError*f.meanError }
