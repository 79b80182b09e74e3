package request

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// fakeOrders keeps jobs in memory; fault decides the fate of each submission.
type fakeOrders struct {
	mu    sync.Mutex
	jobs  map[model.JobID]model.JobSpec
	fault func() (apply bool, err error)
}

func (f *fakeOrders) Submit(_ context.Context, _ model.CellID, job model.JobSpec) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply, err := true, error(nil)
	if f.fault != nil {
		apply, err = f.fault()
	}
	if apply {
		f.jobs[job.ID] = job
	}
	return err
}

func (f *fakeOrders) Status(_ context.Context, cell model.CellID, id model.JobID) (OrderStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	job, ok := f.jobs[id]
	if !ok {
		return OrderStatus{}, model.Errorf(model.KindNotFound, "check the id", "no job")
	}
	return OrderStatus{Job: id, Cell: cell, State: "queued", Tasks: len(job.Tasks)}, nil
}

func (f *fakeOrders) Cancel(_ context.Context, _ model.CellID, id model.JobID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.jobs, id)
	return nil
}

func (f *fakeOrders) HomeCell(model.JobSpec) (model.CellID, error) { return "gent-0", nil }

const plateOrder = `{"team":"press","class":"plates","tasks":[{"declared_run":"30s","payload":"YQ=="},{"resources":{"milli_cpu":500,"memory_mb":10}}]}`

