package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// pacedRun is a filler beside a term that judges it.
type pacedRun struct {
	term *term
	run  *run
	// perPercent is the work of a percent, work what is done, and pace the present pace.
	perPercent, work time.Duration
	pace             int
}

// newPacedRun returns a filler that has just started.
func newPacedRun(t interface{ Cleanup(func()) }, estimate, perPercent time.Duration, milliCPU int64) *pacedRun {
	tm := loadedTerm(t)
	w := testWorker("w")
	tm.workers[w.info.Worker] = w
	w.info.Capacity.MilliCPU = 8000
	j := addFillerJob(tm, "a", Step{Count: 1, Needs: model.Resources{MilliCPU: milliCPU}, Estimate: estimate})
	tm.startTask(j, taskKey{}, w, "")
	p := &pacedRun{term: tm, run: j.occurrences[0].steps[0].tasks[0].runs[0], perPercent: perPercent, pace: 100}
	tm.confirmStart(p.run)
	return p
}

// advance lets time pass.
func (p *pacedRun) advance(d time.Duration) {
	p.term.now = p.term.now.Add(d)
	p.work += d * time.Duration(p.pace) / 100
}

// status returns what a report says now.
func (p *pacedRun) status() RunStatus {
	use := p.run.step.Needs.MilliCPU * int64(p.pace) / 100
	return RunStatus{RunRef: p.run.ref, Percent: int(p.work / p.perPercent), Reading: int(use)}
}

// report applies a report that was asked for at a time.
func (p *pacedRun) report(s RunStatus, sent time.Time) {
	p.run.worker.lastPollSent = sent
	p.term.applyRunning(p.run.worker, []RunStatus{s})
}

// A run that works is never taken for one that hangs, whatever its paces: while orders are in flight
// or fail, with late reports, and where the whole thousandths of its processors are none. The
// estimate of its duration is up to twice too short.
func TestSoundFillerIsNotHungAtAnyPace(t *testing.T) {
	t.Parallel()
	paces := []int{0, idlePace, idlePace, repeatPace, 20, 60, 100}
	rapid.Check(t, func(t *rapid.T) {
		perPercent := time.Duration(rapid.IntRange(10, 20_000).Draw(t, "percent_ms")) * time.Millisecond
		estimate := time.Duration(rapid.Float64Range(50, 200).Draw(t, "estimate") * float64(perPercent))
		p := newPacedRun(t, estimate, perPercent, rapid.SampledFrom([]int64{0, 20, 1800}).Draw(t, "cpu"))
		calm := rapid.Float64Range(0.1, 60).Draw(t, "calm_s") // mean time between orders
		ms := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		var (
			ordered                        = 100
			answer                         error
			answerAt, changeAt             time.Time
			nextOrder, nextPoll, reportAt  time.Time
			polled                         RunStatus
			polledAt                       time.Time
			pending, changing, reportAhead bool
		)
		nextOrder, nextPoll = p.term.now.Add(ms(500, "first_ms")), p.term.now.Add(ms(1000, "poll_ms"))
		for range 400 {
			p.advance(ms(int(1000*min(calm, 2)), "step_ms"))
			now := p.term.now
			if p.work >= 100*perPercent {
				return // it has ended
			}
			if changing && !now.Before(changeAt) {
				p.pace, changing = ordered, false
			}
			if pending && !now.Before(answerAt) {
				paceReply{p.run, p.run.worker, ordered, answer}.handle(p.term)
				pending = false
			}
			if !pending && !changing && now.After(nextOrder) {
				ordered = rapid.SampledFrom(paces).Draw(t, "pace")
				p.term.setPace(p.run, ordered)
				nextOrder = now.Add(ms(int(2000*calm), "order_ms"))
			}
			if p.run.paceInFlight && !pending {
				if p.run.paceRepeated {
					ordered = p.run.pace
				}
				took := ms(300, "answer_ms")
				pending, answerAt, answer = true, now.Add(took), nil
				changing, changeAt = true, now.Add(min(ms(400, "change_ms"), took+paceDelay))
				if ordered > 0 && rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
					answer, changing = errors.New("no answer"), rapid.Bool().Draw(t, "carried_out")
				}
			}
			if reportAhead && !now.Before(reportAt) {
				p.report(polled, polledAt)
				reportAhead = false
			}
			if !reportAhead && now.After(nextPoll) {
				polled, polledAt, reportAhead = p.status(), now, true
				reportAt, nextPoll = now.Add(ms(300, "report_ms")), now.Add(ms(1500, "poll_ms"))
			}
			p.term.checkFiller(p.run.worker, p.run)
			require.Equal(t, runLive, p.run.state, "%s at %d percent", p.run.stopReason, p.run.percent)
		}
	})
}

// A hung run whose pace changed all the time was never stopped.
func TestHungFillerWithChangingPaceIsStopped(t *testing.T) {
	p := newPacedRun(t, time.Second, time.Hour, 1800)
	for i := 0; p.run.state == runLive; i++ {
		require.Less(t, p.term.now.Sub(epoch), 2*time.Minute, "a percent takes 0.33 s at the least pace")
		p.term.setPace(p.run, []int{idlePace, 20}[i%2])
		paceReply{p.run, p.run.worker, []int{idlePace, 20}[i%2], nil}.handle(p.term)
		p.advance(500 * time.Millisecond)
		p.report(RunStatus{RunRef: p.run.ref}, p.term.now)
		p.term.checkFiller(p.run.worker, p.run)
		if p.run.paceInFlight {
			paceReply{p.run, p.run.worker, p.run.pace, nil}.handle(p.term)
		}
	}
	require.Equal(t, "hung", p.run.stopReason)
}

// A paused run is not judged.
func TestPausedFillerIsNotHung(t *testing.T) {
	p := newPacedRun(t, time.Second, time.Hour, 1800)
	paceReply{p.run, p.run.worker, 0, nil}.handle(p.term)
	p.advance(time.Hour)
	p.report(RunStatus{RunRef: p.run.ref}, p.term.now)
	p.term.checkFiller(p.run.worker, p.run)
	require.Equal(t, runLive, p.run.state)
	require.False(t, p.run.paceRepeated)
}
