package fleet_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Jobs of fillers had nothing running for a minute and more beside free processors, because no
// service tolerated one of their tasks at full pace. Each must have something running again within
// maxIdle, also after a change of leader.
func TestJobsDoNotIdleBesideFreeProcessors(t *testing.T) {
	const (
		maxIdle    = 2 * time.Second
		jobs       = 24
		learn      = 10 * time.Second // until the pressure of the fillers is known
		takeover   = 5 * time.Second  // until the next leader knows all runs
		observed   = 12 * time.Second
		stopMargin = 300 * time.Millisecond // reports and stops
	)
	needs := map[byte]model.Resources{'5': {MilliCPU: 3200, MemoryMB: 1000}, 'f': {MilliCPU: 1800, MemoryMB: 500}}
	tasks := func(n fleet.TaskName) fleettest.Task {
		if n[0] == '5' {
			return fleettest.Task{Lasting: true, Needs: needs['5'], Target: 150, Image: "s"}
		}
		return fleettest.Task{Work: 10 * time.Minute, Needs: needs['f'], Checkpoint: true, Filler: true, Image: "f"}
	}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(471, 3, 0, tasks)
		for i := range 8 {
			w := c.AddWorker(fmt.Sprint("w", i))
			c.Workers.WithLock(func() { w.Info.Capacity = model.Resources{MilliCPU: 16_000, MemoryMB: 62_500} })
			c.List(w)
		}
		c.Workers.WithLock(func() {
			c.Workers.Interference = &fleettest.InterferenceModel{IdleHeadroom: 3.2, Load: 0.5, Amplitude: 0.1, Period: 20 * time.Second,
				Pressure: func(string, string) float64 { return 12 }}
		})
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 8 {
			submit(t, c, fmt.Sprintf("5%015x", i), fleet.Spec{Steps: []fleet.Step{{Count: 2, Lasting: true, Needs: needs['5'], Image: "s", LatencyTarget: 150 * time.Millisecond}}})
		}
		for i := range jobs {
			submit(t, c, fmt.Sprintf("f%015x", i), fleet.Spec{Steps: []fleet.Step{{Count: 10, Filler: true, Checkpoints: true, Needs: needs['f'], Image: "f", Estimate: 10 * time.Minute}}})
		}
		var services dayResult
		done := make(chan struct{})
		var watch sync.WaitGroup
		watch.Go(func() { watchServices(c, &services, done) })
		time.Sleep(learn)
		before := longestIdle(c, jobs, observed)
		c.Kill(c.Leader())
		time.Sleep(takeover)
		after := longestIdle(c, jobs, observed)
		close(done)
		watch.Wait()
		require.LessOrEqual(t, before, maxIdle+stopMargin)
		require.LessOrEqual(t, after, maxIdle+stopMargin, "after a change of leader")
		require.Less(t, services.longestOverTarget, maxOverTarget)
	})
}

// longestIdle returns the longest time, within one from now on, for which nothing of a filler job
// ran.
func longestIdle(c *fleettest.Cluster, jobs int, within time.Duration) time.Duration {
	const sample = 50 * time.Millisecond
	longest, idle := time.Duration(0), map[int]time.Duration{}
	for range within / sample {
		time.Sleep(sample)
		for i := range jobs {
			if runningOf(c, fmt.Sprintf("f%015x", i)) > 0 {
				idle[i] = 0
				continue
			}
			idle[i] += sample
			longest = max(longest, idle[i])
		}
	}
	return longest
}
