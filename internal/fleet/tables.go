package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Times and sizes of reads.
const (
	// maxPageRows is the most rows that the store returns at once.
	maxPageRows = 500
	// denseWatchPage is the number of changed rows from which on a watch may not have brought
	// all that there are: the next one follows at once.
	denseWatchPage = maxPageRows / 2
	// readTimeout bounds one page; a slow store takes a quarter of a second.
	readTimeout = 1200 * time.Millisecond
	// maxConcurrentRereads bounds the parts of a table that are read again at the same time.
	maxConcurrentRereads = 8
	// readPause is the pause after a failed read, with up to as much jitter.
	readPause = 100 * time.Millisecond
	// watchWait is how long the store holds the answer of a watch. A watch that
	// has gone silent is noticed soon after.
	watchWait = 1000 * time.Millisecond
	// watchTimeout is the time beyond the wait after which a watch is given up.
	watchTimeout = 700 * time.Millisecond
	// jobWatchPause and workerWatchPause collect changes between two watches: the
	// leader hears of jobs from the nodes that take them, and workers renew their
	// entries all the time.
	jobWatchPause    = 250 * time.Millisecond
	workerWatchPause = 250 * time.Millisecond
	// workerWatchPauseCells is that of a leader of one cell among several: each reads
	// the entries of all workers.
	workerWatchPauseCells = 600 * time.Millisecond
)

// listAll reads a part of a table. The version is the one to watch from.
func listAll(ctx context.Context, s Store, table, part string) ([]Row, Page, error) {
	var rows []Row
	var first Page
	from := ""
	for {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := s.List(call, table, part, from, "", maxPageRows)
		cancel()
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

// tableSource is a table, or the parts of one, that is read whole and then watched.
type tableSource struct {
	store Store
	table string
	parts []string
	pause time.Duration
	// onRows gets the whole content (all) or changes, and the page's version and time.
	onRows func(rows []Row, full bool, p Page)
	// onError gets errors of calls.
	onError func(error)
	jitter  func() time.Duration
}

// listUntil reads all parts at once, and repeats what fails, some at a time, until
// ctx ends. The page is that of the oldest part, from which a watch misses nothing.
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

// listPart reads one part, again until it succeeds or ctx ends. A failure repeats
// no other part: on a narrow link, or while the store loses calls, a read of all
// parts together might never succeed.
func (s tableSource) listPart(ctx context.Context, part string, slots chan struct{}) ([]Row, Page) {
	rows, page, err := listAll(ctx, s.store, s.table, part)
	for err != nil && ctx.Err() == nil {
		s.onError(err)
		sleep(ctx, readPause+s.jitter())
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil, Page{}
		}
		rows, page, err = listAll(ctx, s.store, s.table, part)
		<-slots
	}
	return rows, page
}

// watch follows the table from a version until ctx ends. When the history is gone
// it reads the table again.
func (s tableSource) watch(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
		page, err := s.store.Watch(call, s.table, after, watchWait)
		cancel()
		switch {
		case err == nil && page.Version < after:
			err = model.Errorf(model.KindStale, "read the table again", "watch of %s went back from %d to %d", s.table, after, page.Version)
			fallthrough
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

// newSource returns a source whose failures are logged and counted.
func (t *term) newSource(table string, parts []string, pause time.Duration, onRows func([]Row, bool, Page)) tableSource {
	return tableSource{
		store: t.cfg.Store, table: table, parts: parts, pause: pause, onRows: onRows,
		onError: func(err error) {
			t.metrics.readErrors.WithLabelValues(resultLabel(err)).Inc()
			t.log.WithError(err).WithField("table", table).Debug("read failed")
		},
		jitter: jitter,
	}
}

// changeBuffer holds back the changes of watched tables until the term has read all of
// them. A table is watched from the moment that it was read: reading the others may
// take seconds, and a start must not rest on what was true before.
type changeBuffer struct {
	t        *term
	mu       sync.Mutex
	held     []event
	released bool
}

// post hands a change to the loop, or holds it back.
func (c *changeBuffer) post(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		c.t.post(e)
		return
	}
	c.held = append(c.held, e)
}

// release hands the rows that were read to the loop, with the changes since.
func (c *changeBuffer) release(e tablesLoaded) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.changes, c.held, c.released = c.held, nil, true
	c.t.post(e)
}

func (t *term) workerPause() time.Duration {
	if t.layout.Cells > 1 {
		return workerWatchPauseCells
	}
	return workerWatchPause
}

// loadTables reads what the term starts from, and follows the changes.
func (t *term) loadTables() {
	workersTable, operatorName := t.cfg.Decoder.Tables()
	buffer := &changeBuffer{t: t}
	jobs := t.newSource(tableJobs, t.layout.jobParts(t.cell), jobWatchPause, func(rows []Row, full bool, p Page) {
		e := jobRows{rows: rows, storeNow: p.Now}
		if full {
			e.listed = p.Version
		}
		buffer.post(e)
	})
	workers := t.newSource(workersTable, []string{""}, t.workerPause(), func(rows []Row, full bool, _ Page) { buffer.post(workerRows{rows, full}) })
	moved := t.newSource(tableMoved, []string{t.part}, jobWatchPause, func(rows []Row, _ bool, p Page) { buffer.post(movedRows{rows, p.Now}) })
	progress := t.newSource(tableProgress, []string{t.part}, 0, nil)
	used := t.newSource(tableUsed, []string{t.part}, 0, nil)
	models := t.newSource(tableModels, []string{t.part}, 0, nil)
	waves := t.newSource(tableWaves, []string{t.part}, 0, nil)

	all := []tableSource{jobs, workers, progress, used, models, waves}
	if t.layout.Cells > 1 {
		all = append(all, moved)
	}
	rows := make([][]Row, len(all))
	pages := make([]Page, len(all))
	ok := make([]bool, len(all))
	var wg sync.WaitGroup
	for i, s := range all {
		wg.Go(func() {
			rows[i], pages[i], ok[i] = s.listUntil(t.ctx)
			if ok[i] && s.onRows != nil {
				go s.watch(t.ctx, pages[i].Version)
			}
		})
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
	e := tablesLoaded{jobs: rows[0], workers: rows[1], progress: rows[2], used: rows[3], models: rows[4], waves: rows[5], storeNow: pages[0].Now}
	if t.layout.Cells > 1 {
		e.moved = rows[6]
	}
	buffer.release(e)
}
