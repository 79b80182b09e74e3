package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// silentWorkers answers no order; tests deliver answers to the term themselves.
type silentWorkers struct{}

func (silentWorkers) Start(ctx context.Context, _ WorkerInfo, _ StartOrder) (WorkerReply, error) {
	<-ctx.Done()
	return WorkerReply{}, ctx.Err()
}

func (silentWorkers) Stop(ctx context.Context, _ WorkerInfo, _ RunRef, _ uint64) (WorkerReply, error) {
	<-ctx.Done()
	return WorkerReply{}, ctx.Err()
}

func (silentWorkers) Poll(ctx context.Context, _ WorkerInfo, _ PollOrder) (Report, error) {
	<-ctx.Done()
	return Report{}, ctx.Err()
}

func (silentWorkers) Pace(ctx context.Context, _ WorkerInfo, _ RunRef, _ int, _ uint64) (WorkerReply, error) {
	<-ctx.Done()
	return WorkerReply{}, ctx.Err()
}

// loadedTerm returns a term that may plan, without workers and jobs. Its orders get no answer.
func loadedTerm(t interface{ Cleanup(func()) }) *term {
	tm := newTestTerm(1)
	tm.ctx, tm.cancel = context.WithCancel(context.Background())
	t.Cleanup(tm.cancel)
	tm.cfg.Workers = silentWorkers{}
	tm.layout = &layout{Cells: 1}
	tm.loaded, tm.runsKnown, tm.now, tm.lastRenewal = true, true, epoch, epoch
	tm.queues["q"] = Queue{Name: "q", Service: "svc", Stretch: 2, Objective: time.Second}
	return tm
}

// addService adds a service to w with a headroom beside no fillers.
func addService(tm *term, w *worker, index int, milliCPU int64, headroom float64) *run {
	s := testRun(w, &Step{Count: 1, Lasting: true, Image: "s", LatencyTarget: 100 * time.Millisecond, Needs: model.Resources{MilliCPU: milliCPU}}, index)
	s.lastSample = headroomSample{reportedAt: tm.now, headroom: headroom, baseline: headroom}
	if headroom < 1 {
		s.overTargetSince = tm.now
	}
	return s
}

// answerStarts confirms all starts and sets the paces that they were to get.
func answerStarts(tm *term) {
	for _, w := range tm.workers {
		for _, r := range w.runs {
			if r.state != runSent {
				continue
			}
			pace := r.startPace
			tm.confirmStart(r)
			if pace > 0 {
				paceReply{r, w, pace, nil}.handle(tm)
			}
		}
	}
}

