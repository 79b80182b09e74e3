package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/fleet"
	"github.com/vanillapier/vanillapier/internal/fleet/fleettest"
	"github.com/vanillapier/vanillapier/internal/model"
)

const (
	// lostLease is the length of leases in plays of lost tasks: a loss is known some 0.3 s later.
	lostLease = 2000 * time.Millisecond
	// leaseOfLeaders is the longest lease that leaders grant.
	leaseOfLeaders = 5 * time.Second
	// shortTaskMin and shortTaskMax bound the run times of short tasks.
	shortTaskMin, shortTaskMax = 500 * time.Millisecond, 2500 * time.Millisecond
	// lostTaskLimit is the time from its last run in which a lost task must run again. The loss is known before
	// half of it, and the short tasks that ran then have ended before the rest is over.
	lostTaskLimit = 6 * time.Second
)

// Numbers of the first job of each kind in plays of lost tasks; the lost tasks are those of job 0.
const (
	firstLargeJob = 1000
	firstSmallJob = 2000
	firstShortJob = 3000
)

var (
	largePart = model.Resources{MilliCPU: 6700, MemoryMB: 500}
	smallPart = model.Resources{MilliCPU: 1000, MemoryMB: 500}
)

// lostTasksCase is a fleet of which lasting tasks fill some workers, which are lost. Services reserve a small and a
// large part of each other worker. Where they leave a part, short work takes it, of which more waits all the time.
type lostTasksCase struct {
	cells, workers, lostWorkers, tasksPerWorker int
	needs                                       model.Resources // of a lost task
	// leaves reports whether the services of a kind, by its first job, leave the workers of the cell of the lost
	// tasks, or of others.
	leaves func(first int, sameCell bool) bool
	// priorities are those of the queues of short work; that of services is 1.
	priorities []int
	lease      time.Duration
	stop       time.Duration // how long a stop takes; 0 for the usual time
}

// lostTasksPlay is a play of a case.
type lostTasksPlay struct {
	lostTasksCase
	*fleettest.Cluster
	log     bytes.Buffer
	ownCell []*fleettest.Worker // the workers of the cell of the lost tasks
	lostAt  time.Time
}

// manyCells is a case of large lost tasks in one of some cells, and manyLost one of many small ones.
func manyCells(cells int) lostTasksCase {
	return lostTasksCase{cells: cells, workers: 24 * cells, lostWorkers: min(6*cells, 18), tasksPerWorker: 2, needs: model.Resources{MilliCPU: 3500, MemoryMB: 500},
		leaves:     func(first int, sameCell bool) bool { return first == firstLargeJob && !sameCell },
		priorities: []int{1}, lease: lostLease}
}

func manyLost(tasksPerWorker int, priorities ...int) lostTasksCase {
	return lostTasksCase{cells: 1, workers: 30, lostWorkers: 21 / tasksPerWorker, tasksPerWorker: tasksPerWorker, needs: model.Resources{MilliCPU: 7700 / int64(tasksPerWorker), MemoryMB: 500},
		leaves:     func(first int, _ bool) bool { return first == firstLargeJob },
		priorities: priorities, lease: lostLease}
}

// play starts the services and the short work, calls test before any worker is lost, and returns the play after its
// end.
func (lc lostTasksCase) play(t *testing.T, seed uint64, test func(*testing.T, *lostTasksPlay)) *lostTasksPlay {
	t.Helper()
	p := &lostTasksPlay{lostTasksCase: lc}
	var queues []fleet.Queue
	prepare := func() *fleettest.Cluster {
		p.Cluster = fleettest.NewCluster(seed, max(3, lc.cells), lc.workers, p.task)
		p.Cells, p.Workers.LeaseMax, p.Log = lc.cells, lc.lease, &p.log
		if lc.stop > 0 {
			p.Workers.StopTime = lc.stop
		}
		p.Queue.Priority = 1
		for i, priority := range lc.priorities {
			queues = append(queues, p.AddQueue(uint64(2+i), "short"+strconv.Itoa(i), priority))
		}
		return p.Cluster
	}
	runClusterWith(t, prepare, func(t *testing.T, c *fleettest.Cluster) {
		submit(t, c, jobID(0), lastingStep(lc.lostTasks(), lc.needs))
		time.Sleep(time.Second)
		require.Len(t, p.workersOfLostTasks(), lc.lostWorkers)
		others := lc.workers - lc.lostWorkers
		for _, first := range []int{firstLargeJob, firstSmallJob} {
			for i := range others + others/2 { // cells fill unevenly
				submit(t, c, jobID(first+i), lastingStep(1, partOf(first)))
			}
			time.Sleep(8 * time.Second)
		}
		p.cancelServices(t)
		defer p.streamShortWork(queues)()
		time.Sleep(8 * time.Second)
		test(t, p)
	})
	return p
}

