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
	// minPaceRaise is the least rise that is worth an order.
	minPaceRaise = 20
	// paceRaiseInterval spaces rises, so that most of a reading shows the effect of each.
	paceRaiseInterval = 350 * time.Millisecond
	// paceLowerInterval spaces small reductions.
	paceLowerInterval = 500 * time.Millisecond
	// pauseAllAfter is when all fillers are paused beside a service that stays over
	// its target.
	pauseAllAfter = 1200 * time.Millisecond
	// pausedTimeout is how long a filler may stand still before it is moved: about
	// what a move costs, 400 ms for the stop, 250 ms to restore progress, and a start.
	pausedTimeout = 800 * time.Millisecond
	// maxRestartPercent is the progress up to which a filler without checkpoints is moved.
	maxRestartPercent = 40
	// lowPressureLimit of the highest headroom of a service is the most that a filler may
	// take and count as one that hardly presses; fits of readings show pairs that
	// take less than 0.02 and pairs that take more than 0.1.
	lowPressureLimit = 0.05
	// lowHeadroomPollInterval is the interval of looks at a worker whose services have little
	// headroom beside fillers that press on them.
	lowHeadroomPollInterval = 450 * time.Millisecond
	// paceTimeout bounds an order that sets a pace.
	paceTimeout = 400 * time.Millisecond
)

// adjustPaces sets the paces of the fillers on a worker so that the expected headroom
// of each service stays above its target, and moves fillers that stand still. The
// headroom goes first to fillers that hardly press, as it serves many of them, and
// among equals to the most urgent: a job is as late as its last task, so sharing it
// would make all of them late.
func (t *term) adjustPaces(w *worker) {
	if w.fillerMilliCPU == 0 {
		return
	}
	v := t.interference.viewOf(w, t.now)
	headroom := map[*serviceState]float64{}
	for _, s := range v.services {
		headroom[s] = max(s.headroomSoon, 0)
	}
	lowHeadroom := !v.overTargetSince.IsZero()
	for _, r := range t.fillersByHeadroomOrder(v, w) {
		pace := t.paceFor(v, r, headroom)
		lowHeadroom = lowHeadroom || pace < 100
		switch {
		case pace < r.pace && (pace+paceStep < r.pace || t.now.Sub(r.paceSetAt) > paceLowerInterval || !v.overTargetSince.IsZero()):
			t.setPace(r, pace)
		case pace >= r.pace+minPaceRaise && t.now.Sub(r.paceSetAt) > paceRaiseInterval && v.overTargetSince.IsZero():
			t.setPace(r, pace)
		case r.pace == 0 && t.now.Sub(r.paceSetAt) > pausedTimeout && (r.step.Checkpoints || r.percent < maxRestartPercent):
			t.stopRun(r, "disturbs")
		}
	}
	w.lowHeadroom = lowHeadroom
	if lowHeadroom && t.now.Sub(w.lastProbe) > lowHeadroomPollInterval && t.now.Sub(w.clockAt) > 2*lowHeadroomPollInterval {
		w.lastProbe = t.now
		t.probe(w)
	}
}

// fillersByHeadroomOrder returns the fillers that work on w in the order in which they get
// headroom.
func (t *term) fillersByHeadroomOrder(v *interferenceView, w *worker) []*run {
	runs := t.fillersByUrgency(w)
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(t.pressureRank(v, a), t.pressureRank(v, b)) })
	return runs
}

// pressureRank returns 0 for a filler that hardly presses on the services of its worker,
// and 1 for others.
func (t *term) pressureRank(v *interferenceView, r *run) int {
	share := fillerShare(r.step, r.worker)
	for _, s := range v.services {
		if s.model.plannedPressure(r.step.Image, t.now)*share > lowPressureLimit*s.model.highestHeadroom {
			return 1
		}
	}
	return 0
}

// fillersByUrgency returns the fillers that work on w, in the order in which
// their steps would be placed.
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

// paceFor returns the pace at which a filler leaves the services of its worker
// within their targets, in percent, and takes its pressure from the room.
func (t *term) paceFor(v *interferenceView, r *run, headroom map[*serviceState]float64) int {
	if !v.overTargetSince.IsZero() && t.now.Sub(v.overTargetSince) > pauseAllAfter {
		return 0
	}
	share := fillerShare(r.step, r.worker)
	factor := 1.0
	for _, s := range v.services {
		own := s.model.plannedPressure(r.step.Image, t.now) * share
		if own >= negligibleShare*s.model.highestHeadroom {
			factor = min(factor, headroom[s]/own)
		}
	}
	pace := int(100*factor) / paceStep * paceStep
	if factor >= 0.95 {
		pace = 100
	}
	for _, s := range v.services {
		headroom[s] = max(headroom[s]-s.model.plannedPressure(r.step.Image, t.now)*share*float64(pace)/100, 0)
	}
	return pace
}

// paceReply is the answer to an order that sets a pace.
type paceReply struct {
	run     *run
	percent int
	err     error
}

// setPace sets the share of its speed at which a filler works.
func (t *term) setPace(r *run, percent int) {
	if r.paceInFlight {
		return
	}
	r.paceInFlight = true
	t.metrics.paces.Inc()
	t.log.WithFields(logrus.Fields{"decision": "pace", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
		"percent": percent, "was": r.pace, "report_ms_ago": t.now.Sub(r.worker.clockAt).Milliseconds()}).Info("pace")
	go func(info WorkerInfo) {
		ctx, cancel := context.WithTimeout(t.ctx, paceTimeout)
		defer cancel()
		reply, err := t.cfg.Workers.Pace(ctx, info, r.ref, percent, t.number)
		if err == nil && reply.Verdict != StartRunning {
			err = model.Errorf(model.KindUnavailable, "the run has ended or a newer leader is in charge", "pace refused: verdict %d", reply.Verdict)
		}
		t.post(paceReply{r, percent, err})
	}(r.worker.info)
}

func (e paceReply) handle(t *term) {
	r := e.run
	r.paceInFlight = false
	if r.worker.runs[r.ref] != r {
		return
	}
	if e.err == nil {
		r.pace, r.paceSetAt = e.percent, t.now
		r.worker.exposures.set(r, fillerShare(r.step, r.worker)*float64(e.percent)/100, t.now)
		return
	}
	t.log.WithError(e.err).WithField("task", r.ref.Task).Debug("pace failed")
	// An order to slow down that got no answer may not hold: stop instead.
	if e.percent == 0 && r.state == runLive {
		t.stopRun(r, "disturbs")
	}
}
