package fleet

import (
	"context"
	"encoding/base64"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// A term starts nothing before it has read its tables. Its node may be unable to read them although
// its transactions succeed, and while it renews, no other node campaigns. So it releases leadership
// when its reads get no further, and leaves it to others for a while.

const (
	// loadStallTimeout is how long a term waits for the answer to any read of its tables. It is
	// longer than a platform's short outages.
	loadStallTimeout = 10 * time.Second
	// loadRetryPause is how long the node of such a term does not campaign for the cell.
	loadRetryPause = 5 * time.Second
)

// A host's link may be so narrow that the tables take seconds to arrive. Renewals share the link: behind
// reads of all tables at once they come too late, the next leader takes over and reads the same tables.

const (
	// maxReadDelay bounds the time for which the answers to reads of tables that are in flight occupy the
	// host's link. It is well below the timeout of a renewal.
	maxReadDelay = 200 * time.Millisecond
	// limitedPageBytes is about the size of a page where the link bounds the reads.
	limitedPageBytes = 64 << 10
	// maxLimitedReads is the number of such pages in flight from which the link bounds nothing.
	maxLimitedReads = 64
	// firstPageRows is the number of rows of a page before the size of rows is known; minPageRows is the
	// least number.
	firstPageRows = 50
	minPageRows   = 10
	// rowOverhead is what a row adds to an answer beside its value, in bytes.
	rowOverhead = 150
)

// readLimiter bounds the reads of a term's tables by the link of its host. Nil bounds nothing.
type readLimiter struct {
	slots chan struct{}
	mu    sync.Mutex
	// rows is the number of rows of the next page, by table.
	rows map[string]int
}

// newReadLimiter returns the limiter for a link of some bytes per second, 0 for an unknown one.
func newReadLimiter(linkBytes int64) *readLimiter {
	n := int(float64(linkBytes) * maxReadDelay.Seconds() / limitedPageBytes)
	if linkBytes <= 0 || n >= maxLimitedReads {
		return nil
	}
	return &readLimiter{slots: make(chan struct{}, max(n, 1)), rows: map[string]int{}}
}

// acquire waits until a page of a table may be read and returns the largest number of its rows.
func (l *readLimiter) acquire(ctx context.Context, table string) (rows int, err error) {
	if l == nil {
		return maxPageRows, nil
	}
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if rows, seen := l.rows[table]; seen {
		return rows, nil
	}
	return firstPageRows, nil
}

// release ends the read of a page of a table with these rows.
func (l *readLimiter) release(table string, rows []Row) {
	if l == nil {
		return
	}
	<-l.slots
	if len(rows) == 0 {
		return
	}
	bytes := 0
	for _, r := range rows {
		bytes += base64.StdEncoding.EncodedLen(len(r.Value)) + rowOverhead
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows[table] = min(max(limitedPageBytes*len(rows)/bytes, minPageRows), maxPageRows)
}

// observedStore notes when a read of rows was last answered, and the store's clock by reads and watches.
type observedStore struct {
	Store
	answeredAt *atomic.Pointer[time.Time]
	time       *storeTime
}

// List implements Store.
func (s observedStore) List(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	page, err := s.Store.List(ctx, table, part, from, to, limit)
	if err == nil {
		now := time.Now()
		s.answeredAt.Store(&now)
		s.time.observe(page.Now)
	}
	return page, err
}

// Watch implements Store.
func (s observedStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error) {
	page, err := s.Store.Watch(ctx, table, after, wait)
	if err == nil {
		s.time.observe(page.Now)
	}
	return page, err
}

// releaseIfLoadStalls releases leadership when the reads of the tables get no further although the
// term renews.
func (t *term) releaseIfLoadStalls() {
	if t.now.Sub(t.lastRenewal) >= leaderTimeout {
		t.renewalsFailedAt = t.now
	}
	since := slices.MaxFunc([]time.Time{t.startedAt, t.renewalsFailedAt, t.lastReadAnswer()}, time.Time.Compare)
	if t.stopping || len(t.tableSteps) > 0 || t.now.Sub(since) <= loadStallTimeout {
		return
	}
	t.log.WithField("stalled_ms", t.now.Sub(since).Milliseconds()).Warn("the tables cannot be read; another node may lead")
	t.loadStalled = true
	stepDown{}.handle(t)
}

// recordLoading counts a term that ends before it has read its tables. A hand-over soon after its begin is
// such a term; many in a row mean that no leader gets that far.
func (t *term) recordLoading() {
	if t.loaded {
		return
	}
	t.metrics.unloadedTerms.Inc()
	t.log.WithFields(logrus.Fields{"took_ms": time.Since(t.startedAt).Milliseconds(), "released": t.released}).Warn("term ended before it had loaded its tables")
}

// lastReadAnswer returns when a read of the tables was last answered; zero before the first.
func (t *term) lastReadAnswer() time.Time {
	if at := t.readAnsweredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
