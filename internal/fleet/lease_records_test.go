package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// recordedLeases collects the next transaction and returns its lease records.
func recordedLeases(t *testing.T, tm *term) []leaseRecord {
	t.Helper()
	var records []leaseRecord
	c, _ := tm.collectTransaction()
	for _, r := range c.tx.Puts {
		var u usedRecord
		if r.Table == tableUsed {
			require.NoError(t, decodeRecord(r, &u))
			records = append(records, u.Leases)
		}
	}
	return records
}

// A worker whose plain row replaced a lease record counted as registered although its row had been
// deleted: the next term would not wait for its runs.
func TestRowDeletedBesidePlainRowIsNotStored(t *testing.T) {
	tm := newTestTerm(1)
	w := testWorker("w")
	w.leaseRecordTerm, w.clock, w.clockAt, w.inheritedLeaseEnd = tm.number-1, time.Second, at(1), at(1.1)
	tm.workers["w"], tm.loaded, w.pollInFlight = w, true, true
	tm.now, tm.fenceVersion = at(1), 1
	tm.markUsed(w) // it has answered
	c1, _ := tm.collectTransaction()
	require.Len(t, c1.used, 1)
	w.unansweredCalls = 1
	tm.now, tm.confirmedAt = at(2), at(1.5)
	tm.expireLeases()
	tm.now = at(2.1)
	commitResult{commit: c1, version: 2, sent: at(2)}.handle(tm)
	c2, _ := tm.collectTransaction()
	w.unansweredCalls = 0
	if len(c2.tx.Delete) > 0 {
		require.False(t, w.usedRowStored && tm.unusableReason(w) == "", "the row is deleted, but tasks may start on the worker")
	}
}

// A host that was suspended between a transaction and the read of a former record stored an end of
// leases that was too early.
func TestRecordAfterSuspensionDuringLoadIsNotEarly(t *testing.T) {
	tm := newTestTerm(1)
	life := Lifetime{Worker: "w", Born: 1}
	// The store's clock read 100 s at 4 s, 103 s at 5 s: the host was suspended for 2 s.
	tm.storeClock = storeReading{100 * time.Second, at(4)}
	tm.now, tm.loaded, tm.usedReadAt = at(5), true, at(5)
	record := leaseRecord{Term: tm.number - 1, End: 106 * time.Second, RunsKnown: true}
	tm.restoreUsedWorker(Row{RowID: usedRow(tm.part, life), Value: encode(usedRecord{Lifetime: life, Leases: record})}, 103*time.Second, at(5))
	tm.workers["w"].unansweredCalls = 2
	tm.now = at(5.3)
	require.Empty(t, recordedLeases(t, tm), "the reading is too old")
	tm.storeClock = storeReading{103400 * time.Millisecond, at(5.4)}
	ends := recordedLeases(t, tm)
	require.Len(t, ends, 1)
	require.GreaterOrEqual(t, ends[0].End, 106*time.Second)
}

// A term that loaded its tables after it had begun to release leadership recorded leases that end
// 292 years ago.
func TestRecordOfTermThatLoadsWhileStopping(t *testing.T) {
	tm := newTestTerm(1)
	tm.now = at(1)
	tm.operator = &operatorTable{}
	stepDown{}.handle(tm)
	life := Lifetime{Worker: "w", Born: 1}
	row := Row{RowID: usedRow(tm.part, life), Value: encode(usedRecord{Lifetime: life, Leases: leaseRecord{Term: tm.number - 1, End: 104 * time.Second, RunsKnown: true}})}
	workersLoaded{used: []Row{row}, usedNow: 100 * time.Second, usedReadAt: at(1)}.handle(tm)
	tablesLoaded{}.handle(tm)
	tm.storeClock = storeReading{100100 * time.Millisecond, at(1.1)}
	for _, r := range recordedLeases(t, tm) {
		require.GreaterOrEqual(t, r.End, 104*time.Second)
	}
}

