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

// oneSlot returns an admission with one runner of one slot that is in use.
func oneSlot(t *testing.T, now time.Time) (*admission, *routing.Runner) {
	a := &admission{
		service: "desk", route: routing.NewPool(routing.LeastExpected{}, routing.OutlierConfig{}, 1), queue: newQueue(),
		budget: routing.NewBudget(10), shares: &share.SingleNode{Slots: func(model.ServiceName) int { return 1 }}, queueLimit: 10, callerShare: 50,
	}
	a.route.Update([]routing.Target{{ID: "r"}})
	a.route.SetLimits(func(model.RunnerID) int { return 1 })
	w := newWaiter(now, "x", false, time.Second)
	require.True(t, a.arrive(now, w))
	r := (<-w.result).choice.Runner
	a.finish(now, r, 100*time.Millisecond, routing.Success) // the typical latency
	w = newWaiter(now, "x", false, time.Second)
	require.True(t, a.arrive(now, w))
	return a, (<-w.result).choice.Runner
}

// reasonOf returns why w was refused; empty when it has no result.
func reasonOf(w *waiter) string {
	select {
	case r := <-w.result:
		return r.refusal.reason
	default:
		return ""
	}
}

func newWaiter(now time.Time, caller string, bulk bool, timeout time.Duration) *waiter {
	return &waiter{caller: caller, bulk: bulk, deadline: now.Add(timeout), result: make(chan grantResult, 1)}
}

// Guards against a queue that ignores deadlines, serves bulk requests before
// interactive ones or lets one caller push the others back.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(0, 0)
	a, r := oneSlot(t, now)
	want := map[string]*waiter{
		"1 early":       newWaiter(now, "a", false, 4*time.Second),
		"2 other":       newWaiter(now, "b", false, 5*time.Second),
		"3 same caller": newWaiter(now, "a", false, 4900*time.Millisecond),
		"4 bulk":        newWaiter(now, "c", true, 3*time.Second),
	}
	for _, name := range []string{"4 bulk", "1 early", "3 same caller", "2 other"} {
		require.False(t, a.arrive(now, want[name]), name)
	}
	for _, name := range []string{"1 early", "2 other", "3 same caller", "4 bulk"} {
		a.finish(now, r, 100*time.Millisecond, routing.Success)
		require.Len(t, want[name].result, 1, name)
	}
}

// Guards against a hopeless request that is held until its deadline, a queue
// without a bound, and a caller that fills it.
func TestQueueRefusals(t *testing.T) {
	now := time.Unix(0, 0)
	a, r := oneSlot(t, now)
	hopeless := newWaiter(now, "a", false, 150*time.Millisecond)
	require.True(t, a.arrive(now, hopeless))
	require.Equal(t, "deadline", reasonOf(hopeless))
	bulk := newWaiter(now, "bulk", true, 9*time.Second)
	require.False(t, a.arrive(now, bulk))
	var greedy []*waiter
	for range 7 {
		w := newWaiter(now, "greedy", false, 8*time.Second)
		greedy = append(greedy, w)
		a.arrive(now, w)
	}
	require.Equal(t, "caller-share", reasonOf(greedy[6]))
	for i := range 5 {
		require.False(t, a.arrive(now, newWaiter(now, fmt.Sprint(i), false, 8*time.Second)))
	}
	require.Equal(t, "queue-full", reasonOf(bulk), "bulk gives way first")
	late := newWaiter(now, "late", false, 8*time.Second)
	require.False(t, a.arrive(now, late))
	dropped := 0
	for _, w := range greedy[:5] {
		dropped += len(w.result)
	}
	require.Equal(t, 1, dropped, "the largest caller gives way next")
	a.finish(now.Add(7950*time.Millisecond), r, 100*time.Millisecond, routing.Success)
	require.Zero(t, a.queue.len(), "requests that became hopeless are refused at once")
}
