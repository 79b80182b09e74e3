package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times and sizes of reads.
const (
	// maxPageRows is the maximum number of rows that the store returns in a page.
	maxPageRows = 500
	// denseWatchPage is the number of changed rows from which a watch may not have returned all
	// changes: the next watch follows without a pause.
	denseWatchPage = maxPageRows / 2
	// readTimeout bounds the read of one page; a slow store takes a quarter of a second.
	readTimeout = 1200 * time.Millisecond
	// maxConcurrentRereads bounds the parts of a table that are reread at the same time after
	// failures.
	maxConcurrentRereads = 8
	// readPause is the pause after a failed read, to which jitter of up to the same length is
	// added.
	readPause = 100 * time.Millisecond
	// watchWait is how long the store holds the answer of a watch. It is short so that a watch
	// that is never answered is noticed soon.
	watchWait = 1000 * time.Millisecond
	// watchTimeout is how long after its wait a watch without an answer is abandoned.
	watchTimeout = 700 * time.Millisecond
	// jobWatchPause and workerWatchPause are the pauses between two watches, which make each
	// return more changes. Jobs need no faster watch, as the nodes that accept them notify
	// the leader, and workers renew their entries constantly.
	jobWatchPause    = 250 * time.Millisecond
	workerWatchPause = 250 * time.Millisecond
	// workerWatchPauseCells and jobWatchPauseCells are these pauses in a fleet of several cells, where
	// each leader reads the entries of all workers and the jobs of all cells. Leaders notify each other of
	// moved jobs and lent tasks, too.
	workerWatchPauseCells = 600 * time.Millisecond
	jobWatchPauseCells    = 500 * time.Millisecond
)

// listAll reads all rows of a part of a table. The returned page is the first one, whose
// version is the one to watch from. limiter may be nil.
func listAll(ctx context.Context, s Store, table, part string, limiter *readLimiter) ([]Row, Page, error) {
	var rows []Row
	var first Page
	from := ""
	for {
		page, err := listPage(ctx, s, table, part, from, limiter)
		if err != nil {
			return nil, Page{}, err
		}
		if first.Version == 0 {
			first = page
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, first, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

func listPage(ctx context.Context, s Store, table, part, from string, limiter *readLimiter) (Page, error) {
	limit, err := limiter.acquire(ctx, table)
	if err != nil {
		return Page{}, err
	}
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := s.List(call, table, part, from, "", limit)
	limiter.release(table, page.Rows)
	return page, err
}

// tableSource reads a table, or some parts of it, in full and then watches it.
type tableSource struct {
	store Store
	table string
	parts []string
	pause time.Duration
	// onRows gets the whole content if full is set, otherwise changes, and the page with the
	// version and the store's time.
	onRows func(rows []Row, full bool, p Page)
	// onError gets the errors of calls.
	onError func(error)
	jitter  func() time.Duration
	// limiter bounds the reads of all rows; nil for no bound.
	limiter *readLimiter
}

// listUntil reads all parts concurrently and repeats failed reads until they succeed or ctx
// ends. The returned page is that of the part with the oldest version: a watch from there
// misses no change.
func (s tableSource) listUntil(ctx context.Context) ([]Row, Page, bool) {
	pages := make([]Page, len(s.parts))
	rows := make([][]Row, len(s.parts))
	slots := make(chan struct{}, maxConcurrentRereads)
	var wg sync.WaitGroup
	for i, part := range s.parts {
		wg.Go(func() { rows[i], pages[i] = s.listPart(ctx, part, slots) })
	}
	wg.Wait()
	if ctx.Err() != nil {
		return nil, Page{}, false
	}
	var all []Row
	first := pages[0]
	for i := range pages {
		all = append(all, rows[i]...)
		if pages[i].Version < first.Version {
			first = pages[i]
		}
	}
	return all, first, true
}

// listPart reads one part and repeats the read until it succeeds or ctx ends. Each part is
// repeated on its own: on a narrow link, or while the store loses calls, a read of all parts
// together might never succeed. slots bounds the concurrent repetitions.
func (s tableSource) listPart(ctx context.Context, part string, slots chan struct{}) ([]Row, Page) {
	rows, page, err := listAll(ctx, s.store, s.table, part, s.limiter)
	for err != nil && ctx.Err() == nil {
		s.onError(err)
		sleep(ctx, readPause+s.jitter())
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil, Page{}
		}
		rows, page, err = listAll(ctx, s.store, s.table, part, s.limiter)
		<-slots
	}
	return rows, page
}

// watch watches the table from a version until ctx ends. It reads the table again when the
// store has dropped the history since that version, or when its version goes back.
func (s tableSource) watch(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		page, err := watchOnce(ctx, s.store, s.table, after, watchWait, watchWait+watchTimeout)
		switch {
		case model.IsKind(err, model.KindStale):
			s.onError(err)
			rows, first, ok := s.listUntil(ctx)
			if !ok {
				return
			}
			s.onRows(rows, true, first)
			after = first.Version
		case err != nil:
			s.onError(err)
			sleep(ctx, readPause+s.jitter())
		default:
			after = page.Version
			s.onRows(page.Rows, false, page)
			if n := len(page.Rows); n > 0 && n < denseWatchPage {
				sleep(ctx, s.pause)
			}
		}
	}
}

// watchOnce returns the changes of a table since a version, for which the store may wait for a part of the
// call's timeout. It fails with KindStale when the store has dropped the history since that version, or when
// the table's version goes back: the table must be read again.
func watchOnce(ctx context.Context, s Store, table string, after uint64, wait, timeout time.Duration) (Page, error) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err := s.Watch(call, table, after, wait)
	if err == nil && page.Version < after {
		err = model.Errorf(model.KindStale, "read the table again", "watch of %s went back from %d to %d", table, after, page.Version)
	}
	return page, err
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// newSource returns a source whose failed reads are logged and counted.
func (t *term) newSource(table string, parts []string, pause time.Duration, onRows func([]Row, bool, Page)) tableSource {
	return tableSource{
		store: observedStore{t.cfg.Store, &t.readAnsweredAt, &t.storeTime}, table: table, parts: parts, pause: pause, onRows: onRows,
		onError: func(err error) {
			t.metrics.readErrors.WithLabelValues(resultLabel(err)).Inc()
			t.log.WithError(err).WithField("table", table).Debug("read failed")
		},
		jitter: jitter, limiter: t.readLimiter,
	}
}

// changeBuffer holds back the changes of watched tables until the term has applied all tables.
// Each table is watched as soon as it has been read: reading the others may take seconds, and
// a start must not be decided on outdated rows.
type changeBuffer struct {
	t        *term
	mu       sync.Mutex
	held     []event
	released bool
}

// post posts a change to the loop, or holds it back until release.
func (c *changeBuffer) post(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		c.t.post(e)
		return
	}
	c.held = append(c.held, e)
}

