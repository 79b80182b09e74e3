package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// backlogTerm returns a term with 48 workers, none of whose services tolerates a filler at full
// pace, and jobs of eight fillers each of which nothing runs.
func backlogTerm(b *testing.B, jobs int) *term {
	tm := loadedTerm(b)
	tm.interference.models["s"] = modelOf(4, map[string]float64{"f": 8})
	for i := range 48 {
		w := testWorker(fmt.Sprintf("w%02d", i))
		w.info.Capacity.MemoryMB = 64_000
		tm.workers[w.info.Worker] = w
		addService(tm, w, 1000+i, 4000, 0.8) // over its target, so that nothing starts
	}
	for i := range jobs {
		spec := Spec{Steps: []Step{{Count: 8, Filler: true, Image: "f", Needs: model.Resources{MilliCPU: 1800, MemoryMB: 100}, Estimate: 3 * time.Second}}}
		j := newJob(fmt.Sprintf("%016x", i), jobRecord{Queue: "q", Spec: spec}, 0, epoch)
		j.openOccurrence(0, time.Time{}, epoch)
		tm.jobs[j.id] = j
	}
	tm.now, tm.lastRenewal = at(5), at(5)
	return tm
}

// BenchmarkSumWaits measures the sums by reason, which the leader computes once a second.
func BenchmarkSumWaits(b *testing.B) {
	for _, jobs := range []int{100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			tm := backlogTerm(b, jobs)
			for b.Loop() {
				tm.sumWaits()
			}
		})
	}
}

// BenchmarkPlanWithIdleJobs measures a plan that starts nothing.
func BenchmarkPlanWithIdleJobs(b *testing.B) {
	for _, jobs := range []int{100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			tm := backlogTerm(b, jobs)
			for b.Loop() {
				tm.plan()
			}
		})
	}
}

// BenchmarkTickBesideFinishedJobs measures the regular work of the loop beside jobs that are done and kept for
// their callers.
func BenchmarkTickBesideFinishedJobs(b *testing.B) {
	tm := backlogTerm(b, 1000)
	tm.cfg.Bounds.Retention = 24 * time.Hour
	for i := range 2500 {
		j := newJob(fmt.Sprintf("%016x", 1000+i), jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 8}}}}, 0, epoch)
		j.visibleState, j.endedAt, j.openedOccurrences, j.finishedOccurrences[0] = StateCompleted, tm.now, 1, true
		tm.jobs[j.id] = j
	}
	for b.Loop() {
		tm.now = tm.now.Add(tickInterval)
		tm.openOccurrences()
		tm.expireLeases()
	}
}
