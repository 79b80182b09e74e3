package scheduler

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// suspectFailures is the number of distinct tasks that must have failed in a
// row on a worker before further failures there are blamed on the worker.
const suspectFailures = 2

// health tracks whether a worker fails what it starts.
type health struct {
	// streak holds the tasks that failed since the last success.
	streak      map[model.TaskID]bool
	failures    int
	quarantined bool
	probe       model.TaskID
	probeSince  time.Time
	probeAt     time.Time
	probeDelay  time.Duration
}

// failed notes a failure of a task. It returns whether the failure is charged
// to the job: not on a quarantined or suspect worker, so that a bad worker does
// not use up the retries of many jobs.
func (h *health) failed(task model.TaskID, now time.Time, limit int, base, most time.Duration) bool {
	if h.streak == nil {
		h.streak = map[model.TaskID]bool{}
	}
	h.streak[task] = true
	h.failures++
	charged := !h.quarantined && len(h.streak) <= suspectFailures
	switch {
	case h.quarantined && h.probe == task:
		h.probe = ""
		h.probeDelay = min(2*h.probeDelay, most)
		h.probeAt = now.Add(h.probeDelay)
	case h.failures >= limit && len(h.streak) >= suspectFailures:
		h.quarantined, h.probeDelay = true, base
		h.probeAt = now.Add(base)
	}
	return charged
}

// succeeded notes a task that ended well and lifts a quarantine.
func (h *health) succeeded() { *h = health{} }

// released notes that a probe ended without telling anything, such as by an
// eviction.
func (h *health) released(task model.TaskID) {
	if h.probe == task {
		h.probe = ""
	}
}

// retry is what is remembered of a task's last failed attempt.
type retry struct {
	worker   model.WorkerID
	failures int
	// until is the end of the delay before the next attempt.
	until time.Time
}

// avoidFor is how long a task keeps away from the worker on which it failed. It
// is bounded because no other worker may be able to hold the task.
const avoidFor = 30 * time.Second

// backoff returns the delay before the next attempt after failures in a row.
func backoff(failures int, base, most time.Duration) time.Duration {
	d := base
	for i := 1; i < failures && d < most; i++ {
		d *= 2
	}
	return min(d, most)
}

// EndedRecords turns the ended attempts of a report into records, and decides
// which failures are charged. Attempts that are not the live attempt of their
// task are skipped; the caller acknowledges those to the worker at once, and
// the others once the records are durable. Repeated reports give the same
// records until the records are applied.
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

// noteEnd updates the health of the worker once for each ended attempt and
// returns whether a failure is charged.
func (s *Scheduler) noteEnd(t *cell.Task, outcome model.Outcome) bool {
	if charged, noted := s.endings[t.Ref()]; noted {
		return charged
	}
	charged := s.judge(t, outcome)
	s.endings[t.Ref()] = charged
	return charged
}

func (s *Scheduler) judge(t *cell.Task, outcome model.Outcome) bool {
	h := s.hosts[t.Worker]
	switch {
	case outcome == model.OutcomeDone && h != nil:
		h.health.succeeded()
	case outcome == model.OutcomeFailed:
		s.noteRetry(t)
		return h == nil || s.chargeFailure(h, t)
	case h != nil:
		h.health.released(t.Spec.ID)
	}
	return false
}

// NoteUnreachable counts a start that a worker could not be given, or an attempt
// that was lost with it, as a failure of the worker that is charged to no job. An
// unreachable worker looks empty and attracts every placement otherwise. It
// precedes EndedRecords for the attempt.
func (s *Scheduler) NoteUnreachable(worker model.WorkerID, task model.TaskID, now time.Time) {
	s.now = now
	if t, ok := s.st.Task(task); ok && s.hosts[worker] != nil {
		s.chargeFailure(s.hosts[worker], t)
	}
}

func (s *Scheduler) chargeFailure(h *host, t *cell.Task) bool {
	before := h.health.quarantined
	charged := h.health.failed(t.Spec.ID, s.now, s.limits.quarantineFailures, s.cfg.ProbeBase, s.cfg.ProbeMax)
	if h.health.quarantined && !before {
		s.quarantined = append(s.quarantined, h)
		s.decide("quarantine", string(h.ID), 0, "", "consecutive-failures")
	}
	return charged
}

func (s *Scheduler) noteRetry(t *cell.Task) {
	n := s.retries[t.Spec.ID].failures + 1
	delay := backoff(n, s.cfg.RetryBase, s.cfg.RetryMax)
	s.retries[t.Spec.ID] = retry{worker: t.Worker, failures: n, until: s.now.Add(delay)}
}

// checkProbes lifts the quarantine of workers whose probe has run long enough.
func (s *Scheduler) checkProbes() {
	kept := s.quarantined[:0]
	for _, h := range s.quarantined {
		if h.health.probe != "" && s.now.Sub(h.health.probeSince) >= s.cfg.ProbeRun {
			h.health.succeeded()
		}
		if h.health.quarantined {
			kept = append(kept, h)
		}
	}
	s.quarantined = kept
}
