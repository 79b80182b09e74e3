package fleet

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// The leader of the first cell runs all maintenance waves, so that their cap holds for the
// whole fleet. It asks the leaders of other cells to evacuate the machines of these cells.

const (
	// evacuateInterval is the pause between two requests for one machine.
	evacuateInterval = 300 * time.Millisecond
	// evacuationStatusMaxAge is the greatest age of another cell's answer at which maintenance
	// may begin.
	evacuationStatusMaxAge = 600 * time.Millisecond
	// evacuationHold is how long a request keeps new work away from a worker.
	evacuationHold = 2 * time.Second
)

// evacuateParams asks the leader of a cell to evacuate a worker.
type evacuateParams struct {
	Cell   int            `json:"cell"`
	Worker model.WorkerID `json:"worker"`
	// Waited is the time since the evacuation of the machine started.
	Waited time.Duration `json:"waited"`
}

// evacuationStatus is the progress of a worker's evacuation. Known is false if the answering
// node could not tell.
type evacuationStatus struct {
	Known bool `json:"known"`
	Runs  int  `json:"runs"`
	// Blocked means that maintenance must wait for a run on the worker.
	Blocked bool `json:"holds"`
}

// evacuateQuery passes a request to the term's loop.
type evacuateQuery struct {
	evacuateParams
	reply chan evacuationStatus
}

func (q evacuateQuery) handle(t *term) {
	if !t.loaded || !t.allRunsKnown() || !t.active() {
		q.reply <- evacuationStatus{}
		return
	}
	t.evacuatingUntil[q.Worker] = t.now.Add(evacuationHold)
	w := t.workers[q.Worker]
	t.evictRuns(w, q.Waited)
	r := evacuationStatus{Known: true, Blocked: t.blocksMaintenance(w)}
	if w != nil {
		r.Runs = len(w.runs)
	}
	q.reply <- r
}

func localEvacuate(ctx context.Context, c *cell, p evacuateParams) evacuationStatus {
	q := evacuateQuery{p, make(chan evacuationStatus, 1)}
	return queryCell(ctx, c, q, q.reply)
}

// evacuateWorker asks the leader of a cell, which may be this node, to evacuate a worker.
func (n *Node) evacuateWorker(ctx context.Context, p evacuateParams) evacuationStatus {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	c := n.cell(p.Cell)
	if c == nil {
		return evacuationStatus{}
	}
	r := localEvacuate(ctx, c, p)
	if !r.Known {
		n.callLeader(ctx, c, methodEvacuate, p, &r)
	}
	return r
}

// remoteEvacuationReply is another cell's answer to an evacuation request.
type remoteEvacuationReply struct {
	evacuation *machineEvacuation
	worker     model.WorkerID
	answer     evacuationStatus
	asked      time.Time
}

func (e remoteEvacuationReply) handle(t *term) {
	e.evacuation.requestInFlight = false
	if e.answer.Known {
		e.evacuation.remoteStatus, e.evacuation.remoteWorker, e.evacuation.remoteAskedAt = e.answer, e.worker, e.asked
	}
}

// evacuateRemote asks the cell of a worker to evacuate it, and reports whether maintenance
// may begin according to that cell's latest answer.
func (t *term) evacuateRemote(worker model.WorkerID, cell int, evacuation *machineEvacuation) (ready bool) {
	waited := t.now.Sub(evacuation.startedAt)
	if t.evacuate != nil && !evacuation.requestInFlight && t.now.Sub(evacuation.requestedAt) > evacuateInterval {
		evacuation.requestInFlight, evacuation.requestedAt = true, t.now
		p, asked := evacuateParams{cell, worker, waited}, t.now
		go func() { t.post(remoteEvacuationReply{evacuation, worker, t.evacuate(t.ctx, p), asked}) }()
	}
	if evacuation.remoteWorker != worker || evacuation.remoteAskedAt.IsZero() || t.now.Sub(evacuation.remoteAskedAt) > evacuationStatusMaxAge {
		return false
	}
	return !evacuation.remoteStatus.Blocked && (evacuation.remoteStatus.Runs == 0 || waited >= evacuationGrace+evictionWait)
}
