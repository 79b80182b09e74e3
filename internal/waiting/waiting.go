// Package waiting provides a sleep that ends early when its context does.
package waiting

import (
	"context"
	"time"
)

// Sleep waits for d and reports true, or reports false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
