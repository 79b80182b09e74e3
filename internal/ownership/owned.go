package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/storeclient"
	"github.com/vanillapier/vanillapier/internal/waiting"
)

// Owned is a cell that this node owns. It is safe for concurrent use.
type Owned struct {
	// Cell and Epoch identify the ownership. Epoch is the fencing token.
	Cell  model.CellID
	Epoch model.Epoch
	// Snapshot is the recovered snapshot, nil when there was none. SnapshotSequence is the
	// last sequence that it covers.
	Snapshot         []byte
	SnapshotSequence uint64
	// Sequence is the sequence of the acquire record, the last of the recovered state.
	Sequence uint64
	// Tail holds the entries after the snapshot. The handler applies them and
	// may then set Snapshot and Tail to nil to free memory.
	Tail []journal.Entry

	cfg       Config
	owner     journal.OwnerChange
	log       *journal.Log
	snaps     *journal.Snapshots
	committer *journal.Committer
	// done is closed when the ownership has ended.
	done chan struct{}

	mu sync.Mutex
	// last is the last durable sequence.
	last uint64
	// leaseStart is the time at which the last successful append began; zero
	// after the ownership ended.
	leaseStart time.Time
	ended      bool
}

func newOwned(f *follower, state journal.Recovered, leaseStart time.Time) *Owned {
	o := &Owned{
		Cell: f.cell, Epoch: f.obs.Epoch,
		Snapshot: state.Snapshot.Data, SnapshotSequence: state.Snapshot.Sequence, Tail: state.Tail,
		Sequence: f.obs.Last, cfg: f.cfg, owner: *f.obs.Owner, log: f.log, snaps: f.snaps,
		done: make(chan struct{}), last: f.obs.Last, leaseStart: leaseStart,
	}
	o.committer = journal.NewCommitter(f.cfg.Commit, o.write)
	return o
}

// Append makes records durable in one row and returns its sequence. Urgent records are flushed
// before the group commit interval ends, within the budget for early flushes.
//
// Errors: KindFenced when the ownership has ended, KindUnavailable when the lease has expired
// but may still be renewed or the store is down, KindExhausted when the queue is full (nothing
// was written in these cases), KindUnknown when the records may be durable.
func (o *Owned) Append(ctx context.Context, records [][]byte, urgent bool) (uint64, error) {
	if err := o.checkLease(); err != nil {
		return 0, err
	}
	return o.committer.Submit(ctx, records, urgent)
}

// LeaseValid reports whether this node may act as the owner at now, on the monotonic clock of
// Config.Now. The lease expires one lease duration after the start of the last successful
// append.
func (o *Owned) LeaseValid(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return LeaseValid(o.cfg.Lease, o.leaseStart, now)
}

// checkLease returns an error unless the lease is valid. The next append that the journal
// accepts renews an expired lease, but not one whose ownership has ended.
func (o *Owned) checkLease() error {
	now := o.cfg.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.leaseStart.IsZero():
		return model.Errorf(model.KindFenced, "ask the cell's current owner", "the ownership of cell %s has ended", o.Cell)
	case !LeaseValid(o.cfg.Lease, o.leaseStart, now):
		return model.Errorf(model.KindUnavailable, "retry; the lease is renewed when the store answers",
			"the lease on cell %s has expired", o.Cell)
	}
	return nil
}

// LastSequence returns the last durable sequence of the cell's journal.
func (o *Owned) LastSequence() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last
}

// SaveSnapshot saves data as the state after all appends that have returned. A caller with
// appends in flight must use SaveSnapshotAt instead.
func (o *Owned) SaveSnapshot(ctx context.Context, data []byte) error {
	return o.SaveSnapshotAt(ctx, o.LastSequence(), data)
}

