package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// cellLoadMaxAge is the age at which the report of another cell is ignored.
	cellLoadMaxAge = 2500 * time.Millisecond
	// typicalFillerShare is the share of its worker's processors that a filler usually
	// demands.
	typicalFillerShare = 0.1
	// recentMoveWindow is how long before the receipt of a cell's report a job may have been
	// sent there and still be missing from that report. Such jobs are added to the load.
	recentMoveWindow = 700 * time.Millisecond
)

// cellLoad is the load that a cell reports, in thousandths of a core.
type cellLoad struct {
	// Capacity is the capacity of the usable workers.
	Capacity int64 `cbor:"1,keyasint"`
	// Reserved is the reservations of runs, waiting tasks and unaccounted services.
	Reserved int64 `cbor:"2,keyasint"`
	// Spare is the capacity for more fillers, less the demand of waiting ones. It may be
	// negative.
	Spare int64 `cbor:"3,keyasint"`
	// ToleratedSpare is, by image of a filler, the spare capacity on workers that the headroom of
	// their services leaves to the image, less the demand of waiting fillers of the image.
	ToleratedSpare map[string]int64 `cbor:"4,keyasint,omitempty"`
	// LargestFree is the free capacity of the workers with most of it, the largest first.
	LargestFree []freeCapacity `cbor:"6,keyasint,omitempty"`
	// Unplaced is a lasting task of the cell that fits in no cell; nil for none.
	Unplaced *unplacedTask `cbor:"7,keyasint,omitempty"`
	// Services is, by image, what lasting tasks in the cell reserve or wait for.
	Services map[string]int64 `cbor:"8,keyasint,omitempty"`
	// Accepted is, by image, the demand of the lasting jobs that the cell has accepted, wherever they are. So the
	// sum over all cells stays the same while jobs move.
	Accepted map[string]int64 `cbor:"9,keyasint,omitempty"`
}

// reservedShare returns the reserved share of the capacity.
func (r cellLoad) reservedShare() float64 { return float64(r.Reserved) / float64(max(r.Capacity, 1)) }

// spareShare returns the share of the capacity that is spare for fillers.
func (r cellLoad) spareShare() float64 { return float64(r.Spare) / float64(max(r.Capacity, 1)) }

// toleratedSpareShare returns the share of the capacity that is spare beside services which
// tolerate fillers of an image.
func (r cellLoad) toleratedSpareShare(image string) float64 {
	return float64(r.ToleratedSpare[image]) / float64(max(r.Capacity, 1))
}

// add returns the load with a job of demand d added. It does not change the receiver's maps.
func (r cellLoad) add(d stepDemand) cellLoad {
	if d.filler {
		r.Spare -= d.milliCPU
		if l, known := r.ToleratedSpare[d.image]; known {
			r.ToleratedSpare = maps.Clone(r.ToleratedSpare)
			r.ToleratedSpare[d.image] = l - d.milliCPU
		}
	} else {
		r.Reserved += d.milliCPU
		r.Spare -= d.milliCPU / 2
		if d.lasting && d.image != "" && r.Services != nil {
			r.Services = maps.Clone(r.Services)
			r.Services[d.image] += d.milliCPU
		}
	}
	return r
}

// reportedLoad is the load of a cell and when this node received it.
type reportedLoad struct {
	cell       int
	load       cellLoad
	reportedAt time.Time
}

// recentMove is a job that was sent to another cell.
type recentMove struct {
	cell    int
	demand  stepDemand
	movedAt time.Time
}

// ownLoad returns the load of this cell from its workers, its waiting steps and unaccounted
// services.
func (t *term) ownLoad(waiting []*waitingStep) cellLoad {
	r := cellLoad{ToleratedSpare: map[string]int64{}}
	for image := range t.interference.fillerImages {
		r.ToleratedSpare[image] = 0
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
			t.addToleratedSpare(r.ToleratedSpare, w, left)
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
		if _, known := r.ToleratedSpare[w.step.Image]; known {
			r.ToleratedSpare[w.step.Image] -= need
		}
	}
	return r
}

// addServices sets the demand of services by image.
func (t *term) addServices(r *cellLoad, waiting []*waitingStep) {
	r.Services, r.Accepted = map[string]int64{}, map[string]int64{}
	for _, w := range t.workers {
		if w.servingMilliCPU == 0 {
			continue
		}
		for _, run := range w.runs {
			if run.step != nil && run.step.Lasting && run.step.Image != "" && run.live() {
				r.Services[run.step.Image] += run.reserved.MilliCPU
			}
		}
	}
	for _, w := range waiting {
		if w.step.Lasting && w.step.Image != "" {
			r.Services[w.step.Image] += int64(len(w.tasks)) * w.step.Needs.MilliCPU
		}
	}
	for _, j := range t.jobs {
		if len(j.previousCells) > 0 || j.cancelled || j.failureReason != "" || j.visibleState.Final() {
			continue
		}
		for i := range j.spec.Steps {
			if s := &j.spec.Steps[i]; s.Lasting && s.Image != "" {
				r.Accepted[s.Image] += int64(s.Count) * s.Needs.MilliCPU
			}
		}
	}
}

// addToleratedSpare adds, by image of fillers, the part of a worker's spare capacity that the
// headroom of its services leaves.
func (t *term) addToleratedSpare(spare map[string]int64, w *worker, left int64) {
	v := t.interference.viewOf(w, t.now)
	if !v.acceptsFillers(t.now) {
		return
	}
	for image := range spare {
		share := 1.0
		for _, s := range v.services {
			share = min(share, s.toleratedShare(s.model.plannedPressure(image, t.now)))
		}
		if share >= typicalFillerShare {
			spare[image] += min(left, int64(share*float64(w.info.Capacity.MilliCPU)))
		}
	}
}

// toleratedShare returns the share of the worker that more fillers with a pressure may use, at
// most 1.
func (s *serviceState) toleratedShare(pressure float64) float64 {
	if pressure*typicalFillerShare < negligibleShare*s.model.highestHeadroom {
		return 1
	}
	return max(min((s.headroomLater-s.fillerPressure-s.reducedPressure)/pressure, 1), 0)
}

// otherCellLoads returns the recent loads of other cells, with the jobs added that were sent
// there in the meantime.
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
