package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Size of the target fleet.
const (
	fleetWorkers = 21000
	fleetService = 100000
	fleetBatch   = 150000
	fleetTeams   = 830
)

// fleet is a cell with its proportional number of the target fleet's tasks.
type fleet struct {
	*harness
	rng  *rand.Rand
	next int
	live []*cell.Task
}

func newFleet(b *testing.B, workers int) *fleet {
	f := &fleet{harness: newHarness(b, Config{}, 0), rng: rand.New(rand.NewPCG(1, 2))}
	d := &declaration.Declaration{}
	for i := range fleetTeams {
		d.Teams = append(d.Teams, declaration.Team{Name: teamName(i), Quota: declaration.Capacity{Cores: 1e6, MemoryGB: 1e7, Accelerators: 1e5}})
	}
	f.view.Declaration = d
	list := workersOf(workers, "gent", model.Resources{MilliCPU: 64000, MemoryMB: 250000, Accelerators: 2})
	for i := range list {
		list[i].Capacity.Accelerators = int64(i % 5)
	}
	f.s.SetWorkers(list)
	for range workers * fleetService / fleetWorkers {
		f.task("service", model.UrgencyHigh, 4000)
	}
	for range workers * fleetBatch / fleetWorkers {
		f.task("batch", model.UrgencyNormal, 2000)
	}
	for len(f.s.Plan(f.now, f.view).Records) > 0 {
		f.s.Abort()
		f.step(time.Second)
	}
	f.live = f.st.Live()
	return f
}

func teamName(i int) model.TeamName { return model.TeamName(fmt.Sprintf("team-%03d", i)) }

func (f *fleet) task(class model.ClassName, urgency model.Urgency, cpu int64) {
	f.next++
	f.submit(fmt.Sprintf("job-%08d", f.next), 1, func(s *model.TaskSpec) {
		s.Class, s.Urgency, s.Team = class, urgency, teamName(f.next%fleetTeams)
		s.Resources = model.Resources{MilliCPU: cpu, MemoryMB: 2 * cpu}
		if f.next%10 == 0 {
			s.Resources.Accelerators = 1
		}
	})
}

// replaceTasks ends up to n random tasks and submits n batch tasks.
func (f *fleet) replaceTasks(n int) {
	for range n {
		i := f.rng.IntN(len(f.live))
		t := f.live[i]
		if t.State == cell.TaskLive {
			f.apply(f.s.EndedRecords(t.Worker, []external.EndedAttempt{{AttemptRef: t.Ref(), Outcome: model.OutcomeDone}}, f.now)...)
		}
		f.task("batch", model.UrgencyNormal, 2000)
		f.live[i], _ = f.st.Task(model.TaskID(fmt.Sprintf("job-%08d/0", f.next)))
	}
}

// BenchmarkStart measures the cost per start in a steady state: the end of a task, a
// submission, its part of a plan, and applying the records. A plan has 12 starts, which
// corresponds to 120 starts per second in a cell.
func BenchmarkStart(b *testing.B) {
	const perPlan = 12
	for _, workers := range []int{48, 480, 1050, 4800, fleetWorkers} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFleet(b, workers)
			started := 0
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n += perPlan {
				f.replaceTasks(perPlan)
				started += len(f.step(100 * time.Millisecond).Records)
			}
			b.StopTimer()
			b.ReportMetric(float64(started)/b.Elapsed().Seconds(), "starts/s")
			require.GreaterOrEqual(b, started, b.N)
		})
	}
}

// BenchmarkReport measures processing one worker's report: a service sample and the
// progress of its tasks.
func BenchmarkReport(b *testing.B) {
	f := newFleet(b, 1050)
	reports := make([]external.WorkerReport, len(f.s.order))
	for i, h := range f.s.order {
		r := external.WorkerReport{Worker: h.ID, Services: []external.ServiceSample{{Service: "desk", P99: 100 * time.Millisecond}}}
		for _, t := range h.live {
			r.Running = append(r.Running, external.RunningAttempt{AttemptRef: t.Ref(), Class: t.Spec.Class, Checkpoint: "ck"})
		}
		reports[i] = r
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		f.now = f.now.Add(time.Millisecond)
		f.s.Observe(reports[n%len(reports)], f.now)
	}
}

// BenchmarkBlockedPlan measures a plan on a full cell with a long queue.
func BenchmarkBlockedPlan(b *testing.B) {
	f := newFleet(b, 1050)
	for range 10000 {
		f.task("batch", model.UrgencyNormal, 63000)
	}
	f.step(time.Second)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.now = f.now.Add(100 * time.Millisecond)
		f.s.placementDue = true
		f.s.Plan(f.now, f.view)
		f.s.Abort()
	}
}

// BenchmarkMemory reports the heap bytes of state and scheduler per worker and per task,
// and the size of a snapshot per task.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range []int{48, 480, 1050, 4800, fleetWorkers} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				empty := heapBytes()
				s := New(Config{}, cell.NewState("a"))
				s.SetWorkers(workersOf(workers, "gent", model.Resources{MilliCPU: 64000, MemoryMB: 250000}))
				perWorker := float64(heapBytes()-empty) / float64(workers)
				runtime.KeepAlive(s)
				s = nil
				before := heapBytes()
				f := newFleet(b, workers)
				f.live = nil
				used := float64(heapBytes()-before) - perWorker*float64(workers)
				_, live, _ := f.st.Counts()
				b.ReportMetric(perWorker, "B/worker")
				b.ReportMetric(used/float64(live), "B/task")
				b.ReportMetric(float64(live), "tasks")
				data, err := f.st.MarshalSnapshot()
				require.NoError(b, err)
				b.ReportMetric(float64(len(data))/float64(live), "snapshot-B/task")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
