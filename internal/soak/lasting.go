package soak

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

// The contract's rule on tasks that are to last: from maxWithoutRun after its last run such a task must
// not be without a run for judgedTime while there is room for it, if these and the calmBefore before
// them are calm.
const (
	maxWithoutRun = 6 * time.Second
	judgedTime    = 3 * time.Second
	calmBefore    = 4 * time.Second
)

// Lasting jobs of a run: one for each workersPerLastingJob workers.
const (
	workersPerLastingJob = 4
	tasksPerLastingJob   = 3
	// lastingPrefix begins the ids of lasting jobs and of no others.
	lastingPrefix = "f"
	// roomTasks is the number of tasks for which there must be room.
	roomTasks = 2
	// roomInterval is the time between two looks at the room.
	roomInterval = 50 * time.Millisecond
)

// withLasting returns the behaviour of all tasks of a run, given that of those that end by themselves.
func withLasting(others func(fleet.TaskName) fleettest.Task) func(fleet.TaskName) fleettest.Task {
	return func(name fleet.TaskName) fleettest.Task {
		if strings.HasPrefix(string(name), lastingPrefix) {
			return fleettest.Task{Lasting: true, Needs: taskNeeds}
		}
		return others(name)
	}
}

var taskNeeds = model.Resources{MilliCPU: taskCPU, MemoryMB: taskMemory}

// conditions records when something was impaired and when there was room.
type conditions struct {
	mu          sync.Mutex
	impairments []fleettest.Span
	room        []fleettest.Span
}

// impaired records an impairment from a time until now.
func (c *conditions) impaired(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.impairments = append(c.impairments, fleettest.Span{From: since, To: time.Now()})
}

// faultEvent records what the start or the end of a fault means, given when the fault and when the
// event began. A fault lasts until its end; a loss does not, as what is lost is no longer part of the
// deployment.
func (c *conditions) faultEvent(e faultEvent, began, now time.Time) {
	switch {
	case e.Kind.loses(), e.Kind.overAtOnce() && !e.isEnd:
		c.impaired(now)
	case e.isEnd && !e.Kind.overAtOnce():
		c.impaired(began)
	}
}

// overAtOnce reports whether faults of a kind are over when they have started.
func (k Kind) overAtOnce() bool {
	return slices.Contains([]Kind{ResetStore, ResetWorkers, CompactStore, Configuration}, k)
}

// lastImpairment returns the end of the last impairment.
func (c *conditions) lastImpairment() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last time.Time
	for _, s := range c.impairments {
		last = latest(last, s.To)
	}
	return last
}

// calm returns the parts of a period without impairment.
func (c *conditions) calm(period fleettest.Span) []fleettest.Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	return spansBetween(period, c.impairments)
}

// watchRoom records when there is room, until ctx ends. It counts workers that are up: where one of
// them is out of service or out of reach, something is impaired.
func (c *cluster) watchRoom(ctx context.Context) {
	for had := false; sleepUntil(ctx, time.Now().Add(roomInterval)); {
		has, now := c.simWorkers.Room(taskNeeds) >= roomTasks, time.Now()
		c.conditions.mu.Lock()
		room := &c.conditions.room
		switch {
		case has && had:
			(*room)[len(*room)-1].To = now
		case has:
			*room = append(*room, fleettest.Span{From: now, To: now})
		}
		c.conditions.mu.Unlock()
		had = has
	}
}

// Lasting tells how long lasting tasks had no run.
type Lasting struct {
	Tasks int `json:"tasks"`
	// Longest is the longest time for which a task had no run, Calm the part of it without impairment.
	Longest time.Duration `json:"longest"`
	Calm    time.Duration `json:"calm"`
	// Margin is how much longer a task could have had no run before the rule was broken; of all tasks
	// the least.
	Margin time.Duration `json:"margin"`
}

// checkLasting judges the lasting tasks of accepted jobs from their acceptance until now.
func (c *callers) checkLasting() Lasting {
	conditions, now := &c.cluster.conditions, time.Now()
	conditions.mu.Lock()
	room := slices.Clone(conditions.room)
	conditions.mu.Unlock()
	calm := conditions.calm(fleettest.Span{From: c.startTime, To: now})
	runs := c.cluster.ledger.LastingRuns()
	l := Lasting{Margin: maxWithoutRun + judgedTime}
	for _, j := range c.jobsThatLast(true) {
		for i := range j.Tasks {
			if j.AcceptedAt.IsZero() {
				continue
			}
			l.Tasks++
			task := fleet.TaskName(fmt.Sprintf("%s.0.0.%d", j.ID, i))
			for _, gap := range spansBetween(fleettest.Span{From: j.AcceptedAt, To: now}, runs[task]) {
				margin := l.add(gap, calm, room)
				if margin <= 0 {
					c.addViolation("LOST: lasting task %s had no run from %.2f s to %.2f s, %.2f s longer than allowed, with room for it", task,
						gap.From.Sub(c.startTime).Seconds(), gap.To.Sub(c.startTime).Seconds(), -margin.Seconds())
				}
			}
		}
	}
	return l
}

// add counts a time without a run of a task and returns its margin.
func (l *Lasting) add(gap fleettest.Span, calm, room []fleettest.Span) time.Duration {
	margin := gapMargin(gap, calm, room)
	l.Margin = min(l.Margin, margin)
	if length := gap.To.Sub(gap.From); length > l.Longest {
		l.Longest, l.Calm = length, overlap(gap, calm)
	}
	return margin
}

// gapMargin returns how much longer a lasting task could have had no run before the rule was broken,
// given when it had none, when all was calm and when there was room. The rule is broken if the result
// is 0 or less.
func gapMargin(gap fleettest.Span, calm, room []fleettest.Span) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, c := range calm {
		for _, r := range room {
			limit := latest(gap.From.Add(maxWithoutRun), c.From.Add(calmBefore), r.From).Add(judgedTime)
			end := earliest(gap.To, c.To, r.To)
			least = min(least, limit.Sub(end))
		}
	}
	return least
}

// spansBetween returns the parts of a period that the given spans leave, in order of time. A moment
// divides it.
func spansBetween(period fleettest.Span, spans []fleettest.Span) []fleettest.Span {
	spans = slices.SortedFunc(slices.Values(spans), func(a, b fleettest.Span) int { return a.From.Compare(b.From) })
	var between []fleettest.Span
	from := period.From
	for _, s := range append(spans, fleettest.Span{From: period.To, To: period.To}) {
		if to := earliest(s.From, period.To); to.After(from) {
			between = append(between, fleettest.Span{From: from, To: to})
		}
		from = latest(from, s.To)
	}
	return between
}

// overlap returns how much of a period lies in spans that do not overlap each other.
func overlap(period fleettest.Span, spans []fleettest.Span) time.Duration {
	var sum time.Duration
	for _, s := range spans {
		sum += max(0, earliest(period.To, s.To).Sub(latest(period.From, s.From)))
	}
	return sum
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

func earliest(times ...time.Time) time.Time { return slices.MinFunc(times, time.Time.Compare) }
