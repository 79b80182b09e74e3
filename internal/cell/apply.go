package cell

import (
	"github.com/vanillapier/vanillapier/internal/model"
)

// Apply applies one record to the state. It rejects a record that contradicts the state,
// and then changes nothing. Errors have kind not-found for an unknown task or job, conflict
// for a wrong state or attempt, exhausted for a placement beyond a worker's capacity, and
// invalid for a malformed record.
func (s *State) Apply(r Record) error {
	switch {
	case r.Submitted != nil:
		return s.applySubmitted(r.Submitted)
	case r.Placed != nil:
		return s.applyPlaced(r.Placed)
	case r.Ended != nil:
		return s.applyEnded(r.Ended)
	case r.Cancelled != nil:
		return s.applyCancelled(r.Cancelled)
	case r.Evicting != nil:
		return s.applyEvicting(r.Evicting)
	case r.Checkpoint != nil:
		return s.applyCheckpoint(r.Checkpoint)
	case r.Unrunnable != nil:
		return s.applyUnrunnable(r.Unrunnable)
	case r.TransferOut != nil:
		return s.applyTransferOut(r.TransferOut)
	case r.TransferIn != nil:
		return s.applyTransferIn(r.TransferIn)
	case r.TransferEnd != nil:
		return s.applyTransferEnd(r.TransferEnd)
	}
	return model.Errorf(model.KindInvalid, "set exactly one field", "cell record is empty")
}

func (s *State) applySubmitted(r *Submitted) error {
	if _, known := s.jobs[r.Job.ID]; known {
		return nil
	}
	if _, gone := s.prunedHops[r.Job.ID]; gone {
		return nil
	}
	if err := s.checkSubmission(r.Job); err != nil {
		return err
	}
	for _, spec := range r.Job.Tasks {
		s.setState(s.newTask(spec, r.At), TaskQueued)
	}
	return nil
}

func (s *State) checkSubmission(j model.JobSpec) error {
	if j.ID == "" || len(j.Tasks) == 0 {
		return model.Errorf(model.KindInvalid, "submit a job with an id and at least one task", "job %q has %d tasks", j.ID, len(j.Tasks))
	}
	seen := make(map[model.TaskID]bool, len(j.Tasks))
	for _, t := range j.Tasks {
		if t.ID == "" || t.Job != j.ID || t.Resources.Negative() {
			return model.Errorf(model.KindInvalid, "give each task an id, its job's id and non-negative resources", "task %q of job %q", t.ID, j.ID)
		}
		if seen[t.ID] || s.tasks[t.ID] != nil {
			return model.Errorf(model.KindConflict, "use task ids that are unique in the system", "task %q exists", t.ID)
		}
		seen[t.ID] = true
	}
	return nil
}

// newTask adds an unknown task; the caller sets its first state.
func (s *State) newTask(spec model.TaskSpec, at int64) *Task {
	j := s.jobs[spec.Job]
	if j == nil {
		j = &job{id: spec.Job}
		s.jobs[spec.Job] = j
	}
	spec.Job = j.id
	spec.Team = model.TeamName(s.intern(string(spec.Team)))
	spec.Class = model.ClassName(s.intern(string(spec.Class)))
	t := &Task{Spec: spec, SubmittedAt: at}
	s.tasks[spec.ID] = t
	j.tasks = append(j.tasks, t)
	j.unfinished++
	return t
}

// setState sets the state of t and updates the indexes, the job's count of unfinished tasks
// and the list of ended jobs.
func (s *State) setState(t *Task, to TaskState) {
	from := t.State
	t.State = to
	s.setMember(s.queued, t, to == TaskQueued)
	s.setMember(s.transferring, t, to == TaskTransferring)
	j := s.jobs[t.Spec.Job]
	if to.Ended() && !from.Ended() {
		j.unfinished--
	}
	if from.Ended() && !to.Ended() {
		j.unfinished++
	}
	if s.observer != nil {
		s.observer.TaskChanged(t, from)
	}
	if j.unfinished == 0 {
		s.retainEnded(j)
	}
}

func (s *State) setMember(m map[model.TaskID]*Task, t *Task, member bool) {
	if member {
		m[t.Spec.ID] = t
		return
	}
	delete(m, t.Spec.ID)
}

func (s *State) find(id model.TaskID) (*Task, error) {
	t := s.tasks[id]
	if t == nil {
		return nil, model.Errorf(model.KindNotFound, "check the task id and the cell", "cell %s has no task %q", s.id, id)
	}
	return t, nil
}

