package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// jobRows reports changed rows of the jobs' table.
type jobRows struct {
	rows     []Row
	storeNow time.Duration
	// listed is the version of the store at which the rows were all of the cell's parts;
	// 0 for changes.
	listed uint64
}

func (e jobRows) handle(t *term) {
	if e.listed > 0 {
		t.forgetMoved(e.rows, e.listed)
	}
	for _, row := range e.rows {
		t.jobRow(row, e.storeNow)
	}
}

// forgetMoved drops jobs that have moved and are not among the rows any more. The rows
// may be older than a job: it would be taken for a new one when its own row follows.
func (t *term) forgetMoved(rows []Row, listed uint64) {
	stored := make(map[string]bool, len(rows))
	for _, row := range rows {
		stored[row.Key] = true
	}
	for id, j := range t.jobs {
		if j.moved > 0 && len(j.path) == 0 && j.accepted <= listed && !stored[id] {
			delete(t.jobs, id)
		}
	}
}

// jobRow takes a row of the jobs' table. Cancellations of jobs that have moved here
// lie in parts of other cells.
func (t *term) jobRow(row Row, storeNow time.Duration) {
	if t.ownsPart(row.Part) || strings.HasSuffix(row.Key, cancelSuffix) {
		t.takeJobRow(row, storeNow)
	}
}

// takeJobRow takes a job or a cancellation.
func (t *term) takeJobRow(row Row, storeNow time.Duration) {
	if row.Removed {
		if j := t.jobs[row.Key]; j != nil && j.moved > 0 {
			delete(t.jobs, row.Key) // the cell to which it moved has forgotten it
		}
		return
	}
	if id, ok := strings.CutSuffix(row.Key, cancelSuffix); ok {
		t.cancelJob(id)
		return
	}
	if t.jobs[row.Key] != nil {
		return
	}
	var r jobRecord
	if err := decodeRecord(row, &r); err != nil {
		t.log.WithError(err).Error("job cannot be read")
		return
	}
	arrived := t.now
	if storeNow > r.AcceptedAt && r.AcceptedAt > 0 {
		arrived = t.now.Add(r.AcceptedAt - storeNow)
	}
	j := newJob(row.Key, r, row.Version, arrived)
	j.inherited, j.seen = row.Version <= t.began, t.now
	if r.Progress != nil {
		j.restore(*r.Progress, t.now, t.wall)
	}
	t.jobs[j.id] = j
	t.unconfirmed = t.unconfirmed || !t.jobConfirmed(j)
	j.open(t.now, 0, t.wall)
	t.dirty = true
	t.counters.accepted.Inc()
	t.log.WithFields(logrus.Fields{"decision": "order", "job": j.id, "queue": j.queue, "version": row.Version,
		"age_ms": t.now.Sub(arrived).Milliseconds(), "inherited": j.inherited, "steps": len(j.spec.Steps), "shape": shapeOf(j.spec)}).Log(t.jobDetail(j), "job is known")
}

// stepLine describes a step in the line about a job, for traces made of logs.
type stepLine struct {
	Count    int   `json:"count"`
	MilliCPU int64 `json:"milli_cpu"`
	MemoryMB int64 `json:"memory_mb"`
	Estimate int64 `json:"estimate_ms"`
	After    []int `json:"after,omitempty"`
	Gang     bool  `json:"gang,omitempty"`
	Lasting  bool  `json:"lasting,omitempty"`
	Filler   bool  `json:"filler,omitempty"`
}

func shapeOf(s Spec) []stepLine {
	lines := make([]stepLine, len(s.Steps))
	for i, st := range s.Steps {
		lines[i] = stepLine{st.Count, st.Needs.MilliCPU, st.Needs.MemoryMB, st.Estimate.Milliseconds(), st.After, st.Gang, st.Lasting, st.Filler}
	}
	return lines
}

// jobDetail is the level of lines about a job that is new to the term: those that
// earlier terms knew have lines in their logs.
func (t *term) jobDetail(j *job) logrus.Level {
	if j.inherited {
		return logrus.DebugLevel
	}
	return logrus.InfoLevel
}

// progressRow applies the progress that an earlier term has stored.
func (t *term) progressRow(row Row) {
	j := t.jobs[row.Key]
	if j == nil {
		return
	}
	var p progressRecord
	if err := decodeRecord(row, &p); err != nil {
		t.log.WithError(err).Error("progress cannot be read")
		return
	}
	cancelled := j.cancelled
	j.occurrences, j.opened = nil, 0
	j.restore(p, t.now, t.wall)
	j.cancelled = j.cancelled || cancelled
	if !j.over() {
		j.open(t.now, 0, t.wall)
	}
}

