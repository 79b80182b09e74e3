package compare

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// Guards against a configuration that is loaded as the wrong kind, and against an error
// without a remedy for invalid input.
func TestLoadConfig(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	for _, c := range []struct {
		name   string
		policy scheduler.Policy
		bad    bool
	}{
		{"best-fit", scheduler.PolicyBestFit, false},
		{file("tight.yaml", "policy: learned\nslowdown_budget: 0.02\n"), scheduler.PolicyLearned, false},
		{file("empty.yaml", ""), scheduler.PolicyLearned, false},
		{file("unknown-field.yaml", "polic: learned\n"), "", true},
		{file("unknown-policy.yaml", "policy: worst-fit\n"), "", true},
		{file("declaration.yaml", "version: 1\nservices: [{}]\n"), "", true},
		{filepath.Join(dir, "absent"), "", true},
		{dir, "", true},
	} {
		got, err := LoadConfig(c.name)
		if c.bad {
			require.True(t, model.IsKind(err, model.KindInvalid), "%s: %v", c.name, err)
			require.Contains(t, err.Error(), "remedy", c.name)
			continue
		}
		require.NoError(t, err, c.name)
		require.Equal(t, c.policy, got.Scheduler.Policy, c.name)
	}
}

// Guards against a comparison that differs between two runs, and against missed outcomes that
// do not return an error.
func TestReportIsReproducibleAndReportsMisses(t *testing.T) {
	trace, err := Load("../../testdata/traces/umvoti-cancel-wave.jsonl")
	require.NoError(t, err)
	impossible := 1.0001
	trace.Header.Expect = replay.Expectations{MinOfflineShare: impossible}
	configs := []Config{{Name: "learned"}, {Name: "first-fit", Scheduler: scheduler.Config{Policy: scheduler.PolicyFirstFit}}}
	var texts [2]bytes.Buffer
	for i := range texts {
		r, err := Run(context.Background(), trace, configs, 1)
		require.NoError(t, err)
		require.ErrorIs(t, Write(r, FormatJSON, "", &texts[i]), ErrMissed)
	}
	require.Equal(t, texts[0].String(), texts[1].String())
}
