package ownership_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/journal/journaltest"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/ownership"
)

// rapidSeed makes the property-based tests reproducible; the flag -rapid.seed overrides it.
const rapidSeed = "20260417"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	flag.Parse()
	os.Exit(m.Run())
}

const cell = model.CellID("gent-0")

// fleet is a set of nodes on one store, with the records that they have acknowledged.
type fleet struct {
	t       require.TestingT
	store   *journaltest.Store
	nodes   []*node
	started int
	warm    int // Config.WarmBytes
	cells   []model.CellID

	mu sync.Mutex
	// events holds the acquisitions in order.
	events []event
	acked  map[string]uint64 // record to sequence
	seqs   map[uint64]model.NodeID
	next   int
}

// event is one acquisition.
type event struct {
	at    time.Time
	owned *ownership.Owned
	node  *node
}

// node is one process. Its state is the records that it has applied, by sequence.
type node struct {
	f      *fleet
	id     model.NodeID
	access *journaltest.Node
	m      *ownership.Manager
	cancel context.CancelFunc
	ended  chan struct{}

	mu      sync.Mutex
	owned   *ownership.Owned
	applied map[uint64][]string
}

func newFleet(t require.TestingT, size, warm int) *fleet {
	return newCells(t, size, warm, 0, cell)
}

func newCells(t require.TestingT, size, warm int, latency time.Duration, cells ...model.CellID) *fleet {
	f := &fleet{t: t, warm: warm, cells: cells, store: journaltest.New(), acked: map[string]uint64{}, seqs: map[uint64]model.NodeID{}}
	f.store.Latency = latency
	f.mu.Lock()
	for range size {
		f.nodes = append(f.nodes, f.start())
	}
	f.mu.Unlock()
	f.setMembers()
	return f
}

func (f *fleet) start() *node {
	f.started++
	id := model.NodeID(fmt.Sprintf("n%d", f.started))
	n := &node{f: f, id: id, access: f.store.Node(string(id)), ended: make(chan struct{})}
	cfg := ownership.Config{
		Node: id, Addr: string(id), Table: n.access, Objects: n.access.Objects(), Now: n.access.Now, Seed: uint64(f.started), WarmBytes: f.warm,
	}
	require.NoError(f.t, cfg.Validate())
	n.m = ownership.New(cfg, n)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.ended)
		_ = n.m.Run(ctx)
	}()
	return n
}

func (f *fleet) setMembers() {
	var members []control.Member
	for _, n := range f.nodes {
		members = append(members, control.Member{ID: n.id, Addr: string(n.id)})
	}
	for _, n := range f.nodes {
		n.m.SetCells(f.cells, members)
	}
}

// replace crashes node i after the given number of store operations and starts a new node in its
// place.
func (f *fleet) replace(i, ops int, effect bool) {
	old := f.nodes[i]
	old.access.CrashAfter(ops, effect)
	time.Sleep(time.Duration(ops) * 100 * time.Millisecond)
	old.access.CrashAfter(0, false)
	old.cancel()
	successor := f.start()
	f.mu.Lock()
	f.nodes[i] = successor
	f.mu.Unlock()
	f.setMembers()
}

func (f *fleet) stop() {
	f.store.SetInject(nil)
	for _, n := range f.nodes {
		n.cancel()
	}
	for _, n := range f.nodes {
		<-n.ended
	}
	time.Sleep(time.Hour)
}

// Acquired applies the recovered state and checks it against the records that any owner has
// acknowledged.
func (n *node) Acquired(o *ownership.Owned) {
	n.f.mu.Lock()
	n.f.events = append(n.f.events, event{time.Now(), o, n})
	n.f.mu.Unlock()
	if o.Cell != cell {
		return
	}
	applied := map[uint64][]string{}
	if fields := strings.Fields(string(o.Snapshot)); len(fields) > 0 {
		applied[o.SnapshotSequence] = fields
	}
	for _, e := range o.Tail {
		for _, r := range e.Records {
			applied[e.Sequence] = append(applied[e.Sequence], string(r))
		}
	}
	n.f.checkState(applied)
	n.mu.Lock()
	n.owned, n.applied = o, applied
	n.mu.Unlock()
	n.f.checkOwners()
}

func (n *node) Lost(model.CellID, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owned = nil
}

func (n *node) current() *ownership.Owned {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owned
}

