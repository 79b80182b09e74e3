package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
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

// leaders returns the node that leads each cell, as a node that is up sees it.
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

// The same submission at every node is one job, whichever cell it belongs to.
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

// The cells of a killed node get new leaders, and the runs there go on.
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

// A stop hands over all cells that the node leads.
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

// Workers of a rack that appears later get work.
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

// Cells are spread over the nodes, so that one node does not carry them all.
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

// Counts of jobs that wait reach every node, whatever cell the jobs are in.
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

// A deployment whose store holds the rows of a version without cells keeps one.
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

// One wave covers machines of several cells: each is emptied by the leader of its cell,
// and the cap holds for all together.
func TestWaveAcrossCells(t *testing.T) {
	prepare := withInventory(240, 6, lasting)
	runClusterWith(t, func() *fleettest.Cluster {
		c := prepare()
		c.Cells = 3
		return c
	}, func(t *testing.T, c *fleettest.Cluster) {
		for i := range 6 {
			submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: 2, PerWorker: 1, Needs: smallNeeds, Lasting: true, MayMiss: 1}}})
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

// A watch brings so many rows at most. While entries change faster than pages of that
// size arrive with pauses in between, the leader must not fall behind: a worker that
// leaves would get new work.
func TestLeaderKeepsUpWithManyEntries(t *testing.T) {
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
			require.Zero(t, c.Workers.RunCount(c.Fleet[0]), "no start on a worker that leaves")
		}
		waitAll(t, c, 4, 60*time.Second)
	})
}
