package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// work is the truth about one task, which the decision code does not see.
type work struct {
	id     model.TaskID
	submit *Submit
	class  *Class
	need   model.Resources
	run    time.Duration
	// progress is the work, in time at full speed, behind the last checkpoint
	// or, for an ended task, in total.
	progress  time.Duration
	faults    int
	done      int
	running   *run
	submitted time.Duration
	started   bool
	cancelled bool
	exempt    bool
	closed    bool
}

// speed is the part of full speed at which the guards let the task run.
func (w *work) speed() float64 {
	if w.submit.Needs <= w.submit.Cores {
		return 1
	}
	return w.submit.Cores / w.submit.Needs
}

// slope returns the slowdown of services by the task per worker it fills.
func (w *work) slope() float64 { return w.class.Slope }

// used returns the processors that the task really uses, in cores.
func (w *work) used() float64 {
	if w.submit.Needs == 0 {
		return w.submit.Cores
	}
	return min(w.submit.Needs, w.submit.Cores)
}

// run is an attempt on a worker.
type run struct {
	external.AttemptRef
	work     *work
	started  time.Duration
	updated  time.Duration
	progress time.Duration
	throttle int
	// saved is the progress behind the last checkpoint taken by this attempt.
	saved      time.Duration
	savedAt    time.Duration
	checkpoint string
	stopping   bool
	version    int
}

// worker is a fake worker host.
type worker struct {
	scheduler.Worker
	sim      *sim
	cell     *owner
	runs     []*run
	ended    []external.EndedAttempt
	downTill time.Duration
	badTill  time.Duration
	samples  []external.ServiceSample
	sampled  time.Duration
	contact  time.Duration
	reports  int
}

func (w *worker) up() bool  { return w.sim.now >= w.downTill }
func (w *worker) bad() bool { return w.sim.now < w.badTill }

func (w *worker) find(ref external.AttemptRef) *run {
	for _, r := range w.runs {
		if r.AttemptRef == ref {
			return r
		}
	}
	return nil
}

// advance brings a run's progress up to the present.
func (w *worker) advance(r *run) {
	elapsed := w.sim.now - r.updated
	r.updated = w.sim.now
	gained := time.Duration(float64(elapsed) * float64(r.throttle) / 100 * r.work.speed())
	gained = min(gained, r.work.run-r.progress)
	r.progress += gained
	w.sim.gain(r.work, gained)
}

// start accepts a start command and checks what the platform must never see.
func (w *worker) start(ref external.AttemptRef, t *work, checkpoint string) {
	if !w.up() {
		// The owner cannot know whether the start arrived, so R2 makes it wait
		// until the lease of the attempt would have run out.
		t.exempt = true
		return
	}
	w.sim.checkStart(w, t, ref)
	r := &run{AttemptRef: ref, work: t, started: w.sim.now, updated: w.sim.now, throttle: 100}
	r.savedAt = w.sim.now
	w.sim.checkResume(t, checkpoint)
	r.progress = w.sim.checkpoints[checkpoint]
	r.saved, r.checkpoint = r.progress, checkpoint
	t.running = r
	w.runs = append(w.runs, r)
	w.sim.firstStart(t)
	switch {
	case w.bad():
		w.sim.after(w.sim.between(time.Second, 3*time.Second), func() { w.fail(r, "worker fault") })
	case t.faults > 0:
		t.faults--
		w.sim.after(t.run*3/10, func() { w.fail(r, "task fault") })
	default:
		w.scheduleEnd(r)
	}
}

// scheduleEnd plans the event at which the run is complete at its present speed.
func (w *worker) scheduleEnd(r *run) {
	r.version++
	version := r.version
	speed := float64(r.throttle) / 100 * r.work.speed()
	left := time.Duration(float64(r.work.run-r.progress)/speed) + time.Millisecond
	w.sim.after(left, func() {
		if r.version == version && slices.Contains(w.runs, r) {
			w.end(r, model.OutcomeDone, "")
		}
	})
}

func (w *worker) fail(r *run, text string) {
	if slices.Contains(w.runs, r) {
		w.end(r, model.OutcomeFailed, text)
	}
}

// end closes a run, keeps its report until it is acknowledged and tells the owner.
func (w *worker) end(r *run, outcome model.Outcome, text string) {
	w.advance(r)
	w.remove(r)
	e := external.EndedAttempt{AttemptRef: r.AttemptRef, Outcome: outcome, Error: text, Checkpoint: r.checkpoint}
	if outcome == model.OutcomeDone {
		e.Result = fmt.Sprintf("result/%s", r.Task)
	}
	if outcome != model.OutcomeDone {
		w.sim.lose(r.work, r.progress-r.saved)
	}
	w.ended = append(w.ended, e)
	w.sim.after(reportDelay, func() { w.report() })
}

