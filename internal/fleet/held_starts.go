package fleet

// A leader that takes over must know a lost service from a new one: new services wait for capacity that
// is kept for short work. If a service were lost with its worker and its leader before its first start is
// stored, nothing would tell the next leader that it ran. So the first start of a service takes its place
// on a worker at once, and its order is held back until the job is stored as started. Other start orders are
// held back while the host carries out as many calls as it can, see callSlots.

// holdsStart reports whether the order for a new run of a job's step must be held back. Lent tasks count
// as lost ones for every leader of the cell that runs them.
func (j *job) holdsStart(s *Step) bool {
	return s.Lasting && !s.Filler && j.visibleState == StateQueued && len(j.borrowed) == 0
}

// heldFor returns what the start order of a held run waits for.
func (r *run) heldFor() waitReason {
	if r.job.holdsStart(r.step) {
		return waitsForStartRecord
	}
	return waitsForCallSlot
}

// held reports whether the start order of a run is held back. A run that was stopped or lost meanwhile has left
// its worker.
func (r *run) held() bool { return r.state == runHeld && r.worker.runs[r.ref] == r }

// holdStart holds the start order of a run back.
func (t *term) holdStart(r *run) {
	r.state = runHeld
	t.heldStarts = append(t.heldStarts, r)
}

// sendHeldStarts sends the held start orders that may be sent now, in the order of their plan. A task that
// may not start on its worker any more waits for another place, and with it the other members of its gang.
func (t *term) sendHeldStarts() {
	if t.stopsWait || t.jobsOutdated() {
		return // stops go first, and so do cancellations
	}
	held := t.heldStarts
	t.heldStarts = nil
	free := t.freeCalls(len(held))
	var ready []*run
	for _, r := range held {
		switch {
		case !r.held():
			// It was stopped or lost meanwhile.
		case len(ready) >= free && !r.step.Gang, r.job.holdsStart(r.step):
			t.heldStarts = append(t.heldStarts, r)
		case !t.mayStillStart(r):
			t.markLost(r, reasonNotSent)
			if r.step.Gang {
				t.stopGang(r.job, r.key, reasonNotSent)
			}
		default:
			ready = append(ready, r)
		}
	}
	for _, r := range ready {
		if r.held() {
			r.startedAt, r.progressAt = t.now, t.now
			r.worker.observeStart(r)
			t.orderStart(r)
		}
	}
}

// mayStillStart reports whether a held start may be sent.
func (t *term) mayStillStart(r *run) bool {
	w := r.worker
	free := w.free()
	o, tk := r.job.task(r.key)
	reason := t.unusableReason(w)
	usable := reason == "" || (r.lastResort && reason == unusableResting && w.health.lastResort(t.now))
	switch {
	case !t.active() || !usable || tk == nil || (len(tk.runs) > 1 && !r.step.Speculative):
		return false
	case free.MilliCPU < 0 || free.MemoryMB < 0 || free.Accelerators < 0:
		return false
	case w.keepsApart(r.job, t.now):
		return false
	}
	a := o.steps[r.key.step].advice
	return r.ticket == "" || (a != nil && t.now.Before(a.validUntil))
}
