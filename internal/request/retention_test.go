package request

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against claims that are deleted before their retention has passed, and against rows
// and responses that are never deleted.
func TestSweepDeletesOnlyExpiredClaims(t *testing.T) {
	table, objects := standin.NewTable(nil), standin.NewObjects(nil)
	now := time.UnixMilli(1_000_000_000)
	put := func(i int, age time.Duration, object string) string {
		row := fmt.Sprintf("07%062d", i)
		c := Claim{ID: "x", State: model.OutcomeDone, Object: object}
		if age > 0 {
			c.At = now.Add(-age).UnixMilli()
		}
		value, err := json.Marshal(c)
		require.NoError(t, err)
		require.NoError(t, table.Commit(t.Context(), external.Write{Key: claimKey(row), Value: value}))
		return row
	}
	require.NoError(t, objects.Put(t.Context(), "outcomes/old", []byte("x")))
	for i := range 2 * sweepPageSize {
		put(i, 2*time.Hour, "")
	}
	old, young, undated := put(9001, 2*time.Hour, "outcomes/old"), put(9002, 59*time.Minute, ""), put(9003, 0, "")
	s := Sweeper{Table: table, Objects: objects, Now: func() time.Time { return now }}
	deleted, err := s.Sweep(t.Context(), 7, time.Hour)
	require.NoError(t, err)
	require.Equal(t, 2*sweepPageSize+1, deleted)
	_, err = table.Get(t.Context(), claimKey(old))
	require.True(t, model.IsKind(err, model.KindNotFound))
	_, err = objects.Get(t.Context(), "outcomes/old")
	require.True(t, model.IsKind(err, model.KindNotFound))
	for _, row := range []string{young, undated} {
		_, err = table.Get(t.Context(), claimKey(row))
		require.NoError(t, err)
	}
}
