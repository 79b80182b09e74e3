package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times of maintenance.
const (
	// inventoryInterval is the pause between two reads of the inventory.
	inventoryInterval = 1 * time.Second
	// maintenanceTimeout bounds a call to the inventory.
	maintenanceTimeout = 2 * time.Second
	// maintenanceProofMaxAge is the greatest age of the term's last confirmation at which
	// maintenance may begin. It is less than the time without renewals after which another
	// node takes leadership, because not every inventory checks fences.
	maintenanceProofMaxAge = 1500 * time.Millisecond
	// evacuationGrace is how long tasks on a machine to be maintained may still end by
	// themselves before they are stopped.
	evacuationGrace = 4 * time.Second
	// evictionWait is how long stopped runs may take to end before maintenance begins.
	evictionWait = 2 * time.Second
)

// wave is the progress of a request for maintenance.
type wave struct {
	Wave
	// remaining holds the machines whose maintenance has not begun.
	remaining map[string]*machineEvacuation
	// begun lists the machines whose maintenance has begun; dirty means that the list is not
	// stored yet.
	begun []string
	dirty bool
	// inMaintenance holds the machines that are not back in service yet, and when their
	// maintenance began.
	inMaintenance map[string]time.Time
	status        string
	// statusInFlight is set while the status row is written.
	statusInFlight bool
}

// machineEvacuation is the evacuation of a machine before its maintenance.
type machineEvacuation struct {
	startedAt        time.Time // zero while the machine waits for its turn
	maintainInFlight bool
	// remoteStatus is the latest status from the leader of the machine's cell, if that is
	// another cell, of remoteWorker. remoteAskedAt is when that status was requested, requestedAt when the
	// last request was sent.
	remoteStatus               evacuationStatus
	remoteWorker               model.WorkerID
	remoteAskedAt, requestedAt time.Time
	requestInFlight            bool
}

// maintenanceState holds the inventory and the waves' progress.
type maintenanceState struct {
	machines     map[string]Machine
	readAt       time.Time
	readInFlight bool
	// evacuating holds the workers of the term's own cell that are being evacuated.
	evacuating map[model.WorkerID]bool
}

// addWave adds a request for maintenance.
func (t *term) addWave(w Wave) {
	if t.waves[w.Number] != nil || t.cfg.Inventory == nil || w.Cap < 1 {
		return
	}
	v := &wave{Wave: w, remaining: map[string]*machineEvacuation{}, inMaintenance: map[string]time.Time{}}
	for _, m := range w.Machines {
		v.remaining[m] = &machineEvacuation{}
	}
	t.waves[w.Number] = v
	t.log.WithFields(logrus.Fields{"decision": "wave", "wave": w.Number, "machines": len(w.Machines), "cap": w.Cap}).Info("maintenance wave requested")
}

// runMaintenance advances all waves. Only the leader of the first cell does so.
func (t *term) runMaintenance() {
	open := false
	for _, w := range t.waves {
		open = open || w.status != "completed"
	}
	if !open || t.cell != 0 || !t.active() || !t.mayBeginMaintenance() {
		return
	}
	if !t.maintenance.readInFlight && t.now.Sub(t.maintenance.readAt) > inventoryInterval {
		t.maintenance.readInFlight = true
		go t.readInventory()
	}
	t.maintenance.evacuating = map[model.WorkerID]bool{}
	for _, w := range t.waves {
		if w.status != "completed" && t.maintenance.machines != nil {
			t.advanceWave(w)
		}
	}
}

// inventoryRead is the inventory's answer.
type inventoryRead struct {
	machines []Machine
	err      error
}

func (t *term) readInventory() {
	ctx, cancel := context.WithTimeout(t.ctx, maintenanceTimeout)
	defer cancel()
	m, err := t.cfg.Inventory.Machines(ctx)
	t.post(inventoryRead{m, err})
}

