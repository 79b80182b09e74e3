package fleet

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// silentStore answers no call.
type silentStore struct{ Store }

func (silentStore) List(ctx context.Context, _, _, _, _ string, _ int) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

func (silentStore) Commit(ctx context.Context, _ Transaction) (Commit, error) {
	<-ctx.Done()
	return Commit{}, ctx.Err()
}

// lendingTerm returns a term of a cell that owns job j with two lasting tasks, of which none runs.
func lendingTerm(t *testing.T, cell int) (*term, *job) {
	tm := newTestTerm(3)
	t.Cleanup(tm.cancel)
	tm.cfg.Store = silentStore{}
	tm.cell, tm.part, tm.loaded, tm.runsKnown = cell, tm.layout.cellPart(cell), true, true
	tm.queues["q"] = Queue{Name: "q", Service: "svc"}
	j := newJob("j", jobRecord{Queue: "q", Spec: serviceOfTwo()}, 5, epoch)
	j.started = true
	j.openDue(epoch, 0, tm.monotonicTime)
	tm.jobs["j"] = j
	return tm, j
}

func serviceOfTwo() Spec {
	return Spec{Steps: []Step{{Count: 2, Needs: model.Resources{MilliCPU: 1000, MemoryMB: 1}, Lasting: true}}}
}

// lend lends task 0 to another cell and returns the row.
func lendTo(tm *term, j *job, cell int) Row {
	k := taskKey{}
	_, tk := j.task(k)
	tm.lend(j, k, tk, cell)
	return Row{RowID: movedRow(tm.layout.cellPart(cell), lentKey(j.id, k)), Version: 60, Value: encode(tm.lentRecord(j, k))}
}

// startable returns the keys of the tasks that a term may start.
func startable(tm *term) []taskKey {
	var keys []taskKey
	for _, w := range tm.collectWaitingSteps() {
		for _, i := range w.tasks {
			keys = append(keys, w.key(i))
		}
	}
	return keys
}

// A cell that its job has left ignored rows of lent tasks. It must run the borrowed task and no
// other, still know the job as moved, and apply a cancellation to both.
func TestCellThatItsJobLeftBorrowsTask(t *testing.T) {
	owner, j := lendingTerm(t, 0)
	tm, left := lendingTerm(t, 1)
	left.movedTo, left.started = 1, false
	row := lendTo(owner, j, 1)
	movedRows{rows: []Row{row}}.handle(tm)
	require.Same(t, left, tm.jobs["j"])
	require.Equal(t, 1, left.movedTo)
	tm.fenceVersion = row.Version
	require.Empty(t, startable(tm), "the cancellation is not read yet")
	cancellationRead{"j", false}.handle(tm)
	require.Equal(t, []taskKey{{0, 0, 0}}, startable(tm))
	borrowed := tm.jobs[loanKey("j")]
	require.Same(t, borrowed, tm.jobOfTask("j", taskKey{0, 0, 0}))
	require.Same(t, left, tm.jobOfTask("j", taskKey{0, 0, 1}))
	require.NotEqual(t, left.key(), borrowed.key(), "their progress has different rows")
	tm.cancelJob("j")
	require.True(t, left.cancelled)
	require.True(t, borrowed.cancelled)
	require.Empty(t, startable(tm))
}

// The cancellation of a job may arrive at a cell that it has left before the row of a lent task.
func TestTaskOfCancelledJobIsNotBorrowed(t *testing.T) {
	owner, j := lendingTerm(t, 0)
	tm, left := lendingTerm(t, 1)
	left.movedTo = 1
	row := lendTo(owner, j, 1)
	tm.cancelJob("j")
	movedRows{rows: []Row{row}}.handle(tm)
	cancellationRead{"j", false}.handle(tm)
	tm.fenceVersion = row.Version
	require.Empty(t, startable(tm))
	require.True(t, tm.jobs[loanKey("j")].cancelled)
}

// A job may move to a cell that has borrowed one of its tasks. The cell ignored the job's row, as it
// knew the id, and started none of the other tasks.
func TestJobMovesToBorrowerOfItsTask(t *testing.T) {
	owner, j := lendingTerm(t, 0)
	tm, _ := lendingTerm(t, 1)
	delete(tm.jobs, "j")
	row := lendTo(owner, j, 1)
	movedRows{rows: []Row{row}}.handle(tm)
	j.movedTo = 2
	moved := Row{RowID: movedRow(tm.part, "j"), Version: 61, Value: encode(owner.movedJobRecord(j))}
	movedRows{rows: []Row{moved}}.handle(tm)
	cancellationRead{"j", false}.handle(tm)
	tm.fenceVersion = moved.Version
	require.ElementsMatch(t, []taskKey{{0, 0, 0}, {0, 0, 1}}, startable(tm), "one as borrowed, one as the cell's own")
	require.Same(t, tm.jobs[loanKey("j")], tm.jobOfTask("j", taskKey{0, 0, 0}))
	require.Same(t, tm.jobs["j"], tm.jobOfTask("j", taskKey{0, 0, 1}))
}

// borrowedTask returns terms of an owner and of a borrower of task 0, with the row of the loan.
func borrowedTask(t *testing.T) (owner, borrower *term, row Row) {
	t.Helper()
	owner, j := lendingTerm(t, 0)
	borrower, _ = lendingTerm(t, 1)
	delete(borrower.jobs, "j")
	row = lendTo(owner, j, 1)
	movedRows{rows: []Row{row}}.handle(borrower)
	cancellationRead{"j", false}.handle(borrower)
	borrower.fenceVersion = row.Version
	require.Equal(t, []taskKey{{0, 0, 0}}, startable(borrower))
	return owner, borrower, row
}

// The progress of borrowed tasks that an older version has stored under the job's id must be found.
func TestProgressOfBorrowedTasksOfOlderVersionIsRestored(t *testing.T) {
	_, borrower, _ := borrowedTask(t)
	borrowed := borrower.jobs[loanKey("j")]
	crash := taskCrash{Attempt: 70, AgeMS: 3}
	_, tk := borrowed.task(taskKey{})
	tk.crashes = []taskCrash{crash}
	old := Row{RowID: progressRow(borrower.part, "j"), Value: encode(borrowed.progress())}
	tk.crashes = nil
	borrower.restoreProgress([]Row{old})
	_, tk = borrowed.task(taskKey{})
	require.Equal(t, []taskCrash{crash}, tk.crashes)
}
