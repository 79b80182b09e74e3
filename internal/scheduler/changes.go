package scheduler

import (
	"time"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/model"
)

// TaskChanged implements cell.Observer. It updates free capacity, the team's quota use
// and the queue.
func (s *Scheduler) TaskChanged(t *cell.Task, from cell.TaskState) {
	if t.State.HoldsWorker() && !from.HoldsWorker() {
		s.attemptStarted(t)
	}
	if !t.State.HoldsWorker() && from.HoldsWorker() {
		s.attemptStopped(t)
	}
	if from == cell.TaskQueued {
		s.dequeue(t)
	}
	if t.State == cell.TaskQueued {
		s.enqueue(t)
	}
	if t.Spec.Gang {
		s.dirtyGangs[t.Spec.Job] = true
	}
	if t.State.Ended() {
		delete(s.retries, t.Spec.ID)
	}
	s.placementDue = true
}

// attemptStarted releases a task's reservation, because the state now counts its resources
// as committed, and adds the attempt to its worker.
func (s *Scheduler) attemptStarted(t *cell.Task) {
	if p := s.pending[t.Spec.ID]; p != nil {
		s.unreserve(t.Spec.ID, p)
	}
	h := s.host(t.Worker)
	h.addLive(t)
	run := h.run(t.Spec.ID)
	run.checkpointAt, run.checkpoint = s.now, t.Checkpoint
	s.quota.add(t.Spec.Team, t.Spec.Resources)
	s.classCPU[t.Spec.Class] += t.Spec.Resources.MilliCPU
	if h.health.quarantined && h.health.probe == "" {
		h.health.probe, h.health.probeSince = t.Spec.ID, s.now
	}
	s.refresh(h)
	h.noteMix(s.now)
}

func (s *Scheduler) attemptStopped(t *cell.Task) {
	h := s.host(t.Worker)
	h.removeLive(t)
	h.health.clearProbe(t.Spec.ID)
	delete(s.chargedByAttempt, t.Ref())
	delete(s.pending, t.Spec.ID)
	s.quota.release(t.Spec.Team, t.Spec.Resources)
	if s.classCPU[t.Spec.Class] -= t.Spec.Resources.MilliCPU; s.classCPU[t.Spec.Class] == 0 {
		delete(s.classCPU, t.Spec.Class)
	}
	s.refresh(h)
	h.noteMix(s.now)
}

// enqueue adds a unit for a task outside a gang. Gangs are grouped at the start of the
// next plan.
func (s *Scheduler) enqueue(t *cell.Task) {
	if t.Spec.Gang {
		return
	}
	u := &unit{
		tasks: []*cell.Task{t}, urgency: t.Spec.Urgency, team: t.Spec.Team,
		submitted: t.SubmittedAt, notBefore: s.retries[t.Spec.ID].notBefore,
	}
	if t.Spec.Urgency >= model.UrgencyUrgent {
		s.noteUrgent(t)
	}
	s.units[t.Spec.ID] = u
	s.queue.add(u, s.now)
}

func (s *Scheduler) dequeue(t *cell.Task) {
	if u := s.units[t.Spec.ID]; u != nil {
		s.queue.remove(u)
		delete(s.units, t.Spec.ID)
	}
	if u := s.gangs[t.Spec.Job]; u != nil && t.Spec.Gang {
		s.queue.remove(u)
		delete(s.gangs, t.Spec.Job)
	}
	if p := s.pending[t.Spec.ID]; p != nil {
		s.unreserve(t.Spec.ID, p)
		delete(s.pending, t.Spec.ID)
	}
}

// unreserve releases the capacity of a planned placement.
func (s *Scheduler) unreserve(id model.TaskID, p *pendingTask) {
	if p.host == nil {
		return
	}
	t, ok := s.st.Task(id)
	if ok {
		p.host.reserved = p.host.reserved.Sub(t.Spec.Resources)
		s.quota.release(t.Spec.Team, t.Spec.Resources)
		s.refresh(p.host)
	}
	p.host = nil
}

// regroupGangs rebuilds the units of gangs whose tasks changed since the last plan.
func (s *Scheduler) regroupGangs() {
	for _, id := range sortedKeys(s.dirtyGangs) {
		if s.gangPending(id) {
			continue
		}
		delete(s.dirtyGangs, id)
		s.regroupGang(id)
	}
}

func (s *Scheduler) gangPending(id model.JobID) bool {
	for _, t := range s.st.JobTasks(id) {
		if s.pending[t.Spec.ID] != nil {
			return true
		}
	}
	return false
}

// gangMembers holds a gang's unfinished tasks by state.
type gangMembers struct {
	queued, live []*cell.Task
	// inTransition counts tasks that are being evicted, cancelled or transferred.
	inTransition int
	// arrived counts the tasks received in the gang's last transfer; groupSize is the
	// number that must arrive before the gang is placed.
	arrived, groupSize int
}

func (s *Scheduler) members(id model.JobID) gangMembers {
	var m gangMembers
	for _, t := range s.st.JobTasks(id) {
		if t.Group > 0 && t.State != cell.TaskTransferring && t.State != cell.TaskTransferred {
			m.groupSize = max(m.groupSize, t.Group)
			m.arrived++
		}
		switch {
		case t.State == cell.TaskQueued:
			m.queued = append(m.queued, t)
		case t.State == cell.TaskLive:
			m.live = append(m.live, t)
		case !t.State.Ended():
			m.inTransition++
		}
	}
	return m
}

// regroupGang queues the waiting tasks of a gang as one unit. Tasks that are requeued
// while the rest of the gang runs rejoin it. When they find no worker in time, or the
// data centre is out of service, the rest is evicted so that the gang restarts or is
// transferred as a whole.
func (s *Scheduler) regroupGang(id model.JobID) {
	if u := s.gangs[id]; u != nil {
		s.queue.remove(u)
		delete(s.gangs, id)
	}
	m := s.members(id)
	if len(m.queued) == 0 || m.arrived < m.groupSize {
		return
	}
	if s.isOut() {
		s.evictLiveMembers(id)
	}
	if m.inTransition > 0 || (s.isOut() && len(m.live) > 0) {
		return
	}
	u := &unit{
		tasks: m.queued, gang: true, partial: len(m.live) > 0, urgency: m.queued[0].Spec.Urgency,
		team: m.queued[0].Spec.Team, submitted: m.queued[0].SubmittedAt,
	}
	u.notBefore = s.latestRetryTime(m.queued)
	s.gangs[id] = u
	s.queue.add(u, s.now)
}

// evictLiveMembers evicts the running tasks of a gang.
func (s *Scheduler) evictLiveMembers(id model.JobID) {
	for _, t := range s.members(id).live {
		s.evict(t, "gang-restart")
	}
}

func (s *Scheduler) latestRetryTime(tasks []*cell.Task) time.Time {
	var at time.Time
	for _, t := range tasks {
		if r := s.retries[t.Spec.ID]; r.notBefore.After(at) {
			at = r.notBefore
		}
	}
	return at
}

// evict plans the checkpoint and stop of a live attempt.
func (s *Scheduler) evict(t *cell.Task, reason string) {
	if s.pending[t.Spec.ID] != nil || t.State != cell.TaskLive {
		return
	}
	s.addRecord(t.Spec.ID, &pendingTask{}, cell.Record{Evicting: &cell.Evicting{
		Task: t.Spec.ID, Attempt: t.Attempt, Reason: reason,
	}})
	s.logDecision("evict", string(t.Spec.ID), 0, string(t.Worker), reason)
}
