package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// TestMain fixes the seed of the property-based tests; a flag on the command line
// overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func targets(n int, leaving map[int]bool) []Target {
	var list []Target
	for i := range n {
		list = append(list, Target{ID: model.RunnerID(fmt.Sprint(i)), Leaving: leaving[i]})
	}
	return list
}

// Guards against the choice of a runner that is leaving, full, excluded or backed off, and
// against counters and a list of free runners that do not match the runners' states, for each
// balancer and any order of events.
func TestPoolProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer := NewBalancer(rapid.SampledFrom([]string{"", "round-robin", "power-of-two"}).Draw(t, "balancer"))
		p := NewPool(balancer, OutlierConfig{}, rapid.Uint64().Draw(t, "seed"))
		now := time.Unix(0, 0)
		n, limit := 10, 2
		p.Update(targets(n, nil))
		p.SetLimits(func(model.RunnerID) int { return limit })
		var running []*Runner
		runner := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "runner") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { checkPool(t, p) },
			"start": func(t *rapid.T) {
				probe := rapid.Bool().Draw(t, "probe")
				exclude := model.RunnerID(fmt.Sprint(runner(t)))
				c := p.Pick(now, PickOptions{Probe: probe, Exclude: exclude})
				if c.Runner == nil {
					return
				}
				r := c.Runner
				require.False(t, r.leaving || r.inFlight >= r.limit || r.ID == exclude)
				require.Equal(t, c.Reason == "probe", r.BackedOff())
				p.Start(r)
				running = append(running, r)
			},
			"finish": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "request")
				took := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
				p.Finish(running[i], now, took, Result(rapid.IntRange(0, 2).Draw(t, "result")))
				running = append(running[:i], running[i+1:]...)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"leave": func(t *rapid.T) { p.SetLeaving(model.RunnerID(fmt.Sprint(runner(t)))) },
			"limits": func(t *rapid.T) {
				limit = rapid.IntRange(0, 3).Draw(t, "limit")
				p.SetLimits(func(model.RunnerID) int { return limit })
			},
			"update": func(t *rapid.T) {
				p.Update(targets(rapid.IntRange(0, n).Draw(t, "count"), map[int]bool{runner(t): true}))
			},
			"report": func(t *rapid.T) {
				p.Report("peer", now, time.Second, []PeerReport{{Runner: model.RunnerID(fmt.Sprint(runner(t))), Mean: time.Second, InFlight: 3}})
			},
		})
	})
}

// checkPool compares the state that the pool updates incrementally with a recomputation.
func checkPool(t require.TestingT, p *Pool) {
	out, free, slots, busy := 0, 0, 0, 0
	for i, r := range p.order {
		require.Equal(t, i, r.position)
		available := !r.leaving && !r.backoff.active && r.inFlight < r.limit
		require.Equal(t, available, r.freeIndex >= 0)
		if available {
			require.Same(t, r, p.free[r.freeIndex])
			free++
		}
		if r.backoff.active {
			out++
		}
		if !r.leaving && !r.backoff.active {
			slots += r.limit
		}
		busy += r.inFlight
	}
	require.Equal(t, []int{out, free, slots, busy}, []int{p.backedOffCount, len(p.free), p.slots, p.busy})
}

// Guards against a slow runner that keeps receiving requests, and against one that stays backed
// off after it has recovered.
func TestSlowRunnerBacksOffAndReturns(t *testing.T) {
	p := NewPool(PowerOfTwo{}, OutlierConfig{}, 1) // PowerOfTwo alone does not avoid slow runners
	p.Update(targets(8, nil))
	p.SetLimits(func(model.RunnerID) int { return 1 })
	now, slow := time.Unix(0, 0), 10
	serve := func(probe bool) (id model.RunnerID) {
		c := p.Pick(now, PickOptions{Probe: probe})
		took := 50 * time.Millisecond
		if c.Runner.ID == "3" {
			took *= time.Duration(slow)
		}
		p.Start(c.Runner)
		now = now.Add(took)
		p.Finish(c.Runner, now, took, Success)
		return c.Runner.ID
	}
	for range 200 {
		serve(false)
	}
	require.True(t, p.Runner("3").BackedOff())
	for range 50 {
		require.NotEqual(t, model.RunnerID("3"), serve(false))
	}
	slow = 1
	for range 1500 { // 75 s, longer than the longest backoff
		serve(true)
	}
	require.False(t, p.Runner("3").BackedOff())
}

// Guards against retries and hedges that exceed their percentage of the requests.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		b := NewBudget(percent)
		for _, earn := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if earn {
				b.Earn()
			} else {
				b.Spend()
			}
			requests, retries := b.Totals()
			require.LessOrEqual(t, retries*100, requests*uint64(percent))
		}
	})
}
