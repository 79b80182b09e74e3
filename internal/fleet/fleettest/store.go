// Package fleettest simulates the dependencies of package fleet in one process: the store,
// the workers and the network between nodes. The simulations follow the contracts of the
// interfaces, inject the faults that a test sets, and run in virtual time.
package fleettest

import (
	"context"
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Fault is how the store fails for one node.
type Fault int

// Faults of the store.
const (
	// Healthy means that calls are answered.
	Healthy Fault = iota
	// Silent means that calls have no effect and get no answer.
	Silent
	// Busy means that calls have no effect and fail at once.
	Busy
	// Resetting means that connections are reset at once; the caller cannot know that its call
	// had no effect.
	Resetting
)

// Store simulates the table service. Nodes call it through a View each, so that faults can
// differ between nodes.
type Store struct {
	reads, writes atomic.Int64 // number of calls
	mu            sync.Mutex
	rows          map[fleet.RowID]fleet.Row
	version       uint64
	// history holds the changes that watches return; horizon is the version before the first.
	history []fleet.Row
	horizon uint64
	changed chan struct{}
	// watchLimit bounds the rows of an answer to a watch; 0 means no bound.
	watchLimit int
	startedAt  time.Time
	random     *rand.Rand

	// Latency is the time until a read is answered; a transaction takes twice as long.
	Latency time.Duration
	// lostShare is the share of transactions that are applied without an answer.
	lostShare float64
	// lateShare is the share of transactions that get no answer and are applied one to four
	// seconds later, if their expectations still hold.
	lateShare float64
	// Transactions counts applied transactions.
	Transactions int
}

// NewStore returns an empty store.
func NewStore(seed uint64) *Store {
	return &Store{
		rows: map[fleet.RowID]fleet.Row{}, changed: make(chan struct{}), startedAt: time.Now(),
		random: rand.New(rand.NewPCG(seed, 1)), Latency: 4 * time.Millisecond,
	}
}

// SetTransactionFaults sets the share of transactions whose answer is lost, and the share of
// those that are applied late.
func (s *Store) SetTransactionFaults(lost, late float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostShare, s.lateShare = lost, late
}

// SetLatency sets the time until a read is answered.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Latency = d
}

func (s *Store) latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Latency
}

// Compact drops the history, so that watches fail and their callers must read the table
// again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.horizon = nil, s.version
	s.wake()
}

// wake wakes waiting watches. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row unconditionally, as writers other than the nodes do.
func (s *Store) Put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyTransaction(fleet.Transaction{Puts: []fleet.Row{{RowID: fleet.RowID{Table: table, Part: part, Key: key}, Value: value}}})
}

// Delete removes a row unconditionally, as writers other than the nodes do.
func (s *Store) Delete(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyTransaction(fleet.Transaction{Delete: []fleet.RowID{{Table: table, Part: part, Key: key}}})
}

// Rows returns the rows of a table, sorted by key.
func (s *Store) Rows(table string) []fleet.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectRows(func(id fleet.RowID) bool { return id.Table == table })
}

