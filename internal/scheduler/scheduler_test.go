package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// harness runs a cell and its scheduler, and applies plans as the owner does.
type harness struct {
	t    testing.TB
	st   *cell.State
	s    *Scheduler
	view *control.View
	now  time.Time
}

var start = time.Unix(1_700_000_000, 0)

func newHarness(t testing.TB, cfg Config, workers int) *harness {
	st := cell.NewState("gent-0")
	r := &harness{t: t, st: st, s: New(cfg, st), view: &control.View{Sequence: 1}, now: start}
	r.s.SetWorkers(workersOf(workers, "gent", model.Resources{MilliCPU: 16000, MemoryMB: 62500}))
	return r
}

func workersOf(n int, dc model.DataCentre, capacity model.Resources) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{
			ID: model.WorkerID(fmt.Sprintf("%s-w%05d", dc, i)), DataCentre: dc,
			Rack: model.Rack(fmt.Sprintf("r%d", i/6)), Capacity: capacity,
		}
	}
	return out
}

// submit adds a job of n equal tasks.
func (r *harness) submit(id string, n int, change func(*model.TaskSpec)) {
	job := model.JobSpec{ID: model.JobID(id)}
	for i := range n {
		spec := model.TaskSpec{
			ID: model.TaskID(fmt.Sprintf("%s/%d", id, i)), Job: job.ID, Class: "plates",
			Urgency: model.UrgencyNormal, Resources: model.Resources{MilliCPU: 4000, MemoryMB: 8000}, MaxRetries: 3,
		}
		if change != nil {
			change(&spec)
		}
		job.Tasks = append(job.Tasks, spec)
	}
	r.apply(cell.Record{Submitted: &cell.Submitted{Job: job, At: r.now.UnixMilli()}})
}

func (r *harness) apply(records ...cell.Record) {
	for _, rec := range records {
		require.NoError(r.t, r.st.Apply(rec))
	}
}

// step plans, applies the plan and advances the clock by d.
func (r *harness) step(d time.Duration) Plan {
	p := r.s.Plan(r.now, r.view)
	r.apply(p.Records...)
	r.s.Committed(p.Records, r.now)
	r.now = r.now.Add(d)
	return p
}

func (r *harness) states(job string) map[string]int {
	out := map[string]int{}
	status, ok := r.st.Job(model.JobID(job))
	require.True(r.t, ok)
	for _, t := range status.Tasks {
		out[t.State]++
	}
	return out
}

// Guards against a plan that places nothing, or more than the workers' capacity.
func TestPlanFillsWorkersWithoutOvercommitment(t *testing.T) {
	for _, p := range []Policy{PolicyLearned, PolicyBestFit, PolicyFirstFit} {
		r := newHarness(t, Config{Policy: p}, 2)
		r.submit("j", 10, nil)
		r.step(time.Second)
		require.Equal(t, map[string]int{"live": 8, "queued": 2}, r.states("j"), p)
	}
}

// Guards against throttling batch work for a change of load in a cell with a single worker,
// where the baseline cannot be compared with other workers.
func TestRelativeLimitNeedsSeveralWorkers(t *testing.T) {
	sample := serviceSample{service: "desk", p99: 130 * time.Millisecond}
	for workers, exceeded := range map[int]bool{1: false, 2: true} {
		r := newHarness(t, Config{}, workers)
		r.s.interference.baselines["desk"] = &baseline{Seconds: 0.1, Samples: priorWeight}
		require.Equal(t, exceeded, r.s.limitRatio(sample) > 1, "%d workers", workers)
	}
}
