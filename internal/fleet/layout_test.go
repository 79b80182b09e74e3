package fleet

import (
	"fmt"
	"testing"

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
		"unknown hosts do not bind":              {hostsOf(6, 0, 0), racksOf(10, 20), 1, 1},
		"no workers":                             {hostsOf(6, 400, 0), nil, 1, 1},
		"as many as the large hosts carry":       {mixed, racksOf(55, 20), 3, 7},
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
