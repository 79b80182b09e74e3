package logtrace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
)

const declarationText = `version: 1
deployment: sample
data_centres: [{name: north, racks: 1, workers_per_rack: 2, worker: {cores: 8, memory_gb: 32}}]
services: [{name: desk, runners: 2, target_p99: 200ms}]
teams: [{name: print, quota: {cores: 8, memory_gb: 16}}]
batch_classes: [{name: plate, resources: {cores: 1, memory_gb: 1}}]
`

const decisionLog = `{"decision":"order","subject":"b","time":"2026-01-01T00:00:10Z","team":"print","class":"plate","tasks":1,"milli_cpu":1000,"memory_mb":1000,"declared_ms":5000}
{"decision":"order","subject":"a","time":"2026-01-01T00:00:00Z","team":"print","class":"plate","tasks":2,"milli_cpu":1000,"memory_mb":1000,"declared_ms":5000}
{"decision":"place","subject":"a/0","time":"2026-01-01T00:00:01Z"}
{"decision":"end","subject":"a/0","reason":"evicted","time":"2026-01-01T00:00:03Z"}
{"decision":"place","subject":"a/0","time":"2026-01-01T00:00:04Z"}
{"decision":"end","subject":"a/0","reason":"done","time":"2026-01-01T00:00:08Z"}
{"decision":"place","subject":"a/1","time":"2026-01-01T00:00:04Z"}
{"decision":"end","subject":"a/1","reason":"lost","time":"2026-01-01T00:00:30Z"}
{"decision":"data-centre","subject":"north","choice":"out","time":"2026-01-01T00:00:05Z"}
{"decision":"data-centre","subject":"north","choice":"out","time":"2026-01-01T00:00:05.1Z","node":"n2"}
{"decision":"data-centre","subject":"north","choice":"in","time":"2026-01-01T00:00:20Z"}
{"decision":"order","subject":"a","time":"2026-01-01T00:00:21Z","tasks":2}
{"decision":"cancel","subject":"b","time":"2026-01-01T00:00:22Z"}
not JSON
`

// Guards against run times that include lost work or omit evicted attempts, events that are
// duplicated because several nodes log them, and traces that cannot be replayed.
func TestConvert(t *testing.T) {
	doc, err := declaration.Check("sample", []byte(declarationText))
	require.NoError(t, err)
	trace, err := Convert(strings.NewReader(decisionLog), doc.Declaration, Options{Name: "recorded"})
	require.NoError(t, err)
	require.EqualValues(t, 30, trace.Header.Horizon)
	require.Len(t, trace.Events, 5)
	a := trace.Events[0].Submit
	require.EqualValues(t, "a", a.Job)
	require.Equal(t, []replay.Seconds{6, 6}, a.RunTimes, "two attempts of one task; the lost one counts as the mean")
	require.EqualValues(t, "north", trace.Events[1].Operate.Out)
	require.Equal(t, []replay.Seconds{5}, trace.Events[2].Submit.RunTimes, "an order without ends keeps its declared time")
	require.EqualValues(t, "north", trace.Events[3].Operate.In)
	require.Equal(t, []model.JobID{"b"}, trace.Events[4].Cancel.Jobs)
	_, err = replay.Run(trace, replay.Options{})
	require.NoError(t, err)
}

// Guards against an empty trace from a log without accepted jobs.
func TestConvertRejectsLogWithoutOrders(t *testing.T) {
	_, err := Convert(strings.NewReader(`{"msg":"ready"}`), &declaration.Declaration{}, Options{Name: "x"})
	require.True(t, model.IsKind(err, model.KindInvalid))
}
