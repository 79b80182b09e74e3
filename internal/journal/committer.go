package journal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillapier/vanillapier/internal/model"
)

// CommitterConfig sets how records are grouped into rows. Zero fields take the
// defaults given with each field.
type CommitterConfig struct {
	// Interval is the maximum time that a record waits for further records. Default
	// 100ms.
	Interval time.Duration
	// MaxBytes limits the total size of the records in one row. Default 256 KiB.
	MaxBytes int
	// MaxRecord limits the size of one record. Default 1 MiB.
	MaxRecord int
	// UrgentPerSecond limits the rate at which urgent records flush a row before
	// Interval has elapsed. Above this rate they wait for Interval. Default 20. The
	// burst is the number of rows of one second.
	UrgentPerSecond float64
	// MaxQueued limits the total size of the queued records. Default 16 MiB.
	MaxQueued int
}

func (c CommitterConfig) withDefaults() CommitterConfig {
	if c.Interval <= 0 {
		c.Interval = 100 * time.Millisecond
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = 256 << 10
	}
	if c.MaxRecord <= 0 {
		c.MaxRecord = 1 << 20
	}
	if c.UrgentPerSecond <= 0 {
		c.UrgentPerSecond = 20
	}
	if c.MaxQueued <= 0 {
		c.MaxQueued = 16 << 20
	}
	return c
}

// AppendFunc makes one batch of records durable and returns its sequence. It returns
// only when the result is known or the writer has stopped permanently.
type AppendFunc func(ctx context.Context, records [][]byte) (uint64, error)

// Committer implements group commit: it combines submitted records into few rows. At
// most one append is in flight. Submit returns only while Run is running.
type Committer struct {
	cfg    CommitterConfig
	append AppendFunc
	urgent *rate.Limiter

	mu          sync.Mutex
	queue       []*submission
	queuedBytes int
	closeReason error
	wake        chan struct{}
}

type submission struct {
	records  [][]byte
	bytes    int
	urgent   bool
	queuedAt time.Time
	seq      uint64
	err      error
	done     chan struct{}
}

// NewCommitter returns a Committer that makes records durable with appendFn.
func NewCommitter(cfg CommitterConfig, appendFn AppendFunc) *Committer {
	cfg = cfg.withDefaults()
	return &Committer{
		cfg:    cfg,
		append: appendFn,
		urgent: rate.NewLimiter(rate.Limit(cfg.UrgentPerSecond), max(1, int(cfg.UrgentPerSecond))),
		wake:   make(chan struct{}, 1),
	}
}

// Submit queues records and returns the sequence of their row once it is
// durable. All records of one call go into the same row, in order, after those
// of earlier calls.
//
// Errors: KindInvalid for an oversized record, KindExhausted if the queue is full,
// KindUnknown if ctx ended while the records were queued (they may still be written),
// otherwise the error of the append.
func (c *Committer) Submit(ctx context.Context, records [][]byte, urgent bool) (uint64, error) {
	s, err := c.enqueue(records, urgent)
	if err != nil {
		return 0, err
	}
	select {
	case <-s.done:
		return s.seq, s.err
	case <-ctx.Done():
		return 0, model.Wrap(model.KindUnknown, ctx.Err(), "read the cell's state before repeating", "the records may still be written")
	}
}

