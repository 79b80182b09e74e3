package fleet

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// pollLog records the orders of polls; they get no answer.
type pollLog struct {
	silentWorkers
	orders chan PollOrder
}

func (p pollLog) Poll(ctx context.Context, _ WorkerInfo, o PollOrder) (Report, error) {
	p.orders <- o
	<-ctx.Done()
	return Report{}, ctx.Err()
}

// loadingTerm returns a term of a small host that reads its tables and knows one worker with runs of earlier
// terms.
func loadingTerm(t *testing.T, workers int) (*term, []*worker, pollLog) {
	tm := loadedTerm(t)
	log := pollLog{orders: make(chan PollOrder, 10_000)}
	tm.cfg.Workers, tm.loaded, tm.runsKnown, tm.workersLoaded = log, false, false, true
	tm.operator, tm.cfg.Bounds.LeaseMax = &operatorTable{}, 8*time.Second
	tm.cfg.Limits.MilliCPU, tm.callSlots, tm.pollSlots = 190, newCallSlots(190), newCallSlots(190)
	tm.formerLeaderRenewedBy = endedRenewal(tm.now)
	var all []*worker
	for i := range workers {
		w := testWorker(fmt.Sprintf("w%03d", i))
		w.answered, w.inherited, w.usedRowStored = false, true, true
		w.inheritedLeaseEnd = tm.formerLeasesEnd()
		tm.workers[w.info.Worker] = w
		all = append(all, w)
	}
	return tm, all, log
}

// earlyAnswer lets a worker answer while the term reads its tables.
func earlyAnswer(tm *term, w *worker) {
	clock := w.clock + time.Second
	w.pollInFlight = true
	pollReply{worker: w, sent: tm.now, report: Report{Verdict: StartRunning, Born: w.info.Born, Clock: clock,
		Running: []RunStatus{{RunRef: RunRef{"0000000000000001.0.0.0", 1}}}}}.handle(tm)
}

// earlyPoll lets a worker answer and returns the order of the poll that follows.
func earlyPoll(tm *term, w *worker, log pollLog) PollOrder {
	earlyAnswer(tm, w)
	tm.now = tm.now.Add(earlyPollPause)
	tm.lastRenewal = tm.now
	tm.poll(w)
	return <-log.orders
}

// The lease of a worker that had answered once while the tables were read was extended by every poll that got no
// answer: its tasks wait for the whole load and a lease more.
func TestLeaseOfWorkerLostDuringLoadIsNotExtended(t *testing.T) {
	tm, all, log := loadingTerm(t, 1)
	w := all[0]
	o := earlyPoll(tm, w, log)
	require.NotZero(t, o.Deadline)
	end := w.leaseEnd()
	for range 5 {
		pollReply{worker: w, order: o, report: Report{Deadline: o.Deadline}, sent: tm.now, err: errors.New("no answer")}.handle(tm)
		tm.now = tm.now.Add(earlyPollPause)
		tm.lastRenewal = tm.now
		tm.schedulePolls()
		o = <-log.orders
		require.Zero(t, o.Deadline, "it has not answered")
	}
	require.Equal(t, end, w.leaseEnd())
}

// A worker that answered while the tables were read, and whose lease was extended, was replaced by an entry of
// another writer when they had been read: the end of the leases did not count those that this term had granted.
func TestEntryDuringLoadKeepsGrantedLease(t *testing.T) {
	tm, all, log := loadingTerm(t, 1)
	w := all[0]
	for range 10 { // a load of 10 s
		earlyPoll(tm, w, log)
	}
	granted := w.leaseEnd()
	info := w.info
	info.Born++
	// the change that handleWorkerRow gets from tablesLoaded.changes
	tablesLoaded{changes: &changeBuffer{held: []event{replaceEntry{w, info}}}}.handle(tm)
	next := tm.workers[info.Worker]
	if next != w {
		require.False(t, tm.lastLeaseEnd(next).Before(granted), "counts as over %v before a lease that this term has granted to the lifetime that answers", granted.Sub(tm.lastLeaseEnd(next)))
	}
}

// An early report that went without a part of its order counted once more when the tables had been read, as though the
// worker closed its connections, and a probe's answer began the count anew.
func TestWithheldPollCountsOnce(t *testing.T) {
	tm, all, log := loadingTerm(t, 1)
	w := all[0]
	o := earlyPoll(tm, w, log)
	report := Report{Verdict: StartRunning, Born: w.info.Born, Clock: w.clock + time.Second}
	pollReply{worker: w, order: o, report: report, sent: tm.now}.handle(tm)
	require.Equal(t, 1, w.withheld)
	tablesLoaded{}.handle(tm)
	require.Equal(t, 1, w.withheld)
	pollReply{worker: w, order: PollOrder{Fence: tm.number}, report: report, sent: tm.now, probe: true}.handle(tm)
	require.Equal(t, 1, w.withheld)
}

// Polls of all workers that had answered early began at the same moment when the tables had been read.
func TestPollsAfterLoadAreSpread(t *testing.T) {
	tm, all, _ := loadingTerm(t, 350)
	for i, w := range all {
		if i%16 == 0 {
			tm.now = tm.now.Add(100 * time.Millisecond) // first looks are spread
			tm.lastRenewal = tm.now
		}
		earlyAnswer(tm, w)
		w.pollInFlight = false
	}
	j := newJob("0000000000000001", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 1}}}}}, 1, tm.now)
	j.inherited = true
	j.openOccurrence(0, time.Time{}, tm.now)
	tm.jobs[j.id] = j
	tablesLoaded{}.handle(tm)
	inFlight := 0
	for _, w := range all {
		if w.pollInFlight {
			inFlight++
		}
	}
	require.LessOrEqual(t, inFlight, 2*tm.callSlots.limit, "polls begun at the same moment")
}

// Another lifetime had answered, and the lease of the former one was extended all the same: its deadlines are times on
// another clock.
func TestLeaseOfFormerLifetimeIsNotExtendedDuringLoad(t *testing.T) {
	tm, all, log := loadingTerm(t, 1)
	w := all[0]
	earlyAnswer(tm, w)
	w.pollInFlight = true
	pollReply{worker: w, sent: tm.now, report: Report{Verdict: StartRunning, Born: w.info.Born + 1, Clock: time.Second}}.handle(tm)
	tm.now = tm.now.Add(time.Second)
	tm.lastRenewal = tm.now
	tm.schedulePolls()
	require.Zero(t, (<-log.orders).Deadline)
	tablesLoaded{}.handle(tm)
	require.Empty(t, w.runs, "the lifetime that listed them is over")
}

// replaceEntry is what handleWorkerRow does with an entry of a later lifetime.
type replaceEntry struct {
	w    *worker
	info WorkerInfo
}

func (e replaceEntry) handle(t *term) {
	t.cfg.Decoder = entryDecoder{info: e.info}
	t.handleWorkerRow(Row{RowID: RowID{Key: string(e.info.Worker)}})
}

type entryDecoder struct {
	Decoder
	info WorkerInfo
}

func (d entryDecoder) Worker(Row) (WorkerInfo, error) { return d.info, nil }
