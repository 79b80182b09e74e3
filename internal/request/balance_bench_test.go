package request

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/routing"
)

// contender is a balancer with its settings.
type contender struct {
	name         string
	balancer     func() routing.Balancer
	plain, hedge bool
	inTurn       bool
}

// contenders: round robin in turn waits for the runner whose turn it is, round
// robin skips runners without a free slot.
var contenders = []contender{
	{"round-robin-in-turn", func() routing.Balancer { return &routing.RoundRobin{} }, true, false, true},
	{"round-robin", func() routing.Balancer { return &routing.RoundRobin{} }, true, false, false},
	{"power-of-two", func() routing.Balancer { return routing.PowerOfTwo{} }, true, false, false},
	{"power-of-two+back-off", func() routing.Balancer { return routing.PowerOfTwo{} }, false, false, false},
	{"least-expected", func() routing.Balancer { return routing.LeastExpected{} }, false, false, false},
	{"least-expected+hedge", func() routing.Balancer { return routing.LeastExpected{} }, false, true, false},
}

// scenarios change the speed or number of runners.
var scenarios = []struct {
	name    string
	speed   func(int, time.Duration) float64
	leaveAt time.Duration
	sigma   float64
}{
	{"healthy", nil, 0, 0},
	{"two-slow", twoSlow, 0, 0},
	{"two-slow-steady", twoSlow, 0, 0.1},
	{"noisy-wave", func(r int, at time.Duration) float64 {
		// Batch work slows another eighth of the runners threefold, 4 s at a time.
		if r%8 == int(at/(4*time.Second))%8 {
			return 3
		}
		return 1
	}, 0, 0},
	{"data-centre-leaves", nil, 10 * time.Second, 0},
}

// twoSlow makes two runners ten times slower.
func twoSlow(r int, _ time.Duration) float64 {
	if r%24 == 5 {
		return 10
	}
	return 1
}

// BenchmarkBalance reports latency quantiles for each scenario, load and balancer
// from the queue model in virtual time, seeds 1 to 4 together. Run it with
// -benchtime 1x.
func BenchmarkBalance(b *testing.B) {
	for _, s := range scenarios {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for _, c := range contenders {
				if c.inTurn && s.leaveAt > 0 {
					continue // it has no notion of leaving runners
				}
				b.Run(fmt.Sprintf("%s/load=%.0f%%/%s", s.name, load*100, c.name), func(b *testing.B) {
					for b.Loop() {
						report(b, runSeeds(modelConfig{
							nodes: 8, balancer: c.balancer, plain: c.plain, hedge: c.hedge, inTurn: c.inTurn, load: load, sigma: s.sigma,
							timeout: 5 * time.Second, length: 25 * time.Second, speed: s.speed, leaveAt: s.leaveAt,
						}))
					}
				})
			}
		}
	}
}

// runSeeds runs seeds 1 to 4 side by side and merges their results.
func runSeeds(cfg modelConfig) *queueModel {
	models := make([]*queueModel, 4)
	var wg sync.WaitGroup
	for i := range models {
		wg.Go(func() {
			c := cfg
			c.seed = uint64(i + 1)
			models[i] = newQueueModel(c).run()
		})
	}
	wg.Wait()
	sum := models[0]
	for _, m := range models[1:] {
		sum.latency.Merge(m.latency)
		sum.good += m.good
		sum.offered += m.offered
		sum.refused += m.refused
		sum.late += m.late
		sum.extra += m.extra
	}
	return sum
}

// report prints the results of a run.
func report(b *testing.B, m *queueModel) {
	b.ReportMetric(m.quantile(50), "p50-ms")
	b.ReportMetric(m.quantile(99), "p99-ms")
	b.ReportMetric(m.quantile(99.9), "p99.9-ms")
	b.ReportMetric(100*float64(m.refused)/float64(max(1, m.offered)), "refused-%")
	b.ReportMetric(100*float64(m.late)/float64(max(1, m.offered)), "late-%")
	b.ReportMetric(100*float64(m.extra)/float64(max(1, m.offered)), "hedged-%")
}

// BenchmarkOverload reports the goodput at 150% offered load as a part of what the
// runners can do, in the queue model, seed 1.
func BenchmarkOverload(b *testing.B) {
	for _, c := range contenders {
		b.Run(c.name, func(b *testing.B) {
			var m *queueModel
			for b.Loop() {
				m = newQueueModel(modelConfig{
					nodes: 8, balancer: c.balancer, plain: c.plain, hedge: c.hedge, inTurn: c.inTurn, load: 1.5,
					timeout: 500 * time.Millisecond, length: 20 * time.Second, seed: 1,
				}).run()
			}
			capacity := float64(m.runners*modelSlots) / modelMean.Seconds() * (m.length * 9 / 10).Seconds()
			b.ReportMetric(100*float64(m.good)/capacity, "goodput-%")
			report(b, m)
		})
	}
}
