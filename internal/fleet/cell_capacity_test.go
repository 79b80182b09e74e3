package fleet

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/model"
)

// If two cells used the same free capacity of a third cell, both would lend it a task and one
// would not fit. So each reported entry must be assigned to exactly one other cell.
func TestCellsDivideReportedCapacity(t *testing.T) {
	reported := make([]freeCapacity, maxReportedFree)
	for i := range reported {
		reported[i] = freeCapacity{MilliCPU: int64(1000 - i), MemoryMB: 10}
	}
	for _, cells := range []int{2, 3, 7, 30} {
		for other := range cells {
			users := map[int64]int{}
			for own := range cells {
				if own == other {
					continue
				}
				for _, h := range (capacityShares{own: own, cells: cells}).of(other, reported) {
					users[h.MilliCPU]++
				}
			}
			for h, n := range users {
				require.Equal(t, 1, n, "free capacity %d of cell %d of %d", h, other, cells)
			}
			require.Len(t, users, len(reported), "cell %d of %d", other, cells)
		}
	}
}

// The only free worker of a cell belonged to the share of one other cell, whether that needed it or
// not, so lost tasks of all others waited for good. It must go to a cell that reports a task which
// fits there, and still to one cell only.
func TestUnneededShareGoesToCellsWithUnplacedTasks(t *testing.T) {
	const cells = 4
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		unplaced := map[int]unplacedTask{}
		for cell := range cells {
			if random.IntN(2) == 0 {
				unplaced[cell] = unplacedTask{MilliCPU: int64(1 + random.IntN(3)), Count: 1}
			}
		}
		other, free := random.IntN(cells), freeCapacity{MilliCPU: int64(1 + random.IntN(3))}
		var users, needing []int
		for own := range cells {
			if own == other {
				continue
			}
			if len((capacityShares{own, cells, unplaced}).of(other, []freeCapacity{free})) > 0 {
				users = append(users, own)
			}
			if u, known := unplaced[own]; known && u.MilliCPU <= free.MilliCPU {
				needing = append(needing, own)
			}
		}
		require.Len(t, users, 1, "%v", unplaced)
		if len(needing) > 0 {
			require.Contains(t, needing, users[0], "%v", unplaced)
		}
	}
}

// A cell that does not report an unplaced task yet must not use the shares of others, which it would
// do in the same moment as they do.
func TestCellClaimsNoShareBeforeOthersKnowOfItsTask(t *testing.T) {
	tm := newTestTerm(4)
	load := cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{8000, 800, nil}}}
	tm.cellLoads = func() []reportedLoad { return []reportedLoad{{1, load, tm.now}} } // the share of cell 2
	s := &Step{Lasting: true, Needs: model.Resources{MilliCPU: 3000, MemoryMB: 200}}
	tm.recordUnplaced("svc", s, true, 1)
	tm.observeReportedUnplaced()
	_, found := tm.takeRemoteCapacity(s, false, -1)
	require.False(t, found)
	tm.now = tm.now.Add(unplacedKnownAfter)
	_, found = tm.takeRemoteCapacity(s, false, -1)
	require.True(t, found)
	tm.unplaced = nil
	tm.observeReportedUnplaced()
	tm.now = tm.now.Add(remoteFreeInterval)
	_, found = tm.takeRemoteCapacity(s, false, -1)
	require.False(t, found)
}

// Several lost tasks may be lent on the basis of one load report, as many as fit into the
// reported free capacity. Without subtracting the tasks that are already lent, a cell would
// lend more than the other one has capacity for.
func TestSeveralTasksAreLentAtOnce(t *testing.T) {
	tm := newTestTerm(2)
	load := cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{8000, 800, nil}, {5000, 100, nil}, {3000, 5000, []string{"gpu"}}}}
	tm.cellLoads = func() []reportedLoad { return []reportedLoad{{1, load, tm.now}} }
	s := &Step{Needs: model.Resources{MilliCPU: 3000, MemoryMB: 200}}
	for i := range 3 { // two on the first worker, none on the second, one on the third
		cell, found := tm.takeRemoteCapacity(s, false, -1)
		require.True(t, found, "task %d", i)
		require.Equal(t, 1, cell)
	}
	_, found := tm.takeRemoteCapacity(s, false, -1)
	require.False(t, found)
	tm.now = tm.now.Add(remoteFreeInterval / 2)
	_, found = tm.takeRemoteCapacity(s, false, -1)
	require.False(t, found, "the report may not include the lent tasks yet")
	tm.now = tm.now.Add(remoteFreeInterval)
	_, found = tm.takeRemoteCapacity(s, false, 1)
	require.False(t, found, "the only cell with capacity is excluded")
	_, found = tm.takeRemoteCapacity(s, false, -1)
	require.True(t, found)
}

