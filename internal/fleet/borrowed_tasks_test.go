package fleet

import (
	"context"
	"testing"
	"time"

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

// returned applies the next transaction of a term and returns the only return in it.
func returned(t *testing.T, tm *term) Row {
	t.Helper()
	c, _ := tm.collectTransaction()
	var rows []Row
	for _, u := range c.updates {
		rows = append(rows, u.returned...)
	}
	require.Len(t, rows, 1)
	require.Contains(t, c.tx.Puts, rows[0], "in the same transaction as the progress")
	return rows[0]
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

// A job that had moved as often as a job may lent none of its tasks, and neither did a cell without
// any worker.
func TestJobThatMayNotMoveLendsItsTasks(t *testing.T) {
	tm, j := lendingTerm(t, 0)
	j.previousCells = []int{1, 2, 1}
	tm.fenceVersion = j.acceptedVersion
	tm.cellLoads = func() []reportedLoad {
		return []reportedLoad{{1, cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{2000, 1, nil}, {2000, 2, nil}}}, tm.now}}
	}
	waitUnplaced(tm, lendDelay+remoteFreeInterval)
	require.NotEmpty(t, j.lentTasks(false))
	_, tk := j.task(taskKey{})
	require.Equal(t, 2, tk.lentTo, "also to a cell that the job has left")
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

// waitUnplaced lets the borrowed task of a term wait for a worker, of which there is none.
func waitUnplaced(tm *term, d time.Duration) {
	for end := tm.now.Add(d); tm.now.Before(end); tm.now = tm.now.Add(100 * time.Millisecond) {
		tm.refreshRemoteCapacity()
		tm.unplaced = nil
		tm.placeSteps(tm.collectWaitingSteps())
		tm.observeReportedUnplaced()
	}
}

// The plan that returned a borrowed task started it on a quarantined worker, too: it ran twice once its owner had
// started it elsewhere.
func TestReturnedTaskIsNotStartedOnLastResort(t *testing.T) {
	_, borrower, _ := borrowedTask(t)
	borrower.cfg.Workers = pollLog{}
	free := []freeCapacity{}
	borrower.cellLoads = func() []reportedLoad {
		return []reportedLoad{{2, cellLoad{Capacity: 10_000, LargestFree: free}, borrower.now}}
	}
	waitUnplaced(borrower, 2*firstReturnDelay)
	free = append(free, freeCapacity{MilliCPU: 1000, MemoryMB: 1})
	w := testWorker("w")
	w.health.quarantine(borrower.now)
	borrower.workers["w"] = w
	borrower.now = borrower.now.Add(remoteFreeInterval)
	waitUnplaced(borrower, time.Millisecond) // one plan
	returned(t, borrower)
	require.Empty(t, w.runs)
}

// A borrowed task for which its borrower has no worker any more waited for good. It must be returned
// once another cell has a worker for it, and its owner must start it with a later attempt.
func TestBorrowedTaskIsReturned(t *testing.T) {
	owner, borrower, loan := borrowedTask(t)
	free := []freeCapacity{}
	borrower.cellLoads = func() []reportedLoad {
		return []reportedLoad{{2, cellLoad{Capacity: 10_000, LargestFree: free}, borrower.now}}
	}
	waitUnplaced(borrower, 10*firstReturnDelay)
	require.Equal(t, []taskKey{{0, 0, 0}}, startable(borrower), "no cell has capacity")
	require.NotNil(t, borrower.unplaced, "the cell reports the task")
	free = append(free, freeCapacity{MilliCPU: 1000, MemoryMB: 1})
	waitUnplaced(borrower, remoteFreeInterval)
	require.Empty(t, startable(borrower))
	row := returned(t, borrower)

	j := owner.jobs["j"]
	_, tk := j.task(taskKey{})
	require.Equal(t, []taskKey{{0, 0, 1}}, startable(owner))
	owner.now = borrower.now
	movedRows{rows: []Row{row}}.handle(owner)
	require.Equal(t, []taskKey{{0, 0, 0}, {0, 0, 1}}, startable(owner))
	_, borrowedTask := borrower.jobs[loanKey("j")].task(taskKey{})
	require.Greater(t, j.nextAttempt(tk, owner.number), borrower.jobs[loanKey("j")].nextAttempt(borrowedTask, borrower.number))
	cell, found := owner.cellFor(tk, &waitingStep{step: &j.spec.Steps[0]})
	require.True(t, found)
	require.Equal(t, 2, cell, "the cell whose capacity the borrower may use")
	owner.now = owner.now.Add(returnedCapacityMaxAge)
	owner.cellLoads = func() []reportedLoad {
		return []reportedLoad{{1, cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{1000, 1, nil}, {1000, 1, nil}}}, owner.now}}
	}
	_, found = owner.cellFor(tk, &waitingStep{step: &j.spec.Steps[0]})
	require.False(t, found, "it is not lent to the cell that returned it at once")
	owner.now = owner.now.Add(returnDelay(1))
	_, found = owner.cellFor(tk, &waitingStep{step: &j.spec.Steps[0]})
	require.True(t, found)

	movedRows{rows: []Row{loan}}.handle(borrower)
	require.Empty(t, startable(borrower), "the row of the loan arrives again")
	again := lendTo(owner, j, 1)
	movedRows{rows: []Row{row}}.handle(owner)
	require.Equal(t, []taskKey{{0, 0, 1}}, startable(owner), "the return of the first loan does not end the second")
	movedRows{rows: []Row{again}}.handle(borrower)
	require.Equal(t, []taskKey{{0, 0, 0}}, startable(borrower))
	movedRows{rows: []Row{loan}}.handle(borrower)
	waitUnplaced(borrower, returnDelay(2)+unplacedKnownAfter+2*remoteFreeInterval)
	returnRow, ok := decodeReturn(returned(t, borrower))
	require.True(t, ok)
	require.Equal(t, 2, returnRow.Loan)
}

