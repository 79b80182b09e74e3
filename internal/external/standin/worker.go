package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Worker serves a WorkerCore over HTTP and runs its tasks by a timer.
type Worker struct {
	cfg WorkerConfig

	mu     sync.Mutex
	core   *WorkerCore
	timer  *time.Timer
	resume chan struct{} // closed when a pause ends; nil while not paused
	closed bool
}

// NewWorker returns an idle worker. Close stops its timer.
func NewWorker(cfg WorkerConfig) *Worker {
	cfg.provision()
	w := &Worker{cfg: cfg, core: NewWorkerCore(cfg, time.Now())}
	w.timer = time.AfterFunc(time.Hour, w.onTimer)
	cfg.Faults.watchWorker(string(cfg.ID), w.onFault)
	return w
}

// Close stops the worker without a report.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.timer.Stop()
	w.endPause()
}

// Kill ends all attempts as the death of the host does. Restart follows it.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Kill(time.Now())
}

// Restart replaces the worker's process: attempts, reports, sessions and epochs
// of its former life are gone.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Kill(time.Now())
	w.core = NewWorkerCore(w.cfg, time.Now())
}

// Live returns the attempts that run now.
func (w *Worker) Live() []external.AttemptRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Advance(time.Now())
	return w.core.Live()
}

// Slowdown returns the factor by which a service on the worker is slowed now.
func (w *Worker) Slowdown(service model.ServiceName) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Slowdown(service)
}

// ServeHTTP serves worker commands.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != httpapi.PathCommand {
		http.NotFound(rw, r)
		return
	}
	var cmd external.WorkerCommand
	if !readJSON(rw, r, &cmd) {
		return
	}
	fault := w.cfg.Faults.Worker(string(w.cfg.ID))
	if fault.Down {
		breakConnection()
	}
	pause(fault.Slow)
	report, err := w.command(cmd)
	pause(fault.Slow)
	if w.cfg.Faults.chance(fault.LoseAnswer) {
		breakConnection()
	}
	if err != nil {
		writeError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, report)
}

// command waits for the end of a pause and then carries cmd out, as a resumed
// process does with what its socket received, whether or not the sender waits.
func (w *Worker) command(cmd external.WorkerCommand) (external.WorkerReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.resume != nil {
		resumed := w.resume
		w.mu.Unlock()
		<-resumed
		w.mu.Lock()
	}
	report, err := w.core.Command(time.Now(), cmd)
	w.schedule()
	return report, err
}

// schedule sets the timer to the next event of the core.
func (w *Worker) schedule() {
	if at, ok := w.core.NextEvent(); ok && !w.closed {
		w.timer.Reset(max(0, time.Until(at)))
	}
}

func (w *Worker) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Advance(time.Now())
	w.schedule()
}

func (w *Worker) onFault(fault WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case fault.Paused && w.resume == nil && !w.closed:
		w.core.Pause(time.Now())
		w.resume = make(chan struct{})
	case !fault.Paused && w.resume != nil:
		w.core.Resume(time.Now())
		w.endPause()
		w.schedule()
	}
}

func (w *Worker) endPause() {
	if w.resume != nil {
		close(w.resume)
		w.resume = nil
	}
}
