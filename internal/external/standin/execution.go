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

// execution is a live attempt. Amounts of work are durations at full speed.
type execution struct {
	cell    model.CellID
	start   external.Start
	payload Payload
	// updatedAt is the time at which workDone was computed.
	updatedAt time.Time
	workDone  time.Duration
	percent   int
	leaseEnd  time.Time
	failing   bool
	failAt    time.Time
	evict     bool
	// checkpoint is the object name of the last completed checkpoint, checkpointedWork the
	// work that it contains.
	checkpoint       string
	checkpointedWork time.Duration
	// checkpointDue is the time at which the checkpoint in progress completes; zero without
	// one.
	checkpointDue time.Time
}

func (e *execution) total() time.Duration { return time.Duration(e.payload.RunMS) * time.Millisecond }

func (e *execution) progress() float64 { return min(1, float64(e.workDone)/float64(e.total())) }

// advanceTo updates workDone to now.
func (e *execution) advanceTo(now time.Time) {
	if now.After(e.updatedAt) {
		e.workDone += now.Sub(e.updatedAt) * time.Duration(e.percent) / 100
		e.updatedAt = now
	}
}

// timeOfWork returns the time at which the given amount of work is done. It rounds up:
// with a time that is slightly too early, Advance would compute the same event again and
// make no progress.
func (e *execution) timeOfWork(work time.Duration) time.Time {
	if work <= e.workDone {
		return e.updatedAt
	}
	return e.updatedAt.Add((work-e.workDone)*100/time.Duration(e.percent) + time.Microsecond)
}

func (e *execution) beginCheckpoint(now time.Time, takes time.Duration) {
	if e.checkpointDue.IsZero() {
		e.checkpointDue = now.Add(takes)
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

// eventKind is the kind of an event.
type eventKind int

const (
	eventLeaseEnd eventKind = iota
	eventFail
	eventDone
	eventCheckpoint
	eventSelfCheckpoint
)

// event is a change of an execution that is not caused by a command.
type event struct {
	at   time.Time
	kind eventKind
	e    *execution
}

func (e *execution) nextEvent() event {
	best := event{at: e.leaseEnd, kind: eventLeaseEnd, e: e}
	consider := func(at time.Time, kind eventKind) {
		if at.Before(best.at) {
			best = event{at: at, kind: kind, e: e}
		}
	}
	if e.failing {
		consider(e.failAt, eventFail)
	}
	if e.payload.FailAtMS > 0 {
		consider(e.timeOfWork(time.Duration(e.payload.FailAtMS)*time.Millisecond), eventFail)
	}
	consider(e.timeOfWork(e.total()), eventDone)
	if !e.checkpointDue.IsZero() {
		consider(e.checkpointDue, eventCheckpoint)
	}
	if every := time.Duration(e.payload.CheckpointEveryMS) * time.Millisecond; every > 0 && e.checkpointDue.IsZero() {
		consider(e.timeOfWork(e.checkpointedWork+every), eventSelfCheckpoint)
	}
	return best
}

// nextEvent returns the earliest event of all executions; ok is false without any.
func (w *WorkerCore) nextEvent() (first event, ok bool) {
	for _, ref := range sortedRefs(w.running) {
		ev := w.running[ref].nextEvent()
		if !ok || ev.at.Before(first.at) {
			first, ok = ev, true
		}
	}
	return first, ok
}

// NextEvent returns the time of the next change of the worker's state without a command.
func (w *WorkerCore) NextEvent() (time.Time, bool) {
	if w.paused || w.dead {
		return time.Time{}, false
	}
	ev, ok := w.nextEvent()
	return ev.at, ok
}

// Advance processes all events up to now, in order.
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
		ev.e.advanceTo(ev.at)
		w.apply(ev)
	}
	w.samples.advance(now, w)
	for _, e := range w.running {
		e.advanceTo(now)
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

// Pause suspends the worker and its tasks. Leases continue to expire.
func (w *WorkerCore) Pause(now time.Time) {
	w.Advance(now)
	w.paused = true
}

// Resume ends a pause. Attempts whose lease has expired meanwhile end without further
// work.
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
		e.failAt = e.failAt.Add(now.Sub(e.updatedAt))
		if !e.checkpointDue.IsZero() {
			e.checkpointDue = e.checkpointDue.Add(now.Sub(e.updatedAt))
		}
		e.updatedAt = now
	}
	w.samples.skipTo(now)
}

