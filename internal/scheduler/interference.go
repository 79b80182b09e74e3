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

// Constants of the estimates.
const (
	// priorSlope is the slowdown expected of an unknown class that uses a whole
	// worker. It admits a few tasks, which then give samples.
	priorSlope = 0.20
	// priorWeight is the number of samples that the mean counts for when a pair
	// has few samples of its own.
	priorWeight = 4.0
	// maxWeight bounds the number of samples that an estimate counts for, so
	// that it follows a change of behaviour.
	maxWeight = 60.0
	// halfLife is the time after which a sample counts half.
	halfLife = 30 * time.Minute
	// firstRate and lastRate are the step of an estimate with few and with many
	// samples.
	firstRate = 0.4
	lastRate  = 0.05
	// damping keeps samples with little batch work from moving estimates far:
	// two percent of noise under a task with 3% of a worker would otherwise count
	// as a slope of 0.7.
	damping = 0.05
	// maxMiss bounds the deviation taken from one sample.
	maxMiss = 0.5
	// minPart is the smallest share of a worker from which a sample tells
	// something about a class; below it, noise dominates.
	minPart = 0.02
	// maxSlope bounds an estimate against a few wild samples.
	maxSlope = 20.0
	// baseRate is the step of the estimate of a service's latency without batch.
	// It must follow the load of services faster than the slopes can: the load
	// moves all workers alike, and slopes are to be learnt from the differences
	// between workers. A cell of 16 workers gives some three samples a second.
	baseRate = 0.3
	// meanRate is the step of the mean over workers that samples are compared with.
	meanRate = 0.03
	// baseTrust lowers the step by the expected slowdown, so that the workers
	// with least batch work determine the baseline.
	baseTrust = 20.0
)

type pair struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Class   model.ClassName   `cbor:"2,keyasint"`
}

// estimate is the slowdown that a class causes per worker it fills.
type estimate struct {
	Slope  float64 `cbor:"1,keyasint"`
	Weight float64 `cbor:"2,keyasint"`
	at     time.Time
}

// baseline is a service's tail latency in seconds without batch work, at the
// present load.
type baseline struct {
	Seconds float64 `cbor:"1,keyasint"`
	Samples float64 `cbor:"2,keyasint"`
}

// interference learns the pairwise slowdown of services by batch classes from
// late reports. A service's expected slowdown is 1 plus the sum over classes of
// slope times the class's share of the worker's processors.
type interference struct {
	pairs map[pair]*estimate
	bases map[model.ServiceName]*baseline
	means map[model.ServiceName]*sampleMean
}

func newInterference() *interference {
	return &interference{
		pairs: map[pair]*estimate{}, bases: map[model.ServiceName]*baseline{},
		means: map[model.ServiceName]*sampleMean{},
	}
}

// sampleMean is the recent mean of a service's samples over all workers: the
// share of each class, in order of first use, and the deviation from what was
// expected. Slopes are learnt from what differs from it.
type sampleMean struct {
	mix  []share
	miss float64
}

// deviations returns by how much each class's share in mix differs from the
// mean, and moves the mean.
func (a *sampleMean) deviations(mix []share) []share {
	for _, c := range mix {
		a.mix = addShare(a.mix, c.class, 0)
	}
	out := make([]share, len(a.mix))
	for i := range a.mix {
		now := partOf(mix, a.mix[i].class)
		out[i] = share{a.mix[i].class, now - a.mix[i].part}
		a.mix[i].part += meanRate * (now - a.mix[i].part)
	}
	return out
}

func partOf(mix []share, class model.ClassName) float64 {
	for _, c := range mix {
		if c.class == class {
			return c.part
		}
	}
	return 0
}

// mean returns the mean slope of the service over its classes, weighted by
// samples, with the prior as one more class.
func (m *interference) mean(service model.ServiceName) float64 {
	sum, weight := priorSlope*priorWeight, priorWeight
	for p, e := range m.pairs {
		if p.Service == service {
			w := min(e.Weight, priorWeight)
			sum, weight = sum+e.Slope*w, weight+w
		}
	}
	return sum / weight
}

// slope returns the estimate of a pair, shrunk to the prior when samples are few.
func (m *interference) slope(service model.ServiceName, class model.ClassName) float64 {
	e := m.pairs[pair{service, class}]
	if e == nil {
		return priorSlope
	}
	return (e.Slope*e.Weight + priorSlope*priorWeight) / (e.Weight + priorWeight)
}

// predict returns the expected slowdown of a service under a mix.
func (m *interference) predict(service model.ServiceName, mix []share) float64 {
	s := 1.0
	for _, c := range mix {
		s += m.slope(service, c.class) * c.part
	}
	return max(s, 1)
}

// worst returns the largest expected slowdown of the services on h when task
// is added.
func (m *interference) worst(h *host, task *cell.Task) float64 {
	mix := h.mix()
	if task != nil {
		mix = addShare(mix, task.Spec.Class, h.part(task))
	}
	worst := 1.0
	for _, s := range h.services {
		worst = max(worst, m.predict(s.service, mix))
	}
	return worst
}

// noisiest returns the largest slope of a class over the services on h.
func (m *interference) noisiest(h *host, class model.ClassName) float64 {
	most := 0.0
	for _, s := range h.services {
		most = max(most, m.slope(s.service, class))
	}
	return most
}

