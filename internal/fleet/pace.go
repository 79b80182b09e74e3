package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Constants of the pace of fillers.
const (
	// paceStep is the granularity of paces, in percent.
	paceStep = 20
	// fullPaceShare is the share of the full speed from which on a filler runs at full speed.
	fullPaceShare = 0.95
	// minPaceRaise is the least increase for which an order is sent, in percentage points.
	minPaceRaise = 20
	// paceCheckInterval is the interval at which the paces on a worker are checked between its
	// reports, as the forecast headroom changes.
	paceCheckInterval = 150 * time.Millisecond
	// paceRaiseInterval is the least time between increases, so that most of the window of a
	// reading shows the effect of the last one.
	paceRaiseInterval = 350 * time.Millisecond
	// paceLowerInterval is the least time between small reductions.
	paceLowerInterval = 500 * time.Millisecond
	// pauseAllAfter is how long a service may exceed its target before all fillers beside it
	// are paused.
	pauseAllAfter = 1200 * time.Millisecond
	// pauseStrainedAfter is the same for a service that is strained. With the time to the first
	// reading and to the answer of the pace order it stays below the contract's bound.
	pauseStrainedAfter = 1600 * time.Millisecond
	// strainBackdate is how much of the time with readings near the target, before the first one
	// over it, counts as strained at most. What is left of pauseStrainedAfter leaves room for a
	// second reading.
	strainBackdate = 1000 * time.Millisecond
	// pausedTimeout is how long a filler may be paused before it is stopped to run elsewhere.
	// It is about the time that this costs: 400 ms for the stop, 250 ms to restore progress,
	// and a start.
	pausedTimeout = 800 * time.Millisecond
	// maxRestartPercent is the progress below which a paused filler without checkpoints is
	// stopped, although it starts from the beginning elsewhere.
	maxRestartPercent = 40
	// lowPressureLimit is the share of a service's highest headroom that a filler takes at most
	// if it counts as one with low pressure. It separates the pairs of images that take less
	// than 0.02 from those that take more than 0.1.
	lowPressureLimit = 0.05
	// lowHeadroomPollInterval is the poll interval of a worker with low headroom; see
	// worker.lowHeadroom.
	lowHeadroomPollInterval = 450 * time.Millisecond
	// paceTimeout bounds a call that sets a pace.
	paceTimeout = 400 * time.Millisecond
)

// adjustPaces sets the paces of the fillers on a worker so that each service is expected to
// stay within its target, and stops fillers that have been paused for too long. Headroom
// goes first to fillers with low pressure, as it suffices for many of them, and then to the
// most urgent ones. It is not shared evenly: a job is as late as its last task, so sharing
// would make all jobs late.
func (t *term) adjustPaces(w *worker) {
	if w.fillerMilliCPU == 0 || (!w.pacesDue && t.now.Sub(w.pacesAdjustedAt) < paceCheckInterval) {
		return
	}
	w.pacesDue, w.pacesAdjustedAt = false, t.now
	v := t.interference.viewOf(w, t.now)
	headroom := map[*serviceState]float64{}
	for _, s := range v.services {
		headroom[s] = max(s.headroomSoon, 0)
	}
	lowHeadroom := !v.strainedSince.IsZero() || !v.overTargetSince.IsZero()
	spare := w.fillerCapacity()
	for _, r := range t.fillersByHeadroomOrder(v, w) {
		limit := 1.0
		if r.reduced {
			limit = float64(max(spare, 0)) / float64(max(r.step.Needs.MilliCPU, 1))
		}
		pace := t.paceFor(v, r, headroom, limit)
		if r.reduced {
			spare -= r.step.Needs.MilliCPU * int64(pace) / 100
		}
		lowHeadroom = lowHeadroom || pace < 100
		t.orderPace(v, r, pace)
	}
	w.lowHeadroom = lowHeadroom
	if lowHeadroom && t.now.Sub(w.lastProbe) > lowHeadroomPollInterval && t.now.Sub(w.clockAt) > 2*lowHeadroomPollInterval {
		w.lastProbe = t.now
		t.probe(w)
	}
}

// orderPace sets the pace of a filler where it differs enough from the present one, and stops the
// filler where it has been paused for too long.
func (t *term) orderPace(v *interferenceView, r *run, pace int) {
	switch {
	case r.paceUnknown, r.reduced && r.pace == 100: // its first pace order got no answer
		t.setPace(r, pace)
	case pace < r.pace && (pace+paceStep < r.pace || t.now.Sub(r.paceSetAt) > paceLowerInterval || !v.overTargetSince.IsZero()):
		t.setPace(r, pace)
	case (pace >= r.pace+minPaceRaise || r.pace < r.leastPace()) && pace > r.pace && t.now.Sub(r.paceSetAt) > paceRaiseInterval && v.overTargetSince.IsZero() && t.freeCalls(1) > 0:
		t.setPace(r, pace)
	case r.pace == 0 && t.now.Sub(r.paceSetAt) > pausedTimeout:
		if !t.reduceInPlace(v, r) && r.mayRestart() {
			t.stopRun(r, "disturbs")
		}
	}
}

// mayRestart reports whether a paused run may be stopped to start again elsewhere.
func (r *run) mayRestart() bool { return r.step.Checkpoints || r.percent < maxRestartPercent }

