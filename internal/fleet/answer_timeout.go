package fleet

import "time"

// Constants of the timeout for answers of workers.
const (
	// answerTimeoutFactor times the typical answer time is the timeout, within
	// answerTimeoutMin and answerTimeoutMax. Workers answer within milliseconds, but may
	// also carry out orders late.
	answerTimeoutFactor = 5
	answerTimeoutMin    = 500 * time.Millisecond
	answerTimeoutMax    = 2 * time.Second
	// typicalStepUp and typicalStepDown are the factors applied to the estimate for each
	// sample above and below it. The estimate settles where three of four samples are below.
	typicalStepUp   = 1.06
	typicalStepDown = 0.98
)

// answerTimeout derives a timeout from the typical answer time of workers. When this node's
// link or processor is saturated, the answers of all workers are late together. A fixed
// timeout would then treat healthy workers as unreachable and repeat their orders.
// Unreachable workers, even all of a data centre, do not raise the estimate, as less than a
// quarter of the calls go to them.
type answerTimeout struct{ typical time.Duration }

// observe adds the duration of a call that was answered or timed out.
func (a *answerTimeout) observe(took time.Duration) {
	if took > a.typical {
		a.typical = time.Duration(typicalStepUp * float64(max(a.typical, time.Millisecond)))
	} else {
		a.typical = time.Duration(typicalStepDown * float64(a.typical))
	}
	a.typical = min(max(a.typical, time.Millisecond), answerTimeoutMax)
}

// timeout returns the timeout for the next call.
func (a *answerTimeout) timeout() time.Duration {
	return min(max(answerTimeoutFactor*a.typical, answerTimeoutMin), answerTimeoutMax)
}
