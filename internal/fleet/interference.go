package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Constants of the protection of services from fillers.
const (
	// pressureLimit bounds the predicted rise of a service's tail by the fillers
	// beside it, as a logarithm. The load of a service alone moves its tail from a
	// third to two thirds of its target, which leaves a factor of 1.5.
	pressureLimit = 0.42
	// blameShare is the least contribution, as a logarithm, for which a filler is
	// paused before others.
	blameShare = 0.12
	// calmAfter is how long no filler is added beside a service that was over its
	// target.
	calmAfter = 1500 * time.Millisecond
	// pausedLimit is how long fillers stay paused beside a service that is over its
	// target before they are moved; the contract's bound is 4 s.
	pausedLimit = 1300 * time.Millisecond
	// allPausedAfter is when all fillers are paused beside a service that stays over
	// its target.
	allPausedAfter = 700 * time.Millisecond
	// harmLook is the interval of looks at a worker with a disturbed service.
	harmLook = 350 * time.Millisecond
	// resumeTime is how long fillers stay paused at least.
	resumeTime = 700 * time.Millisecond
	// settleTime is how long after a filler's start or change of pace reports of
	// the last half second do not show its effect yet.
	settleTime = 650 * time.Millisecond
	// paceTimeout bounds an order that sets a pace.
	paceTimeout = 400 * time.Millisecond
)

// interference tracks how much fillers of each image disturb services of each
// image. It answers fillers that come in waves beside services whose load swings.
type interference struct {
	models map[string]*serviceModel
	// breached is when a service on a worker was last above its target.
	breached map[model.WorkerID]time.Time
	probed   map[model.WorkerID]time.Time
}

func newInterference() interference {
	return interference{models: map[string]*serviceModel{}, breached: map[model.WorkerID]time.Time{}, probed: map[model.WorkerID]time.Time{}}
}

func (h *interference) model(image string) *serviceModel {
	m := h.models[image]
	if m == nil {
		m = newServiceModel()
		h.models[image] = m
	}
	return m
}

// observe notes the tail latency of a serving run.
func (h *interference) observe(t *term, r *run) {
	target := r.step.LatencyTarget
	over := time.Duration(r.reading)*time.Millisecond > target
	switch {
	case !over:
		r.above = time.Time{}
	case r.above.IsZero():
		r.above = t.now
	}
	if over {
		h.breached[r.worker.info.Worker] = t.now
	}
	if r.percent < readyPercent || t.now.Sub(r.since) < settleTime || r.reading == 0 {
		return
	}
	if shares, settled := fillerShares(r.worker, t.now); settled {
		h.model(r.step.Image).observe(float64(r.reading)/float64(target.Milliseconds()), shares)
	}
}

// fillerShares returns the share of the host that fillers of each image demand.
// It is not settled while a filler's effect may not show yet.
func fillerShares(w *worker, now time.Time) (map[string]float64, bool) {
	shares := map[string]float64{}
	for _, r := range w.runs {
		if r.step == nil || !r.step.Filler {
			continue
		}
		if now.Sub(r.since) < settleTime || now.Sub(r.paceAt) < settleTime {
			return nil, false
		}
		shares[r.step.Image] += fillerShare(r.step, w) * float64(r.pace) / 100
	}
	return shares, true
}

// fillerShare is the share of its host that a filler demands.
func fillerShare(s *Step, w *worker) float64 {
	return float64(s.Needs.MilliCPU) / float64(max(w.info.Capacity.MilliCPU, 1))
}

// servedImage is the fillers' pressure on a service's image on one worker.
type servedImage struct {
	model    *serviceModel
	pressure float64
}

// harmView summarizes the services of a worker for the choice of fillers. It is
// computed once for a plan and dropped when a run comes or goes.
type harmView struct {
	at     time.Time
	images []servedImage
	// disturbed means that a service is over its target, or was a moment ago.
	disturbed bool
}

// viewFor returns the summary of w at now.
func (h *interference) viewFor(w *worker, now time.Time) *harmView {
	if w.harm != nil && w.harm.at.Equal(now) {
		return w.harm
	}
	v := &harmView{at: now}
	w.harm = v
	seen := map[string]bool{}
	for _, r := range w.runs {
		if r.step == nil || r.step.LatencyTarget == 0 || !r.live() {
			continue
		}
		v.disturbed = v.disturbed || !r.above.IsZero()
		if !seen[r.step.Image] {
			seen[r.step.Image] = true
			m := h.model(r.step.Image)
			v.images = append(v.images, servedImage{m, pressureOf(m, w, now)})
		}
	}
	v.disturbed = v.disturbed || (len(v.images) > 0 && now.Sub(h.breached[w.info.Worker]) < calmAfter)
	return v
}