// Kill ends the worker and all its attempts and deletes its reports.
func (w *WorkerCore) Kill(now time.Time) {
	w.Advance(now)
	for _, ref := range sortedRefs(w.running) {
		w.end(w.running[ref], now, model.OutcomeLost, "worker died")
	}
	clear(w.ended)
	w.dead = true
}

// checkpointPrefix is the prefix of the object names of checkpoints.
const checkpointPrefix = "checkpoints/"

// checkpointContent is the content of a checkpoint object.
type checkpointContent struct {
	Progress float64 `json:"progress"`
}

// completeCheckpoint saves the progress. The object name also contains it, in parts per
// million, so that a worker without an object store can resume.
func (w *WorkerCore) completeCheckpoint(e *execution) {
	p := e.progress()
	e.checkpoint = fmt.Sprintf("%s%s/%d-%d", checkpointPrefix, e.start.Task, e.start.Attempt, int64(p*1e6))
	e.checkpointedWork, e.checkpointDue = e.workDone, time.Time{}
	if w.cfg.Objects == nil {
		return
	}
	data, err := json.Marshal(checkpointContent{Progress: p})
	if err == nil {
		_ = w.cfg.Objects.Put(context.Background(), e.checkpoint, data) // the in-memory store does not fail
	}
}

// loadProgress returns the progress of a checkpoint, or 0 without a valid one.
func (w *WorkerCore) loadProgress(name string) float64 {
	if name == "" {
		return 0
	}
	if w.cfg.Objects != nil {
		var saved checkpointContent
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
	// maxSamples bounds the samples that are not yet old enough to be reported.
	maxSamples = 64
	// maxReportedSamples bounds the samples in one report.
	maxReportedSamples = 8
	// sampleNoise is the largest relative error of a sample.
	sampleNoise = 0.05
)

// pendingSample is a service sample that has not been reported.
type pendingSample struct {
	at      time.Time
	service model.ServiceName
	p99     time.Duration
}

// sampler samples the services at regular intervals.
type sampler struct {
	next    time.Time
	pending []pendingSample
}

// advance takes the samples that are due by now, with the worker's current state.
func (s *sampler) advance(now time.Time, w *WorkerCore) {
	if len(w.cfg.Services) == 0 {
		return
	}
	if now.Sub(s.next) > maxSamples*sampleInterval {
		s.skipTo(now.Add(-maxSamples * sampleInterval))
	}
	for ; !s.next.After(now); s.next = s.next.Add(sampleInterval) {
		for _, name := range slices.Sorted(maps.Keys(w.cfg.Services)) {
			noise := 1 + sampleNoise*(2*w.rng.Float64()-1)
			p99 := time.Duration(float64(w.cfg.Services[name]) * w.Slowdown(name) * noise)
			s.pending = append(s.pending, pendingSample{at: s.next, service: name, p99: p99})
		}
	}
	if extra := len(s.pending) - maxSamples; extra > 0 {
		s.pending = slices.Delete(s.pending, 0, extra)
	}
}

func (s *sampler) skipTo(to time.Time) {
	if to.After(s.next) {
		s.next = to
	}
}

// takeOlderThan removes the samples that are at least as old as lag and returns the latest
// of them.
func (s *sampler) takeOlderThan(now time.Time, lag time.Duration) []external.ServiceSample {
	n := 0
	for n < len(s.pending) && now.Sub(s.pending[n].at) >= lag {
		n++
	}
	var out []external.ServiceSample
	for _, t := range s.pending[max(0, n-maxReportedSamples):n] {
		out = append(out, external.ServiceSample{Service: t.service, P99: t.p99, Age: now.Sub(t.at)})
	}
	s.pending = slices.Delete(s.pending, 0, n)
	return out
}
