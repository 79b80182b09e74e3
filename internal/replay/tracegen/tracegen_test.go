package tracegen

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	shapesDir = "../../../testdata/shapes"
	tracesDir = "../../../testdata/traces"
	seed      = 1
)

var update = flag.Bool("update", false, "write the recorded traces anew")

// Guards against recorded traces that were edited by hand or no longer match the generator.
func TestRecordedTracesMatchGenerator(t *testing.T) {
	out := t.TempDir()
	if *update {
		out = tracesDir
	}
	files, err := filepath.Glob(filepath.Join(shapesDir, "*.json"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		require.NoError(t, Write(file, out, seed))
	}
	recorded, err := filepath.Glob(filepath.Join(tracesDir, "*.jsonl"))
	require.NoError(t, err)
	for _, file := range recorded {
		want, err := os.ReadFile(file)
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(out, filepath.Base(file)))
		require.NoError(t, err)
		require.True(t, string(want) == string(got), "%s differs from its generator", filepath.Base(file))
	}
}
