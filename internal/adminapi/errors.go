package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// conflictError reports that another operator's record was appended first.
type conflictError struct {
	err    *model.Error
	winner control.Entry
}

// Error returns the message and the remedy.
func (e *conflictError) Error() string { return e.err.Error() }

// Unwrap returns the model.Error, which has the kind.
func (e *conflictError) Unwrap() error { return e.err }

// newConflictError returns the error for a command that conflicts with winner, a
// record that was appended first.
func newConflictError(winner control.Entry) error {
	rec := winner.Record
	at := time.UnixMilli(rec.At).UTC().Format(time.RFC3339)
	return &conflictError{
		err: model.Errorf(model.KindConflict,
			"look at vpier status and vpier history, then repeat the command if it is still wanted",
			"%s was first: %s, at %s as sequence %d; nothing was changed by this command",
			rec.Actor, DescribeAction(rec), at, winner.Sequence),
		winner: winner,
	}
}

// DescribeAction returns a short description of what a record did.
func DescribeAction(rec control.Record) string {
	switch {
	case rec.Proposed != nil:
		return "proposed declaration " + ShortDigest(rec.Proposed.Digest)
	case rec.Accepted != nil:
		return fmt.Sprintf("accepted declaration %s (proposal %d)", ShortDigest(rec.Accepted.Digest), rec.Accepted.Proposal)
	case rec.Rejected != nil:
		return fmt.Sprintf("rejected proposal %d: %s", rec.Rejected.Proposal, rec.Rejected.Reason)
	case rec.DataCentreOut != nil:
		return "took data centre " + string(rec.DataCentreOut.DataCentre) + " out of service"
	case rec.DataCentreIn != nil:
		return "returned data centre " + string(rec.DataCentreIn.DataCentre) + " to service"
	case rec.MemberJoined != nil:
		return "node " + string(rec.MemberJoined.Member.ID) + " joined"
	case rec.MemberLeft != nil:
		return "node " + string(rec.MemberLeft.Node) + " left"
	}
	return "wrote a record that this build does not know"
}

// shortDigestLength is the number of digits of a digest in messages.
const shortDigestLength = 12

// ShortDigest shortens a digest for messages.
func ShortDigest(digest string) string { return digest[:min(len(digest), shortDigestLength)] }

// statusCodes maps error kinds to HTTP status codes.
var statusCodes = map[model.Kind]int{
	model.KindInvalid:     http.StatusBadRequest,
	model.KindDenied:      http.StatusUnauthorized,
	model.KindNotFound:    http.StatusNotFound,
	model.KindConflict:    http.StatusConflict,
	model.KindExhausted:   http.StatusTooManyRequests,
	model.KindUnavailable: http.StatusServiceUnavailable,
	model.KindStale:       http.StatusServiceUnavailable,
	model.KindUnknown:     http.StatusGatewayTimeout,
}

// writeError logs err and writes it as an ErrorReply.
func (s *server) writeError(w http.ResponseWriter, r *http.Request, actor string, err error) {
	reply := errorReply(err)
	code, ok := statusCodes[reply.Kind]
	if !ok {
		code = http.StatusInternalServerError
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		code = http.StatusRequestEntityTooLarge
	}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	// Requests rejected by a rate limit are not logged, so that a flood does not fill
	// the log.
	if reply.Kind != model.KindExhausted {
		s.deps.Log.WithFields(logrus.Fields{
			"actor": actor, "method": r.Method, "path": r.URL.Path, "remote": r.RemoteAddr, "kind": reply.Kind, "status": code,
		}).Warning(reply.Message)
	}
	writeJSON(w, code, reply)
}

// errorReply converts err into a response body.
func errorReply(err error) ErrorReply {
	reply := ErrorReply{Kind: model.KindOf(err), Message: err.Error(), Remedy: "see the log of the node"}
	var typed *model.Error
	if errors.As(err, &typed) {
		reply.Remedy = typed.Remedy
		reply.Message = typed.Message
		if typed.Err != nil {
			reply.Message = fmt.Sprintf("%s: %v", typed.Message, typed.Err)
		}
	}
	var race *conflictError
	if errors.As(err, &race) {
		reply.Winner = &race.winner
	}
	errors.As(err, &reply.ValidationErrors)
	if len(reply.ValidationErrors) > maxValidationErrors {
		reply.ValidationErrors = append(declaration.ValidationErrors{}, reply.ValidationErrors[:maxValidationErrors]...)
	}
	return reply
}

// maxValidationErrors bounds the validation errors in one response.
const maxValidationErrors = 200

// writeJSON writes v with the given status.
func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	// A failed write means that the client has disconnected. It can look up the result
	// by request id.
	_ = json.NewEncoder(w).Encode(v)
}

// DigestOf returns the digest of the declaration that a record refers to, or the
// empty string.
func DigestOf(rec control.Record) string {
	switch {
	case rec.Proposed != nil:
		return rec.Proposed.Digest
	case rec.Accepted != nil:
		return rec.Accepted.Digest
	case rec.Rejected != nil:
		return rec.Rejected.Digest
	}
	return ""
}
