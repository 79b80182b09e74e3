package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Parameters of the estimates.
const (
	// priorSlope is the expected slowdown by an unknown class that uses a whole worker. It
	// admits a few tasks, which then provide samples.
	priorSlope = 0.20
	// priorWeight is the number of samples that the prior counts for.
	priorWeight = 4.0
	// maxSampleWeight bounds the number of samples that an estimate counts for, so that it
	// follows changes of behaviour.
	maxSampleWeight = 60.0
	// sampleHalfLife is the time after which the weight of a sample has halved.
	sampleHalfLife = 30 * time.Minute
	// initialSlopeRate and finalSlopeRate are the learning rates of a slope with few and
	// with many samples.
	initialSlopeRate = 0.4
	finalSlopeRate   = 0.05
	// damping limits the effect of samples with little batch work: without it, noise of
	// 2% under a task with 3% of a worker would count as a slope of 0.7.
	damping = 0.05
	// maxResidual bounds the prediction error taken from one sample.
	maxResidual = 0.5
	// minFraction is the smallest fraction of a worker at which a sample is used for a
	// class; below it, noise dominates.
	minFraction = 0.02
	// maxSlope bounds an estimate against outliers.
	maxSlope = 20.0
	// baselineRate is the learning rate of a service's latency without batch work. It must
	// follow the load of the service faster than the slopes do: the load affects all
	// workers alike, and slopes are learnt from the differences between workers. A cell of
	// 16 workers provides about three samples a second.
	baselineRate = 0.3
	// meanRate is the learning rate of the mean over workers that samples are compared with.
	meanRate = 0.03
	// baselineDiscount lowers the rate with the expected slowdown, so that the workers with
	// the least batch work determine the baseline.
	baselineDiscount = 20.0
)

type serviceClass struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Class   model.ClassName   `cbor:"2,keyasint"`
}

// estimate is the slowdown by a class that uses a whole worker.
type estimate struct {
	Slope  float64 `cbor:"1,keyasint"`
	Weight float64 `cbor:"2,keyasint"`
	at     time.Time
}

// baseline is a service's tail latency in seconds without batch work, at the current load.
type baseline struct {
	Seconds float64 `cbor:"1,keyasint"`
	Samples float64 `cbor:"2,keyasint"`
}

// interferenceModel learns the pairwise slowdown of services by batch classes from reports
// that arrive with a delay. A service's expected slowdown is 1 plus the sum over classes of
// slope times the class's fraction of the worker's processors.
type interferenceModel struct {
	pairs       map[serviceClass]*estimate
	baselines   map[model.ServiceName]*baseline
	sampleMeans map[model.ServiceName]*sampleMean
}

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{
		pairs: map[serviceClass]*estimate{}, baselines: map[model.ServiceName]*baseline{},
		sampleMeans: map[model.ServiceName]*sampleMean{},
	}
}

// sampleMean is the moving average of a service's samples over all workers: the fraction
// of each class, in order of first use, and the prediction error. Slopes are learnt from
// the differences between a sample and this mean.
type sampleMean struct {
	mix      []classFraction
	residual float64
}

// deviations returns by how much each class's fraction in mix differs from the mean, and
// updates the mean.
func (a *sampleMean) deviations(mix []classFraction) []classFraction {
	for _, c := range mix {
		a.mix = addFraction(a.mix, c.class, 0)
	}
	out := make([]classFraction, len(a.mix))
	for i := range a.mix {
		now := fractionOf(mix, a.mix[i].class)
		out[i] = classFraction{a.mix[i].class, now - a.mix[i].fraction}
		a.mix[i].fraction += meanRate * (now - a.mix[i].fraction)
	}
	return out
}

func fractionOf(mix []classFraction, class model.ClassName) float64 {
	for _, c := range mix {
		if c.class == class {
			return c.fraction
		}
	}
	return 0
}

