package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/membership"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Methods between the system's own nodes.
const (
	methodOffer   = "jobs.offer"
	methodAccept  = "jobs.accept"
	methodCancel  = "jobs.cancel"
	methodState   = "jobs.state"
	methodPending = "jobs.pending"
	methodLead    = "lead.ask"
)

const (
	// offerTimeout bounds the notice of a job to the leader. The leader also reads
	// the jobs' table, so a lost notice costs a quarter of a second.
	offerTimeout = 300 * time.Millisecond
	// linkPause is how long a leader that does not answer is not asked again.
	linkPause = 500 * time.Millisecond
)

// offerParams tells the leader of a stored row.
type offerParams struct {
	Key     string        `json:"key"`
	Part    string        `json:"part"`
	Value   []byte        `json:"value"`
	Version uint64        `json:"version"`
	Now     time.Duration `json:"now"`
}

type stateParams struct {
	Job string `json:"job"`
}

type stateResult struct {
	Known bool  `json:"known"`
	State State `json:"state,omitempty"`
}

type pendingResult struct {
	Known  bool           `json:"known"`
	Counts map[string]int `json:"counts"`
}

// handlePeers registers the methods that peers call.
func (n *Node) handlePeers() {
	for method, handler := range map[string]membership.Handler{
		methodOffer: membership.Typed(func(_ context.Context, p offerParams) (any, error) {
			n.takeOffer(Row{RowID: RowID{tableJobs, p.Part, p.Key}, Value: p.Value, Version: p.Version}, p.Now)
			return true, nil
		}),
		methodAccept: membership.Typed(func(ctx context.Context, p offerParams) (any, error) {
			_, err := n.storeJob(ctx, Row{RowID: RowID{tableJobs, p.Part, p.Key}, Value: p.Value}, 0)
			return err == nil, err
		}),
		methodCancel: membership.Typed(func(ctx context.Context, p stateParams) (any, error) {
			known := false
			err := n.tryCancel(ctx, p.Job, &known)
			return err == nil, err
		}),
		methodState: membership.Typed(func(ctx context.Context, p stateParams) (any, error) {
			return n.localState(ctx, p.Job), nil
		}),
		methodPending: func(ctx context.Context, _ json.RawMessage) (any, error) { return n.localPending(ctx), nil },
		methodLead:    membership.Typed(n.handleLead),
	} {
		n.cfg.Peers.Handle(method, handler)
	}
}

// takeOffer hands a stored row to the term that this node leads.
func (n *Node) takeOffer(row Row, storeNow time.Duration) {
	if t := n.term.Load(); t != nil && t.ctx.Err() == nil {
		t.post(jobRows{[]Row{row}, storeNow})
	}
}

// offer tells the leader of a row that was just stored.
func (n *Node) offer(row Row) {
	if t := n.term.Load(); t != nil && t.ctx.Err() == nil {
		n.takeOffer(row, n.clock.get())
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	n.ask(ctx, methodOffer, offerParams{row.Key, row.Part, row.Value, row.Version, n.clock.get()}, nil)
}

// linkHealth remembers that the leader does not answer.
type linkHealth struct {
	mu    sync.Mutex
	until time.Time
	term  uint64
}

func (l *linkHealth) usable(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term != term || time.Now().After(l.until)
}

func (l *linkHealth) failed(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.until = term, time.Now().Add(linkPause)
}

// ask calls the leader, when there is one that answers.
func (n *Node) ask(ctx context.Context, method string, params, result any) bool {
	leader := n.leader.Load()
	if leader == nil || leader.Released || leader.Node == n.cfg.Node || !n.link.usable(leader.Term) {
		return false
	}
	if err := n.cfg.Peers.Call(ctx, leader.Addr, method, params, result); err != nil {
		if !model.IsKind(err, model.KindExhausted) {
			n.link.failed(leader.Term)
		}
		n.log.WithError(err).WithField("method", method).Debug("leader does not answer")
		return false
	}
	return true
}

// askState asks the leader, or the term that this node leads, for a job's state.
func (n *Node) askState(ctx context.Context, id string) (State, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	if r := n.localState(ctx, id); r.Known {
		return r.State, true
	}
	var r stateResult
	if !n.ask(ctx, methodState, stateParams{id}, &r) || !r.Known {
		return "", false
	}
	return r.State, true
}

// askPending asks the leader for the counts of the queues.
func (n *Node) askPending(ctx context.Context) (map[string]int, bool) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	if r := n.localPending(ctx); r.Known {
		return r.Counts, true
	}
	var r pendingResult
	if !n.ask(ctx, methodPending, struct{}{}, &r) || !r.Known {
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
	r := stateResult{}
	if j := t.jobs[q.id]; j != nil && t.loaded && t.active() {
		r = stateResult{true, j.shown}
	}
	q.reply <- r
}

// pendingQuery asks the loop for the jobs of each queue that have not begun.
type pendingQuery struct{ reply chan pendingResult }

func (q pendingQuery) handle(t *term) {
	r := pendingResult{Counts: map[string]int{}}
	if r.Known = t.loaded && t.active(); r.Known {
		for _, j := range t.jobs {
			if !j.started && !j.over() {
				r.Counts[j.queue]++
			}
		}
	}
	q.reply <- r
}

func (n *Node) localState(ctx context.Context, id string) stateResult {
	q := stateQuery{id, make(chan stateResult, 1)}
	return queryTerm(ctx, n.term.Load(), q, q.reply)
}

func (n *Node) localPending(ctx context.Context) pendingResult {
	q := pendingQuery{make(chan pendingResult, 1)}
	return queryTerm(ctx, n.term.Load(), q, q.reply)
}

// queryTerm puts a question to a term's loop; the zero value means no answer.
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