// Guards against a job that is submitted twice, checked wrongly or lost track of.
func TestOrders(t *testing.T) {
	w := newWorld(t)
	orders := &fakeOrders{jobs: map[model.JobID]model.JobSpec{}}
	w.orders = orders
	_, n1 := w.node("n1")
	_, n2 := w.node("n2")
	r := ask(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k")
	require.Equal(t, []any{202, "done"}, []any{r.status, r.outcome}, string(r.body))
	var got OrderAccepted
	require.NoError(t, json.Unmarshal(r.body, &got))
	job := orders.jobs[got.Job]
	require.Len(t, job.Tasks, 2)
	require.Equal(t, []any{model.UrgencyHigh, int64(1000), int64(500), "a", 3},
		[]any{job.Tasks[0].Urgency, job.Tasks[0].Resources.MilliCPU, job.Tasks[1].Resources.MilliCPU, string(job.Tasks[0].Payload), job.Tasks[0].MaxRetries})
	require.Equal(t, 200, ask(t, post, n2+ordersPath, []byte(plateOrder), headerKey, "k").status)
	require.Equal(t, 409, ask(t, post, n2+ordersPath, []byte(strings.Replace(plateOrder, "30s", "31s", 1)), headerKey, "k").status)
	path := n2 + ordersPath + "/" + string(got.Job)
	require.Contains(t, string(ask(t, get, path, nil).body), `"queued"`)
	w.table.setDown(true)
	require.Contains(t, string(ask(t, get, path, nil).body), `"queued"`, "the cells answer while the store is down")
	unknown := n2 + ordersPath + "/" + strings.Repeat("0", 64)
	require.Equal(t, 503, ask(t, get, unknown, nil).status, "a job that no cell knows may have a claim")
	w.table.setDown(false)
	require.Equal(t, 404, ask(t, get, unknown, nil).status)
	require.Equal(t, 202, ask(t, "DELETE", path, nil).status)
	require.Equal(t, 404, ask(t, get, path, nil).status)
	require.Equal(t, 404, ask(t, get, n2+ordersPath+"/none", nil).status)
	for _, bad := range []string{"{", strings.Replace(plateOrder, "press", "none", 1), strings.Replace(plateOrder, "plates", "none", 1), `{"team":"press","class":"plates"}`} {
		r := ask(t, post, n1+ordersPath, []byte(bad), headerKey, "bad")
		require.Equal(t, []any{400, "not-run"}, []any{r.status, r.outcome}, bad)
	}
	require.Equal(t, 400, ask(t, post, n1+ordersPath, []byte(plateOrder)).status, "no key")
}

// Guards against "not-run" for an order that was submitted: the submission's
// result is unknown, or an earlier attempt under the key may have succeeded.
func TestOrderFailures(t *testing.T) {
	unavailable := model.Errorf(model.KindUnavailable, "retry", "owner away")
	lost := model.Errorf(model.KindUnknown, "retry", "answer lost")
	tests := []struct {
		name    string
		apply   bool
		err     error
		outcome string
	}{
		{"owner away", false, unavailable, "not-run"},
		{"answer lost", true, lost, "unknown"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			orders := &fakeOrders{jobs: map[model.JobID]model.JobSpec{}, fault: func() (bool, error) { return test.apply, test.err }}
			w.orders = orders
			_, n1 := w.node("n1")
			_, n2 := w.node("n2")
			r := ask(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k")
			require.Equal(t, []any{503, test.outcome}, []any{r.status, r.outcome})
			if test.outcome == "unknown" {
				orders.fault = func() (bool, error) { return false, unavailable }
				r = ask(t, post, n2+ordersPath, []byte(plateOrder), headerKey, "k")
				require.Equal(t, "unknown", r.outcome, "the first attempt may have succeeded")
			}
			orders.fault = nil
			require.Equal(t, 202, ask(t, post, n2+ordersPath, []byte(plateOrder), headerKey, "k").status)
			require.Len(t, orders.jobs, 1)
		})
	}
}

// cellOrders has one cell without an owner; it offers it first.
type cellOrders struct {
	fakeOrders
	tried []model.CellID
}

func (f *cellOrders) HomeCell(model.JobSpec) (model.CellID, error) {
	if len(f.tried) == 0 {
		return "vacant", nil
	}
	return "owned", nil
}

func (f *cellOrders) Submit(ctx context.Context, cell model.CellID, job model.JobSpec) error {
	f.tried = append(f.tried, cell)
	if cell == "vacant" {
		return model.Errorf(model.KindUnavailable, "retry", "no owner")
	}
	return f.fakeOrders.Submit(ctx, cell, job)
}

// Guards against an order that waits for a take-over although another cell can
// have it, and against a claim that names the wrong cell afterwards.
func TestOrderGoesToAnotherCell(t *testing.T) {
	w := newWorld(t)
	orders := &cellOrders{fakeOrders: fakeOrders{jobs: map[model.JobID]model.JobSpec{}}}
	w.orders = orders
	_, n1 := w.node("n1")
	r := ask(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k")
	require.Equal(t, 202, r.status, string(r.body))
	require.Equal(t, []model.CellID{"vacant", "owned"}, orders.tried)
	var accepted OrderAccepted
	require.NoError(t, json.Unmarshal(r.body, &accepted))
	status := ask(t, get, n1+ordersPath+"/"+string(accepted.Job), nil)
	require.Contains(t, string(status.body), `"cell":"owned"`)
	require.Equal(t, 200, ask(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k").status)
	require.Len(t, orders.tried, 2, "a repeated order is answered from its claim")
}

// movingOrders takes an order in its second cell, once the first has turned it away.
type movingOrders struct {
	fakeOrders
	tried  chan struct{} // closed when the first cell is asked
	refuse chan struct{} // the first cell answers once it is closed
	moved  chan struct{} // closed when the second cell is asked
	finish chan struct{} // the second cell answers the first call once it is closed
	cells  []model.CellID
}

func (f *movingOrders) HomeCell(model.JobSpec) (model.CellID, error) {
	select {
	case <-f.tried:
		return "second", nil
	default:
		return "first", nil
	}
}

func (f *movingOrders) Submit(ctx context.Context, cell model.CellID, job model.JobSpec) error {
	f.mu.Lock()
	f.cells = append(f.cells, cell)
	calls := len(f.cells)
	f.mu.Unlock()
	switch {
	case calls == 1:
		close(f.tried)
		<-f.refuse
		return model.Errorf(model.KindUnavailable, "retry", "no owner")
	case calls == 2:
		close(f.moved)
		<-f.finish
	}
	return f.fakeOrders.Submit(ctx, cell, job)
}

// Guards against an order in two cells: one node moves the claim to another cell between
// the two reads of a node that takes the claim over.
func TestTakenOverOrderFollowsItsClaim(t *testing.T) {
	w := newWorld(t)
	orders := &movingOrders{fakeOrders: fakeOrders{jobs: map[model.JobID]model.JobSpec{}},
		tried: make(chan struct{}), refuse: make(chan struct{}), moved: make(chan struct{}), finish: make(chan struct{})}
	w.orders = orders
	_, n1 := w.node("n1")
	_, n2 := w.node("n2")
	var first sync.WaitGroup
	first.Go(func() { ask(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k") })
	<-orders.tried
	var reads atomic.Int32
	w.table.beforeRead = func(external.Key) {
		if reads.Add(1) == 2 {
			close(orders.refuse)
			<-orders.moved
		}
	}
	require.Equal(t, 202, ask(t, post, n2+ordersPath, []byte(plateOrder), headerKey, "k").status)
	close(orders.finish)
	first.Wait()
	require.Equal(t, []model.CellID{"first", "second", "second"}, orders.cells, "the first cell must not hold the order too")
}
