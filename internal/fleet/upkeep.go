package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times of upkeep.
const (
	// machinesInterval is the pause between two reads of the inventory.
	machinesInterval = 1 * time.Second
	// upkeepTimeout bounds a call to the inventory.
	upkeepTimeout = 2 * time.Second
	// upkeepFresh is how recent the proof of the term must be for an order of upkeep:
	// less than the silence after which another node takes the lead. Not every
	// inventory checks fences.
	upkeepFresh = 1500 * time.Millisecond
	// emptyWait is how long work may end by itself before upkeep.
	emptyWait = 4 * time.Second
	// stopWait is how long after that runs are moved until the upkeep begins.
	stopWait = 2 * time.Second
)

// wave is the progress of a request of upkeep.
type wave struct {
	Wave
	// left holds the machines whose upkeep has not begun.
	left map[string]*upkeepTurn
	// begun lists those whose upkeep has begun, dirty that the store does not know.
	begun []string
	dirty bool
	// down holds machines whose upkeep has begun, and when.
	down   map[string]time.Time
	status string
	// writing is set while the status row is written.
	writing bool
}

// upkeepTurn is a machine that is being emptied.
type upkeepTurn struct {
	begun time.Time // zero while it waits for its turn
	busy  bool
	// remote is what the leader of the machine's cell last told, where that is another
	// one; heard is when it was asked for.
	remote         emptied
	heard, askedAt time.Time
	asking         bool
}

// upkeep holds the inventory and the waves' progress.
type upkeep struct {
	machines map[string]Machine
	read     time.Time
	busy     bool
	// closing holds workers that are being emptied.
	closing map[model.WorkerID]bool
}

// addWave takes a request of upkeep.
func (t *term) addWave(w Wave) {
	if t.waves[w.Number] != nil || t.cfg.Inventory == nil || w.Cap < 1 {
		return
	}
	v := &wave{Wave: w, left: map[string]*upkeepTurn{}, down: map[string]time.Time{}}
	for _, m := range w.Machines {
		v.left[m] = &upkeepTurn{}
	}
	t.waves[w.Number] = v
	t.log.WithFields(logrus.Fields{"decision": "wave", "wave": w.Number, "machines": len(w.Machines), "cap": w.Cap}).Info("upkeep asked for")
}

// runUpkeep moves the waves on.
func (t *term) runUpkeep() {
	open := false
	for _, w := range t.waves {
		open = open || w.status != "completed"
	}
	if !open || t.cell != 0 || !t.active() || !t.upkeepIsOurs() {
		return
	}
	if !t.machines.busy && t.now.Sub(t.machines.read) > machinesInterval {
		t.machines.busy = true
		go t.readMachines()
	}
	t.machines.closing = map[model.WorkerID]bool{}
	for _, w := range t.waves {
		if w.status != "completed" && t.machines.machines != nil {
			t.moveWave(w)
		}
	}
}

// machinesRead is the inventory's answer.
type machinesRead struct {
	machines []Machine
	err      error
}

func (t *term) readMachines() {
	ctx, cancel := context.WithTimeout(t.ctx, upkeepTimeout)
	defer cancel()
	m, err := t.cfg.Inventory.Machines(ctx)
	t.post(machinesRead{m, err})
}

func (e machinesRead) handle(t *term) {
	t.machines.busy, t.machines.read = false, t.now
	if e.err != nil {
		t.log.WithError(e.err).Warn("inventory cannot be read")
		return
	}
	t.machines.machines = map[string]Machine{}
	for _, m := range e.machines {
		t.machines.machines[m.ID] = m
	}
}

// moveWave begins upkeep where the cap and the work on the machines allow it.
func (t *term) moveWave(w *wave) {
	for id, since := range w.down {
		if m, ok := t.machines.machines[id]; ok && m.Up && t.now.Sub(since) > t.cfg.Bounds.Maintenance {
			delete(w.down, id)
		}
	}
	turns := len(w.down)
	for _, id := range w.Machines { // those that went down by a former leader's orders
		if _, ours := w.down[id]; !ours && t.machines.machines[id].InUpkeep {
			turns++
		}
	}
	for _, turn := range w.left {
		if !turn.begun.IsZero() {
			turns++
		}
	}
	for _, id := range w.Machines {
		turn := w.left[id]
		if turn == nil {
			continue
		}
		m, known := t.machines.machines[id]
		if !known {
			delete(w.left, id) // it has left for good
			continue
		}
		if turn.begun.IsZero() && turns < w.Cap && m.Up {
			turn.begun = t.now
			turns++
		}
		if !turn.begun.IsZero() {
			t.emptyMachine(w, m, turn)
		}
	}
	t.reportWave(w)
}

// emptyMachine keeps new work away, moves what runs, then begins the upkeep.
func (t *term) emptyMachine(w *wave, m Machine, turn *upkeepTurn) {
	if cell, other := t.foreign[string(m.Worker)]; other {
		if t.emptyRemote(m.Worker, cell, turn) && !turn.busy {
			turn.busy = true
			go t.maintain(w, m.ID)
		}
		return
	}
	t.machines.closing[m.Worker] = true
	worker := t.workers[m.Worker]
	waited := t.now.Sub(turn.begun)
	t.moveRunsAway(worker, waited)
	runs := 0
	if worker != nil {
		runs = len(worker.runs)
	}
	if turn.busy || (runs > 0 && waited < emptyWait+stopWait) || t.holdsBack(worker) {
		return
	}
	turn.busy = true
	go t.maintain(w, m.ID)
}