func (s *Store) selectRows(match func(fleet.RowID) bool) []fleet.Row {
	var rows []fleet.Row
	for id, row := range s.rows {
		if match(id) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// applyTransaction applies a transaction, or returns the conflict. The lock is held.
func (s *Store) applyTransaction(tx fleet.Transaction) error {
	var present []fleet.Row
	failed := false
	for _, e := range tx.Expect {
		row, ok := s.rows[e.RowID]
		if ok {
			present = append(present, row)
		}
		if row.Version != e.Version {
			failed = true
		}
	}
	if failed {
		return &fleet.ConflictError{Rows: present}
	}
	s.version++
	s.Transactions++
	for _, p := range tx.Puts {
		row := fleet.Row{RowID: p.RowID, Value: append([]byte(nil), p.Value...), Version: s.version}
		s.rows[p.RowID] = row
		s.history = append(s.history, row)
	}
	for _, id := range tx.Delete {
		if _, ok := s.rows[id]; ok {
			delete(s.rows, id)
			s.history = append(s.history, fleet.Row{RowID: id, Version: s.version, Removed: true})
		}
	}
	s.wake()
	return nil
}

// Calls returns the numbers of reads and writes that were sent to the store.
func (s *Store) Calls() (reads, writes int64) { return s.reads.Load(), s.writes.Load() }

// View implements fleet.Store for one node, with its own faults.
type View struct {
	store *Store
	mu    sync.Mutex
	fault Fault
	delay time.Duration
	// transferTime is how long the answer to a read occupies the node's link, which carries
	// one answer at a time.
	transferTime time.Duration
	link         chan struct{}
	// hostLink is the node's link. It carries the answers to all calls, and what opens a connection for
	// each.
	hostLink *hostLink
	// readLoss is the share of reads whose answer is lost.
	readLoss float64
	// refusedTable is a table of which writes are refused; empty for none.
	refusedTable string
	// silentPart is a part of which calls have no effect and get no answer; empty for none.
	silentPart string
	// silentReads are tables of which reads and watches get no answer.
	silentReads []string
}

// View returns a new view of the store.
func (s *Store) View() *View { return s.viewOver(&hostLink{}) }

// viewOver returns a new view over a node's link.
func (s *Store) viewOver(l *hostLink) *View {
	return &View{store: s, link: make(chan struct{}, 1), hostLink: l}
}

// answerOverhead is the size of an answer and of a row in it beside the values, in bytes.
const answerOverhead = 150

// transfer waits until an answer with rows has come over the link, or ctx ends.
func (v *View) transfer(ctx context.Context, rows []fleet.Row) error {
	if v.hostLink.bytesPerSecond == 0 {
		return nil
	}
	return v.hostLink.transfer(ctx, answerBytes(rows))
}

// SetFault changes the fault of the view.
func (v *View) SetFault(f Fault) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fault = f
}

// SetDelay delays each answer by d.
func (v *View) SetDelay(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = d
}

// RefuseWrites makes transactions that write to a table fail without effect.
func (v *View) RefuseWrites(table string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refusedTable = table
}

// SilencePart makes calls about a part, but for watches, have no effect and get no answer; empty for none.
func (v *View) SilencePart(part string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silentPart = part
}

// awaitPart returns at once unless the part is silent, else an error when ctx ends.
func (v *View) awaitPart(ctx context.Context, part string) error {
	v.mu.Lock()
	silent := v.silentPart != "" && v.silentPart == part
	v.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return unknown(ctx.Err())
}

// SilenceReads makes reads and watches of some tables get no answer, and those of all others get theirs
// again.
func (v *View) SilenceReads(tables ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silentReads = tables
}

// awaitTable returns at once unless reads of the table are silent, else an error when ctx ends.
func (v *View) awaitTable(ctx context.Context, table string) error {
	v.mu.Lock()
	silent := slices.Contains(v.silentReads, table)
	v.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return unknown(ctx.Err())
}

func (v *View) refuses(tx fleet.Transaction) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(tx.Puts, func(r fleet.Row) bool { return r.Table == v.refusedTable })
}

// SetReadTransferTime transfers the answers to reads one after the other, each in d.
func (v *View) SetReadTransferTime(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.transferTime = d
}

// SetReadLoss loses the answers to a share of the reads.
func (v *View) SetReadLoss(share float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readLoss = share
}

// receiveAnswer simulates the transfer of the answer to a read.
func (v *View) receiveAnswer(ctx context.Context) error {
	v.mu.Lock()
	transferTime, lost := v.transferTime, v.readLoss
	v.mu.Unlock()
	v.store.mu.Lock()
	lose := lost > 0 && v.store.random.Float64() < lost
	v.store.mu.Unlock()
	if lose {
		<-ctx.Done()
		return unknown(ctx.Err())
	}
	if transferTime == 0 {
		return nil
	}
	v.link <- struct{}{} // the answer to an abandoned call still occupies the link
	time.Sleep(transferTime)
	<-v.link
	if ctx.Err() != nil {
		return unknown(ctx.Err())
	}
	return nil
}

func (v *View) faultAndDelay() (Fault, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fault, v.delay
}

func unknown(err error) error {
	return model.Wrap(model.KindUnknown, err, "repeat the call", "no answer")
}

var errReset = errors.New("connection reset")

var errBusy = model.Errorf(model.KindUnavailable, "retry later", "store is down")

// delayOrFail waits for the given multiple of the latency plus the view's delay, or fails
// according to the view's fault.
func (v *View) delayOrFail(ctx context.Context, times int) error {
	fault, delay := v.faultAndDelay()
	switch fault {
	case Busy:
		return errBusy
	case Silent:
		<-ctx.Done()
		return unknown(ctx.Err())
	case Resetting:
		return unknown(errReset)
	}
	if err := v.transfer(ctx, nil); err != nil { // of a new connection
		return err
	}
	return sleep(ctx, time.Duration(times)*v.store.latency()+delay)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return unknown(ctx.Err())
	}
}

// Limits of a transaction; its body holds the values as base64.
const (
	maxEntries   = 100
	maxBodyBytes = 1_000_000
	maxNameBytes = 200
	rowBytes     = 65536
)

// checkLimits returns an error if the store must refuse a transaction for its size.
func checkLimits(tx fleet.Transaction) error {
	entries, body := len(tx.Expect)+len(tx.Puts)+len(tx.Delete), 0
	ids := slices.Clone(tx.Delete)
	for _, row := range tx.Puts {
		ids = append(ids, row.RowID)
		body += base64.StdEncoding.EncodedLen(len(row.Value))
		if len(row.Value) > rowBytes {
			return model.Errorf(model.KindInvalid, "store less in a row", "row %q of %d bytes", row.Key, len(row.Value))
		}
	}
	for _, id := range ids {
		body += len(id.Table) + len(id.Part) + len(id.Key)
		if max(len(id.Table), len(id.Part), len(id.Key)) > maxNameBytes {
			return model.Errorf(model.KindInvalid, "use shorter names", "row %q", id.Key)
		}
	}
	if entries > maxEntries || body > maxBodyBytes {
		return model.Errorf(model.KindInvalid, "store less at once", "transaction of %d entries and %d bytes", entries, body)
	}
	return nil
}

