package scheduler

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// suspectFailures is the number of distinct tasks that must fail in a row on a worker
// before further failures are attributed to the worker.
const suspectFailures = 2

// health tracks the consecutive failures and the quarantine of a worker.
type health struct {
	// failedTasks holds the tasks that failed since the last success.
	failedTasks         map[model.TaskID]bool
	consecutiveFailures int
	quarantined         bool
	probe               model.TaskID
	probeSince          time.Time
	probeAt             time.Time
	probeDelay          time.Duration
}

// noteFailure counts a failed attempt and reports whether the failure is charged to the
// job. Failures on a quarantined or suspect worker are not, so that a faulty worker does
// not use up the retries of many jobs.
func (h *health) noteFailure(task model.TaskID, now time.Time, limit int, base, most time.Duration) bool {
	if h.failedTasks == nil {
		h.failedTasks = map[model.TaskID]bool{}
	}
	h.failedTasks[task] = true
	h.consecutiveFailures++
	charged := !h.quarantined && len(h.failedTasks) <= suspectFailures
	switch {
	case h.quarantined && h.probe == task:
		h.probe = ""
		h.probeDelay = min(2*h.probeDelay, most)
		h.probeAt = now.Add(h.probeDelay)
	case h.consecutiveFailures >= limit && len(h.failedTasks) >= suspectFailures:
		h.quarantined, h.probeDelay = true, base
		h.probeAt = now.Add(base)
	}
	return charged
}

// noteSuccess resets the failure count and ends a quarantine.
func (h *health) noteSuccess() { *h = health{} }

// clearProbe clears a probe that ended without a conclusive outcome, such as an eviction.
func (h *health) clearProbe(task model.TaskID) {
	if h.probe == task {
		h.probe = ""
	}
}

// retry describes a task's last failed attempt.
type retry struct {
	worker   model.WorkerID
	failures int
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
}

// avoidDuration is how long a task is not placed on the worker on which it failed, counted
// from the end of the retry delay. It is bounded because possibly no other worker fits the
// task.
const avoidDuration = 30 * time.Second

// backoff returns the delay before the next attempt after a number of consecutive failures.
func backoff(failures int, base, most time.Duration) time.Duration {
	d := base
	for i := 1; i < failures && d < most; i++ {
		d *= 2
	}
	return min(d, most)
}

// EndedRecords converts the ended attempts of a report into records and decides which
// failures are charged. It skips attempts that are not the live attempt of their task; the
// caller acknowledges those to the worker at once, and the others once the records are
// durable. Repeated reports give the same records until the records are applied.
func (s *Scheduler) EndedRecords(worker model.WorkerID, ended []external.EndedAttempt, now time.Time) []cell.Record {
	s.now = now
	var out []cell.Record
	for _, e := range ended {
		t, ok := s.st.Task(e.Task)
		if !ok || !t.State.HoldsWorker() || t.Attempt != e.Attempt || t.Worker != worker {
			continue
		}
		charged := s.noteEnd(t, e.Outcome)
		out = append(out, cell.Record{Ended: &cell.Ended{
			Task: e.Task, Attempt: e.Attempt, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
			Result: e.Result, Error: e.Error, Charged: charged,
		}})
	}
	return out
}

// noteEnd updates the health of the worker once for each ended attempt and reports whether
// a failure is charged.
func (s *Scheduler) noteEnd(t *cell.Task, outcome model.Outcome) bool {
	if charged, noted := s.chargedByAttempt[t.Ref()]; noted {
		return charged
	}
	charged := s.evaluateEnd(t, outcome)
	s.chargedByAttempt[t.Ref()] = charged
	return charged
}

func (s *Scheduler) evaluateEnd(t *cell.Task, outcome model.Outcome) bool {
	h := s.hosts[t.Worker]
	switch {
	case outcome == model.OutcomeDone && h != nil:
		h.health.noteSuccess()
	case outcome == model.OutcomeFailed:
		s.noteRetry(t)
		return h == nil || s.noteWorkerFailure(h, t)
	case h != nil:
		h.health.clearProbe(t.Spec.ID)
	}
	return false
}

// NoteUnreachable counts a start that could not be sent to a worker, or an attempt that
// was lost with it, as a failure of the worker that is charged to no job. Otherwise an
// unreachable worker would look empty and attract every placement. It must be called
// before EndedRecords for the attempt.
func (s *Scheduler) NoteUnreachable(worker model.WorkerID, task model.TaskID, now time.Time) {
	s.now = now
	if t, ok := s.st.Task(task); ok && s.hosts[worker] != nil {
		s.noteWorkerFailure(s.hosts[worker], t)
	}
}

func (s *Scheduler) noteWorkerFailure(h *host, t *cell.Task) bool {
	before := h.health.quarantined
	charged := h.health.noteFailure(t.Spec.ID, s.now, s.limits.quarantineFailures, s.cfg.ProbeBase, s.cfg.ProbeMax)
	if h.health.quarantined && !before {
		s.quarantined = append(s.quarantined, h)
		s.logDecision("quarantine", string(h.ID), 0, "", "consecutive-failures")
	}
	return charged
}

func (s *Scheduler) noteRetry(t *cell.Task) {
	n := s.retries[t.Spec.ID].failures + 1
	delay := backoff(n, s.cfg.RetryBase, s.cfg.RetryMax)
	s.retries[t.Spec.ID] = retry{worker: t.Worker, failures: n, notBefore: s.now.Add(delay)}
}

// checkProbes ends the quarantine of workers whose probe has run for ProbeRun.
func (s *Scheduler) checkProbes() {
	kept := s.quarantined[:0]
	for _, h := range s.quarantined {
		if h.health.probe != "" && s.now.Sub(h.health.probeSince) >= s.cfg.ProbeRun {
			h.health.noteSuccess()
		}
		if h.health.quarantined {
			kept = append(kept, h)
		}
	}
	s.quarantined = kept
}
