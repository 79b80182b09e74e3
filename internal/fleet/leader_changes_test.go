package fleet_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

const (
	// leaderChangeSeeds is the number of sequences of each kind unless FLEET_SEEDS is set; see seedRange.
	leaderChangeSeeds = 24
	// calmBound is the contract's bound on the time without a run of a lasting task since the last fault.
	calmBound = 7 * time.Second
)

// TestLeaderChangesBesideLostWorkers plays seeded sequences of leaders that are killed or stopped and
// come back, beside a worker that is lost. Its lasting tasks run again within the contract's bounds.
func TestLeaderChangesBesideLostWorkers(t *testing.T) {
	first, end := seedRange(t, 0, leaderChangeSeeds)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runLeaderChanges(t, uint64(seed), false) })
	}
}

// TestLeaderChangesBesideCutWorkers plays the same beside a worker that no node reaches any more: its
// runs go on until their leases are over.
func TestLeaderChangesBesideCutWorkers(t *testing.T) {
	first, end := seedRange(t, 0, leaderChangeSeeds)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runLeaderChanges(t, uint64(seed), true) })
	}
}

// timedFault is a fault of a sequence, at a time since its begin.
type timedFault struct {
	at time.Duration
	do func()
}

func runLeaderChanges(t *testing.T, seed uint64, cut bool) {
	r := rand.New(rand.NewPCG(seed, 7))
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	runCluster(t, 800+seed, 4, 6, lasting, func(t *testing.T, c *fleettest.Cluster) {
		const tasks = 12
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 3, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2*time.Second + upTo(time.Second))
		victim, begun := busyWorkers(c)[0], time.Now()
		lost := false
		faults := []timedFault{{upTo(time.Second), func() {
			lost = true
			if !cut {
				c.Workers.Kill(victim)
			}
			for _, m := range c.Nodes {
				m.Workers.Cut(victim, true)
			}
			time.AfterFunc(entryLifetime, func() { c.Unlist(victim) })
		}}}
		lostAt := faults[0].at
		end := upTo(time.Second)
		for range 1 + r.IntN(3) {
			down, graceful := 100*time.Millisecond+upTo(1400*time.Millisecond), r.IntN(3) == 0
			faults = append(faults, timedFault{end, func() {
				leader := c.Leader()
				if leader == nil {
					return
				}
				t.Logf("%v: %s ends, graceful %v, back after %v", time.Since(begun), leader.Name, graceful, down)
				if graceful {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					leader.Node.Drain(ctx)
					cancel()
				}
				c.Kill(leader)
				faults = append(faults, timedFault{time.Since(begun) + down, func() {
					c.Start(leader)
					leader.Workers.Cut(victim, lost)
				}})
			}})
			end += 200*time.Millisecond + upTo(1500*time.Millisecond)
		}
		for len(faults) > 0 {
			next := slices.MinFunc(faults, func(a, b timedFault) int { return cmp.Compare(a.at, b.at) })
			faults = slices.DeleteFunc(faults, func(f timedFault) bool { return f.at == next.at })
			time.Sleep(next.at - time.Since(begun))
			next.do()
		}
		over := time.Since(begun)
		bound := max(lostAt+restartBound, over+calmBound)
		if cut {
			bound = over + restartBound + leaseBound
		}
		for runningAll(c) < tasks || c.Workers.RunCount(victim) > 0 {
			require.Less(t, time.Since(begun), bound, "lost at %v, last fault at %v", lostAt, over)
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("lost at %v, last fault at %v, all tasks run at %v", lostAt, over, time.Since(begun))
		time.Sleep(2 * time.Second)
	})
}

// TestLeaderChangesBesideCutLeader plays a leader that is cut off from the store, and at times from its
// peers, and that alone reaches a worker, whose leases it extends. Leaders after it are killed or hand
// the lead on.
func TestLeaderChangesBesideCutLeader(t *testing.T) {
	first, end := seedRange(t, 0, leaderChangeSeeds)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runCutLeader(t, uint64(seed)) })
	}
}

func runCutLeader(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 8))
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	runCluster(t, 900+seed, 5, 6, lasting, func(t *testing.T, c *fleettest.Cluster) {
		const tasks = 12
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 3, Needs: smallNeeds, Lasting: true}}})
		time.Sleep(2*time.Second + upTo(time.Second))
		former, victim := c.Leader(), busyWorkers(c)[0]
		for _, m := range c.Nodes {
			m.Workers.Cut(victim, m != former)
		}
		former.Store.SetFault(fleettest.Silent)
		former.Peers.Cut(r.IntN(3) > 0)
		for range 1 + r.IntN(3) {
			next := leaderBeside(c, former)
			time.Sleep(upTo(800 * time.Millisecond))
			if r.IntN(2) == 0 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				next.Node.Drain(ctx)
				cancel()
			}
			c.Kill(next)
			time.Sleep(upTo(600 * time.Millisecond))
			c.Start(next)
			next.Workers.Cut(victim, true)
		}
		time.Sleep(12 * time.Second)
		former.Store.SetFault(fleettest.Healthy)
		former.Peers.Cut(false)
		time.Sleep(3 * time.Second)
		require.Equal(t, tasks, runningAll(c))
	})
}
