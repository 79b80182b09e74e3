package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
