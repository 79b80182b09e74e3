package fleet_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against starts that are held back while the store refuses writes and are sent afterwards to workers whose
// capacity has shrunk long before: workers that do not guard it are overloaded.
func TestHeldStartsAndShrinkingWorkers(t *testing.T) {
	needs := model.Resources{MilliCPU: 6000, MemoryMB: 100}
	tasks := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Lasting: true, Needs: needs} }
	for seed := range uint64(4) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runCluster(t, 760+seed, 1, 2, tasks, func(t *testing.T, c *fleettest.Cluster) {
				c.UseUnguardedWorkers(2)
				time.Sleep(time.Second)
				c.Nodes[0].Store.RefuseWrites("vp-progress")
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 2, PerWorker: 1, Needs: needs, Lasting: true}}})
				time.Sleep(500 * time.Millisecond)
				require.Zero(t, c.Checker.StartCount(), "the starts are held back")
				for _, w := range c.RunningWorkers() {
					c.SetCapacity(w, model.Resources{MilliCPU: 4000, MemoryMB: 8000}, 100*time.Millisecond)
				}
				time.Sleep(5*time.Second + time.Duration(seed)*200*time.Millisecond) // 4.5 s after it has shrunk a former capacity counts no more
				c.Nodes[0].Store.RefuseWrites("")
				time.Sleep(3 * time.Second)
				t.Logf("%d starts", c.Checker.StartCount())
			})
		})
	}
}

// heldSeeds is the number of sequences that TestServicesBesideFaultsOfTheStore plays; see seedRange.
const heldSeeds = 20

// Guards first starts of services that are held back while the store loses or delays transactions, workers drain and
// jobs are cancelled, and leaders change: none is sent late or forgotten.
func TestServicesBesideFaultsOfTheStore(t *testing.T) {
	first, end := seedRange(t, 900, heldSeeds)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runHeldServices(t, uint64(seed)) })
	}
}

func runHeldServices(t *testing.T, seed uint64) {
	const jobs = 14
	r := rand.New(rand.NewPCG(seed, 32))
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	nodes, cells := 2+r.IntN(2), 1+r.IntN(2)
	runClusterWith(t, func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, nodes, 8, lasting)
		c.Cells = cells
		return c
	}, func(t *testing.T, c *fleettest.Cluster) {
		cancelled, drained := map[int]bool{}, 0
		for i := range jobs {
			tasks := 1 + r.IntN(3)
			gang := r.IntN(3) == 0
			c.Store.SetTransactionFaults(float64(r.IntN(4))/10, float64(r.IntN(4))/10)
			c.Store.SetLatency(5*time.Millisecond + upTo(120*time.Millisecond))
			submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 2, Needs: smallNeeds, Lasting: true, Gang: gang}}})
			time.Sleep(upTo(200 * time.Millisecond))
			switch r.IntN(6) {
			case 0:
				m := c.Leader()
				if m != nil {
					c.Kill(m)
					time.Sleep(upTo(time.Second))
					c.Start(m)
				}
			case 1:
				stopLeaderIfAny(c)
			case 2:
				cancelled[i] = true
				cancelSomewhere(t, c, jobID(i))
			case 3:
				if drained < 2 {
					c.Drain(c.Fleet[drained])
					drained++
				}
			}
			time.Sleep(upTo(300 * time.Millisecond))
		}
		c.Store.SetTransactionFaults(0, 0)
		c.Store.SetLatency(5 * time.Millisecond)
		for _, m := range c.Nodes {
			if !m.Up() {
				c.Start(m)
			}
		}
		time.Sleep(15 * time.Second)
		for i := range jobs {
			require.Equal(t, cancelled[i], len(c.Checker.Running(jobID(i))) == 0, "job %d", i)
		}
	})
}

// stopLeaderIfAny hands the lead on.
func stopLeaderIfAny(c *fleettest.Cluster) {
	m := c.Leader()
	if m == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	m.Node.Drain(ctx)
	c.Kill(m)
	c.Start(m)
}
