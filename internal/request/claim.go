package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/waiting"
)

// heldClaim is a claim that this node wrote for a call. The version of its row is read when
// the outcome is recorded, so that the read does not delay the request.
type heldClaim struct {
	row   string
	claim Claim
}

// digestOf returns the digest that a key is bound to: service, method, target and body.
func digestOf(cl *call) string {
	h := sha256.New()
	for _, s := range []string{string(cl.service), cl.r.Method, cl.path, cl.r.URL.RawQuery} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(cl.body)
	return hex.EncodeToString(h.Sum(nil))
}

// claim writes the claim of a non-idempotent request before it may be sent.
func (c *Chain) claim(next handler) handler {
	return func(cl *call) {
		if cl.idempotent {
			next(cl)
			return
		}
		if c.deps.Claims == nil {
			c.refuse(cl, refuseNoClaims(), "no-claims")
			return
		}
		if cl.key == "" {
			cl.key = string(c.deps.Node) + "/" + cl.id
		}
		cl.w.Header().Set(headerKey, cl.key)
		claim := Claim{ID: string(c.deps.Node) + "/" + c.newID(), Digest: digestOf(cl), At: c.deps.Clock().UnixMilli()}
		held, found, err := c.acquireClaim(cl.ctx, ClaimRow(cl.key), claim)
		switch {
		case err != nil:
			c.refuse(cl, refuseStore(), "store")
		case held == nil:
			c.replay(cl, found)
		default:
			cl.claim = held
			next(cl)
		}
	}
}

// acquireClaim writes claim under row. It returns the held claim, or the claim of another
// request that holds the row. An error means that the claim is not held and that this request
// will not be sent.
func (c *Chain) acquireClaim(ctx context.Context, row string, claim Claim) (*heldClaim, Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ClaimTimeout)
	defer cancel()
	held, found, maybeWritten, err := c.tryAcquireClaim(ctx, row, claim)
	if err != nil && maybeWritten {
		c.releaseClaim(row, claim)
	}
	return held, found, err
}

// tryAcquireClaim repeats the write until its result is known. After an unknown result it
// reads the row and compares the claim ids. maybeWritten is true when the result of a write
// was unknown.
func (c *Chain) tryAcquireClaim(ctx context.Context, row string, claim Claim) (held *heldClaim, found Claim, maybeWritten bool, err error) {
	version := uint64(0)
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		err := c.deps.Claims.Put(ctx, row, claim, version)
		if err == nil {
			return &heldClaim{row: row, claim: claim}, Claim{}, maybeWritten, nil
		}
		if !model.IsKind(err, model.KindConflict) && !model.IsKind(err, model.KindUnknown) {
			return nil, Claim{}, maybeWritten, err
		}
		maybeWritten = maybeWritten || model.IsKind(err, model.KindUnknown)
		found, at, getErr := c.deps.Claims.Get(ctx, row)
		switch {
		case getErr != nil && !model.IsKind(getErr, model.KindNotFound):
			// The write's result stays unknown until the row can be read.
		case getErr != nil:
			version = 0 // the write may still take effect, so the same write is repeated
		case found.ID == claim.ID:
			return &heldClaim{row: row, claim: claim}, Claim{}, maybeWritten, nil
		case found.State == model.OutcomeNotRun && found.Digest == claim.Digest:
			version = at
		default:
			return nil, found, maybeWritten, nil
		}
		if !waiting.Sleep(ctx, pause) {
			return nil, Claim{}, maybeWritten, model.Wrap(model.KindUnavailable, ctx.Err(), "retry with the same key", "the claim's result is not known")
		}
	}
}

// releaseClaim records in the background that a claim whose write had an unknown result was
// not used, so that the key does not stay in doubt if the write took effect.
func (c *Chain) releaseClaim(row string, claim Claim) {
	claim.State = model.OutcomeNotRun
	c.recordOutcomeAsync(&heldClaim{row: row, claim: claim})
}

// abandon refuses a claimed call that was not sent and makes its key usable again.
func (c *Chain) abandon(cl *call, f *Refusal) {
	c.recordOutcome(cl, model.OutcomeNotRun, nil)
	c.refuse(cl, f, f.reason)
}

// refuseNoClaims is the refusal when this node has no claim store.
func refuseNoClaims() *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, 5*time.Second,
		"this node has no store for claims", "use another node").withReason("no-claims")
}

// refuseStore is the refusal when the claim could not be written.
func refuseStore() *Refusal {
	return newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, 2*time.Second,
		"the store did not confirm the claim, so the request was not sent",
		"retry with the same "+headerKey+" after the stated time").withReason("store")
}
