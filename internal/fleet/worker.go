package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// minClockRate is the least rate of a worker's clock: by contract it is at most 2% slow.
	minClockRate = 0.98
	// leaseMargin covers the rounding of clocks to milliseconds.
	leaseMargin = 50 * time.Millisecond
)

// runState is the leader's knowledge of a run.
type runState int

const (
	// runSent: the start has no answer yet.
	runSent runState = iota
	// runLive: the worker has confirmed the run.
	runLive
	// runUnconfirmed: the start got no answer; the worker may carry it out now or later.
	runUnconfirmed
	// runStopping: a stop was ordered and the run's end has not been reported.
	runStopping
	// runHeld: the run has its place on the worker; its start order is held back, see holdStart.
	runHeld
)

// run is one attempt of a task on a worker.
type run struct {
	ref    RunRef
	job    *job
	key    taskKey
	worker *worker
	step   *Step
	state  runState
	// reserved is what the run reserves on its worker until its end is reported.
	reserved model.Resources
	// startedAt is when the start was sent, or decided if it is held back, or when the run was adopted.
	startedAt time.Time
	// stateSince is when the state was entered.
	stateSince time.Time
	// answered means that the start order was answered or that a report has listed the run. listed
	// means that a report of the worker's present lifetime has listed it.
	answered, listed bool
	// sentTo is the Born of the lifetime that got the start order, 0 if unknown.
	sentTo       int64
	withdrawn    chan struct{} // closed to withdraw a start order that is not sent yet; nil after that
	stopInFlight bool          // a stop order waits for its answer
	stopAnswered bool          // a stop order was answered
	stopReason   string
	// percent is the last reported progress. progressAt is when the run last showed progress,
	// percentAt when the percentage changed, zero before a change between two reports.
	percent    int
	progressAt time.Time
	percentAt  time.Time
	// percentTime is the longest time that the run has taken for a percent; 0 if not known.
	percentTime time.Duration
	// reading is the tail latency of a serving run in milliseconds, and for others the processors
	// in use in thousandths; busyAt is when a report last showed more than 0.
	reading int
	busyAt  time.Time
	// paceClock is the time of a filler; stillFrom and busyFrom are what it showed at the last sign
	// of progress, or when the pace was repeated after that, and at busyAt.
	paceClock           paceClock
	stillFrom, busyFrom time.Duration
	checkpoint          string
	// ticket is the advisor's ticket of the start order.
	ticket string
	// overTargetSince is since when a serving task exceeds its latency target; zero otherwise.
	overTargetSince time.Time
	// strainedSince is since when a serving task beside fillers has exceeded its latency target
	// without being clearly below it again; zero otherwise.
	strainedSince time.Time
	// nearTargetSince is since when no reading of a serving task beside fillers has been clearly
	// below its latency target; zero otherwise.
	nearTargetSince time.Time
	lastSample      headroomSample
	// pace is the share of its full speed at which a filler may work, in percent.
	pace int
	// startPace is the pace that is set once the run has started; 0 for full pace. reduced means
	// that the run was started at a reduced pace and has not reached the full one.
	startPace    int
	reduced      bool
	paceUnknown  bool // an earlier term has set it; pace is 0
	paceInFlight bool
	paceSetAt    time.Time
	slowed       time.Duration // time lost to slower paces before paceSetAt
	// paceRepeated means that the pace was set again because the run made no progress.
	paceRepeated bool
	// adopted runs were started by an earlier term.
	adopted bool
	// crashesBefore means that the task was a prime suspect of a crash before the run started,
	// crashed that a crash of the worker under this run was counted, crashInDoubt that it was that of
	// a former lifetime, which may not have begun the run.
	crashesBefore, crashed, crashInDoubt bool
	// lastResort means that the worker was quarantined or on probation when the run was placed on it.
	lastResort bool
	// passed means that the start was sent to a former lifetime of the worker.
	passed bool
}

// live reports whether the run has not been ordered to stop.
func (r *run) live() bool { return r.state != runStopping }

// ending reports whether the run ends by itself or is being stopped.
func (r *run) ending() bool { return r.step != nil && (!r.step.Lasting || !r.live()) }

