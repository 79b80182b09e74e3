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
	// recordTimeout limits how long the write of an outcome is retried while the store is
	// down.
	recordTimeout = 30 * time.Second
	// recordSyncWait limits how long a response is held until its record is durable, so that a
	// store outage does not cost the caller a complete response.
	recordSyncWait = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential delay between retries.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// recordAttempt records how the attempt of a non-idempotent request ended.
func (c *Chain) recordAttempt(cl *call, a attempt) {
	switch {
	case a.leaving || a.err != nil && !a.err.sent:
		c.recordOutcome(cl, model.OutcomeNotRun, nil)
	case a.err != nil:
		c.recordOutcome(cl, model.OutcomeUnknown, nil)
	default:
		c.recordOutcome(cl, model.OutcomeDone, a.response)
	}
}

// recordOutcome records the outcome in the claim row. It waits for the write for at most
// recordSyncWait; a slower write continues in the background.
func (c *Chain) recordOutcome(cl *call, outcome model.Outcome, a *response) {
	if cl.claim == nil {
		return
	}
	held := *cl.claim
	held.claim.State = outcome
	done := make(chan struct{})
	c.drain.add()
	go func() {
		defer c.drain.done()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if a != nil {
			c.storeResponse(ctx, &held, a)
		}
		c.writeOutcome(ctx, &held)
	}()
	wait := time.NewTimer(recordSyncWait)
	defer wait.Stop()
	select {
	case <-done:
	case <-wait.C:
	}
}

// recordOutcomeAsync records an outcome in the background, with retries until it is durable or
// recordTimeout has passed.
func (c *Chain) recordOutcomeAsync(held *heldClaim) {
	c.drain.add()
	go func() {
		defer c.drain.done()
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		c.writeOutcome(ctx, held)
	}()
}

// storeResponse copies the response into the claim; a large body goes into an object.
func (c *Chain) storeResponse(ctx context.Context, held *heldClaim, a *response) {
	sum := sha256.Sum256(a.body)
	held.claim.Status, held.claim.Header = a.status, a.header
	held.claim.Size, held.claim.SHA256 = int64(len(a.body)), hex.EncodeToString(sum[:])
	if a.bodyLost || int64(len(a.body)) > c.cfg.MaxRecordBytes {
		held.claim.BodyLost = true
		return
	}
	if len(a.body) <= c.cfg.MaxInlineBytes {
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

// writeOutcome replaces the row of held's claim by held.claim until that is durable or ctx
// ends. It reads the row before each write: a row with another claim id belongs to another
// request and is not changed. It reports false when ctx ended first.
func (c *Chain) writeOutcome(ctx context.Context, held *heldClaim) bool {
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
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
