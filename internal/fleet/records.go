package fleet

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Tables of the product.
const (
	// tableJobs holds accepted jobs and their cancellations. Written by the nodes
	// that take requests; the leader follows it.
	tableJobs = "vp-jobs"
	// tableProgress holds a row per job, written by the leader.
	tableProgress = "vp-progress"
	// tableFence holds the row that every transaction of the leader expects.
	tableFence = "vp-fence"
	// tableLeader holds the leader's renewals; all nodes follow it.
	tableLeader = "vp-leader"
	// tableModels holds what was learnt of images, for the next leader.
	tableModels = "vp-models"
	// tableWaves holds a row per wave of upkeep, written by the leader.
	tableWaves = "vp-waves"
	// tableUsed holds the lifetimes of workers on which tasks may have started.
	tableUsed = "vp-used"
	// tableMoved holds jobs that have moved, in the part of the cell that owns them now.
	tableMoved = "vp-moved"
	// tableHosts holds a row per node, from which the fleet is divided into cells.
	tableHosts = "vp-hosts"
)

const (
	// singleCellPart holds all rows that the leader of a lone cell writes: a transaction
	// has one part.
	singleCellPart = "leader"
	// keyLeader is the key of a cell's fence and of its renewals.
	keyLeader = "leader"
	// layoutPart and keyLayout address the layout.
	layoutPart = "layout"
	keyLayout  = "layout"
	// cancelSuffix follows the job's id in the key of its cancellation.
	cancelSuffix = "/cancel"
)

// progressRow addresses the row of a job's progress in the part of its cell.
func progressRow(part, id string) RowID { return RowID{tableProgress, part, id} }

// jobRecord is the stored form of a job.
type jobRecord struct {
	Queue string `cbor:"1,keyasint"`
	Spec  Spec   `cbor:"2,keyasint"`
	// AcceptedAt is the store's steady clock at acceptance.
	AcceptedAt time.Duration `cbor:"3,keyasint,omitempty"`
	// PreviousCells lists the cells that the job has left.
	PreviousCells []int `cbor:"4,keyasint,omitempty"`
	// Progress is that of a job that moved after it had begun.
	Progress *progressRecord `cbor:"5,keyasint,omitempty"`
	// AttemptBase is the highest number that cells before may have used for a start.
	AttemptBase int `cbor:"6,keyasint,omitempty"`
}

