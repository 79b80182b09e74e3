package ownership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// Bounds of the exhaustive check. The steps of two nodes and of the clock are interleaved in
// any order. A tick is 1s; the lease is 1 tick, and an observer waits 2 ticks. The bounds
// limit the ticks, the appends and snapshots for each ownership, and the faults (lost, dropped
// or late responses) in total. They give 88,665 states; 4 ticks give 1,144,699.
const (
	boundTicks     = 2
	boundAppends   = 2
	boundSnapshots = 2
	boundFaults    = 1
)

var modelConfig = ownership.Config{Lease: time.Second, Margin: 1}

// row is a journal row of the model. record is 0 for ownership rows.
type row struct {
	seq    uint64
	writer int // the append id is made up of node and epoch
	epoch  model.Epoch
	owner  bool
	record int
}

// modelState is one state of the model. Each transition works on a copy.
type modelState struct {
	now         int
	faults      int
	rows        []row
	delayedRows []row
	snapshots   []snapshotModel
	acked       []int
	record      int
	nodes       [2]nodeModel
}

type snapshotModel struct {
	seq     uint64
	epoch   model.Epoch
	owner   int
	records []int
}

type nodeModel struct {
	phase      string // follow, put, read, verify, own
	loaded     bool
	last       uint64
	epoch      model.Epoch
	owner      int // 0 for none, otherwise node+1
	seenAt     int
	start      int // tick at which the append in flight began
	put        row
	unresolved bool
	leaseStart int // -1 for none
	appends    int
	snapshots  int
	state      []int // records applied
}

func at(tick int) time.Time { return time.Unix(int64(tick)+1000, 0) }

func (n *nodeModel) leaseValid(now int) bool {
	return n.leaseStart >= 0 && ownership.LeaseValid(modelConfig.Lease, at(n.leaseStart), at(now))
}

func (n *nodeModel) observation() ownership.Observation {
	o := ownership.Observation{Last: n.last, Epoch: n.epoch, SeenAt: at(n.seenAt)}
	if n.owner > 0 {
		o.Owner = &journal.OwnerChange{Action: journal.OwnerAcquired, LeaseMillis: modelConfig.Lease.Milliseconds()}
	}
	return o
}

func (w *modelState) find(seq uint64) (row, bool) {
	for _, r := range w.rows {
		if r.seq == seq {
			return r, true
		}
	}
	return row{}, false
}

func (w *modelState) insert(r row) bool {
	if _, taken := w.find(r.seq); taken {
		return false
	}
	w.rows = append(w.rows, r)
	slices.SortFunc(w.rows, func(a, b row) int { return int(a.seq) - int(b.seq) })
	return true
}

// clone copies the slices that transitions append to in place.
func (w modelState) clone() modelState {
	w.rows, w.delayedRows = slices.Clone(w.rows), slices.Clone(w.delayedRows)
	w.snapshots, w.acked = slices.Clone(w.snapshots), slices.Clone(w.acked)
	for i := range w.nodes {
		w.nodes[i].state = slices.Clone(w.nodes[i].state)
	}
	return w
}

// successors returns all states that are reachable from w by one atomic action.
func (w modelState) successors() []modelState {
	var out []modelState
	add := func(change func(*modelState) bool) {
		c := w.clone()
		if change(&c) {
			out = append(out, c)
		}
	}
	add(func(c *modelState) bool { c.now++; return c.now <= boundTicks })
	for i := range w.delayedRows {
		add(func(c *modelState) bool {
			r := c.delayedRows[i]
			c.delayedRows = slices.Delete(c.delayedRows, i, i+1)
			c.insert(r)
			return true
		})
	}
	for i := range w.nodes {
		switch w.nodes[i].phase {
		case "follow":
			add(func(c *modelState) bool { return c.follow(i) })
			add(func(c *modelState) bool { return c.startAcquire(i) })
		case "own":
			add(func(c *modelState) bool { return c.startAppend(i) })
			add(func(c *modelState) bool { return c.snapshot(i) })
		case "put":
			for _, fault := range []string{"", "lost", "drop", "late"} {
				add(func(c *modelState) bool { return c.putRow(i, fault) })
			}
		case "read":
			add(func(c *modelState) bool { return c.readRow(i) })
		case "verify":
			add(func(c *modelState) bool { return c.verify(i) })
		}
	}
	return out
}

// follow reads the rows after the last one. It starts from the newest snapshot on the first
// read, after a gap, and after rows with an unexpected epoch.
func (w *modelState) follow(i int) bool {
	n := &w.nodes[i]
	fresh := !n.loaded
	moved := fresh
	if fresh {
		n.loaded, n.seenAt = true, w.now
		if k := len(w.snapshots); k > 0 {
			s := w.snapshots[k-1]
			n.last, n.epoch, n.owner, n.state = s.seq, s.epoch, s.owner, slices.Clone(s.records)
		}
	}
	for {
		r, ok := w.find(n.last + 1)
		if !ok && (len(w.rows) == 0 || w.rows[len(w.rows)-1].seq <= n.last) {
			return moved
		}
		if !ok || !n.observeRow(r, w.now) {
			if fresh {
				panic(fmt.Sprintf("the journal cannot be recovered: %+v", w))
			}
			w.restartFollowing(i)
			return w.follow(i)
		}
		moved = true
	}
}

// observeRow observes one row; false means that its epoch is unexpected.
func (n *nodeModel) observeRow(r row, now int) bool {
	entry := journal.Entry{Sequence: r.seq, Batch: journal.Batch{Epoch: r.epoch}}
	if r.owner {
		entry.Owner = &journal.OwnerChange{Action: journal.OwnerAcquired}
	}
	o, err := n.observation().Observe(entry, at(now))
	if err != nil {
		return false
	}
	n.last, n.epoch, n.seenAt = o.Last, o.Epoch, now
	if r.owner {
		n.owner = r.writer + 1
	}
	if r.record > 0 {
		n.state = append(n.state, r.record)
	}
	return true
}