func (e inventoryRead) handle(t *term) {
	t.maintenance.readInFlight, t.maintenance.readAt = false, t.now
	if e.err != nil {
		t.log.WithError(e.err).Warn("inventory cannot be read")
		return
	}
	t.maintenance.machines = map[string]Machine{}
	for _, m := range e.machines {
		t.maintenance.machines[m.ID] = m
	}
}

// advanceWave evacuates machines within the wave's cap and begins their maintenance.
func (t *term) advanceWave(w *wave) {
	for id, since := range w.inMaintenance {
		if m, ok := t.maintenance.machines[id]; ok && m.Up && t.now.Sub(since) > t.cfg.Bounds.Maintenance {
			delete(w.inMaintenance, id)
		}
	}
	inProgress := len(w.inMaintenance)
	for _, id := range w.Machines { // machines whose maintenance a former leader began
		if _, ours := w.inMaintenance[id]; !ours && t.maintenance.machines[id].InMaintenance {
			inProgress++
		}
	}
	for _, evacuation := range w.remaining {
		if !evacuation.startedAt.IsZero() {
			inProgress++
		}
	}
	for _, id := range w.Machines {
		evacuation := w.remaining[id]
		if evacuation == nil {
			continue
		}
		m, known := t.maintenance.machines[id]
		if !known {
			delete(w.remaining, id) // the machine has left the inventory
			continue
		}
		if evacuation.startedAt.IsZero() && inProgress < w.Cap && m.Up {
			evacuation.startedAt = t.now
			inProgress++
		}
		if !evacuation.startedAt.IsZero() {
			t.evacuateMachine(w, m, evacuation)
		}
	}
	t.writeWaveStatus(w)
}

// evacuateMachine keeps new work away from a machine, stops its runs and then begins its
// maintenance.
func (t *term) evacuateMachine(w *wave, m Machine, evacuation *machineEvacuation) {
	if cell, other := t.foreignWorkers[string(m.Worker)]; other {
		if t.evacuateRemote(m.Worker, cell, evacuation) && !evacuation.maintainInFlight {
			evacuation.maintainInFlight = true
			go t.maintain(w, m.ID)
		}
		return
	}
	t.maintenance.evacuating[m.Worker] = true
	worker := t.workers[m.Worker]
	waited := t.now.Sub(evacuation.startedAt)
	t.evictRuns(worker, waited)
	runs := 0
	if worker != nil {
		runs = len(worker.runs)
	}
	if evacuation.maintainInFlight || (runs > 0 && waited < evacuationGrace+evictionWait) || t.blocksMaintenance(worker) {
		return
	}
	evacuation.maintainInFlight = true
	go t.maintain(w, m.ID)
}

// evictRuns stops runs on a worker that is being evacuated, so that their tasks start
// elsewhere: lasting ones as far as their step allows, others after evacuationGrace.
func (t *term) evictRuns(w *worker, waited time.Duration) {
	if w == nil {
		return
	}
	for _, r := range w.runs {
		if r.live() && r.job != nil && (r.step.Lasting && t.mayInterrupt(r) || !r.step.Lasting && waited > evacuationGrace) {
			t.stopRun(r, "upkeep")
		}
	}
}

// blocksMaintenance reports whether maintenance must wait for a run on w: a lasting task
// that must not be interrupted now, or a run that was just ordered to stop and may be saving
// its progress.
func (t *term) blocksMaintenance(w *worker) bool {
	if w == nil {
		return false
	}
	for _, r := range w.runs {
		switch {
		case r.job == nil:
		case !r.live():
			if t.now.Sub(r.stateSince) < evictionWait {
				return true
			}
		case r.step.Lasting && !t.mayInterrupt(r):
			return true
		}
	}
	return false
}

// mayInterrupt reports whether the step of a lasting run allows one more task to be
// interrupted.
func (t *term) mayInterrupt(r *run) bool {
	if r.step.MaxInterrupted == 0 {
		return true
	}
	o := r.job.openOccurrenceAt(r.key.occurrence)
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
	return away < r.step.MaxInterrupted
}

