package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// kindsTaken takes n events and counts them by class; it also returns the place of the
// first one of a class.
func kindsTaken(b *inbox, n int) (counts [eventClasses]int, first [eventClasses]int) {
	for i := range first {
		first[i] = -1
	}
	for i := range n {
		a, ok := b.take(i)
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

func TestResultsOfTransactionsPassStarts(t *testing.T) {
	b := newInbox()
	for range 3000 {
		require.True(t, b.put(t.Context(), startDone{}))
	}
	require.True(t, b.put(t.Context(), committed{}))
	require.True(t, b.put(t.Context(), looked{}))
	_, first := kindsTaken(&b, 100)
	require.Zero(t, first[classState])
	require.Equal(t, 2, first[classOrder])
}

func TestNoClassOfEventsStarves(t *testing.T) {
	b := newInbox()
	for range 2000 {
		require.True(t, b.put(t.Context(), looked{}))
	}
	for range 100 {
		require.True(t, b.put(t.Context(), startDone{}))
		require.True(t, b.put(t.Context(), stateQuery{}))
	}
	counts, _ := kindsTaken(&b, eventsPerRound)
	for class, n := range counts {
		require.GreaterOrEqual(t, n, eventsPerRound/otherEvery, classNames[class])
	}
}

func TestOrderWithinAClassIsKept(t *testing.T) {
	b := newInbox()
	for i := range 50 {
		require.True(t, b.put(t.Context(), jobRows{listed: uint64(i)}))
		require.True(t, b.put(t.Context(), startDone{}))
	}
	next := uint64(0)
	for i := range 100 {
		a, ok := b.take(i)
		require.True(t, ok)
		if rows, is := a.event.(jobRows); is {
			require.Equal(t, next, rows.listed)
			next++
		}
	}
	require.Equal(t, uint64(50), next)
}

func TestFullInbox(t *testing.T) {
	b := newInbox()
	for range questionsSize {
		require.True(t, b.put(t.Context(), stateQuery{}))
	}
	require.False(t, b.put(t.Context(), stateQuery{}), "turned away at once")
	for range inboxSize {
		require.True(t, b.put(t.Context(), startDone{}))
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, b.put(ended, startDone{}), "waits until the term ends")
	require.True(t, b.put(t.Context(), looked{}), "other classes are not held up")
}

func TestLoadOfALoop(t *testing.T) {
	tm := looseTerm(1)
	tm.load.began = time.Now()
	tm.accept(arrival{event: layoutChanged{tm.layout}, class: classOrder, at: time.Now().Add(-2 * time.Second)})
	tm.now = tm.load.began.Add(loadWindow)
	tm.noteRound(time.Now().Add(-time.Second))
	v := tm.load.before.view()
	require.GreaterOrEqual(t, v.OldestMS["order"], int64(2000))
	require.Zero(t, v.OldestMS["state"])
	require.GreaterOrEqual(t, v.BusyShare, 0.2)
	require.InDelta(t, 0.2, v.EventsPerSecond, 0.001)
}
