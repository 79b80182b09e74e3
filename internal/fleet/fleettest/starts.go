package fleettest

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// maxStartConnections bounds the connections on which a start order looks for its lifetime.
const maxStartConnections = 4

// Start implements fleet.Workers. Like the platform's adapter it sends the order only on a connection on
// which the lifetime that w names has reported, and asks for a report on any other connection.
func (v *WorkersView) Start(ctx context.Context, w fleet.WorkerInfo, o fleet.StartOrder) (fleet.WorkerReply, error) {
	if err := v.awaitConnection(ctx, o.Withdrawn); err != nil {
		return fleet.WorkerReply{}, err
	}
	if w.Born == 0 || v.workers.sendsUnverifiedStarts() {
		return v.start(ctx, w, anyLifetime, o)
	}
	fresh := v.workers.drawNewConnection()
	for range maxStartConnections {
		if !fresh && v.hasConnectionTo(w) {
			return v.start(ctx, w, w.Born, o)
		}
		fresh = false
		report, err := v.Poll(ctx, w, fleet.PollOrder{Fence: o.Fence})
		switch {
		case err != nil && !model.IsKind(err, model.KindUnavailable):
			return fleet.WorkerReply{}, model.Wrap(model.KindExhausted, err, "retry later; no start was sent", "ask which lifetime answers")
		case err != nil || report.Verdict != fleet.StartRunning:
			return fleet.WorkerReply{Verdict: report.Verdict, Clock: report.Clock}, err
		case report.Born != w.Born:
			return fleet.WorkerReply{}, fleet.NewOtherLifetimeError(w.Lifetime, report.Born)
		}
	}
	return fleet.WorkerReply{}, model.Errorf(model.KindExhausted, "retry later; no start was sent", "no connection lasts")
}

func (v *WorkersView) start(ctx context.Context, w fleet.WorkerInfo, born int64, o fleet.StartOrder) (fleet.WorkerReply, error) {
	return v.deliverTo(ctx, w, born, func(t *Worker) fleet.StartVerdict {
		verdict := t.startRun(o)
		t.trace("start %s attempt %d, deadline %d, fence %d, late %t: verdict %v", o.Task, o.Attempt, o.Deadline.Milliseconds(), o.Fence, t.fleet.lateOrder, verdict)
		return verdict
	})
}

// hasConnectionTo reports whether a connection is open on which the lifetime that w names has reported.
// That the lifetime has ended may not have shown yet; behind a cut it never does.
func (v *WorkersView) hasConnectionTo(w fleet.WorkerInfo) bool {
	if v.lifetimeOfOpenConnection(w.Addr) != w.Born {
		return false
	}
	if !v.reachable(w.Addr) {
		return true
	}
	f := v.workers
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.workers[w.Addr]
	return target != nil && target.Info.Born == w.Born || f.random.IntN(2) == 0
}

func (f *Workers) sendsUnverifiedStarts() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.UnverifiedStarts
}

// sendsUnverifiedDeadlines reports whether polls carry deadlines to whichever lifetime answers.
func (f *Workers) sendsUnverifiedDeadlines() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.UnverifiedDeadlines || f.UnverifiedStarts
}

// drawNewConnection draws whether a call finds no idle connection.
func (f *Workers) drawNewConnection() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.NewConnectionShare > 0 && f.random.Float64() < f.NewConnectionShare
}
