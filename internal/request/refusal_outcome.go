package request

import (
	"net/http"
	"strconv"

	"github.com/vanillapier/vanillapier/internal/model"
)

// firstAttempt is the value of Vpier-Attempt with which a caller states that it has never sent
// the key before.
const firstAttempt = "1"

// correctOutcome changes the outcome of a refusal from not-run to unknown when the request's
// key has not been looked up yet: an earlier request with the key may have run through another
// node, so not-run could be false. The outcome stays when the caller states its first attempt,
// because then there is no earlier request, and when the request is malformed, because no node
// would have run it.
func (f *Refusal) correctOutcome(r *http.Request, claimChecked bool) {
	if claimChecked || f.outcome != model.OutcomeNotRun || f.Kind == model.KindInvalid {
		return
	}
	if r.Header.Get(headerKey) == "" || declaredIdempotent(r) || r.Header.Get(headerAttempt) == firstAttempt {
		return
	}
	f.outcome = model.OutcomeUnknown
	f.Message += "; this request was not run, but whether an earlier one with the same key ran is not known"
}

// declaredIdempotent reports whether a request is idempotent by its method or by its header. A
// malformed header does not make it idempotent.
func declaredIdempotent(r *http.Request) bool {
	if v := r.Header.Get(headerIdempotent); v != "" {
		stated, err := strconv.ParseBool(v)
		return err == nil && stated
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead
}
