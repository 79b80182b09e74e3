package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillapier/vanillapier/internal/model"
)

// endingCapacity returns the capacity of a worker that is free once its short tasks, its fillers and the runs that
// are being stopped have ended.
func (w *worker) endingCapacity() model.Resources {
	return w.free().Add(w.ending)
}

// lostTasksView sums up the lost lasting tasks of a cell that have no run, and the room for them.
type lostTasksView struct {
	tasks   int
	longest time.Duration
	// step and key are those of the task that has waited longest.
	step *waitingStep
	key  taskKey
	// room counts the tasks for which there is room. Each is counted as if it were alone.
	room taskRoom
	// nearest is the usable worker with the most processors for the task that has waited longest once short
	// tasks and fillers have ended.
	nearest *worker
}

// viewLostTasks returns the view of the lost lasting tasks among the waiting steps.
func (t *term) viewLostTasks(waiting []*waitingStep) lostTasksView {
	v := lostTasksView{}
	for _, w := range waiting {
		if !w.restart || w.step.Filler {
			continue
		}
		tasks := 0
		for i := range w.state().tasks {
			tk := &w.state().tasks[i]
			if tk.done || tk.lentTo > 0 || len(tk.runs) > 0 {
				continue
			}
			tasks++
			if waited := t.now.Sub(w.state().waitedSince(tk)); v.step == nil || waited > v.longest {
				v.longest, v.step, v.key = waited, w, w.key(i)
			}
		}
		if tasks > 0 {
			room, _ := t.roomFor(w)
			v.tasks += tasks
			v.room.now += min(room.now, tasks)
			v.room.later += min(room.later, tasks)
			v.room.quarantined += min(room.quarantined, tasks)
		}
	}
	if v.step != nil {
		_, v.nearest = t.roomFor(v.step)
	}
	return v
}

// taskRoom counts the tasks that fit on usable workers now, on usable workers once short tasks and fillers have
// ended, and then on quarantined ones.
type taskRoom struct{ now, later, quarantined int }

// roomFor returns the room for tasks of a step, and the usable worker with the most processors once short tasks
// and fillers have ended; nil if no usable worker may run the step.
func (t *term) roomFor(w *waitingStep) (room taskRoom, nearest *worker) {
	most := int64(0)
	r := taskRequest{step: w.step, tasksPerWorker: runsPerWorker(w.state())}
	for _, x := range t.workers {
		if x.info.Service != w.queue.Service || !x.hasLabel(w.step.Label) || !r.hasTaskSlot(x) {
			continue
		}
		free := x.endingCapacity()
		switch t.unusableReason(x) {
		case "":
			room.now += fitCount(w.step.Reserved(), x.free())
			room.later += fitCount(w.step.Reserved(), free)
			if nearest == nil || free.MilliCPU > most {
				nearest, most = x, free.MilliCPU
			}
		case unusableResting:
			room.quarantined += fitCount(w.step.Reserved(), free)
		}
	}
	return room, nearest
}

// fitCount returns how many tasks with a need fit into a capacity.
func fitCount(need, capacity model.Resources) int {
	n := 1 << 20
	for _, d := range [][2]int64{{capacity.MilliCPU, need.MilliCPU}, {capacity.MemoryMB, need.MemoryMB}, {capacity.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, int(max(d[0], 0)/d[1]))
		}
	}
	return n
}

// logLostTasks logs, once per loadLogInterval, how long lost lasting tasks have been without a run and what
// stands on the worker that comes nearest to having room for one.
func (t *term) logLostTasks(waiting []*waitingStep) {
	if t.now.Sub(t.lostTasksLoggedAt) < loadLogInterval {
		return
	}
	v := t.viewLostTasks(waiting)
	if v.tasks == 0 {
		return
	}
	t.lostTasksLoggedAt = t.now
	need := v.step.step.Reserved()
	fields := logrus.Fields{"decision": "lost-tasks", "tasks": v.tasks, "longest_ms": v.longest.Milliseconds(), "task": v.key.Name(v.step.job.id),
		"needs_cpu": need.MilliCPU, "needs_mb": need.MemoryMB, "reason": v.step.state().waits.String(), "fit_now": v.room.now, "fit_later": v.room.later, "fit_quarantined": v.room.quarantined}
	if w := v.nearest; w != nil {
		later := w.endingCapacity()
		fields["nearest"], fields["nearest_free_cpu"], fields["nearest_later_cpu"], fields["nearest_later_mb"] = w.info.Worker, w.free().MilliCPU, later.MilliCPU, later.MemoryMB
		fields["nearest_claimed_cpu"], fields["nearest_quarantines"] = t.claimed[w].MilliCPU, w.health.quarantines
		fields["nearest_short_cpu"], fields["nearest_filler_cpu"] = w.shortMilliCPU, w.fillerMilliCPU
	}
	t.log.WithFields(fields).Info("lost lasting tasks wait for a worker")
}