// A lifetime that began while the term released leadership was recorded with leases that had ended long ago: tasks that
// it ran by orders for the former one started elsewhere.
func TestRecordOfLifetimeThatBeginsWhileStopping(t *testing.T) {
	tm := loadedTerm(t)
	tm.operator = &operatorTable{}
	w := testWorker("w")
	w.observeClock(time.Second, tm.now)
	tm.workers["w"] = w
	testRun(w, &Step{Count: 1}, 0).state = runUnconfirmed
	stepDown{}.handle(tm)
	next := w.info
	next.Born++
	tm.replaceWorker(w, next).usedRowStored = true
	clear(tm.usedRowsToPut)
	tm.workers["w"].countUnanswered(tm.now)
	tm.storeClock = storeReading{100 * time.Second, tm.now.Add(time.Millisecond)}
	ends := recordedLeases(t, tm)
	require.Len(t, ends, 1)
	require.GreaterOrEqual(t, ends[0].End, tm.storeClock.upperBound(tm.workers["w"].leaseEnd()))
}

// A run that was recorded with a former lifetime of a worker stayed with its task for good when the
// row of a newer lifetime replaced that worker.
func TestRecordedRunOfReplacedLifetimeIsDropped(t *testing.T) {
	tm := newTestTerm(1)
	tm.now, tm.loaded, tm.fenceVersion = at(1), true, 10
	j := newJob("0000000000000001", jobRecord{Spec: Spec{Steps: []Step{{Count: 1, Lasting: true}}}}, 1, epoch)
	j.inherited = true
	j.openDue(tm.now, 0, tm.monotonicTime)
	tm.jobs[j.id] = j
	former, later := Lifetime{Worker: "w", Born: 1}, Lifetime{Worker: "w", Born: 2}
	record := leaseRecord{Term: tm.number, End: 101 * time.Second, RunsKnown: true, Runs: []storedRun{{Task: taskKey{0, 0, 0}.Name(j.id), Attempt: 1}}}
	tm.restoreUsedWorker(Row{RowID: usedRow(tm.part, former), Value: encode(usedRecord{Lifetime: former, Leases: record})}, 100*time.Second, at(1))
	tm.restoreUsedWorker(Row{RowID: usedRow(tm.part, later), Value: encode(usedRecord{Lifetime: later})}, 100*time.Second, at(1))
	tm.adoptRecordedRuns()
	tm.now, tm.confirmedAt = at(60), at(60)
	tm.expireLeases()
	_, tk := j.task(taskKey{0, 0, 0})
	require.Empty(t, tk.runs)
}

// A leader released leadership although records of departed workers did not fit into its last
// transaction.
func TestReleaseWaitsForAllLeaseRecords(t *testing.T) {
	tm := newTestTerm(1)
	tm.now, tm.loaded = at(1), true
	for i := range 120 {
		w := testWorker(string(rune('a'+i%26)) + string(rune('a'+i/26)))
		w.info.Draining, w.clockAt = true, at(0.5)
		tm.workers[w.info.Worker] = w
	}
	stepDown{}.handle(tm)
	tm.storeClock = storeReading{100 * time.Second, at(1.1)}
	_, complete := tm.collectTransaction()
	missing := 0
	for _, w := range tm.workers {
		if tm.leaseRecordNeeded(w) {
			missing++
		}
	}
	require.Positive(t, missing, "the records need several transactions")
	require.False(t, tm.leasesRecorded(complete))
	_, complete = tm.collectTransaction()
	require.True(t, tm.leasesRecorded(complete))
}

// The lease record of a worker stayed incomplete when progress did not fit into its transaction.
func TestIncompleteLeaseRecordIsCompletedLater(t *testing.T) {
	tm := newTestTerm(1)
	tm.now, tm.loaded = at(1), true
	for i := range 95 {
		j := newJob(string(rune('a'+i%26))+string(rune('a'+i/26)), jobRecord{Spec: Spec{Steps: []Step{{Count: 1}}}}, 1, epoch)
		j.dirty = true
		tm.jobs[j.id] = j
	}
	w := testWorker("w")
	w.unansweredCalls, w.clockAt = 2, at(0.5)
	tm.workers["w"] = w
	tm.storeClock = storeReading{100 * time.Second, at(0.9)}
	require.Empty(t, recordedLeases(t, tm), "ends of runs are not part of the transaction")
	records := recordedLeases(t, tm)
	require.Len(t, records, 1)
	require.True(t, records[0].RunsKnown)
}

