package fleet

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// Jobs are spread over cells by a hash of their ids, and cells fill unevenly. A job
// that finds no room in its cell, or much less than elsewhere, moves to another one
// before its first task starts, or between two steps, when nothing of it runs. Lasting
// work that has begun moves only when no worker of the cell can hold any of it. The leader of the cell that it leaves stores that
// decision under its fence and starts nothing of the job any more; only then does it
// write the job's row for the other cell. Whoever leads either cell later finds the
// decision or the row, and writes the row again where it may be missing.

const (
	// maxMoves bounds the cells that a job leaves.
	maxMoves = 3
	// evenServices is how much fuller than the fleet, as a share of its capacity, a cell
	// may become by new services.
	evenServices = 0.05
	// evenFillers is the same for what is left over for fillers.
	evenFillers = 0.08
	// burstShare of a cell's capacity asked for by new services is a burst: what other
	// cells told before it says nothing of their share in it.
	burstShare = 0.05
	// roomWait bounds how long the services of a burst wait for such news.
	roomWait = 1500 * time.Millisecond
	// roomAge is how old the news of another cell may be.
	roomAge = 2500 * time.Millisecond
	// typicalShare is the share of its worker that a filler usually demands.
	typicalShare = 0.1
	// evenLight is the same for what is left over beside services that bear a filler.
	evenLight = 0.01
	// moveCheckEvery is the pause between two looks for a better cell for one job,
	// moveChecksPerRound the most of them in one plan.
	moveCheckEvery     = 200 * time.Millisecond
	moveChecksPerRound = 8
	// strandedAfter is how long no lasting task of a job that has begun finds a worker
	// before the job moves.
	strandedAfter = 1 * time.Second
	// grantMemory is how long after news of a cell was seen the jobs sent there are
	// counted on top: they may have been on their way.
	grantMemory = 700 * time.Millisecond
)

// room is what a cell tells of its load, in thousandths of a core.
type room struct {
	// Capacity is that of the workers that take new runs.
	Capacity int64 `cbor:"1,keyasint"`
	// Reserved is what runs reserve and what waiting tasks want to.
	Reserved int64 `cbor:"2,keyasint"`
	// Spare is what is left over for fillers, less what waits for it; may be negative.
	Spare int64 `cbor:"3,keyasint"`
	// Light is the part of what is left over, by image of a filler, that lies beside
	// services on which the image hardly presses; less what waits of that image.
	Light map[string]int64 `cbor:"4,keyasint,omitempty"`
	// Hole is the room on the worker with most of it.
	Hole hole `cbor:"5,keyasint"`
}

// fill is the reserved share of the capacity.
func (r room) fill() float64 { return float64(r.Reserved) / float64(max(r.Capacity, 1)) }

// spare is the share of the capacity that is left for fillers.
func (r room) spare() float64 { return float64(r.Spare) / float64(max(r.Capacity, 1)) }

// light is the share of the capacity on which fillers of an image hardly press.
func (r room) light(image string) float64 {
	return float64(r.Light[image]) / float64(max(r.Capacity, 1))
}

// add counts a job with demand d. It leaves the receiver's map as it is.
func (r room) add(d demand) room {
	if d.filler {
		r.Spare -= d.milliCPU
		if l, known := r.Light[d.image]; known {
			r.Light = maps.Clone(r.Light)
			r.Light[d.image] = l - d.milliCPU
		}
	} else {
		r.Reserved += d.milliCPU
		r.Spare -= d.milliCPU / 2
	}
	return r
}

// cellRoom is the room of another cell and when this node heard of it.
type cellRoom struct {
	cell int
	room room
	at   time.Time
}

// demand is what the waiting tasks of a step ask for.
type demand struct {
	milliCPU int64
	filler   bool
	lasting  bool
	// image is that of lasting steps and of fillers; empty for others.
	image string
}

// demandOf returns the demand of a waiting step.
func demandOf(w *want) demand {
	d := demand{milliCPU: int64(len(w.tasks)) * w.step.Needs.MilliCPU, filler: w.step.Filler, lasting: w.step.Lasting}
	if d.filler || d.lasting {
		d.image = w.step.Image
	}
	return d
}

// moveChoice is what to do with a job that has not begun.
type moveChoice int

const (
	stayHere moveChoice = iota
	moveThere
	waitForNews
)

