package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// followPage is the number of rows that one poll reads.
const followPage = 200

// follower reads the journal of a cell that this node does not own. The standby
// keeps snapshot and tail in memory, so that a take-over reads nothing more.
type follower struct {
	cfg   Config
	cell  model.CellID
	log   *journal.Log
	snaps *journal.Snapshots

	positioned bool
	obs        Observation
	coldUntil  time.Time
	// fetched is a peer's state that could not be compared with the journal yet.
	fetched *FollowerState

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

// poll reads the rows after the last one seen. With warm, it makes sure that
// the state is in memory.
func (f *follower) poll(ctx context.Context, warm bool) error {
	warm = warm && !f.cfg.Now().Before(f.coldUntil)
	if !f.positioned || (warm && !f.warm) {
		return f.position(ctx, warm)
	}
	if !warm {
		f.drop()
	}
	entries, err := f.log.Read(ctx, f.obs.Last+1, followPage)
	if err == nil && len(entries) > 0 && entries[0].Sequence != f.obs.Last+1 {
		err = model.Errorf(model.KindStale, "read the newest snapshot", "the journal was truncated")
	}
	if model.IsKind(err, model.KindStale) {
		f.positioned = false
		return f.position(ctx, warm)
	}
	if err != nil {
		return err
	}
	if err := f.absorb(entries, f.cfg.Now()); err != nil {
		// Delayed puts may have filled sequences that were truncated before this
		// node read them. The newest snapshot covers these sequences.
		f.positioned = false
		return f.position(ctx, warm)
	}
	return nil
}

// position recovers the cell's state and the ownership from the store, or with
// the help of a peer that holds the state up to some sequence.
func (f *follower) position(ctx context.Context, warm bool) error {
	rec, err := f.recover(ctx)
	if err != nil {
		return err
	}
	known := f.obs
	f.drop()
	f.obs = Observation{Last: rec.Snapshot.Sequence, Epoch: rec.Snapshot.Epoch, Owner: rec.Snapshot.Owner}
	now := f.cfg.Now()
	f.obs.SeenAt = now
	f.warmUp(warm, rec.Snapshot)
	if err := f.absorb(rec.Tail, now); err != nil {
		return err
	}
	if f.positioned && f.obs.Last == known.Last {
		f.obs.SeenAt = known.SeenAt
	}
	f.positioned = true
	return nil
}

func (f *follower) absorb(entries []journal.Entry, now time.Time) error {
	for _, e := range entries {
		obs, err := f.obs.Observe(e, now)
		if err != nil {
			return err
		}
		f.obs = obs
	}
	f.keep(entries)
	return nil
}

func (f *follower) warmUp(warm bool, snap journal.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warm, f.state.Snapshot, f.bytes = warm, snap, len(snap.Data)
}

// keep adds entries to a warm state.
func (f *follower) keep(entries []journal.Entry) {
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

// coldTime is how long a follower whose state was too large does not read it
// again. By then the owner has usually saved a snapshot.
const coldTime = time.Minute

// limit gives the state up when it is too large to be kept for each cell that
// this node follows. It is not called before an acquisition, which needs the
// state whatever its size.
func (f *follower) limit() {
	if f.bytes > f.cfg.WarmBytes {
		f.drop()
		f.coldUntil = f.cfg.Now().Add(coldTime)
	}
}

// entryOverhead is the memory of a cached entry besides its records, in bytes.
const entryOverhead = 96

func entryBytes(e journal.Entry) int {
	n := entryOverhead
	for _, r := range e.Records {
		n += len(r) + 24
	}
	return n
}

// drop frees the state; the observation stays.
func (f *follower) drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warm, f.state, f.bytes = false, journal.Recovered{}, 0
}