// Lease records of workers with very many runs made a transaction that the store refuses for ever.
func TestLeaseRecordsFitInRowsAndTransactions(t *testing.T) {
	tm := newTestTerm(1)
	tm.cfg.Limits.RowBytes = 65536
	tm.now, tm.loaded = at(1), true
	tm.storeClock = storeReading{100 * time.Second, at(0.9)}
	step := &Step{Count: 1}
	for i, runs := range []int{1900, 1900, 1900, 1900, 1900, 1900, 1900, 1900, 1900, 1900, 1900, 1900, 3000} {
		w := testWorker(string(rune('a' + i)))
		w.unansweredCalls, w.clockAt = unreachableCalls, at(0.5)
		for n := range runs {
			ref := RunRef{taskKey{0, 0, n}.Name("0123456789abcdef"), 1}
			w.runs[ref] = &run{ref: ref, worker: w, step: step}
		}
		tm.workers[w.info.Worker] = w
	}
	records := 0
	for range 3 {
		c, _ := tm.collectTransaction()
		size := 0
		for _, r := range c.tx.Puts {
			require.LessOrEqual(t, len(r.Value), tm.cfg.Limits.RowBytes)
			size += len(r.Value)
			records++
		}
		require.LessOrEqual(t, size, maxCommitBytes+tm.cfg.Limits.RowBytes)
	}
	require.Equal(t, len(tm.workers), records)
}

// Workers whose maintenance began while their leader released leadership had no lease record.
func TestReleaseRecordsWorkersBeforeMaintenance(t *testing.T) {
	tm := newTestTerm(1)
	tm.now, tm.loaded, tm.stopping = at(1), true, true
	own, other, idle := testWorker("own"), testWorker("other"), testWorker("idle")
	tm.maintenance.evacuating = map[model.WorkerID]bool{own.info.Worker: true}
	tm.evacuatingUntil[other.info.Worker] = at(2)
	require.True(t, tm.leaseRecordNeeded(own))
	require.True(t, tm.leaseRecordNeeded(other), "the leader of another cell runs the wave")
	require.False(t, tm.leaseRecordNeeded(idle))
}

// The runs of a machine's former worker in another cell counted as those of the next one: its maintenance could begin
// beside work.
func TestEvacuationOfFormerWorkerSaysNothingOfNextOne(t *testing.T) {
	tm := newTestTerm(2)
	e := &machineEvacuation{startedAt: tm.now}
	remoteEvacuationReply{e, "former", evacuationStatus{Known: true}, tm.now}.handle(tm)
	require.True(t, tm.evacuateRemote("former", 1, e))
	require.False(t, tm.evacuateRemote("next", 1, e))
}

// A term that released leadership just after it had loaded its tables recorded leases of all workers
// without their runs, and the next term had to replace each record before it could use the worker.
func TestReleaseAfterLoadRecordsNoUnaskedWorkers(t *testing.T) {
	tm := newTestTerm(1)
	tm.now, tm.loaded, tm.stopping = at(1), true, true
	w := testWorker("w")
	w.inherited, w.answered, w.inheritedLeaseEnd = true, false, at(9)
	require.False(t, tm.leaseRecordNeeded(w))
	w.unansweredCalls = 1
	require.True(t, tm.leaseRecordNeeded(w), "its leases end when the term knows, not a lease after the release")
}