func (w *modelState) startAcquire(i int) bool {
	n := &w.nodes[i]
	if !n.loaded || at(w.now).Before(ownership.AcquireAt(modelConfig, n.observation(), 0)) {
		return false
	}
	n.phase, n.start, n.unresolved, n.leaseStart = "put", w.now, false, -1
	n.put = row{seq: n.last + 1, writer: i, epoch: n.epoch + 1, owner: true}
	return true
}

func (w *modelState) startAppend(i int) bool {
	n := &w.nodes[i]
	if n.appends >= boundAppends || !n.leaseValid(w.now) {
		return false
	}
	n.appends++
	w.record++
	n.phase, n.start, n.unresolved = "put", w.now, false
	n.put = row{seq: n.last + 1, writer: i, epoch: n.epoch, record: w.record}
	return true
}

func (w *modelState) putRow(i int, fault string) bool {
	if fault != "" {
		if w.faults >= boundFaults {
			return false
		}
		w.faults++
	}
	n := &w.nodes[i]
	kind := model.KindUnknown
	switch fault {
	case "late":
		w.delayedRows = append(w.delayedRows, n.put)
	case "lost":
		w.insert(n.put)
	case "":
		kind = ""
		if !w.insert(n.put) {
			kind = model.KindConflict
		}
	}
	step := journal.AfterPut(kind, n.unresolved)
	n.unresolved = n.unresolved || kind == model.KindUnknown
	return w.applyStep(i, step)
}

func (w *modelState) readRow(i int) bool {
	n := &w.nodes[i]
	r, found := w.find(n.put.seq)
	return w.applyStep(i, journal.AfterRead("", found, r == n.put))
}

func (w *modelState) applyStep(i int, step journal.AppendStep) bool {
	n := &w.nodes[i]
	switch step {
	case journal.StepPut:
		n.phase = "put"
	case journal.StepRead:
		n.phase = "read"
	case journal.StepWritten:
		valid := !n.put.owner && n.leaseValid(w.now)
		return w.applyOutcome(i, ownership.AfterWrite(valid, false, false))
	default:
		w.restartFollowing(i)
	}
	return true
}

func (w *modelState) verify(i int) bool {
	follows := len(w.rows) > 0 && w.rows[len(w.rows)-1].seq > w.nodes[i].put.seq
	return w.applyOutcome(i, ownership.AfterWrite(false, true, follows))
}

func (w *modelState) applyOutcome(i int, v ownership.WriteOutcome) bool {
	n := &w.nodes[i]
	switch v {
	case ownership.WriteUnverified:
		n.phase = "verify"
	case ownership.WriteSuperseded:
		w.restartFollowing(i)
	default:
		if n.put.owner {
			n.epoch, n.owner, n.appends, n.snapshots = n.put.epoch, i+1, 0, 0
		} else {
			w.acked = append(w.acked, n.put.record)
			n.state = append(n.state, n.put.record)
		}
		n.phase, n.last, n.leaseStart = "own", n.put.seq, n.start
	}
	return true
}

// restartFollowing resets a node, which then follows from the newest snapshot in the store.
func (w *modelState) restartFollowing(i int) {
	w.nodes[i] = nodeModel{phase: "follow", leaseStart: -1, seenAt: w.now}
}

func (w *modelState) snapshot(i int) bool {
	n := &w.nodes[i]
	if n.snapshots >= boundSnapshots || !n.leaseValid(w.now) {
		return false
	}
	if k := len(w.snapshots); k > 0 && w.snapshots[k-1].seq >= n.last {
		return false
	}
	n.snapshots++
	w.snapshots = append(w.snapshots, snapshotModel{n.last, n.epoch, i + 1, slices.Clone(n.state)})
	if k := len(w.snapshots); k >= 2 {
		older := w.snapshots[k-2].seq
		w.snapshots = w.snapshots[k-2:]
		w.rows = slices.DeleteFunc(w.rows, func(r row) bool { return r.seq <= older })
	}
	return true
}

// violation returns the safety property that w violates, or "".
func (w *modelState) violation() string {
	if w.nodes[0].leaseValid(w.now) && w.nodes[1].leaseValid(w.now) {
		return "two leases are valid"
	}
	reader := w.clone()
	reader.restartFollowing(0)
	reader.follow(0)
	count := map[int]int{}
	for _, r := range reader.nodes[0].state {
		count[r]++
	}
	for _, r := range w.acked {
		if count[r] != 1 {
			return fmt.Sprintf("acknowledged record %d is applied %d times", r, count[r])
		}
	}
	for r := range maps.Values(count) {
		if r > 1 {
			return "a record is applied twice"
		}
	}
	return ""
}

// Guards against two valid leases and against lost or duplicated records in interleavings of
// owner, successor, clock, faults and truncation that the random tests do not reach.
func TestProtocolExhaustively(t *testing.T) {
	first := modelState{}
	for i := range first.nodes {
		first.restartFollowing(i)
	}
	seen := map[string]bool{}
	queue := []modelState{first}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		key := fmt.Sprint(w)
		if seen[key] {
			continue
		}
		seen[key] = true
		if fault := w.violation(); fault != "" {
			t.Fatalf("%s after %d states: %+v", fault, len(seen), w)
		}
		queue = append(queue, w.successors()...)
	}
	t.Logf("%d states", len(seen))
}
