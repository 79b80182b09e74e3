package httpapi_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/external/httpapi"
	"github.com/vanillapier/vanillapier/internal/external/standin"
	"github.com/vanillapier/vanillapier/internal/model"
)

func put(row string) external.Write {
	return external.Write{
		Key: external.Key{Partition: "p", Row: row}, Value: []byte("v"),
		Condition: external.Condition{Absent: true},
	}
}

// operations has one call of each kind. A failure without a response means an unknown
// result for writes only.
var operations = []struct {
	name  string
	write bool
	call  func(ctx context.Context, base string) error
}{
	{"commit", true, func(ctx context.Context, base string) error {
		return httpapi.NewTable(base, nil).Commit(ctx, put("r"))
	}},
	{"get", false, func(ctx context.Context, base string) error {
		_, err := httpapi.NewTable(base, nil).Get(ctx, external.Key{Partition: "p", Row: "r"})
		return err
	}},
	{"range", false, func(ctx context.Context, base string) error {
		_, err := httpapi.NewTable(base, nil).Range(ctx, "p", "", 10)
		return err
	}},
	{"object put", true, func(ctx context.Context, base string) error {
		return httpapi.NewObjects(base, nil).Put(ctx, "a/b", []byte("x"))
	}},
	{"empty object put", true, func(ctx context.Context, base string) error {
		return httpapi.NewObjects(base, nil).Put(ctx, "a/b", nil)
	}},
	{"object delete", true, func(ctx context.Context, base string) error {
		return httpapi.NewObjects(base, nil).Delete(ctx, "a/b")
	}},
	{"object get", false, func(ctx context.Context, base string) error {
		_, err := httpapi.NewObjects(base, nil).Get(ctx, "a/b")
		return err
	}},
	{"hosts", false, func(ctx context.Context, base string) error {
		_, err := httpapi.NewHostList(base, nil).Hosts(ctx)
		return err
	}},
	{"command", true, func(ctx context.Context, base string) error {
		host := external.Host{ID: "w", Addr: strings.TrimPrefix(base, "http://")}
		_, err := httpapi.NewWorkers(nil).Command(ctx, host, external.WorkerCommand{Cell: "c"})
		return err
	}},
}

// kindFor returns the expected error kind when no usable response is received.
func kindFor(write bool) model.Kind {
	if write {
		return model.KindUnknown
	}
	return model.KindUnavailable
}

// Guards against a failure being reported as without effect when a write may have taken
// effect, and the reverse.
func TestErrorMapping(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(code)
		}
	}
	broken := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	}
	short := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("{"))
	}
	fixed := map[int]model.Kind{
		400: model.KindInvalid, 403: model.KindDenied, 404: model.KindNotFound, 409: model.KindConflict,
		412: model.KindFenced, 429: model.KindUnavailable, 503: model.KindUnavailable,
	}
	for _, op := range operations {
		check := func(name string, h http.HandlerFunc, want model.Kind) {
			srv := httptest.NewServer(h)
			defer srv.Close()
			require.Equal(t, want, model.KindOf(op.call(t.Context(), srv.URL)), "%s: %s", op.name, name)
		}
		for code, kind := range fixed {
			check(http.StatusText(code), status(code), kind)
		}
		for _, code := range []int{302, 500, 502, 504} {
			check(http.StatusText(code), status(code), kindFor(op.write))
		}
		check("broken connection", broken, kindFor(op.write))
		check("short body", short, kindFor(op.write))

		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addr := ln.Addr().String()
		require.NoError(t, ln.Close())
		require.Equal(t, model.KindUnavailable, model.KindOf(op.call(t.Context(), "http://"+addr)), "%s: refused", op.name)

		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		if op.name != "empty object put" { // an empty body cannot prove that it was not sent
			require.Equal(t, model.KindUnavailable, model.KindOf(op.call(cancelled, "http://"+addr)), "%s: cancelled", op.name)
		}
	}
}

