package dev

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/waiting"
)

// slowFactor multiplies the service time of a slow runner.
const slowFactor = 10

// scenario replays a trace against a cluster.
type scenario struct {
	cluster  *cluster
	callers  *callers
	operator *operator
	tracker  *orderTracker
	monitor  *viewMonitor
	trace    *Trace
	text     string
	progress io.Writer
	begun    time.Time
	actions  sync.WaitGroup

	mu sync.Mutex
	// outages holds the periods in which data centres were out of service.
	outages []outage
	// storeOutages holds the periods in which the store was down.
	storeOutages []outage
	// failures lists the actions that failed.
	failures []string
}

// outage is the period from the record that took a data centre out of service until the
// command that returned it, or the period of a store failure, which has no data centre.
type outage struct {
	dc       model.DataCentre
	from, to time.Time
}

// play starts all events at their times and returns after the last one.
func (s *scenario) play(ctx context.Context) {
	s.begun = time.Now()
	for i, e := range s.trace.Events {
		if wait := time.Until(s.begun.Add(e.Time())); wait > 0 && !waiting.Sleep(ctx, wait) {
			return
		}
		s.startEvent(ctx, i, e)
	}
}

// startEvent starts the request, order or action of an event without waiting for its end.
func (s *scenario) startEvent(ctx context.Context, n int, e Event) {
	switch {
	case e.Idempotent != nil:
		s.callers.sendIdempotent(ctx, n, *e.Idempotent)
	case e.NonIdempotent != nil:
		s.callers.sendNonIdempotent(ctx, n, *e.NonIdempotent)
	case e.Order != nil:
		s.callers.submitOrder(ctx, s.tracker, n, *e.Order)
	default:
		s.actions.Go(func() { s.runAction(ctx, e) })
	}
}

func (s *scenario) runAction(ctx context.Context, e Event) {
	switch {
	case e.Out != "":
		s.takeOutOfService(ctx, e.Out)
	case e.In != "":
		s.returnToService(ctx, e.In)
	case e.StopNode > 0:
		s.stopNode(e.StopNode - 1)
	case e.KillNode > 0:
		s.logProgress("node %d is killed", e.KillNode)
		s.cluster.killNode(e.KillNode - 1)
	case e.StartNode > 0:
		s.logProgress("node %d is replaced", e.StartNode)
		s.checkSuccess(s.cluster.startNode(e.StartNode-1), "start node %d", e.StartNode)
	case e.StoreDownMS > 0:
		s.storeDown(ctx, time.Duration(e.StoreDownMS)*time.Millisecond)
	case e.RunnerLeaves > 0:
		s.runnerLeaves(ctx, e.RunnerLeaves-1)
	case e.RunnerSlow > 0:
		id := s.runner(e.RunnerSlow - 1)
		s.logProgress("runner %s becomes %d times slower", id, slowFactor)
		s.cluster.platform.Faults().SetRunner(id, standin.RunnerFault{SlowFactor: slowFactor})
	case e.Accept:
		s.acceptChange(ctx)
	}
}

func (s *scenario) logProgress(format string, args ...any) {
	at := time.Since(s.begun).Seconds()
	_, _ = fmt.Fprintf(s.progress, "%6.1fs  %s\n", at, fmt.Sprintf(format, args...)) // progress is best effort
}

// checkSuccess reports whether an action succeeded, and adds its error to failures if not.
func (s *scenario) checkSuccess(err error, format string, args ...any) bool {
	if err == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...)+": "+err.Error())
	return false
}

func (s *scenario) takeOutOfService(ctx context.Context, dc model.DataCentre) {
	reply, err := s.operator.setDataCentre(ctx, dc, true)
	if !s.checkSuccess(err, "take out %s", dc) {
		return
	}
	s.mu.Lock()
	s.outages = append(s.outages, outage{dc: dc, from: time.Now()})
	s.mu.Unlock()
	s.logProgress("data centre %s is taken out (control sequence %d)", dc, reply.Sequence)
	s.monitor.expect(reply.Sequence, time.Now())
}

func (s *scenario) returnToService(ctx context.Context, dc model.DataCentre) {
	// The end of the outage is recorded before the command is sent, because tasks may start
	// before its response arrives.
	s.mu.Lock()
	for i := range s.outages {
		if s.outages[i].dc == dc && s.outages[i].to.IsZero() {
			s.outages[i].to = time.Now()
		}
	}
	s.mu.Unlock()
	reply, err := s.operator.setDataCentre(ctx, dc, false)
	if s.checkSuccess(err, "return %s", dc) {
		s.logProgress("data centre %s is returned (control sequence %d)", dc, reply.Sequence)
		s.monitor.expect(reply.Sequence, time.Now())
	}
}

func (s *scenario) acceptChange(ctx context.Context) {
	text, err := raiseEvictionLimit(s.text)
	if !s.checkSuccess(err, "change the declaration") {
		return
	}
	reply, err := s.operator.proposeAndAccept(ctx, text, "recorded trace")
	if s.checkSuccess(err, "accept a declaration") {
		s.logProgress("a changed declaration is accepted (control sequence %d)", reply.Sequence)
		s.monitor.expect(reply.Sequence, time.Now())
	}
}

func (s *scenario) stopNode(index int) {
	s.logProgress("node %d is stopped gracefully", index+1)
	if s.checkSuccess(s.cluster.stopNode(index), "stop node %d", index+1) {
		s.logProgress("node %d has stopped", index+1)
	}
}

func (s *scenario) storeDown(ctx context.Context, d time.Duration) {
	s.logProgress("the store is down for %s", d)
	faults := s.cluster.platform.Faults()
	from := time.Now()
	faults.SetStore(standin.ServiceFault{Down: true})
	waiting.Sleep(ctx, d)
	faults.SetStore(standin.ServiceFault{})
	s.mu.Lock()
	s.storeOutages = append(s.storeOutages, outage{from: from, to: time.Now()})
	s.mu.Unlock()
	s.logProgress("the store is back")
}

// hostListLag is the delay after which the host list shows that a runner leaves. The
// runner itself rejects requests from the start.
const hostListLag = 3 * time.Second

func (s *scenario) runnerLeaves(ctx context.Context, index int) {
	id := s.runner(index)
	s.logProgress("runner %s leaves", id)
	s.cluster.platform.Faults().SetRunner(id, standin.RunnerFault{Leaving: true})
	waiting.Sleep(ctx, hostListLag)
	s.cluster.platform.HostList().SetState(id, external.HostLeaving)
}

// runner returns the id of a runner by its index.
func (s *scenario) runner(index int) string {
	var ids []string
	for id := range s.cluster.platform.Runners() {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids[index%len(ids)]
}

func newCallers(b *balancer) *callers {
	return &callers{balancer: b, stats: newCallerStats()}
}
