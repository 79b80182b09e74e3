package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

const traceDir = "../../testdata/traces"

func loadFile(t testing.TB, path string) *Trace {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	trace, err := Load(f)
	require.NoError(t, err, path)
	return trace
}

// Guards against a change of the scheduler that violates a requirement or an expected outcome
// in any recorded trace.
func TestRecordedTracesMeetExpectations(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(traceDir, "*.jsonl"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".jsonl"), func(t *testing.T) {
			t.Parallel()
			trace := loadFile(t, path)
			out, err := Run(trace, Options{Reference: true})
			require.NoError(t, err)
			t.Logf("tail %.3f offline %.3f out %.3f evictions %v best-fit %d urgent %d/%d ms starts %d done %d failed %d unrunnable %d cancelled %d unfinished %d throttles %d lost %.0f conflicts %d plans %d refused %d",
				out.TailRatio, out.OfflineShare, out.OutShare, out.Evictions, out.BestFitEvictions, out.UrgentStarts, out.UrgentWorstMs,
				out.Starts, out.Done, out.Failed, out.Unrunnable, out.Cancelled, out.Unfinished, out.Throttles, out.LostCoreSeconds, out.Conflicts, out.Plans, out.Refused)
			for _, v := range out.Check(trace.Header.Expect) {
				t.Error(v)
			}
		})
	}
}

func attemptRef(task string, attempt uint32) external.AttemptRef {
	return external.AttemptRef{Task: model.TaskID(task), Attempt: model.Attempt(attempt)}
}
