package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// pressedTerm returns a loaded term in which fillers press hard on services.
func pressedTerm(t *testing.T) *term {
	t.Helper()
	tm := loadedTerm(t)
	tm.interference.models["s"] = modelOf(4, map[string]float64{"f": 8})
	return tm
}

// addWorker adds a worker with a service that does not tolerate a large filler at full pace, if its
// headroom is small.
func addWorker(tm *term, id string, index int, headroom float64) *worker {
	w := testWorker(id)
	tm.workers[w.info.Worker] = w
	addService(tm, w, index, 4000, headroom)
	return w
}

// addFillerJob adds an expired job of one filler step.
func addFillerJob(tm *term, id string, step Step) *job {
	step.Filler, step.Image = true, "f"
	j := newJob(id, jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, tm.now.Add(-time.Minute))
	j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[id] = j
	return j
}

// planFor plans at each tick for d. All starts are answered.
func planFor(tm *term, d time.Duration) {
	for end := tm.now.Add(d); tm.now.Before(end); {
		tm.now = tm.now.Add(tickInterval)
		tm.lastRenewal = tm.now
		tm.plan()
		if len(tm.heldStarts) > 0 {
			storeProgress(tm)
		}
		answerStarts(tm)
	}
}

// storeProgress applies a transaction with the progress of all jobs.
func storeProgress(tm *term) {
	c, _ := tm.collectTransaction()
	for _, u := range c.updates {
		u.job.visibleState = u.state
	}
	tm.sendHeldStarts()
}

// Idle jobs that no worker could take kept the jobs behind them from a start at a reduced pace.
func TestIdleJobsThatFitNowhereDelayNoOther(t *testing.T) {
	tm := pressedTerm(t)
	addWorker(tm, "small", 100, 1.1).info.Capacity.MemoryMB = 1000
	addWorker(tm, "pressed", 101, 0.8)
	for i := range maxStartsPerPlan {
		addFillerJob(tm, fmt.Sprintf("%03d", i), Step{Count: 1, Needs: model.Resources{MilliCPU: 8000, MemoryMB: 2000}})
	}
	tm.now = at(0.1)
	j := addFillerJob(tm, "last", Step{Count: 1, Needs: model.Resources{MilliCPU: 8000, MemoryMB: 100}})
	planFor(tm, 2*time.Second)
	_, idle := j.idleSince()
	require.False(t, idle)
}

// A run at a reduced pace worked at full pace when a report listed it before its start was answered.
func TestReducedPaceIsSetWhenReportListsTheRunFirst(t *testing.T) {
	tm := pressedTerm(t)
	w := addWorker(tm, "w", 100, 1.1)
	j := addFillerJob(tm, "a", Step{Count: 1, Needs: model.Resources{MilliCPU: 8000}})
	tm.now = at(2)
	tm.lastRenewal = tm.now
	tm.plan()
	r := j.occurrences[0].steps[0].tasks[0].runs[0]
	require.True(t, r.reduced)
	tm.applyRunning(w, []RunStatus{{RunRef: r.ref}})
	require.Equal(t, runLive, r.state)
	require.True(t, r.paceInFlight)
	startReply{run: r, worker: w, reply: WorkerReply{Verdict: StartRunning}}.handle(tm)
	require.Zero(t, r.startPace)
}

// A run whose first pace order got no answer counted as reduced for good beside a service with
// headroom: it worked at full pace, and its worker took no other start at a reduced pace.
func TestReducedRunWithoutAnswerToItsPaceDoesNotStayReduced(t *testing.T) {
	tm := pressedTerm(t)
	w := addWorker(tm, "w", 100, 1.1)
	j := addFillerJob(tm, "a", Step{Count: 1, Needs: model.Resources{MilliCPU: 8000}})
	tm.now = at(2)
	tm.lastRenewal = tm.now
	tm.plan()
	r := j.occurrences[0].steps[0].tasks[0].runs[0]
	tm.confirmStart(r)
	paceReply{run: r, worker: w, percent: idlePace, err: context.DeadlineExceeded}.handle(tm)
	for _, s := range w.runs {
		s.lastSample = headroomSample{reportedAt: tm.now, headroom: 4, baseline: 7}
	}
	w.pacesDue, w.interferenceView = true, nil
	tm.adjustPaces(w)
	require.True(t, r.paceInFlight)
	paceReply{run: r, worker: w, percent: 100}.handle(tm)
	require.False(t, r.reduced)
	require.Zero(t, w.reducedMilliCPU)
}

