package fleettest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// A start without an answer is carried out late by the lifetime to which it was sent. One that was sent
// on a connection to that lifetime ends with it; a next lifetime may carry out any other.
func TestLateStart(t *testing.T) {
	for name, test := range map[string]struct {
		restarts, unverified bool
		runs                 int
	}{
		"same lifetime":                    {runs: 1},
		"next lifetime":                    {restarts: true},
		"same lifetime, unknown to sender": {unverified: true, runs: 1},
		"next lifetime, unknown to sender": {restarts: true, unverified: true, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := NewWorkers(1, func(fleet.TaskName) Task { return Task{Lasting: true} }, NewRunChecker())
				w := f.Add(fleet.WorkerInfo{Lifetime: fleet.Lifetime{Worker: "w", Born: 7}, Addr: "w"})
				view := f.ViewOf(w)
				f.LateShare, f.LateToNext, f.UnverifiedStarts = 1, true, test.unverified
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				reply, err := view.Start(ctx, w.Info, fleet.StartOrder{RunRef: fleet.RunRef{Task: "job.0.0.0", Attempt: 1}, Deadline: time.Hour})
				require.True(t, model.IsKind(err, model.KindUnknown), "%v", err)
				require.Equal(t, int64(7), reply.SentTo)
				if test.restarts {
					next := w.Info
					next.Born = 8
					w = f.Add(next)
				}
				time.Sleep(4 * time.Second)
				require.Equal(t, test.runs, f.RunCount(w))
			})
		})
	}
}

// A start for a lifetime that has ended reaches no other one, whether or not the end of the connection
// has shown.
func TestStartForFormerLifetimeIsNotCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewWorkers(1, func(fleet.TaskName) Task { return Task{Lasting: true} }, NewRunChecker())
		w := f.Add(fleet.WorkerInfo{Lifetime: fleet.Lifetime{Worker: "w", Born: 7}, Addr: "w"})
		kinds := map[model.Kind]int{}
		for range 20 {
			view := f.ViewOf(w)
			next := w.Info
			next.Born++
			former := w.Info
			w = f.Add(next)
			_, err := view.Start(t.Context(), former, fleet.StartOrder{RunRef: fleet.RunRef{Task: "job.0.0.0", Attempt: 1}, Deadline: time.Hour})
			require.Error(t, err)
			kinds[model.KindOf(err)]++
			require.Zero(t, f.RunCount(w))
		}
		require.Positive(t, kinds[model.KindExhausted], "not sent")
		require.Positive(t, kinds[model.KindUnknown], "sent on a connection that had ended")
	})
}
