package fleet_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// settleTime is the time in which a started cluster elects a leader that knows its workers.
const settleTime = 3 * time.Second

// linkDrain is the time in which abandoned calls finish on slow links, which they still
// occupy. A test waits for it, as synctest requires that all goroutines end.
const linkDrain = 20 * time.Second

var smallNeeds = model.Resources{MilliCPU: 1000, MemoryMB: 500}

// shortTask returns a task that takes a second and saves checkpoints.
func shortTask(fleet.TaskName) fleettest.Task {
	return fleettest.Task{Work: time.Second, Needs: smallNeeds, Checkpoint: true}
}

// twoSteps returns a job with a step of four tasks, followed by a step of two.
func twoSteps() fleet.Spec {
	return fleet.Spec{Text: "x", Steps: []fleet.Step{
		{Count: 4, Needs: smallNeeds, Estimate: time.Second, Checkpoints: true},
		{Count: 2, Needs: smallNeeds, Estimate: time.Second, Checkpoints: true, After: []int{0}},
	}}
}

// runCluster runs a test on a new cluster in virtual time, after settleTime, and checks at the
// end that the run checker found no violation.
func runCluster(t *testing.T, seed uint64, nodes, workers int, tasks func(fleet.TaskName) fleettest.Task, test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	runClusterWith(t, func() *fleettest.Cluster { return fleettest.NewCluster(seed, nodes, workers, tasks) }, test)
}

// runClusterWith is like runCluster with a cluster that prepare returns; its nodes are not
// started yet.
func runClusterWith(t *testing.T, prepare func() *fleettest.Cluster, test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	playCluster(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		test(t, c)
		c.StopAll()
		require.Empty(t, c.Checker.Violations())
	})
}

// playCluster is like runClusterWith and leaves violations to the test.
func playCluster(t *testing.T, prepare func() *fleettest.Cluster, test func(*testing.T, *fleettest.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := prepare()
		if os.Getenv("FLEET_LOG") != "" {
			c.Log = os.Stderr
		}
		defer func() {
			c.StopAll()
			time.Sleep(linkDrain)
		}()
		c.StartAll()
		time.Sleep(settleTime)
		require.NotNil(t, c.Leader(), "a leader after %v", settleTime)
		test(t, c)
	})
}

// submit submits a job at one node, and repeats this at other nodes until one accepts it.
func submit(t *testing.T, c *fleettest.Cluster, id string, spec fleet.Spec) {
	t.Helper()
	var err error
	for try := range 12 {
		m := c.Nodes[try%len(c.Nodes)]
		if !m.Up() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err = m.Node.Submit(ctx, c.Queue, id, spec)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	require.NoError(t, err)
}

func jobID(i int) string { return fmt.Sprintf("%016x", i+1) }

// waitState waits until a job has a state at every node that is up.
func waitState(t *testing.T, c *fleettest.Cluster, id string, want fleet.State, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	var got fleet.State
	var err error
	for _, m := range c.Nodes {
		for m.Up() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			got, err = m.Node.State(ctx, c.Queue, id)
			cancel()
			if err == nil && got == want {
				break
			}
			require.False(t, time.Now().After(deadline), "job %s at %s: state %q, error %v, want %q", id, m.Name, got, err, want)
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func waitAll(t *testing.T, c *fleettest.Cluster, n int, limit time.Duration) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for i := range n {
		waitState(t, c, jobID(i), fleet.StateCompleted, time.Until(deadline))
	}
}

func TestJobsCompleteOnce(t *testing.T) {
	runCluster(t, 1, 3, 4, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		begun := time.Now()
		for i := range 5 {
			submit(t, c, jobID(i), twoSteps())
		}
		waitAll(t, c, 5, 20*time.Second)
		require.Equal(t, 30, c.Checker.StartCount(), "each task starts once")
		// 30 tasks of a second on 32 cores, in two consecutive steps, plus the overhead.
		require.Less(t, time.Since(begun), 2500*time.Millisecond)
	})
}

func TestSameSubmissionTwiceIsOneJob(t *testing.T) {
	runCluster(t, 2, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		for _, m := range c.Nodes {
			require.NoError(t, m.Node.Submit(t.Context(), c.Queue, jobID(0), twoSteps()))
		}
		waitAll(t, c, 1, 10*time.Second)
		require.Equal(t, 6, c.Checker.StartCount())
	})
}