func (lc lostTasksCase) lostTasks() int { return lc.lostWorkers * lc.tasksPerWorker }

func lastingStep(count int, needs model.Resources) fleet.Spec {
	return fleet.Spec{Steps: []fleet.Step{{Count: count, Needs: needs, Lasting: true}}}
}

// partOf returns what services need by the first job of their kind.
func partOf(first int) model.Resources {
	if first == firstLargeJob {
		return largePart
	}
	return smallPart
}

// task is the behaviour of the tasks of a play.
func (p *lostTasksPlay) task(name fleet.TaskName) fleettest.Task {
	job, _, _ := strings.Cut(string(name), ".")
	n, _ := strconv.ParseInt(job, 16, 64) // all jobs of a play have numbers
	switch i := int(n) - 1; {
	case i < firstLargeJob:
		return fleettest.Task{Lasting: true, Needs: p.needs}
	case i < firstShortJob:
		return fleettest.Task{Lasting: true, Needs: partOf(i / 1000 * 1000)}
	default:
		work := shortTaskMin + time.Duration(xxhash.Sum64String(string(name)))%(shortTaskMax-shortTaskMin)
		return fleettest.Task{Work: work, Needs: shortNeeds(i)}
	}
}

func shortNeeds(job int) model.Resources {
	return model.Resources{MilliCPU: int64(500 + 250*(job%3)), MemoryMB: 100}
}

// workersOfLostTasks returns the workers that run tasks which will be lost, or have been.
func (p *lostTasksPlay) workersOfLostTasks() []*fleettest.Worker {
	return slices.DeleteFunc(p.RunningWorkers(), func(w *fleettest.Worker) bool { return !p.Workers.RunsTask(w, jobID(0)+".") })
}

// cellOf returns the cell of each worker.
func (p *lostTasksPlay) cellOf(t *testing.T) map[model.WorkerID]int {
	cells := map[model.WorkerID]int{}
	for _, m := range p.Nodes {
		for _, c := range m.Node.Inspect(t.Context(), "").Cells {
			if c.Fleet != nil {
				for _, w := range c.Fleet.Workers {
					cells[w.Worker] = c.Cell
				}
			}
		}
	}
	return cells
}

// cancelServices cancels the services that leave their workers, or found none.
func (p *lostTasksPlay) cancelServices(t *testing.T) {
	cells := p.cellOf(t)
	own := cells[p.workersOfLostTasks()[0].Info.Worker]
	for _, w := range p.RunningWorkers() {
		if cells[w.Info.Worker] == own {
			p.ownCell = append(p.ownCell, w)
		}
	}
	for _, first := range []int{firstLargeJob, firstSmallJob} {
		for i := range 2 * p.workers {
			id := jobID(first + i)
			at := slices.IndexFunc(p.RunningWorkers(), func(w *fleettest.Worker) bool { return p.Workers.RunsTask(w, id+".") })
			if at >= 0 && !p.leaves(first, slices.Contains(p.ownCell, p.RunningWorkers()[at])) {
				continue
			}
			if err := p.Nodes[0].Node.Cancel(t.Context(), p.Queue, id); !model.IsKind(err, model.KindGone) {
				require.NoError(t, err)
				p.Checker.Cancelled(id)
			}
		}
	}
}

