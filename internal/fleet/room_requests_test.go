package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// failingPeers answers no call.
type failingPeers struct{}

func (failingPeers) Handle(string, func(context.Context, json.RawMessage) (any, error)) {}
func (failingPeers) Run(context.Context) error                                          { return nil }
func (failingPeers) Call(context.Context, string, string, any, any) error {
	return errors.New("unknown method")
}

// While a cell asked a leader of an older version, or a busy one, for room, its node sent that leader no submissions,
// no rows of lent tasks and no questions.
func TestFailedRoomRequestSuspendsNoOtherCall(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &Node{cfg: Config{Node: "a", Peers: failingPeers{}}, log: log.WithField("test", true)}
	c := &cell{index: 1}
	c.leader.Store(&leaderSnapshot{leaderRecord: leaderRecord{Term: 7, Node: "b"}})
	n.cellTable.Store(&cellTable{cells: []*cell{{}, c}})
	require.False(t, n.askForRoom(t.Context(), roomRequest{Cell: 1}).Known)
	require.True(t, c.leaderCalls.usable(7))
	require.False(t, n.callLeader(t.Context(), c, methodState, nil, nil))
	require.False(t, c.leaderCalls.usable(7))
}

// The record of loans grew with each loan for as long as no lost task was without room.
func TestLoansAreForgotten(t *testing.T) {
	tm := newTestTerm(2)
	s := &Step{Lasting: true, Needs: model.Resources{MilliCPU: 1000}}
	for range 10 {
		tm.now = tm.now.Add(time.Second)
		tm.recordLoan(1, "svc", s, "")
	}
	require.Len(t, tm.roomExchange(1).loans, 1)
}

// A leader that may give no orders any more repeated its last request, beside those of its successor.
func TestInactiveLeaderAsksForNoRoom(t *testing.T) {
	tm := newTestTerm(2)
	tm.lostUnplaced = []unplacedTask{{Service: "svc", MilliCPU: 1000, Count: 1}}
	tm.askForRoom = func(context.Context, roomRequest) roomAnswer { return roomAnswer{} }
	tm.stopping = true
	tm.requestRoom()
	require.Zero(t, tm.roomExchange(1).requests)
	tm.stopping = false
	tm.requestRoom()
	require.Equal(t, 1, tm.roomExchange(1).requests)
}

// Room that a cell had granted to one cell was granted to another one, too, which came before it in the order of cells.
func TestGrantedRoomIsNotGrantedTwice(t *testing.T) {
	tm := newTestTerm(4)
	tm.loaded, tm.runsKnown, tm.lastRenewal = true, true, tm.now
	w := testWorker("w")
	tm.workers["w"] = w
	tm.workers["full"] = testWorker("full")
	tm.workers["full"].reserved = tm.workers["full"].info.Capacity
	ask := func(from int) int {
		q := roomQuery{roomRequest{From: from, Tasks: []unplacedTask{{Service: "svc", MilliCPU: 10_000, MemoryMB: 1, Count: 1}}}, make(chan roomAnswer, 1)}
		q.handle(tm)
		tm.claimRoom(placements{}, nil)
		a := <-q.reply
		require.True(t, a.Known)
		return len(a.Grants)
	}
	require.Equal(t, 1, ask(2))
	tm.now = tm.now.Add(roomRequestInterval / 2)
	require.Zero(t, ask(1), "cell 2 may lend its task now")
}

