package fleettest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// Guards against a frozen process that still acts: its calls must take effect only once it goes on, and an
// answer that came meanwhile must be read no sooner.
func TestFrozenProcessMakesNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, f := NewStore(1), &freezer{}
		s := heldStore{store.View(), f}
		commit := func(key string, limit time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_, err := s.Commit(ctx, fleet.Transaction{Puts: []fleet.Row{{RowID: fleet.RowID{Table: "t", Key: key}}}})
			return err
		}
		begun := time.Now()
		f.set(true)
		time.AfterFunc(2*time.Second, func() {
			require.Empty(t, store.Rows("t"))
			f.set(false)
		})
		require.NoError(t, commit("first", 3*time.Second))
		require.Equal(t, 2*time.Second+2*store.Latency, time.Since(begun))

		time.AfterFunc(store.Latency, func() { f.set(true) }) // while the call is on its way
		time.AfterFunc(2*time.Second, func() {
			require.Len(t, store.Rows("t"), 2)
			f.set(false)
		})
		require.Error(t, commit("second", time.Second), "the answer is read after the limit of the call")
	})
}
