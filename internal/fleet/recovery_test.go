package fleet_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A new leader reads many parts over a slow link, which carries one answer at a time, or from a
// store that loses calls. Reading all parts at the same time would time out again and again.
func TestLeaderReadsStoreOverPoorLinks(t *testing.T) {
	for name, impair := range map[string]func(*fleettest.View){
		"narrow": func(v *fleettest.View) { v.SetReadTransferTime(50 * time.Millisecond) },
		"lossy":  func(v *fleettest.View) { v.SetReadLoss(0.3) },
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 27, 3, 4, slowTask, func(t *testing.T, c *fleettest.Cluster) {
				for i := range 4 {
					submit(t, c, jobID(i), twoSteps())
				}
				for _, m := range c.Nodes {
					impair(m.Store)
				}
				c.Kill(c.Leader())
				waitAll(t, c, 4, 30*time.Second)
			})
		})
	}
}

// A new leader takes seconds to read the store over a slow link. Changes in the tables that it
// has already read must take effect before its first starts; otherwise tasks would start on a
// worker that has begun to drain.
func TestChangesWhileLeaderReadsTheStore(t *testing.T) {
	for seed := range uint64(8) {
		runCluster(t, 120+seed, 3, 2, long, func(t *testing.T, c *fleettest.Cluster) {
			for _, m := range c.Nodes {
				m.Store.SetReadTransferTime(100 * time.Millisecond)
			}
			c.Kill(c.Leader())
			for c.Leader() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(2500 * time.Millisecond) // the table of workers has been read
			c.Drain(c.Fleet[0])
			time.Sleep(1200 * time.Millisecond)
			for _, m := range c.Nodes {
				m.Store.SetReadTransferTime(0)
				m.Store.SetDelay(300 * time.Millisecond) // a watch answers later than a transaction
			}
			submit(t, c, jobID(0), twoSteps())
			for range 200 {
				if c.Workers.RunCount(c.Fleet[0])+c.Workers.RunCount(c.Fleet[1]) == 4 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			require.Zero(t, c.Workers.RunCount(c.Fleet[0]), "no start on a draining worker")
			require.Equal(t, 4, c.Workers.RunCount(c.Fleet[1]))
		})
	}
}

// recoveryBound is the contract's bound on the time until a system whose hosts are up again
// serves.
const recoveryBound = 15 * time.Second

// TestRecoveryTime measures how long a job that is submitted at the time of a fault waits for
// its first start, and checks it against recoveryBound.
func TestRecoveryTime(t *testing.T) {
	faults := map[string]func(*fleettest.Cluster){
		"leader killed": func(c *fleettest.Cluster) { c.Kill(c.Leader()) },
		"leader drains": func(c *fleettest.Cluster) {
			l := c.Leader()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			l.Node.Drain(ctx)
			c.Kill(l)
		},
		"leader cut from the store": func(c *fleettest.Cluster) { c.Leader().Store.SetFault(fleettest.Silent) },
		"all hosts lose power": func(c *fleettest.Cluster) {
			c.StopAll()
			c.StartAll()
		},
	}
	long := func(n fleet.TaskName) fleettest.Task {
		if strings.HasPrefix(string(n), jobID(0)) {
			return fleettest.Task{Work: 20 * time.Second, Needs: smallNeeds}
		}
		return shortTask(n)
	}
	for name, fault := range faults {
		for _, latency := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, store %v", name, latency), func(t *testing.T) {
				runCluster(t, 29, 4, 4, long, func(t *testing.T, c *fleettest.Cluster) {
					submit(t, c, jobID(0), twoSteps())
					time.Sleep(time.Second)
					c.Store.SetLatency(latency)
					begun := time.Now()
					fault(c)
					submit(t, c, jobID(1), twoSteps())
					for c.Checker.StartCount() < 5 {
						require.Less(t, time.Since(begun), recoveryBound)
						time.Sleep(10 * time.Millisecond)
					}
					t.Logf("first start after %v", time.Since(begun).Round(10*time.Millisecond))
					c.Store.SetLatency(4 * time.Millisecond)
					for _, m := range c.Nodes {
						m.Store.SetFault(fleettest.Healthy)
					}
					waitAll(t, c, 2, 60*time.Second)
				})
			})
		}
	}
}

