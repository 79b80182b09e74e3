package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// The leader of a cell whose lost lasting tasks have no room there asks the leaders of the other cells for it. A
// leader that is asked keeps room for these tasks behind the lost ones of its own cell and ahead of those that may be
// lost and of all new work, as if it were their claims, and answers what it keeps. So one leader decides who gets the
// room of a cell. Where leaders do not reach each other, the reports in the store serve (cell_capacity.go).

const (
	// roomRequestInterval is the pause between two requests to one cell.
	roomRequestInterval = 100 * time.Millisecond
	// roomRequestTimeout bounds a request.
	roomRequestTimeout = 300 * time.Millisecond
	// roomRequestMaxAge is how long room is kept for a request, and how long its answer counts.
	roomRequestMaxAge = time.Second
	// loanArrival is the time in which the row of a lent task reaches its borrower.
	loanArrival = 500 * time.Millisecond
)

// roomRequest asks a cell to keep room for unplaced tasks of another one. The answer is due once there is some.
type roomRequest struct {
	Cell int `json:"cell"`
	From int `json:"from"`
	// Arriving are tasks that were lent to the cell and may not have reached it yet, Tasks those to be lent.
	// ArrivingRows are the keys of the rows of Arriving; a request of a leader of an older version has none.
	Arriving     []unplacedTask `json:"arriving,omitempty"`
	ArrivingRows []string       `json:"arriving_rows,omitempty"`
	Tasks        []unplacedTask `json:"tasks"`
	// Expected are tasks that may be lost soon.
	Expected []unplacedTask `json:"expected,omitempty"`
	// WaitMS is how long the answer may wait for room.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// at is when the request arrived, since when the first of those that followed each other did.
	at, since time.Time
}

// present reports whether room is kept for the request.
func (r roomRequest) present(now time.Time) bool { return now.Sub(r.at) <= roomRequestMaxAge }

// roomGrant is the room that a cell keeps for tasks of one size. Now counts those that fit at once.
type roomGrant struct {
	Task unplacedTask `json:"task"`
	Now  int          `json:"now"`
}

// roomAnswer is the answer to a request. Known is false if the answering node could not tell.
type roomAnswer struct {
	Known  bool        `json:"known"`
	Grants []roomGrant `json:"grants"`
}

// roomQuery passes a request to the term's loop.
type roomQuery struct {
	request roomRequest
	reply   chan roomAnswer
}

func (q roomQuery) handle(t *term) {
	if !t.active() || !t.allRunsKnown() {
		q.reply <- roomAnswer{}
		return
	}
	q.request.at, q.request.since = t.now, t.now
	if before := t.roomRequests[q.request.From]; before.present(t.now) {
		q.request.since = before.since
	}
	t.roomRequests[q.request.From] = q.request
	t.roomQueries = slices.DeleteFunc(t.roomQueries, func(earlier roomQuery) bool {
		if earlier.request.From != q.request.From {
			return false
		}
		earlier.reply <- roomAnswer{Known: true}
		return true
	})
	t.roomQueries, t.planDue = append(t.roomQueries, q), true
}

// answerRoomRequests answers requests with what the present plan keeps. Those for which it keeps nothing may wait.
func (t *term) answerRoomRequests() {
	t.roomQueries = slices.DeleteFunc(t.roomQueries, func(q roomQuery) bool {
		grants := t.roomGrants[q.request.From]
		if len(grants) == 0 && t.now.Sub(q.request.at).Milliseconds() < q.request.WaitMS {
			return false
		}
		q.reply <- roomAnswer{true, grants}
		return true
	})
}

// askForRoom asks the leader of a cell, which may be this node, to keep room.
func (n *Node) askForRoom(ctx context.Context, r roomRequest) roomAnswer {
	ctx, cancel := context.WithTimeout(ctx, roomRequestTimeout)
	defer cancel()
	c := n.cell(r.Cell)
	if c == nil {
		return roomAnswer{}
	}
	a := localRoom(ctx, c, r)
	if !a.Known {
		// An older version does not know the method, and a busy leader may miss the short timeout.
		if _, err := n.tryLeader(ctx, c, methodRoom, r, &a); err != nil {
			return roomAnswer{}
		}
	}
	return a
}

func localRoom(ctx context.Context, c *cell, r roomRequest) roomAnswer {
	q := roomQuery{r, make(chan roomAnswer, 1)}
	return queryCell(ctx, c, q, q.reply)
}