// findLive returns the task if attempt is its live attempt.
func (s *State) findLive(id model.TaskID, attempt model.Attempt) (*Task, error) {
	t, err := s.find(id)
	if err != nil {
		return nil, err
	}
	if !t.State.HoldsWorker() || t.Attempt != attempt {
		return nil, model.Errorf(model.KindConflict, "ignore reports of former attempts",
			"task %s is %s at attempt %d, not live at attempt %d", id, t.State, t.Attempt, attempt)
	}
	return t, nil
}

func (s *State) applyPlaced(r *Placed) error {
	t, err := s.find(r.Task)
	if err != nil {
		return err
	}
	if t.State != TaskQueued {
		return model.Errorf(model.KindConflict, "place queued tasks only", "task %s is %s", r.Task, t.State)
	}
	if r.Attempt != t.Attempt+1 {
		return model.Errorf(model.KindConflict, "number attempts without gaps", "task %s expects attempt %d, not %d", r.Task, t.Attempt+1, r.Attempt)
	}
	if r.Worker == "" {
		return model.Errorf(model.KindInvalid, "name a worker", "placement of task %s has no worker", r.Task)
	}
	w := s.worker(r.Worker)
	if w.capacityKnown && !t.Spec.Resources.Fits(w.capacity.Sub(w.committed)) {
		return model.Errorf(model.KindExhausted, "plan again from the current state",
			"worker %s has %s free, task %s needs %s", r.Worker, w.capacity.Sub(w.committed), r.Task, t.Spec.Resources)
	}
	w.committed = w.committed.Add(t.Spec.Resources)
	w.live[r.Task] = t
	t.Attempt, t.Worker, t.Reason, t.Group = r.Attempt, r.Worker, "", 0
	s.setState(t, TaskLive)
	return nil
}

func (s *State) applyEnded(r *Ended) error {
	t, err := s.findLive(r.Task, r.Attempt)
	if err != nil {
		return err
	}
	next, err := s.stateAfterEnd(t, r)
	if err != nil {
		return err
	}
	s.releaseWorker(t)
	if r.Checkpoint != "" {
		t.Checkpoint = r.Checkpoint
	}
	if r.Outcome == model.OutcomeFailed && r.Charged {
		t.Failures++
	}
	t.Result, t.Error = r.Result, r.Error
	s.setState(t, next)
	return nil
}

// stateAfterEnd returns the state that follows the end of an attempt.
func (s *State) stateAfterEnd(t *Task, r *Ended) (TaskState, error) {
	switch r.Outcome {
	case model.OutcomeDone:
		return TaskDone, nil
	case model.OutcomeCancelled, model.OutcomeFailed, model.OutcomeEvicted, model.OutcomeLost, model.OutcomeNotRun:
	default:
		return 0, model.Errorf(model.KindInvalid, "use an outcome of an ended attempt", "task %s ended with %q", t.Spec.ID, r.Outcome)
	}
	if s.jobs[t.Spec.Job].cancelled || r.Outcome == model.OutcomeCancelled {
		return TaskCancelled, nil
	}
	if r.Outcome == model.OutcomeFailed && r.Charged && t.Failures+1 > t.Spec.MaxRetries {
		return TaskFailed, nil
	}
	return TaskQueued, nil
}

func (s *State) releaseWorker(t *Task) {
	w := s.workers[t.Worker]
	w.committed = w.committed.Sub(t.Spec.Resources)
	delete(w.live, t.Spec.ID)
}

func (s *State) applyCancelled(r *Cancelled) error {
	j := s.jobs[r.Job]
	if j == nil {
		return model.Errorf(model.KindNotFound, "check the job id and the cell", "cell %s has no job %q", s.id, r.Job)
	}
	j.cancelled = true
	for _, t := range j.tasks {
		switch t.State {
		case TaskQueued:
			s.setState(t, TaskCancelled)
		case TaskLive, TaskEvicting:
			s.setState(t, TaskCancelling)
		}
	}
	return nil
}

func (s *State) applyEvicting(r *Evicting) error {
	t, err := s.findLive(r.Task, r.Attempt)
	if err != nil {
		return err
	}
	if t.State != TaskLive {
		return model.Errorf(model.KindConflict, "evict live attempts only", "task %s is %s", r.Task, t.State)
	}
	t.Reason = r.Reason
	s.setState(t, TaskEvicting)
	return nil
}

func (s *State) applyCheckpoint(r *Checkpoint) error {
	t, err := s.findLive(r.Task, r.Attempt)
	if err != nil {
		return err
	}
	t.Checkpoint = r.Object
	return nil
}

func (s *State) applyUnrunnable(r *Unrunnable) error {
	t, err := s.find(r.Task)
	if err != nil {
		return err
	}
	if t.State != TaskQueued {
		return model.Errorf(model.KindConflict, "end queued tasks only", "task %s is %s", r.Task, t.State)
	}
	t.Reason = r.Reason
	s.setState(t, TaskUnrunnable)
	return nil
}
