package fleet_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// recoveryWithin is the platform's recovery_s: the time within which a site whose hosts are up
// again must serve.
const recoveryWithin = 15 * time.Second

// minObservation is the least time for which the load of the store is measured after an outage.
const minObservation = 3 * time.Second

// outage is a fault from which the fleet must recover. The function inject injects the fault
// and, where it is temporary, ends it.
type outage struct {
	name   string
	inject func(t *testing.T, c *fleettest.Cluster)
}

var outages = []outage{
	{"one leader lost", func(t *testing.T, c *fleettest.Cluster) { c.Kill(c.Leader()) }},
	{"a fifth of nodes and workers lost, a leader too", func(t *testing.T, c *fleettest.Cluster) {
		c.Kill(c.Leader())
		for i := 0; i < len(c.Nodes); i += 5 {
			c.Kill(c.Nodes[i])
		}
		for i := 0; i < len(c.Fleet); i += 5 {
			c.Workers.Kill(c.Fleet[i])
			c.Unlist(c.Fleet[i])
		}
	}},
	{"55% killed, back after 1 s", func(t *testing.T, c *fleettest.Cluster) {
		killed := c.Nodes[:len(c.Nodes)*55/100+1]
		for _, m := range killed {
			c.Kill(m)
		}
		time.Sleep(time.Second)
		for _, m := range killed {
			c.Start(m)
		}
	}},
	{"all killed, back after 1 s", func(t *testing.T, c *fleettest.Cluster) {
		c.StopAll()
		time.Sleep(time.Second)
		c.StartAll()
	}},
	{"store silent for 4.5 s", func(t *testing.T, c *fleettest.Cluster) { storeFault(c, 1, fleettest.Silent) }},
	{"store resets connections for 4.5 s", func(t *testing.T, c *fleettest.Cluster) { storeFault(c, 1, fleettest.Resetting) }},
	{"store refuses half of the nodes for 4.5 s", func(t *testing.T, c *fleettest.Cluster) { storeFault(c, 2, fleettest.Busy) }},
	{"history forgotten", func(t *testing.T, c *fleettest.Cluster) { c.Store.Compact() }},
}

// storeFault makes the store fail for every n-th node for 4.5 s.
func storeFault(c *fleettest.Cluster, n int, f fleettest.Fault) {
	for i := 0; i < len(c.Nodes); i += n {
		c.Nodes[i].Store.SetFault(f)
	}
	time.Sleep(4500 * time.Millisecond)
	for _, m := range c.Nodes {
		m.Store.SetFault(fleettest.Healthy)
	}
}

// recoveryResult holds the times from the end of a fault until the first start, until all cells
// had leaders and until all runs were known, and the load of the store meanwhile.
type recoveryResult struct {
	firstStart, led, known time.Duration
	reads, writes          int64 // calls in the busiest second
}

// ledCells returns the number of cells that have a leader, of those whose runs are all known,
// and of all cells.
func ledCells(t *testing.T, c *fleettest.Cluster) (led, known, cells int) {
	for _, m := range c.Nodes {
		if !m.Up() || !m.Node.Leading() {
			continue
		}
		v := m.Node.Inspect(t.Context(), "")
		cells = max(cells, len(v.Cells))
		for _, cell := range v.Cells {
			if cell.Fleet == nil {
				continue
			}
			led++
			if cell.Fleet.AllRunsKnown {
				known++
			}
		}
	}
	return led, known, cells
}

