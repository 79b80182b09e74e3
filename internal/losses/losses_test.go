package losses

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

const sampleLog = `  0.1 n1 {"event":"start","node":"n1","dc":"east","time":"2026-01-01T00:00:00Z"}
{"event":"start","node":"n2","dc":"west","time":"2026-01-01T00:00:00Z"}
{"decision":"submit","choice":"unknown","node":"n1","job":"a","took_ms":100,"time":"2026-01-01T00:00:01Z"}
{"decision":"submit","choice":"ok","node":"n2","job":"a","took_ms":20,"time":"2026-01-01T00:00:02Z"}
{"decision":"submit","choice":"unavailable","node":"n2","job":"b","took_ms":5,"time":"2026-01-01T00:00:03Z"}
{"decision":"submit","choice":"ok","node":"n2","job":"c","took_ms":5,"time":"2026-01-01T00:00:04Z"}
{"decision":"order","job":"c","kind":"filler","objective_ms":2000,"time":"2026-01-01T00:00:04.1Z"}
{"decision":"submit","choice":"ok","node":"n1","job":"d","took_ms":5,"time":"2026-01-01T00:00:05Z"}
{"decision":"order","job":"d","kind":"short","objective_ms":9000,"time":"2026-01-01T00:00:05.1Z"}
{"decision":"submit","choice":"ok","node":"n1","job":"e","took_ms":5,"time":"2026-01-01T00:00:05Z"}
{"decision":"load","services":10,"services_at_work":8,"services_over_target":1,"time":"2026-01-01T00:00:05Z"}
{"decision":"load","services":10,"services_at_work":9,"services_over_target":2,"time":"2026-01-01T00:00:06Z"}
{"decision":"job","job":"a","kind":"short","choice":"completed","verdict":"late","took_ms":5000,"objective_ms":3000,"first_wait_ms":600,"next_wait_ms":200,"slowed_ms":0,"repeated_ms":200,"time":"2026-01-01T00:00:07Z"}
no JSON
`

func TestRead(t *testing.T) {
	d, err := Read(strings.NewReader(sampleLog), Options{LateShare: 0.2})
	require.NoError(t, err)
	require.Equal(t, map[string]int{"": 1, "short": 2, "filler": 1, unknownKind: 1}, d.Jobs)
	require.Equal(t, 7*time.Second, d.Length)
	sum := func(kind string, cause Cause) float64 {
		return d.sum(func(l Loss) bool { return l.Kind == kind && l.Cause == cause })
	}
	require.InDelta(t, 0.24, sum("short", FirstWait), 1e-9, "600 of the 2,000 ms beyond the objective, of a value of 0.8")
	require.InDelta(t, 0.08, sum("short", NextWait), 1e-9)
	require.InDelta(t, 0.08, sum("short", Repeated), 1e-9)
	require.InDelta(t, 0.40, sum("short", RunTime), 1e-9, "what nothing else explains")
	require.InDelta(t, 1, sum("", NotAccepted), 1e-9)
	require.InDelta(t, 1, sum("filler", Unfinished), 1e-9)
	require.InDelta(t, 0.8, d.sum(func(l Loss) bool { return l.DC == "east" }), 1e-9, "a caller belongs to the node that it asked first")
	require.InDelta(t, 1, d.total(func(l Load) int { return l.ServiceTasks - l.AtWork }), 1e-9)
	require.InDelta(t, 2, d.total(func(l Load) int { return l.OverTarget }), 1e-9)
}

func TestReadRejectsOtherLogs(t *testing.T) {
	for _, text := range []string{"", "no JSON\n", `{"event":"start","node":"n1","time":"2026-01-01T00:00:00Z"}`} {
		_, err := Read(strings.NewReader(text), Options{})
		require.True(t, model.IsKind(err, model.KindInvalid), text)
	}
}

// No job loses more than its value, whatever its times, and a late job loses all that it
// does not keep.
func TestSplitAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) float64 { return rapid.Float64Range(0, 1e5).Draw(t, name) }
		l := line{TookMS: draw("took"), ObjectiveMS: draw("objective"), FirstWaitMS: draw("first"), NextWaitMS: draw("next"), SlowedMS: draw("slowed"), RepeatedMS: draw("repeated")}
		amount, sum := rapid.Float64Range(0, 1).Draw(t, "amount"), 0.0
		for _, p := range l.split(amount) {
			require.GreaterOrEqual(t, p.Amount, 0.0)
			sum += p.Amount
		}
		require.InDelta(t, amount, sum, 1e-9)
	})
}

// TestReport compares a day with itself and a day without losses.
func TestReport(t *testing.T) {
	lossy, err := Read(strings.NewReader(sampleLog), Options{})
	require.NoError(t, err)
	r := Report([]string{"before", "after"}, []*Day{lossy, {Jobs: map[string]int{"short": 2}, Length: time.Second}})
	require.NoError(t, r.Validate())
	var text, page bytes.Buffer
	require.NoError(t, r.WriteText(&text))
	require.NoError(t, r.WriteHTML(&page))
	require.Contains(t, text.String(), "lost: short, waiting for the first start")
	require.Contains(t, text.String(), "lost: callers of west")
	for _, title := range []string{"before: lost value", "after: lost value", "before: processors", "after: processors"} {
		require.Contains(t, page.String(), title)
	}
	for _, m := range r.Metrics {
		if m.Name == "lost: all" {
			require.Equal(t, "[3 0]", fmt.Sprint(m.Values))
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(sampleLog))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Read(bytes.NewReader(data), Options{LateShare: 0.15})
		if err != nil {
			return
		}
		for _, l := range d.Losses {
			require.LessOrEqual(t, l.Amount, 1+1e-9)
		}
	})
}
