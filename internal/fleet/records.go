package fleet

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Tables of the product.
const (
	// tableJobs holds accepted jobs and their cancellations. The nodes that serve callers
	// write it; the leaders watch it.
	tableJobs = "vp-jobs"
	// tableProgress holds the progress of each job, written by the leader; see progress_rows.go.
	tableProgress = "vp-progress"
	// tableFence holds the row that every transaction of the leader expects.
	tableFence = "vp-fence"
	// tableLeader holds the leaders' renewals and the layout; all nodes watch it.
	tableLeader = "vp-leader"
	// tableModels holds the interference models of images, for the next leader and for other
	// cells.
	tableModels = "vp-models"
	// tableWaves holds the progress of each maintenance wave in one row, written by the leader.
	tableWaves = "vp-waves"
	// tableUsed holds the lifetimes of workers on which tasks may have started.
	tableUsed = "vp-used"
	// tableMoved holds jobs that have moved to another cell and tasks lent to one, in the part
	// of that cell.
	tableMoved = "vp-moved"
	// tableHosts holds a row per node, with the host limits from which the number of cells is
	// derived.
	tableHosts = "vp-hosts"
)

const (
	// singleCellPart is the part for all rows that the leader of a single-cell fleet writes;
	// they share a part because a transaction changes rows of one part only.
	singleCellPart = "leader"
	// keyLeader is the key of a cell's fence, of its renewals and of its models.
	keyLeader = "leader"
	// layoutPart and keyLayout address the row of the layout and that of the claim to decide
	// it.
	layoutPart = "layout"
	keyLayout  = "layout"
	// cancelSuffix is appended to a job's id to form the key of its cancellation.
	cancelSuffix = "/cancel"
)

// progressRow returns the id of the row of a job's progress in the part of a cell.
func progressRow(part, id string) RowID { return RowID{tableProgress, part, id} }

// jobRecord is the stored form of a job.
type jobRecord struct {
	Queue string `cbor:"1,keyasint"`
	Spec  Spec   `cbor:"2,keyasint"`
	// AcceptedAt is the store's monotonic clock at acceptance.
	AcceptedAt time.Duration `cbor:"3,keyasint,omitempty"`
	// PreviousCells lists the cells from which the job has moved.
	PreviousCells []int `cbor:"4,keyasint,omitempty"`
	// Progress is the progress before the move, for a job that moved after it had started.
	Progress *progressRecord `cbor:"5,keyasint,omitempty"`
	// AttemptBase is the highest attempt number that previous cells may have used.
	AttemptBase int `cbor:"6,keyasint,omitempty"`
	// Settings are those of the queue, by which the job runs should the configuration drop the
	// queue. It is nil in rows of older versions.
	Settings *queueSettings `cbor:"7,keyasint,omitempty"`
	// Loan is the number of the loan in the row of a lent task. It is 0 in rows of older versions.
	Loan int `cbor:"8,keyasint,omitempty"`
}

// queueSettings is the stored form of what a queue's jobs run by.
type queueSettings struct {
	_           struct{} `cbor:",toarray"`
	Service     model.ServiceName
	Priority    int
	MaxAttempts int
	Stretch     float64
	Objective   time.Duration
	Advised     bool
}

// settings returns the stored form of q.
func (q Queue) settings() *queueSettings {
	return &queueSettings{Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Objective: q.Objective, Advised: q.Advised}
}

// queue returns the queue with a name and these settings. It routes no requests.
func (s *queueSettings) queue(name string) Queue {
	return Queue{Name: name, Service: s.Service, Priority: s.Priority, MaxAttempts: s.MaxAttempts, Stretch: s.Stretch, Objective: s.Objective, Advised: s.Advised}
}

