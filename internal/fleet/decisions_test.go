package fleet

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

var epoch = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// testWorker returns a usable worker with 16 cores.
func testWorker(id string) *worker {
	w := newWorker(WorkerInfo{Lifetime: Lifetime{Worker: model.WorkerID(id), Born: 1}, Service: "svc", DataCentre: "dc",
		Capacity: model.Resources{MilliCPU: 16000, MemoryMB: 16000}, Labels: []string{"a", "r1"}})
	w.answered, w.usedRowStored = true, true
	return w
}

func testRun(w *worker, s *Step, index int) *run {
	r := &run{ref: RunRef{TaskName(fmt.Sprint("j.0.0.", index)), 1}, worker: w, step: s, reserved: s.Reserved(), startedAt: epoch,
		state: runLive, pace: 100, percent: 100, job: &job{id: "j"}, key: taskKey{0, 0, index}}
	w.attach(r, epoch)
	return r
}

// The model must distinguish filler images with a high pressure on a service from those with a
// low one, although the service's own load varies by more than a filler adds.
func TestPressureIsLearntPerFillerImage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heavy := rapid.Float64Range(4, 8).Draw(t, "heavy")
		period := rapid.Float64Range(10, 20).Draw(t, "period")
		step := rapid.Uint64().Draw(t, "pattern")
		h := newInterference()
		service := &Step{Count: 1, Needs: model.Resources{MilliCPU: 4000}, Lasting: true, Image: "s", LatencyTarget: 150 * time.Millisecond}
		w := testWorker("w")
		r := testRun(w, service, 0)
		fillers := []*Step{
			{Needs: model.Resources{MilliCPU: 1600}, Filler: true, Image: "heavy"},
			{Needs: model.Resources{MilliCPU: 1600}, Filler: true, Image: "mild"},
		}
		present := map[int]*run{}
		for i := range 400 {
			now := at(float64(i) * 0.7)
			for k := range fillers {
				step = step*6364136223846793005 + 1442695040888963407
				if step>>61 != 0 {
					continue
				}
				if f := present[k]; f != nil {
					w.detach(f, now)
					delete(present, k)
				} else {
					f = &run{ref: RunRef{TaskName(fmt.Sprint("f.0.0.", k)), i}, worker: w, step: fillers[k], state: runLive, pace: 100}
					w.attach(f, now)
					present[k] = f
				}
			}
			now = now.Add(600 * time.Millisecond)
			z := 3.0 + 1.4*math.Sin(2*math.Pi*now.Sub(epoch).Seconds()/period)
			if present[0] != nil {
				z -= heavy * 0.1
			}
			r.reading = int(150 / max(z, 0.1))
			h.observe(r, now)
		}
		m := h.model("s")
		end := at(1000)
		require.Greater(t, m.pressure("heavy", end), heavy/2)
		require.Less(t, m.pressure("heavy", end), heavy*2)
		require.Less(t, m.pressure("mild", end), heavy/3)
		require.InDelta(t, m.prior(), m.pressure("unknown", end), 1e-9)
	})
}

func TestModelSurvivesItsRecord(t *testing.T) {
	m := newPressureModel()
	for i := range 50 {
		m.observe(float64(i%3), map[string]float64{"a": 0.1, "b": float64(i%2) * 0.1})
	}
	m.highestHeadroom = 5
	back := restoreModel(m.record())
	require.NotNil(t, back)
	for _, image := range []string{"a", "b", "c"} {
		require.InDelta(t, m.pressure(image, at(1)), back.pressure(image, at(1)), 1e-9)
	}
	bad := m.record()
	bad.A = bad.A[:1]
	require.Nil(t, restoreModel(bad))
}

func TestSolveLinear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "n")
		x := make([]float64, n)
		a := make([][]float64, n)
		for i := range n {
			x[i] = rapid.Float64Range(-5, 5).Draw(t, "x")
			a[i] = make([]float64, n)
			for k := range n {
				a[i][k] = rapid.Float64Range(-1, 1).Draw(t, "a")
			}
			a[i][i] += 10 // well conditioned, like the matrix of a ridge regression
		}
		b := make([]float64, n)
		for i := range n {
			for k := range n {
				b[i] += a[i][k] * x[k]
			}
		}
		got, ok := solveLinear(a, b)
		require.True(t, ok)
		for i := range n {
			require.InDelta(t, x[i], got[i], 1e-6)
		}
	})
}

