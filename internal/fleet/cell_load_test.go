package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Services fill a fleet of several cells, workers are lost with their tasks, and then all nodes
// restart. When a service ends later, in whichever cell, the lost tasks must use its capacity
// and run within 3 s, the longest time for which the platform lets them wait beside sufficient
// free capacity.
func TestLostServicesFindRoomOfAnyCell(t *testing.T) {
	needs := model.Resources{MilliCPU: 2000, MemoryMB: 200}
	tasks := func(name fleet.TaskName) fleettest.Task {
		return fleettest.Task{Lasting: string(name) < jobID(500), Work: 800 * time.Millisecond, Needs: needs}
	}
	for _, step := range []fleet.Step{{Count: 24, Needs: needs, Lasting: true}, {Count: 24, Needs: needs, Lasting: true, PerWorker: 2}} {
		runInCells(t, 300, 6, 48, 4, tasks, func(t *testing.T, c *fleettest.Cluster) {
			const services = 6 // 144 tasks; the fleet has capacity for 192
			for i := range services {
				submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{step}})
			}
			time.Sleep(8 * time.Second)
			require.Equal(t, services*24, runningServices(c, services))
			done := make(chan struct{})
			defer close(done)
			go shortLoad(t, c, needs, done)
			time.Sleep(2 * time.Second)
			for _, w := range c.Fleet[:12] {
				c.Workers.Kill(w)
				c.Unlist(w)
			}
			time.Sleep(7 * time.Second)
			c.StopAll()
			time.Sleep(500 * time.Millisecond)
			c.StartAll()
			time.Sleep(11 * time.Second)
			require.NoError(t, c.Nodes[0].Node.Cancel(t.Context(), c.Queue, jobID(0)))
			c.Checker.Cancelled(jobID(0))
			time.Sleep(time.Second)
			begun := time.Now()
			for missing := 1; missing > 0; time.Sleep(100 * time.Millisecond) {
				missing = (services-1)*24 - runningServices(c, services)
				require.Less(t, time.Since(begun), 3*time.Second, "%d tasks do not run", missing)
			}
			t.Logf("all run %v after capacity was freed", time.Since(begun))
		})
	}
}

// runningServices returns the number of runs of the first jobs.
func runningServices(c *fleettest.Cluster, jobs int) int {
	n := 0
	for i := range jobs {
		n += runningOf(c, jobID(i))
	}
	return n
}

// shortLoad submits a job of short tasks every 0.1 s until done is closed.
func shortLoad(t *testing.T, c *fleettest.Cluster, needs model.Resources, done <-chan struct{}) {
	for i := 1000; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if node := c.Nodes[i%len(c.Nodes)].Running(); node != nil {
			go func() {
				_ = node.Submit(t.Context(), c.Queue, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: 2, Needs: needs, Estimate: 800 * time.Millisecond}}})
			}() // submissions may be refused while leaders change
		}
	}
}
