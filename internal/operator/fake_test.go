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

// fakeCluster is an in-memory control journal of two nodes.
type fakeCluster struct {
	// mu serializes the handlers: a handler whose response is lost runs concurrently with
	// the next request.
	mu           sync.Mutex
	entries      []control.Entry
	view         *control.View
	liveAttempts int // live attempts in data centre a; each status request ends one
}

func (c *fakeCluster) View() *control.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *fakeCluster) Append(_ context.Context, seen uint64, rec control.Record) (uint64, error) {
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

func (c *fakeCluster) History(_ context.Context, from uint64, limit int) ([]control.Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from > uint64(len(c.entries)) {
		return nil, nil
	}
	rest := c.entries[from-1:]
	return rest[:min(limit, len(rest))], nil
}

func (c *fakeCluster) Status(context.Context) (adminapi.NodeStatus, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left := c.liveAttempts
	c.liveAttempts = max(0, c.liveAttempts-1)
	return adminapi.NodeStatus{
		Node: "n1", Version: "1.2.3", Sequence: c.view.Sequence, Digest: c.view.Digest, OwnedCells: []model.CellID{"a-0"},
		DataCentres: []adminapi.DataCentreStatus{{Name: "a", Cells: 1, LiveAttempts: left}, {Name: "b", Cells: 1}},
		Peers:       []adminapi.PeerStatus{{Node: "n2", Sequence: c.view.Sequence - uint64(min(left, 1))}},
	}, nil
}

// harness runs vpier against a fakeCluster behind one address.
type harness struct {
	t       *testing.T
	cluster *fakeCluster
	url     string
	dir     string
	// mu guards loseNextReply and onOrder, and the variables that onOrder changes.
	// The handler of an aborted request may still run when the client continues.
	mu sync.Mutex
	// loseNextReply makes the next POST take effect without a response.
	loseNextReply bool
	// onOrder handles requests to /v1/orders.
	onOrder http.HandlerFunc
}

func newHarness(t *testing.T) *harness {
	r := &harness{t: t, dir: t.TempDir(), cluster: &fakeCluster{view: &control.View{
		Out: map[model.DataCentre]uint64{}, Members: map[model.NodeID]control.Member{"n1": {ID: "n1"}, "n2": {ID: "n2"}},
	}}}
	sum := sha256.Sum256([]byte("secret"))
	r.writeFile("operators", "anna:"+hex.EncodeToString(sum[:])+"\n")
	r.writeFile("token", "secret\n")
	log := logrus.New()
	log.SetOutput(io.Discard)
	handler, err := adminapi.New(adminapi.Config{OperatorsFile: filepath.Join(r.dir, "operators"), RequestsPerSecond: 1e9, Burst: 1e9},
		adminapi.Deps{Control: r.cluster, Status: r.cluster, Log: logrus.NewEntry(log)})
	require.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, ordersPath) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.onOrder(w, req)
			return
		}
		if req.Method == http.MethodPost && r.takeLoseNextReply() {
			handler.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, req)
	}))
	t.Cleanup(server.Close)
	r.url = server.URL
	return r
}

// takeLoseNextReply returns and resets loseNextReply.
func (r *harness) takeLoseNextReply() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lose := r.loseNextReply
	r.loseNextReply = false
	return lose
}

// withLock runs change while it holds mu.
func (r *harness) withLock(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// writeFile writes a file into the harness's directory and returns its path.
func (r *harness) writeFile(name, content string) string {
	path := filepath.Join(r.dir, name)
	require.NoError(r.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// run runs vpier with the harness's node and token and returns the exit code, standard
// output and standard error.
func (r *harness) run(args ...string) (int, string, string) {
	return r.runArgs(append([]string{"--node", r.url, "--token-file", filepath.Join(r.dir, "token")}, args...)...)
}

func (r *harness) runArgs(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	p := &Program{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Version: "test", pollInterval: time.Millisecond}
	code := p.Run(context.Background(), args)
	return code, out.String(), errs.String()
}

// mustRun runs vpier, requires success and returns standard output.
func (r *harness) mustRun(args ...string) string {
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

// newHarnessWithDeclaration returns a harness on which sample is the accepted declaration,
// at sequence 2.
func newHarnessWithDeclaration(t *testing.T) *harness {
	r := newHarness(t)
	r.mustRun("propose", r.writeFile("sample.yaml", sample))
	r.mustRun("accept")
	return r
}

func decode[T any](t *testing.T, text string) T {
	var v T
	require.NoError(t, json.Unmarshal([]byte(text), &v), text)
	return v
}
