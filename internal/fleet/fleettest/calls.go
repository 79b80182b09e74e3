package fleettest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/model"
)

// answerTime is the time until a worker, a peer or the advisor answers a call.
const answerTime = time.Millisecond

// WorkersView implements fleet.Workers for one node; faults are set per view.
type WorkersView struct {
	workers *Workers
	mu      sync.Mutex
	cut     map[string]bool // addresses that do not answer
	allCut  bool
	// connected holds the lifetime that has reported on the connection to each address.
	connected map[string]int64
	// orderQueueTime is how long starts and stops wait for a connection before they are sent.
	orderQueueTime time.Duration
}

// View returns a new view of the workers.
func (f *Workers) View() *WorkersView {
	return &WorkersView{workers: f, cut: map[string]bool{}, connected: map[string]int64{}}
}

// ViewOf returns a view that is connected to a worker.
func (f *Workers) ViewOf(w *Worker) *WorkersView {
	v := f.View()
	v.setLifetimeOfConnection(w)
	return v
}

// Cut stops or restores the traffic to a worker.
func (v *WorkersView) Cut(w *Worker, cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut[w.Info.Addr] = cut
}

// SetOrderQueueTime makes starts and stops wait for a connection for d before they are sent.
func (v *WorkersView) SetOrderQueueTime(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.orderQueueTime = d
}

// awaitConnection waits until an order can be sent that is withdrawn with the channel.
func (v *WorkersView) awaitConnection(ctx context.Context, withdrawn <-chan struct{}) error {
	v.mu.Lock()
	queueTime := v.orderQueueTime
	v.mu.Unlock()
	if queueTime == 0 {
		return nil
	}
	select {
	case <-time.After(queueTime):
		return nil
	case <-ctx.Done():
	case <-withdrawn:
	}
	return model.Errorf(model.KindExhausted, "retry later; nothing was sent", "no free connection")
}

// Link is the state of the network between a machine of workers and all nodes.
type Link struct {
	// AnswersCut means that calls take effect and get no answer.
	AnswersCut bool
	// AnswerDelay is how much later than usual orders are answered.
	AnswerDelay time.Duration
}

// SetLink changes the link of the machine of w, which all its lifetimes share.
func (f *Workers) SetLink(w *Worker, l Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[w.Info.Addr] = l
}

// passAnswer carries an answer back over the link of the machine at addr.
func (f *Workers) passAnswer(ctx context.Context, addr string) error {
	f.mu.Lock()
	l := f.links[addr]
	f.mu.Unlock()
	if l.AnswersCut {
		<-ctx.Done()
		return unknown(ctx.Err())
	}
	if l.AnswerDelay == 0 {
		return nil
	}
	return sleep(ctx, l.AnswerDelay)
}

// CutAll stops or restores the traffic to all workers.
func (v *WorkersView) CutAll(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.allCut = cut
}

func (v *WorkersView) reachable(addr string) bool {
	v.mu.Lock()
	reachable := !v.allCut && !v.cut[addr]
	v.mu.Unlock()
	v.workers.mu.Lock()
	defer v.workers.mu.Unlock()
	return reachable && v.workers.cutOff[addr] == 0
}

// CutOff cuts the host of w off from all nodes, also those that start meanwhile, or ends one such cut.
func (f *Workers) CutOff(w *Worker, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on {
		f.cutOff[w.Info.Addr]++
	} else {
		f.cutOff[w.Info.Addr]--
	}
}

// lifetimeOfConnection returns the lifetime that has reported on the connection to the target, 0
// after a restart, as a connection ends with the process that accepted it.
func (v *WorkersView) lifetimeOfConnection(target *Worker) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.connected[target.Info.Addr] != target.Info.Born {
		return 0
	}
	return target.Info.Born
}

// lifetimeOfOpenConnection returns the lifetime that has reported on the connection to an address
// behind a cut, where no end of a connection shows.
func (v *WorkersView) lifetimeOfOpenConnection(addr string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.connected[addr]
}

func (v *WorkersView) setLifetimeOfConnection(target *Worker) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.connected[target.Info.Addr] = target.Info.Born
}

// anyLifetime means that a call may reach any lifetime at its address.
const anyLifetime = 0

// deliver runs do on the worker at the address if it has the id that w names, whatever its
// lifetime. Depending on LateShare and LostShare, the call gets no answer and do runs later, or do
// runs at once and the answer is lost.
func (v *WorkersView) deliver(ctx context.Context, w fleet.WorkerInfo, do func(*Worker) fleet.StartVerdict) (fleet.WorkerReply, error) {
	return v.deliverTo(ctx, w, anyLifetime, do)
}

