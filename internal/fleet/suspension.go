package fleet

import (
	"time"

	"github.com/sirupsen/logrus"
)

// The monotonic clock of a suspended host stands still: after it the last renewal looks younger than it
// is, and a leader would grant leases for longer than the next one waits. So a leader looks for a
// suspension before each event. Orders whose event came before are harmless: their deadlines rest on a
// reading of the worker's clock from before the suspension.

const (
	// clockOffsetTolerance is the change of the wall clock against the monotonic one at which a leader
	// asks the host whether it was suspended.
	clockOffsetTolerance = 5 * time.Millisecond
	// minSuspension is the shortest suspension that counts; shorter ones add up.
	minSuspension = 5 * time.Millisecond
)

// suspensions is what a term knows of suspensions of its host.
type suspensions struct {
	total       time.Duration // as last read
	clockOffset time.Duration // of the wall clock against the monotonic one, as last read
	// resumedAt is when a suspension was last found.
	resumedAt time.Time
}

// readSuspensions reads the suspensions of the host so far.
func (c Config) readSuspensions() suspensions {
	if c.Suspended == nil {
		return suspensions{}
	}
	return suspensions{total: c.Suspended(), clockOffset: clockOffset(c.Started, time.Now())}
}

// clockOffset returns by how much the wall clock has advanced further than the monotonic one since a
// moment.
func clockOffset(since, now time.Time) time.Duration {
	return now.Round(0).Sub(since.Round(0)) - now.Sub(since)
}

// readClock sets the time of the event that is handled next. It dates what proves the lead back by a
// suspension of the host since the last event.
func (t *term) readClock() {
	t.now = time.Now()
	s := &t.suspensions
	if t.cfg.Suspended == nil || (clockOffset(t.cfg.Started, t.now)-s.clockOffset).Abs() < clockOffsetTolerance {
		return
	}
	read := t.cfg.readSuspensions()
	suspended := read.total - s.total
	s.clockOffset = read.clockOffset
	if suspended < minSuspension {
		return
	}
	s.total, s.resumedAt = read.total, t.now
	t.lastRenewal, t.confirmedAt = t.lastRenewal.Add(-suspended), t.confirmedAt.Add(-suspended)
	t.witnesses.confirmedAt = t.witnesses.confirmedAt.Add(-suspended)
	t.log.WithFields(logrus.Fields{"suspended_ms": suspended.Milliseconds(), "renewed_ms_ago": t.now.Sub(t.lastRenewal).Milliseconds()}).Warn("the host was suspended")
}

// sentSinceResume reports whether the host was not suspended since a call was sent, so that its age is
// known.
func (t *term) sentSinceResume(sent time.Time) bool { return sent.After(t.suspensions.resumedAt) }
