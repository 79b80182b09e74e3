package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// crowdedStarts is how many starts a second the host of a crowded term carries out.
const crowdedStarts = 210

// crowdedTerm returns a term with a backlog of small tasks for much longer than its host needs to start n jobs of
// larger ones. All have expired, unless the objective is longer than an hour.
func crowdedTerm(t interface{ Cleanup(func()) }, n int, large Step, objective time.Duration) (*term, []*job) {
	tm := loadedTerm(t)
	tm.callSlots = newCallSlots(192)
	tm.queues["q"] = Queue{Name: "q", Service: "svc", Stretch: 2, Objective: objective}
	for i := range 4 {
		w := testWorker(fmt.Sprint("w", i))
		w.info.Capacity = model.Resources{MilliCPU: 8_000_000, MemoryMB: 8_000_000}
		tm.workers[w.info.Worker] = w
	}
	add := func(id string, s Step) *job {
		j := newJob(id, jobRecord{Queue: "q", Spec: Spec{Steps: []Step{s}}}, 0, epoch.Add(-time.Hour))
		j.openOccurrence(0, time.Time{}, epoch)
		tm.jobs[id] = j
		return j
	}
	add("small", Step{Count: maxTasks, Needs: model.Resources{MilliCPU: 1}, Estimate: minEstimate})
	var jobs []*job
	for i := range n {
		jobs = append(jobs, add(fmt.Sprint("large", i), large))
	}
	return tm, jobs
}

// passCalls lets the calls under way end and the next begin, and plans.
func passCalls(tm *term) {
	tm.now = tm.now.Add(maxCallDelay)
	tm.lastRenewal = tm.now
	answerStarts(tm)
	tm.sendHeldStarts()
	tm.plan()
}

// Where the host of a leader was too small for its cell, 900 jobs had nothing running for half a minute beside
// processors that were free. Now they wait no longer than their
// number of starts takes.
func TestIdleJobsStartWhileStartsAreShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		large := Step{Count: rapid.IntRange(1, 4).Draw(t, "tasks"), Needs: model.Resources{MilliCPU: 8000, MemoryMB: 1000}, Estimate: time.Minute}
		large.Gang, large.Filler = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "filler")
		tm, jobs := crowdedTerm(t, rapid.IntRange(1, 300).Draw(t, "jobs"), large, time.Second)
		starts := len(jobs)
		if large.Gang {
			starts *= large.Count
		}
		wait := time.Duration(starts) * time.Second / crowdedStarts
		for tm.now.Sub(epoch) < shortStartsPatience+idleLimit+wait+(plannedSlots+1)*maxCallDelay {
			passCalls(tm)
		}
		for _, j := range jobs {
			_, idle := j.idleSince()
			require.False(t, idle, "%s of %d", j.id, len(jobs))
			if !large.Gang {
				for _, tk := range j.openTasks() {
					require.LessOrEqual(t, len(tk.runs), 1)
				}
			}
		}
	})
}

// An idle job waits behind work that can be on time, and for processors where those are scarce. Without a lasting
// lack of starts the order of plans stays as it is.
func TestIdleJobsWaitUnlessStartsAreShort(t *testing.T) {
	large := Step{Count: 2, Needs: model.Resources{MilliCPU: 8000}, Estimate: time.Minute}
	for name, c := range map[string]struct {
		objective time.Duration
		prepare   func(*term)
		started   bool
	}{
		"short starts":  {time.Second, func(*term) {}, true},
		"a burst":       {time.Second, func(tm *term) { tm.shortSince = tm.now.Add(-shortStartsPatience + time.Millisecond) }, false},
		"enough starts": {time.Second, func(tm *term) { tm.shortSince = time.Time{} }, false},
		"work on time":  {2 * time.Hour, func(*term) {}, false},
		"scarce capacity": {time.Second, func(tm *term) {
			for _, w := range tm.workers {
				w.reserved.MilliCPU = 6 * w.info.Capacity.MilliCPU / 10
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			tm, jobs := crowdedTerm(t, 3, large, c.objective)
			tm.now, tm.lastRenewal = at(20), at(20)
			tm.shortSince = at(1)
			c.prepare(tm)
			tm.plan()
			for _, j := range jobs {
				runs := 0
				for _, tk := range j.openTasks() {
					runs += len(tk.runs)
				}
				require.Equal(t, c.started, runs == 1, "%s has %d runs", j.id, runs)
			}
			require.Len(t, tm.heldStarts, (plannedSlots-1)*21)
		})
	}
}
