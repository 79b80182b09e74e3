package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// entryLifetime is how long the entry of a worker that is lost for good stays in the list.
const entryLifetime = 4500 * time.Millisecond

// playLostWorker runs lasting tasks, loses a worker with some of them for good after settle, and plays trouble
// with the leader of that moment. It fails unless all tasks run again within the time since the loss of the
// worker that trouble returns.
func playLostWorker(t *testing.T, seed uint64, nodes int, settle time.Duration, trouble func(c *fleettest.Cluster, leader *fleettest.Member) (bound time.Duration)) {
	t.Helper()
	runCluster(t, seed, nodes, 4, lasting, func(t *testing.T, c *fleettest.Cluster) {
		const tasks = 12
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(settle)
		w, leader := busyWorkers(c)[0], c.Leader()
		c.Workers.Kill(w)
		lost := time.Now()
		time.AfterFunc(entryLifetime, func() { c.Unlist(w) })
		bound := trouble(c, leader)
		for runningAll(c) < tasks {
			require.Less(t, time.Since(lost), bound)
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("all tasks run again %v after the worker was lost, %v before the bound", time.Since(lost), bound-time.Since(lost))
	})
}
