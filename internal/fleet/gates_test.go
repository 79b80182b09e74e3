package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// Jobs of a queue that the configuration had dropped waited for good after a change of leader.
func TestJobsOfDroppedQueueRunAfterChangeOfLeader(t *testing.T) {
	for name, cells := range map[string]int{"one cell": 1, "two cells": 2} {
		t.Run(name, func(t *testing.T) {
			prepare := func() *fleettest.Cluster {
				c := fleettest.NewCluster(480, 4, 4, shortTask)
				c.Cells = cells
				return c
			}
			runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
				const jobs = 4
				for _, dc := range []string{"dc0", "dc1", "dc2", "dc3"} {
					c.SetDataCentreOut(dc, true)
				}
				time.Sleep(time.Second)
				for i := range jobs {
					submit(t, c, jobID(i), twoSteps())
				}
				c.ConfigureEmpty(2)
				time.Sleep(time.Second)
				for _, m := range c.Nodes {
					c.Kill(m)
					c.Start(m)
				}
				time.Sleep(settleTime)
				for _, dc := range []string{"dc0", "dc1", "dc2", "dc3"} {
					c.SetDataCentreOut(dc, false)
				}
				waitAll(t, c, jobs, recoveryBound)
				for i := range jobs {
					require.Equal(t, 6, c.Checker.DoneTasks(jobID(i)))
				}
			})
		})
	}
}

// After a change of leader all earlier jobs waited 9 s for a worker although another one had answered
// at its address.
func TestWorkerWhoseAddressIsTakenDelaysNoOtherJob(t *testing.T) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		if n[:16] == fleet.TaskName(jobID(0)) {
			return lasting(n)
		}
		return shortTask(n)
	}
	runCluster(t, 481, 4, 4, tasks, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 4, PerWorker: 1, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2 * time.Second)
		former := c.Fleet[0]
		submit(t, c, jobID(1), twoSteps())
		c.Kill(c.Leader())
		c.Workers.Kill(former)
		c.Unlist(former)
		c.AddWorkerAt("x0", former.Info.Addr)
		killed := time.Now()
		waitState(t, c, jobID(1), fleet.StateCompleted, 20*time.Second)
		t.Logf("job done %v after the change of leader", time.Since(killed))
		require.Less(t, time.Since(killed), settleTime+3*time.Second, "two steps of a second, and a change of leader")
		time.Sleep(time.Second)
		require.Equal(t, 4, runningAll(c), "the lost task runs elsewhere")
	})
}
