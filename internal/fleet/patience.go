package fleet

import "time"

// Constants of the time that answers of workers are waited for.
const (
	// answerFactor times the usual time of an answer is waited for, within answerLeast
	// and answerMost. Workers answer within milliseconds; orders may also be carried out
	// late.
	answerFactor = 5
	answerLeast  = 500 * time.Millisecond
	answerMost   = 2 * time.Second
	// answerRise and answerFall move the estimate with each sample above and below it:
	// in balance three of four samples are below.
	answerRise = 1.06
	answerFall = 0.98
)

// answerTimes estimates how long answers of workers take. When this node's link or
// processor is full, answers of all workers are late together: giving them up would take
// sound workers for silent ones and send the orders again. Some silent workers, even all
// of a data centre, do not move the estimate, as less than a quarter of the calls go to
// them.
type answerTimes struct{ usual time.Duration }

// observe takes the time of a call that was answered or given up.
func (a *answerTimes) observe(took time.Duration) {
	if took > a.usual {
		a.usual = time.Duration(answerRise * float64(max(a.usual, time.Millisecond)))
	} else {
		a.usual = time.Duration(answerFall * float64(a.usual))
	}
	a.usual = min(max(a.usual, time.Millisecond), answerMost)
}

// limit is how long the next answer is waited for.
func (a *answerTimes) limit() time.Duration {
	return min(max(answerFactor*a.usual, answerLeast), answerMost)
}