// A new leader must wait for the leases that orders for a former lifetime may have set: their
// deadlines are times on another clock, so they may reach further than leases of its predecessor.
func TestLeasesOfFormerLifetimeAreRestored(t *testing.T) {
	former := newTestTerm(1)
	former.cfg.Bounds.LeaseMax = 10 * time.Second
	former.now, former.storeClock = at(20), storeReading{now: 100 * time.Second, at: at(19)}
	w := testWorker("w")
	former.workers["w"] = w
	j := &job{id: "j", visibleState: StateRunning}
	w.attach(&run{ref: RunRef{"j.0.0.0", 1}, job: j, worker: w, state: runUnconfirmed}, at(20))
	info := w.info
	info.Born = 2
	next := former.replaceWorker(w, info)
	require.Len(t, next.runs, 1)

	tm := newTestTerm(1)
	tm.cfg.Bounds.LeaseMax = 10 * time.Second
	tm.now, tm.formerLeaderRenewedBy = at(21), at(19)
	row := Row{RowID: usedRow(tm.part, info.Lifetime), Value: encode(former.usedRowsToPut[info.Lifetime])}
	require.True(t, tm.restoreUsedWorker(row, 102*time.Second, at(21)))
	require.WithinDuration(t, at(20).Add(maxRealDuration(10*time.Second)), tm.workers["w"].inheritedLeaseEnd, 100*time.Millisecond)
	tm.workers["w"].fenceFormerLeases(at(21))
	require.WithinDuration(t, at(20).Add(maxRealDuration(10*time.Second)), tm.workers["w"].inheritedLeaseEnd, 100*time.Millisecond)
}

// The plain row that is stored when the new lifetime answers, and a lease record in its place, left
// out how long leases last that orders for the former lifetime may have set.
func TestRowsOfAnsweringLifetimeKeepFormerLeases(t *testing.T) {
	former := newTestTerm(1)
	former.cfg.Bounds.LeaseMax = 10 * time.Second
	former.now, former.loaded, former.storeClock = at(20), true, storeReading{now: 100 * time.Second, at: at(19)}
	w := testWorker("w")
	former.workers["w"] = w
	w.attach(&run{ref: RunRef{"j.0.0.0", 1}, worker: w, state: runUnconfirmed}, at(20))
	info := w.info
	info.Born = 2
	next := former.replaceWorker(w, info)
	next.pollInFlight = true
	former.applyReport(next, pollReply{worker: next, report: Report{Verdict: StartRunning, Born: 2, Clock: time.Second, Running: []RunStatus{{RunRef: RunRef{"j.0.0.0", 1}}}}, sent: at(20)})
	restored := func(row []byte) time.Time {
		tm := newTestTerm(1)
		tm.cfg.Bounds.LeaseMax = 10 * time.Second
		tm.now, tm.formerLeaderRenewedBy, tm.leaseRecordsSince = at(21), at(19.9), former.number
		require.True(t, tm.restoreUsedWorker(Row{RowID: usedRow(tm.part, info.Lifetime), Value: row}, 102*time.Second, at(21)))
		return tm.workers["w"].inheritedLeaseEnd
	}
	ends := at(20).Add(maxRealDuration(10 * time.Second))
	c, _ := former.collectTransaction()
	require.Len(t, c.tx.Puts, 1)
	require.False(t, restored(c.tx.Puts[0].Value).Before(ends), "plain row")

	next.usedRowStored, next.unansweredCalls = true, unreachableCalls
	former.now, former.storeClock = at(20.5), storeReading{now: 101400 * time.Millisecond, at: at(20.4)}
	c, _ = former.collectTransaction()
	require.Len(t, c.tx.Puts, 1)
	require.False(t, restored(c.tx.Puts[0].Value).Before(ends), "lease record")
}

// A worker that may have ends which it has not listed is accounted for once it lists all of them, or
// once it is silent and its leases have ended: jobs must not wait for it for ever.
func TestWorkerWithUnlistedEndsIsAccountedFor(t *testing.T) {
	tm := newTestTerm(1)
	w := testWorker("w")
	w.inherited, w.endsCut = true, true
	w.clockAt, w.leaseDeadline = at(1), 5*time.Second
	tm.now, tm.confirmedAt = at(20), at(20)
	require.False(t, tm.accountedFor(w), "it answers, and will list the rest")
	w.countUnanswered(at(20))
	require.True(t, tm.accountedFor(w))
	tm.confirmedAt = at(4)
	require.False(t, tm.accountedFor(w), "its leases last")
	w.inherited, w.endsCut = false, false
	require.True(t, tm.accountedFor(w))
}

