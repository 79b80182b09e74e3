package scheduler

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/cell"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// machine drives a scheduler with random events and checks its plans.
type machine struct {
	*rapid.T
	st   *cell.State
	s    *Scheduler
	view *control.View
	now  time.Time
	jobs int
	// resumed is the checkpoint from which the next attempt of a task must start.
	resumed map[model.TaskID]string
	starts  map[external.AttemptRef]bool
}

const propertyQuota = 24

func newMachine(rt *rapid.T) *machine {
	policy := rapid.SampledFrom([]Policy{PolicyLearned, PolicyBestFit, PolicyFirstFit}).Draw(rt, "policy")
	st := cell.NewState("gent-0")
	m := &machine{
		T: rt, st: st, s: New(Config{Policy: policy}, st), now: start,
		resumed: map[model.TaskID]string{}, starts: map[external.AttemptRef]bool{},
	}
	d := &declaration.Declaration{Teams: []declaration.Team{{Name: "a", Quota: declaration.Capacity{Cores: propertyQuota, MemoryGB: 1000}}}}
	m.view = &control.View{Sequence: 1, Declaration: d, Out: map[model.DataCentre]uint64{}}
	m.s.SetWorkers(workersOf(4, "gent", model.Resources{MilliCPU: 16000, MemoryMB: 40000, Accelerators: 2}))
	return m
}

func (m *machine) apply(records ...cell.Record) {
	for _, r := range records {
		require.NoError(m, m.st.Apply(r))
	}
}

func (m *machine) submit() {
	m.jobs++
	job := model.JobSpec{ID: model.JobID(fmt.Sprintf("j%d", m.jobs))}
	spec := model.TaskSpec{
		Job: job.ID, Gang: rapid.Bool().Draw(m.T, "gang"), MaxRetries: 2,
		Urgency: model.Urgency(rapid.IntRange(0, 3).Draw(m.T, "urgency")),
		Team:    rapid.SampledFrom([]model.TeamName{"", "a"}).Draw(m.T, "team"),
		Class:   rapid.SampledFrom([]model.ClassName{"x", "y"}).Draw(m.T, "class"),
		Resources: model.Resources{
			MilliCPU: rapid.Int64Range(0, 18).Draw(m.T, "cores") * 1000, MemoryMB: rapid.Int64Range(0, 41).Draw(m.T, "gb") * 1000,
			Accelerators: rapid.Int64Range(0, 3).Draw(m.T, "acc"),
		},
	}
	for i := range rapid.IntRange(1, 6).Draw(m.T, "tasks") {
		spec.ID = model.TaskID(fmt.Sprintf("%s/%d", job.ID, i))
		job.Tasks = append(job.Tasks, spec)
	}
	m.apply(cell.Record{Submitted: &cell.Submitted{Job: job, At: m.now.UnixMilli()}})
}

// endAttempt ends a random live attempt.
func (m *machine) endAttempt(outcome model.Outcome) {
	live := m.st.Live()
	if len(live) == 0 {
		return
	}
	t := rapid.SampledFrom(live).Draw(m.T, "live")
	if t.State == cell.TaskEvicting {
		outcome = model.OutcomeEvicted
	}
	e := external.EndedAttempt{AttemptRef: t.Ref(), Outcome: outcome}
	if outcome == model.OutcomeEvicted {
		e.Checkpoint = fmt.Sprintf("ck/%s/%d", t.Spec.ID, t.Attempt)
		m.resumed[t.Spec.ID] = e.Checkpoint
	}
	m.apply(m.s.EndedRecords(t.Worker, []external.EndedAttempt{e}, m.now)...)
}

func (m *machine) cancel() {
	if m.jobs == 0 {
		return
	}
	id := model.JobID(fmt.Sprintf("j%d", rapid.IntRange(1, m.jobs).Draw(m.T, "job")))
	m.apply(cell.Record{Cancelled: &cell.Cancelled{Job: id}})
	for _, t := range m.st.JobTasks(id) {
		if t.State == cell.TaskCancelling {
			m.apply(m.s.EndedRecords(t.Worker, []external.EndedAttempt{{AttemptRef: t.Ref(), Outcome: model.OutcomeCancelled}}, m.now)...)
		}
	}
}

func (m *machine) toggleDataCentre() {
	v := *m.view
	v.Sequence++
	v.Out = maps.Clone(v.Out)
	if v.IsOut("gent") {
		delete(v.Out, "gent")
	} else {
		v.Out["gent"] = v.Sequence
	}
	m.view = &v
}

