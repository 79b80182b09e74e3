package cell

import "github.com/vanillapier/vanillapier/internal/model"

func (s *State) applyTransferOut(r *TransferOut) error {
	t, err := s.find(r.Task)
	if err != nil {
		return err
	}
	if t.State != TaskQueued {
		return model.Errorf(model.KindConflict, "transfer queued tasks only", "task %s is %s", r.Task, t.State)
	}
	if r.To == "" || r.To == s.id {
		return model.Errorf(model.KindInvalid, "name another cell", "task %s cannot be transferred from %s to %q", r.Task, s.id, r.To)
	}
	t.To, t.Group = r.To, r.Group
	t.Hops++
	s.setState(t, TaskTransferring)
	return nil
}

func (s *State) applyTransferIn(r *TransferIn) error {
	if r.Spec.ID == "" || r.Spec.Job == "" || r.Spec.Resources.Negative() || r.Hop == 0 {
		return model.Errorf(model.KindInvalid, "copy the record from the source cell's transfers", "transfer of task %q at hop %d", r.Spec.ID, r.Hop)
	}
	if r.Hop <= s.knownHops(r.Spec) {
		return nil
	}
	t := s.tasks[r.Spec.ID]
	if t != nil && t.State != TaskTransferred && t.State != TaskTransferring {
		return model.Errorf(model.KindConflict, "report this fault: a task must be in one cell only", "task %s is %s here", r.Spec.ID, t.State)
	}
	state := TaskQueued
	if r.Cancelled || s.JobCancelled(r.Spec.Job) {
		state = TaskCancelled
	}
	t = s.admitTransfer(t, r)
	s.setState(t, state)
	return nil
}

// knownHops returns the highest hop count of the task that is known in this cell.
func (s *State) knownHops(spec model.TaskSpec) uint32 {
	if t := s.tasks[spec.ID]; t != nil {
		return t.Hops
	}
	return s.prunedHops[spec.Job]
}

// admitTransfer adds the task of a transfer, or updates the copy that is left from an
// earlier stay in this cell. The caller sets its state.
func (s *State) admitTransfer(t *Task, r *TransferIn) *Task {
	if t == nil {
		t = s.newTask(r.Spec, r.At)
	}
	t.Attempt, t.Failures, t.Checkpoint = r.Attempts, r.Failures, r.Checkpoint
	t.Hops, t.Group, t.To = r.Hop, r.Group, ""
	t.Worker, t.Result, t.Error, t.Reason = "", "", "", ""
	return t
}

func (s *State) applyTransferEnd(r *TransferEnd) error {
	t, err := s.find(r.Task)
	if err != nil {
		return err
	}
	if t.State == TaskTransferred {
		return nil
	}
	if t.State != TaskTransferring {
		return model.Errorf(model.KindConflict, "ignore confirmations of former transfers", "task %s is %s", r.Task, t.State)
	}
	s.setState(t, TaskTransferred)
	return nil
}
