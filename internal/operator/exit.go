package operator

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Exit codes of vpier.
const (
	// ExitOK means that the command did what it was asked to.
	ExitOK = 0
	// ExitFailed means that the checked thing failed: a declaration with
	// faults, a wait that ran out, a requirement that was not met.
	ExitFailed = 1
	// ExitUsage means a wrong flag, variable, file, name or identity.
	ExitUsage = 2
	// ExitConflict means that another command was first or that the state
	// forbids this one. Nothing was changed.
	ExitConflict = 3
	// ExitUnavailable means that no node could do it. Nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown means that the command may have taken effect.
	ExitUnknown = 5
)

// failedError marks an error as a failed check, with exit code 1.
type failedError struct{ error }

// Failed marks err as a failed check, so that vpier ends with ExitFailed.
func Failed(err error) error { return failedError{err} }

// Unwrap returns the cause.
func (e failedError) Unwrap() error { return e.error }

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var failed failedError
	if errors.As(err, &failed) {
		return ExitFailed
	}
	switch model.KindOf(err) {
	case model.KindInvalid, model.KindDenied, model.KindNotFound:
		return ExitUsage
	case model.KindConflict, model.KindFenced:
		return ExitConflict
	case model.KindUnavailable, model.KindStale, model.KindExhausted:
		return ExitUnavailable
	case model.KindUnknown:
		return ExitUnknown
	}
	return ExitFailed
}

// failure is the JSON form of an error.
type failure struct {
	Exit    int                `json:"exit"`
	Kind    model.Kind         `json:"kind,omitempty"`
	Message string             `json:"message"`
	Remedy  string             `json:"remedy,omitempty"`
	Faults  declaration.Faults `json:"faults,omitempty"`
}

// fail prints err on the error output and returns the exit code.
func (p *Program) fail(err error) int {
	code := exitCode(err)
	if p.args == nil || p.args.Output != outputJSON {
		fmt.Fprintf(p.Stderr, "vpier: %v\n", err)
		return code
	}
	f := failure{Exit: code, Kind: model.KindOf(err), Message: err.Error()}
	var typed *model.Error
	if errors.As(err, &typed) {
		f.Message, f.Remedy = typed.Message, typed.Remedy
		if typed.Err != nil {
			f.Message = fmt.Sprintf("%s: %v", typed.Message, typed.Err)
		}
	}
	errors.As(err, &f.Faults)
	// The error output is the last resort; a failure to write it has no reader.
	_ = json.NewEncoder(p.Stderr).Encode(f)
	return code
}
