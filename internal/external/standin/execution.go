package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// execution is a live attempt. Work is measured in run time at full speed.
type execution struct {
	cell    model.CellID
	start   external.Start
	payload Payload
	// at is the time up to which done was computed.
	at       time.Time
	done     time.Duration
	percent  int
	leaseEnd time.Time
	failing  bool
	failBy   time.Time
	evict    bool
	// checkpoint is the last completed one, saved the work that it holds.
	checkpoint string
	saved      time.Duration
	// checkpointBy is when the running checkpoint completes; zero without one.
	checkpointBy time.Time
}

func (e *execution) total() time.Duration { return time.Duration(e.payload.RunMS) * time.Millisecond }

func (e *execution) progress() float64 { return min(1, float64(e.done)/float64(e.total())) }

// progressAt moves the work done forward to now.
func (e *execution) progressAt(now time.Time) {
	if now.After(e.at) {
		e.done += now.Sub(e.at) * time.Duration(e.percent) / 100
		e.at = now
	}
}

// when returns the time at which the given amount of work is done. It rounds up,
// because a time that falls just short would be computed again without progress.
func (e *execution) when(work time.Duration) time.Time {
	if work <= e.done {
		return e.at
	}
	return e.at.Add((work-e.done)*100/time.Duration(e.percent) + time.Microsecond)
}

func (e *execution) beginCheckpoint(now time.Time, takes time.Duration) {
	if e.checkpointBy.IsZero() {
		e.checkpointBy = now.Add(takes)
	}
}

func (e *execution) report(now time.Time, lag time.Duration) external.RunningAttempt {
	r := external.RunningAttempt{
		AttemptRef: e.start.AttemptRef, Class: e.start.Class,
		Checkpoint: e.checkpoint, Progress: e.progress(), UsageAge: lag,
	}
	r.Used = e.payload.Size
	r.Used.MilliCPU = r.Used.MilliCPU * int64(e.percent) / 100
	return r
}

// eventKind is what happens next to an execution.
type eventKind int

const (
	eventLeaseEnd eventKind = iota
	eventFail
	eventDone
	eventCheckpoint
	eventSelfCheckpoint
)

// event is the next change of an execution without a command.
type event struct {
	at   time.Time
	kind eventKind
	e    *execution
}

func (e *execution) next() event {
	best := event{at: e.leaseEnd, kind: eventLeaseEnd, e: e}
	consider := func(at time.Time, kind eventKind) {
		if at.Before(best.at) {
			best = event{at: at, kind: kind, e: e}
		}
	}
	if e.failing {
		consider(e.failBy, eventFail)
	}
	if e.payload.FailAtMS > 0 {
		consider(e.when(time.Duration(e.payload.FailAtMS)*time.Millisecond), eventFail)
	}
	consider(e.when(e.total()), eventDone)
	if !e.checkpointBy.IsZero() {
		consider(e.checkpointBy, eventCheckpoint)
	}
	if every := time.Duration(e.payload.CheckpointEveryMS) * time.Millisecond; every > 0 && e.checkpointBy.IsZero() {
		consider(e.when(e.saved+every), eventSelfCheckpoint)
	}
	return best
}

// nextEvent returns the earliest event; ok is false without live attempts.
func (w *WorkerCore) nextEvent() (first event, ok bool) {
	for _, ref := range sortedRefs(w.running) {
		ev := w.running[ref].next()
		if !ok || ev.at.Before(first.at) {
			first, ok = ev, true
		}
	}
	return first, ok
}

// NextEvent returns when the worker's state changes next without a command.
func (w *WorkerCore) NextEvent() (time.Time, bool) {
	if w.paused || w.dead {
		return time.Time{}, false
	}
	ev, ok := w.nextEvent()
	return ev.at, ok
}

// Advance processes everything that happens up to now, in order.
func (w *WorkerCore) Advance(now time.Time) {
	if w.paused || w.dead {
		return
	}
	for {
		ev, ok := w.nextEvent()
		if !ok || ev.at.After(now) {
			break
		}
		w.samples.advance(ev.at, w)
		ev.e.progressAt(ev.at)
		w.apply(ev)
	}
	w.samples.advance(now, w)
	for _, e := range w.running {
		e.progressAt(now)
	}
}

func (w *WorkerCore) apply(ev event) {
	switch ev.kind {
	case eventLeaseEnd:
		w.end(ev.e, ev.at, model.OutcomeLost, "lease ran out")
	case eventFail:
		w.end(ev.e, ev.at, model.OutcomeFailed, "task failed")
	case eventDone:
		w.end(ev.e, ev.at, model.OutcomeDone, "")
	case eventSelfCheckpoint:
		ev.e.beginCheckpoint(ev.at, w.cfg.CheckpointTime)
	case eventCheckpoint:
		w.completeCheckpoint(ev.e)
		if ev.e.evict {
			w.end(ev.e, ev.at, model.OutcomeEvicted, "")
		}
	}
}