// checkState requires that every acknowledged record is applied exactly once.
func (f *fleet) checkState(applied map[uint64][]string) {
	count := map[string]int{}
	for _, records := range applied {
		for _, r := range records {
			count[r]++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for r, seq := range f.acked {
		if count[r] != 1 {
			f.t.Errorf("record %s, acknowledged at sequence %d, is applied %d times", r, seq, count[r])
		}
	}
	for r, c := range count {
		if c > 1 {
			f.t.Errorf("record %s is applied %d times", r, c)
		}
	}
}

// append submits one record through n's ownership in the background.
func (n *node) append(urgent bool) {
	o := n.current()
	if o == nil {
		return
	}
	n.f.mu.Lock()
	n.f.next++
	record := fmt.Sprintf("r%d", n.f.next)
	n.f.mu.Unlock()
	go func() {
		seq, err := o.Append(context.Background(), [][]byte{[]byte(record)}, urgent)
		if err != nil {
			return
		}
		n.f.acknowledge(record, seq, n.id)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.owned == o {
			n.applied[seq] = append(n.applied[seq], record)
		}
	}()
}

func (f *fleet) acknowledge(record string, seq uint64, id model.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acked[record] = seq
	if other, ok := f.seqs[seq]; ok && other != id {
		f.t.Errorf("sequence %d was accepted by %s and by %s", seq, other, id)
	}
	f.seqs[seq] = id
}

// snapshot saves n's state after the last acknowledged append.
func (n *node) snapshot() {
	synctest.Wait()
	o := n.current()
	if o == nil {
		return
	}
	n.mu.Lock()
	seq := o.Sequence
	var all []string
	for s, records := range n.applied {
		seq = max(seq, s)
		all = append(all, records...)
	}
	n.mu.Unlock()
	go func() { _ = o.SaveSnapshotAt(context.Background(), seq, []byte(strings.Join(all, " "))) }()
}

// checkOwners requires that at most one node has a valid lease on the cell.
func (f *fleet) checkOwners() {
	f.mu.Lock()
	nodes := slices.Clone(f.nodes)
	f.mu.Unlock()
	var valid []string
	for _, n := range nodes {
		if o := n.current(); o != nil && o.LeaseValid(time.Now()) {
			valid = append(valid, string(n.id))
		}
	}
	if len(valid) > 1 {
		f.t.Errorf("the leases of %v are valid at the same time", valid)
	}
}

// finish ends all faults, waits for an owner and checks the final state.
func (f *fleet) finish() {
	f.store.SetInject(nil)
	time.Sleep(2 * time.Minute)
	owners := 0
	for _, n := range f.nodes {
		if o := n.current(); o != nil && o.LeaseValid(time.Now()) {
			owners++
			n.append(true)
			time.Sleep(time.Second)
			n.mu.Lock()
			f.checkState(n.applied)
			n.mu.Unlock()
		}
	}
	if owners != 1 {
		f.t.Errorf("%d owners after recovery", owners)
	}
	f.stop()
}

// faults returns a function that draws a fault for the given percentage of operations and a
// short delay for the others.
func faults(seed uint64, percent int) func(journaltest.Op) journaltest.Fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 7))
	return func(op journaltest.Op) journaltest.Fault {
		mu.Lock()
		defer mu.Unlock()
		f := journaltest.Fault{Delay: time.Duration(random.Int64N(int64(50 * time.Millisecond)))}
		if random.IntN(100) >= percent {
			return f
		}
		switch random.IntN(6) {
		case 0:
			f.Down = true
		case 1:
			f.LoseResponse = true
		case 2:
			f.Drop = true
		case 3:
			f.Delay = time.Duration(random.Int64N(int64(12 * time.Second)))
		case 4:
			f.ResponseDelay = time.Duration(random.Int64N(int64(12 * time.Second)))
		case 5:
			if op.Name == "commit" {
				f.ApplyAfter = time.Duration(random.Int64N(int64(20 * time.Second)))
			}
		}
		return f
	}
}

// action is one drawn step of the state machine. The kind determines the meaning of the other
// fields.
type action struct {
	Kind    string
	Node    int
	N       int
	Flag    bool
	Percent int
	Seed    uint64
}

var actions = rapid.Custom(func(t *rapid.T) action {
	kinds := []string{"append", "append", "append-all", "snapshot", "pause", "crash", "release", "faults", "outage", "heal", "wait", "wait"}
	return action{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Node: rapid.IntRange(0, 3).Draw(t, "node"),
		N: rapid.IntRange(0, 20_000).Draw(t, "n"), Flag: rapid.Bool().Draw(t, "flag"),
		Percent: rapid.IntRange(0, 60).Draw(t, "percent"), Seed: rapid.Uint64().Draw(t, "seed"),
	}
})

