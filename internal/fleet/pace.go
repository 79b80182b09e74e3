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
	// raiseStep is the least rise that is worth an order.
	raiseStep = 20
	// raiseInterval spaces rises, so that most of a reading shows the effect of each.
	raiseInterval = 350 * time.Millisecond
	// lowerInterval spaces small reductions.
	lowerInterval = 500 * time.Millisecond
	// allPausedAfter is when all fillers are paused beside a service that stays over
	// its target.
	allPausedAfter = 1200 * time.Millisecond
	// stalledLimit is how long a filler may stand still before it is moved: about
	// what a move costs, 400 ms for the stop, 250 ms to restore progress, and a start.
	stalledLimit = 800 * time.Millisecond
	// youngPercent is the progress up to which a filler without checkpoints is moved.
	youngPercent = 40
	// lightShare of the highest headroom of a service is the most that a filler may
	// take and count as one that hardly presses; fits of readings show pairs that
	// take less than 0.02 and pairs that take more than 0.1.
	lightShare = 0.05
	// tightLook is the interval of looks at a worker whose services have little
	// headroom beside fillers that press on them.
	tightLook = 450 * time.Millisecond
	// paceTimeout bounds an order that sets a pace.
	paceTimeout = 400 * time.Millisecond
)

// control sets the paces of the fillers on a worker so that the expected headroom
// of each service stays above its target, and moves fillers that stand still. The
// headroom goes first to fillers that hardly press, as it serves many of them, and
// among equals to the most urgent: a job is as late as its last task, so sharing it
// would make all of them late.
func (t *term) control(w *worker) {
	if w.fillers == 0 {
		return
	}
	v := t.harm.viewFor(w, t.now)
	room := map[*served]float64{}
	for _, s := range v.images {
		room[s] = max(s.soon, 0)
	}
	tight := !v.disturbed.IsZero()
	for _, r := range t.fillersInTurn(v, w) {
		want := t.paceFor(v, r, room)
		tight = tight || want < 100
		switch {
		case want < r.pace && (want+paceStep < r.pace || t.now.Sub(r.paceAt) > lowerInterval || !v.disturbed.IsZero()):
			t.setPace(r, want)
		case want >= r.pace+raiseStep && t.now.Sub(r.paceAt) > raiseInterval && v.disturbed.IsZero():
			t.setPace(r, want)
		case r.pace == 0 && t.now.Sub(r.paceAt) > stalledLimit && (r.step.Checkpoints || r.percent < youngPercent):
			t.stop(r, "disturbs")
		}
	}
	w.tight = tight
	if tight && t.now.Sub(w.probed) > tightLook && t.now.Sub(w.clockAt) > 2*tightLook {
		w.probed = t.now
		t.probe(w)
	}
}

// fillersInTurn returns the fillers that work on w in the order in which they get
// headroom.
func (t *term) fillersInTurn(v *harmView, w *worker) []*run {
	runs := t.fillersByUrgency(w)
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(t.presses(v, a), t.presses(v, b)) })
	return runs
}

// presses returns 0 for a filler that hardly presses on the services of its worker,
// and 1 for others.
func (t *term) presses(v *harmView, r *run) int {
	share := fillerShare(r.step, r.worker)
	for _, s := range v.images {
		if s.model.cautious(r.step.Image, t.now)*share > lightShare*s.model.highest {
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
		want want
	}
	var list []ranked
	for _, r := range w.runs {
		if r.step == nil || !r.step.Filler || r.state != runLive || r.job == nil {
			continue
		}
		o := r.job.find(r.key.occurrence)
		if o == nil {
			continue
		}
		q := t.queues[r.job.queue]
		x := ranked{r, want{job: r.job, occ: o, index: r.key.step, step: r.step, queue: q, priority: q.Priority, work: workLeft(r.job.spec, o)}}
		x.want.class, x.want.slack = classify(t.now, r.job, o, r.key.step, q)
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(compareWants(&a.want, &b.want), cmp.Compare(a.run.key.index, b.run.key.index))
	})
	runs := make([]*run, len(list))
	for i, x := range list {
		runs[i] = x.run
	}
	return runs
}

// paceFor returns the pace at which a filler leaves the services of its worker
// within their targets, in percent, and takes its pressure from the room.
func (t *term) paceFor(v *harmView, r *run, room map[*served]float64) int {
	if !v.disturbed.IsZero() && t.now.Sub(v.disturbed) > allPausedAfter {
		return 0
	}
	share := fillerShare(r.step, r.worker)
	factor := 1.0
	for _, s := range v.images {
		own := s.model.cautious(r.step.Image, t.now) * share
		if own >= slightShare*s.model.highest {
			factor = min(factor, room[s]/own)
		}
	}
	pace := int(100*factor) / paceStep * paceStep
	if factor >= 0.95 {
		pace = 100
	}
	for _, s := range v.images {
		room[s] = max(room[s]-s.model.cautious(r.step.Image, t.now)*share*float64(pace)/100, 0)
	}
	return pace
}

// paced is the answer to an order that sets a pace.
type paced struct {
	run     *run
	percent int
	err     error
}

// setPace sets the share of its speed at which a filler works.
func (t *term) setPace(r *run, percent int) {
	if r.paceBusy {
		return
	}
	r.paceBusy = true
	t.counters.paces.Inc()
	t.log.WithFields(logrus.Fields{"decision": "pace", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
		"percent": percent, "was": r.pace, "report_ms_ago": t.now.Sub(r.worker.clockAt).Milliseconds()}).Info("pace")
	go func(info WorkerInfo) {
		ctx, cancel := context.WithTimeout(t.ctx, paceTimeout)
		defer cancel()
		reply, err := t.cfg.Workers.Pace(ctx, info, r.ref, percent, t.number)
		if err == nil && reply.Verdict != StartRunning {
			err = model.Errorf(model.KindUnavailable, "the run has ended or a newer leader is in charge", "pace refused: verdict %d", reply.Verdict)
		}
		t.post(paced{r, percent, err})
	}(r.worker.info)
}

func (e paced) handle(t *term) {
	r := e.run
	r.paceBusy = false
	if r.worker.runs[r.ref] != r {
		return
	}
	if e.err == nil {
		r.pace, r.paceAt = e.percent, t.now
		r.worker.exposed.set(r, fillerShare(r.step, r.worker)*float64(e.percent)/100, t.now)
		return
	}
	t.log.WithError(e.err).WithField("task", r.ref.Task).Debug("pace failed")
	// An order to slow down that got no answer may not hold: stop instead.
	if e.percent == 0 && r.state == runLive {
		t.stop(r, "disturbs")
	}
}
