package fleet

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Jobs are spread over cells by a hash of their ids, and cells fill unevenly. A job
// that finds no room in its cell, or much less than elsewhere, moves to another one
// before its first task starts, or between two steps, when nothing of it runs. Lasting
// work that has begun moves only when no worker of the cell can hold any of it.
//
// The leader of the cell that a job leaves stores that decision under its fence and
// starts nothing of the job any more; only then does it write the job's row for the
// other cell. Whoever leads either cell later finds the decision or the row, and writes
// the row again where it may be missing.

const (
	// maxMoves bounds the cells that a job leaves.
	maxMoves = 3
	// burstShare of a cell's capacity asked for by new services is a burst: what other
	// cells told before it says nothing of their share in it.
	burstShare = 0.05
	// roomWait bounds how long the services of a burst wait for such news.
	roomWait = 1500 * time.Millisecond
	// moveCheckEvery is the pause between two looks for a better cell for one job,
	// moveChecksPerRound the most of them in one plan.
	moveCheckEvery     = 200 * time.Millisecond
	moveChecksPerRound = 8
	// strandedAfter is how long no lasting task of a job that has begun finds a worker
	// before the job moves.
	strandedAfter = 1 * time.Second
)

// moveJobs sends jobs that have not begun to cells with more room, and returns the
// steps that are to be placed here. Unseen is what services need that may run unseen.
func (t *term) moveJobs(wants []*want, unseen map[model.ServiceName]int64) []*want {
	if t.layout.Cells == 1 || !slices.ContainsFunc(wants, func(w *want) bool { return t.mayMove(w) }) {
		return wants
	}
	m := moveRound{term: t, others: t.otherRooms(), unseen: unseen}
	if len(m.others) == 0 {
		return wants
	}
	m.own = t.ownRoom(wants)
	m.burst = waitingServices(wants) > int64(burstShare*float64(m.own.Capacity))
	return slices.DeleteFunc(wants, m.leaves)
}

// moveRound is one look for better cells, with the rooms as they change by it.
type moveRound struct {
	term   *term
	own    room
	others []cellRoom
	burst  bool
	checks int
	unseen map[model.ServiceName]int64
}

// leaves reports whether a step is not to be placed here now: its job moves, or waits
// for news of other cells.
func (m *moveRound) leaves(w *want) bool {
	t, j := m.term, w.job
	switch {
	case !t.mayMove(w):
		return j.moved > 0
	case t.now.Before(j.moveCheck) || m.checks >= moveChecksPerRound:
		return j.waitsForNews && t.now.Sub(j.seen) < roomWait
	}
	m.checks++
	j.moveCheck, j.waitsForNews = t.now.Add(moveCheckEvery), false
	d, fits := demandOf(w), t.holds(w, len(w.tasks), m.unseen)
	if w.step.Lasting && !j.movable() && t.holds(w, 1, nil) {
		return false
	}
	switch choice, cell := chooseCell(cellRoom{t.cell, m.own, t.now}, excluding(m.others, j.path), d, fits, m.burst, j.seen); choice {
	case moveThere:
		m.own = m.own.add(demand{milliCPU: -d.milliCPU, filler: d.filler, lasting: d.lasting})
		for i := range m.others {
			if m.others[i].cell == cell {
				m.others[i].room = m.others[i].room.add(d)
			}
		}
		t.beginMove(j, cell, d, m.own)
		return true
	case waitForNews:
		j.waitsForNews = t.now.Sub(j.seen) < roomWait
		return j.waitsForNews
	}
	return false
}

// holds reports whether n tasks of a step find a worker now, beside unseen services.
func (t *term) holds(w *want, n int, unseen map[model.ServiceName]int64) bool {
	p := t.pool(w.queue.Service)
	if !p.leavesRoom(w, unseen[w.queue.Service]) {
		return false
	}
	r := request{step: w.step, onWorker: map[*worker]int{}}
	room := 0
	for _, x := range p.workers {
		if p.feasible(x, r) {
			room += copies(w.step, x)
		}
		if room >= n {
			return true
		}
	}
	return false
}

