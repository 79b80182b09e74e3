package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A killed leader extends no lease, but the next one waited as long as for one that is cut off from the
// store: lasting tasks of a worker that was lost beside it did not run for up to 10.4 s.
func TestServicesLostBesideKilledLeaderRunAgainInTime(t *testing.T) {
	for seed := range uint64(4) {
		for _, trouble := range []struct{ workerFirst, down time.Duration }{{0, 500 * time.Millisecond}, {0, 1500 * time.Millisecond}, {time.Second, 500 * time.Millisecond}} {
			t.Run(fmt.Sprint(seed, trouble), func(t *testing.T) {
				playLostWorker(t, 700+seed, 4, 2*time.Second+time.Duration(seed)*100*time.Millisecond, func(c *fleettest.Cluster, leader *fleettest.Member) time.Duration {
					time.Sleep(trouble.workerFirst)
					c.Kill(leader)
					time.Sleep(trouble.down)
					c.Start(leader)
					return restartBound
				})
			})
		}
	}
}

// Guards the leases that a killed leader has granted: workers that the next one does not reach keep
// their runs until these are over.
func TestNextLeaderWaitsForLeasesOfKilledLeader(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: time.Minute, Needs: smallNeeds} }
	for seed := range uint64(4) {
		for _, down := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprint(seed, down), func(t *testing.T) {
				runCluster(t, 720+seed, 4, 6, long, func(t *testing.T, c *fleettest.Cluster) {
					const tasks = 6
					submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 2, Needs: smallNeeds, Estimate: time.Minute}}})
					time.Sleep(2*time.Second + time.Duration(seed)*100*time.Millisecond)
					cutOff, leader := busyWorkers(c), c.Leader()
					c.Kill(leader)
					for _, m := range c.Nodes {
						if m != leader {
							cutAll(m, cutOff)
						}
					}
					time.Sleep(down)
					c.Start(leader)
					cutAll(leader, cutOff)
					time.Sleep(12 * time.Second)
					require.Equal(t, 2*tasks, c.Checker.StartCount(), "all tasks start elsewhere")
				})
			})
		}
	}
}

// cutAll cuts a node off from workers.
func cutAll(m *fleettest.Member, workers []*fleettest.Worker) {
	for _, w := range workers {
		m.Workers.Cut(w, true)
	}
}

// The leader that followed a killed one handed the lead on before that one's process was back. The one
// after it did not know whom to ask, and waited as for a leader that is cut off.
func TestServicesLostBeforeHandOverRunAgainInTime(t *testing.T) {
	for seed := range uint64(4) {
		for _, handOvers := range []int{0, 1, 2} { // 0: one, to the killed leader's node
			t.Run(fmt.Sprint(seed, handOvers), func(t *testing.T) {
				nodes := 2 + handOvers + min(handOvers, 1)
				playLostWorker(t, 760+seed, nodes, 2*time.Second+time.Duration(seed)*100*time.Millisecond, func(c *fleettest.Cluster, leader *fleettest.Member) time.Duration {
					c.Kill(leader)
					for range handOvers {
						next := leaderBeside(c, leader)
						time.Sleep(20 * time.Millisecond)
						next.Node.Drain(context.Background())
						c.Kill(next)
					}
					last := leaderBeside(c, leader)
					c.Start(leader)
					if handOvers == 0 {
						time.Sleep(20 * time.Millisecond)
						last.Node.Drain(context.Background())
						c.Kill(last)
					}
					return restartBound
				})
			})
		}
	}
}
