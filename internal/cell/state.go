package cell

import (
	"cmp"
	"slices"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Bounds on the data kept about ended jobs. The claim rows of callers' orders outlive both,
// so a late repeat of an order is answered from its claim row.
const (
	// endedJobsRetained is the number of ended jobs that stay queryable.
	endedJobsRetained = 4096
	// prunedIDsRetained is the number of pruned job ids that are still recognised, so that
	// a repeated submission or transfer does not run the job again.
	prunedIDsRetained = 65536
)

// Observer is notified of each change of a task after it is applied.
type Observer interface {
	// TaskChanged reports that t left state from; from is 0 for a new task.
	TaskChanged(t *Task, from TaskState)
	// Restored reports that the whole state was replaced by a snapshot.
	Restored()
}

// State is the state of one cell. It is not safe for concurrent use.
type State struct {
	id            model.CellID
	tasks         map[model.TaskID]*Task
	jobs          map[model.JobID]*job
	queued        map[model.TaskID]*Task
	transferring  map[model.TaskID]*Task
	workers       map[model.WorkerID]*workerState
	ended         []model.JobID
	prunedJobs    []model.JobID
	prunedHops    map[model.JobID]uint32
	internedNames map[string]string
	aux           []byte
	observer      Observer
}

type workerState struct {
	capacityKnown bool
	capacity      model.Resources
	committed     model.Resources
	live          map[model.TaskID]*Task
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
	s.transferring = map[model.TaskID]*Task{}
	s.ended, s.prunedJobs, s.aux = nil, nil, nil
	s.prunedHops = map[model.JobID]uint32{}
	s.internedNames = map[string]string{}
	for _, w := range s.workers {
		w.committed = model.Resources{}
		w.live = map[model.TaskID]*Task{}
	}
}

// ID returns the cell's id.
func (s *State) ID() model.CellID { return s.id }

// SetObserver sets the observer of later changes; nil removes it.
func (s *State) SetObserver(o Observer) { s.observer = o }

// SetAux sets auxiliary data that snapshots include for the owner, such as estimates. It is
// not part of the journaled state and may be lost.
func (s *State) SetAux(data []byte) { s.aux = data }

// Aux returns the auxiliary data last set or restored.
func (s *State) Aux() []byte { return s.aux }

// SetWorker sets a worker's capacity. Apply rejects placements beyond it. A worker without
// a known capacity is not checked: during recovery the journal is applied before the host
// list is known, and its records were checked when they were planned.
func (s *State) SetWorker(id model.WorkerID, capacity model.Resources) {
	w := s.worker(id)
	w.capacityKnown, w.capacity = true, capacity
}

// RemoveWorker removes a worker that left the host list. Its live attempts stay committed
// until they end; until then its capacity is zero.
func (s *State) RemoveWorker(id model.WorkerID) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if len(w.live) == 0 {
		delete(s.workers, id)
		return
	}
	w.capacityKnown, w.capacity = true, model.Resources{}
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

// Job returns the status of a job that is unfinished or still retained.
func (s *State) Job(id model.JobID) (JobStatus, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return JobStatus{}, false
	}
	return j.status(), true
}

// JobSummary returns the status of a job without its tasks.
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

// Queued returns the tasks that wait for placement, oldest first.
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

// Transfers returns the transfers that their destinations have not confirmed.
func (s *State) Transfers() []Transfer {
	var out []Transfer
	for _, t := range sortedTasks(s.transferring) {
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

// intern returns a shared copy of a name, because thousands of tasks repeat the same few
// team and class names.
func (s *State) intern(name string) string {
	if v, ok := s.internedNames[name]; ok {
		return v
	}
	s.internedNames[name] = name
	return name
}
