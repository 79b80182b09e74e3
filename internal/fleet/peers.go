package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/membership"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Methods that nodes call on each other.
const (
	methodOffer             = "jobs.offer"
	methodAccept            = "jobs.accept"
	methodCancel            = "jobs.cancel"
	methodState             = "jobs.state"
	methodPending           = "jobs.pending"
	methodRequestLeadership = "lead.ask"
	methodTermBegun         = "lead.taken"
	methodOfferWitness      = "lead.offer"
	methodWitness           = "lead.witness"
	methodEvacuate          = "worker.empty"
	methodRoom              = "room.keep"
)

const (
	// notifyTimeout bounds a notification or a request to the leader. The leader also watches
	// the jobs' table, so a lost notification of a job delays it by a quarter of a second.
	notifyTimeout = 300 * time.Millisecond
	// leaderCallPause is how long a leader that did not answer is not called again.
	leaderCallPause = 500 * time.Millisecond
	// stateProofMaxAge is the greatest age of the last renewal at which a leader shows states that
	// may change. It is less than leaderTimeout, before which no other node takes leadership.
	stateProofMaxAge = 1500 * time.Millisecond
)

// rowParams are the parameters of a call about a row that is, or is to be, stored.
type rowParams struct {
	Cell    int           `json:"cell"`
	Table   string        `json:"table"`
	Key     string        `json:"key"`
	Part    string        `json:"part"`
	Value   []byte        `json:"value"`
	Version uint64        `json:"version"`
	Now     time.Duration `json:"now"`
}

type stateParams struct {
	Cell int    `json:"cell"`
	Job  string `json:"job"`
}

type cellParams struct {
	Cell int `json:"cell"`
}

type stateResult struct {
	Known bool  `json:"known"`
	State State `json:"state,omitempty"`
	// MovedTo is one more than the cell to which the job has moved; 0 for none.
	MovedTo int `json:"moved,omitempty"`
}

type pendingResult struct {
	Known  bool           `json:"known"`
	Counts map[string]int `json:"counts"`
}

// handlePeers registers the methods that peers call.
func (n *Node) handlePeers() {
	for method, handler := range map[string]membership.Handler{
		methodOffer: membership.Typed(func(_ context.Context, p rowParams) (any, error) {
			n.deliverRow(n.cell(p.Cell), Row{RowID: RowID{p.Table, p.Part, p.Key}, Value: p.Value, Version: p.Version}, p.Now)
			return true, nil
		}),
		methodAccept: membership.Typed(func(ctx context.Context, p rowParams) (any, error) {
			c := n.cell(p.Cell)
			if c == nil {
				return false, model.Errorf(model.KindUnavailable, "retry later", "no cell %d is known here", p.Cell)
			}
			_, err := n.storeJob(ctx, c, Row{RowID: RowID{tableJobs, p.Part, p.Key}, Value: p.Value}, 0)
			return err == nil, err
		}),
		methodCancel: membership.Typed(func(ctx context.Context, p stateParams) (any, error) {
			d, known := n.cellTable.Load(), false
			if d == nil {
				return false, model.Errorf(model.KindUnavailable, "retry later", "the cells are not known here")
			}
			err := n.tryCancel(ctx, d, p.Job, &known)
			return err == nil, err
		}),
		methodState: membership.Typed(func(ctx context.Context, p stateParams) (any, error) {
			return localState(ctx, n.cell(p.Cell), p.Job), nil
		}),
		methodPending: membership.Typed(func(ctx context.Context, p cellParams) (any, error) {
			return localPending(ctx, n.cell(p.Cell)), nil
		}),
		methodRequestLeadership: membership.Typed(n.handleLeadershipRequest),
		methodTermBegun:         membership.Typed(n.handleTermBegun),
		methodOfferWitness:      membership.Typed(n.handleWitnessOffer),
		methodWitness:           membership.Typed(n.handleWitness),
		methodEvacuate: membership.Typed(func(ctx context.Context, p evacuateParams) (any, error) {
			return localEvacuate(ctx, n.cell(p.Cell), p), nil
		}),
		methodRoom: membership.Typed(func(ctx context.Context, r roomRequest) (any, error) {
			return localRoom(ctx, n.cell(r.Cell), r), nil
		}),
	} {
		n.cfg.Peers.Handle(method, handler)
	}
}

// cell returns a cell by its index, or nil.
func (n *Node) cell(index int) *cell {
	d := n.cellTable.Load()
	if d == nil || index < 0 || index >= len(d.cells) {
		return nil
	}
	return d.cells[index]
}

// deliverRow posts a stored row to the term of its cell, if this node leads the cell.
func (n *Node) deliverRow(c *cell, row Row, storeNow time.Duration) {
	if c == nil || !c.leading() {
		return
	}
	if row.Table == tableMoved {
		c.term.Load().post(movedRows{[]Row{row}, storeNow, false})
		return
	}
	c.term.Load().post(jobRows{rows: []Row{row}, storeNow: storeNow})
}