// meanSlope returns the mean slope of the service over its classes, weighted by samples,
// with the prior as one more class.
func (m *interferenceModel) meanSlope(service model.ServiceName) float64 {
	sum, weight := priorSlope*priorWeight, priorWeight
	for p, e := range m.pairs {
		if p.Service == service {
			w := min(e.Weight, priorWeight)
			sum, weight = sum+e.Slope*w, weight+w
		}
	}
	return sum / weight
}

// slope returns the estimate for a service and a class, shrunk towards the prior while it
// has few samples.
func (m *interferenceModel) slope(service model.ServiceName, class model.ClassName) float64 {
	e := m.pairs[serviceClass{service, class}]
	if e == nil {
		return priorSlope
	}
	return (e.Slope*e.Weight + priorSlope*priorWeight) / (e.Weight + priorWeight)
}

// predict returns the expected slowdown of a service under a mix.
func (m *interferenceModel) predict(service model.ServiceName, mix []classFraction) float64 {
	s := 1.0
	for _, c := range mix {
		s += m.slope(service, c.class) * c.fraction
	}
	return max(s, 1)
}

// worstSlowdown returns the largest expected slowdown of the services on h, with task
// added unless it is nil.
func (m *interferenceModel) worstSlowdown(h *host, task *cell.Task) float64 {
	mix := h.mix()
	if task != nil {
		mix = addFraction(mix, task.Spec.Class, h.cpuFraction(task))
	}
	worst := 1.0
	for _, s := range h.services {
		worst = max(worst, m.predict(s.service, mix))
	}
	return worst
}

// highestSlope returns the largest slope of a class over the services on h.
func (m *interferenceModel) highestSlope(h *host, class model.ClassName) float64 {
	most := 0.0
	for _, s := range h.services {
		most = max(most, m.slope(s.service, class))
	}
	return most
}

// lowInterferenceSlope returns the mean slope of the cell's live tasks over the classes
// that may fill a whole worker within the budget. It is computed once per plan.
func (s *Scheduler) lowInterferenceSlope() float64 {
	if s.lowSlopeAt.Equal(s.now) {
		return s.lowSlope
	}
	sum, cores := 0.0, 0.0
	for _, class := range sortedKeys(s.classCPU) {
		slope := 0.0
		for _, service := range sortedKeys(s.interference.baselines) {
			slope = max(slope, s.interference.slope(service, class))
		}
		if slope <= s.cfg.SlowdownBudget {
			sum += slope * float64(s.classCPU[class])
			cores += float64(s.classCPU[class])
		}
	}
	s.lowSlope, s.lowSlopeAt = sum/max(cores, 1), s.now
	return s.lowSlope
}

// observedSlowdown returns the ratio of a sample to the service's baseline, and false while
// the baseline has too few samples.
func (m *interferenceModel) observedSlowdown(s serviceSample) (float64, bool) {
	b := m.baselines[s.service]
	if b == nil || b.Samples < priorWeight {
		return 1, false
	}
	return s.p99.Seconds() / b.Seconds, true
}

// learn updates the model with one sample of a service and the mix at the time of its
// measurement.
func (m *interferenceModel) learn(s serviceSample, mix []classFraction, now time.Time) {
	m.learnBaseline(s, mix)
	ratio, known := m.observedSlowdown(s)
	if !known {
		return
	}
	mean := m.sampleMeans[s.service]
	if mean == nil {
		mean = &sampleMean{}
		m.sampleMeans[s.service] = mean
	}
	residual := min(max(ratio-m.predict(s.service, mix), -maxResidual), maxResidual)
	residualDiff := residual - mean.residual
	mean.residual += meanRate * residualDiff
	m.learnSlopes(s.service, mean.deviations(mix), residualDiff, now)
}

// learnSlopes updates the slopes of the classes whose fraction of the worker differs from
// the mean.
func (m *interferenceModel) learnSlopes(service model.ServiceName, diff []classFraction, residualDiff float64, now time.Time) {
	norm := 0.0
	for _, c := range diff {
		norm += c.fraction * c.fraction
	}
	for _, c := range diff {
		if math.Abs(c.fraction) >= minFraction {
			m.updateSlope(serviceClass{service, c.class}, residualDiff*c.fraction/(norm+damping), math.Abs(c.fraction)/math.Sqrt(norm), now)
		}
	}
}

