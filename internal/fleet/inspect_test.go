package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/usage"
)

func long(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: time.Minute, Needs: smallNeeds} }

func TestNodesDescribeThemselves(t *testing.T) {
	runCluster(t, 110, 3, 2, long, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), twoSteps())
		time.Sleep(time.Second)
		leader := c.Leader()
		for _, m := range c.Nodes {
			v := m.Node.Inspect(t.Context(), jobID(0))
			require.Equal(t, leader.Name, string(v.Leader))
			require.True(t, v.Ready)
			require.Equal(t, m == leader, v.Fleet != nil, "only the leader knows the fleet")
		}
		v := leader.Node.Inspect(t.Context(), jobID(0)).Fleet
		require.Equal(t, map[fleet.State]int{fleet.StateRunning: 1}, v.Jobs)
		require.Len(t, v.Workers, 2)
		require.Equal(t, "usable", v.Workers[0].State)
		require.Len(t, v.Job.Runs, 4)
		require.Equal(t, "running", v.Job.Runs[0].State)
		require.Empty(t, v.Job.Reason, "no step of it waits")
		require.Nil(t, leader.Node.Inspect(t.Context(), "unknown").Fleet.Job)
	})
}

func TestReasonsOfWaiting(t *testing.T) {
	wide := func(count int, change func(*fleet.Step)) fleet.Spec {
		s := fleet.Step{Count: count, Needs: smallNeeds, Estimate: time.Second}
		if change != nil {
			change(&s)
		}
		return fleet.Spec{Text: "x", Steps: []fleet.Step{s}}
	}
	for name, test := range map[string]struct {
		spec   fleet.Spec
		before func(*fleettest.Cluster)
		want   string
	}{
		"room":   {spec: wide(17, nil), want: "no usable worker with room"},
		"label":  {spec: wide(1, func(s *fleet.Step) { s.Label = "gpu" }), want: "no usable worker with label gpu"},
		"spread": {spec: wide(3, func(s *fleet.Step) { s.PerWorker = 1 }), want: "each usable worker has as many tasks of the step as allowed"},
		"gang":   {spec: wide(17, func(s *fleet.Step) { s.Gang = true }), want: "no room for all members at once"},
		"out": {spec: wide(1, nil), want: "no usable worker of service svc", before: func(c *fleettest.Cluster) {
			c.SetDataCentreOut("dc0", true)
			c.SetDataCentreOut("dc1", true)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 111, 3, 2, long, func(t *testing.T, c *fleettest.Cluster) {
				if test.before != nil {
					test.before(c)
					time.Sleep(time.Second)
				}
				submit(t, c, jobID(0), test.spec)
				time.Sleep(time.Second)
				v := c.Leader().Node.Inspect(t.Context(), jobID(0)).Fleet
				require.Equal(t, test.want, v.Job.Reason)
				require.Equal(t, 1, v.WaitingSteps)
				require.Equal(t, test.want, v.Waiting[0].Reason)
				require.NoError(t, c.Nodes[0].Node.Cancel(t.Context(), c.Queue, jobID(0)))
				time.Sleep(time.Second)
				require.Equal(t, "over", c.Leader().Node.Inspect(t.Context(), jobID(0)).Fleet.Job.Reason)
			})
		})
	}
}

// A node reports its resource usage as shares of its host's limits, measured once a second.
func TestNodeReportsItsUsage(t *testing.T) {
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(97, 3, 2, shortTask)
		begun := time.Now()
		for _, m := range c.Nodes {
			m.MilliCPU = 200
			m.Usage = func() usage.Total {
				return usage.Total{CPU: time.Duration(0.05 * float64(time.Since(begun)))}
			}
		}
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		v := c.Nodes[0].Node.Inspect(t.Context(), "")
		require.NotNil(t, v.Use)
		require.InDelta(t, 0.25, v.Use.CPU, 0.001)
		require.Zero(t, v.Use.Link, "the limit of the link is unknown")
	})
}
