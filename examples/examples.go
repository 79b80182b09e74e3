// Package examples holds sample declarations and recorded traces, so that
// vpier dev runs without other files.
package examples

import "embed"

// Files holds the samples: NAME.yaml is a declaration, NAME.trace.jsonl the
// trace that vpier dev replays against it.
//
//go:embed *.yaml *.trace.jsonl
var Files embed.FS
