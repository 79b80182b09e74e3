package e2e

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against running a task twice (R2) because a successor starts it again while an owner
// that has lost the store, but not its workers, keeps renewing its lease.
func TestOwnerCutFromStore(t *testing.T) {
	c := newCluster(t, 3)
	former := c.waitOwner("north.0", -1)
	jobs := c.submitOrders("store", 6, 4, 4000)
	c.network.setCut(true, c.node(former).name, "store")
	c.waitOwner("north.0", former)
	jobs = append(jobs, c.submitOrders("later", 3, 4, 500)...)
	c.waitAllDone(jobs)
	c.network.setCut(false, c.node(former).name, "store")
	c.wait("former owner ready", c.node(former).ready)
	c.requireNoViolations()
}

// Guards against a successor that places tasks again before their leases can have expired
// (5.4). It reaches none of the workers; the former owner reaches only the workers, and renews
// the leases as long as it is allowed to. The tasks run longer than their leases can be
// renewed (8 s), so that none ends while the successor cannot see it: its result would be lost
// with the worker and the task would run again.
func TestWorkersReachableByFormerOwnerOnly(t *testing.T) {
	c := newEmptyCluster(t)
	c.extraFlags = []string{"--cell-lease", "4s", "--task-lease", "4s"}
	c.startNodes(3)
	former := c.waitOwner("north.0", -1)
	jobs := c.submitOrders("split", 6, 4, 11_000)
	c.wait("tasks running", func() bool { return len(c.platform.Ledger().Starts()) >= 24 })
	north := map[string]bool{}
	for _, start := range c.platform.Ledger().Starts() {
		north[string(start.Worker)] = start.DataCentre == "north"
	}
	for _, other := range c.others(former) {
		for worker, cut := range north {
			c.network.setCut(cut, other, worker)
		}
	}
	c.isolate(true, former)
	c.waitOwner("north.0", former)
	c.waitAllDone(jobs)
	c.isolate(false, former)
	c.wait("former owner ready", c.node(former).ready)
	c.requireNoViolations()
}

// Guards against a former owner that continues as owner after a partition, when its queued
// and in-flight messages arrive late.
func TestIsolatedOwnerReturns(t *testing.T) {
	c := newCluster(t, 3)
	former := c.waitOwner("south.0", -1)
	jobs := c.submitOrders("isolated", 6, 4, 3000)
	c.isolate(true, former)
	c.waitOwner("south.0", former)
	jobs = append(jobs, c.submitOrders("later", 4, 4, 1500)...)
	c.isolate(false, former)
	c.waitAllDone(jobs)
	c.wait("former owner ready", c.node(former).ready)
	c.requireNoViolations()
}

// Guards against a node that treats a link as healthy although only one direction works, and
// against slow links that cause fencing or duplicate tasks.
func TestOneWayAndSlowLinks(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner("north.0", -1)
	name, others := c.node(owner).name, c.others(owner)
	jobs := c.submitOrders("one-way", 6, 4, 2000)
	c.network.setCutOneWay(true, name, others...)
	c.network.setDelay(others[0], others[1], 150*time.Millisecond)
	c.network.setDelay(others[1], "store", 100*time.Millisecond)
	jobs = append(jobs, c.submitOrders("cut-out", 4, 2, 500)...)
	c.waitAllDone(jobs)
	c.network.setCutOneWay(false, name, others...)
	c.network.setCutOneWay(true, "store", name) // writes reach the store, the responses are held back
	c.waitOwner("north.0", owner)
	c.network.setCutOneWay(false, "store", name)
	c.waitAllDone(c.submitOrders("answers-cut", 4, 2, 500))
	c.requireNoViolations()
}

// Guards against an isolated node that accepts non-idempotent requests or orders although it
// cannot claim them. An order that it refuses as not run must not run (R6).
func TestIsolatedNodeRefusesOrders(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner("north.0", -1)
	c.isolate(true, owner)
	p := c.node(owner)
	var code int
	var outcome string
	c.wait("refusal by "+p.name, func() bool {
		code, outcome = c.tryOrder(p, "refused")
		return outcome != "" && outcome != "done" // not a response from before the cut
	})
	require.NotEqual(t, 202, code)
	c.isolate(false, owner)
	if outcome == "not-run" {
		starts := len(c.platform.Ledger().Starts())
		c.wait("node ready", p.ready)
		c.waitAllDone(c.submitOrders("after", 1, 1, 100))
		require.Equal(t, starts+1, len(c.platform.Ledger().Starts()), "a refused order ran")
	}
	c.requireNoViolations()
}
