package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// The cells share what another one tells of its holes: each hole is used by one of them.
func TestCellsShareHoles(t *testing.T) {
	holes := make([]hole, holesTold)
	for i := range holes {
		holes[i] = hole{MilliCPU: int64(1000 - i), MemoryMB: 10}
	}
	for _, cells := range []int{2, 3, 7, 30} {
		for other := range cells {
			users := map[int64]int{}
			for own := range cells {
				if own == other {
					continue
				}
				for _, h := range ownHoles(holes, own, other, cells) {
					users[h.MilliCPU]++
				}
			}
			for h, n := range users {
				require.Equal(t, 1, n, "hole %d of cell %d of %d", h, other, cells)
			}
			require.Len(t, users, len(holes), "cell %d of %d", other, cells)
		}
	}
}

// Several lost tasks may be lent on one piece of news, as many as find room.
func TestSeveralTasksAreLentAtOnce(t *testing.T) {
	tm := looseTerm(2)
	news := room{Capacity: 10_000, Holes: []hole{{8000, 800, nil}, {5000, 100, nil}, {3000, 5000, []string{"gpu"}}}}
	tm.rooms = func() []cellRoom { return []cellRoom{{1, news, tm.now}} }
	s := &Step{Needs: model.Resources{MilliCPU: 3000, MemoryMB: 200}}
	for i := range 3 { // two in the first hole, none in the second, one in the third
		cell, found := tm.cellWithHole(s, nil)
		require.True(t, found, "task %d", i)
		require.Equal(t, 1, cell)
	}
	_, found := tm.cellWithHole(s, nil)
	require.False(t, found)
	tm.now = tm.now.Add(lendPause / 2)
	_, found = tm.cellWithHole(s, nil)
	require.False(t, found, "the news may not know of the lent tasks")
	tm.now = tm.now.Add(lendPause)
	_, found = tm.cellWithHole(s, []int{1})
	require.False(t, found, "a cell that the job has left")
	_, found = tm.cellWithHole(s, nil)
	require.True(t, found)
}

// A cell tells its largest holes, of workers that take runs.
func TestToldHoles(t *testing.T) {
	tm := looseTerm(2)
	for i := range holesTold + 4 {
		w := testWorker(string(rune('a' + i)))
		w.info.Capacity.MilliCPU = int64(1000 + i)
		tm.workers[w.info.Worker] = w
	}
	tm.workers["a"].info.Draining = true
	holes := tm.largestHoles()
	require.Len(t, holes, holesTold)
	require.Equal(t, int64(1000+holesTold+3), holes[0].MilliCPU)
	require.Greater(t, holes[0].MilliCPU, holes[holesTold-1].MilliCPU)
}

// A task that needs a label is lent only to a worker that has it.
func TestLabelOfLentTask(t *testing.T) {
	tm := looseTerm(2)
	news := room{Capacity: 10_000, Holes: []hole{{8000, 800, []string{"old"}}, {5000, 800, []string{"new"}}}}
	tm.rooms = func() []cellRoom { return []cellRoom{{1, news, tm.now}} }
	s := &Step{Needs: model.Resources{MilliCPU: 3000, MemoryMB: 200}, Label: "new"}
	_, found := tm.cellWithHole(s, nil)
	require.True(t, found)
	_, found = tm.cellWithHole(s, nil)
	require.False(t, found, "the larger hole lacks the label")
}

// A borrowed task has run before: room is kept for it, and it comes before new services.
func TestBorrowedTaskIsARestart(t *testing.T) {
	tm := looseTerm(2)
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: 1000}, Lasting: true}}}}, 5, epoch)
	j.open(epoch, 0, tm.wall)
	wants := tm.occurrenceWants(nil, j, j.occurrences[0], Queue{Name: "q"})
	require.False(t, wants[0].restart)
	j.borrowed = []RowID{movedRow("p", "j/task-0.0")}
	wants = tm.occurrenceWants(nil, j, j.occurrences[0], Queue{Name: "q"})
	require.True(t, wants[0].restart)
}

// A cell tells of its stuck tasks, and the others keep workers free of short work for them.
func TestWorkersAreHeldForOtherCells(t *testing.T) {
	tm := looseTerm(2)
	service := &Step{Lasting: true, Needs: model.Resources{MilliCPU: 7000, MemoryMB: 100}}
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{*service}}}, 5, epoch)
	w := &want{job: j, step: service, queue: Queue{Service: "svc"}}
	tm.noteStuck(w)
	tm.noteStuck(w)
	require.Equal(t, &stuckTask{Service: "svc", MilliCPU: 7000, MemoryMB: 100, Count: 2}, tm.stuck)

	other := looseTerm(2)
	news := room{Capacity: 10_000, Stuck: tm.stuck}
	other.rooms = func() []cellRoom { return []cellRoom{{1, news, other.now}} }
	other.readHoles()
	p := &placement{now: epoch, workers: []*worker{testWorker("a"), testWorker("b"), testWorker("c")}, harm: &other.harm}
	other.holdForOthers(p, "other")
	require.Empty(t, p.held)
	other.holdForOthers(p, "svc")
	require.Len(t, p.held, 2)
}

// Workers that are held for others are few, however many tasks are stuck.
func TestHeldWorkersAreBounded(t *testing.T) {
	tm := looseTerm(2)
	tm.stuckElsewhere = []stuckTask{{Service: "svc", MilliCPU: 1000, MemoryMB: 1, Count: 100}, {Service: "svc", MilliCPU: 1000, MemoryMB: 1, Count: 100}}
	p := &placement{now: epoch, harm: &tm.harm}
	for i := range 3 * heldForOthers {
		p.workers = append(p.workers, testWorker(string(rune('a'+i))))
	}
	tm.holdForOthers(p, "svc")
	require.Len(t, p.held, heldForOthers)
}