// quietSlope returns the mean slope of the cell's live work, over the classes
// that may fill a whole worker within the budget. It is computed once a plan.
func (s *Scheduler) quietSlope() float64 {
	if s.quietAt.Equal(s.now) {
		return s.quiet
	}
	sum, cores := 0.0, 0.0
	for _, class := range sortedKeys(s.classCPU) {
		slope := 0.0
		for _, service := range sortedKeys(s.model.bases) {
			slope = max(slope, s.model.slope(service, class))
		}
		if slope <= s.cfg.SlowdownBudget {
			sum += slope * float64(s.classCPU[class])
			cores += float64(s.classCPU[class])
		}
	}
	s.quiet, s.quietAt = sum/max(cores, 1), s.now
	return s.quiet
}

// observed returns a sample's slowdown against the service's baseline, and
// false while the baseline is unknown.
func (m *interference) observed(s serviceSample) (float64, bool) {
	b := m.bases[s.service]
	if b == nil || b.Samples < priorWeight {
		return 1, false
	}
	return s.p99.Seconds() / b.Seconds, true
}

// learn takes one sample of a service under the mix of the time it was measured.
func (m *interference) learn(s serviceSample, mix []share, now time.Time) {
	m.learnBase(s, mix)
	ratio, known := m.observed(s)
	if !known {
		return
	}
	mean := m.means[s.service]
	if mean == nil {
		mean = &sampleMean{}
		m.means[s.service] = mean
	}
	miss := min(max(ratio-m.predict(s.service, mix), -maxMiss), maxMiss)
	differs := miss - mean.miss
	mean.miss += meanRate * differs
	m.learnSlopes(s.service, mean.deviations(mix), differs, now)
}

// learnSlopes moves the slopes of the classes whose share on the worker differs
// from the mean.
func (m *interference) learnSlopes(service model.ServiceName, diff []share, differs float64, now time.Time) {
	norm := 0.0
	for _, c := range diff {
		norm += c.part * c.part
	}
	for _, c := range diff {
		if math.Abs(c.part) >= minPart {
			m.step(pair{service, c.class}, differs*c.part/(norm+damping), math.Abs(c.part)/math.Sqrt(norm), now)
		}
	}
}

// learnBase moves the baseline towards the sample with the expected slowdown
// taken out. Samples without batch work count most.
func (m *interference) learnBase(s serviceSample, mix []share) {
	expected := m.predict(s.service, mix)
	value := s.p99.Seconds() / expected
	b := m.bases[s.service]
	if b == nil {
		b = &baseline{Seconds: value}
		m.bases[s.service] = b
	}
	rate := max(baseRate/(1+baseTrust*(expected-1)), 1/(b.Samples+1))
	b.Samples++
	b.Seconds += rate * (value - b.Seconds)
}

// step moves one estimate by a correction; weight is the part of the sample
// that the class accounts for.
func (m *interference) step(p pair, correction, weight float64, now time.Time) {
	e := m.pairs[p]
	if e == nil {
		e = &estimate{Slope: m.mean(p.Service), at: now}
		m.pairs[p] = e
	}
	if e.at.IsZero() {
		e.at = now
	}
	e.Weight *= math.Exp2(-float64(now.Sub(e.at)) / float64(halfLife))
	e.at = now
	e.Weight = min(e.Weight+weight, maxWeight)
	rate := max(lastRate, firstRate/(1+e.Weight/priorWeight))
	e.Slope += rate * correction
	e.Slope = min(max(e.Slope, 0), maxSlope)
}

type interferenceSnapshot struct {
	Pairs []pairSnapshot `cbor:"1,keyasint"`
	Bases []baseSnapshot `cbor:"2,keyasint"`
}

type pairSnapshot struct {
	Pair     pair     `cbor:"1,keyasint"`
	Estimate estimate `cbor:"2,keyasint"`
}

type baseSnapshot struct {
	Service  model.ServiceName `cbor:"1,keyasint"`
	Baseline baseline          `cbor:"2,keyasint"`
}

// MarshalEstimates returns the learnt estimates for the cell's snapshot; the
// owner passes them to cell.State.SetAux.
func (s *Scheduler) MarshalEstimates() ([]byte, error) {
	var out interferenceSnapshot
	for p, e := range s.model.pairs {
		out.Pairs = append(out.Pairs, pairSnapshot{p, *e})
	}
	for name, b := range s.model.bases {
		out.Bases = append(out.Bases, baseSnapshot{name, *b})
	}
	slices.SortFunc(out.Pairs, func(a, b pairSnapshot) int {
		return cmp.Or(cmp.Compare(a.Pair.Service, b.Pair.Service), cmp.Compare(a.Pair.Class, b.Pair.Class))
	})
	slices.SortFunc(out.Bases, func(a, b baseSnapshot) int { return cmp.Compare(a.Service, b.Service) })
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode interference estimates")
	}
	return data, nil
}

// RestoreEstimates replaces the estimates by those of a snapshot. Empty data
// starts from nothing. The error has kind corrupt; the estimates are relearnt.
func (s *Scheduler) RestoreEstimates(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var in interferenceSnapshot
	if err := cbor.Unmarshal(data, &in); err != nil {
		return model.Wrap(model.KindCorrupt, err, "continue; estimates are learnt again", "decode interference estimates")
	}
	s.model.pairs = map[pair]*estimate{}
	s.model.bases = map[model.ServiceName]*baseline{}
	s.model.means = map[model.ServiceName]*sampleMean{}
	for _, p := range in.Pairs {
		e := p.Estimate
		s.model.pairs[p.Pair] = &e
	}
	for _, b := range in.Bases {
		base := b.Baseline
		s.model.bases[b.Service] = &base
	}
	return nil
}