// learnBaseline moves the baseline towards the sample divided by its expected slowdown.
// Samples without batch work have the largest weight.
func (m *interferenceModel) learnBaseline(s serviceSample, mix []classFraction) {
	expected := m.predict(s.service, mix)
	value := s.p99.Seconds() / expected
	b := m.baselines[s.service]
	if b == nil {
		b = &baseline{Seconds: value}
		m.baselines[s.service] = b
	}
	rate := max(baselineRate/(1+baselineDiscount*(expected-1)), 1/(b.Samples+1))
	b.Samples++
	b.Seconds += rate * (value - b.Seconds)
}

// updateSlope moves one estimate by a correction; weight is the part of the sample that is
// attributed to the class.
func (m *interferenceModel) updateSlope(p serviceClass, correction, weight float64, now time.Time) {
	e := m.pairs[p]
	if e == nil {
		e = &estimate{Slope: m.meanSlope(p.Service), at: now}
		m.pairs[p] = e
	}
	if e.at.IsZero() {
		e.at = now
	}
	e.Weight *= math.Exp2(-float64(now.Sub(e.at)) / float64(sampleHalfLife))
	e.at = now
	e.Weight = min(e.Weight+weight, maxSampleWeight)
	rate := max(finalSlopeRate, initialSlopeRate/(1+e.Weight/priorWeight))
	e.Slope += rate * correction
	e.Slope = min(max(e.Slope, 0), maxSlope)
}

type interferenceSnapshot struct {
	Pairs     []pairSnapshot     `cbor:"1,keyasint"`
	Baselines []baselineSnapshot `cbor:"2,keyasint"`
}

type pairSnapshot struct {
	Pair     serviceClass `cbor:"1,keyasint"`
	Estimate estimate     `cbor:"2,keyasint"`
}

type baselineSnapshot struct {
	Service  model.ServiceName `cbor:"1,keyasint"`
	Baseline baseline          `cbor:"2,keyasint"`
}

// MarshalEstimates encodes the learnt estimates for the cell's snapshot; the owner passes
// them to cell.State.SetAux.
func (s *Scheduler) MarshalEstimates() ([]byte, error) {
	var out interferenceSnapshot
	for p, e := range s.interference.pairs {
		out.Pairs = append(out.Pairs, pairSnapshot{p, *e})
	}
	for name, b := range s.interference.baselines {
		out.Baselines = append(out.Baselines, baselineSnapshot{name, *b})
	}
	slices.SortFunc(out.Pairs, func(a, b pairSnapshot) int {
		return cmp.Or(cmp.Compare(a.Pair.Service, b.Pair.Service), cmp.Compare(a.Pair.Class, b.Pair.Class))
	})
	slices.SortFunc(out.Baselines, func(a, b baselineSnapshot) int { return cmp.Compare(a.Service, b.Service) })
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode interference estimates")
	}
	return data, nil
}

// RestoreEstimates replaces the estimates by those of a snapshot. Empty data changes
// nothing. On an error of kind corrupt the estimates are learnt again.
func (s *Scheduler) RestoreEstimates(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var in interferenceSnapshot
	if err := cbor.Unmarshal(data, &in); err != nil {
		return model.Wrap(model.KindCorrupt, err, "continue; estimates are learnt again", "decode interference estimates")
	}
	s.interference.pairs = map[serviceClass]*estimate{}
	s.interference.baselines = map[model.ServiceName]*baseline{}
	s.interference.sampleMeans = map[model.ServiceName]*sampleMean{}
	for _, p := range in.Pairs {
		e := p.Estimate
		s.interference.pairs[p.Pair] = &e
	}
	for _, b := range in.Baselines {
		base := b.Baseline
		s.interference.baselines[b.Service] = &base
	}
	return nil
}
