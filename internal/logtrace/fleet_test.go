package logtrace

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/replay"
)

const fleetLog = `  1.0 node-1 {"decision":"worker","choice":"listed","worker":"w0","dc":"z0","milli_cpu":8000,"memory_mb":16000,"time":"2026-01-01T00:00:00Z"}
{"decision":"order","job":"a","queue":"q","age_ms":500,"time":"2026-01-01T00:00:02Z","shape":[{"count":2,"milli_cpu":1000,"memory_mb":100,"estimate_ms":900},{"count":1,"milli_cpu":2000,"memory_mb":100,"estimate_ms":900,"after":[0]}]}
{"decision":"order","job":"a","queue":"q","age_ms":9000,"inherited":true,"time":"2026-01-01T00:00:03Z","shape":[{"count":9}]}
{"decision":"place","task":"a.0.0.0","attempt":1,"worker":"w0","dc":"z0","time":"2026-01-01T00:00:02Z"}
{"decision":"place","task":"a.0.0.1","attempt":1,"worker":"w1","dc":"z1","free_cpu":4000,"time":"2026-01-01T00:00:02Z"}
{"decision":"end","task":"a.0.0.0","attempt":1,"choice":"done","time":"2026-01-01T00:00:03Z"}
{"decision":"end","task":"a.0.0.1","attempt":1,"choice":"failed","time":"2026-01-01T00:00:04Z"}
{"decision":"place","task":"a.0.0.1","attempt":2,"worker":"w0","dc":"z0","time":"2026-01-01T00:00:04Z"}
{"decision":"end","task":"a.0.0.1","attempt":2,"choice":"done","time":"2026-01-01T00:00:07Z"}
{"decision":"place","task":"a.0.1.0","attempt":1,"worker":"w0","dc":"z0","time":"2026-01-01T00:00:08Z"}
{"decision":"data-centre","dc":"z0","out":true,"time":"2026-01-01T00:00:09Z"}
{"decision":"data-centre","dc":"z9","out":true,"time":"2026-01-01T00:00:09Z"}
{"decision":"cancel","job":"a","time":"2026-01-01T00:00:10Z"}
{"decision":"order"
`

// Guards against steps that arrive before their preceding steps, run times that include failed
// attempts, and commands for data centres that the trace does not describe.
func TestConvertFleet(t *testing.T) {
	trace, err := ConvertFleet(strings.NewReader(fleetLog), Options{Name: "recorded"})
	require.NoError(t, err)
	require.Len(t, trace.Events, 4)
	first, second := trace.Events[0], trace.Events[1]
	require.EqualValues(t, "a.0.0", first.Submit.Job)
	require.EqualValues(t, 1.5, first.At, "the job's age counts")
	require.Equal(t, []replay.Seconds{1, 3}, first.Submit.RunTimes, "without the failed attempt")
	require.EqualValues(t, "a.0.1", second.Submit.Job)
	require.EqualValues(t, 7, second.At, "when the step before was done")
	require.Equal(t, []replay.Seconds{0.9}, second.Submit.RunTimes, "as estimated: it did not end")
	require.EqualValues(t, "z0", trace.Events[2].Operate.Out)
	require.Equal(t, []model.JobID{"a.0.0", "a.0.1"}, trace.Events[3].Cancel.Jobs)
	require.Len(t, trace.Header.DataCentres, 2)
	require.InDelta(t, 8, trace.Header.DataCentres[0].Cores, 0)
	require.InDelta(t, 4, trace.Header.DataCentres[1].Cores, 0, "a worker that was never listed has what was seen free")
}

func TestConvertFleetRejectsLogWithoutOrders(t *testing.T) {
	_, err := ConvertFleet(strings.NewReader(`{"decision":"place","task":"a.0.0.0","time":"2026-01-01T00:00:00Z"}`), Options{Name: "x"})
	require.True(t, model.IsKind(err, model.KindInvalid))
}

// Guards against a cluster log, with a leader that is killed, that cannot be converted to a
// trace and replayed.
func TestClusterLogCanBeReplayed(t *testing.T) {
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		tasks := func(fleet.TaskName) fleettest.Task {
			return fleettest.Task{Work: time.Second, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 500}, Checkpoint: true}
		}
		c := fleettest.NewCluster(1, 3, 4, tasks)
		c.Log = &log
		defer c.StopAll()
		c.StartAll()
		time.Sleep(3 * time.Second)
		spec := fleet.Spec{Steps: []fleet.Step{{Count: 4, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 500}, Estimate: time.Second},
			{Count: 2, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 500}, Estimate: time.Second, After: []int{0}}}}
		for _, id := range []string{"0000000000000001", "0000000000000002"} {
			require.NoError(t, c.Nodes[0].Node.Submit(t.Context(), c.Queue, id, spec))
		}
		time.Sleep(1500 * time.Millisecond)
		c.Kill(c.Leader())
		time.Sleep(10 * time.Second)
	})
	trace, err := ConvertFleet(&log, Options{Name: "cluster"})
	require.NoError(t, err)
	require.Len(t, trace.Events, 4, "two jobs of two steps")
	for _, e := range trace.Events {
		for _, ran := range e.Submit.RunTimes {
			longest := 1.2
			if strings.HasSuffix(string(e.Submit.Job), ".1") {
				longest += 2.5 // the next leader receives the ends of the second step late
			}
			require.GreaterOrEqual(t, float64(ran), 0.99, "%s", e.Submit.Job)
			require.LessOrEqual(t, float64(ran), longest, "%s", e.Submit.Job)
		}
	}
	out, err := replay.Run(trace, replay.Options{})
	require.NoError(t, err)
	require.NotNil(t, out)
}
