package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/request"
	"github.com/vanillapier/vanillapier/internal/waiting"
)

// orderTracker holds the batch orders of a run.
type orderTracker struct {
	mu     sync.Mutex
	orders []*orderEntry
}

// orderEntry is the state of an order from the caller's point of view.
type orderEntry struct {
	key       string
	spec      Order
	sentAt    time.Time
	job       model.JobID
	status    request.OrderStatus
	endedAt   time.Time
	cancelled bool
}

const (
	// orderTries bounds the attempts to submit or cancel an order.
	orderTries = 20
	// orderRetry is the delay between them and the interval of status requests.
	orderRetry = 400 * time.Millisecond
	// orderTimeout bounds one HTTP request.
	orderTimeout = 5 * time.Second
)

// submitOrder submits a job and polls its status until it has ended.
func (c *callers) submitOrder(ctx context.Context, tracker *orderTracker, n int, o Order) {
	entry := &orderEntry{key: fmt.Sprintf("order-%d", n), spec: o, sentAt: time.Now()}
	tracker.mu.Lock()
	tracker.orders = append(tracker.orders, entry)
	tracker.mu.Unlock()
	c.pending.Go(func() {
		if !c.submit(ctx, tracker, entry) {
			return
		}
		if o.CancelAfterMS > 0 {
			c.pending.Go(func() { c.cancelLater(ctx, tracker, entry) })
		}
		c.follow(ctx, tracker, entry)
	})
}

// orderBody returns the JSON body of an order. The payload holds the task's actual
// behaviour for the simulated worker.
func orderBody(o Order) ([]byte, error) {
	task := request.OrderTask{
		Resources:   declaration.Capacity{Cores: o.Cores, MemoryGB: o.Memory}.Resources(),
		DeclaredRun: declaration.Duration(time.Duration(o.DeclaredMS) * time.Millisecond),
		Payload:     standin.Payload{RunMS: o.RunMS, CheckpointEveryMS: o.RunMS / 4, Result: "printed"}.Encode(),
	}
	body := request.Order{Team: o.Team, Class: o.Class, Urgency: o.Urgency}
	for range o.Tasks {
		body.Tasks = append(body.Tasks, task)
	}
	return json.Marshal(body)
}

// submit sends the order until it is accepted. All attempts have the same idempotency key.
func (c *callers) submit(ctx context.Context, tracker *orderTracker, entry *orderEntry) bool {
	body, err := orderBody(entry.spec)
	if err != nil {
		return false
	}
	header := http.Header{"Idempotency-Key": {entry.key}, "Content-Type": {"application/json"}}
	for range orderTries {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := c.send(call, http.MethodPost, "/v1/orders", header.Clone(), body)
		cancel()
		var accepted request.OrderAccepted
		if err == nil && r.status < http.StatusBadRequest && json.Unmarshal(r.body, &accepted) == nil {
			tracker.mu.Lock()
			entry.job = accepted.Job
			tracker.mu.Unlock()
			return true
		}
		if !waiting.Sleep(ctx, orderRetry) {
			return false
		}
	}
	return false
}

func (c *callers) cancelLater(ctx context.Context, tracker *orderTracker, entry *orderEntry) {
	if !waiting.Sleep(ctx, time.Duration(entry.spec.CancelAfterMS)*time.Millisecond) {
		return
	}
	for range orderTries {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := c.send(call, http.MethodDelete, "/v1/orders/"+string(entry.job), http.Header{}, nil)
		cancel()
		if err == nil && r.status < http.StatusBadRequest {
			tracker.mu.Lock()
			entry.cancelled = true
			tracker.mu.Unlock()
			return
		}
		if !waiting.Sleep(ctx, orderRetry) {
			return
		}
	}
}

// follow polls the order's status until the order or ctx ends.
func (c *callers) follow(ctx context.Context, tracker *orderTracker, entry *orderEntry) {
	for waiting.Sleep(ctx, orderRetry) {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := c.send(call, http.MethodGet, "/v1/orders/"+string(entry.job), http.Header{}, nil)
		cancel()
		var status request.OrderStatus
		if err != nil || r.status != http.StatusOK || json.Unmarshal(r.body, &status) != nil {
			continue
		}
		tracker.mu.Lock()
		entry.status = status
		ended := status.State != "queued" && status.State != "running"
		if ended {
			entry.endedAt = time.Now()
		}
		tracker.mu.Unlock()
		if ended {
			return
		}
	}
}

// endedAsExpected reports whether an order reached its expected final state.
func (e *orderEntry) endedAsExpected() bool {
	switch {
	case e.spec.Unschedulable:
		return e.status.State == "never"
	case e.cancelled:
		return e.status.State == "cancelled" || e.status.State == "done"
	}
	return e.status.State == "done" && e.status.Done == e.spec.Tasks
}
