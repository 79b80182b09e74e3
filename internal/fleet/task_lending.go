package fleet

import (
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// A job with running tasks does not leave its cell. One of its lasting tasks that was lost,
// or did not fit beside the others, may find no worker there while another cell has free
// capacity. The leader then lends the task to that cell, also to one that the job has left. It
// stores the decision under its fence, does not start the task itself, and writes a row by which
// the other cell runs this one task until the job is cancelled or the task is returned
// (borrowed_tasks.go).

const (
	// lendDelay is how long a lasting task that has not run waits for capacity in its own cell, where the end
	// of short tasks may free some.
	lendDelay = 500 * time.Millisecond
	// lentKeySeparator precedes step and index in the key of a lent task's row.
	lentKeySeparator = "/task-"
	// maxLentNames bounds the tasks of a job of which borrowers' rows are deleted with the job.
	maxLentNames = 500
)

// mayBeLent reports whether tasks of a waiting step may run in other cells. Steps that limit how
// many tasks may be interrupted at once are not lent: neither of two cells would know which tasks
// the other one interrupts.
func (w *waitingStep) mayBeLent() bool { return w.job.mayLend(w.step) }

// mayLend is mayBeLent for a step of j.
func (j *job) mayLend(s *Step) bool {
	return s.Lasting && !s.Filler && j.started && !s.Gang && !s.SameRack && s.Near == "" && j.spec.Repeats == 0 &&
		s.Needs.Accelerators == 0 && s.MaxInterrupted == 0
}

// tasksWithoutRoom returns the waiting tasks of a lasting step that have neither a run nor a claim to room that is
// free soon.
func (w *waitingStep) tasksWithoutRoom() []int {
	tasks := slices.DeleteFunc(slices.Clone(w.tasks), func(i int) bool {
		tk := &w.state().tasks[i]
		return len(tk.runs) > 0 || tk.done // a returned task is the owner's again
	})
	if w.claimant == nil {
		return tasks
	}
	return tasks[min(w.claimant.prompt, len(tasks)):]
}

// lendUnplaced lends the tasks of a lasting step that have no room in this cell, or returns them if they are
// borrowed. It is called when a plan could not place all waiting tasks of the step.
func (t *term) lendUnplaced(w *waitingStep) {
	if t.layout.Cells == 1 || !w.mayBeLent() {
		return
	}
	tasks := w.tasksWithoutRoom()
	if len(w.job.borrowed) > 0 {
		t.returnUnplaced(w, tasks)
		return
	}
	for _, i := range tasks {
		tk := &w.state().tasks[i]
		switch {
		case tk.lentTo > 0:
			continue
		case tk.unplacedSince.IsZero():
			tk.unplacedSince = t.now
		}
		if !w.restart && t.now.Sub(tk.unplacedSince) < lendDelay {
			continue
		}
		if cell, found := t.cellFor(tk, w); found {
			t.lend(w.job, w.key(i), tk, cell)
			t.recordLoan(cell, w.queue.Service, w.step, lentKey(w.job.id, w.key(i)))
		} else {
			t.recordUnplaced(w.queue.Service, w.step, w.restart, 1)
		}
	}
}

// lend decides that another cell runs a task. The next transaction stores the decision.
func (t *term) lend(j *job, key taskKey, tk *task, cell int) {
	tk.lentTo, tk.attempt, j.dirty = cell+1, 0, true
	tk.loans++
	t.metrics.lent.Inc()
	t.log.WithFields(logrus.Fields{"decision": "lend", "job": j.id, "task": key.Name(j.id), "to_cell": cell, "loan": tk.loans,
		"waited_ms": t.now.Sub(tk.unplacedSince).Milliseconds()}).Info("lending task to another cell")
}

// lentTasks returns the lent tasks of a job. If unsent is true, it returns only those whose
// rows this term has not sent.
func (j *job) lentTasks(unsent bool) []taskKey {
	var keys []taskKey
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if tk := &o.steps[s].tasks[i]; tk.lentTo > 0 && !(unsent && tk.lentSent) {
					keys = append(keys, taskKey{o.number, s, i})
				}
			}
		}
	}
	return keys
}

// sentTasks returns the lent tasks of a job whose rows this term has sent.
func (j *job) sentTasks() []taskKey {
	return slices.DeleteFunc(j.lentTasks(false), func(k taskKey) bool {
		_, tk := j.task(k)
		return !tk.lentSent
	})
}

// lentName names a lent task in the key of its row.
func lentName(k taskKey) string { return strconv.Itoa(k.step) + "." + strconv.Itoa(k.index) }

// lentKey returns the key of the row of a lent task.
func lentKey(job string, k taskKey) string { return job + lentKeySeparator + lentName(k) }

