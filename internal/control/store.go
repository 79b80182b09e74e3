package control

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/journal"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Partition is the table partition of the control journal.
const Partition = "control"

// FreshnessBound is the confirmed age of the view above which a node sends no starts.
const FreshnessBound = 2 * time.Second

// Config configures a Store.
type Config struct {
	// Node is the node's ID. It also seeds the jitter.
	Node model.NodeID
	// Table stores the journal. Required.
	Table external.Table
	// Objects stores snapshots and declaration texts above 64 KiB. Required.
	Objects external.Objects
	// Decode decodes and validates the text of a declaration. Required.
	Decode func(text string) (*declaration.Declaration, error)
	// Now returns the local monotonic time. The default is time.Now.
	Now func() time.Time
	// CheckEvery is the interval between two checks of the store by all members together.
	// With n members and the default of 1s, each node checks every n seconds while peers
	// keep its view confirmed.
	CheckEvery time.Duration
	// CheckAge is the confirmed age at which a node checks the store itself. It must leave
	// time for one read before FreshnessBound is reached. The default is 1.7s.
	CheckAge time.Duration
	// CacheEntries and CacheBytes limit the recent entries cached for peers. The defaults
	// are 1024 and 4 MiB.
	CacheEntries int
	CacheBytes   int
	// OnChange, when set, is called after the view has moved to a higher sequence.
	OnChange func(*View)
	// OnError, when set, is called after each failed check of the store. It should log the
	// error, because a view that cannot be refreshed becomes stale and blocks starts.
	OnError func(error)
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.CheckEvery <= 0 {
		c.CheckEvery = time.Second
	}
	if c.CheckAge <= 0 {
		c.CheckAge = 1700 * time.Millisecond
	}
	if c.CacheEntries <= 0 {
		c.CacheEntries = 1024
	}
	if c.CacheBytes <= 0 {
		c.CacheBytes = 4 << 20
	}
	return c
}

// Entry is a record with its sequence in the control journal.
type Entry struct {
	Sequence uint64 `json:"sequence"`
	Record   Record `json:"record"`
}

// Store is a node's copy of the control journal. The sequence of its view never decreases.
// It is safe for concurrent use.
type Store struct {
	cfg  Config
	log  *journal.Log
	view atomic.Pointer[View]

	checksOK     atomic.Uint64
	checksFailed atomic.Uint64

	mu     sync.Mutex
	state  *state
	recent []Entry
	// recentBytes is the estimated memory used by recent.
	recentBytes int
	// snapshotDue is set when this node has appended a record after which a snapshot is to
	// be saved.
	snapshotDue bool
}

// NewStore returns a store with an empty, unconfirmed view.
func NewStore(cfg Config) *Store {
	cfg = cfg.withDefaults()
	s := &Store{
		cfg:   cfg,
		log:   journal.New(cfg.Table, Partition),
		state: newState(),
	}
	s.view.Store(s.state.view)
	return s
}

// View returns the current view. It is never nil.
func (s *Store) View() *View { return s.view.Load() }

// Fresh reports whether the view was confirmed within FreshnessBound. A node whose view is
// not fresh sends no starts.
func (s *Store) Fresh(now time.Time) bool {
	v := s.View()
	return !v.ConfirmedAt.IsZero() && v.Age(now) <= FreshnessBound
}

// refreshPageSize is the largest number of entries requested in one read of the store.
const refreshPageSize = 500

