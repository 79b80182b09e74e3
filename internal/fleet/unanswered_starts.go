package fleet

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// A start order without an answer may be carried out seconds later. In the lifetime to which it was
// sent it is settled by an answered stop, or by its deadline. The next lifetime knows of neither, and
// its clock begins anew, so that the deadline is far ahead: it would carry the order out, and as
// nothing is known to run there, nobody would ask it. So it is ordered to stop that run when it first
// answers; from then on it refuses the start.

// maxOrderDelay is how long after its timeout a call without an answer may still be carried out: on
// the users' platform up to 12 s.
const maxOrderDelay = 12 * time.Second

// startArrivesBy returns until when a worker may carry out the start order of a run.
func (r *run) startArrivesBy() time.Time { return r.startedAt.Add(answerTimeoutMax + maxOrderDelay) }

// startKey names a start order to a worker, whatever its lifetime.
type startKey struct {
	worker model.WorkerID
	ref    RunRef
}

// unansweredStart is a start order without an answer.
type unansweredStart struct {
	// born is the lifetime to which it was sent, or a later one that refuses it.
	born  int64
	until time.Time // it may be carried out until then
}

// recordUnansweredStart records that a start order to a lifetime of a worker got no answer.
func (t *term) recordUnansweredStart(w *worker, ref RunRef) {
	t.unansweredStarts[startKey{w.info.Worker, ref}] = unansweredStart{w.info.Born, t.now.Add(maxOrderDelay)}
}

// settleUnansweredStart records that a lifetime of a worker refuses a start from now on.
func (t *term) settleUnansweredStart(w *worker, ref RunRef) {
	k := startKey{w.info.Worker, ref}
	if s, known := t.unansweredStarts[k]; known {
		s.born = w.info.Born
		t.unansweredStarts[k] = s
	}
}

// refuseUnansweredStarts makes a lifetime of a worker that has just answered for the first time
// refuse the starts that were sent to former ones and are settled. Those in doubt, and those that
// its report lists, are among its runs.
func (t *term) refuseUnansweredStarts(w *worker) {
	for k, s := range t.unansweredStarts {
		if k.worker != w.info.Worker || s.born == w.info.Born || w.runs[k.ref] != nil {
			continue
		}
		t.log.WithFields(logrus.Fields{"decision": "stop", "task": k.ref.Task, "attempt": k.ref.Attempt, "worker": w.info.Worker, "reason": "former-lifetime",
			"born": w.info.Born, "former": s.born}).Info("a start for a former lifetime of the worker may still be carried out")
		go t.sendRefusal(w, w.info, k.ref, t.answerTimeout.timeout())
	}
}

// dropUnansweredStarts drops the starts that are not carried out any more.
func (t *term) dropUnansweredStarts() {
	maps.DeleteFunc(t.unansweredStarts, func(_ startKey, s unansweredStart) bool { return t.now.After(s.until) })
}

// refusalReply is the answer to a stop order by which a worker is to refuse a start.
type refusalReply struct {
	worker *worker
	ref    RunRef
	reply  WorkerReply
	err    error
}

func (t *term) sendRefusal(w *worker, info WorkerInfo, ref RunRef, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	reply, err := t.cfg.Workers.Stop(ctx, info, ref, t.number)
	if err != nil || reply.Verdict == StartUnhealthy {
		sleep(t.ctx, stopRetryPause)
	}
	t.post(refusalReply{w, ref, reply, err})
}

// handle repeats an order without an answer for as long as the start may be carried out. If it was
// carried out before the order, the next report lists its run or the run's end.
func (e refusalReply) handle(t *term) {
	w := e.worker
	s, known := t.unansweredStarts[startKey{w.info.Worker, e.ref}]
	switch {
	case t.workers[w.info.Worker] != w:
		// The next lifetime gets an order of its own.
	case e.err != nil || e.reply.Verdict == StartUnhealthy:
		if known && t.now.Before(s.until) {
			go t.sendRefusal(w, w.info, e.ref, t.answerTimeout.timeout())
		}
	case e.reply.Verdict == StartFenced:
		t.end("a worker has seen a higher fence")
	case e.reply.Verdict == StartOtherLifetime:
		t.handleReplacedLifetime(w)
	default:
		t.settleUnansweredStart(w, e.ref)
		t.probe(w)
	}
}
