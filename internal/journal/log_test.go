package journal_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/journal/journaltest"
	"github.com/vanillapier/vanillapier/internal/model"
)

func records(values ...string) [][]byte {
	var out [][]byte
	for _, v := range values {
		out = append(out, []byte(v))
	}
	return out
}

// Guards against an append that treats a lost response, a dropped put or a late put as
// success or failure without comparing the append id.
func TestAppendResolvesLostAnswers(t *testing.T) {
	faults := map[string]journaltest.Fault{
		"lost": {LoseResponse: true}, "dropped": {Drop: true}, "late": {ApplyAfter: 3 * time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := journaltest.New()
				first := true
				store.SetInject(func(op journaltest.Op) journaltest.Fault {
					if op.Name != "commit" || !first {
						return journaltest.Fault{}
					}
					first = false
					return fault
				})
				log := journal.New(store.Node("a"), "p")
				seq, err := log.Append(t.Context(), 1, journal.Batch{Records: records("x")})
				require.NoError(t, err)
				require.EqualValues(t, 1, seq)
				time.Sleep(time.Minute)
				entries, err := log.Tail(t.Context(), 1)
				require.NoError(t, err)
				require.Len(t, entries, 1)
			})
		})
	}
}

// Guards against a writer that continues after another writer has written the same
// sequence, including when the response to its own failed put was lost.
func TestAppendIsFenced(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := journaltest.New()
			log := journal.New(store.Node("a"), "p")
			_, err := log.Append(t.Context(), 1, journal.Batch{})
			require.NoError(t, err)
			store.SetInject(func(op journaltest.Op) journaltest.Fault { return journaltest.Fault{LoseResponse: lost && op.Write} })
			_, err = log.Append(t.Context(), 1, journal.Batch{})
			require.Equal(t, model.KindFenced, model.KindOf(err))
		})
	}
}

// Guards against reporting that nothing was written for an append whose result is
// unknown.
func TestAppendStaysUnknownUntilResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := journaltest.New()
		store.SetInject(func(op journaltest.Op) journaltest.Fault {
			return journaltest.Fault{LoseResponse: op.Write, Down: !op.Write}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		batch := journal.Batch{AppendID: journal.NewAppendID()}
		log := journal.New(store.Node("a"), "p")
		_, err := log.Append(ctx, 1, batch)
		require.Equal(t, model.KindUnknown, model.KindOf(err))
		store.SetInject(nil)
		_, err = log.Append(t.Context(), 1, batch)
		require.NoError(t, err, "the same append at the same sequence is recognised")
	})
}

// saveSnapshots appends n rows and saves a snapshot of the row count at each of
// the given sequences.
func saveSnapshots(t *testing.T, n uint64, at ...uint64) (*journaltest.Store, *journal.Log, *journal.Snapshots) {
	store := journaltest.New()
	log := journal.New(store.Node("a"), "cell/x")
	snaps := journal.NewSnapshots(store.Node("a").Objects(), "cell/x", log)
	for seq := uint64(1); seq <= n; seq++ {
		_, err := log.Append(t.Context(), seq, journal.Batch{Records: records(fmt.Sprint(seq))})
		require.NoError(t, err)
		for _, s := range at {
			if s == seq {
				require.NoError(t, snaps.Save(t.Context(), seq, []byte(fmt.Sprint(seq))))
			}
		}
	}
	return store, log, snaps
}

