package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Sizes of the queues of events.
const (
	// eventQueueSize bounds the events of a class that wait for the loop; senders wait beyond it.
	eventQueueSize = 8192
	// queryQueueSize bounds waiting questions; further ones are turned away at once, and
	// whoever asks reads the store instead.
	queryQueueSize = 256
	// eventsPerRound bounds the events handled before a plan is made.
	eventsPerRound = 256
	// maxRoundTime bounds the time of these, so that renewals and what is due by time are not
	// held up: followers count a leader as lost after some 2 s.
	maxRoundTime = 100 * time.Millisecond
	// lowerClassInterval is how often a class of lower order gets its turn beside a backlog of
	// the higher ones.
	lowerClassInterval = 8
)

// eventClass orders events by what they protect.
type eventClass int

const (
	// classState is what promises rest on: results of transactions, reports with leases
	// and ends, stops, cancellations, rows of jobs and workers. One queue keeps their order.
	classState eventClass = iota
	// classOrder is the results of starts and paces, advice and upkeep.
	classOrder
	// classQuery is what callers and operators ask.
	classQuery
	eventClasses
)

var classNames = [eventClasses]string{"state", "order", "question"}

// classOf returns the class of an event.
func classOf(e event) eventClass {
	switch e.(type) {
	case stateQuery, pendingQuery, inspectQuery:
		return classQuery
	case startReply, paceReply, adviceReply, inventoryRead, maintainReply, waveStatusWritten, evacuateQuery, remoteEvacuationReply, layoutChanged, racksAssigned, cellModelsRead:
		return classOrder
	}
	return classState
}

// queuedEvent is an event that waits for the loop.
type queuedEvent struct {
	event    event
	class    eventClass
	queuedAt time.Time
}

// eventQueue holds the events that wait for a term's loop, a queue for each class.
type eventQueue [eventClasses]chan queuedEvent

func newEventQueue() eventQueue {
	return eventQueue{make(chan queuedEvent, eventQueueSize), make(chan queuedEvent, eventQueueSize), make(chan queuedEvent, queryQueueSize)}
}

// push adds an event. It waits while the queue is full, but turns questions away then.
// It reports whether the event was added.
func (b *eventQueue) push(ctx context.Context, e event) bool {
	a := queuedEvent{e, classOf(e), time.Now()}
	select {
	case b[a.class] <- a:
		return true
	default:
	}
	if a.class == classQuery {
		return false
	}
	select {
	case b[a.class] <- a:
		return true
	case <-ctx.Done():
		return false
	}
}

// pop returns an event that waits, the i-th of a round: those of the highest class
// first, and now and then one of another, so that none waits forever.
func (b *eventQueue) pop(i int) (queuedEvent, bool) {
	first := classState
	switch i % lowerClassInterval {
	case lowerClassInterval - 1:
		first = classOrder
	case lowerClassInterval - 2:
		first = classQuery
	}
	for k := range eventClasses {
		select {
		case a := <-b[(first+k)%eventClasses]:
			return a, true
		default:
		}
	}
	return queuedEvent{}, false
}

const (
	// loopLoadWindow is the time over which the load of a loop is told.
	loopLoadWindow = 5 * time.Second
	// maxStateEventAge is the age of events that counts as a loop that is behind: leases are
	// renewed each second. Results of starts may wait as long as a lease lasts less some
	// looks.
	maxStateEventAge = 500 * time.Millisecond
	maxOrderEventAge = 2 * time.Second
)

// loopLoad tells how far a loop is behind, over the last full window.
type loopLoad struct {
	windowStart time.Time
	current     loopWindow
	previous    loopWindow
}

// loopWindow is the load of one window of time.
type loopWindow struct {
	oldest [eventClasses]time.Duration // age of the oldest event when it was handled
	busy   time.Duration               // time spent on events and plans
	events int
}

// rotate begins a new window when the last is over, and reports whether it did.
func (l *loopLoad) rotate(now time.Time) bool {
	if now.Sub(l.windowStart) < loopLoadWindow {
		return false
	}
	l.previous, l.current, l.windowStart = l.current, loopWindow{}, now
	return true
}

// LoopView tells how far a leader's loop is behind.
type LoopView struct {
	// OldestMS is the age of the oldest event when it was handled, by class.
	OldestMS map[string]int64 `json:"oldest_ms"`
	// BusyShare is the share of the time that the loop was at work.
	BusyShare float64 `json:"busy_share"`
	// EventsPerSecond counts the events handled.
	EventsPerSecond float64 `json:"events_per_second"`
}

func (w loopWindow) view() LoopView {
	v := LoopView{OldestMS: map[string]int64{}, BusyShare: w.busy.Seconds() / loopLoadWindow.Seconds(), EventsPerSecond: float64(w.events) / loopLoadWindow.Seconds()}
	for class, age := range w.oldest {
		v.OldestMS[classNames[class]] = age.Milliseconds()
	}
	return v
}

// handleQueued handles an event that was taken from the queue.
func (t *term) handleQueued(a queuedEvent) {
	t.now = time.Now()
	age := t.now.Sub(a.queuedAt)
	t.metrics.eventAge[a.class].Observe(age.Seconds())
	t.loopLoad.current.oldest[a.class] = max(t.loopLoad.current.oldest[a.class], age)
	t.loopLoad.current.events++
	t.runEventHook()
	a.event.handle(t)
}

// recordRound adds the time that a round of the loop took.
func (t *term) recordRound(start time.Time) {
	took := time.Since(start)
	t.metrics.roundSeconds.Observe(took.Seconds())
	t.loopLoad.current.busy += took
	if !t.loopLoad.rotate(t.now) {
		return
	}
	if w := t.loopLoad.previous; w.oldest[classState] > maxStateEventAge || w.oldest[classOrder] > maxOrderEventAge {
		v := w.view()
		t.log.WithFields(logrus.Fields{"event": "behind", "oldest_ms": v.OldestMS, "busy_share": v.BusyShare, "events_per_second": v.EventsPerSecond}).
			Warn("leader's loop is behind")
	}
}

// runEventHook lets tests slow the processor of a leader.
func (t *term) runEventHook() {
	if t.cfg.EventHook != nil {
		t.cfg.EventHook()
	}
}