// seenRunning returns the time from the start of the run to the worker's last answer: the least
// age at which the worker can have crashed under it.
func (r *run) seenRunning() time.Duration { return max(r.worker.clockAt.Sub(r.startedAt), 0) }

// worker is the leader's view of one lifetime of a worker.
type worker struct {
	info WorkerInfo
	rack string
	// listed is false once the platform's list lacks the entry.
	listed bool
	// laterEntry is an entry that names a later lifetime of the worker, seen first at
	// laterEntrySeen, until one of both has answered or the leases of this one have ended.
	laterEntry     *WorkerInfo
	laterEntrySeen time.Time
	runs           map[RunRef]*run
	reserved       model.Resources
	// fillerMilliCPU is the processor demand of filler runs in thousandths of a core.
	fillerMilliCPU int64
	// reducedMilliCPU is the part of it for runs that were started at a reduced pace.
	reducedMilliCPU int64
	// servingMilliCPU is the processor capacity that lasting runs reserve, in thousandths of
	// a core.
	servingMilliCPU int64
	// shortMilliCPU is the same of short runs.
	shortMilliCPU int64

	// ending is what runs reserve that end by themselves or are being stopped.
	ending model.Resources
	// clock is the worker's clock in its latest answer, clockAt the time of receipt.
	clock   time.Duration
	clockAt time.Time
	// leaseDeadline is the latest lease deadline that was sent, on the worker's clock. offeredDeadline is
	// that of the poll in flight, which may go without it; 0 for none.
	leaseDeadline, offeredDeadline time.Duration
	// leaseSentBy is when the last order with a lease deadline had been sent.
	leaseSentBy time.Time
	// ordersArriveBy is until when this lifetime may carry out orders for a former one; zero if there
	// are none.
	ordersArriveBy time.Time

	// answered means that the worker has answered in this term, fenced that it carries out no order of
	// earlier terms since.
	answered, fenced bool
	// earlyReport is the worker's latest report while the term reads its tables; see applyEarlyReports.
	earlyReport *pollReply
	// recordedRuns are those of a lease record until the term has read its tables.
	recordedRuns []storedRun
	// endsCut means that the worker's last report did not list all ends.
	endsCut bool
	// usedRowStored means that the worker's row of tableUsed is stored.
	usedRowStored bool
	// inherited workers may hold runs of earlier terms that this term has not seen.
	inherited bool
	// leaseEndAssumed means that inheritedLeaseEnd is what the silence of a former leader allows, so that
	// the end of that leader's process lowers it.
	leaseEndAssumed bool
	// inheritedAt is when this term found that a new lifetime may hold runs of its former one.
	inheritedAt time.Time
	// inheritedLeaseEnd is when the leases of earlier terms, and those set by orders for a former
	// lifetime, have ended. longestLease bounds such a lease from the worker's answer on.
	inheritedLeaseEnd time.Time
	longestLease      time.Duration
	// leaseRecordTerm is the term whose lease record the worker's row of tableUsed holds; 0 for none.
	// While there is one, leases are not extended and nothing starts on the worker.
	leaseRecordTerm uint64
	// runsKnown means that no run of earlier terms on the worker is unknown although it has not
	// answered: one of them has recorded its runs, or another worker has taken its address.
	runsKnown bool
	// leaseEndAtStop is the end of the leases when the term began to release leadership.
	leaseEndAtStop time.Time

	pollInFlight bool
	// pollWithoutWait makes the next poll ask for an immediate answer.
	pollWithoutWait bool
	nextPoll        time.Time
	lastPollSent    time.Time // when the last answered poll was sent
	unansweredCalls int       // polls and orders without an answer, in a row
	silentSince     time.Time // the first of them
	refusesCalls    bool      // a connection was refused since the last answer
	endObserved     bool      // it has ended, or leases have, with a run that may be the cause
	lastSeenEnd     uint64    // highest number of an end that was processed
	lastStoredEnd   uint64    // highest number of an end that is durable
	lastAckedEnd    uint64    // highest number of an end that was acknowledged
	withheld        int       // answered polls in a row whose acknowledgement or deadline was not sent

	health health
	// lastStart and lastStartJob are the time and the job of the last start; apartJob is that
	// job if it must not share the worker with other new runs.
	lastStart              time.Time
	lastStartJob, apartJob *job
	// lowHeadroom means that a service exceeds its target or is strained, or that fillers are slowed
	// down to keep one within it.
	lowHeadroom bool
	// exposures is the recent filler work. lastProbe is when the worker was last probed
	// because of low headroom.
	exposures exposures
	lastProbe time.Time
	// pacesDue means that the worker has reported since its paces were last adjusted, at
	// pacesAdjustedAt.
	pacesDue        bool
	pacesAdjustedAt time.Time
	// interferenceView is the cached summary of the worker's services.
	interferenceView *interferenceView
}

