package scheduler

import (
	"math/bits"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Free capacity is indexed in classes of a quarter octave of processors and of
// memory, and in classes of accelerators. A class is a bucket of hosts; a host
// of a higher class in every dimension fits without a check.
const (
	sizeClasses  = 64
	accelClasses = 5
	// examineFactor bounds the hosts looked at for one task, as a multiple of
	// the sample size; classes at the edge hold hosts that do not fit.
	examineFactor = 4
)

// sizeClass returns the class of an amount: 0 for none, then four for each
// doubling from 64 upwards.
func sizeClass(v int64) int {
	if v < 64 {
		return 0
	}
	high := bits.Len64(uint64(v)) - 1
	quarter := int(v>>(high-2)) & 3
	return min(1+(high-6)*4+quarter, sizeClasses-1)
}

func accelClass(n int64) int {
	return min(bits.Len64(uint64(max(n, 0))), accelClasses-1)
}

// capacityIndex finds hosts with enough free capacity without a scan of all.
type capacityIndex struct {
	buckets [accelClasses][sizeClasses][]*bucketRow
	// rows and columns mark the memory and processor classes that are not empty.
	rows    [accelClasses][sizeClasses]uint64
	columns [accelClasses]uint64
}

// bucketRow holds the hosts of one class.
type bucketRow struct {
	hosts []*host
	next  int
}

func (x *capacityIndex) put(h *host) {
	a, c, m := accelClass(h.free.Accelerators), sizeClass(h.free.MilliCPU), sizeClass(h.free.MemoryMB)
	if h.indexed && h.accel == a && h.cpu == c && h.mem == m {
		return
	}
	x.remove(h)
	if x.buckets[a][c] == nil {
		x.buckets[a][c] = make([]*bucketRow, sizeClasses)
	}
	row := x.buckets[a][c][m]
	if row == nil {
		row = &bucketRow{}
		x.buckets[a][c][m] = row
	}
	h.indexed, h.accel, h.cpu, h.mem, h.pos = true, a, c, m, len(row.hosts)
	row.hosts = append(row.hosts, h)
	x.rows[a][c] |= 1 << m
	x.columns[a] |= 1 << c
}

func (x *capacityIndex) remove(h *host) {
	if !h.indexed {
		return
	}
	row := x.buckets[h.accel][h.cpu][h.mem]
	last := len(row.hosts) - 1
	row.hosts[h.pos] = row.hosts[last]
	row.hosts[h.pos].pos = h.pos
	row.hosts[last] = nil
	row.hosts = row.hosts[:last]
	if last == 0 {
		x.rows[h.accel][h.cpu] &^= 1 << h.mem
	}
	if x.rows[h.accel][h.cpu] == 0 {
		x.columns[h.accel] &^= 1 << h.cpu
	}
	h.indexed = false
}

// candidates appends up to limit hosts that have need free and that keep
// accepts, tightest classes first and at most perClass from each on a first
// pass, so that a sample covers classes of different fill.
func (x *capacityIndex) candidates(out []*host, need model.Resources, limit int, keep func(*host) bool) []*host {
	perClass := max(2, limit/8)
	examined := 0
	visit := func(row *bucketRow, from, count int) bool {
		n := len(row.hosts)
		for i := from; i < min(count, n); i++ {
			if len(out) >= limit || examined >= limit*examineFactor {
				return false
			}
			h := row.hosts[(row.next+i)%n]
			examined++
			if need.Fits(h.free) && keep(h) {
				out = append(out, h)
			}
		}
		return true
	}
	x.eachRow(need, func(r *bucketRow) bool { return visit(r, 0, perClass) })
	x.eachRow(need, func(r *bucketRow) bool { return visit(r, perClass, len(r.hosts)) })
	x.eachRow(need, func(r *bucketRow) bool { r.next = (r.next + 1) % len(r.hosts); return true })
	return out
}

// eachRow visits the non-empty classes that may hold need, in ascending order.
func (x *capacityIndex) eachRow(need model.Resources, visit func(*bucketRow) bool) {
	minCPU, minMem := sizeClass(need.MilliCPU), sizeClass(need.MemoryMB)
	for a := accelClass(need.Accelerators); a < accelClasses; a++ {
		for columns := x.columns[a] >> minCPU << minCPU; columns != 0; columns &= columns - 1 {
			c := bits.TrailingZeros64(columns)
			for rows := x.rows[a][c] >> minMem << minMem; rows != 0; rows &= rows - 1 {
				if !visit(x.buckets[a][c][bits.TrailingZeros64(rows)]) {
					return
				}
			}
		}
	}
}
