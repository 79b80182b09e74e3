// Package examples holds sample declarations and recorded traces, so that
// vpier dev runs without other files.
package examples

import (
	"embed"
	"slices"
	"strings"
)

// Files holds the samples: NAME.yaml is a declaration, NAME.trace.jsonl the
// trace that vpier dev replays against it.
//
//go:embed *.yaml *.trace.jsonl
var Files embed.FS

// Samples lists the names of the sample deployments in order.
func Samples() []string {
	entries, err := Files.ReadDir(".")
	if err != nil {
		return nil // the embedded root always exists
	}
	var names []string
	for _, e := range entries {
		if name, found := strings.CutSuffix(e.Name(), ".yaml"); found {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
