package cell

import (
	"cmp"
	"slices"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Bounds of what is kept about ended jobs. The claim rows of callers' orders
// outlive both, so a late repetition of an order is answered from its claim.
const (
	// endedJobsRetained is the number of ended jobs that stay queryable.
	endedJobsRetained = 4096
	// endedIDsRetained is the number of older job ids that are still recognised,
	// so that a repeated submission or transfer does not run the job again.
	endedIDsRetained = 65536
)

// Observer is told of each change of a task, after it was applied.
type Observer interface {
	// TaskChanged reports that t left state from; from is 0 for a new task.
	TaskChanged(t *Task, from TaskState)
	// Restored reports that the whole state was replaced by a snapshot.
	Restored()
}

// State is the state of one cell. It is not safe for concurrent use.
type State struct {
	id       model.CellID
	tasks    map[model.TaskID]*Task
	jobs     map[model.JobID]*job
	queued   map[model.TaskID]*Task
	moving   map[model.TaskID]*Task
	workers  map[model.WorkerID]*workerState
	ended    []model.JobID
	gone     []model.JobID
	goneHops map[model.JobID]uint32
	names    map[string]string
	aux      []byte
	observer Observer
}

type workerState struct {
	known     bool
	capacity  model.Resources
	committed model.Resources
	live      map[model.TaskID]*Task
}

// NewState returns an empty state for the cell.
func NewState(id model.CellID) *State {
	s := &State{id: id, workers: map[model.WorkerID]*workerState{}}
	s.clear()
	return s
}

func (s *State) clear() {
	s.tasks = map[model.TaskID]*Task{}
	s.jobs = map[model.JobID]*job{}
	s.queued = map[model.TaskID]*Task{}
	s.moving = map[model.TaskID]*Task{}
	s.ended, s.gone, s.aux = nil, nil, nil
	s.goneHops = map[model.JobID]uint32{}
	s.names = map[string]string{}
	for _, w := range s.workers {
		w.committed = model.Resources{}
		w.live = map[model.TaskID]*Task{}
	}
}

// ID returns the cell's name.
func (s *State) ID() model.CellID { return s.id }

// SetObserver sets the observer of later changes; nil removes it.
func (s *State) SetObserver(o Observer) { s.observer = o }

// SetAux sets data that snapshots carry for the owner, such as estimates. It is
// not part of the journaled state and may be lost.
func (s *State) SetAux(data []byte) { s.aux = data }

// Aux returns the data last set or restored.
func (s *State) Aux() []byte { return s.aux }

// SetWorker states what a worker has. Apply refuses a placement beyond it. A
// worker without a stated capacity is not checked: during recovery the journal
// is applied before the host list is known, and its records were checked when
// they were planned.
func (s *State) SetWorker(id model.WorkerID, capacity model.Resources) {
	w := s.worker(id)
	w.known, w.capacity = true, capacity
}

// RemoveWorker withdraws the stated capacity of a worker that left. Its live
// attempts stay committed until they end.
func (s *State) RemoveWorker(id model.WorkerID) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if len(w.live) == 0 {
		delete(s.workers, id)
		return
	}
	w.known, w.capacity = true, model.Resources{}
}

func (s *State) worker(id model.WorkerID) *workerState {
	w := s.workers[id]
	if w == nil {
		w = &workerState{live: map[model.TaskID]*Task{}}
		s.workers[id] = w
	}
	return w
}

// Task returns a task by id.
func (s *State) Task(id model.TaskID) (*Task, bool) {
	t, ok := s.tasks[id]
	return t, ok
}

// Job returns the status of a job that is running or was retained after its end.
func (s *State) Job(id model.JobID) (JobStatus, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return JobStatus{}, false
	}
	return j.status(), true
}

// JobSummary returns what Job returns, without the tasks.
func (s *State) JobSummary(id model.JobID) (JobStatus, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return JobStatus{}, false
	}
	return j.summary(), true
}

// JobTasks returns the tasks of a job in the order of submission.
func (s *State) JobTasks(id model.JobID) []*Task {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	return j.tasks
}

// JobCancelled reports whether the job was cancelled.
func (s *State) JobCancelled(id model.JobID) bool {
	j := s.jobs[id]
	return j != nil && j.cancelled
}

// Queued returns the tasks that wait for a placement, oldest first.
func (s *State) Queued() []*Task { return sortedTasks(s.queued) }

// Live returns the tasks that hold a worker, oldest first.
func (s *State) Live() []*Task {
	var out []*Task
	for _, w := range s.workers {
		for _, t := range w.live {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, byAge)
	return out
}

// LiveOn returns the tasks that hold the worker, oldest first.
func (s *State) LiveOn(id model.WorkerID) []*Task {
	w := s.workers[id]
	if w == nil {
		return nil
	}
	return sortedTasks(w.live)
}

// Committed returns the resources that live attempts hold on the worker.
func (s *State) Committed(id model.WorkerID) model.Resources {
	w := s.workers[id]
	if w == nil {
		return model.Resources{}
	}
	return w.committed
}

// Transfers returns the transfers that the destination has not confirmed.
func (s *State) Transfers() []Transfer {
	var out []Transfer
	for _, t := range sortedTasks(s.moving) {
		out = append(out, Transfer{To: t.To, In: s.transferIn(t)})
	}
	return out
}

func (s *State) transferIn(t *Task) TransferIn {
	return TransferIn{
		Spec: t.Spec, From: s.id, Attempts: t.Attempt, Failures: t.Failures,
		Checkpoint: t.Checkpoint, At: t.SubmittedAt, Hop: t.Hops, Group: t.Group,
		Cancelled: s.jobs[t.Spec.Job].cancelled,
	}
}

// Counts returns the number of queued, live and all known tasks.
func (s *State) Counts() (queued, live, known int) {
	for _, w := range s.workers {
		live += len(w.live)
	}
	return len(s.queued), live, len(s.tasks)
}

func sortedTasks(m map[model.TaskID]*Task) []*Task {
	out := make([]*Task, 0, len(m))
	for _, t := range m {
		out = append(out, t)
	}
	slices.SortFunc(out, byAge)
	return out
}

func byAge(a, b *Task) int {
	return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
}

// intern returns one shared copy of a name, because thousands of tasks repeat
// the same few team and class names.
func (s *State) intern(name string) string {
	if v, ok := s.names[name]; ok {
		return v
	}
	s.names[name] = name
	return name
}
