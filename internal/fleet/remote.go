package fleet

import (
	"context"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Waves of upkeep are led by the leader of the first cell, so that their cap holds for
// the whole fleet. Machines of other cells are emptied by the leaders of these cells, on
// request.

const (
	// emptyEvery is the pause between two requests for one machine.
	emptyEvery = 300 * time.Millisecond
	// emptyAge is how old the answer of another cell may be when upkeep begins.
	emptyAge = 600 * time.Millisecond
	// emptyFor is how long a request keeps new work from a worker.
	emptyFor = 2 * time.Second
)

// emptyParams asks the leader of a cell to empty a worker.
type emptyParams struct {
	Cell   int            `json:"cell"`
	Worker model.WorkerID `json:"worker"`
	// Waited is how long the machine has had its turn.
	Waited time.Duration `json:"waited"`
}

// emptied tells how far a worker is emptied.
type emptied struct {
	Known bool `json:"known"`
	Runs  int  `json:"runs"`
	// Holds means that upkeep must wait for a run there.
	Holds bool `json:"holds"`
}

// emptyQuery hands a request to the loop.
type emptyQuery struct {
	emptyParams
	reply chan emptied
}

func (q emptyQuery) handle(t *term) {
	if !t.loaded || !t.settled() || !t.active() {
		q.reply <- emptied{}
		return
	}
	t.emptying[q.Worker] = t.now.Add(emptyFor)
	w := t.workers[q.Worker]
	t.moveRunsAway(w, q.Waited)
	r := emptied{Known: true, Holds: t.holdsBack(w)}
	if w != nil {
		r.Runs = len(w.runs)
	}
	q.reply <- r
}

func localEmpty(ctx context.Context, c *cell, p emptyParams) emptied {
	q := emptyQuery{p, make(chan emptied, 1)}
	return queryCell(ctx, c, q, q.reply)
}

// askEmpty asks the leader of a cell, or the term that this node leads, to empty a worker.
func (n *Node) askEmpty(ctx context.Context, p emptyParams) emptied {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	c := n.cell(p.Cell)
	if c == nil {
		return emptied{}
	}
	r := localEmpty(ctx, c, p)
	if !r.Known {
		n.ask(ctx, c, methodEmpty, p, &r)
	}
	return r
}

// emptyAsked is the answer of another cell.
type emptyAsked struct {
	turn   *upkeepTurn
	answer emptied
	asked  time.Time
}

func (e emptyAsked) handle(t *term) {
	e.turn.asking = false
	if e.answer.Known {
		e.turn.remote, e.turn.heard = e.answer, e.asked
	}
}

// emptyRemote asks the cell of a worker to empty it, and reports whether it tells that
// the upkeep may begin.
func (t *term) emptyRemote(worker model.WorkerID, cell int, turn *upkeepTurn) (ready bool) {
	waited := t.now.Sub(turn.begun)
	if t.empty != nil && !turn.asking && t.now.Sub(turn.askedAt) > emptyEvery {
		turn.asking, turn.askedAt = true, t.now
		p, asked := emptyParams{cell, worker, waited}, t.now
		go func() { t.post(emptyAsked{turn, t.empty(t.ctx, p), asked}) }()
	}
	if turn.heard.IsZero() || t.now.Sub(turn.heard) > emptyAge {
		return false
	}
	return !turn.remote.Holds && (turn.remote.Runs == 0 || waited >= emptyWait+stopWait)
}
