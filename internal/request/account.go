package request

import (
	"net/http"
	"strconv"

	"github.com/vanillapier/vanillapier/internal/model"
)

// firstAttempt is the value of Vpier-Attempt by which a caller states that it has
// never sent the key before.
const firstAttempt = "1"

// account corrects the outcome of a refusal that was given before the request's
// key was looked up: an earlier request with the key may have run through another
// node, so "not-run" would be a false claim about the order. A caller that states
// its first attempt vouches that there is no earlier one. A malformed request is
// left as it is, because no node would have run it.
func (f *Refusal) account(r *http.Request, checked bool) {
	if checked || f.outcome != model.OutcomeNotRun || f.Kind == model.KindInvalid {
		return
	}
	if r.Header.Get(headerKey) == "" || declaredIdempotent(r) || r.Header.Get(headerAttempt) == firstAttempt {
		return
	}
	f.outcome = model.OutcomeUnknown
	f.Message += "; this request was not run, but whether an earlier one with the same key ran is not known"
}

// declaredIdempotent reports whether a request is idempotent by its method or by
// its header. A malformed header does not make it so.
func declaredIdempotent(r *http.Request) bool {
	if v := r.Header.Get(headerIdempotent); v != "" {
		stated, err := strconv.ParseBool(v)
		return err == nil && stated
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}
