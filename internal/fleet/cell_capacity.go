package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Cells report to each other the free capacity of single workers and the lasting tasks that
// they cannot place. Task lending (task_lending.go) decides by these reports.

const (
	// maxReportedFree bounds the workers whose free capacity a cell reports. Per report, the
	// other cells together may use that many workers for their unplaced lasting tasks.
	maxReportedFree = 16
	// remoteFreeInterval is the interval at which the reports of other cells are read. It
	// leaves time for tasks lent right after a read to start there and to be counted in a later
	// report. Room that is lent just before a read may be lent once more after it.
	remoteFreeInterval = 800 * time.Millisecond
	// maxReservedForOtherCells bounds the workers that a cell reserves for unplaced tasks of
	// other cells, and maxReservedPercent their share of its workers.
	maxReservedForOtherCells = 6
	maxReservedPercent       = 67
	// unplacedKnownAfter is how long a cell has reported an unplaced task before all others have read
	// that: the time between two reads, and the delay of a report.
	unplacedKnownAfter = remoteFreeInterval + 400*time.Millisecond
)

// freeCapacity is the free capacity of one worker.
type freeCapacity struct {
	MilliCPU int64 `cbor:"1,keyasint"`
	MemoryMB int64 `cbor:"2,keyasint"`
	// Labels are the worker's labels without its rack.
	Labels []string `cbor:"3,keyasint,omitempty"`
}

// largestFree returns the free capacity of the workers with most of it, the largest first.
func (t *term) largestFree() []freeCapacity {
	var largest []freeCapacity
	for _, w := range t.workers {
		onTrial := w.health.needsUntried(t.now) || (w.health.onProbation() && w.hasTrialRun())
		if free := w.free(); free.MilliCPU > 0 && t.unusableReason(w) == "" && !onTrial {
			largest = append(largest, freeCapacity{free.MilliCPU, free.MemoryMB, w.info.Labels[:max(len(w.info.Labels)-1, 0)]})
		}
	}
	slices.SortFunc(largest, func(a, b freeCapacity) int { return cmp.Compare(b.MilliCPU, a.MilliCPU) })
	return slices.Clip(largest[:min(len(largest), maxReportedFree)])
}

// unplacedTask is a lasting task that fits in no cell.
type unplacedTask struct {
	Service  model.ServiceName `cbor:"1,keyasint"`
	MilliCPU int64             `cbor:"2,keyasint"`
	MemoryMB int64             `cbor:"3,keyasint"`
	Label    string            `cbor:"4,keyasint,omitempty"`
	// Count is the number of such tasks in the cell, of any size.
	Count int `cbor:"5,keyasint"`
}

// recordUnplaced counts an unplaced task of a step. The cell reports the smallest one.
func (t *term) recordUnplaced(w *waitingStep) {
	need, count := w.step.Reserved(), 0
	if t.unplaced != nil {
		count = t.unplaced.Count
	}
	if t.unplaced == nil || need.MilliCPU < t.unplaced.MilliCPU {
		t.unplaced = &unplacedTask{w.queue.Service, need.MilliCPU, need.MemoryMB, w.step.Label, 0}
	}
	t.unplaced.Count = count + 1
}

// reserveForOtherCells keeps new work away from some workers for unplaced tasks of other
// cells. Otherwise short tasks would use any freed capacity at once, and the cell would
// never report free capacity.
func (t *term) reserveForOtherCells(p *placement, service model.ServiceName) {
	left := min(maxReservedForOtherCells, len(p.workers)*maxReservedPercent/100)
	for _, s := range t.unplacedInOtherCells {
		if s.Service != service {
			continue
		}
		step := Step{Label: s.Label, Lasting: true, Needs: model.Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB}}
		for range min(s.Count, left) {
			p.reserveWorkerFor(taskRequest{step: &step})
			left--
		}
	}
}

