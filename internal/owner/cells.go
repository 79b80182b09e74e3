package owner

import (
	"context"
	"sync"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// Cells manages the runtimes of the cells that this node owns. It implements
// ownership.Handler and is safe for concurrent use.
type Cells struct {
	cfg Config

	mu      sync.Mutex
	running map[model.CellID]*runningCell
	closed  bool
}

// runningCell is a runtime with the handles to stop it.
type runningCell struct {
	runtime *Runtime
	cancel  context.CancelFunc
	stopped sync.WaitGroup
}

// New returns an empty Cells.
func New(cfg Config) *Cells {
	cfg.setDefaults()
	return &Cells{cfg: cfg, running: map[model.CellID]*runningCell{}}
}

// Acquired recovers the state of a cell and starts its runtime.
func (c *Cells) Acquired(owned *ownership.Owned) {
	runtime, err := newRuntime(&c.cfg, owned)
	if err != nil {
		c.cfg.Log.WithError(err).WithField("cell", string(owned.Cell)).Error("cell state could not be recovered; the cell is not started")
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	rc := &runningCell{runtime: runtime, cancel: cancel}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cancel()
		return
	}
	c.running[owned.Cell] = rc
	rc.stopped.Go(func() { runtime.run(ctx) })
	rc.stopped.Go(func() { _ = runtime.disp.Run(ctx) }) // Run returns nil once ctx ends
	c.cfg.Log.WithField("cell", string(owned.Cell)).WithField("epoch", uint64(owned.Epoch)).Info("cell acquired")
}

// Lost stops a cell and returns once no more commands are sent for it.
func (c *Cells) Lost(id model.CellID, reason string) {
	c.mu.Lock()
	rc := c.running[id]
	delete(c.running, id)
	c.mu.Unlock()
	if rc == nil {
		return
	}
	rc.stop()
	c.cfg.Log.WithField("cell", string(id)).WithField("reason", reason).Info("cell lost")
}

func (rc *runningCell) stop() {
	rc.cancel()
	rc.stopped.Wait()
}

// Close stops all cells and prevents further ones from starting.
func (c *Cells) Close() {
	c.mu.Lock()
	c.closed = true
	running := c.running
	c.running = map[model.CellID]*runningCell{}
	c.mu.Unlock()
	for _, rc := range running {
		rc.stop()
	}
}

// Local returns the runtime of a cell that this node owns.
func (c *Cells) Local(id model.CellID) (*Runtime, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rc, ok := c.running[id]
	if !ok {
		return nil, false
	}
	return rc.runtime, true
}

// Epochs returns the epoch of each cell that this node owns.
func (c *Cells) Epochs() map[model.CellID]model.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	epochs := make(map[model.CellID]model.Epoch, len(c.running))
	for id, rc := range c.running {
		epochs[id] = rc.runtime.epoch
	}
	return epochs
}

// Reports returns the latest reports of the owned cells.
func (c *Cells) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Report
	for _, rc := range c.running {
		if report := rc.runtime.report.Load(); report != nil {
			out = append(out, *report)
		}
	}
	return out
}
