package request

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/routing"
)

// balancerSetup is a balancer with its settings.
type balancerSetup struct {
	name             string
	balancer         func() routing.Balancer
	noBackoff, hedge bool
	strictTurn       bool
}

// balancerSetups lists the compared balancers. The strict round robin waits for the runner
// whose turn it is; the other one skips runners without a free slot.
var balancerSetups = []balancerSetup{
	{"round-robin-in-turn", func() routing.Balancer { return &routing.RoundRobin{} }, true, false, true},
	{"round-robin", func() routing.Balancer { return &routing.RoundRobin{} }, true, false, false},
	{"power-of-two", func() routing.Balancer { return routing.PowerOfTwo{} }, true, false, false},
	{"power-of-two+back-off", func() routing.Balancer { return routing.PowerOfTwo{} }, false, false, false},
	{"least-expected", func() routing.Balancer { return routing.LeastExpected{} }, false, false, false},
	{"least-expected+hedge", func() routing.Balancer { return routing.LeastExpected{} }, false, true, false},
}

// scenarios vary the speed or the number of the runners.
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
		// Batch work makes a changing eighth of the runners three times slower, for 4 s each.
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

// BenchmarkBalance reports the latency quantiles for each scenario, load and balancer in the
// simulation, merged over the seeds 1 to 4. Run it with -benchtime 1x.
func BenchmarkBalance(b *testing.B) {
	for _, s := range scenarios {
		for _, load := range []float64{0.5, 0.8, 0.95} {
			for _, c := range balancerSetups {
				if c.strictTurn && s.leaveAt > 0 {
					continue // strict round robin does not support leaving runners
				}
				b.Run(fmt.Sprintf("%s/load=%.0f%%/%s", s.name, load*100, c.name), func(b *testing.B) {
					for b.Loop() {
						report(b, runSeeds(simConfig{
							nodes: 8, balancer: c.balancer, noBackoff: c.noBackoff, hedge: c.hedge, strictTurn: c.strictTurn, load: load, sigma: s.sigma,
							timeout: 5 * time.Second, length: 25 * time.Second, speed: s.speed, leaveAt: s.leaveAt,
						}))
					}
				})
			}
		}
	}
}

// runSeeds runs the seeds 1 to 4 in parallel and merges their results.
func runSeeds(cfg simConfig) *simulation {
	models := make([]*simulation, 4)
	var wg sync.WaitGroup
	for i := range models {
		wg.Go(func() {
			c := cfg
			c.seed = uint64(i + 1)
			models[i] = newSimulation(c).run()
		})
	}
	wg.Wait()
	sum := models[0]
	for _, m := range models[1:] {
		sum.latency.Merge(m.latency)
		sum.completed += m.completed
		sum.offered += m.offered
		sum.refused += m.refused
		sum.timedOut += m.timedOut
		sum.hedges += m.hedges
	}
	return sum
}

// report adds the results of a run to the benchmark's metrics.
func report(b *testing.B, m *simulation) {
	b.ReportMetric(m.quantile(50), "p50-ms")
	b.ReportMetric(m.quantile(99), "p99-ms")
	b.ReportMetric(m.quantile(99.9), "p99.9-ms")
	b.ReportMetric(100*float64(m.refused)/float64(max(1, m.offered)), "refused-%")
	b.ReportMetric(100*float64(m.timedOut)/float64(max(1, m.offered)), "late-%")
	b.ReportMetric(100*float64(m.hedges)/float64(max(1, m.offered)), "hedged-%")
}

// BenchmarkOverload reports the goodput at 150% offered load, as a percentage of the runners'
// capacity, in the simulation with seed 1.
func BenchmarkOverload(b *testing.B) {
	for _, c := range balancerSetups {
		b.Run(c.name, func(b *testing.B) {
			var m *simulation
			for b.Loop() {
				m = newSimulation(simConfig{
					nodes: 8, balancer: c.balancer, noBackoff: c.noBackoff, hedge: c.hedge, strictTurn: c.strictTurn, load: 1.5,
					timeout: 500 * time.Millisecond, length: 20 * time.Second, seed: 1,
				}).run()
			}
			capacity := float64(m.runners*simSlots) / simMeanServiceTime.Seconds() * (m.length * 9 / 10).Seconds()
			b.ReportMetric(100*float64(m.completed)/capacity, "goodput-%")
			report(b, m)
		})
	}
}
