package fleet_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A service that was lost with its worker and its leader as soon as it ran waited like a new one behind
// the capacity that bursts of short work need, as long as these lasted.
func TestServiceLostBeforeItsStartIsStoredRunsAgainInTime(t *testing.T) {
	const (
		services  = 17 // more than half of the processors are reserved once a worker of five is lost
		burst     = 24 // short tasks, more than the rest holds
		burstTime = 2500 * time.Millisecond
	)
	tasks := func(n fleet.TaskName) fleettest.Task {
		if job := string(n[:16]); job == jobID(0) || job == jobID(1) {
			return lasting(n)
		}
		return shortTask(n)
	}
	for seed := range uint64(6) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			runCluster(t, 740+seed, 4, 5, tasks, func(t *testing.T, c *fleettest.Cluster) {
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: services, PerWorker: 4, Needs: smallNeeds, Lasting: true}}})
				time.Sleep(2*time.Second + time.Duration(seed)*70*time.Millisecond)
				submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 1, Needs: smallNeeds, Lasting: true}}})
				for len(c.Checker.Running(jobID(1))) == 0 {
					time.Sleep(time.Millisecond)
				}
				w, leader := workerOf(c, jobID(1)), c.Leader()
				c.Workers.Kill(w)
				c.Kill(leader)
				lost := time.Now()
				time.AfterFunc(entryLifetime, func() { c.Unlist(w) })
				time.Sleep(500 * time.Millisecond)
				c.Start(leader)
				next, nextBurst := 2, time.Now()
				for len(c.Checker.Running(jobID(1))) == 0 {
					require.Less(t, time.Since(lost), restartBound)
					if !time.Now().Before(nextBurst) {
						submit(t, c, jobID(next), fleet.Spec{Steps: []fleet.Step{{Count: burst, Needs: smallNeeds, Estimate: time.Second, Checkpoints: true}}})
						next, nextBurst = next+1, nextBurst.Add(burstTime)
					}
					time.Sleep(20 * time.Millisecond)
				}
				t.Logf("the service runs again %v after it was lost", time.Since(lost))
			})
		})
	}
}

// workerOf returns the worker on which a job's only task runs.
func workerOf(c *fleettest.Cluster, job string) *fleettest.Worker {
	for _, w := range c.Fleet {
		if strings.HasSuffix(c.Checker.Running(job)[0], " on "+string(w.Info.Worker)) {
			return w
		}
	}
	return nil
}