// Guards against a lost response being reported as a failed write: the row exists, so a
// caller that retries the put under a new id would write twice.
func TestLostResponseIsUnknown(t *testing.T) {
	faults := standin.NewFaults(1)
	state := standin.NewTable(faults)
	srv := httptest.NewServer(state)
	defer srv.Close()
	table := httpapi.NewTable(srv.URL, nil)

	faults.SetService(standin.ServiceTable, standin.ServiceFault{LoseResponse: 1})
	require.Equal(t, model.KindUnknown, model.KindOf(table.Commit(t.Context(), put("1"))))
	faults.SetService(standin.ServiceTable, standin.ServiceFault{})
	row, err := table.Get(t.Context(), put("1").Key)
	require.NoError(t, err)
	require.Equal(t, "v", string(row.Value))
	require.Equal(t, model.KindConflict, model.KindOf(table.Commit(t.Context(), put("1"))))
}

// Guards against a deadline that expires after a write was sent being reported as a write
// without effect: a slow service executes it later.
func TestTimeoutAfterSendIsUnknown(t *testing.T) {
	received, proceed := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		<-proceed
	}))
	defer srv.Close()
	defer close(proceed)
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-received
		cancel(context.DeadlineExceeded)
	}()
	require.Equal(t, model.KindUnknown, model.KindOf(httpapi.NewTable(srv.URL, nil).Commit(ctx, put("1"))))
}

// Guards against net/http repeating a write when a reused connection breaks after the
// server has read the request.
func TestWritesAreSentOnce(t *testing.T) {
	for _, op := range operations {
		if !op.write {
			continue
		}
		var warm atomic.Bool
		var count atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if !warm.Swap(true) {
				_, _ = w.Write([]byte("{}"))
				return
			}
			count.Add(1)
			panic(http.ErrAbortHandler)
		}))
		shared := http.DefaultTransport.(*http.Transport).Clone()
		client := &http.Client{Transport: shared}
		table, objects, workers := httpapi.NewTable(srv.URL, client), httpapi.NewObjects(srv.URL, client), httpapi.NewWorkers(client)
		require.NoError(t, table.Commit(t.Context(), put("1")))
		var err error
		switch op.name {
		case "commit":
			err = table.Commit(t.Context(), put("1"))
		case "object put":
			err = objects.Put(t.Context(), "a", []byte("x"))
		case "empty object put":
			err = objects.Put(t.Context(), "a", nil)
		case "object delete":
			err = objects.Delete(t.Context(), "a")
		case "command":
			_, err = workers.Command(t.Context(), external.Host{Addr: srv.Listener.Addr().String()}, external.WorkerCommand{})
		}
		require.Equal(t, model.KindUnknown, model.KindOf(err), op.name)
		require.Equal(t, int32(1), count.Load(), "%s reached the server more than once", op.name)
		srv.Close()
	}
}

// repeater is a transport that reads the body of every request twice.
type repeater struct{ sent atomic.Int32 }

func (r *repeater) RoundTrip(req *http.Request) (*http.Response, error) {
	for range 2 {
		body, err := io.ReadAll(req.Body)
		if err == nil && len(body) > 0 {
			r.sent.Add(1)
		}
		_ = req.Body.Close()
	}
	if req.GetBody != nil {
		r.sent.Add(100)
	}
	return nil, errors.New("broken")
}

