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

// slowFactor is how much slower a slow runner is.
const slowFactor = 10

// scenario replays a trace against a cluster.
type scenario struct {
	cluster  *cluster
	callers  *callers
	operator *operator
	book     *orderBook
	watch    *watch
	trace    *Trace
	text     string
	progress io.Writer
	begun    time.Time
	actions  sync.WaitGroup

	mu sync.Mutex
	// outs holds the times that data centres were out of service.
	outs []outage
	// storeOuts holds the times that the store was down.
	storeOuts []outage
	// faults lists commands and stops that failed.
	faults []string
}

// outage is the time from the record that took a data centre out until the
// command that returned it.
type outage struct {
	dc       model.DataCentre
	from, to time.Time
}

// play replays all events and returns when the last one has been acted on.
func (s *scenario) play(ctx context.Context) {
	s.begun = time.Now()
	for i, e := range s.trace.Events {
		if wait := time.Until(s.begun.Add(e.Time())); wait > 0 && !waiting.Sleep(ctx, wait) {
			return
		}
		s.act(ctx, i, e)
	}
}

// act begins what an event asks for; it does not wait for its end.
func (s *scenario) act(ctx context.Context, n int, e Event) {
	switch {
	case e.Proof != nil:
		s.callers.proof(ctx, n, *e.Proof)
	case e.Print != nil:
		s.callers.print(ctx, n, *e.Print)
	case e.Order != nil:
		s.callers.order(ctx, s.book, n, *e.Order)
	default:
		s.actions.Go(func() { s.disturb(ctx, e) })
	}
}

func (s *scenario) disturb(ctx context.Context, e Event) {
	switch {
	case e.Out != "":
		s.takeOut(ctx, e.Out)
	case e.In != "":
		s.takeIn(ctx, e.In)
	case e.StopNode > 0:
		s.stopNode(e.StopNode - 1)
	case e.KillNode > 0:
		s.say("node %d is killed", e.KillNode)
		s.cluster.killNode(e.KillNode - 1)
	case e.StartNode > 0:
		s.say("node %d is replaced", e.StartNode)
		s.check(s.cluster.startNode(e.StartNode-1), "start node %d", e.StartNode)
	case e.StoreDownMS > 0:
		s.storeDown(ctx, time.Duration(e.StoreDownMS)*time.Millisecond)
	case e.RunnerLeaves > 0:
		s.runnerLeaves(ctx, e.RunnerLeaves-1)
	case e.RunnerSlow > 0:
		id := s.runner(e.RunnerSlow - 1)
		s.say("runner %s becomes %d times slower", id, slowFactor)
		s.cluster.platform.Faults().SetRunner(id, standin.RunnerFault{SlowFactor: slowFactor})
	case e.Accept:
		s.accept(ctx)
	}
}

func (s *scenario) say(format string, args ...any) {
	at := time.Since(s.begun).Seconds()
	_, _ = fmt.Fprintf(s.progress, "%6.1fs  %s\n", at, fmt.Sprintf(format, args...)) // progress is best effort
}

// check notes an error of an action that should succeed.
func (s *scenario) check(err error, format string, args ...any) bool {
	if err == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...)+": "+err.Error())
	return false
}

func (s *scenario) takeOut(ctx context.Context, dc model.DataCentre) {
	reply, err := s.operator.setDataCentre(ctx, dc, true)
	if !s.check(err, "take out %s", dc) {
		return
	}
	s.mu.Lock()
	s.outs = append(s.outs, outage{dc: dc, from: time.Now()})
	s.mu.Unlock()
	s.say("data centre %s is taken out (control sequence %d)", dc, reply.Sequence)
	s.watch.expect(reply.Sequence, time.Now())
}

func (s *scenario) takeIn(ctx context.Context, dc model.DataCentre) {
	// The end of the outage is noted before the command, as a start may follow it
	// before its answer arrives here.
	s.mu.Lock()
	for i := range s.outs {
		if s.outs[i].dc == dc && s.outs[i].to.IsZero() {
			s.outs[i].to = time.Now()
		}
	}
	s.mu.Unlock()
	reply, err := s.operator.setDataCentre(ctx, dc, false)
	if s.check(err, "return %s", dc) {
		s.say("data centre %s is returned (control sequence %d)", dc, reply.Sequence)
		s.watch.expect(reply.Sequence, time.Now())
	}
}

func (s *scenario) accept(ctx context.Context) {
	text, err := changed(s.text)
	if !s.check(err, "change the declaration") {
		return
	}
	reply, err := s.operator.putInForce(ctx, text, "recorded trace")
	if s.check(err, "accept a declaration") {
		s.say("a changed declaration is accepted (control sequence %d)", reply.Sequence)
		s.watch.expect(reply.Sequence, time.Now())
	}
}

func (s *scenario) stopNode(index int) {
	s.say("node %d is stopped gracefully", index+1)
	if s.check(s.cluster.stopNode(index), "stop node %d", index+1) {
		s.say("node %d has stopped", index+1)
	}
}

func (s *scenario) storeDown(ctx context.Context, d time.Duration) {
	s.say("the store is down for %s", d)
	faults := s.cluster.platform.Faults()
	from := time.Now()
	faults.SetStore(standin.ServiceFault{Down: true})
	waiting.Sleep(ctx, d)
	faults.SetStore(standin.ServiceFault{})
	s.mu.Lock()
	s.storeOuts = append(s.storeOuts, outage{from: from, to: time.Now()})
	s.mu.Unlock()
	s.say("the store is back")
}

// hostListLag is how much later the host list shows that a runner leaves. The
// runner's own refusals are the first sign.
const hostListLag = 3 * time.Second

func (s *scenario) runnerLeaves(ctx context.Context, index int) {
	id := s.runner(index)
	s.say("runner %s leaves", id)
	s.cluster.platform.Faults().SetRunner(id, standin.RunnerFault{Leaving: true})
	waiting.Sleep(ctx, hostListLag)
	s.cluster.platform.HostList().SetState(id, external.HostLeaving)
}

// runner returns the id of a runner by number.
func (s *scenario) runner(index int) string {
	var ids []string
	for id := range s.cluster.platform.Runners() {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ids[index%len(ids)]
}

func newCallers(b *balancer) *callers {
	return &callers{balancer: b, tally: newTally()}
}
