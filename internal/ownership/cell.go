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

// cellActor follows one cell, acquires it when it may, and runs the ownership.
type cellActor struct {
	m      *Manager
	cell   model.CellID
	follow *follower
	stop   context.CancelFunc
	done   chan struct{}
	// wake ends the current wait after a change of members.
	wake chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	owner   OwnerInfo
	known   bool
	owned   *Owned
	ending  chan release
	refused map[model.NodeID]time.Time
}

// release asks the running ownership to end.
type release struct {
	ctx       context.Context
	successor model.NodeID
	result    chan error
}

func newCellActor(m *Manager, cell model.CellID) *cellActor {
	return &cellActor{
		m: m, cell: cell, follow: newFollower(m.cfg, cell),
		done: make(chan struct{}), wake: make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(m.cfg.Seed, score(cell, m.cfg.Node))),
		ending:  make(chan release),
		refused: map[model.NodeID]time.Time{},
	}
}

// run follows the cell until ctx ends.
func (c *cellActor) run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		wait := c.step(ctx)
		c.sleep(ctx, wait)
	}
}

// idleWait is the wait of a member that does not poll a cell, unless the
// members change before.
const idleWait = time.Hour

// faultWait is the wait after an error that time alone does not repair.
const faultWait = 30 * time.Second

// step polls the journal once, acquires the cell when that is due, and returns
// the time until the next step.
func (c *cellActor) step(ctx context.Context) time.Duration {
	rank := c.m.rank(c.cell, c.follow.obs)
	if _, polls := pollEvery(c.m.cfg, rank); !polls && c.follow.positioned {
		return idleWait
	}
	if err := c.follow.poll(ctx, rank == 0); err != nil {
		return c.failed("follow", err)
	}
	c.publish()
	rank = c.m.rank(c.cell, c.follow.obs)
	interval, polls := pollEvery(c.m.cfg, rank)
	if !polls || c.m.leaving() {
		return idleWait
	}
	due := AcquireAt(c.m.cfg, c.follow.obs, rank).Sub(c.m.cfg.Now())
	if due > 0 {
		c.follow.limit()
		return min(due, c.jitter(interval))
	}
	owned, err := c.acquire(ctx)
	if err != nil {
		return c.failed("acquire", err)
	}
	c.own(ctx, owned)
	return 0
}

// failed logs err and returns the wait before the next step.
func (c *cellActor) failed(what string, err error) time.Duration {
	switch model.KindOf(err) {
	case model.KindFenced:
		return c.jitter(c.m.cfg.Poll)
	case model.KindCorrupt, model.KindInvalid:
		c.log("refuse", "", what+"-failed", logrus.Fields{"error": err.Error()})
		return faultWait
	}
	return c.jitter(2 * c.m.cfg.Poll)
}

// acquire recovers the cell unless the state is in memory, and appends the
// acquire record after the last row read.
func (c *cellActor) acquire(ctx context.Context) (*Owned, error) {
	ctx = storeclient.WithPriority(ctx, storeclient.PriorityFence)
	f := c.follow
	if !f.warm {
		last := f.obs.Last
		if err := f.position(ctx, true); err != nil {
			return nil, err
		}
		if f.obs.Last != last {
			return nil, model.Errorf(model.KindFenced, "wait", "the journal has moved on")
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
	// The rows before the acquire record may have been truncated meanwhile.
	if err := verify(ctx, f.log, entry.Sequence, false); err != nil {
		f.positioned = false
		return nil, err
	}
	state := f.state
	if err := f.absorb([]journal.Entry{entry}, c.m.cfg.Now()); err != nil {
		return nil, err
	}
	c.noteRefusal(previous)
	f.drop()
	return newOwned(f, state, start), nil
}

// noteRefusal remembers a member that did not take the cell handed to it.
func (c *cellActor) noteRefusal(previous *journal.OwnerChange) {
	if previous == nil || previous.Successor == "" || previous.Successor == c.m.cfg.Node {
		return
	}
	c.refused[previous.Successor] = c.m.cfg.Now()
}

// own runs the ownership until it is lost or released.
func (c *cellActor) own(ctx context.Context, o *Owned) {
	ctx, cancel := context.WithCancel(ctx)
	c.setOwned(o)
	c.publish()
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
	go func() { watched <- c.watch(ctx, o, ended) }()
	c.m.handler.Acquired(o)
	reason := <-watched
	o.end()
	cancel()
	<-renewed
	c.setOwned(nil)
	close(o.over)
	c.follow.positioned = false
	c.m.countLost(reason)
	c.m.handler.Lost(c.cell, reason)
	c.log("lose", "", reason, logrus.Fields{"epoch": uint64(o.Epoch)})
}

// watch waits for the end of the ownership and returns the reason. It hands the
// cell to a better-placed member once that one is stable.
func (c *cellActor) watch(ctx context.Context, o *Owned, ended chan error) string {
	// A release of all cells may have missed one that was being acquired.
	if c.m.leaving() {
		if err := c.letGo(ctx, o, ended, ""); err != nil {
			return lossReason(ctx, err)
		}
		return "released"
	}
	for {
		select {
		case err := <-ended:
			return lossReason(ctx, err)
		case r := <-c.ending:
			err := c.letGo(r.ctx, o, ended, r.successor)
			r.result <- err
			return "released"
		case <-time.After(c.jitter(c.m.cfg.Poll * 4)):
			target := c.handOver()
			if target == "" || !o.LeaseValid(c.m.cfg.Now()) {
				continue
			}
			if err := c.letGo(ctx, o, ended, target); err != nil {
				return lossReason(ctx, err)
			}
			return "handed-over"
		}
	}
}

// letGo releases the cell. When the release record fails, the ownership ends
// all the same, and others take over after the lease.
func (c *cellActor) letGo(ctx context.Context, o *Owned, ended chan error, successor model.NodeID) error {
	err := o.release(ctx, successor)
	o.end()
	if err == nil {
		<-ended
	}
	c.log("release", string(successor), "release", logrus.Fields{"epoch": uint64(o.Epoch), "ok": err == nil})
	return err
}

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

func (c *cellActor) handOver() model.NodeID {
	now := c.m.cfg.Now()
	refused := func(id model.NodeID) bool {
		at, ok := c.refused[id]
		return ok && now.Sub(at) < c.m.cfg.HandOverRetry
	}
	return handOverTarget(c.m.order(c.cell), c.m.cfg.Node, c.m.stable, refused)
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

// publish makes the observed owner visible to Manager.Owner.
func (c *cellActor) publish() {
	obs := c.follow.obs
	c.mu.Lock()
	defer c.mu.Unlock()
	if obs.Epoch < c.owner.Epoch {
		return
	}
	c.known = !obs.Vacant()
	if c.known {
		c.owner = OwnerInfo{Node: obs.Owner.Node, Addr: obs.Owner.Addr, Epoch: obs.Epoch}
	}
}

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
