package operator

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against invalid input that has an effect, crashes vpier, or gives an error
// without a remedy.
func TestInvalidInput(t *testing.T) {
	r := newHarnessWithDeclaration(t)
	r.onOrder = func(w http.ResponseWriter, req *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"kind":"conflict","message":"job 7 has ended","remedy":"nothing to do"}`)
	}
	changed := r.writeFile("changed.yaml", sample+"limits: {evictions_per_minute: 9}\n")
	r.mustRun("propose", changed)
	r.mustRun("propose", changed)
	r.mustRun("propose", changed)
	r.mustRun("reject", "3", "--reason", "too many")
	r.mustRun("accept", "4")
	r.mustRun("drain", "a")
	before := len(r.cluster.entries)
	wide := r.writeFile("utf16.yaml", "\xff\xfev\x00")
	large := r.writeFile("large.yaml", strings.Repeat("# x\n", 2_500_001))
	wrong := r.writeFile("wrong-token", "guess")
	two := r.writeFile("two-tokens", "one two")
	bad := r.writeFile("bad.yaml", "version: 1\ndeploymnt: x\n")
	rows := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, 2, "no command is given"},
		{"unknown command", []string{"dance"}, 2, "invalid subcommand"},
		{"unknown flag", []string{"status", "--fast"}, 2, "unknown argument --fast"},
		{"missing argument", []string{"check"}, 2, "FILE is required"},
		{"bad output", []string{"-o", "xml", "status"}, 2, "neither text nor json"},
		{"bad duration", []string{"--timeout", "5", "status"}, 2, "missing unit"},
		{"negative timeout", []string{"--timeout", "-5s", "status"}, 2, "above 0"},
		{"no file", []string{"check", "nowhere.yaml"}, 2, "there is no file nowhere.yaml"},
		{"directory", []string{"check", r.dir}, 2, "is a directory"},
		{"wrong file", []string{"check", "operator.go"}, 1, "remedy"},
		{"binary", []string{"check", r.writeFile("binary.yaml", "\x7fELF\x00")}, 1, "is binary"},
		{"UTF-16", []string{"check", wide}, 1, "UTF-16"},
		{"10 MB", []string{"propose", large}, 2, "the limit is 10000000"},
		{"empty", []string{"check", r.writeFile("empty.yaml", "")}, 1, "is empty"},
		{"empty stdin", []string{"check", "-"}, 1, "is empty"},
		{"misspelled field", []string{"propose", bad}, 2, "did you mean deployment?"},
		{"diff with faults", []string{"diff", "accepted", bad}, 2, "unknown field"},
		{"unknown data centre", []string{"drain", "c"}, 2, "use one of a, b"},
		{"odd data centre", []string{"drain", "../accept"}, 2, "no data centre"},
		{"drain all", []string{"drain", "b"}, 2, "last data centre in service"},
		{"drain twice", []string{"drain", "a"}, 3, "already out of service"},
		{"return what is in", []string{"return", "b"}, 3, "is in service"},
		{"accept rejected", []string{"accept", "3"}, 3, "was rejected by anna as sequence 6: too many"},
		{"accept superseded", []string{"accept", "5"}, 3, "superseded"},
		{"accept none open", []string{"accept"}, 2, "no proposal is open"},
		{"accept a word", []string{"accept", "five"}, 2, "error processing"},
		{"propose the same", []string{"propose", changed}, 3, "already in force"},
		{"reject without reason", []string{"reject", "5"}, 2, "add --reason"},
		{"cancel ended", []string{"cancel", "7"}, 3, "job 7 has ended"},
		{"submit nothing", []string{"submit", r.writeFile("none.yaml", "\n")}, 2, "is empty"},
		{"submit prose", []string{"submit", r.writeFile("prose.yaml", "hello")}, 2, "is not a job"},
		{"unknown key", []string{"submit", "--idempotency-key", "a b", r.writeFile("job.yaml", "team: t")}, 2, "key is not valid"},
		{"wrong token", []string{"--token-file", wrong, "status"}, 2, "the token is not known"},
		{"two tokens", []string{"--token-file", two, "status"}, 2, "does not hold one token"},
		{"no token file", []string{"--token-file", "nowhere", "status"}, 2, "no file nowhere"},
		{"cert without key", []string{"--cert", wrong, "status"}, 2, "only one of --cert and --key"},
		{"no certificate", []string{"--ca", wrong, "status"}, 2, "holds no certificate"},
		{"bad address", []string{"--node", "ftp://x", "status"}, 2, "not the address of a node"},
		{"plaintext", []string{"--node", "http://192.0.2.1:1", "status"}, 2, "without TLS"},
		{"unreachable", []string{"--node", "http://127.0.0.1:1", "--node", "http://127.0.0.1:2", "status"}, 4, "none of 2 nodes"},
		{"cancel unreachable", []string{"--node", "http://127.0.0.1:1", "cancel", "j"}, 4, "did not answer"},
		{"history from 0", []string{"history", "--from", "0"}, 2, "at least 1"},
		{"history of nothing", []string{"history", "--find-request", "nobody-sent-it"}, 2, "no command with request id"},
		{"export over a file", []string{"history", "--export", changed}, 2, "does not exist yet"},
		{"wait for nothing", []string{"status", "--sequence", "9"}, 2, "add --wait"},
		{"wait for in service", []string{"status", "--wait", "--data-centre", "b"}, 3, "is in service"},
		{"wait runs out", []string{"status", "--wait", "--sequence", "99", "--wait-timeout", "20ms"}, 1, "0 of 2 nodes run sequence 99"},
		{"no replay", []string{"replay", changed, "--config", changed}, 2, "no replay"},
		{"no dev", []string{"dev"}, 2, "no dev mode"},
		{"no soak", []string{"soak"}, 2, "no soak"},
		{"unknown shell", []string{"completion", "fish"}, 2, "bash or zsh"},
		{"summary of no log", []string{"trace-summary", changed}, 2, "no decision lines"},
		{"losses of no log", []string{"losses", changed}, 2, "no submission"},
		{"losses of no file", []string{"losses", changed + ".none"}, 2, "remedy"},
		{"losses with a wrong share", []string{"losses", "--late-share", "1.5", changed}, 2, "from 0 to 1"},
		{"losses without a place for the page", []string{"losses", "--html", changed + "/page.html", r.writeFile("nodes.log", `{"decision":"submit","choice":"ok","job":"a","time":"2026-01-01T00:00:00Z"}`)}, 2, "--html"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			run := r.run
			if len(row.args) > 0 && row.args[0] == "--node" {
				run = r.runArgs
			}
			code, _, errs := run(row.args...)
			assert.Equal(t, row.code, code)
			assert.Contains(t, errs, row.want)
			assert.Contains(t, errs, "(remedy: ")
			assert.Len(t, r.cluster.entries, before, "nothing may change")
		})
	}
}

// Guards against a variable that is ignored because it is misspelled or has an invalid
// value, and against a flag without a variable.
func TestEnvironment(t *testing.T) {
	r := newHarness(t)
	t.Setenv("VPIER_WAIT_TIMEOUT", "soon")
	code, _, errs := r.run("status")
	assert.Equal(t, ExitUsage, code)
	assert.Contains(t, errs, "VPIER_WAIT_TIMEOUT")
	t.Setenv("VPIER_WAIT_TIMEOUT", "1s")
	t.Setenv("VPIER_NODES", "http://127.0.0.1:1,"+r.url)
	t.Setenv("VPIER_TOKEN_FILE", filepath.Join(r.dir, "token"))
	code, _, errs = r.runArgs("status")
	assert.Equal(t, ExitOK, code, errs)

	require.NoError(t, checkEnviron([]string{"VPIER_NODES=x", "VPIERD_LISTEN=y", "PATH=z"}))
	assert.ErrorContains(t, checkEnviron([]string{"VPIER_NODE=x"}), "VPIER_NODE is not known")
	checkFlags(t, reflect.TypeFor[rootArgs]())
}

func checkFlags(t *testing.T, typ reflect.Type) {
	for i := range typ.NumField() {
		tag := typ.Field(i).Tag.Get("arg")
		if strings.Contains(tag, "--") {
			assert.Contains(t, tag, "env:", typ.Field(i).Name)
		}
		inner := typ.Field(i).Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			checkFlags(t, inner)
		}
	}
}

// Guards against a lost response that is reported as failure or retried as a second
// command, and against reporting success without a record in the journal.
func TestLostResponse(t *testing.T) {
	r := newHarnessWithDeclaration(t)
	r.withLock(func() { r.loseNextReply = true })
	out := r.mustRun("-o", "json", "drain", "a", "--reason", "power")
	reply := decode[adminapi.CommandReply](t, out)
	assert.Equal(t, uint64(3), reply.Sequence)
	assert.Equal(t, "anna", reply.Actor)
	assert.Len(t, r.cluster.entries, 3)

	id := r.cluster.entries[2].Record.RequestID
	assert.Contains(t, r.mustRun("history", "--find-request", id), "took data centre a out of service: power")
	assert.Contains(t, r.mustRun("drain", "a", "--request-id", id), "out of service as 3", "a repeated command has its first result")

	r.withLock(func() { r.loseNextReply = true })
	p := &Program{client: &client{nodes: []string{r.url}, http: http.DefaultClient, timeout: time.Minute}}
	_, err := p.run(context.Background(), "data-centres/a/in", adminapi.Command{RequestID: "request-x", SeenSequence: 3}, map[string]any{})
	assert.Equal(t, ExitUnknown, exitCode(err), "without a token neither the command nor the history can be resolved")
	assert.ErrorContains(t, err, "--request-id request-x --seen 3")
}

// Guards against an error of a second node that hides a lost response of the first one,
// and against treating a load balancer's error as one of the node.
func TestUnknownResults(t *testing.T) {
	r := newHarness(t)
	calls := 0
	r.onOrder = func(w http.ResponseWriter, req *http.Request) {
		if calls++; calls == 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusUnauthorized)
		_, _ = io.WriteString(w, `{"kind":"denied","message":"no","remedy":"ask"}`)
	}
	job := r.writeFile("job.yaml", "team: t")
	code, _, errs := r.run("--node", r.url, "submit", job)
	assert.Equal(t, ExitUnknown, code, errs)
	r.withLock(func() { assert.GreaterOrEqual(t, calls, 2) })
	for status, want := range map[int]int{http.StatusBadGateway: ExitUnknown, http.StatusNotFound: ExitUnavailable} {
		r.withLock(func() { r.onOrder = func(w http.ResponseWriter, req *http.Request) { http.Error(w, "<html>", status) } })
		code, _, errs = r.run("cancel", "j")
		assert.Equal(t, want, code, errs)
	}
}

// Guards against waits that end before all nodes have applied the sequence or while work
// is left, and against output without the next step.
func TestWaiting(t *testing.T) {
	r := newHarnessWithDeclaration(t)
	r.cluster.liveAttempts = 3
	code, out, errs := r.run("drain", "a", "--wait")
	require.Equal(t, ExitOK, code, errs)
	assert.Contains(t, errs, "1 of 2 nodes run sequence 3; n2 is at 2")
	assert.Contains(t, errs, "0 attempts left in a, 1 of 1 cells counted")
	assert.Contains(t, out, "no work is left there")
	assert.Contains(t, r.mustRun("status"), "out of service")
	assert.Contains(t, r.mustRun("return", "a", "--wait"), "in service as 4")

	s := systemStatus{Members: map[model.NodeID]uint64{}}
	_, done := sequenceProgress(s, 0)
	assert.False(t, done, "no node is not all nodes")
	s.DataCentres = []dataCentreTotal{{DeclaredCells: 2, DataCentreStatus: adminapi.DataCentreStatus{Name: "a", Out: true, Cells: 1}}}
	text, done, err := drainProgress(s, "a")
	require.NoError(t, err)
	assert.False(t, done, "a cell whose owner did not answer may have work: %s", text)
	view := adminapi.ViewReply{Members: []control.Member{{ID: "n1"}, {ID: "n9"}}}
	assert.Equal(t, []model.NodeID{"n9"}, mergeStatuses(view, []adminapi.NodeStatus{{Node: "n1", Sequence: 1}, {Node: "n1", Sequence: 1}}).Missing)
}

// Guards against a history or an export that loses comments or decisions, and against
// accepting one of several open proposals without an explicit choice.
func TestProposeAndAccept(t *testing.T) {
	r := newHarnessWithDeclaration(t)
	changed := r.writeFile("changed.yaml", sample+"  # more\nlimits: {evictions_per_minute: 9}\n")
	assert.Contains(t, r.mustRun("diff", "accepted", changed), "limits: evictions_per_minute 6 -> 9")
	assert.Contains(t, r.mustRun("propose", changed, "--note", "busy week"), "next: vpier accept 3")
	r.mustRun("propose", changed)
	code, _, errs := r.run("accept")
	assert.Equal(t, ExitUsage, code)
	assert.Contains(t, errs, "several proposals are open: 3 by anna, 4 by anna")
	r.mustRun("reject", "4", "--reason", "twice")
	assert.Contains(t, r.mustRun("accept", "--wait"), "is accepted as 6 by anna")
	assert.Contains(t, r.mustRun("history"), "proposed declaration "+r.cluster.view.Digest[:12]+": busy week")

	open := map[uint64]string{3: "anna"}
	updateOpenProposals(open, control.Entry{Record: control.Record{Accepted: &control.DeclarationAccepted{Proposal: 9}}})
	assert.Empty(t, open, "an acceptance during the search supersedes the rest")

	export := filepath.Join(r.dir, "export.yaml")
	r.mustRun("history", "--export", export)
	text, err := os.ReadFile(export)
	require.NoError(t, err)
	for _, want := range []string{"# reviewed by the board", "# more", "accepted by anna as 6", `rejected by anna as 5`, `"twice"`, `note "busy week"`} {
		assert.Contains(t, string(text), want)
	}
}

// Guards against an order that runs twice because the key differs, and against an unknown
// outcome that is reported as success or rejection.
func TestOrders(t *testing.T) {
	r := newHarness(t)
	var keys []string
	outcome, status := "done", http.StatusAccepted
	r.onOrder = func(w http.ResponseWriter, req *http.Request) {
		keys = append(keys, req.Header.Get(headerIdempotencyKey))
		w.Header().Set(headerOutcome, outcome)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"job":"j1"}`)
	}
	yaml := r.writeFile("job.yaml", "team: t\nclass: c # comment\n")
	assert.Contains(t, r.mustRun("submit", yaml), `{"job":"j1"}`)
	r.mustRun("submit", r.writeFile("job.json", `{"class":"c","team":"t"}`))
	r.mustRun("submit", "--idempotency-key", "mine", yaml)
	assert.Equal(t, keys[0], keys[1])
	assert.Equal(t, "mine", keys[2])
	assert.Contains(t, r.mustRun("cancel", "j1"), "j1 is cancelled")
	outcome, status = "unknown", http.StatusGatewayTimeout
	code, _, errs := r.run("submit", yaml)
	assert.Equal(t, ExitUnknown, code)
	assert.Contains(t, errs, "submit the same file again")
	outcome, status = "not-run", http.StatusServiceUnavailable
	code, _, _ = r.run("submit", yaml)
	assert.Equal(t, ExitUnavailable, code)
}