// Refresh reads the entries after the view's sequence from the store, applies them and
// confirms the view as of the start of the last read. An empty store first loads the newest
// snapshot.
func (s *Store) Refresh(ctx context.Context) error {
	if s.View().Sequence == 0 {
		if err := s.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	for {
		start := s.cfg.Now()
		entries, err := s.read(ctx, s.View().Sequence+1, refreshPageSize)
		if err != nil {
			return err
		}
		// The store may return fewer rows than requested, so only an empty page marks the
		// end of the journal.
		end := len(entries) == 0
		if err := s.applyAll(ctx, entries, start, end); err != nil || end {
			return err
		}
	}
}

func (s *Store) read(ctx context.Context, from uint64, limit int) ([]Entry, error) {
	rows, err := s.log.Read(ctx, from, limit)
	if err != nil {
		return nil, err
	}
	return decodeEntries(rows)
}

// applyAll applies the entries that follow the view and ignores entries that the view
// already contains. With confirmed, it then confirms the view as of the local time at.
func (s *Store) applyAll(ctx context.Context, entries []Entry, at time.Time, confirmed bool) error {
	texts, err := s.loadTexts(ctx, entries)
	if err != nil {
		return err
	}
	s.mu.Lock()
	before := s.state.view.Sequence
	for _, e := range entries {
		if e.Sequence <= s.state.view.Sequence {
			continue
		}
		if err = s.state.apply(withLoadedText(e, texts), s.cfg.Decode); err != nil {
			break
		}
		s.cache(e)
	}
	if err == nil && confirmed {
		s.state.confirm(at)
	}
	view := s.state.view
	s.view.Store(view)
	s.mu.Unlock()
	if view.Sequence > before && s.cfg.OnChange != nil {
		s.cfg.OnChange(view)
	}
	return err
}

// cache adds e to the entries cached for peers and drops the oldest entries beyond
// CacheEntries and CacheBytes.
func (s *Store) cache(e Entry) {
	s.recent = append(s.recent, e)
	s.recentBytes += e.cachedBytes()
	drop := 0
	for len(s.recent)-drop > s.cfg.CacheEntries || (s.recentBytes > s.cfg.CacheBytes && len(s.recent)-drop > 1) {
		s.recentBytes -= s.recent[drop].cachedBytes()
		drop++
	}
	if drop > 0 {
		s.recent = slices.Clone(s.recent[drop:])
	}
}

// entryOverhead is the estimated memory of a cached entry without its text, in bytes.
const entryOverhead = 256

func (e Entry) cachedBytes() int {
	if e.Record.Proposed != nil {
		return entryOverhead + len(e.Record.Proposed.Text)
	}
	return entryOverhead
}

// EntriesFrom returns up to limit cached entries from sequence seq, for peers that are
// behind. It returns none when seq is no longer cached; the peer then reads the store.
func (s *Store) EntriesFrom(seq uint64, limit int) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recent) == 0 || seq < s.recent[0].Sequence {
		return nil
	}
	from := int(seq - s.recent[0].Sequence)
	if from >= len(s.recent) {
		return nil
	}
	return slices.Clone(s.recent[from:min(len(s.recent), from+limit)])
}

// Merge applies entries from a peer. confirmedAge is the age of the peer's confirmation for
// the last of these entries, or NeverConfirmed when the peer has later entries that it did
// not send. It includes the time since the request to that peer was sent, so that the time
// in transit never makes the view appear fresher than it is. Errors: KindStale when entries
// are missing in between or when all entries are below the view's sequence.
func (s *Store) Merge(entries []Entry, confirmedAge time.Duration) error {
	if len(entries) == 0 {
		return nil
	}
	for i, e := range entries[1:] {
		if e.Sequence != entries[i].Sequence+1 {
			return model.Errorf(model.KindStale, "read the store", "control entries %d and %d are not adjacent", entries[i].Sequence, e.Sequence)
		}
	}
	last, current := entries[len(entries)-1].Sequence, s.View().Sequence
	if last < current || entries[0].Sequence > current+1 {
		return model.Errorf(model.KindStale, "read the store",
			"control entries %d to %d do not extend sequence %d", entries[0].Sequence, last, current)
	}
	// Only texts above MaxInlineText are read from the object store.
	ctx, cancel := context.WithTimeout(context.Background(), textTimeout)
	defer cancel()
	return s.applyAll(ctx, entries, s.cfg.Now().Add(-confirmedAge), canConfirm(confirmedAge))
}

// Confirm records that a peer confirmed sequence seq as the last one age ago. age includes
// the time since the request to the peer was sent. A peer with a lower sequence also confirms
// the view: if the store held nothing after that sequence, it held nothing after the view's.
// A peer with a higher sequence confirms nothing until its entries are merged.
func (s *Store) Confirm(seq uint64, age time.Duration) {
	at := s.cfg.Now().Add(-age)
	s.mu.Lock()
	defer s.mu.Unlock()
	if seq > s.state.view.Sequence || !canConfirm(age) {
		return
	}
	s.state.confirm(at)
	s.view.Store(s.state.view)
}

// canConfirm reports whether a confirmation of the given age from a peer is usable. A
// negative age results from an overflow or a faulty peer and would keep the view fresh
// indefinitely.
func canConfirm(age time.Duration) bool { return age >= 0 && age < NeverConfirmed }

// History returns up to limit entries from sequence from, out of the cache if possible and
// otherwise from the store.
func (s *Store) History(ctx context.Context, from uint64, limit int) ([]Entry, error) {
	if cached := s.EntriesFrom(from, limit); len(cached) > 0 {
		return cached, nil
	}
	if from > s.View().Sequence {
		return nil, nil
	}
	return s.read(ctx, max(from, 1), limit)
}