// deliverTo is deliver on a connection to the lifetime born, which ends with that lifetime: what is sent
// on it reaches no other one, at once or late. For anyLifetime it is not known who accepted the
// connection.
func (v *WorkersView) deliverTo(ctx context.Context, w fleet.WorkerInfo, born int64, do func(*Worker) fleet.StartVerdict) (fleet.WorkerReply, error) {
	if !v.reachable(w.Addr) {
		<-ctx.Done()
		return fleet.WorkerReply{SentTo: v.lifetimeOfOpenConnection(w.Addr)}, unknown(ErrUnreachable)
	}
	if err := sleep(ctx, answerTime); err != nil {
		return fleet.WorkerReply{}, err
	}
	f := v.workers
	if err := f.awaitConnection(ctx, w.Addr, born); err != nil {
		return fleet.WorkerReply{SentTo: born}, err
	}
	f.mu.Lock()
	target := f.workers[w.Addr]
	if born != anyLifetime && (target == nil || target.Info.Born != born) {
		f.mu.Unlock()
		return fleet.WorkerReply{SentTo: born}, unknown(ErrUnreachable)
	}
	if target == nil {
		f.mu.Unlock()
		return fleet.WorkerReply{}, model.Wrap(model.KindUnavailable, ErrUnreachable, "retry later", "connection refused")
	}
	sentTo := v.lifetimeOfConnection(target)
	if late := f.random.Float64() < f.LateShare; late || target.Late {
		delay := time.Second + time.Duration(f.random.Int64N(int64(3*time.Second)))
		f.mu.Unlock()
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if next := f.workers[w.Addr]; f.LateToNext && next != nil && born == anyLifetime {
				target = next
			}
			if !target.dead && target.Info.Worker == w.Worker {
				f.lateOrder = true
				do(target)
				f.lateOrder = false
			}
		})
		<-ctx.Done()
		return fleet.WorkerReply{SentTo: sentTo}, unknown(ctx.Err())
	}
	reply := fleet.WorkerReply{Verdict: fleet.StartOtherLifetime, Clock: target.clock(), SentTo: sentTo}
	if target.Info.Worker == w.Worker {
		reply.Verdict = do(target)
	}
	lost := f.LostShare > 0 && f.random.Float64() < f.LostShare
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return fleet.WorkerReply{SentTo: sentTo}, unknown(ctx.Err())
	}
	return reply, f.passAnswer(ctx, w.Addr)
}

// connectionRetryPause is the time after which a connection attempt without an answer is repeated.
const connectionRetryPause = time.Second

// awaitConnection waits while an address is silent: on a connection to the lifetime born nothing comes
// back, and the attempt to make one is repeated until the next lifetime answers it.
func (f *Workers) awaitConnection(ctx context.Context, addr string, born int64) error {
	for {
		f.mu.Lock()
		silent := f.silent[addr]
		f.mu.Unlock()
		switch {
		case !silent:
			return nil
		case born != anyLifetime:
			<-ctx.Done()
			return unknown(ctx.Err())
		}
		if sleep(ctx, connectionRetryPause) != nil {
			return model.Errorf(model.KindExhausted, "retry later; nothing was sent", "no connection")
		}
	}
}

// Stop implements fleet.Workers.
func (v *WorkersView) Stop(ctx context.Context, w fleet.WorkerInfo, r fleet.RunRef, fence uint64) (fleet.WorkerReply, error) {
	if err := v.awaitConnection(ctx, nil); err != nil {
		return fleet.WorkerReply{}, err
	}
	return v.deliver(ctx, w, func(t *Worker) fleet.StartVerdict {
		verdict := t.stopRun(r, fence)
		t.trace("stop %s attempt %d, fence %d, late %t: verdict %v", r.Task, r.Attempt, fence, t.fleet.lateOrder, verdict)
		return verdict
	})
}

// Pace implements fleet.Workers.
func (v *WorkersView) Pace(ctx context.Context, w fleet.WorkerInfo, r fleet.RunRef, percent int, fence uint64) (fleet.WorkerReply, error) {
	return v.deliver(ctx, w, func(t *Worker) fleet.StartVerdict {
		if fence < t.fence {
			return fleet.StartFenced
		}
		if k := t.runs[r]; k != nil {
			t.setPace(k, percent)
		}
		return fleet.StartRunning
	})
}

// pollConnection returns the lifetime to which a poll is sent, and what is sent. Like the platform's
// adapter it sends acknowledgements and deadlines only on a connection on which the lifetime that w names
// has reported.
func (v *WorkersView) pollConnection(w fleet.WorkerInfo, o fleet.PollOrder) (int64, fleet.PollOrder) {
	switch {
	case o.Acknowledged == 0 && o.Deadline == 0:
		return anyLifetime, o
	case !v.workers.drawNewConnection() && v.hasConnectionTo(w):
		return w.Born, o
	case v.workers.sendsUnverifiedDeadlines():
		o.Acknowledged = 0
		return anyLifetime, o
	case o.Deadline > 0:
		o.Deadline, o.Wait = 0, 0
	}
	o.Acknowledged = 0
	return anyLifetime, o
}

