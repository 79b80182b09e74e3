package journal_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against a separate row for each record, reordered records, and urgent records
// that wait for the whole interval.
func TestCommitterGroupsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rows [][][]byte
		c := journal.NewCommitter(journal.CommitterConfig{}, func(_ context.Context, r [][]byte) (uint64, error) {
			time.Sleep(5 * time.Millisecond)
			rows = append(rows, r)
			return uint64(len(rows)), nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		start := time.Now()
		var wg sync.WaitGroup
		for _, v := range []string{"a", "b", "c"} {
			wg.Go(func() {
				seq, err := c.Submit(ctx, records(v), false)
				require.NoError(t, err)
				require.EqualValues(t, 1, seq)
			})
			synctest.Wait()
		}
		wg.Wait()
		require.Equal(t, 105*time.Millisecond, time.Since(start))
		require.Equal(t, records("a", "b", "c"), rows[0])
		start = time.Now()
		_, err := c.Submit(ctx, records("d"), true)
		require.NoError(t, err)
		require.Equal(t, 5*time.Millisecond, time.Since(start))
		cancel()
		require.Error(t, <-ended)
	})
}

// Guards against a graceful shutdown that loses queued records or accepts new ones.
func TestCommitterCloseFlushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written int
		c := journal.NewCommitter(journal.CommitterConfig{MaxBytes: 4}, func(_ context.Context, r [][]byte) (uint64, error) {
			written += len(r)
			return 1, nil
		})
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				_, err := c.Submit(t.Context(), records("abc"), false)
				require.NoError(t, err)
			})
		}
		synctest.Wait()
		wg.Go(func() { _ = c.Run(t.Context()) })
		closed := model.Errorf(model.KindFenced, "", "closed")
		require.NoError(t, c.Close(t.Context(), closed))
		_, err := c.Submit(t.Context(), records("late"), false)
		require.ErrorIs(t, err, closed)
		wg.Wait()
		require.Equal(t, 5, written)
	})
}

// Guards against a writer that continues after an append was fenced, and against a
// writer that stops after an append that wrote nothing.
func TestCommitterStopsOnlyWhenFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kinds := []model.Kind{model.KindUnavailable, model.KindFenced}
		c := journal.NewCommitter(journal.CommitterConfig{}, func(context.Context, [][]byte) (uint64, error) {
			kind := kinds[0]
			kinds = kinds[1:]
			return 0, model.Errorf(kind, "", "injected")
		})
		ended := make(chan error, 1)
		go func() { ended <- c.Run(t.Context()) }()
		for _, want := range []model.Kind{model.KindUnavailable, model.KindFenced, model.KindFenced} {
			_, err := c.Submit(t.Context(), records("x"), true)
			require.Equal(t, want, model.KindOf(err))
		}
		require.Error(t, <-ended)
	})
}
