package fleet

import "time"

// On a narrow link the tables take about as long to read as leases last. So a term asks the workers for their
// reports as soon as it knows which may hold runs, and extends the leases there. It decides nothing by these
// reports before it knows the jobs: it applies the latest one of each worker then.

const (
	// firstEarlyPause is the pause from a worker's first answer to the poll that extends its lease, and
	// earlyPollPause that between the polls after it: as ends are not acknowledged while the tables are read, the
	// worker would answer at once.
	firstEarlyPause = time.Second
	earlyPollPause  = 2 * time.Second
)

// workersLoaded carries the rows of workers. usedNow is the store's monotonic clock when it returned used, which
// arrived by usedReadAt.
type workersLoaded struct {
	workers, used []Row
	usedNow       time.Duration
	usedReadAt    time.Time
}

func (e workersLoaded) handle(t *term) {
	if t.stopping {
		return // the term gives no orders any more, and records of earlier terms hold
	}
	for _, row := range e.workers {
		t.handleWorkerRow(row)
	}
	t.usedReadAt = e.usedReadAt
	for _, row := range e.used {
		t.restoreUsedWorker(row, e.usedNow, e.usedReadAt)
	}
	t.workersLoaded = true
	t.schedulePolls()
}

// reached reports whether the worker has answered in this term.
func (w *worker) reached() bool { return w.answered || w.earlyReport != nil }

// holdsRuns reports whether runs are on the worker, as far as this term knows.
func (w *worker) holdsRuns() bool {
	return len(w.runs) > 0 || (w.earlyReport != nil && len(w.earlyReport.report.Running) > 0)
}

// keepEarlyReport keeps an answer until the term has read its tables. What another lifetime answers settles
// nothing yet: it is asked again then.
func (t *term) keepEarlyReport(w *worker, e pollReply) {
	w.nextPoll = t.now.Add(firstEarlyPause)
	if !w.leaseSentBy.IsZero() {
		w.nextPoll = t.now.Add(earlyPollPause)
	}
	switch {
	case e.err == nil && e.report.Verdict == StartFenced:
		t.end("a worker has seen a higher fence")
	case e.err != nil, e.report.Verdict != StartRunning && e.report.Verdict != StartOtherLifetime:
		w.countUnanswered(t.now)
	case e.report.Verdict == StartOtherLifetime, w.isOtherLifetime(e.report.Born):
		w.inheritedLeaseEnd, w.earlyReport = w.leaseEnd(), nil
		w.countUnanswered(t.now)
		if e.report.Verdict == StartRunning { // that lifetime may have carried out orders for w
			t.extendByOrders(w, t.lastOrder(w))
		}
	case e.report.Clock >= w.clock:
		w.observeClock(e.report.Clock, t.now)
		t.fenceWorker(w)
		w.earlyReport = &e
		if w.withheld == 1 {
			w.nextPoll = t.now // on the connection of this answer
		}
	}
}

// applyEarlyReports applies the reports that came while the tables were read, and returns their number. A worker
// that has fallen silent since stays so.
func (t *term) applyEarlyReports() int {
	n := 0
	for _, w := range t.workers {
		e := w.earlyReport
		if e == nil {
			continue
		}
		unanswered, next := w.unansweredCalls, w.nextPoll
		w.earlyReport, w.unansweredCalls = nil, 0
		t.takeReport(w, *e)
		w.unansweredCalls, w.nextPoll = unanswered, next
		n++
	}
	return n
}