func TestUnknownJobIsGone(t *testing.T) {
	runCluster(t, 3, 2, 1, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		_, err := c.Nodes[0].Node.State(t.Context(), c.Queue, jobID(7))
		require.True(t, model.IsKind(err, model.KindGone), "%v", err)
		require.True(t, model.IsKind(c.Nodes[1].Node.Cancel(t.Context(), c.Queue, jobID(7)), model.KindGone))
	})
}

func TestCancelStopsWork(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: time.Minute, Needs: smallNeeds} }
	runCluster(t, 4, 3, 2, long, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), twoSteps())
		time.Sleep(500 * time.Millisecond)
		require.NoError(t, c.Nodes[1].Node.Cancel(t.Context(), c.Queue, jobID(0)))
		c.Checker.Cancelled(jobID(0))
		time.Sleep(time.Second)
		for _, w := range c.Fleet {
			require.Zero(t, c.Workers.RunCount(w))
		}
		waitState(t, c, jobID(0), fleet.StateCancelled, time.Second)
	})
}

// A job that was cancelled after it had completed was shown as cancelled by the next leader, which
// reads the cancellation before the job's progress.
func TestCompletedJobStaysCompleted(t *testing.T) {
	runCluster(t, 415, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), twoSteps())
		waitState(t, c, jobID(0), fleet.StateCompleted, 10*time.Second)
		require.NoError(t, c.Nodes[0].Node.Cancel(t.Context(), c.Queue, jobID(0)))
		for range 2 {
			l := c.Leader()
			c.Kill(l)
			c.Start(l)
			time.Sleep(settleTime)
			waitState(t, c, jobID(0), fleet.StateCompleted, time.Second)
		}
	})
}

func TestFailureBudget(t *testing.T) {
	fails := func(n int) func(fleet.TaskName) fleettest.Task {
		return func(fleet.TaskName) fleettest.Task {
			return fleettest.Task{Work: 100 * time.Millisecond, Needs: smallNeeds, Fails: n}
		}
	}
	one := fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: 100 * time.Millisecond}}}
	runCluster(t, 5, 3, 6, fails(1), func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), one)
		waitState(t, c, jobID(0), fleet.StateCompleted, 5*time.Second)
	})
	runCluster(t, 6, 3, 6, fails(2), func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), one)
		waitState(t, c, jobID(0), fleet.StateFailed, 5*time.Second)
		require.Equal(t, 2, c.Checker.StartCount())
	})
}

func TestDataCentreOutOfServiceGetsNoStart(t *testing.T) {
	runCluster(t, 7, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.SetDataCentreOut("dc0", true)
		time.Sleep(time.Second)
		for i := range 3 {
			submit(t, c, jobID(i), twoSteps())
			time.Sleep(300 * time.Millisecond)
			require.Zero(t, c.Workers.RunCount(c.Fleet[0]))
		}
		waitAll(t, c, 3, 20*time.Second)
		require.Zero(t, c.Workers.RunCount(c.Fleet[0]))
	})
}

func TestLastingTasksAreRestarted(t *testing.T) {
	runCluster(t, 8, 3, 3, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		var victim *fleettest.Worker
		for _, w := range c.Fleet {
			if c.Workers.RunCount(w) > 0 {
				victim = w
			}
		}
		c.Workers.Kill(victim)
		c.Unlist(victim)
		time.Sleep(8 * time.Second)
		total := 0
		for _, w := range c.Fleet {
			total += c.Workers.RunCount(w)
		}
		require.Equal(t, 3, total)
	})
}

func TestGangStartsTogether(t *testing.T) {
	runCluster(t, 9, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 20, Needs: smallNeeds, Gang: true, Estimate: time.Second}}})
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 12, Needs: smallNeeds, Gang: true, Estimate: time.Second}}})
		waitState(t, c, jobID(1), fleet.StateCompleted, 10*time.Second)
		require.Equal(t, 12, c.Checker.StartCount(), "a gang that cannot fit starts no member")
	})
}

