package fleet

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// operatorTable is this node's copy of the operators' table. The node keeps one watch for
// all users of the table, as a configuration of a thousand queues takes seconds to read on
// a slow link.
type operatorTable struct {
	mu      sync.Mutex
	rows    map[RowID]Row
	version uint64 // 0 until the table has been read
	// configuration is the newest configuration that could be decoded, and decodedVersion the
	// version of its row.
	configuration  *Configuration
	decodedVersion uint64
	listeners      map[int]func()
	nextListener   int
}

// apply applies the changed rows as of a version. If full is true, rows is the whole table.
func (o *operatorTable) apply(rows []Row, full bool, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.version > version {
		return // a newer answer was applied before
	}
	o.version = version
	if full || o.rows == nil {
		o.rows = map[RowID]Row{}
	}
	for _, row := range rows {
		if row.Removed {
			delete(o.rows, row.RowID)
		} else {
			o.rows[row.RowID] = row
		}
	}
	if len(rows) == 0 && !full {
		return
	}
	for _, notify := range o.listeners {
		notify()
	}
}

// snapshot returns the rows of the table.
func (o *operatorTable) snapshot() []Row {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.rows))
}

// subscribe calls notify after each change until cancel is called. notify must not block.
func (o *operatorTable) subscribe(notify func()) (cancel func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.listeners == nil {
		o.listeners = map[int]func(){}
	}
	id := o.nextListener
	o.nextListener++
	o.listeners[id] = notify
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.listeners, id)
	}
}

// currentVersion returns the version of the copy; 0 before the table has been read.
func (o *operatorTable) currentVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// decode returns the configuration of a row. It caches the newest one.
func (o *operatorTable) decode(d Decoder, row Row) (*Configuration, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.configuration != nil && o.decodedVersion == row.Version {
		return o.configuration, nil
	}
	c, err := d.Configuration(row)
	if err != nil {
		return nil, err
	}
	if row.Version > o.decodedVersion {
		o.configuration, o.decodedVersion = &c, row.Version
	}
	return &c, nil
}

// refreshWait is how long the store may hold a watch that only reads pending changes.
const refreshWait = time.Millisecond

// refresh reads the changes since the last version, so that decisions use the current
// table. It retries until it succeeds and returns false when ctx ends.
func (o *operatorTable) refresh(ctx context.Context, s Store, table string, failed func(error)) bool {
	for ctx.Err() == nil {
		version := o.currentVersion()
		if version > 0 {
			page, err := watchOnce(ctx, s, table, version, refreshWait, readTimeout)
			if err == nil {
				o.apply(page.Rows, false, page.Version)
				return true
			}
			failed(err)
			if model.IsKind(err, model.KindStale) {
				o.reload(ctx, s, table, failed)
				continue
			}
		}
		sleep(ctx, readPause+jitter())
	}
	return false
}

// reload reads the whole table, when the changes since the last version are not available.
func (o *operatorTable) reload(ctx context.Context, s Store, table string, failed func(error)) {
	rows, page, err := listAll(ctx, s, table, "", nil)
	if err == nil {
		o.apply(rows, true, page.Version)
	} else if !errors.Is(err, context.Canceled) {
		failed(err)
	}
}
