package declaration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Fault is one thing that is wrong with a declaration.
type Fault struct {
	// File is the name under which the text was read; empty when unknown.
	File string `json:"file,omitempty"`
	// Line and Column are the position in the text, counted from 1; 0 when the
	// declaration was not read from a text.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the field, such as services[0].runners.
	Path string `json:"path,omitempty"`
	// Reason is what is wrong.
	Reason string `json:"reason"`
	// Remedy is what to change.
	Remedy string `json:"remedy"`
}

// String returns position, path, reason and remedy on one line.
func (f Fault) String() string {
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

// Faults is the error of Parse, Check and Validate. It holds every fault that
// was found, in the order of the text.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives f the kind invalid.
func (f Faults) Unwrap() error {
	return model.Errorf(model.KindInvalid, "correct each fault listed", "%d faults in the declaration", len(f))
}

// orNil returns f sorted by position as an error, or nil when f is empty.
func (f Faults) orNil() error {
	if len(f) == 0 {
		return nil
	}
	slices.SortStableFunc(f, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return f
}
