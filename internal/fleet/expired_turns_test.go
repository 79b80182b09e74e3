package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// addExpiredJob adds an expired job that was accepted just now.
func addExpiredJob(tm *term, id string, step Step) *job {
	j := newJob(id, jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, tm.now.Add(-time.Hour))
	j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[id] = j
	return j
}

// endOldestRuns ends the n oldest runs on a worker. Their tasks are not done.
func endOldestRuns(tm *term, w *worker, n int) {
	var runs []*run
	for _, r := range w.runs {
		if !r.step.Lasting {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.startedAt.Compare(b.startedAt) })
	for _, r := range runs[:min(n, len(runs))] {
		tm.applyEnd(w, RunEnd{RunRef: r.ref, Number: w.lastSeenEnd + 1, How: EndStopped})
	}
}

// While a backlog of small expired jobs stood, a large one never ran: small ones came first, with
// several runs each.
func TestLargeExpiredJobRunsBesideSmallOnes(t *testing.T) {
	tm := loadedTerm(t)
	tm.interference.models["s"] = modelOf(4, map[string]float64{"f": 0.01})
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	w.info.Capacity.MilliCPU = 8000
	addService(tm, w, 100, 6000, 4)
	step := Step{Count: 10, Filler: true, Image: "f", Needs: model.Resources{MilliCPU: 1000}, Estimate: time.Second}
	for i := range 4 {
		addExpiredJob(tm, fmt.Sprint("small", i), step)
	}
	step.Count = 20
	large := addExpiredJob(tm, "large", step)
	idle := true
	for turn := 0; idle; turn++ {
		require.Less(t, turn, 30, "5 jobs")
		planFor(tm, 200*time.Millisecond)
		_, idle = large.idleSince()
		endOldestRuns(tm, w, 1)
	}
	for _, r := range w.runs {
		require.False(t, r.reduced)
	}
}

// Beside a standing backlog each expired job has a run again after the turns that all expired jobs
// take, one each, in every order of submissions.
func TestEachExpiredJobHasItsTurn(t *testing.T) {
	t.Parallel()
	const turn = 200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		tm := loadedTerm(t)
		w := testWorker("w")
		tm.workers[w.info.Worker] = w
		jobs, ends := rapid.IntRange(1, 25).Draw(t, "jobs"), rapid.IntRange(1, 8).Draw(t, "ends")
		bound := expiredTurnLimit + time.Duration((jobs+ends-1)/ends+1)*turn
		submitted := make([]int, jobs)
		for i := range submitted {
			submitted[i] = rapid.IntRange(0, 10).Draw(t, "turn")
		}
		for n := range 2 * int(bound/turn) {
			for i, at := range submitted {
				if at == n {
					estimate := time.Duration(rapid.IntRange(50, 60_000).Draw(t, "estimate_ms")) * time.Millisecond
					step := Step{Count: rapid.IntRange(1, 30).Draw(t, "tasks"), Needs: model.Resources{MilliCPU: 1000}, Estimate: estimate}
					addExpiredJob(tm, fmt.Sprint(i), step)
				}
			}
			tm.now = tm.now.Add(turn)
			tm.lastRenewal = tm.now
			tm.plan()
			answerStarts(tm)
			for _, j := range tm.jobs {
				since, idle := j.idleSince()
				require.False(t, idle && tm.now.Sub(since) > bound, "job %s of %d, idle for %v", j.id, jobs, tm.now.Sub(since))
			}
			endOldestRuns(tm, w, ends)
		}
	})
}