// taskRecord is the stored form of a task that has a history.
type taskRecord struct {
	Index      int    `cbor:"1,keyasint"`
	Done       bool   `cbor:"2,keyasint,omitempty"`
	Failed     []int  `cbor:"3,keyasint,omitempty"`
	Attempt    int    `cbor:"4,keyasint,omitempty"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// LentTo is one more than the cell that runs the task.
	LentTo int `cbor:"6,keyasint,omitempty"`
}

// occurrenceRecord is the stored form of an open occurrence.
type occurrenceRecord struct {
	Number int            `cbor:"1,keyasint"`
	Steps  [][]taskRecord `cbor:"2,keyasint"`
}

// progressRecord is the stored form of a job's progress.
type progressRecord struct {
	State State `cbor:"1,keyasint"`
	// Failed is the reason of StateFailed.
	Failed  string `cbor:"2,keyasint,omitempty"`
	Started bool   `cbor:"3,keyasint,omitempty"`
	// Finished lists finished occurrences.
	Finished []int              `cbor:"4,keyasint,omitempty"`
	Open     []occurrenceRecord `cbor:"5,keyasint,omitempty"`
	// MovedTo is one more than the cell to which the job has moved, Arrived whether its
	// row is there.
	MovedTo    int  `cbor:"6,keyasint,omitempty"`
	MoveStored bool `cbor:"7,keyasint,omitempty"`
}

// fenceRecord is the value of the fence row.
type fenceRecord struct {
	Term uint64 `cbor:"1,keyasint"`
	// Nonce identifies the transaction that wrote the row, so that a leader
	// recognizes its own write after a lost answer.
	Nonce uint64 `cbor:"2,keyasint"`
}

// leaderRecord is the value of the renewal row.
type leaderRecord struct {
	Term uint64       `cbor:"1,keyasint"`
	Node model.NodeID `cbor:"2,keyasint"`
	// Process distinguishes processes of one node.
	Process uint64 `cbor:"3,keyasint"`
	Addr    string `cbor:"4,keyasint"`
	// Released means that the leader has stopped sending orders.
	Released bool `cbor:"5,keyasint,omitempty"`
	// MilliCPU is the processor share of the leader's host; 0 when unknown.
	MilliCPU int64 `cbor:"6,keyasint,omitempty"`
	// Successor is the node to which a released lead was handed; usually empty.
	Successor model.NodeID `cbor:"7,keyasint,omitempty"`
	// Pending counts the cell's jobs that have not begun, by queue; only queues with
	// such jobs are listed.
	Pending map[string]int `cbor:"8,keyasint,omitempty"`
	// Loaded means that Pending is known: the term has read the store.
	Loaded bool `cbor:"9,keyasint,omitempty"`
	// Load is the cell's load; empty in a fleet of one cell.
	Load cellLoad `cbor:"10,keyasint,omitempty"`
	// LeaseReachMS is how long after this renewal the leader's leases last at most; 0 in
	// rows of versions whose leases reach as far as maxOrderAge and a whole lease.
	LeaseReachMS int64 `cbor:"11,keyasint,omitempty"`
}

// leaseReachOrDefault returns how long after the renewal the leader's leases last at most.
func (r leaderRecord) leaseReachOrDefault() time.Duration {
	if r.LeaseReachMS == 0 {
		return maxOrderAge + maxLease
	}
	return time.Duration(r.LeaseReachMS) * time.Millisecond
}

// usedRecord is the value of a row of tableUsed.
type usedRecord struct {
	Lifetime   Lifetime          `cbor:"1,keyasint"`
	Addr       string            `cbor:"2,keyasint"`
	DataCentre model.DataCentre  `cbor:"3,keyasint"`
	Service    model.ServiceName `cbor:"4,keyasint"`
}

// waveRecord is the stored progress of a wave of upkeep.
type waveRecord struct {
	Number int `cbor:"1,keyasint"`
	// Begun lists the machines whose upkeep has begun.
	Begun []string `cbor:"2,keyasint"`
}

// waveRow addresses the progress of a wave.
func waveRow(part string, number int) RowID { return RowID{tableWaves, part, strconv.Itoa(number)} }

// encode marshals a record. The records hold nothing that CBOR cannot encode.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// decodeRecord unmarshals a stored record.
func decodeRecord(row Row, v any) error {
	if err := cbor.Unmarshal(row.Value, v); err != nil {
		return model.Wrap(model.KindCorrupt, err, "remove the row", "row %s %q", row.Table, row.Key)
	}
	return nil
}

// progress returns the stored form of j's progress.
func (j *job) progress() progressRecord {
	p := progressRecord{State: j.state(), Failed: j.failureReason, Started: j.started, MovedTo: j.movedTo, MoveStored: j.moveStored}
	for k := range j.finishedOccurrences {
		p.Finished = append(p.Finished, k)
	}
	if p.State.Final() {
		return p
	}
	for _, o := range j.occurrences {
		r := occurrenceRecord{Number: o.number, Steps: make([][]taskRecord, len(o.steps))}
		for i := range o.steps {
			for n := range o.steps[i].tasks {
				if t := &o.steps[i].tasks[n]; t.done || t.lentTo > 0 || t.attempt > 0 || len(t.failed) > 0 || t.checkpoint != "" {
					r.Steps[i] = append(r.Steps[i], taskRecord{n, t.done, t.failed, t.attempt, t.checkpoint, t.lentTo})
				}
			}
		}
		p.Open = append(p.Open, r)
	}
	return p
}

// restore applies stored progress to a job that was just read.
func (j *job) restore(p progressRecord, now time.Time, wall func(int64) time.Time) {
	j.started, j.failureReason = p.Started, p.Failed
	j.movedTo, j.moveStored = p.MovedTo, p.MoveStored
	j.cancelled = j.cancelled || p.State == StateCancelled
	for _, k := range p.Finished {
		j.finishedOccurrences[k] = true
	}
	if p.State.Final() {
		j.visibleState, j.endedAt = p.State, now
		return
	}
	for _, r := range p.Open {
		if j.openOccurrenceAt(r.Number) != nil || j.finishedOccurrences[r.Number] || r.Number >= j.spec.Occurrences() {
			continue
		}
		j.restoreOccurrence(r, now, wall)
	}
	j.visibleState = j.state()
}

func (j *job) restoreOccurrence(r occurrenceRecord, now time.Time, wall func(int64) time.Time) {
	o := j.openOccurrence(r.Number, j.dueAt(r.Number, wall), now)
	for i := range min(len(r.Steps), len(o.steps)) {
		s := &o.steps[i]
		for _, t := range r.Steps[i] {
			if t.Index < 0 || t.Index >= len(s.tasks) {
				continue
			}
			s.tasks[t.Index] = task{done: t.Done, failed: t.Failed, attempt: t.Attempt, checkpoint: t.Checkpoint, lentTo: t.LentTo}
			if t.Done {
				s.remaining--
			}
		}
		if s.remaining == 0 {
			o.remaining--
		}
	}
	o.advance(j.spec, now)
}
