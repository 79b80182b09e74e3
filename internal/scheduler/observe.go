package scheduler

import (
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// maxSampleAge bounds the age of samples; older ones do not reflect the current mix and
// load.
const maxSampleAge = time.Minute

// Observe processes the service samples and the checkpoints of running attempts in a
// worker's report. The caller converts its ended attempts into records with EndedRecords.
func (s *Scheduler) Observe(report external.WorkerReport, now time.Time) {
	s.now = now
	h := s.hosts[report.Worker]
	if h == nil {
		return
	}
	for _, a := range report.Running {
		s.observeRun(h, a)
	}
	for _, sample := range report.Services {
		s.observeService(h, sample)
	}
}

func (s *Scheduler) observeRun(h *host, a external.RunningAttempt) {
	run := h.runs[a.Task]
	if run == nil || a.Checkpoint == "" || a.Checkpoint == run.checkpoint {
		return
	}
	run.checkpoint, run.checkpointAt = a.Checkpoint, s.now
}

func (s *Scheduler) observeService(h *host, in external.ServiceSample) {
	sample := serviceSample{in.Service, in.P99, s.now.Add(-in.Age)}
	if in.Age > maxSampleAge || !h.updateSample(sample) {
		return
	}
	if mix, known := h.mixBefore(sample.measured); known {
		s.interference.learn(sample, mix, s.now)
	}
	s.evaluateSample(h, sample)
}

// updateSample keeps the newest sample of each service and reports whether this one is
// newer than the stored one.
func (h *host) updateSample(sample serviceSample) bool {
	for i := range h.services {
		if h.services[i].service != sample.service {
			continue
		}
		if !sample.measured.After(h.services[i].measured) {
			return false
		}
		h.services[i] = sample
		return true
	}
	h.services = append(h.services, sample)
	return true
}

// Urgent reports whether records from outside the scheduler must not wait for the group
// commit: new urgent tasks, and the end of an attempt on a worker that is held for an
// urgent unit.
func (s *Scheduler) Urgent(records []cell.Record) bool {
	return slices.ContainsFunc(records, s.urgentRecord)
}

func (s *Scheduler) urgentRecord(r cell.Record) bool {
	switch {
	case r.Submitted != nil:
		return slices.ContainsFunc(r.Submitted.Job.Tasks, func(t model.TaskSpec) bool {
			return t.Urgency >= model.UrgencyUrgent
		})
	case r.TransferIn != nil:
		return r.TransferIn.Spec.Urgency >= model.UrgencyUrgent
	case r.Ended != nil:
		t, ok := s.st.Task(r.Ended.Task)
		return ok && s.heldForUrgent(s.hosts[t.Worker])
	}
	return false
}

func (s *Scheduler) heldForUrgent(h *host) bool {
	return h != nil && h.heldFor != nil && h.heldFor.urgency >= model.UrgencyUrgent && s.now.Before(h.heldUntil)
}
