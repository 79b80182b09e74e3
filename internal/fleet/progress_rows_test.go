package fleet

import (
	"encoding/base64"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

const testRowBytes = 65536

// progressTerm returns a term with a job of which half of the occurrences are done, every other
// one, and whose open tasks are as set says.
func progressTerm(spec Spec, set func(n int) task) (*term, *job) {
	tm := newTestTerm(1)
	tm.cfg.Limits.RowBytes = testRowBytes
	j := newJob("j", jobRecord{Spec: spec}, 1, epoch)
	j.started, j.dirty = true, true
	tm.jobs[j.id] = j
	for k := range spec.Repeats / 2 {
		j.finishedOccurrences[2*k] = true
	}
	j.openDue(epoch, 0, func(int64) time.Time { return epoch })
	count := 0
	for _, o := range j.occurrences {
		for i := range o.steps {
			for n := range o.steps[i].tasks {
				o.steps[i].tasks[n] = set(count)
				count++
			}
		}
	}
	return tm, j
}

// applyRows applies the rows of a transaction to those stored before.
func applyRows(t *testing.T, stored map[RowID]Row, tx Transaction) {
	bytes := 0
	for _, row := range tx.Puts {
		require.LessOrEqual(t, len(row.Value), testRowBytes)
		bytes += base64.StdEncoding.EncodedLen(len(row.Value))
		stored[row.RowID] = row
	}
	require.Less(t, bytes, 1_000_000)
	require.Less(t, len(tx.Puts)+len(tx.Delete), 100)
	for _, id := range tx.Delete {
		delete(stored, id)
	}
}

// restored returns a job as the next term reads it from the rows.
func restored(j *job, stored map[RowID]Row) *job {
	next := newTestTerm(1)
	next.cfg.Limits.RowBytes = testRowBytes
	back := newJob(j.id, jobRecord{Spec: j.spec}, 1, epoch)
	next.jobs[j.id] = back
	var rows []Row
	for _, row := range stored {
		rows = append(rows, row)
	}
	next.restoreProgress(rows)
	return back
}

func requireSameProgress(t *testing.T, j, back *job) {
	t.Helper()
	require.Equal(t, j.state(), back.state())
	require.Equal(t, j.finishedOccurrences, back.finishedOccurrences)
	for _, o := range j.occurrences {
		b := back.openOccurrenceAt(o.number)
		require.NotNil(t, b, "occurrence %d", o.number)
		for i := range o.steps {
			for n := range o.steps[i].tasks {
				want := o.steps[i].tasks[n]
				want.mayBeDone = want.attempt > 0 // the next term has not seen its end
				if want.done {
					require.True(t, b.steps[i].tasks[n].done)
				} else {
					require.Equal(t, want, b.steps[i].tasks[n], "task %d.%d.%d", o.number, i, n)
				}
			}
			require.Equal(t, o.steps[i].remaining, b.steps[i].remaining)
		}
	}
}

// A row larger than the store allows failed the transactions of the whole cell, again and again,
// as a transaction is repeated until it succeeds. Then jobs whose progress exceeded a row failed.
func TestProgressOfLargestJobIsStored(t *testing.T) {
	full := func(int) task {
		crash := taskCrash{Attempt: math.MaxUint16, AgeMS: 999, Prime: true, Sole: true}
		return task{attempt: math.MaxUint16, failed: slices.Repeat([]int{math.MaxUint16}, 4), lentTo: 200, loans: math.MaxUint16,
			checkpoint: "00000bb87a21d94b", crashes: slices.Repeat([]taskCrash{crash}, maxCrashes-1)}
	}
	for name, spec := range map[string]Spec{
		"one step":          {Steps: []Step{{Count: maxTasks}}},
		"many steps":        {Steps: slices.Repeat([]Step{{Count: maxTasks / maxSteps}}, maxSteps)},
		"repeats":           {Steps: []Step{{Count: 1}}, Repeats: maxRepeats},
		"repeats, steps":    {Steps: slices.Repeat([]Step{{Count: 1}}, maxSteps), Repeats: maxRepeats},
		"repeats, all wide": {Steps: []Step{{Count: maxTasks}}, Repeats: maxRepeats},
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, Limits{RowBytes: testRowBytes}.checkProgress(spec))
			tm, j := progressTerm(spec, full)
			c, complete := tm.collectTransaction()
			require.True(t, complete)
			stored := map[RowID]Row{}
			applyRows(t, stored, c.tx)
			require.Equal(t, StateRunning, j.state())
			requireSameProgress(t, j, restored(j, stored))
		})
	}
}

