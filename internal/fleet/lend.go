package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A job that runs does not leave its cell. A lasting task of it that was lost, or for which
// there was no room beside the others, may find none there, while another cell has some. The leader then lends the task to that cell:
// it stores so under its fence, never starts the task again itself, and writes a row by
// which the other cell runs this one task of the job until the job is cancelled.

const (
	// lendAfter is how long a lasting task waits for room in its own cell, where
	// short work ends and leaves some.
	lendAfter = 1500 * time.Millisecond
	// lendPause spaces the looks at the room of other cells: a renewal after the tasks
	// that were lent have started there tells what room is left.
	lendPause = 800 * time.Millisecond
	// heldForOthers bounds the workers that a cell keeps for stuck tasks of others.
	heldForOthers = 6
	// lentMark precedes step and index in the key of a lent task's row.
	lentMark = "/task-"
)

// hole is the room on one worker.
type hole struct {
	MilliCPU int64 `cbor:"1,keyasint"`
	MemoryMB int64 `cbor:"2,keyasint"`
	// Labels are those of the worker but its rack.
	Labels []string `cbor:"3,keyasint,omitempty"`
}

// lendStuck lends tasks of a lasting step of a job that runs, which have found no worker for
// a while. It is called when some of them found none. Steps of which few may be missed at once stay
// whole: two cells would not know what the other takes away.
func (t *term) lendStuck(w *want) {
	o := &w.occ.steps[w.index]
	if t.layout.Cells == 1 || w.step.Gang || w.step.SameRack || w.step.Near != "" || len(w.job.path) >= maxMoves || w.job.spec.Repeats != 0 || w.step.Needs.Accelerators > 0 || w.step.MayMiss > 0 {
		return
	}
	for _, i := range w.tasks {
		tk := &o.tasks[i]
		switch {
		case len(tk.runs) > 0 || tk.lent > 0:
			continue
		case tk.stuck.IsZero():
			tk.stuck = t.now
		}
		if t.now.Sub(tk.stuck) < lendAfter {
			continue
		}
		if cell, found := t.cellWithHole(w.step, w.job.path); found {
			t.lend(w.job, w.key(i), tk, cell)
		} else {
			t.noteStuck(w)
		}
	}
}

// stuckTask is a lasting task that finds room in no cell.
type stuckTask struct {
	Service  model.ServiceName `cbor:"1,keyasint"`
	MilliCPU int64             `cbor:"2,keyasint"`
	MemoryMB int64             `cbor:"3,keyasint"`
	Label    string            `cbor:"4,keyasint,omitempty"`
	// Count is how many such tasks the cell has, of any size.
	Count int `cbor:"5,keyasint"`
}

// noteStuck remembers a task of a step as the one that the cell tells of: the smallest.
func (t *term) noteStuck(w *want) {
	need, count := w.step.Reserved(), 0
	if t.stuck != nil {
		count = t.stuck.Count
	}
	if t.stuck == nil || need.MilliCPU < t.stuck.MilliCPU {
		t.stuck = &stuckTask{w.queue.Service, need.MilliCPU, need.MemoryMB, w.step.Label, 0}
	}
	t.stuck.Count = count + 1
}

// holdForOthers keeps some workers free of new short work for stuck tasks of other cells:
// where short work fills each hole at once, none would be told.
func (t *term) holdForOthers(p *placement, service model.ServiceName) {
	left := heldForOthers
	for _, s := range t.stuckElsewhere {
		if s.Service != service {
			continue
		}
		step := Step{Label: s.Label, Lasting: true, Needs: model.Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB}}
		for range min(s.Count, left) {
			p.holdFor(&step)
			left--
		}
	}
}

// cellWithHole returns another cell of which a worker has room for a task of s, and takes
// that room. Cells that the job has left know it as moved and would not take it.
func (t *term) cellWithHole(s *Step, left []int) (cell int, found bool) {
	t.readHoles()
	need := s.Reserved()
	var best *hole
	for other, holes := range t.holes {
		if slices.Contains(left, other) {
			continue
		}
		for i := range holes {
			if h := &holes[i]; need.Fits(h.resources()) && hasLabel(h.Labels, s.Label) && (best == nil || h.MilliCPU > best.MilliCPU) {
				best, cell = h, other
			}
		}
	}
	if best == nil {
		return 0, false
	}
	if s.PerWorker > 0 {
		*best = hole{} // the worker may not bear a second one
		return cell, true
	}
	best.MilliCPU -= need.MilliCPU
	best.MemoryMB -= need.MemoryMB
	return cell, true
}

func (h hole) resources() model.Resources {
	return model.Resources{MilliCPU: h.MilliCPU, MemoryMB: h.MemoryMB}
}

// readHoles takes over what other cells tell of their holes, once in a while: what was
// lent before is in the news by then.
func (t *term) readHoles() {
	if t.now.Sub(t.holesRead) < lendPause {
		return
	}
	t.holesRead, t.holes, t.stuckElsewhere = t.now, map[int][]hole{}, nil
	for _, o := range t.otherRooms() {
		if o.room.Stuck != nil {
			t.stuckElsewhere = append(t.stuckElsewhere, *o.room.Stuck)
		}
		t.holes[o.cell] = ownHoles(o.room.Holes, t.cell, o.cell, t.layout.Cells)
	}
}

