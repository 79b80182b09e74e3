package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A service that fillers keep just over its target, by readings that err to the lower side first,
// must be reported as one that needs a pause in time for the contract's bound.
func TestStrainIsNoticedAtEveryPhaseOfTheReadings(t *testing.T) {
	const (
		harmBound = 4 * time.Second
		// orderTime is the time of a report, of the check of the paces and of a pace order.
		orderTime = 50*time.Millisecond + paceCheckInterval + 50*time.Millisecond
		swing     = 700 * time.Millisecond // readings err to either side in turn
		grain     = 10 * time.Millisecond
	)
	service := &Step{Count: 1, Needs: model.Resources{MilliCPU: 4000}, Lasting: true, Image: "s", LatencyTarget: 150 * time.Millisecond}
	filler := &Step{Count: 1, Needs: model.Resources{MilliCPU: 1600}, Filler: true, Image: "f"}
	for phase := time.Duration(0); phase < 2*swing; phase += grain {
		for first := time.Duration(0); first <= pollWait; first += 10 * grain {
			h, w := newInterference(), testWorker("w")
			r := testRun(w, service, 0)
			testRun(w, filler, 1)
			next := first
			after := time.Duration(0)
			for ; after < 2*harmBound && !h.viewOf(w, epoch.Add(after)).needsPause(epoch.Add(after)); after += grain {
				if after < next {
					continue
				}
				r.reading = 159
				if (phase+after)/swing%2 == 0 {
					r.reading = 147
				}
				h.observe(r, epoch.Add(after))
				next = after + pollWait
				if !r.strainedSince.IsZero() {
					next = after + lowHeadroomPollInterval
				}
				w.interferenceView = nil
			}
			require.Less(t, after+orderTime, harmBound, "phase %v, first reading after %v", phase, first)
		}
	}
}

func TestStrainStart(t *testing.T) {
	for _, c := range []struct {
		name            string
		near, now, want float64
	}{
		{"first reading over the target", 10, 10, 10},
		{"one reading near the target before", 9, 10, 10},
		{"two readings near the target before", 8, 10, 9},
		{"near the target for long", 1, 10, 9},
		{"readings close to each other", 8.5, 10, 9.5},
	} {
		require.Equal(t, at(c.want), strainStart(at(c.near), at(c.now)), c.name)
	}
}