func newWorker(info WorkerInfo) *worker {
	return &worker{info: info, rack: rackOf(info.Labels), listed: true, runs: map[RunRef]*run{}, longestLease: maxLease, health: newHealth()}
}

// rackOf returns the label that names the rack: the last one. The kind comes before it.
func rackOf(labels []string) string {
	if len(labels) < 2 {
		return ""
	}
	return labels[len(labels)-1]
}

// observeClock records the worker's clock in an answer that was received at now.
func (w *worker) observeClock(clock time.Duration, now time.Time) {
	if clock > w.clock || w.clockAt.IsZero() {
		w.clock, w.clockAt = clock, now
	}
	w.unansweredCalls, w.refusesCalls = 0, false
}

// observeReply records the clock in an answer to an order. An answer that may be another lifetime's tells
// nothing about this one's clock.
func (w *worker) observeReply(r WorkerReply, now time.Time) {
	if r.Clock > 0 && r.Verdict != StartOtherLifetime && r.SentTo == w.info.Born {
		w.observeClock(r.Clock, now)
	}
}

// countUnanswered counts a call without an answer.
func (w *worker) countUnanswered(now time.Time) {
	if w.unansweredCalls == 0 {
		w.silentSince = now
	}
	w.unansweredCalls++
}

// deadline returns a time on the worker's clock that lies at most length after now. The clock must be
// known; since the worker's latest answer it may have been slow.
func (w *worker) deadline(now time.Time, length time.Duration) time.Duration {
	return w.clock + minClockDuration(now.Sub(w.clockAt)) + length
}

// extendLease records a deadline that is sent to the worker, and returns it.
func (w *worker) extendLease(now time.Time, length time.Duration) time.Duration {
	d := w.deadline(now, length)
	w.leaseDeadline = max(w.leaseDeadline, d)
	return d
}

// minClockDuration returns by how much a worker's clock advances at least in d of real time.
func minClockDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * minClockRate)
}

// maxRealDuration returns how long d on a worker's clock takes at most in real time.
func maxRealDuration(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }

// leaseTime returns for how long a lease of length d on a worker's clock lasts at most.
func leaseTime(d time.Duration) time.Duration { return maxRealDuration(d) + leaseMargin }

// leaseEnd returns when all runs under the leases sent so far have ended, even if the
// worker's clock is slow. Leases of earlier terms count too, as a worker never shortens one.
func (w *worker) leaseEnd() time.Time {
	end := w.inheritedLeaseEnd
	if w.clockAt.IsZero() {
		return end
	}
	deadline := max(w.leaseDeadline, w.offeredDeadline)
	if own := w.clockAt.Add(leaseTime(deadline - w.clock)); own.After(end) {
		end = own
	}
	return end
}

// fenceFormerLeases bounds the leases of earlier terms: a worker that has answered this term at
// now accepts none after it.
func (w *worker) fenceFormerLeases(now time.Time) {
	if w.ordersArriveBy.After(now) {
		now = w.ordersArriveBy
	}
	if end := now.Add(leaseTime(w.longestLease)); end.Before(w.inheritedLeaseEnd) {
		w.inheritedLeaseEnd = end
	}
}

// usedIdentity returns the fields of the worker's row of tableUsed that name it; see term.usedRecord.
func (w *worker) usedIdentity() usedRecord {
	return usedRecord{Lifetime: w.info.Lifetime, Addr: w.info.Addr, DataCentre: w.info.DataCentre, Service: w.info.Service}
}

// free returns the capacity that no run reserves.
func (w *worker) free() model.Resources { return w.info.Capacity.Sub(w.reserved) }