// While less than half of the processors are reserved, each job with a ready task has something
// running within 2 s, in every order of submissions: with services over their targets and slow
// workers beside others, with fillers of all sizes and with a backlog of 500 jobs.
func TestEachJobRunsWhileProcessorsAreFree(t *testing.T) {
	t.Parallel()
	const bound = 2 * time.Second
	heavy := modelOf(4, map[string]float64{"f": 8})
	rapid.Check(t, func(t *rapid.T) {
		tm := loadedTerm(t)
		tm.interference.models["s"] = heavy
		jobs := rapid.IntRange(1, 500).Draw(t, "jobs")
		// Half of the reduced runs that fit, on workers whose services are within their targets.
		sound := 1 + 2*jobs/maxReducedRuns
		for i := range sound + rapid.IntRange(0, 20).Draw(t, "unsound") {
			w := testWorker(fmt.Sprintf("w%03d", i))
			w.info.Capacity.MemoryMB = 64_000
			if rapid.Bool().Draw(t, "slow") {
				w.health.runTimeRatio = 6
			}
			tm.workers[w.info.Worker] = w
			headroom := rapid.Float64Range(1.01, 1.4).Draw(t, "headroom")
			if i >= sound {
				headroom = 0.8
			}
			if rapid.Bool().Draw(t, "crowded") {
				w.fillerMilliCPU = w.info.Capacity.MilliCPU + 8000
			}
			addService(tm, w, 1000+i, rapid.Int64Range(500, 7500).Draw(t, "service"), headroom)
		}
		for range jobs {
			needs := model.Resources{MilliCPU: rapid.Int64Range(1000, 8000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(100, 2000).Draw(t, "memory")}
			spec := Spec{Steps: []Step{{Count: rapid.IntRange(1, 20).Draw(t, "tasks"), Filler: true, Checkpoints: true, Image: "f", Needs: needs, Estimate: 3 * time.Second}}}
			j := newJob(fmt.Sprintf("%016x", rapid.Uint64().Draw(t, "id")), jobRecord{Queue: "q", Spec: spec}, 0, epoch.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age"))*time.Second))
			j.openOccurrence(0, time.Time{}, epoch)
			tm.jobs[j.id] = j
		}
		for tm.now.Sub(epoch) < bound {
			tm.plan()
			answerStarts(tm)
			tm.now = tm.now.Add(tickInterval)
			tm.lastRenewal = tm.now
		}
		for _, j := range tm.jobs {
			_, idle := j.idleSince()
			require.False(t, idle, "job %s", j.id)
		}
		for _, w := range tm.workers {
			require.False(t, w.free().Negative(), "memory of %s", w.info.Worker)
			for _, r := range w.runs {
				require.False(t, r.reduced && !tm.interference.viewOf(w, tm.now).acceptsFillers(tm.now), "beside a service over its target")
			}
		}
	})
}

// Where services reserve the processors, fillers that no service tolerates at full pace wait. In a cell that is
// fuller than others they waited until the end beside a fleet that was mostly free.
func TestNoReducedStartWhereServicesReserveMostProcessors(t *testing.T) {
	for name, c := range map[string]struct {
		others []cellLoad
		runs   int
	}{
		"one cell":            {nil, 1},
		"other cell is full":  {[]cellLoad{{Capacity: 16_000, Reserved: 9000}}, 1},
		"other cells are not": {[]cellLoad{{Capacity: 16_000, Reserved: 9000}, {Capacity: 16_000, Reserved: 4000}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			w := testWorker("w")
			tm.workers["w"] = w
			tm.interference.models["s"] = modelOf(4, map[string]float64{"f": 8})
			addService(tm, w, 100, 9000, 1.2)
			j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 2, Filler: true, Image: "f", Needs: model.Resources{MilliCPU: 1800}}}}}, 0, epoch)
			j.openOccurrence(0, time.Time{}, epoch)
			tm.jobs["j"] = j
			tm.now, tm.lastRenewal = at(5), at(5)
			tm.cellLoads = func() []reportedLoad {
				var loads []reportedLoad
				for i, l := range c.others {
					loads = append(loads, reportedLoad{i + 1, l, tm.now})
				}
				return loads
			}
			tm.plan()
			require.Len(t, w.runs, c.runs)
		})
	}
}

// A leader stopped the fillers that an earlier one had started as paused for too long, when it had
// not set their pace yet.
func TestAdoptedFillerIsPausedBeforeItIsStopped(t *testing.T) {
	tm := loadedTerm(t)
	w := testWorker("w")
	tm.workers["w"] = w
	tm.interference.models["s"] = modelOf(4, map[string]float64{"f": 8})
	addService(tm, w, 100, 9000, 1.01)
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Filler: true, Checkpoints: true, Image: "f", Needs: model.Resources{MilliCPU: 1800}}}}}, 0, epoch)
	j.openOccurrence(0, time.Time{}, epoch)
	tm.jobs["j"] = j
	r := tm.adopt(w, RunStatus{RunRef: RunRef{"j.0.0.0", 1}})
	tm.adjustPaces(w)
	require.Equal(t, runLive, r.state)
	require.True(t, r.paceInFlight)
	paceReply{r, w, 0, nil}.handle(tm)
	tm.now = tm.now.Add(pausedTimeout + time.Millisecond)
	w.pacesDue = true
	tm.adjustPaces(w)
	require.Equal(t, runStopping, r.state)
}