// roomExchange is what a leader knows of another cell's room for its tasks.
type roomExchange struct {
	// requests counts the requests, answeredRequest is the last one with an answer. granted means that room was
	// granted since the last request.
	requests, answeredRequest int
	granted                   bool
	// keepsRoom means that the last request named tasks.
	keepsRoom           bool
	askedAt, answeredAt time.Time
	grants              []roomGrant
	// loans are the tasks that were lent to the cell lately.
	loans []recentLoan
}

// recentLoan is a task that was lent to another cell.
type recentLoan struct {
	task    unplacedTask
	row     string // the key of its row
	at      time.Time
	request int // the last request before it
}

// answered reports whether the cell has answered a request lately.
func (x *roomExchange) answered(now time.Time) bool {
	return now.Sub(x.answeredAt) <= roomRequestMaxAge
}

// forgetLoans forgets the loans that have arrived.
func (x *roomExchange) forgetLoans(now time.Time) {
	x.loans = slices.DeleteFunc(x.loans, func(l recentLoan) bool { return now.Sub(l.at) > loanArrival })
}

// roomExchange returns the exchange with another cell.
func (t *term) roomExchange(cell int) *roomExchange {
	if t.roomExchanges[cell] == nil {
		t.roomExchanges[cell] = &roomExchange{}
	}
	return t.roomExchanges[cell]
}

// requestRoom asks all other cells for room while lost tasks of this one have none. A last request without tasks
// ends what they keep.
func (t *term) requestRoom() {
	if t.askForRoom == nil || !t.active() {
		return
	}
	asks := len(t.lostUnplaced)+len(t.expectedUnplaced) > 0
	for cell := range t.layout.Cells {
		x := t.roomExchange(cell)
		idle := !asks && !x.keepsRoom
		if cell == t.cell || idle || (t.now.Sub(x.askedAt) < roomRequestInterval && !x.granted) {
			continue
		}
		x.granted, x.askedAt, x.keepsRoom = false, t.now, asks
		x.requests++
		x.forgetLoans(t.now)
		r := roomRequest{Cell: cell, From: t.cell, Tasks: slices.Clone(t.lostUnplaced), Expected: slices.Clone(t.expectedUnplaced)}
		if asks {
			r.WaitMS = roomRequestInterval.Milliseconds()
		}
		for _, l := range x.loans {
			r.Arriving, r.ArrivingRows = append(r.Arriving, l.task), append(r.ArrivingRows, l.row)
		}
		n := x.requests
		go func() { t.post(roomAnswered{cell, n, t.askForRoom(t.ctx, r)}) }()
	}
}

// roomAnswered is the answer of another cell to a request.
type roomAnswered struct {
	cell, request int
	answer        roomAnswer
}

func (e roomAnswered) handle(t *term) {
	x := t.roomExchange(e.cell)
	if !e.answer.Known || e.request < x.answeredRequest {
		return
	}
	x.answeredRequest, x.answeredAt, x.grants = e.request, t.now, e.answer.Grants
	x.granted = len(x.grants) > 0
	t.planDue = t.planDue || x.granted
	t.lostMayStart = t.lostMayStart || x.granted && len(t.lostUnplaced) > 0
	for _, l := range x.loans {
		if l.request >= e.request { // the request did not name it
			x.deduct(l.task)
		}
	}
}

// deduct takes the room for a task from the grants.
func (x *roomExchange) deduct(u unplacedTask) {
	for i := range x.grants {
		g := &x.grants[i]
		if same := g.Task; same.Count > 0 {
			if same.Count = u.Count; same == u {
				g.Task.Count, g.Now = g.Task.Count-1, max(g.Now-1, 0)
				return
			}
		}
	}
}

// takeGrant returns a cell that keeps room for a task of s, preferably room that is free now, and deducts the task.
// It excludes one cell; none if excluded is negative.
func (t *term) takeGrant(s *Step, excluded int) (cell int, found bool) {
	var best *roomGrant
	for _, other := range slices.Sorted(maps.Keys(t.roomExchanges)) {
		x := t.roomExchanges[other]
		if other == excluded || !x.answered(t.now) {
			continue
		}
		for i := range x.grants {
			g := &x.grants[i]
			if g.Task.Count > 0 && g.Task.isFor(s) && (best == nil || (g.Now > 0 && best.Now == 0)) {
				best, cell = g, other
			}
		}
	}
	if best == nil {
		return 0, false
	}
	best.Task.Count--
	best.Now = max(best.Now-1, 0)
	return cell, true
}