func (w *worker) remove(r *run) {
	w.runs = slices.DeleteFunc(w.runs, func(x *run) bool { return x == r })
	r.work.running = nil
}

// save takes a checkpoint of a run.
func (w *worker) save(r *run) {
	w.advance(r)
	r.saved, r.savedAt = r.progress, w.sim.now
	r.checkpoint = fmt.Sprintf("ck/%s/%d/%d", r.Task, r.Attempt, w.sim.now.Milliseconds())
	w.sim.checkpoints[r.checkpoint] = r.saved
}

// evict checkpoints a run and stops it after the time that this takes.
func (w *worker) evict(ref external.AttemptRef) {
	r := w.find(ref)
	if r == nil || r.stopping || !w.up() {
		return
	}
	r.stopping = true
	w.sim.after(r.work.class.Evict.D(), func() {
		if !slices.Contains(w.runs, r) {
			return
		}
		w.save(r)
		w.end(r, model.OutcomeEvicted, "")
	})
}

func (w *worker) stop(ref external.AttemptRef) {
	if r := w.find(ref); r != nil && w.up() {
		w.end(r, model.OutcomeCancelled, "")
	}
}

func (w *worker) setThrottle(ref external.AttemptRef, percent int) {
	r := w.find(ref)
	if r == nil || !w.up() {
		return
	}
	w.advance(r)
	r.throttle = percent
	if !r.stopping && !w.bad() {
		w.scheduleEnd(r)
	}
}

// crash ends all runs without a report.
func (w *worker) crash(till time.Duration) {
	for _, r := range slices.Clone(w.runs) {
		w.advance(r)
		w.sim.lose(r.work, r.progress-r.saved)
		w.remove(r)
	}
	w.ended, w.samples = nil, nil
	w.downTill = till
}

// slowdown returns the true slowdown of services on the worker.
func (w *worker) slowdown(load float64) float64 {
	s := 1.0
	for _, r := range w.runs {
		part := r.work.used() / (float64(w.Capacity.MilliCPU) / 1000) * float64(r.throttle) / 100
		s += r.work.slope() * w.sim.noise(r.work.class.Name) * part * load
	}
	return s
}

// Intervals and lags of workers' reports.
const (
	reportEvery = time.Second
	reportDelay = 50 * time.Millisecond
	// sampleEvery is the interval of service measurements; a sample is published
	// sampleLag after it was measured.
	sampleEvery = 5 * time.Second
	sampleLag   = 4 * time.Second
	sampleNoise = 0.02
)

// sample measures the services now; the result is reported later.
func (w *worker) sample() {
	if !w.up() {
		return
	}
	load := w.sim.load(w.DataCentre)
	slow := w.slowdown(load)
	measured := w.sim.now
	var out []external.ServiceSample
	for _, s := range w.sim.trace.Header.Services {
		noise := 1 + sampleNoise*(2*w.sim.rng.Float64()-1)
		p99 := s.P99 * latencyAt(load) * slow * noise
		out = append(out, external.ServiceSample{Service: s.Name, P99: time.Duration(p99 * float64(time.Millisecond))})
	}
	w.sim.after(sampleLag, func() { w.samples, w.sampled = out, measured })
}

// report sends the worker's report to the owner of its cell.
func (w *worker) report() {
	if !w.up() {
		return
	}
	out := external.WorkerReport{Worker: w.ID, Ended: slices.Clone(w.ended)}
	out.Running = make([]external.RunningAttempt, 0, len(w.runs))
	for _, s := range w.samples {
		s.Age = w.sim.now - w.sampled
		out.Services = append(out.Services, s)
	}
	for _, r := range w.runs {
		if !r.stopping && w.sim.now-r.savedAt >= r.work.class.Checkpoint.D() {
			w.save(r)
		}
		out.Running = append(out.Running, external.RunningAttempt{
			AttemptRef: r.AttemptRef, Class: r.work.class.Name, UsageAge: sampleLag,
			Checkpoint: r.checkpoint, Progress: float64(r.progress) / float64(r.work.run),
		})
	}
	w.reports++
	w.cell.observe(w, out)
}

// acknowledge forgets ended attempts whose outcome is durable.
func (w *worker) acknowledge(ref external.AttemptRef) {
	w.ended = slices.DeleteFunc(w.ended, func(e external.EndedAttempt) bool { return e.AttemptRef == ref })
}