func TestRepeatsStartWhenDue(t *testing.T) {
	runCluster(t, 10, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		begun := time.Now()
		submit(t, c, jobID(0), fleet.Spec{
			Steps:   []fleet.Step{{Count: 1, Needs: smallNeeds, Estimate: time.Second}},
			Repeats: 3, StartAt: begun.Add(2 * time.Second).UnixMilli(), Interval: 500 * time.Millisecond,
		})
		time.Sleep(1500 * time.Millisecond)
		require.Zero(t, c.Checker.StartCount())
		waitState(t, c, jobID(0), fleet.StateCompleted, 10*time.Second)
		require.Equal(t, 3, c.Checker.StartCount())
		require.GreaterOrEqual(t, time.Since(begun), 4*time.Second)
	})
}

// Machines of a wave are maintained under the cap. Their lasting tasks must be moved before, at
// most MaxInterrupted of a step at once, and a change of leader in between must neither lose nor
// repeat a machine.
func TestMaintenanceWave(t *testing.T) {
	runClusterWith(t, withInventory(11, 5, lasting), func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 4, PerWorker: 1, Needs: smallNeeds, Lasting: true, MaxInterrupted: 1}}})
		time.Sleep(time.Second)
		c.RequestWave([]string{"w0", "w1", "w2", "w3", "w4"}, 2)
		time.Sleep(6 * time.Second)
		require.False(t, c.WaveCompleted())
		c.Kill(c.Leader())
		for range 120 {
			if len(c.Inventory.Maintained()) >= 5 && c.WaveCompleted() {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		require.True(t, c.WaveCompleted())
		begun := map[string]bool{}
		for _, m := range c.Inventory.Maintained() {
			begun[m] = true
		}
		require.Len(t, begun, 5, "a wave is completed when the maintenance of each machine has begun")
		require.LessOrEqual(t, c.Inventory.MaxInMaintenance(), 2)
		time.Sleep(5 * time.Second)
		running := 0
		for _, w := range c.AllWorkers() {
			running += c.Workers.RunCount(w)
		}
		require.Equal(t, 4, running)
	})
}

func lasting(fleet.TaskName) fleettest.Task { return fleettest.Task{Lasting: true, Needs: smallNeeds} }

// withInventory prepares a cluster of three nodes with an inventory of its workers.
func withInventory(seed uint64, workers int, tasks func(fleet.TaskName) fleettest.Task) func() *fleettest.Cluster {
	return func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, 3, workers, tasks)
		c.Inventory = fleettest.NewInventory(c)
		return c
	}
}

// runWithInventory runs a test on a cluster with idle workers after requesting a wave, and
// checks that the wave is completed under its cap. The inventory checks no fences.
func runWithInventory(t *testing.T, seed uint64, test func(*fleettest.Cluster)) {
	runClusterWith(t, withInventory(seed, 6, shortTask), func(t *testing.T, c *fleettest.Cluster) {
		c.Inventory.Unfenced = true
		c.RequestWave([]string{"w0", "w1", "w2", "w3", "w4", "w5"}, 2)
		test(c)
		for range 120 {
			if c.WaveCompleted() {
				break
			}
			time.Sleep(500 * time.Millisecond)
		}
		require.True(t, c.WaveCompleted())
		require.Len(t, c.Inventory.Maintained(), 6)
		require.LessOrEqual(t, c.Inventory.MaxInMaintenance(), 2)
	})
}