func TestExposureIsAveragedOverTheWindow(t *testing.T) {
	w := testWorker("w")
	f := &run{ref: RunRef{"f.0.0.0", 1}, worker: w, step: &Step{Image: "f"}}
	w.exposures.set(f, 0.2, at(0))
	require.InDelta(t, 0.1, w.exposures.average(at(0.25))["f"], 1e-9, "half of the window")
	require.InDelta(t, 0.2, w.exposures.average(at(3))["f"], 1e-9)
	w.exposures.set(f, 0.1, at(3))
	require.InDelta(t, 0.15, w.exposures.average(at(3.25))["f"], 1e-9, "a change of pace")
	w.exposures.set(f, 0, at(4))
	require.Zero(t, w.exposures.average(at(5))["f"])
}

func TestUrgencyOfSteps(t *testing.T) {
	q := Queue{Stretch: 2, Objective: time.Second}
	spec := Spec{Steps: []Step{{Count: 1, Estimate: 2 * time.Second}, {Count: 1, Estimate: time.Second, After: []int{0}}}}
	j := &job{spec: spec, chainEstimates: spec.Chains(), acceptedLocalTime: epoch}
	require.Equal(t, []time.Duration{3 * time.Second, time.Second}, j.chainEstimates)
	o := j.openOccurrence(0, time.Time{}, epoch)
	for _, c := range []struct {
		now   float64
		step  int
		class int
	}{
		{0, 0, urgencyOnTime}, {4, 0, urgencyOnTime}, {4.7, 0, urgencyOnTime}, {5, 0, urgencyLate}, {6.2, 1, urgencyOnTime}, {6.5, 1, urgencyLate}, {8, 1, urgencyLate}, {20.9, 1, urgencyLate}, {21.1, 1, urgencyExpired},
	} {
		class, _ := urgencyOf(at(c.now), j, o, c.step, q)
		require.Equal(t, c.class, class, "at %v s, step %d", c.now, c.step)
	}
}

func TestOrderOfWaitingWork(t *testing.T) {
	id := func(s string) *job { return &job{id: s} }
	waiting := []*waitingStep{
		{job: id("late"), urgency: urgencyLate}, {job: id("large"), priority: 2, remainingWork: 9}, {job: id("small"), priority: 2, remainingWork: 1},
		{job: id("first"), priority: 0, remainingWork: 100}, {job: id("urgent"), priority: 2, remainingWork: 1, slack: -time.Second},
	}
	sortWaitingSteps(waiting)
	var got []string
	for _, w := range waiting {
		got = append(got, w.job.id)
	}
	require.Equal(t, []string{"first", "urgent", "small", "large", "late"}, got)
}

