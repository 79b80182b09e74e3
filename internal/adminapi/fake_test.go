package adminapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// memControl is an in-memory control journal.
type memControl struct {
	mu      sync.Mutex
	entries []control.Entry
	view    *control.View
	// beforeAppend runs once before the next append, to simulate another node's write.
	beforeAppend func()
	// loseReply makes the next append take effect and return an unknown result.
	loseReply bool
	// untypedError makes the next append take effect and return an error without a kind.
	untypedError bool
}

func (m *memControl) View() *control.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

func (m *memControl) Append(_ context.Context, seen uint64, rec control.Record) (uint64, error) {
	if hook := m.beforeAppend; hook != nil {
		m.beforeAppend = nil
		hook()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if seen != m.view.Sequence {
		return 0, model.Errorf(model.KindConflict, "", "sequence %d is taken", seen+1)
	}
	entry := control.Entry{Sequence: seen + 1, Record: rec}
	m.entries = append(m.entries, entry)
	m.view = applyEntry(m.view, m.entries, entry)
	if m.loseReply {
		m.loseReply = false
		return 0, model.Errorf(model.KindUnknown, "", "no answer")
	}
	if m.untypedError {
		m.untypedError = false
		return 0, errors.New("connection reset")
	}
	return entry.Sequence, nil
}

func (m *memControl) History(_ context.Context, from uint64, limit int) ([]control.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from > uint64(len(m.entries)) {
		return nil, nil
	}
	rest := m.entries[from-1:]
	return rest[:min(limit, len(rest))], nil
}

// applyEntry returns the view after entry.
func applyEntry(v *control.View, entries []control.Entry, entry control.Entry) *control.View {
	next := *v
	next.Sequence, next.Out = entry.Sequence, maps.Clone(v.Out)
	switch rec := entry.Record; {
	case rec.Accepted != nil:
		text := entries[rec.Accepted.Proposal-1].Record.Proposed.Text
		if text == "" {
			text = sample // long texts of the tests differ from it in comments only
		}
		doc, err := declaration.Parse("", []byte(text))
		if err != nil {
			panic(err)
		}
		next.Declaration, next.Digest, next.AcceptedSequence = doc.Declaration, doc.Digest, entry.Sequence
	case rec.DataCentreOut != nil:
		next.Out[rec.DataCentreOut.DataCentre] = entry.Sequence
	case rec.DataCentreIn != nil:
		delete(next.Out, rec.DataCentreIn.DataCentre)
	}
	return &next
}

// append adds a record, to simulate another node's write.
func (m *memControl) append(rec control.Record) {
	if _, err := m.Append(context.Background(), m.View().Sequence, rec); err != nil {
		panic(err)
	}
}

// memTextStore is an in-memory text store.
type memTextStore map[string][]byte

func (m memTextStore) PutText(_ context.Context, digest string, text []byte) error {
	m[digest] = text
	return nil
}

func (m memTextStore) Text(_ context.Context, digest string) ([]byte, error) {
	if text, ok := m[digest]; ok {
		return text, nil
	}
	return nil, model.Errorf(model.KindNotFound, "", "no text %s", digest)
}

type fixedStatus struct{}

func (fixedStatus) Status(context.Context) (NodeStatus, error) { return NodeStatus{Node: "n1"}, nil }

// api is a handler with a memControl and the operators anna and ben.
type api struct {
	control       *memControl
	texts         memTextStore
	handler       http.Handler
	operatorsPath string
}

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// testingT is the common interface of *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Errorf(format string, args ...any)
	FailNow()
}

func newAPI(t testingT, dir string, cfg Config) *api {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := &api{
		control:       &memControl{view: &control.View{Out: map[model.DataCentre]uint64{}}},
		texts:         memTextStore{},
		operatorsPath: filepath.Join(dir, "operators"),
	}
	content := "# operators\nanna:" + digestOf("anna-token") + "\nben:" + digestOf("ben-token") + "\ncarl:certificate\n"
	require.NoError(t, os.WriteFile(a.operatorsPath, []byte(content), 0o600))
	cfg.OperatorsFile = a.operatorsPath
	handler, err := New(cfg, Deps{Control: a.control, Status: fixedStatus{}, Texts: a.texts, Log: logrus.NewEntry(log), Now: func() time.Time { return time.UnixMilli(1_000_000) }})
	require.NoError(t, err)
	a.handler = handler
	return a
}

// send sends body as JSON with the token of an operator.
func (a *api) send(method, path, token string, body any) (int, []byte) {
	data, _ := json.Marshal(body)
	return a.sendRaw(method, path, "Bearer "+token, data)
}

func (a *api) sendRaw(method, path, auth string, body []byte) (int, []byte) {
	r := httptest.NewRequest(method, Prefix+path, bytes.NewReader(body))
	r.RemoteAddr = "127.0.0.1:1"
	r.Header.Set("Authorization", auth)
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	return w.Code, w.Body.Bytes()
}

// command sends a command as anna and decodes the reply or the error.
func (a *api) command(path string, body any) (int, CommandReply, ErrorReply) {
	code, data := a.send(http.MethodPost, path, "anna-token", body)
	var ok CommandReply
	var bad ErrorReply
	if code == http.StatusOK {
		_ = json.Unmarshal(data, &ok)
	} else {
		_ = json.Unmarshal(data, &bad)
	}
	return code, ok, bad
}

const sample = `version: 1
deployment: test
data_centres: [{name: a}, {name: b}]
services: [{name: web, runners: 2}]
`

// newAPIWithDeclaration returns an API on which sample is the accepted declaration, at
// sequence 2.
func newAPIWithDeclaration(t *testing.T, cfg Config) *api {
	a := newAPI(t, t.TempDir(), cfg)
	code, reply, bad := a.command("propose", ProposeRequest{Command{"request-1", 0}, sample, ""})
	require.Equal(t, 200, code, bad)
	code, _, bad = a.command("accept", AcceptRequest{Command{"request-2", reply.Sequence}, reply.Sequence, reply.Digest})
	require.Equal(t, 200, code, bad)
	return a
}
