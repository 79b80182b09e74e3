package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/linkmeter"
)

func TestUtilizationOfLimits(t *testing.T) {
	before := Total{CPU: time.Second, Memory: 1 << 20, Received: 1000, Sent: 500}
	after := Total{CPU: 1200 * time.Millisecond, Memory: 64 << 20, Received: 3000, Sent: 5500}
	limits := Limits{MilliCPU: 200, MemoryMB: 128, LinkBytes: 10_000}
	for name, c := range map[string]struct {
		apart  time.Duration
		limits Limits
		want   Utilization
	}{
		"all limits":             {2 * time.Second, limits, Utilization{CPU: 0.5, Memory: 0.5, Link: 0.25}},
		"unknown limits":         {2 * time.Second, Limits{}, Utilization{}},
		"no time passed":         {0, limits, Utilization{}},
		"only the link is known": {time.Second, Limits{LinkBytes: 5000}, Utilization{Link: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			got := UtilizationBetween(before, after, c.apart, c.limits)
			require.InDelta(t, c.want.CPU, got.CPU, 1e-9)
			require.InDelta(t, c.want.Memory, got.Memory, 1e-9)
			require.InDelta(t, c.want.Link, got.Link, 1e-9)
		})
	}
}

func TestMeterReadsOwnProcess(t *testing.T) {
	total := NewMeter(&linkmeter.Meter{})
	before := total()
	require.Positive(t, before.Memory)
	for total().CPU == before.CPU { // the CPU clock may advance only once per scheduler tick
	}
	require.Zero(t, NewMeter(nil)().Received)
}

// Guards the total against readings of its two clocks that lie apart: a host that was not suspended between
// two calls shows the same total.
func TestSuspendedIsSteady(t *testing.T) {
	first := Suspended()
	for range 1000 {
		require.InDelta(t, first, Suspended(), float64(2*clockReadTime))
	}
}
