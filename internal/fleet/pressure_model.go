package fleet

import (
	"math"
	"time"
)

// Constants of the pressure model. Its unit is headroom, the latency target divided by the
// tail latency. Headroom is linear in the load of a service and in the work beside it, as
// the tail latency of a queue grows with 1/(1-load). At a headroom of 1 the tail latency
// equals the target.
const (
	// priorPressure is the pressure assumed for a pair of images that was not seen together:
	// the loss of headroom when filler work takes a whole worker, as a share of the highest
	// headroom seen.
	priorPressure = 0.45
	// priorWeight is the weight of that assumption, as a sum of squared changes of shares.
	// It equals about four starts of a filler that takes a tenth of a worker.
	priorWeight = 0.04
	// firstHeadroom is the highest headroom that is assumed before the first report.
	firstHeadroom = 4.0
	// pressureDecay discounts earlier reports with each new one of the same service image,
	// as behaviour may change over minutes.
	pressureDecay = 0.9997
	// solveInterval is the least time between two computations of the coefficients.
	solveInterval = 200 * time.Millisecond
	// maxHeadroom bounds the headroom from latency readings near 0.
	maxHeadroom = 50.0
)

// pressureModel learns by how much filler work of each image reduces the headroom of one
// service image. It is a ridge regression of the change of headroom from one report to the
// next on the change of the filler work beside the service. Changes are used because the
// service's own load varies widely, but little between two reports.
type pressureModel struct {
	fillerIndexes   map[string]int // index of a filler's image in a, b and beta
	a               [][]float64    // sum of x x'; x holds the changes of filler shares by image
	b               []float64      // sum of x y; y is the loss of headroom
	beta            []float64      // loss of headroom when filler work takes a whole worker
	highestHeadroom float64        // highest headroom seen
	solvedAt        time.Time
	stale           bool
	// otherCells holds the models of other cells, by cell.
	otherCells map[int]*pressureModel
}

func newPressureModel() *pressureModel {
	return &pressureModel{fillerIndexes: map[string]int{}, highestHeadroom: firstHeadroom}
}

// prior returns the coefficient of an unknown image.
func (m *pressureModel) prior() float64 { return priorPressure * m.highestHeadroom }

// fillerIndex returns the index of a filler's image and adds the image if it is new.
func (m *pressureModel) fillerIndex(image string) int {
	if i, ok := m.fillerIndexes[image]; ok {
		return i
	}
	i := len(m.b)
	m.fillerIndexes[image] = i
	for k := range m.a {
		m.a[k] = append(m.a[k], 0)
	}
	m.a = append(m.a, make([]float64, i+1))
	m.b = append(m.b, 0)
	m.beta = append(m.beta, m.prior())
	return i
}

// observe adds a sample: the loss of headroom between two reports and, by image, the change
// of the share of the worker that fillers use.
func (m *pressureModel) observe(loss float64, change map[string]float64) {
	x := map[int]float64{}
	for image, share := range change {
		if math.Abs(share) > 1e-4 {
			x[m.fillerIndex(image)] = share
		}
	}
	if len(x) == 0 {
		return
	}
	for i := range m.a {
		for k := range m.a[i] {
			m.a[i][k] *= pressureDecay
		}
		m.b[i] *= pressureDecay
	}
	for i, xi := range x {
		m.b[i] += xi * loss
		for k, xk := range x {
			m.a[i][k] += xi * xk
		}
	}
	m.stale = true
}

// pressure returns the pressure of a filler's image. It is never below 0, as no filler
// increases the headroom of a service.
func (m *pressureModel) pressure(image string, now time.Time) float64 {
	m.refresh(now)
	i, ok := m.fillerIndexes[image]
	if !ok {
		return m.prior()
	}
	return max(m.beta[i], 0)
}

// plannedPressure returns the pressure with the safety factor for planning.
func (m *pressureModel) plannedPressure(image string, now time.Time) float64 {
	return pressureSafetyFactor * m.pressure(image, now)
}

// refresh solves the regression if samples have arrived, at most once per solveInterval.
func (m *pressureModel) refresh(now time.Time) {
	if !m.stale || now.Sub(m.solvedAt) < solveInterval {
		return
	}
	m.stale, m.solvedAt = false, now
	a, b := m.combinedSums()
	for i := range a {
		a[i][i] += priorWeight
		b[i] += priorWeight * m.prior()
	}
	if beta, ok := solveLinear(a, b); ok {
		m.beta = beta
	}
}

