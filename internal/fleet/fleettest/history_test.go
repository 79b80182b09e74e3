package fleettest

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
)

const testJob = "j"

// call returns a call from one second to another.
func call(kind CallKind, sent, answered float64, result CallResult) Call {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return Call{Kind: kind, Job: testJob, Node: "n", Sent: at(sent), Answered: at(answered), Result: result}
}

func shown(sent, answered float64, s fleet.State) Call {
	c := call(CallState, sent, answered, CallAccepted)
	c.State = s
	return c
}

func TestCheckHistory(t *testing.T) {
	const queued, running, completed, cancelled, failed = fleet.StateQueued, fleet.StateRunning, fleet.StateCompleted, fleet.StateCancelled, fleet.StateFailed
	submitted := call(CallSubmit, 0, 1, CallAccepted)
	for _, test := range []struct {
		name  string
		calls []Call
		want  string // start of the only violation; empty for none
	}{
		{"an ordinary job", []Call{submitted, shown(1, 2, queued), shown(3, 4, running), shown(5, 6, running), shown(7, 8, completed), shown(9, 10, completed)}, ""},
		{"a job without a call", nil, ""},
		{"gone before it is visible", []Call{submitted, call(CallState, 3.9, 4.5, CallGone), shown(5, 6, queued)}, ""},
		{"gone after it is visible", []Call{submitted, call(CallState, 4.1, 4.5, CallGone)}, "LOST"},
		{"gone for its cancellation", []Call{submitted, call(CallCancel, 4.1, 4.5, CallGone)}, "LOST"},
		{"gone and never accepted", []Call{call(CallSubmit, 0, 1, CallUnknown), call(CallState, 8, 9, CallGone)}, ""},
		{"accepted twice, gone after the first", []Call{submitted, call(CallSubmit, 0, 9, CallAccepted), call(CallState, 5, 6, CallGone)}, "LOST"},
		{"refused to say", []Call{submitted, shown(5, 6, completed), call(CallState, 7, 8, CallRefused), call(CallState, 7, 8, CallUnknown)}, ""},

		{"running after completed", []Call{shown(1, 2, completed), shown(2.1, 3, running)}, "MIXED"},
		{"queued after completed", []Call{shown(1, 2, completed), shown(2.1, 3, queued)}, "MIXED"},
		{"queued after running", []Call{shown(1, 2, running), shown(2.1, 3, queued)}, "MIXED"},
		{"running in an overlapping call", []Call{shown(1, 3, completed), shown(2, 4, running)}, ""},
		{"running within a longer call", []Call{shown(1, 9, completed), shown(2, 3, running), shown(4, 5, running)}, ""},
		{"running in a call that encloses the other", []Call{shown(2, 3, completed), shown(1, 4, running)}, ""},
		{"running in a call sent at the answer", []Call{shown(1, 2, completed), shown(2, 3, running)}, ""},
		{"running after one of two overlapping calls", []Call{shown(1, 9, completed), shown(1, 2, completed), shown(3, 4, running)}, "MIXED"},
		{"older state in the record's order only", []Call{shown(5, 6, completed), shown(1, 2, running)}, ""},
		{"older state behind several newer ones", []Call{shown(1, 2, running), shown(3, 4, completed), shown(3, 5, running), shown(6, 7, running)}, "MIXED"},

		{"failed after completed", []Call{shown(1, 2, completed), shown(3, 4, failed)}, "MIXED"},
		{"two final states in overlapping calls", []Call{call(CallCancel, 0, 1, CallUnknown), shown(1, 3, completed), shown(2, 4, cancelled)}, "MIXED"},

		{"a cancelled job", []Call{submitted, call(CallCancel, 2, 3, CallAccepted), shown(3.5, 4, running), shown(5, 6, cancelled), shown(7, 8, cancelled)}, ""},
		{"cancelled without a cause", []Call{submitted, shown(5, 6, cancelled)}, "LOST"},
		{"cancelled before the cancellation", []Call{submitted, shown(5, 6, cancelled), call(CallCancel, 7, 8, CallAccepted)}, "LOST"},
		{"cancelled though the cancellation was refused", []Call{submitted, call(CallCancel, 2, 3, CallRefused), shown(5, 6, cancelled)}, "LOST"},
		{"cancelled by a call without an answer", []Call{submitted, call(CallCancel, 2, 5, CallUnknown), shown(3, 4, cancelled)}, ""},
		{"running long after its cancellation", []Call{submitted, call(CallCancel, 2, 3, CallAccepted), shown(13.1, 14, running)}, "MIXED"},
		{"running soon after the faults", []Call{submitted, call(CallCancel, 2, 3, CallAccepted), shown(12.9, 14, running)}, ""},
		{"completed before its cancellation", []Call{submitted, shown(2, 3, completed), call(CallCancel, 4, 5, CallAccepted), shown(20, 21, completed)}, ""},
		{"running after it was shown as cancelled", []Call{submitted, call(CallCancel, 2, 3, CallAccepted), shown(3.5, 4, cancelled), shown(5, 6, running)}, "MIXED"},
	} {
		t.Run(test.name, func(t *testing.T) {
			other := shown(0, 1, completed) // a job of its own, which no call contradicts
			other.Job = "other"
			calls := append([]Call{other}, test.calls...)
			for seed := range uint64(6) { // the order of the record makes no difference
				rand.New(rand.NewPCG(seed, 1)).Shuffle(len(calls), func(i, k int) { calls[i], calls[k] = calls[k], calls[i] })
				found := CheckHistory(calls, HistoryBounds{Visibility: 3 * time.Second, CalmSince: 10 * time.Second})
				if test.want == "" {
					require.Empty(t, found)
					continue
				}
				require.Len(t, found, 1)
				require.Contains(t, found[0].Text, test.want+": job "+testJob)
			}
		})
	}
}