// Pause stops the worker and its tasks; leases run on.
func (w *WorkerCore) Pause(now time.Time) {
	w.Advance(now)
	w.paused = true
}

// Resume continues after a pause. Attempts whose lease ran out meanwhile end
// before they do any further work.
func (w *WorkerCore) Resume(now time.Time) {
	if !w.paused {
		return
	}
	w.paused = false
	for _, ref := range sortedRefs(w.running) {
		e := w.running[ref]
		if !e.leaseEnd.After(now) {
			w.end(e, e.leaseEnd, model.OutcomeLost, "lease ran out during a pause")
			continue
		}
		e.failBy = e.failBy.Add(now.Sub(e.at))
		if !e.checkpointBy.IsZero() {
			e.checkpointBy = e.checkpointBy.Add(now.Sub(e.at))
		}
		e.at = now
	}
	w.samples.skip(now)
}

// Kill ends the worker with everything on it; no report survives.
func (w *WorkerCore) Kill(now time.Time) {
	w.Advance(now)
	for _, ref := range sortedRefs(w.running) {
		w.end(w.running[ref], now, model.OutcomeLost, "worker died")
	}
	clear(w.ended)
	w.dead = true
}

// checkpointPrefix starts the object name of each checkpoint.
const checkpointPrefix = "checkpoints/"

// savedProgress is the content of a checkpoint object.
type savedProgress struct {
	Progress float64 `json:"progress"`
}

// completeCheckpoint saves the progress. The name carries it in parts per
// million, so that a worker without an object store can resume as well.
func (w *WorkerCore) completeCheckpoint(e *execution) {
	p := e.progress()
	e.checkpoint = fmt.Sprintf("%s%s/%d-%d", checkpointPrefix, e.start.Task, e.start.Attempt, int64(p*1e6))
	e.saved, e.checkpointBy = e.done, time.Time{}
	if w.cfg.Objects == nil {
		return
	}
	data, err := json.Marshal(savedProgress{Progress: p})
	if err == nil {
		_ = w.cfg.Objects.Put(context.Background(), e.checkpoint, data) // the in-memory store does not fail
	}
}

// loadProgress returns the progress in a checkpoint, or 0 without a usable one.
func (w *WorkerCore) loadProgress(name string) float64 {
	if name == "" {
		return 0
	}
	if w.cfg.Objects != nil {
		var saved savedProgress
		data, err := w.cfg.Objects.Get(context.Background(), name)
		if err == nil && json.Unmarshal(data, &saved) == nil {
			return saved.Progress
		}
	}
	ppm, err := strconv.ParseInt(name[strings.LastIndexByte(name, '-')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return min(1, max(0, float64(ppm)/1e6))
}

// Service sampling.
const (
	sampleInterval = 500 * time.Millisecond
	// maxSamples bounds the samples that wait for their lag.
	maxSamples = 64
	// maxReportedSamples bounds the samples in one report.
	maxReportedSamples = 8
	// sampleNoise is the largest relative error of a sample.
	sampleNoise = 0.05
)

// takenSample is a service sample that has not been reported.
type takenSample struct {
	at      time.Time
	service model.ServiceName
	p99     time.Duration
}

// sampler measures the services at regular times.
type sampler struct {
	next    time.Time
	waiting []takenSample
}

// advance takes the samples due before now under the worker's present state.
func (s *sampler) advance(now time.Time, w *WorkerCore) {
	if len(w.cfg.Services) == 0 {
		return
	}
	if now.Sub(s.next) > maxSamples*sampleInterval {
		s.skip(now.Add(-maxSamples * sampleInterval))
	}
	for ; !s.next.After(now); s.next = s.next.Add(sampleInterval) {
		for _, name := range slices.Sorted(maps.Keys(w.cfg.Services)) {
			noise := 1 + sampleNoise*(2*w.rng.Float64()-1)
			p99 := time.Duration(float64(w.cfg.Services[name]) * w.Slowdown(name) * noise)
			s.waiting = append(s.waiting, takenSample{at: s.next, service: name, p99: p99})
		}
	}
	if extra := len(s.waiting) - maxSamples; extra > 0 {
		s.waiting = slices.Delete(s.waiting, 0, extra)
	}
}

func (s *sampler) skip(to time.Time) {
	if to.After(s.next) {
		s.next = to
	}
}

// matured removes and returns the latest samples that are older than the lag.
func (s *sampler) matured(now time.Time, lag time.Duration) []external.ServiceSample {
	n := 0
	for n < len(s.waiting) && now.Sub(s.waiting[n].at) >= lag {
		n++
	}
	var out []external.ServiceSample
	for _, t := range s.waiting[max(0, n-maxReportedSamples):n] {
		out = append(out, external.ServiceSample{Service: t.service, P99: t.p99, Age: now.Sub(t.at)})
	}
	s.waiting = slices.Delete(s.waiting, 0, n)
	return out
}