// solveLinear returns x with a x = b, by Gaussian elimination with partial pivoting, and
// false if a is singular. It overwrites a and b. The matrices have one row for each filler
// image, about ten.
func solveLinear(a [][]float64, b []float64) ([]float64, bool) {
	n := len(b)
	for i := range n {
		p := i
		for k := i + 1; k < n; k++ {
			if math.Abs(a[k][i]) > math.Abs(a[p][i]) {
				p = k
			}
		}
		a[i], a[p], b[i], b[p] = a[p], a[i], b[p], b[i]
		if math.Abs(a[i][i]) < 1e-9 {
			return nil, false
		}
		for k := i + 1; k < n; k++ {
			f := a[k][i] / a[i][i]
			for c := i; c < n; c++ {
				a[k][c] -= f * a[i][c]
			}
			b[k] -= f * b[i]
		}
	}
	for i := n - 1; i >= 0; i-- {
		for k := i + 1; k < n; k++ {
			b[i] -= a[i][k] * b[k]
		}
		b[i] /= a[i][i]
	}
	return b, true
}

// Window of a report's reading.
const (
	// readingWindow is the time before a report that its reading covers.
	readingWindow = 500 * time.Millisecond
	// exposureRetention is how long past filler work is kept.
	exposureRetention = 3 * time.Second
)

// exposure is filler work of an image on a worker during an interval. The field to is zero
// while it goes on.
type exposure struct {
	image    string
	share    float64 // share of the worker at the run's pace
	from, to time.Time
	run      *run
}

// exposures is the recent filler work on a worker.
type exposures []exposure

// set ends the current exposure of a run and, unless share is 0, starts a new one.
func (l *exposures) set(r *run, share float64, now time.Time) {
	kept := (*l)[:0]
	for _, e := range *l {
		if e.run == r && e.to.IsZero() {
			e.to = now
		}
		if e.to.IsZero() || now.Sub(e.to) < exposureRetention {
			kept = append(kept, e)
		}
	}
	if share > 0 {
		kept = append(kept, exposure{image: r.step.Image, share: share, from: now, run: r})
	}
	*l = kept
}

// average returns the mean share of each image over the readingWindow before end.
func (l exposures) average(end time.Time) map[string]float64 {
	begin := end.Add(-readingWindow)
	mean := map[string]float64{}
	for _, e := range l {
		from, to := e.from, e.to
		if from.Before(begin) {
			from = begin
		}
		if to.IsZero() || to.After(end) {
			to = end
		}
		if d := to.Sub(from); d > 0 {
			mean[e.image] += e.share * float64(d) / float64(readingWindow)
		}
	}
	return mean
}

// modelRecord is the stored form of a pressureModel.
type modelRecord struct {
	FillerIndexes   map[string]int `cbor:"1,keyasint"`
	A               [][]float64    `cbor:"2,keyasint"`
	B               []float64      `cbor:"3,keyasint"`
	HighestHeadroom float64        `cbor:"4,keyasint"`
}

// record returns the stored form.
func (m *pressureModel) record() modelRecord {
	return modelRecord{m.fillerIndexes, m.a, m.b, m.highestHeadroom}
}

// restoreModel returns the model of a record, or nil if the record is inconsistent.
func restoreModel(r modelRecord) *pressureModel {
	n := len(r.B)
	if len(r.A) != n || len(r.FillerIndexes) != n || r.HighestHeadroom <= 0 {
		return nil
	}
	for _, row := range r.A {
		if len(row) != n {
			return nil
		}
	}
	for _, i := range r.FillerIndexes {
		if i < 0 || i >= n {
			return nil
		}
	}
	m := &pressureModel{fillerIndexes: r.FillerIndexes, a: r.A, b: r.B, highestHeadroom: r.HighestHeadroom, beta: make([]float64, n), stale: true}
	if m.fillerIndexes == nil {
		m.fillerIndexes = map[string]int{}
	}
	for i := range m.beta {
		m.beta[i] = m.prior()
	}
	return m
}