// cancelJob stops all work of a job. A cancellation may arrive before its job
// only by a row that was read later; then the job's row follows.
func (t *term) cancelJob(id string) {
	j := t.jobs[id]
	if j == nil || j.cancelled || j.shown.Final() {
		return
	}
	j.cancelled, j.dirty, j.ended = true, true, t.now
	j.shown = StateCancelled // the cancellation is stored
	t.cancelLent(j)
	if j.moved > 0 {
		if j.arrivedThere {
			go t.sendCancelled(j.id, j.moved-1)
		}
		return
	}
	stopped := 0
	for _, w := range t.workers {
		for _, r := range w.runs {
			if r.job == j {
				t.stop(r, "cancelled")
				stopped++
			}
		}
	}
	t.dirty = true
	t.log.WithFields(logrus.Fields{"decision": "cancel", "job": id, "runs": stopped}).Info("job is cancelled")
}

// workerRows reports changed entries of the platform's list of workers. All is
// true when the rows are the whole list.
type workerRows struct {
	rows []Row
	all  bool
}

func (e workerRows) handle(t *term) {
	if e.all {
		clear(t.foreign)
		clear(t.unplaced)
		listed := map[string]bool{}
		for _, row := range e.rows {
			listed[row.Key] = true
		}
		for id, w := range t.workers {
			if !listed[string(id)] {
				t.unlist(w)
			}
		}
	}
	for _, row := range e.rows {
		t.workerRow(row)
	}
}

// workerRow takes an entry of the list. An entry that cannot be read names no
// worker; what is known of that worker stays.
func (t *term) workerRow(row Row) {
	id := model.WorkerID(row.Key)
	w := t.workers[id]
	if row.Removed {
		delete(t.foreign, row.Key)
		delete(t.unplaced, row.Key)
		if w != nil {
			t.unlist(w)
		}
		return
	}
	if _, other := t.foreign[row.Key]; other {
		return
	}
	info, err := t.cfg.Decoder.Worker(row)
	if err != nil {
		t.counters.unreadable.Inc()
		t.log.WithError(err).Debug("entry of the list ignored")
		return
	}
	if w == nil && !t.owns(row, info) {
		return
	}
	switch {
	case w == nil:
		t.workers[id] = newWorker(info)
		t.dirty = true
		t.log.WithFields(logrus.Fields{"decision": "worker", "worker": id, "choice": "listed", "dc": info.DataCentre,
			"address": info.Addr, "milli_cpu": info.Capacity.MilliCPU, "memory_mb": info.Capacity.MemoryMB,
			"accelerators": info.Capacity.Accelerators, "labels": info.Labels}).Log(t.detail(), "worker is known")
	case info.Born != 0 && w.info.Born != 0 && info.Born < w.info.Born:
		return // an entry of an earlier life
	case info.Born != w.info.Born && w.info.Born != 0 && info.Born != 0:
		t.replace(w, info)
	default:
		t.update(w, info)
	}
}

// update takes a newer entry of the same lifetime.
func (t *term) update(w *worker, info WorkerInfo) {
	if info.Draining != w.info.Draining || !w.listed {
		t.dirty = true
		t.log.WithFields(logrus.Fields{"decision": "worker", "worker": info.Worker, "choice": "draining",
			"draining": info.Draining, "leaving_ms": info.Leaving.Milliseconds()}).Info("worker has changed")
	}
	if w.info.Born == 0 || info.Born != 0 {
		w.info = info
	}
	w.listed, w.rack = true, rackOf(info.Labels)
}

// unlist notes that the list lacks a worker. Its runs may go on.
func (t *term) unlist(w *worker) {
	if !w.listed {
		return
	}
	w.listed = false
	t.dirty = true
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "unlisted", "runs": len(w.runs),
		"answered_ms_ago": t.now.Sub(w.clockAt).Milliseconds()}).Info("worker left the list")
}

// replace takes a new lifetime of a worker: all runs of the former one have ended.
func (t *term) replace(w *worker, info WorkerInfo) {
	t.log.WithFields(logrus.Fields{"decision": "worker", "worker": info.Worker, "choice": "restarted", "runs": len(w.runs),
		"born": info.Born, "former": w.info.Born}).Warn("worker has started again")
	t.bury(w, "worker-restarted")
	t.workers[info.Worker] = newWorker(info)
	t.dirty = true
}

