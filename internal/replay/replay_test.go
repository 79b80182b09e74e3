package replay

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/scheduler"
)

const header = `{"format":1,"name":"t","seed":3,"horizon_s":300,"settle_s":600,` +
	`"data_centres":[{"name":"a","racks":1,"workers_per_rack":2,"cores":8,"memory_gb":32},{"name":"b","racks":1,"workers_per_rack":2,"cores":8,"memory_gb":32}],` +
	`"services":[{"name":"desk","p50_ms":50,"p99_ms":100,"target_ms":200}],` +
	`"classes":[{"name":"c","slope":0.03,"urgency":"normal","retries":2,"checkpoint_s":10,"evict_s":0.3}],"teams":[{"name":"x","cores":32,"memory_gb":128}]}`

// Guards against errors in a trace that are not detected, or are reported without the line.
func TestLoadErrorsNameTheLine(t *testing.T) {
	job := `{"at":1,"submit":{"job":"j","team":"x","class":"c","tasks":1,"cores":1,"memory_gb":1,"declared_s":5,"run_s":[5]}}`
	for _, c := range []struct{ lines, want string }{
		{"", "empty"},
		{`{"format":2}`, "line 1: format is 2"},
		{header + "\n{", "line 2"},
		{header + "\n" + `{"at":1}`, "line 2: an event has exactly one kind, this one has 0"},
		{header + "\n\n" + `{"at":1,"unknown":{}}`, "line 3: json: unknown field"},
		{header + "\n" + job + "\n" + job, `line 3: job "j" is submitted twice`},
		{header + "\n" + job + "\n" + `{"at":0.5,"store_out":{"for_s":1}}`, "line 3: time 0.5 is before"},
		{header + "\n" + strings.Replace(job, `"c"`, `"d"`, 1), `line 2: class "d" is not known`},
		{header + "\n" + `{"at":1,"cancel":{"jobs":["k"]}}`, `line 2: job "k" is not known`},
		{header + "\n" + `{"at":1,"operate":{"actor":"o","saw":-1,"out":"z"}}`, `line 2: dc "z" is not known`},
		{header + "\n" + strings.Replace(job, `[5]`, `[5,6]`, 1), "2 run times for 1 tasks"},
	} {
		_, err := Load(strings.NewReader(c.lines))
		require.ErrorContains(t, err, c.want)
	}
	trace, err := Load(strings.NewReader(header + "\n" + job))
	require.NoError(t, err)
	require.Len(t, trace.Events, 1)
}

// Guards against an outcome that depends on anything but the trace and the seed.
func TestReplayIsDeterministic(t *testing.T) {
	trace := loadFile(t, traceDir+"/umvoti-several.jsonl")
	run := func(seed uint64) []byte {
		out, err := Run(trace, Options{Seed: seed})
		require.NoError(t, err)
		data, err := json.Marshal(out)
		require.NoError(t, err)
		return data
	}
	require.Equal(t, string(run(7)), string(run(7)))
	require.NotEqual(t, string(run(7)), string(run(8)))
}

// Guards against a requirement that only the learned policy meets. The baseline policies use
// the same scheduler code, so they must meet it too.
func TestBaselinesMeetRequirements(t *testing.T) {
	trace := loadFile(t, traceDir+"/umvoti-operators.jsonl")
	out, err := Compare(trace, 1, scheduler.Config{}, scheduler.Config{Policy: scheduler.PolicyBestFit}, scheduler.Config{Policy: scheduler.PolicyFirstFit})
	require.NoError(t, err)
	for _, o := range out {
		require.Empty(t, o.Violations, o.Policy)
		require.Equal(t, o.Tasks, o.Done, o.Policy)
	}
}

// Guards against expected outcomes that are not compared with the actual ones.
func TestCheckReportsEachMissedExpectation(t *testing.T) {
	o := Outcome{TailRatio: 1.2, OfflineShare: 0.5, OutShare: 0.5, Evictions: map[string]int{"preempt": 3, "data-centre-out": 9}, BestFitEvictions: 4, UrgentWorstMs: 1500, Unrunnable: 1}
	two := 2
	missed := o.Check(Expectations{
		MaxTailRatio: 1.1, MinOfflineShare: 0.9, MinOutShare: 0.95, MaxEvictionShare: 0.6, MaxUrgentMs: 1400, Unrunnable: &two, Refused: &two,
	})
	require.Len(t, missed, 7)
	require.Empty(t, o.Check(Expectations{}))
}

// Guards against checks that never fail: a start that violates a requirement must be listed.
func TestChecksDetectViolations(t *testing.T) {
	job := `{"at":1,"submit":{"job":"j","team":"x","class":"c","tasks":2,"cores":5,"memory_gb":1,"declared_s":50,"run_s":[50]}}`
	trace, err := Load(strings.NewReader(header + "\n" + job))
	require.NoError(t, err)
	s := newSim(trace, scheduler.Config{}, 1)
	s.submit(trace.Events[0].Submit)
	a, b, w := s.tasks["j/0"], s.tasks["j/1"], s.workerList[0]
	w.start(attemptRef("j/0", 1), a, "")
	s.workerList[2].start(attemptRef("j/0", 2), a, "")
	w.start(attemptRef("j/1", 1), b, "unknown")
	s.outSince["a"] = 0
	s.now = 5e9
	w.start(attemptRef("j/1", 2), b, "")
	found := map[string]bool{}
	for _, v := range s.out.Violations {
		found[v.Requirement] = true
	}
	for _, want := range []string{"R1", "R2", "R3", "R4"} {
		require.True(t, found[want], "%s in %v", want, s.out.Violations)
	}
}
