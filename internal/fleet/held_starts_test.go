package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// heldService returns a term with a service of n tasks, one on each of n workers, whose first starts are held back.
func heldService(t *testing.T, step Step) (*term, *job, []*run) {
	tm := loadedTerm(t)
	for i := range step.Count {
		w := testWorker(fmt.Sprint("w", i))
		tm.workers[w.info.Worker] = w
	}
	step.Lasting = true
	j := newJob(fmt.Sprintf("%016x", 1), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, tm.now)
	o := j.openOccurrence(0, time.Time{}, tm.now)
	j.inherited = true // attempts are numbered by the term
	tm.jobs[j.id] = j
	tm.plan()
	var runs []*run
	for i := range o.steps[0].tasks {
		require.Len(t, o.steps[0].tasks[i].runs, 1)
		runs = append(runs, o.steps[0].tasks[i].runs[0])
		require.Equal(t, runHeld, runs[i].state)
	}
	return tm, j, runs
}

// addJob adds a job of one step and returns its first task.
func addJob(tm *term, number int, step Step) *task {
	j := newJob(fmt.Sprintf("%016x", number), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, tm.now)
	tm.jobs[j.id] = j
	return &j.openOccurrence(0, time.Time{}, tm.now).steps[0].tasks[0]
}

// Guards against a held start that is sent while an earlier run of the task, found meanwhile, is being stopped:
// nothing was sent yet, so the earlier run can stay.
func TestHeldStartYieldsToEarlierRun(t *testing.T) {
	tm, j, runs := heldService(t, Step{Count: 1, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}})
	other := testWorker("other")
	tm.workers[other.info.Worker] = other
	require.Greater(t, runs[0].ref.Attempt, 2)
	tm.applyRunning(other, []RunStatus{{RunRef: RunRef{taskKey{}.Name(j.id), 2}}})
	storeProgress(tm)
	require.NotEqual(t, runSent, runs[0].state, "attempt 2 runs on another worker")
}

// Guards against a held start that is sent to a worker whose capacity has shrunk below it meanwhile.
func TestHeldStartIsNotSentBeyondShrunkCapacity(t *testing.T) {
	tm, _, runs := heldService(t, Step{Count: 1, Needs: model.Resources{MilliCPU: 8000, MemoryMB: 100}})
	info := runs[0].worker.info
	info.Capacity.MilliCPU = 4000
	tm.updateWorker(runs[0].worker, info)
	storeProgress(tm)
	require.NotEqual(t, runSent, runs[0].state, "4 of 8 cores are there")
}

// Guards against a gang of which a part is started although a member has lost its place while the starts were held
// back: the others wait for it and are stopped.
func TestHeldGangIsNotStartedInPart(t *testing.T) {
	tm, _, runs := heldService(t, Step{Count: 2, Gang: true, PerWorker: 1, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}})
	runs[1].worker.info.Draining = true
	storeProgress(tm)
	require.NotEqual(t, runSent, runs[1].state)
	require.NotEqual(t, runSent, runs[0].state, "the other member cannot start")
}

// Guards against a held start that hides the cause of a crash: the worker knows nothing of it.
func TestHeldStartIsNoSuspect(t *testing.T) {
	for _, held := range []bool{false, true} {
		t.Run(fmt.Sprint("held start ", held), func(t *testing.T) {
			tm := loadedTerm(t)
			w := testWorker("w")
			tm.workers[w.info.Worker] = w
			tk := addJob(tm, 1, Step{Count: 1, Estimate: time.Second, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}})
			tm.plan()
			require.Len(t, tk.runs, 1)
			tm.confirmStart(tk.runs[0])
			tm.now = tm.now.Add(300 * time.Millisecond)
			if held {
				service := addJob(tm, 2, Step{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}})
				tm.plan()
				require.Len(t, service.runs, 1)
				require.Equal(t, runHeld, service.runs[0].state)
			}
			w.observeClock(time.Second, tm.now)
			tm.replaceByReport(w, w.info.Born+1)
			require.Len(t, tk.crashes, 1)
			require.True(t, tk.crashes[0].Prime, "only this run can have crashed the worker")
		})
	}
}

