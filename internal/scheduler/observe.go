package scheduler

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/platform"
)

// maxSampleAge bounds the age of samples that are used; older ones say little
// about the present mix and load.
const maxSampleAge = time.Minute

// Observe takes in a worker's report: samples of services, progress and
// checkpoints of attempts, and the attempts that ended. The caller turns ended
// attempts into records with EndedRecords.
func (s *Scheduler) Observe(report platform.WorkerReport, now time.Time) {
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

func (s *Scheduler) observeRun(h *host, a platform.RunningAttempt) {
	run := h.runs[a.Task]
	if run == nil || a.Checkpoint == "" || a.Checkpoint == run.checkpoint {
		return
	}
	run.checkpoint, run.checkpointAt = a.Checkpoint, s.now
}

func (s *Scheduler) observeService(h *host, in platform.ServiceSample) {
	sample := serviceSample{in.Service, in.P99, s.now.Add(-in.Age)}
	if in.Age > maxSampleAge || !h.remember(sample) {
		return
	}
	if mix, known := h.mixBefore(sample.measured); known {
		s.model.learn(sample, mix, s.now)
	}
	s.judgeSample(h, sample)
}

// remember keeps the newest sample of each service and returns whether this one
// is new.
func (h *host) remember(sample serviceSample) bool {
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
