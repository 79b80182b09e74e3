package fleet

import (
	"math"
	"time"
)

// Constants of the pressure model.
const (
	// priorPressure is assumed of a pair of images that was not seen together: the
	// logarithm of the rise of the tail latency for each whole host of filler work.
	priorPressure = 4.0
	// priorWeight is the weight of that assumption, as a sum of squared shares: that
	// of about eight reports beside a filler on a tenth of a host.
	priorWeight = 0.1
	// priorBase is the assumed logarithm of the ratio of an undisturbed tail to its
	// target, with the weight of some reports.
	priorBase       = -1.2
	priorBaseWeight = 5.0
	// pressureDecay discounts a report when the next one of the same image arrives;
	// behaviour may change over minutes.
	pressureDecay = 0.9995
	// solveInterval is how often the coefficients are computed anew.
	solveInterval = 250 * time.Millisecond
	// floorRatio bounds the logarithm of small readings.
	floorRatio = 0.02
)

// serviceModel predicts the tail latency of a service's image from the filler
// work beside it: log(tail/target) = base + sum over filler images of
// coefficient x share of the host. It is a ridge regression over reports that
// arrive late, and shrinks to the prior where reports are few.
type serviceModel struct {
	fillers map[string]int // position of a filler's image; 0 is the base
	a       [][]float64    // sum of x x'
	b       []float64      // sum of x y
	beta    []float64
	solved  time.Time
	stale   bool
}

func newServiceModel() *serviceModel {
	return &serviceModel{
		fillers: map[string]int{}, a: [][]float64{{priorBaseWeight}},
		b: []float64{priorBaseWeight * priorBase}, beta: []float64{priorBase},
	}
}

// position returns the place of a filler's image and adds it if it is new.
func (m *serviceModel) position(image string) int {
	if i, ok := m.fillers[image]; ok {
		return i
	}
	i := len(m.b)
	m.fillers[image] = i
	for k := range m.a {
		m.a[k] = append(m.a[k], 0)
	}
	row := make([]float64, i+1)
	row[i] = priorWeight
	m.a = append(m.a, row)
	m.b = append(m.b, priorWeight*priorPressure)
	m.beta = append(m.beta, priorPressure)
	return i
}

// observe adds a report: the ratio of tail to target beside shares of a host that
// fillers of each image work on.
func (m *serviceModel) observe(ratio float64, shares map[string]float64) {
	x := map[int]float64{0: 1}
	for image, share := range shares {
		x[m.position(image)] = share
	}
	y := math.Log(max(ratio, floorRatio))
	for i := range m.a {
		for k := range m.a[i] {
			m.a[i][k] *= pressureDecay
		}
		m.b[i] *= pressureDecay
		prior, mean := priorWeight, priorPressure
		if i == 0 {
			prior, mean = priorBaseWeight, priorBase
		}
		m.a[i][i] += (1 - pressureDecay) * prior // the prior does not fade
		m.b[i] += (1 - pressureDecay) * prior * mean
	}
	for i, xi := range x {
		m.b[i] += xi * y
		for k, xk := range x {
			m.a[i][k] += xi * xk
		}
	}
	m.stale = true
}

// coefficient returns the pressure of a filler's image; never below 0, as no
// filler helps a service.
func (m *serviceModel) coefficient(image string, now time.Time) float64 {
	m.refresh(now)
	i, ok := m.fillers[image]
	if !ok {
		return priorPressure
	}
	return max(m.beta[i], 0)
}

// base returns the expected logarithm of tail to target without fillers.
func (m *serviceModel) base(now time.Time) float64 {
	m.refresh(now)
	return m.beta[0]
}

func (m *serviceModel) refresh(now time.Time) {
	if !m.stale || now.Sub(m.solved) < solveInterval {
		return
	}
	m.stale, m.solved = false, now
	if beta, ok := solve(m.a, m.b); ok {
		m.beta = beta
	}
}

// solve returns x with a x = b, by elimination with pivots. The matrices have a
// row for each filler image, about ten.
func solve(a [][]float64, b []float64) ([]float64, bool) {
	n := len(b)
	m := make([][]float64, n)
	for i := range m {
		m[i] = append(append(make([]float64, 0, n+1), a[i]...), b[i])
	}
	for i := range n {
		p := i
		for k := i + 1; k < n; k++ {
			if math.Abs(m[k][i]) > math.Abs(m[p][i]) {
				p = k
			}
		}
		m[i], m[p] = m[p], m[i]
		if math.Abs(m[i][i]) < 1e-9 {
			return nil, false
		}
		for k := i + 1; k < n; k++ {
			f := m[k][i] / m[i][i]
			for c := i; c <= n; c++ {
				m[k][c] -= f * m[i][c]
			}
		}
	}
	x := make([]float64, n)
	for i := n - 1; i >= 0; i-- {
		x[i] = m[i][n]
		for k := i + 1; k < n; k++ {
			x[i] -= m[i][k] * x[k]
		}
		x[i] /= m[i][i]
	}
	return x, true
}
