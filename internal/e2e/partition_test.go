package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a task that runs twice (R2) because a successor starts it again
// while an owner that has lost the store, but not its workers, keeps it alive.
func TestOwnerCutFromStore(t *testing.T) {
	c := newCluster(t, 3)
	former := c.waitOwner("north.0", -1)
	jobs := c.orders("store", 6, 4, 4000)
	c.network.both(true, c.node(former).name, "store")
	c.waitOwner("north.0", former)
	jobs = append(jobs, c.orders("later", 3, 4, 500)...)
	c.finishAll(jobs)
	c.network.both(false, c.node(former).name, "store")
	c.wait("former owner ready", c.node(former).ready)
	c.noViolations()
}

// Guards against a successor that places tasks again before their leases can have
// run out (5.4): it reaches none of the workers, which the former owner, cut off
// from everything else, goes on to renew as long as its rules allow.
// The tasks outlast the longest time for which they can be kept alive (8 s), so that
// none ends unseen; its result would be lost with the worker and it would run again.
func TestWorkersReachableForFormerOwnerOnly(t *testing.T) {
	c := newPlatform(t)
	c.extra = []string{"--cell-lease", "4s", "--task-lease", "4s"}
	c.fill(3)
	former := c.waitOwner("north.0", -1)
	jobs := c.orders("split", 6, 4, 11_000)
	c.wait("tasks running", func() bool { return len(c.platform.Ledger().Starts()) >= 24 })
	north := map[string]bool{}
	for _, start := range c.platform.Ledger().Starts() {
		north[string(start.Worker)] = start.DataCentre == "north"
	}
	for _, other := range c.others(former) {
		for worker, cut := range north {
			c.network.both(cut, other, worker)
		}
	}
	c.isolate(true, former)
	c.waitOwner("north.0", former)
	c.finishAll(jobs)
	c.isolate(false, former)
	c.wait("former owner ready", c.node(former).ready)
	c.noViolations()
}

// Guards against an owner that goes on where it was when it returns from a
// partition: what it had queued, and what was under way, arrives late.
func TestIsolatedOwnerReturns(t *testing.T) {
	c := newCluster(t, 3)
	former := c.waitOwner("south.0", -1)
	jobs := c.orders("isolated", 6, 4, 3000)
	c.isolate(true, former)
	c.waitOwner("south.0", former)
	jobs = append(jobs, c.orders("later", 4, 4, 1500)...)
	c.isolate(false, former)
	c.finishAll(jobs)
	c.wait("former owner ready", c.node(former).ready)
	c.noViolations()
}

// Guards against a node that takes a link for whole that carries one direction
// only, and against slow links that fence or double anything.
func TestOneWayAndSlowLinks(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner("north.0", -1)
	name, others := c.node(owner).name, c.others(owner)
	jobs := c.orders("one-way", 6, 4, 2000)
	c.network.oneWay(true, name, others...)
	c.network.slow(others[0], others[1], 150*time.Millisecond)
	c.network.slow(others[1], "store", 100*time.Millisecond)
	jobs = append(jobs, c.orders("cut-out", 4, 2, 500)...)
	c.finishAll(jobs)
	c.network.oneWay(false, name, others...)
	c.network.oneWay(true, "store", name) // its writes arrive, their answers do not
	c.waitOwner("north.0", owner)
	c.network.oneWay(false, "store", name)
	c.finishAll(c.orders("answers-cut", 4, 2, 500))
	c.noViolations()
}

// Guards against an isolated node that serves callers of non-idempotent requests
// or orders, although it can claim nothing: what it refuses must not have run (R6).
func TestIsolatedNodeRefusesOrders(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner("north.0", -1)
	c.isolate(true, owner)
	p := c.node(owner)
	var code int
	var outcome string
	c.wait("refusal by "+p.name, func() bool {
		code, outcome = c.tryOrder(p, "refused")
		return outcome != "" && outcome != "done" // not an answer from before the cut
	})
	require.NotEqual(t, 202, code)
	c.isolate(false, owner)
	if outcome == "not-run" {
		starts := len(c.platform.Ledger().Starts())
		c.wait("node ready", p.ready)
		c.finishAll(c.orders("after", 1, 1, 100))
		require.Equal(t, starts+1, len(c.platform.Ledger().Starts()), "a refused order ran")
	}
	c.noViolations()
}
