package storeclient

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Table is an external.Table with deadlines, budgets, retries and a circuit breaker.
type Table struct {
	next   external.Table
	client serviceClient
}

var _ external.Table = (*Table)(nil)

// Commit applies all writes or none. It is retried after KindUnavailable, which means that
// nothing was written. After KindUnknown it is retried only when ctx was returned by
// WithIdempotentWrite.
func (t *Table) Commit(ctx context.Context, writes ...external.Write) error {
	op := operation{name: "commit", write: true, retryUnknown: idempotentWrite(ctx)}
	_, err := callWithRetry(ctx, &t.client, op, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.next.Commit(ctx, writes...)
	})
	return err
}

// Get reads one row.
func (t *Table) Get(ctx context.Context, key external.Key) (external.Row, error) {
	return callWithRetry(ctx, &t.client, operation{name: "get"}, func(ctx context.Context) (external.Row, error) {
		return t.next.Get(ctx, key)
	})
}

// Range reads rows of a partition in order.
func (t *Table) Range(ctx context.Context, partition, from string, limit int) ([]external.Row, error) {
	return callWithRetry(ctx, &t.client, operation{name: "range"}, func(ctx context.Context) ([]external.Row, error) {
		return t.next.Range(ctx, partition, from, limit)
	})
}

// Objects is an external.Objects with deadlines, budgets, retries and a circuit breaker.
type Objects struct {
	next   external.Objects
	client serviceClient
}

var _ external.Objects = (*Objects)(nil)

// Put replaces an object. It is idempotent and therefore also retried after a lost response.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	op := operation{name: "object-put", write: true, retryUnknown: true}
	_, err := callWithRetry(ctx, &o.client, op, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.next.Put(ctx, name, data)
	})
	return err
}

// Get reads an object.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return callWithRetry(ctx, &o.client, operation{name: "object-get"}, func(ctx context.Context) ([]byte, error) {
		return o.next.Get(ctx, name)
	})
}

// List returns the names with the given prefix, in order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	return callWithRetry(ctx, &o.client, operation{name: "object-list"}, func(ctx context.Context) ([]string, error) {
		return o.next.List(ctx, prefix)
	})
}

// Delete removes an object. Deleting an absent object is not an error.
func (o *Objects) Delete(ctx context.Context, name string) error {
	op := operation{name: "object-delete", write: true, retryUnknown: true}
	_, err := callWithRetry(ctx, &o.client, op, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.next.Delete(ctx, name)
	})
	if model.IsKind(err, model.KindNotFound) {
		return nil
	}
	return err
}
