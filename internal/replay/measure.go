package replay

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// baseLatencyFactor returns the latency of a service without batch work at a load, relative to
// load 1.
func baseLatencyFactor(load float64) float64 { return max(0.5, 0.7+0.3*load) }

// latencyHistogram accumulates the served traffic by latency factor, with and without batch
// work, in logarithmic bins.
type latencyHistogram struct {
	withBatch, withoutBatch [latencyBins]float64
}

const (
	latencyBins = 1024
	// latencyBinWidth is the logarithmic width of a bin, about half a percent.
	latencyBinWidth = 0.005
	// unitLatencyBin is the bin of the factor 1.
	unitLatencyBin = 200
	// tailFraction is the fraction of requests above the reported tail latency.
	tailFraction = 0.01
)

func (t *latencyHistogram) add(weight, base, slowdown float64) {
	t.withoutBatch[latencyBin(base)] += weight
	t.withBatch[latencyBin(base*slowdown)] += weight
}

func latencyBin(factor float64) int {
	b := unitLatencyBin + int(math.Round(math.Log(factor)/latencyBinWidth))
	return min(max(b, 0), latencyBins-1)
}

// p99 returns the 99th percentile of the latency over all requests in milliseconds. The
// latency distribution is a mixture of log-normal distributions, scaled by the factor of each
// bin.
func (s Service) p99(bins *[latencyBins]float64) float64 {
	total := 0.0
	for _, w := range bins {
		total += w
	}
	if total == 0 {
		return 0
	}
	sigma := math.Log(s.P99/s.P50) / 2.326
	above := func(ms float64) float64 {
		sum := 0.0
		for b, w := range bins {
			if w == 0 {
				continue
			}
			factor := float64(b-unitLatencyBin) * latencyBinWidth
			z := (math.Log(ms/s.P50) - factor) / sigma
			sum += w * math.Erfc(z/math.Sqrt2) / 2
		}
		return sum / total
	}
	low, high := s.P50, 100*s.P99
	for range 60 {
		mid := (low + high) / 2
		if above(mid) > tailFraction {
			low = mid
			continue
		}
		high = mid
	}
	return high
}

// recordMetrics stores the tail latencies and the useful work at the horizon in the outcome.
func (s *sim) recordMetrics(horizon time.Duration) {
	for _, service := range s.trace.Header.Services {
		with, without := service.p99(&s.latency.withBatch), service.p99(&s.latency.withoutBatch)
		m := ServiceTail{Service: service.Name, P99Ms: round(with), AloneMs: round(without)}
		if without > 0 {
			m.Ratio = round(with / without)
		}
		s.out.Services = append(s.out.Services, m)
		s.out.TailRatio = max(s.out.TailRatio, m.Ratio)
	}
	s.out.CoreSeconds = round(s.usefulWork)
	for i := range s.out.outWindows {
		if s.out.outWindows[i].to == 0 {
			s.out.outWindows[i].to = horizon
		}
	}
}

// workDuring returns the useful work done in a window, in core-seconds.
func (s *sim) workDuring(w outWindow) float64 {
	return s.usefulWorkAt(w.to) - s.usefulWorkAt(w.from)
}

func (s *sim) usefulWorkAt(at time.Duration) float64 {
	i := int(at/time.Second) - 1
	if i < 0 || len(s.workSeries) == 0 {
		return 0
	}
	return s.workSeries[min(i, len(s.workSeries)-1)]
}

// outWindow is a period in which a data centre was out of service.
type outWindow struct {
	dc       model.DataCentre
	from, to time.Duration
}

// round limits the precision, so that values are readable and equal on every platform.
func round(v float64) float64 { return math.Round(v*1e6) / 1e6 }
