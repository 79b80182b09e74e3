package model

import (
	"errors"
	"fmt"
)

// Kind classifies an error so that callers can branch without comparing text.
type Kind string

const (
	// KindInvalid means invalid input; the remedy says what to change.
	KindInvalid Kind = "invalid"
	// KindNotFound means that the referenced object does not exist.
	KindNotFound Kind = "not-found"
	// KindGone means that the referenced object no longer exists or was never created.
	KindGone Kind = "gone"
	// KindConflict means a lost race or a failed condition; nothing was written.
	KindConflict Kind = "conflict"
	// KindFenced means that a newer owner has taken over.
	KindFenced Kind = "fenced"
	// KindUnavailable means that the operation had no effect and a retry may succeed.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the operation may have taken effect.
	KindUnknown Kind = "unknown"
	// KindStale means that the local view is too old for the decision.
	KindStale Kind = "stale"
	// KindExhausted means that a budget, quota or capacity is used up.
	KindExhausted Kind = "exhausted"
	// KindCorrupt means that stored data failed its checks.
	KindCorrupt Kind = "corrupt"
	// KindDenied means that the identity is missing or lacks permission.
	KindDenied Kind = "denied"
)

// Error is an error with a kind, a message and a remedy for the reader.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	Err     error
}

// Error returns message, cause and remedy on one line.
func (e *Error) Error() string {
	s := e.Message
	if e.Err != nil {
		s = fmt.Sprintf("%s: %v", s, e.Err)
	}
	if e.Remedy != "" {
		s = fmt.Sprintf("%s (remedy: %s)", s, e.Remedy)
	}
	return s
}

// Unwrap returns the cause, if any.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an Error of the given kind. The remedy says what the reader can do; the
// format follows fmt.Sprintf. Use Wrap to keep a cause.
func Errorf(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Wrap returns an Error of the given kind with err as its cause.
func Wrap(kind Kind, err error, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, Err: err}
}

// KindOf returns the kind of the first Error in err's chain, or the empty kind.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// IsKind reports whether the first Error in err's chain has the given kind.
func IsKind(err error, kind Kind) bool { return KindOf(err) == kind }
