package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/linkmeter"
)

func TestSharesOfLimits(t *testing.T) {
	before := Total{Processor: time.Second, Memory: 1 << 20, Received: 1000, Sent: 500}
	after := Total{Processor: 1200 * time.Millisecond, Memory: 64 << 20, Received: 3000, Sent: 5500}
	limits := Limits{MilliCPU: 200, MemoryMB: 128, LinkBytes: 10_000}
	for name, c := range map[string]struct {
		apart  time.Duration
		limits Limits
		want   Shares
	}{
		"all limits":             {2 * time.Second, limits, Shares{Processor: 0.5, Memory: 0.5, Link: 0.25}},
		"unknown limits":         {2 * time.Second, Limits{}, Shares{}},
		"no time passed":         {0, limits, Shares{}},
		"only the link is known": {time.Second, Limits{LinkBytes: 5000}, Shares{Link: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			got := Between(before, after, c.apart, c.limits)
			require.InDelta(t, c.want.Processor, got.Processor, 1e-9)
			require.InDelta(t, c.want.Memory, got.Memory, 1e-9)
			require.InDelta(t, c.want.Link, got.Link, 1e-9)
		})
	}
}

func TestMeterTellsThisProcess(t *testing.T) {
	total := Meter(&linkmeter.Meter{})
	before := total()
	require.Positive(t, before.Memory)
	for total().Processor == before.Processor { // its resolution may be that of a scheduler's tick
	}
	require.Zero(t, Meter(nil)().Received)
}
