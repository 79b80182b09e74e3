package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// runInCells runs a test on a cluster that is divided into cells.
func runInCells(t *testing.T, seed uint64, nodes, workers, cells int, tasks func(fleet.TaskName) fleettest.Task, test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	runClusterWith(t, func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, nodes, workers, tasks)
		c.Cells = cells
		return c
	}, test)
}

// leaders returns the name of the leader of each cell, as the first running node knows it.
func leaders(t *testing.T, c *fleettest.Cluster) []string {
	t.Helper()
	for _, m := range c.Nodes {
		if m.Up() {
			var names []string
			for _, cell := range m.Node.Inspect(t.Context(), "").Cells {
				names = append(names, string(cell.Leader))
			}
			return names
		}
	}
	return nil
}

// member returns a node by its name.
func member(c *fleettest.Cluster, name string) *fleettest.Member {
	for _, m := range c.Nodes {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func TestCellsDoAllJobsOnce(t *testing.T) {
	runInCells(t, 201, 4, 6, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		require.Len(t, leaders(t, c), 3)
		for i := range 12 {
			submit(t, c, jobID(i), twoSteps())
		}
		waitAll(t, c, 12, 30*time.Second)
		require.Equal(t, 12*6, c.Checker.StartCount(), "each task starts once")
	})
}

// A submission that is repeated at every node must create one job, whichever cell owns it.
func TestSameSubmissionInCells(t *testing.T) {
	runInCells(t, 202, 3, 6, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 6 {
			for _, m := range c.Nodes {
				require.NoError(t, m.Node.Submit(t.Context(), c.Queue, jobID(i), twoSteps()))
			}
		}
		waitAll(t, c, 6, 30*time.Second)
		require.Equal(t, 6*6, c.Checker.StartCount())
	})
}

// When a node is killed, its cells get new leaders, which must adopt the runs instead of
// starting the tasks again.
func TestLeaderOfCellsIsKilled(t *testing.T) {
	for seed := range uint64(6) {
		runInCells(t, 210+seed, 4, 6, 3, slowTask, func(t *testing.T, c *fleettest.Cluster) {
			for i := range 6 {
				submit(t, c, jobID(i), twoSteps())
			}
			time.Sleep(time.Second)
			c.Kill(member(c, leaders(t, c)[seed%3]))
			waitAll(t, c, 6, 60*time.Second)
			require.Equal(t, 6*6, c.Checker.StartCount(), "no task starts again")
		})
	}
}

func TestAllNodesOfCellsAreKilledAtOnce(t *testing.T) {
	for seed := range uint64(4) {
		runInCells(t, 220+seed, 4, 6, 3, slowTask, func(t *testing.T, c *fleettest.Cluster) {
			for i := range 6 {
				submit(t, c, jobID(i), twoSteps())
			}
			time.Sleep(700 * time.Millisecond)
			c.StopAll()
			time.Sleep(time.Second)
			c.StartAll()
			waitAll(t, c, 6, 60*time.Second)
		})
	}
}

// A node that drains must hand over all cells that it leads.
func TestDrainHandsOverCells(t *testing.T) {
	runInCells(t, 230, 3, 6, 3, slowTask, func(t *testing.T, c *fleettest.Cluster) {
		m := member(c, leaders(t, c)[0])
		m.Node.Drain(t.Context())
		require.False(t, m.Node.Leading())
		c.Kill(m)
		time.Sleep(1500 * time.Millisecond)
		for _, name := range leaders(t, c) {
			require.NotEqual(t, m.Name, name)
		}
		submit(t, c, jobID(0), twoSteps())
		waitAll(t, c, 1, 30*time.Second)
	})
}

// Workers of a rack that is not in the stored layout must be assigned to a cell and get work.
func TestNewRackGetsACell(t *testing.T) {
	runInCells(t, 231, 3, 2, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		var added []*fleettest.Worker
		for _, id := range []string{"x7", "x8", "x9"} {
			added = append(added, c.AddWorker(id))
		}
		time.Sleep(3 * time.Second)
		for i := range 24 {
			submit(t, c, jobID(i), twoSteps())
		}
		ran := map[*fleettest.Worker]bool{}
		for range 30 {
			for _, w := range added {
				ran[w] = ran[w] || c.Workers.RunCount(w) > 0
			}
			time.Sleep(50 * time.Millisecond)
		}
		waitAll(t, c, 24, 60*time.Second)
		for _, w := range added {
			require.True(t, ran[w], "worker %s", w.Info.Worker)
		}
	})
}

