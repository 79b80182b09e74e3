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

// heldClaim is a claim that this node wrote for a call. The version of its row is
// read when the outcome is recorded, off the path before the dispatch.
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
		held, found, err := c.obtain(cl.ctx, ClaimRow(cl.key), claim)
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

// obtain writes claim under row. It returns the held claim, or the claim that
// another request holds. An error means that the claim is not held and that this
// request will not be sent.
func (c *Chain) obtain(ctx context.Context, row string, claim Claim) (*heldClaim, Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ClaimTimeout)
	defer cancel()
	held, found, unsure, err := c.tryObtain(ctx, row, claim)
	if err != nil && unsure {
		c.release(row, claim)
	}
	return held, found, err
}

// tryObtain repeats the write until its result is known. After an unknown result
// the row is read and the claim ids are compared. Unsure is true when a write had
// an unknown result.
func (c *Chain) tryObtain(ctx context.Context, row string, claim Claim) (held *heldClaim, found Claim, unsure bool, err error) {
	version := uint64(0)
	for pause := settleFirst; ; pause = min(2*pause, settleMax) {
		err := c.deps.Claims.Put(ctx, row, claim, version)
		if err == nil {
			return &heldClaim{row: row, claim: claim}, Claim{}, unsure, nil
		}
		if !model.IsKind(err, model.KindConflict) && !model.IsKind(err, model.KindUnknown) {
			return nil, Claim{}, unsure, err
		}
		unsure = unsure || model.IsKind(err, model.KindUnknown)
		found, at, getErr := c.deps.Claims.Get(ctx, row)
		switch {
		case getErr != nil && !model.IsKind(getErr, model.KindNotFound):
			// The result stays unknown until the row can be read.
		case getErr != nil:
			version = 0 // the write may still arrive; the same write is repeated
		case found.ID == claim.ID:
			return &heldClaim{row: row, claim: claim}, Claim{}, unsure, nil
		case found.State == model.OutcomeNotRun && found.Digest == claim.Digest:
			version = at
		default:
			return nil, found, unsure, nil
		}
		if !waiting.Sleep(ctx, pause) {
			return nil, Claim{}, unsure, model.Wrap(model.KindUnavailable, ctx.Err(), "retry with the same key", "the claim's result is not known")
		}
	}
}

// release records in the background that a claim whose write had no known result
// was not used, so that the key does not stay in doubt if the write took effect.
func (c *Chain) release(row string, claim Claim) {
	claim.State = model.OutcomeNotRun
	c.settleLater(&heldClaim{row: row, claim: claim})
}

// abandon refuses a claimed call that was not sent and frees its key.
func (c *Chain) abandon(cl *call, f *Refusal) {
	c.settle(cl, model.OutcomeNotRun, nil)
	c.refuse(cl, f, f.reason)
}

// refuseNoClaims is the answer when this node cannot claim at all.
func refuseNoClaims() *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindUnavailable, 5*time.Second,
		"this node has no store for claims", "use another node").because("no-claims")
}

// refuseStore is the answer when the claim could not be written.
func refuseStore() *Refusal {
	return refusal(http.StatusServiceUnavailable, model.KindUnavailable, 2*time.Second,
		"the store did not confirm the claim, so the request was not sent",
		"retry with the same "+headerKey+" after the stated time").because("store")
}