// The only runs of a job were paused for good when they would have lost too much progress by a stop.
func TestPausedRunsThatAreNotStoppedGoOnAtReducedPace(t *testing.T) {
	for _, tasks := range []int{1, 2} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			tm := pressedTerm(t)
			j := addFillerJob(tm, "a", Step{Count: tasks, Needs: model.Resources{MilliCPU: 8000}})
			var runs []*run
			for i := range tasks {
				w := addWorker(tm, fmt.Sprint("w", i), 100+i, 1.1)
				r := tm.startAttempt(j, taskKey{0, 0, i}, w, "", 1, "")
				tm.confirmStart(r)
				r.percent = maxRestartPercent
				paceReply{run: r, worker: w}.handle(tm)
				runs = append(runs, r)
			}
			tm.now = tm.now.Add(pausedTimeout)
			for range 10 {
				tm.now = tm.now.Add(paceRaiseInterval)
				tm.lastRenewal = tm.now
				for _, r := range runs {
					r.worker.pacesDue = true
					tm.adjustPaces(r.worker)
					if r.paceInFlight {
						paceReply{run: r, worker: r.worker, percent: idlePace}.handle(tm)
					}
				}
			}
			require.Equal(t, idlePace, runs[0].pace)
			for _, r := range runs {
				require.Equal(t, runLive, r.state)
			}
		})
	}
}

// A worker on probation takes one run. One at a reduced pace shows no progress for a long time, which
// kept all other work away.
func TestReducedRunIsNoTrialOfWorkerOnProbation(t *testing.T) {
	tm := pressedTerm(t)
	w := addWorker(tm, "probation", 100, 1.12)
	for _, r := range w.runs {
		r.startedAt = epoch.Add(-2 * time.Minute)
	}
	w.health.quarantine(epoch.Add(-time.Minute))
	addWorker(tm, "other", 101, 1.1)
	j := addFillerJob(tm, "a", Step{Count: 1, Needs: model.Resources{MilliCPU: 8000}})
	planFor(tm, 2*time.Second)
	runs := j.occurrences[0].steps[0].tasks[0].runs
	require.Len(t, runs, 1)
	require.Equal(t, model.WorkerID("other"), runs[0].worker.info.Worker)
}

// A job of which something became ready more often than each idleLimit was never idle.
func TestJobIsIdleWhileMoreOfItBecomesReady(t *testing.T) {
	tm := pressedTerm(t)
	addWorker(tm, "w", 100, 1.1)
	j := addFillerJob(tm, "a", Step{Count: 1, Needs: model.Resources{MilliCPU: 8000}})
	for i := range 5 {
		planFor(tm, idleLimit/2)
		j.openOccurrence(i+1, tm.now, tm.now)
	}
	_, idle := j.idleSince()
	require.False(t, idle)
}

// Runs that had started at a reduced pace beside fillers that use all processors rose to full pace:
// the fillers of a worker demanded several times its processors.
func TestReducedRunsRiseOnlyToSpareProcessors(t *testing.T) {
	tm := pressedTerm(t)
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	addFillerJob(tm, "long", Step{Count: 8, Needs: model.Resources{MilliCPU: 2000}})
	planFor(tm, time.Second)
	for i := range 20 {
		addFillerJob(tm, fmt.Sprint("idle", i), Step{Count: 1, Needs: model.Resources{MilliCPU: 1800}})
	}
	log, lines := logtest.NewNullLogger()
	tm.log = logrus.NewEntry(log)
	for range 20 {
		planFor(tm, paceRaiseInterval)
		w.pacesDue = true
		lines.Reset()
		tm.adjustPaces(w)
		for _, line := range lines.AllEntries() {
			ref := RunRef{line.Data["task"].(TaskName), line.Data["attempt"].(int)}
			paceReply{run: w.runs[ref], worker: w, percent: line.Data["percent"].(int)}.handle(tm)
		}
	}
	demand, reduced := int64(0), 0
	for _, r := range w.runs {
		demand += r.step.Needs.MilliCPU * int64(r.pace) / 100
		if r.reduced {
			reduced++
		}
	}
	require.Equal(t, maxReducedRuns, reduced)
	require.LessOrEqual(t, demand, w.info.Capacity.MilliCPU+maxReducedRuns*1800*idlePace/100)
}

// Runs at a reduced pace held the memory that a lost lasting task needs for as long as they took.
func TestReducedRunsDoNotKeepLastingTaskFromRestart(t *testing.T) {
	tm := pressedTerm(t)
	w := addWorker(tm, "w", 100, 1.1)
	for i := range 6 {
		addFillerJob(tm, fmt.Sprint("idle", i), Step{Count: 1, Checkpoints: true, Needs: model.Resources{MilliCPU: 8000, MemoryMB: 2400}, Estimate: 10 * time.Minute})
	}
	planFor(tm, 3*time.Second)
	j := newJob("lasting", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 2000, MemoryMB: 4000}}}}}, 0, tm.now)
	o := j.openOccurrence(0, time.Time{}, tm.now)
	j.started, o.steps[0].tasks[0].attempt = true, 1
	tm.jobs[j.id] = j
	for range 40 {
		planFor(tm, 500*time.Millisecond)
		tm.checkRuns()
		for _, r := range w.runs {
			if r.state == runStopping {
				tm.applyEnd(w, RunEnd{RunRef: r.ref, Number: w.lastSeenEnd + 1, How: EndStopped})
			}
		}
	}
	require.True(t, o.steps[0].tasks[0].hasRun())
	require.False(t, w.free().Negative())
}

