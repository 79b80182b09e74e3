package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

func TestCallsUnderWayAreBoundedByProcessorShare(t *testing.T) {
	for milliCPU, want := range map[int64]int{0: 1000, 100: minCallSlots, 192: 21, 800: 88} {
		s := newCallSlots(milliCPU)
		require.Equal(t, want, s.free(at(1), maxCallDelay, 1000), "%d thousandths of a core", milliCPU)
		first := s.begin(at(1))
		if milliCPU == 0 {
			continue
		}
		for range 2 * want {
			s.begin(at(1.01))
		}
		require.Zero(t, s.free(at(1.05), maxCallDelay, 1000))
		s.end(first)
		s.end(first) // ending a call twice frees one slot
		require.Zero(t, s.free(at(1.05), maxCallDelay, 1000))
		require.Equal(t, want, s.free(at(1.01).Add(maxCallDelay), maxCallDelay, 1000), "calls that wait for their workers give their slots back")
	}
}

// Some hundred first looks at workers that began at the same moment used up the processor of a small host.
func TestFirstLooksWaitForSlots(t *testing.T) {
	tm := loadedTerm(t)
	tm.pollSlots = newCallSlots(192)
	for i := range 100 {
		w := testWorker(fmt.Sprintf("w%02d", i))
		w.answered, w.inherited = false, i >= 90
		w.unansweredCalls = i % 2
		tm.workers[w.info.Worker] = w
	}
	tm.schedulePolls()
	asked := 0
	for _, w := range tm.workers {
		if w.pollInFlight {
			asked++
			require.Zero(t, w.unansweredCalls, "workers that were not asked yet go first")
		} else if w.unansweredCalls == 0 {
			require.False(t, w.inherited, "workers that may hold runs go before others")
		}
	}
	require.Equal(t, 21, asked)
}

// Starts of one step with many tasks were ordered at once, however few calls the host could carry out.
func TestStartsAreHeldBackUntilCallsMayBegin(t *testing.T) {
	tm := loadedTerm(t)
	tm.callSlots = newCallSlots(192)
	for i := range 40 {
		w := testWorker(fmt.Sprint("w", i))
		w.info.Capacity = model.Resources{MilliCPU: 64000, MemoryMB: 64000}
		tm.workers[w.info.Worker] = w
	}
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 500, Needs: model.Resources{MilliCPU: 1000}, Estimate: time.Second}}}}, 0, tm.now)
	j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	tm.plan()
	count := func(state runState) int {
		n := 0
		for _, w := range tm.workers {
			for _, r := range w.runs {
				if r.state == state {
					n++
				}
			}
		}
		return n
	}
	require.Equal(t, 21, count(runSent))
	require.Equal(t, (plannedSlots-1)*21, count(runHeld))
	require.False(t, tm.shortSince.IsZero())
	for range 3 {
		tm.plan()
	}
	require.Len(t, tm.heldStarts, plannedSlots*21, "no more are decided while as many wait")
	tm.now = tm.now.Add(maxCallDelay)
	tm.sendHeldStarts()
	require.Equal(t, 42, count(runSent))
}

// While starts wait for the processor, polls take a part of it only; leases are extended in time all the same.
func TestPollsGiveWayToStarts(t *testing.T) {
	tm := loadedTerm(t)
	tm.cfg.Limits.MilliCPU = 192
	for i := range 350 {
		w := testWorker(fmt.Sprint("w", i))
		tm.workers[w.info.Worker] = w
	}
	require.Zero(t, tm.pollPause())
	tm.recordShortSlots(true)
	require.Zero(t, tm.pollPause(), "a burst is no lack of processor time")
	tm.now = tm.now.Add(shortPatience)
	tm.recordShortSlots(true)
	require.Equal(t, maxPollPause, tm.pollPause())
	require.Less(t, tm.pollPause()+pollWait+answerTimeoutMin, maxLease/2+pollWait)
	tm.recordShortSlots(false)
	require.Zero(t, tm.pollPause())
}

func TestRankingFindsWhatASearchFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tm := newTestTerm(1)
		tm.now, tm.loaded = at(1), true
		p := &placement{now: tm.now, service: "svc", interference: &tm.interference}
		small := func(name string) int64 { return int64(rapid.IntRange(1, 6).Draw(t, name)) * 1000 }
		for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
			w := testWorker(fmt.Sprint("w", i))
			w.info.Capacity = model.Resources{MilliCPU: 4 * small("cpu"), MemoryMB: 4 * small("memory")}
			w.health.failures = rapid.IntRange(0, 1).Draw(t, "failures")
			p.workers = append(p.workers, w)
		}
		step := &Step{Count: 10, Needs: model.Resources{MilliCPU: small("needs"), MemoryMB: small("memory needs")}, Filler: rapid.Bool().Draw(t, "filler"),
			Lasting: rapid.Bool().Draw(t, "lasting"), PerWorker: rapid.IntRange(0, 3).Draw(t, "per worker")}
		tasks := make([]task, step.Count)
		r := taskRequest{step: step, tasksPerWorker: map[*worker]int{}}
		ranks := p.rank(r)
		for i := range tasks {
			if rapid.IntRange(0, 3).Draw(t, "has failed") == 0 {
				tasks[i].failed = []int{1}
			}
			r.task = &tasks[i]
			wanted, obstacle := p.findWorker(r)
			got, missing := ranks.find(r)
			require.Same(t, wanted, got)
			require.Equal(t, obstacle, missing)
			if got == nil {
				continue
			}
			got.attach(&run{ref: RunRef{Task: TaskName(fmt.Sprint(i)), Attempt: 1}, worker: got, step: step, reserved: step.Reserved(), startedAt: tm.now, pace: 100}, tm.now)
			r.tasksPerWorker[got]++
			ranks.update(got, r)
		}
	})
}

// While starts were short, a plan over the whole backlog was made for each few calls that had been answered.
func TestPlansWaitForStartsToDecide(t *testing.T) {
	for name, c := range map[string]struct {
		short time.Duration
		held  int
		want  bool
	}{
		"enough starts":           {0, plannedSlots*21 - 1, true},
		"none left":               {0, plannedSlots * 21, false},
		"a burst":                 {shortStartsPatience - 1, plannedSlots*21 - 1, true},
		"short, more than half":   {shortStartsPatience, plannedSlots*21/2 + 1, false},
		"short, half are carried": {shortStartsPatience, plannedSlots * 21 / 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			tm, jobs := crowdedTerm(t, 1, Step{Count: 1}, time.Second)
			if c.short > 0 {
				tm.shortSince = tm.now.Add(-c.short)
			}
			for i := range c.held {
				r := testRun(testWorker("w"), &jobs[0].spec.Steps[0], i)
				r.job = jobs[0]
				tm.holdStart(r)
			}
			require.Equal(t, c.want, tm.hasStartsForPlan())
		})
	}
}
