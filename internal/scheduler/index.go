package scheduler

import (
	"math/bits"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Free capacity is indexed in logarithmic size classes: four for each doubling of
// processors and of memory, and one for each doubling of accelerators. A bucket holds the
// hosts of one class in every dimension; a host of a higher class in every dimension
// always fits.
const (
	sizeClasses  = 64
	accelClasses = 5
	// examineFactor bounds the hosts examined for one task, as a multiple of the sample
	// size; the lowest matching classes also contain hosts that do not fit.
	examineFactor = 4
)

// sizeClass returns the size class of an amount: 0 below 64, then four classes for each
// doubling.
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

// capacityIndex finds hosts with enough free capacity without scanning all hosts.
type capacityIndex struct {
	buckets [accelClasses][sizeClasses][]*bucket
	// memoryMasks and cpuMasks mark the memory and processor classes that are not empty.
	memoryMasks [accelClasses][sizeClasses]uint64
	cpuMasks    [accelClasses]uint64
}

// bucket holds the hosts of one class. offset rotates the host at which a search starts.
type bucket struct {
	hosts  []*host
	offset int
}

func (x *capacityIndex) put(h *host) {
	a, c, m := accelClass(h.free.Accelerators), sizeClass(h.free.MilliCPU), sizeClass(h.free.MemoryMB)
	if h.indexed && h.accelClass == a && h.cpuClass == c && h.memoryClass == m {
		return
	}
	x.remove(h)
	if x.buckets[a][c] == nil {
		x.buckets[a][c] = make([]*bucket, sizeClasses)
	}
	b := x.buckets[a][c][m]
	if b == nil {
		b = &bucket{}
		x.buckets[a][c][m] = b
	}
	h.indexed, h.accelClass, h.cpuClass, h.memoryClass, h.bucketPos = true, a, c, m, len(b.hosts)
	b.hosts = append(b.hosts, h)
	x.memoryMasks[a][c] |= 1 << m
	x.cpuMasks[a] |= 1 << c
}

func (x *capacityIndex) remove(h *host) {
	if !h.indexed {
		return
	}
	b := x.buckets[h.accelClass][h.cpuClass][h.memoryClass]
	last := len(b.hosts) - 1
	b.hosts[h.bucketPos] = b.hosts[last]
	b.hosts[h.bucketPos].bucketPos = h.bucketPos
	b.hosts[last] = nil
	b.hosts = b.hosts[:last]
	if last == 0 {
		x.memoryMasks[h.accelClass][h.cpuClass] &^= 1 << h.memoryClass
	}
	if x.memoryMasks[h.accelClass][h.cpuClass] == 0 {
		x.cpuMasks[h.accelClass] &^= 1 << h.cpuClass
	}
	h.indexed = false
}

// candidates appends up to limit hosts that have need free and that keep accepts, in
// ascending class order. A first pass takes at most perClass hosts from each class, so
// that a sample covers hosts with different amounts of free capacity.
func (x *capacityIndex) candidates(out []*host, need model.Resources, limit int, keep func(*host) bool) []*host {
	perClass := max(2, limit/8)
	examined := 0
	visit := func(b *bucket, from, count int) bool {
		n := len(b.hosts)
		for i := from; i < min(count, n); i++ {
			if len(out) >= limit || examined >= limit*examineFactor {
				return false
			}
			h := b.hosts[(b.offset+i)%n]
			examined++
			if need.Fits(h.free) && keep(h) {
				out = append(out, h)
			}
		}
		return true
	}
	x.eachBucket(need, func(b *bucket) bool { return visit(b, 0, perClass) })
	x.eachBucket(need, func(b *bucket) bool { return visit(b, perClass, len(b.hosts)) })
	x.eachBucket(need, func(b *bucket) bool { b.offset = (b.offset + 1) % len(b.hosts); return true })
	return out
}

// eachBucket visits the non-empty buckets that may hold need, in ascending order.
func (x *capacityIndex) eachBucket(need model.Resources, visit func(*bucket) bool) {
	minCPU, minMem := sizeClass(need.MilliCPU), sizeClass(need.MemoryMB)
	for a := accelClass(need.Accelerators); a < accelClasses; a++ {
		for cpuMask := x.cpuMasks[a] >> minCPU << minCPU; cpuMask != 0; cpuMask &= cpuMask - 1 {
			c := bits.TrailingZeros64(cpuMask)
			for memoryMask := x.memoryMasks[a][c] >> minMem << minMem; memoryMask != 0; memoryMask &= memoryMask - 1 {
				if !visit(x.buckets[a][c][bits.TrailingZeros64(memoryMask)]) {
					return
				}
			}
		}
	}
}
