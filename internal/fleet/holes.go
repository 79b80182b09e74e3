package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// The cells tell each other what room single workers have, and which lasting tasks find
// none: what lend.go decides by.

const (
	// holesTold bounds the rooms on single workers that a cell tells: with each renewal
	// the other cells may use that many for lasting tasks that they have lost.
	holesTold = 16
	// lendPause spaces the looks at the room of other cells: a renewal after the tasks
	// that were lent have started there tells what room is left.
	lendPause = 800 * time.Millisecond
	// heldForOthers bounds the workers that a cell keeps for stuck tasks of others.
	heldForOthers = 6
)

// hole is the room on one worker.
type hole struct {
	MilliCPU int64 `cbor:"1,keyasint"`
	MemoryMB int64 `cbor:"2,keyasint"`
	// Labels are those of the worker but its rack.
	Labels []string `cbor:"3,keyasint,omitempty"`
}

// largestHoles returns the room on the workers with most of it, the largest first.
func (t *term) largestHoles() []hole {
	var holes []hole
	for _, w := range t.workers {
		if free := w.free(); free.MilliCPU > 0 && t.unusable(w) == "" && !w.health.onProbation() {
			holes = append(holes, hole{free.MilliCPU, free.MemoryMB, w.info.Labels[:max(len(w.info.Labels)-1, 0)]})
		}
	}
	slices.SortFunc(holes, func(a, b hole) int { return cmp.Compare(b.MilliCPU, a.MilliCPU) })
	return slices.Clip(holes[:min(len(holes), holesTold)])
}

// stuckTask is a lasting task that finds room in no cell.
type stuckTask struct {
	Service  model.ServiceName `cbor:"1,keyasint"`
	MilliCPU int64             `cbor:"2,keyasint"`
	MemoryMB int64             `cbor:"3,keyasint"`
	Label    string            `cbor:"4,keyasint,omitempty"`
	// Count is how many such tasks the cell has, of any size.
	Count int `cbor:"5,keyasint"`
}

// noteStuck remembers a task of a step as the one that the cell tells of: the smallest.
func (t *term) noteStuck(w *want) {
	need, count := w.step.Reserved(), 0
	if t.stuck != nil {
		count = t.stuck.Count
	}
	if t.stuck == nil || need.MilliCPU < t.stuck.MilliCPU {
		t.stuck = &stuckTask{w.queue.Service, need.MilliCPU, need.MemoryMB, w.step.Label, 0}
	}
	t.stuck.Count = count + 1
}

// holdForOthers keeps some workers free of new short work for stuck tasks of other cells:
// where short work fills each hole at once, none would be told.
func (t *term) holdForOthers(p *placement, service model.ServiceName) {
	left := heldForOthers
	for _, s := range t.stuckElsewhere {
		if s.Service != service {
			continue
		}
		step := Step{Label: s.Label, Lasting: true, Needs: model.Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB}}
		for range min(s.Count, left) {
			p.holdFor(&step)
			left--
		}
	}
}

// cellWithHole returns another cell of which a worker has room for a task of s, and takes
// that room. Cells that the job has left know it as moved and would not take it.
func (t *term) cellWithHole(s *Step, left []int) (cell int, found bool) {
	t.readHoles()
	need := s.Reserved()
	var best *hole
	for other, holes := range t.holes {
		if slices.Contains(left, other) {
			continue
		}
		for i := range holes {
			if h := &holes[i]; need.Fits(h.resources()) && hasLabel(h.Labels, s.Label) && (best == nil || h.MilliCPU > best.MilliCPU) {
				best, cell = h, other
			}
		}
	}
	if best == nil {
		return 0, false
	}
	if s.PerWorker > 0 {
		*best = hole{} // the worker may not bear a second one
		return cell, true
	}
	best.MilliCPU -= need.MilliCPU
	best.MemoryMB -= need.MemoryMB
	return cell, true
}

func (h hole) resources() model.Resources {
	return model.Resources{MilliCPU: h.MilliCPU, MemoryMB: h.MemoryMB}
}

// readHoles takes over what other cells tell of their holes, once in a while: what was
// lent before is in the news by then.
func (t *term) readHoles() {
	if t.now.Sub(t.holesRead) < lendPause {
		return
	}
	t.holesRead, t.holes, t.stuckElsewhere = t.now, map[int][]hole{}, nil
	for _, o := range t.otherRooms() {
		if o.room.Stuck != nil {
			t.stuckElsewhere = append(t.stuckElsewhere, *o.room.Stuck)
		}
		t.holes[o.cell] = ownHoles(o.room.Holes, t.cell, o.cell, t.layout.Cells)
	}
}

// ownHoles returns the part of the holes of a cell that another cell may use: each has a
// part of its own, so that no two use one.
func ownHoles(holes []hole, own, other, cells int) []hole {
	var part []hole
	turn := (own - other + cells) % cells // 1 to cells-1
	for i, h := range holes {
		if i%(cells-1) == turn-1 {
			part = append(part, h)
		}
	}
	return part
}
