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

// recall looks a caller's key up before admission, so that a repeated request
// gets its recorded outcome even when the service is overloaded.
func (c *Chain) recall(next handler) handler {
	return func(cl *call) {
		if cl.idempotent || cl.key == "" || c.deps.Claims == nil {
			next(cl)
			return
		}
		found, _, err := c.deps.Claims.Get(cl.ctx, ClaimRow(cl.key))
		switch {
		case model.IsKind(err, model.KindNotFound):
			cl.checked = true
			next(cl)
		case err != nil:
			c.refuse(cl, refuseStore(), "store")
		case found.State == model.OutcomeNotRun && found.Digest == digestOf(cl):
			cl.checked = true
			next(cl)
		default:
			c.replay(cl, found)
		}
	}
}

// replay answers cl from a claim that another request wrote.
func (c *Chain) replay(cl *call, found Claim) {
	if found.Digest != digestOf(cl) {
		f := refusal(http.StatusConflict, model.KindConflict, 0,
			"the key was used for another request", "use a new "+headerKey+" for a new request")
		c.refuse(cl, f, "key-reused")
		return
	}
	if found.State != model.OutcomeDone {
		c.refuse(cl, refuseInDoubt(found), "key-in-doubt")
		return
	}
	body, err := c.recorded(cl.ctx, found)
	if err != nil {
		f := refusal(http.StatusServiceUnavailable, model.KindUnavailable, 2*time.Second,
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
	_, _ = cl.w.Write(body) // the caller may be gone and can ask again
	c.metrics.answered(cl.service, string(model.OutcomeDone), "replayed")
}

// recorded returns the body of a recorded answer after checking it.
func (c *Chain) recorded(ctx context.Context, found Claim) ([]byte, error) {
	if found.BodyLost {
		return nil, model.Errorf(model.KindNotFound, "the answer was too large to keep", "recorded answer without a body")
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
		return nil, model.Errorf(model.KindCorrupt, "ask the operators", "recorded answer %s fails its check", found.Object)
	}
	return body, nil
}

// refuseInDoubt is the answer for a key whose request is running or was lost.
func refuseInDoubt(found Claim) *Refusal {
	if found.State == model.OutcomeUnknown {
		return unknown(http.StatusBadGateway, "the request was sent and its result is not known",
			"check the effect in the service; the same "+headerKey+" will not be sent again").because("key-in-doubt")
	}
	return unknown(http.StatusConflict, "a request with this key is running or was cut off",
		"ask again with the same "+headerKey+" after the stated time").because("key-in-doubt")
}