// A run at a reduced pace that hangs is the only run of its job, and nothing looked after it.
func TestHungReducedRunIsStopped(t *testing.T) {
	tm := pressedTerm(t)
	w := addWorker(tm, "w", 100, 1.1)
	j := addFillerJob(tm, "a", Step{Count: 1, Checkpoints: true, Needs: model.Resources{MilliCPU: 8000}, Estimate: time.Second})
	planFor(tm, 2*time.Second)
	runs := j.occurrences[0].steps[0].tasks[0].runs
	require.Len(t, runs, 1)
	r := runs[0]
	for range 10 * 60 {
		tm.now = tm.now.Add(time.Second)
		tm.lastRenewal, w.lastPollSent, w.clockAt = tm.now, tm.now, tm.now
		tm.applyRunning(w, []RunStatus{{RunRef: r.ref}})
		tm.checkRuns()
	}
	t.Log("pace", r.pace, "reduced", r.reduced, "reason", r.stopReason)
	require.Equal(t, "hung", r.stopReason, "a percent takes 0.33 s at this pace")
}

// A job whose last run was done a moment ago counted as idle since its first task was ready.
func TestJobIsNotIdleJustAfterATaskWasDone(t *testing.T) {
	tm := pressedTerm(t)
	w := addWorker(tm, "w", 100, 1.1)
	j := addFillerJob(tm, "a", Step{Count: 2, Needs: model.Resources{MilliCPU: 8000}})
	first := tm.startAttempt(j, taskKey{0, 0, 0}, w, "", 1, "")
	tm.confirmStart(first)
	planFor(tm, 5*time.Second)
	tm.applyEnd(w, RunEnd{RunRef: first.ref, Number: 1, How: EndDone})
	second := &j.occurrences[0].steps[0].tasks[1]
	planFor(tm, idleLimit-tickInterval)
	require.False(t, second.hasRun())
	planFor(tm, 3*tickInterval)
	require.True(t, second.hasRun())
}

// Where all workers were on probation and services tolerated no filler at full pace, idle jobs waited
// for good. A run at a reduced pace is not the trial of such a worker, so it keeps no other work away.
func TestIdleJobsRunWhereAllWorkersAreOnProbation(t *testing.T) {
	tm := pressedTerm(t)
	var workers []*worker
	for i := range 2 {
		w := addWorker(tm, fmt.Sprint("w", i), 100+i, 1.1)
		for _, r := range w.runs {
			r.startedAt = epoch.Add(-2 * time.Minute)
		}
		w.health.quarantine(epoch.Add(-time.Minute))
		workers = append(workers, w)
	}
	idle := addFillerJob(tm, "a", Step{Count: 1, Needs: model.Resources{MilliCPU: 8000}})
	planFor(tm, 2*time.Second)
	require.True(t, idle.occurrences[0].steps[0].tasks[0].hasRun())
	for i := range workers {
		j := newJob(fmt.Sprint("short", i), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: 1000}}}}}, 0, tm.now)
		j.openOccurrence(0, time.Time{}, tm.now)
		tm.jobs[j.id] = j
	}
	planFor(tm, tickInterval)
	for _, w := range workers {
		require.True(t, w.hasTrialRun(), w.info.Worker)
	}
}

// A service of many tasks had nothing running for many seconds after a burst of short work, although most
// processors were free.
func TestServiceDoesNotIdleBehindCapacityHeldForShortWork(t *testing.T) {
	tm := loadedTerm(t)
	for i := range 4 {
		w := testWorker(fmt.Sprint("w", i))
		tm.workers[w.info.Worker] = w
	}
	tm.shortWork[shortKey{"svc", 0}] = &shortDemand{peak: 200_000, observed: tm.now}
	spec := Spec{Steps: []Step{{Count: 10, Lasting: true, Image: "s", Needs: model.Resources{MilliCPU: 4000, MemoryMB: 100}}}}
	j := newJob("a", jobRecord{Queue: "q", Spec: spec}, 0, tm.now)
	o := j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	planFor(tm, idleLimit-tickInterval)
	require.Equal(t, waitsForHeldCapacity, o.steps[0].waits)
	planFor(tm, 3*tickInterval)
	_, idle := j.idleSince()
	require.False(t, idle)
	require.Equal(t, waitsForHeldCapacity, o.steps[0].waits, "its other tasks")
}

