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

// fakeOrders stores jobs in memory. fault returns whether a submission takes effect, and its
// error.
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

// Guards against a job that is submitted twice, validated wrongly or not found afterwards.
func TestOrders(t *testing.T) {
	w := newTestEnv(t)
	orders := &fakeOrders{jobs: map[model.JobID]model.JobSpec{}}
	w.orders = orders
	_, n1 := w.node("n1")
	_, n2 := w.node("n2")
	r := sendRequest(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k")
	require.Equal(t, []any{202, "done"}, []any{r.status, r.outcome}, string(r.body))
	var got OrderAccepted
	require.NoError(t, json.Unmarshal(r.body, &got))
	job := orders.jobs[got.Job]
	require.Len(t, job.Tasks, 2)
	require.Equal(t, []any{model.UrgencyHigh, int64(1000), int64(500), "a", 3},
		[]any{job.Tasks[0].Urgency, job.Tasks[0].Resources.MilliCPU, job.Tasks[1].Resources.MilliCPU, string(job.Tasks[0].Payload), job.Tasks[0].MaxRetries})
	require.Equal(t, 200, sendRequest(t, post, n2+ordersPath, []byte(plateOrder), headerKey, "k").status)
	require.Equal(t, 409, sendRequest(t, post, n2+ordersPath, []byte(strings.Replace(plateOrder, "30s", "31s", 1)), headerKey, "k").status)
	path := n2 + ordersPath + "/" + string(got.Job)
	require.Contains(t, string(sendRequest(t, get, path, nil).body), `"queued"`)
	w.table.setDown(true)
	require.Contains(t, string(sendRequest(t, get, path, nil).body), `"queued"`, "the cells report the status while the store is down")
	unknown := n2 + ordersPath + "/" + strings.Repeat("0", 64)
	require.Equal(t, 503, sendRequest(t, get, unknown, nil).status, "a job that no cell knows may have a claim")
	w.table.setDown(false)
	require.Equal(t, 404, sendRequest(t, get, unknown, nil).status)
	require.Equal(t, 202, sendRequest(t, "DELETE", path, nil).status)
	require.Equal(t, 404, sendRequest(t, get, path, nil).status)
	require.Equal(t, 404, sendRequest(t, get, n2+ordersPath+"/none", nil).status)
	for _, bad := range []string{"{", strings.Replace(plateOrder, "press", "none", 1), strings.Replace(plateOrder, "plates", "none", 1), `{"team":"press","class":"plates"}`} {
		r := sendRequest(t, post, n1+ordersPath, []byte(bad), headerKey, "bad")
		require.Equal(t, []any{400, "not-run"}, []any{r.status, r.outcome}, bad)
	}
	require.Equal(t, 400, sendRequest(t, post, n1+ordersPath, []byte(plateOrder)).status, "no key")
}

// Guards against the outcome not-run for an order that was submitted: the result of the
// submission is unknown, or an earlier attempt with the same key may have succeeded.
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
			w := newTestEnv(t)
			orders := &fakeOrders{jobs: map[model.JobID]model.JobSpec{}, fault: func() (bool, error) { return test.apply, test.err }}
			w.orders = orders
			_, n1 := w.node("n1")
			_, n2 := w.node("n2")
			r := sendRequest(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k")
			require.Equal(t, []any{503, test.outcome}, []any{r.status, r.outcome})
			if test.outcome == "unknown" {
				orders.fault = func() (bool, error) { return false, unavailable }
				r = sendRequest(t, post, n2+ordersPath, []byte(plateOrder), headerKey, "k")
				require.Equal(t, "unknown", r.outcome, "the first attempt may have succeeded")
			}
			orders.fault = nil
			require.Equal(t, 202, sendRequest(t, post, n2+ordersPath, []byte(plateOrder), headerKey, "k").status)
			require.Len(t, orders.jobs, 1)
		})
	}
}

// cellOrders offers a cell without an owner first, then one with an owner.
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

// Guards against an order that waits for the take-over of its cell although another cell can
// accept it, and against a claim that names the wrong cell afterwards.
func TestOrderFallsBackToAnotherCell(t *testing.T) {
	w := newTestEnv(t)
	orders := &cellOrders{fakeOrders: fakeOrders{jobs: map[model.JobID]model.JobSpec{}}}
	w.orders = orders
	_, n1 := w.node("n1")
	r := sendRequest(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k")
	require.Equal(t, 202, r.status, string(r.body))
	require.Equal(t, []model.CellID{"vacant", "owned"}, orders.tried)
	var accepted OrderAccepted
	require.NoError(t, json.Unmarshal(r.body, &accepted))
	status := sendRequest(t, get, n1+ordersPath+"/"+string(accepted.Job), nil)
	require.Contains(t, string(status.body), `"cell":"owned"`)
	require.Equal(t, 200, sendRequest(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k").status)
	require.Len(t, orders.tried, 2, "a repeated order gets the response recorded in its claim")
}

// movingOrders accepts an order in its second cell, after the first cell has refused it.
type movingOrders struct {
	fakeOrders
	tried  chan struct{} // closed when the order is submitted to the first cell
	refuse chan struct{} // the first cell refuses once this is closed
	moved  chan struct{} // closed when the order is submitted to the second cell
	finish chan struct{} // the second cell responds to its first call once this is closed
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

// Guards against an order in two cells: one node moves the claim to another cell between the
// two reads of a second node that takes the claim over.
func TestTakeOverSubmitsToClaimedCell(t *testing.T) {
	w := newTestEnv(t)
	orders := &movingOrders{fakeOrders: fakeOrders{jobs: map[model.JobID]model.JobSpec{}},
		tried: make(chan struct{}), refuse: make(chan struct{}), moved: make(chan struct{}), finish: make(chan struct{})}
	w.orders = orders
	_, n1 := w.node("n1")
	_, n2 := w.node("n2")
	var first sync.WaitGroup
	first.Go(func() { sendRequest(t, post, n1+ordersPath, []byte(plateOrder), headerKey, "k") })
	<-orders.tried
	var reads atomic.Int32
	w.table.beforeRead = func(external.Key) {
		if reads.Add(1) == 2 {
			close(orders.refuse)
			<-orders.moved
		}
	}
	require.Equal(t, 202, sendRequest(t, post, n2+ordersPath, []byte(plateOrder), headerKey, "k").status)
	close(orders.finish)
	first.Wait()
	require.Equal(t, []model.CellID{"first", "second", "second"}, orders.cells, "the first cell must not hold the order too")
}
