package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// All workers were on probation, each waiting task had failed once, and nothing started any more: a
// worker on probation took only tasks that had not failed, and only a success ended the probation.
func TestProbationEndsWithoutSuccess(t *testing.T) {
	const quick, sound, hopeless = 5, 5, 6 // jobs 0 to 4 are quick
	tasks := func(n fleet.TaskName) fleettest.Task {
		task := fleettest.Task{Work: 300 * time.Millisecond, Needs: smallNeeds}
		switch string(n[:16]) {
		case jobID(sound): // fails once, after the others
			task.Work, task.Fails = 5*time.Second, 1
		case jobID(hopeless):
			task.Fails = math.MaxInt
		}
		return task
	}
	runCluster(t, 57, 3, 3, tasks, func(t *testing.T, c *fleettest.Cluster) {
		c.Configure(2, 4)
		job := func(count int) fleet.Spec {
			return fleet.Spec{Steps: []fleet.Step{{Count: count, Needs: smallNeeds, Estimate: 300 * time.Millisecond}}}
		}
		for i := range quick {
			submit(t, c, jobID(i), job(1))
			time.Sleep(100 * time.Millisecond)
		}
		submit(t, c, jobID(sound), job(1))
		time.Sleep(100 * time.Millisecond)
		submit(t, c, jobID(hopeless), job(6))
		waitState(t, c, jobID(sound), fleet.StateCompleted, 40*time.Second)
		waitState(t, c, jobID(hopeless), fleet.StateFailed, 40*time.Second)
	})
}

// A job that cannot be done quarantined all workers, and other jobs waited until the quarantines were
// over.
func TestFailingJobLeavesMostWorkersInUse(t *testing.T) {
	tasks := func(n fleet.TaskName) fleettest.Task {
		task := fleettest.Task{Work: 300 * time.Millisecond, Needs: smallNeeds}
		if string(n[:16]) == jobID(0) {
			task.Fails = math.MaxInt
		}
		return task
	}
	runCluster(t, 58, 3, 4, tasks, func(t *testing.T, c *fleettest.Cluster) {
		c.Configure(2, 6)
		job := fleet.Spec{Steps: []fleet.Step{{Count: 16, Needs: smallNeeds, Estimate: 300 * time.Millisecond}}}
		submit(t, c, jobID(0), job)
		time.Sleep(400 * time.Millisecond) // the first attempts have failed
		submit(t, c, jobID(1), job)
		waitState(t, c, jobID(1), fleet.StateCompleted, 2*time.Second)
	})
}