func (c *Committer) enqueue(records [][]byte, urgent bool) (*submission, error) {
	s := &submission{records: records, urgent: urgent, queuedAt: time.Now(), done: make(chan struct{})}
	for _, r := range records {
		if len(r) > c.cfg.MaxRecord {
			return nil, model.Errorf(model.KindInvalid, "split the record", "record of %d bytes exceeds %d", len(r), c.cfg.MaxRecord)
		}
		s.bytes += len(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason != nil {
		return nil, c.closeReason
	}
	if c.queuedBytes+s.bytes > c.cfg.MaxQueued && len(c.queue) > 0 {
		return nil, model.Errorf(model.KindExhausted, "retry later", "%d bytes wait for the journal", c.queuedBytes)
	}
	c.queue = append(c.queue, s)
	c.queuedBytes += s.bytes
	c.signal()
	return s, nil
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close rejects further records with reason, flushes the queued records and returns once
// they are durable or have failed. Run then returns reason.
func (c *Committer) Close(ctx context.Context, reason error) error {
	marker := &submission{urgent: true, queuedAt: time.Now(), done: make(chan struct{})}
	c.mu.Lock()
	if c.closeReason != nil {
		c.mu.Unlock()
		return c.closeReason
	}
	c.queue = append(c.queue, marker)
	c.closeReason = reason
	c.signal()
	c.mu.Unlock()
	select {
	case <-marker.done:
		return marker.err
	case <-ctx.Done():
		return model.Wrap(model.KindUnknown, ctx.Err(), "wait for the lease to end", "records are still queued")
	}
}

// Run flushes batches until Close is called, ctx ends, or an append fails with an error
// after which the writer cannot continue at the same sequence. It returns the error and
// fails all queued records with it.
func (c *Committer) Run(ctx context.Context) error {
	for {
		if err := c.waitForBatch(ctx); err != nil {
			return c.close(err)
		}
		batch := c.takeBatch()
		seq, err := c.append(ctx, joinRecords(batch))
		completeBatch(batch, seq, err)
		if err != nil && !nothingWritten(err) {
			return c.close(err)
		}
		if reason := c.drainedCloseReason(); reason != nil {
			return reason
		}
	}
}

// drainedCloseReason returns the reason of Close if the queue is empty, and nil
// otherwise.
func (c *Committer) drainedCloseReason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return nil
	}
	return c.closeReason
}

// nothingWritten reports whether the append wrote nothing, so that the writer may
// continue at the same sequence.
func nothingWritten(err error) bool {
	kind := model.KindOf(err)
	return kind == model.KindUnavailable || kind == model.KindExhausted
}

// waitForBatch returns when a batch is due: the oldest record has waited for Interval,
// the records fill a row, or a record is urgent and within the rate limit.
func (c *Committer) waitForBatch(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait, ok := c.untilDue()
		if ok && wait <= 0 {
			return nil
		}
		if ok {
			timer.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return model.Wrap(model.KindUnavailable, ctx.Err(), "send it to the cell's owner", "the journal writer has stopped")
		case <-c.wake:
		case <-timer.C:
		}
	}
}

func (c *Committer) untilDue() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return 0, false
	}
	if c.queuedBytes >= c.cfg.MaxBytes {
		return 0, true
	}
	for _, s := range c.queue {
		if s.urgent {
			if c.urgent.Allow() {
				return 0, true
			}
			break
		}
	}
	return c.cfg.Interval - time.Since(c.queue[0].queuedAt), true
}

// takeBatch removes the submissions of the next row from the queue. It takes at least
// one, even if that one exceeds MaxBytes.
func (c *Committer) takeBatch() []*submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, bytes := 0, 0
	for n < len(c.queue) && (n == 0 || bytes+c.queue[n].bytes <= c.cfg.MaxBytes) {
		bytes += c.queue[n].bytes
		n++
	}
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	c.queuedBytes -= bytes
	return batch
}

// close rejects further records and fails all queued records with err.
func (c *Committer) close(err error) error {
	c.mu.Lock()
	queue := c.queue
	c.queue, c.queuedBytes, c.closeReason = nil, 0, err
	c.mu.Unlock()
	completeBatch(queue, 0, err)
	return err
}

func joinRecords(batch []*submission) [][]byte {
	var records [][]byte
	for _, s := range batch {
		records = append(records, s.records...)
	}
	return records
}

func completeBatch(batch []*submission, seq uint64, err error) {
	for _, s := range batch {
		s.seq, s.err = seq, err
		close(s.done)
	}
}
