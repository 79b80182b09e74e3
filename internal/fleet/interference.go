package fleet

import (
	"maps"
	"time"
)

// Constants of the protection of services from fillers. Headroom is the latency target
// divided by the tail latency.
const (
	// headroomMargin is the share of the highest headroom that is kept as a margin above the
	// target, as readings are inexact by some percent.
	headroomMargin = 0.02
	// clearHeadroom is the headroom from which a reading shows that a service is below its target.
	// Nearer to it, single readings err to either side.
	clearHeadroom = 1.1
	// pressureSafetyFactor multiplies the learnt pressure of fillers, which varies within
	// seconds. The margin thus grows with the pressure, so that fillers with low pressure
	// continue at the peak of a service's load.
	pressureSafetyFactor = 1.5
	// negligibleShare is the share of the highest headroom below which pressure is ignored.
	negligibleShare = 0.015
	// baselineWeight is the weight of a new report in a run's baseline.
	baselineWeight = 0.6
	// levelWeight and slopeWeight are the weights of a new report in the level and the slope
	// of a headroomTrend. They are small because the tasks of a step together report several
	// times a second.
	levelWeight = 0.35
	slopeWeight = 0.06
	// slopeLimit bounds the slope, as a share of the highest headroom per second.
	slopeLimit = 0.08
	// trendMaxAge is the age at which a trend or baseline is discarded.
	trendMaxAge = 5 * time.Second
	// offsetWeight is the weight of a new report in the difference between a run's headroom
	// and the cycle of its step; looseOffsetWeight is that of a cycle that leaves much of the
	// load unexplained, so that the difference follows the load.
	offsetWeight      = 0.12
	looseOffsetWeight = 0.5
	// paceHorizon and placeHorizon are how far ahead the headroom is predicted for the pace and
	// for the placement of fillers by a linear trend. cycleHorizon is the time for which a new
	// filler should find enough headroom by a cycle. Fillers run for some seconds.
	paceHorizon  = 700 * time.Millisecond
	placeHorizon = 1500 * time.Millisecond
	cycleHorizon = 2500 * time.Millisecond
)

// headroomTrend is the estimated headroom of a serving step without fillers. The tasks of
// one step share the load of their users, so their reports are pooled.
type headroomTrend struct {
	updatedAt time.Time
	level     float64
	slope     float64 // change of level per second
	cycle     cycleForecast
}

// observe updates the trend with own, the headroom of one task without fillers.
func (l *headroomTrend) observe(own, highest float64, now time.Time) {
	if l.updatedAt.IsZero() || now.Sub(l.updatedAt) > trendMaxAge {
		*l = headroomTrend{updatedAt: now, level: own}
		return
	}
	dt := now.Sub(l.updatedAt).Seconds()
	err := own - (l.level + l.slope*dt)
	l.level += l.slope*dt + levelWeight*err
	limit := slopeLimit * highest
	l.slope = max(min(l.slope+slopeWeight*err/max(dt, 0.2), limit), -limit)
	l.updatedAt = now
	l.cycle.observe(own, l.level+l.slope*cycleCheck.Seconds(), now)
}

// predict returns the least headroom of a run without fillers until the next poll and while
// a new filler runs. The pace must follow what the cycle does not explain, so it relies on a
// good cycle only.
func (l *headroomTrend) predict(s *headroomSample, now time.Time) (soon, later float64) {
	age := min(now.Sub(s.reportedAt), time.Second)
	soon = s.baseline + min(l.slope*(age+paceHorizon).Seconds(), 0)
	if !l.cycle.reliable() {
		return soon, max(soon, s.baseline+l.slope*(age+placeHorizon).Seconds())
	}
	c := &l.cycle.fitted
	if l.cycle.good() {
		soon = s.offset + c.lowest(now, now.Add(paceHorizon))
	}
	return soon, s.offset + c.lowest(now, now.Add(cycleHorizon))
}

// change returns the expected change of the headroom between two times.
func (l *headroomTrend) change(from, to time.Time) float64 {
	if l.cycle.reliable() {
		return l.cycle.fitted.at(to) - l.cycle.fitted.at(from)
	}
	return l.slope * to.Sub(from).Seconds()
}

// headroomSample is the last report of a serving run.
type headroomSample struct {
	reportedAt   time.Time
	headroom     float64
	fillerShares map[string]float64 // filler work during the report's window
	// baseline is the estimated headroom of this run without fillers. An estimate for each
	// run cancels errors in the modelled pressure of the fillers beside it.
	baseline float64
	// offset is the mean difference between this run's headroom without fillers and the cycle
	// of its step.
	offset float64
}