// recordLoan notes that a task was lent to a cell by the row with a key.
func (t *term) recordLoan(cell int, service model.ServiceName, s *Step, row string) {
	x := t.roomExchange(cell)
	x.forgetLoans(t.now)
	x.loans = append(x.loans, recentLoan{unplacedOf(service, s, 1), row, t.now, x.requests})
}

// lostTasks returns the tasks of r that are known to be lost: those that were lent, and those to be lent.
func (r roomRequest) lostTasks() (arriving, asked []unplacedTask) { return r.Arriving, r.Tasks }

// expectedTasks returns the tasks of r that may be lost soon.
func (r roomRequest) expectedTasks() (arriving, asked []unplacedTask) { return nil, r.Expected }

// reserveForOtherCells keeps room that is free within a limit for some of the tasks of other cells, behind the claims
// that there are. Otherwise short tasks would use any freed capacity at once, and the tasks that are lent to the cell
// would wait for it.
func (t *term) reserveForOtherCells(pools placements, requests []presentRequest, tasks func(roomRequest) (arriving, asked []unplacedTask), limit time.Duration) {
	for _, r := range requests {
		arriving, asked := tasks(r.roomRequest)
		t.keepRoom(pools, arriving, r.share, limit)
		t.roomGrants[r.from] = append(t.roomGrants[r.from], t.keepRoom(pools, asked, r.share, limit)...)
	}
}

// presentRequest is a request of another cell that counts, with the tasks for which no room is kept yet, and its share
// of the room.
type presentRequest struct {
	roomRequest
	from  int
	share roomShare
}

// presentRequests returns the requests of other cells that count. The report of a cell takes the place of its request
// if there is none. The cell that asked first goes first, so that what was granted is granted again.
func (t *term) presentRequests() []presentRequest {
	byCell := map[int]roomRequest{}
	for from, task := range t.reportedUnplaced {
		byCell[from] = roomRequest{Tasks: []unplacedTask{task}}
	}
	for from, r := range t.roomRequests {
		if r.present(t.now) {
			r.Arriving = t.stillArriving(r)
			byCell[from] = r
		}
	}
	requests := make([]presentRequest, 0, len(byCell))
	for from, r := range byCell {
		r.Arriving, r.Tasks, r.Expected = slices.Clone(r.Arriving), slices.Clone(r.Tasks), slices.Clone(r.Expected)
		requests = append(requests, presentRequest{r, from, roomShare{len(byCell), map[model.ServiceName]int{}}})
	}
	slices.SortFunc(requests, func(a, b presentRequest) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.from, b.from))
	})
	return requests
}

// stillArriving returns the tasks of r that were lent to this cell and have not reached it. Those that have, run or
// have claims.
func (t *term) stillArriving(r roomRequest) []unplacedTask {
	if len(r.ArrivingRows) != len(r.Arriving) {
		return r.Arriving
	}
	var arriving []unplacedTask
	for i, row := range r.ArrivingRows {
		if !t.hasBorrowed(row) {
			arriving = append(arriving, r.Arriving[i])
		}
	}
	return arriving
}

// roomShare is the part of the kept room that one of several cells gets.
type roomShare struct {
	cells int
	// used counts the tasks for which room is kept, by service.
	used map[model.ServiceName]int
}

// left returns for how many more tasks of a service room may be kept.
func (s roomShare) left(p *placement) int {
	return max(len(p.workers)*maxReservedPercent/100/s.cells, 1) - s.used[p.service]
}

// keepRoom keeps room that is free within a limit for unplaced tasks of another cell, and deducts those from them.
func (t *term) keepRoom(pools placements, tasks []unplacedTask, share roomShare, limit time.Duration) []roomGrant {
	var grants []roomGrant
	for i := range tasks {
		u := &tasks[i]
		p := t.placementOf(pools, u.Service)
		step := u.asStep()
		g := roomGrant{Task: *u}
		g.Task.Count = 0
		for u.Count > 0 && share.left(p) > 0 {
			w := p.soonest(taskRequest{step: &step}, limit)
			if w == nil {
				break
			}
			p.claimed[w] = p.claimed[w].Add(step.Reserved())
			if p.waitFor(w, p.claimed[w]) == 0 {
				g.Now++
			}
			t.keptForOthers[w] = t.keptForOthers[w].Add(step.Reserved())
			g.Task.Count++
			u.Count--
			share.used[u.Service]++
		}
		if g.Task.Count > 0 {
			grants = append(grants, g)
		}
	}
	return grants
}
