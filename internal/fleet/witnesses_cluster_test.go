package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// witnessSettleTime is the time in which a leader finds its witnesses and stores them.
const witnessSettleTime = 2 * time.Second

// A leader that is gone for good answers nobody, so the next one waited for all leases that it may have
// granted while it was silent: lasting tasks of a worker that was lost beside it did not run for 9.2 s
// and more.
func TestServicesLostBesideLeaderThatIsGoneRunAgainInTime(t *testing.T) {
	for seed := range uint64(6) {
		for _, lostNodes := range []int{1, 2} {
			t.Run(fmt.Sprint(seed, lostNodes), func(t *testing.T) {
				playLostWorker(t, 800+seed, 5, witnessSettleTime+time.Duration(seed)*130*time.Millisecond, func(c *fleettest.Cluster, leader *fleettest.Member) time.Duration {
					c.Kill(leader)
					if lostNodes > 1 {
						c.Kill(anotherNode(c, leader))
					}
					return restartBound
				})
			})
		}
	}
}

// anotherNode returns a node beside m.
func anotherNode(c *fleettest.Cluster, m *fleettest.Member) *fleettest.Member {
	return c.Nodes[(slices.Index(c.Nodes, m)+1)%len(c.Nodes)]
}

// requireRunsOutlast impairs the store for all nodes for 6 s. The tasks run on, each in its first run.
func requireRunsOutlast(t *testing.T, c *fleettest.Cluster, tasks int, impair, restore func(*fleettest.View)) {
	t.Helper()
	for _, m := range c.Nodes {
		impair(m.Store)
	}
	time.Sleep(6 * time.Second)
	for _, m := range c.Nodes {
		restore(m.Store)
	}
	time.Sleep(5 * time.Second)
	require.Equal(t, tasks, runningAll(c))
	require.Equal(t, tasks, c.Checker.StartCount(), "no run was lost")
}

// Guards the leases of an outage: while the store answers nobody, no node can take over, and work goes on.
func TestRunsOutlastSilentStore(t *testing.T) {
	for seed := range uint64(4) {
		for _, fault := range []fleettest.Fault{fleettest.Silent, fleettest.Busy} {
			t.Run(fmt.Sprint(seed, fault), func(t *testing.T) {
				runCluster(t, 820+seed, 5, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
					const tasks = 12
					submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
					time.Sleep(witnessSettleTime + time.Duration(seed)*130*time.Millisecond)
					requireRunsOutlast(t, c, tasks, func(v *fleettest.View) { v.SetFault(fault) }, func(v *fleettest.View) { v.SetFault(fleettest.Healthy) })
				})
			})
		}
	}
}

// The same soon after a change of leader: the witnesses of the new one were just being stored, and no
// confirmation held until the store answered. All runs ended 5.5 s after its last renewal.
func TestRunsOutlastSilentStoreAfterChangeOfLeader(t *testing.T) {
	for seed := range uint64(4) {
		for _, after := range []time.Duration{300, 600, 900, 1200} {
			t.Run(fmt.Sprint(seed, after), func(t *testing.T) {
				runCluster(t, 900+seed, 6, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
					const tasks = 12
					submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
					time.Sleep(witnessSettleTime)
					former := c.Leader()
					c.Kill(former)
					time.Sleep(100 * time.Millisecond)
					c.Start(former)
					for c.Leader() == nil {
						time.Sleep(time.Millisecond)
					}
					time.Sleep(after * time.Millisecond)
					requireRunsOutlast(t, c, tasks, func(v *fleettest.View) { v.SetFault(fleettest.Silent) }, func(v *fleettest.View) { v.SetFault(fleettest.Healthy) })
				})
			})
		}
	}
}

// A store that refuses all transactions but answers reads lets nobody take the lead. The witnesses did not
// confirm, as they had answers, and all runs ended 5.5 s after the leader's last renewal.
func TestRunsOutlastStoreThatRefusesTransactions(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, 900+seed, 6, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
				const tasks = 12
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
				time.Sleep(witnessSettleTime + time.Duration(seed)*130*time.Millisecond)
				requireRunsOutlast(t, c, tasks, func(v *fleettest.View) { v.RefuseWrites("vp-fence") }, func(v *fleettest.View) { v.RefuseWrites("") })
			})
		})
	}
}

// The store was silent for the part of the cell alone, where nobody could take the lead. The witnesses had
// answers about other parts and did not confirm, and all runs ended 5.5 s after the leader's last renewal.
func TestRunsOutlastStoreThatIsSilentForOnePart(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, 920+seed, 6, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
				const tasks = 12
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
				time.Sleep(witnessSettleTime + time.Duration(seed)*130*time.Millisecond)
				requireRunsOutlast(t, c, tasks, func(v *fleettest.View) { v.SilencePart("leader") }, func(v *fleettest.View) { v.SilencePart("") })
			})
		})
	}
}

// Guards the wait for a leader that most witnesses have confirmed: the store turned them away with it,
// and served the node that took the lead. It orders on as long as it is cut off.
func TestNextLeaderWaitsForConfirmedLeases(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: time.Minute, Needs: smallNeeds} }
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, 840+seed, 6, 6, long, func(t *testing.T, c *fleettest.Cluster) {
				const tasks = 6
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 2, Needs: smallNeeds, Estimate: time.Minute}}})
				time.Sleep(witnessSettleTime)
				former, cutOff := c.Leader(), busyWorkers(c)
				at := slices.Index(c.Nodes, former)
				for i := range 3 {
					c.Nodes[(at+1+i)%len(c.Nodes)].Store.SetFault(fleettest.Silent)
				}
				time.Sleep(2 * time.Second)
				former.Store.SetFault(fleettest.Silent)
				for _, m := range c.Nodes {
					if m != former {
						cutAll(m, cutOff)
					}
				}
				time.Sleep(1200*time.Millisecond + time.Duration(seed)*50*time.Millisecond)
				former.Peers.Cut(true)
				time.Sleep(20 * time.Second)
				require.Equal(t, 2*tasks, c.Checker.StartCount(), "all tasks start elsewhere")
			})
		})
	}
}
