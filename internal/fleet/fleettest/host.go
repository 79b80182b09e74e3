package fleettest

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/usage"
)

// Costs are the processor times of what a node's process does, of a whole core. The zero value means that
// nothing takes time.
type Costs struct {
	// WorkerCall, StoreCall and PeerCall are those of a call, half of it before it is sent and half when it
	// is answered. NewConnection is what a call to a worker takes more without an open connection.
	WorkerCall, NewConnection, StoreCall, PeerCall time.Duration
	// StoreMB is the time of a megabyte of values, written or read.
	StoreMB time.Duration
	// Event and Plan are those of a leader's loop, Row that of a row that it applies when its term begins.
	Event, Plan, Row time.Duration
}

// LeaderCosts are those in the profile of a leader of 350 workers.
var LeaderCosts = Costs{
	WorkerCall: 300 * time.Microsecond, NewConnection: 500 * time.Microsecond, StoreCall: 300 * time.Microsecond, PeerCall: 300 * time.Microsecond,
	StoreMB: 10 * time.Millisecond, Event: 100 * time.Microsecond, Plan: time.Millisecond, Row: 40 * time.Microsecond,
}

const (
	// loopTurn is the processor time for which a loop that does not wait goes on before others have their
	// turn; Go's scheduler preempts after as long.
	loopTurn = 10 * time.Millisecond
	// runBytes is the size of a run or an end in the report of a worker.
	runBytes = 150
)

// hostLink is a node's link. It carries the answers to its calls one at a time.
type hostLink struct {
	bytesPerSecond int64 // 0 for no limit
	mu             sync.Mutex
	free           time.Time // when all answers on the way have arrived
	received       int64
}

// transfer waits until an answer has come over the link, or ctx ends. The answer to a call that is given up
// still occupies the link.
func (l *hostLink) transfer(ctx context.Context, bytes int) error {
	if l.bytesPerSecond == 0 {
		return nil
	}
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.received += int64(bytes)
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond))
	wait := time.Until(l.free)
	l.mu.Unlock()
	return sleep(ctx, wait)
}

// host is the processor and the link of a node's process. The processor does what is queued in order.
type host struct {
	costs    Costs
	milliCPU int64
	link     *hostLink
	ended    chan struct{} // closed when the process ends
	mu       sync.Mutex
	// busyUntil is when all that is queued is done, and used the processor time of all that ever was.
	busyUntil time.Time
	used      time.Duration
	// turnEnd is when the loop's last work is done, and turnUsed the processor time of its turn so far.
	turnEnd  time.Time
	turnUsed time.Duration
	// connected holds the addresses of the workers to which a connection is open.
	connected map[string]bool
}

func newHost(m *Member) *host {
	return &host{costs: m.Costs, milliCPU: m.MilliCPU, link: &hostLink{bytesPerSecond: m.LinkBytes}, ended: make(chan struct{}), connected: map[string]bool{}}
}

// modelled reports whether anything takes processor time.
func (h *host) modelled() bool { return h.milliCPU > 0 && h.costs != Costs{} }

// usage returns the resource usage of the process since its start.
func (h *host) usage() usage.Total {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.link.mu.Lock()
	defer h.link.mu.Unlock()
	done := h.used
	if queued := time.Until(h.busyUntil); queued > 0 {
		done -= queued * time.Duration(h.milliCPU) / 1000
	}
	return usage.Total{CPU: done, Received: h.link.received}
}

// queue adds work and returns how long it takes on this host. The lock is held.
func (h *host) queue(cost time.Duration) time.Duration {
	if now := time.Now(); h.busyUntil.Before(now) {
		h.busyUntil = now
	}
	took := cost * 1000 / time.Duration(h.milliCPU)
	h.busyUntil, h.used = h.busyUntil.Add(took), h.used+cost
	return took
}

// spend waits until the processor has done some work, or ctx ends. Work that is given up is still done.
func (h *host) spend(ctx context.Context, cost time.Duration) error {
	if !h.modelled() {
		return nil
	}
	h.mu.Lock()
	h.queue(cost)
	wait := time.Until(h.busyUntil)
	h.mu.Unlock()
	return sleep(ctx, wait)
}

// spendOnLoop waits until the processor has done work of a leader's loop. A loop that has not waited since
// goes on before what is queued, for loopTurn.
func (h *host) spendOnLoop() {
	if !h.modelled() {
		return
	}
	cost := h.loopCost()
	h.mu.Lock()
	now := time.Now()
	wait := h.queue(cost)
	if h.turnUsed += cost; !now.Equal(h.turnEnd) || h.turnUsed > loopTurn {
		h.turnUsed, wait = cost, time.Until(h.busyUntil)
	}
	h.turnEnd = now.Add(wait)
	h.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-h.ended:
	}
}

// loopCost returns the processor time of what has called the event hook.
func (h *host) loopCost() time.Duration {
	callers := make([]uintptr, 8)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
	for {
		f, more := frames.Next()
		switch {
		case strings.HasSuffix(f.Function, ").handleQueued"):
			return h.costs.Event
		case strings.HasSuffix(f.Function, ").applyTables"):
			return h.costs.Row
		case !more:
			return h.costs.Plan
		}
	}
}

// connect reports whether a connection to a worker is open; from now on one is.
func (h *host) connect(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := h.connected[addr]
	h.connected[addr] = true
	return open
}

func (h *host) disconnect(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.connected[addr] = false
}

