package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// While the store is away no end can be stored, and a worker lists 500 ends at a time. Tasks whose
// ends were not listed yet counted as lost and started again, under the same leader and under a
// new one.
func TestEndsThatAreNotListedYet(t *testing.T) {
	const tasks = 700
	needs := model.Resources{MilliCPU: 10, MemoryMB: 10}
	brief := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 2 * time.Second, Needs: needs} }
	for name, newLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 420, 3, 1, brief, func(t *testing.T, c *fleettest.Cluster) {
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, Needs: needs, Estimate: 2 * time.Second}}})
				time.Sleep(time.Second)
				require.Equal(t, tasks, c.Checker.StartCount())
				for _, m := range c.Nodes {
					m.Store.SetFault(fleettest.Busy)
				}
				time.Sleep(3 * time.Second)
				if newLeader {
					c.Kill(c.Leader())
				}
				for _, m := range c.Nodes {
					m.Store.SetFault(fleettest.Healthy)
				}
				waitState(t, c, jobID(0), fleet.StateCompleted, 20*time.Second)
				require.Equal(t, tasks, c.Checker.StartCount(), "each task starts once")
			})
		})
	}
}