// Guards against arguments that are not passed to replay and dev, errors without JSON
// output, and completion scripts that lack a command.
func TestDelegatedCommandsAndOutput(t *testing.T) {
	r := newHarness(t)
	file := r.writeFile("trace", "x")
	var replay ReplayArgs
	var dev DevArgs
	var out strings.Builder
	p := &Program{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out, Version: "1.2.3"}
	p.Replay = func(_ context.Context, a ReplayArgs, _ io.Writer) error { replay = a; return nil }
	p.Dev = func(_ context.Context, a DevArgs, _ io.Writer) error {
		dev = a
		return failedError{model.Errorf(model.KindInvalid, "see the table", "R4 failed")}
	}
	ctx := context.Background()
	assert.Equal(t, ExitOK, p.Run(ctx, []string{"replay", file, "--config", file, "--config", file, "--seed", "7"}))
	assert.Equal(t, ReplayArgs{Trace: file, Configs: []string{file, file}, Seed: 7, Output: "text"}, replay)
	assert.Equal(t, ExitFailed, p.Run(ctx, []string{"-o", "json", "dev", "--nodes", "5", "--duration", "2s", "--keep"}))
	assert.Equal(t, DevArgs{Nodes: 5, Keep: true, Duration: 2 * time.Second, Output: "json"}, dev)
	assert.Equal(t, ExitFailed, decode[errorOutput](t, out.String()).Exit)
	out.Reset()
	assert.Equal(t, ExitOK, p.Run(ctx, []string{"--version"}))
	assert.Equal(t, "vpier 1.2.3\n", out.String())
	out.Reset()
	assert.Equal(t, ExitOK, p.Run(ctx, []string{"dev", "--help"}))
	assert.Contains(t, out.String(), "[default: 6, env: VPIER_DEV_NODES]")
	script, err := completionScript("zsh")
	require.NoError(t, err)
	assert.Contains(t, script, "drain) words=\"--reason --request-id")
}

