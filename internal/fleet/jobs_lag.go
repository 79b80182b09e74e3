package fleet

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// A leader learns of cancellations by its watch of the jobs, and sooner from the node that stored them. Both
// may fail while the store answers its renewals and its other reads, also while a new leader reads the rest
// of its tables. A leader whose knowledge of the jobs lags behind the store starts nothing. While the store
// answers nothing, nothing is known to have changed, and work goes on.

// maxJobsLag is how far what a leader knows of the jobs may lag behind the store's last answer. The watch of the
// jobs, with its pause, takes up to 1.5 s. The contract allows starts for 3 s after a cancellation, of which
// the rest remains for the renewals between which the store need not answer, and for the order itself.
const maxJobsLag = 2 * time.Second

// outdated reports whether a state of the jobs is too old to start work by it at the time of the store's last
// answer. Both are by the store's clock.
func outdated(knownAt, lastAnswer time.Duration) bool { return lastAnswer-knownAt > maxJobsLag }

// storeTime is the store's clock by its last answer. Any goroutine may use it.
type storeTime struct{ now atomic.Int64 }

// observe notes an answer, which an older one may follow. 0 stands for one that does not tell the clock.
func (s *storeTime) observe(now time.Duration) {
	for last := s.now.Load(); int64(now) > last; last = s.now.Load() {
		if s.now.CompareAndSwap(last, int64(now)) {
			return
		}
	}
}

// reset notes that the store's clock has begun anew.
func (s *storeTime) reset(now time.Duration) { s.now.Store(int64(now)) }

func (s *storeTime) last() time.Duration { return time.Duration(s.now.Load()) }

// jobsLag returns how far what the term knows of the jobs lags behind the store; 0 before it has read them.
func (t *term) jobsLag() time.Duration {
	if !t.loaded {
		return 0
	}
	return t.storeTime.last() - t.jobsKnownAt
}

// jobsOutdated reports whether what the term knows of the jobs is too old to start work by it.
func (t *term) jobsOutdated() bool { return outdated(t.jobsKnownAt, t.storeTime.last()) }

// mayPlace reports whether the term may start work: it may give orders and knows the jobs well enough.
func (t *term) mayPlace() bool { return t.active() && !t.jobsOutdated() }

// logJobsLag logs when the jobs become outdated and when they are known again.
func (t *term) logJobsLag() {
	if now := t.jobsOutdated(); now != t.jobsLagLogged {
		t.jobsLagLogged = now
		t.log.WithFields(logrus.Fields{"decision": "jobs-lag", "outdated": now, "lag_ms": t.jobsLag().Milliseconds()}).Info("knowledge of the jobs compared with the store")
	}
}

// jobsKnown notes that the term knows all changes of the jobs until knownAt by the store's clock; 0 for none.
func (t *term) jobsKnown(knownAt time.Duration) {
	if knownAt == 0 {
		return
	}
	if knownAt < t.jobsKnownAt { // answers about the jobs come in order
		t.storeTime.reset(knownAt)
	}
	t.planDue = t.planDue || t.jobsOutdated()
	t.jobsKnownAt = knownAt
}
