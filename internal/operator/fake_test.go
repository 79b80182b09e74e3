package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// cluster is a journal in memory that several nodes share.
type cluster struct {
	// mu orders the handlers: one whose answer is lost goes on beside the next request.
	mu       sync.Mutex
	entries  []control.Entry
	view     *control.View
	attempts int // live attempts in data centre a; one ends with each status
}

func (c *cluster) View() *control.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *cluster) Append(_ context.Context, seen uint64, rec control.Record) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen != c.view.Sequence {
		return 0, model.Errorf(model.KindConflict, "", "taken")
	}
	next := *c.view
	next.Sequence, next.Out = seen+1, maps.Clone(c.view.Out)
	switch {
	case rec.Accepted != nil:
		doc, err := declaration.Parse("", []byte(c.entries[rec.Accepted.Proposal-1].Record.Proposed.Text))
		if err != nil {
			return 0, err
		}
		next.Declaration, next.Digest, next.AcceptedSequence = doc.Declaration, doc.Digest, next.Sequence
	case rec.DataCentreOut != nil:
		next.Out[rec.DataCentreOut.DataCentre] = next.Sequence
	case rec.DataCentreIn != nil:
		delete(next.Out, rec.DataCentreIn.DataCentre)
	}
	c.entries = append(c.entries, control.Entry{Sequence: next.Sequence, Record: rec})
	c.view = &next
	return next.Sequence, nil
}

func (c *cluster) History(_ context.Context, from uint64, limit int) ([]control.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from > uint64(len(c.entries)) {
		return nil, nil
	}
	rest := c.entries[from-1:]
	return rest[:min(limit, len(rest))], nil
}

func (c *cluster) Status(context.Context) (adminapi.NodeStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.attempts
	c.attempts = max(0, c.attempts-1)
	return adminapi.NodeStatus{
		Node: "n1", Version: "1.2.3", Sequence: c.view.Sequence, Digest: c.view.Digest, OwnedCells: []model.CellID{"a-0"},
		DataCentres: []adminapi.DataCentreStatus{{Name: "a", Cells: 1, LiveAttempts: left}, {Name: "b", Cells: 1}},
		Peers:       []adminapi.PeerStatus{{Node: "n2", Sequence: c.view.Sequence - uint64(min(left, 1))}},
	}, nil
}

// rig is a cluster behind one address, and a way to run vpier against it.
type rig struct {
	t       *testing.T
	cluster *cluster
	url     string
	dir     string
	// mu guards lose and orders, and what the handlers of orders change: a request
	// that is cut off does not order its handler before what the client does next.
	mu sync.Mutex
	// lose makes the next POST take effect without an answer.
	lose bool
	// orders answers /v1/orders.
	orders http.HandlerFunc
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, dir: t.TempDir(), cluster: &cluster{view: &control.View{
		Out: map[model.DataCentre]uint64{}, Members: map[model.NodeID]control.Member{"n1": {ID: "n1"}, "n2": {ID: "n2"}},
	}}}
	sum := sha256.Sum256([]byte("secret"))
	r.file("operators", "anna:"+hex.EncodeToString(sum[:])+"\n")
	r.file("token", "secret\n")
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler, err := adminapi.New(adminapi.Config{OperatorsFile: filepath.Join(r.dir, "operators"), RequestsPerSecond: 1e9, Burst: 1e9},
		adminapi.Deps{Control: r.cluster, Status: r.cluster, Log: logrus.NewEntry(log)})
	require.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, ordersPath) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.orders(w, req)
			return
		}
		if req.Method == http.MethodPost && r.losesNext() {
			handler.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, req)
	}))
	t.Cleanup(server.Close)
	r.url = server.URL
	return r
}

// losesNext reports whether the answer to this request is to be lost.
func (r *rig) losesNext() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lose := r.lose
	r.lose = false
	return lose
}

// set changes or reads what handlers use.
func (r *rig) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// file writes a file into the rig's directory and returns its path.
func (r *rig) file(name, content string) string {
	path := filepath.Join(r.dir, name)
	require.NoError(r.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// run runs vpier with the rig's node and token and returns exit code and output.
func (r *rig) run(args ...string) (int, string, string) {
	return r.runBare(append([]string{"--node", r.url, "--token-file", filepath.Join(r.dir, "token")}, args...)...)
}

func (r *rig) runBare(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	p := &Program{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Version: "test", pollInterval: time.Millisecond}
	code := p.Run(context.Background(), args)
	return code, out.String(), errs.String()
}

// ok runs vpier and expects success.
func (r *rig) ok(args ...string) string {
	r.t.Helper()
	code, out, errs := r.run(args...)
	require.Equal(r.t, ExitOK, code, errs)
	return out
}

const sample = `# reviewed by the board
version: 1
deployment: test
data_centres: [{name: a}, {name: b}]
services: [{name: web, runners: 2}]
`

// accepted returns a rig on which sample is in force, as sequence 2.
func accepted(t *testing.T) *rig {
	r := newRig(t)
	r.ok("propose", r.file("sample.yaml", sample))
	r.ok("accept")
	return r
}

func decode[T any](t *testing.T, text string) T {
	var v T
	require.NoError(t, json.Unmarshal([]byte(text), &v), text)
	return v
}
