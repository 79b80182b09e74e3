package fleettest

// Kill ends a worker without notice.
func (f *Workers) Kill(w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kill(w)
}

// Silence ends a worker without notice, and its host with it: nobody refuses or resets connections. A
// connection attempt waits until the next lifetime is up. Answers to long polls that are on their way
// still arrive, so that the next polls find the address silent.
func (f *Workers) Silence(w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.dead {
		return
	}
	last := w.report()
	w.lastReport = &last
	f.kill(w)
	f.silent[w.Info.Addr] = true
	close(w.wake)
}

// kill ends a worker without notice. The lock is held.
func (f *Workers) kill(w *Worker) {
	w.dead = true
	w.trace("ends with %d runs", len(w.runs))
	for ref := range w.runs {
		w.fleet.checker.lost(ref.Task)
		w.removeRun(ref)
	}
	if f.workers[w.Info.Addr] == w {
		delete(f.workers, w.Info.Addr)
	}
}

// crash ends the worker of a run that crashes it. Connections to the worker are reset.
func (f *Workers) crash(k *simulatedRun) {
	f.mu.Lock()
	w := k.worker
	if w.dead || w.runs[k.ref] != k {
		f.mu.Unlock()
		return
	}
	f.checker.crashed(k.ref.Task)
	f.kill(w)
	close(w.wake)
	f.mu.Unlock()
	if f.OnCrash != nil {
		f.OnCrash(w)
	}
}