// notifyLeader sends a row that was just stored to the leader of a cell.
func (n *Node) notifyLeader(c *cell, row Row) {
	if c.leading() {
		n.deliverRow(c, row, n.clock.estimate())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	n.callLeader(ctx, c, methodOffer, rowParams{c.index, row.Table, row.Key, row.Part, row.Value, row.Version, n.clock.estimate()}, nil)
}

// leaderCallHealth suspends calls to a leader that does not answer.
type leaderCallHealth struct {
	mu          sync.Mutex
	pausedUntil time.Time
	term        uint64
}

func (l *leaderCallHealth) usable(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term != term || time.Now().After(l.pausedUntil)
}

func (l *leaderCallHealth) recordFailure(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.pausedUntil = term, time.Now().Add(leaderCallPause)
}

// callLeader calls the leader of a cell on another node and reports whether it succeeded. It
// makes no call to a leader that recently did not answer.
func (n *Node) callLeader(ctx context.Context, c *cell, method string, params, result any) bool {
	term, err := n.tryLeader(ctx, c, method, params, result)
	if err != nil && !model.IsKind(err, model.KindExhausted) {
		c.leaderCalls.recordFailure(term)
	}
	return err == nil && term > 0
}

// tryLeader is callLeader for calls whose failure does not tell that the leader does not answer. It returns the
// term of the leader that was called, 0 for none.
func (n *Node) tryLeader(ctx context.Context, c *cell, method string, params, result any) (term uint64, err error) {
	leader := c.leader.Load()
	if leader == nil || leader.Released || leader.Node == n.cfg.Node || !c.leaderCalls.usable(leader.Term) {
		return 0, nil
	}
	if err = n.cfg.Peers.Call(ctx, leader.Addr, method, params, result); err != nil {
		n.log.WithError(err).WithField("method", method).Debug("call to the leader failed")
	}
	return leader.Term, err
}

// queryLeaderState asks the leader of a job's cell for the job's state. If the job has moved, it
// asks the leader of the cell to which it moved.
func (n *Node) queryLeaderState(ctx context.Context, c *cell, id string) (State, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	for range maxMovesPerJob + 1 {
		r := localState(ctx, c, id)
		if !r.Known && !n.callLeader(ctx, c, methodState, stateParams{c.index, id}, &r) {
			return "", false
		}
		if !r.Known || r.MovedTo == 0 {
			return r.State, r.Known
		}
		if c = n.cell(r.MovedTo - 1); c == nil {
			return "", false
		}
	}
	return "", false
}

// queryLeaderPending asks the leader of a cell for its pending counts by queue.
func (n *Node) queryLeaderPending(ctx context.Context, c *cell) (map[string]int, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	if r := localPending(ctx, c); r.Known {
		return r.Counts, true
	}
	var r pendingResult
	if !n.callLeader(ctx, c, methodPending, cellParams{c.index}, &r) || !r.Known {
		return nil, false
	}
	return r.Counts, true
}

// stateQuery asks the loop for a job's state.
type stateQuery struct {
	id    string
	reply chan stateResult
}

func (q stateQuery) handle(t *term) {
	if c := t.pendingCommit; c != nil && c.changesState(q.id) {
		c.queries = append(c.queries, q) // the store may show the new state already
		return
	}
	r := stateResult{}
	if j := t.jobs[q.id]; j != nil && t.loaded && t.active() && (j.visibleState.Final() || t.provenLeader()) {
		r = stateResult{Known: true, State: j.visibleState}
		if !j.visibleState.Final() {
			r.MovedTo = j.movedTo
		}
	}
	q.reply <- r
}

// provenLeader reports whether certainly no later term has begun by now.
func (t *term) provenLeader() bool {
	return !t.stopping && t.now.Sub(t.lastRenewal) < stateProofMaxAge
}

// pendingQuery asks the loop for the number of jobs of each queue that have not started.
type pendingQuery struct{ reply chan pendingResult }

func (q pendingQuery) handle(t *term) {
	r := pendingResult{}
	if r.Known = t.loaded && t.active(); r.Known {
		r.Counts = t.pendingCounts()
	}
	q.reply <- r
}

// pendingCounts counts the jobs of each queue that have not started.
func (t *term) pendingCounts() map[string]int {
	counts := map[string]int{}
	for _, j := range t.jobs {
		if !j.begun && !j.over() {
			counts[j.queue]++
		}
	}
	return counts
}

func localState(ctx context.Context, c *cell, id string) stateResult {
	q := stateQuery{id, make(chan stateResult, 1)}
	return queryCell(ctx, c, q, q.reply)
}

func localPending(ctx context.Context, c *cell) pendingResult {
	q := pendingQuery{make(chan pendingResult, 1)}
	return queryCell(ctx, c, q, q.reply)
}

// queryCell sends a query to the loop of a cell that this node leads. The zero value means no
// answer.
func queryCell[T any](ctx context.Context, c *cell, q event, reply chan T) (none T) {
	if c == nil {
		return none
	}
	return queryTerm(ctx, c.term.Load(), q, reply)
}

// queryTerm sends a query to a term's loop. The zero value means no answer.
func queryTerm[T any](ctx context.Context, t *term, q event, reply chan T) (none T) {
	if t == nil || t.ctx.Err() != nil || !t.post(q) {
		return none
	}
	select {
	case r := <-reply:
		return r
	case <-ctx.Done():
	case <-t.ctx.Done():
	}
	return none
}
