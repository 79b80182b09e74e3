package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// loseAnswers makes the workers leave all calls unanswered for some milliseconds, beginning with the one
// that is being carried out. The fleet's lock is held.
func loseAnswers(c *fleettest.Cluster) {
	c.Workers.LostShare = 1
	time.AfterFunc(crashDelay/2, func() { c.Workers.WithLock(func() { c.Workers.LostShare = 0 }) })
}

// Three workers crashed under a task before its start was answered, which counted for nothing. Beside
// workers that start again for other causes the task was then started three times more.
func TestCrashesUnderUnansweredStartsCount(t *testing.T) {
	const unanswered = 3
	var c *fleettest.Cluster
	starts := 0
	tasks := func(fleet.TaskName) fleettest.Task {
		if starts++; starts <= unanswered {
			loseAnswers(c)
		}
		return fleettest.Task{Work: time.Second, Needs: smallNeeds, CrashAfter: crashDelay}
	}
	prepare := func() *fleettest.Cluster {
		c = fleettest.NewCluster(410, 3, 8, tasks)
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		time.Sleep(5 * time.Second)
		restartIdleWorkers(c, 1)
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}}})
		restartIdleWorkers(c, 80)
		waitFailed(t, c, 0, 1, 20*time.Second)
	})
}

// Guards against a task that is given up although one worker only has certainly crashed under it: its
// other starts were sent to workers that were already down.
func TestStartsInDoubtBesideOneCrashFailNoJob(t *testing.T) {
	var c *fleettest.Cluster
	starts := 0
	tasks := func(fleet.TaskName) fleettest.Task {
		task := fleettest.Task{Work: time.Second, Needs: smallNeeds}
		if starts++; starts == 1 {
			task.CrashAfter = crashDelay
		}
		return task
	}
	prepare := func() *fleettest.Cluster {
		c = fleettest.NewCluster(411, 3, 3, tasks)
		c.Workers.OnCrash = nil // the worker does not come back
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		c.Drain(c.Fleet[1])
		c.Drain(c.Fleet[2])
		time.Sleep(time.Second) // the leader has read that
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}}})
		for deadline := time.Now().Add(5 * time.Second); c.Checker.Crashes(fleet.TaskName(jobID(0)+".0.0.0")) == 0; time.Sleep(time.Millisecond) {
			require.True(t, time.Now().Before(deadline))
		}
		down, next := c.Fleet[1], c.Fleet[2]
		for range 6 {
			darken(c, down)
			c.List(down) // the next start goes to it
			time.Sleep(time.Second)
			up := brighten(c, down)
			time.Sleep(doubtSettled)
			c.Workers.WithLock(func() { require.Equal(t, 1, starts) })
			c.Drain(up)
			down, next = next, up
		}
		c.List(next)
		waitState(t, c, jobID(0), fleet.StateCompleted, 30*time.Second)
	})
}