// A worker is lost together with the leader. The new leader must not extend the worker's lease,
// so that its tasks start elsewhere within 10 s. The platform requires lasting work to run
// again after 7 s without a fault, and the loss of a node counts as a fault of 3 s.
func TestTasksLostWithTheLeaderAreRestarted(t *testing.T) {
	runCluster(t, 95, 3, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
		const tasks = 6
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2 * time.Second)
		require.Equal(t, tasks, runningAll(c))
		for _, w := range c.Fleet {
			if c.Workers.RunCount(w) > 0 {
				c.Workers.Kill(w)
				break
			}
		}
		c.Kill(c.Leader())
		require.Less(t, runningAll(c), tasks)
		begun := time.Now()
		for runningAll(c) < tasks {
			require.Less(t, time.Since(begun), 10*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// A store that does not answer any node for 6 s must not end leases, and no task may be started
// again.
func TestSilentStoreEndsNoLease(t *testing.T) {
	runCluster(t, 96, 3, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2 * time.Second)
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Silent)
		}
		time.Sleep(6 * time.Second)
		for _, m := range c.Nodes {
			m.Store.SetFault(fleettest.Healthy)
		}
		time.Sleep(8 * time.Second)
		require.Equal(t, 6, runningAll(c))
		require.Equal(t, 6, c.Checker.StartCount())
	})
}

// A new leader does not know whether lasting tasks on workers that it has not reached still run.
// Until it does, new services must not take the capacity that a restart of these tasks needs.
func TestNewServicesLeaveCapacityForLostTasks(t *testing.T) {
	runCluster(t, 98, 3, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
		const tasks = 24 // fill three of the four workers
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2 * time.Second)
		require.Equal(t, tasks, runningOf(c, jobID(0)))
		for _, w := range c.Fleet {
			if c.Workers.RunCount(w) == 8 {
				c.Workers.Kill(w)
				break
			}
		}
		c.Kill(c.Leader())
		time.Sleep(3 * time.Second)
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 8, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(8 * time.Second)
		require.Equal(t, tasks, runningOf(c, jobID(0)))
		require.Zero(t, runningOf(c, jobID(1)), "there is no free capacity for it")
	})
}

// New services must not wait for unaccounted tasks if the free capacity is enough for both.
func TestNewServicesStartBesideUnknownOnes(t *testing.T) {
	runCluster(t, 99, 3, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 8, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2 * time.Second)
		for _, w := range c.Fleet {
			if c.Workers.RunCount(w) > 0 {
				c.Workers.Kill(w)
				break
			}
		}
		c.Kill(c.Leader())
		time.Sleep(3500 * time.Millisecond)
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 8, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		require.Equal(t, 8, runningOf(c, jobID(1)))
	})
}

// After all hosts have been without power for longer than any lease, the first one that is back must
// lead at once, although the last leader was another. Within the leases it must wait for that leader.
func TestFirstHostThatIsBackLeadsAtOnce(t *testing.T) {
	for _, c := range []struct {
		dark, least, most time.Duration
	}{{4 * time.Second, 1900 * time.Millisecond, 3500 * time.Millisecond}, {15 * time.Second, 0, 700 * time.Millisecond}} {
		t.Run(c.dark.String(), func(t *testing.T) {
			runCluster(t, 17, 3, 2, shortTask, func(t *testing.T, cluster *fleettest.Cluster) {
				last := cluster.Leader()
				for _, m := range cluster.Nodes {
					cluster.Kill(m)
				}
				time.Sleep(c.dark)
				first := cluster.Nodes[0]
				if first == last {
					first = cluster.Nodes[1]
				}
				cluster.Start(first)
				began := time.Now()
				for cluster.Leader() == nil && time.Since(began) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				require.Equal(t, first, cluster.Leader())
				require.GreaterOrEqual(t, time.Since(began), c.least)
				require.LessOrEqual(t, time.Since(began), c.most)
			})
		})
	}
}
