package fleet

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// The progress of a job is stored in one row as long as it fits. Otherwise that row, the head,
// holds what every leader must know, and the rows after it hold the rest, in the same transaction.

const (
	// chunkInfix separates the id of a job and the number of a chunk in the chunk's key.
	chunkInfix = "/part-"
	// maxProgressBytes bounds the values of a job's progress; together with what else a transaction
	// holds it is within the 1 MB of JSON that the store allows.
	maxProgressBytes = 640_000
	// reservedCommitRows is the number of rows of a transaction that a job's progress leaves free.
	reservedCommitRows = 8
	// taskProgressBytes bounds the stored progress of a task with a checkpoint of 36 bytes.
	taskProgressBytes = 150
	// headBytes bounds what a head holds beside occurrences.
	headBytes = 1024
)

// checkProgress returns an error of KindInvalid if the progress of a job could exceed what a
// transaction stores for it.
func (l Limits) checkProgress(s Spec) error {
	if l.RowBytes <= 0 {
		return nil
	}
	if most := l.progressCapacity() / taskProgressBytes; s.tasks() > most {
		return model.Errorf(model.KindInvalid, "send smaller jobs", "the progress of %d tasks exceeds a transaction of the store, which holds that of %d", s.tasks(), most)
	}
	if most := 8 * (l.RowBytes - headBytes); s.Occurrences() > most {
		return model.Errorf(model.KindInvalid, "give fewer repeats", "a row of the store holds the progress of %d repeats, not of %d", most, s.Occurrences())
	}
	return nil
}

// progressCapacity returns how many bytes of progress a transaction stores for a job.
func (l Limits) progressCapacity() int {
	return min(maxProgressBytes, (maxCommitRows-reservedCommitRows)*l.RowBytes)
}

// chunkRow returns the id of chunk n of a job's progress.
func chunkRow(part, id string, n int) RowID {
	return RowID{tableProgress, part, fmt.Sprintf("%s%s%04d", id, chunkInfix, n)}
}

// chunkRecord is the value of a chunk of a job's progress.
type chunkRecord struct {
	Tasks []chunkTask `cbor:"1,keyasint"`
}

// chunkTask is the stored form of a task in a chunk; it replaces that in the head.
type chunkTask struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Task       taskRecord
}

// storedProgress is the progress of a job as rows.
type storedProgress struct {
	head   []byte
	chunks [][]byte
}

func (s storedProgress) size() int {
	n := len(s.head)
	for _, c := range s.chunks {
		n += len(c)
	}
	return n
}

// keptCheckpointBytes lists lengths above which checkpoints are left out in turn until the progress
// of a job fits into a transaction. Intake makes sure that it fits with checkpoints of 36 bytes.
var keptCheckpointBytes = []int{maxProgressBytes, 4096, 256, 36, 0}

// encodeProgress returns the progress of a job in as many rows as it needs. A transaction that is
// too large would fail for ever, and with it the whole cell: if nothing else helps, the job fails.
func (t *term) encodeProgress(j *job) storedProgress {
	p := j.progress()
	s := storedProgress{head: encode(p)}
	if t.fitsInRow(s.head) {
		return s
	}
	if len(p.Finished) > 0 {
		p.packFinished()
		if s.head = encode(p); t.fitsInRow(s.head) {
			return s
		}
	}
	for _, kept := range keptCheckpointBytes {
		left := p.dropCheckpoints(kept)
		if s = p.split(t.cfg.Limits.RowBytes); s.fit(t.cfg.Limits) {
			if left > 0 {
				t.log.WithFields(logrus.Fields{"job": j.id, "tasks": left, "longer_than": kept}).Error("checkpoints exceed a transaction of the store and are not stored")
			}
			return s
		}
	}
	if j.failureReason == "" {
		j.failureReason = "its progress exceeds a transaction of the store"
		t.stopFinishedJob(j)
	}
	return storedProgress{head: encode(progressRecord{State: j.state(), Failed: j.failureReason, Started: j.started, MovedTo: j.movedTo, MoveStored: j.moveStored})}
}