// bury drops a lifetime that holds nothing any more.
func (t *term) bury(w *worker, reason string) {
	for _, r := range w.runs {
		t.lose(r, reason)
	}
	t.markUnused(w)
	if t.workers[w.info.Worker] == w {
		delete(t.workers, w.info.Worker)
	}
	w.inherited = false
}

// expire drops the runs of workers whose leases have certainly ended, and forgets
// workers that have left. A transaction of this term that was sent after the end
// of a lease proves that no later leader has renewed it.
func (t *term) expire() {
	for _, w := range t.workers {
		if w.inherited && !w.raised && t.confirmed.After(w.deadBy) {
			t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "expired"}).Warn("unreachable worker holds nothing any more")
			info, listed := w.info, w.listed
			t.bury(w, leaseOver)
			if listed { // it may come back, and nothing of before can run there
				t.workers[info.Worker] = newWorker(info)
			}
			continue
		}
		if w.failures == 0 || w.clockAt.IsZero() || !t.confirmed.After(w.leaseOver()) {
			continue
		}
		if len(w.runs) > 0 {
			t.log.WithFields(logrus.Fields{"decision": "worker", "worker": w.info.Worker, "choice": "lapsed", "runs": len(w.runs),
				"failures": w.failures, "answered_ms_ago": t.now.Sub(w.clockAt).Milliseconds()}).Warn("leases of a silent worker are over")
			for _, r := range w.runs {
				t.lose(r, leaseOver)
			}
			t.dirty = true
		}
		t.markUnused(w)
		if !w.listed && t.now.Sub(w.clockAt) > silentMemory {
			t.bury(w, "left")
		}
	}
	t.forgetJobs()
	t.harm.forget(t.now)
}

const (
	// silentMemory is how long a silent worker is asked for that is not listed, and how
	// long work waits for listed ones that are silent: three leases.
	silentMemory = 15 * time.Second
	// retentionMargin is added to the promised retention of finished jobs.
	retentionMargin = 30 * time.Second
)

// forgetJobs drops finished jobs after their retention, with their rows. A job that
// has moved goes when its last cell removes its row.
func (t *term) forgetJobs() {
	for id, j := range t.jobs {
		if j.moved == 0 && j.shown.Final() && !j.dirty && t.now.Sub(j.ended) > t.cfg.Bounds.Retention+retentionMargin {
			delete(t.jobs, id)
			go t.removeJob(id, slices.Clone(j.path), slices.Clone(j.borrowed))
		}
	}
}

// operatorChanged reports that the operators' table has changed. The rows are those
// that the node knows when the event is handled, so the order of events is of no
// matter.
type operatorChanged struct{}

func (operatorChanged) handle(t *term) {
	t.takeOperator(t.operator.all())
	t.dirty = true
}

// takeOperator puts the operators' rows in force.
func (t *term) takeOperator(rows []Row) {
	out := map[model.DataCentre]bool{}
	for _, row := range rows {
		o := t.cfg.Decoder.OperatorRow(row)
		switch {
		case o.Configuration:
			t.configure(row)
		case o.DataCentre != "":
			out[o.DataCentre] = true
			if !t.out[o.DataCentre] {
				t.log.WithFields(logrus.Fields{"decision": "data-centre", "dc": o.DataCentre, "out": true, "version": row.Version}).Info("data centre")
			}
		case o.Wave != nil:
			t.addWave(*o.Wave)
		}
	}
	for dc := range t.out {
		if !out[dc] {
			t.log.WithFields(logrus.Fields{"decision": "data-centre", "dc": dc, "out": false}).Info("data centre")
		}
	}
	t.out = out
}

// configure takes a configuration, unless it is older than the one in force.
// Queues that are dropped stay known for the jobs that they took.
func (t *term) configure(row Row) {
	c, err := t.operator.decode(t.cfg.Decoder, row)
	if err != nil {
		t.log.WithError(err).Error("configuration ignored")
		return
	}
	if t.setting != nil && c.Version <= t.setting.Version {
		return
	}
	t.setting = c
	for _, q := range c.Queues {
		t.queues[q.Name] = q
	}
	t.log.WithFields(logrus.Fields{"decision": "configuration", "version": c.Version, "queues": len(c.Queues)}).Info("configuration in force")
}
