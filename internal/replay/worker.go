package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/scheduler"
)

// simTask is the true state of one task, which the scheduler does not see.
type simTask struct {
	id        model.TaskID
	submit    *Submit
	class     *Class
	resources model.Resources
	runTime   time.Duration
	// progress is the work done and not lost, as run time at full speed.
	progress        time.Duration
	remainingFaults int
	completions     int
	running         *attempt
	submittedAt     time.Duration
	started         bool
	cancelled       bool
	exempt          bool
	closed          bool
}

// speed returns the share of full speed at which the task runs under its CPU limit.
func (w *simTask) speed() float64 {
	if w.submit.NeededCores <= w.submit.Cores {
		return 1
	}
	return w.submit.Cores / w.submit.NeededCores
}

// slope returns the slowdown of services at load 1 when tasks of this class fill a whole
// worker.
func (w *simTask) slope() float64 { return w.class.Slope }

// usedCores returns the number of cores that the task actually uses.
func (w *simTask) usedCores() float64 {
	if w.submit.NeededCores == 0 {
		return w.submit.Cores
	}
	return min(w.submit.NeededCores, w.submit.Cores)
}

// attempt is a running attempt of a task on a worker.
type attempt struct {
	external.AttemptRef
	task      *simTask
	startedAt time.Duration
	updatedAt time.Duration
	progress  time.Duration
	throttle  int
	// savedProgress is the progress at the last checkpoint of this attempt.
	savedProgress time.Duration
	savedAt       time.Duration
	checkpoint    string
	stopping      bool
	endVersion    int
}

// worker is a simulated worker.
type worker struct {
	scheduler.Worker
	sim         *sim
	owner       *owner
	attempts    []*attempt
	ended       []external.EndedAttempt
	downUntil   time.Duration
	faultyUntil time.Duration
	samples     []external.ServiceSample
	sampledAt   time.Duration
	lastContact time.Duration
	reports     int
}

func (w *worker) up() bool     { return w.sim.now >= w.downUntil }
func (w *worker) faulty() bool { return w.sim.now < w.faultyUntil }

func (w *worker) findAttempt(ref external.AttemptRef) *attempt {
	for _, r := range w.attempts {
		if r.AttemptRef == ref {
			return r
		}
	}
	return nil
}

// advance updates the progress of an attempt to the current time.
func (w *worker) advance(r *attempt) {
	elapsed := w.sim.now - r.updatedAt
	r.updatedAt = w.sim.now
	gained := time.Duration(float64(elapsed) * float64(r.throttle) / 100 * r.task.speed())
	gained = min(gained, r.task.runTime-r.progress)
	r.progress += gained
	w.sim.addWork(r.task, gained)
}

// start executes a start command and checks the requirements that a start can violate.
func (w *worker) start(ref external.AttemptRef, t *simTask, checkpoint string) {
	if !w.up() {
		// The owner cannot know whether the start arrived. Because of R2 it waits until the
		// lease of the attempt would have expired.
		t.exempt = true
		return
	}
	w.sim.checkStart(w, t, ref)
	r := &attempt{AttemptRef: ref, task: t, startedAt: w.sim.now, updatedAt: w.sim.now, throttle: 100}
	r.savedAt = w.sim.now
	w.sim.checkResume(t, checkpoint)
	r.progress = w.sim.checkpointProgress[checkpoint]
	r.savedProgress, r.checkpoint = r.progress, checkpoint
	t.running = r
	w.attempts = append(w.attempts, r)
	w.sim.recordStart(t)
	switch {
	case w.faulty():
		w.sim.scheduleAfter(w.sim.randomBetween(time.Second, 3*time.Second), func() { w.failAttempt(r, "worker fault") })
	case t.remainingFaults > 0:
		t.remainingFaults--
		w.sim.scheduleAfter(t.runTime*3/10, func() { w.failAttempt(r, "task fault") })
	default:
		w.scheduleEnd(r)
	}
}

// scheduleEnd schedules the completion of an attempt at its current speed.
func (w *worker) scheduleEnd(r *attempt) {
	r.endVersion++
	version := r.endVersion
	speed := float64(r.throttle) / 100 * r.task.speed()
	left := time.Duration(float64(r.task.runTime-r.progress)/speed) + time.Millisecond
	w.sim.scheduleAfter(left, func() {
		if r.endVersion == version && slices.Contains(w.attempts, r) {
			w.endAttempt(r, model.OutcomeDone, "")
		}
	})
}

func (w *worker) failAttempt(r *attempt, text string) {
	if slices.Contains(w.attempts, r) {
		w.endAttempt(r, model.OutcomeFailed, text)
	}
}

// endAttempt ends an attempt, keeps its result until it is acknowledged and reports to the
// owner.
func (w *worker) endAttempt(r *attempt, outcome model.Outcome, text string) {
	w.advance(r)
	w.removeAttempt(r)
	e := external.EndedAttempt{AttemptRef: r.AttemptRef, Outcome: outcome, Error: text, Checkpoint: r.checkpoint}
	if outcome == model.OutcomeDone {
		e.Result = fmt.Sprintf("result/%s", r.Task)
	}
	if outcome != model.OutcomeDone {
		w.sim.loseWork(r.task, r.progress-r.savedProgress)
	}
	w.ended = append(w.ended, e)
	w.sim.scheduleAfter(reportDelay, func() { w.report() })
}

