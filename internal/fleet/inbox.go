package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// Sizes of the queues of events.
const (
	// inboxSize bounds the events of a class that wait for the loop; senders wait beyond it.
	inboxSize = 8192
	// questionsSize bounds waiting questions; further ones are turned away at once, and
	// whoever asks reads the store instead.
	questionsSize = 256
	// eventsPerRound bounds the events handled before a plan is made.
	eventsPerRound = 256
	// roundMost bounds the time of these, so that renewals and what is due by time are not
	// held up: followers count a leader as lost after some 2 s.
	roundMost = 100 * time.Millisecond
	// otherEvery is how often a class of lower order gets its turn beside a backlog of
	// the higher ones.
	otherEvery = 8
)

// eventClass orders events by what they protect.
type eventClass int

const (
	// classState is what promises rest on: results of transactions, reports with leases
	// and ends, stops, cancellations, rows of jobs and workers. One queue keeps their order.
	classState eventClass = iota
	// classOrder is the results of starts and paces, advice and upkeep.
	classOrder
	// classQuestion is what callers and operators ask.
	classQuestion
	eventClasses
)

var classNames = [eventClasses]string{"state", "order", "question"}

// classOf returns the class of an event.
func classOf(e event) eventClass {
	switch e.(type) {
	case stateQuery, pendingQuery, inspectQuery:
		return classQuestion
	case startDone, paced, advised, machinesRead, maintained, waveReported, emptyQuery, emptyAsked, layoutChanged, racksPlaced, modelsOfCells:
		return classOrder
	}
	return classState
}

// arrival is an event that waits for the loop.
type arrival struct {
	event event
	class eventClass
	at    time.Time
}

// inbox holds the events that wait for a term's loop, a queue for each class.
type inbox [eventClasses]chan arrival

func newInbox() inbox {
	return inbox{make(chan arrival, inboxSize), make(chan arrival, inboxSize), make(chan arrival, questionsSize)}
}

// put adds an event. It waits while the queue is full, but turns questions away then.
// It reports whether the event was added.
func (b *inbox) put(ctx context.Context, e event) bool {
	a := arrival{e, classOf(e), time.Now()}
	select {
	case b[a.class] <- a:
		return true
	default:
	}
	if a.class == classQuestion {
		return false
	}
	select {
	case b[a.class] <- a:
		return true
	case <-ctx.Done():
		return false
	}
}

// take returns an event that waits, the i-th of a round: those of the highest class
// first, and now and then one of another, so that none waits forever.
func (b *inbox) take(i int) (arrival, bool) {
	first := classState
	switch i % otherEvery {
	case otherEvery - 1:
		first = classOrder
	case otherEvery - 2:
		first = classQuestion
	}
	for k := range eventClasses {
		select {
		case a := <-b[(first+k)%eventClasses]:
			return a, true
		default:
		}
	}
	return arrival{}, false
}

const (
	// loadWindow is the time over which the load of a loop is told.
	loadWindow = 5 * time.Second
	// behindAge is the age of events that counts as a loop that is behind: leases are
	// renewed each second. Results of starts may wait as long as a lease lasts less some
	// looks.
	behindAge       = 500 * time.Millisecond
	behindAgeOrders = 2 * time.Second
)

// loopLoad tells how far a loop is behind, over the last full window.
type loopLoad struct {
	began  time.Time
	now    loopWindow
	before loopWindow
}

// loopWindow is the load of one window of time.
type loopWindow struct {
	oldest [eventClasses]time.Duration // age of the oldest event when it was handled
	busy   time.Duration               // time spent on events and plans
	events int
}

// turn begins a new window when the last is over, and reports whether it did.
func (l *loopLoad) turn(now time.Time) bool {
	if now.Sub(l.began) < loadWindow {
		return false
	}
	l.before, l.now, l.began = l.now, loopWindow{}, now
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
	v := LoopView{OldestMS: map[string]int64{}, BusyShare: w.busy.Seconds() / loadWindow.Seconds(), EventsPerSecond: float64(w.events) / loadWindow.Seconds()}
	for class, age := range w.oldest {
		v.OldestMS[classNames[class]] = age.Milliseconds()
	}
	return v
}

// accept handles an event that was taken from the inbox.
func (t *term) accept(a arrival) {
	t.now = time.Now()
	age := t.now.Sub(a.at)
	t.counters.eventAge[a.class].Observe(age.Seconds())
	t.load.now.oldest[a.class] = max(t.load.now.oldest[a.class], age)
	t.load.now.events++
	t.spend()
	a.event.handle(t)
}

// noteRound adds the time that a round of the loop took.
func (t *term) noteRound(began time.Time) {
	took := time.Since(began)
	t.counters.roundSeconds.Observe(took.Seconds())
	t.load.now.busy += took
	if !t.load.turn(t.now) {
		return
	}
	if w := t.load.before; w.oldest[classState] > behindAge || w.oldest[classOrder] > behindAgeOrders {
		v := w.view()
		t.log.WithFields(logrus.Fields{"event": "behind", "oldest_ms": v.OldestMS, "busy_share": v.BusyShare, "events_per_second": v.EventsPerSecond}).
			Warn("leader's loop is behind")
	}
}

// spend lets tests slow the processor of a leader.
func (t *term) spend() {
	if t.cfg.Spend != nil {
		t.cfg.Spend()
	}
}
