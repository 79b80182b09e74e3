package ownership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/storeclient"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// cellActor reads the journal of one cell, acquires the cell when AcquireAt allows it, and
// maintains the ownership.
type cellActor struct {
	m      *Manager
	cell   model.CellID
	follow *follower
	stop   context.CancelFunc
	done   chan struct{}
	// wake interrupts the wait between two steps after a membership change.
	wake chan struct{}

	mu              sync.Mutex
	random          *rand.Rand
	owner           OwnerInfo
	hasOwner        bool
	owned           *Owned
	releaseRequests chan releaseRequest
	failedHandOvers map[model.NodeID]time.Time
}

// releaseRequest asks the current ownership to release the cell.
type releaseRequest struct {
	ctx       context.Context
	successor model.NodeID
	result    chan error
}

func newCellActor(m *Manager, cell model.CellID) *cellActor {
	return &cellActor{
		m: m, cell: cell, follow: newFollower(m.cfg, cell),
		done: make(chan struct{}), wake: make(chan struct{}, 1),
		random:          rand.New(rand.NewPCG(m.cfg.Seed, rendezvousWeight(cell, m.cfg.Node))),
		releaseRequests: make(chan releaseRequest),
		failedHandOvers: map[model.NodeID]time.Time{},
	}
}

// run repeats step until ctx ends.
func (c *cellActor) run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		wait := c.step(ctx)
		c.sleep(ctx, wait)
	}
}

// idleInterval is the wait of a member that does not poll a cell. A membership change
// interrupts it.
const idleInterval = time.Hour

// errorRetryInterval is the wait after an error that a retry is unlikely to resolve.
const errorRetryInterval = 30 * time.Second

// step polls the journal once, acquires and runs the cell when that is due, and returns the
// time until the next step.
func (c *cellActor) step(ctx context.Context) time.Duration {
	rank := c.m.rank(c.cell, c.follow.obs)
	if _, polls := pollInterval(c.m.cfg, rank); !polls && c.follow.loaded {
		return idleInterval
	}
	if err := c.follow.poll(ctx, rank == 0); err != nil {
		return c.handleError("follow", err)
	}
	c.publishOwner()
	rank = c.m.rank(c.cell, c.follow.obs)
	interval, polls := pollInterval(c.m.cfg, rank)
	if !polls || c.m.isReleasing() {
		return idleInterval
	}
	due := AcquireAt(c.m.cfg, c.follow.obs, rank).Sub(c.m.cfg.Now())
	if due > 0 {
		c.follow.enforceMemoryLimit()
		return min(due, c.jitter(interval))
	}
	owned, err := c.acquire(ctx)
	if err != nil {
		return c.handleError("acquire", err)
	}
	c.runOwnership(ctx, owned)
	return 0
}

// handleError returns the wait before the next step after err. It logs errors that a retry is
// unlikely to resolve.
func (c *cellActor) handleError(what string, err error) time.Duration {
	switch model.KindOf(err) {
	case model.KindFenced:
		return c.jitter(c.m.cfg.Poll)
	case model.KindCorrupt, model.KindInvalid:
		c.log("refuse", "", what+"-failed", logrus.Fields{"error": err.Error()})
		return errorRetryInterval
	}
	return c.jitter(2 * c.m.cfg.Poll)
}

// acquire recovers the cell's state unless it is in memory, and appends the acquire record
// after the last row read.
func (c *cellActor) acquire(ctx context.Context) (*Owned, error) {
	ctx = storeclient.WithPriority(ctx, storeclient.PriorityFence)
	f := c.follow
	if !f.warm {
		last := f.obs.Last
		if err := f.load(ctx, true); err != nil {
			return nil, err
		}
		if f.obs.Last != last {
			return nil, model.Errorf(model.KindFenced, "wait", "the journal was extended during recovery")
		}
	}
	previous := f.obs.Owner
	entry := journal.Entry{Sequence: f.obs.Last + 1, Batch: journal.Batch{
		AppendID: journal.NewAppendID(),
		Epoch:    f.obs.Epoch + 1,
		Owner: &journal.OwnerChange{
			Action: journal.OwnerAcquired, Node: c.m.cfg.Node, Addr: c.m.cfg.Addr,
			LeaseMillis: c.m.cfg.Lease.Milliseconds(),
		},
	}}
	start := c.m.cfg.Now()
	if _, err := f.log.Append(ctx, entry.Sequence, entry.Batch); err != nil {
		return nil, err
	}
	// Another owner may have truncated the rows before the acquire record in the meantime.
	if err := verify(ctx, f.log, entry.Sequence, false); err != nil {
		f.loaded = false
		return nil, err
	}
	state := f.state
	if err := f.observeEntries([]journal.Entry{entry}, c.m.cfg.Now()); err != nil {
		return nil, err
	}
	c.recordFailedHandOver(previous)
	f.dropState()
	return newOwned(f, state, start), nil
}