// A new leader must count the machines that its predecessor sent to maintenance; otherwise
// more machines than the cap would be down at once.
func TestWaveCapHoldsAcrossHandovers(t *testing.T) {
	for seed := range uint64(8) {
		runWithInventory(t, 80+seed, func(c *fleettest.Cluster) {
			c.Inventory.Delay = 300 * time.Millisecond
			for handovers := range 2 {
				for c.Inventory.Calls() <= 2*handovers || c.Leader() == nil {
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(time.Duration(seed) * 100 * time.Millisecond)
				leader := c.Leader()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				leader.Node.Drain(ctx)
				cancel()
				c.Kill(leader)
				c.Start(leader)
			}
			for !c.WaveCompleted() {
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, 6, c.Inventory.Calls(), "no maintenance is requested twice")
		})
	}
}

// A leader that had released leadership counted as silent for seconds, so its successor ordered the
// maintenance of the same machine at once. The inventory records holders that take turns.
func TestHandoverKeepsOneMaintenanceHolder(t *testing.T) {
	runWithInventory(t, 96, func(c *fleettest.Cluster) {
		c.Inventory.SetBusy(string(c.Fleet[0].Info.Worker))
		time.Sleep(5 * time.Second)
		for range 3 {
			before := c.Inventory.Calls()
			leader := c.Leader()
			stopLeader(c)
			c.Start(leader)
			for c.Inventory.Calls() == before {
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond)
		}
		c.Inventory.SetBusy("")
		for !c.WaveCompleted() {
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// A former leader that is cut off from the store still reaches the inventory while its
// successor works. Both together must not exceed the cap.
func TestWaveCapHoldsBesideCutOffLeader(t *testing.T) {
	for seed := range uint64(4) {
		runWithInventory(t, 90+seed, func(c *fleettest.Cluster) {
			time.Sleep(time.Duration(300*seed) * time.Millisecond)
			for c.Leader() == nil {
				time.Sleep(20 * time.Millisecond)
			}
			former := c.Leader()
			former.Store.SetFault(fleettest.Silent)
			time.Sleep(9 * time.Second)
			former.Store.SetFault(fleettest.Healthy)
		})
	}
}

// One of three lasting tasks does not run for lack of a worker, and MaxInterrupted of the step
// is 1. Maintenance of a machine with another of the tasks must wait until the first one runs
// again, however long that takes.
func TestMaintenanceWaitsForInterruptedTasks(t *testing.T) {
	runClusterWith(t, withInventory(13, 3, lasting), func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, PerWorker: 1, Needs: smallNeeds, Lasting: true, MaxInterrupted: 1}}})
		time.Sleep(time.Second)
		c.Workers.Kill(c.Fleet[2])
		c.Unlist(c.Fleet[2])
		c.RequestWave([]string{"w0"}, 1)
		time.Sleep(15 * time.Second)
		require.Empty(t, c.Inventory.Maintained())
		c.AddWorker("w2")
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"w0"}, c.Inventory.Maintained())
		require.True(t, c.WaveCompleted())
	})
}

func TestOlderConfigurationChangesNothing(t *testing.T) {
	runCluster(t, 12, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.Configure(5, 2)
		time.Sleep(time.Second)
		c.ConfigureEmpty(4)
		c.Store.Compact() // nodes read the table again
		time.Sleep(2 * time.Second)
		for _, m := range c.Nodes {
			_, _, err := m.Node.Route("h", "/q/x")
			require.NoError(t, err, m.Name)
		}
		c.ConfigureEmpty(6)
		time.Sleep(time.Second)
		for _, m := range c.Nodes {
			_, _, err := m.Node.Route("h", "/q/x")
			require.True(t, model.IsKind(err, model.KindNotFound), m.Name)
		}
	})
}

func TestDrainingWorkerGetsNoStart(t *testing.T) {
	runCluster(t, 13, 3, 2, shortTask, func(t *testing.T, c *fleettest.Cluster) {
		c.Drain(c.Fleet[0])
		time.Sleep(time.Second)
		for i := range 3 {
			submit(t, c, jobID(i), twoSteps())
			time.Sleep(200 * time.Millisecond)
			require.Zero(t, c.Workers.RunCount(c.Fleet[0]))
		}
		waitAll(t, c, 3, 20*time.Second)
	})
}

// fillerBesideService returns a service task for the first job and long fillers for all others.
func fillerBesideService(n fleet.TaskName) fleettest.Task {
	if strings.HasPrefix(string(n), jobID(0)) {
		return fleettest.Task{Lasting: true, Needs: smallNeeds, Target: 150}
	}
	return fleettest.Task{Work: 30 * time.Second, Needs: smallNeeds, Filler: true, Checkpoint: true}
}