// If one node won the elections of all cells, it would be overloaded. The leaders of the cells
// must be spread over the nodes.
func TestCellsAreSpreadOverNodes(t *testing.T) {
	runClusterWith(t, func() *fleettest.Cluster {
		c := fleettest.NewCluster(232, 6, 6, shortTask)
		c.Cells = 3
		for _, m := range c.Nodes {
			m.MilliCPU = 800
		}
		return c
	}, func(t *testing.T, c *fleettest.Cluster) {
		time.Sleep(5 * time.Second)
		led := map[string]int{}
		for _, name := range leaders(t, c) {
			led[name]++
		}
		require.Len(t, led, 3, "%v", led)
	})
}

// Every node must report the waiting jobs of all cells, not only of those it leads.
func TestPendingOfAllCells(t *testing.T) {
	runInCells(t, 233, 4, 6, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		huge := fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: c.Fleet[0].Info.Capacity.Add(smallNeeds), Estimate: time.Second}}}
		for i := range 9 {
			submit(t, c, jobID(i), huge)
		}
		time.Sleep(2 * time.Second)
		for _, m := range c.Nodes {
			n, err := m.Node.Pending(t.Context(), c.Queue)
			require.NoError(t, err)
			require.Equal(t, 9, n, "at %s", m.Name)
		}
	})
}

// A store that holds rows of a version without cells must get a layout with a single cell,
// which uses the same parts of the tables as that version.
func TestDeploymentWithoutLayoutKeepsOneCell(t *testing.T) {
	runClusterWith(t, func() *fleettest.Cluster {
		c := fleettest.NewCluster(234, 3, 6, shortTask)
		c.Cells = 3
		c.Store.Put("vp-fence", "leader", "leader", []byte{0xa2, 1, 7, 2, 9}) // term 7
		return c
	}, func(t *testing.T, c *fleettest.Cluster) {
		require.Len(t, leaders(t, c), 1)
		submit(t, c, jobID(0), twoSteps())
		waitAll(t, c, 1, 30*time.Second)
	})
}

// A wave covers machines of several cells. Each machine is evacuated by the leader of its cell,
// and the cap must hold for all cells together.
func TestWaveAcrossCells(t *testing.T) {
	prepare := withInventory(240, 6, lasting)
	runClusterWith(t, func() *fleettest.Cluster {
		c := prepare()
		c.Cells = 3
		return c
	}, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 6 {
			submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: 2, PerWorker: 1, Needs: smallNeeds, Lasting: true, MaxInterrupted: 1}}})
		}
		time.Sleep(2 * time.Second)
		c.RequestWave([]string{"w0", "w1", "w2", "w3", "w4", "w5"}, 2)
		for range 240 {
			if c.WaveCompleted() {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		require.True(t, c.WaveCompleted())
		require.ElementsMatch(t, []string{"w0", "w1", "w2", "w3", "w4", "w5"}, c.Inventory.Maintained(), "each machine once")
		require.LessOrEqual(t, c.Inventory.MaxInMaintenance(), 2)
	})
}

// An answer to a watch holds a bounded number of rows. If the leader paused between full pages
// while rows change quickly, it would fall behind and start tasks on a worker that is already
// draining.
func TestLeaderKeepsUpWithManyRowChanges(t *testing.T) {
	t.Parallel()
	runCluster(t, 241, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.Store.SetWatchLimit(500)
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				for i := range 400 {
					c.Store.Put(fleettest.TableWorkers, "", fmt.Sprintf("other-%d", i), []byte("{}"))
				}
			}
		}()
		time.Sleep(8 * time.Second)
		c.Drain(c.Fleet[0])
		time.Sleep(2 * time.Second)
		for i := range 4 {
			submit(t, c, jobID(i), twoSteps())
		}
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, c.Workers.RunCount(c.Fleet[0]), "no start on a draining worker")
		}
		waitAll(t, c, 4, 60*time.Second)
	})
}

// Jobs that were accepted while nobody led their cell counted as inherited: they waited there for the end of
// others, beside free workers of other cells.
func TestJobsAcceptedWithoutLeaderUseOtherCells(t *testing.T) {
	const cells, jobs = 3, 3 // one job more than a cell has workers
	needs := model.Resources{MilliCPU: 8000, MemoryMB: 500}
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: time.Minute, Needs: needs} }
	for seed := range uint64(3) {
		runInCells(t, 240+seed, 4, 2*cells, cells, long, func(t *testing.T, c *fleettest.Cluster) {
			c.Kill(member(c, leaders(t, c)[0]))
			for i, n := 0, 0; n < jobs; i++ {
				if xxhash.Sum64String(jobID(i))%256%cells == 0 { // the slots of equal cells alternate
					submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: needs, Estimate: time.Minute}}})
					n++
				}
			}
			time.Sleep(10 * time.Second)
			require.Equal(t, jobs, runningAll(c))
		})
	}
}