// lentNames returns the names of the tasks of a job that were lent, at most maxLentNames.
func (j *job) lentNames() []string {
	names := slices.Clone(j.formerlyLent)
	if len(j.borrowed) > 0 {
		return nil // the loans of a borrowed job are those of its owner
	}
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if o.steps[s].tasks[i].loans > 0 && len(names) < maxLentNames {
					names = append(names, lentName(taskKey{o.number, s, i}))
				}
			}
		}
	}
	return names
}

// lentRows returns the rows that borrowers may have left of a job, by part. The progress of their
// tasks comes last, as it shows that these are cancelled.
func (t *term) lentRows(j *job) map[string][]RowID {
	names := j.lentNames()
	if len(names) == 0 {
		return nil
	}
	rows := map[string][]RowID{}
	for cell := range t.layout.Cells {
		part := t.layout.cellPart(cell)
		for _, name := range names {
			rows[part] = append(rows[part], movedRow(part, j.id+lentKeySeparator+name))
		}
		rows[part] = append(rows[part], progressRow(part, loanKey(j.id)), movedRow(part, loanKey(j.id)+cancelSuffix))
	}
	return rows
}

// sendLentTasks writes the rows of lent tasks. The decisions must have been stored before. A
// cancellation is sent after the rows.
func (t *term) sendLentTasks(j *job, keys []taskKey) {
	for _, k := range keys {
		_, tk := j.task(k)
		if tk == nil || tk.lentTo == 0 {
			continue
		}
		tk.lentSent = true
		cell, loan := tk.lentTo-1, tk.loans
		row := Row{RowID: movedRow(t.layout.cellPart(cell), lentKey(j.id, k)), Value: encode(t.lentRecord(j, k))}
		go t.sendLentTask(j, cell, loan, row)
	}
}

// sendLentTask writes the row of a lent task, in place of the return of an earlier loan. A row of
// this loan has the same content, and the return of it shows that the row was written before.
func (t *term) sendLentTask(j *job, cell, loan int, row Row) {
	for replaced := uint64(0); ; {
		existing, ok := t.writeRemoteRow(Transaction{Expect: []Expectation{{row.RowID, replaced}}, Puts: []Row{row}}, &row)
		if !ok {
			return
		}
		if returned, isReturn := decodeReturn(existing); isReturn && returned.Loan < loan {
			replaced = existing.Version
			continue
		} else if isReturn {
			t.post(movedRows{rows: []Row{existing}})
			return
		}
		t.notifyCell(cell, row)
		t.post(lentTaskStored{j, cell})
		return
	}
}

// lentTaskStored reports that the row of a lent task is stored. If the job was cancelled in
// the meantime, the cancellation may have been written before this row and is sent again.
type lentTaskStored struct {
	job  *job
	cell int
}

func (e lentTaskStored) handle(t *term) {
	if e.job.cancelled {
		go t.sendCancellation(loanKey(e.job.id), e.cell)
	}
}

// resendLentTasks writes again, at the start of a term, rows that the borrowing cells may
// lack. For a cancelled job it sends only the cancellation, as those cells may have removed
// the job already.
func (t *term) resendLentTasks(j *job) {
	if j.cancelled {
		t.cancelLentTasks(j)
	} else {
		t.sendLentTasks(j, j.lentTasks(true))
	}
}

// cancelLentTasks sends the cancellation of a job to the cells that borrowed its tasks.
func (t *term) cancelLentTasks(j *job) {
	for _, k := range j.lentTasks(false) {
		_, tk := j.task(k)
		go t.sendCancellation(loanKey(j.id), tk.lentTo-1)
	}
}

// lentRecord returns the record of a lent task: its job with all other tasks marked done.
func (t *term) lentRecord(j *job, k taskKey) jobRecord {
	p := progressRecord{State: StateRunning, Started: true, Open: []occurrenceRecord{{Number: k.occurrence, Steps: make([][]taskRecord, len(j.spec.Steps))}}}
	for s := range j.spec.Steps {
		for i := range j.spec.Steps[s].Count {
			if s != k.step || i != k.index {
				p.Open[0].Steps[s] = append(p.Open[0].Steps[s], taskRecord{Index: i, Done: true})
			} else if _, tk := j.task(k); tk != nil && len(tk.crashes) > 0 {
				p.Open[0].Steps[s] = append(p.Open[0].Steps[s], taskRecord{Index: i, Crashes: tk.crashes})
			}
		}
	}
	path := []int{t.cell}
	for len(path) < maxMovesPerJob {
		path = append(path, t.cell) // uses up all moves, so that the borrowed task stays
	}
	_, tk := j.task(k)
	return jobRecord{Queue: j.queue, Spec: j.spec, AcceptedAt: j.acceptedStoreTime, PreviousCells: path, Progress: &p, Loan: tk.loans,
		AttemptBase: j.attemptBase + int(t.number)*attemptsPerTerm, Settings: t.queueSettings(j.queue)}
}
