package declaration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/vanillapier/vanillapier/internal/model"
)

// ValidationError is one error in a declaration.
type ValidationError struct {
	// File is the name of the text; empty when unknown.
	File string `json:"file,omitempty"`
	// Line and Column are the position in the text, counted from 1; 0 when the
	// declaration was not read from a text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the field, such as services[0].runners.
	Path string `json:"path,omitempty"`
	// Reason describes the error.
	Reason string `json:"reason"`
	// Remedy describes how to correct it.
	Remedy string `json:"remedy"`
}

// String returns position, path, reason and remedy on one line.
func (f ValidationError) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	fmt.Fprintf(&b, "%s (remedy: %s)", f.Reason, f.Remedy)
	return b.String()
}

// ValidationErrors is the error of Parse, Check and Validate. It contains all errors, in
// the order of the text.
type ValidationErrors []ValidationError

// Error returns one line for each error.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, verr := range f {
		lines[i] = verr.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error of kind invalid.
func (f ValidationErrors) Unwrap() error {
	return model.Errorf(model.KindInvalid, "correct each fault listed", "%d faults in the declaration", len(f))
}

// asError returns f sorted by position as an error, or nil when f is empty.
func (f ValidationErrors) asError() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b ValidationError) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return f
}
