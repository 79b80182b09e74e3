package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A layout divides the fleet into cells. Each cell has its own leader, its own fence, some
// racks of workers and some slots of the jobs' key space. The layout is one row, written once
// by a node that finds none; later versions only add racks. A rack never changes its cell, so
// a worker belongs to one cell.

const (
	// MaxCells bounds the cells of a layout, as a cell's index is stored in one byte.
	MaxCells = 256
	// singleCellSlots and multiCellSlots are the numbers of slots, each of which is a part of
	// the jobs' table. Many slots spread jobs evenly over several cells; the leader of a
	// single cell reads all of them, and reads fewer slots sooner.
	singleCellSlots = 64
	multiCellSlots  = 256
	// unlabelledRackGroups is the number of groups over which workers without a rack label
	// are spread.
	unlabelledRackGroups = 16
)

// Coefficients of a leader's load, from runs with 48 to 3,000 workers (docs/CAPACITY.md).
const (
	// milliCPUPerWorker is the leader's processor use per worker in thousandths of a core.
	milliCPUPerWorker = 1.3
	// bytesPerWorker is the traffic on the leader's link per worker in bytes per second.
	bytesPerWorker = 5000
	// cellBudgetShare is the share of a host's processor, or of its link, that a cell may use
	// on average. The rest is for peaks. A lower share would mean more and smaller cells,
	// which use the workers less well, as a job searches for free capacity in one cell at a
	// time.
	cellBudgetShare = 0.6
	// hostsPerCell is how many hosts per cell should be able to lead a cell, so that there are
	// spare hosts.
	hostsPerCell = 2
	// minWorkersPerCell keeps cells large enough for steps of many tasks.
	minWorkersPerCell = 30
	// minPooledWorkers is the least size of cells that are small only for the sake of the smallest
	// hosts. In smaller ones lost lasting tasks find no room in time while services fill the fleet.
	minPooledWorkers = 100
	// maxCrowding is how much more than fullCost cells of about minPooledWorkers may take of the smallest hosts,
	// if these carry no such cells otherwise. Starts wait longer there; in larger cells they would wait longest.
	maxCrowding = 1.2
)

// leaderCost is the processor use of the leader of a cell in thousandths of a core: a fixed part, and
// one for each worker.
type leaderCost struct{ fixed, perWorker float64 }

var (
	// budgetedCost leaves room for peaks.
	budgetedCost = leaderCost{0, milliCPUPerWorker / cellBudgetShare}
	// fullCost leaves none. It counts for the smallest hosts, which lead only after all larger ones
	// are lost: starts may wait there at peaks. Their links keep their room, as renewals would wait
	// behind a full one.
	fullCost = leaderCost{38, 0.74}
)

// dividedBy returns a part of the cost.
func (c leaderCost) dividedBy(n float64) leaderCost { return leaderCost{c.fixed / n, c.perWorker / n} }

// layout is the value of the layout's row.
type layout struct {
	Cells int `cbor:"1,keyasint"`
	// Slots holds the cell's index for each slot.
	Slots []byte `cbor:"2,keyasint"`
	// Racks holds the cell's index for each rack group; see rackGroup.
	Racks map[string]byte `cbor:"3,keyasint"`
	// Workers is the number of workers in these racks when they were assigned; 0 in layouts of earlier
	// versions.
	Workers int `cbor:"4,keyasint,omitempty"`
	// version is the version of the row.
	version uint64
}

// layoutRow returns the id of the layout's row. It is in the table of the leaders' renewals,
// so that one watch covers both.
func layoutRow() RowID { return RowID{tableLeader, layoutPart, keyLayout} }

// slot returns the slot of a job.
func (l *layout) slot(id string) int { return int(xxhash.Sum64String(id) % uint64(len(l.Slots))) }

// jobPart returns the part of the store that holds a job.
func (l *layout) jobPart(id string) string { return strconv.Itoa(l.slot(id)) }