// ownHoles returns the part of the holes of a cell that another cell may use: each has a
// part of its own, so that no two use one.
func ownHoles(holes []hole, own, other, cells int) []hole {
	var part []hole
	turn := (own - other + cells) % cells // 1 to cells-1
	for i, h := range holes {
		if i%(cells-1) == turn-1 {
			part = append(part, h)
		}
	}
	return part
}

// lend decides that another cell runs a task. The next transaction stores it.
func (t *term) lend(j *job, key taskKey, tk *task, cell int) {
	tk.lent, tk.attempt, j.dirty = cell+1, 0, true
	t.counters.lent.Inc()
	t.log.WithFields(logrus.Fields{"decision": "lend", "job": j.id, "task": key.Name(j.id), "to_cell": cell,
		"waited_ms": t.now.Sub(tk.stuck).Milliseconds()}).Info("task is lent to another cell")
}

// lentTasks lists the lent tasks of a job; only those whose rows have not been sent, if
// unsent is true.
func (j *job) lentTasks(unsent bool) []taskKey {
	var keys []taskKey
	for _, o := range j.occurrences {
		for s := range o.steps {
			for i := range o.steps[s].tasks {
				if tk := &o.steps[s].tasks[i]; tk.lent > 0 && !(unsent && tk.lentSent) {
					keys = append(keys, taskKey{o.number, s, i})
				}
			}
		}
	}
	return keys
}

// lentKey is the key of the row of a lent task.
func lentKey(job string, k taskKey) string {
	return job + lentMark + strconv.Itoa(k.step) + "." + strconv.Itoa(k.index)
}

// sendLent writes the rows of lent tasks; a row that is there already is the same. The
// decisions must be stored. A cancellation follows them.
func (t *term) sendLent(j *job, keys []taskKey) {
	for _, k := range keys {
		_, tk := j.task(k)
		if tk == nil || tk.lent == 0 {
			continue
		}
		tk.lentSent = true
		cell := tk.lent - 1
		row := Row{RowID: movedRow(t.layout.cellPart(cell), lentKey(j.id, k)), Value: encode(t.lentRecord(j, k))}
		go func() {
			if t.sendRow(cell, row) {
				t.post(lentArrived{j, cell})
			}
		}()
	}
}

// lentArrived reports that the row of a lent task is stored. A cancellation that came
// meanwhile may have passed it.
type lentArrived struct {
	job  *job
	cell int
}

func (e lentArrived) handle(t *term) {
	if e.job.cancelled {
		go t.sendCancelled(e.job.id, e.cell)
	}
}

// finishLent writes again, at the begin of a term, what cells that borrowed tasks of a job
// may lack. A cancelled job is lent no more: they may have forgotten it already.
func (t *term) finishLent(j *job) {
	if j.cancelled {
		t.cancelLent(j)
	} else {
		t.sendLent(j, j.lentTasks(true))
	}
}

// cancelLent tells the cells that borrowed tasks of a job of its cancellation.
func (t *term) cancelLent(j *job) {
	for _, k := range j.lentTasks(false) {
		_, tk := j.task(k)
		go t.sendCancelled(j.id, tk.lent-1)
	}
}

// lentRecord returns the row of a lent task: its job, of which all other tasks are done.
func (t *term) lentRecord(j *job, k taskKey) jobRecord {
	p := progressRecord{State: StateRunning, Started: true, Open: []occurrenceRecord{{Number: k.occurrence, Steps: make([][]taskRecord, len(j.spec.Steps))}}}
	for s := range j.spec.Steps {
		for i := range j.spec.Steps[s].Count {
			if s != k.step || i != k.index {
				p.Open[0].Steps[s] = append(p.Open[0].Steps[s], taskRecord{Index: i, Done: true})
			}
		}
	}
	path := []int{t.cell}
	for len(path) < maxMoves {
		path = append(path, t.cell) // the borrowed task stays where it is
	}
	return jobRecord{Queue: j.queue, Spec: j.spec, AcceptedAt: j.acceptedAt, Path: path, Progress: &p,
		Attempts: j.attempts + int(t.number)*attemptsPerTerm}
}

// takeLent takes the row of a task that another cell has lent. A second task of the same
// job joins the first.
func (t *term) takeLent(row Row, storeNow time.Duration) bool {
	id, name, lent := strings.Cut(row.Key, lentMark)
	if !lent {
		return false
	}
	j, lentRow := t.jobs[id], row.RowID
	if j == nil {
		row.Key = id
		t.takeJobRow(row, storeNow)
		if j = t.jobs[id]; j != nil {
			j.borrowed = append(j.borrowed, lentRow)
		}
		return true
	}
	k, ok := parseLent(name)
	var r jobRecord
	_, tk := j.task(k)
	if len(j.borrowed) == 0 {
		return true // the job itself is in this cell
	}
	if !slices.Contains(j.borrowed, lentRow) {
		j.borrowed = append(j.borrowed, lentRow)
	}
	if !ok || tk == nil || !tk.done || decodeRecord(row, &r) != nil {
		return true // known already
	}
	*tk = task{}
	j.attempts = max(j.attempts, r.Attempts)
	j.occurrences[0].steps[k.step].left++
	j.dirty, t.dirty = true, true
	return true
}

// parseLent reads step and index of a lent task.
func parseLent(name string) (taskKey, bool) {
	step, index, ok := strings.Cut(name, ".")
	s, errStep := strconv.Atoi(step)
	i, errIndex := strconv.Atoi(index)
	return taskKey{0, s, i}, ok && errStep == nil && errIndex == nil && s >= 0 && i >= 0
}
