package fleet

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of uneven cells.
const (
	// serviceImbalanceLimit is how much fuller than the fleet, as a share of its capacity, a cell
	// may become by new services.
	serviceImbalanceLimit = 0.05
	// fillerImbalanceLimit is the same for what is left over for fillers.
	fillerImbalanceLimit = 0.08
	// lowPressureImbalanceLimit is the same for what is left over beside services that bear a filler.
	lowPressureImbalanceLimit = 0.01
)

// stepDemand is what the waiting tasks of a step ask for.
type stepDemand struct {
	milliCPU int64
	filler   bool
	lasting  bool
	// hasMoved services have left a cell before: they leave another one only for lack of
	// room, as tasks of theirs that are lost cannot be lent to cells that they have left.
	hasMoved bool
	// image is that of lasting steps and of fillers; empty for others.
	image string
}

// demandOf returns the demand of a waiting step.
func demandOf(w *waitingStep) stepDemand {
	d := stepDemand{milliCPU: int64(len(w.tasks)) * w.step.Needs.MilliCPU, filler: w.step.Filler, lasting: w.step.Lasting, hasMoved: len(w.job.previousCells) > 0}
	if d.filler || d.lasting {
		d.image = w.step.Image
	}
	return d
}

// cellChoice is what to do with a job that has not begun.
type cellChoice int

const (
	stayInCell cellChoice = iota
	moveToCell
	waitForCellLoads
)

// chooseCell decides whether a job with demand d should begin in its own cell, whose
// room counts the job already, or elsewhere. Fits tells whether all tasks of its first
// step find a worker now. It answers cells that fill unevenly as jobs are hashed to
// them: services, which stay, are gathered by image as far as cells stay even; fillers go
// where clearly more is left over; short urgent work moves only when it finds no room,
// as a move takes some 70 ms.
func chooseCell(own reportedLoad, others []reportedLoad, d stepDemand, fits, burst bool, learnedAt time.Time) (cellChoice, int) {
	switch {
	case d.lasting:
		return chooseServiceCell(own, others, d, fits, burst, learnedAt)
	case d.filler && (own.load.LowPressureSpare[d.image] < 0 || !fits):
		// The own room counts the job already.
		if best := mostLowPressureCell(others, d); best != nil && best.load.add(d).lowPressureShare(d.image) > own.load.lowPressureShare(d.image)+lowPressureImbalanceLimit {
			return moveToCell, best.cell
		}
	}
	best := leastLoadedCell(others, d)
	if best == nil {
		return stayInCell, 0
	}
	bestAfter := best.load.add(d)
	switch {
	case d.filler:
		if bestAfter.spareShare() > own.load.spareShare()+fillerImbalanceLimit || (!fits && bestAfter.Spare > 0 && bestAfter.spareShare() > own.load.spareShare()) {
			return moveToCell, best.cell
		}
	case !fits && bestAfter.reservedShare() < min(1, own.load.reservedShare()):
		return moveToCell, best.cell
	}
	return stayInCell, 0
}

// chooseServiceCell places a lasting job. Each image prefers cells in an order of its
// own, so that a cell holds few images: tasks of one image bear each other best, steps
// with a bound per worker need many workers of their image, and what presses on an image
// is learnt where it is common. A cell that would become clearly fuller than the fleet is
// passed over. In a burst, what others told before it says nothing of their share.
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
	best, rank := -1, uint64(0)
	for _, o := range others {
		if r := imagePreference(d.image, o.cell); o.load.add(d).reservedShare() <= limit && (best < 0 || r > rank) {
			best, rank = o.cell, r
		}
	}
	switch {
	case !fits && best >= 0:
		return moveToCell, best
	case !fits && len(others) > 0:
		return waitForCellLoads, 0
	case d.hasMoved:
		return stayInCell, 0
	case own.load.reservedShare() <= limit && (best < 0 || d.image == "" || imagePreference(d.image, own.cell) > rank):
		return stayInCell, 0
	case burst && !oldest.After(learnedAt) && own.load.reservedShare() > limit:
		return waitForCellLoads, 0
	case best < 0:
		return stayInCell, 0
	}
	return moveToCell, best
}

// mostLowPressureCell returns the cell with most left over beside services on which the image of
// a filler hardly presses, or nil when none knows the image.
func mostLowPressureCell(others []reportedLoad, d stepDemand) *reportedLoad {
	var best *reportedLoad
	for i := range others {
		o := &others[i]
		if _, known := o.load.LowPressureSpare[d.image]; known && (best == nil || o.load.lowPressureShare(d.image) > best.load.lowPressureShare(d.image)) {
			best = o
		}
	}
	return best
}

// imagePreference ranks cells for an image; the highest comes first.
func imagePreference(image string, cell int) uint64 {
	return xxhash.Sum64String(image + "/" + strconv.Itoa(cell))
}

// leastLoadedCell returns the cell with most room for a kind of work, or nil.
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

// excludeCells returns the cells that a job has not left.
func excludeCells(others []reportedLoad, previousCells []int) []reportedLoad {
	if len(previousCells) == 0 {
		return others
	}
	var rest []reportedLoad
	for _, o := range others {
		if !slices.Contains(previousCells, o.cell) {
			rest = append(rest, o)
		}
	}
	return rest
}

// waitingServiceDemand adds up what lasting steps that have not begun ask for.
func waitingServiceDemand(waiting []*waitingStep) int64 {
	sum := int64(0)
	for _, w := range waiting {
		if w.step.Lasting && !w.job.started {
			sum += int64(len(w.tasks)) * w.step.Needs.MilliCPU
		}
	}
	return sum
}
