package fleettest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// freezer holds up what a node's process sends, hears and decides while the process is frozen. Clocks and
// timers go on.
type freezer struct {
	mu sync.Mutex
	// thawed is closed when the process goes on; nil while it is not frozen.
	thawed chan struct{}
}

// set freezes the process or lets it go on.
func (f *freezer) set(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case frozen && f.thawed == nil:
		f.thawed = make(chan struct{})
	case !frozen && f.thawed != nil:
		close(f.thawed)
		f.thawed = nil
	}
}

// wait returns when the process is not frozen. It reports whether it was.
func (f *freezer) wait() bool {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	if thawed == nil {
		return false
	}
	<-thawed
	return true
}

// Freeze stops a node's process as a signal does, or lets it go on. Calls to it are answered once it goes
// on, and answers to its own calls wait for it.
func (m *Member) Freeze(frozen bool) { m.freezer.set(frozen) }

// heldCall makes a call of a process that may be frozen before the call is sent or before its answer is
// read.
func heldCall[T any](ctx context.Context, f *freezer, call func() (T, error)) (T, error) {
	if f.wait() && ctx.Err() != nil {
		var none T
		return none, unknown(ctx.Err())
	}
	answer, err := call()
	if f.wait() && ctx.Err() != nil {
		err = unknown(ctx.Err())
	}
	return answer, err
}

// heldStore is the store as a process sees it that may be frozen.
type heldStore struct {
	fleet.Store
	freezer *freezer
}

// Commit implements fleet.Store.
func (s heldStore) Commit(ctx context.Context, tx fleet.Transaction) (fleet.Commit, error) {
	return heldCall(ctx, s.freezer, func() (fleet.Commit, error) { return s.Store.Commit(ctx, tx) })
}

// List implements fleet.Store.
func (s heldStore) List(ctx context.Context, table, part, from, to string, limit int) (fleet.Page, error) {
	return heldCall(ctx, s.freezer, func() (fleet.Page, error) { return s.Store.List(ctx, table, part, from, to, limit) })
}

// Watch implements fleet.Store.
func (s heldStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (fleet.Page, error) {
	return heldCall(ctx, s.freezer, func() (fleet.Page, error) { return s.Store.Watch(ctx, table, after, wait) })
}

// heldWorkers are the workers as a process sees them that may be frozen.
type heldWorkers struct {
	fleet.Workers
	freezer *freezer
}

// Start implements fleet.Workers.
func (w heldWorkers) Start(ctx context.Context, to fleet.WorkerInfo, o fleet.StartOrder) (fleet.WorkerReply, error) {
	return heldCall(ctx, w.freezer, func() (fleet.WorkerReply, error) { return w.Workers.Start(ctx, to, o) })
}

// Stop implements fleet.Workers.
func (w heldWorkers) Stop(ctx context.Context, to fleet.WorkerInfo, r fleet.RunRef, fence uint64) (fleet.WorkerReply, error) {
	return heldCall(ctx, w.freezer, func() (fleet.WorkerReply, error) { return w.Workers.Stop(ctx, to, r, fence) })
}

// Poll implements fleet.Workers.
func (w heldWorkers) Poll(ctx context.Context, to fleet.WorkerInfo, o fleet.PollOrder) (fleet.Report, error) {
	return heldCall(ctx, w.freezer, func() (fleet.Report, error) { return w.Workers.Poll(ctx, to, o) })
}

// Pace implements fleet.Workers.
func (w heldWorkers) Pace(ctx context.Context, to fleet.WorkerInfo, r fleet.RunRef, percent int, fence uint64) (fleet.WorkerReply, error) {
	return heldCall(ctx, w.freezer, func() (fleet.WorkerReply, error) { return w.Workers.Pace(ctx, to, r, percent, fence) })
}

// heldPeers are the peers as a process sees them that may be frozen.
type heldPeers struct {
	fleet.Peers
	freezer *freezer
}

// Handle implements fleet.Peers.
func (p heldPeers) Handle(method string, h func(context.Context, json.RawMessage) (any, error)) {
	p.Peers.Handle(method, func(ctx context.Context, params json.RawMessage) (any, error) {
		return heldCall(ctx, p.freezer, func() (any, error) { return h(ctx, params) })
	})
}

// Call implements fleet.Peers.
func (p heldPeers) Call(ctx context.Context, addr, method string, params, result any) error {
	_, err := heldCall(ctx, p.freezer, func() (struct{}, error) { return struct{}{}, p.Peers.Call(ctx, addr, method, params, result) })
	return err
}