// A new leader of the borrower must not start a task that was returned, also if the row of the loan
// reaches it late, and one of the owner must not lose what the return says.
func TestReturnsSurviveLeaderChanges(t *testing.T) {
	owner, borrower, loan := borrowedTask(t)
	borrower.cellLoads = func() []reportedLoad {
		return []reportedLoad{{2, cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{1000, 1, nil}}}, borrower.now}}
	}
	waitUnplaced(borrower, 4*firstReturnDelay)
	row := returned(t, borrower)

	next, _ := lendingTerm(t, 1)
	delete(next.jobs, "j")
	movedRows{rows: []Row{row}}.handle(next)
	movedRows{rows: []Row{loan}}.handle(next)
	require.Empty(t, startable(next))

	j := owner.jobs["j"]
	movedRows{rows: []Row{row}}.handle(owner)
	later, restored := lendingTerm(t, 0)
	restored.restoreForTest(t, later, encode(j.progress()))
	require.Equal(t, j.attemptBase, restored.attemptBase)
	_, tk := restored.task(taskKey{})
	require.Equal(t, 1, tk.loans, "the next loan has another number")
	require.Zero(t, tk.lentTo)
}

// restoreForTest replaces the progress of a job.
func (j *job) restoreForTest(t *testing.T, tm *term, progress []byte) {
	t.Helper()
	tm.restoreJobProgress(j, Row{RowID: progressRow(tm.part, j.key()), Value: progress}, nil)
}

// loanStore holds the row of one lent task.
type loanStore struct {
	silentStore
	row *Row
}

func (s loanStore) Commit(_ context.Context, tx Transaction) (Commit, error) {
	if tx.Expect[0].Version != s.row.Version {
		return Commit{}, &ConflictError{Rows: []Row{*s.row}}
	}
	*s.row = tx.Puts[0]
	s.row.Version = 70
	return Commit{Version: 70}, nil
}

// A leader that missed a return, as its watch had a gap or an earlier term sent the row, finds it when
// it writes the row of the loan again. The row of a later loan must replace it.
func TestOwnerLearnsOfMissedReturn(t *testing.T) {
	owner, j := lendingTerm(t, 0)
	loan := lendTo(owner, j, 1)
	row := loan
	row.Version, row.Value = 66, encode(lentTaskReturn{Loan: 1, Attempts: 200})
	owner.cfg.Store = loanStore{row: &row}
	send := func() {
		owner.sendLentTasks(j, j.lentTasks(false))
		e := <-owner.events[classState]
		e.event.handle(owner)
	}
	send()
	_, tk := j.task(taskKey{})
	require.Zero(t, tk.lentTo)
	require.Equal(t, 201, j.nextAttempt(tk, owner.number))
	again := lendTo(owner, j, 1)
	send()
	require.Equal(t, 2, tk.lentTo)
	require.Equal(t, again.Value, row.Value, "the row of the second loan replaces the return")
}

// The cell that owns a job would not notice a return while a leader of an older version, which does
// not number its loans, leads it.
func TestTaskOfOlderLenderIsNotReturned(t *testing.T) {
	_, borrower, _ := borrowedTask(t)
	_, tk := borrower.jobs[loanKey("j")].task(taskKey{})
	tk.loans = 0
	borrower.cellLoads = func() []reportedLoad {
		return []reportedLoad{{2, cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{1000, 1, nil}}}, borrower.now}}
	}
	waitUnplaced(borrower, 4*firstReturnDelay)
	require.Equal(t, []taskKey{{0, 0, 0}}, startable(borrower))
}

// Leaders of older versions must not take a return for the row of a task to run.
func TestReturnDoesNotDecodeAsJob(t *testing.T) {
	var r jobRecord
	value := encode(lentTaskReturn{Loan: 1, Attempts: 64, Crashes: []taskCrash{{Attempt: 1}}})
	require.Error(t, decodeRecord(Row{Value: value}, &r))
	_, isReturn := decodeReturn(Row{Value: encode(jobRecord{Queue: "q", Spec: serviceOfTwo()})})
	require.False(t, isReturn)
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