// A job whose only run repeats a task that had been done unseen on a lost worker had nothing else
// running. Tasks that are certainly not done come first; where there is none, further ones start.
func TestIdleJobStartsTaskThatIsNotDone(t *testing.T) {
	for name, c := range map[string]struct {
		lost []int
		want []int // tasks with a run after some plans
	}{
		"first lost": {[]int{0}, []int{1}},
		"all lost":   {[]int{0, 1, 2, 3, 4}, []int{0, 1, 2, 3}},
		"none lost":  {nil, []int{0}},
		"full pace":  {[]int{0, 2, 3, 4}, []int{0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			tm.interference.models["s"] = modelOf(4, map[string]float64{"f": 8})
			for i := range 5 {
				w := testWorker(fmt.Sprint("w", i))
				tm.workers[w.info.Worker] = w
				addService(tm, w, 100+i, 4000, 1.1)
			}
			lostOn := testWorker("lost")
			j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 5, Filler: true, Checkpoints: true, Image: "f", Needs: model.Resources{MilliCPU: 8000}}}}}, 0, epoch)
			o := j.openOccurrence(0, time.Time{}, epoch)
			tm.jobs["j"] = j
			for _, i := range c.lost {
				r := tm.startAttempt(j, taskKey{0, 0, i}, lostOn, "", 1, "")
				tm.confirmStart(r)
				tm.markLost(r, reasonRestarted)
			}
			if name == "full pace" {
				tm.confirmStart(tm.startAttempt(j, taskKey{0, 0, 0}, tm.workers["w0"], "", 2, ""))
			}
			for range 100 {
				tm.now = tm.now.Add(50 * time.Millisecond)
				tm.lastRenewal = tm.now
				tm.plan()
				answerStarts(tm)
			}
			var running []int
			for i := range o.steps[0].tasks {
				if o.steps[0].tasks[i].hasRun() {
					running = append(running, i)
				}
			}
			require.Equal(t, c.want, running)
		})
	}
}

// A task whose start got no answer before its worker was lost was taken for one that is certainly not done, and its
// next run for a proof that something of its job runs.
func TestTaskOfUnansweredStartMayBeDone(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(tm *term, r *run)
		reason  string
		want    bool
	}{
		"answered, leases end":                  {func(tm *term, r *run) { tm.confirmStart(r) }, reasonLeaseOver, true},
		"not answered, leases end":              {nil, reasonLeaseOver, true},
		"not answered, worker restarts":         {nil, reasonRestarted, true},
		"not answered, passed, then missing":    {func(tm *term, r *run) { tm.passRun(r, testWorker("w")) }, reasonMissing, true},
		"not answered, passed, then stopped":    {func(tm *term, r *run) { tm.passRun(r, testWorker("w")) }, reasonStoppedUnseen, true},
		"not answered, stopped by the lifetime": {nil, reasonStoppedUnseen, false},
		"refused":                               {nil, reasonRefused, false},
		"not sent":                              {nil, reasonNotSent, false},
		"held back, worker restarts":            {func(_ *term, r *run) { r.state = runHeld }, reasonRestarted, false},
	} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1}}}}, 0, epoch)
			o := j.openOccurrence(0, time.Time{}, epoch)
			tm.jobs["j"] = j
			r := tm.startAttempt(j, taskKey{0, 0, 0}, testWorker("w"), "", 1, "")
			if c.prepare != nil {
				c.prepare(tm, r)
			}
			tm.markLost(r, c.reason)
			require.Equal(t, c.want, o.steps[0].tasks[0].mayBeDone)
		})
	}
}

// A plan whose last step started more than was left of its bound ended the leader's process.
func TestPlanMayExceedItsBoundOfStarts(t *testing.T) {
	tm := newTestTerm(1)
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	p := tm.newPlacement(w.info.Service)
	require.NotPanics(t, func() { tm.startIdleJobs(p, nil, -40) })
}

// Each service had the whole rest of a plan's starts for its idle jobs.
func TestServicesShareStartsOfIdleJobs(t *testing.T) {
	tm := loadedTerm(t)
	tm.interference.models["s"] = modelOf(4, map[string]float64{"f": 8})
	pools := placements{}
	for i, service := range []model.ServiceName{"svc", "other"} {
		tm.queues[string(service)] = Queue{Name: string(service), Service: service}
		w := testWorker("w-" + string(service))
		w.info.Service = service
		tm.workers[w.info.Worker] = w
		addService(tm, w, i, 4000, 1.15) // too near its target for a filler at full pace
		spec := Spec{Steps: []Step{{Count: 1, Filler: true, Image: "f", Needs: model.Resources{MilliCPU: 1800, MemoryMB: 100}, Estimate: 3 * time.Second}}}
		j := newJob(fmt.Sprintf("%016x", i), jobRecord{Queue: string(service), Spec: spec}, 0, epoch)
		j.openOccurrence(0, time.Time{}, epoch)
		tm.jobs[j.id] = j
		tm.placementOf(pools, service)
	}
	tm.now, tm.lastRenewal = at(5), at(5)
	waiting := tm.collectWaitingSteps()
	for _, w := range waiting {
		w.state().waits = waitsForHeadroom
	}
	tm.searchIdleJobs(pools, waiting, 1)
	started := -len(tm.workers) // one service on each
	for _, w := range tm.workers {
		started += len(w.runs)
	}
	require.Equal(t, 1, started)
}
