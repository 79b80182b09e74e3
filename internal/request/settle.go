package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/waiting"
)

const (
	// settleFor bounds how long an outcome is written again when the store is down.
	settleFor = 30 * time.Second
	// recordWait bounds how long an answer is held until its record is durable. A
	// caller must not lose a complete answer to an outage of the store.
	recordWait = 250 * time.Millisecond
	// settleFirst and settleMax bound the pause between two tries.
	settleFirst = 5 * time.Millisecond
	settleMax   = 2 * time.Second
)

// settleAttempt records how the exchange of a non-idempotent request ended.
func (c *Chain) settleAttempt(cl *call, a attempt) {
	switch {
	case a.leaving || a.err != nil && !a.err.sent:
		c.settle(cl, model.OutcomeNotRun, nil)
	case a.err != nil:
		c.settle(cl, model.OutcomeUnknown, nil)
	default:
		c.settle(cl, model.OutcomeDone, a.answer)
	}
}

// settle records the outcome in the claim row. It waits a short time for the write;
// a write that takes longer continues in the background.
func (c *Chain) settle(cl *call, outcome model.Outcome, a *answer) {
	if cl.claim == nil {
		return
	}
	held := *cl.claim
	held.claim.State = outcome
	done := make(chan struct{})
	c.drain.hold()
	go func() {
		defer c.drain.leave()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), settleFor)
		defer cancel()
		if a != nil {
			c.keepAnswer(ctx, &held, a)
		}
		c.writeOutcome(ctx, &held)
	}()
	wait := time.NewTimer(recordWait)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	}
}

// settleLater writes an outcome in the background until it is durable.
func (c *Chain) settleLater(held *heldClaim) {
	c.drain.hold()
	go func() {
		defer c.drain.leave()
		ctx, cancel := context.WithTimeout(context.Background(), settleFor)
		defer cancel()
		c.writeOutcome(ctx, held)
	}()
}

// keepAnswer puts the answer into the claim, its body into an object when large.
func (c *Chain) keepAnswer(ctx context.Context, held *heldClaim, a *answer) {
	sum := sha256.Sum256(a.body)
	held.claim.Status, held.claim.Header = a.status, a.header
	held.claim.Size, held.claim.SHA256 = int64(len(a.body)), hex.EncodeToString(sum[:])
	if a.bodyLost || int64(len(a.body)) > c.cfg.RecordLimit {
		held.claim.BodyLost = true
		return
	}
	if len(a.body) <= c.cfg.InlineOutcome {
		held.claim.Body = a.body
		return
	}
	name := "outcomes/" + held.row[:2] + "/" + held.row
	if c.deps.Objects == nil || c.deps.Objects.Put(ctx, name, a.body) != nil {
		held.claim.BodyLost = true
		return
	}
	held.claim.Object = name
}

// writeOutcome replaces the row of held's claim by held.claim until that is durable
// or ctx ends. It reads the row before each write: a row with another claim id
// belongs to somebody else and is left alone.
func (c *Chain) writeOutcome(ctx context.Context, held *heldClaim) bool {
	for pause := settleFirst; ; pause = min(2*pause, settleMax) {
		found, version, err := c.deps.Claims.Get(ctx, held.row)
		switch {
		case err == nil && (found.ID != held.claim.ID || found.State == held.claim.State):
			return true
		case err == nil:
			if c.deps.Claims.Put(ctx, held.row, held.claim, version) == nil {
				return true
			}
		}
		if !waiting.Sleep(ctx, pause) {
			return false
		}
	}
}
