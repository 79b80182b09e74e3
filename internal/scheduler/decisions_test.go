package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against starvation: ageing must raise every urgency class to the highest one, and
// not early.
func TestEffectiveUrgencyRisesWithAge(t *testing.T) {
	for _, c := range []struct {
		declared model.Urgency
		waited   time.Duration
		want     model.Urgency
	}{
		{model.UrgencyBulk, 9 * time.Minute, model.UrgencyBulk},
		{model.UrgencyBulk, 10 * time.Minute, model.UrgencyNormal},
		{model.UrgencyBulk, 30 * time.Minute, model.UrgencyUrgent},
		{model.UrgencyHigh, time.Hour, model.UrgencyUrgent},
		{model.UrgencyHigh, -time.Minute, model.UrgencyHigh},
	} {
		require.Equal(t, c.want, effectiveUrgency(c.declared, c.waited, 10*time.Minute), c)
	}
}

// Guards against ranking a team with a higher use of its share, or a younger job, first.
func TestRankOrdersByUrgencyThenShareThenAge(t *testing.T) {
	inOrder := []rank{
		{model.UrgencyHigh, 0.9, 50, "a"}, {model.UrgencyNormal, 0.1, 50, "b"},
		{model.UrgencyNormal, 0.5, 10, "c"}, {model.UrgencyNormal, 0.5, 20, "a"}, {model.UrgencyNormal, 0.5, 20, "b"},
	}
	for i := range inOrder[1:] {
		require.True(t, inOrder[i].before(inOrder[i+1]), i)
		require.False(t, inOrder[i+1].before(inOrder[i]), i)
	}
}

// Guards against retries without a delay, and delays without a bound.
func TestBackoffDoublesUpToItsBound(t *testing.T) {
	for failures, want := range map[int]time.Duration{1: time.Second, 2: 2 * time.Second, 4: 8 * time.Second, 60: time.Minute} {
		require.Equal(t, want, backoff(failures, time.Second, time.Minute), failures)
	}
}

// Guards against filling a returned data centre at once or never.
func TestRampShare(t *testing.T) {
	for after, want := range map[time.Duration]float64{-time.Second: 0.25, 0: 0.25, 30 * time.Second: 0.625, time.Minute: 1, time.Hour: 1} {
		require.InDelta(t, want, rampFraction(after, time.Minute), 1e-9, after)
	}
}

// Guards against shares that exceed the quota in total, growth before other cells have
// shrunk, and small quotas that cannot be used.
func TestQuotaShares(t *testing.T) {
	home, away := func() bool { return true }, func() bool { return false }
	cores := func(n int64) model.Resources { return model.Resources{MilliCPU: 1000 * n} }
	q := newQuotas(10 * time.Second)
	q.setDeclaration(&declaration.Declaration{Teams: []declaration.Team{{Name: "a", Quota: declaration.Capacity{Cores: 8}}}})
	q.setWeight(0.25, start)
	require.True(t, q.allows("a", cores(2), away))
	require.False(t, q.allows("a", cores(3), away), "above the share")
	require.True(t, q.allows("a", cores(3), home), "one unit above the share runs in the home cell")
	require.False(t, q.allows("a", cores(9), home), "above the quota")
	require.False(t, q.allows("undeclared", cores(1), home))
	require.True(t, q.allows("", cores(100), away), "work without a team has no quota")
	q.add("a", cores(2))
	require.False(t, q.allows("a", cores(3), home))
	require.Equal(t, 1.0, q.useRatio("a"))
	q.setWeight(0.5, start)
	require.False(t, q.allows("a", cores(1), away), "growth waits")
	q.setWeight(0.5, start.Add(10*time.Second))
	require.True(t, q.allows("a", cores(1), away))
	q.setWeight(0.1, start.Add(11*time.Second))
	require.False(t, q.allows("a", cores(1), away), "shrinking does not wait")
}