// interference tracks how much fillers of each image disturb services of each image. It is
// designed for fillers that arrive in bursts beside services with varying load.
type interference struct {
	models map[string]*pressureModel
	trends map[stepID]*headroomTrend
	// fillerImages holds the images of fillers that were seen beside services.
	fillerImages map[string]bool
}

// stepID names a step of an occurrence of a job.
type stepID struct {
	job              string
	occurrence, step int
}

func newInterference() interference {
	return interference{models: map[string]*pressureModel{}, trends: map[stepID]*headroomTrend{}, fillerImages: map[string]bool{}}
}

func (h *interference) model(image string) *pressureModel {
	m := h.models[image]
	if m == nil {
		m = newPressureModel()
		h.models[image] = m
	}
	return m
}

// observe updates the models with the tail latency of a serving run from a report.
func (h *interference) observe(r *run, now time.Time) {
	target := float64(r.step.LatencyTarget.Milliseconds())
	if r.reading <= 0 || r.percent < readyPercent {
		return
	}
	headroom := min(target/float64(r.reading), maxHeadroom)
	switch {
	case headroom >= 1:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
	m := h.model(r.step.Image)
	m.highestHeadroom = max(m.highestHeadroom, headroom)
	fillerShares := r.worker.exposures.average(now)
	if headroom >= clearHeadroom || !r.worker.fillersWork() {
		r.nearTargetSince, r.strainedSince = time.Time{}, time.Time{}
	} else {
		r.nearTargetSince = earliestSet(r.nearTargetSince, now)
		if headroom < 1 && r.strainedSince.IsZero() {
			r.strainedSince = strainStart(r.nearTargetSince, now)
		}
	}
	for image := range fillerShares {
		h.fillerImages[image] = true
	}
	trend, last := h.trendOf(r), r.lastSample
	if dt := now.Sub(last.reportedAt); !last.reportedAt.IsZero() && dt > readingWindow/2 && dt < trendMaxAge {
		change := maps.Clone(fillerShares)
		for image, share := range last.fillerShares {
			change[image] -= share
		}
		m.observe(last.headroom+trend.change(last.reportedAt, now)-headroom, change)
	}
	own := headroom
	for image, share := range fillerShares {
		own += m.pressure(image, now) * share
	}
	trend.observe(own, m.highestHeadroom, now)
	baseline, offset := own, last.offset
	if !last.reportedAt.IsZero() && now.Sub(last.reportedAt) < trendMaxAge {
		before := last.baseline + trend.slope*now.Sub(last.reportedAt).Seconds()
		baseline = before + baselineWeight*(own-before)
	}
	if trend.cycle.reliable() {
		weight := looseOffsetWeight
		if trend.cycle.good() {
			weight = offsetWeight
		}
		offset += weight * (own - trend.cycle.fitted.at(now) - offset)
	}
	r.lastSample = headroomSample{now, headroom, fillerShares, baseline, offset}
}

// strainStart returns since when a service counts as strained whose reading is over its target at now
// and has not been clearly below it since nearSince. The readings between may have erred to the lower
// side.
func strainStart(nearSince, now time.Time) time.Time {
	return earliest(latest(nearSince.Add(pollWait), now.Add(-strainBackdate)), now)
}

// fillersWork reports whether a filler on w has not been paused.
func (w *worker) fillersWork() bool {
	for _, r := range w.runs {
		if r.step != nil && r.step.Filler && (r.pace > 0 || r.paceUnknown) {
			return true
		}
	}
	return false
}

// trendOf returns the headroom trend of a serving run's step.
func (h *interference) trendOf(r *run) *headroomTrend {
	key := stepID{r.job.id, r.key.occurrence, r.key.step}
	l := h.trends[key]
	if l == nil {
		l = &headroomTrend{}
		h.trends[key] = l
	}
	return l
}

// fillerShare returns the share of w's processors that a filler demands.
func fillerShare(s *Step, w *worker) float64 {
	return float64(s.Needs.MilliCPU) / float64(max(w.info.Capacity.MilliCPU, 1))
}

// serviceState is the state of one service image on a worker. It describes the run with the
// least headroom.
type serviceState struct {
	model *pressureModel
	// headroomSoon and headroomLater are the predicted headroom without fillers, above target
	// and margin, at the next poll and while a new filler runs.
	headroomSoon, headroomLater float64
	// fillerPressure is the pressure of the present fillers at full pace, without those that were
	// started at a reduced pace, which yield to others. reducedPressure is that of the latter.
	fillerPressure, reducedPressure float64
}

// interferenceView summarizes the services of a worker. It is dropped when the worker reports,
// when a run is added or removed and after viewMaxAge.
type interferenceView struct {
	computedAt time.Time
	services   map[string]*serviceState
	// overTargetSince is since when a service exceeds its latency target; zero if none does.
	overTargetSince time.Time
	// strainedSince is since when a service is strained by fillers; zero if none is.
	strainedSince time.Time
}

// needsPause reports whether all fillers must be paused for a service that has been over its target,
// or not clearly below it, for too long.
func (v *interferenceView) needsPause(now time.Time) bool {
	return !v.overTargetSince.IsZero() && now.Sub(v.overTargetSince) > pauseAllAfter ||
		!v.strainedSince.IsZero() && now.Sub(v.strainedSince) > pauseStrainedAfter
}

// acceptsFillers reports whether fillers may be added or raised: no service is over its target, and
// none is strained for so long that the fillers must be paused.
func (v *interferenceView) acceptsFillers(now time.Time) bool {
	return v.overTargetSince.IsZero() && !v.needsPause(now)
}

// earliestSet returns the earlier of two times; a zero time is later than any other.
func earliestSet(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// viewMaxAge is the age up to which a view is used again. Plans follow each other within
// milliseconds, in which the forecast of headroom hardly changes.
const viewMaxAge = 40 * time.Millisecond

// viewOf returns the summary of w's services at now.
func (h *interference) viewOf(w *worker, now time.Time) *interferenceView {
	if w.interferenceView != nil && now.Sub(w.interferenceView.computedAt) < viewMaxAge {
		return w.interferenceView
	}
	v := &interferenceView{computedAt: now, services: map[string]*serviceState{}}
	w.interferenceView = v
	for _, r := range w.runs {
		if r.step == nil || r.step.LatencyTarget == 0 || !r.live() {
			continue
		}
		v.overTargetSince = earliestSet(v.overTargetSince, r.overTargetSince)
		v.strainedSince = earliestSet(v.strainedSince, r.strainedSince)
		m := h.model(r.step.Image)
		keep := 1 + headroomMargin*m.highestHeadroom
		soon, later := m.highestHeadroom/2, m.highestHeadroom/2 // before the first report
		if !r.lastSample.reportedAt.IsZero() {
			soon, later = h.trendOf(r).predict(&r.lastSample, now)
		}
		s := v.services[r.step.Image]
		if s == nil {
			s = &serviceState{model: m, headroomSoon: soon - keep, headroomLater: later - keep}
			s.fillerPressure, s.reducedPressure = totalFillerPressure(m, w, now)
			v.services[r.step.Image] = s
		}
		s.headroomSoon, s.headroomLater = min(s.headroomSoon, soon-keep), min(s.headroomLater, later-keep)
	}
	return v
}

// totalFillerPressure returns the pressure of the fillers on w at full pace, and that of those
// that were started at a reduced pace.
func totalFillerPressure(m *pressureModel, w *worker, now time.Time) (full, reduced float64) {
	for _, r := range w.runs {
		if r.step != nil && r.step.Filler && r.live() {
			p := m.plannedPressure(r.step.Image, now) * fillerShare(r.step, w)
			if r.reduced {
				reduced += p * float64(r.pace) / 100
			} else {
				full += p
			}
		}
	}
	return full, reduced
}

// placementCost returns the cost of one more filler on w at full pace, and the share of its full
// speed, at most 1, that the services there tolerate. The cost is the share of the headroom that
// the filler takes, plus a part for the size of the headroom, which fillers with more pressure may
// need.
func (h *interference) placementCost(w *worker, s *Step, now time.Time) (cost, tolerated float64) {
	v := h.viewOf(w, now)
	share := fillerShare(s, w)
	tolerated = 1
	if !v.acceptsFillers(now) {
		return 0, 0
	}
	for _, svc := range v.services {
		own := svc.model.plannedPressure(s.Image, now) * share
		if own < negligibleShare*svc.model.highestHeadroom {
			cost = max(cost, headroomBias*max(svc.headroomLater, 0)/svc.model.highestHeadroom)
			continue
		}
		available := svc.headroomLater
		if left := available - svc.fillerPressure; left < own {
			tolerated = max(min(tolerated, (left-svc.reducedPressure)/own), 0)
			continue
		}
		cost = max(cost, own/available+headroomBias*svc.headroomLater/svc.model.highestHeadroom)
	}
	return cost, tolerated
}

// headroomBias is the cost of a worker whose services have their highest headroom. That
// headroom is better kept for fillers with high pressure.
const headroomBias = 0.3

// dropStaleTrends drops the trends of steps without a report for trendMaxAge, which would be
// reset at the next report anyway.
func (h *interference) dropStaleTrends(now time.Time) {
	maps.DeleteFunc(h.trends, func(_ stepID, l *headroomTrend) bool { return now.Sub(l.updatedAt) > trendMaxAge })
}
