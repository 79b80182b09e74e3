package fleet

import (
	"maps"
	"time"
)

// Constants of the protection of services from fillers. Headroom is target/tail.
const (
	// marginShare of the highest headroom is kept between the target and what is
	// expected without fillers: readings are rough to some percent.
	marginShare = 0.02
	// caution multiplies the learnt pressure of fillers. What they take varies
	// within seconds, so the margin grows with what presses: work that hardly
	// presses goes on at the peak of a service's load.
	caution = 1.5
	// slightShare of the highest headroom is a pressure too small to act on.
	slightShare = 0.015
	// runWeight is the weight of a new report in a run's own headroom.
	runWeight = 0.6
	// levelWeight and slopeWeight are the weights of a new report in the estimates
	// of a service's own load and of its trend. A job's tasks report several times a
	// second together.
	levelWeight = 0.35
	slopeWeight = 0.06
	// slopeLimit bounds the trend, as a share of the highest headroom per second.
	slopeLimit = 0.08
	// staleLoad is the age at which an estimate starts anew.
	staleLoad = 5 * time.Second
	// paceHorizon and placeHorizon are how far ahead the load is expected for the
	// pace of fillers and for their placement; they run for some seconds.
	paceHorizon  = 0.7
	placeHorizon = 1.5
)

// serviceLoad is the headroom of a serving step without any filler. The tasks of
// one step share the load of their users, so their reports are pooled.
type serviceLoad struct {
	at    time.Time
	level float64
	slope float64 // change of level per second
}

// observe takes a report of one of the tasks.
func (l *serviceLoad) observe(own, highest float64, now time.Time) {
	if l.at.IsZero() || now.Sub(l.at) > staleLoad {
		l.at, l.level, l.slope = now, own, 0
		return
	}
	dt := now.Sub(l.at).Seconds()
	err := own - (l.level + l.slope*dt)
	l.level += l.slope*dt + levelWeight*err
	limit := slopeLimit * highest
	l.slope = max(min(l.slope+slopeWeight*err/max(dt, 0.2), limit), -limit)
	l.at = now
}

// reading is the last report of a serving run.
type reading struct {
	at       time.Time
	headroom float64
	beside   map[string]float64 // filler work during the report's window
	// own is the headroom of this run without fillers. It is estimated for each run:
	// errors in the pressure of the fillers beside it cancel out.
	own float64
}

// interference tracks how much fillers of each image disturb services of each
// image. It answers fillers that come in waves beside services whose load swings.
type interference struct {
	models map[string]*serviceModel
	loads  map[string]*serviceLoad // by step
	// fillers holds the images of fillers that were seen beside services.
	fillers map[string]bool
}

func newInterference() interference {
	return interference{models: map[string]*serviceModel{}, loads: map[string]*serviceLoad{}, fillers: map[string]bool{}}
}

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
	for image := range beside {
		h.fillers[image] = true
	}
	load, last := h.loadOf(r), r.last
	if dt := now.Sub(last.at); !last.at.IsZero() && dt > readingWindow/2 && dt < staleLoad {
		change := maps.Clone(beside)
		for image, share := range last.beside {
			change[image] -= share
		}
		m.observe(last.headroom+load.slope*dt.Seconds()-headroom, change)
	}
	own := headroom
	for image, share := range beside {
		own += m.coefficient(image, now) * share
	}
	load.observe(own, m.highest, now)
	level := own
	if !last.at.IsZero() && now.Sub(last.at) < staleLoad {
		before := last.own + load.slope*now.Sub(last.at).Seconds()
		level = before + runWeight*(own-before)
	}
	r.last = reading{now, headroom, beside, level}
}

// loadOf returns the load that a serving run shares with the others of its step.
func (h *interference) loadOf(r *run) *serviceLoad {
	key := r.key.StepName(r.job.id)
	l := h.loads[key]
	if l == nil {
		l = &serviceLoad{}
		h.loads[key] = l
	}
	return l
}

// fillerShare is the share of its host that a filler demands.
func fillerShare(s *Step, w *worker) float64 {
	return float64(s.Needs.MilliCPU) / float64(max(w.info.Capacity.MilliCPU, 1))
}

// served is the state of one service's image on a worker: the run with the least
// headroom stands for all.
type served struct {
	model *serviceModel
	// soon and later are the headroom without fillers, above target and margin,
	// that is expected at the next look and while a new filler runs.
	soon, later float64
	pressure    float64 // of the fillers present, at full pace
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
		soon, later := m.highest/2, m.highest/2 // before the first report
		if l := h.loadOf(r); !r.last.at.IsZero() {
			age := min(now.Sub(r.last.at).Seconds(), 1)
			soon = r.last.own + min(l.slope*(age+paceHorizon), 0)
			later = r.last.own + l.slope*(age+placeHorizon)
		}
		s := v.images[r.step.Image]
		if s == nil {
			s = &served{model: m, soon: soon - keep, later: later - keep, pressure: pressureOf(m, w, now)}
			v.images[r.step.Image] = s
		}
		s.soon, s.later = min(s.soon, soon-keep), min(s.later, later-keep)
	}
	return v
}

// pressureOf sums the pressure of the fillers on w at full pace.
func pressureOf(m *serviceModel, w *worker, now time.Time) float64 {
	sum := 0.0
	for _, r := range w.runs {
		if r.step != nil && r.step.Filler && r.live() {
			sum += m.cautious(r.step.Image, now) * fillerShare(r.step, w)
		}
	}
	return sum
}

// burden returns the cost of one more filler on w, and whether its services bear
// it. The cost is the share of the headroom that the filler takes, and some for
// the headroom itself, which others may need more.
func (h *interference) burden(w *worker, s *Step, now time.Time) (float64, bool) {
	v := h.viewFor(w, now)
	cost, share := 0.0, fillerShare(s, w)
	for _, i := range v.images {
		own := i.model.cautious(s.Image, now) * share
		if !v.disturbed.IsZero() {
			return 0, false
		}
		if own < slightShare*i.model.highest {
			cost = max(cost, roomBias*max(i.later, 0)/i.model.highest)
			continue
		}
		room := max(i.later, i.soon)
		if room <= 0 || i.pressure+own > room {
			return 0, false
		}
		cost = max(cost, own/room+roomBias*i.later/i.model.highest)
	}
	return cost, true
}

// roomBias is the cost of using up a worker whose services have headroom for
// fillers that press on them.
const roomBias = 0.3

// forget drops the loads of steps that have not reported for long; they would start anew.
func (h *interference) forget(now time.Time) {
	maps.DeleteFunc(h.loads, func(_ string, l *serviceLoad) bool { return now.Sub(l.at) > staleLoad })
}
