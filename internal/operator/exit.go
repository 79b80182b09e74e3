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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that a check failed: an invalid declaration, a wait that timed
	// out, a requirement that was not met.
	ExitFailed = 1
	// ExitUsage means an invalid flag, variable, file or name, or invalid credentials.
	ExitUsage = 2
	// ExitConflict means that another command was first or that the current state
	// forbids this one. Nothing was changed.
	ExitConflict = 3
	// ExitUnavailable means that no node could execute the command. Nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown means that the command may have taken effect.
	ExitUnknown = 5
)

// failedError marks an error as a failed check, with exit code 1.
type failedError struct{ error }

// Failed marks err as a failed check, so that vpier exits with ExitFailed.
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

// errorOutput is the JSON output of an error.
type errorOutput struct {
	Exit             int                          `json:"exit"`
	Kind             model.Kind                   `json:"kind,omitempty"`
	Message          string                       `json:"message"`
	Remedy           string                       `json:"remedy,omitempty"`
	ValidationErrors declaration.ValidationErrors `json:"faults,omitempty"`
}

// fail prints err to standard error and returns the exit code.
func (p *Program) fail(err error) int {
	code := exitCode(err)
	if p.args == nil || p.args.Output != outputJSON {
		fmt.Fprintf(p.Stderr, "vpier: %v\n", err)
		return code
	}
	f := errorOutput{Exit: code, Kind: model.KindOf(err), Message: err.Error()}
	var typed *model.Error
	if errors.As(err, &typed) {
		f.Message, f.Remedy = typed.Message, typed.Remedy
		if typed.Err != nil {
			f.Message = fmt.Sprintf("%s: %v", typed.Message, typed.Err)
		}
	}
	errors.As(err, &f.ValidationErrors)
	// An error when writing to standard error cannot be reported anywhere.
	_ = json.NewEncoder(p.Stderr).Encode(f)
	return code
}
