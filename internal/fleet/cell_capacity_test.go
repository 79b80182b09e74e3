package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// The cells share what another one tells of its holes: each hole is used by one of them.
func TestCellsDivideReportedCapacity(t *testing.T) {
	holes := make([]freeCapacity, maxReportedFree)
	for i := range holes {
		holes[i] = freeCapacity{MilliCPU: int64(1000 - i), MemoryMB: 10}
	}
	for _, cells := range []int{2, 3, 7, 30} {
		for other := range cells {
			users := map[int64]int{}
			for own := range cells {
				if own == other {
					continue
				}
				for _, h := range freeShareOfCell(holes, own, other, cells) {
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
	tm := newTestTerm(2)
	news := cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{8000, 800, nil}, {5000, 100, nil}, {3000, 5000, []string{"gpu"}}}}
	tm.cellLoads = func() []reportedLoad { return []reportedLoad{{1, news, tm.now}} }
	s := &Step{Needs: model.Resources{MilliCPU: 3000, MemoryMB: 200}}
	for i := range 3 { // two in the first hole, none in the second, one in the third
		cell, found := tm.takeRemoteCapacity(s, nil)
		require.True(t, found, "task %d", i)
		require.Equal(t, 1, cell)
	}
	_, found := tm.takeRemoteCapacity(s, nil)
	require.False(t, found)
	tm.now = tm.now.Add(remoteFreeInterval / 2)
	_, found = tm.takeRemoteCapacity(s, nil)
	require.False(t, found, "the news may not know of the lent tasks")
	tm.now = tm.now.Add(remoteFreeInterval)
	_, found = tm.takeRemoteCapacity(s, []int{1})
	require.False(t, found, "a cell that the job has left")
	_, found = tm.takeRemoteCapacity(s, nil)
	require.True(t, found)
}

// A cell tells its largest holes, of workers that take runs.
func TestReportedFreeCapacity(t *testing.T) {
	tm := newTestTerm(2)
	for i := range maxReportedFree + 4 {
		w := testWorker(string(rune('a' + i)))
		w.info.Capacity.MilliCPU = int64(1000 + i)
		tm.workers[w.info.Worker] = w
	}
	tm.workers["a"].info.Draining = true
	holes := tm.largestFree()
	require.Len(t, holes, maxReportedFree)
	require.Equal(t, int64(1000+maxReportedFree+3), holes[0].MilliCPU)
	require.Greater(t, holes[0].MilliCPU, holes[maxReportedFree-1].MilliCPU)
}

// A task that needs a label is lent only to a worker that has it.
func TestLabelOfLentTask(t *testing.T) {
	tm := newTestTerm(2)
	news := cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{8000, 800, []string{"old"}}, {5000, 800, []string{"new"}}}}
	tm.cellLoads = func() []reportedLoad { return []reportedLoad{{1, news, tm.now}} }
	s := &Step{Needs: model.Resources{MilliCPU: 3000, MemoryMB: 200}, Label: "new"}
	_, found := tm.takeRemoteCapacity(s, nil)
	require.True(t, found)
	_, found = tm.takeRemoteCapacity(s, nil)
	require.False(t, found, "the larger hole lacks the label")
}

// A borrowed task has run before: room is kept for it, and it comes before new services.
func TestBorrowedTaskIsARestart(t *testing.T) {
	tm := newTestTerm(2)
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: 1000}, Lasting: true}}}}, 5, epoch)
	j.openDue(epoch, 0, tm.monotonicTime)
	waiting := tm.appendWaitingSteps(nil, j, j.occurrences[0], Queue{Name: "q"})
	require.False(t, waiting[0].restart)
	j.borrowed = []RowID{movedRow("p", "j/task-0.0")}
	waiting = tm.appendWaitingSteps(nil, j, j.occurrences[0], Queue{Name: "q"})
	require.True(t, waiting[0].restart)
}

// A cell tells of its stuck tasks, and the others keep workers free of short work for them.
func TestWorkersAreReservedForOtherCells(t *testing.T) {
	tm := newTestTerm(2)
	service := &Step{Lasting: true, Needs: model.Resources{MilliCPU: 7000, MemoryMB: 100}}
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{*service}}}, 5, epoch)
	w := &waitingStep{job: j, step: service, queue: Queue{Service: "svc"}}
	tm.recordUnplaced(w)
	tm.recordUnplaced(w)
	require.Equal(t, &unplacedTask{Service: "svc", MilliCPU: 7000, MemoryMB: 100, Count: 2}, tm.unplaced)

	other := newTestTerm(2)
	news := cellLoad{Capacity: 10_000, Unplaced: tm.unplaced}
	other.cellLoads = func() []reportedLoad { return []reportedLoad{{1, news, other.now}} }
	other.refreshRemoteCapacity()
	p := &placement{now: epoch, workers: []*worker{testWorker("a"), testWorker("b"), testWorker("c")}, interference: &other.interference}
	other.reserveForOtherCells(p, "other")
	require.Empty(t, p.reservedWorkers)
	other.reserveForOtherCells(p, "svc")
	require.Len(t, p.reservedWorkers, 2)
}

// Workers that are held for others are few, however many tasks are stuck.
func TestReservedWorkersAreBounded(t *testing.T) {
	tm := newTestTerm(2)
	tm.unplacedInOtherCells = []unplacedTask{{Service: "svc", MilliCPU: 1000, MemoryMB: 1, Count: 100}, {Service: "svc", MilliCPU: 1000, MemoryMB: 1, Count: 100}}
	p := &placement{now: epoch, interference: &tm.interference}
	for i := range 3 * maxReservedForOtherCells {
		p.workers = append(p.workers, testWorker(string(rune('a'+i))))
	}
	tm.reserveForOtherCells(p, "svc")
	require.Len(t, p.reservedWorkers, maxReservedForOtherCells)
}