// fillerCapacity returns the processor capacity for one more filler: what is not reserved,
// plus what services reserve but do not use on average, less the demand of present fillers that
// do not yield to it.
func (w *worker) fillerCapacity() int64 {
	return w.free().MilliCPU + int64((1-servingUseShare)*float64(w.servingMilliCPU)) - w.fillerMilliCPU + w.reducedMilliCPU
}

// departedIdle reports whether the worker has left the list and certainly holds nothing: it runs
// nothing and the leader has acknowledged all ends.
func (w *worker) departedIdle() bool {
	return !w.listed && w.answered && len(w.runs) == 0 && w.lastAckedEnd >= w.lastSeenEnd
}

// hasTrialRun reports whether a run has started on w since its last quarantine. Older runs
// prove nothing, as some workers fail only new starts, and those at a reduced pace prove little.
func (w *worker) hasTrialRun() bool {
	for _, r := range w.runs {
		if !r.reduced && !r.startedAt.Before(w.health.excludedUntil) {
			return true
		}
	}
	return false
}

// attach adds a run and reserves its resources.
func (w *worker) attach(r *run, now time.Time) {
	w.runs[r.ref] = r
	w.interferenceView = nil
	w.reserved = w.reserved.Add(r.reserved)
	if r.step == nil {
		return
	}
	*w.milliCPUOf(r.step) += r.step.Needs.MilliCPU
	if r.ending() {
		w.ending = w.ending.Add(r.reserved)
	}
	if r.step.Filler {
		w.exposures.set(r, fillerShare(r.step, w)*float64(r.pace)/100, now)
	}
}

// setStopping notes that the run has been ordered to stop.
func (r *run) setStopping(reason string, now time.Time) {
	before := r.ending()
	r.state, r.stateSince, r.stopReason = runStopping, now, reason
	if !before && r.ending() && r.worker.runs[r.ref] == r {
		r.worker.ending = r.worker.ending.Add(r.reserved)
	}
}

// detach removes a run and frees its resources.
func (w *worker) detach(r *run, now time.Time) {
	if w.runs[r.ref] != r {
		return
	}
	delete(w.runs, r.ref)
	w.interferenceView = nil
	w.reserved = w.reserved.Sub(r.reserved)
	w.setReduced(r, false)
	if r.step == nil {
		return
	}
	*w.milliCPUOf(r.step) -= r.step.Needs.MilliCPU
	if r.ending() {
		w.ending = w.ending.Sub(r.reserved)
	}
	if r.step.Filler {
		w.exposures.set(r, 0, now)
	}
}

// milliCPUOf returns the sum to which the runs of a step count.
func (w *worker) milliCPUOf(s *Step) *int64 {
	switch {
	case s.Filler:
		return &w.fillerMilliCPU
	case s.Lasting:
		return &w.servingMilliCPU
	}
	return &w.shortMilliCPU
}

// setReduced sets whether a run on the worker was started at a reduced pace and yields to others.
func (w *worker) setReduced(r *run, reduced bool) {
	if r.reduced == reduced {
		return
	}
	r.reduced, w.interferenceView = reduced, nil
	if reduced {
		w.reducedMilliCPU += r.step.Needs.MilliCPU
	} else {
		w.reducedMilliCPU -= r.step.Needs.MilliCPU
	}
}

// hasLabel reports whether the worker carries a label.
func (w *worker) hasLabel(label string) bool { return hasLabel(w.info.Labels, label) }

// hasLabel reports whether labels contain label, ignoring case. An empty label always
// matches.
func hasLabel(labels []string, label string) bool {
	return label == "" || slices.ContainsFunc(labels, func(l string) bool { return strings.EqualFold(l, label) })
}

// hasRunInDoubt reports whether a run on the worker may never have begun. Nothing ends then, so that a poll
// that waits for an end would tell it late.
func (w *worker) hasRunInDoubt() bool {
	for _, r := range w.runs {
		if r.state == runUnconfirmed || (r.state == runStopping && !r.answered) {
			return true
		}
	}
	return false
}

// hasServingRun reports whether a run with a latency target is on the worker.
func (w *worker) hasServingRun() bool {
	for _, r := range w.runs {
		if r.step != nil && r.step.LatencyTarget > 0 && r.live() {
			return true
		}
	}
	return false
}
