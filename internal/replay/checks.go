package replay

import (
	"fmt"
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Limits from section 2 of the design page.
const (
	maxStartAfterOut = 4 * time.Second
	maxUrgentWait    = 1400 * time.Millisecond
	// quotaTransitionTime is how long after a change of quotas or data centres the work placed
	// before may exceed the quota of a team. It covers the grace period of a drain, the drain
	// rate and the convergence of the quota shares.
	quotaTransitionTime = 5 * time.Minute
)

// maxViolations limits the violations listed in an outcome. ViolationCount includes all.
const maxViolations = 50

// Violation is a missed requirement or expected outcome.
type Violation struct {
	// Requirement is a number from section 2.1 of the design page, or the name of an expected
	// outcome.
	Requirement string  `json:"requirement"`
	At          Seconds `json:"at_s"`
	Detail      string  `json:"detail"`
}

// String formats v for reports.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.1f s: %s", v.Requirement, float64(v.At), v.Detail)
}

func (s *sim) addViolation(requirement, format string, args ...any) {
	s.out.ViolationCount++
	if len(s.out.Violations) < maxViolations {
		v := Violation{requirement, Seconds(s.now.Seconds()), fmt.Sprintf(format, args...)}
		s.out.Violations = append(s.out.Violations, v)
	}
}

// checkStart checks, with the actual state of the worker, that a start is allowed.
func (s *sim) checkStart(w *worker, t *simTask, ref external.AttemptRef) {
	used := t.resources
	for _, r := range w.attempts {
		used = used.Add(r.task.resources)
	}
	if !used.Fits(w.Capacity) {
		s.addViolation("R1", "worker %s runs %s, has %s", w.ID, used, w.Capacity)
	}
	if t.running != nil {
		s.addViolation("R2", "task %s starts attempt %d while attempt %d runs", ref.Task, ref.Attempt, t.running.Attempt)
	}
	if t.completions > 0 {
		s.addViolation("R3", "task %s starts again after its completion", ref.Task)
	}
	if at, out := s.outSince[w.DataCentre]; out && s.now-at > maxStartAfterOut {
		s.addViolation("R4", "task %s starts in %s, out for %s", ref.Task, w.DataCentre, s.now-at)
	}
	s.checkQuota(t)
}

// checkResume checks that an attempt resumes from the last durable checkpoint, and counts the
// work since that checkpoint as lost.
func (s *sim) checkResume(t *simTask, checkpoint string) {
	if want := s.durableCheckpoints[t.id]; checkpoint != want {
		s.addViolation("R3", "task %s resumes from %q, its last checkpoint is %q", t.id, checkpoint, want)
	}
	s.loseWork(t, t.progress-s.checkpointProgress[checkpoint])
}

// checkQuota checks the resources that a team uses in all data centres against its quota. It
// skips transitions after a change of quotas or data centres.
func (s *sim) checkQuota(t *simTask) {
	if t.submit.Team == "" || (s.changedAt > 0 && s.now-s.changedAt < quotaTransitionTime) || len(s.outSince) > 0 {
		return
	}
	use := t.resources
	for _, w := range s.workerList {
		for _, r := range w.attempts {
			if r.task.submit.Team == t.submit.Team {
				use = use.Add(r.task.resources)
			}
		}
	}
	for _, team := range s.teams {
		if team.Name != t.submit.Team {
			continue
		}
		quota := model.Resources{MilliCPU: int64(team.Cores * 1000), MemoryMB: int64(team.MemoryGB * 1000)}
		if !use.Fits(quota) {
			s.addViolation("quota", "team %s uses %s of %s", team.Name, use, quota)
		}
	}
}

// checkGangs checks that a batch places all waiting tasks of a gang or none, and that the
// other unfinished tasks of the gang run in the same cell.
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
		running := n
		for _, t := range o.st.JobTasks(id) {
			if t.State.HoldsWorker() {
				running++
			}
		}
		unfinished := 0
		for _, t := range s.jobs[id] {
			if t.completions == 0 && !t.cancelled {
				unfinished++
			}
		}
		if running < unfinished && !o.st.JobCancelled(id) {
			s.addViolation("gang", "job %s starts %d tasks, %d of %d run together", id, n, running, unfinished)
		}
	}
}

// recordStart counts the first start of a task. For urgent work that is not exempt it checks
// the wait, because such work starts at once, on free capacity or by evicting work of lower
// urgency.
func (s *sim) recordStart(t *simTask) {
	if t.started {
		return
	}
	t.started = true
	s.out.Starts++
	if t.class.Urgency != "urgent" {
		return
	}
	wait := s.now - t.submittedAt
	s.out.UrgentStarts++
	if !s.isUrgentExempt(t) {
		s.out.UrgentWorstMs = max(s.out.UrgentWorstMs, wait.Milliseconds())
		if wait > maxUrgentWait {
			s.addViolation("urgent", "task %s started after %s", t.id, wait)
		}
	}
}

// isUrgentExempt reports whether an outage or a change of owner may have delayed the start of
// t.
func (s *sim) isUrgentExempt(t *simTask) bool { return t.submittedAt < s.exemptUntil || t.exempt }

// checkFinalState checks the final state of all submitted tasks.
func (s *sim) checkFinalState() {
	for _, e := range s.trace.Events {
		if e.Submit == nil {
			continue
		}
		for _, t := range s.jobs[e.Submit.Job] {
			s.checkFinalTask(t)
		}
	}
	s.out.LostCoreSeconds = round(s.out.LostCoreSeconds)
}

func (s *sim) checkFinalTask(t *simTask) {
	for _, o := range s.ownerList {
		held, ok := o.st.Task(t.id)
		if !ok || held.State == cell.TaskTransferred {
			continue
		}
		if held.State == cell.TaskCancelled {
			s.out.Cancelled++
		}
		if !held.State.Ended() {
			s.out.Unfinished++
			s.addViolation("ends", "task %s is %s in %s at the end", t.id, held.State, o.id)
		}
		return
	}
	s.addViolation("lost", "task %s is in no cell", t.id)
}
