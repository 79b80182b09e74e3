package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// rollingRelease replaces workers one after another and restarts nodes meanwhile.
type rollingRelease struct {
	c      *fleettest.Cluster
	random *rand.Rand
	// leaving holds the draining workers and when they leave.
	leaving map[*fleettest.Worker]time.Time
	oldest  int // index of the worker that drains next
	stopped *fleettest.Member
}

// replaceWorker adds a worker and drains the oldest one.
func (r *rollingRelease) replaceWorker() {
	r.c.AddWorker(fmt.Sprintf("n%d", len(r.c.Fleet)))
	w := r.c.Fleet[r.oldest]
	r.oldest++
	r.c.Drain(w)
	r.leaving[w] = time.Now().Add(time.Duration(3500+r.random.IntN(1500)) * time.Millisecond)
}

// restartNode stops the leader, or another node, after starting the one stopped before.
func (r *rollingRelease) restartNode() {
	if r.stopped != nil {
		r.c.Start(r.stopped)
		r.stopped = nil
	}
	if l := r.c.Leader(); l != nil && r.random.IntN(4) > 0 {
		r.stopped = l
		stopLeader(r.c)
	}
}

func (r *rollingRelease) removeDeparted() {
	for w, at := range r.leaving {
		if time.Now().After(at) {
			leave(r.c, w)
			delete(r.leaving, w)
		}
	}
}

// Planned replacements of workers and restarts of nodes, in any phase to each other, must leave
// no service without a run for longer than restartBound.
func TestRollingReleaseLosesNoService(t *testing.T) {
	t.Parallel()
	const services, tasks, short = 6, 4, 60
	kinds := func(n fleet.TaskName) fleettest.Task {
		for i := range services {
			if n[:16] == fleet.TaskName(jobID(i)) {
				return lasting(n)
			}
		}
		return shortTask(n)
	}
	first, end := seedRange(t, 170, 8)
	for seed := uint64(first); seed < uint64(end); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runCluster(t, seed, 5, 8, kinds, func(t *testing.T, c *fleettest.Cluster) {
				for i := range services {
					submit(t, c, jobID(i), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 2, Needs: smallNeeds, Lasting: true}}})
				}
				time.Sleep(2 * time.Second)
				r := rollingRelease{c: c, random: rand.New(rand.NewPCG(seed, 11)), leaving: map[*fleettest.Worker]time.Time{}}
				seen := map[fleet.TaskName]time.Time{}
				nextReplace, nextRestart, nextJob, job := time.Now(), time.Now(), time.Now(), services
				for begun := time.Now(); time.Since(begun) < 40*time.Second; time.Sleep(100 * time.Millisecond) {
					now := time.Now()
					if now.After(nextReplace) && time.Since(begun) < 30*time.Second {
						r.replaceWorker()
						nextReplace = now.Add(time.Duration(700+r.random.IntN(900)) * time.Millisecond)
					}
					if now.After(nextRestart) {
						r.restartNode()
						nextRestart = now.Add(time.Duration(1500+r.random.IntN(2500)) * time.Millisecond)
					}
					if now.After(nextJob) && job < services+short {
						submit(t, c, jobID(job), twoSteps())
						job++
						nextJob = now.Add(600 * time.Millisecond)
					}
					r.removeDeparted()
					for _, task := range c.Workers.RunningTasks() {
						seen[task] = now
					}
					for i := range services {
						for k := range tasks {
							task := fleet.TaskName(fmt.Sprintf("%s.0.0.%d", jobID(i), k))
							require.Less(t, now.Sub(seen[task]), restartBound, "%s after %v", task, time.Since(begun))
						}
					}
				}
				if r.stopped != nil {
					c.Start(r.stopped)
				}
				for i := services; i < job; i++ {
					waitState(t, c, jobID(i), fleet.StateCompleted, 60*time.Second)
				}
			})
		})
	}
}