// maintainReply is the inventory's answer to a request to begin maintenance.
type maintainReply struct {
	wave    *wave
	machine string
	verdict MaintainVerdict
	err     error
}

func (t *term) maintain(w *wave, machine string) {
	ctx, cancel := context.WithTimeout(t.ctx, maintenanceTimeout)
	defer cancel()
	v, err := t.cfg.Inventory.Maintain(ctx, machine, w.Number, string(t.cfg.Node), t.number)
	t.post(maintainReply{w, machine, v, err})
}

func (e maintainReply) handle(t *term) {
	evacuation := e.wave.remaining[e.machine]
	if evacuation == nil {
		return
	}
	evacuation.maintainInFlight = false
	t.log.WithFields(logrus.Fields{"decision": "upkeep", "machine": e.machine, "wave": e.wave.Number, "verdict": e.verdict, "error": e.err}).Info("inventory answered maintenance request")
	if e.err != nil || e.verdict == MaintainBusy {
		return // requested again at the next tick
	}
	delete(e.wave.remaining, e.machine)
	if e.verdict == MaintainBegun {
		e.wave.inMaintenance[e.machine] = t.now
		e.wave.begun, e.wave.dirty = append(e.wave.begun, e.machine), true
	}
}

// mayBeginMaintenance reports whether certainly no other leader begins maintenance now: this
// term was confirmed recently, and the former leader's authority and calls have ended.
func (t *term) mayBeginMaintenance() bool {
	if t.now.Sub(t.confirmedAt) > maintenanceProofMaxAge {
		return false
	}
	return t.confirmedAt.After(t.formerOrdersBy.Add(maintenanceProofMaxAge + maintenanceTimeout))
}

// maintenancePending reports whether a request to begin maintenance is in flight.
func (t *term) maintenancePending() bool {
	for _, w := range t.waves {
		for _, evacuation := range w.remaining {
			if evacuation.maintainInFlight {
				return true
			}
		}
	}
	return false
}

// collectWaves adds the progress of waves to a transaction.
func (t *term) collectWaves(c *pendingCommit) {
	for _, w := range t.waves {
		if w.dirty && len(c.tx.Puts) < maxCommitRows {
			c.tx.Puts = append(c.tx.Puts, Row{RowID: waveRow(t.part, w.Number), Value: encode(waveRecord{w.Number, w.begun})})
			w.dirty = false
		}
	}
}

// restoreWave restores the progress that an earlier term has stored. Maintenance that it
// began without storing that is requested again, which has no effect.
func (t *term) restoreWave(row Row) {
	var r waveRecord
	if err := decodeRecord(row, &r); err != nil {
		t.log.WithError(err).Warn("stored progress of a maintenance wave cannot be decoded")
		return
	}
	w := t.waves[r.Number]
	if w == nil {
		return
	}
	w.begun = r.Begun
	for _, id := range r.Begun {
		delete(w.remaining, id)
	}
}

// writeWaveStatus writes the status of a wave for the operators if it has changed.
func (t *term) writeWaveStatus(w *wave) {
	status := "running"
	if len(w.remaining) == 0 {
		status = "completed"
	}
	if w.statusInFlight || w.status == status {
		return
	}
	w.statusInFlight = true
	row := t.cfg.Decoder.WaveStatus(w.Number, status == "completed")
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, maintenanceTimeout)
		defer cancel()
		_, err := t.cfg.Store.Commit(ctx, Transaction{Puts: []Row{row}})
		t.post(waveStatusWritten{w, status, err})
	}()
}

type waveStatusWritten struct {
	wave   *wave
	status string
	err    error
}

func (e waveStatusWritten) handle(t *term) {
	e.wave.statusInFlight = false
	if e.err == nil {
		e.wave.status = e.status
		return
	}
	t.log.WithError(e.err).WithField("wave", e.wave.Number).Warn("writing the status of the maintenance wave failed")
}