// Guards against a recovery from incomplete data: if the newest snapshot is corrupt,
// recovery uses the older one with a longer tail; if both are corrupt, it fails.
func TestRecoverFallsBackAndThenStops(t *testing.T) {
	store, log, snaps := saveSnapshots(t, 10, 2, 4, 8)
	list, err := snaps.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []uint64{4, 8}, list, "the last two are kept")

	check := func(snapshot uint64) {
		rec, err := journal.Recover(t.Context(), log, snaps)
		require.NoError(t, err)
		require.Equal(t, snapshot, rec.Snapshot.Sequence)
		require.Len(t, rec.Tail, int(10-snapshot))
		require.EqualValues(t, 10, rec.Last())
	}
	check(8)
	store.MaxRangeRows = 2 // The store may return fewer rows than requested.
	store.Corrupt("cell/x/" + journal.SequenceRow(8))
	check(4)
	store.Corrupt("cell/x/" + journal.SequenceRow(4))
	_, err = journal.Recover(t.Context(), log, snaps)
	require.Equal(t, model.KindCorrupt, model.KindOf(err))
	require.ErrorContains(t, err, "remedy")
}

// Guards against a recovery that fails because of a corrupt snapshot although the whole
// journal exists.
func TestRecoverWithoutSnapshotReadsWholeJournal(t *testing.T) {
	store, log, snaps := saveSnapshots(t, 5, 3)
	store.Corrupt("cell/x/" + journal.SequenceRow(3))
	rec, err := journal.Recover(t.Context(), log, snaps)
	require.NoError(t, err)
	require.Len(t, rec.Tail, 5)
}

// Guards against accepting a delayed put that succeeds at a truncated sequence as part
// of the journal.
func TestDelayedAppendIntoTruncatedRange(t *testing.T) {
	_, log, snaps := saveSnapshots(t, 10, 4, 8)
	_, err := log.Append(t.Context(), 3, journal.Batch{Records: records("stale")})
	require.NoError(t, err, "the row was deleted, so the table accepts it")
	require.Equal(t, model.KindFenced, model.KindOf(log.VerifyLast(t.Context(), 3)))
	rec, err := journal.Recover(t.Context(), log, snaps)
	require.NoError(t, err)
	require.EqualValues(t, 10, rec.Last())
	_, err = log.Tail(t.Context(), 3)
	require.Equal(t, model.KindStale, model.KindOf(err))
}

// Guards against decoding data of a newer major format during a rolling upgrade, and
// against rejecting a newer minor format.
func TestNewerFormatIsRefused(t *testing.T) {
	minor, err := journal.EncodeBatch(journal.Batch{Format: journal.CurrentFormat + 1})
	require.NoError(t, err)
	_, err = journal.DecodeBatch(minor)
	require.NoError(t, err, "a higher minor version is readable")
	major, err := journal.EncodeBatch(journal.Batch{Format: 2 << 8})
	require.NoError(t, err)
	_, err = journal.DecodeBatch(major)
	require.Equal(t, model.KindInvalid, model.KindOf(err))
	require.ErrorContains(t, err, "upgrade this node")
}

func FuzzDecodeBatch(f *testing.F) {
	seed, _ := journal.EncodeBatch(journal.Batch{
		AppendID: journal.AppendID{1}, Epoch: 3, Records: records("a", ""),
		Owner: &journal.OwnerChange{Action: journal.OwnerAcquired, Node: "n", Addr: "a", LeaseMillis: 6000},
	})
	f.Add(seed)
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0x19, 0x02, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := journal.DecodeBatch(data)
		if err != nil {
			require.NotEmpty(t, model.KindOf(err))
			return
		}
		again, err := journal.EncodeBatch(b)
		require.NoError(t, err)
		decoded, err := journal.DecodeBatch(again)
		require.NoError(t, err)
		require.Equal(t, b.AppendID, decoded.AppendID)
		require.Equal(t, len(b.Records), len(decoded.Records))
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	seed, _ := journal.EncodeSnapshot(journal.Snapshot{Sequence: 7, Data: []byte("state"), Epoch: 2})
	f.Add(seed)
	f.Add(seed[:len(seed)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := journal.DecodeSnapshot(data)
		if err != nil {
			require.NotEmpty(t, model.KindOf(err))
			return
		}
		again, err := journal.EncodeSnapshot(s)
		require.NoError(t, err)
		decoded, err := journal.DecodeSnapshot(again)
		require.NoError(t, err)
		require.Equal(t, s, decoded)
	})
}
