package fleet

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// A term that begins does not know which runs a worker holds that it cannot reach, nor how long
// the worker's leases last. The leader that granted them does: it stores both in the worker's
// row of tableUsed when the worker stops answering, and for all workers that may be gone soon
// when it releases leadership. From then on it grants the worker no lease and starts nothing
// there until a row without the record is stored.

// unreachableCalls is the number of unanswered calls in a row after which the leases of a worker
// are recorded.
const unreachableCalls = 2

// leaseRecord tells which runs of a term may still be on a worker, and until when.
type leaseRecord struct {
	// Term is the term that wrote the record; 0 for none. It holds if all leaders since then
	// honour records.
	Term uint64 `cbor:"1,keyasint,omitempty"`
	// End is the store's monotonic clock when all leases of the worker have ended.
	End time.Duration `cbor:"2,keyasint,omitempty"`
	// RunsKnown means that Runs holds all runs that may be on the worker.
	RunsKnown bool        `cbor:"3,keyasint,omitempty"`
	Runs      []storedRun `cbor:"4,keyasint,omitempty"`
	// EndAssumed means that the term did not reach the worker, and that End is what the silence of a
	// former leader allows.
	EndAssumed bool `cbor:"5,keyasint,omitempty"`
}

// storedRun is the stored form of a RunRef.
type storedRun struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskName
	Attempt int
}

// storeReading is a reading of the store's monotonic clock that was requested at a local time.
type storeReading struct {
	now time.Duration
	at  time.Time
}

// upperBound returns a reading that the store's clock reaches at moment x or later. It holds for
// deadlines that were computed before the reading, also if this host was suspended in between.
func (c storeReading) upperBound(x time.Time) time.Duration { return c.now + x.Sub(c.at) }

// leasesEndBy returns when all leases on w have ended, and since when that is known.
func (t *term) leasesEndBy(w *worker) (end, knownSince time.Time) {
	switch {
	case t.stopping && !w.leaseEndAtStop.IsZero(): // zero for a lifetime that has begun since
		return w.leaseEndAtStop, t.stoppedAt
	case !w.answered && w.inheritedAt.After(t.usedReadAt):
		return w.leaseEnd(), w.inheritedAt
	case !w.answered:
		return w.leaseEnd(), t.usedReadAt
	}
	end, knownSince = t.lastLeaseEnd(w), w.clockAt
	if end.After(w.leaseEnd()) && w.leaseSentBy.After(knownSince) {
		knownSince = w.leaseSentBy
	}
	return end, knownSince
}

// recordHolds reports whether later terms may rely on the lease record of a term; 0 stands for no
// record.
func (t *term) recordHolds(number uint64) bool { return number > 0 && number >= t.leaseRecordsSince }

// leaseRecordNeeded reports whether the leases of w must be recorded for a later term.
func (t *term) leaseRecordNeeded(w *worker) bool {
	switch {
	case !w.usedRowStored, t.recordHolds(w.leaseRecordTerm):
		return false
	case w.unansweredCalls > 0:
		return t.stopping || !w.listed || w.unansweredCalls >= unreachableCalls
	}
	return t.stopping && w.answered && (!w.listed || t.departurePlanned(w))
}

// departurePlanned reports whether a worker ends all its runs soon as planned.
func (t *term) departurePlanned(w *worker) bool {
	return w.info.Draining || t.maintenance.evacuating[w.info.Worker] || t.now.Before(t.evacuatingUntil[w.info.Worker])
}

// maxRecordTime bounds the time after a stop in which leases are recorded before the release.
const maxRecordTime = time.Second

// leasesRecorded reports whether a release need not wait for lease records: a transaction has all
// that it must hold, or recording has taken too long.
func (t *term) leasesRecorded(complete bool) bool {
	if !t.loaded || t.now.Sub(t.stoppedAt) > maxRecordTime {
		return true
	}
	return complete && !t.leaseRecordsNeeded()
}

// leaseRecordsNeeded reports whether the leases of any worker must be recorded for a later term.
func (t *term) leaseRecordsNeeded() bool {
	for _, w := range t.workers {
		if t.leaseRecordNeeded(w) {
			return true
		}
	}
	return false
}

// collectLeaseRecords adds the lease records that are due to a transaction that holds the ends of
// all runs which are missing from the records, in size bytes. A record that is too large for a row
// leaves out the runs.
func (t *term) collectLeaseRecords(c *pendingCommit, size int) {
	if !t.loaded {
		return
	}
	for _, w := range t.workers {
		if len(c.tx.Puts) >= maxCommitRows || size > t.commitBytes() {
			return
		}
		if !t.leaseRecordNeeded(w) || slices.Contains(c.used, w.info.Lifetime) {
			continue
		}
		end, knownSince := t.leasesEndBy(w)
		if t.storeClock.at.Before(knownSince) {
			continue
		}
		record := leaseRecord{Term: t.number, End: t.storeClock.upperBound(end), RunsKnown: w.runsKnown || (w.answered && !(w.inherited && w.endsCut))}
		record.EndAssumed = !w.answered && w.leaseEndAssumed
		for ref, r := range w.runs {
			if r.state != runHeld { // a worker with a record gets no start
				record.Runs = append(record.Runs, storedRun{Task: ref.Task, Attempt: ref.Attempt})
			}
		}
		u := t.usedRecord(w)
		u.Leases = record
		value := encode(u)
		if !t.fitsInRow(value) {
			u.Leases.RunsKnown, u.Leases.Runs = false, nil
			value = encode(u)
		}
		size += len(value)
		c.tx.Puts = append(c.tx.Puts, Row{RowID: usedRow(t.part, w.info.Lifetime), Value: value})
		delete(t.usedRowsToPut, w.info.Lifetime)
		w.leaseRecordTerm = t.number
		t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "recorded", "runs": len(w.runs),
			"runs_known": u.Leases.RunsKnown, "lease_ms": end.Sub(t.now).Milliseconds()}).Info("recording the leases of a worker for the next term")
	}
}

// adoptRecordedRuns takes over the runs that an earlier term has recorded. It counts the workers that may hold
// runs, those of them whose runs are recorded, and these runs.
func (t *term) adoptRecordedRuns() (inherited, recorded, runs int) {
	for _, w := range t.workers {
		for _, s := range w.recordedRuns {
			t.adopt(w, RunStatus{RunRef: RunRef{s.Task, s.Attempt}})
		}
		w.recordedRuns = nil
		if w.inherited {
			inherited++
		}
		if w.runsKnown {
			recorded++
			runs += len(w.runs)
		}
	}
	return inherited, recorded, runs
}

// restoreLeases applies the lease record of an earlier term to a worker. storeNow is a reading
// of the store's clock that had arrived by readAt.
func (t *term) restoreLeases(w *worker, r leaseRecord, storeNow time.Duration, readAt time.Time) {
	w.leaseRecordTerm = r.Term
	if !t.recordHolds(r.Term) {
		return
	}
	end := readAt.Add(r.End - storeNow)
	if w.leaseEndAssumed = w.leaseEndAssumed && r.EndAssumed; !w.leaseEndAssumed || end.Before(w.inheritedLeaseEnd) {
		w.inheritedLeaseEnd = end // else this term knows better than the one that wrote the record
	}
	w.runsKnown, w.recordedRuns = r.RunsKnown, r.Runs
}