// A leader recorded that all runs on a worker were known, although the worker's last report had not
// listed all ends. The next leader did not wait for the rest: tasks that were done started again.
func TestLeaseRecordOfWorkerWithUnlistedEnds(t *testing.T) {
	for cut, known := range map[bool]bool{false: true, true: false} {
		tm := newTestTerm(1)
		tm.now, tm.loaded, tm.storeClock = at(20), true, storeReading{now: 100 * time.Second, at: at(19)}
		w := testWorker("w")
		w.inherited, w.inheritedLeaseEnd, w.pollInFlight = true, at(28), true
		tm.workers["w"] = w
		tm.applyReport(w, pollReply{worker: w, report: Report{Verdict: StartRunning, Clock: time.Second, EndsCut: cut}, sent: at(20)})
		w.usedRowStored, w.unansweredCalls = true, unreachableCalls
		tm.now, tm.storeClock = at(20.5), storeReading{now: 101400 * time.Millisecond, at: at(20.4)}
		records := recordedLeases(t, tm)
		require.Len(t, records, 1)
		require.Equal(t, known, records[0].RunsKnown, "ends cut %t", cut)
	}
}

// The end of a lease counts with the first transaction that is sent after it, and that was the next
// renewal, up to 0.4 s later.
func TestEndOfLeaseRequestsTransaction(t *testing.T) {
	for name, inherited := range map[string]bool{"inherited": true, "own": false} {
		t.Run(name, func(t *testing.T) {
			tm := loadedTerm(t)
			w := testWorker("w")
			testRun(w, &Step{Count: 1, Lasting: true, Needs: model.Resources{MilliCPU: 1000}}, 0)
			tm.workers[w.info.Worker] = w
			if inherited {
				w.inherited, w.answered, w.inheritedLeaseEnd = true, false, at(6)
			} else {
				w.observeClock(time.Second, at(1))
				w.extendLease(at(1), maxLease)
				w.countUnanswered(at(2))
			}
			end := tm.lastLeaseEnd(w)
			tm.confirmedAt, tm.lastRenewal, tm.now = end.Add(-time.Millisecond), end, end
			tm.expireLeases()
			require.Nil(t, tm.nextTransaction(), "no end of a lease has passed")
			tm.now = end.Add(time.Millisecond)
			tm.expireLeases()
			require.Len(t, w.runs, 1, "a later leader may have renewed the lease")
			c := tm.nextTransaction()
			require.NotNil(t, c)
			commitResult{commit: c, version: 1, sent: tm.now}.handle(tm)
			tm.expireLeases()
			require.Empty(t, w.runs)
			require.Nil(t, tm.nextTransaction(), "one transaction is enough")
		})
	}
}

// A worker that had started again was forgotten when the leases of its former lifetime ended unheard, until its
// entry changed: a fifth of a fleet stayed unused beside tasks without a worker.
func TestLaterLifetimeIsKeptWhenLeasesOfTheFormerEnd(t *testing.T) {
	tm := loadedTerm(t)
	later := WorkerInfo{Lifetime: Lifetime{Worker: "w", Born: 2}, Service: "svc"}
	tm.workers["w"] = newWorker(later)
	require.True(t, tm.restoreUsedWorker(Row{Value: encode(usedRecord{Lifetime: Lifetime{Worker: "w", Born: 1}})}, 0, tm.now))
	require.EqualValues(t, 1, tm.workers["w"].info.Born)
	tm.now = tm.workers["w"].leaseEnd().Add(time.Second)
	tm.confirmedAt = tm.now
	tm.expireLeases()
	require.Contains(t, tm.workers, later.Worker)
	require.EqualValues(t, 2, tm.workers["w"].info.Born)
	require.True(t, tm.workers["w"].listed)
}

// The entry of a lifetime was forgotten when the rows of two former ones were read.
func TestEntryOutlastsRowsOfFormerLifetimes(t *testing.T) {
	tm := loadedTerm(t)
	entry := testWorker("w").info
	entry.Born = 3
	tm.workers["w"] = newWorker(entry)
	for born := range int64(2) {
		require.True(t, tm.restoreUsedWorker(Row{Value: encode(usedRecord{Lifetime: Lifetime{Worker: "w", Born: 1 + born}})}, 0, tm.now))
	}
	w := tm.workers["w"]
	require.EqualValues(t, 2, w.info.Born)
	require.NotNil(t, w.laterEntry)
	require.Equal(t, entry, *w.laterEntry)
}
