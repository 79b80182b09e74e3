package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Workers that do not guard their capacity carry out each start. Their capacity shrinks and grows
// while they run and leaders are killed; no start may bring a worker over it.
func TestShrinkingCapacityIsNotExceeded(t *testing.T) {
	sizes := []model.Resources{{MilliCPU: 8000, MemoryMB: 8000}, {MilliCPU: 3000, MemoryMB: 4000}, {MilliCPU: 5000, MemoryMB: 1500}}
	tasks := func(n fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: 1500 * time.Millisecond, Needs: smallNeeds}
	}
	for seed := uint64(440); seed < 446; seed++ {
		random := rand.New(rand.NewPCG(seed, 13))
		runCluster(t, seed, 3, 4, tasks, func(t *testing.T, c *fleettest.Cluster) {
			c.UseUnguardedWorkers(2)
			time.Sleep(500 * time.Millisecond)
			const jobs = 30
			for i := range jobs {
				submit(t, c, jobID(i), twoSteps())
				w := c.Fleet[random.IntN(len(c.Fleet))]
				c.SetCapacity(w, sizes[random.IntN(len(sizes))], time.Duration(random.IntN(1500))*time.Millisecond)
				if l := c.Leader(); i%10 == 9 && l != nil {
					c.Kill(l)
					c.Start(l)
				}
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
			waitAll(t, c, jobs, 120*time.Second)
		})
	}
}
