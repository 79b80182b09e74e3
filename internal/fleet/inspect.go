package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/usage"
)

// NodeView is what a node shows operators about itself and, if it leads a cell, about that
// cell.
type NodeView struct {
	Node          model.NodeID     `json:"node"`
	DataCentre    model.DataCentre `json:"dc"`
	Ready         bool             `json:"ready"`
	Draining      bool             `json:"draining"`
	Configuration uint64           `json:"configuration"`
	// Use is the used share of the host's limits over the last second; nil if unknown.
	Use *usage.Utilization `json:"use,omitempty"`
	// Leader and Term are the newest leader and term of the first cell that this node knows.
	Leader model.NodeID `json:"leader"`
	Term   uint64       `json:"term"`
	// Cells lists the cells with their leaders, as far as this node knows.
	Cells []CellView `json:"cells"`
	// Fleet is the view of a cell that this node leads, preferably the one that knows the
	// requested job; nil on nodes that lead no cell.
	Fleet *FleetView `json:"fleet,omitempty"`
}

// FleetView is a leader's view of its cell.
type FleetView struct {
	Jobs    map[State]int `json:"jobs"`
	Workers []WorkerView  `json:"workers"`
	// AllRunsKnown means that no worker can hold runs of earlier terms that this term has not
	// seen.
	AllRunsKnown   bool              `json:"knows_all"`
	DataCentresOut []string          `json:"out,omitempty"` // data centres out of service
	Waiting        []WaitingStepView `json:"waiting"`
	// Waits sums up what tasks wait for, by reason.
	Waits []WaitView `json:"waits"`
	// WaitingSteps counts all waiting steps; Waiting lists the first ones in placement order.
	WaitingSteps int `json:"waiting_steps"`
	// Loop is the load of the leader's loop over the last 5 s.
	Loop LoopView `json:"loop"`
	// Job is the requested job.
	Job *JobView `json:"job,omitempty"`
}

// WorkerView is one worker.
type WorkerView struct {
	Worker     model.WorkerID   `json:"worker"`
	DataCentre model.DataCentre `json:"dc"`
	// State is "usable" or the reason why no run is sent to the worker.
	State   string `json:"state"`
	Runs    int    `json:"runs"`
	FreeCPU int64  `json:"free_cpu"`
	FreeMB  int64  `json:"free_mb"`
	// SilentMS is the time since the worker's last answer.
	SilentMS int64 `json:"silent_ms"`
}

// WaitingStepView is a step with waiting tasks.
type WaitingStepView struct {
	Job    string `json:"job"`
	Queue  string `json:"queue"`
	Step   int    `json:"step"`
	Tasks  int    `json:"tasks"`
	Waited int64  `json:"waited_ms"`
	// Slack is the time until the step is late; negative if it is late.
	Slack  int64  `json:"slack_ms"`
	Reason string `json:"reason"`
}

// JobView is one job with its runs.
type JobView struct {
	Job    string    `json:"job"`
	Queue  string    `json:"queue"`
	State  State     `json:"state"`
	AgeMS  int64     `json:"age_ms"`
	Reason string    `json:"reason"`
	Runs   []RunView `json:"runs"`
}

// RunView is one run.
type RunView struct {
	Task    TaskName       `json:"task"`
	Attempt int            `json:"attempt"`
	Worker  model.WorkerID `json:"worker"`
	State   string         `json:"state"`
	Percent int            `json:"percent"`
	AgeMS   int64          `json:"age_ms"`
}

// maxWaitingShown bounds the listed steps; the counts cover all.
const maxWaitingShown = 50

// Inspect returns the view of the node. If job is not empty and a cell that this node leads
// knows it, the view includes that job.
func (n *Node) Inspect(ctx context.Context, job string) NodeView {
	v := NodeView{Node: n.cfg.Node, DataCentre: n.cfg.DataCentre, Ready: n.Ready(), Draining: n.draining.Load(), Use: n.usage.Load()}
	if view := n.routing.Load(); view != nil {
		v.Configuration = view.configuration.Version
	}
	d := n.cellTable.Load()
	if d == nil {
		return v
	}
	for _, c := range d.cells {
		v.Cells = append(v.Cells, n.cellView(ctx, c, job))
	}
	v.Leader, v.Term = v.Cells[0].Leader, v.Cells[0].Term
	for _, c := range v.Cells {
		if c.Fleet != nil && (v.Fleet == nil || (c.Fleet.Job != nil && v.Fleet.Job == nil)) {
			v.Fleet = c.Fleet
		}
	}
	return v
}

// CellView is one cell of the fleet.
type CellView struct {
	Cell   int          `json:"cell"`
	Leader model.NodeID `json:"leader"`
	Term   uint64       `json:"term"`
	// RenewedMS is the time since this node saw the leader's last renewal.
	RenewedMS int64 `json:"renewed_ms"`
	// Pending counts the jobs that have not started.
	Pending int `json:"pending"`
	// Reserved is the share of the cell's processors that runs and waiting tasks reserve; 0
	// in a fleet of one cell.
	Reserved float64 `json:"reserved"`
	// Fleet is nil for cells that another node leads.
	Fleet *FleetView `json:"fleet,omitempty"`
}

func (n *Node) cellView(ctx context.Context, c *cell, job string) CellView {
	v := CellView{Cell: c.index}
	if l := c.leader.Load(); l != nil {
		v.Leader, v.Term, v.RenewedMS = l.Node, l.Term, time.Since(l.seenAt).Milliseconds()
		v.Reserved = l.Load.reservedShare()
		for _, n := range l.Pending {
			v.Pending += n
		}
	}
	q := inspectQuery{job, make(chan *FleetView, 1)}
	v.Fleet = queryCell(ctx, c, q, q.reply)
	return v
}

