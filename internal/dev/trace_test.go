package dev

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/examples"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against recorded traces that are out of date with their declaration or the
// generator: each sample's trace must be what its seed generates.
func TestSampleTracesAreReproducible(t *testing.T) {
	for _, name := range examples.Samples() {
		text, err := examples.Files.ReadFile(name + ".yaml")
		require.NoError(t, err)
		doc, err := declaration.Check(name, text)
		require.NoError(t, err)
		recorded, err := examples.Files.ReadFile(name + ".trace.jsonl")
		require.NoError(t, err)
		trace, err := LoadTrace(bytes.NewReader(recorded))
		require.NoError(t, err)
		var again bytes.Buffer
		require.NoError(t, Generate(doc.Declaration, trace.Header.Seed).Write(&again))
		require.Equal(t, string(recorded), again.String(), name)
	}
}

// Guards against invalid traces that are accepted, and against errors without the line
// number.
func TestLoadTraceRejectsInvalidLines(t *testing.T) {
	header := `{"format":1,"name":"x"}` + "\n"
	for _, c := range []struct{ name, text, message string }{
		{"empty", "", "empty"},
		{"no header", "x", "line 1"},
		{"other format", `{"format":2}`, "line 1"},
		{"not JSON", header + "{", "line 2"},
		{"unsorted", header + `{"at":5,"accept":true}` + "\n" + `{"at":4,"accept":true}`, "line 3"},
	} {
		_, err := LoadTrace(strings.NewReader(c.text))
		require.True(t, model.IsKind(err, model.KindInvalid), c.name)
		require.Contains(t, err.Error(), c.message, c.name)
	}
}
