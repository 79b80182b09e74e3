package fleet

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// A filler waits 1 s, runs 2 s at half speed after 1 s at full speed, is stopped with a
// checkpoint, waits 3 s and completes.
func TestTaskAccount(t *testing.T) {
	var a taskAccount
	a.startRun(at(10), at(11))
	r := &run{step: &Step{Filler: true}, startedAt: at(11), pace: 100}
	r.slowed, r.pace, r.paceSetAt = r.slowedTime(at(12)), 50, at(12)
	require.Equal(t, time.Second, r.slowedTime(at(14)))
	a.endRun(r, false, true, at(14))
	require.Equal(t, taskAccount{idleSince: at(14), waited: time.Second, slowed: time.Second}, a)
	a.startRun(at(10), at(17))
	a.endRun(&run{step: &Step{Filler: true}, startedAt: at(17), pace: 100}, true, false, at(19))
	require.Equal(t, 4*time.Second, a.waited)
	require.Zero(t, a.repeated)
	a.endRun(&run{startedAt: at(19)}, false, false, at(21))
	require.Equal(t, 2*time.Second, a.repeated, "the work of a lost run without a checkpoint")
}

// TestJobAccount checks the account that the log shows of a job with two steps.
func TestJobAccount(t *testing.T) {
	tm := &term{queues: map[string]Queue{"q": {Stretch: 2, Objective: time.Second}}}
	spec := Spec{Steps: []Step{{Count: 1, Estimate: time.Second}, {Count: 1, Estimate: time.Second, After: []int{0}}}}
	j := newJob("j", jobRecord{Queue: "q", Spec: spec}, 1, at(0))
	o := j.openOccurrence(0, time.Time{}, at(0))
	for step, wait := range []float64{2, 3} {
		tk := &o.steps[step].tasks[0]
		ready := o.steps[step].readyAt
		started := ready.Add(time.Duration(wait * float64(time.Second)))
		tk.account.startRun(ready, started)
		ended := started.Add(time.Second)
		tk.account.endRun(&run{startedAt: started}, true, false, ended)
		require.True(t, j.finishTask(taskKey{0, step, 0}, ended))
	}
	require.Equal(t, jobAccount{firstWait: 2 * time.Second, nextWait: 3 * time.Second}, j.account)
	tm.now = at(7)
	require.Subset(t, tm.accountFields(j), logrus.Fields{"kind": kindShort, "verdict": verdictLate, "objective_ms": int64(5000), "first_wait_ms": int64(2000), "next_wait_ms": int64(3000)})
	tm.now = at(16)
	require.Equal(t, verdictExpired, tm.accountFields(j)["verdict"])
	tm.now = at(4)
	require.Equal(t, verdictOnTime, tm.accountFields(j)["verdict"])
	j.spec.Steps[0].Lasting = true
	require.NotContains(t, tm.accountFields(j), "verdict", "lasting jobs have no end to be late for")
}
