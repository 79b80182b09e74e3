package fleet

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the imbalance between cells.
const (
	// serviceImbalanceLimit is by how much new services may raise the reserved share of a
	// cell's capacity above that of the fleet.
	serviceImbalanceLimit = 0.05
	// fillerImbalanceLimit is by how much the spare share of another cell must exceed that of
	// the own cell before a filler moves there.
	fillerImbalanceLimit = 0.08
	// toleratedImbalanceLimit is the same for spare capacity beside services that tolerate the
	// filler.
	toleratedImbalanceLimit = 0.01
	// cellLoadDelay is the longest time by which a report is older than its receipt, if all is well.
	cellLoadDelay = 400 * time.Millisecond
)

// stepDemand is the demand of the waiting tasks of a step.
type stepDemand struct {
	milliCPU int64
	filler   bool
	lasting  bool
	// hasMoved is set for jobs that have left a cell before. Services among them leave
	// another cell only for lack of capacity.
	hasMoved bool
	// image is the image of lasting steps and of fillers; empty for others.
	image string
	// job is the id of the step's job.
	job string
}

// demandOf returns the demand of a waiting step.
func demandOf(w *waitingStep) stepDemand {
	d := stepDemand{milliCPU: int64(len(w.tasks)) * w.step.Needs.MilliCPU, filler: w.step.Filler, lasting: w.step.Lasting, hasMoved: len(w.job.previousCells) > 0, job: w.job.id}
	if d.filler || d.lasting {
		d.image = w.step.Image
	}
	return d
}

// cellChoice is the decision about the cell of a job.
type cellChoice int

const (
	stayInCell cellChoice = iota
	moveToCell
	waitForCellLoads
)

// chooseCell decides whether a job with demand d starts in its own cell or in another one.
// The load of the own cell already includes the job; fits reports whether all waiting tasks
// of its step find a worker here now. The choice is needed because jobs are hashed to cells,
// which therefore fill unevenly. Services run for long, so they are grouped by image as far
// as cells stay balanced. Fillers move where services tolerate more of them, or, while their
// pressure is unknown, where clearly more capacity is spare. Short urgent
// work moves only if it does not fit, as a move takes some 70 ms.
func chooseCell(own reportedLoad, others []reportedLoad, d stepDemand, fits, burst bool, learnedAt time.Time) (cellChoice, int) {
	switch {
	case d.lasting:
		return chooseServiceCell(own, others, d, fits, burst, learnedAt)
	case d.filler:
		return chooseFillerCell(own, others, d, fits)
	}
	best := leastLoadedCell(others, d)
	if best != nil && !fits && best.load.add(d).reservedShare() < min(1, own.load.reservedShare()) {
		return moveToCell, best.cell
	}
	return stayInCell, 0
}

// chooseFillerCell chooses the cell of a filler, by what services tolerate of its image or, where that is
// not known, by the spare capacity.
func chooseFillerCell(own reportedLoad, others []reportedLoad, d stepDemand, fits bool) (cellChoice, int) {
	spare, known := own.load.ToleratedSpare[d.image]
	if best := mostTolerantCell(others, d); known && best != nil {
		if (spare < 0 || !fits) && best.load.add(d).toleratedSpareShare(d.image) > own.load.toleratedSpareShare(d.image)+toleratedImbalanceLimit {
			return moveToCell, best.cell
		}
		return stayInCell, 0
	}
	best := leastLoadedCell(others, d)
	if best == nil {
		return stayInCell, 0
	}
	bestAfter := best.load.add(d)
	if bestAfter.spareShare() > own.load.spareShare()+fillerImbalanceLimit || (!fits && bestAfter.Spare > 0 && bestAfter.spareShare() > own.load.spareShare()) {
		return moveToCell, best.cell
	}
	return stayInCell, 0
}

