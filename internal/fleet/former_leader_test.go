package fleet_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A leader that can no longer renew gave an order to a worker that had started again since it had
// answered the next leader. The new lifetime had seen no fence and carried the order out, while the
// next leader started the same task.
func TestFormerLeaderStartsOnLifetimeWithoutFence(t *testing.T) { runFormerLeader(t, false) }

// The same with a former leader that its peers do not reach either.
func TestFormerLeaderWithoutPeersStartsOnLifetimeWithoutFence(t *testing.T) {
	runFormerLeader(t, true)
}

func runFormerLeader(t *testing.T, peersCut bool) {
	for seed := range uint64(10) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			task := func(fleet.TaskName) fleettest.Task {
				return fleettest.Task{Work: 50 * time.Millisecond, Needs: smallNeeds}
			}
			runCluster(t, 440+seed, 3, 1, task, func(t *testing.T, c *fleettest.Cluster) {
				const occurrences = 100
				submit(t, c, jobID(0), fleet.Spec{Repeats: occurrences, StartAt: time.Now().Add(time.Second).UnixMilli(), Interval: 200 * time.Millisecond,
					Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: 50 * time.Millisecond}}})
				time.Sleep(2 * time.Second)
				former := c.Leader()
				former.Store.SetFault(fleettest.Silent)
				former.Peers.Cut(peersCut)
				w := c.RunningWorkers()[0]
				for next := (*fleettest.Member)(nil); next == nil; time.Sleep(time.Millisecond) {
					for _, m := range c.Nodes {
						if m != former && m.Node.Leading() {
							next = m
						}
					}
				}
				time.Sleep(20 * time.Millisecond) // the worker has answered the next leader
				w = restart(c, w)
				time.Sleep(entryDelay)
				c.List(w)
				time.Sleep(5 * time.Second)
				former.Store.SetFault(fleettest.Healthy)
				former.Peers.Cut(false)
				time.Sleep(5 * time.Second)
			})
		})
	}
}
