package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// closingWorkers answers polls over a new connection each time, so that nothing is acknowledged.
type closingWorkers struct {
	Workers
	polls int
}

func (f *closingWorkers) Poll(context.Context, WorkerInfo, PollOrder) (Report, error) {
	f.polls++
	time.Sleep(2 * time.Millisecond)
	return Report{Verdict: StartRunning, Born: 1, Clock: time.Second, Ended: []RunEnd{{Number: 1, RunRef: RunRef{"j.0.0.0", 1}, How: EndDone}}}, nil
}

// A worker that closes each connection after its answer was polled without a pause.
func TestPollsWithoutAcknowledgementPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := newTestTerm(1)
		f := &closingWorkers{}
		tm.cfg.Workers = f
		w := testWorker("w")
		tm.workers["w"], tm.loaded = w, true
		tm.now = time.Now()
		tm.lastRenewal = tm.now
		w.observeClock(time.Second, tm.now)
		w.lastSeenEnd, w.lastStoredEnd = 1, 1
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
			tm.schedulePolls()
			select {
			case e := <-tm.events[classState]:
				tm.now = time.Now()
				e.event.handle(tm)
			case <-time.After(tickInterval):
				tm.now = time.Now()
			}
			tm.lastRenewal = tm.now
		}
		tm.cancel()
		time.Sleep(time.Second)
		require.Less(t, f.polls, 50, "polls in 5 s")
	})
}

// A worker that left the list before its last ends were acknowledged was kept for ever, and its row.
func TestWorkerThatLeavesWithoutAcknowledgementIsRemoved(t *testing.T) {
	tm := newTestTerm(1)
	w := testWorker("w")
	tm.workers["w"], tm.loaded = w, true
	w.observeClock(time.Second, at(0))
	w.lastSeenEnd, w.lastStoredEnd = 1, 1 // the poll that acknowledged it went over a new connection
	w.listed = false
	for s := 0.0; s < 120; s += 0.5 {
		tm.now, tm.confirmedAt, tm.lastRenewal = at(s), at(s), at(s)
		tm.expireLeases()
		if tm.pollDue(w) {
			return // asked again; its answer, or silence, settles it
		}
	}
	require.Empty(t, tm.workers)
}