// streamShortWork submits short jobs in each queue until the returned function is called: more than workers can
// run.
func (p *lostTasksPlay) streamShortWork(queues []fleet.Queue) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	submitOne := func(q fleet.Queue, n int) {
		call, done := context.WithTimeout(ctx, 3*time.Second)
		defer done()
		step := fleet.Step{Count: p.workers / len(queues), Needs: shortNeeds(n), Estimate: (shortTaskMin + shortTaskMax) / 2}
		if node := p.Nodes[n%len(p.Nodes)].Running(); node != nil {
			_ = node.Submit(call, q, jobID(n), fleet.Spec{Steps: []fleet.Step{step}}) // a job less changes nothing
		}
	}
	for i, q := range queues {
		go func() {
			for n := firstShortJob + i; ctx.Err() == nil; n += len(queues) {
				go submitOne(q, n)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	return cancel
}

// awaitShortWork waits for a moment at which short work leaves room for less than half of the tasks that will be
// lost: ends of short tasks are reported some at a time, and their room stands empty until then.
func (p *lostTasksPlay) awaitShortWork(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(shortTaskMax); p.Workers.Room(p.needs) >= p.lostTasks()/2 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	require.Less(t, p.Workers.Room(p.needs), p.lostTasks()/2, "short work fills the workers")
}

// lose ends the workers of the lost tasks for good.
func (p *lostTasksPlay) lose() {
	loseWorkers(p.Cluster, p.workersOfLostTasks()...)
	p.lostAt = time.Now()
}

// awaitLostTasks waits until all lost tasks run again and returns the times at which they started, the earliest
// first. A task that does not start within limit counts as started then.
func (p *lostTasksPlay) awaitLostTasks(limit time.Duration) []time.Time {
	end := p.lostAt.Add(limit)
	for len(p.Checker.Running(jobID(0))) < p.lostTasks() && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
	}
	runs := p.Checker.LastingRuns()
	var starts []time.Time
	for i := range p.lostTasks() {
		start := end
		for _, span := range runs[fleet.TaskName(jobID(0)+".0.0."+strconv.Itoa(i))] {
			if span.From.After(p.lostAt) && span.From.Before(start) {
				start = span.From
			}
		}
		starts = append(starts, start)
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

// requireInTime loses the tasks of a case and checks that they run again in time on room that short tasks held.
func (lc lostTasksCase) requireInTime(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		lc.play(t, seed, func(t *testing.T, p *lostTasksPlay) {
			room := func(workers []*fleettest.Worker) int { return p.Workers.RoomBesideLasting(workers, p.needs) }
			p.awaitShortWork(t)
			require.GreaterOrEqual(t, room(p.RunningWorkers()), p.lostTasks()*3/2, "there is room once short tasks end")
			if p.cells > 1 {
				require.Zero(t, room(p.ownCell), "in other cells")
			}
			p.lose()
			starts := p.awaitLostTasks(30 * time.Second)
			t.Log(starts[len(starts)/2].Sub(p.lostAt), starts[len(starts)-1].Sub(p.lostAt))
			require.LessOrEqual(t, starts[len(starts)-1].Sub(p.lostAt), lostTaskLimit, "the last of %d tasks", len(starts))
		})
	})
}

// forSeeds runs a test with seeds 1 to 5, or those of seedRange.
func forSeeds(t *testing.T, test func(t *testing.T, seed uint64)) {
	first, end := seedRange(t, 1, 5)
	for seed := first; seed < end; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { test(t, uint64(seed)) })
	}
}

// Where services filled their cell, lost tasks waited until workers of other cells, kept full by short work, were
// kept for them, some at a time, had become free and were reported as free.
func TestLostTaskTakesRoomThatShortWorkOfAnotherCellHolds(t *testing.T) {
	for _, cells := range []int{2, 3} {
		t.Run(strconv.Itoa(cells)+" cells", func(t *testing.T) { manyCells(cells).requireInTime(t) })
	}
}

// Room was kept for one lost task of a step at a time, and only from work after it in the plan: of many lost
// tasks most waited while short work took the room that short tasks left.
func TestLostTaskTakesRoomThatShortWorkHolds(t *testing.T) {
	for _, lc := range []lostTasksCase{manyLost(3, 1), manyLost(7, 0), manyLost(3, 0, 1)} {
		t.Run(fmt.Sprintf("%d a worker, priorities %d", lc.tasksPerWorker, lc.priorities), func(t *testing.T) { lc.requireInTime(t) })
	}
}

// A new leader gave room to new short tasks before it knew which lasting tasks were lost, and these waited on.
func TestNewLeaderKeepsRoomForLostTasks(t *testing.T) {
	for _, priorities := range [][]int{{1}, {0, 1}} {
		lc := lostTasksCase{cells: 1, workers: 8, lostWorkers: 1, tasksPerWorker: 2, needs: model.Resources{MilliCPU: 3500, MemoryMB: 500},
			leaves:     func(first int, _ bool) bool { return first == firstSmallJob },
			priorities: priorities, lease: leaseOfLeaders}
		t.Run(fmt.Sprintf("priorities %d", priorities), func(t *testing.T) {
			forSeeds(t, func(t *testing.T, seed uint64) { lc.play(t, seed, loseBeforeLeader) })
		})
	}
}

