package replay

import (
	"fmt"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Bounds of section 2 of the design page.
const (
	outBound    = 4 * time.Second
	urgentBound = 1400 * time.Millisecond
	// quotaTransition is how long after a change of quotas or data centres work
	// that was placed before may exceed a team's quota: the drain's grace, its
	// pace and the settling of shares.
	quotaTransition = 5 * time.Minute
)

// maxViolations bounds the list of an outcome; the count is complete.
const maxViolations = 50

// Violation is a requirement or stated outcome that was missed.
type Violation struct {
	// Requirement is a number of section 2.1, or the name of a stated outcome.
	Requirement string  `json:"requirement"`
	At          Seconds `json:"at_s"`
	Detail      string  `json:"detail"`
}

// String formats v for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.1f s: %s", v.Requirement, float64(v.At), v.Detail)
}

func (s *sim) violate(requirement, format string, args ...any) {
	s.out.ViolationCount++
	if len(s.out.Violations) < maxViolations {
		v := Violation{requirement, Seconds(s.now.Seconds()), fmt.Sprintf(format, args...)}
		s.out.Violations = append(s.out.Violations, v)
	}
}

// checkStart checks from the worker's side that a start may happen.
func (s *sim) checkStart(w *worker, t *work, ref external.AttemptRef) {
	used := t.need
	for _, r := range w.runs {
		used = used.Add(r.work.need)
	}
	if !used.Fits(w.Capacity) {
		s.violate("R1", "worker %s runs %s, has %s", w.ID, used, w.Capacity)
	}
	if t.running != nil {
		s.violate("R2", "task %s starts attempt %d while attempt %d runs", ref.Task, ref.Attempt, t.running.Attempt)
	}
	if t.done > 0 {
		s.violate("R3", "task %s starts again after its completion", ref.Task)
	}
	if at, out := s.outAt[w.DataCentre]; out && s.now-at > outBound {
		s.violate("R4", "task %s starts in %s, out for %s", ref.Task, w.DataCentre, s.now-at)
	}
	s.checkQuota(t)
}

// checkResume checks that an attempt resumes from the last durable checkpoint,
// and counts the work since then as repeated.
func (s *sim) checkResume(t *work, checkpoint string) {
	if want := s.durable[t.id]; checkpoint != want {
		s.violate("R3", "task %s resumes from %q, its last checkpoint is %q", t.id, checkpoint, want)
	}
	s.lose(t, t.progress-s.checkpoints[checkpoint])
}

// checkQuota checks a team's use over all data centres outside of transitions.
func (s *sim) checkQuota(t *work) {
	if t.submit.Team == "" || (s.changedAt > 0 && s.now-s.changedAt < quotaTransition) || len(s.outAt) > 0 {
		return
	}
	use := t.need
	for _, w := range s.order {
		for _, r := range w.runs {
			if r.work.submit.Team == t.submit.Team {
				use = use.Add(r.work.need)
			}
		}
	}
	for _, team := range s.teams {
		if team.Name != t.submit.Team {
			continue
		}
		quota := model.Resources{MilliCPU: int64(team.Cores * 1000), MemoryMB: int64(team.MemoryGB * 1000)}
		if !use.Fits(quota) {
			s.violate("quota", "team %s uses %s of %s", team.Name, use, quota)
		}
	}
}

// checkGangs checks that a batch places all waiting tasks of a gang or none,
// and that the gang's other unfinished tasks run in the same cell.
func (s *sim) checkGangs(o *owner, batch []cell.Record) {
	placed := map[model.JobID]int{}
	for _, r := range batch {
		if r.Placed == nil {
			continue
		}
		if t, ok := o.st.Task(r.Placed.Task); ok && t.Spec.Gang {
			placed[t.Spec.Job]++
		}
	}
	for id, n := range placed {
		together := n
		for _, t := range o.st.JobTasks(id) {
			if t.State.HoldsWorker() {
				together++
			}
		}
		unfinished := 0
		for _, t := range s.jobs[id] {
			if t.done == 0 && !t.cancelled {
				unfinished++
			}
		}
		if together < unfinished && !o.st.JobCancelled(id) {
			s.violate("gang", "job %s starts %d tasks, %d of %d run together", id, n, together, unfinished)
		}
	}
}

// firstStart checks the start time of urgent work, when a worker in service had
// room for it or could be freed by evicting work of lower urgency.
func (s *sim) firstStart(t *work) {
	if t.started {
		return
	}
	t.started = true
	s.out.Starts++
	if t.class.Urgency != "urgent" {
		return
	}
	wait := s.now - t.submitted
	s.out.UrgentStarts++
	if !s.urgentExempt(t) {
		s.out.UrgentWorstMs = max(s.out.UrgentWorstMs, wait.Milliseconds())
		if wait > urgentBound {
			s.violate("urgent", "task %s started after %s", t.id, wait)
		}
	}
}

// urgentExempt reports whether an outage or a change kept urgent work from
// starting at its submission.
func (s *sim) urgentExempt(t *work) bool { return t.submitted < s.exemptTill || t.exempt }

// finish checks what is left at the end.
func (s *sim) finish() {
	for _, e := range s.trace.Events {
		if e.Submit == nil {
			continue
		}
		for _, t := range s.jobs[e.Submit.Job] {
			s.finishTask(t)
		}
	}
	s.out.LostCoreSeconds = round(s.out.LostCoreSeconds)
}

func (s *sim) finishTask(t *work) {
	for _, o := range s.cells {
		held, ok := o.st.Task(t.id)
		if !ok || held.State == cell.TaskTransferred {
			continue
		}
		if held.State == cell.TaskCancelled {
			s.out.Cancelled++
		}
		if !held.State.Ended() {
			s.out.Unfinished++
			s.violate("ends", "task %s is %s in %s at the end", t.id, held.State, o.id)
		}
		return
	}
	s.violate("lost", "task %s is in no cell", t.id)
}
