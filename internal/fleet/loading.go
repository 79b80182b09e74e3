package fleet

import (
	"context"
	"slices"
	"sync/atomic"
	"time"
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

// observedStore notes when a read of rows was last answered.
type observedStore struct {
	Store
	answeredAt *atomic.Pointer[time.Time]
}

// List implements Store.
func (s observedStore) List(ctx context.Context, table, part, from, to string, limit int) (Page, error) {
	page, err := s.Store.List(ctx, table, part, from, to, limit)
	if err == nil {
		now := time.Now()
		s.answeredAt.Store(&now)
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
	if t.stopping || t.now.Sub(since) <= loadStallTimeout {
		return
	}
	t.log.WithField("stalled_ms", t.now.Sub(since).Milliseconds()).Warn("the tables cannot be read; another node may lead")
	t.loadStalled = true
	stepDown{}.handle(t)
}

// lastReadAnswer returns when a read of the tables was last answered; zero before the first.
func (t *term) lastReadAnswer() time.Time {
	if at := t.readAnsweredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
