package request

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Header names of the caller protocol.
const (
	headerService    = "Vpier-Service"
	headerTimeout    = "Vpier-Timeout-Ms"
	headerIdempotent = "Vpier-Idempotent"
	headerOutcome    = "Vpier-Outcome"
	headerLeaving    = "Vpier-Leaving"
	headerRequestID  = "Vpier-Request-Id"
	headerCaller     = "Vpier-Caller"
	headerKey        = "Idempotency-Key"
	headerReplayed   = "Vpier-Replayed"
	headerAttempt    = "Vpier-Attempt"
)

// Refusal is the JSON body of a response that this node itself wrote.
type Refusal struct {
	// Kind is one of the model error kinds.
	Kind model.Kind `json:"kind"`
	// Message says what happened.
	Message string `json:"message"`
	// Remedy says what the caller can do.
	Remedy string `json:"remedy"`

	status     int
	outcome    model.Outcome
	retryAfter time.Duration
	close      bool
	reason     string
}

// withReason sets the short reason code for logs and metrics.
func (f *Refusal) withReason(reason string) *Refusal {
	f.reason = reason
	return f
}

// newRefusal returns a Refusal with the outcome not-run.
func newRefusal(status int, kind model.Kind, retryAfter time.Duration, message, remedy string) *Refusal {
	return &Refusal{Kind: kind, Message: message, Remedy: remedy, status: status, outcome: model.OutcomeNotRun, retryAfter: retryAfter}
}

// newUnknownRefusal returns a Refusal for a request that may have been executed.
func newUnknownRefusal(status int, message, remedy string) *Refusal {
	return &Refusal{Kind: model.KindUnknown, Message: message, Remedy: remedy, status: status, outcome: model.OutcomeUnknown, retryAfter: time.Second}
}

// write sends f to the caller.
func (f *Refusal) write(w http.ResponseWriter) {
	body, err := json.Marshal(f)
	if err != nil {
		body = []byte(`{"kind":"unavailable","message":"the refusal could not be encoded","remedy":"retry later"}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		seconds := int(math.Ceil(f.retryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	if f.close {
		h.Set("Connection", "close")
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(body) // a failed write means that the caller has disconnected
}
