package cell

import "github.com/vanillapier/vanillapier/internal/model"

// retainEnded adds an ended job to the list and prunes the oldest ended jobs beyond the
// limit. The result depends on the records only, so every replay prunes the same jobs.
func (s *State) retainEnded(j *job) {
	if !j.listed {
		j.listed = true
		s.ended = append(s.ended, j.id)
	}
	for len(s.ended) > endedJobsRetained {
		s.prune(s.ended[0])
		s.ended = s.ended[1:]
	}
}

// prune removes an ended job and keeps its id and the highest hop count of its tasks. A job
// that has unfinished tasks again is only removed from the list.
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
	s.notePruned(id, hops)
}

func (s *State) notePruned(id model.JobID, hops uint32) {
	if _, known := s.prunedHops[id]; !known {
		s.prunedJobs = append(s.prunedJobs, id)
	}
	s.prunedHops[id] = max(hops, s.prunedHops[id])
	for len(s.prunedJobs) > prunedIDsRetained {
		delete(s.prunedHops, s.prunedJobs[0])
		s.prunedJobs = s.prunedJobs[1:]
	}
}
