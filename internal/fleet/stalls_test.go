package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// stepOf returns a job with one step of tasks that are estimated to take some time.
func stepOf(count int, estimate time.Duration) fleet.Spec {
	return fleet.Spec{Steps: []fleet.Step{{Count: count, Needs: smallNeeds, Estimate: estimate}}}
}

// A percent of a long run takes longer than a short run may stand still.
func TestLongRunsFinishOnFirstAttempt(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		work, estimate time.Duration
		newLeader      bool
	}{
		{900 * time.Second, 900 * time.Second, false},
		{900 * time.Second, 900 * time.Second / 8, true},
		{900 * time.Second, 900 * time.Second * 8, false},
		{time.Hour, time.Hour, false},
		{time.Hour, time.Hour / 8, true},
	} {
		t.Run(fmt.Sprintf("%v estimated as %v", c.work, c.estimate), func(t *testing.T) {
			long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: c.work, Needs: smallNeeds} }
			runCluster(t, 420, 2, 2, long, func(t *testing.T, cl *fleettest.Cluster) {
				submit(t, cl, jobID(0), stepOf(2, c.estimate))
				time.Sleep(c.work / 3)
				if c.newLeader {
					l := cl.Leader()
					cl.Kill(l)
					cl.Start(l)
				}
				time.Sleep(c.work * 2 / 3)
				waitState(t, cl, jobID(0), fleet.StateCompleted, 5*time.Second)
				require.Equal(t, 2, cl.Checker.StartCount())
			})
		})
	}
}

// A task whose estimate is too short by more than any bound completes all the same.
func TestLongRunOfTaskEstimatedAsShortCompletes(t *testing.T) {
	t.Parallel()
	long := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: time.Hour, Needs: smallNeeds}
	}
	runCluster(t, 421, 2, 4, long, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), stepOf(1, time.Second))
		time.Sleep(time.Hour)
		waitState(t, c, jobID(0), fleet.StateCompleted, 5*time.Minute)
	})
}

// A run that stands still is stopped in the time that docs/platform.md states, and its task
// completes elsewhere.
func TestStalledRunIsFound(t *testing.T) {
	t.Parallel()
	// reportTime covers the time to the report that shows the last progress or processor use, to
	// the one that shows that there was no more, and to the next start.
	const reportTime = 3 * time.Second
	const reportInterval = time.Second
	for _, c := range []struct {
		work, estimate time.Duration
		stalls         float64 // share of the work
		spins          bool
		found          time.Duration
	}{
		{20 * time.Second, 20 * time.Second, 0.5, false, 1500 * time.Millisecond},
		{20 * time.Second, 20 * time.Second, 0.5, true, 5 * time.Second},
		{20 * time.Second, 160 * time.Second, 0.5, true, 5 * time.Second},
		{100 * time.Second, 100 * time.Second, 0.5, false, 1500 * time.Millisecond},
		{100 * time.Second, 100 * time.Second, 0.5, true, 5 * time.Second},
		{900 * time.Second, 900 * time.Second, 0.5, false, 9 * time.Second},
		{900 * time.Second, 900 * time.Second, 0.5, true, 4 * (9*time.Second + reportInterval)},
		{900 * time.Second, 900 * time.Second, 0.001, true, 90 * time.Second},
		{time.Hour, time.Hour, 0.5, false, 10 * time.Second},
		{time.Hour, time.Hour, 0.5, true, 4 * (36*time.Second + reportInterval)},
		{time.Hour, time.Hour, 0.001, true, 360 * time.Second},
	} {
		t.Run(fmt.Sprintf("%v estimated as %v from %v, spins %v", c.work, c.estimate, c.stalls, c.spins), func(t *testing.T) {
			stallsAt := time.Duration(c.stalls * float64(c.work))
			stalls := func(fleet.TaskName) fleettest.Task {
				return fleettest.Task{Work: c.work, Needs: smallNeeds, StallsAt: stallsAt, Spins: c.spins}
			}
			runCluster(t, 422, 2, 2, stalls, func(t *testing.T, cl *fleettest.Cluster) {
				submit(t, cl, jobID(0), stepOf(1, c.estimate))
				time.Sleep(stallsAt)
				stalled := time.Now()
				require.Equal(t, 1, cl.Checker.StartCount())
				for cl.Checker.StartCount() < 2 {
					require.Less(t, time.Since(stalled), c.found+reportTime)
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("found after %v", time.Since(stalled))
				if c.work == time.Hour { // the rest is as in shorter runs
					require.NoError(t, cl.Nodes[0].Node.Cancel(t.Context(), cl.Queue, jobID(0)))
					cl.Checker.Cancelled(jobID(0))
					time.Sleep(time.Second)
					return
				}
				time.Sleep(c.work)
				waitState(t, cl, jobID(0), fleet.StateCompleted, 5*time.Second)
				require.Equal(t, 2, cl.Checker.StartCount())
			})
		})
	}
}