// fit reports whether the rows can be stored in one transaction.
func (s storedProgress) fit(l Limits) bool {
	return s.size() <= l.progressCapacity() && len(s.head) <= l.RowBytes &&
		!slices.ContainsFunc(s.chunks, func(c []byte) bool { return len(c) > l.RowBytes })
}

func (t *term) fitsInRow(value []byte) bool {
	return t.cfg.Limits.RowBytes <= 0 || len(value) <= t.cfg.Limits.RowBytes
}

// packFinished replaces the list of finished occurrences by a bit for each.
func (p *progressRecord) packFinished() {
	for _, k := range p.Finished {
		for len(p.FinishedBits) <= k/8 {
			p.FinishedBits = append(p.FinishedBits, make([]byte, k/8+1-len(p.FinishedBits))...)
		}
		p.FinishedBits[k/8] |= 1 << (k % 8)
	}
	p.Finished = nil
}

// finished calls visit with each finished occurrence.
func (p *progressRecord) finished(visit func(k int)) {
	for _, k := range p.Finished {
		visit(k)
	}
	for i, bits := range p.FinishedBits {
		for b := range 8 {
			if bits&(1<<b) != 0 {
				visit(8*i + b)
			}
		}
	}
}

// dropCheckpoints leaves out checkpoints longer than kept bytes and returns their number.
func (p *progressRecord) dropCheckpoints(kept int) int {
	n := 0
	for _, o := range p.Open {
		for _, tasks := range o.Steps {
			for i := range tasks {
				if len(tasks[i].Checkpoint) > kept {
					tasks[i].Checkpoint = ""
					n++
				}
			}
		}
	}
	return n
}

// bare returns the record as the head holds it.
func (r taskRecord) bare() taskRecord {
	if r.Done {
		return taskRecord{Index: r.Index, Done: true}
	}
	return taskRecord{Index: r.Index, Attempt: r.Attempt, LentTo: r.LentTo, Loans: r.Loans}
}

// hasDetails reports whether the head does not hold all that later starts depend on.
func (r taskRecord) hasDetails() bool {
	return !r.Done && (len(r.Failed) > 0 || r.Checkpoint != "" || len(r.Crashes) > 0)
}

// split divides the progress into a head and chunks of at most rowBytes. Where not all open
// occurrences fit into the head, only chunks hold the others.
func (p *progressRecord) split(rowBytes int) storedProgress {
	head := *p
	head.Open = nil
	c := chunker{rowBytes: rowBytes}
	space := rowBytes - headBytes - len(p.FinishedBits)
	for _, o := range p.Open {
		short := occurrenceRecord{Number: o.Number, Steps: make([][]taskRecord, len(o.Steps))}
		for i, tasks := range o.Steps {
			for _, r := range tasks {
				short.Steps[i] = append(short.Steps[i], r.bare())
			}
		}
		size := len(encode(short))
		inHead := size <= space
		if inHead {
			head.Open = append(head.Open, short)
			space -= size
		}
		for i, tasks := range o.Steps {
			for _, r := range tasks {
				if !inHead || r.hasDetails() {
					c.add(chunkTask{Occurrence: o.Number, Step: i, Task: r})
				}
			}
		}
	}
	c.flush()
	head.Chunks = len(c.chunks)
	return storedProgress{encode(head), c.chunks}
}

// chunker fills chunks with tasks.
type chunker struct {
	rowBytes int
	chunks   [][]byte
	pending  chunkRecord
	size     int
}

func (c *chunker) add(t chunkTask) {
	const overhead = 16
	n := len(encode(t))
	if c.size+n+overhead > c.rowBytes {
		c.flush()
	}
	c.pending.Tasks = append(c.pending.Tasks, t)
	c.size += n
}

func (c *chunker) flush() {
	if len(c.pending.Tasks) > 0 {
		c.chunks = append(c.chunks, encode(c.pending))
	}
	c.pending, c.size = chunkRecord{}, 0
}