// Guards against a soak run that starts with invalid settings.
func TestSoakArguments(t *testing.T) {
	r := newHarness(t)
	file := r.writeFile("vpierd", "x")
	var got SoakArgs
	var out strings.Builder
	p := &Program{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out}
	p.Soak = func(_ context.Context, a SoakArgs, _ io.Writer) error { got = a; return nil }
	ctx := context.Background()
	assert.Equal(t, ExitOK, p.Run(ctx, []string{"soak", "--binary", file, "--seed", "5", "--seeds", "2", "--prefix", "3", "--length", "20s", "--html", "x.html"}))
	assert.Equal(t, SoakArgs{Seed: 5, Seeds: 2, Nodes: 4, Workers: 6, Length: 20 * time.Second, Prefix: 3, Binary: file, HTMLFile: "x.html", Output: "text"}, got)
	assert.Equal(t, ExitOK, p.Run(ctx, []string{"soak", "--binary", file, "--aim", "leader", "--nodes", "64", "--workers", "400"}))
	assert.Equal(t, SoakArgs{Seed: 1, Seeds: 1, Nodes: 64, Workers: 400, Aim: "leader", Length: 14 * time.Second, Binary: file, Output: "text"}, got)
	assert.Equal(t, ExitOK, p.Run(ctx, []string{"soak", "--binary", file, "--aim", "leader", "--nodes", "9", "--small", "9"}))
	assert.Equal(t, 9, got.Small)
	assert.Equal(t, ExitOK, p.Run(ctx, []string{"soak", "--binary", file, "--silent-restarts"}))
	assert.True(t, got.SilentRestarts)
	for _, bad := range [][]string{{"--small", "2"}, {"--aim", "leader", "--silent-restarts"}, {"--aim", "leader", "--small", "5"}, {"--aim", "leader", "--small", "-1"}, {"--aim", "leader", "--small", "2", "--cells", "2"},
		{"--nodes", "0"}, {"--nodes", "33"}, {"--workers", "101"}, {"--length", "1s"}, {"--length", "2h"},
		{"--aim", "worker"}, {"--aim", "leader", "--nodes", "65"}, {"--aim", "leader", "--workers", "401"},
		{"--seeds", "0"}, {"--prefix", "-1"}, {"--binary", file + ".none"}} {
		out.Reset()
		assert.Equal(t, ExitUsage, p.Run(ctx, append([]string{"soak", "--binary", file}, bad...)), "%v", bad)
		assert.Contains(t, out.String(), "(remedy: ", "%v", bad)
	}
}

// Guards against a summary that counts other lines as decisions.
func TestTraceSummary(t *testing.T) {
	log := `{"decision":"route","reason":"least","choice":"r1","candidates":2,"msg":"decision","node":"n1","time":"2026-01-01T00:00:00Z"}
{"decision":"route","reason":"least","choice":"","candidates":4,"msg":"decision","node":"n2","time":"2026-01-01T00:00:02Z"}
{"msg":"ready"}
not JSON
`
	got, err := summarize(strings.NewReader(log))
	require.NoError(t, err)
	assert.Equal(t, []reasonGroup{{Decision: "route", Reason: "least", Count: 2, NoChoice: 1, MeanCandidates: 3}}, got.Groups)
	assert.Equal(t, []int{2, 2, 1, 1}, []int{got.Decisions, got.Nodes, got.OtherLines, got.BadLines})
	assert.Equal(t, 2*time.Second, got.Last.Sub(got.First))
}