// recordFailedHandOver records the time when the designated successor of previous was found not to
// have acquired the cell.
func (c *cellActor) recordFailedHandOver(previous *journal.OwnerChange) {
	if previous == nil || previous.Successor == "" || previous.Successor == c.m.cfg.Node {
		return
	}
	c.failedHandOvers[previous.Successor] = c.m.cfg.Now()
}

// runOwnership maintains the ownership o until it is lost or released.
func (c *cellActor) runOwnership(ctx context.Context, o *Owned) {
	ctx, cancel := context.WithCancel(ctx)
	c.setOwned(o)
	c.publishOwner()
	c.m.countAcquired()
	c.log("acquire", string(c.m.cfg.Node), "acquired", logrus.Fields{"epoch": uint64(o.Epoch), "sequence": o.last})
	ended := make(chan error, 1)
	go func() { ended <- o.committer.Run(ctx) }()
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		o.renew(ctx, c.jitter)
	}()
	watched := make(chan string, 1)
	go func() { watched <- c.waitForEnd(ctx, o, ended) }()
	c.m.handler.Acquired(o)
	reason := <-watched
	o.endLease()
	cancel()
	<-renewed
	c.setOwned(nil)
	close(o.done)
	c.follow.loaded = false
	c.m.countLost(reason)
	c.m.handler.Lost(c.cell, reason)
	c.log("lose", "", reason, logrus.Fields{"epoch": uint64(o.Epoch)})
}

// waitForEnd waits for the end of the ownership and returns the reason. It hands the cell over
// to a higher-ranked member once that member is stable.
func (c *cellActor) waitForEnd(ctx context.Context, o *Owned, ended chan error) string {
	// Manager.Release does not see a cell whose acquisition is in progress.
	if c.m.isReleasing() {
		if err := c.releaseCell(ctx, o, ended, ""); err != nil {
			return lossReason(ctx, err)
		}
		return "released"
	}
	for {
		select {
		case err := <-ended:
			return lossReason(ctx, err)
		case r := <-c.releaseRequests:
			err := c.releaseCell(r.ctx, o, ended, r.successor)
			r.result <- err
			return "released"
		case <-time.After(c.jitter(c.m.cfg.Poll * 4)):
			target := c.nextOwner()
			if target == "" || !o.LeaseValid(c.m.cfg.Now()) {
				continue
			}
			if err := c.releaseCell(ctx, o, ended, target); err != nil {
				return lossReason(ctx, err)
			}
			return "handed-over"
		}
	}
}

// releaseCell releases the cell. If the release record cannot be written, the ownership ends
// anyway, and another member takes over after the lease has expired.
func (c *cellActor) releaseCell(ctx context.Context, o *Owned, ended chan error, successor model.NodeID) error {
	err := o.release(ctx, successor)
	o.endLease()
	if err == nil {
		<-ended
	}
	c.log("release", string(successor), "release", logrus.Fields{"epoch": uint64(o.Epoch), "ok": err == nil})
	return err
}

// lossReason maps the error that ended an ownership to a label for logs and metrics.
func lossReason(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return "stopped"
	case model.IsKind(err, model.KindFenced):
		return "fenced"
	case model.IsKind(err, model.KindUnknown):
		return "superseded"
	}
	return "append-failed"
}

// nextOwner returns the member to which this owner should hand the cell, or "".
func (c *cellActor) nextOwner() model.NodeID {
	now := c.m.cfg.Now()
	recentlyFailed := func(id model.NodeID) bool {
		at, ok := c.failedHandOvers[id]
		return ok && now.Sub(at) < c.m.cfg.HandOverRetry
	}
	return handOverTarget(c.m.order(c.cell), c.m.cfg.Node, c.m.stable, recentlyFailed)
}

func (c *cellActor) current() *Owned {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owned
}

func (c *cellActor) setOwned(o *Owned) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owned = o
}

// publishOwner makes the observed owner visible to Manager.Owner.
func (c *cellActor) publishOwner() {
	obs := c.follow.obs
	c.mu.Lock()
	defer c.mu.Unlock()
	if obs.Epoch < c.owner.Epoch {
		return
	}
	c.hasOwner = !obs.Vacant()
	if c.hasOwner {
		c.owner = OwnerInfo{Node: obs.Owner.Node, Addr: obs.Owner.Addr, Epoch: obs.Epoch}
	}
}

// jitter returns a random duration from 90% to 100% of d.
func (c *cellActor) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d*9/10 + time.Duration(c.random.Int64N(int64(d/10)+1))
}

func (c *cellActor) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-timer.C:
	}
}

func (c *cellActor) log(kind, choice, reason string, fields logrus.Fields) {
	c.m.cfg.Decisions.LogDecision(telemetry.Decision{
		Kind: kind, Subject: string(c.cell), Candidates: c.m.memberCount(),
		Choice: choice, Reason: reason, Fields: fields,
	})
}
