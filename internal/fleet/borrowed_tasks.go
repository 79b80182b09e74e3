package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// The tasks of one job that other cells have lent to this one form a borrowed job, which is apart
// from the job itself: this cell may have left the job, or the job may move to it.

// loanSuffix follows the id of a job in the key of its borrowed tasks.
const loanSuffix = "/loan"

// loanKey returns the key of the borrowed tasks of a job.
func loanKey(id string) string { return id + loanSuffix }

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
	lentRow := row.RowID
	row.Key = id
	k, ok := parseLentKey(name)
	r, valid := t.decodeJob(row)
	if !ok || !valid {
		return true
	}
	if t.jobs[loanKey(id)] == nil {
		t.addJob(row, r, []RowID{lentRow}, storeNow)
	}
	j := t.jobs[loanKey(id)]
	if !slices.Contains(j.borrowed, lentRow) {
		j.borrowed = append(j.borrowed, lentRow)
	}
	t.openBorrowed(j, k, r.AttemptBase)
	return true
}

// openBorrowed makes a task of a borrowed job startable unless it is so already.
func (t *term) openBorrowed(j *job, k taskKey, attemptBase int) {
	o, tk := j.task(k)
	if tk == nil {
		return
	}
	j.attemptBase = max(j.attemptBase, attemptBase)
	if tk.done {
		*tk = task{}
		o.steps[k.step].remaining++
		j.dirty, t.planDue = true, true
	}
}

// parseLentKey parses the step and index in the key of a lent task.
func parseLentKey(name string) (taskKey, bool) {
	step, index, ok := strings.Cut(name, ".")
	s, errStep := strconv.Atoi(step)
	i, errIndex := strconv.Atoi(index)
	return taskKey{0, s, i}, ok && errStep == nil && errIndex == nil && s >= 0 && i >= 0
}
