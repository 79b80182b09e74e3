package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// hostsOf returns n hosts with the given limits.
func hostsOf(n int, milliCPU, linkBytes int64) []Limits {
	hosts := make([]Limits, n)
	for i := range hosts {
		hosts[i] = Limits{MilliCPU: milliCPU, LinkBytes: linkBytes}
	}
	return hosts
}

// racksOf returns the number of workers by rack, for racks of equal size.
func racksOf(racks, workers int) map[string]int {
	m := map[string]int{}
	for i := range racks {
		m[fmt.Sprintf("dc%d/r%d", i%3, i)] = workers
	}
	return m
}

func TestCellCount(t *testing.T) {
	mixed := append(hostsOf(15, 800, 25_000_000), hostsOf(132, 192, 2_500_000)...)
	for name, c := range map[string]struct {
		hosts       []Limits
		racks       map[string]int
		least, most int
	}{
		"one host carries all":                   {hostsOf(6, 400, 125_000_000), racksOf(6, 8), 1, 1},
		"crowded by cells that stay pooled":      {append(hostsOf(10, 800, 25_000_000), hostsOf(33, 110, 1_250_000)...), racksOf(18, 20), 3, 3},
		"too small to lead pooled cells":         {append(hostsOf(10, 800, 25_000_000), hostsOf(33, 60, 1_250_000)...), racksOf(18, 20), 1, 1},
		"unknown hosts do not bind":              {hostsOf(6, 0, 0), racksOf(10, 20), 1, 1},
		"no workers":                             {hostsOf(6, 400, 0), nil, 1, 1},
		"as many as the small hosts carry":       {mixed, racksOf(55, 20), 6, 8},
		"one cell for large hosts only":          {hostsOf(6, 800, 25_000_000), racksOf(18, 20), 1, 1},
		"one tiny host does not count":           {append(hostsOf(6, 800, 25_000_000), hostsOf(1, 10, 0)...), racksOf(18, 20), 1, 1},
		"small hosts need many":                  {hostsOf(147, 192, 2_500_000), racksOf(55, 20), 10, 30},
		"narrow links":                           {hostsOf(24, 800, 250_000), racksOf(10, 12), 3, 4},
		"never more cells than racks":            {hostsOf(40, 10, 0), racksOf(4, 200), 4, 4},
		"never more cells than hosts":            {hostsOf(3, 10, 0), racksOf(30, 20), 3, 3},
		"cells stay wide enough for large steps": {hostsOf(40, 10, 0), racksOf(30, 4), 4, 4},
	} {
		t.Run(name, func(t *testing.T) {
			n := cellCount(c.hosts, c.racks)
			require.GreaterOrEqual(t, n, c.least)
			require.LessOrEqual(t, n, c.most)
		})
	}
}

// A fleet was one cell because some large hosts carried it. When these were lost, a small host led all workers
// and could not start their work, though the small hosts could have done so together.
func TestNoHostLeadsMoreThanItCarries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.Int64Range(100, 800).Draw(t, "small host")
		hosts := hostsOf(rapid.IntRange(20, 60).Draw(t, "small hosts"), small, 1_250_000)
		hosts = append(hosts, hostsOf(rapid.IntRange(0, 20).Draw(t, "large hosts"), rapid.Int64Range(small, 4000).Draw(t, "large host"), 25_000_000)...)
		racks := rapid.IntRange(20, 60).Draw(t, "racks")
		cells, workers := cellCount(hosts, racksOf(racks, 20)), racks*20
		if cells == min(racks, len(hosts), workers/minWorkersPerCell) || !newLeaders(hosts, workers).planForLast {
			return // no further division is possible, or it would leave too small cells
		}
		bySize := slices.SortedFunc(slices.Values(hosts), func(a, b Limits) int { return cmp.Compare(a.MilliCPU, b.MilliCPU) })
		for lost := range hosts { // the largest first
			left, carried, led := bySize[:len(hosts)-lost], 0, 0
			for _, h := range left {
				carried += workerCapacityOf(h, fullCost)
				led += cellsLed(h, fullCost, cells, workers)
			}
			if carried < hostsPerCell*workers {
				return // they cannot lead the fleet with a spare host for each other one
			}
			require.GreaterOrEqual(t, led, cells, "%d largest hosts lost", lost)
		}
	})
}

// Of numbers that are nearly the same, one with an even division was chosen although its cells are smaller than
// those that are made for the smallest hosts.
func TestEvenDivisionKeepsPooledCells(t *testing.T) {
	for workers, cells := range map[int]int{352: 3, 416: 4} {
		hosts := append(hostsOf(40, 190, 1_250_000), hostsOf(6, 4000, 25_000_000)...)
		racks := map[string]int{}
		for i := range 4 { // four cells are even, three are not
			racks[fmt.Sprintf("dc%d/r", i)] = workers / 4
		}
		require.True(t, newLeaders(hosts, workers).planForLast)
		require.Equal(t, cells, cellCount(hosts, racks), "%d workers", workers)
	}
}