// loseBeforeLeader loses the tasks while services fill the workers, then the leader and one more worker, and adds two
// workers with room for all that was lost.
func loseBeforeLeader(t *testing.T, p *lostTasksPlay) {
	p.lose()
	time.Sleep(leaseOfLeaders + time.Second)
	require.Empty(t, p.Checker.Running(jobID(0)), "services fill the workers")
	p.Kill(p.Leader())
	p.Workers.Kill(p.RunningWorkers()[0]) // all runs are known only once its leases have ended
	p.AddWorker("fresh0")
	p.AddWorker("fresh1")
	for !p.knowsAllRuns(t) {
		time.Sleep(20 * time.Millisecond)
	}
	known := time.Now()
	starts := p.awaitLostTasks(60 * time.Second)
	t.Log("known", known.Sub(p.lostAt), "first", starts[0].Sub(known), "last", starts[1].Sub(known))
	require.LessOrEqual(t, starts[1].Sub(known), shortTaskMax+500*time.Millisecond, "after all runs are known")
}

// knowsAllRuns reports whether the leader of the only cell knows all runs that former leaders started.
func (p *lostTasksPlay) knowsAllRuns(t *testing.T) bool {
	l := p.Leader()
	if l == nil {
		return false
	}
	v := l.Node.Inspect(t.Context(), "")
	return v.Fleet != nil && v.Fleet.AllRunsKnown
}

// noticeAndStart is the time that the system takes from the end of a run to the start of what follows it.
const noticeAndStart = 80 * time.Millisecond

// Room of a cancelled service stood empty until the next plan, which waits beside many steps; for a while also where
// the service ended before a plan had seen its stop.
func TestLostTaskStartsWhenCancelledServiceEnds(t *testing.T) {
	for _, stop := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(stop.String(), func(t *testing.T) {
			forSeeds(t, func(t *testing.T, seed uint64) {
				for _, wait := range besideCancelledServices(1, 20, stop).waitsForRoom(t, seed) {
					require.LessOrEqual(t, wait, noticeAndStart, "after the end of a service")
				}
			})
		})
	}
}

// loanTime is the time that a loan takes to reach its cell: two transactions, at most one of which begins each 30 ms, and
// the store's answers.
const loanTime = 70 * time.Millisecond

// A lost task of another cell waited for a plan of its own cell, which had the answer, and one of the other cell, which
// had the task.
func TestLostTaskStartsWhenCancelledServiceOfAnotherCellEnds(t *testing.T) {
	var waits []time.Duration
	forSeeds(t, func(t *testing.T, seed uint64) {
		waits = append(waits, besideCancelledServices(2, 48, 100*time.Millisecond).waitsForRoom(t, seed)...)
	})
	slices.Sort(waits)
	t.Log(waits)
	require.LessOrEqual(t, waits[len(waits)-1], noticeAndStart+loanTime, "after the end of a service")
}

// besideCancelledServices is a case of lost tasks in one of some cells whose services are cancelled later.
func besideCancelledServices(cells, workers int, stop time.Duration) lostTasksCase {
	return lostTasksCase{cells: cells, workers: workers, lostWorkers: 4, tasksPerWorker: 2, needs: model.Resources{MilliCPU: 4000, MemoryMB: 500},
		leaves: func(int, bool) bool { return false }, priorities: []int{1}, lease: lostLease, stop: stop}
}

// waitsForRoom cancels services one after the other beside lost tasks, those of other cells if there are some, and
// returns how long after the end of each a lost task started.
func (lc lostTasksCase) waitsForRoom(t *testing.T, seed uint64) (waits []time.Duration) {
	lc.play(t, seed, func(t *testing.T, p *lostTasksPlay) {
		p.lose()
		time.Sleep(45 * time.Second) // hundreds of steps wait then
		for i, started := 0, 0; started < p.lostTasks(); i++ {
			require.Less(t, i, 2*p.workers)
			id := jobID(firstLargeJob + i)
			at := slices.IndexFunc(p.RunningWorkers(), func(w *fleettest.Worker) bool { return p.Workers.RunsTask(w, id+".") })
			if at < 0 || (p.cells > 1 && slices.Contains(p.ownCell, p.RunningWorkers()[at])) {
				continue // it found no room, or runs in the cell of the lost tasks
			}
			require.Len(t, p.Checker.Running(jobID(0)), started)
			require.NoError(t, p.Nodes[0].Node.Cancel(t.Context(), p.Queue, id))
			p.Checker.Cancelled(id)
			for len(p.Checker.Running(id)) > 0 {
				time.Sleep(time.Millisecond)
			}
			ended := time.Now()
			for len(p.Checker.Running(jobID(0))) == started {
				require.Less(t, time.Since(ended), time.Second)
				time.Sleep(time.Millisecond)
			}
			waits = append(waits, time.Since(ended))
			started++
			time.Sleep(noticeAndStart + time.Duration(started)*17*time.Millisecond) // any time after a plan
		}
	})
	return waits
}
