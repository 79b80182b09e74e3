package fleettest

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

// CallKind is what a caller asked a node for.
type CallKind string

// Kinds of calls.
const (
	CallSubmit CallKind = "submit"
	CallState  CallKind = "state"
	CallCancel CallKind = "cancel"
)

// CallResult is what a node answered.
type CallResult string

// Results of calls.
const (
	// CallAccepted is a job accepted, a cancellation acknowledged or a state shown.
	CallAccepted CallResult = "ok"
	// CallRefused means that the call has no effect.
	CallRefused CallResult = "refused"
	// CallGone means that the node knows no such job.
	CallGone CallResult = "gone"
	// CallUnknown means that no answer, or one that leaves the effect open, came.
	CallUnknown CallResult = "unknown"
)

// Call is one call of a caller. Its times are since the start of the run.
type Call struct {
	Kind     CallKind      `json:"kind"`
	Job      string        `json:"job"`
	Node     string        `json:"node"`
	Sent     time.Duration `json:"sent"`
	Answered time.Duration `json:"answered"`
	Result   CallResult    `json:"result"`
	// State is the state that a CallState showed.
	State fleet.State `json:"state,omitempty"`
}

// String describes the call for reports.
func (c Call) String() string {
	answer := string(c.Result)
	if c.State != "" {
		answer = string(c.State)
	}
	return fmt.Sprintf("%s at %s, sent %.3f s, answered %.3f s: %s", c.Kind, c.Node, c.Sent.Seconds(), c.Answered.Seconds(), answer)
}

// HistoryBounds are the times after which CheckHistory expects answers to reflect earlier ones.
type HistoryBounds struct {
	// Visibility is the contract's time until every node knows an accepted job or an acknowledged
	// cancellation.
	Visibility time.Duration
	// CalmSince is when the last fault had ended. Acknowledged cancellations are expected to show
	// Visibility after it at the earliest.
	CalmSince time.Duration
}

// HistoryViolation is a call that contradicts another one.
type HistoryViolation struct {
	At   time.Duration
	Text string
}

// History records calls. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	start time.Time
	calls []Call
}

// NewHistory returns an empty history whose times count from start.
func NewHistory(start time.Time) *History { return &History{start: start} }

// Record adds a call that was sent at sent and has ended now.
func (h *History) Record(c Call, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.Sent, c.Answered = sent.Sub(h.start), time.Since(h.start)
	h.calls = append(h.calls, c)
}

// Calls returns the calls so far, in the order of their ends.
func (h *History) Calls() []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.calls)
}

// CheckHistory judges what callers were told about their jobs, whatever node told it. One call
// precedes another if it was answered before the other was sent; calls that overlap may be answered
// in either order. The guarantees are:
//   - an accepted job stays known: no call is answered that it is gone, from Visibility on;
//   - a state never precedes an earlier one, in the order queued, running, final;
//   - all final states of a job are equal, and none is cancelled before a call was sent that may have
//     cancelled the job;
//   - a job whose cancellation was acknowledged is in a final state, from Visibility on.
func CheckHistory(calls []Call, b HistoryBounds) []HistoryViolation {
	byJob := map[string][]Call{}
	for _, c := range calls {
		byJob[c.Job] = append(byJob[c.Job], c)
	}
	var found []HistoryViolation
	for _, calls := range byJob {
		slices.SortFunc(calls, func(a, b Call) int { return cmp.Compare(a.Sent, b.Sent) })
		found = append(found, checkKnown(calls, b)...)
		found = append(found, checkOrder(calls)...)
		found = append(found, checkFinal(calls)...)
		found = append(found, checkCancelled(calls, b)...)
	}
	slices.SortFunc(found, func(a, b HistoryViolation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Text, b.Text))
	})
	return found
}

func violation(kind string, c, other Call) HistoryViolation {
	return HistoryViolation{c.Answered, fmt.Sprintf("%s: job %s: %v; before that %v", kind, c.Job, c, other)}
}

// earliest returns the call of a kind with a result that was answered first.
func earliest(calls []Call, kind CallKind, result CallResult) (first Call, found bool) {
	for _, c := range calls {
		if c.Kind == kind && c.Result == result && (!found || c.Answered < first.Answered) {
			first, found = c, true
		}
	}
	return first, found
}

func checkKnown(calls []Call, b HistoryBounds) []HistoryViolation {
	accepted, ok := earliest(calls, CallSubmit, CallAccepted)
	if !ok {
		return nil
	}
	var found []HistoryViolation
	for _, c := range calls {
		if c.Result == CallGone && c.Sent > accepted.Answered+b.Visibility {
			found = append(found, violation("LOST", c, accepted))
		}
	}
	return found
}

// stateRank orders the states of a job in time.
func stateRank(s fleet.State) int {
	switch {
	case s.Final():
		return 2
	case s == fleet.StateRunning:
		return 1
	}
	return 0
}

// checkOrder checks that no state precedes one of an earlier call. calls are in the order of Sent.
func checkOrder(calls []Call) []HistoryViolation {
	states := slices.DeleteFunc(slices.Clone(calls), func(c Call) bool { return c.State == "" })
	answered := slices.Clone(states)
	slices.SortStableFunc(answered, func(a, b Call) int { return cmp.Compare(a.Answered, b.Answered) })
	var found []HistoryViolation
	var latest Call // of the highest rank among the calls answered before c was sent
	next := 0
	for _, c := range states {
		for ; next < len(answered) && answered[next].Answered < c.Sent; next++ {
			if latest.State == "" || stateRank(answered[next].State) > stateRank(latest.State) {
				latest = answered[next]
			}
		}
		if latest.State != "" && stateRank(c.State) < stateRank(latest.State) {
			found = append(found, violation("MIXED", c, latest))
		}
	}
	return found
}

// checkFinal checks that all final states are equal, also of calls that overlap, and that a job is
// only shown as cancelled once a call was sent that may have cancelled it.
func checkFinal(calls []Call) []HistoryViolation {
	var found []HistoryViolation
	var final, cancellation Call
	for _, c := range calls {
		switch {
		case c.Kind == CallCancel:
			if cancellation.Kind == "" && (c.Result == CallAccepted || c.Result == CallUnknown) {
				cancellation = c
			}
		case !c.State.Final():
		case final.State == "":
			final = c
		case c.State != final.State:
			found = append(found, violation("MIXED", c, final))
		}
	}
	for _, c := range calls {
		if c.State == fleet.StateCancelled && (cancellation.Kind == "" || c.Answered < cancellation.Sent) {
			found = append(found, HistoryViolation{c.Answered, fmt.Sprintf("LOST: job %s: %v; nobody had cancelled it", c.Job, c)})
		}
	}
	return found
}

func checkCancelled(calls []Call, b HistoryBounds) []HistoryViolation {
	cancelled, ok := earliest(calls, CallCancel, CallAccepted)
	if !ok {
		return nil
	}
	var found []HistoryViolation
	for _, c := range calls {
		if c.State != "" && !c.State.Final() && c.Sent > max(cancelled.Answered, b.CalmSince)+b.Visibility {
			found = append(found, violation("MIXED", c, cancelled))
		}
	}
	return found
}
