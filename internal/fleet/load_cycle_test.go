package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// TestCycleLowest compares the least value of a wave with a search.
func TestCycleLowest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := cycle{origin: epoch, period: time.Duration(rapid.Int64Range(4000, 30_000).Draw(t, "period")) * time.Millisecond,
			mean: rapid.Float64Range(-5, 5).Draw(t, "mean"), cos: rapid.Float64Range(-3, 3).Draw(t, "cos"), sin: rapid.Float64Range(-3, 3).Draw(t, "sin")}
		from := at(rapid.Float64Range(0, 100).Draw(t, "from"))
		length := rapid.Float64Range(0, 40).Draw(t, "length")
		found := math.Inf(1)
		const points = 2000
		for i := range points + 1 {
			found = min(found, c.at(from.Add(time.Duration(length*float64(i)/points*float64(time.Second)))))
		}
		got := c.lowest(from, from.Add(time.Duration(length*float64(time.Second))))
		require.LessOrEqual(t, got, found+1e-6)
		require.InDelta(t, found, got, 0.01, "within the distance of two points of the search")
	})
}

// waveHeadroom is the headroom of a service whose load comes in waves of 10 s.
func waveHeadroom(s float64) float64 { return 2.6 + math.Sin(2*math.Pi*s/10) }

// observeFor feeds a trend with readings of a service for a time. Readings have errors of
// some percent, as the workers report them.
func observeFor(l *headroomTrend, seconds float64, value func(s float64) float64) time.Time {
	random := rand.New(rand.NewPCG(3, 1))
	now := 0.0
	for ; now < seconds; now += 0.15 + 0.2*random.Float64() {
		l.observe(value(now)*(0.92+0.16*random.Float64()), 4, at(now))
	}
	return at(now)
}

// Load in waves: fillers start in a trough of the load and still run at the next peak. The
// prediction must see the peak, which a linear trend cannot.
func TestPeriodicHeadroomIsPredicted(t *testing.T) {
	var l headroomTrend
	end := observeFor(&l, 15, waveHeadroom)
	require.True(t, l.cycle.reliable())
	require.InDelta(t, 10, l.cycle.fitted.period.Seconds(), 0.5)
	sample := headroomSample{reportedAt: end, baseline: waveHeadroom(end.Sub(epoch).Seconds())}
	for ahead := 0.0; ahead < 10; ahead += 0.25 {
		now := end.Add(time.Duration(ahead * float64(time.Second)))
		_, later := l.predict(&sample, now)
		low := math.Inf(1)
		for s := 0.0; s <= cycleHorizon.Seconds(); s += 0.05 {
			low = min(low, waveHeadroom(now.Sub(epoch).Seconds()+s))
		}
		require.InDelta(t, low, later, 0.3, "a third of the amplitude, %v s after the last report", ahead)
	}
}

// A load that jumps at random has no period. The prediction must follow it as closely as the
// linear trend does.
func TestIrregularHeadroomIsFollowed(t *testing.T) {
	misses, trendMisses := 0.0, 0.0
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 2))
		level, next := 2.5, 0.0
		h := newInterference()
		r := testRun(testWorker("w"), &Step{Count: 1, Lasting: true, Image: "s", LatencyTarget: 100 * time.Millisecond, Needs: model.Resources{MilliCPU: 4000}}, 0)
		r.percent = readyPercent
		for now := 0.0; now < 40; now += 0.15 + 0.2*random.Float64() {
			for ; next <= now; next += 2 {
				level = 1.5 + 2*random.Float64()
			}
			l := h.trendOf(r)
			if now > 10 {
				soon, _ := l.predict(&r.lastSample, at(now))
				misses += math.Abs(soon - level)
				trend := *l
				trend.cycle = cycleForecast{}
				soon, _ = trend.predict(&r.lastSample, at(now))
				trendMisses += math.Abs(soon - level)
			}
			r.reading = int(100 / (level * (0.92 + 0.16*random.Float64())))
			h.observe(r, at(now))
		}
	}
	require.Less(t, misses, 1.1*trendMisses)
}

// The forecast of a load that stops coming in waves gives way to the trend.
func TestEndedCycleIsDropped(t *testing.T) {
	var l headroomTrend
	observeFor(&l, 60, func(s float64) float64 {
		if s < 30 {
			return waveHeadroom(s)
		}
		return 2.6
	})
	c := l.cycle.fitted
	require.True(t, !l.cycle.reliable() || math.Hypot(c.cos, c.sin) < 0.6, "%+v", c)
}

// TestCycleHistoryIsBounded checks the size of the state of a service that reports often.
func TestCycleHistoryIsBounded(t *testing.T) {
	var f cycleForecast
	for i := range 20_000 {
		f.observe(waveHeadroom(float64(i)*0.01), 0, at(float64(i)*0.01))
	}
	require.LessOrEqual(t, len(f.samples), int(cycleHistory/cycleSampleGap)+2)
}