func (w *worker) removeAttempt(r *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(x *attempt) bool { return x == r })
	r.task.running = nil
}

// takeCheckpoint takes a checkpoint of an attempt.
func (w *worker) takeCheckpoint(r *attempt) {
	w.advance(r)
	r.savedProgress, r.savedAt = r.progress, w.sim.now
	r.checkpoint = fmt.Sprintf("ck/%s/%d/%d", r.Task, r.Attempt, w.sim.now.Milliseconds())
	w.sim.checkpointProgress[r.checkpoint] = r.savedProgress
}

// evict takes a checkpoint of an attempt and stops it after the EvictTime of its class.
func (w *worker) evict(ref external.AttemptRef) {
	r := w.findAttempt(ref)
	if r == nil || r.stopping || !w.up() {
		return
	}
	r.stopping = true
	w.sim.scheduleAfter(r.task.class.EvictTime.D(), func() {
		if !slices.Contains(w.attempts, r) {
			return
		}
		w.takeCheckpoint(r)
		w.endAttempt(r, model.OutcomeEvicted, "")
	})
}

func (w *worker) stop(ref external.AttemptRef) {
	if r := w.findAttempt(ref); r != nil && w.up() {
		w.endAttempt(r, model.OutcomeCancelled, "")
	}
}

func (w *worker) setThrottle(ref external.AttemptRef, percent int) {
	r := w.findAttempt(ref)
	if r == nil || !w.up() {
		return
	}
	w.advance(r)
	r.throttle = percent
	if !r.stopping && !w.faulty() {
		w.scheduleEnd(r)
	}
}

// crash ends all attempts without a report.
func (w *worker) crash(till time.Duration) {
	for _, r := range slices.Clone(w.attempts) {
		w.advance(r)
		w.sim.loseWork(r.task, r.progress-r.savedProgress)
		w.removeAttempt(r)
	}
	w.ended, w.samples = nil, nil
	w.downUntil = till
}

// slowdown returns the true slowdown of the services on the worker.
func (w *worker) slowdown(load float64) float64 {
	s := 1.0
	for _, r := range w.attempts {
		part := r.task.usedCores() / (float64(w.Capacity.MilliCPU) / 1000) * float64(r.throttle) / 100
		s += r.task.slope() * w.sim.noiseFactor(r.task.class.Name) * part * load
	}
	return s
}

// Intervals and delays of worker reports.
const (
	reportInterval = time.Second
	reportDelay    = 50 * time.Millisecond
	// sampleInterval is the interval between measurements of the services. A sample is
	// published sampleLag after it was measured.
	sampleInterval = 5 * time.Second
	sampleLag      = 4 * time.Second
	sampleNoise    = 0.02
)

// sample measures the services. The result is reported after sampleLag.
func (w *worker) sample() {
	if !w.up() {
		return
	}
	load := w.sim.loadFactor(w.DataCentre)
	slow := w.slowdown(load)
	measured := w.sim.now
	var out []external.ServiceSample
	for _, s := range w.sim.trace.Header.Services {
		noise := 1 + sampleNoise*(2*w.sim.rng.Float64()-1)
		p99 := s.P99 * baseLatencyFactor(load) * slow * noise
		out = append(out, external.ServiceSample{Service: s.Name, P99: time.Duration(p99 * float64(time.Millisecond))})
	}
	w.sim.scheduleAfter(sampleLag, func() { w.samples, w.sampledAt = out, measured })
}

// report sends the report of the worker to the owner of its cell.
func (w *worker) report() {
	if !w.up() {
		return
	}
	out := external.WorkerReport{Worker: w.ID, Ended: slices.Clone(w.ended)}
	out.Running = make([]external.RunningAttempt, 0, len(w.attempts))
	for _, s := range w.samples {
		s.Age = w.sim.now - w.sampledAt
		out.Services = append(out.Services, s)
	}
	for _, r := range w.attempts {
		if !r.stopping && w.sim.now-r.savedAt >= r.task.class.CheckpointInterval.D() {
			w.takeCheckpoint(r)
		}
		out.Running = append(out.Running, external.RunningAttempt{
			AttemptRef: r.AttemptRef, Class: r.task.class.Name, UsageAge: sampleLag,
			Checkpoint: r.checkpoint, Progress: float64(r.progress) / float64(r.task.runTime),
		})
	}
	w.reports++
	w.owner.handleReport(w, out)
}

// acknowledge removes an ended attempt whose outcome is durable.
func (w *worker) acknowledge(ref external.AttemptRef) {
	w.ended = slices.DeleteFunc(w.ended, func(e external.EndedAttempt) bool { return e.AttemptRef == ref })
}
