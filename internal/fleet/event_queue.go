package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the event queues and of a round of the loop.
const (
	// eventQueueSize bounds the queued events of a class; senders block when it is reached.
	eventQueueSize = 8192
	// queryQueueSize bounds queued queries. Further queries are rejected at once; for a job's
	// state the store is then read instead.
	queryQueueSize = 256
	// eventsPerRound bounds the events handled in a round, before a plan is made.
	eventsPerRound = 256
	// maxRoundTime bounds the time spent on these events, so that renewals and periodic work
	// are not delayed: other nodes consider a leader lost after about 2 s.
	maxRoundTime = 100 * time.Millisecond
	// lowerClassInterval is the number of events among which each lower class goes first
	// once, despite a backlog of higher classes.
	lowerClassInterval = 8
)

// eventClass is the priority of an event; lower values go first.
type eventClass int

const (
	// classState holds the events on which guarantees depend: results of transactions, reports
	// with leases and ends, stops, cancellations, rows of jobs and workers. They share one
	// queue, which keeps their order.
	classState eventClass = iota
	// classOrder holds the results of starts and paces, advice, models of other cells, and
	// events of maintenance and layout.
	classOrder
	// classQuery holds the queries of callers and operators.
	classQuery
	eventClasses
)

var classNames = [eventClasses]string{"state", "order", "question"}

// classOf returns the class of an event.
func classOf(e event) eventClass {
	switch e.(type) {
	case stateQuery, pendingQuery, inspectQuery:
		return classQuery
	case startReply, paceReply, adviceReply, inventoryRead, maintainReply, waveStatusWritten, evacuateQuery, remoteEvacuationReply, layoutChanged, racksAssigned, cellModelsRead, roomQuery, roomAnswered:
		return classOrder
	}
	return classState
}

// queuedEvent is an event in the queue, with the time of its arrival.
type queuedEvent struct {
	event    event
	class    eventClass
	queuedAt time.Time
}

// eventQueue holds the events for a term's loop, in a queue for each class.
type eventQueue [eventClasses]chan queuedEvent

func newEventQueue() eventQueue {
	return eventQueue{make(chan queuedEvent, eventQueueSize), make(chan queuedEvent, eventQueueSize), make(chan queuedEvent, queryQueueSize)}
}

// push adds an event and reports whether it did. When the queue is full it rejects queries and
// blocks for other events until there is space or ctx ends.
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

// pop returns the i-th event of a round, or false if the queues are empty. Events of the
// highest class go first; at regular turns a lower class does, so that none starves.
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
	// loopLoadWindow is the time over which the load of a loop is measured.
	loopLoadWindow = 5 * time.Second
	// maxStateEventAge and maxOrderEventAge are the ages of events above which a loop counts
	// as overloaded. Leases are renewed every second, so events of classState may wait only a
	// fraction of that. Results of starts may wait for the length of a lease less some polls.
	maxStateEventAge = 500 * time.Millisecond
	maxOrderEventAge = 2 * time.Second
)

// loopLoad measures the load of a loop in the current and in the last full window.
type loopLoad struct {
	windowStart time.Time
	current     loopWindow
	previous    loopWindow
}

// loopWindow is the load of one window of time.
type loopWindow struct {
	oldest  [eventClasses]time.Duration // age of the oldest event when it was handled
	busy    time.Duration               // time spent on events and plans
	longest time.Duration               // the longest round
	events  int
}

// rotate begins a new window when the current one is over, and reports whether it did.
func (l *loopLoad) rotate(now time.Time) bool {
	if now.Sub(l.windowStart) < loopLoadWindow {
		return false
	}
	l.previous, l.current, l.windowStart = l.current, loopWindow{}, now
	return true
}

// LoopView shows the load of a leader's loop, and how long events wait for it.
type LoopView struct {
	// OldestMS is the age of the oldest event when it was handled, by class.
	OldestMS map[string]int64 `json:"oldest_ms"`
	// BusyShare is the share of the time that the loop spent on events and plans.
	BusyShare float64 `json:"busy_share"`
	// EventsPerSecond is the rate of handled events.
	EventsPerSecond float64 `json:"events_per_second"`
}

func (w loopWindow) view() LoopView {
	v := LoopView{OldestMS: map[string]int64{}, BusyShare: w.busy.Seconds() / loopLoadWindow.Seconds(), EventsPerSecond: float64(w.events) / loopLoadWindow.Seconds()}
	for class, age := range w.oldest {
		v.OldestMS[classNames[class]] = age.Milliseconds()
	}
	return v
}

// handleQueued handles an event from the queue and records how long it waited.
func (t *term) handleQueued(a queuedEvent) {
	t.readClock()
	age := t.now.Sub(a.queuedAt)
	t.metrics.eventAge[a.class].Observe(age.Seconds())
	t.loopLoad.current.oldest[a.class] = max(t.loopLoad.current.oldest[a.class], age)
	t.loopLoad.current.events++
	t.runEventHook()
	a.event.handle(t)
}

// recordRound records how long a round of the loop took, and logs a loop that falls behind.
func (t *term) recordRound(start time.Time) {
	took := time.Since(start)
	t.metrics.roundSeconds.Observe(took.Seconds())
	t.loopLoad.current.busy += took
	t.loopLoad.current.longest = max(t.loopLoad.current.longest, took)
	if !t.loopLoad.rotate(t.now) {
		return
	}
	if w := t.loopLoad.previous; w.oldest[classState] > maxStateEventAge || w.oldest[classOrder] > maxOrderEventAge {
		v := w.view()
		t.log.WithFields(t.pressureFields()).WithFields(logrus.Fields{"event": "behind", "oldest_ms": v.OldestMS, "busy_share": v.BusyShare, "events_per_second": v.EventsPerSecond}).
			Warn("leader's event loop is overloaded")
	}
}

// runEventHook calls Config.EventHook, if set.
func (t *term) runEventHook() {
	if t.cfg.EventHook != nil {
		t.cfg.EventHook()
	}
}