// jobRow returns the id of a job's row.
func (l *layout) jobRow(id string) RowID { return RowID{tableJobs, l.jobPart(id), id} }

// cancelRow returns the id of the row of a job's cancellation.
func (l *layout) cancelRow(id string) RowID {
	return RowID{tableJobs, l.jobPart(id), id + cancelSuffix}
}

// cellOf returns the cell that owns a job when it is accepted.
func (l *layout) cellOf(id string) int { return int(l.Slots[l.slot(id)]) }

// jobParts lists the parts of the jobs' table that belong to a cell.
func (l *layout) jobParts(cell int) []string {
	var parts []string
	for slot, c := range l.Slots {
		if int(c) == cell {
			parts = append(parts, strconv.Itoa(slot))
		}
	}
	return parts
}

// cellPart returns the part for the rows that the leader of a cell writes. A single cell uses
// the name from versions without cells.
func (l *layout) cellPart(cell int) string {
	if l.Cells == 1 {
		return singleCellPart
	}
	return "cell-" + strconv.Itoa(cell)
}

// cellOfWorker returns the cell of a worker; known is false if its rack has no cell yet.
func (l *layout) cellOfWorker(w WorkerInfo) (cell int, known bool) {
	if l.Cells == 1 {
		return 0, true
	}
	c, known := l.Racks[rackGroup(w)]
	return int(c), known
}

// rackGroup returns the name of the group of workers that are assigned to a cell together: a
// rack of a data centre, or a share of the data centre's workers without a rack label.
func rackGroup(w WorkerInfo) string {
	rack := rackOf(w.Labels)
	if rack == "" {
		rack = "#" + strconv.FormatUint(xxhash.Sum64String(string(w.Worker))%unlabelledRackGroups, 10)
	}
	return string(w.DataCentre) + "/" + rack
}

// valid reports whether a stored layout is consistent.
func (l *layout) valid() bool {
	if l.Cells < 1 || l.Cells > MaxCells || len(l.Slots) == 0 {
		return false
	}
	for _, c := range l.Slots {
		if int(c) >= l.Cells {
			return false
		}
	}
	for _, c := range l.Racks {
		if int(c) >= l.Cells {
			return false
		}
	}
	return true
}

// singleCellLayout returns the layout of a fleet with one cell.
func singleCellLayout() *layout { return &layout{Cells: 1, Slots: make([]byte, singleCellSlots)} }

// workerCapacityOf returns the number of workers of the largest cell that a host can lead. Unknown
// limits are not applied.
func workerCapacityOf(h Limits, cost leaderCost) int {
	n := 1 << 20
	if h.MilliCPU > 0 {
		n = min(n, max(0, int((float64(h.MilliCPU)-cost.fixed)/cost.perWorker)))
	}
	if h.LinkBytes > 0 {
		n = min(n, int(cellBudgetShare*float64(h.LinkBytes)/bytesPerWorker))
	}
	return n
}

// cellsLed returns how many of n cells of equal size a host can lead.
func cellsLed(h Limits, cost leaderCost, n, workers int) int {
	size, led := float64(workers)/float64(n), n
	if h.MilliCPU > 0 {
		led = min(led, int(float64(h.MilliCPU)/(cost.fixed+cost.perWorker*size)))
	}
	if h.LinkBytes > 0 {
		led = min(led, int(cellBudgetShare*float64(h.LinkBytes)/(bytesPerWorker*size)))
	}
	return led
}

