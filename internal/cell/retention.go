package cell

import "github.com/vanillapier/vanillapier/internal/model"

// retain lists a job that ended, and prunes the oldest ended jobs beyond the
// bounds. Both steps depend on the records only, so every replay prunes alike.
func (s *State) retain(j *job) {
	if !j.listed {
		j.listed = true
		s.ended = append(s.ended, j.id)
	}
	for len(s.ended) > endedJobsRetained {
		s.prune(s.ended[0])
		s.ended = s.ended[1:]
	}
}

// prune removes an ended job and keeps its id and highest hop.
func (s *State) prune(id model.JobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.listed = false
	if j.unfinished > 0 {
		return
	}
	var hops uint32
	for _, t := range j.tasks {
		hops = max(hops, t.Hops)
		delete(s.tasks, t.Spec.ID)
	}
	delete(s.jobs, id)
	s.forget(id, hops)
}

func (s *State) forget(id model.JobID, hops uint32) {
	if _, known := s.goneHops[id]; !known {
		s.gone = append(s.gone, id)
	}
	s.goneHops[id] = max(hops, s.goneHops[id])
	for len(s.gone) > endedIDsRetained {
		delete(s.goneHops, s.gone[0])
		s.gone = s.gone[1:]
	}
}
