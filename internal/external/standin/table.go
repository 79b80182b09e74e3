package standin

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// defaultRangeLimit applies to a range read without a limit.
const defaultRangeLimit = 1000

// partition holds the rows of a partition and their sorted names.
type partition struct {
	rows  map[string]external.Row
	names []string
}

// previousRow is the state of a row before the last transaction, for stale reads.
type previousRow struct {
	key     external.Key
	row     external.Row
	existed bool
}

// Table is an in-memory table service. It serves HTTP, and it implements external.Table
// directly without faults.
type Table struct {
	faults *Faults
	mux    *http.ServeMux

	mu              sync.Mutex
	partitions      map[string]*partition
	version         uint64
	lastTransaction []previousRow
	commits         uint64
	reads           uint64
}

var _ external.Table = (*Table)(nil)

// NewTable returns an empty table service. A nil f means no faults.
func NewTable(f *Faults) *Table {
	t := &Table{faults: f, mux: http.NewServeMux(), partitions: map[string]*partition{}}
	t.mux.HandleFunc("POST "+httpapi.PathCommit, t.serveCommit)
	t.mux.HandleFunc("GET "+httpapi.PathRow, t.serveRow)
	t.mux.HandleFunc("GET "+httpapi.PathRange, t.serveRange)
	return t
}

// ServeHTTP serves the table protocol.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.mux.ServeHTTP(w, r) }

// Counts returns the number of transactions, including failed ones, and the number of
// reads.
func (t *Table) Counts() (commits, reads uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits, t.reads
}

// Commit applies all writes or none.
func (t *Table) Commit(_ context.Context, writes ...external.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	seen := map[external.Key]bool{}
	for _, w := range writes {
		if w.Key.Partition == "" || w.Key.Row == "" || seen[w.Key] {
			return model.Errorf(model.KindInvalid, "name each row once, with partition and row", "write to %v", w.Key)
		}
		seen[w.Key] = true
		if err := t.check(w); err != nil {
			return err
		}
	}
	t.lastTransaction = t.lastTransaction[:0]
	for _, w := range writes {
		t.apply(w)
	}
	return nil
}

func (t *Table) check(w external.Write) error {
	row, ok := t.row(w.Key)
	switch {
	case w.Condition.Absent && ok:
		return model.Errorf(model.KindConflict, "read the row and decide again", "row %v exists with version %d", w.Key, row.Version)
	case w.Condition.Version != 0 && row.Version != w.Condition.Version:
		return model.Errorf(model.KindConflict, "read the row and decide again", "row %v has version %d, not %d", w.Key, row.Version, w.Condition.Version)
	}
	return nil
}

func (t *Table) row(k external.Key) (external.Row, bool) {
	p, ok := t.partitions[k.Partition]
	if !ok {
		return external.Row{}, false
	}
	row, ok := p.rows[k.Row]
	return row, ok
}

func (t *Table) apply(w external.Write) {
	old, had := t.row(w.Key)
	t.lastTransaction = append(t.lastTransaction, previousRow{key: w.Key, row: old, existed: had})
	p := t.partitions[w.Key.Partition]
	if p == nil {
		p = &partition{rows: map[string]external.Row{}}
		t.partitions[w.Key.Partition] = p
	}
	i, found := slices.BinarySearch(p.names, w.Key.Row)
	if w.Delete {
		if found {
			p.names = slices.Delete(p.names, i, i+1)
			delete(p.rows, w.Key.Row)
		}
		return
	}
	if !found {
		p.names = slices.Insert(p.names, i, w.Key.Row)
	}
	t.version++
	p.rows[w.Key.Row] = external.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.version}
}

// Get reads one row.
func (t *Table) Get(_ context.Context, key external.Key) (external.Row, error) {
	return t.get(key, false)
}

func (t *Table) get(key external.Key, stale bool) (external.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.row(key)
	if stale {
		row, ok = t.beforeLastTransaction(key, row, ok)
	}
	if !ok {
		return row, model.Errorf(model.KindNotFound, "check the key", "row %v", key)
	}
	return row, nil
}

// beforeLastTransaction returns the row as it was before the last transaction.
func (t *Table) beforeLastTransaction(key external.Key, row external.Row, ok bool) (external.Row, bool) {
	for _, c := range t.lastTransaction {
		if c.key == key {
			return c.row, c.existed
		}
	}
	return row, ok
}

// Range reads up to limit rows of a partition with Row >= from, in order.
func (t *Table) Range(_ context.Context, name, from string, limit int) ([]external.Row, error) {
	return t.list(name, from, limit, false), nil
}

func (t *Table) list(name, from string, limit int, stale bool) []external.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	p := t.partitions[name]
	if p == nil {
		return nil
	}
	if limit <= 0 {
		limit = defaultRangeLimit
	}
	var out []external.Row
	for i := sort.SearchStrings(p.names, from); i < len(p.names) && len(out) < limit; i++ {
		row, ok := p.rows[p.names[i]], true
		if stale {
			row, ok = t.beforeLastTransaction(row.Key, row, true)
		}
		if ok {
			out = append(out, row)
		}
	}
	return out
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var req httpapi.CommitRequest
	if !readJSON(w, r, &req) {
		return
	}
	fault, ok := applyRequestFaults(w, t.faults, ServiceTable)
	if !ok {
		return
	}
	err := t.Commit(r.Context(), req.Writes...)
	finishWrite(w, t.faults, fault, err)
}

func (t *Table) serveRow(w http.ResponseWriter, r *http.Request) {
	fault, ok := applyRequestFaults(w, t.faults, ServiceTable)
	if !ok {
		return
	}
	q := r.URL.Query()
	key := external.Key{Partition: q.Get("partition"), Row: q.Get("row")}
	row, err := t.get(key, t.faults.chance(fault.StaleReads))
	finishRead(w, fault, row, err)
}

func (t *Table) serveRange(w http.ResponseWriter, r *http.Request) {
	fault, ok := applyRequestFaults(w, t.faults, ServiceTable)
	if !ok {
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		writeError(w, model.Wrap(model.KindInvalid, err, "give limit as a number", "range read"))
		return
	}
	rows := t.list(q.Get("partition"), q.Get("from"), limit, t.faults.chance(fault.StaleReads))
	finishRead(w, fault, httpapi.RangeResponse{Rows: rows}, nil)
}
