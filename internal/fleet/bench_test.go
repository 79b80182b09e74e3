package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// BenchmarkLeader runs a fleet of the size of a site for a minute of virtual time: 48 workers
// with services, and nine jobs of eight fillers per second. The real time is the CPU time of
// the leader and the simulation, without the encoding of worker calls.
func BenchmarkLeader(b *testing.B) {
	filler := model.Resources{MilliCPU: 700, MemoryMB: 100}
	service := model.Resources{MilliCPU: 1300, MemoryMB: 100}
	tasks := func(n fleet.TaskName) fleettest.Task {
		if strings.HasPrefix(string(n), "f") {
			return fleettest.Task{Lasting: true, Needs: service, Target: 150}
		}
		return fleettest.Task{Work: 2700 * time.Millisecond, Needs: filler, Filler: true, Checkpoint: true}
	}
	for range b.N {
		synctest.Test(&testing.T{}, func(*testing.T) {
			c := fleettest.NewCluster(1, 3, 48, tasks)
			c.StartAll()
			time.Sleep(settleTime)
			for i := range 24 {
				spec := fleet.Spec{Steps: []fleet.Step{{Count: 6, Needs: service, Lasting: true, LatencyTarget: 150 * time.Millisecond, Image: fmt.Sprint("s", i%5)}}}
				_ = c.Nodes[0].Node.Submit(b.Context(), c.Queue, fmt.Sprintf("f%015x", i), spec)
			}
			for i := range 9 * 60 {
				spec := fleet.Spec{Steps: []fleet.Step{{Count: 8, Needs: filler, Filler: true, Checkpoints: true, Estimate: 2 * time.Second, Image: fmt.Sprint("i", i%9)}}}
				_ = c.Nodes[i%3].Node.Submit(b.Context(), c.Queue, fmt.Sprintf("%016x", i), spec)
				time.Sleep(time.Second / 9)
			}
			c.StopAll()
		})
	}
}
