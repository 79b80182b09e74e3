package fleet

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// pressureLogInterval is the interval of the lines that tell how far a leader's work is behind.
const pressureLogInterval = 2 * time.Second

// callCounts counts the calls to workers by kind.
type callCounts struct{ polls, starts, stops, paces, inFlight atomic.Int64 }

// fields returns the counts since the last call, and the calls that have no answer yet.
func (c *callCounts) fields() logrus.Fields {
	return logrus.Fields{"polls": c.polls.Swap(0), "starts": c.starts.Swap(0), "stops": c.stops.Swap(0), "paces": c.paces.Swap(0), "calls": c.inFlight.Load()}
}

// begin counts a call of a kind until the returned function is called.
func (c *callCounts) begin(kind *atomic.Int64) (end func()) {
	kind.Add(1)
	c.inFlight.Add(1)
	return func() { c.inFlight.Add(-1) }
}

// pressureFields returns how far the term's work is behind: its renewals, its calls to workers, its
// loop and its host.
func (t *term) pressureFields() logrus.Fields {
	use, longest, pending := t.hostUse(), max(t.loopLoad.previous.longest, t.loopLoad.current.longest), int64(0)
	if c := t.pendingCommit; c != nil {
		pending = t.now.Sub(c.startedAt).Milliseconds()
	}
	return logrus.Fields{"renewed_ms_ago": t.now.Sub(t.lastRenewal).Milliseconds(), "transaction_ms": t.lastCommitTime.Milliseconds(), "transaction_pending_ms": pending,
		"longest_round_ms": longest.Milliseconds(), "plan_ms": t.planTime.Milliseconds(), "answer_ms": t.answerTimeout.typical.Milliseconds(), "jobs_lag_ms": t.jobsLag().Milliseconds(), "host_cpu": use.CPU, "host_link": use.Link}
}

// logPressure logs, once per pressureLogInterval, how far the work of the term is behind.
func (t *term) logPressure() {
	if t.now.Sub(t.pressureLoggedAt) >= pressureLogInterval {
		t.logPressureNow()
	}
}

func (t *term) logPressureNow() {
	t.pressureLoggedAt = t.now
	t.log.WithFields(t.pressureFields()).WithFields(t.calls.fields()).WithFields(logrus.Fields{"event": "pressure", "term_ms": t.now.Sub(t.startedAt).Milliseconds()}).Info("work of the leader")
}
