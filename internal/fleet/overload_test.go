package fleet_test

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// logLines collects the lines of a log that contain a text.
type logLines struct {
	mu    sync.Mutex
	text  string
	lines []string
}

// Write implements io.Writer.
func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.Contains(string(p), l.text) {
		l.lines = append(l.lines, string(p))
	}
	return len(p), nil
}

func (l *logLines) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.lines...)
}

// startBurst submits jobs with many short tasks, more than a slow leader can handle in time.
func startBurst(t *testing.T, c *fleettest.Cluster, jobs, tasks int) {
	step := fleet.Step{Count: tasks, Needs: model.Resources{MilliCPU: 10, MemoryMB: 5}, Estimate: time.Second}
	for i := range jobs {
		submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{step}})
	}
}

// A leader with a slow processor falls behind with the answers to its starts. It must still
// renew its term and the leases of healthy workers, or their tasks would be started again.
func TestSlowLeaderRenewsLeases(t *testing.T) {
	brief := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: 12 * time.Second, Needs: model.Resources{MilliCPU: 10, MemoryMB: 5}}
	}
	lapsed, terms := &logLines{text: `"choice":"lapsed"`}, &logLines{text: `"msg":"term begins"`}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(91, 3, 12, brief)
		c.Cells, c.Log = 1, io.MultiWriter(lapsed, terms)
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		c.Leader().SetEventCost(startCost)
		const jobs, tasks = 24, 120
		startBurst(t, c, jobs, tasks)
		waitAll(t, c, jobs, 200*time.Second)
		require.Empty(t, lapsed.all())
		require.Len(t, terms.all(), 1, "a leader that is behind with starts keeps renewing")
		require.Equal(t, jobs*tasks, c.Checker.StartCount(), "each task starts once")
	})
}

// Stops of a cancelled job must reach workers in time, although the leader's queue is full of
// answers to starts.
func TestSlowProcessorStopsCancelledWork(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: time.Minute, Needs: model.Resources{MilliCPU: 10, MemoryMB: 5}}
	}
	cancelled := jobID(999)
	terms := &logLines{text: `"msg":"term begins"`}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(92, 3, 12, long)
		c.Cells, c.Log = 1, terms
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, cancelled, twoSteps())
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 4, runningOf(c, cancelled))
		c.Leader().SetEventCost(startCost)
		startBurst(t, c, 24, 120)
		time.Sleep(time.Second)
		require.NoError(t, c.Nodes[1].Node.Cancel(t.Context(), c.Queue, cancelled))
		c.Checker.Cancelled(cancelled)
		time.Sleep(cancelWithin)
		require.Zero(t, runningOf(c, cancelled))
		require.Len(t, terms.all(), 1)
	})
}

// cancelWithin is the lowest cancel_ms of the platform's pages plus the stop_ms given with it.
const cancelWithin = 3400 * time.Millisecond

// runningOf returns the number of runs of a job.
func runningOf(c *fleettest.Cluster, job string) int {
	n := 0
	for _, task := range c.Workers.RunningTasks() {
		if name, _, _ := strings.Cut(string(task), "."); name == job {
			n++
		}
	}
	return n
}

// State queries of callers must not queue up at a slow leader. Other nodes must answer them
// from the store, correctly and in time.
func TestSlowProcessorAnswersState(t *testing.T) {
	asked := jobID(999)
	runCluster(t, 93, 3, 12, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, asked, twoSteps())
		waitState(t, c, asked, fleet.StateCompleted, 10*time.Second)
		c.Leader().SetEventCost(20 * time.Millisecond)
		startBurst(t, c, 6, 60)
		var wg sync.WaitGroup
		failed := &logLines{}
		for i := range 2 * 256 {
			wg.Go(func() {
				state, err := c.Nodes[i%3].Node.State(t.Context(), c.Queue, asked)
				if err != nil || state != fleet.StateCompleted {
					_, _ = failed.Write(fmt.Appendf(nil, "%v %v", state, err))
				}
			})
		}
		begun := time.Now()
		wg.Wait()
		require.Empty(t, failed.all())
		require.Less(t, time.Since(begun), 3*time.Second)
	})
}

// startCost is the time of an event on a host with a limit of a fifth of a core, of which a
// third is available. A start takes some 0.9 ms of CPU time, see docs/CAPACITY.md.
const startCost = 15 * time.Millisecond

// lostAnswerShare is twice the share of lost answers that the platform's pages state.
const lostAnswerShare = 0.06

// Orders whose answers are lost have taken effect. The leader must learn this from polls: no
// task may start twice, and none may wait until a lease ends.
func TestTasksStartOnceWhenAnswersAreLost(t *testing.T) {
	for seed := range uint64(4) {
		runCluster(t, 120+seed, 3, 6, shortTask, func(t *testing.T, c *fleettest.Cluster) {
			c.Workers.WithLock(func() { c.Workers.LostShare = lostAnswerShare })
			begun := time.Now()
			for i := range 8 {
				submit(t, c, jobID(i), twoSteps())
			}
			waitAll(t, c, 8, 12*time.Second)
			require.Equal(t, 8*6, c.Checker.StartCount(), "each task starts once")
			require.Less(t, time.Since(begun), 12*time.Second)
		})
	}
}

// Many urgent jobs arrive at the same time. Each must start within the stated time: the first
// must not be delayed by planning the others, and none may wait while there is free capacity.
func TestBurstOfUrgentJobs(t *testing.T) {
	runCluster(t, 125, 3, 12, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		const jobs = 24 // 96 tasks of a core, on 96 cores
		for i := range jobs {
			go func() { _ = c.Nodes[i%3].Node.Submit(t.Context(), c.Queue, jobID(i), twoSteps()) }()
		}
		time.Sleep(urgentWithin)
		for i := range jobs {
			require.True(t, c.Checker.Started(jobID(i)), "job %d", i)
		}
		waitAll(t, c, jobs, 10*time.Second)
	})
}

// urgentWithin is the stated time within which urgent work starts, even if many jobs arrive at
// once.
const urgentWithin = 1400 * time.Millisecond
