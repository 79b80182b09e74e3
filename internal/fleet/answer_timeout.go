package fleet

import "time"

// Constants of the time that answers of workers are waited for.
const (
	// answerTimeoutFactor times the usual time of an answer is waited for, within answerTimeoutMin
	// and answerTimeoutMax. Workers answer within milliseconds; orders may also be carried out
	// late.
	answerTimeoutFactor = 5
	answerTimeoutMin    = 500 * time.Millisecond
	answerTimeoutMax    = 2 * time.Second
	// typicalStepUp and typicalStepDown move the estimate with each sample above and below it:
	// in balance three of four samples are below.
	typicalStepUp   = 1.06
	typicalStepDown = 0.98
)

// answerTimeout estimates how long answers of workers take. When this node's link or
// processor is full, answers of all workers are late together: giving them up would take
// sound workers for silent ones and send the orders again. Some silent workers, even all
// of a data centre, do not move the estimate, as less than a quarter of the calls go to
// them.
type answerTimeout struct{ typical time.Duration }

// observe takes the time of a call that was answered or given up.
func (a *answerTimeout) observe(took time.Duration) {
	if took > a.typical {
		a.typical = time.Duration(typicalStepUp * float64(max(a.typical, time.Millisecond)))
	} else {
		a.typical = time.Duration(typicalStepDown * float64(a.typical))
	}
	a.typical = min(max(a.typical, time.Millisecond), answerTimeoutMax)
}

// timeout is how long the next answer is waited for.
func (a *answerTimeout) timeout() time.Duration {
	return min(max(answerTimeoutFactor*a.typical, answerTimeoutMin), answerTimeoutMax)
}