// watchRecovery observes the fleet after a fault until it has recovered or for twice
// recoveryWithin, and at least for minObservation.
func watchRecovery(t *testing.T, c *fleettest.Cluster, cells int) recoveryResult {
	var r recoveryResult
	begun, starts := time.Now(), c.Checker.StartCount()
	reads, writes := c.Store.Calls()
	second := begun
	for r.firstStart == 0 || r.led == 0 || r.known == 0 || time.Since(begun) < minObservation {
		time.Sleep(100 * time.Millisecond)
		since := time.Since(begun)
		if since > 2*recoveryWithin {
			break
		}
		if time.Since(second) >= time.Second {
			nowReads, nowWrites := c.Store.Calls()
			r.reads, r.writes = max(r.reads, nowReads-reads), max(r.writes, nowWrites-writes)
			reads, writes, second = nowReads, nowWrites, time.Now()
		}
		if r.firstStart == 0 && c.Checker.StartCount() > starts {
			r.firstStart = since
		}
		led, known, _ := ledCells(t, c)
		if r.led == 0 && led == cells {
			r.led = since
		}
		if r.known == 0 && r.led > 0 && known == cells {
			r.known = since
		}
	}
	return r
}

// lastingJobs holds the jobs of steadyLoad with lasting tasks.
var lastingJobs = func() map[string]bool {
	jobs := map[string]bool{}
	for i := 0; i < 1000; i += 10 {
		jobs[jobID(i)] = true
	}
	return jobs
}()

// steadyLoad submits a job every 0.2 s until done is closed. Every tenth job has lasting tasks,
// the others have short ones.
func steadyLoad(t *testing.T, c *fleettest.Cluster, done <-chan struct{}) {
	needs := model.Resources{MilliCPU: 500, MemoryMB: 100}
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		step := fleet.Step{Count: 6, Needs: needs, Estimate: time.Second}
		if lastingJobs[jobID(i)] {
			step = fleet.Step{Count: 6, Needs: needs, Lasting: true}
		}
		if node := c.Nodes[i%len(c.Nodes)].Running(); node != nil {
			go func() { _ = node.Submit(t.Context(), c.Queue, jobID(i), fleet.Spec{Steps: []fleet.Step{step}}) }() // submissions are refused in some outages
		}
	}
}

// TestRecoveryAtScale measures the recovery from each outage and checks it against
// recoveryWithin. The environment variable RECOVERY holds the sizes as numbers of nodes and
// workers, such as "6,48 41,350".
func TestRecoveryAtScale(t *testing.T) {
	sizes := "6,24"
	if v := os.Getenv("RECOVERY"); v != "" {
		sizes = v
	}
	for size := range strings.FieldsSeq(sizes) {
		n, w, _ := strings.Cut(size, ",")
		nodes, err := strconv.Atoi(n)
		require.NoError(t, err)
		workers, err := strconv.Atoi(w)
		require.NoError(t, err)
		for i, o := range outages {
			t.Run(fmt.Sprintf("%d nodes/%s", nodes, o.name), func(t *testing.T) { recoverFrom(t, o, uint64(500+i), nodes, workers) })
		}
	}
}

func recoverFrom(t *testing.T, o outage, seed uint64, nodes, workers int) {
	tasks := func(name fleet.TaskName) fleettest.Task {
		job, _, _ := strings.Cut(string(name), ".")
		return fleettest.Task{Work: time.Second, Needs: model.Resources{MilliCPU: 500, MemoryMB: 100}, Lasting: lastingJobs[job]}
	}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, nodes, workers, tasks)
		for i, m := range c.Nodes {
			m.MilliCPU = []int64{200, 800, 200, 400, 200}[i%5]
		}
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		done := make(chan struct{})
		defer close(done)
		go steadyLoad(t, c, done)
		time.Sleep(5 * time.Second)
		_, _, cells := ledCells(t, c)
		require.Positive(t, cells)
		o.inject(t, c)
		r := watchRecovery(t, c, cells)
		t.Logf("%d nodes, %d workers, %d cells: first start %v, all led %v, all runs known %v, store %d reads and %d writes in the busiest second",
			nodes, workers, cells, r.firstStart, r.led, r.known, r.reads, r.writes)
		for what, took := range map[string]time.Duration{"first start": r.firstStart, "all cells led": r.led, "all runs known": r.known} {
			require.Positive(t, took, what)
			require.LessOrEqual(t, took, recoveryWithin, what)
		}
	})
}