// Of numbers that are nearly the same, one with an even division was chosen although the hosts could not lead
// so many cells.
func TestChosenCellsCanBeLed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 20 {
			var hosts []Limits
			for range rapid.IntRange(1, 4).Draw(t, "sizes") {
				hosts = append(hosts, hostsOf(rapid.IntRange(1, 20).Draw(t, "hosts"), rapid.Int64Range(20, 2000).Draw(t, "milli cpu"), 0)...)
			}
			racks := racksOf(rapid.IntRange(5, 60).Draw(t, "racks"), rapid.IntRange(5, 30).Draw(t, "workers"))
			leaders, cells := newLeaders(hosts, workersIn(racks)), cellCount(hosts, racks)
			for n := 1; n < cells; n++ {
				if leaders.canLead(n) {
					require.True(t, leaders.canLead(cells), "%d cells, %d suffice", cells, n)
				}
			}
		}
	})
}

// Each job and each rack must have exactly one cell, and cells must be of about equal size.
// Racks that are added later must not change the cells of the others, since the workers of a
// rack hold runs of its cell.
func TestLayoutDividesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := rapid.IntRange(1, 30).Draw(t, "cells")
		count := rapid.IntRange(cells, 120).Draw(t, "racks")
		l := newLayout(cells, racksOf(count, 20))
		require.True(t, l.valid())
		slots := map[int]int{}
		for i := range 100 {
			c := l.cellOf(fmt.Sprintf("%016x", i))
			require.Less(t, c, cells)
			require.Contains(t, l.jobParts(c), l.jobPart(fmt.Sprintf("%016x", i)))
		}
		for _, c := range l.Slots {
			slots[int(c)]++
		}
		if cells == 1 {
			return
		}
		workers := map[int]int{}
		for _, c := range l.Racks {
			workers[int(c)] += 20
		}
		for c := range cells {
			require.InDelta(t, float64(count*20)/float64(cells), workers[c], 20, "workers of cell %d", c)
			share := float64(workers[c]) / float64(count*20) * float64(len(l.Slots))
			require.InDelta(t, share, slots[c], 1+share/10, "slots of cell %d", c)
		}
		before := map[string]byte{}
		for rack, c := range l.Racks {
			before[rack] = c
		}
		l.addRacks(map[string]int{"dc9/new1": 20, "dc9/new2": 20}, racksOf(count, 20))
		for rack, c := range before {
			require.Equal(t, c, l.Racks[rack])
		}
		require.Len(t, l.Racks, count+2)
		require.True(t, l.valid())
	})
}

// No two cells may share a part of a table. A single cell must use the part that versions
// without cells use, or it would not find their rows.
func TestPartsOfCells(t *testing.T) {
	require.Equal(t, singleCellPart, singleCellLayout().cellPart(0))
	l := newLayout(3, racksOf(6, 10))
	require.NotEqual(t, l.cellPart(0), l.cellPart(1))
	require.NotEqual(t, singleCellPart, l.cellPart(0))
	seen := map[string]bool{}
	for c := range 3 {
		for _, p := range l.jobParts(c) {
			require.False(t, seen[p], "part %s has two cells", p)
			seen[p] = true
		}
	}
	require.Len(t, seen, multiCellSlots)
}

func TestInvalidLayoutIsRefused(t *testing.T) {
	require.False(t, (&layout{}).valid())
	require.False(t, (&layout{Cells: 2, Slots: []byte{0, 2}}).valid())
	require.False(t, (&layout{Cells: 2, Slots: []byte{0, 1}, Racks: map[string]byte{"r": 2}}).valid())
	require.False(t, (&layout{Cells: MaxCells + 1, Slots: []byte{0}}).valid())
}

// A host that led as many cells as it carries campaigned for the next one before hosts that led none.
func TestFullHostCampaignsAfterOthers(t *testing.T) {
	l := newLayout(3, racksOf(18, 20))
	delay := func(milliCPU int64, led int) time.Duration {
		n := &Node{cfg: Config{Limits: Limits{MilliCPU: milliCPU}}}
		d := &cellTable{layout: l}
		for i := range l.Cells {
			c := &cell{index: i}
			if i < led {
				c.term.Store(newTestTerm(i))
			}
			d.cells = append(d.cells, c)
		}
		n.cellTable.Store(d)
		return n.campaignExtraDelay(d)
	}
	require.Less(t, delay(800, 2), delay(192, 1), "a large host carries three cells")
	require.Less(t, delay(192, 0)+campaignJitter, delay(192, 1), "a small host carries one")
	require.Less(t, delay(192, 0), delay(400, 2), "another host carries two of them")
	l.Workers = 0
	require.Less(t, delay(400, 2), delay(192, 1), "sizes are not known")
}