// addProgress adds the rows of a job's progress that have changed to a transaction, unless they do
// not fit beside what it holds; size is that of its values.
func (t *term) addProgress(c *pendingCommit, j *job, size int) (added int, ok bool) {
	s := t.encodeProgress(j)
	puts, sums := []Row{{RowID: progressRow(t.part, j.key()), Value: s.head}}, make([]uint64, len(s.chunks))
	added = len(s.head)
	for n, value := range s.chunks {
		sums[n] = checksum(value)
		if n < len(j.chunkSums) && j.chunkSums[n] == sums[n] {
			continue
		}
		puts = append(puts, Row{RowID: chunkRow(t.part, j.key(), n), Value: value})
		added += len(value)
	}
	puts = append(puts, j.returns...)
	var remove []RowID
	for n := len(s.chunks); n < len(j.chunkSums); n++ {
		remove = append(remove, chunkRow(t.part, j.key(), n))
	}
	several := len(puts)+len(remove) > 1
	if several && len(c.tx.Puts) > 0 && (size+added > maxCommitBytes || len(c.tx.Puts)+len(puts)+len(c.tx.Delete)+len(remove) > maxCommitRows-2) {
		return 0, false
	}
	c.tx.Puts, c.tx.Delete = append(c.tx.Puts, puts...), append(c.tx.Delete, remove...)
	j.chunkSums = sums
	return added, true
}

func checksum(value []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(value) // never fails
	return h.Sum64()
}

// unknownSum marks a chunk of an earlier term, which is written again.
const unknownSum = 0

// progressSteps returns a step for each job that restores the progress that an earlier term has stored. The chunks
// of a job follow its head.
func (t *term) progressSteps(rows []Row) []func() {
	chunks := map[string][]Row{}
	for _, row := range rows {
		if id, _, ok := strings.Cut(row.Key, chunkInfix); ok {
			chunks[id] = append(chunks[id], row)
		}
	}
	stored := map[string]bool{}
	for _, row := range rows {
		stored[row.Key] = true
	}
	var steps []func()
	for _, row := range rows {
		steps = append(steps, func() {
			j := t.jobs[row.Key]
			if j == nil && !stored[loanKey(row.Key)] {
				j = t.jobs[loanKey(row.Key)] // as older versions store the progress of borrowed tasks
			}
			if j != nil {
				t.restoreJobProgress(j, row, chunks[row.Key])
			}
		})
	}
	return steps
}

func (t *term) restoreJobProgress(j *job, head Row, chunks []Row) {
	var p progressRecord
	if err := decodeRecord(head, &p); err != nil {
		t.log.WithError(err).Error("cannot decode progress row")
		return
	}
	for _, row := range chunks {
		var n int
		if _, err := fmt.Sscanf(row.Key, head.Key+chunkInfix+"%d", &n); err != nil {
			continue
		}
		for len(j.chunkSums) <= n {
			j.chunkSums = append(j.chunkSums, unknownSum)
		}
		if n >= p.Chunks {
			j.dirty = true // left by a leader of an older version, which writes heads only
			continue
		}
		var c chunkRecord
		if err := decodeRecord(row, &c); err != nil {
			t.log.WithError(err).Error("cannot decode progress row")
			continue
		}
		p.merge(c)
	}
	j.occurrences, j.openedOccurrences = nil, 0
	j.restore(p, t.now, t.monotonicTime)
	if !j.over() {
		j.openDue(t.now, 0, t.monotonicTime)
	}
}

// merge adds the tasks of a chunk. A record that comes later replaces an earlier one of its task.
func (p *progressRecord) merge(c chunkRecord) {
	for _, r := range c.Tasks {
		i := slices.IndexFunc(p.Open, func(o occurrenceRecord) bool { return o.Number == r.Occurrence })
		if i < 0 {
			i, p.Open = len(p.Open), append(p.Open, occurrenceRecord{Number: r.Occurrence})
		}
		o := &p.Open[i]
		if r.Step < 0 || r.Step >= maxSteps {
			continue
		}
		for len(o.Steps) <= r.Step {
			o.Steps = append(o.Steps, nil)
		}
		o.Steps[r.Step] = append(o.Steps[r.Step], r.Task)
	}
}
