package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Guards the witnesses of a leader that is gone for good where the next leader hands the lead on at once, as
// small hosts do: the one after it asks them too.
func TestServicesLostBesideLeaderThatIsGoneRunAgainAfterHandOver(t *testing.T) {
	for seed := range uint64(4) {
		for _, held := range []time.Duration{0, 100, 700} {
			t.Run(fmt.Sprint(seed, held), func(t *testing.T) {
				runCluster(t, 860+seed, 7, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
					const tasks = 12
					submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
					time.Sleep(witnessSettleTime + time.Duration(seed)*130*time.Millisecond)
					w := busyWorkers(c)[0]
					c.Workers.Kill(w)
					lost := time.Now()
					c.Kill(c.Leader())
					time.AfterFunc(entryLifetime, func() { c.Unlist(w) })
					for c.Leader() == nil {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(held * time.Millisecond)
					stopLeader(c)
					for runningAll(c) < tasks {
						require.Less(t, time.Since(lost), restartBound)
						time.Sleep(50 * time.Millisecond)
					}
					t.Logf("all tasks run again %v after the worker was lost", time.Since(lost))
				})
			})
		}
	}
}

// A next leader that was lost soon after it had taken the lead was waited for as one without witnesses, and the
// leader before it too: services lost with that one had no run for up to 11.3 s.
func TestServicesLostBesideTwoLeadersThatAreGoneRunAgainInTime(t *testing.T) {
	for seed := range uint64(4) {
		for _, held := range []time.Duration{0, 20, 100, 300, 700} {
			t.Run(fmt.Sprint(seed, held), func(t *testing.T) {
				runCluster(t, 880+seed, 7, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
					const tasks = 12
					submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
					time.Sleep(witnessSettleTime + time.Duration(seed)*130*time.Millisecond)
					w := busyWorkers(c)[0]
					c.Workers.Kill(w)
					lost := time.Now()
					c.Kill(c.Leader())
					time.AfterFunc(entryLifetime, func() { c.Unlist(w) })
					for c.Leader() == nil {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(held * time.Millisecond)
					c.Kill(c.Leader())
					bound := max(restartBound, time.Since(lost)+calmBound)
					for runningAll(c) < tasks {
						require.Less(t, time.Since(lost), bound, "9 s after the loss of the worker, and 7 s after that of the second leader")
						time.Sleep(50 * time.Millisecond)
					}
					t.Logf("all tasks run again %v after the worker was lost, %v before the bound", time.Since(lost), bound-time.Since(lost))
				})
			})
		}
	}
}
