package storeclient

import "context"

// Priority orders the operations that wait for the same budget. A lower value is served first.
type Priority int

const (
	// PriorityFence is for fences, ownership changes and drains.
	PriorityFence Priority = iota
	// PriorityInteractive is for claims that a caller waits for.
	PriorityInteractive
	// PriorityJournal is the default. It is for journal appends and control reads.
	PriorityJournal
	// PriorityBulk is for snapshots, truncation and other background work.
	PriorityBulk

	priorityCount = int(PriorityBulk) + 1
)

type contextKey int

const (
	priorityKey contextKey = iota
	idempotentKey
)

// WithPriority returns a context whose store operations have priority p.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey, p)
}

// PriorityFrom returns the priority set in ctx, or PriorityJournal.
func PriorityFrom(ctx context.Context) Priority {
	p, ok := ctx.Value(priorityKey).(Priority)
	if !ok || p < PriorityFence || p > PriorityBulk {
		return PriorityJournal
	}
	return p
}

// WithIdempotentWrite marks the table writes made with the returned context as idempotent:
// applying them twice leaves the same rows as applying them once. Only such writes are retried
// after a lost response.
func WithIdempotentWrite(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey, true)
}

func idempotentWrite(ctx context.Context) bool {
	v, _ := ctx.Value(idempotentKey).(bool)
	return v
}