// Runs at a reduced pace held the memory that short work and new services need for as long as they
// took: a job idled beside free processors for minutes.
func TestReducedRunsKeepNoOtherJobIdle(t *testing.T) {
	for name, step := range map[string]Step{
		"short":   {Count: 1, Needs: model.Resources{MilliCPU: 2000, MemoryMB: 4000}, Estimate: time.Second},
		"lasting": {Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 2000, MemoryMB: 4000}},
	} {
		t.Run(name, func(t *testing.T) {
			tm := pressedTerm(t)
			w := addWorker(tm, "w", 100, 1.1)
			for i := range 12 {
				addFillerJob(tm, fmt.Sprint("idle", i), Step{Count: 1, Checkpoints: true, Needs: model.Resources{MilliCPU: 8000, MemoryMB: 2400}, Estimate: 10 * time.Minute})
			}
			planFor(tm, 3*time.Second)
			require.Less(t, w.free().MemoryMB, int64(4000))
			j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, tm.now)
			o := j.openOccurrence(0, time.Time{}, tm.now)
			tm.jobs[j.id] = j
			end := uint64(0)
			for range 4 {
				planFor(tm, idleLimit/2)
				for _, r := range w.runs {
					if r.state == runStopping {
						end++
						tm.applyEnd(w, RunEnd{RunRef: r.ref, Number: end, How: EndStopped})
						planFor(tm, 2*idleCheckInterval) // the runs end one after the other
					}
				}
			}
			require.True(t, o.steps[0].tasks[0].hasRun())
			require.False(t, w.free().Negative())
		})
	}
}

// The worker on which room is made for a lost lasting task changed from plan to plan, and runs at a
// reduced pace were stopped on many workers for one task.
func TestRoomForLostTaskIsMadeOnOneWorker(t *testing.T) {
	tm := pressedTerm(t)
	for i := range 6 {
		addWorker(tm, fmt.Sprint("w", i), 100+i, 1.1)
	}
	for i := range 36 {
		addFillerJob(tm, fmt.Sprint("idle", i), Step{Count: 1, Checkpoints: true, Needs: model.Resources{MilliCPU: 8000, MemoryMB: 2400}, Estimate: 10 * time.Minute})
	}
	planFor(tm, 3*time.Second)
	j := newJob("lasting", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 2000, MemoryMB: 4000}}}}}, 0, tm.now)
	o := j.openOccurrence(0, time.Time{}, tm.now)
	j.started, o.steps[0].tasks[0].attempt = true, 1
	tm.jobs[j.id] = j
	planFor(tm, time.Second)
	affected := 0
	for _, w := range tm.workers {
		for _, r := range w.runs {
			if r.state == runStopping {
				affected++
				break
			}
		}
	}
	require.Equal(t, 1, affected)
}

// silentAdvisor answers no call; tests deliver answers to the term themselves.
type silentAdvisor struct{}

func (silentAdvisor) Advise(ctx context.Context, _ string, _ []model.WorkerID) (Advice, error) {
	<-ctx.Done()
	return Advice{}, ctx.Err()
}

// Fillers that need a ticket were never started at a reduced pace: the advisor was asked about no worker.
func TestIdleJobsThatNeedTicketsRun(t *testing.T) {
	tm := pressedTerm(t)
	tm.queues["q"] = Queue{Name: "q", Service: "svc", Stretch: 2, Objective: time.Second, Advised: true}
	tm.cfg.Advisor = silentAdvisor{}
	for i := range 3 {
		addWorker(tm, fmt.Sprint("w", i), 100+i, 1.1)
	}
	j := addFillerJob(tm, "a", Step{Count: 2, Needs: model.Resources{MilliCPU: 8000}})
	s := &j.occurrences[0].steps[0]
	answer := func() {
		if s.advice == nil || !s.advice.inFlight {
			return
		}
		w := &waitingStep{job: j, occurrence: j.occurrences[0], step: &j.spec.Steps[0], queue: tm.queues["q"], tasks: []int{0, 1}}
		tickets := map[model.WorkerID]string{}
		candidates := tm.adviceCandidates(tm.newPlacement("svc"), w)
		for _, c := range candidates {
			tickets[c.Worker] = "ticket"
		}
		adviceReply{advice: s.advice, workers: candidates, answer: Advice{Tickets: tickets, Valid: time.Second}, asked: tm.now}.handle(tm)
	}
	for range 2 * time.Second / tickInterval {
		planFor(tm, tickInterval)
		answer()
	}
	require.True(t, s.tasks[0].hasRun())
	require.Equal(t, "ticket", s.tasks[0].runs[0].ticket)
}
