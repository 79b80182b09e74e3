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
	// maxReservedPercent bounds the unplaced tasks of other cells for which a cell keeps room at a time, in
	// percent of the number of its workers.
	maxReservedPercent = 67
	// maxRequestedUnplaced bounds the sizes of unplaced tasks for which a cell asks for room.
	maxRequestedUnplaced = 16
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

// largestFree returns the free capacity that no lost task of the cell claims, of the workers with most of it, the
// largest first.
func (t *term) largestFree() []freeCapacity {
	var largest []freeCapacity
	for _, w := range t.workers {
		onTrial := w.health.needsUntried(t.now) || (w.health.onProbation() && w.hasTrialRun())
		free := w.free().Sub(t.claimed[w].Sub(t.keptForOthers[w]))
		if free.MilliCPU > 0 && t.unusableReason(w) == "" && !onTrial {
			largest = append(largest, freeCapacity{free.MilliCPU, free.MemoryMB, w.info.Labels[:max(len(w.info.Labels)-1, 0)]})
		}
	}
	slices.SortFunc(largest, func(a, b freeCapacity) int { return cmp.Compare(b.MilliCPU, a.MilliCPU) })
	return slices.Clip(largest[:min(len(largest), maxReportedFree)])
}

// unplacedTask is a lasting task without room in its cell.
type unplacedTask struct {
	Service  model.ServiceName `cbor:"1,keyasint"`
	MilliCPU int64             `cbor:"2,keyasint"`
	MemoryMB int64             `cbor:"3,keyasint"`
	Label    string            `cbor:"4,keyasint,omitempty"`
	// Count is the number of such tasks in the cell; in a report, of any size.
	Count int `cbor:"5,keyasint"`
}

// unplacedOf returns a number of tasks of a step as unplaced tasks.
func unplacedOf(service model.ServiceName, s *Step, count int) unplacedTask {
	need := s.Reserved()
	return unplacedTask{service, need.MilliCPU, need.MemoryMB, s.Label, count}
}

// isFor reports whether u is of the size of s.
func (u unplacedTask) isFor(s *Step) bool {
	need := s.Reserved()
	return u.MilliCPU == need.MilliCPU && u.MemoryMB == need.MemoryMB && u.Label == s.Label
}

// asStep returns a step with a task like u.
func (u unplacedTask) asStep() Step {
	return Step{Label: u.Label, Lasting: true, Needs: model.Resources{MilliCPU: u.MilliCPU, MemoryMB: u.MemoryMB}}
}

// recordUnplaced counts unplaced tasks of a step. The cell reports the smallest one, and asks for room for those
// that are lost.
func (t *term) recordUnplaced(service model.ServiceName, s *Step, lost bool, count int) {
	if count <= 0 {
		return
	}
	u := unplacedOf(service, s, count)
	if t.unplaced == nil || u.MilliCPU < t.unplaced.MilliCPU {
		smallest := u
		if t.unplaced != nil {
			smallest.Count += t.unplaced.Count
		}
		t.unplaced = &smallest
	} else {
		t.unplaced.Count += count
	}
	if lost {
		t.lostUnplaced = addUnplaced(t.lostUnplaced, u)
	}
}

func addUnplaced(all []unplacedTask, u unplacedTask) []unplacedTask {
	for i := range all {
		same := all[i]
		if same.Count = u.Count; same == u {
			all[i].Count += u.Count
			return all
		}
	}
	if len(all) < maxRequestedUnplaced {
		all = append(all, u)
	}
	return all
}

// takeRemoteCapacity returns another cell that keeps room for a lost task of s, or in which a worker has enough free
// capacity for a task of s, and deducts the task from it. It excludes one cell; none if excluded is negative.
func (t *term) takeRemoteCapacity(s *Step, lost bool, excluded int) (cell int, found bool) {
	if lost {
		if cell, found = t.takeGrant(s, excluded); found {
			return cell, true
		}
	}
	t.refreshRemoteCapacity()
	need := s.Reserved()
	var best *freeCapacity
	for other, workers := range t.remoteFree {
		if other == excluded || (lost && t.roomExchange(other).answered(t.now)) {
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
	t.remoteFreeReadAt, t.remoteFree, t.reportedUnplaced = t.now, map[int][]freeCapacity{}, map[int]unplacedTask{}
	others := t.otherCellLoads()
	shares := capacityShares{own: t.cell, cells: t.layout.Cells, unplaced: map[int]unplacedTask{}}
	for _, o := range others {
		if o.load.Unplaced != nil {
			t.reportedUnplaced[o.cell] = *o.load.Unplaced
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