// Commit implements fleet.Store.
func (v *View) Commit(ctx context.Context, tx fleet.Transaction) (fleet.Commit, error) {
	v.store.writes.Add(1)
	if err := v.delayOrFail(ctx, 2); err != nil {
		return fleet.Commit{}, err
	}
	if len(tx.Puts) > 0 {
		if err := v.awaitPart(ctx, tx.Puts[0].Part); err != nil {
			return fleet.Commit{}, err
		}
	}
	if v.refuses(tx) {
		return fleet.Commit{}, errBusy
	}
	if err := checkLimits(tx); err != nil {
		return fleet.Commit{}, err
	}
	s := v.store
	s.mu.Lock()
	lost, late := s.random.Float64() < s.lostShare, s.random.Float64() < s.lateShare
	delay := time.Second + time.Duration(s.random.Int64N(int64(3*time.Second)))
	if late {
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = s.applyTransaction(tx) // a conflict is not reported, as the call got no answer
		})
		s.mu.Unlock()
		<-ctx.Done()
		return fleet.Commit{}, unknown(ctx.Err())
	}
	err := s.applyTransaction(tx)
	version := s.version
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return fleet.Commit{}, unknown(ctx.Err())
	}
	if err := v.transfer(ctx, nil); err != nil {
		return fleet.Commit{}, err
	}
	return fleet.Commit{Version: version, Now: time.Since(s.startedAt)}, err
}

// List implements fleet.Store.
func (v *View) List(ctx context.Context, table, part, from, to string, limit int) (fleet.Page, error) {
	v.store.reads.Add(1)
	if err := v.delayOrFail(ctx, 1); err != nil {
		return fleet.Page{}, err
	}
	if err := v.awaitPart(ctx, part); err != nil {
		return fleet.Page{}, err
	}
	if err := v.awaitTable(ctx, table); err != nil {
		return fleet.Page{}, err
	}
	if err := v.receiveAnswer(ctx); err != nil {
		return fleet.Page{}, err
	}
	page := v.store.page(table, part, from, to, limit)
	return page, v.transfer(ctx, page.Rows)
}

func (s *Store) page(table, part, from, to string, limit int) fleet.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selectRows(func(id fleet.RowID) bool {
		return id.Table == table && id.Part == part && id.Key >= from && (to == "" || id.Key < to)
	})
	more := limit > 0 && len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	return fleet.Page{Rows: rows, More: more, Version: s.version, Now: time.Since(s.startedAt)}
}

// Watch implements fleet.Store.
func (v *View) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (fleet.Page, error) {
	v.store.reads.Add(1)
	if err := v.delayOrFail(ctx, 1); err != nil {
		return fleet.Page{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := v.awaitTable(ctx, table); err != nil {
			return fleet.Page{}, err
		}
		page, changed, err := v.store.changes(table, after)
		if err != nil || len(page.Rows) > 0 {
			if _, delay := v.faultAndDelay(); delay > 0 {
				if err := sleep(ctx, delay); err != nil {
					return fleet.Page{}, err
				}
			}
			if err != nil {
				return page, err
			}
			return page, v.transfer(ctx, page.Rows)
		}
		select {
		case <-changed:
		case <-deadline.C:
			if err := v.awaitTable(ctx, table); err != nil {
				return fleet.Page{}, err
			}
			if fault, _ := v.faultAndDelay(); fault == Resetting {
				return fleet.Page{}, unknown(errReset)
			}
			return page, nil
		case <-ctx.Done():
			return fleet.Page{}, unknown(ctx.Err())
		}
		switch fault, _ := v.faultAndDelay(); fault {
		case Silent:
			<-ctx.Done()
			return fleet.Page{}, unknown(ctx.Err())
		case Resetting:
			return fleet.Page{}, unknown(errReset)
		}
	}
}

// SetWatchLimit bounds the rows of an answer to a watch.
func (s *Store) SetWatchLimit(rows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchLimit = rows
}

func (s *Store) changes(table string, after uint64) (fleet.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.horizon {
		return fleet.Page{}, nil, model.Errorf(model.KindStale, "read the table again", "history is gone")
	}
	page := fleet.Page{Version: s.version, Now: time.Since(s.startedAt)}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, row := range s.history[first:] {
		if row.Table == table {
			page.Rows = append(page.Rows, row)
			if len(page.Rows) == s.watchLimit {
				page.Version = row.Version
				break
			}
		}
	}
	return page, s.changed, nil
}

// ErrUnreachable is the cause of calls that got no answer.
var ErrUnreachable = errors.New("unreachable")