// takeRemoteCapacity returns another cell in which a worker has enough free capacity for a
// task of s, and deducts the task from it. It excludes one cell; none if excluded is negative.
func (t *term) takeRemoteCapacity(s *Step, excluded int) (cell int, found bool) {
	t.refreshRemoteCapacity()
	need := s.Reserved()
	var best *freeCapacity
	for other, workers := range t.remoteFree {
		if other == excluded {
			continue
		}
		for i := range workers {
			if h := &workers[i]; h.fits(need, s.Label) && (best == nil || h.MilliCPU > best.MilliCPU) {
				best, cell = h, other
			}
		}
	}
	if best == nil {
		return 0, false
	}
	if s.PerWorker > 0 {
		*best = freeCapacity{} // the limit per worker may forbid a second task there
		return cell, true
	}
	best.MilliCPU -= need.MilliCPU
	best.MemoryMB -= need.MemoryMB
	return cell, true
}

// fits reports whether a task with a need and a label fits.
func (h freeCapacity) fits(need model.Resources, label string) bool {
	return need.Fits(h.resources()) && hasLabel(h.Labels, label)
}

func (h freeCapacity) resources() model.Resources {
	return model.Resources{MilliCPU: h.MilliCPU, MemoryMB: h.MemoryMB}
}

// refreshRemoteCapacity reads the free capacity and the unplaced tasks that other cells
// report, at most once per remoteFreeInterval.
func (t *term) refreshRemoteCapacity() {
	if t.now.Sub(t.remoteFreeReadAt) < remoteFreeInterval {
		return
	}
	t.remoteFreeReadAt, t.remoteFree, t.unplacedInOtherCells = t.now, map[int][]freeCapacity{}, nil
	others := t.otherCellLoads()
	shares := capacityShares{own: t.cell, cells: t.layout.Cells, unplaced: map[int]unplacedTask{}}
	for _, o := range others {
		if o.load.Unplaced != nil {
			t.unplacedInOtherCells = append(t.unplacedInOtherCells, *o.load.Unplaced)
			shares.unplaced[o.cell] = *o.load.Unplaced
		}
	}
	if t.unplaced != nil && !t.reportsUnplacedSince.IsZero() && t.now.Sub(t.reportsUnplacedSince) >= unplacedKnownAfter {
		shares.unplaced[t.cell] = *t.unplaced
	}
	for _, o := range others {
		t.remoteFree[o.cell] = shares.of(o.cell, o.load.LargestFree)
	}
}

// observeReportedUnplaced notes that a report with the present unplaced task, or with none, is made.
func (t *term) observeReportedUnplaced() {
	switch {
	case t.unplaced == nil:
		t.reportsUnplacedSince = time.Time{}
	case t.reportsUnplacedSince.IsZero():
		t.reportsUnplacedSince = t.now
	}
}

// capacityShares divides the free capacity that cells report, so that no two cells use the same
// worker.
type capacityShares struct {
	own, cells int
	// unplaced holds the unplaced tasks that cells have reported, by cell, also the own one.
	unplaced map[int]unplacedTask
}

// of returns the workers of cell other that the own cell may use. Each cell has a fixed share. A
// worker whose cell reports no task for it belongs to the cells that do, in turn.
func (c capacityShares) of(other int, workers []freeCapacity) []freeCapacity {
	var part []freeCapacity
	for i, h := range workers {
		user := (other + 1 + i%(c.cells-1)) % c.cells
		if claimants := c.claimants(other, h); len(claimants) > 0 && !slices.Contains(claimants, user) {
			user = claimants[(other+i)%len(claimants)]
		}
		if user == c.own {
			part = append(part, h)
		}
	}
	return part
}

// claimants returns the cells beside other that report an unplaced task which fits on a worker.
func (c capacityShares) claimants(other int, h freeCapacity) []int {
	var cells []int
	for cell := range c.cells {
		if u, known := c.unplaced[cell]; known && cell != other && h.fits(model.Resources{MilliCPU: u.MilliCPU, MemoryMB: u.MemoryMB}, u.Label) {
			cells = append(cells, cell)
		}
	}
	return cells
}