// SaveSnapshotAt saves data as the state after sequence seq. It keeps the last two snapshots
// and truncates the journal up to the older one.
func (o *Owned) SaveSnapshotAt(ctx context.Context, seq uint64, data []byte) error {
	if err := o.checkLease(); err != nil {
		return err
	}
	// A snapshot from before the acquire record would carry this epoch at a sequence that
	// belongs to an earlier one.
	if last := o.LastSequence(); seq > last || seq < o.Sequence {
		return model.Errorf(model.KindInvalid, "save at a durable sequence of this ownership",
			"sequence %d is outside %d to %d", seq, o.Sequence, last)
	}
	ctx = storeclient.WithPriority(ctx, storeclient.PriorityBulk)
	return o.snaps.SaveSnapshot(ctx, journal.Snapshot{Sequence: seq, Data: data, Epoch: o.Epoch, Owner: &o.owner})
}

// write appends one batch at the next sequence. Only the committer calls it.
func (o *Owned) write(ctx context.Context, records [][]byte) (uint64, error) {
	o.mu.Lock()
	seq, before := o.last+1, o.leaseStart
	o.mu.Unlock()
	start := o.cfg.Now()
	if start.Sub(before) >= o.cfg.Lease/renewalsPerLease {
		ctx = storeclient.WithPriority(ctx, storeclient.PriorityFence)
	}
	if _, err := o.log.Append(ctx, seq, journal.Batch{Epoch: o.Epoch, Records: records}); err != nil {
		return 0, err
	}
	if err := verify(ctx, o.log, seq, LeaseValid(o.cfg.Lease, before, o.cfg.Now())); err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last = seq
	if !o.ended {
		o.leaseStart = start
	}
	return seq, nil
}

// verifyRetry is the wait between failed reads of verify.
const verifyRetry = 200 * time.Millisecond

// verify applies AfterWrite to an accepted row and reads the rows after it if needed.
// valid tells whether the lease under which the append began is still valid.
func verify(ctx context.Context, log *journal.Log, seq uint64, valid bool) error {
	rowsChecked, rowsFollow := false, false
	for {
		switch AfterWrite(valid, rowsChecked, rowsFollow) {
		case WriteAccepted:
			return nil
		case WriteSuperseded:
			return model.Errorf(model.KindUnknown, "read the cell's state from its current owner",
				"journal %s continues after sequence %d; the records may be durable", log.Partition(), seq)
		}
		err := log.VerifyLast(ctx, seq)
		rowsFollow = model.IsKind(err, model.KindFenced)
		rowsChecked = err == nil || rowsFollow
		if !rowsChecked && !waiting.Sleep(ctx, verifyRetry) {
			return model.Wrap(model.KindUnknown, err, "read the cell's state from its current owner", "the append could not be verified")
		}
	}
}

// renewalsPerLease is the number of renewals per lease duration of an idle owner.
const renewalsPerLease = 3

// renewRetry is the wait after a failed renewal, before jitter.
const renewRetry = 200 * time.Millisecond

// renew renews the lease by empty appends while no records are appended, until ctx ends.
func (o *Owned) renew(ctx context.Context, jitter func(time.Duration) time.Duration) {
	for {
		o.mu.Lock()
		due := o.leaseStart.Add(o.cfg.Lease / renewalsPerLease)
		o.mu.Unlock()
		if wait := due.Sub(o.cfg.Now()); wait > 0 {
			if !waiting.Sleep(ctx, wait) {
				return
			}
			continue
		}
		if _, err := o.committer.Submit(ctx, nil, true); err != nil && !waiting.Sleep(ctx, jitter(renewRetry)) {
			return
		}
	}
}

// endLease ends the lease permanently; later appends do not renew it.
func (o *Owned) endLease() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaseStart, o.ended = time.Time{}, true
}

// release flushes queued appends and appends the release record.
func (o *Owned) release(ctx context.Context, successor model.NodeID) error {
	ended := model.Errorf(model.KindFenced, "ask the cell's current owner", "cell %s was released", o.Cell)
	if err := o.committer.Close(ctx, ended); err != nil {
		return err
	}
	// The lease ends before the record is sent, because a successor may acquire
	// the cell before the response arrives.
	o.endLease()
	change := o.owner
	change.Action, change.Successor = journal.OwnerReleased, successor
	ctx = storeclient.WithPriority(ctx, storeclient.PriorityFence)
	_, err := o.log.Append(ctx, o.LastSequence()+1, journal.Batch{Epoch: o.Epoch, Owner: &change})
	return err
}
