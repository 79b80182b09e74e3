package soak

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sampleResults() []Result {
	return []Result{
		{Seed: 1, Length: 10 * time.Second, Faults: []Fault{{At: 2 * time.Second, Duration: 3 * time.Second, Kind: KillNode, Target: 1}}, Accepted: 4,
			Terms: map[string]int{"released": 3}, Lasting: Lasting{Tasks: 6, Longest: 7310 * time.Millisecond, Calm: 5200 * time.Millisecond, Margin: 1690 * time.Millisecond},
			Late: Lateness{Longest: 2500 * time.Millisecond, At: 7 * time.Second, Second: 1},
			Lead: &Lead{Terms: 5, SmallTerms: 2, Silence: 2380 * time.Millisecond, Calm: 500 * time.Millisecond, Return: 300 * time.Millisecond, LargeAtEnd: true}},
		{Seed: 2, Length: 10 * time.Second, Faults: []Fault{{At: 5 * time.Second, Duration: time.Second, Kind: CutStore}},
			Violations: []Violation{{At: 20 * time.Second, Text: "LOST: <job>"}}, Logs: "logs/seed-2"},
	}
}

func TestReportFormats(t *testing.T) {
	var text, data, html bytes.Buffer
	require.NoError(t, WriteText(&text, sampleResults()))
	require.Contains(t, text.String(), "seed 1: ok")
	require.Contains(t, text.String(), "3 terms ended: released")
	require.Contains(t, text.String(), "6 lasting tasks, longest time without a run 7.31 s, 5.20 s of it calm; margin 1.69 s")
	require.Contains(t, text.String(), "5 terms began, 2 of small hosts; longest time without a renewal 2.38 s, without impairment 0.50 s")
	require.Contains(t, text.String(), "own timers at most 2.50 s late, at 7.00 s; 1 times by a second or more")
	require.Contains(t, text.String(), "seed 2: BROKEN")
	require.Contains(t, text.String(), "logs/seed-2")
	require.Contains(t, text.String(), "cut-store 0", "faults of a broken run")
	require.NotContains(t, text.String(), "kill-node", "none of a clean one")
	require.Contains(t, text.String(), "1 of 2 seeds with a broken promise")
	require.NoError(t, WriteJSON(&data, sampleResults()))
	var back []Result
	require.NoError(t, json.Unmarshal(data.Bytes(), &back))
	require.Equal(t, sampleResults(), back)
	require.NoError(t, WriteHTML(&html, sampleResults()))
	require.Contains(t, html.String(), "all promises kept")
	require.Contains(t, html.String(), "6 lasting tasks")
	require.Contains(t, html.String(), "5 terms began")
	require.Contains(t, html.String(), "own timers at most 2.50 s late")
	require.Contains(t, html.String(), "LOST: &lt;job&gt;")
	require.Contains(t, html.String(), "left:20.00%;width:30.00%")
	require.Contains(t, html.String(), "left:100.00%", "the violation is at the end of the longer timeline")
}
