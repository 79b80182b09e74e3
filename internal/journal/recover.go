package journal

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Recovered is the content of a journal: the snapshot, if any, and all entries after it.
type Recovered struct {
	// Snapshot has sequence 0 and no data if the journal has no snapshot.
	Snapshot Snapshot
	Tail     []Entry
}

// Last returns the last sequence covered; 0 for an empty journal.
func (r Recovered) Last() uint64 {
	if n := len(r.Tail); n > 0 {
		return r.Tail[n-1].Sequence
	}
	return r.Snapshot.Sequence
}

// maxRecoverAttempts limits the attempts of a recovery that races with truncation. An
// attempt fails for this reason only if two more snapshots are saved during its reads.
const maxRecoverAttempts = 5

// Recover reads the newest valid snapshot and the tail after it. If the newest snapshot
// is corrupt, it uses the older one and a longer tail. If no valid snapshot covers the
// truncated rows, it returns KindCorrupt, never a partial state.
func Recover(ctx context.Context, log *Log, snaps *Snapshots) (Recovered, error) {
	var err error
	for range maxRecoverAttempts {
		var r Recovered
		r, err = recoverOnce(ctx, log, snaps)
		if !model.IsKind(err, model.KindStale) {
			return r, err
		}
	}
	return Recovered{}, model.Wrap(model.KindCorrupt, err,
		"restore a snapshot or the missing rows from the store's backup", "journal %s cannot be recovered", log.partition)
}

func recoverOnce(ctx context.Context, log *Log, snaps *Snapshots) (Recovered, error) {
	snap, snapErr := snaps.Latest(ctx)
	switch model.KindOf(snapErr) {
	case "", model.KindNotFound, model.KindCorrupt:
	default:
		return Recovered{}, snapErr
	}
	tail, err := log.Tail(ctx, snap.Sequence+1)
	if err != nil {
		return Recovered{}, err
	}
	if model.IsKind(snapErr, model.KindCorrupt) && len(tail) == 0 {
		return Recovered{}, snapErr
	}
	return Recovered{Snapshot: snap, Tail: tail}, nil
}
