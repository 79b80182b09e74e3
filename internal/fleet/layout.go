package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A layout divides the fleet into cells. Each cell has its own leader, its own
// fence, some racks of workers and some slots of the jobs' key space. The layout is
// one row, written once by whichever node finds it absent; later versions only add
// racks. A rack never changes its cell, so a worker belongs to one cell.

const (
	// MaxCells bounds the cells of a layout; a cell is stored in one byte.
	MaxCells = 256
	// singleCellSlots and multiCellSlots are the parts of the jobs' table. Many slots
	// spread jobs evenly over cells, a few are read sooner by a lone leader.
	singleCellSlots = 64
	multiCellSlots  = 256
	// unlabelledRackGroups spreads workers that name no rack.
	unlabelledRackGroups = 16
)

// Slopes of a leader's load, measured on days of 48 to 3,000 workers
// (docs/CAPACITY.md).
const (
	// milliCPUPerWorker is processor time for one worker in thousandths of a core.
	milliCPUPerWorker = 1.3
	// bytesPerWorker are bytes a second on the leader's link for one worker.
	bytesPerWorker = 5000
	// cellBudgetShare is the share of a host's processor, or of its link, that a cell may
	// take on average. The rest is for peaks; more and smaller cells would cost more,
	// as work finds room in one cell at a time.
	cellBudgetShare = 0.6
	// hostsPerCell is how many hosts should be able to carry a cell for each cell.
	hostsPerCell = 2
	// minWorkersPerCell keeps cells wide enough for steps of many tasks.
	minWorkersPerCell = 30
)

// layout is the value of the layout's row.
type layout struct {
	Cells int `cbor:"1,keyasint"`
	// Slots holds the cell of each slot.
	Slots []byte `cbor:"2,keyasint"`
	// Racks holds the cell of each rack.
	Racks map[string]byte `cbor:"3,keyasint"`
	// version is that of the row.
	version uint64
}

// layoutRow addresses the layout. It shares the table of the leaders' renewals, so
// that one watch tells of both.
func layoutRow() RowID { return RowID{tableLeader, layoutPart, keyLayout} }

// slot returns the slot of a job.
func (l *layout) slot(id string) int { return int(xxhash.Sum64String(id) % uint64(len(l.Slots))) }

// jobPart returns the part of the store that holds a job.
func (l *layout) jobPart(id string) string { return strconv.Itoa(l.slot(id)) }

// jobRow addresses the row of a job.
func (l *layout) jobRow(id string) RowID { return RowID{tableJobs, l.jobPart(id), id} }

// cancelRow addresses the row of a job's cancellation.
func (l *layout) cancelRow(id string) RowID {
	return RowID{tableJobs, l.jobPart(id), id + cancelSuffix}
}

// cellOf returns the cell that owns a job.
func (l *layout) cellOf(id string) int { return int(l.Slots[l.slot(id)]) }

// jobParts lists the parts of the jobs' table that a cell owns.
func (l *layout) jobParts(cell int) []string {
	var parts []string
	for slot, c := range l.Slots {
		if int(c) == cell {
			parts = append(parts, strconv.Itoa(slot))
		}
	}
	return parts
}

// cellPart names the part that holds what the leader of a cell writes. A lone cell
// keeps the name of versions that knew no cells.
func (l *layout) cellPart(cell int) string {
	if l.Cells == 1 {
		return singleCellPart
	}
	return "cell-" + strconv.Itoa(cell)
}

// cellOfWorker returns the cell of a worker; unknown when its rack is new.
func (l *layout) cellOfWorker(w WorkerInfo) (cell int, known bool) {
	if l.Cells == 1 {
		return 0, true
	}
	c, known := l.Racks[rackGroup(w)]
	return int(c), known
}

// rackGroup names the group of workers that share a cell: a rack of a data centre.
func rackGroup(w WorkerInfo) string {
	rack := rackOf(w.Labels)
	if rack == "" {
		rack = "#" + strconv.FormatUint(xxhash.Sum64String(string(w.Worker))%unlabelledRackGroups, 10)
	}
	return string(w.DataCentre) + "/" + rack
}

