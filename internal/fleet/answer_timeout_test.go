package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The timeout must grow when all answers are late, as on a saturated link, so that no call is
// abandoned too early. A share of silent workers, up to a whole data centre, must not change
// it.
func TestAnswerTimeoutGrowsWhenAllAnswersAreLate(t *testing.T) {
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
		require.Equal(t, answerTimeoutMin, a.timeout(), "the timeout falls again when answers are fast")
	})
}