// moveRunsAway stops what may be stopped on a worker that is emptied, so that it starts
// elsewhere.
func (t *term) moveRunsAway(w *worker, waited time.Duration) {
	if w == nil {
		return
	}
	for _, r := range w.runs {
		if r.live() && r.job != nil && (r.step.Lasting && t.mayMiss(r) || !r.step.Lasting && waited > emptyWait) {
			t.stop(r, "upkeep")
		}
	}
}

// holdsBack reports whether upkeep must wait for a run on w: a lasting task that
// cannot be missed now, or a run that has just been told to stop and saves its
// progress.
func (t *term) holdsBack(w *worker) bool {
	if w == nil {
		return false
	}
	for _, r := range w.runs {
		switch {
		case r.job == nil:
		case !r.live():
			if t.now.Sub(r.changed) < stopWait {
				return true
			}
		case r.step.Lasting && !t.mayMiss(r):
			return true
		}
	}
	return false
}

// mayMiss reports whether one more task of a lasting step may be away.
func (t *term) mayMiss(r *run) bool {
	if r.step.MayMiss == 0 {
		return true
	}
	o := r.job.find(r.key.occurrence)
	if o == nil {
		return true
	}
	away := 0
	for i := range o.steps[r.key.step].tasks {
		tk := &o.steps[r.key.step].tasks[i]
		if i != r.key.index && (len(tk.runs) == 0 || !tk.runs[0].live() || tk.runs[0].percent < readyPercent) {
			away++
		}
	}
	return away < r.step.MayMiss
}

// maintained is the inventory's answer to the begin of an upkeep.
type maintained struct {
	wave    *wave
	machine string
	verdict MaintainVerdict
	err     error
}

func (t *term) maintain(w *wave, machine string) {
	ctx, cancel := context.WithTimeout(t.ctx, upkeepTimeout)
	defer cancel()
	v, err := t.cfg.Inventory.Maintain(ctx, machine, w.Number, string(t.cfg.Node), t.number)
	t.post(maintained{w, machine, v, err})
}

func (e maintained) handle(t *term) {
	turn := e.wave.left[e.machine]
	if turn == nil {
		return
	}
	turn.busy = false
	t.log.WithFields(logrus.Fields{"decision": "upkeep", "machine": e.machine, "wave": e.wave.Number, "verdict": e.verdict, "error": e.err}).Info("upkeep")
	if e.err != nil || e.verdict == MaintainBusy {
		return // asked again at the next tick
	}
	delete(e.wave.left, e.machine)
	if e.verdict == MaintainBegun {
		e.wave.down[e.machine] = t.now
		e.wave.begun, e.wave.dirty = append(e.wave.begun, e.machine), true
	}
}

// upkeepIsOurs reports whether no other leader begins upkeep now: the former one has
// stopped, with its calls, and this term was in force a moment ago.
func (t *term) upkeepIsOurs() bool {
	if t.now.Sub(t.confirmed) > upkeepFresh {
		return false
	}
	return t.confirmed.After(t.formerAlive.Add(upkeepFresh + upkeepTimeout))
}

// upkeepPending reports whether the begin of an upkeep waits for its answer.
func (t *term) upkeepPending() bool {
	for _, w := range t.waves {
		for _, turn := range w.left {
			if turn.busy {
				return true
			}
		}
	}
	return false
}

// collectWaves adds the progress of waves to a transaction.
func (t *term) collectWaves(c *commit) {
	for _, w := range t.waves {
		if w.dirty && len(c.tx.Puts) < commitRows {
			c.tx.Puts = append(c.tx.Puts, Row{RowID: waveRow(t.part, w.Number), Value: encode(waveRecord{w.Number, w.begun})})
			w.dirty = false
		}
	}
}

// waveRow takes the progress that an earlier term has stored. What it began and did
// not store is begun again, which changes nothing.
func (t *term) waveRow(row Row) {
	var r waveRecord
	if err := decodeRecord(row, &r); err != nil {
		t.log.WithError(err).Warn("progress of upkeep cannot be read")
		return
	}
	w := t.waves[r.Number]
	if w == nil {
		return
	}
	w.begun = r.Begun
	for _, id := range r.Begun {
		delete(w.left, id)
	}
}

// reportWave writes the state of a wave for the operators.
func (t *term) reportWave(w *wave) {
	status := "running"
	if len(w.left) == 0 {
		status = "completed"
	}
	if w.writing || w.status == status {
		return
	}
	w.writing = true
	row := t.cfg.Decoder.WaveStatus(w.Number, status == "completed")
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, upkeepTimeout)
		defer cancel()
		_, err := t.cfg.Store.Commit(ctx, Transaction{Puts: []Row{row}})
		t.post(waveReported{w, status, err})
	}()
}

type waveReported struct {
	wave   *wave
	status string
	err    error
}

func (e waveReported) handle(t *term) {
	e.wave.writing = false
	if e.err == nil {
		e.wave.status = e.status
		return
	}
	t.log.WithError(e.err).WithField("wave", e.wave.Number).Warn("state of the wave is not written")
}
