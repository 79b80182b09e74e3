package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// polledWorker returns a term that knows a worker with a run, and the orders of its polls, which get no answer.
func polledWorker(t *testing.T) (*term, *worker, *run, pollLog) {
	tm := loadedTerm(t)
	log := pollLog{orders: make(chan PollOrder, 10)}
	tm.cfg.Workers, tm.cfg.Bounds.LeaseMax = log, 8*time.Second
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	w.observeClock(time.Minute, tm.now)
	return tm, w, testRun(w, &Step{Count: 1, Needs: model.Resources{MilliCPU: 1000}}, 0), log
}

// A poll whose deadline was not sent counted as one that has extended the lease.
func TestLeaseIsNotExtendedByWithheldDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		sent, answered, extended bool
	}{
		"sent":                {sent: true, answered: true, extended: true},
		"sent, no answer":     {sent: true, extended: true},
		"withheld":            {answered: true},
		"withheld, no answer": {},
	} {
		t.Run(name, func(t *testing.T) {
			tm, w, _, log := polledWorker(t)
			w.extendLease(tm.now, maxLease)
			before, granted := w.leaseEnd(), w.leaseDeadline

			tm.now = tm.now.Add(2 * time.Second)
			tm.lastRenewal = tm.now
			tm.poll(w)
			o := <-log.orders
			require.NotZero(t, o.Deadline)
			require.Greater(t, w.leaseEnd(), before, "the poll in flight may extend the lease")

			e := pollReply{worker: w, order: o, sent: tm.now}
			if test.sent {
				e.report.Deadline = o.Deadline
			}
			if test.answered {
				e.report.Clock, e.report.Born = w.clock+2*time.Second, w.info.Born
				e.report.Running = []RunStatus{{RunRef: RunRef{"j.0.0.0", 1}}}
			} else {
				e.err = errors.New("no answer")
			}
			e.handle(tm)
			require.Equal(t, test.extended, w.leaseDeadline > granted)
			require.Equal(t, test.answered, w.pollInFlight, "the next poll goes on the connection of the answer")
		})
	}
}

// A worker on whose connections no report has come gets its next poll at once, and one that closes each
// connection after its answer is not polled without a pause.
func TestPollsAfterWithheldDeadline(t *testing.T) {
	for _, loaded := range []bool{true, false} {
		tm, all, log := loadingTerm(t, 1)
		w := all[0]
		tm.loaded = loaded
		if loaded {
			w.answered = true
			testRun(w, &Step{Count: 1, Needs: model.Resources{MilliCPU: 1000}}, 0)
		}
		earlyAnswer(tm, w)
		for i := range 3 {
			tm.now = w.nextPoll
			tm.lastRenewal = tm.now
			if !w.pollInFlight {
				tm.poll(w)
			}
			o := <-log.orders
			require.NotZero(t, o.Deadline)
			pollReply{worker: w, order: o, sent: tm.now, report: Report{Verdict: StartRunning, Born: w.info.Born, Clock: w.clock + time.Second,
				Running: []RunStatus{{RunRef: RunRef{"0000000000000001.0.0.0", 1}}}}}.handle(tm)
			if i == 0 && !w.pollInFlight {
				require.Equal(t, tm.now, w.nextPoll)
			}
			if i > 0 {
				require.False(t, w.pollInFlight)
				require.False(t, w.nextPoll.Before(tm.now.Add(pollRetryPause)))
			}
		}
	}
}

// During an upgrade a poll of a former leader, which sent its deadline to whichever lifetime answered, set a
// lease that outlasts those of the term that follows.
func TestLeasesBesideEarlierVersionsAreBounded(t *testing.T) {
	const ownLimit = 10 * time.Second
	lease := leaseTime(ownLimit)
	for name, test := range map[string]struct {
		ordersBy time.Duration // after the worker's first answer
		bound    time.Duration
	}{
		"orders may be on their way": {8 * time.Second, lease},
		"the last has arrived":       {-3 * time.Second, lease - 3*time.Second},
		"its leases are over":        {-11 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for _, loaded := range []bool{true, false} {
				tm, all, _ := loadingTerm(t, 1)
				tm.loaded, tm.cfg.Bounds.LeaseMax = loaded, ownLimit
				tm.formerLeaderRenewedBy = tm.now.Add(-maxLeaseReach - time.Second)
				tm.unverifiedOrdersBy = tm.now.Add(test.ordersBy)
				w := all[0]
				w.inheritedLeaseEnd, w.leaseEndAssumed = tm.formerLeasesEnd(), true
				answered := tm.now
				earlyAnswer(tm, w)
				w.leaseDeadline, w.offeredDeadline = 0, 0
				tm.silent = &silentLeader{renewedBy: tm.formerLeaderRenewedBy}
				tm.boundFormerLeases("the former leader has ended")
				if test.bound == 0 {
					require.True(t, w.leaseEnd().Before(answered))
					continue
				}
				require.Equal(t, answered.Add(test.bound), w.leaseEnd())
				tm.now = tm.now.Add(2 * time.Second)
				tm.fenceWorker(w)
				require.Equal(t, answered.Add(test.bound), w.leaseEnd(), "it carries out no order of earlier terms any more")

				end := tm.unverifiedOrdersEnd()
				require.Nil(t, end, "the store's clock is not known")
				tm.storeClock = storeReading{time.Hour, tm.now}
				end = tm.unverifiedOrdersEnd()
				require.WithinDuration(t, tm.unverifiedOrdersBy, tm.now.Add(*end-time.Hour), 0)
				tm.now = tm.unverifiedOrdersBy.Add(lease + time.Millisecond)
				require.Zero(t, *tm.unverifiedOrdersEnd())
			}
		})
	}
	formerOrders := epoch.Add(-time.Second)
	require.Equal(t, formerOrders.Add(maxOrderAge+answerTimeoutMax+maxOrderDelay), lastUnverifiedOrder(nil, storeReading{time.Hour, epoch}, formerOrders), "a row of an earlier version")
	require.Zero(t, lastUnverifiedOrder(new(time.Duration), storeReading{time.Hour, epoch}, formerOrders))
}

// The answer to a probe settled the deadline of the poll in flight, which may still extend the lease.
func TestProbeDoesNotSettleDeadlineOfPoll(t *testing.T) {
	tm, w, _, log := polledWorker(t)
	tm.poll(w)
	o := <-log.orders
	require.NotZero(t, o.Deadline)
	end := w.leaseEnd()
	pollReply{worker: w, order: PollOrder{Fence: tm.number}, sent: tm.now, probe: true, err: errors.New("no answer")}.handle(tm)
	require.Equal(t, end, w.leaseEnd())
	require.True(t, w.pollInFlight)
}

// The clock in an answer to a stop counted although another lifetime may have given it: the deadlines for the
// known one lay far ahead of its clock.
func TestClockOfUnknownLifetimeIsNotTaken(t *testing.T) {
	for name, sentTo := range map[string]int64{"unknown": 0, "another": 2} {
		t.Run(name, func(t *testing.T) {
			tm, w, r, _ := polledWorker(t)
			r.state, r.stopInFlight = runStopping, true
			stopReply{run: r, worker: w, reply: WorkerReply{Verdict: StartRunning, Clock: time.Hour, SentTo: sentTo}}.handle(tm)
			require.True(t, r.stopAnswered)
			require.Equal(t, time.Minute, w.clock)
		})
	}
}
