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

// orderBook follows the batch orders of a run.
type orderBook struct {
	mu     sync.Mutex
	orders []*orderEntry
}

// orderEntry is one order as its caller sees it.
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
	// orderTries bounds the submissions of one order.
	orderTries = 20
	// orderRetry is the wait between them, and between status requests.
	orderRetry = 400 * time.Millisecond
	// orderTimeout bounds one call.
	orderTimeout = 5 * time.Second
)

// order submits a job and follows it to its end.
func (c *callers) order(ctx context.Context, book *orderBook, n int, o Order) {
	entry := &orderEntry{key: fmt.Sprintf("order-%d", n), spec: o, sentAt: time.Now()}
	book.mu.Lock()
	book.orders = append(book.orders, entry)
	book.mu.Unlock()
	c.pending.Go(func() {
		if !c.submit(ctx, book, entry) {
			return
		}
		if o.CancelAfterMS > 0 {
			c.pending.Go(func() { c.cancelLater(ctx, book, entry) })
		}
		c.follow(ctx, book, entry)
	})
}

// orderBody returns the JSON body of an order. The payload tells the stand-in
// worker how the task truly behaves.
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

// submit sends the order until it is accepted; every try carries the same key.
func (c *callers) submit(ctx context.Context, book *orderBook, entry *orderEntry) bool {
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
			book.mu.Lock()
			entry.job = accepted.Job
			book.mu.Unlock()
			return true
		}
		if !waiting.Sleep(ctx, orderRetry) {
			return false
		}
	}
	return false
}

func (c *callers) cancelLater(ctx context.Context, book *orderBook, entry *orderEntry) {
	if !waiting.Sleep(ctx, time.Duration(entry.spec.CancelAfterMS)*time.Millisecond) {
		return
	}
	for range orderTries {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := c.send(call, http.MethodDelete, "/v1/orders/"+string(entry.job), http.Header{}, nil)
		cancel()
		if err == nil && r.status < http.StatusBadRequest {
			book.mu.Lock()
			entry.cancelled = true
			book.mu.Unlock()
			return
		}
		if !waiting.Sleep(ctx, orderRetry) {
			return
		}
	}
}

// follow asks for the order's status until it has ended or ctx ends.
func (c *callers) follow(ctx context.Context, book *orderBook, entry *orderEntry) {
	for waiting.Sleep(ctx, orderRetry) {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		r, err := c.send(call, http.MethodGet, "/v1/orders/"+string(entry.job), http.Header{}, nil)
		cancel()
		var status request.OrderStatus
		if err != nil || r.status != http.StatusOK || json.Unmarshal(r.body, &status) != nil {
			continue
		}
		book.mu.Lock()
		entry.status = status
		ended := status.State != "queued" && status.State != "running"
		if ended {
			entry.endedAt = time.Now()
		}
		book.mu.Unlock()
		if ended {
			return
		}
	}
}

// proper reports whether an order reached the end that it should.
func (e *orderEntry) proper() bool {
	switch {
	case e.spec.Never:
		return e.status.State == "never"
	case e.cancelled:
		return e.status.State == "cancelled" || e.status.State == "done"
	}
	return e.status.State == "done" && e.status.Done == e.spec.Tasks
}