// A cell reports the largest free capacities, and only those of workers that accept runs:
// capacity of a draining worker would attract tasks that cannot start there.
func TestReportedFreeCapacity(t *testing.T) {
	tm := newTestTerm(2)
	for i := range maxReportedFree + 4 {
		w := testWorker(string(rune('a' + i)))
		w.info.Capacity.MilliCPU = int64(1000 + i)
		tm.workers[w.info.Worker] = w
	}
	tm.workers["a"].info.Draining = true
	reported := tm.largestFree()
	require.Len(t, reported, maxReportedFree)
	require.Equal(t, int64(1000+maxReportedFree+3), reported[0].MilliCPU)
	require.Greater(t, reported[0].MilliCPU, reported[maxReportedFree-1].MilliCPU)
}

// A task that needs a label is lent only for free capacity on a worker with that label.
func TestLabelOfLentTask(t *testing.T) {
	tm := newTestTerm(2)
	load := cellLoad{Capacity: 10_000, LargestFree: []freeCapacity{{8000, 800, []string{"old"}}, {5000, 800, []string{"new"}}}}
	tm.cellLoads = func() []reportedLoad { return []reportedLoad{{1, load, tm.now}} }
	s := &Step{Needs: model.Resources{MilliCPU: 3000, MemoryMB: 200}, Label: "new"}
	_, found := tm.takeRemoteCapacity(s, false, -1)
	require.True(t, found)
	_, found = tm.takeRemoteCapacity(s, false, -1)
	require.False(t, found, "the worker with more free capacity lacks the label")
}

// A borrowed task has run before in the lending cell, so it counts as a restart: a worker is
// reserved for it, and it is placed before new services.
func TestBorrowedTaskCountsAsRestart(t *testing.T) {
	tm := newTestTerm(2)
	j := newJob("j", jobRecord{Queue: "q", Spec: Spec{Steps: []Step{{Count: 1, Needs: model.Resources{MilliCPU: 1000}, Lasting: true}}}}, 5, epoch)
	j.openDue(epoch, 0, tm.monotonicTime)
	waiting := tm.appendWaitingSteps(nil, j, j.occurrences[0], Queue{Name: "q"})
	require.False(t, waiting[0].restart)
	j.borrowed = []RowID{movedRow("p", "j/task-0.0")}
	waiting = tm.appendWaitingSteps(nil, j, j.occurrences[0], Queue{Name: "q"})
	require.True(t, waiting[0].restart)
}

// A cell reports the lasting tasks that it cannot place, and the other cells keep room
// for them. Otherwise short work would use all free capacity at once, and no cell would report
// enough for them.
func TestWorkersAreReservedForOtherCells(t *testing.T) {
	tm := newTestTerm(2)
	service := &Step{Lasting: true, Needs: model.Resources{MilliCPU: 7000, MemoryMB: 100}}
	tm.recordUnplaced("svc", service, true, 1)
	tm.recordUnplaced("svc", service, true, 1)
	require.Equal(t, &unplacedTask{Service: "svc", MilliCPU: 7000, MemoryMB: 100, Count: 2}, tm.unplaced)

	other := newTestTerm(2)
	load := cellLoad{Capacity: 10_000, Unplaced: tm.unplaced}
	other.cellLoads = func() []reportedLoad { return []reportedLoad{{1, load, other.now}} }
	other.refreshRemoteCapacity()
	for _, id := range []model.WorkerID{"a", "b", "c", "d"} {
		other.workers[id] = testWorker(string(id))
	}
	other.workers["d"].info.Service = "other"
	pools := placements{}
	other.reserveForOtherCells(pools, other.presentRequests(), roomRequest.lostTasks, maxClaimWait)
	kept := model.Resources{}
	for w, r := range other.keptForOthers {
		kept = kept.Add(r)
		require.NotEqual(t, "other", string(w.info.Service))
		require.False(t, pools["svc"].feasible(w, taskRequest{step: &Step{Needs: model.Resources{MilliCPU: 10_000}}}), "new work may not use it")
	}
	require.Equal(t, model.Resources{MilliCPU: 14_000, MemoryMB: 200}, kept)
}

// The room that is kept for other cells is bounded, however many unplaced tasks they report.
func TestReservedWorkersAreBounded(t *testing.T) {
	tm := newTestTerm(2)
	tm.reportedUnplaced = map[int]unplacedTask{1: {Service: "svc", MilliCPU: 10_000, MemoryMB: 1, Count: 100}}
	for i := range 30 {
		w := testWorker(string(rune('a' + i)))
		tm.workers[w.info.Worker] = w
	}
	tm.reserveForOtherCells(placements{}, tm.presentRequests(), roomRequest.lostTasks, maxClaimWait)
	require.Len(t, tm.keptForOthers, 30*maxReservedPercent/100)
}