// cellCount returns the number of cells for a fleet. It finds the least number for which
// enough hosts can lead a cell, and for which the hosts that are left can lead all cells after
// the largest ones are lost. Of the numbers from there to a third more, it chooses the one
// with the most even division of workers by racks. Hosts may be of different sizes.
func cellCount(hosts []Limits, racks map[string]int) int {
	workers := workersIn(racks)
	most := max(1, min(len(racks), len(hosts), workers/minWorkersPerCell, MaxCells))
	if most == 1 {
		return 1
	}
	leaders, least := newLeaders(hosts, workers), most
	for n := 1; n < most; n++ {
		if leaders.canLead(n) {
			least = n
			break
		}
	}
	if least == 1 {
		return 1
	}
	most = min(most, least+least/3)
	if leaders.planForLast || leaders.crowded { // more cells would be smaller than those for the smallest hosts' sake
		most = min(most, max(least, leaders.mostPooled()))
	}
	best, bestExcess := least, 0.0
	for n := least; n <= most; n++ {
		if n > least && !leaders.canLead(n) {
			continue // hosts lead whole cells: they may carry less of smaller ones
		}
		if excess := sizeExcess(racks, n); n == least || excess < bestExcess {
			best, bestExcess = n, excess
		}
	}
	return best
}

// workersIn returns the number of workers of all racks.
func workersIn(racks map[string]int) int {
	sum := 0
	for _, n := range racks {
		sum += n
	}
	return sum
}

// leaders are the hosts that may lead the cells of a number of workers.
type leaders struct {
	workers int
	hosts   []Limits
	// last are those that are left after the largest hosts are lost.
	last []Limits
	// planForLast means that they can lead cells that have minPooledWorkers, or the fleet as one cell.
	// Smaller cells for their sake would cost more on all other days.
	planForLast bool
	// crowded means that they can do so with maxCrowding only. The fleet then has as many cells with
	// minPooledWorkers as there may be.
	crowded bool
}

func newLeaders(hosts []Limits, workers int) *leaders {
	l := &leaders{workers: workers, hosts: hosts, last: lastHosts(hosts, workers)}
	for n := 1; n <= l.mostPooled() && !l.planForLast; n++ {
		l.planForLast = l.enough(n) && l.lastLead(n)
	}
	if n := l.mostPooled(); !l.planForLast {
		l.crowded = n > 1 && l.enough(n) && l.ledByLast(n, fullCost.dividedBy(maxCrowding)) >= n
	}
	return l
}

// mostPooled returns the largest number of cells with minPooledWorkers.
func (l *leaders) mostPooled() int { return max(1, l.workers/minPooledWorkers) }

// canLead reports whether the hosts can lead n cells, also after the largest ones are lost if that is
// planned for.
func (l *leaders) canLead(n int) bool {
	return l.enough(n) && (!l.planForLast || l.lastLead(n)) && (!l.crowded || n >= l.mostPooled())
}

// enough reports whether enough hosts can lead n cells: hostsPerCell for each cell, or all hosts if
// there are fewer. A large host counts for up to hostsPerCell cells.
func (l *leaders) enough(n int) bool {
	led := 0
	for _, h := range l.hosts {
		led += min(cellsLed(h, budgetedCost, n, l.workers), hostsPerCell)
	}
	return led >= min(hostsPerCell*n, len(l.hosts))
}

// lastLead reports whether n cells are small enough for the last hosts. A division into larger cells
// would leave a small host with more than it carries, although the small hosts could lead the fleet
// together.
func (l *leaders) lastLead(n int) bool { return l.ledByLast(n, fullCost) >= n }

// ledByLast returns how many of n cells the last hosts can lead at a cost.
func (l *leaders) ledByLast(n int, cost leaderCost) int {
	led := 0
	for _, h := range l.last {
		led += cellsLed(h, cost, n, l.workers)
	}
	return led
}

// carries reports whether a host can lead some of the layout's cells. Unknown sizes do not bind.
func (l *layout) carries(h Limits, cells int) bool {
	return l.Workers == 0 || cellsLed(h, fullCost, l.Cells, l.Workers) >= cells
}

// lastHosts returns the smallest hosts that could lead hostsPerCell times the workers together, or
// all hosts if they cannot.
func lastHosts(hosts []Limits, workers int) []Limits {
	bySize := slices.SortedFunc(slices.Values(hosts), func(a, b Limits) int {
		return cmp.Compare(workerCapacityOf(a, fullCost), workerCapacityOf(b, fullCost))
	})
	carried := 0
	for i, h := range bySize {
		if carried += workerCapacityOf(h, fullCost); carried >= hostsPerCell*workers {
			return bySize[:i+1]
		}
	}
	return bySize
}