// valid reports whether a stored layout can be used.
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

// singleCellLayout returns the layout of a fleet that one leader carries.
func singleCellLayout() *layout { return &layout{Cells: 1, Slots: make([]byte, singleCellSlots)} }

// workerCapacityOf returns how many workers a host's processor and link carry. Limits
// that are not known do not bind.
func workerCapacityOf(h Limits) int {
	n := 1 << 20
	if h.MilliCPU > 0 {
		n = min(n, int(cellBudgetShare*float64(h.MilliCPU)/milliCPUPerWorker))
	}
	if h.LinkBytes > 0 {
		n = min(n, int(cellBudgetShare*float64(h.LinkBytes)/bytesPerWorker))
	}
	return n
}

// cellCount returns the least number of cells for which enough hosts can carry one,
// and from there up to a third more, the number that racks divide most evenly. It
// answers fleets of any size on hosts of unequal sizes: one cell while one host can
// carry all workers.
func cellCount(hosts []Limits, racks map[string]int) int {
	workers := 0
	for _, n := range racks {
		workers += n
	}
	most := max(1, min(len(racks), len(hosts), workers/minWorkersPerCell, MaxCells))
	least := most
	for n := 1; n < most; n++ {
		if hasEnoughHosts(hosts, n, workers) {
			least = n
			break
		}
	}
	if least == 1 {
		return 1
	}
	best, bestExcess := least, 0.0
	for n := least; n <= min(most, least+least/3); n++ {
		excess := sizeExcess(racks, n)
		if n == least || excess < bestExcess {
			best, bestExcess = n, excess
		}
	}
	return best
}

// hasEnoughHosts reports whether n cells of a fleet find hosts that carry them, with
// spares where there are that many hosts.
func hasEnoughHosts(hosts []Limits, n, workers int) bool {
	able := 0
	for _, h := range hosts {
		if workerCapacityOf(h)*n >= workers {
			able++
		}
	}
	return able >= min(hostsPerCell*n, len(hosts))
}

// sizeExcess returns how much larger the largest of n cells is than the mean.
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

// sortedRacks sorts racks so that neighbours are of one data centre: dealt in turn, each
// cell gets racks of several.
func sortedRacks(racks map[string]int) []string {
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// indexOfSmallest returns the index of the least value, the first of equals.
func indexOfSmallest(sizes []int) int {
	best := 0
	for i, s := range sizes {
		if s < sizes[best] {
			best = i
		}
	}
	return best
}

// newLayout divides racks and slots among cells.
func newLayout(cells int, racks map[string]int) *layout {
	if cells <= 1 {
		return singleCellLayout()
	}
	l := &layout{Cells: cells, Slots: make([]byte, multiCellSlots), Racks: map[string]byte{}}
	l.addRacks(racks, map[string]int{})
	sizes := make([]int, cells)
	for rack, n := range racks {
		sizes[l.Racks[rack]] += n
	}
	for i, cell := range assignSlots(sizes, len(l.Slots)) {
		l.Slots[i] = byte(cell)
	}
	return l
}

// addRacks gives each new rack to the cell with the fewest workers. Known holds the
// workers of racks that the layout has already.
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

// assignSlots shares n slots among cells by their workers with the divisors 1, 3, 5, ...,
// which favour neither large nor small cells.
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

// hostRecord is what a node tells of its host, for the division into cells.
type hostRecord struct {
	Node      model.NodeID `cbor:"1,keyasint"`
	MilliCPU  int64        `cbor:"2,keyasint,omitempty"`
	LinkBytes int64        `cbor:"3,keyasint,omitempty"`
}

// hostRow addresses the record of a node.
func hostRow(node model.NodeID) RowID { return RowID{tableHosts, "", string(node)} }

// hostLimits reads the records of nodes; those that cannot be read count for none.
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
