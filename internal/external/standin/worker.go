package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Worker serves a WorkerCore over HTTP and advances its tasks with a timer.
type Worker struct {
	cfg WorkerConfig

	mu     sync.Mutex
	core   *WorkerCore
	timer  *time.Timer
	resume chan struct{} // closed at the end of a pause; nil when not paused
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

// Kill ends all attempts, to simulate a host failure. Restart starts a new process.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Kill(time.Now())
}

// Restart replaces the worker's process. Attempts, reports, sessions and epochs of the
// previous process are lost.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Kill(time.Now())
	w.core = NewWorkerCore(w.cfg, time.Now())
}

// Live returns the running attempts.
func (w *Worker) Live() []external.AttemptRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Advance(time.Now())
	return w.core.Live()
}

// Slowdown returns the current slowdown factor of a service on the worker.
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
		abortConnection()
	}
	delayHalf(fault.Slow)
	report, err := w.command(cmd)
	delayHalf(fault.Slow)
	if w.cfg.Faults.chance(fault.LoseResponse) {
		abortConnection()
	}
	if err != nil {
		writeError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, report)
}

// command waits for the end of a pause and then executes cmd, also when the client has
// disconnected: a resumed process executes the commands in its socket buffer.
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
