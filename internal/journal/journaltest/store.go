// Package journaltest provides an in-memory table service and object store for tests,
// with fault injection, operation counters, and nodes that can be paused or crashed.
// Inside testing/synctest all delays use virtual time.
package journaltest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Op describes an operation to the fault hook.
type Op struct {
	Node  string
	Name  string
	Key   external.Key
	Write bool
}

// Fault changes the outcome of one operation. The zero value changes nothing.
type Fault struct {
	// Down makes the operation fail with KindUnavailable without taking effect.
	Down bool
	// Drop makes the operation fail with KindUnknown without taking effect.
	Drop bool
	// LoseResponse makes the operation take effect and fail with KindUnknown.
	LoseResponse bool
	// ApplyAfter makes the operation fail with KindUnknown immediately and take
	// effect after this delay.
	ApplyAfter time.Duration
	// Delay is the delay before the operation takes effect.
	Delay time.Duration
	// ResponseDelay is the delay between the effect and the response.
	ResponseDelay time.Duration
	// StaleCommits is the number of latest commits that a read does not see.
	StaleCommits int
}

// Store holds the data of both services. Use New to create one.
type Store struct {
	mu      sync.Mutex
	rows    map[string]*partition
	objects map[string][]byte
	commits uint64
	reads   int
	writes  int
	// Latency is the delay before each operation takes effect. It must be set before
	// the first operation.
	Latency time.Duration
	// MaxRangeRows, if set, limits the rows that one range returns, in addition to
	// the limit of the request.
	MaxRangeRows int
	inject       func(Op) Fault
}

type partition struct {
	rowNames []string
	rows     map[string]storedRow
}

type storedRow struct {
	external.Row
	commit uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]*partition{}, objects: map[string][]byte{}}
}

// SetInject sets the hook that returns the fault of each operation; nil removes it.
func (s *Store) SetInject(hook func(Op) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject = hook
}

// Counts returns the numbers of reads and writes.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Corrupt inverts a byte in the middle of an object.
func (s *Store) Corrupt(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := slices.Clone(s.objects[name])
	data[len(data)/2] ^= 0xff
	s.objects[name] = data
}

// Node is the store client of one process. It implements external.Table; Objects
// returns its external.Objects.
type Node struct {
	store *Store
	name  string

	mu          sync.Mutex
	pausedUntil time.Time
	// opsUntilCrash is the number of operations that complete before the process
	// crashes; a negative number means never. If lastOpApplies is set, the operation
	// during the crash still takes effect.
	opsUntilCrash int
	lastOpApplies bool
}

// Node returns the store client of the named process.
func (s *Store) Node(name string) *Node { return &Node{store: s, name: name, opsUntilCrash: -1} }

// CrashAfter lets the process complete ops more operations. The next operation fails,
// but takes effect if lastOpApplies is set. All later operations fail.
func (n *Node) CrashAfter(ops int, lastOpApplies bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opsUntilCrash, n.lastOpApplies = ops, lastOpApplies
}

// countTowardCrash counts an operation. It returns whether the process has crashed and
// whether the operation takes effect.
func (n *Node) countTowardCrash() (dead, effect bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.opsUntilCrash < 0 {
		return false, true
	}
	if n.opsUntilCrash > 0 {
		n.opsUntilCrash--
		return false, true
	}
	effect, n.lastOpApplies = n.lastOpApplies, false
	return true, effect
}

// Pause suspends the process for d: calls of Now and operations block.
func (n *Node) Pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

// Now returns the time of the process's monotonic clock.
func (n *Node) Now() time.Time {
	n.waitPaused()
	return time.Now()
}

func (n *Node) waitPaused() {
	n.mu.Lock()
	until := n.pausedUntil
	n.mu.Unlock()
	if wait := time.Until(until); wait > 0 {
		time.Sleep(wait)
	}
}

// do runs one operation with the fault that the hook returns. The process may be paused
// before the operation is sent and before its response is received.
func (n *Node) do(ctx context.Context, op Op, effect func(Fault) error) error {
	n.waitPaused()
	defer n.waitPaused()
	op.Node = n.name
	fault := n.store.nextFault(op)
	if dead, takesEffect := n.countTowardCrash(); dead {
		if takesEffect && !fault.Down && !fault.Drop {
			_ = effect(fault)
		}
		return model.Errorf(model.KindUnknown, "", "the process has crashed")
	}
	if fault.Down {
		return model.Errorf(model.KindUnavailable, "retry", "injected outage of %s", op.Name)
	}
	unknown := model.Errorf(model.KindUnknown, "read", "injected loss of %s", op.Name)
	if fault.Drop {
		return unknown
	}
	if fault.ApplyAfter > 0 {
		time.AfterFunc(fault.ApplyAfter, func() { _ = effect(fault) })
		return unknown
	}
	if d := fault.Delay + n.store.Latency; d > 0 {
		time.Sleep(d)
	}
	if ctx.Err() != nil {
		return model.Wrap(model.KindUnknown, ctx.Err(), "read", "%s", op.Name)
	}
	err := effect(fault)
	time.Sleep(fault.ResponseDelay)
	if fault.LoseResponse {
		return unknown
	}
	return err
}