// taskRecord is the stored form of a task that differs from its initial state.
type taskRecord struct {
	Index      int    `cbor:"1,keyasint"`
	Done       bool   `cbor:"2,keyasint,omitempty"`
	Failed     []int  `cbor:"3,keyasint,omitempty"`
	Attempt    int    `cbor:"4,keyasint,omitempty"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// LentTo is one more than the cell to which the task is lent; 0 for none.
	LentTo int `cbor:"6,keyasint,omitempty"`
	// Crashes lists the attempts under which a worker crashed.
	Crashes []taskCrash `cbor:"7,keyasint,omitempty"`
	// Loans counts how often the task was lent.
	Loans int `cbor:"8,keyasint,omitempty"`
}

// occurrenceRecord is the stored form of an open occurrence.
type occurrenceRecord struct {
	Number int            `cbor:"1,keyasint"`
	Steps  [][]taskRecord `cbor:"2,keyasint"`
}

// progressRecord is the stored form of a job's progress.
type progressRecord struct {
	State State `cbor:"1,keyasint"`
	// Failed is the reason for StateFailed.
	Failed  string `cbor:"2,keyasint,omitempty"`
	Started bool   `cbor:"3,keyasint,omitempty"`
	// Finished lists the numbers of finished occurrences.
	Finished []int              `cbor:"4,keyasint,omitempty"`
	Open     []occurrenceRecord `cbor:"5,keyasint,omitempty"`
	// MovedTo is one more than the cell to which the job has moved; 0 for none. MoveStored
	// means that its row in that cell is stored.
	MovedTo    int  `cbor:"6,keyasint,omitempty"`
	MoveStored bool `cbor:"7,keyasint,omitempty"`
	// Chunks is the number of further rows that hold progress.
	Chunks int `cbor:"8,keyasint,omitempty"`
	// FinishedBits holds a bit for each finished occurrence, in place of Finished where that would
	// exceed a row.
	FinishedBits []byte `cbor:"9,keyasint,omitempty"`
	// AttemptBase is the highest attempt number that borrowers of tasks may have used.
	AttemptBase int `cbor:"10,keyasint,omitempty"`
	// LentTasks names the tasks of a job that is over that were lent, as the keys of their rows do.
	LentTasks []string `cbor:"11,keyasint,omitempty"`
}

// fenceRecord is the value of the fence row.
type fenceRecord struct {
	Term uint64 `cbor:"1,keyasint"`
	// Nonce identifies the transaction that wrote the row, so that a leader recognizes its own
	// write when the answer was lost.
	Nonce uint64 `cbor:"2,keyasint"`
}

// leaderRecord is the value of the row that a leader's renewals write.
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
	// Successor is the node to which a released lead is handed over; usually empty.
	Successor model.NodeID `cbor:"7,keyasint,omitempty"`
	// Pending counts the cell's jobs that have not started, by queue; only queues with
	// such jobs are listed.
	Pending map[string]int `cbor:"8,keyasint,omitempty"`
	// Loaded means that Pending is known: the term has read the store.
	Loaded bool `cbor:"9,keyasint,omitempty"`
	// Load is the cell's load; empty in a fleet of one cell.
	Load cellLoad `cbor:"10,keyasint,omitempty"`
	// LeaseReachMS is the longest time from this renewal to the end of a lease that the leader
	// grants. It is 0 in rows of older versions, whose leases reach maxOrderAge plus a whole
	// lease.
	LeaseReachMS int64 `cbor:"11,keyasint,omitempty"`
	// LeaseRecordsSince is the first term since which all leaders honour lease records: they
	// grant a worker nothing while its row holds one. It is 0 in rows of older versions.
	LeaseRecordsSince uint64 `cbor:"12,keyasint,omitempty"`
	// RunsKnown means that all runs of earlier terms are accounted for, so that no lease of theirs
	// outlasts the leases of this term. It is false in rows of older versions.
	RunsKnown bool `cbor:"13,keyasint,omitempty"`
	// FormerRenewalMS is how long before this renewal the last one of earlier terms was sent, at
	// least. Leases of theirs that are not accounted for last from that one on. It is negative where
	// leases of older versions reach further, and 0 in rows of versions that do not tell.
	FormerRenewalMS int64 `cbor:"14,keyasint,omitempty"`
	// Silent is a leader of earlier terms that may still give orders; nil if none is known.
	Silent *silentLeaderRecord `cbor:"15,keyasint,omitempty"`
	// Witnesses are those of this term; nil if it has none. SilentWitnesses are those of the silent
	// leader.
	Witnesses       *witnessRecord `cbor:"16,keyasint,omitempty"`
	SilentWitnesses *witnessRecord `cbor:"17,keyasint,omitempty"`
	// Earlier tells of the leaders before the silent one; nil if none of them has witnesses that have not
	// answered.
	Earlier *earlierLeadersRecord `cbor:"18,keyasint,omitempty"`
	// StoreNow is the store's monotonic clock when the row was made, at the latest; 0 if unknown. A node
	// that first sees the row later, as after an outage, knows by it how old the renewal is.
	StoreNow time.Duration `cbor:"19,keyasint,omitempty"`
	// UnverifiedOrdersEnd is the store's monotonic clock when the last order of a version has arrived that
	// sent deadlines to whichever lifetime of a worker answered; 0 if there is none that matters. It is nil
	// in rows of such versions.
	UnverifiedOrdersEnd *time.Duration `cbor:"20,keyasint,omitempty"`
}

// leaseRecordsSince returns LeaseRecordsSince of the term that follows r.
func (r leaderRecord) leaseRecordsSince(term uint64) uint64 {
	if r.LeaseRecordsSince > 0 && r.Term == term-1 {
		return r.LeaseRecordsSince
	}
	return term
}

// describeFormer records what a renewal at now tells of the leaders of earlier terms.
func (r *leaderRecord) describeFormer(now, formerLeaderRenewedBy time.Time, silent *silentLeader) {
	r.FormerRenewalMS = leastAgeMS(now, formerLeaderRenewedBy)
	if silent != nil && silent.passedOn() && (!r.RunsKnown || now.Before(formerLeaderRenewedBy.Add(maxLeaseReach))) {
		r.Silent, r.SilentWitnesses, r.Earlier = silent.record(now), silent.witnessesRecord(now), silent.earlierRecord(now)
	}
}

// leastAgeMS returns how long before now x was at least, in milliseconds. Leases from before
// 2*maxLeaseReach are over.
func leastAgeMS(now, x time.Time) int64 { return min(now.Sub(x), 2*maxLeaseReach).Milliseconds() - 1 }

// formerRenewalAge returns how old the last renewal of earlier terms was at least at this one.
func (r leaderRecord) formerRenewalAge() time.Duration {
	return time.Duration(r.FormerRenewalMS) * time.Millisecond
}

// leaseReachOrDefault returns the longest time from the renewal to the end of a lease.
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
	// Leases is empty while the leader may extend the worker's leases.
	Leases leaseRecord `cbor:"5,keyasint,omitempty"`
	// FormerLeaseEnd is the store's monotonic clock when leases that orders for a former lifetime
	// may have set have ended; 0 for none.
	FormerLeaseEnd time.Duration `cbor:"6,keyasint,omitempty"`
}

// waveRecord is the stored progress of a maintenance wave.
type waveRecord struct {
	Number int `cbor:"1,keyasint"`
	// Begun lists the machines whose maintenance has begun.
	Begun []string `cbor:"2,keyasint"`
}

// waveRow returns the id of the row of a wave's progress.
func waveRow(part string, number int) RowID { return RowID{tableWaves, part, strconv.Itoa(number)} }

// encode marshals a record. It panics on errors, as records hold nothing that CBOR cannot
// encode.
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
	p := progressRecord{State: j.state(), Failed: j.failureReason, Started: j.started, MovedTo: j.movedTo, MoveStored: j.moveStored, AttemptBase: j.attemptBase}
	for k := range j.finishedOccurrences {
		p.Finished = append(p.Finished, k)
	}
	if p.State.Final() {
		p.LentTasks = j.lentNames()
		return p
	}
	for _, o := range j.occurrences {
		r := occurrenceRecord{Number: o.number, Steps: make([][]taskRecord, len(o.steps))}
		for i := range o.steps {
			for n := range o.steps[i].tasks {
				if t := &o.steps[i].tasks[n]; t.done || t.loans > 0 || t.attempt > 0 || len(t.failed) > 0 || t.checkpoint != "" || len(t.crashes) > 0 {
					r.Steps[i] = append(r.Steps[i], taskRecord{n, t.done, t.failed, t.attempt, t.checkpoint, t.lentTo, t.crashes, t.loans})
				}
			}
		}
		p.Open = append(p.Open, r)
	}
	return p
}

// restore applies stored progress to a job that was just read.
func (j *job) restore(p progressRecord, now time.Time, toMonotonic func(int64) time.Time) {
	j.started, j.failureReason = p.Started, p.Failed
	j.movedTo, j.moveStored, j.attemptBase = p.MovedTo, p.MoveStored, max(j.attemptBase, p.AttemptBase)
	j.cancelled = p.State == StateCancelled || (j.cancelled && !p.State.Final())
	p.finished(func(k int) { j.finishedOccurrences[k], j.begun = true, true })
	if p.State.Final() {
		j.visibleState, j.endedAt, j.formerlyLent = p.State, now, p.LentTasks
		return
	}
	for _, r := range p.Open {
		if j.openOccurrenceAt(r.Number) != nil || j.finishedOccurrences[r.Number] || r.Number >= j.spec.Occurrences() {
			continue
		}
		j.restoreOccurrence(r, now, toMonotonic)
	}
	j.visibleState = p.State
}

func (j *job) restoreOccurrence(r occurrenceRecord, now time.Time, toMonotonic func(int64) time.Time) {
	o := j.openOccurrence(r.Number, j.dueAt(r.Number, toMonotonic), now)
	for i := range min(len(r.Steps), len(o.steps)) {
		s := &o.steps[i]
		for _, t := range r.Steps[i] {
			if t.Index < 0 || t.Index >= len(s.tasks) {
				continue
			}
			s.tasks[t.Index] = task{done: t.Done, failed: t.Failed, attempt: t.Attempt, checkpoint: t.Checkpoint, lentTo: t.LentTo, loans: max(t.Loans, min(t.LentTo, 1)), crashes: t.Crashes, mayBeDone: t.Attempt > 0}
			j.begun = j.begun || t.Done || len(t.Failed) > 0 || t.Checkpoint != "" || s.tasks[t.Index].confirmedCrashes() > 0
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
