package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// The cells tell each other what room single workers have, and which lasting tasks find
// none: what task_lending.go decides by.

const (
	// maxReportedFree bounds the rooms on single workers that a cell tells: with each renewal
	// the other cells may use that many for lasting tasks that they have lost.
	maxReportedFree = 16
	// remoteFreeInterval spaces the looks at the room of other cells: a renewal after the tasks
	// that were lent have started there tells what room is left.
	remoteFreeInterval = 800 * time.Millisecond
	// maxReservedForOtherCells bounds the workers that a cell keeps for stuck tasks of others.
	maxReservedForOtherCells = 6
)

// freeCapacity is the room on one worker.
type freeCapacity struct {
	MilliCPU int64 `cbor:"1,keyasint"`
	MemoryMB int64 `cbor:"2,keyasint"`
	// Labels are those of the worker but its rack.
	Labels []string `cbor:"3,keyasint,omitempty"`
}

// largestFree returns the room on the workers with most of it, the largest first.
func (t *term) largestFree() []freeCapacity {
	var largest []freeCapacity
	for _, w := range t.workers {
		if free := w.free(); free.MilliCPU > 0 && t.unusableReason(w) == "" && !w.health.onProbation() {
			largest = append(largest, freeCapacity{free.MilliCPU, free.MemoryMB, w.info.Labels[:max(len(w.info.Labels)-1, 0)]})
		}
	}
	slices.SortFunc(largest, func(a, b freeCapacity) int { return cmp.Compare(b.MilliCPU, a.MilliCPU) })
	return slices.Clip(largest[:min(len(largest), maxReportedFree)])
}

// unplacedTask is a lasting task that finds room in no cell.
type unplacedTask struct {
	Service  model.ServiceName `cbor:"1,keyasint"`
	MilliCPU int64             `cbor:"2,keyasint"`
	MemoryMB int64             `cbor:"3,keyasint"`
	Label    string            `cbor:"4,keyasint,omitempty"`
	// Count is how many such tasks the cell has, of any size.
	Count int `cbor:"5,keyasint"`
}

// recordUnplaced remembers a task of a step as the one that the cell tells of: the smallest.
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

// reserveForOtherCells keeps some workers free of new short work for stuck tasks of other cells:
// where short work fills each hole at once, none would be told.
func (t *term) reserveForOtherCells(p *placement, service model.ServiceName) {
	left := maxReservedForOtherCells
	for _, s := range t.unplacedInOtherCells {
		if s.Service != service {
			continue
		}
		step := Step{Label: s.Label, Lasting: true, Needs: model.Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB}}
		for range min(s.Count, left) {
			p.reserveWorkerFor(&step)
			left--
		}
	}
}

// takeRemoteCapacity returns another cell of which a worker has room for a task of s, and takes
// that room. Cells that the job has left know it as moved and would not take it.
func (t *term) takeRemoteCapacity(s *Step, excluded []int) (cell int, found bool) {
	t.refreshRemoteCapacity()
	need := s.Reserved()
	var best *freeCapacity
	for other, workers := range t.remoteFree {
		if slices.Contains(excluded, other) {
			continue
		}
		for i := range workers {
			if h := &workers[i]; need.Fits(h.resources()) && hasLabel(h.Labels, s.Label) && (best == nil || h.MilliCPU > best.MilliCPU) {
				best, cell = h, other
			}
		}
	}
	if best == nil {
		return 0, false
	}
	if s.PerWorker > 0 {
		*best = freeCapacity{} // the worker may not bear a second one
		return cell, true
	}
	best.MilliCPU -= need.MilliCPU
	best.MemoryMB -= need.MemoryMB
	return cell, true
}

func (h freeCapacity) resources() model.Resources {
	return model.Resources{MilliCPU: h.MilliCPU, MemoryMB: h.MemoryMB}
}

// refreshRemoteCapacity takes over what other cells tell of their holes, once in a while: what was
// lent before is in the news by then.
func (t *term) refreshRemoteCapacity() {
	if t.now.Sub(t.remoteFreeReadAt) < remoteFreeInterval {
		return
	}
	t.remoteFreeReadAt, t.remoteFree, t.unplacedInOtherCells = t.now, map[int][]freeCapacity{}, nil
	for _, o := range t.otherCellLoads() {
		if o.load.Unplaced != nil {
			t.unplacedInOtherCells = append(t.unplacedInOtherCells, *o.load.Unplaced)
		}
		t.remoteFree[o.cell] = freeShareOfCell(o.load.LargestFree, t.cell, o.cell, t.layout.Cells)
	}
}

// freeShareOfCell returns the part of the holes of a cell that another cell may use: each has a
// part of its own, so that no two use one.
func freeShareOfCell(workers []freeCapacity, own, other, cells int) []freeCapacity {
	var part []freeCapacity
	offset := (own - other + cells) % cells // 1 to cells-1
	for i, h := range workers {
		if i%(cells-1) == offset-1 {
			part = append(part, h)
		}
	}
	return part
}
