package replay

import (
	"math"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// latencyAt returns the factor of a service's latency at a load, without batch.
func latencyAt(load float64) float64 { return max(0.5, 0.7+0.3*load) }

// tail accumulates how much traffic was served at which latency factor, with
// and without batch work, in logarithmic bins.
type tail struct {
	with, without [tailBins]float64
}

const (
	tailBins = 1024
	// tailStep is the width of a bin: half a percent.
	tailStep = 0.005
	// tailOffset is the bin of the factor 1.
	tailOffset = 200
	// tailQuantile is the part of requests above which latency is measured.
	tailQuantile = 0.01
)

func (t *tail) add(weight, base, slowdown float64) {
	t.without[tailBin(base)] += weight
	t.with[tailBin(base*slowdown)] += weight
}

func tailBin(factor float64) int {
	b := tailOffset + int(math.Round(math.Log(factor)/tailStep))
	return min(max(b, 0), tailBins-1)
}

// p99 returns the 99th percentile of the latency in milliseconds over all
// requests: a mixture of log-normal distributions scaled by each bin's factor.
func (s Service) p99(bins *[tailBins]float64) float64 {
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
			factor := float64(b-tailOffset) * tailStep
			z := (math.Log(ms/s.P50) - factor) / sigma
			sum += w * math.Erfc(z/math.Sqrt2) / 2
		}
		return sum / total
	}
	low, high := s.P50, 100*s.P99
	for range 60 {
		mid := (low + high) / 2
		if above(mid) > tailQuantile {
			low = mid
			continue
		}
		high = mid
	}
	return high
}

// measure takes the measures at the horizon.
func (s *sim) measure(horizon time.Duration) {
	for _, service := range s.trace.Header.Services {
		with, without := service.p99(&s.tail.with), service.p99(&s.tail.without)
		m := ServiceTail{Service: service.Name, P99Ms: round(with), AloneMs: round(without)}
		if without > 0 {
			m.Ratio = round(with / without)
		}
		s.out.Services = append(s.out.Services, m)
		s.out.TailRatio = max(s.out.TailRatio, m.Ratio)
	}
	s.out.CoreSeconds = round(s.useful)
	for i := range s.out.windows {
		if s.out.windows[i].to == 0 {
			s.out.windows[i].to = horizon
		}
	}
}

// workIn returns the work done in a window, in core-seconds.
func (s *sim) workIn(w window) float64 {
	return s.usefulAt(w.to) - s.usefulAt(w.from)
}

func (s *sim) usefulAt(at time.Duration) float64 {
	i := int(at/time.Second) - 1
	if i < 0 || len(s.series) == 0 {
		return 0
	}
	return s.series[min(i, len(s.series)-1)]
}

// window is a time in which a data centre was out.
type window struct {
	dc       model.DataCentre
	from, to time.Duration
}

// round keeps figures readable and equal on every platform.
func round(v float64) float64 { return math.Round(v*1e6) / 1e6 }
