package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A lost task of a service with one task a worker kept a worker free on which a task of the same
// step ran. With as many such services as workers nothing else started anywhere.
func TestNoWorkerIsReservedForTaskThatMayNotRunThere(t *testing.T) {
	const workers = 4
	tm := loadedTerm(t)
	for i := range workers {
		w := testWorker(fmt.Sprint("w", i))
		tm.workers[w.info.Worker] = w
	}
	for i := range workers {
		step := Step{Count: workers + 1, Lasting: true, PerWorker: 1, Image: fmt.Sprint("s", i), Needs: model.Resources{MilliCPU: 500, MemoryMB: 100}}
		j := newJob(fmt.Sprint("service", i), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, epoch)
		o := j.openOccurrence(0, time.Time{}, epoch)
		j.started = true
		for k := range o.steps[0].tasks {
			o.steps[0].tasks[k].attempt = 1
		}
		tm.jobs[j.id] = j
	}
	planFor(tm, time.Second)
	j := newJob("short", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}}, 0, tm.now)
	j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	planFor(tm, time.Second)
	require.True(t, j.occurrences[0].steps[0].tasks[0].hasRun())
}

// A waiting task that may run on few workers kept those with the same needs and no such condition
// from workers that were free.
func TestTaskWithConditionsOfItsOwnBlocksNoOther(t *testing.T) {
	needs := model.Resources{MilliCPU: 1000, MemoryMB: 100}
	add := func(tm *term, id, queue string) *job {
		j := newJob(id, jobRecord{Queue: queue, Spec: Spec{Steps: []Step{{Count: 1, Needs: needs}}}}, 0, tm.now)
		j.openOccurrence(0, time.Time{}, tm.now)
		tm.jobs[id] = j
		return j
	}
	for name, restrict := range map[string]func(*term) *job{
		"tickets": func(tm *term) *job {
			tm.queues["advised"] = Queue{Name: "advised", Service: "svc", Stretch: 2, Objective: time.Second, Advised: true}
			j := add(tm, "a", "advised")
			j.occurrences[0].steps[0].advice = &stepAdvice{tickets: map[Lifetime]string{tm.workers["full"].info.Lifetime: "x"}, validUntil: at(60)}
			return j
		},
		"failed before": func(tm *term) *job {
			for range quarantineFailures {
				tm.workers["free"].health.recordFailure(epoch.Add(-quarantineTime), true)
			}
			j := add(tm, "a", "q")
			j.occurrences[0].steps[0].tasks[0].failed = []int{1}
			return j
		},
	} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			for _, id := range []string{"free", "full"} {
				tm.workers[model.WorkerID(id)] = testWorker(id)
			}
			testRun(tm.workers["full"], &Step{Lasting: true, Needs: tm.workers["full"].info.Capacity}, 0)
			restricted, other := restrict(tm), add(tm, "b", "q")
			planFor(tm, tickInterval)
			require.False(t, restricted.occurrences[0].steps[0].tasks[0].hasRun())
			require.True(t, other.occurrences[0].steps[0].tasks[0].hasRun())
		})
	}
}

// rackWorkers adds n workers in each of two racks.
func rackWorkers(tm *term, n int) {
	for rack := range 2 {
		for i := range n {
			w := testWorker(fmt.Sprint("w", rack, i))
			w.rack = fmt.Sprint("r", rack)
			tm.workers[w.info.Worker] = w
		}
	}
}

// A gang whose tasks are slow unless they share a rack never started where no rack had room for all.
func TestGangDoesNotWaitForARackWithoutBound(t *testing.T) {
	tm := loadedTerm(t)
	rackWorkers(tm, 2)
	spec := Spec{Steps: []Step{{Count: 3, Gang: true, SameRack: true, Estimate: time.Second, Needs: model.Resources{MilliCPU: 10_000, MemoryMB: 100}}}}
	j := newJob("a", jobRecord{Queue: "q", Spec: spec}, 0, tm.now)
	o := j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	planFor(tm, idleLimit)
	require.Equal(t, waitsForGangCapacity, o.steps[0].waits)
	planFor(tm, idleLimitOnTime-idleLimit+tickInterval)
	_, idle := j.idleSince()
	require.False(t, idle)
}

// A lost lasting task whose step shares a rack waited without a bound while that rack was full.
func TestLostTaskDoesNotWaitForItsRackWithoutBound(t *testing.T) {
	tm := loadedTerm(t)
	rackWorkers(tm, 2)
	spec := Spec{Steps: []Step{{Count: 2, Lasting: true, SameRack: true, Needs: model.Resources{MilliCPU: 10_000, MemoryMB: 100}}}}
	j := newJob("a", jobRecord{Queue: "q", Spec: spec}, 0, tm.now)
	o := j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	planFor(tm, tickInterval)
	lost := o.steps[0].tasks[1].runs[0]
	tm.markLost(lost, reasonRestarted)
	testRun(lost.worker, &Step{Lasting: true, Needs: lost.worker.info.Capacity}, 9)
	planFor(tm, idleLimitOnTime-tickInterval)
	require.False(t, o.steps[0].tasks[1].hasRun())
	planFor(tm, 2*tickInterval)
	require.True(t, o.steps[0].tasks[1].hasRun())
}

// A gang of an advised queue never started when it needed more workers than one call named.
func TestAdviceForGangNamesEnoughWorkers(t *testing.T) {
	tm := loadedTerm(t)
	for i := range 3 * maxAdviceWorkers {
		w := testWorker(fmt.Sprintf("w%02d", i))
		tm.workers[w.info.Worker] = w
	}
	for _, gang := range []bool{false, true} {
		step := Step{Count: 2 * maxAdviceWorkers, Gang: gang, Needs: model.Resources{MilliCPU: 10_000, MemoryMB: 100}}
		j := newJob("a", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, tm.now)
		o := j.openOccurrence(0, time.Time{}, tm.now)
		w := &waitingStep{job: j, occurrence: o, step: &step, queue: tm.queues["q"], tasks: make([]int, step.Count)}
		named := len(tm.adviceCandidates(tm.newPlacement("svc"), w))
		if gang {
			require.GreaterOrEqual(t, named, step.Count)
		} else {
			require.Equal(t, maxAdviceWorkers, named)
		}
	}
}

// A small cell reserved all its workers for tasks of other cells, and nothing else started there.
func TestCellDoesNotReserveAllWorkersForOtherCells(t *testing.T) {
	tm := loadedTerm(t)
	const workers = 6
	for i := range workers {
		w := testWorker(fmt.Sprint("w", i))
		tm.workers[w.info.Worker] = w
	}
	tm.layout = &layout{Cells: 2}
	tm.roomRequests[1] = roomRequest{From: 1, at: tm.now, Tasks: []unplacedTask{{Service: "svc", MilliCPU: 16_000, MemoryMB: 100, Count: 2 * workers}}}
	j := newJob("short", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}}, 0, tm.now)
	j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	planFor(tm, time.Second)
	require.True(t, j.occurrences[0].steps[0].tasks[0].hasRun())
}