func TestFeasibleWorkers(t *testing.T) {
	small := model.Resources{MilliCPU: 1000, MemoryMB: 1000}
	for name, c := range map[string]struct {
		change func(*worker, *taskRequest)
		want   bool
	}{
		"free":                 {func(*worker, *taskRequest) {}, true},
		"no room":              {func(w *worker, _ *taskRequest) { w.reserved = w.info.Capacity }, false},
		"no memory":            {func(w *worker, _ *taskRequest) { w.reserved.MemoryMB = 15500 }, false},
		"label missing":        {func(_ *worker, r *taskRequest) { r.step.Label = "b" }, false},
		"label there":          {func(_ *worker, r *taskRequest) { r.step.Label = "a" }, true},
		"bound per worker":     {func(w *worker, r *taskRequest) { r.step.PerWorker = 2; r.tasksPerWorker[w] = 2 }, false},
		"other rack":           {func(_ *worker, r *taskRequest) { r.rack = "r2" }, false},
		"no ticket":            {func(_ *worker, r *taskRequest) { r.tickets = map[Lifetime]string{{Worker: "x"}: "t"} }, false},
		"its copy is there":    {func(w *worker, r *taskRequest) { r.task.runs = []*run{{worker: w}} }, false},
		"probation":            {func(w *worker, _ *taskRequest) { w.health.quarantines = 1 }, true},
		"probation with a run": {func(w *worker, r *taskRequest) { w.health.quarantines = 1; testRun(w, r.step, 1) }, false},
		"probation of failed tasks": {func(w *worker, r *taskRequest) {
			w.health.quarantines, w.health.excludedUntil = 1, epoch.Add(-untriedTime+time.Millisecond)
			r.task.failed = []int{1}
		}, false},
		"longer probation of failed tasks": {func(w *worker, r *taskRequest) {
			w.health.quarantines, w.health.excludedUntil = 1, epoch.Add(-untriedTime)
			r.task.failed = []int{1}
		}, true},
		"longer probation with a run": {func(w *worker, r *taskRequest) {
			w.health.quarantines, w.health.excludedUntil = 1, epoch.Add(-untriedTime)
			testRun(w, r.step, 1)
		}, false},
	} {
		w := testWorker("w")
		r := taskRequest{step: &Step{Count: 1, Needs: small}, task: &task{}, tasksPerWorker: map[*worker]int{}}
		c.change(w, &r)
		h := newInterference()
		p := &placement{now: epoch, workers: []*worker{w}, interference: &h}
		require.Equal(t, c.want, p.chooseWorker(r) != nil, name)
	}
}

// The reservations on a worker must never exceed its capacity, whatever is placed.
func TestPlacementNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newInterference()
		p := &placement{now: epoch, interference: &h}
		for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
			p.workers = append(p.workers, testWorker(fmt.Sprint(i)))
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "tasks") {
			s := &Step{Count: 1, Filler: rapid.Bool().Draw(t, "filler"), Image: "i", Needs: model.Resources{
				MilliCPU: rapid.Int64Range(0, 9000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 9000).Draw(t, "memory")}}
			if w := p.chooseWorker(taskRequest{step: s, tasksPerWorker: map[*worker]int{}}); w != nil {
				testRun(w, s, i)
			}
		}
		for _, w := range p.workers {
			require.False(t, w.free().Negative(), "%v", w.reserved)
		}
	})
}

// A call of allRunsKnown before the tables are loaded finds no workers. It must not record for
// the whole term that all runs are known.
func TestRunsAreNotKnownBeforeTermIsLoaded(t *testing.T) {
	tm := &term{workers: map[model.WorkerID]*worker{}, metrics: newMetrics(nil), log: logrus.NewEntry(logrus.New())}
	require.False(t, tm.allRunsKnown())
	w := testWorker("w")
	w.inherited, w.answered, w.inheritedLeaseEnd = true, false, at(5)
	tm.workers["w"], tm.loaded = w, true
	require.False(t, tm.allRunsKnown())
	w.answered = true
	require.True(t, tm.allRunsKnown())
}

// The leader must not assume that a lease has ended before it has on the worker's clock, which
// may be up to 2% slow or fast.
func TestLeaseEndIsNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.98, 1.02).Draw(t, "rate")
		w := testWorker("w")
		clock := func(now time.Time) time.Duration {
			return time.Second + time.Duration(rate*float64(now.Sub(epoch)))
		}
		now := epoch
		var lease time.Duration
		for range rapid.IntRange(1, 8).Draw(t, "looks") {
			w.observeClock(clock(now).Truncate(time.Millisecond), now.Add(time.Duration(rapid.Int64Range(0, 50).Draw(t, "answer"))*time.Millisecond))
			now = now.Add(time.Duration(rapid.Int64Range(50, 3000).Draw(t, "pause")) * time.Millisecond)
			lease = max(lease, w.extendLease(now, 5*time.Second))
		}
		require.GreaterOrEqual(t, clock(w.leaseEnd()), lease)
	})
}

