package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/model"
)

// Short jobs arrive in bursts. The estimate must reach the height of a burst within seconds
// and keep most of it until the next one.
func TestShortDemandFollowsBursts(t *testing.T) {
	var d shortDemand
	step := 0.05
	for i := range 80 {
		d.observe(2000, 8000, at(float64(i)*step))
	}
	require.Equal(t, int64(8000), d.free(), "what waits needs free capacity")
	for i := range 100 {
		d.observe(0, 0, at(4+float64(i)*step))
	}
	require.Greater(t, d.free(), int64(6000), "5 s after the burst")
	for i := range 1200 {
		d.observe(0, 0, at(9+float64(i)*step))
	}
	require.Less(t, d.free(), int64(500), "a minute after the burst")
	d.observe(9000, 0, at(80))
	require.Zero(t, d.free(), "running tasks have their capacity")
}

// TestShortDemandBounds checks that no sequence of demands leads to an estimate beyond the
// highest one.
func TestShortDemandBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d shortDemand
		highest, now := int64(0), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "observations") {
			running := rapid.Int64Range(0, 50_000).Draw(t, "running")
			waiting := rapid.Int64Range(0, 50_000).Draw(t, "waiting")
			now += rapid.Float64Range(0, 30).Draw(t, "pause")
			highest = max(highest, running+waiting)
			d.observe(running, waiting, at(now))
			require.GreaterOrEqual(t, d.free(), int64(0))
			require.LessOrEqual(t, d.free()+running, highest+running)
		}
	})
}

func TestNewServicesLeaveHeldCapacity(t *testing.T) {
	held := heldCapacity{
		unaccounted: map[model.ServiceName]int64{"svc": 1000},
		shortWork:   map[shortKey]int64{{"svc", 0}: 6000, {"svc", 2}: 5000, {"other", 0}: 9000},
	}
	p := &placement{workers: []*worker{testWorker("w1"), testWorker("w2")}} // 16 cores each
	p.workers[1].reserved.MilliCPU = 16_000
	for name, c := range map[string]struct {
		step     Step
		priority int
		restart  bool
		allowed  int
	}{
		"service":                  {Step{Lasting: true}, 0, false, 2},
		"service of less priority": {Step{Lasting: true}, 2, false, 1},
		"restart":                  {Step{Lasting: true}, 2, true, 5},
		"lasting filler":           {Step{Lasting: true, Filler: true}, 2, false, 5},
		"short work":               {Step{}, 2, false, 5},
	} {
		t.Run(name, func(t *testing.T) {
			c.step.Needs.MilliCPU = 4000
			w := &waitingStep{step: &c.step, queue: Queue{Service: "svc"}, priority: c.priority, restart: c.restart, tasks: []int{0, 1, 2, 3, 4}}
			require.Equal(t, c.allowed, p.allowedTasks(w, held))
		})
	}
}

// A service that needs little of a fleet with much free capacity starts at once, however much
// short work a burst has brought.
func TestNewServicesStartWhereHalfIsFree(t *testing.T) {
	h := heldCapacity{shortWork: map[shortKey]int64{{"svc", 0}: 16_000}}
	p := &placement{workers: []*worker{testWorker("w1")}}
	w := &waitingStep{step: &Step{Lasting: true, Needs: model.Resources{MilliCPU: 4000}}, queue: Queue{Service: "svc"}, tasks: []int{0, 1}}
	require.Equal(t, 2, p.allowedTasks(w, h))
	w.tasks = []int{0, 1, 2}
	require.Zero(t, p.allowedTasks(w, h), "more than half of what is free")
	w.tasks = []int{0}
	p.workers[0].reserved.MilliCPU = 9000
	require.Zero(t, p.allowedTasks(w, h), "less than half is free")
	h.unaccounted = map[model.ServiceName]int64{"svc": 15_000}
	p.workers[0].reserved.MilliCPU = 0
	require.Zero(t, p.allowedTasks(w, h), "services of earlier terms go first")
}

// TestShortWorkIsObservedOncePerTick checks which tasks count as demand.
func TestShortWorkIsObservedOncePerTick(t *testing.T) {
	tm := &term{queues: map[string]Queue{}, shortWork: map[shortKey]*shortDemand{}}
	tm.queues["q"] = Queue{Name: "q", Service: "svc", Priority: 1}
	short := func(urgency int, s Step) *waitingStep {
		s.Needs.MilliCPU = 1000
		return &waitingStep{step: &s, queue: tm.queues["q"], priority: 1, urgency: urgency, tasks: []int{0, 1}}
	}
	waiting := []*waitingStep{short(urgencyOnTime, Step{}), short(urgencyLate, Step{}), short(urgencyExpired, Step{}),
		short(urgencyOnTime, Step{Lasting: true}), short(urgencyOnTime, Step{Filler: true})}
	tm.now = at(10)
	tm.observeShortWork(waiting)
	require.Equal(t, int64(4000), tm.shortWork[shortKey{"svc", 1}].free())
	tm.now = tm.now.Add(tickInterval / 2)
	tm.observeShortWork(nil)
	require.Equal(t, tm.now.Add(-tickInterval/2), tm.shortWork[shortKey{"svc", 1}].observed)
	tm.now = tm.now.Add(30 * time.Second)
	tm.observeShortWork(nil)
	require.Zero(t, tm.shortWork[shortKey{"svc", 1}].free())
}

// A short task ends between two observations of the demand. What it has left is kept for the
// next short tasks, not given to a new service as capacity that the demand does not ask for.
func TestCapacityOfEndedShortTaskIsKept(t *testing.T) {
	w := testWorker("w1")
	tm := &term{queues: map[string]Queue{}, shortWork: map[shortKey]*shortDemand{}, workers: map[model.WorkerID]*worker{"w1": w}}
	short := &Step{Needs: model.Resources{MilliCPU: 8000}}
	runs := []*run{testRun(w, short, 0), testRun(w, short, 1)}
	tm.now = at(10)
	tm.observeShortWork(nil)
	w.detach(runs[0], tm.now)
	service := &waitingStep{step: &Step{Lasting: true, Needs: model.Resources{MilliCPU: 1000}}, queue: Queue{Service: "svc"}, tasks: []int{0, 1, 2, 3, 4}}
	p := &placement{workers: []*worker{w}}
	require.Zero(t, p.allowedTasks(service, tm.capacityToHold([]*waitingStep{service})))
	require.Zero(t, tm.shortWork[shortKey{"svc", 0}].free(), "the observation stays as it is")
}