// hostCall makes a call of a process on a host that takes the time of sent before, and that of answered after
// it.
func hostCall[T any](ctx context.Context, h *host, sent time.Duration, do func() (T, error), answered func(T) time.Duration) (T, error) {
	if err := h.spend(ctx, sent); err != nil {
		var none T
		return none, err
	}
	answer, err := do()
	if late := h.spend(ctx, answered(answer)); err == nil {
		err = late
	}
	return answer, err
}

// hostStore is the store as the process of a host sees it.
type hostStore struct {
	fleet.Store
	host *host
}

// values returns the processor time of the values of rows.
func (s hostStore) values(rows []fleet.Row) time.Duration {
	bytes := 0
	for _, r := range rows {
		bytes += len(r.Value)
	}
	return s.host.costs.StoreMB * time.Duration(bytes) / 1_000_000
}

func (s hostStore) read(ctx context.Context, do func() (fleet.Page, error)) (fleet.Page, error) {
	half := s.host.costs.StoreCall / 2
	return hostCall(ctx, s.host, half, do, func(p fleet.Page) time.Duration { return half + s.values(p.Rows) })
}

// Commit implements fleet.Store.
func (s hostStore) Commit(ctx context.Context, tx fleet.Transaction) (fleet.Commit, error) {
	half := s.host.costs.StoreCall / 2
	return hostCall(ctx, s.host, half+s.values(tx.Puts), func() (fleet.Commit, error) { return s.Store.Commit(ctx, tx) },
		func(fleet.Commit) time.Duration { return half })
}

// List implements fleet.Store.
func (s hostStore) List(ctx context.Context, table, part, from, to string, limit int) (fleet.Page, error) {
	return s.read(ctx, func() (fleet.Page, error) { return s.Store.List(ctx, table, part, from, to, limit) })
}

// Watch implements fleet.Store.
func (s hostStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (fleet.Page, error) {
	return s.read(ctx, func() (fleet.Page, error) { return s.Store.Watch(ctx, table, after, wait) })
}

// hostWorkers are the workers as the process of a host sees them.
type hostWorkers struct {
	fleet.Workers
	host *host
}

// callWorker makes a call to the worker at addr whose answer lists some runs and ends. A call without an
// answer closes its connection.
func callWorker[T any](ctx context.Context, h *host, addr string, do func() (T, error), listed func(T) int) (T, error) {
	if !h.modelled() {
		return do()
	}
	half := h.costs.WorkerCall / 2
	sent := half
	if !h.connect(addr) {
		sent += h.costs.NewConnection
	}
	answer, err := hostCall(ctx, h, sent, func() (T, error) {
		answer, err := do()
		if err == nil {
			err = h.link.transfer(ctx, answerOverhead+runBytes*listed(answer))
		}
		return answer, err
	}, func(T) time.Duration { return half })
	if err != nil {
		h.disconnect(addr)
	}
	return answer, err
}

func noRuns(fleet.WorkerReply) int { return 0 }

// Start implements fleet.Workers.
func (w hostWorkers) Start(ctx context.Context, to fleet.WorkerInfo, o fleet.StartOrder) (fleet.WorkerReply, error) {
	return callWorker(ctx, w.host, to.Addr, func() (fleet.WorkerReply, error) { return w.Workers.Start(ctx, to, o) }, noRuns)
}

// Stop implements fleet.Workers.
func (w hostWorkers) Stop(ctx context.Context, to fleet.WorkerInfo, r fleet.RunRef, fence uint64) (fleet.WorkerReply, error) {
	return callWorker(ctx, w.host, to.Addr, func() (fleet.WorkerReply, error) { return w.Workers.Stop(ctx, to, r, fence) }, noRuns)
}

// Poll implements fleet.Workers.
func (w hostWorkers) Poll(ctx context.Context, to fleet.WorkerInfo, o fleet.PollOrder) (fleet.Report, error) {
	return callWorker(ctx, w.host, to.Addr, func() (fleet.Report, error) { return w.Workers.Poll(ctx, to, o) },
		func(r fleet.Report) int { return len(r.Running) + len(r.Ended) })
}

// Pace implements fleet.Workers.
func (w hostWorkers) Pace(ctx context.Context, to fleet.WorkerInfo, r fleet.RunRef, percent int, fence uint64) (fleet.WorkerReply, error) {
	return callWorker(ctx, w.host, to.Addr, func() (fleet.WorkerReply, error) { return w.Workers.Pace(ctx, to, r, percent, fence) }, noRuns)
}

// hostPeers are the peers as the process of a host sees them.
type hostPeers struct {
	fleet.Peers
	host *host
}

// Handle implements fleet.Peers.
func (p hostPeers) Handle(method string, h func(context.Context, json.RawMessage) (any, error)) {
	half := p.host.costs.PeerCall / 2
	p.Peers.Handle(method, func(ctx context.Context, params json.RawMessage) (any, error) {
		return hostCall(ctx, p.host, half, func() (any, error) { return h(ctx, params) }, func(any) time.Duration { return half })
	})
}

// Call implements fleet.Peers.
func (p hostPeers) Call(ctx context.Context, addr, method string, params, result any) error {
	half := p.host.costs.PeerCall / 2
	_, err := hostCall(ctx, p.host, half, func() (struct{}, error) { return struct{}{}, p.Peers.Call(ctx, addr, method, params, result) },
		func(struct{}) time.Duration { return half })
	return err
}

// answerBytes is the size of an answer of the store with rows.
func answerBytes(rows []fleet.Row) int {
	bytes := answerOverhead
	for _, row := range rows {
		bytes += base64.StdEncoding.EncodedLen(len(row.Value)) + answerOverhead
	}
	return bytes
}