// A run whose start may have reached the next lifetime of a worker counted as over with the leases of
// the known one, whose deadlines mean nothing on the clock of the next.
func TestLeaseOfRunOfUnknownLifetime(t *testing.T) {
	for name, c := range map[string]struct {
		sentTo int64
		listed bool
		end    float64 // seconds
	}{
		"listed":                {0, true, 6.5},
		"sent to this lifetime": {7, false, 6.5},
		"sent to a former one":  {6, false, 6.5},
		"sent to nobody known":  {0, false, 24.5},
	} {
		t.Run(name, func(t *testing.T) {
			tm := newTestTerm(1)
			tm.cfg.Bounds.LeaseMax = 10 * time.Second
			w := testWorker("w")
			w.info.Born, w.answered = 7, true
			tm.workers["w"], tm.loaded = w, true
			w.observeClock(100*time.Second, at(1))
			r := testRun(w, &Step{Count: 1, Needs: model.Resources{MilliCPU: 1000}}, 0)
			r.state, r.sentTo, r.listed = runUnconfirmed, c.sentTo, c.listed
			tm.now, tm.lastRenewal = at(1), at(1)
			tm.extendLease(w)
			w.unansweredCalls, w.pollInFlight = 1, true
			for s := 1.0; s < 30; s += 0.1 {
				tm.now = epoch.Add(time.Duration(s * float64(time.Second)))
				tm.confirmedAt = tm.now
				tm.expireLeases()
				if len(w.runs) == 0 {
					require.LessOrEqual(t, s, c.end)
					require.Greater(t, s, c.end-1)
					return
				}
			}
			t.Fatal("the run is never lost")
		})
	}
}

// Runs of a worker that answered a new term once and then no more were taken for lost at once,
// while the lease of the former term still held.
func TestLeaseOfFormerTermHoldsAfterFirstAnswer(t *testing.T) {
	tm := newTestTerm(1)
	w := testWorker("w")
	w.inherited, w.answered, w.inheritedLeaseEnd = true, false, at(9)
	tm.workers["w"], tm.loaded, tm.now = w, true, at(1)
	report := Report{Clock: 100 * time.Second}
	pollReply{worker: w, report: report, sent: at(1)}.handle(tm)
	run := testRun(w, &Step{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 1000}}, 0)
	w.unansweredCalls, w.pollInFlight = 1, true
	tm.now, tm.confirmedAt = at(5), at(5)
	tm.expireLeases()
	require.Contains(t, w.runs, run.ref, "the lease lasts up to 5 s after the answer")
	tm.now, tm.confirmedAt = at(7), at(7)
	tm.expireLeases()
	require.Empty(t, w.runs)
}

// A leader that waited for answers before its release dropped the progress of jobs and did not
// renew.
func TestReleasingLeaderStoresProgressAndRenews(t *testing.T) {
	tm := newTestTerm(1)
	j := newJob("j", jobRecord{Spec: Spec{Steps: []Step{{Count: 1}}}}, 1, epoch)
	w := testWorker("w")
	testRun(w, &j.spec.Steps[0], 0).state = runSent
	tm.jobs["j"], tm.workers["w"], tm.loaded, tm.stopping, j.dirty = j, w, true, true, true
	tm.lastRenewal = epoch.Add(-renewInterval)
	c := tm.nextTransaction()
	require.NotNil(t, c)
	require.True(t, slices.ContainsFunc(c.tx.Puts, func(r Row) bool { return r.RowID == progressRow(tm.part, "j") }))
	require.True(t, c.renews)
	require.False(t, c.releases, "a start has no answer yet")
}

func TestProgressRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Spec{Steps: []Step{{Count: 3}, {Count: 2, After: []int{0}}}, Repeats: rapid.IntRange(0, 2).Draw(t, "repeats"), Interval: time.Second}
		toMonotonic := func(ms int64) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
		j := newJob("j", jobRecord{Spec: spec}, 1, epoch)
		j.openDue(at(10), 0, toMonotonic)
		for range rapid.IntRange(0, 20).Draw(t, "ends") {
			k := taskKey{rapid.IntRange(0, 1).Draw(t, "k"), rapid.IntRange(0, 1).Draw(t, "step"), rapid.IntRange(0, 2).Draw(t, "task")}
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				j.failTask(k, rapid.IntRange(1, 5).Draw(t, "attempt"), 4, epoch)
			} else if o := j.openOccurrenceAt(k.occurrence); o != nil && !o.steps[k.step].readyAt.IsZero() && k.index < spec.Steps[k.step].Count {
				j.finishTask(k, epoch)
			}
		}
		var p progressRecord
		require.NoError(t, decodeRecord(Row{Value: encode(j.progress())}, &p))
		back := newJob("j", jobRecord{Spec: spec}, 1, epoch)
		back.restore(p, epoch, toMonotonic)
		back.openDue(at(10), 0, toMonotonic)
		require.Equal(t, j.state(), back.state())
		require.Equal(t, j.finishedOccurrences, back.finishedOccurrences)
		if j.over() {
			return
		}
		for _, o := range j.occurrences {
			b := back.openOccurrenceAt(o.number)
			require.NotNil(t, b)
			for s := range o.steps {
				require.Equal(t, o.steps[s].remaining, b.steps[s].remaining)
				require.Equal(t, o.steps[s].readyAt.IsZero(), b.steps[s].readyAt.IsZero(), "step %d", s)
				for n := range o.steps[s].tasks {
					require.Equal(t, o.steps[s].tasks[n].done, b.steps[s].tasks[n].done)
					require.ElementsMatch(t, o.steps[s].tasks[n].failed, b.steps[s].tasks[n].failed)
				}
			}
		}
	})
}

func TestAttemptNumbersOfTermsAreDisjoint(t *testing.T) {
	j := &job{inherited: true}
	require.Equal(t, 1, (&job{}).nextAttempt(&task{}, 9), "a job of this term starts at attempt 1")
	require.Equal(t, 2*attemptsPerTerm+1, j.nextAttempt(&task{attempt: 3}, 3))
	require.Equal(t, 2*attemptsPerTerm+6, j.nextAttempt(&task{attempt: 2*attemptsPerTerm + 5}, 3))
}

func TestRoutes(t *testing.T) {
	table := newRouteTable([]Queue{{Name: "a", Host: "x", Prefix: "/a/"}, {Name: "ab", Host: "x", Prefix: "/a/b/"}, {Name: "y", Host: "y", Prefix: "/a/"}})
	for _, c := range []struct{ host, path, name, rest string }{
		{"x", "/a/1", "a", "1"}, {"X:80", "/a/b/1", "ab", "1"}, {"y", "/a/", "y", ""}, {"z", "/a/1", "", ""}, {"x", "/c/1", "", ""},
	} {
		q, rest, ok := table.find(c.host, c.path)
		require.Equal(t, c.name != "", ok)
		require.Equal(t, c.name, q.Name)
		require.Equal(t, c.rest, rest)
	}
}

func TestCampaignDue(t *testing.T) {
	f := leaderWatch{record: leaderRecord{Node: "a", Process: 1}, known: true, silentSince: epoch, jitter: 100 * time.Millisecond}
	require.False(t, f.campaignDue(at(1.9), "b", 1))
	require.True(t, f.campaignDue(at(2.1), "b", 1))
	require.True(t, f.campaignDue(at(0.1), "a", 2), "a former process of this node led")
	require.False(t, f.campaignDue(at(0.1), "a", 1))
	f.record.Released = true
	require.True(t, f.campaignDue(at(0.1), "b", 1))
	require.True(t, (&leaderWatch{silentSince: epoch}).campaignDue(at(0.1), "b", 1), "there has been no leader yet")
}

// A cell whose free workers were all on probation never offered them to the lost tasks of others.
func TestWorkersOnProbationAreOfferedToOtherCells(t *testing.T) {
	tm := newTestTerm(2)
	w := testWorker("w")
	tm.workers["w"] = w
	w.health.quarantine(at(0))
	tm.now = at(4.5)
	require.Empty(t, tm.largestFree())
	tm.now = at(5.5)
	require.Len(t, tm.largestFree(), 1)
}