// Guards against a transport that repeats requests, and against one that reads the body
// after the request was reported as not sent.
func TestBodyCannotBeReadAgain(t *testing.T) {
	rt := &repeater{}
	err := httpapi.NewTable("http://127.0.0.1:1", &http.Client{Transport: rt}).Commit(t.Context(), put("1"))
	require.Equal(t, model.KindUnknown, model.KindOf(err))
	require.Equal(t, int32(1), rt.sent.Load())

	late := make(chan io.ReadCloser, 1)
	client := &http.Client{Transport: roundTripFunc(func(req *http.Request) (*http.Response, error) {
		late <- req.Body
		return nil, errors.New("no connection")
	})}
	err = httpapi.NewTable("http://127.0.0.1:1", client).Commit(t.Context(), put("1"))
	require.Equal(t, model.KindUnavailable, model.KindOf(err))
	_, err = io.ReadAll(<-late)
	require.Error(t, err)
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a redirect repeating a write at another address.
func TestRedirectIsNotFollowed(t *testing.T) {
	var hits atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { hits.Add(1) }))
	defer target.Close()
	srv := httptest.NewServer(http.RedirectHandler(target.URL, http.StatusTemporaryRedirect))
	defer srv.Close()
	for _, op := range operations {
		require.Equal(t, kindFor(op.write), model.KindOf(op.call(t.Context(), srv.URL)), op.name)
	}
	require.Zero(t, hits.Load())
}

// Guards against an endless response exhausting the node's memory.
func TestResponseSizeIsBounded(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		chunk := make([]byte, 1<<20)
		for range 2 * httpapi.MaxTableResponse >> 20 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	_, err := httpapi.NewTable(srv.URL, nil).Range(t.Context(), "p", "", 1)
	require.Equal(t, model.KindExhausted, model.KindOf(err))
	_, err = httpapi.NewWorkers(nil).Command(t.Context(), external.Host{Addr: srv.Listener.Addr().String()}, external.WorkerCommand{})
	require.Equal(t, model.KindUnknown, model.KindOf(err), "the command was carried out")
}

// Guards against names or hosts that change when they are encoded and decoded.
func TestRoundTripsThroughStandIns(t *testing.T) {
	p := standin.NewPlatform(standin.PlatformConfig{DataCentres: []standin.DataCentreConfig{{
		Name: "dc", Racks: 1, WorkersPerRack: 2, Capacity: model.Resources{MilliCPU: 1000, MemoryMB: 100},
	}}})
	require.NoError(t, p.Start())
	defer func() { require.NoError(t, p.Close()) }()
	objects := httpapi.NewObjects(p.URL(), nil)
	for _, name := range []string{"a/b", "a/b c", "a/ü%2F?x=1", "a/-1"} {
		require.NoError(t, objects.Put(t.Context(), name, []byte(name)))
		data, err := objects.Get(t.Context(), name)
		require.NoError(t, err)
		require.Equal(t, name, string(data))
	}
	names, err := objects.List(t.Context(), "a/b")
	require.NoError(t, err)
	require.Equal(t, []string{"a/b", "a/b c"}, names)
	require.NoError(t, objects.Delete(t.Context(), "a/b"))
	_, err = objects.Get(t.Context(), "a/b")
	require.Equal(t, model.KindNotFound, model.KindOf(err))
	for _, bad := range []string{"", "/a", "a/../b", "a//b"} {
		require.Equal(t, model.KindInvalid, model.KindOf(objects.Put(t.Context(), bad, nil)), bad)
	}

	hosts, err := httpapi.NewHostList(p.URL(), nil).Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, p.Hosts(), hosts)
	report, err := httpapi.NewWorkers(nil).Command(t.Context(), hosts[0], external.WorkerCommand{Cell: "c", Epoch: 1})
	require.NoError(t, err)
	require.Equal(t, hosts[0].ID, string(report.Worker))
	require.Equal(t, 2*time.Second, report.SessionTTL)

	id := model.WorkerID(hosts[0].ID)
	require.Error(t, p.RestartWorker(id))
	p.KillWorker(id)
	_, err = httpapi.NewWorkers(nil).Command(t.Context(), hosts[0], external.WorkerCommand{Cell: "c", Epoch: 1})
	require.Equal(t, model.KindUnavailable, model.KindOf(err))
	require.NoError(t, p.RestartWorker(id))
	hosts, err = httpapi.NewHostList(p.URL(), nil).Hosts(t.Context())
	require.NoError(t, err)
	_, err = httpapi.NewWorkers(nil).Command(t.Context(), hosts[0], external.WorkerCommand{Cell: "c", Epoch: 1})
	require.NoError(t, err)
}
