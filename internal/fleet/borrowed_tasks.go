package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// The tasks of one job that other cells have lent to this one form a borrowed job, which is apart
// from the job itself. A borrowed task that finds no worker here while another cell has free
// capacity is returned: a transaction under this cell's fence replaces its row by a return. The cell
// that owns the job watches these rows. It starts the task itself or lends it again, by a row that
// replaces the return. So the row of a task tells which of the two cells may start it, whoever
// leads them: only the owner replaces a return, and only the borrower a loan.

const (
	// loanSuffix follows the id of a job in the key of its borrowed tasks.
	loanSuffix = "/loan"
	// firstReturnDelay is how long a borrowed task waits for a worker before it is returned. The wait
	// doubles with each loan of the task, up to maxReturnDelay.
	firstReturnDelay = 1500 * time.Millisecond
	maxReturnDelay   = 24 * time.Second
	// maxReturnsPerCommit bounds the tasks of a job that one transaction returns.
	maxReturnsPerCommit = 16
	// returnedCapacityMaxAge is how long the capacity that a return names is kept for the task, which
	// is the time between two reads of the reports.
	returnedCapacityMaxAge = remoteFreeInterval
)

// loanKey returns the key of the borrowed tasks of a job.
func loanKey(id string) string { return id + loanSuffix }

// lentTaskReturn is the value of the row of a lent task that was returned. It does not decode as a
// record of a job, so that a leader of an older version does not start the task.
type lentTaskReturn struct {
	_ struct{} `cbor:",toarray"`
	// Loan is the number of the loan.
	Loan int
	// Attempts is the highest attempt number that the borrower may have used.
	Attempts int
	// Crashes lists the attempts under which a worker crashed.
	Crashes []taskCrash
	// CapacityIn is the cell with capacity for the task, of the share that the borrower may use.
	CapacityIn int
}

// decodeReturn decodes the row of a lent task; ok is false if it is not a return.
func decodeReturn(row Row) (r lentTaskReturn, ok bool) {
	return r, !row.Removed && len(row.Value) > 0 && decodeRecord(row, &r) == nil
}