func TestHealth(t *testing.T) {
	h := newHealth()
	h.recordFailure(at(0), true)
	require.False(t, h.excluded(at(0)), "one failure may be the task's own")
	h.recordFailure(at(0), true)
	require.True(t, h.excluded(at(3.9)))
	require.False(t, h.excluded(at(4.1)))
	require.True(t, h.onProbation())
	require.True(t, h.needsUntried(at(4.9)))
	require.False(t, h.needsUntried(at(5)), "there may be no task that has not failed")
	h.recordFailure(at(5), true)
	require.True(t, h.excluded(at(12.9)), "quarantines get longer")
	require.True(t, h.needsUntried(at(13.9)))
	h.recordSuccess(1)
	require.False(t, h.onProbation())
	for range 5 {
		h.recordSuccess(4)
	}
	require.True(t, h.isSlow())
}

func TestSpecs(t *testing.T) {
	one := Step{Count: 1}
	for name, s := range map[string]Spec{
		"no steps":       {},
		"no tasks":       {Steps: []Step{{}}},
		"too many":       {Steps: []Step{{Count: maxTasks + 1}}},
		"itself":         {Steps: []Step{{Count: 1, After: []int{0}}}},
		"negative needs": {Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: -1}}}},
		"repeats":        {Steps: []Step{one}, Repeats: -1},
	} {
		require.True(t, model.IsKind(s.Validate(), model.KindInvalid), name)
	}
	require.NoError(t, Spec{Steps: []Step{one, {Count: 2, After: []int{0}}}}.Validate())
}

// A task that is being stopped or starts up counts as not running. Otherwise two machines that
// are evacuated at the same time could interrupt two tasks of a step that allows only one.
func TestMayInterrupt(t *testing.T) {
	spec := Spec{Steps: []Step{{Count: 3, Lasting: true, MaxInterrupted: 1}}}
	j := newJob("j", jobRecord{Spec: spec}, 1, epoch)
	j.openDue(epoch, 0, nil)
	w := testWorker("w")
	var runs []*run
	for i := range 3 {
		_, tk := j.task(taskKey{0, 0, i})
		r := &run{job: j, key: taskKey{0, 0, i}, step: &j.spec.Steps[0], worker: w, state: runLive, percent: readyPercent}
		tk.runs = append(tk.runs, r)
		runs = append(runs, r)
	}
	tm := &term{}
	require.True(t, tm.mayInterrupt(runs[0]))
	runs[0].state = runStopping
	require.False(t, tm.mayInterrupt(runs[1]))
	runs[0].state, runs[0].percent = runLive, 50
	require.False(t, tm.mayInterrupt(runs[1]), "a task that starts up counts as not running")
	runs[0].percent = readyPercent
	_, tk := j.task(taskKey{0, 0, 2})
	tk.runs = nil
	require.False(t, tm.mayInterrupt(runs[1]))
}

// A lasting task that has run before is placed before tasks that never ran, which would take
// the capacity that it has lost. If it fits on no worker now, it claims the room of one: other work is
// kept away from it until the task fits.
func TestWorkerIsReservedForRestart(t *testing.T) {
	tm := newTestTerm(1)
	tm.queues["q"] = Queue{Name: "q", Service: "svc"}
	tm.lastRenewal, tm.loaded, tm.runsKnown = epoch, true, true
	service := Step{Count: 2, Needs: model.Resources{MilliCPU: 10000, MemoryMB: 100}, Lasting: true, Image: "a"}
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{service}}}, 1, epoch)
	j.openDue(epoch, 0, tm.monotonicTime)
	j.occurrences[0].steps[0].tasks[1].attempt = 1
	waiting := tm.appendWaitingSteps(nil, j, j.occurrences[0], tm.queues["q"])
	require.Len(t, waiting, 2)
	sortWaitingSteps(waiting)
	require.True(t, waiting[0].restart)
	require.Equal(t, []int{1}, waiting[0].tasks)

	short := &Step{Needs: model.Resources{MilliCPU: 8000, MemoryMB: 100}}
	half, full := testWorker("half"), testWorker("full")
	testRun(half, short, 0)
	testRun(full, &service, 1)
	tm.workers["half"], tm.workers["full"] = half, full
	pools := placements{}
	tm.claimRoom(pools, waiting)
	p := pools["svc"]
	require.Nil(t, p.chooseWorker(taskRequest{step: &service}))
	require.False(t, p.feasible(half, taskRequest{step: short}), "claimed for the lasting task")
	require.NotContains(t, p.claimed, full, "the task would not fit there without short work either")
	smaller := service
	smaller.Needs.MilliCPU = 6000
	require.True(t, p.feasible(half, taskRequest{step: &smaller, restart: true}), "another restart that fits now beside the claim may use the worker")
	smaller.Needs.MilliCPU = 7000
	require.False(t, p.feasible(half, taskRequest{step: &smaller, restart: true}), "it would take what is claimed")
}

