package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

func TestEachWaitReasonHasNameAndText(t *testing.T) {
	names := map[string]bool{}
	for r := waitsForNothing + 1; r < waitReasons; r++ {
		require.NotEmpty(t, r.String(), "reason %d", r)
		require.NotEmpty(t, waitTexts[r].text, r.String())
		require.False(t, names[r.String()], r.String())
		names[r.String()] = true
	}
}

// waitTerm returns a term with one worker and jobs of one filler task each, by id.
func waitTerm(t *testing.T, ids ...string) (*term, *worker) {
	t.Helper()
	tm := loadedTerm(t)
	tm.now, tm.lastRenewal = at(10), at(10)
	w := testWorker("w")
	tm.workers["w"] = w
	for _, id := range ids {
		spec := Spec{Steps: []Step{{Count: 1, Filler: true, Image: "f", Needs: model.Resources{MilliCPU: 1800, MemoryMB: 100}, Estimate: time.Second}}}
		j := newJob(id, jobRecord{Queue: "q", Spec: spec}, 0, epoch)
		j.openOccurrence(0, time.Time{}, at(1))
		tm.jobs[id] = j
	}
	return tm, w
}

// A log could not tell a job that each plan passes over from one that never gets into a plan.
func TestLoadLineTellsStarvedWorkFromGates(t *testing.T) {
	gate := map[string]func(*term, *worker, *job){
		"former-runs":       func(tm *term, _ *worker, j *job) { j.inherited, tm.runsKnown, tm.loaded = true, false, false },
		"confirmation":      func(tm *term, _ *worker, j *job) { j.acceptedVersion = tm.fenceVersion + 1 },
		"cancellation-read": func(_ *term, _ *worker, j *job) { j.cancellationUnread = true },
		"queue":             func(_ *term, _ *worker, j *job) { j.queue = "gone" },
		"lent":              func(_ *term, _ *worker, j *job) { j.occurrences[0].steps[0].tasks[0].lentTo = 1 },
		"start-record": func(_ *term, w *worker, j *job) {
			j.spec.Steps[0].Lasting, j.spec.Steps[0].Filler = true, false
			waitRun(w, j, runHeld)
		},
		"call-slot":    func(_ *term, w *worker, j *job) { waitRun(w, j, runHeld) },
		"start-answer": func(_ *term, w *worker, j *job) { waitRun(w, j, runUnconfirmed) },
		"stop":         func(_ *term, w *worker, j *job) { waitRun(w, j, runStopping) },
		"retry": func(tm *term, _ *worker, j *job) {
			j.occurrences[0].steps[0].tasks[0].notBefore = tm.now.Add(time.Second)
		},
		"workers":  func(_ *term, w *worker, _ *job) { w.listed = false },
		"capacity": func(_ *term, w *worker, _ *job) { w.reserved.MemoryMB = w.info.Capacity.MemoryMB },
		"spare-capacity": func(_ *term, w *worker, _ *job) {
			w.fillerMilliCPU, w.reserved.MilliCPU = w.info.Capacity.MilliCPU, 10_000 // else it starts at a reduced pace
		},
		"headroom": func(_ *term, w *worker, _ *job) { overTarget(w) },
	}
	for reason, shut := range gate {
		t.Run(reason, func(t *testing.T) {
			tm, w := waitTerm(t, "j")
			log, lines := logtest.NewNullLogger()
			tm.log = logrus.NewEntry(log)
			shut(tm, w, tm.jobs["j"])
			tm.plan()
			var waits []WaitView
			for _, line := range lines.AllEntries() {
				if line.Data["decision"] == "load" {
					text, err := json.Marshal(line.Data["waits"])
					require.NoError(t, err)
					require.NoError(t, json.Unmarshal(text, &waits))
				}
			}
			require.Equal(t, []WaitView{{Reason: reason, Tasks: 1, IdleJobs: 1, LongestMS: 9000, Job: "j"}}, waits)
		})
	}
}

// waitRun adds a run of the only task of j in a state.
func waitRun(w *worker, j *job, state runState) {
	r := testRun(w, &j.spec.Steps[0], 0)
	r.job, r.state = j, state
	tk := &j.occurrences[0].steps[0].tasks[0]
	tk.runs = append(tk.runs, r)
}

// overTarget adds a service to w that exceeds its target.
func overTarget(w *worker) {
	s := testRun(w, &Step{Count: 1, Lasting: true, Image: "s", LatencyTarget: 100 * time.Millisecond, Needs: model.Resources{MilliCPU: 1000}}, 9)
	s.overTargetSince = at(9)
}
