package cell

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// snapshotVersion is the format version that this build reads and writes.
const snapshotVersion = 1

type snapshot struct {
	Version int           `cbor:"1,keyasint"`
	Cell    model.CellID  `cbor:"2,keyasint"`
	Jobs    []jobSnapshot `cbor:"3,keyasint"`
	Ended   []model.JobID `cbor:"4,keyasint"`
	Pruned  []prunedJob   `cbor:"5,keyasint"`
	Aux     []byte        `cbor:"6,keyasint,omitempty"`
}

type jobSnapshot struct {
	ID        model.JobID    `cbor:"1,keyasint"`
	Cancelled bool           `cbor:"2,keyasint,omitempty"`
	Tasks     []taskSnapshot `cbor:"3,keyasint"`
}

type taskSnapshot struct {
	Spec        model.TaskSpec `cbor:"1,keyasint"`
	State       TaskState      `cbor:"2,keyasint"`
	Attempt     model.Attempt  `cbor:"3,keyasint,omitempty"`
	Worker      model.WorkerID `cbor:"4,keyasint,omitempty"`
	Checkpoint  string         `cbor:"5,keyasint,omitempty"`
	Failures    int            `cbor:"6,keyasint,omitempty"`
	SubmittedAt int64          `cbor:"7,keyasint,omitempty"`
	To          model.CellID   `cbor:"8,keyasint,omitempty"`
	Hops        uint32         `cbor:"9,keyasint,omitempty"`
	Group       int            `cbor:"10,keyasint,omitempty"`
	Result      string         `cbor:"11,keyasint,omitempty"`
	Error       string         `cbor:"12,keyasint,omitempty"`
	Reason      string         `cbor:"13,keyasint,omitempty"`
}

type prunedJob struct {
	ID   model.JobID `cbor:"1,keyasint"`
	Hops uint32      `cbor:"2,keyasint,omitempty"`
}

// EncodeRecord encodes a record for the journal.
func EncodeRecord(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode cell record")
	}
	return data, nil
}

// DecodeRecord decodes a record written by EncodeRecord. The error has kind corrupt.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, model.Wrap(model.KindCorrupt, err, "check the journal row and the build's version", "decode cell record")
	}
	return r, nil
}

// MarshalSnapshot encodes the whole state. Equal states give equal bytes.
func (s *State) MarshalSnapshot() ([]byte, error) {
	out := snapshot{Version: snapshotVersion, Cell: s.id, Ended: s.ended, Aux: s.aux}
	for _, j := range s.jobs {
		out.Jobs = append(out.Jobs, snapshotJob(j))
	}
	slices.SortFunc(out.Jobs, func(a, b jobSnapshot) int { return cmp.Compare(a.ID, b.ID) })
	for _, id := range s.prunedJobs {
		out.Pruned = append(out.Pruned, prunedJob{id, s.prunedHops[id]})
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "report this fault", "encode snapshot of cell %s", s.id)
	}
	return data, nil
}

func snapshotJob(j *job) jobSnapshot {
	out := jobSnapshot{ID: j.id, Cancelled: j.cancelled, Tasks: make([]taskSnapshot, 0, len(j.tasks))}
	for _, t := range j.tasks {
		out.Tasks = append(out.Tasks, taskSnapshot(*t))
	}
	return out
}

// RestoreSnapshot replaces the state by a snapshot of the same cell and keeps the worker
// capacities set by SetWorker. On an error it changes nothing.
func (s *State) RestoreSnapshot(data []byte) error {
	var in snapshot
	if err := cbor.Unmarshal(data, &in); err != nil {
		return model.Wrap(model.KindCorrupt, err, "use the older snapshot", "decode snapshot of cell %s", s.id)
	}
	if in.Version != snapshotVersion || in.Cell != s.id {
		return model.Errorf(model.KindCorrupt, "use a build that reads this version, and the cell's own snapshot",
			"snapshot of cell %q has version %d; want cell %q, version %d", in.Cell, in.Version, s.id, snapshotVersion)
	}
	s.clear()
	s.ended, s.aux = in.Ended, in.Aux
	for _, g := range in.Pruned {
		s.prunedJobs = append(s.prunedJobs, g.ID)
		s.prunedHops[g.ID] = g.Hops
	}
	for _, j := range in.Jobs {
		s.restoreJob(j)
	}
	for _, id := range s.ended {
		if j := s.jobs[id]; j != nil {
			j.listed = true
		}
	}
	if s.observer != nil {
		s.observer.Restored()
	}
	return nil
}

func (s *State) restoreJob(in jobSnapshot) {
	for _, ts := range in.Tasks {
		t := s.newTask(ts.Spec, ts.SubmittedAt)
		spec := t.Spec
		*t = Task(ts)
		t.Spec = spec
		s.setMember(s.queued, t, t.State == TaskQueued)
		s.setMember(s.transferring, t, t.State == TaskTransferring)
		if t.State.HoldsWorker() {
			w := s.worker(t.Worker)
			w.committed = w.committed.Add(spec.Resources)
			w.live[spec.ID] = t
		}
		if t.State.Ended() {
			s.jobs[spec.Job].unfinished--
		}
	}
	s.jobs[in.ID].cancelled = in.Cancelled
}
