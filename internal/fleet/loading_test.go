package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards renewals against pages that are too large for a narrow link: the rows of one table tell nothing of those
// of another.
func TestReadLimiterBoundsPagesByTable(t *testing.T) {
	rows := func(n, bytes int) []Row {
		page := make([]Row, n)
		for i := range page {
			page[i].Value = make([]byte, bytes)
		}
		return page
	}
	require.Nil(t, newReadLimiter(0), "unknown link")
	require.Nil(t, newReadLimiter(25_000_000), "200 Mbit/s")
	for link, reads := range map[int64]int{100_000: 1, 1_250_000: 3, 2_500_000: 7} {
		require.Equal(t, reads, cap(newReadLimiter(link).slots), "%d bytes per second", link)
	}
	l := newReadLimiter(1_250_000)
	for _, c := range []struct {
		table        string
		rows, bytes  int
		before, next int
	}{
		{"small", 50, 60, firstPageRows, 284}, {"large", 50, 6000, firstPageRows, minPageRows}, {"small", 284, 60, 284, 284},
		{"tiny", 50, 0, firstPageRows, 436}, {"empty", 0, 0, firstPageRows, firstPageRows},
	} {
		limit, err := l.acquire(t.Context(), c.table)
		require.NoError(t, err)
		require.Equal(t, c.before, limit, c.table)
		l.release(c.table, rows(c.rows, c.bytes))
		next, err := l.acquire(t.Context(), c.table)
		require.NoError(t, err)
		require.Equal(t, c.next, next, c.table)
		l.release(c.table, nil)
	}
}