// Room stood empty for tasks that might be lost two seconds later, while tasks of another cell had been lost for 30 s.
func TestLostTaskOfAnotherCellGoesBeforeTasksThatMayBeLost(t *testing.T) {
	for name, c := range map[string]struct {
		request roomRequest
		granted int
	}{
		"lost":        {roomRequest{Tasks: []unplacedTask{{Service: "svc", MilliCPU: 10_000, MemoryMB: 1, Count: 1}}}, 1},
		"may be lost": {roomRequest{Expected: []unplacedTask{{Service: "svc", MilliCPU: 10_000, MemoryMB: 1, Count: 1}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tm, w := lostTestTerm(lostTestLoad{0, 0}, lostTestLoad{16_000, 0})
			tm.loaded, tm.runsKnown, tm.lastRenewal = true, true, tm.now
			gone := testWorker("gone")
			gone.listed = false
			tm.workers["gone"] = gone
			for i := range w.state().tasks {
				r := &run{ref: RunRef{w.key(i).Name(w.job.id), 1}, job: w.job, key: w.key(i), worker: gone, step: w.step, reserved: w.step.Reserved(), state: runLive}
				gone.attach(r, tm.now)
				w.state().tasks[i].runs = append(w.state().tasks[i].runs, r)
			}
			c.request.From = 1
			q := roomQuery{c.request, make(chan roomAnswer, 1)}
			q.handle(tm)
			tm.claimRoom(placements{}, nil)
			require.Len(t, (<-q.reply).Grants, c.granted)
			require.Len(t, w.state().claims, 2-c.granted)
		})
	}
}

// Room that became free between two requests was granted with the next one only, up to 0.1 s later, and the answer to
// a request was lost if tasks were lent meanwhile.
func TestRoomIsGrantedWhenItBecomesFree(t *testing.T) {
	tm := newTestTerm(2)
	tm.loaded, tm.runsKnown, tm.lastRenewal = true, true, tm.now
	s := &Step{Lasting: true, Needs: model.Resources{MilliCPU: 4000, MemoryMB: 1}}
	ask := func(wait time.Duration) roomQuery {
		q := roomQuery{roomRequest{From: 1, Tasks: []unplacedTask{unplacedOf("svc", s, 2)}, WaitMS: wait.Milliseconds()}, make(chan roomAnswer, 1)}
		q.handle(tm)
		tm.claimRoom(placements{}, nil)
		return q
	}
	first, second := ask(roomRequestInterval), ask(roomRequestInterval)
	require.Equal(t, roomAnswer{Known: true}, <-first.reply, "a later request takes its place")
	require.Empty(t, second.reply)
	for _, id := range []model.WorkerID{"a", "b", "c"} {
		tm.workers[id] = testWorker(string(id))
	}
	tm.claimRoom(placements{}, nil)
	answer := <-second.reply
	require.Equal(t, 2, answer.Grants[0].Now)

	x := tm.roomExchange(0)
	x.requests = 1
	tm.recordLoan(0, "svc", s, "row")
	roomAnswered{0, 1, answer}.handle(tm)
	require.Equal(t, 1, x.grants[0].Task.Count, "the loan uses one")
	clear(tm.workers)
	late := ask(roomRequestInterval)
	tm.now = tm.now.Add(roomRequestInterval)
	tm.claimRoom(placements{}, nil)
	require.Equal(t, roomAnswer{Known: true}, <-late.reply)
}

// Room was kept for lent tasks that had reached the cell and ran there, so others waited for it for half a second.
func TestNoRoomIsKeptForLentTasksThatHaveArrived(t *testing.T) {
	tm := newTestTerm(2)
	tm.loaded, tm.runsKnown, tm.lastRenewal = true, true, tm.now
	for _, id := range []string{"a", "b", "c", "d", "e"} { // more than it keeps for others
		tm.workers[model.WorkerID(id)] = testWorker(id)
	}
	size := unplacedTask{Service: "svc", MilliCPU: 4000, MemoryMB: 1, Count: 1}
	rows := []string{lentKey("a", taskKey{0, 0, 1}), lentKey("a", taskKey{0, 0, 2}), lentKey("b", taskKey{0, 0, 1})}
	tm.roomRequests[1] = roomRequest{From: 1, Arriving: []unplacedTask{size, size, size}, ArrivingRows: rows, at: tm.now}
	kept := func() (milliCPU int64) {
		tm.claimRoom(placements{}, nil)
		for _, r := range tm.keptForOthers {
			milliCPU += r.MilliCPU
		}
		return milliCPU
	}
	require.Equal(t, int64(12_000), kept())
	borrowed := newJob("a", jobRecord{Spec: Spec{Steps: []Step{{Count: 3, Lasting: true}}}}, 5, epoch)
	borrowed.borrowed = []RowID{movedRow(tm.part, rows[1])}
	tm.jobs[loanKey("a")] = borrowed
	require.Equal(t, int64(8000), kept())
	r := tm.roomRequests[1]
	r.ArrivingRows = nil
	tm.roomRequests[1] = r
	require.Equal(t, int64(12_000), kept(), "a leader of an older version names no rows")
}
