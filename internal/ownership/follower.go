package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// pollPageSize is the number of rows that one poll reads.
const pollPageSize = 200

// follower reads the journal of a cell that this node does not own. On the standby it is warm:
// it keeps the snapshot and the journal tail in memory, so that a take-over needs no further
// reads.
type follower struct {
	cfg   Config
	cell  model.CellID
	log   *journal.Log
	snaps *journal.Snapshots

	loaded    bool
	obs       Observation
	coldUntil time.Time
	// peerState is a peer's state that has not been compared with the journal yet.
	peerState *FollowerState

	// mu guards the state, which peers may read.
	mu    sync.Mutex
	warm  bool
	state journal.Recovered
	bytes int
}

func newFollower(cfg Config, cell model.CellID) *follower {
	log := journal.New(cfg.Table, Partition(cell))
	return &follower{cfg: cfg, cell: cell, log: log, snaps: journal.NewSnapshots(cfg.Objects, Partition(cell), log)}
}

// poll reads the rows after the last one seen. If warm is set, it also loads the state into
// memory unless it is there already.
func (f *follower) poll(ctx context.Context, warm bool) error {
	warm = warm && !f.cfg.Now().Before(f.coldUntil)
	if !f.loaded || (warm && !f.warm) {
		return f.load(ctx, warm)
	}
	if !warm {
		f.dropState()
	}
	entries, err := f.log.Read(ctx, f.obs.Last+1, pollPageSize)
	if err == nil && len(entries) > 0 && entries[0].Sequence != f.obs.Last+1 {
		err = model.Errorf(model.KindStale, "read the newest snapshot", "the journal was truncated")
	}
	if model.IsKind(err, model.KindStale) {
		f.loaded = false
		return f.load(ctx, warm)
	}
	if err != nil {
		return err
	}
	if err := f.observeEntries(entries, f.cfg.Now()); err != nil {
		// Delayed puts may have filled sequences that were truncated before this node
		// read them. The newest snapshot covers these sequences.
		f.loaded = false
		return f.load(ctx, warm)
	}
	return nil
}

// load recovers the cell's ownership from the store, or from a peer's state and the journal
// rows after it. If warm is set, it keeps the recovered state in memory.
func (f *follower) load(ctx context.Context, warm bool) error {
	rec, err := f.recover(ctx)
	if err != nil {
		return err
	}
	known := f.obs
	f.dropState()
	f.obs = Observation{Last: rec.Snapshot.Sequence, Epoch: rec.Snapshot.Epoch, Owner: rec.Snapshot.Owner}
	now := f.cfg.Now()
	f.obs.SeenAt = now
	f.warmUp(warm, rec.Snapshot)
	if err := f.observeEntries(rec.Tail, now); err != nil {
		return err
	}
	if f.loaded && f.obs.Last == known.Last {
		f.obs.SeenAt = known.SeenAt
	}
	f.loaded = true
	return nil
}

// observeEntries updates the observation with entries and, when warm, caches them.
func (f *follower) observeEntries(entries []journal.Entry, now time.Time) error {
	for _, e := range entries {
		obs, err := f.obs.Observe(e, now)
		if err != nil {
			return err
		}
		f.obs = obs
	}
	f.cacheEntries(entries)
	return nil
}

// warmUp sets whether the state is kept in memory, beginning with snap.
func (f *follower) warmUp(warm bool, snap journal.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warm, f.state.Snapshot, f.bytes = warm, snap, len(snap.Data)
}

// cacheEntries appends entries to the tail in memory. It does nothing unless f is warm.
func (f *follower) cacheEntries(entries []journal.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.warm {
		return
	}
	for _, e := range entries {
		f.bytes += entryBytes(e)
	}
	f.state.Tail = append(f.state.Tail, entries...)
}

// warmRetryDelay is how long a follower waits before it reads a state again that exceeded the
// memory limit. By then the owner has usually saved a snapshot.
const warmRetryDelay = time.Minute

// enforceMemoryLimit drops the state if it exceeds Config.WarmBytes. It is not called before an
// acquisition, which needs the state whatever its size.
func (f *follower) enforceMemoryLimit() {
	if f.bytes > f.cfg.WarmBytes {
		f.dropState()
		f.coldUntil = f.cfg.Now().Add(warmRetryDelay)
	}
}

// entryOverhead is the memory of a cached entry in addition to its records, in bytes.
const entryOverhead = 96

// entryBytes estimates the memory of a cached entry.
func entryBytes(e journal.Entry) int {
	n := entryOverhead
	for _, r := range e.Records {
		n += len(r) + 24
	}
	return n
}

// dropState frees the state in memory and keeps the observation.
func (f *follower) dropState() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warm, f.state, f.bytes = false, journal.Recovered{}, 0
}
