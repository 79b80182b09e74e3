package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// lossyStore applies the first transaction and loses its answer and those of the repeats, but for the
// last one, which finds what it wrote.
type lossyStore struct {
	Store
	lost    int
	applied []Row
	now     time.Time
}

func (s *lossyStore) Commit(ctx context.Context, tx Transaction) (Commit, error) {
	if s.applied == nil {
		s.applied, s.now = tx.Puts, time.Now()
	}
	if s.lost--; s.lost >= 0 {
		<-ctx.Done()
		return Commit{}, model.Errorf(model.KindUnknown, "repeat", "no answer")
	}
	for i := range s.applied {
		s.applied[i].Version = 11
	}
	return Commit{}, &ConflictError{Rows: s.applied}
}

// A leader whose renewal had been applied without an answer dated it by the repeat that found it, up to
// seconds later than the next leader saw it, and granted leases for as much longer than that one waited.
func TestRenewalIsDatedByTheAttemptThatMayHaveAppliedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lossyStore{lost: 3}
		tm := newTestTerm(1)
		tm.cfg.Store, tm.now = store, time.Now()
		tm.loaded, tm.lastRenewal = true, tm.now.Add(-renewInterval)
		tm.sendTransaction(tm.nextTransaction())
		tm.handleEvents(<-tm.events[classState])
		require.Equal(t, uint64(11), tm.fenceVersion, "the transaction was applied")
		require.Greater(t, time.Since(store.now), time.Second)
		require.False(t, tm.lastRenewal.After(store.now), "dated %v after other nodes may have seen it", tm.lastRenewal.Sub(store.now))
	})
}