func (f *fleet) perform(a action) {
	i := a.Node % len(f.nodes)
	n := f.nodes[i]
	switch a.Kind {
	case "append":
		n.append(a.Flag)
	case "append-all":
		for _, n := range f.nodes {
			n.append(true)
		}
	case "snapshot":
		n.snapshot()
	case "pause":
		n.access.Pause(time.Duration(a.N) * time.Millisecond)
	case "crash":
		f.replace(i, a.N%12, a.Flag)
	case "release":
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = n.m.Release(ctx)
		f.replace(i, 0, false)
	case "faults":
		f.store.SetInject(faults(a.Seed, a.Percent))
	case "outage":
		f.store.SetInject(func(journaltest.Op) journaltest.Fault { return journaltest.Fault{Down: true} })
	case "heal":
		f.store.SetInject(nil)
	case "wait":
		time.Sleep(time.Duration(a.N) * time.Millisecond)
	}
	synctest.Wait()
	f.checkOwners()
}

// failures collects the errors of a run inside a synctest bubble.
type failures struct {
	mu    sync.Mutex
	found []string
}

func (r *failures) Errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = append(r.found, fmt.Sprintf(format, args...))
}

func (r *failures) FailNow() { panic("not used") }

// Guards against two nodes that write the same sequence or hold valid leases at the same time,
// and against acknowledged records that are lost or applied twice. The faults are crashes,
// pauses longer than the lease, lost and late responses, store outages, and truncation.
func TestOwnershipStateMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 4).Draw(rt, "nodes")
		warm := rapid.SampledFrom([]int{0, 400}).Draw(rt, "warm")
		script := rapid.SliceOfN(actions, 5, 60).Draw(rt, "script")
		var found failures
		synctest.Test(t, func(*testing.T) {
			f := newFleet(&found, size, warm)
			time.Sleep(time.Second)
			for _, a := range script {
				f.perform(a)
			}
			f.finish()
		})
		if len(found.found) > 0 {
			rt.Fatalf("%s", strings.Join(found.found, "\n"))
		}
	})
}

// Guards against a snapshot that carries a later owner's epoch at a sequence before its acquire
// record. No node could follow the journal after such a snapshot.
func TestSnapshotBeforeAcquireIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 0)
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			if o := n.current(); o != nil {
				err := o.SaveSnapshotAt(t.Context(), o.Sequence-1, nil)
				require.Equal(t, model.KindInvalid, model.KindOf(err))
				require.NoError(t, o.SaveSnapshot(t.Context(), nil))
			}
		}
		f.finish()
	})
}

// Guards against a successor whose recovered state misses rows, either because they were
// truncated or because the state was too large to be kept in memory.
func TestTakeOverRecoversTail(t *testing.T) {
	for _, warm := range []int{0, 300} {
		synctest.Test(t, func(t *testing.T) { takeOver(t, warm) })
	}
}

func takeOver(t *testing.T, warm int) {
	f := newFleet(t, 3, warm)
	time.Sleep(time.Second)
	for i := range 20 {
		for _, n := range f.nodes {
			n.append(false)
		}
		time.Sleep(500 * time.Millisecond)
		if i%5 == 2 {
			for _, n := range f.nodes {
				n.snapshot()
			}
		}
	}
	log := journal.New(f.store.Node("reader"), ownership.Partition(cell))
	entries, err := log.Read(t.Context(), 1, 100)
	require.NoError(t, err)
	require.Greater(t, entries[0].Sequence, uint64(1), "the journal was truncated")
	for i, n := range f.nodes {
		if n.current() != nil {
			f.replace(i, 0, false)
			break
		}
	}
	time.Sleep(10 * time.Second)
	f.finish()
	require.Len(t, f.acked, 21)
}

// Guards against an owner whose lease is still valid after its release record is durable but
// before the response arrives. A successor may acquire the cell in that time.
func TestReleaseEndsLeaseFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 0)
		time.Sleep(time.Second)
		var old *node
		for _, n := range f.nodes {
			if n.current() != nil {
				old = n
			}
		}
		f.store.SetInject(func(op journaltest.Op) (fault journaltest.Fault) {
			if op.Node == string(old.id) && op.Write {
				fault.ResponseDelay = 3 * time.Second
			}
			return fault
		})
		require.NoError(t, old.m.Release(t.Context()))
		f.finish()
	})
}