// Poll implements fleet.Workers.
func (v *WorkersView) Poll(ctx context.Context, w fleet.WorkerInfo, o fleet.PollOrder) (fleet.Report, error) {
	var wake chan struct{}
	var report fleet.Report
	var polled *Worker
	born, o := v.pollConnection(w, o)
	unanswered := fleet.Report{Deadline: o.Deadline} // the poll may still take effect
	reply, err := v.deliverTo(ctx, w, born, func(t *Worker) fleet.StartVerdict {
		if o.Fence < t.fence {
			return fleet.StartFenced
		}
		t.fence = o.Fence
		if o.Deadline > 0 {
			t.extendLease(o.Deadline)
		}
		t.forgetEnds(o.Acknowledged)
		report, wake, polled = t.report(), t.wake, t
		return fleet.StartRunning
	})
	if err != nil {
		return unanswered, err
	}
	if polled != nil {
		v.setLifetimeOfConnection(polled)
	}
	if reply.Verdict != fleet.StartRunning || o.Wait == 0 || len(report.Ended) > 0 {
		report.Verdict, report.Clock, report.Acknowledged, report.Deadline = reply.Verdict, reply.Clock, o.Acknowledged, o.Deadline
		return report, nil
	}
	timer := time.NewTimer(o.Wait)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return unanswered, unknown(ctx.Err())
	}
	if !v.reachable(w.Addr) {
		<-ctx.Done()
		return unanswered, unknown(ErrUnreachable)
	}
	if err := v.workers.passAnswer(ctx, w.Addr); err != nil {
		return unanswered, err
	}
	v.workers.mu.Lock()
	defer v.workers.mu.Unlock()
	switch {
	case polled.lastReport != nil:
		report = *polled.lastReport
	case v.workers.workers[w.Addr] != polled:
		return unanswered, unknown(ErrUnreachable)
	default:
		report = polled.report()
	}
	report.Acknowledged, report.Deadline = o.Acknowledged, o.Deadline
	return report, nil
}

// forgetEnds forgets the ends up to a number. The lock is held.
func (w *Worker) forgetEnds(number uint64) {
	if len(w.ended) > 0 && w.ended[0].Number <= number {
		w.trace("hold, ack cursor %d, late %t: ends from %d are forgotten", number, w.fleet.lateOrder, w.ended[0].Number)
	}
	for len(w.ended) > 0 && w.ended[0].Number <= number {
		w.fleet.checker.acknowledged(w.ended[0], w.fleet.tasks(w.ended[0].Task))
		w.ended = w.ended[1:]
	}
}

// Network is a simulated network between the nodes of a test.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Peers
}

// NewNetwork returns a network without nodes.
func NewNetwork() *Network { return &Network{nodes: map[string]*Peers{}} }

// Peers implements fleet.Peers for one node.
type Peers struct {
	net      *Network
	addr     string
	handlers map[string]func(context.Context, json.RawMessage) (any, error)
	up, cut  bool
}

// Peers returns the peer transport of the node at addr.
func (n *Network) Peers(addr string) *Peers {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &Peers{net: n, addr: addr, handlers: map[string]func(context.Context, json.RawMessage) (any, error){}}
	n.nodes[addr] = p
	return p
}

// Cut stops or restores all traffic between the node and its peers.
func (p *Peers) Cut(cut bool) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.cut = cut
}

// Handle implements fleet.Peers.
func (p *Peers) Handle(method string, h func(context.Context, json.RawMessage) (any, error)) {
	p.handlers[method] = h
}

// Run implements fleet.Peers.
func (p *Peers) Run(ctx context.Context) error {
	p.set(true)
	<-ctx.Done()
	p.set(false)
	return nil
}

func (p *Peers) set(up bool) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.up = up
}

// Call implements fleet.Peers.
func (p *Peers) Call(ctx context.Context, addr, method string, params, result any) error {
	p.net.mu.Lock()
	target, cut := p.net.nodes[addr], p.cut
	usable := target != nil && target.up && !target.cut
	p.net.mu.Unlock()
	if cut || !usable {
		<-ctx.Done()
		return unknown(ErrUnreachable)
	}
	if err := sleep(ctx, answerTime); err != nil {
		return err
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	v, err := target.handlers[method](ctx, raw)
	if ctx.Err() != nil {
		return unknown(ctx.Err())
	}
	if err != nil || result == nil {
		return err
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}