// Guards against a held start that ends the time for which a task that may crash the worker is to be alone there.
func TestHeldStartKeepsApartFromSuspect(t *testing.T) {
	tm := loadedTerm(t)
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	service := addJob(tm, 1, Step{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}})
	tm.plan()
	require.Len(t, service.runs, 1)
	require.Equal(t, runHeld, service.runs[0].state)
	tm.now = tm.now.Add(20 * time.Millisecond)
	tk := addJob(tm, 2, Step{Count: 1, Estimate: time.Second, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}})
	tk.crashes, tk.attempt = []taskCrash{{Attempt: 1, Prime: true}}, 1
	tm.plan()
	require.Len(t, tk.runs, 1)
	other := addJob(tm, 3, Step{Count: 1, Estimate: time.Second, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}})
	tm.plan()
	require.Empty(t, other.runs, "the suspect is alone")
	tm.now = tm.now.Add(20 * time.Millisecond)
	storeProgress(tm)
	tm.plan()
	require.Empty(t, other.runs, "the suspect is alone for 300 ms, whatever was held back before it")
}

// advisedJob returns a term and a job of it with a lasting task whose start needs a ticket.
func advisedJob(t *testing.T) (*term, *job, *stepState) {
	tm := loadedTerm(t)
	tm.queues["q"] = Queue{Name: "q", Service: "svc", Stretch: 2, Objective: time.Second, Advised: true}
	j := newJob(fmt.Sprintf("%016x", 1), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}}, 0, tm.now)
	return tm, j, &j.openOccurrence(0, time.Time{}, tm.now).steps[0]
}

// A ticket is valid in one lifetime of its worker. The next one was sent it and refused the start.
func TestTicketOfFormerLifetimeIsNotUsed(t *testing.T) {
	for _, others := range []bool{false, true} {
		tm, j, s := advisedJob(t)
		tm.cfg.Advisor = silentAdvisor{}
		former := testWorker("w")
		asked := []Lifetime{former.info.Lifetime}
		tm.workers["w"] = former
		if others {
			tm.workers["x"] = testWorker("x")
			asked = append(asked, tm.workers["x"].info.Lifetime)
		}
		s.advice = &stepAdvice{inFlight: true}
		info := former.info
		info.Born++
		next := tm.replaceWorker(former, info) // while the advisor decides
		next.answered, next.usedRowStored = true, true
		adviceReply{advice: s.advice, workers: asked, answer: Advice{Tickets: map[model.WorkerID]string{"w": "ticket", "x": "other"}, Valid: time.Minute}, asked: tm.now}.handle(tm)
		tm.jobs[j.id] = j
		tm.plan()
		require.Empty(t, tm.workers["w"].runs)
		require.Equal(t, !others, s.advice.inFlight, "the advisor is asked again when no ticket is left")
		if others {
			require.Len(t, tm.workers["x"].runs, 1)
		}
	}
}

// Guards against a held start that is sent with a ticket that is valid no more.
func TestHeldStartIsNotSentWithExpiredTicket(t *testing.T) {
	tm, j, s := advisedJob(t)
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	s.advice = &stepAdvice{tickets: map[Lifetime]string{w.info.Lifetime: "ticket"}, validUntil: tm.now.Add(time.Second)}
	tm.jobs[j.id] = j
	tm.plan()
	require.Len(t, s.tasks[0].runs, 1)
	r := s.tasks[0].runs[0]
	require.Equal(t, "ticket", r.ticket)
	tm.now = tm.now.Add(2 * time.Second) // the store is slow
	storeProgress(tm)
	require.NotEqual(t, runSent, r.state, "the ticket was valid for 1 s")
}

// Held starts whose runs were stopped or lost took room for other starts until the next order could be sent.
func TestStartsThatAreNotHeldAnyMoreLeaveRoom(t *testing.T) {
	tm := loadedTerm(t)
	tm.callSlots = newCallSlots(100)
	w := testWorker("w")
	for i := range tm.callSlots.planned(maxStartsPerPlan) {
		r := testRun(w, &Step{Needs: model.Resources{MilliCPU: 1}}, i)
		r.job = &job{id: "j", visibleState: StateRunning}
		tm.holdStart(r)
	}
	require.Zero(t, tm.startsLeft())
	for _, r := range tm.heldStarts {
		w.detach(r, tm.now)
	}
	require.Equal(t, tm.callSlots.planned(maxStartsPerPlan), tm.startsLeft())
}
