package fleet

import (
	"maps"
	"time"
)

// Constants of the protection of services from fillers. Headroom is target/tail.
const (
	// marginShare of the highest headroom is kept between the target and what is
	// expected: readings are rough, and a load may rise until the next look.
	marginShare = 0.09
	// slightShare of the highest headroom is a pressure too small to act on.
	slightShare = 0.015
	// loadWeight and meanWeight are the weights of a new report in the estimates of
	// a service's own load, now and on average.
	loadWeight = 0.6
	meanWeight = 0.08
	// calmAfter is how long no filler is added beside a service that was over its
	// target.
	calmAfter = 700 * time.Millisecond
)

// serviceLoad is what is known of one serving run.
type serviceLoad struct {
	seen     time.Time
	headroom float64            // at the last report
	beside   map[string]float64 // filler work at the last report
	// own and mean are the headroom without any filler, now and on average.
	own, mean float64
}

// interference tracks how much fillers of each image disturb services of each
// image. It answers fillers that come in waves beside services whose load swings.
type interference struct {
	models map[string]*serviceModel
}

func newInterference() interference { return interference{models: map[string]*serviceModel{}} }

func (h *interference) model(image string) *serviceModel {
	m := h.models[image]
	if m == nil {
		m = newServiceModel()
		h.models[image] = m
	}
	return m
}

// observe takes the tail latency of a serving run from a report.
func (h *interference) observe(r *run, now time.Time) {
	target := float64(r.step.LatencyTarget.Milliseconds())
	if r.reading <= 0 || r.percent < readyPercent {
		return
	}
	headroom := min(target/float64(r.reading), maxHeadroom)
	switch {
	case headroom >= 1:
		r.above = time.Time{}
	case r.above.IsZero():
		r.above = now
	}
	m := h.model(r.step.Image)
	m.highest = max(m.highest, headroom)
	beside := r.worker.exposed.average(now)
	l := &r.load
	if !l.seen.IsZero() && now.Sub(l.seen) > readingWindow/2 {
		change := maps.Clone(beside)
		for image, share := range l.beside {
			change[image] -= share
		}
		m.observe(l.headroom-headroom, change)
	}
	own := headroom
	for image, share := range beside {
		own += m.coefficient(image, now) * share
	}
	if l.seen.IsZero() {
		l.own, l.mean = own, own
	} else {
		l.own += loadWeight * (own - l.own)
		l.mean += meanWeight * (own - l.mean)
	}
	l.seen, l.headroom, l.beside = now, headroom, beside
}

// fillerShare is the share of its host that a filler demands.
func fillerShare(s *Step, w *worker) float64 {
	return float64(s.Needs.MilliCPU) / float64(max(w.info.Capacity.MilliCPU, 1))
}

// served is the state of one service's image on a worker: the run with the least
// headroom stands for all.
type served struct {
	model *serviceModel
	// now and mean are the headroom without fillers, above target and margin.
	now, mean float64
	pressure  float64 // of the fillers present, at full pace
}

// harmView summarizes the services of a worker. It is computed once for a plan
// and dropped when a run comes or goes.
type harmView struct {
	at     time.Time
	images map[string]*served
	// disturbed is since when a service is over its target; zero if none.
	disturbed time.Time
}

// viewFor returns the summary of w at now.
func (h *interference) viewFor(w *worker, now time.Time) *harmView {
	if w.harm != nil && w.harm.at.Equal(now) {
		return w.harm
	}
	v := &harmView{at: now, images: map[string]*served{}}
	w.harm = v
	for _, r := range w.runs {
		if r.step == nil || r.step.LatencyTarget == 0 || !r.live() {
			continue
		}
		if !r.above.IsZero() && (v.disturbed.IsZero() || r.above.Before(v.disturbed)) {
			v.disturbed = r.above
		}
		m := h.model(r.step.Image)
		keep := 1 + marginShare*m.highest
		own, mean := m.highest/2, m.highest/2 // before the first report
		if !r.load.seen.IsZero() {
			own, mean = r.load.own, r.load.mean
		}
		s := v.images[r.step.Image]
		if s == nil {
			s = &served{model: m, now: own - keep, mean: mean - keep, pressure: pressureOf(m, w, now)}
			v.images[r.step.Image] = s
		}
		s.now, s.mean = min(s.now, own-keep), min(s.mean, mean-keep)
	}
	return v
}

// pressureOf sums the pressure of the fillers on w at full pace.
func pressureOf(m *serviceModel, w *worker, now time.Time) float64 {
	sum := 0.0
	for _, r := range w.runs {
		if r.step != nil && r.step.Filler && r.live() {
			sum += m.coefficient(r.step.Image, now) * fillerShare(r.step, w)
		}
	}
	return sum
}

// burden returns the highest ratio of pressure to headroom on the services of w
// with one more filler, and whether they bear it. Headroom is taken between what
// it is now and what it is on average, as fillers run for some seconds and can be
// slowed down when the load rises.
func (h *interference) burden(w *worker, s *Step, now time.Time) (float64, bool) {
	v := h.viewFor(w, now)
	worst, share := 0.0, fillerShare(s, w)
	for _, i := range v.images {
		own := i.model.coefficient(s.Image, now) * share
		if own < slightShare*i.model.highest && v.disturbed.IsZero() {
			continue
		}
		if !v.disturbed.IsZero() && now.Sub(v.disturbed) >= 0 {
			return 0, false
		}
		room := (i.now + i.mean) / 2
		if room <= 0 {
			return 0, false
		}
		worst = max(worst, (i.pressure+own)/room)
	}
	return worst, worst <= 1
}