// Guards against quota shares of cells in service that add up to more than one.
func TestCellWeights(t *testing.T) {
	cell := func(id string, cores int64) CellSummary {
		return CellSummary{ID: model.CellID(id), DataCentre: model.DataCentre(id), Capacity: model.Resources{MilliCPU: cores}}
	}
	a, b, c := cell("a", 100), cell("b", 200), cell("c", 100)
	all := &control.View{}
	out := &control.View{Out: map[model.DataCentre]uint64{"b": 2}}
	require.Equal(t, 0.25, cellWeight(a, []CellSummary{b, c}, all))
	require.Equal(t, 0.5, cellWeight(a, []CellSummary{b, c}, out))
	require.Zero(t, cellWeight(b, []CellSummary{a, c}, out))
	require.Equal(t, 1.0, cellWeight(CellSummary{}, nil, all))
}

// Guards against missing a host that fits, returning one that does not, and an index that
// does not match the hosts' free capacity.
func TestIndexFindsFittingHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var x capacityIndex
		draw := func(name string, most int64) model.Resources {
			return model.Resources{
				MilliCPU: rapid.Int64Range(0, most).Draw(rt, name+"cpu"), MemoryMB: rapid.Int64Range(0, most).Draw(rt, name+"mem"),
				Accelerators: rapid.Int64Range(0, 9).Draw(rt, name+"acc"),
			}
		}
		hosts := make([]*host, rapid.IntRange(1, 30).Draw(rt, "n"))
		for i := range hosts {
			hosts[i] = &host{}
			for range 2 {
				hosts[i].free = draw("h", 64000)
				x.put(hosts[i])
			}
		}
		x.remove(hosts[0])
		need := draw("need", 32000)
		want := 0
		for _, h := range hosts[1:] {
			if need.Fits(h.free) {
				want++
			}
		}
		got := x.candidates(nil, need, 32, func(*host) bool { return true })
		require.Len(rt, got, want)
		for _, h := range got {
			require.True(rt, need.Fits(h.free))
			require.NotSame(rt, hosts[0], h)
		}
	})
}

// Guards against filters that admit a worker that must not run a task.
func TestFilters(t *testing.T) {
	u := &unit{tasks: make([]*cell.Task, 1)}
	task := &cell.Task{Spec: model.TaskSpec{ID: "t", Resources: model.Resources{MilliCPU: 4000}}}
	view := &control.View{Out: map[model.DataCentre]uint64{"b": 1}}
	capacity := model.Resources{MilliCPU: 8000}
	at := func(dc model.DataCentre, change func(*host)) *host {
		h := &host{Worker: Worker{ID: "w", DataCentre: dc, Capacity: capacity}, present: true, free: capacity}
		if change != nil {
			change(h)
		}
		return h
	}
	avoid := notAvoided{map[model.TaskID]retry{"t": {worker: "w", notBefore: start}}}
	ramp := rampUp{map[model.DataCentre]time.Time{"a": start}, time.Minute}
	for _, c := range []struct {
		name   string
		filter Filter
		host   *host
		want   bool
	}{
		{"in service", inService{}, at("a", nil), true},
		{"data centre out", inService{}, at("b", nil), false},
		{"leaving", inService{}, at("a", func(h *host) { h.Leaving = true }), false},
		{"unreachable", inService{}, at("a", func(h *host) { h.Unreachable = true }), false},
		{"gone", inService{}, at("a", func(h *host) { h.present = false }), false},
		{"held for another", notHeld{}, at("a", func(h *host) { h.heldFor, h.heldUntil = &unit{}, start.Add(time.Second) }), false},
		{"hold over", notHeld{}, at("a", func(h *host) { h.heldFor, h.heldUntil = &unit{}, start }), true},
		{"quarantined", notQuarantined{}, at("a", func(h *host) { h.health = health{quarantined: true, probeAt: start.Add(1)} }), false},
		{"probe due", notQuarantined{}, at("a", func(h *host) { h.health = health{quarantined: true, probeAt: start} }), true},
		{"probe running", notQuarantined{}, at("a", func(h *host) { h.health = health{quarantined: true, probe: "x"} }), false},
		{"failed here", avoid, at("a", nil), false},
		{"failed elsewhere", avoid, at("a", func(h *host) { h.ID = "v" }), true},
		{"returned just now", ramp, at("a", nil), false},
	} {
		r := &placementRequest{task: task, unit: u, view: view, now: start}
		require.Equal(t, c.want, c.filter.keep(r, c.host), c.name)
	}
}