// Without renewals leases get shorter, so that all of them end within maxLeaseReach after the
// last renewal. The next leader relies on that bound.
func TestLeasesShortenWithoutRenewals(t *testing.T) {
	tm := newTestTerm(1)
	tm.cfg.Bounds.LeaseMax = 10 * time.Second
	for since, want := range map[time.Duration]time.Duration{0: maxLease, 3 * time.Second: maxLease, 4 * time.Second: maxLease, 6500 * time.Millisecond: 2500 * time.Millisecond} {
		tm.now, tm.lastRenewal = epoch.Add(since), epoch
		require.Equal(t, want, tm.leaseLength(), "%v", since)
	}
	require.Greater(t, maxLeaseReach, maxOrderAge)
}

// A leader that has released leadership grants no more leases. Its last ones end maxLease after
// the release, and those of a leader before it, unless it has accounted for them, maxLeaseReach after
// that leader's last renewal.
func TestReleasedLeadersLeases(t *testing.T) {
	for _, c := range []struct {
		name       string
		record     leaderRecord
		seen, want time.Time
	}{
		{"all runs known", leaderRecord{RunsKnown: true}, epoch, epoch.Add(maxLease)},
		{"all runs known, seen earlier", leaderRecord{RunsKnown: true, FormerRenewalMS: 2000}, at(-3), at(-3).Add(maxLease)},
		{"leases of a leader before it", leaderRecord{FormerRenewalMS: 2000}, epoch, at(-2).Add(maxLeaseReach)},
		{"the same, seen earlier", leaderRecord{FormerRenewalMS: 2000}, at(-1), at(-3).Add(maxLeaseReach)},
		{"leases that reach further", leaderRecord{FormerRenewalMS: -2000}, at(-1), at(1).Add(maxLeaseReach)},
		{"its own last longer", leaderRecord{FormerRenewalMS: 5000}, epoch, epoch.Add(maxLease)},
		{"older version", leaderRecord{}, at(-0.1), at(-0.1).Add(maxLeaseReach)},
	} {
		c.record.Released = true
		f := leaderWatch{known: true, record: c.record, sentBy: c.seen}
		require.Equal(t, c.want, f.formerLeaderRenewedBy(epoch).Add(maxLeaseReach), c.name)
	}
}

// Leaders of versions that store no lease reach grant full leases until maxOrderAge after the
// last renewal. The next leader must wait for these longer leases.
func TestLeaseReachOfOlderVersions(t *testing.T) {
	f := leaderWatch{known: true, sentBy: epoch}
	require.Equal(t, epoch.Add(maxOrderAge+maxLease), f.formerLeaderRenewedBy(at(3)).Add(maxLeaseReach))
	require.NoError(t, decodeRecord(Config{}.renewalRow("", leaderRecord{}), &f.record))
	require.Equal(t, epoch.Add(maxLeaseReach), f.formerLeaderRenewedBy(at(3)).Add(maxLeaseReach))
}

// The row of an idle worker that has left stayed stored for the rest of the term.
func TestRowOfIdleDepartedWorkerIsDeleted(t *testing.T) {
	tm := newTestTerm(1)
	tm.now, tm.loaded = at(1), true
	w := testWorker("w")
	w.clockAt, w.listed = at(0.5), false
	tm.workers["w"] = w
	tm.now, tm.confirmedAt = at(60), at(60)
	tm.expireLeases()
	require.NotEmpty(t, tm.usedRowsToDelete)
}
