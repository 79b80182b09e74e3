// Package journaltest is an in-memory table service and object store for tests,
// with fault injection, counted operations and nodes that can be paused. Inside
// testing/synctest all its delays pass in virtual time.
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

// Op is an operation as the fault hook sees it.
type Op struct {
	Node  string
	Name  string
	Key   external.Key
	Write bool
}

// Fault changes the outcome of one operation. The zero value changes nothing.
type Fault struct {
	// Down returns KindUnavailable without any effect.
	Down bool
	// Drop returns KindUnknown without any effect.
	Drop bool
	// Lost takes effect and returns KindUnknown.
	Lost bool
	// Late returns KindUnknown at once and takes effect after this time.
	Late time.Duration
	// Delay passes before the operation takes effect.
	Delay time.Duration
	// Answer passes between the effect and the answer.
	Answer time.Duration
	// Stale hides the last commits from a read.
	Stale int
}

// Store is the service. Its zero value is not usable; call New.
type Store struct {
	mu      sync.Mutex
	rows    map[string]*partition
	objects map[string][]byte
	commits uint64
	reads   int
	writes  int
	// Latency passes before each operation. Set it before the first one.
	Latency time.Duration
	// Page, when set, bounds the rows of one range, whatever its limit.
	Page   int
	inject func(Op) Fault
}

type partition struct {
	names []string
	rows  map[string]stored
}

type stored struct {
	external.Row
	commit uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]*partition{}, objects: map[string][]byte{}}
}

// SetInject sets the hook that chooses the fault of each operation; nil removes it.
func (s *Store) SetInject(hook func(Op) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inject = hook
}

// Counts returns the operations so far.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Corrupt flips a byte in the middle of an object.
func (s *Store) Corrupt(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := slices.Clone(s.objects[name])
	data[len(data)/2] ^= 0xff
	s.objects[name] = data
}

// Node is one process's access to the store. It implements external.Table;
// Objects returns its external.Objects.
type Node struct {
	store *Store
	name  string

	mu    sync.Mutex
	until time.Time
	// left is the number of operations until the process crashes; negative for
	// never. With lastEffect the last one still takes effect.
	left       int
	lastEffect bool
}

// Node returns the access of the named process.
func (s *Store) Node(name string) *Node { return &Node{store: s, name: name, left: -1} }

// CrashAfter lets the process finish ops more operations. The one after these
// takes effect when lastEffect is set, but its answer and all that follow fail.
func (n *Node) CrashAfter(ops int, lastEffect bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.left, n.lastEffect = ops, lastEffect
}

// crash counts an operation down and returns whether the process is dead, and
// whether this operation was its last and takes effect.
func (n *Node) crash() (dead, effect bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.left < 0 {
		return false, true
	}
	if n.left > 0 {
		n.left--
		return false, true
	}
	effect, n.lastEffect = n.lastEffect, false
	return true, effect
}

// Pause stops the process for d: its clock readings and operations wait.
func (n *Node) Pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.until = time.Now().Add(d)
}

// Now is the process's monotonic clock.
func (n *Node) Now() time.Time {
	n.waitPaused()
	return time.Now()
}

func (n *Node) waitPaused() {
	n.mu.Lock()
	until := n.until
	n.mu.Unlock()
	if wait := time.Until(until); wait > 0 {
		time.Sleep(wait)
	}
}

// do runs one operation under the fault that the hook chooses. The process may
// be paused before the operation is sent and before its answer is seen.
func (n *Node) do(ctx context.Context, op Op, effect func(Fault) error) error {
	n.waitPaused()
	defer n.waitPaused()
	op.Node = n.name
	fault := n.store.count(op)
	if dead, takesEffect := n.crash(); dead {
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
	if fault.Late > 0 {
		time.AfterFunc(fault.Late, func() { _ = effect(fault) })
		return unknown
	}
	if d := fault.Delay + n.store.Latency; d > 0 {
		time.Sleep(d)
	}
	if ctx.Err() != nil {
		return model.Wrap(model.KindUnknown, ctx.Err(), "read", "%s", op.Name)
	}
	err := effect(fault)
	time.Sleep(fault.Answer)
	if fault.Lost {
		return unknown
	}
	return err
}

func (s *Store) count(op Op) Fault {
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
		p = &partition{rows: map[string]stored{}}
		s.rows[name] = p
	}
	return p
}

func (p *partition) put(w external.Write, commit uint64) {
	i, found := slices.BinarySearch(p.names, w.Key.Row)
	if w.Delete {
		delete(p.rows, w.Key.Row)
		if found {
			p.names = slices.Delete(p.names, i, i+1)
		}
		return
	}
	version := p.rows[w.Key.Row].Version + 1
	p.rows[w.Key.Row] = stored{Row: external.Row{Key: w.Key, Value: w.Value, Version: version}, commit: commit}
	if !found {
		p.names = slices.Insert(p.names, i, w.Key.Row)
	}
}

// Get implements external.Table.
func (n *Node) Get(ctx context.Context, key external.Key) (row external.Row, err error) {
	err = n.do(ctx, Op{Name: "get", Key: key}, func(f Fault) error {
		n.store.mu.Lock()
		defer n.store.mu.Unlock()
		r, ok := n.store.part(key.Partition).rows[key.Row]
		if !ok || r.commit+uint64(f.Stale) > n.store.commits {
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
		if n.store.Page > 0 {
			limit = min(limit, n.store.Page)
		}
		p := n.store.part(partition)
		i, _ := slices.BinarySearch(p.names, from)
		for ; i < len(p.names) && len(rows) < limit; i++ {
			if r := p.rows[p.names[i]]; r.commit+uint64(f.Stale) <= n.store.commits {
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
	return o.locked(ctx, op, func(m map[string][]byte) error {
		m[name] = slices.Clone(data)
		return nil
	})
}

func (o objects) Get(ctx context.Context, name string) (data []byte, err error) {
	err = o.locked(ctx, Op{Name: "object-get", Key: external.Key{Row: name}}, func(m map[string][]byte) error {
		var ok bool
		if data, ok = m[name]; !ok {
			return model.Errorf(model.KindNotFound, "", "no object %s", name)
		}
		return nil
	})
	return data, err
}

func (o objects) List(ctx context.Context, prefix string) (names []string, err error) {
	err = o.locked(ctx, Op{Name: "object-list", Key: external.Key{Row: prefix}}, func(m map[string][]byte) error {
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
	return o.locked(ctx, op, func(m map[string][]byte) error {
		delete(m, name)
		return nil
	})
}

func (o objects) locked(ctx context.Context, op Op, effect func(map[string][]byte) error) error {
	return o.n.do(ctx, op, func(Fault) error {
		o.n.store.mu.Lock()
		defer o.n.store.mu.Unlock()
		return effect(o.n.store.objects)
	})
}
