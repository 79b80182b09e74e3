package fleet

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// Jobs are spread over cells by a hash of their ids, so cells fill unevenly. A job that
// does not fit in its cell, or for which another cell has much more capacity, moves there
// before its first task starts, or between two steps when none of its tasks runs. Lasting
// work that has started moves only when no worker of the cell can hold any of its tasks.
//
// The leader of the cell that a job leaves stores the decision under its fence and starts
// no more tasks of the job. Only then does it write the job's row for the other cell. A
// later leader of either cell finds the decision or the row, and writes the row again
// where it may be missing.

const (
	// maxMovesPerJob bounds how often a job moves.
	maxMovesPerJob = 3
	// serviceBurstShare is the share of the cell's capacity above which the demand of new
	// services counts as a burst. Loads that other cells reported before a burst do not show
	// their part of it.
	serviceBurstShare = 0.05
	// cellLoadWait bounds how long services of a burst wait for newer reports of cell loads.
	cellLoadWait = 1500 * time.Millisecond
	// moveCheckInterval is the pause between two checks for a better cell for one job;
	// moveChecksPerRound bounds the checks in one plan.
	moveCheckInterval  = 200 * time.Millisecond
	moveChecksPerRound = 8
	// relocateAfter is how long a step must have been waiting, with no worker of the cell able
	// to hold its tasks, before its job moves. It applies to lasting steps of started jobs, to
	// inherited jobs that may have started, and to jobs that lost a run to an expired lease.
	relocateAfter = 1 * time.Second
)

// moveJobs moves jobs to cells with more capacity and returns the steps to place in this
// cell.
func (t *term) moveJobs(waiting []*waitingStep, held heldCapacity) []*waitingStep {
	if t.layout.Cells == 1 || !slices.ContainsFunc(waiting, func(w *waitingStep) bool { return t.mayMove(w) }) {
		return waiting
	}
	m := moveRound{term: t, others: t.otherCellLoads(), held: held}
	if len(m.others) == 0 {
		return waiting
	}
	m.own = t.ownLoad(waiting)
	if slices.ContainsFunc(waiting, func(w *waitingStep) bool { return w.step.Lasting && t.mayMove(w) }) {
		t.addServices(&m.own, waiting)
	}
	m.serviceBurst = waitingServiceDemand(waiting) > int64(serviceBurstShare*float64(m.own.Capacity))
	return slices.DeleteFunc(waiting, m.moveOrDefer)
}

// moveRound is one round of checks for better cells. It updates the loads of cells with
// each move that it decides.
type moveRound struct {
	term         *term
	own          cellLoad
	others       []reportedLoad
	serviceBurst bool
	checks       int
	held         heldCapacity
}

// moveOrDefer reports whether a step must not be placed here now, because its job moves or
// waits for newer loads of other cells.
func (m *moveRound) moveOrDefer(w *waitingStep) bool {
	t, j := m.term, w.job
	switch {
	case !t.mayMove(w):
		return j.movedTo > 0
	case w.step.Lasting && m.checks >= moveChecksPerRound && j.nextMoveCheck.IsZero():
		t.planDue = true // it would stay where it starts
		return true
	case t.now.Before(j.nextMoveCheck) || m.checks >= moveChecksPerRound:
		return j.waitsForCellLoads && t.now.Sub(j.learnedAt) < cellLoadWait
	}
	m.checks++
	j.nextMoveCheck, j.waitsForCellLoads = t.now.Add(moveCheckInterval), false
	d, fits := demandOf(w), t.fitsNow(w, len(w.tasks), m.held)
	if w.step.Lasting && !j.movable() && t.fitsNow(w, 1, heldCapacity{}) {
		return false
	}
	switch choice, cell := chooseCell(reportedLoad{t.cell, m.own, t.now}, excludeCells(m.others, j.previousCells), d, fits, m.serviceBurst, j.learnedAt); choice {
	case moveToCell:
		if !t.fitsInRow(encode(t.movedJobRecord(j))) {
			return false
		}
		left := d
		left.milliCPU = -d.milliCPU
		m.own = m.own.add(left)
		for i := range m.others {
			if m.others[i].cell == cell {
				m.others[i].load = m.others[i].load.add(d)
			}
		}
		t.beginMove(j, cell, d, m.own)
		return true
	case waitForCellLoads:
		j.waitsForCellLoads = t.now.Sub(j.learnedAt) < cellLoadWait
		return j.waitsForCellLoads
	}
	return false
}

