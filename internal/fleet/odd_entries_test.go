package fleet_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// putEntry writes an entry of the list of workers under a key of any writer.
func putEntry(t *testing.T, c *fleettest.Cluster, key string, info fleet.WorkerInfo) {
	t.Helper()
	data, err := json.Marshal(info)
	require.NoError(t, err)
	c.Store.Put(fleettest.TableWorkers, "", key, data)
}

// withBorn returns the entry of w with another begin of its lifetime.
func withBorn(w *fleettest.Worker, born int64) fleet.WorkerInfo {
	info := w.Info
	info.Born = born
	return info
}

// An entry of another writer under the id of a living worker named a later lifetime: its runs
// counted as lost and were started a second time, and its own entries were ignored from then on.
func TestEntryOfLaterLifetimeUnderLivingWorker(t *testing.T) {
	runCluster(t, 60, 3, 2, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		require.Equal(t, 6, c.Checker.StartCount())
		for _, w := range c.Fleet {
			putEntry(t, c, string(w.Info.Worker), withBorn(w, math.MaxInt64))
			time.Sleep(2 * time.Second)
			require.Equal(t, 6, c.Checker.StartCount(), "the runs of the worker continue")
			c.List(w)
		}
		time.Sleep(time.Second)
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 10, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		require.Equal(t, 16, c.Checker.StartCount(), "both workers are used")
	})
}

// A leader that found such an entry when it read the list ignored the worker's own entries.
func TestLeaderReadsEntryOfLaterLifetimeFirst(t *testing.T) {
	runClusterWith(t, func() *fleettest.Cluster {
		c := fleettest.NewCluster(61, 3, 1, shortTask)
		putEntry(t, c, string(c.Fleet[0].Info.Worker), withBorn(c.Fleet[0], math.MaxInt64))
		return c
	}, func(t *testing.T, c *fleettest.Cluster) {
		c.List(c.Fleet[0])
		submit(t, c, jobID(0), twoSteps())
		waitAll(t, c, 1, 10*time.Second)
	})
}

// A lost answer beside such an entry counted as proof that the worker had started again: its tasks started a second
// time while their runs went on.
func TestEntryOfLaterLifetimeUnderWorkerWithoutAnswer(t *testing.T) {
	for name, silentFor := range map[string]time.Duration{"the probe gets no answer": 0, "a call has got no answer": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 68, 3, 2, lasting, func(t *testing.T, c *fleettest.Cluster) {
				submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, Needs: smallNeeds, Lasting: true}}})
				time.Sleep(time.Second)
				for _, w := range c.Fleet {
					c.Workers.SetLink(w, fleettest.Link{AnswersCut: true})
					time.Sleep(silentFor)
					putEntry(t, c, string(w.Info.Worker), withBorn(w, math.MaxInt64))
					time.Sleep(2500*time.Millisecond - silentFor) // less than a lease
					c.Workers.SetLink(w, fleettest.Link{})
					time.Sleep(time.Second)
					c.List(w)
					require.Equal(t, 6, c.Checker.StartCount(), "the runs of the worker continue")
				}
			})
		})
	}
}

// A worker that starts again under its id at another address is used at once.
func TestWorkerStartsAgainElsewhere(t *testing.T) {
	runCluster(t, 62, 3, 1, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		require.Equal(t, 3, c.Checker.StartCount())
		old := c.Fleet[0]
		info := withBorn(old, old.Info.Born+1)
		info.Addr = "elsewhere:1"
		c.Workers.Kill(old)
		again := c.Workers.Add(info)
		c.List(again)
		time.Sleep(2 * time.Second)
		require.Equal(t, 6, c.Checker.StartCount())
		require.Equal(t, 3, c.Workers.RunCount(again))
	})
}

// A new leader that found such an entry took the worker's runs for ended and started their tasks
// a second time.
func TestNextLeaderReadsEntryOfLaterLifetime(t *testing.T) {
	runCluster(t, 63, 3, 2, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		require.Equal(t, 6, c.Checker.StartCount())
		c.Kill(c.Leader())
		for _, w := range c.Fleet {
			putEntry(t, c, string(w.Info.Worker), withBorn(w, math.MaxInt64))
		}
		time.Sleep(10 * time.Second)
		require.NotNil(t, c.Leader())
		require.Equal(t, 6, c.Checker.StartCount(), "the runs of the workers continue")
		for _, w := range c.Fleet {
			c.List(w)
		}
		time.Sleep(time.Second)
		submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 10, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		require.Equal(t, 16, c.Checker.StartCount(), "both workers are used")
	})
}

// A worker that starts again while no node leads is used by the next leader without a wait for
// leases.
func TestWorkerStartsAgainWithoutLeader(t *testing.T) {
	runCluster(t, 64, 3, 2, lasting, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 6, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		leader := c.Leader()
		c.Kill(leader)
		for _, w := range []*fleettest.Worker{c.Fleet[0], c.Fleet[1]} {
			c.Workers.Kill(w)
			c.AddWorker(string(w.Info.Worker))
		}
		time.Sleep(4 * time.Second)
		require.Equal(t, 12, c.Checker.StartCount())
	})
}

// A worker whose time of day had stepped back before it started again at another address stayed
// unused until the lead changed: its lifetime seemed to be an earlier one.
func TestWorkerStartsAgainAfterClockSteppedBack(t *testing.T) {
	for name, tasks := range map[string]int{"idle": 0, "with runs": 3} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 66, 3, 2, lasting, func(t *testing.T, c *fleettest.Cluster) {
				old := c.Fleet[1]
				c.Unlist(c.Fleet[0])
				time.Sleep(time.Second)
				if tasks > 0 {
					submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, Needs: smallNeeds, Lasting: true}}})
					time.Sleep(time.Second)
					require.Equal(t, tasks, c.Workers.RunCount(old))
				}
				info := withBorn(old, old.Info.Born-1)
				info.Addr = "elsewhere:1"
				c.Workers.Kill(old)
				again := c.Workers.Add(info)
				for range 10 { // heartbeats
					c.List(again)
					time.Sleep(1500 * time.Millisecond)
				}
				submit(t, c, jobID(1), fleet.Spec{Steps: []fleet.Step{{Count: 2, Needs: smallNeeds, Lasting: true}}})
				time.Sleep(time.Second)
				require.Equal(t, tasks+2, c.Workers.RunCount(again))
			})
		})
	}
}

// Entries of an earlier lifetime do not end the runs of a worker that is cut off.
func TestEntryOfEarlierLifetimeUnderSilentWorker(t *testing.T) {
	runCluster(t, 67, 3, 2, lasting, func(t *testing.T, c *fleettest.Cluster) {
		w := c.Fleet[1]
		c.Unlist(c.Fleet[0])
		time.Sleep(time.Second)
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: 3, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(time.Second)
		c.List(c.Fleet[0])
		c.Workers.SetLink(w, fleettest.Link{AnswersCut: true})
		for range 3 {
			putEntry(t, c, string(w.Info.Worker), withBorn(w, w.Info.Born-1))
			time.Sleep(time.Second)
			require.Equal(t, 3, c.Checker.StartCount())
		}
		c.Workers.SetLink(w, fleettest.Link{})
		time.Sleep(2 * time.Second)
		require.Equal(t, 3, c.Checker.StartCount())
		require.Equal(t, 3, c.Workers.RunCount(w))
	})
}