// jobsOf returns what the term knows by the id of a job: the job, and the tasks of it that other
// cells have lent.
func (t *term) jobsOf(id string) []*job {
	var jobs []*job
	for _, key := range []string{id, loanKey(id)} {
		if j := t.jobs[key]; j != nil {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// jobOfTask returns the job by which a task runs in this cell, or nil: the borrowed one for a
// borrowed task.
func (t *term) jobOfTask(id string, k taskKey) *job {
	own, borrowed := t.jobs[id], t.jobs[loanKey(id)]
	if borrowed == nil {
		return own
	}
	if _, tk := borrowed.task(k); own == nil || (tk != nil && !tk.done) {
		return borrowed
	}
	return own
}

// acceptLentTask applies the row of a task that another cell has lent, and reports whether
// row is one. Tasks of one job are added to one borrowed job.
func (t *term) acceptLentTask(row Row, storeNow time.Duration) bool {
	id, name, lent := strings.Cut(row.Key, lentKeySeparator)
	if !lent {
		return false
	}
	if returned, ok := decodeReturn(row); ok {
		t.returnedLoans[row.Key] = max(t.returnedLoans[row.Key], returned.Loan)
		return true
	}
	lentRow := row.RowID
	row.Key = id
	k, ok := parseLentKey(name)
	r, valid := t.decodeJob(row)
	if !ok || !valid || max(r.Loan, 1) <= t.returnedLoans[lentRow.Key] {
		return true
	}
	if t.jobs[loanKey(id)] == nil {
		t.addJob(row, r, []RowID{lentRow}, storeNow)
	}
	j := t.jobs[loanKey(id)]
	if !slices.Contains(j.borrowed, lentRow) {
		j.borrowed = append(j.borrowed, lentRow)
	}
	t.openBorrowed(j, k, r.AttemptBase, r.Loan)
	return true
}

// hasBorrowed reports whether the row of a lent task has reached this cell and is not returned.
func (t *term) hasBorrowed(row string) bool {
	id, _, _ := strings.Cut(row, lentKeySeparator)
	j := t.jobs[loanKey(id)]
	return j != nil && slices.ContainsFunc(j.borrowed, func(r RowID) bool { return r.Key == row })
}

// openBorrowed makes a task of a borrowed job startable unless it is so already.
func (t *term) openBorrowed(j *job, k taskKey, attemptBase, loan int) {
	o, tk := j.task(k)
	if tk == nil {
		return
	}
	j.attemptBase = max(j.attemptBase, attemptBase)
	if tk.done {
		*tk = task{}
		o.steps[k.step].remaining++
		j.dirty, t.planDue, t.lostMayStart = true, true, true
	}
	tk.loans = max(tk.loans, loan)
}

// parseLentKey parses the step and index in the key of a lent task.
func parseLentKey(name string) (taskKey, bool) {
	step, index, ok := strings.Cut(name, ".")
	s, errStep := strconv.Atoi(step)
	i, errIndex := strconv.Atoi(index)
	return taskKey{0, s, i}, ok && errStep == nil && errIndex == nil && s >= 0 && i >= 0
}

// returnUnplaced returns the borrowed tasks of a step that have found no worker for some time while
// a worker of another cell has enough free capacity.
func (t *term) returnUnplaced(w *waitingStep, tasks []int) {
	for _, i := range tasks {
		tk := &w.state().tasks[i]
		switch {
		case tk.loans == 0:
			continue // an older version has lent it, which knows no returns
		case tk.unplacedSince.IsZero():
			tk.unplacedSince = t.now
		}
		if t.now.Sub(tk.unplacedSince) < returnDelay(tk.loans) {
			continue
		}
		if len(w.job.returns) < maxReturnsPerCommit {
			if cell, found := t.takeRemoteCapacity(w.step, true, -1); found {
				t.returnTask(w.job, w.key(i), tk, cell)
				continue
			}
		}
		t.recordUnplaced(w.queue.Service, w.step, true, 1)
	}
}

// returnDelay returns how long a borrowed task waits for a worker before it is returned.
func returnDelay(loan int) time.Duration {
	delay := firstReturnDelay
	for ; loan > 1 && delay < maxReturnDelay; loan-- {
		delay *= 2
	}
	return min(delay, maxReturnDelay)
}

// returnTask decides that a borrowed task without a run is returned, as a cell has capacity for it.
// The next transaction of the job stores that in the task's row and in the progress.
func (t *term) returnTask(j *job, k taskKey, tk *task, cell int) {
	value := encode(lentTaskReturn{Loan: tk.loans, Attempts: j.attemptBase + int(t.number)*attemptsPerTerm, Crashes: tk.crashes, CapacityIn: cell})
	row := Row{RowID: movedRow(t.part, lentKey(j.id, k)), Value: value}
	t.returnedLoans[row.Key] = tk.loans
	j.returns = append(j.returns, row)
	tk.done, j.dirty = true, true
	o, _ := j.task(k)
	o.steps[k.step].remaining--
	t.log.WithFields(logrus.Fields{"decision": "return", "job": j.id, "task": k.Name(j.id), "loan": tk.loans, "capacity_in": cell,
		"waited_ms": t.now.Sub(tk.unplacedSince).Milliseconds()}).Info("returning a borrowed task")
}

// notifyReturned sends the stored returns of a borrowed job to the cell that has lent the tasks. It
// would otherwise learn of them later through its watch.
func (t *term) notifyReturned(j *job, returned []Row, version uint64) {
	for _, row := range returned {
		row.Version = version
		go t.notifyCell(j.previousCells[0], row)
	}
}

// applyReturn applies the row of a returned task if this cell owns its job. The row is in the part of
// the borrower.
func (t *term) applyReturn(row Row) {
	id, name, lent := strings.Cut(row.Key, lentKeySeparator)
	returned, isReturn := decodeReturn(row)
	if !lent || !isReturn {
		return
	}
	k, valid := parseLentKey(name)
	j := t.jobs[id]
	if j == nil || !valid || j.over() {
		return
	}
	_, tk := j.task(k)
	if tk == nil || tk.lentTo == 0 || tk.loans != returned.Loan || row.Part != t.layout.cellPart(tk.lentTo-1) {
		return
	}
	tk.returnedBy, tk.returnedAt, tk.capacityIn, tk.unplacedSince = tk.lentTo, t.now, returned.CapacityIn, t.now.Add(-lendDelay)
	tk.lentTo, tk.lentSent = 0, false
	tk.attempt, j.attemptBase = max(tk.attempt, returned.Attempts), max(j.attemptBase, returned.Attempts)
	if len(returned.Crashes) > len(tk.crashes) {
		tk.crashes = returned.Crashes
	}
	j.dirty, t.planDue = true, true
	t.log.WithFields(logrus.Fields{"decision": "returned", "job": j.id, "task": k.Name(j.id), "loan": tk.loans, "from_cell": tk.returnedBy - 1}).Info("lent task was returned")
}

// cellFor returns a cell with capacity for a task of a step: of a task that was just returned the one that
// the return names.
func (t *term) cellFor(tk *task, w *waitingStep) (cell int, found bool) {
	age := t.now.Sub(tk.returnedAt)
	switch {
	case tk.returnedBy > 0 && age < returnedCapacityMaxAge && tk.capacityIn != t.cell:
		return tk.capacityIn, true
	case tk.returnedBy > 0 && age < returnDelay(tk.loans):
		return t.takeRemoteCapacity(w.step, w.restart, tk.returnedBy-1)
	}
	return t.takeRemoteCapacity(w.step, w.restart, -1)
}