// fitsNow reports whether n tasks of a step find a worker now and leave the held capacity
// free.
func (t *term) fitsNow(w *waitingStep, n int, held heldCapacity) bool {
	p := t.newPlacement(w.queue.Service)
	if p.allowedTasks(w, held) < n {
		return false
	}
	r := taskRequest{step: w.step, tasksPerWorker: map[*worker]int{}}
	capacity := 0
	for _, x := range p.workers {
		if p.feasible(x, r) {
			capacity += taskCapacity(w.step, x)
		}
		if capacity >= n {
			return true
		}
	}
	return false
}

// mayMove reports whether the job of a waiting step may leave the cell: none of its tasks
// runs. Steps of inherited jobs are not waiting before all runs of earlier terms are known.
func (t *term) mayMove(w *waitingStep) bool {
	j := w.job
	switch {
	case j.movable():
		return true
	case !j.mayChangeCell():
		return false
	case (w.step.Lasting || j.inherited && (j.started || !t.formerRunsReported) || j.leaseExpired) && (t.waitTime(j, w.key(0)) < relocateAfter || !t.noWorkerCanHold(w)):
		// A run whose lease has expired may have completed before that without a report of its
		// end. This cell would still receive the report, while the other one would start the
		// task again.
		return false
	}
	for _, o := range j.occurrences {
		for i := range o.steps {
			for n := range o.steps[i].tasks {
				if len(o.steps[i].tasks[n].runs) > 0 {
					return false
				}
			}
		}
	}
	return true
}

// noWorkerCanHold reports whether no listed worker of the cell could hold a task of a step even
// when empty. Workers that have been unreachable for too long do not count.
func (t *term) noWorkerCanHold(w *waitingStep) bool {
	for _, x := range t.workers {
		if x.listed && !t.unreachableTooLong(x) && x.info.Service == w.queue.Service && x.hasLabel(w.step.Label) && w.step.Reserved().Fits(x.info.Capacity) {
			return false
		}
	}
	return true
}

// unreachableTooLong reports whether calls to a worker have failed for longer than
// unreachableTimeout; all leases of its runs have expired by then.
func (t *term) unreachableTooLong(w *worker) bool {
	lastAnswer := t.startedAt
	if w.clockAt.After(lastAnswer) {
		lastAnswer = w.clockAt
	}
	return w.unansweredCalls > 0 && t.now.Sub(lastAnswer) > unreachableTimeout
}

// movable reports whether the job may leave its cell because none of its tasks has ever
// started. This is not certain for jobs of earlier terms.
func (j *job) movable() bool {
	return !j.started && !j.inherited && j.mayChangeCell()
}

// mayChangeCell reports whether a job may move at all: it is not over in this cell, has left
// fewer than maxMovesPerJob cells and has no schedule.
func (j *job) mayChangeCell() bool {
	return len(j.previousCells) < maxMovesPerJob && j.spec.Repeats == 0 && !j.over()
}

// beginMove decides that a job moves to another cell. The next transaction stores the
// decision.
func (t *term) beginMove(j *job, cell int, d stepDemand, own cellLoad) {
	j.movedTo, j.dirty = cell+1, true
	t.recentMoves = append(t.recentMoves, recentMove{cell, d, t.now})
	t.metrics.moves.Inc()
	t.log.WithFields(logrus.Fields{"decision": "move", "job": j.id, "queue": j.queue, "to_cell": cell, "milli_cpu": d.milliCPU,
		"fill": own.reservedShare(), "spare": own.spareShare(), "waited_ms": t.now.Sub(j.learnedAt).Milliseconds()}).Info("job moves to another cell")
}

// movedRow addresses the row of a job in the cell to which it moved.
func movedRow(part, id string) RowID { return RowID{tableMoved, part, id} }

// sendMovedJob writes the row by which the other cell learns of a moved job. The decision
// must have been stored before. An existing row has the same content.
func (t *term) sendMovedJob(id string, cell int, r jobRecord) {
	if t.storeRemoteRow(cell, Row{RowID: movedRow(t.layout.cellPart(cell), id), Value: encode(r)}) {
		t.post(movedJobStored{id})
	}
}

// storeRemoteRow writes a row for another cell unless it exists, and notifies that cell's
// leader.
func (t *term) storeRemoteRow(cell int, row Row) bool {
	if !t.putUntilDone(Transaction{Expect: []Expectation{{row.RowID, 0}}, Puts: []Row{row}}, &row) {
		return false
	}
	t.notifyCell(cell, row)
	return true
}

