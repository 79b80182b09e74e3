package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// wholeWorker is what a simulated worker has.
var wholeWorker = model.Resources{MilliCPU: 8000, MemoryMB: 4000}

func wholeWorkerTask(fleet.TaskName) fleettest.Task {
	return fleettest.Task{Work: 8 * time.Second, Needs: wholeWorker, Checkpoint: true}
}

var wholeWorkerJob = fleet.Spec{Text: "x", Steps: []fleet.Step{{Count: 1, Needs: wholeWorker, Estimate: 8 * time.Second, Checkpoints: true}}}

// cancelBeside cancels a job at a node that does not lead.
func cancelBeside(t *testing.T, c *fleettest.Cluster, leader *fleettest.Member, id string) {
	t.Helper()
	for _, m := range c.Nodes {
		if m != leader && m.Up() {
			require.True(t, tryCancel(c, m, id))
			return
		}
	}
	t.Fatal("no other node is up")
}

// playCancelBeside plays a leader that learns nothing of the jobs from some time on, although its renewals are
// answered, beside the cancellation of a job that waits for room. outdate returns that leader, and between is what
// happens after the cancellation.
func playCancelBeside(t *testing.T, firstSeed uint64, outdate func(*fleettest.Cluster) *fleettest.Member, between func(*fleettest.Member)) {
	t.Helper()
	for seed := range uint64(6) {
		runCluster(t, firstSeed+seed, 3, 1, wholeWorkerTask, func(t *testing.T, c *fleettest.Cluster) {
			submit(t, c, jobID(0), wholeWorkerJob)
			time.Sleep(500 * time.Millisecond)
			submit(t, c, jobID(1), wholeWorkerJob)
			time.Sleep(time.Second)
			leader := outdate(c)
			require.NotNil(t, leader)
			leader.Peers.Cut(true)
			cancelBeside(t, c, leader, jobID(1))
			between(leader)
			require.Equal(t, leader, c.Leader(), "its renewals are answered")
			require.Equal(t, 1, c.Checker.StartCount(), "the cancelled job is not started")
			leader.Peers.Cut(false)
			leader.Store.SilenceReads()
			submit(t, c, jobID(2), wholeWorkerJob)
			waitState(t, c, jobID(2), fleet.StateCompleted, 15*time.Second)
		})
	}
}

// A leader whose watch of the jobs gets no answers, although its renewals do, starts no job that has
// been cancelled meanwhile.
func TestLeaderWithoutAnswersAboutJobsStartsNoCancelledJob(t *testing.T) {
	playCancelBeside(t, 700, func(c *fleettest.Cluster) *fleettest.Member {
		leader := c.Leader()
		leader.Store.SilenceReads("vp-jobs")
		return leader
	}, func(*fleettest.Member) { time.Sleep(10 * time.Second) })
}

// A new leader that reads its last table long after the jobs starts no job that has been cancelled
// between.
func TestNewLeaderWithOldJobsStartsNoCancelledJob(t *testing.T) {
	playCancelBeside(t, 710, func(c *fleettest.Cluster) *fleettest.Member {
		for _, m := range c.Nodes {
			m.Store.SilenceReads("vp-progress")
		}
		c.Kill(c.Leader())
		time.Sleep(4 * time.Second)
		leader := c.Leader()
		if leader != nil {
			leader.Store.SilenceReads("vp-progress", "vp-jobs")
		}
		return leader
	}, func(leader *fleettest.Member) {
		time.Sleep(3500 * time.Millisecond)
		leader.Store.SilenceReads("vp-jobs")
		time.Sleep(8 * time.Second)
	})
}
