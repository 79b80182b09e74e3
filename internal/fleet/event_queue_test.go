package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// popCounts pops up to n events and counts them by class. It also returns the position of the
// first event of each class, -1 if there is none.
func popCounts(b *eventQueue, n int) (counts [eventClasses]int, first [eventClasses]int) {
	for i := range first {
		first[i] = -1
	}
	for i := range n {
		a, ok := b.pop(i)
		if !ok {
			break
		}
		counts[a.class]++
		if first[a.class] < 0 {
			first[a.class] = i
		}
	}
	return counts, first
}

func TestCommitResultsPrecedeStartReplies(t *testing.T) {
	b := newEventQueue()
	for range 3000 {
		require.True(t, b.push(t.Context(), startReply{}))
	}
	require.True(t, b.push(t.Context(), commitResult{}))
	require.True(t, b.push(t.Context(), pollReply{}))
	_, first := popCounts(&b, 100)
	require.Zero(t, first[classState])
	require.Equal(t, 2, first[classOrder])
}

func TestNoClassOfEventsStarves(t *testing.T) {
	b := newEventQueue()
	for range 2000 {
		require.True(t, b.push(t.Context(), pollReply{}))
	}
	for range 100 {
		require.True(t, b.push(t.Context(), startReply{}))
		require.True(t, b.push(t.Context(), stateQuery{}))
	}
	counts, _ := popCounts(&b, eventsPerRound)
	for class, n := range counts {
		require.GreaterOrEqual(t, n, eventsPerRound/lowerClassInterval, classNames[class])
	}
}

func TestOrderWithinAClassIsKept(t *testing.T) {
	b := newEventQueue()
	for i := range 50 {
		require.True(t, b.push(t.Context(), jobRows{fullVersion: uint64(i)}))
		require.True(t, b.push(t.Context(), startReply{}))
	}
	next := uint64(0)
	for i := range 100 {
		a, ok := b.pop(i)
		require.True(t, ok)
		if rows, is := a.event.(jobRows); is {
			require.Equal(t, next, rows.fullVersion)
			next++
		}
	}
	require.Equal(t, uint64(50), next)
}

func TestFullEventQueue(t *testing.T) {
	b := newEventQueue()
	for range queryQueueSize {
		require.True(t, b.push(t.Context(), stateQuery{}))
	}
	require.False(t, b.push(t.Context(), stateQuery{}), "refused at once")
	for range eventQueueSize {
		require.True(t, b.push(t.Context(), startReply{}))
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, b.push(ended, startReply{}), "waits until the term ends")
	require.True(t, b.push(t.Context(), pollReply{}), "other classes are not blocked")
}

func TestLoopLoad(t *testing.T) {
	tm := newTestTerm(1)
	tm.loopLoad.windowStart = time.Now()
	tm.handleQueued(queuedEvent{event: layoutChanged{tm.layout}, class: classOrder, queuedAt: time.Now().Add(-2 * time.Second)})
	tm.now = tm.loopLoad.windowStart.Add(loopLoadWindow)
	tm.recordRound(time.Now().Add(-time.Second))
	v := tm.loopLoad.previous.view()
	require.GreaterOrEqual(t, v.OldestMS["order"], int64(2000))
	require.Zero(t, v.OldestMS["state"])
	require.GreaterOrEqual(t, v.BusyShare, 0.2)
	require.InDelta(t, 0.2, v.EventsPerSecond, 0.001)
}