// pressureOf predicts the rise of a service's tail by the fillers on w.
func pressureOf(m *serviceModel, w *worker, now time.Time) float64 {
	sum := 0.0
	for _, r := range w.runs {
		if r.step != nil && r.step.Filler && r.live() {
			sum += m.coefficient(r.step.Image, now) * fillerShare(r.step, w)
		}
	}
	return sum
}

// burden returns the highest predicted pressure on the services of w with one
// more filler, and whether they bear it.
func (h *interference) burden(w *worker, s *Step, now time.Time) (float64, bool) {
	v := h.viewFor(w, now)
	if v.disturbed {
		return 0, false
	}
	worst, share := 0.0, fillerShare(s, w)
	for _, i := range v.images {
		worst = max(worst, i.pressure+i.model.coefficient(s.Image, now)*share)
	}
	return worst, worst <= pressureLimit
}

// disturbed returns since when a service on w is over its target; zero if none.
func disturbed(w *worker) time.Time {
	var since time.Time
	for _, r := range w.runs {
		if r.live() && !r.above.IsZero() && (since.IsZero() || r.above.Before(since)) {
			since = r.above
		}
	}
	return since
}

// blamed returns the highest contribution of a filler to the pressure on the
// services of its worker that are over their targets.
func (h *interference) blamed(filler *run, now time.Time) float64 {
	worst := 0.0
	for _, r := range filler.worker.runs {
		if r.live() && !r.above.IsZero() {
			worst = max(worst, h.model(r.step.Image).coefficient(filler.step.Image, now)*fillerShare(filler.step, filler.worker))
		}
	}
	return worst
}

// control paces the fillers of a worker: those that are to blame are paused at
// once when a service is over its target, all of them when that does not help;
// they are moved when the service stays over, resumed when it is calm again.
func (h *interference) control(t *term, w *worker) {
	if w.fillers == 0 {
		return
	}
	since := disturbed(w)
	if since.IsZero() {
		h.resume(t, w)
		return
	}
	var chief *run
	chiefShare := 0.0
	for _, r := range w.runs {
		if r.step == nil || !r.step.Filler || r.state != runLive {
			continue
		}
		share := h.blamed(r, t.now)
		if r.pace > 0 && share > chiefShare {
			chief, chiefShare = r, share
		}
		switch {
		case r.pace == 0 && t.now.Sub(r.paceAt) > pausedLimit:
			t.stop(r, "disturbs")
		case r.pace > 0 && (share > blameShare || t.now.Sub(since) > allPausedAfter):
			h.pace(t, r, 0, "service-over-target")
		}
	}
	if chief != nil {
		h.pace(t, chief, 0, "service-over-target")
	}
	if t.now.Sub(h.probed[w.info.Worker]) > harmLook {
		h.probed[w.info.Worker] = t.now
		t.probe(w)
	}
}

// resume lets paused fillers of a calm worker go on, one at a time.
func (h *interference) resume(t *term, w *worker) {
	if t.now.Sub(h.breached[w.info.Worker]) < resumeTime {
		return
	}
	for _, r := range w.runs {
		if r.step != nil && r.step.Filler && r.state == runLive && r.pace < 100 && t.now.Sub(r.paceAt) > resumeTime {
			h.pace(t, r, 100, "calm")
			return
		}
	}
}

// paced is the answer to an order that sets a pace.
type paced struct {
	run     *run
	percent int
	err     error
}

// pace sets the share of its speed at which a filler works.
func (h *interference) pace(t *term, r *run, percent int, reason string) {
	if r.paceBusy || r.pace == percent {
		return
	}
	r.paceBusy = true
	t.counters.paces.Inc()
	t.log.WithFields(logrus.Fields{"decision": "pace", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
		"percent": percent, "reason": reason, "pressure": h.blamed(r, t.now)}).Info("pace")
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
	r.paceBusy, r.paceAt = false, t.now
	if e.err == nil {
		r.pace = e.percent
		return
	}
	t.log.WithError(e.err).WithField("task", r.ref.Task).Debug("pace failed")
	// An order to slow down that got no answer may not hold: stop instead.
	if e.percent == 0 && r.worker.runs[r.ref] == r && r.state == runLive {
		t.stop(r, "disturbs")
	}
}
