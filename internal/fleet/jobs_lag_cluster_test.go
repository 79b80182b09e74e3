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

// A leader whose watch of the jobs gets no answers, although its renewals do, starts no job that has
// been cancelled meanwhile.
func TestLeaderWithoutAnswersAboutJobsStartsNoCancelledJob(t *testing.T) {
	for seed := range uint64(6) {
		runCluster(t, 700+seed, 3, 1, wholeWorkerTask, func(t *testing.T, c *fleettest.Cluster) {
			submit(t, c, jobID(0), wholeWorkerJob)
			time.Sleep(500 * time.Millisecond)
			submit(t, c, jobID(1), wholeWorkerJob)
			time.Sleep(time.Second)
			leader := c.Leader()
			leader.Store.SilenceReads("vp-jobs")
			leader.Peers.Cut(true)
			cancelBeside(t, c, leader, jobID(1))
			time.Sleep(10 * time.Second)
			require.Equal(t, leader, c.Leader(), "its renewals are answered")
			require.Equal(t, 1, c.Checker.StartCount(), "the cancelled job is not started")
			leader.Peers.Cut(false)
			leader.Store.SilenceReads()
			submit(t, c, jobID(2), wholeWorkerJob)
			waitState(t, c, jobID(2), fleet.StateCompleted, 15*time.Second)
		})
	}
}

// A new leader that reads its last table long after the jobs starts no job that has been cancelled
// between.
func TestNewLeaderWithOldJobsStartsNoCancelledJob(t *testing.T) {
	for seed := range uint64(6) {
		runCluster(t, 710+seed, 3, 1, wholeWorkerTask, func(t *testing.T, c *fleettest.Cluster) {
			submit(t, c, jobID(0), wholeWorkerJob)
			time.Sleep(500 * time.Millisecond)
			submit(t, c, jobID(1), wholeWorkerJob)
			time.Sleep(time.Second)
			for _, m := range c.Nodes {
				m.Store.SilenceReads("vp-progress")
			}
			c.Kill(c.Leader())
			time.Sleep(4 * time.Second)
			leader := c.Leader()
			require.NotNil(t, leader)
			leader.Store.SilenceReads("vp-progress", "vp-jobs")
			leader.Peers.Cut(true)
			cancelBeside(t, c, leader, jobID(1))
			time.Sleep(3500 * time.Millisecond)
			leader.Store.SilenceReads("vp-jobs")
			time.Sleep(8 * time.Second)
			require.Equal(t, leader, c.Leader(), "its renewals are answered")
			require.Equal(t, 1, c.Checker.StartCount(), "the cancelled job is not started")
			leader.Peers.Cut(false)
			leader.Store.SilenceReads()
			submit(t, c, jobID(2), wholeWorkerJob)
			waitState(t, c, jobID(2), fleet.StateCompleted, 15*time.Second)
		})
	}
}