// A filler that keeps a service over its latency target must be paused or moved within the
// contract's bound.
func TestFillerIsPausedWhenServiceIsOverTarget(t *testing.T) {
	runCluster(t, 14, 3, 1, fillerBesideService, func(t *testing.T, c *fleettest.Cluster) {
		c.Workers.WithLock(func() {
			c.Workers.TailLatency = func(_ fleet.TaskName, fillers []fleet.TaskName) int {
				if len(fillers) > 0 {
					return 400
				}
				return 30
			}
		})
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Lasting: true, LatencyTarget: 150 * time.Millisecond, Image: "s"}}})
		time.Sleep(2 * time.Second)
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 2, Needs: smallNeeds, Filler: true, Checkpoints: true, Estimate: 30 * time.Second, Image: "f"}}})
		active, longest, ever := time.Duration(0), time.Duration(0), false
		const sample = 50 * time.Millisecond
		for range 400 {
			time.Sleep(sample)
			if c.Workers.HasActiveFiller(c.Fleet[0]) {
				active, ever = active+sample, true
			} else {
				active = 0
			}
			longest = max(longest, active)
		}
		require.True(t, ever, "a filler of an unknown image is started")
		require.Less(t, longest, 4*time.Second)
	})
}

// Readings are rough: a service that many slight fillers together keep just over its target shows
// every other reading below it. The fillers must be paused within the contract's bound all the same.
func TestFillersArePausedWhenReadingsStraddleTheTarget(t *testing.T) {
	for phase := range 14 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) { testStraddlingReadings(t, time.Duration(phase)*100*time.Millisecond) })
	}
}

// testStraddlingReadings tests readings that err to the other side every 700 ms. The load rises at a
// phase of that.
func testStraddlingReadings(t *testing.T, phase time.Duration) {
	const (
		harmBound = 4 * time.Second
		sample    = 50 * time.Millisecond
		noise     = 0.04
	)
	runCluster(t, 16, 3, 1, fillerBesideService, func(t *testing.T, c *fleettest.Cluster) {
		own, beside := 30.0, 30.0 // the service's tail latency without fillers, and beside them
		c.Workers.WithLock(func() {
			c.Workers.TailLatency = func(_ fleet.TaskName, fillers []fleet.TaskName) int {
				tail := own
				if len(fillers) > 0 {
					tail = beside
				}
				if time.Now().UnixMilli()/700%2 == 0 {
					return int(tail * (1 + noise))
				}
				return int(tail * (1 - noise))
			}
		})
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Lasting: true, LatencyTarget: 150 * time.Millisecond, Image: "s"}}})
		time.Sleep(2 * time.Second)
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 5, Needs: smallNeeds, Filler: true, Checkpoints: true, Estimate: 30 * time.Second, Image: "f"}}})
		time.Sleep(3*time.Second + phase)
		require.True(t, c.Workers.HasActiveFiller(c.Fleet[0]))
		c.Workers.WithLock(func() { own, beside = 130, 153 })
		over, longest := time.Duration(0), time.Duration(0)
		for range 400 {
			time.Sleep(sample)
			over += sample
			if !c.Workers.HasActiveFiller(c.Fleet[0]) {
				over = 0
			}
			longest = max(longest, over)
		}
		require.Less(t, longest, harmBound)
	})
}

// A paused filler must be moved once the pause has cost as much as a move: 400 ms for the stop
// plus 250 ms to restore its progress. The leader notices it with the next report, up to
// 500 ms later.
func TestPausedFillerIsMovedInTime(t *testing.T) {
	const limit = 400*time.Millisecond + 250*time.Millisecond + 500*time.Millisecond
	runCluster(t, 15, 3, 1, fillerBesideService, func(t *testing.T, c *fleettest.Cluster) {
		c.Workers.WithLock(func() {
			tail := 30
			c.Workers.TailLatency = func(_ fleet.TaskName, fillers []fleet.TaskName) int {
				if len(fillers) > 0 {
					tail = 400 // stays high after the pause: the service's own load has grown
				}
				return tail
			}
		})
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Lasting: true, LatencyTarget: 150 * time.Millisecond, Image: "s"}}})
		time.Sleep(2 * time.Second)
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Filler: true, Checkpoints: true, Estimate: 30 * time.Second, Image: "f"}}})
		const sample = 10 * time.Millisecond
		stalled, longest := time.Duration(0), time.Duration(0)
		for range 1000 {
			time.Sleep(sample)
			if c.Workers.RunCount(c.Fleet[0]) == 2 && !c.Workers.HasActiveFiller(c.Fleet[0]) {
				stalled += sample
			} else {
				stalled = 0
			}
			longest = max(longest, stalled)
		}
		require.NotZero(t, longest, "the filler was never paused")
		require.LessOrEqual(t, longest, limit)
	})
}
