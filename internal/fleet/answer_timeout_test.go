package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A full link delays all answers alike; they are waited for. Workers that do not answer
// at all, up to a data centre of them, do not change how long others are waited for.
func TestAnswersAreWaitedForWhenAllAreLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a answerTimeout
		quick := time.Duration(rapid.IntRange(1, 20).Draw(t, "quick_ms")) * time.Millisecond
		silent := rapid.Float64Range(0, 0.2).Draw(t, "silent")
		calls := func(n int, took time.Duration) {
			for i := range n {
				if float64(i%100) < 100*silent {
					a.observe(a.timeout())
				} else {
					a.observe(took)
				}
			}
		}
		calls(1000, quick)
		require.Equal(t, answerTimeoutMin, a.timeout())
		calls(1000, 300*time.Millisecond)
		require.Greater(t, a.timeout(), 1200*time.Millisecond)
		calls(1000, quick)
		require.Equal(t, answerTimeoutMin, a.timeout(), "and no longer than needed afterwards")
	})
}