// release returns the changes held back so far, in order. Later ones are posted.
func (c *changeBuffer) release() []event {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held
	c.held, c.released = nil, true
	return held
}

// pauseByCells returns the pause between two watches in a fleet of one cell, or in one of several.
func (t *term) pauseByCells(one, several time.Duration) time.Duration {
	if t.layout.Cells > 1 {
		return several
	}
	return one
}

// loadTables reads the tables from which the term starts, and watches those that change.
func (t *term) loadTables() {
	workersTable, operatorName := t.cfg.Decoder.Tables()
	buffer := &changeBuffer{t: t}
	jobPause := t.pauseByCells(jobWatchPause, jobWatchPauseCells)
	jobs := t.newSource(tableJobs, t.layout.jobParts(t.cell), jobPause, func(rows []Row, full bool, p Page) {
		e := jobRows{rows: rows, storeNow: p.Now}
		if full {
			e.fullVersion = p.Version
		}
		if full || len(rows) < denseWatchPage {
			e.knownAt = p.Now
		}
		buffer.post(e)
	})
	workers := t.newSource(workersTable, []string{""}, t.pauseByCells(workerWatchPause, workerWatchPauseCells), func(rows []Row, full bool, _ Page) { buffer.post(workerRows{rows, full}) })
	moved := t.newSource(tableMoved, []string{t.part}, jobPause, func(rows []Row, full bool, p Page) { buffer.post(movedRows{rows, p.Now, full}) })
	progress := t.newSource(tableProgress, []string{t.part}, 0, nil)
	used := t.newSource(tableUsed, []string{t.part}, 0, nil)
	models := t.newSource(tableModels, []string{t.part}, 0, nil)
	waves := t.newSource(tableWaves, []string{t.part}, 0, nil)

	all := []tableSource{workers, used, jobs, progress, models, waves}
	if t.layout.Cells > 1 {
		all = append(all, moved)
	}
	const first = 2 // the tables of workersLoaded, on which leases depend
	rows := make([][]Row, len(all))
	pages := make([]Page, len(all))
	ok := make([]bool, len(all))
	readAt := make([]time.Time, len(all))
	var wg, firstRead sync.WaitGroup
	read := func(i int) {
		s := all[i]
		rows[i], pages[i], ok[i] = s.listUntil(t.ctx)
		readAt[i] = time.Now()
		if ok[i] && s.onRows != nil {
			go s.watch(t.ctx, pages[i].Version)
		}
	}
	for i := range first {
		firstRead.Go(func() { read(i) })
	}
	wg.Go(func() {
		firstRead.Wait()
		if ok[0] && ok[1] {
			t.post(workersLoaded{workers: rows[0], used: rows[1], usedNow: pages[1].Now, usedReadAt: readAt[1]})
		}
	})
	if t.readLimiter != nil {
		firstRead.Wait() // the other tables share a narrow link
	}
	for i := first; i < len(all); i++ {
		wg.Go(func() { read(i) })
	}
	ready := t.operator.refresh(t.ctx, t.cfg.Store, operatorName, jobs.onError)
	cancel := t.operator.subscribe(func() { go buffer.post(operatorChanged{}) })
	go func() {
		<-t.ctx.Done()
		cancel()
	}()
	wg.Wait()
	if !ready {
		return
	}
	for _, done := range ok {
		if !done {
			return
		}
	}
	e := tablesLoaded{jobs: rows[2], progress: rows[3], models: rows[4], waves: rows[5], storeNow: pages[2].Now, changes: buffer}
	if t.layout.Cells > 1 {
		e.moved = rows[6]
	}
	t.post(e)
}
