package request

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/share"
)

// fakeTable is an in-memory table service with fault injection.
type fakeTable struct {
	mu   sync.Mutex
	rows map[external.Key]external.Row
	// fault returns whether the n-th commit (from 1) takes effect, and its error; nil means no
	// fault.
	fault func(n int) (apply bool, err error)
	// down makes every read fail.
	down bool
	// beforeRead, when set, is called before each read.
	beforeRead func(external.Key)
	commits    int
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[external.Key]external.Row{}} }

func (f *fakeTable) Commit(_ context.Context, writes ...external.Write) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	var fault error
	if f.fault != nil {
		apply, err := f.fault(f.commits)
		if !apply && err != nil {
			return err
		}
		fault = err
	}
	for _, w := range writes {
		row, ok := f.rows[w.Key]
		if w.Condition.Absent && ok || w.Condition.Version != 0 && row.Version != w.Condition.Version {
			return model.Errorf(model.KindConflict, "read again", "condition failed")
		}
	}
	for _, w := range writes {
		f.rows[w.Key] = external.Row{Key: w.Key, Value: w.Value, Version: f.rows[w.Key].Version + 1}
	}
	return fault
}

func (f *fakeTable) Get(_ context.Context, key external.Key) (external.Row, error) {
	if f.beforeRead != nil {
		f.beforeRead(key)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return external.Row{}, model.Errorf(model.KindUnavailable, "retry", "store down")
	}
	row, ok := f.rows[key]
	if !ok {
		return external.Row{}, model.Errorf(model.KindNotFound, "check the key", "no row")
	}
	return row, nil
}

func (f *fakeTable) Range(context.Context, string, string, int) ([]external.Row, error) {
	return nil, nil
}

// fakeObjects is an object store in memory.
type fakeObjects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (f *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data[name] = bytes.Clone(data)
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.data[name]
	if !ok {
		return nil, model.Errorf(model.KindNotFound, "check the name", "no object")
	}
	return d, nil
}

func (f *fakeObjects) List(context.Context, string) ([]string, error) { return nil, nil }
func (f *fakeObjects) Delete(context.Context, string) error           { return nil }

// testEnv is a store, runners and the nodes that share them.
type testEnv struct {
	t       testing.TB
	table   *fakeTable
	objects *fakeObjects
	mu      sync.Mutex
	hosts   []external.Host
	view    *control.View
	orders  Orders
	cfg     Config
	// shares returns the shares of a node; nil gives all slots to every node.
	shares func(node model.NodeID) Shares
}

func newTestEnv(t testing.TB) *testEnv {
	percent := 10
	return &testEnv{
		t: t, table: newFakeTable(), objects: &fakeObjects{data: map[string][]byte{}},
		view: &control.View{Sequence: 1, Declaration: &declaration.Declaration{
			Services: []declaration.Service{
				{Name: "desk", SlotsPerRunner: 8, ConnectionsPerRunner: 64, DefaultTimeout: declaration.Duration(5 * time.Second), RetryBudgetPercent: &percent},
				{Name: "front", DependsOn: []model.ServiceName{"desk"}},
			},
			Teams:        []declaration.Team{{Name: "press"}},
			BatchClasses: []declaration.BatchClass{{Name: "plates", Urgency: "high", Resources: declaration.Capacity{Cores: 1, MemoryGB: 1}}},
		}},
		cfg: Config{HedgeAfter: -1, DrainDelay: time.Millisecond, ClaimTimeout: 500 * time.Millisecond},
	}
}

// runner starts an upstream runner of the service.
func (w *testEnv) runner(service, id string, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	w.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	w.addHost(external.Host{ID: id, Role: external.RoleRunner, State: external.HostLive, Addr: s.Listener.Addr().String(), Service: model.ServiceName(service), DataCentre: "gent"})
	return s
}

// addHost publishes a new host list with h added.
func (w *testEnv) addHost(h external.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts = append(append([]external.Host(nil), w.hosts...), h)
}

// setState publishes a new host list with the state of one host changed.
func (w *testEnv) setState(id string, s external.HostState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hosts := append([]external.Host(nil), w.hosts...)
	for i := range hosts {
		if hosts[i].ID == id {
			hosts[i].State = s
		}
	}
	w.hosts = hosts
}

// node starts a node and returns its chain and address.
func (w *testEnv) node(name string) (*Chain, string) {
	var shares Shares = &share.SingleNode{Slots: func(model.ServiceName) int { return 8 }}
	if w.shares != nil {
		shares = w.shares(model.NodeID(name))
	}
	c, err := New(w.cfg, Deps{
		View: func() *control.View { return w.view },
		Hosts: func() []external.Host {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.hosts
		},
		Shares: shares,
		Claims: NewClaims(w.table), Objects: w.objects, Orders: w.orders,
		Node: model.NodeID(name), Seed: 1,
	})
	require.NoError(w.t, err)
	s := httptest.NewServer(c)
	w.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return c, s.URL
}

// reply is a response as the caller sees it.
type reply struct {
	status  int
	outcome string
	header  http.Header
	body    []byte
	err     error
}

// sendRequest sends a request with pairs of header names and values and reads the whole
// response.
func sendRequest(t testing.TB, method, url string, body []byte, headers ...string) reply {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, outcome: resp.Header.Get(headerOutcome), header: resp.Header, body: data, err: err}
}

// setFault sets the fault of later commits.
func (f *fakeTable) setFault(fault func(int) (bool, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// setDown sets whether later reads fail.
func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// mustURL parses a URL that is known to be valid.
func mustURL(s string) *url.URL {
	u, err := url.Parse(s)
	if err != nil {
		panic(err)
	}
	return u
}
