package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
)

// randomSeeds is the number of seeds for which sequences of faults are run. The environment
// variable FLEET_SEEDS overrides it with a first seed and a count, such as "100,50".
const randomSeeds = 12

// seedRange returns the first seed and the one after the last: count seeds from first on, or those
// that the environment names.
func seedRange(t *testing.T, first, count int) (int, int) {
	if v := os.Getenv("FLEET_SEEDS"); v != "" {
		_, err := fmt.Sscanf(v, "%d,%d", &first, &count)
		require.NoError(t, err)
	}
	return first, first + count
}

// TestRandomFaults injects random sequences of faults, also several at a time, while jobs
// arrive. It checks that no task runs twice and that every accepted job is done after the
// faults have ended.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	first, end := seedRange(t, 1, randomSeeds)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runFaults(t, uint64(seed), false, 0) })
		t.Run("unequal-"+strconv.Itoa(seed), func(t *testing.T) { runFaults(t, uint64(seed), true, 0) })
		t.Run("cells-"+strconv.Itoa(seed), func(t *testing.T) { runFaults(t, uint64(seed), true, 3) })
		t.Run("overload-"+strconv.Itoa(seed), func(t *testing.T) { runOverloadFaults(t, uint64(seed)) })
	}
}

// faults is a sequence of faults in progress.
type faults struct {
	c      *fleettest.Cluster
	random *rand.Rand
	next   int // number of the next new worker
	kinds  int // number of kinds of fault
}

const (
	// commonFaults is the number of kinds of fault that occur on all sites.
	commonFaults = 14
	// allFaults adds poor links to the store, as on sites with hosts of unequal size.
	allFaults = 16
	// overloadFaults adds slow processors, of one or all nodes, the simultaneous end and start
	// of many processes, and lost answers of workers.
	overloadFaults = 21
)

// runFaults runs one sequence. Hosts of unequal size hand leadership over to each other. A value
// of 0 for cells lets the nodes choose the number of cells.
func runFaults(t *testing.T, seed uint64, unequal bool, cells int) {
	kinds := commonFaults
	if unequal {
		kinds = allFaults
	}
	runFaultKinds(t, seed, kinds, unequal, cells)
}

// runOverloadFaults runs one sequence with all kinds of fault on hosts of unequal size. Odd
// seeds divide the fleet into three cells.
func runOverloadFaults(t *testing.T, seed uint64) {
	runFaultKinds(t, seed, overloadFaults, true, 1+2*int(seed%2))
}

func runFaultKinds(t *testing.T, seed uint64, kinds int, unequal bool, cells int) {
	random := rand.New(rand.NewPCG(seed, 7))
	tasks := func(fleet.TaskName) fleettest.Task {
		return fleettest.Task{Work: 1500 * time.Millisecond, Needs: smallNeeds, Checkpoint: true}
	}
	prepare := func() *fleettest.Cluster {
		c := fleettest.NewCluster(seed, 4, 5, tasks)
		c.Cells = cells
		return c
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		f := &faults{c: c, random: random, next: 5, kinds: kinds}
		if unequal {
			setHostSizes(c, 200, 800, 200, 400)
		}
		accepted := 0
		for range 24 {
			if random.IntN(3) > 0 {
				f.injectFault()
			}
			for _, m := range c.Nodes {
				if m.Up() && m.Node.Submit(t.Context(), c.Queue, jobID(accepted), twoSteps()) == nil {
					accepted++
					break
				}
			}
			time.Sleep(time.Duration(200+random.IntN(1200)) * time.Millisecond)
		}
		f.endFaults()
		require.Positive(t, accepted)
		waitAll(t, c, accepted, 200*time.Second)
	})
}

func (f *faults) node() *fleettest.Member { return f.c.Nodes[f.random.IntN(len(f.c.Nodes))] }

func (f *faults) worker() *fleettest.Worker {
	all := f.c.AllWorkers()
	return all[f.random.IntN(len(all))]
}

// injectFault injects or ends one random fault.
func (f *faults) injectFault() {
	m := f.node()
	switch f.random.IntN(f.kinds) {
	case 0, 1:
		if l := f.c.Leader(); l != nil {
			f.c.Kill(l)
		}
	case 2:
		if !m.Up() {
			f.c.Start(m)
		}
	case 3:
		f.store(m, fleettest.Silent)
	case 4:
		f.store(f.c.Leader(), [...]fleettest.Fault{fleettest.Busy, fleettest.Resetting}[f.next%2])
	case 5:
		f.store(m, fleettest.Healthy)
	case 6:
		if m.Up() {
			m.Workers.Cut(f.worker(), f.random.IntN(2) == 0)
		}
	case 7:
		if m.Up() {
			m.Workers.CutAll(f.random.IntN(2) == 0)
		}
	case 8:
		f.c.Store.Compact()
	case 9:
		late := f.random.Float64() * 0.3
		f.c.Workers.WithLock(func() { f.c.Workers.LateShare = late })
	case 10:
		f.c.Store.SetTransactionFaults(f.random.Float64()*0.3, f.random.Float64()*0.2)
	case 11:
		w := f.worker()
		f.c.Workers.Kill(w)
		if f.random.IntN(2) == 0 {
			f.c.Unlist(w)
		}
		f.c.AddWorker("w" + strconv.Itoa(f.next%10))
		f.next++
	case 12:
		if m.Up() {
			m.Peers.Cut(f.random.IntN(2) == 0)
		}
	case 13:
		if l := f.c.Leader(); l != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			l.Node.Drain(ctx)
			cancel()
			f.c.Kill(l)
		}
	case 14:
		if m.Up() {
			m.Store.SetReadLoss(f.random.Float64() * 0.4)
		}
	case 15:
		if m.Up() {
			m.Store.SetReadTransferTime(time.Duration(f.random.IntN(50)) * time.Millisecond)
		}
	case 16:
		m.SetEventCost(time.Duration(f.random.IntN(60)) * time.Millisecond)
	case 17:
		cost := time.Duration(f.random.IntN(30)) * time.Millisecond
		for _, m := range f.c.Nodes {
			m.SetEventCost(cost)
		}
	case 18:
		f.killShare(0.55)
	case 20:
		lost := f.random.Float64() * 0.4
		f.c.Workers.WithLock(func() { f.c.Workers.LostShare = lost })
	case 19:
		for _, m := range f.c.Nodes {
			if !m.Up() {
				f.c.Start(m)
			}
		}
	}
}

// killShare kills a share of the nodes at the same time.
func (f *faults) killShare(share float64) {
	for _, i := range f.random.Perm(len(f.c.Nodes))[:int(share*float64(len(f.c.Nodes)))+1] {
		f.c.Kill(f.c.Nodes[i])
	}
}

func (f *faults) store(m *fleettest.Member, fault fleettest.Fault) {
	if m != nil && m.Up() {
		m.Store.SetFault(fault)
	}
}

// endFaults ends all faults and starts the nodes that are down.
func (f *faults) endFaults() {
	f.c.Workers.WithLock(func() { f.c.Workers.LateShare, f.c.Workers.LostShare = 0, 0 })
	f.c.Store.SetTransactionFaults(0, 0)
	for _, m := range f.c.Nodes {
		m.SetEventCost(0)
		if !m.Up() {
			f.c.Start(m)
			continue
		}
		m.Store.SetFault(fleettest.Healthy)
		m.Store.SetReadLoss(0)
		m.Store.SetReadTransferTime(0)
		m.Workers.CutAll(false)
		m.Peers.Cut(false)
		for _, w := range f.c.AllWorkers() {
			m.Workers.Cut(w, false)
		}
	}
}
