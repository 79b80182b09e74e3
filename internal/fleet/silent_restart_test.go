package fleet_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A poll that waited for its connection over a silent restart set a lease in the next lifetime that was
// longer than its leader counted on. Cut off soon after, that lifetime ran tasks that had started elsewhere.
func TestPollAcrossSilentRestartSetsNoLease(t *testing.T) {
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 20 * time.Second, Needs: wideNeeds} }
	spec := fleet.Spec{Steps: []fleet.Step{{Count: 5, Needs: wideNeeds, Estimate: 20 * time.Second}}}
	for seed := range uint64(6) {
		t.Run(strconv.Itoa(int(seed)), func(t *testing.T) {
			runCluster(t, 760+seed, 3, 5, long, func(t *testing.T, c *fleettest.Cluster) {
				c.Workers.WithLock(func() { c.Workers.LeaseMax, c.Workers.NewConnectionShare = 10*time.Second, 0.3 })
				submit(t, c, jobID(0), spec)
				time.Sleep(2*time.Second + time.Duration(seed)*170*time.Millisecond)
				for round := range 4 {
					w := c.Workers.LatestRun()
					require.NotNil(t, w)
					c.Workers.Silence(w)
					next := silentRestart{down: 600 * time.Millisecond, entry: entryDelay}.begin(c, w)
					submit(t, c, jobID(1+round), spec)
					time.Sleep(1500*time.Millisecond + time.Duration(seed*uint64(round))*110*time.Millisecond)
					c.Workers.CutOff(next, true)
					time.Sleep(9 * time.Second)
					c.Workers.CutOff(next, false)
					time.Sleep(time.Second)
				}
				require.Empty(t, c.Checker.Violations())
			})
		})
	}
}

// The simulated workers show the fault if polls carry deadlines to whoever answers, as those of earlier
// versions do, and don't otherwise.
func TestStandInsShowLeaseOfNextLifetime(t *testing.T) {
	const restarted = 2 // of 3 workers, which have room for two tasks each
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: 20 * time.Second, Needs: wideNeeds} }
	spec := fleet.Spec{Steps: []fleet.Step{{Count: 6, Needs: wideNeeds, Estimate: 20 * time.Second}}}
	for _, unverified := range []bool{false, true} {
		t.Run("unverified="+strconv.FormatBool(unverified), func(t *testing.T) {
			prepare := func() *fleettest.Cluster {
				c := fleettest.NewCluster(770, 3, 3, long)
				c.Workers.LeaseMax, c.Workers.UnverifiedDeadlines = longLease, unverified
				for _, w := range c.AllWorkers() {
					c.Workers.SetClock(w, time.Hour, 1) // deadlines lie far ahead for lifetimes to come
				}
				return c
			}
			playCluster(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
				submit(t, c, jobID(0), spec)
				time.Sleep(2 * time.Second)
				c.Workers.WithLock(func() { c.Workers.NewConnectionShare = 1 })
				for _, w := range c.AllWorkers()[:restarted] {
					c.Workers.Silence(w)
				}
				time.Sleep(600 * time.Millisecond)
				c.Workers.WithLock(func() { c.Workers.NewConnectionShare = 0 })
				var next []*fleettest.Worker
				for _, w := range c.AllWorkers()[:restarted] {
					n := c.StartWorker(string(w.Info.Worker))
					c.Workers.SetClock(n, time.Second, 1)
					time.AfterFunc(entryDelay, func() { c.List(n) })
					next = append(next, n)
				}
				time.Sleep(2 * time.Second)
				c.AddWorker("w3") // room for tasks that are taken for lost
				for _, w := range next {
					c.Workers.CutOff(w, true)
				}
				time.Sleep(10 * time.Second)
				require.Equal(t, unverified, len(c.Checker.Violations()) > 0, "%v", c.Checker.Violations())
			})
		})
	}
}