// chooseServiceCell chooses the cell of a lasting job so that each cell holds few images. Tasks of one image
// share workers best, steps with a limit per worker need many workers with their image, and a filler is
// limited by the most sensitive service of its worker. The services of a burst go to their planned cells. Loads
// that other cells reported before they arrived do not show their part of the burst, so they wait for newer
// reports. Others prefer the cell with most of their image. Cells that would become clearly fuller than the fleet
// are skipped.
func chooseServiceCell(own reportedLoad, others []reportedLoad, d stepDemand, fits, burst bool, learnedAt time.Time) (cellChoice, int) {
	total, oldest := own.load, learnedAt.Add(time.Hour)
	for _, o := range others {
		total.Reserved += o.load.Reserved
		total.Capacity += o.load.Capacity
		if o.reportedAt.Before(oldest) {
			oldest = o.reportedAt
		}
	}
	limit := total.reservedShare() + serviceImbalanceLimit
	var best *reportedLoad
	for i, o := range others {
		if o.load.add(d).reservedShare() <= limit && (best == nil || comparePreference(d.image, o, *best) > 0) {
			best = &others[i]
		}
	}
	elsewhere := own
	elsewhere.load = own.load.add(stepDemand{milliCPU: -d.milliCPU, lasting: true, image: d.image})
	hasRoom := own.load.reservedShare() <= limit
	planned, known := 0, false
	if burst && !d.hasMoved {
		planned, known = plannedCell(append([]reportedLoad{own}, others...), d)
	}
	switch {
	case known && !oldest.After(learnedAt.Add(cellLoadDelay)),
		burst && !known && !d.hasMoved && !hasRoom && !oldest.After(learnedAt):
		return waitForCellLoads, 0
	case known && planned != own.cell:
		return moveToCell, planned
	case !fits && best != nil:
		return moveToCell, best.cell
	case !fits && len(others) > 0:
		return waitForCellLoads, 0
	case d.hasMoved, best == nil, known:
		return stayInCell, 0
	case hasRoom && (d.image == "" || comparePreference(d.image, elsewhere, *best) > 0):
		return stayInCell, 0
	}
	return moveToCell, best.cell
}

// comparePreference compares two cells for services of an image. The one with more of them is preferred, of equal
// ones the one that the image ranks higher.
func comparePreference(image string, a, b reportedLoad) int {
	return cmp.Or(cmp.Compare(a.load.Services[image], b.load.Services[image]), cmp.Compare(imagePreference(image, a.cell), imagePreference(image, b.cell)))
}

// plannedCell returns the cell for a service of a burst. The services of the fleet lie on a line, ordered by
// image, and each cell has the part of it that its capacity is of the fleet's. So all leaders find the same cells
// by the same reports, and few images are in more than one.
func plannedCell(cells []reportedLoad, d stepDemand) (cell int, known bool) {
	slices.SortFunc(cells, func(a, b reportedLoad) int { return cmp.Compare(a.cell, b.cell) })
	before, own, after, capacity := int64(0), int64(0), int64(0), int64(0)
	for _, c := range cells {
		capacity += c.load.Capacity
		for image, milliCPU := range c.load.Accepted {
			switch cmp.Compare(image, d.image) {
			case -1:
				before += milliCPU
			case 0:
				own += milliCPU
			default:
				after += milliCPU
			}
		}
	}
	if own == 0 {
		return 0, false
	}
	at := float64(before) + float64(own)*float64(xxhash.Sum64String(d.job))/math.MaxUint64
	left := at / float64(before+own+after) * float64(capacity)
	for _, c := range cells {
		if left -= float64(c.load.Capacity); left < 0 {
			return c.cell, true
		}
	}
	return cells[len(cells)-1].cell, true
}

// mostTolerantCell returns the cell with the largest share of spare capacity beside services
// that tolerate a filler's image, or nil if no cell knows the image.
func mostTolerantCell(others []reportedLoad, d stepDemand) *reportedLoad {
	var best *reportedLoad
	for i := range others {
		o := &others[i]
		if _, known := o.load.ToleratedSpare[d.image]; known && (best == nil || o.load.toleratedSpareShare(d.image) > best.load.toleratedSpareShare(d.image)) {
			best = o
		}
	}
	return best
}

// imagePreference returns the rank of a cell for an image by rendezvous hashing. The cell
// with the highest rank is preferred.
func imagePreference(image string, cell int) uint64 {
	return xxhash.Sum64String(image + "/" + strconv.Itoa(cell))
}

// leastLoadedCell returns the cell with the largest spare share for a filler, or the lowest
// reserved share for other work. It skips cells with less than twice the demanded capacity
// and returns nil if none is left.
func leastLoadedCell(others []reportedLoad, d stepDemand) *reportedLoad {
	var best *reportedLoad
	for i := range others {
		o := &others[i]
		if o.load.Capacity < 2*d.milliCPU {
			continue
		}
		if best == nil || (d.filler && o.load.spareShare() > best.load.spareShare()) || (!d.filler && o.load.reservedShare() < best.load.reservedShare()) {
			best = o
		}
	}
	return best
}

// excludeCells returns the loads of the cells that a job has not left.
func excludeCells(others []reportedLoad, previousCells []int) []reportedLoad {
	if len(previousCells) == 0 {
		return others
	}
	var remaining []reportedLoad
	for _, o := range others {
		if !slices.Contains(previousCells, o.cell) {
			remaining = append(remaining, o)
		}
	}
	return remaining
}

// waitingServiceDemand returns the demand of waiting lasting steps whose jobs have not
// started, in thousandths of a core.
func waitingServiceDemand(waiting []*waitingStep) int64 {
	sum := int64(0)
	for _, w := range waiting {
		if w.step.Lasting && !w.job.started {
			sum += int64(len(w.tasks)) * w.step.Needs.MilliCPU
		}
	}
	return sum
}