// Guards against a faulty worker that uses up jobs' retries, a healthy one that is
// quarantined because of one failing task, and a quarantine that never ends.
func TestHealth(t *testing.T) {
	fail := func(h *health, task model.TaskID) bool {
		return h.noteFailure(task, start, 3, 30*time.Second, time.Minute)
	}
	var oneTask health
	for range 10 {
		require.True(t, fail(&oneTask, "same"))
	}
	require.False(t, oneTask.quarantined, "one task fails again and again")
	var faulty health
	require.Equal(t, []bool{true, true, false}, []bool{fail(&faulty, "a"), fail(&faulty, "b"), fail(&faulty, "c")})
	require.True(t, faulty.quarantined)
	require.Equal(t, start.Add(30*time.Second), faulty.probeAt)
	require.False(t, fail(&faulty, "started before"))
	require.Equal(t, start.Add(30*time.Second), faulty.probeAt, "only a probe delays the next one")
	faulty.probe = "probe"
	require.False(t, fail(&faulty, "probe"))
	require.Equal(t, start.Add(time.Minute), faulty.probeAt)
	faulty.noteSuccess()
	require.False(t, faulty.quarantined)
}

// Guards against estimates that attribute slowdown to the wrong class, follow the common
// load, or rely on few samples.
func TestInterferenceSeparatesClassesUnderChangingLoad(t *testing.T) {
	m := newInterferenceModel()
	now := start
	require.InDelta(t, 1+0.1*priorSlope, m.predict("s", []classFraction{{"new", 0.1}}), 1e-9)
	for i := range 3000 {
		load := 1 + 0.3*float64(i)/3000
		noisy, quiet := float64(i%3)*0.1, float64(i%4)*0.2
		p99 := 0.1 * load * (1 + 0.5*noisy + 0.02*quiet)
		now = now.Add(300 * time.Millisecond)
		m.learn(serviceSample{"s", time.Duration(p99 * 1e9), now}, []classFraction{{"noisy", noisy}, {"quiet", quiet}}, now)
	}
	require.InDelta(t, 0.5, m.slope("s", "noisy"), 0.12)
	require.InDelta(t, 0.02, m.slope("s", "quiet"), 0.05)
	require.InDelta(t, 0.13, m.baselines["s"].Seconds, 0.005)
}

// Guards against losing or changing estimates in a snapshot.
func TestEstimatesSnapshotRoundTrip(t *testing.T) {
	a := newHarness(t, Config{}, 1).s
	a.interference.pairs[serviceClass{"s", "c"}] = &estimate{Slope: 0.3, Weight: 20}
	a.interference.baselines["s"] = &baseline{Seconds: 0.1, Samples: 9}
	data, err := a.MarshalEstimates()
	require.NoError(t, err)
	b := newHarness(t, Config{}, 1).s
	require.NoError(t, b.RestoreEstimates(data))
	require.Equal(t, a.interference.slope("s", "c"), b.interference.slope("s", "c"))
	require.Equal(t, a.interference.baselines["s"], b.interference.baselines["s"])
	require.Equal(t, model.KindCorrupt, model.KindOf(b.RestoreEstimates([]byte{0xff})))
}

// Guards against choosing a cell that is out of service or too small.
func TestChooseCell(t *testing.T) {
	summary := func(id string, largest, free int64) CellSummary {
		return CellSummary{
			ID: model.CellID(id), DataCentre: model.DataCentre(id), Workers: 2, Capacity: model.Resources{MilliCPU: 2 * largest},
			Largest: model.Resources{MilliCPU: largest}, Free: model.Resources{MilliCPU: free}, Room: model.Resources{MilliCPU: free},
		}
	}
	cells := []CellSummary{summary("small", 4, 8), summary("full", 16, 0), summary("out", 64, 64)}
	job := func(cpu int64) model.JobSpec {
		return model.JobSpec{Tasks: []model.TaskSpec{{Resources: model.Resources{MilliCPU: cpu}}}}
	}
	out := func(dc model.DataCentre) bool { return dc == "out" }
	require.Equal(t, model.CellID("small"), ChooseCell(job(2), cells, out))
	require.Equal(t, model.CellID("full"), ChooseCell(job(8), cells, out))
	require.Empty(t, ChooseCell(job(1), cells, func(model.DataCentre) bool { return true }))
}
