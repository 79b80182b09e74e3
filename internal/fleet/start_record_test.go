package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A service was lost with its worker and its leader before its start was stored. The next leader took
// it for a new one, which waits behind capacity held for short work, and it did not run for a minute.
func TestServiceThatRanIsNotTakenForANewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := Step{Count: rapid.IntRange(1, 4).Draw(t, "tasks"), Lasting: true, Gang: rapid.Bool().Draw(t, "gang"),
			SameRack: rapid.Bool().Draw(t, "same_rack"), Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}
		tm := loadedTerm(t)
		for _, id := range []string{"a", "b"} {
			w := testWorker(id)
			w.rack = "r"
			tm.workers[w.info.Worker] = w
		}
		j := newJob("service", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{step}}}, 0, tm.now)
		o := j.openOccurrence(0, time.Time{}, tm.now)
		tm.jobs[j.id] = j
		stored := map[RowID]Row{}
		for range 6 {
			tm.now = tm.now.Add(tickInterval)
			tm.lastRenewal = tm.now
			tm.plan()
			if rapid.Bool().Draw(t, "stored") {
				c, _ := tm.collectTransaction()
				for _, put := range c.tx.Puts {
					stored[put.RowID] = put
				}
				commitResult{commit: c, version: 1}.handle(tm)
			}
			for i := range o.steps[0].tasks {
				if !o.steps[0].tasks[i].hasRun() {
					continue
				}
				next := restored(j, stored)
				next.inherited = true
				next.openDue(tm.now, 0, nil)
				waiting := tm.appendWaitingSteps(nil, next, next.occurrences[0], tm.queues["q"])
				require.Len(t, waiting, 1)
				require.True(t, waiting[0].restart, "the next leader knows that the service has started")
			}
		}
	})
}

// A service starts as soon as its start is stored.
func TestServiceStartsOnceItsStartIsStored(t *testing.T) {
	tm := loadedTerm(t)
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	j := newJob("service", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 2, Lasting: true, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 100}}}}}, 0, tm.now)
	o := j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	tm.plan()
	require.Equal(t, waitsForStartRecord, o.steps[0].waits)
	require.Empty(t, w.runs)
	c, _ := tm.collectTransaction()
	tm.planDue = false
	commitResult{commit: c, version: 1}.handle(tm)
	require.True(t, tm.planDue)
	tm.plan()
	require.Len(t, w.runs, 2)
}