// fillersByHeadroomOrder returns the live fillers on w in the order in which they get
// headroom.
func (t *term) fillersByHeadroomOrder(v *interferenceView, w *worker) []*run {
	runs := t.fillersByUrgency(w)
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(t.pressureRank(v, a), t.pressureRank(v, b)) })
	return runs
}

// pressureRank returns 0 for a filler with low pressure on all services of its worker, and 1
// for others.
func (t *term) pressureRank(v *interferenceView, r *run) int {
	share := fillerShare(r.step, r.worker)
	for _, s := range v.services {
		if s.model.plannedPressure(r.step.Image, t.now)*share > lowPressureLimit*s.model.highestHeadroom {
			return 1
		}
	}
	return 0
}

// fillersByUrgency returns the live fillers on w in the order in which their steps would be
// placed.
func (t *term) fillersByUrgency(w *worker) []*run {
	type ranked struct {
		run  *run
		step waitingStep
	}
	var list []ranked
	for _, r := range w.runs {
		if r.step == nil || !r.step.Filler || r.state != runLive || r.job == nil {
			continue
		}
		o := r.job.openOccurrenceAt(r.key.occurrence)
		if o == nil {
			continue
		}
		q := t.queues[r.job.queue]
		x := ranked{r, waitingStep{job: r.job, occurrence: o, index: r.key.step, step: r.step, queue: q, priority: q.Priority, remainingWork: remainingWork(r.job.spec, o)}}
		x.step.urgency, x.step.slack = urgencyOf(t.now, r.job, o, r.key.step, q)
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(compareWaitingSteps(&a.step, &b.step), cmp.Compare(a.run.key.index, b.run.key.index))
	})
	runs := make([]*run, len(list))
	for i, x := range list {
		runs[i] = x.run
	}
	return runs
}

// paceFor returns the pace, in percent, at which a filler keeps the services of its worker
// within their targets, at most limit of its full speed. It subtracts the filler's pressure at that
// pace from headroom.
func (t *term) paceFor(v *interferenceView, r *run, headroom map[*serviceState]float64, limit float64) int {
	if v.needsPause(t.now) {
		return 0
	}
	share := fillerShare(r.step, r.worker)
	factor := min(limit, 1)
	for _, s := range v.services {
		own := s.model.plannedPressure(r.step.Image, t.now) * share
		if own >= negligibleShare*s.model.highestHeadroom {
			factor = min(factor, headroom[s]/own)
		}
	}
	pace := roundPace(factor)
	if r.reduced {
		pace = max(pace, r.leastPace())
	}
	for _, s := range v.services {
		headroom[s] = max(headroom[s]-s.model.plannedPressure(r.step.Image, t.now)*share*float64(pace)/100, 0)
	}
	return pace
}

// roundPace returns the pace in percent for a share of the full speed.
func roundPace(share float64) int {
	if share >= fullPaceShare {
		return 100
	}
	return int(100*share) / paceStep * paceStep
}

// paceReply is the answer to a pace order.
type paceReply struct {
	run     *run
	worker  *worker // to which the order was sent
	percent int
	err     error
}

// setPace orders the worker to run a filler at a share of its full speed. It does nothing
// while an earlier pace order is in flight.
func (t *term) setPace(r *run, percent int) {
	if r.paceInFlight {
		return
	}
	r.paceInFlight = true
	r.paceClock.order(percent, t.now)
	t.metrics.paces.Inc()
	t.log.WithFields(logrus.Fields{"decision": "pace", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
		"percent": percent, "was": r.pace, "report_ms_ago": t.now.Sub(r.worker.clockAt).Milliseconds()}).Info("setting pace of filler")
	go func(w *worker, info WorkerInfo, slot uint64) {
		ctx, cancel := context.WithTimeout(t.ctx, paceTimeout)
		defer cancel()
		defer t.callSlots.end(slot)
		defer t.calls.begin(&t.calls.paces)()
		reply, err := t.cfg.Workers.Pace(ctx, info, r.ref, percent, t.number)
		if err == nil && reply.Verdict != StartRunning {
			err = model.Errorf(model.KindUnavailable, "the run has ended or a newer leader is in charge", "pace refused: verdict %d", reply.Verdict)
		}
		t.post(paceReply{r, w, percent, err})
	}(r.worker, r.worker.info, t.callSlots.begin(t.now))
}

func (e paceReply) handle(t *term) {
	r := e.run
	if e.worker != r.worker {
		return // the run has passed to a new lifetime
	}
	r.paceInFlight = false
	if r.worker.runs[r.ref] != r {
		return
	}
	if e.err == nil {
		r.slowed = r.slowedTime(t.now)
		r.pace, r.paceSetAt, r.paceUnknown = e.percent, t.now, false
		r.paceClock.answer(e.percent, t.now)
		r.worker.setReduced(r, r.reduced && e.percent < 100)
		r.worker.exposures.set(r, fillerShare(r.step, r.worker)*float64(e.percent)/100, t.now)
		return
	}
	t.log.WithError(e.err).WithField("task", r.ref.Task).Debug("setting pace failed")
	// The worker may not have carried out an order to pause, so the run is stopped instead.
	if e.percent == 0 && r.state == runLive {
		t.stopRun(r, "disturbs")
	}
}