// chooseCell decides whether a job with demand d should begin in its own cell, whose
// room counts the job already, or elsewhere. Fits tells whether all tasks of its first
// step find a worker now. It answers cells that fill unevenly as jobs are hashed to
// them: services, which stay, are gathered by image as far as cells stay even; fillers go
// where clearly more is left over; short urgent work moves only when it finds no room,
// as a move takes some 70 ms.
func chooseCell(own cellRoom, others []cellRoom, d demand, fits, burst bool, arrived time.Time) (moveChoice, int) {
	switch {
	case d.lasting:
		return chooseForService(own, others, d, fits, burst, arrived)
	case d.filler && (own.room.Light[d.image] < 0 || !fits):
		// The own room counts the job already.
		if best := lightestCell(others, d); best != nil && best.room.add(d).light(d.image) > own.room.light(d.image)+evenLight {
			return moveThere, best.cell
		}
	}
	best := bestCell(others, d)
	if best == nil {
		return stayHere, 0
	}
	there := best.room.add(d)
	switch {
	case d.filler:
		if there.spare() > own.room.spare()+evenFillers || (!fits && there.Spare > 0 && there.spare() > own.room.spare()) {
			return moveThere, best.cell
		}
	case !fits && there.fill() < min(1, own.room.fill()):
		return moveThere, best.cell
	}
	return stayHere, 0
}

// chooseForService places a lasting job. Each image prefers cells in an order of its
// own, so that a cell holds few images: tasks of one image bear each other best, steps
// with a bound per worker need many workers of their image, and what presses on an image
// is learnt where it is common. A cell that would become clearly fuller than the fleet is
// passed over. In a burst, what others told before it says nothing of their share.
func chooseForService(own cellRoom, others []cellRoom, d demand, fits, burst bool, arrived time.Time) (moveChoice, int) {
	total, oldest := own.room, arrived.Add(time.Hour)
	for _, o := range others {
		total.Reserved += o.room.Reserved
		total.Capacity += o.room.Capacity
		if o.at.Before(oldest) {
			oldest = o.at
		}
	}
	limit := total.fill() + evenServices
	best, rank := -1, uint64(0)
	for _, o := range others {
		if r := preference(d.image, o.cell); o.room.add(d).fill() <= limit && (best < 0 || r > rank) {
			best, rank = o.cell, r
		}
	}
	switch {
	case !fits && best >= 0:
		return moveThere, best
	case !fits && len(others) > 0:
		return waitForNews, 0
	case own.room.fill() <= limit && (best < 0 || d.image == "" || preference(d.image, own.cell) > rank):
		return stayHere, 0
	case burst && !oldest.After(arrived) && own.room.fill() > limit:
		return waitForNews, 0
	case best < 0:
		return stayHere, 0
	}
	return moveThere, best
}

// lightestCell returns the cell with most left over beside services on which the image of
// a filler hardly presses, or nil when none knows the image.
func lightestCell(others []cellRoom, d demand) *cellRoom {
	var best *cellRoom
	for i := range others {
		o := &others[i]
		if _, known := o.room.Light[d.image]; known && (best == nil || o.room.light(d.image) > best.room.light(d.image)) {
			best = o
		}
	}
	return best
}

// preference ranks cells for an image; the highest comes first.
func preference(image string, cell int) uint64 {
	return xxhash.Sum64String(image + "/" + strconv.Itoa(cell))
}

// bestCell returns the cell with most room for a kind of work, or nil.
func bestCell(others []cellRoom, d demand) *cellRoom {
	var best *cellRoom
	for i := range others {
		o := &others[i]
		if o.room.Capacity < 2*d.milliCPU {
			continue
		}
		if best == nil || (d.filler && o.room.spare() > best.room.spare()) || (!d.filler && o.room.fill() < best.room.fill()) {
			best = o
		}
	}
	return best
}

// grant is a job sent to another cell.
type grant struct {
	cell   int
	demand demand
	at     time.Time
}

// ownRoom adds up the cell's workers and the work that waits.
func (t *term) ownRoom(wants []*want) room {
	r := room{Light: map[string]int64{}}
	for image := range t.harm.fillers {
		r.Light[image] = 0
	}
	for _, w := range t.workers {
		if t.unusable(w) != "" {
			continue
		}
		r.Capacity += w.info.Capacity.MilliCPU
		r.Reserved += w.used.MilliCPU
		if free := w.free(); free.MilliCPU > r.Hole.MilliCPU && !w.health.onProbation() {
			r.Hole = hole{free.MilliCPU, free.MemoryMB}
		}
		left := w.leftover()
		r.Spare += left
		if left > 0 {
			t.addLight(r.Light, w, left)
		}
	}
	for _, w := range wants {
		need := int64(len(w.tasks)) * w.step.Needs.MilliCPU
		if !w.step.Filler {
			r.Reserved += need
			continue
		}
		r.Spare -= need
		if _, known := r.Light[w.step.Image]; known {
			r.Light[w.step.Image] -= need
		}
	}
	return r
}