// sendCancellation writes the row by which another cell learns of a job's cancellation. The
// row of the job must have been written before.
func (t *term) sendCancellation(id string, cell int) {
	row := Row{RowID: movedRow(t.layout.cellPart(cell), id+cancelSuffix), Value: []byte{1}}
	if t.putUntilDone(Transaction{Puts: []Row{row}}, &row) {
		t.notifyCell(cell, row)
	}
}

// putUntilDone repeats a transaction that writes one row until it is applied or the row
// exists. It returns false when the term is over; the next term repeats the transaction.
func (t *term) putUntilDone(tx Transaction, row *Row) bool {
	_, ok := t.writeRemoteRow(tx, row)
	return ok
}

// writeRemoteRow is like putUntilDone and returns the row that exists if the condition of the
// transaction does not hold; it has no version if there is none.
func (t *term) writeRemoteRow(tx Transaction, row *Row) (existing Row, ok bool) {
	for pause := commitBackoff; t.ctx.Err() == nil; pause = min(2*pause, commitBackoffMax) {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeouts[len(commitTimeouts)-1])
		result, err := t.cfg.Store.Commit(ctx, tx)
		cancel()
		var conflict *ConflictError
		switch {
		case err == nil:
			row.Version = result.Version
			return Row{}, true
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			row.Version = conflict.Rows[0].Version
			return conflict.Rows[0], true
		}
		t.log.WithError(err).WithField("job", row.Key).Debug("writing a row for another cell failed; retrying")
		sleep(t.ctx, pause+jitter())
	}
	return Row{}, false
}

// notifyCell sends a row to the leader of another cell, which would otherwise learn of it
// later through its watch of the store.
func (t *term) notifyCell(cell int, row Row) {
	if t.notify != nil {
		t.notify(cell, row)
	}
}

// movedJobStored reports that the row of a moved job is stored.
type movedJobStored struct{ id string }

func (e movedJobStored) handle(t *term) {
	j := t.jobs[e.id]
	if j == nil || j.movedTo == 0 || j.moveStored {
		return
	}
	j.moveStored, j.dirty = true, true
	if j.cancelled {
		go t.sendCancellation(j.id, j.movedTo-1)
	}
}

// resendMoves writes again, at the start of a term, rows that other cells may lack.
func (t *term) resendMoves() {
	for _, j := range t.jobs {
		switch {
		case j.movedTo == 0:
			t.resendLentTasks(j)
		case !j.moveStored:
			go t.sendMovedJob(j.id, j.movedTo-1, t.movedJobRecord(j))
		case j.cancelled:
			go t.sendCancellation(j.id, j.movedTo-1)
		}
	}
}

// movedJobRecord returns the record of a job for the cell to which it moves.
func (t *term) movedJobRecord(j *job) jobRecord {
	r := jobRecord{Queue: j.queue, Spec: j.spec, AcceptedAt: j.acceptedStoreTime, PreviousCells: append(slices.Clone(j.previousCells), t.cell),
		Settings: t.queueSettings(j.queue)}
	if j.started || j.inherited {
		p := j.progress()
		p.MovedTo, p.MoveStored = 0, false
		r.Progress, r.AttemptBase = &p, j.attemptBase+int(t.number)*attemptsPerTerm
	}
	return r
}

// movedRows reports changed rows of the table of moved jobs.
type movedRows struct {
	rows     []Row
	storeNow time.Duration
	// full means that rows is the whole content of the cell's part: changes may have been missed.
	full bool
}

func (e movedRows) handle(t *term) {
	for _, apply := range e.steps(t) {
		apply()
	}
	if e.full {
		for _, j := range t.jobs {
			t.sendLentTasks(j, j.sentTasks()) // to learn of returns that were missed
		}
	}
}

// steps returns a step for each row that applies it.
func (e movedRows) steps(t *term) []func() {
	rows := slices.Clone(e.rows)
	slices.SortFunc(rows, func(a, b Row) int { // a job, or a task of it, before its cancellation
		return cmp.Or(cmp.Compare(cancellationRank(a), cancellationRank(b)), cmp.Compare(a.Key, b.Key))
	})
	var steps []func()
	for _, row := range rows {
		steps = append(steps, func() { e.apply(t, row) })
	}
	return steps
}

func (e movedRows) apply(t *term, row Row) {
	if t.applyReturn(row); row.Part != t.part {
		return
	}
	if row.Removed {
		delete(t.returnedLoans, row.Key)
	}
	if row.Removed || !t.acceptLentTask(row, e.storeNow) {
		t.applyJobRow(row, e.storeNow)
	}
}

func cancellationRank(row Row) int {
	if strings.HasSuffix(row.Key, cancelSuffix) {
		return 1
	}
	return 0
}
