package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// lookupKey reads the claim of a caller's key before admission, so that a repeated request
// gets its recorded outcome even when the service is overloaded.
func (c *Chain) lookupKey(next handler) handler {
	return func(cl *call) {
		if cl.idempotent || cl.key == "" || c.deps.Claims == nil {
			next(cl)
			return
		}
		found, _, err := c.deps.Claims.Get(cl.ctx, ClaimRow(cl.key))
		switch {
		case model.IsKind(err, model.KindNotFound):
			cl.claimChecked = true
			next(cl)
		case err != nil:
			c.refuse(cl, refuseStore(), "store")
		case found.State == model.OutcomeNotRun && found.Digest == digestOf(cl):
			cl.claimChecked = true
			next(cl)
		default:
			c.replay(cl, found)
		}
	}
}

// replay responds to cl from a claim that another request wrote.
func (c *Chain) replay(cl *call, found Claim) {
	if found.Digest != digestOf(cl) {
		f := newRefusal(http.StatusConflict, model.KindConflict, 0,
			"the key was used for another request", "use a new "+headerKey+" for a new request")
		c.refuse(cl, f, "key-reused")
		return
	}
	if found.State != model.OutcomeDone {
		c.refuse(cl, refuseInDoubt(found), "key-in-doubt")
		return
	}
	body, err := c.recordedBody(cl.ctx, found)
	if err != nil {
		f := newRefusal(http.StatusServiceUnavailable, model.KindUnavailable, 2*time.Second,
			"the request was executed; its recorded answer cannot be read now", "ask again with the same "+headerKey)
		f.outcome = model.OutcomeDone
		c.refuse(cl, f, "record-unreadable")
		return
	}
	h := cl.w.Header()
	copyHeader(h, found.Header)
	h.Set(headerOutcome, string(model.OutcomeDone))
	h.Set(headerReplayed, "true")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	cl.w.WriteHeader(found.Status)
	_, _ = cl.w.Write(body) // a caller that disconnected can repeat the request
	c.metrics.countResponse(cl.service, string(model.OutcomeDone), "replayed")
}

// recordedBody returns the body of a recorded response after verifying its length and digest.
func (c *Chain) recordedBody(ctx context.Context, found Claim) ([]byte, error) {
	if found.BodyLost {
		return nil, model.Errorf(model.KindNotFound, "the response was too large to record", "recorded response has no body")
	}
	if found.Object == "" {
		return found.Body, nil
	}
	if c.deps.Objects == nil {
		return nil, model.Errorf(model.KindUnavailable, "use another node", "this node has no object store")
	}
	body, err := c.deps.Objects.Get(ctx, found.Object)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(body)
	if int64(len(body)) != found.Size || hex.EncodeToString(sum[:]) != found.SHA256 {
		return nil, model.Errorf(model.KindCorrupt, "ask the operators", "recorded response %s does not match its checksum", found.Object)
	}
	return body, nil
}

// refuseInDoubt is the refusal for a key whose request is in progress or was interrupted.
func refuseInDoubt(found Claim) *Refusal {
	if found.State == model.OutcomeUnknown {
		return newUnknownRefusal(http.StatusBadGateway, "the request was sent and its result is not known",
			"check the effect in the service; the same "+headerKey+" will not be sent again").withReason("key-in-doubt")
	}
	return newUnknownRefusal(http.StatusConflict, "a request with this key is running or was cut off",
		"ask again with the same "+headerKey+" after the stated time").withReason("key-in-doubt")
}
