package standin

import (
	"bytes"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// Guards against a table without atomicity, order or version checks, which the journal and
// ownership depend on. The model is a plain map.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, rows := NewTable(nil), map[string]external.Row{}
		names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 20).Draw(rt, "transactions") {
			var writes []external.Write
			ok := true
			for _, name := range rapid.SliceOfNDistinct(names, 1, 3, rapid.ID[string]).Draw(rt, "rows") {
				w := external.Write{Key: external.Key{Partition: "p", Row: name}, Value: []byte{rapid.Byte().Draw(rt, "value")}}
				w.Delete = rapid.Bool().Draw(rt, "delete")
				row, exists := rows[name]
				switch rapid.IntRange(0, 2).Draw(rt, "condition") {
				case 0:
					w.Condition.Absent = true
					ok = ok && !exists
				case 1:
					w.Condition.Version = row.Version + uint64(rapid.IntRange(0, 1).Draw(rt, "off"))
					ok = ok && (w.Condition.Version == 0 || w.Condition.Version == row.Version)
				}
				writes = append(writes, w)
			}
			err := table.Commit(t.Context(), writes...)
			require.Equal(rt, ok, err == nil)
			if !ok {
				require.Equal(rt, model.KindConflict, model.KindOf(err))
				continue
			}
			for _, w := range writes {
				delete(rows, w.Key.Row)
				if !w.Delete {
					row, err := table.Get(t.Context(), w.Key)
					require.NoError(rt, err)
					require.Equal(rt, w.Value, row.Value)
					rows[w.Key.Row] = row
				}
			}
		}
		got, err := table.Range(t.Context(), "p", "", 10)
		require.NoError(rt, err)
		require.Len(rt, got, len(rows))
		for i, row := range got {
			require.Equal(rt, rows[row.Key.Row], row)
			require.True(rt, i == 0 || got[i-1].Key.Row < row.Key.Row)
		}
	})
}

// Guards against stale reads without the fault, and against a fault without effect.
func TestStaleReadsOnlyWhenSwitchedOn(t *testing.T) {
	faults := NewFaults(1)
	table := NewTable(faults)
	srv := httptest.NewServer(table)
	defer srv.Close()
	w := external.Write{Key: external.Key{Partition: "p", Row: "r"}}
	require.NoError(t, table.Commit(t.Context(), w))
	status := func() int {
		resp, err := http.Get(srv.URL + "/v1/table/row?partition=p&row=r")
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, status())
	faults.SetService(ServiceTable, ServiceFault{StaleReads: 1})
	require.Equal(t, http.StatusNotFound, status())
}

// Guards against a host list without lag when the fault is set.
func TestHostListLags(t *testing.T) {
	faults := NewFaults(1)
	list := NewHostList(faults, external.Host{ID: "a", State: external.HostLive})
	list.SetState("a", external.HostLeaving)
	for lag, want := range map[time.Duration]external.HostState{0: external.HostLeaving, time.Hour: external.HostLive} {
		faults.SetService(ServiceHosts, ServiceFault{Lag: lag})
		hosts, err := list.Hosts(t.Context())
		require.NoError(t, err)
		require.Equal(t, want, hosts[0].State)
	}
}

func post(t *testing.T, url, key string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("0123456789"))
	require.NoError(t, err)
	req.Header.Set(HeaderKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { require.NoError(t, resp.Body.Close()) }()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

// Guards against runner faults that do not break the response, or that hide an execution.
// Routing tests depend on both.
func TestRunnerFaults(t *testing.T) {
	faults, ledger := NewFaults(1), NewLedger()
	r := NewRunner(RunnerConfig{ID: "r", Faults: faults, Ledger: ledger})
	srv := httptest.NewServer(r)
	defer srv.Close()
	for _, c := range []struct {
		name     string
		fault    RunnerFault
		broken   bool
		executed int
	}{
		{"none", RunnerFault{}, false, 1},
		{"reset", RunnerFault{Reset: true}, true, 1},
		{"wrong length", RunnerFault{WrongLength: true}, true, 1},
		{"accept then die", RunnerFault{BreakBeforeExecution: true}, true, 0},
		{"down", RunnerFault{Down: true}, true, 0},
	} {
		faults.SetRunner("r", c.fault)
		_, data, err := post(t, srv.URL, c.name)
		require.Equal(t, c.broken, err != nil, c.name)
		require.Equal(t, c.executed, r.Executions(c.name), c.name)
		if !c.broken {
			require.Equal(t, "0123456789", string(data))
		}
	}
	faults.SetRunner("r", RunnerFault{Leaving: true})
	resp, _, err := post(t, srv.URL, "leaving")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "true", resp.Header.Get(HeaderLeaving))
	require.True(t, resp.Close)
	require.Zero(t, r.Executions("leaving"))

	faults.SetRunner("r", RunnerFault{})
	_, _, err = post(t, srv.URL, "none")
	require.NoError(t, err)
	require.Equal(t, []string{"none"}, ledger.RepeatedRequests())
}

// Guards against requests beyond the slots being executed or not counted.
func TestRunnerEnforcesSlots(t *testing.T) {
	faults, ledger := NewFaults(1), NewLedger()
	faults.SetRunner("r", RunnerFault{Hang: true})
	r := NewRunner(RunnerConfig{ID: "r", Slots: 2, Faults: faults, Ledger: ledger})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			defer func() { _ = recover() }() // a hanging request ends with http.ErrAbortHandler
			r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", bytes.NewReader([]byte("x"))))
		})
	}
	require.Eventually(t, func() bool { return r.Stats().Executed == 2 }, time.Minute, time.Millisecond)
	rec := httptest.NewRecorder()
	r.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/", nil))
	r.Close()
	wg.Wait()
	require.Equal(t, http.StatusServiceUnavailable, rec.Code)
	require.Equal(t, 1, ledger.Count(RuleSlots))
	require.Equal(t, 2, r.Stats().Executed)
}