func (s *Store) nextFault(op Op) Fault {
	s.mu.Lock()
	if op.Write {
		s.writes++
	} else {
		s.reads++
	}
	inject := s.inject
	s.mu.Unlock()
	if inject == nil {
		return Fault{}
	}
	return inject(op)
}

// Commit implements external.Table.
func (n *Node) Commit(ctx context.Context, writes ...external.Write) error {
	op := Op{Name: "commit", Key: writes[0].Key, Write: true}
	return n.do(ctx, op, func(Fault) error { return n.store.commit(writes) })
}

func (s *Store) commit(writes []external.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		row, ok := s.part(w.Key.Partition).rows[w.Key.Row]
		if (w.Condition.Absent && ok) || (w.Condition.Version > 0 && row.Version != w.Condition.Version) {
			return model.Errorf(model.KindConflict, "read", "row %v: condition failed", w.Key)
		}
	}
	s.commits++
	for _, w := range writes {
		s.part(w.Key.Partition).put(w, s.commits)
	}
	return nil
}

func (s *Store) part(name string) *partition {
	p := s.rows[name]
	if p == nil {
		p = &partition{rows: map[string]storedRow{}}
		s.rows[name] = p
	}
	return p
}

func (p *partition) put(w external.Write, commit uint64) {
	i, found := slices.BinarySearch(p.rowNames, w.Key.Row)
	if w.Delete {
		delete(p.rows, w.Key.Row)
		if found {
			p.rowNames = slices.Delete(p.rowNames, i, i+1)
		}
		return
	}
	version := p.rows[w.Key.Row].Version + 1
	p.rows[w.Key.Row] = storedRow{Row: external.Row{Key: w.Key, Value: w.Value, Version: version}, commit: commit}
	if !found {
		p.rowNames = slices.Insert(p.rowNames, i, w.Key.Row)
	}
}

// Get implements external.Table.
func (n *Node) Get(ctx context.Context, key external.Key) (row external.Row, err error) {
	err = n.do(ctx, Op{Name: "get", Key: key}, func(f Fault) error {
		n.store.mu.Lock()
		defer n.store.mu.Unlock()
		r, ok := n.store.part(key.Partition).rows[key.Row]
		if !ok || r.commit+uint64(f.StaleCommits) > n.store.commits {
			return model.Errorf(model.KindNotFound, "", "no row %v", key)
		}
		row = r.Row
		return nil
	})
	return row, err
}

// Range implements external.Table.
func (n *Node) Range(ctx context.Context, partition, from string, limit int) (rows []external.Row, err error) {
	err = n.do(ctx, Op{Name: "range", Key: external.Key{Partition: partition, Row: from}}, func(f Fault) error {
		n.store.mu.Lock()
		defer n.store.mu.Unlock()
		if n.store.MaxRangeRows > 0 {
			limit = min(limit, n.store.MaxRangeRows)
		}
		p := n.store.part(partition)
		i, _ := slices.BinarySearch(p.rowNames, from)
		for ; i < len(p.rowNames) && len(rows) < limit; i++ {
			if r := p.rows[p.rowNames[i]]; r.commit+uint64(f.StaleCommits) <= n.store.commits {
				rows = append(rows, r.Row)
			}
		}
		return nil
	})
	return rows, err
}

// Objects returns the process's access to the object store.
func (n *Node) Objects() external.Objects { return objects{n} }

type objects struct{ n *Node }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	op := Op{Name: "object-put", Key: external.Key{Row: name}, Write: true}
	return o.withObjects(ctx, op, func(m map[string][]byte) error {
		m[name] = slices.Clone(data)
		return nil
	})
}

func (o objects) Get(ctx context.Context, name string) (data []byte, err error) {
	err = o.withObjects(ctx, Op{Name: "object-get", Key: external.Key{Row: name}}, func(m map[string][]byte) error {
		var ok bool
		if data, ok = m[name]; !ok {
			return model.Errorf(model.KindNotFound, "", "no object %s", name)
		}
		return nil
	})
	return data, err
}

func (o objects) List(ctx context.Context, prefix string) (names []string, err error) {
	err = o.withObjects(ctx, Op{Name: "object-list", Key: external.Key{Row: prefix}}, func(m map[string][]byte) error {
		for name := range m {
			if strings.HasPrefix(name, prefix) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}

func (o objects) Delete(ctx context.Context, name string) error {
	op := Op{Name: "object-delete", Key: external.Key{Row: name}, Write: true}
	return o.withObjects(ctx, op, func(m map[string][]byte) error {
		delete(m, name)
		return nil
	})
}

func (o objects) withObjects(ctx context.Context, op Op, effect func(map[string][]byte) error) error {
	return o.n.do(ctx, op, func(Fault) error {
		o.n.store.mu.Lock()
		defer o.n.store.mu.Unlock()
		return effect(o.n.store.objects)
	})
}