// addLight adds what is left over on a worker to the images that hardly press on its
// services.
func (t *term) addLight(light map[string]int64, w *worker, left int64) {
	v := t.harm.viewFor(w, t.now)
	if !v.disturbed.IsZero() {
		return
	}
	for image := range light {
		slight := true
		for _, s := range v.images {
			slight = slight && s.model.cautious(image, t.now)*typicalShare <= lightShare*s.model.highest
		}
		if slight {
			light[image] += left
		}
	}
}

// otherRooms returns the rooms of other cells that are known, with the jobs that were
// sent there meanwhile.
func (t *term) otherRooms() []cellRoom {
	if t.rooms == nil {
		return nil
	}
	t.grants = slices.DeleteFunc(t.grants, func(g grant) bool { return t.now.Sub(g.at) > roomAge+grantMemory })
	var others []cellRoom
	for _, o := range t.rooms() {
		if o.cell == t.cell || t.now.Sub(o.at) > roomAge || o.room.Capacity == 0 {
			continue
		}
		for _, g := range t.grants {
			if g.cell == o.cell && g.at.After(o.at.Add(-grantMemory)) {
				o.room = o.room.add(g.demand)
			}
		}
		others = append(others, o)
	}
	return others
}

// moveJobs sends jobs that have not begun to cells with more room, and returns the
// steps that are to be placed here.
func (t *term) moveJobs(wants []*want) []*want {
	if t.layout.Cells == 1 || !slices.ContainsFunc(wants, func(w *want) bool { return t.mayMove(w) }) {
		return wants
	}
	m := moveRound{term: t, others: t.otherRooms()}
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
	d, fits := demandOf(w), t.fits(w)
	if w.step.Lasting && !j.movable() && (fits || t.holdsAny(w)) {
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

// excluding returns the cells that a job has not left.
func excluding(others []cellRoom, path []int) []cellRoom {
	if len(path) == 0 {
		return others
	}
	var rest []cellRoom
	for _, o := range others {
		if !slices.Contains(path, o.cell) {
			rest = append(rest, o)
		}
	}
	return rest
}

// waitingServices adds up what lasting steps that have not begun ask for.
func waitingServices(wants []*want) int64 {
	sum := int64(0)
	for _, w := range wants {
		if w.step.Lasting && !w.job.started {
			sum += int64(len(w.tasks)) * w.step.Needs.MilliCPU
		}
	}
	return sum
}

// holdsAny reports whether any waiting task of a step could run in the cell.
func (t *term) holdsAny(w *want) bool {
	one := *w
	one.tasks = w.tasks[:1]
	return t.fits(&one)
}

// fits reports whether all waiting tasks of a step find a worker now.
func (t *term) fits(w *want) bool {
	p := t.pool(w.queue.Service)
	r := request{step: w.step, onWorker: map[*worker]int{}}
	room := 0
	for _, x := range p.workers {
		if p.feasible(x, r) {
			room += copies(w.step, x)
		}
		if room >= len(w.tasks) {
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
	case j.moved > 0, len(j.path) >= maxMoves, j.spec.Repeats != 0, j.over():
		return false
	case w.step.Lasting && t.waited(j, w.key(0)) < strandedAfter:
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

// movable reports whether the job may leave its cell: nothing of it has ever begun. Of
// jobs from before this term that is not certain.
func (j *job) movable() bool {
	return !j.started && !j.inherited && j.moved == 0 && len(j.path) < maxMoves && j.spec.Repeats == 0 && !j.over()
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
	part := t.layout.cellPart(cell)
	row := Row{RowID: movedRow(part, id), Value: encode(r)}
	if t.putUntilDone(Transaction{Expect: []Expectation{{row.RowID, 0}}, Puts: []Row{row}}, &row) {
		t.tellCell(cell, row)
		t.post(moveArrived{id})
	}
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
		select {
		case <-t.ctx.Done():
		case <-time.After(pause + jitter()):
		}
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