// inspectQuery asks the term's loop for its view.
type inspectQuery struct {
	job   string
	reply chan *FleetView
}

func (q inspectQuery) handle(t *term) {
	v := &FleetView{Jobs: map[State]int{}, Workers: t.workerViews(), AllRunsKnown: t.allRunsKnown(), Loop: t.loopLoad.previous.view()}
	for _, j := range t.jobs {
		v.Jobs[j.visibleState]++
	}
	for dc := range t.dataCentresOut {
		v.DataCentresOut = append(v.DataCentresOut, string(dc))
	}
	slices.Sort(v.DataCentresOut)
	if t.loaded {
		waiting := t.collectWaitingSteps()
		sortWaitingSteps(waiting)
		v.WaitingSteps, v.Waits = len(waiting), t.sumWaits()
		for _, w := range waiting[:min(len(waiting), maxWaitingShown)] {
			v.Waiting = append(v.Waiting, WaitingStepView{Job: w.job.id, Queue: w.queue.Name, Step: w.index, Tasks: len(w.tasks),
				Waited: t.now.Sub(w.occurrence.steps[w.index].readyAt).Milliseconds(), Slack: w.slack.Milliseconds(), Reason: t.describeWait(w)})
		}
	}
	if jobs := t.jobsOf(q.job); len(jobs) > 0 {
		v.Job = t.jobView(jobs[0])
	}
	q.reply <- v
}

func (t *term) workerViews() []WorkerView {
	views := make([]WorkerView, 0, len(t.workers))
	for _, w := range t.workers {
		free := w.free()
		views = append(views, WorkerView{Worker: w.info.Worker, DataCentre: w.info.DataCentre, State: cmp.Or(t.unusableReason(w), "usable"), Runs: len(w.runs),
			FreeCPU: free.MilliCPU, FreeMB: free.MemoryMB, SilentMS: t.now.Sub(w.clockAt).Milliseconds()})
	}
	slices.SortFunc(views, func(a, b WorkerView) int { return cmp.Compare(a.Worker, b.Worker) })
	return views
}

// whyStepWaits returns why a waiting step is not placed.
func (t *term) whyStepWaits(w *waitingStep) waitReason {
	p := t.newPlacement(w.queue.Service)
	switch {
	case !t.mayPlace():
		return waitsForLeader
	case len(p.workers) == 0:
		return waitsForWorkers
	case p.allowedTasks(w, t.capacityToHold([]*waitingStep{w})) == 0:
		return waitsForHeldCapacity
	case w.queue.Advised && (w.state().advice == nil || len(w.state().advice.tickets) == 0):
		return waitsForTicket
	}
	_, missing := p.findWorker(taskRequest{step: w.step, tasksPerWorker: runsPerWorker(w.state())})
	if missing == lacksNothing && w.step.Gang {
		return waitsForGangCapacity
	}
	return waitReasonOf(missing, w.step)
}

// describeWait describes why a waiting step is not placed.
func (t *term) describeWait(w *waitingStep) string {
	switch reason := t.whyStepWaits(w); reason {
	case waitsForWorkers:
		return waitTexts[reason].text + " " + string(w.queue.Service)
	case waitsForLabel:
		return waitTexts[reason].text + " " + w.step.Label
	default:
		return waitTexts[reason].text
	}
}

// whyJobWaits describes why a job has tasks that are ready and not placed; empty if it has none.
func (t *term) whyJobWaits(j *job) string {
	if j.over() || j.visibleState.Final() {
		return "over"
	}
	if gate := t.jobGate(j, t.allRunsKnown()); gate != waitsForNothing {
		return waitTexts[gate].text
	}
	if len(j.occurrences) == 0 {
		return "its time has not come"
	}
	for _, o := range j.occurrences {
		if waiting := t.appendWaitingSteps(nil, j, o, t.queues[j.queue]); len(waiting) > 0 {
			return t.describeWait(waiting[0])
		}
	}
	return t.whyTasksAreGated(j)
}

// whyTasksAreGated describes what keeps the tasks of a job without a run out of the plan; empty if
// there are none.
func (t *term) whyTasksAreGated(j *job) string {
	reason := waitsForNothing
	for _, tk := range j.openTasks() {
		reason = max(reason, tk.gate(t.now))
	}
	return waitTexts[reason].text
}

var runStateNames = map[runState]string{runSent: "sent", runLive: "running", runUnconfirmed: "in doubt", runStopping: "stopping", runHeld: "held"}

func (t *term) jobView(j *job) *JobView {
	v := &JobView{Job: j.id, Queue: j.queue, State: j.visibleState, AgeMS: t.now.Sub(j.acceptedLocalTime).Milliseconds(), Reason: t.whyJobWaits(j)}
	for _, w := range t.workers {
		for _, r := range w.runs {
			if r.job == j {
				v.Runs = append(v.Runs, RunView{Task: r.ref.Task, Attempt: r.ref.Attempt, Worker: w.info.Worker, State: runStateNames[r.state],
					Percent: r.percent, AgeMS: max(t.now.Sub(r.startedAt), time.Duration(0)).Milliseconds()})
			}
		}
	}
	slices.SortFunc(v.Runs, func(a, b RunView) int { return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt)) })
	return v
}