// mayMove reports whether the job of a waiting step may leave the cell: nothing of it
// runs. Runs that nobody has seen were accounted for before its steps came to wait.
func (t *term) mayMove(w *want) bool {
	j := w.job
	switch {
	case j.movable():
		return true
	case !j.mayLeave():
		return false
	case (w.step.Lasting || j.inherited || j.lapsed) && (t.waited(j, w.key(0)) < strandedAfter || !t.homeless(w)):
		// A run whose lease is over may have ended well before, unheard. This cell would
		// hear of it, and the other one start the task again.
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

// homeless reports whether no listed worker of the cell could ever hold a task of a step.
// Workers that have been silent for long are not counted on.
func (t *term) homeless(w *want) bool {
	for _, x := range t.workers {
		if x.listed && !t.longSilent(x) && x.info.Service == w.queue.Service && x.hasLabel(w.step.Label) && w.step.Reserved().Fits(x.info.Capacity) {
			return false
		}
	}
	return true
}

// longSilent reports whether calls to a worker have failed for so long that the runs it may
// hold have been over for a while.
func (t *term) longSilent(w *worker) bool {
	heard := t.begun
	if w.clockAt.After(heard) {
		heard = w.clockAt
	}
	return w.failures > 0 && t.now.Sub(heard) > silentMemory
}

// movable reports whether the job may leave its cell: nothing of it has ever begun. Of
// jobs from before this term that is not certain.
func (j *job) movable() bool {
	return !j.started && !j.inherited && j.mayLeave()
}

// mayLeave reports whether a job is of the kind that moves and is still in this cell.
func (j *job) mayLeave() bool {
	return len(j.path) < maxMoves && j.spec.Repeats == 0 && !j.over()
}

// beginMove decides that a job leaves for another cell. The next transaction stores it.
func (t *term) beginMove(j *job, cell int, d demand, own room) {
	j.moved, j.dirty = cell+1, true
	t.grants = append(t.grants, grant{cell, d, t.now})
	t.counters.moves.Inc()
	t.log.WithFields(logrus.Fields{"decision": "move", "job": j.id, "queue": j.queue, "to_cell": cell, "milli_cpu": d.milliCPU,
		"fill": own.fill(), "spare": own.spare(), "waited_ms": t.now.Sub(j.seen).Milliseconds()}).Info("job moves to another cell")
}

// movedRow addresses the row of a job in the cell to which it moved.
func movedRow(part, id string) RowID { return RowID{tableMoved, part, id} }

// sendMoved writes the row by which the other cell learns of a job. The decision must
// be stored. A row that is there already is the same.
func (t *term) sendMoved(id string, cell int, r jobRecord) {
	if t.sendRow(cell, Row{RowID: movedRow(t.layout.cellPart(cell), id), Value: encode(r)}) {
		t.post(moveArrived{id})
	}
}

// sendRow writes a row for another cell, unless it is there already, and tells its leader.
func (t *term) sendRow(cell int, row Row) bool {
	if !t.putUntilDone(Transaction{Expect: []Expectation{{row.RowID, 0}}, Puts: []Row{row}}, &row) {
		return false
	}
	t.tellCell(cell, row)
	return true
}

// sendCancelled tells the other cell of a job's cancellation, after the job's row.
func (t *term) sendCancelled(id string, cell int) {
	row := Row{RowID: movedRow(t.layout.cellPart(cell), id+cancelSuffix), Value: []byte{1}}
	if t.putUntilDone(Transaction{Puts: []Row{row}}, &row) {
		t.tellCell(cell, row)
	}
}

// putUntilDone repeats a transaction of one row until it or its like is applied. It
// reports false when the term is over; the next one repeats it.
func (t *term) putUntilDone(tx Transaction, row *Row) bool {
	for pause := commitBackoff; t.ctx.Err() == nil; pause = min(2*pause, commitBackoffMax) {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeouts[len(commitTimeouts)-1])
		result, err := t.cfg.Store.Commit(ctx, tx)
		cancel()
		var conflict *ConflictError
		switch {
		case err == nil:
			row.Version = result.Version
			return true
		case errors.As(err, &conflict) && len(conflict.Rows) > 0:
			row.Version = conflict.Rows[0].Version
			return true
		}
		t.log.WithError(err).WithField("job", row.Key).Debug("row of a moved job is written again")
		sleep(t.ctx, pause+jitter())
	}
	return false
}

// tellCell lets the leader of another cell know of a row at once; its watch would.
func (t *term) tellCell(cell int, row Row) {
	if t.tell != nil {
		t.tell(cell, row)
	}
}

// moveArrived reports that the row of a moved job is stored.
type moveArrived struct{ id string }

func (e moveArrived) handle(t *term) {
	j := t.jobs[e.id]
	if j == nil || j.moved == 0 || j.arrivedThere {
		return
	}
	j.arrivedThere, j.dirty = true, true
	if j.cancelled {
		go t.sendCancelled(j.id, j.moved-1)
	}
}

// finishMoves writes again, at the begin of a term, what the other cells may lack.
func (t *term) finishMoves() {
	for _, j := range t.jobs {
		switch {
		case j.moved == 0:
			t.finishLent(j)
		case !j.arrivedThere:
			go t.sendMoved(j.id, j.moved-1, t.recordOf(j))
		case j.cancelled:
			go t.sendCancelled(j.id, j.moved-1)
		}
	}
}

// recordOf returns the row of a job for the cell that it moves to.
func (t *term) recordOf(j *job) jobRecord {
	r := jobRecord{Queue: j.queue, Spec: j.spec, AcceptedAt: j.acceptedAt, Path: append(slices.Clone(j.path), t.cell)}
	if j.started || j.inherited {
		p := j.progress()
		p.Moved, p.Arrived = 0, false
		r.Progress, r.Attempts = &p, j.attempts+int(t.number)*attemptsPerTerm
	}
	return r
}

// movedRows reports changed rows of the table of moved jobs.
type movedRows struct {
	rows     []Row
	storeNow time.Duration
}

func (e movedRows) handle(t *term) {
	rows := slices.Clone(e.rows)
	slices.SortFunc(rows, func(a, b Row) int { // a job, or a task of it, before its cancellation
		return cmp.Or(cmp.Compare(cancelLast(a), cancelLast(b)), cmp.Compare(a.Key, b.Key))
	})
	for _, row := range rows {
		if row.Part == t.part && (row.Removed || !t.takeLent(row, e.storeNow)) {
			t.takeJobRow(row, e.storeNow)
		}
	}
}

func cancelLast(row Row) int {
	if strings.HasSuffix(row.Key, cancelSuffix) {
		return 1
	}
	return 0
}
