package fleet

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of uneven cells.
const (
	// evenServices is how much fuller than the fleet, as a share of its capacity, a cell
	// may become by new services.
	evenServices = 0.05
	// evenFillers is the same for what is left over for fillers.
	evenFillers = 0.08
	// evenLight is the same for what is left over beside services that bear a filler.
	evenLight = 0.01
)

// demand is what the waiting tasks of a step ask for.
type demand struct {
	milliCPU int64
	filler   bool
	lasting  bool
	// settled services have left a cell before: they leave another one only for lack of
	// room, as tasks of theirs that are lost cannot be lent to cells that they have left.
	settled bool
	// image is that of lasting steps and of fillers; empty for others.
	image string
}

// demandOf returns the demand of a waiting step.
func demandOf(w *want) demand {
	d := demand{milliCPU: int64(len(w.tasks)) * w.step.Needs.MilliCPU, filler: w.step.Filler, lasting: w.step.Lasting, settled: len(w.job.path) > 0}
	if d.filler || d.lasting {
		d.image = w.step.Image
	}
	return d
}

// moveChoice is what to do with a job that has not begun.
type moveChoice int

const (
	stayHere moveChoice = iota
	moveThere
	waitForNews
)

// chooseCell decides whether a job with demand d should begin in its own cell, whose
// room counts the job already, or elsewhere. Fits tells whether all tasks of its first
// step find a worker now. It answers cells that fill unevenly as jobs are hashed to
// them: services, which stay, are gathered by image as far as cells stay even; fillers go
// where clearly more is left over; short urgent work moves only when it finds no room,
// as a move takes some 70 ms.
func chooseCell(own cellRoom, others []cellRoom, d demand, fits, burst bool, arrived time.Time) (moveChoice, int) {
	switch {
	case d.lasting:
		return chooseForService(own, others, d, fits, burst, arrived)
	case d.filler && (own.room.Light[d.image] < 0 || !fits):
		// The own room counts the job already.
		if best := lightestCell(others, d); best != nil && best.room.add(d).light(d.image) > own.room.light(d.image)+evenLight {
			return moveThere, best.cell
		}
	}
	best := bestCell(others, d)
	if best == nil {
		return stayHere, 0
	}
	there := best.room.add(d)
	switch {
	case d.filler:
		if there.spare() > own.room.spare()+evenFillers || (!fits && there.Spare > 0 && there.spare() > own.room.spare()) {
			return moveThere, best.cell
		}
	case !fits && there.fill() < min(1, own.room.fill()):
		return moveThere, best.cell
	}
	return stayHere, 0
}

// chooseForService places a lasting job. Each image prefers cells in an order of its
// own, so that a cell holds few images: tasks of one image bear each other best, steps
// with a bound per worker need many workers of their image, and what presses on an image
// is learnt where it is common. A cell that would become clearly fuller than the fleet is
// passed over. In a burst, what others told before it says nothing of their share.
func chooseForService(own cellRoom, others []cellRoom, d demand, fits, burst bool, arrived time.Time) (moveChoice, int) {
	total, oldest := own.room, arrived.Add(time.Hour)
	for _, o := range others {
		total.Reserved += o.room.Reserved
		total.Capacity += o.room.Capacity
		if o.at.Before(oldest) {
			oldest = o.at
		}
	}
	limit := total.fill() + evenServices
	best, rank := -1, uint64(0)
	for _, o := range others {
		if r := preference(d.image, o.cell); o.room.add(d).fill() <= limit && (best < 0 || r > rank) {
			best, rank = o.cell, r
		}
	}
	switch {
	case !fits && best >= 0:
		return moveThere, best
	case !fits && len(others) > 0:
		return waitForNews, 0
	case d.settled:
		return stayHere, 0
	case own.room.fill() <= limit && (best < 0 || d.image == "" || preference(d.image, own.cell) > rank):
		return stayHere, 0
	case burst && !oldest.After(arrived) && own.room.fill() > limit:
		return waitForNews, 0
	case best < 0:
		return stayHere, 0
	}
	return moveThere, best
}

// lightestCell returns the cell with most left over beside services on which the image of
// a filler hardly presses, or nil when none knows the image.
func lightestCell(others []cellRoom, d demand) *cellRoom {
	var best *cellRoom
	for i := range others {
		o := &others[i]
		if _, known := o.room.Light[d.image]; known && (best == nil || o.room.light(d.image) > best.room.light(d.image)) {
			best = o
		}
	}
	return best
}

// preference ranks cells for an image; the highest comes first.
func preference(image string, cell int) uint64 {
	return xxhash.Sum64String(image + "/" + strconv.Itoa(cell))
}

// bestCell returns the cell with most room for a kind of work, or nil.
func bestCell(others []cellRoom, d demand) *cellRoom {
	var best *cellRoom
	for i := range others {
		o := &others[i]
		if o.room.Capacity < 2*d.milliCPU {
			continue
		}
		if best == nil || (d.filler && o.room.spare() > best.room.spare()) || (!d.filler && o.room.fill() < best.room.fill()) {
			best = o
		}
	}
	return best
}

// excluding returns the cells that a job has not left.
func excluding(others []cellRoom, path []int) []cellRoom {
	if len(path) == 0 {
		return others
	}
	var rest []cellRoom
	for _, o := range others {
		if !slices.Contains(path, o.cell) {
			rest = append(rest, o)
		}
	}
	return rest
}

// waitingServices adds up what lasting steps that have not begun ask for.
func waitingServices(wants []*want) int64 {
	sum := int64(0)
	for _, w := range wants {
		if w.step.Lasting && !w.job.started {
			sum += int64(len(w.tasks)) * w.step.Needs.MilliCPU
		}
	}
	return sum
}