// What has changed since the last transaction is written, and rows that are not needed any more
// are deleted.
func TestChangedProgressIsStored(t *testing.T) {
	crashed := func(int) task {
		return task{attempt: 1, checkpoint: "00000bb87a21d94b", crashes: []taskCrash{{Attempt: 1, AgeMS: 700}}}
	}
	tm, j := progressTerm(Spec{Steps: []Step{{Count: 4000}}}, crashed)
	stored := map[RowID]Row{}
	store := func() int {
		j.dirty = true
		c, _ := tm.collectTransaction()
		applyRows(t, stored, c.tx)
		requireSameProgress(t, j, restored(j, stored))
		return len(c.tx.Puts)
	}
	rows := store()
	require.Greater(t, rows, 2)
	require.Len(t, stored, rows)
	j.occurrences[0].steps[0].tasks[3999].crashes[0].Prime = true
	require.Equal(t, 2, store(), "the head and the last chunk")
	for i := range 3990 {
		j.finishTask(taskKey{0, 0, i}, epoch)
	}
	store()
	require.Len(t, stored, 2, "one chunk is enough")
	j.occurrences[0].steps[0].tasks[3999].crashes = nil
	for i := range 10 {
		j.finishTask(taskKey{0, 0, 3990 + i}, epoch)
	}
	store()
	require.Equal(t, StateCompleted, restored(j, stored).state())
	require.Len(t, stored, 1)
}

// A leader of an older version writes the head only.
func TestChunksOfEarlierHeadAreIgnored(t *testing.T) {
	tm, j := progressTerm(Spec{Steps: []Step{{Count: 4000}}}, func(int) task {
		return task{attempt: 1, checkpoint: "00000bb87a21d94b", crashes: []taskCrash{{Attempt: 1}}}
	})
	stored := map[RowID]Row{}
	c, _ := tm.collectTransaction()
	applyRows(t, stored, c.tx)
	head := progressRecord{State: StateRunning, Started: true, Open: []occurrenceRecord{{Steps: [][]taskRecord{{{Index: 7, Attempt: 9}}}}}}
	stored[progressRow(tm.part, j.id)] = Row{RowID: progressRow(tm.part, j.id), Value: encode(head)}
	back := restored(j, stored)
	require.Equal(t, 9, back.occurrences[0].steps[0].tasks[7].attempt)
	require.Empty(t, back.occurrences[0].steps[0].tasks[7].crashes)
	require.True(t, back.dirty, "the chunks are to be deleted")
	next := newTestTerm(1)
	next.cfg.Limits.RowBytes = testRowBytes
	next.jobs[j.id] = back
	c, _ = next.collectTransaction()
	applyRows(t, stored, c.tx)
	require.Len(t, stored, 1)
}

// Progress that needs a transaction of its own comes first in the next one.
func TestLargeProgressIsNotPassedOver(t *testing.T) {
	t.Parallel()
	tm, large := progressTerm(Spec{Steps: []Step{{Count: maxTasks}}}, func(int) task {
		return task{attempt: 1, failed: []int{1, 2, 3}, checkpoint: "00000bb87a21d94b", crashes: slices.Repeat([]taskCrash{{Attempt: 1, AgeMS: 700, Prime: true}}, 3)}
	})
	for i := range 200 {
		j := newJob(string(rune('Ā'+i)), jobRecord{Spec: Spec{Steps: []Step{{Count: 400}}}}, 1, epoch)
		j.openDue(epoch, 0, func(int64) time.Time { return epoch })
		for n := range 400 {
			j.occurrences[0].steps[0].tasks[n].checkpoint = "00000bb87a21d94b"
		}
		tm.jobs[j.id] = j
	}
	collect := func() {
		for _, j := range tm.jobs {
			j.dirty = true
		}
		c, complete := tm.collectTransaction()
		applyRows(t, map[RowID]Row{}, c.tx)
		require.False(t, complete)
	}
	for range 20 {
		for large.needsOwnCommit = false; !large.needsOwnCommit; {
			large.chunkSums = nil // all chunks have changed
			collect()
		}
		require.True(t, large.dirty)
		collect()
		require.False(t, large.dirty)
	}
}

// Only checkpoints that no row or transaction holds are left out.
func TestOverlongCheckpointsAreLeftOut(t *testing.T) {
	short, long := strings.Repeat("s", 100), strings.Repeat("l", testRowBytes)
	tm, j := progressTerm(Spec{Steps: []Step{{Count: 2000}}}, func(n int) task {
		if n == 7 {
			return task{attempt: 1, checkpoint: long}
		}
		return task{attempt: 1, checkpoint: short, failed: []int{1}}
	})
	c, _ := tm.collectTransaction()
	stored := map[RowID]Row{}
	applyRows(t, stored, c.tx)
	j.occurrences[0].steps[0].tasks[7].checkpoint = ""
	requireSameProgress(t, j, restored(j, stored))
}

// What intake accepts follows from what a row holds.
func TestLimitsOfProgress(t *testing.T) {
	wide, often := Spec{Steps: []Step{{Count: maxTasks}}}, Spec{Steps: []Step{{Count: 1}}, Repeats: maxRepeats}
	require.NoError(t, Limits{}.checkProgress(wide))
	require.True(t, model.IsKind(Limits{RowBytes: 4096}.checkProgress(wide), model.KindInvalid))
	require.NoError(t, Limits{RowBytes: 4096}.checkProgress(Spec{Steps: []Step{{Count: 2000}}}))
	require.True(t, model.IsKind(Limits{RowBytes: 4096}.checkProgress(often), model.KindInvalid))
}

// restoreProgress applies rows of progress in one piece.
func (t *term) restoreProgress(rows []Row) {
	for _, step := range t.progressSteps(rows) {
		step()
	}
}
