package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/routing"
	"github.com/vanillapier/vanillapier/internal/share"

	"github.com/vanillapier/vanillapier/internal/model"
)

// newBusyAdmission returns an admission with one runner whose only slot is in use.
func newBusyAdmission(t *testing.T, now time.Time) (*admission, *routing.Runner) {
	a := &admission{
		service: "desk", router: routing.NewPool(routing.LeastExpected{}, routing.OutlierConfig{}, 1), queue: newQueue(),
		budget: routing.NewBudget(10), shares: &share.SingleNode{Slots: func(model.ServiceName) int { return 1 }}, queueLimit: 10, callerSharePercent: 50,
	}
	a.router.Update([]routing.Target{{ID: "r"}})
	a.router.SetLimits(func(model.RunnerID) int { return 1 })
	w := newWaiter(now, "x", false, time.Second)
	require.True(t, a.admitOrQueue(now, w))
	r := (<-w.result).choice.Runner
	a.finish(now, r, 100*time.Millisecond, routing.Success) // sets the median latency
	w = newWaiter(now, "x", false, time.Second)
	require.True(t, a.admitOrQueue(now, w))
	return a, (<-w.result).choice.Runner
}

// refusalReason returns the reason of w's refusal, or "" when w has no result.
func refusalReason(w *waiter) string {
	select {
	case r := <-w.result:
		return r.refusal.reason
	default:
		return ""
	}
}

func newWaiter(now time.Time, caller string, bulk bool, timeout time.Duration) *waiter {
	return &waiter{caller: caller, bulk: bulk, deadline: now.Add(timeout), result: make(chan admissionResult, 1)}
}

// Guards against a queue that ignores deadlines, serves bulk requests before interactive ones
// or lets one caller delay the others.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(0, 0)
	a, r := newBusyAdmission(t, now)
	want := map[string]*waiter{
		"1 early":       newWaiter(now, "a", false, 4*time.Second),
		"2 other":       newWaiter(now, "b", false, 5*time.Second),
		"3 same caller": newWaiter(now, "a", false, 4900*time.Millisecond),
		"4 bulk":        newWaiter(now, "c", true, 3*time.Second),
	}
	for _, name := range []string{"4 bulk", "1 early", "3 same caller", "2 other"} {
		require.False(t, a.admitOrQueue(now, want[name]), name)
	}
	for _, name := range []string{"1 early", "2 other", "3 same caller", "4 bulk"} {
		a.finish(now, r, 100*time.Millisecond, routing.Success)
		require.Len(t, want[name].result, 1, name)
	}
}

// Guards against a request that is queued although its deadline cannot be met, an unbounded
// queue, and a caller that occupies the whole queue.
func TestQueueRefusals(t *testing.T) {
	now := time.Unix(0, 0)
	a, r := newBusyAdmission(t, now)
	unmeetable := newWaiter(now, "a", false, 150*time.Millisecond)
	require.True(t, a.admitOrQueue(now, unmeetable))
	require.Equal(t, "deadline", refusalReason(unmeetable))
	bulk := newWaiter(now, "bulk", true, 9*time.Second)
	require.False(t, a.admitOrQueue(now, bulk))
	var greedy []*waiter
	for range 7 {
		w := newWaiter(now, "greedy", false, 8*time.Second)
		greedy = append(greedy, w)
		a.admitOrQueue(now, w)
	}
	require.Equal(t, "caller-share", refusalReason(greedy[6]))
	for i := range 5 {
		require.False(t, a.admitOrQueue(now, newWaiter(now, fmt.Sprint(i), false, 8*time.Second)))
	}
	require.Equal(t, "queue-full", refusalReason(bulk), "bulk requests are evicted first")
	late := newWaiter(now, "late", false, 8*time.Second)
	require.False(t, a.admitOrQueue(now, late))
	dropped := 0
	for _, w := range greedy[:5] {
		dropped += len(w.result)
	}
	require.Equal(t, 1, dropped, "the caller with the most waiters is next")
	a.finish(now.Add(7950*time.Millisecond), r, 100*time.Millisecond, routing.Success)
	require.Zero(t, a.queue.len(), "requests that can no longer meet their deadline are refused at once")
}
