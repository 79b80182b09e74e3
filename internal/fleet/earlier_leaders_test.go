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
)

// A leader that its successor did not reach was told by nobody that its term was over: the successor
// handed the lead on, and the next leader, which reaches it, tells only its direct predecessor. It gave
// orders for seconds more, as it may to a worker that has started again and has seen no fence.
func TestLeaderBeforeHandOverIsToldOfLaterTerm(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			runCluster(t, 740+seed, 4, 3, shortTask, func(t *testing.T, c *fleettest.Cluster) {
				former := c.Leader()
				former.Store.SetFault(fleettest.Silent)
				former.Workers.CutAll(true) // no worker tells it either
				former.Peers.Cut(true)
				short := leaderBeside(c, former)
				time.Sleep(20 * time.Millisecond)
				short.Node.Drain(t.Context())
				c.Kill(short)
				former.Peers.Cut(false)
				leaderBeside(c, former)
				time.Sleep(500 * time.Millisecond)
				require.False(t, former.Node.Leading(), "a leader whose successor reaches it")
			})
		})
	}
}

// Terms of all lengths, released or not, follow on a leader that is cut off with some workers, whose
// clocks may be slow. None may start a task that still runs under an earlier term.
func TestTermsAfterLeaderThatIsCutOffWithWorkers(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) { runTermsAfterCutOff(t, 800+seed) })
	}
}

func runTermsAfterCutOff(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	const tasks, nodes = 6, 5
	task := func(n fleet.TaskName) fleettest.Task {
		if n[:len(jobID(0))] == fleet.TaskName(jobID(0)) {
			return fleettest.Task{Work: time.Minute, Needs: smallNeeds}
		}
		return shortTask(n)
	}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, nodes, 8, task)
		c.Cells = 1 + random.IntN(2)
		for _, w := range c.AllWorkers() {
			c.Workers.SetClock(w, time.Hour, []float64{0.98, 1, 1.02}[random.IntN(3)])
		}
		if random.IntN(2) == 0 {
			for _, m := range c.Nodes {
				m.MilliCPU = []int64{110, 800}[random.IntN(2)]
			}
		}
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 2, Needs: smallNeeds, Estimate: time.Minute}}})
		time.Sleep(2 * time.Second)
		former := c.Leader()
		c.Checker.Disturb()
		costs := []time.Duration{0, 0, 0, 5 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond}
		former.SetEventCost(costs[random.IntN(len(costs))]) // it plans with times that have passed
		if random.IntN(3) == 0 {
			c.Workers.WithLock(func() { c.Workers.LateShare, c.Workers.LostShare = 0.1, 0.1 })
		}
		cutOff := busyWorkers(c)
		cutOff = cutOff[:1+random.IntN(len(cutOff))]
		for _, m := range c.Nodes {
			if m != former {
				cutAll(m, cutOff)
			}
		}
		former.Store.SetFault(fleettest.Silent)
		former.Peers.Cut(true)
		begun := time.Now()
		if random.IntN(2) == 0 { // the platform does not hear of them either
			time.AfterFunc(2*time.Second, func() {
				for _, w := range cutOff {
					c.Unlist(w)
				}
			})
		}
		lengths := []time.Duration{time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond, 700 * time.Millisecond, 1800 * time.Millisecond}
		for jobs := 1; time.Since(begun) < 12*time.Second; jobs++ {
			if m := c.Nodes[random.IntN(nodes)]; m.Up() && jobs < 20 {
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				_ = m.Node.Submit(ctx, c.Queue, jobID(jobs), twoSteps()) // may fail beside these faults
				cancel()
			}
			next := leaderBeside(c, former)
			time.Sleep(lengths[random.IntN(len(lengths))])
			if !next.Up() || !next.Node.Leading() {
				continue // it has handed the lead to a larger host
			}
			switch random.IntN(6) {
			case 0:
				t.Logf("%v %s is killed", time.Since(begun), next.Name)
			case 1:
				t.Logf("%v %s goes on", time.Since(begun), next.Name)
				time.Sleep(time.Second)
				continue
			default:
				t.Logf("%v %s releases", time.Since(begun), next.Name)
				next.Node.Drain(t.Context())
			}
			c.Kill(next)
			c.Start(next)
			cutAll(next, cutOff)
		}
		if random.IntN(2) == 0 { // the links heal
			for _, m := range c.Nodes {
				for _, w := range cutOff {
					m.Workers.Cut(w, false)
				}
			}
			former.Store.SetFault(fleettest.Healthy)
			former.Peers.Cut(false)
		}
		time.Sleep(5 * time.Second)
	})
}
