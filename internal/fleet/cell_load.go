package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// cellLoadMaxAge is how old the news of another cell may be.
	cellLoadMaxAge = 2500 * time.Millisecond
	// typicalFillerShare is the share of its worker that a filler usually demands.
	typicalFillerShare = 0.1
	// recentMoveWindow is how long after news of a cell was seen the jobs sent there are
	// counted on top: they may have been on their way.
	recentMoveWindow = 700 * time.Millisecond
)

// cellLoad is what a cell tells of its load, in thousandths of a core.
type cellLoad struct {
	// Capacity is that of the workers that take new runs.
	Capacity int64 `cbor:"1,keyasint"`
	// Reserved is what runs reserve and what waiting tasks want to.
	Reserved int64 `cbor:"2,keyasint"`
	// Spare is what is left over for fillers, less what waits for it; may be negative.
	Spare int64 `cbor:"3,keyasint"`
	// LowPressureSpare is the part of what is left over, by image of a filler, that lies beside
	// services on which the image hardly presses; less what waits of that image.
	LowPressureSpare map[string]int64 `cbor:"4,keyasint,omitempty"`
	// LargestFree is the room on the workers with most of it, the largest first.
	LargestFree []freeCapacity `cbor:"6,keyasint,omitempty"`
	// Unplaced is a lasting task of the cell that finds room in none; nil for none.
	Unplaced *unplacedTask `cbor:"7,keyasint,omitempty"`
}

// reservedShare is the reserved share of the capacity.
func (r cellLoad) reservedShare() float64 { return float64(r.Reserved) / float64(max(r.Capacity, 1)) }

// spareShare is the share of the capacity that is left for fillers.
func (r cellLoad) spareShare() float64 { return float64(r.Spare) / float64(max(r.Capacity, 1)) }

// lowPressureShare is the share of the capacity on which fillers of an image hardly press.
func (r cellLoad) lowPressureShare(image string) float64 {
	return float64(r.LowPressureSpare[image]) / float64(max(r.Capacity, 1))
}

// add counts a job with demand d. It leaves the receiver's map as it is.
func (r cellLoad) add(d stepDemand) cellLoad {
	if d.filler {
		r.Spare -= d.milliCPU
		if l, known := r.LowPressureSpare[d.image]; known {
			r.LowPressureSpare = maps.Clone(r.LowPressureSpare)
			r.LowPressureSpare[d.image] = l - d.milliCPU
		}
	} else {
		r.Reserved += d.milliCPU
		r.Spare -= d.milliCPU / 2
	}
	return r
}

// reportedLoad is the room of another cell and when this node heard of it.
type reportedLoad struct {
	cell       int
	load       cellLoad
	reportedAt time.Time
}

// recentMove is a job sent to another cell.
type recentMove struct {
	cell    int
	demand  stepDemand
	movedAt time.Time
}

// ownLoad adds up the cell's workers and the work that waits.
func (t *term) ownLoad(waiting []*waitingStep) cellLoad {
	r := cellLoad{LowPressureSpare: map[string]int64{}}
	for image := range t.interference.fillerImages {
		r.LowPressureSpare[image] = 0
	}
	for _, w := range t.workers {
		if t.unusableReason(w) != "" {
			continue
		}
		r.Capacity += w.info.Capacity.MilliCPU
		r.Reserved += w.reserved.MilliCPU
		left := w.fillerCapacity()
		r.Spare += left
		if left > 0 {
			t.addLowPressureSpare(r.LowPressureSpare, w, left)
		}
	}
	for _, milliCPU := range t.unaccountedServices() {
		r.Reserved += milliCPU
	}
	for _, w := range waiting {
		need := int64(len(w.tasks)) * w.step.Needs.MilliCPU
		if !w.step.Filler {
			r.Reserved += need
			continue
		}
		r.Spare -= need
		if _, known := r.LowPressureSpare[w.step.Image]; known {
			r.LowPressureSpare[w.step.Image] -= need
		}
	}
	return r
}

// addLowPressureSpare adds what is left over on a worker to the images that hardly press on its
// services.
func (t *term) addLowPressureSpare(spare map[string]int64, w *worker, left int64) {
	v := t.interference.viewOf(w, t.now)
	if !v.overTargetSince.IsZero() {
		return
	}
	for image := range spare {
		slight := true
		for _, s := range v.services {
			slight = slight && s.model.plannedPressure(image, t.now)*typicalFillerShare <= lowPressureLimit*s.model.highestHeadroom
		}
		if slight {
			spare[image] += left
		}
	}
}

// otherCellLoads returns the rooms of other cells that are known, with the jobs that were
// sent there meanwhile.
func (t *term) otherCellLoads() []reportedLoad {
	if t.cellLoads == nil {
		return nil
	}
	t.recentMoves = slices.DeleteFunc(t.recentMoves, func(g recentMove) bool { return t.now.Sub(g.movedAt) > cellLoadMaxAge+recentMoveWindow })
	var others []reportedLoad
	for _, o := range t.cellLoads() {
		if o.cell == t.cell || t.now.Sub(o.reportedAt) > cellLoadMaxAge || o.load.Capacity == 0 {
			continue
		}
		for _, g := range t.recentMoves {
			if g.cell == o.cell && g.movedAt.After(o.reportedAt.Add(-recentMoveWindow)) {
				o.load = o.load.add(g.demand)
			}
		}
		others = append(others, o)
	}
	return others
}