func (m *machine) report() {
	m.s.Observe(external.WorkerReport{Worker: "gent-w00001", Services: []external.ServiceSample{
		{Service: "desk", P99: time.Duration(rapid.IntRange(80, 200).Draw(m.T, "p99")) * time.Millisecond},
	}}, m.now)
}

// plan computes a plan, aborts some plans as not durable, and checks and applies the others.
func (m *machine) plan() {
	p := m.s.Plan(m.now, m.view)
	if rapid.IntRange(0, 4).Draw(m.T, "abort") == 0 {
		m.s.Abort()
		return
	}
	for _, r := range p.Records {
		if r.Placed != nil {
			m.checkPlaced(r.Placed)
		}
		m.apply(r)
	}
	m.s.Committed(p.Records, m.now)
	m.checkState()
}

func (m *machine) checkPlaced(p *cell.Placed) {
	require.False(m, m.view.IsOut("gent"), "placed in a data centre that is out")
	t, _ := m.st.Task(p.Task)
	require.Equal(m, m.resumed[p.Task], t.Checkpoint, "resumes from the last checkpoint")
	ref := external.AttemptRef{Task: p.Task, Attempt: p.Attempt}
	require.False(m, m.starts[ref], "an attempt starts once")
	m.starts[ref] = true
}

// checkState checks the invariants that hold after every plan.
func (m *machine) checkState() {
	var use model.Resources
	for _, h := range m.s.order {
		require.True(m, m.st.Committed(h.ID).Fits(h.Capacity), "overcommitted")
		require.Equal(m, h.Capacity.Sub(m.st.Committed(h.ID)), h.free, "the index differs from the state")
		for _, t := range m.st.LiveOn(h.ID) {
			if t.Spec.Team == "a" {
				use = use.Add(t.Spec.Resources)
			}
		}
	}
	require.Equal(m, use, m.s.quota.use["a"])
	require.LessOrEqual(m, use.MilliCPU, int64(propertyQuota*1000), "quota")
	for i := range m.jobs {
		m.checkGang(model.JobID(fmt.Sprintf("j%d", i+1)))
	}
}

// checkGang checks that either all or none of a gang's unfinished tasks have started; after
// that, a task may wait only if it had an attempt.
func (m *machine) checkGang(id model.JobID) {
	started, never := 0, 0
	for _, t := range m.st.JobTasks(id) {
		if !t.Spec.Gang || t.State.Ended() {
			continue
		}
		if t.Attempt == 0 {
			never++
		} else {
			started++
		}
	}
	require.False(m, started > 0 && never > 0, "job %s started in part", id)
}

// Guards, under random sequences of events, against overcommitment, placements in a data
// centre that is out of service, exceeded quotas, partially started gangs, attempts started
// twice or from a wrong checkpoint, and jobs that neither end nor have a reason to wait.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt)
		outcomes := []model.Outcome{model.OutcomeDone, model.OutcomeFailed, model.OutcomeLost, model.OutcomeEvicted, model.OutcomeNotRun}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1:
				m.submit()
			case 2, 3:
				m.endAttempt(rapid.SampledFrom(outcomes).Draw(rt, "outcome"))
			case 4:
				m.cancel()
			case 5:
				m.toggleDataCentre()
			case 6:
				m.report()
			}
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(rt, "ms")) * time.Millisecond)
			m.plan()
		}
		m.finishAll()
	})
}

// finishAll ends live attempts until no task is left: each job must end or become unrunnable.
func (m *machine) finishAll() {
	if m.view.IsOut("gent") {
		m.toggleDataCentre()
	}
	for range 2000 {
		queued, live, _ := m.st.Counts()
		if queued+live == 0 {
			return
		}
		for _, t := range m.st.Live() {
			outcome := model.OutcomeDone
			if t.State == cell.TaskEvicting {
				outcome = model.OutcomeEvicted
				m.resumed[t.Spec.ID] = t.Checkpoint
			}
			m.apply(m.s.EndedRecords(t.Worker, []external.EndedAttempt{{AttemptRef: t.Ref(), Outcome: outcome}}, m.now)...)
		}
		m.now = m.now.Add(15 * time.Second)
		m.plan()
	}
	for _, t := range m.st.Queued() {
		m.Errorf("task %s waits for ever: %+v", t.Spec.ID, t.Spec)
	}
}
