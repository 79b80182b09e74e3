package fleet_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// A leader that was cut off with some workers went on extending their leases. The next one handed
// the lead on before it had heard of these workers, and the one after it took their leases for
// those of the term that had been handed on: it started their tasks elsewhere too early.
func TestLeadHandedOnDuringPartition(t *testing.T) {
	for seed := range uint64(4) {
		for _, handOvers := range []int{1, 2} {
			t.Run(strconv.Itoa(int(seed))+"/"+strconv.Itoa(handOvers), func(t *testing.T) { runHandedOnLead(t, 600+seed, handOvers) })
		}
	}
}

func runHandedOnLead(t *testing.T, seed uint64, handOvers int) {
	const tasks = 6
	long := func(fleet.TaskName) fleettest.Task { return fleettest.Task{Work: time.Minute, Needs: smallNeeds} }
	runCluster(t, seed, handOvers+2, 6, long, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), fleet.Spec{Steps: []fleet.Step{{Count: tasks, PerWorker: 2, Needs: smallNeeds, Estimate: time.Minute}}})
		time.Sleep(2 * time.Second)
		former := c.Leader()
		cutOff := busyWorkers(c)
		for _, m := range c.Nodes {
			if m != former {
				cutAll(m, cutOff)
			}
		}
		former.Store.SetFault(fleettest.Silent)
		former.Peers.Cut(true)
		cut := time.Now()
		for range handOvers {
			next := leaderBeside(c, former)
			time.Sleep(20 * time.Millisecond)
			next.Node.Drain(t.Context())
			c.Kill(next)
		}
		for runningAll(c) > 0 && c.Checker.StartCount() == tasks {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("the tasks have no lease %v after the cut", time.Since(cut))
		time.Sleep(3 * time.Second)
		require.Equal(t, 2*tasks, c.Checker.StartCount(), "all tasks start elsewhere")
	})
}

// leaderBeside waits until a node other than former leads.
func leaderBeside(c *fleettest.Cluster, former *fleettest.Member) *fleettest.Member {
	for ; ; time.Sleep(time.Millisecond) {
		for _, m := range c.Nodes {
			if m != former && m.Up() && m.Node.Leading() {
				return m
			}
		}
	}
}
