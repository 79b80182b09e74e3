package fleet

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Applying the rows of thousands of jobs takes a small host seconds. The loop does it in steps between which
// renewals go out: in one piece it would end each term at the same point, as the next leader has the same rows.

// tablesLoaded carries the rows from which a term starts, but for those of workersLoaded.
type tablesLoaded struct {
	jobs, moved, progress, models, waves []Row
	storeNow                             time.Duration
	// changes are held back until the rows are applied; nil for none.
	changes *changeBuffer
}

func (e tablesLoaded) handle(t *term) {
	t.tableSteps = e.steps(t)
	t.applyTables()
}

// steps returns what is to be done with the rows, in order. A step takes a fraction of maxRoundTime.
func (e tablesLoaded) steps(t *term) []func() {
	steps := []func(){func() {
		t.applyOperatorRows(t.operator.snapshot())
		t.jobsReadAt = e.storeNow
		t.jobsKnown(e.storeNow)
	}}
	for _, row := range e.jobs {
		steps = append(steps, func() { t.handleJobRow(row, e.storeNow) })
	}
	steps = append(steps, movedRows{e.moved, e.storeNow, false}.steps(t)...)
	steps = append(steps, t.progressSteps(e.progress)...)
	steps = append(steps, movedRows{e.moved, e.storeNow, false}.steps(t)...) // again, for tasks lent since the progress was stored
	for _, row := range e.waves {
		steps = append(steps, func() { t.restoreWave(row) })
	}
	for _, row := range e.models {
		steps = append(steps, func() { t.restoreModels(row) })
	}
	return append(steps, func() { t.finishLoading(e.changes.release()) })
}

// applyTables takes the next steps of loading the tables, for about maxRoundTime.
func (t *term) applyTables() {
	if t.stopping {
		t.tableSteps = nil // the term gives no orders any more, and records of earlier terms hold
	}
	for begun := time.Now(); len(t.tableSteps) > 0 && time.Since(begun) < maxRoundTime; {
		step := t.tableSteps[0]
		t.tableSteps = t.tableSteps[1:]
		t.runEventHook()
		step()
	}
}

// finishLoading ends the loading of the tables: the term decides on starts from then on. changes are those of the
// tables since they were read.
func (t *term) finishLoading(changes []event) {
	t.loaded, t.planDue = true, true
	inherited, recorded, recordedRuns := t.adoptRecordedRuns()
	for _, c := range changes {
		c.handle(t)
	}
	early := t.applyEarlyReports()
	t.resendMoves()
	t.readCancellationsOfMovedJobs()
	t.log.WithFields(logrus.Fields{"jobs": len(t.jobs), "workers": len(t.workers), "used_workers": inherited,
		"recorded_workers": recorded, "recorded_runs": recordedRuns, "early_reports": early, "took_ms": time.Since(t.startedAt).Milliseconds(), "records_since": t.leaseRecordsSince, "configuration": t.configurationVersion()}).Info("term has loaded its tables")
	t.schedulePolls()
}