// sizeExcess returns by which share the largest of n cells exceeds the mean size.
func sizeExcess(racks map[string]int, n int) float64 {
	sizes := make([]int, n)
	total := 0
	for _, rack := range sortedRacks(racks) {
		i := indexOfSmallest(sizes)
		sizes[i] += racks[rack]
		total += racks[rack]
	}
	if total == 0 {
		return 0
	}
	return float64(slices.Max(sizes))*float64(n)/float64(total) - 1
}

// sortedRacks returns the names of racks, those of one data centre side by side. Assigned in
// this order, the racks of a data centre are spread over the cells.
func sortedRacks(racks map[string]int) []string {
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// indexOfSmallest returns the index of the smallest value, the first of equal ones.
func indexOfSmallest(sizes []int) int {
	best := 0
	for i, s := range sizes {
		if s < sizes[best] {
			best = i
		}
	}
	return best
}

// newLayout returns a layout that divides racks and slots among cells.
func newLayout(cells int, racks map[string]int) *layout {
	if cells <= 1 {
		return singleCellLayout()
	}
	l := &layout{Cells: cells, Slots: make([]byte, multiCellSlots), Racks: map[string]byte{}}
	l.addRacks(racks, map[string]int{})
	sizes := make([]int, cells)
	for rack, n := range racks {
		sizes[l.Racks[rack]] += n
		l.Workers += n
	}
	for i, cell := range assignSlots(sizes, len(l.Slots)) {
		l.Slots[i] = byte(cell)
	}
	return l
}

// addRacks assigns each new rack to the cell with the fewest workers. racks and known hold
// numbers of workers by rack; known is for racks that already have a cell.
func (l *layout) addRacks(racks, known map[string]int) {
	sizes := make([]int, l.Cells)
	for rack, c := range l.Racks {
		sizes[c] += known[rack]
	}
	for _, rack := range sortedRacks(racks) {
		if _, ok := l.Racks[rack]; ok {
			continue
		}
		i := indexOfSmallest(sizes)
		l.Racks[rack] = byte(i)
		sizes[i] += racks[rack]
	}
}

// assignSlots divides n slots among cells in proportion to their workers. It uses the
// Sainte-Laguë method (divisors 1, 3, 5, ...), which favours neither large nor small cells.
func assignSlots(workers []int, n int) []int {
	slots := make([]int, n)
	held := make([]int, len(workers))
	for i := range slots {
		best := 0
		for c := range workers {
			if workers[c]*(2*held[best]+1) > workers[best]*(2*held[c]+1) {
				best = c
			}
		}
		slots[i] = best
		held[best]++
	}
	return slots
}

// hostRecord holds the limits of a node's host, for the division into cells.
type hostRecord struct {
	Node      model.NodeID `cbor:"1,keyasint"`
	MilliCPU  int64        `cbor:"2,keyasint,omitempty"`
	LinkBytes int64        `cbor:"3,keyasint,omitempty"`
}

// hostRow returns the id of the row of a node's hostRecord.
func hostRow(node model.NodeID) RowID { return RowID{tableHosts, "", string(node)} }

// hostLimits decodes the records of nodes, largest processor share first. It skips records
// that cannot be decoded.
func hostLimits(rows []Row) []Limits {
	var hosts []Limits
	for _, row := range rows {
		var h hostRecord
		if decodeRecord(row, &h) == nil {
			hosts = append(hosts, Limits{MilliCPU: h.MilliCPU, LinkBytes: h.LinkBytes})
		}
	}
	slices.SortFunc(hosts, func(a, b Limits) int { return cmp.Compare(b.MilliCPU, a.MilliCPU) })
	return hosts
}
