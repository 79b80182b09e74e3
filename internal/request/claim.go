package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// heldClaim is a claim that this node wrote for a call.
type heldClaim struct {
	row     string
	claim   Claim
	version uint64
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
		claim := Claim{ID: string(c.deps.Node) + "/" + c.newID(), Digest: digestOf(cl)}
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
	version := uint64(0)
	for {
		err := c.deps.Claims.Put(ctx, row, claim, version)
		if err != nil && !model.IsKind(err, model.KindConflict) && !model.IsKind(err, model.KindUnknown) {
			return nil, Claim{}, err
		}
		found, at, getErr := c.deps.Claims.Get(ctx, row)
		switch {
		case model.IsKind(getErr, model.KindNotFound):
			// The write may still arrive; the same write is repeated.
		case getErr != nil:
			return nil, Claim{}, getErr
		case found.ID == claim.ID:
			return &heldClaim{row: row, claim: claim, version: at}, Claim{}, nil
		case found.State == model.OutcomeNotRun && found.Digest == claim.Digest:
			version = at
		default:
			return nil, found, nil
		}
		if err := sleep(ctx, 5*time.Millisecond); err != nil {
			return nil, Claim{}, err
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
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
