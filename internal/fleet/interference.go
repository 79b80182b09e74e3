package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Constants of the protection of services from fillers.
const (
	// calmShare of the target is the tail latency up to which a service bears
	// (more) fillers beside it.
	calmShare = 0.5
	// calmTime is how long a service must be below calmShare after a breach.
	calmTime = 6 * time.Second
	// pausedLimit is how long fillers stay paused beside a service that is over
	// its target before they are moved. Together with the report's interval it
	// stays well below the contract's bound of 4 s.
	pausedLimit = 1300 * time.Millisecond
	// harmLook is the interval of looks at a worker with a disturbed service.
	harmLook = 400 * time.Millisecond
	// resumeTime is how long fillers stay paused at least.
	resumeTime = 1 * time.Second
	// paceTimeout bounds an order that sets a pace.
	paceTimeout = 400 * time.Millisecond
)

// imagePair is a filler's image beside a service's image.
type imagePair struct{ filler, service string }

// interference tracks which services are disturbed by which fillers. It answers
// fillers that come in waves beside services whose load swings.
type interference struct {
	// breached is when a service on a worker was last above its target.
	breached map[model.WorkerID]time.Time
	// blamed counts breaches by the pair of images that was present.
	blamed map[imagePair]float64
	probed map[model.WorkerID]time.Time
}

func newInterference() interference {
	return interference{breached: map[model.WorkerID]time.Time{}, blamed: map[imagePair]float64{}, probed: map[model.WorkerID]time.Time{}}
}

// observe notes the tail latency of a serving run.
func (h *interference) observe(t *term, r *run) {
	over := time.Duration(r.reading)*time.Millisecond > r.step.LatencyTarget
	switch {
	case !over:
		r.above = time.Time{}
	case r.above.IsZero():
		r.above = t.now
		h.breached[r.worker.info.Worker] = t.now
		h.blame(r)
	default:
		h.breached[r.worker.info.Worker] = t.now
	}
}

// blame counts the pairs of images that were beside a disturbed service.
func (h *interference) blame(r *run) {
	for _, f := range r.worker.runs {
		if f.step != nil && f.step.Filler && f.live() && f.pace > 0 {
			h.blamed[imagePair{f.step.Image, r.step.Image}]++
		}
	}
}

// blameLimit is how many breaches keep a filler's image from a service's image.
const blameLimit = 2

// bears reports whether the services on w bear a filler of an image.
func (h *interference) bears(w *worker, image string, now time.Time) bool {
	for _, r := range w.runs {
		if r.step == nil || r.step.LatencyTarget == 0 || !r.live() {
			continue
		}
		if float64(r.reading) > calmShare*float64(r.step.LatencyTarget.Milliseconds()) || !r.above.IsZero() {
			return false
		}
		if h.blamed[imagePair{image, r.step.Image}] >= blameLimit {
			return false
		}
	}
	return now.Sub(h.breached[w.info.Worker]) > calmTime
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

// control paces the fillers of a worker: paused at once when a service is over
// its target, moved when that does not help, resumed when it is calm again.
func (h *interference) control(t *term, w *worker) {
	since := disturbed(w)
	for _, r := range w.runs {
		if r.step == nil || !r.step.Filler || r.state != runLive {
			continue
		}
		switch {
		case since.IsZero():
			if r.pace < 100 && t.now.Sub(r.paceAt) > resumeTime {
				h.pace(t, r, 100, "calm")
			}
		case r.pace > 0:
			h.pace(t, r, 0, "service-over-target")
		case t.now.Sub(r.paceAt) > pausedLimit:
			t.stop(r, "disturbs")
		}
	}
	if !since.IsZero() && w.fillers > 0 && t.now.Sub(h.probed[w.info.Worker]) > harmLook {
		h.probed[w.info.Worker] = t.now
		t.probe(w)
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
	if r.paceBusy {
		return
	}
	r.paceBusy = true
	t.counters.paces.Inc()
	t.log.WithFields(logrus.Fields{"decision": "pace", "task": r.ref.Task, "attempt": r.ref.Attempt, "worker": r.worker.info.Worker,
		"percent": percent, "reason": reason}).Info("pace")
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
