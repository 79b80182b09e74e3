package fleet

import (
	"context"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
)

// The cancellation of a job is stored beside the job's row, in a part of the cell that accepted it. A
// leader watches the cancellations of all cells, but reads only its own parts when its term begins or
// when the store has dropped the history. Of a job that has moved here, or of which this cell has
// borrowed tasks, it may have missed the cancellation; the leader that sends it may be down at the
// same time. So it reads the rows in question, and starts no task of such a job before.

// mayHaveMissedCancellation reports whether a job from another cell, new to this one, may have been cancelled
// before this term watched the cancellations of all cells.
func (t *term) mayHaveMissedCancellation(j *job) bool {
	return t.loaded && len(j.previousCells) > 0 && t.now.Sub(t.startedAt) < earlyCancellationAge && j.acceptedStoreTime <= t.jobsReadAt
}

// readCancellationsOfMovedJobs reads the cancellations of all jobs that this cell did not accept.
func (t *term) readCancellationsOfMovedJobs() {
	var ids []string
	for _, j := range t.jobs {
		if len(j.previousCells) > 0 && !j.over() {
			j.cancellationUnread = true
			ids = append(ids, j.id)
		}
	}
	slices.Sort(ids)
	t.readCancellations(slices.Compact(ids))
}

// readCancellations reads the cancellations of jobs. It repeats failed reads until they succeed or the
// term ends, those of all jobs in turn: parts of the store may be down for long.
func (t *term) readCancellations(ids []string) {
	if len(ids) == 0 {
		return
	}
	t.log.WithField("jobs", len(ids)).Debug("reading the cancellations of jobs of other cells")
	go func() {
		for len(ids) > 0 && t.ctx.Err() == nil {
			if ids = t.tryReadCancellations(ids); len(ids) > 0 {
				sleep(t.ctx, readPause+jitter())
			}
		}
	}()
}

// tryReadCancellations reads the cancellations of jobs once, some of them at the same time, and
// returns the jobs of failed reads.
func (t *term) tryReadCancellations(ids []string) (failed []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := make(chan string)
	for range min(len(ids), maxConcurrentRereads) {
		wg.Go(func() {
			for id := range next {
				if !t.readCancellation(id) {
					mu.Lock()
					failed = append(failed, id)
					mu.Unlock()
				}
			}
		})
	}
	for _, id := range ids {
		next <- id
	}
	close(next)
	wg.Wait()
	return failed
}

// readCancellation reads the cancellation of a job and reports whether the read succeeded.
func (t *term) readCancellation(id string) bool {
	row := t.layout.cancelRow(id)
	ctx, cancel := context.WithTimeout(t.ctx, readTimeout)
	defer cancel()
	page, err := t.cfg.Store.List(ctx, row.Table, row.Part, row.Key, row.Key+"\x00", 1)
	if err != nil {
		t.metrics.readErrors.WithLabelValues(resultLabel(err)).Inc()
		return false
	}
	t.post(cancellationRead{id, len(page.Rows) > 0})
	return true
}

// cancellationRead tells whether a job that this cell did not accept is cancelled.
type cancellationRead struct {
	id        string
	cancelled bool
}

func (e cancellationRead) handle(t *term) {
	missed := false
	for _, j := range t.jobsOf(e.id) {
		j.cancellationUnread, t.planDue = false, true
		missed = missed || e.cancelled && !j.cancelled
	}
	if missed {
		t.log.WithFields(logrus.Fields{"decision": "cancel", "job": e.id, "reason": "missed"}).Info("found the cancellation of a job of another cell")
		t.cancelJob(e.id)
	}
}
