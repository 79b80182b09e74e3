package storeclient

import (
	"context"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Table is a external.Table with deadlines, budgets, retries and a breaker.
type Table struct {
	next   external.Table
	caller caller
}

var _ external.Table = (*Table)(nil)

// Commit applies all writes or none. It is repeated after KindUnavailable,
// which means that nothing was written. After KindUnknown it is repeated only
// when ctx carries WithIdempotentWrite.
func (t *Table) Commit(ctx context.Context, writes ...external.Write) error {
	op := operation{name: "commit", write: true, repeatUnknown: idempotentWrite(ctx)}
	_, err := call(ctx, &t.caller, op, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, t.next.Commit(ctx, writes...)
	})
	return err
}

// Get reads one row.
func (t *Table) Get(ctx context.Context, key external.Key) (external.Row, error) {
	return call(ctx, &t.caller, operation{name: "get"}, func(ctx context.Context) (external.Row, error) {
		return t.next.Get(ctx, key)
	})
}

// Range reads rows of a partition in order.
func (t *Table) Range(ctx context.Context, partition, from string, limit int) ([]external.Row, error) {
	return call(ctx, &t.caller, operation{name: "range"}, func(ctx context.Context) ([]external.Row, error) {
		return t.next.Range(ctx, partition, from, limit)
	})
}

// Objects is a external.Objects with deadlines, budgets, retries and a breaker.
type Objects struct {
	next   external.Objects
	caller caller
}

var _ external.Objects = (*Objects)(nil)

// Put replaces an object. It is idempotent by content and therefore repeated.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	op := operation{name: "object-put", write: true, repeatUnknown: true}
	_, err := call(ctx, &o.caller, op, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.next.Put(ctx, name, data)
	})
	return err
}

// Get reads an object.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return call(ctx, &o.caller, operation{name: "object-get"}, func(ctx context.Context) ([]byte, error) {
		return o.next.Get(ctx, name)
	})
}

// List returns the names that start with prefix, in order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	return call(ctx, &o.caller, operation{name: "object-list"}, func(ctx context.Context) ([]string, error) {
		return o.next.List(ctx, prefix)
	})
}

// Delete removes an object; an object that is already absent is no error.
func (o *Objects) Delete(ctx context.Context, name string) error {
	op := operation{name: "object-delete", write: true, repeatUnknown: true}
	_, err := call(ctx, &o.caller, op, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, o.next.Delete(ctx, name)
	})
	if model.IsKind(err, model.KindNotFound) {
		return nil
	}
	return err
}
