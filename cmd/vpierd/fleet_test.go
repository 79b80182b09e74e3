package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against frequent collections on a small host that must lead, and against a heap of a hundred megabytes
// for each leader on large ones.
func TestSmallHostsCollectLessOften(t *testing.T) {
	for milliCPU, percent := range map[int64]int{0: gcPercent, 110: gcPercentSmallHost, 499: gcPercentSmallHost, 500: gcPercent, 800: gcPercent} {
		require.Equal(t, percent, collectionPercent(milliCPU), milliCPU)
	}
}
