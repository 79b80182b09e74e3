package adminapi

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Guards against commands that take effect in a state that forbids them, and
// against error responses without a remedy.
func TestRejectedCommands(t *testing.T) {
	a := newAPIWithDeclaration(t, Config{})
	changed := sample + "limits: {evictions_per_minute: 9}\n"
	_, first, _ := a.command("propose", ProposeRequest{Command{"request-3", 2}, changed, ""})
	_, second, _ := a.command("propose", ProposeRequest{Command{"request-4", 3}, changed, "again"})
	_, third, _ := a.command("propose", ProposeRequest{Command{"request-5", 4}, changed, ""})
	a.command("reject", RejectRequest{Command{"request-6", 5}, first.Sequence, "too many"})
	a.command("accept", AcceptRequest{Command{"request-7", 6}, second.Sequence, ""})
	a.command("data-centres/a/out", DataCentreRequest{Command{"request-8", 7}, ""})
	propose := func(text string) uint64 { // simulates a node of another build
		a.control.append(control.Record{Actor: "ben", Proposed: &control.DeclarationProposed{Text: text, Base: a.control.View().Digest}})
		return a.control.View().Sequence
	}
	allOut := propose("version: 1\ndeployment: test\ndata_centres: [{name: a}]\n")
	newField := propose(sample + "speed: 3\n")
	before := len(a.control.entries)
	require.Equal(t, 10, before)
	now := Command{"request-9", 10}
	rows := []struct {
		name, path string
		body       any
		code       int
		want       string
	}{
		{"accept rejected", "accept", AcceptRequest{now, first.Sequence, ""}, 409, "rejected by anna as sequence 6: too many"},
		{"accept accepted", "accept", AcceptRequest{now, second.Sequence, ""}, 409, "accepted by anna"},
		{"accept superseded", "accept", AcceptRequest{now, third.Sequence, ""}, 409, "superseded"},
		{"accept other digest", "accept", AcceptRequest{now, third.Sequence, "abc"}, 409, "not the reviewed abc"},
		{"accept no proposal", "accept", AcceptRequest{now, 2, ""}, 404, "not a proposal"},
		{"accept nothing", "accept", AcceptRequest{now, 0, ""}, 400, "no proposal is given"},
		{"accept the future", "accept", AcceptRequest{now, 99, ""}, 404, "not a proposal"},
		{"reject without reason", "reject", RejectRequest{now, third.Sequence, " "}, 400, "needs a reason"},
		{"unknown data centre", "data-centres/x/out", DataCentreRequest{now, ""}, 404, "no data centre"},
		{"return unknown", "data-centres/x/in", DataCentreRequest{now, ""}, 404, "no data centre"},
		{"drain twice", "data-centres/a/out", DataCentreRequest{now, ""}, 409, "already out of service since sequence 8"},
		{"drain the last", "data-centres/b/out", DataCentreRequest{now, ""}, 400, "last data centre"},
		{"return twice", "data-centres/b/in", DataCentreRequest{now, ""}, 409, "is in service"},
		{"same content", "propose", ProposeRequest{now, "# other comment\n" + changed, ""}, 409, "already in force"},
		{"bad text", "propose", ProposeRequest{now, "version: 2\n", ""}, 400, "faults in the declaration"},
		{"accept all out", "accept", AcceptRequest{now, allOut, ""}, 400, "every data centre of the proposal is out"},
		{"accept new field", "accept", AcceptRequest{now, newField, ""}, 400, "build cannot read the proposal"},
		{"no request id", "propose", ProposeRequest{Command{"", 10}, sample, ""}, 400, "request id"},
		{"lost race", "data-centres/a/in", DataCentreRequest{Command{"request-9", 7}, ""}, 409, "anna was first: took data centre a out of service"},
		{"node behind", "data-centres/a/in", DataCentreRequest{Command{"request-9", 11}, ""}, 503, "has applied sequence 10"},
		{"unknown field", "accept", map[string]any{"proposl": 1}, 400, "unknown field"},
		{"long reason", "data-centres/a/in", DataCentreRequest{now, strings.Repeat("x", maxNoteBytes+1)}, 400, "limit is 4096"},
		{"too large", "propose", ProposeRequest{now, strings.Repeat("#", defaultMaxBodyBytes), ""}, 413, "too large"},
		{"unknown path", "dance", now, 404, "there is no POST"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			code, _, bad := a.command(row.path, row.body)
			assert.Equal(t, row.code, code)
			assert.Contains(t, bad.Message, row.want)
			assert.NotEmpty(t, bad.Remedy)
			assert.Len(t, a.control.entries, before, "nothing may be written")
		})
	}
}

// Guards against a repeated command that takes effect twice, also when its first
// response was lost, and against two conflicting commands that both succeed.
func TestRetriesAndConflicts(t *testing.T) {
	a := newAPIWithDeclaration(t, Config{})
	out := DataCentreRequest{Command{"request-3", 2}, "power"}
	a.control.loseReply = true
	code, reply, bad := a.command("data-centres/a/out", out)
	require.Equal(t, 200, code, bad)
	assert.Equal(t, uint64(3), reply.Sequence)
	code, reply, _ = a.command("data-centres/a/out", out)
	assert.Equal(t, 200, code)
	assert.True(t, reply.Repeated)
	assert.Len(t, a.control.entries, 3)

	code, data := a.send(http.MethodPost, "data-centres/a/out", "ben-token", out)
	assert.Equal(t, 409, code, "another operator may not reuse the id")
	assert.Contains(t, string(data), "used for another command: anna took")

	later := out
	later.SeenSequence = 3
	code, reply, _ = a.command("data-centres/a/out", later)
	assert.Equal(t, 200, code, "a client that looked again before it repeated the command")
	assert.True(t, reply.Repeated)
	code, _, bad = a.command("data-centres/a/in", later)
	assert.Equal(t, 409, code, "one id for two commands")
	assert.Contains(t, bad.Message, "used for another command")
	assert.Len(t, a.control.entries, 3)

	member := control.Record{Actor: "n2", MemberJoined: &control.MemberJoined{}}
	a.control.beforeAppend = func() { a.control.append(member) }
	code, reply, bad = a.command("data-centres/a/in", DataCentreRequest{Command{"request-4", 3}, ""})
	require.Equal(t, 200, code, bad)
	assert.Equal(t, uint64(5), reply.Sequence, "a joining member does not defeat an operator")

	a.control.beforeAppend = func() {
		a.control.append(control.Record{Actor: "ben", DataCentreOut: &control.DataCentreOut{DataCentre: "b"}})
	}
	code, _, bad = a.command("data-centres/a/out", DataCentreRequest{Command{"request-5", 5}, ""})
	assert.Equal(t, 409, code)
	assert.Contains(t, bad.Message, "ben was first: took data centre b out of service")
	assert.Equal(t, uint64(6), bad.Winner.Sequence)

	a.control.untypedError = true
	code, reply, bad = a.command("data-centres/b/in", DataCentreRequest{Command{"request-6", 6}, ""})
	require.Equal(t, 200, code, bad)
	assert.Equal(t, uint64(7), reply.Sequence, "an error without a kind proves nothing")
}

// Guards against request ids that take effect twice, all data centres being out of
// service, and acceptances of decided or superseded proposals, over any order of
// commands, stale sequences and lost responses.
func TestCommandsProperty(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		a := newAPI(t, dir, Config{RequestsPerSecond: 1e9, Burst: 1e9})
		for i := range rapid.IntRange(1, 30).Draw(t, "commands") {
			cmd := Command{fmt.Sprintf("request-%d", rapid.IntRange(0, i).Draw(t, "id")), rapid.Uint64Range(0, a.control.View().Sequence).Draw(t, "seen")}
			if rapid.IntRange(0, 3).Draw(t, "fresh") > 0 {
				cmd.SeenSequence = a.control.View().Sequence
			}
			a.control.loseReply = rapid.IntRange(0, 9).Draw(t, "lost") == 0
			proposal := rapid.Uint64Range(1, 1+a.control.View().Sequence).Draw(t, "proposal")
			dc := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc")
			switch rapid.SampledFrom([]string{"propose", "accept", "reject", "out", "in"}).Draw(t, "command") {
			case "propose":
				text := sample + fmt.Sprintf("limits: {evictions_per_minute: %d}\n", 1+i%3)
				a.command("propose", ProposeRequest{cmd, text, ""})
			case "accept":
				a.command("accept", AcceptRequest{cmd, proposal, ""})
			case "reject":
				a.command("reject", RejectRequest{cmd, proposal, "no"})
			case "out":
				a.command("data-centres/"+dc+"/out", DataCentreRequest{cmd, ""})
			case "in":
				a.command("data-centres/"+dc+"/in", DataCentreRequest{cmd, ""})
			}
			if len(a.control.View().Out) == 2 {
				t.Fatal("every data centre is out of service")
			}
		}
		checkJournal(t, a.control.entries)
	})
}

// checkJournal checks the invariants of the journal.
func checkJournal(t *rapid.T, entries []control.Entry) {
	ids, decidedBy, inForce := map[string]bool{}, map[uint64]bool{}, ""
	for _, entry := range entries {
		if ids[entry.Record.RequestID] {
			t.Fatalf("request id %s took effect twice", entry.Record.RequestID)
		}
		ids[entry.Record.RequestID] = true
		var proposal uint64
		if rec := entry.Record.Accepted; rec != nil {
			proposal = rec.Proposal
			proposed := entries[proposal-1].Record.Proposed
			if proposed.Base != inForce {
				t.Fatalf("sequence %d accepts a superseded proposal", entry.Sequence)
			}
			inForce = rec.Digest
		}
		if rec := entry.Record.Rejected; rec != nil {
			proposal = rec.Proposal
		}
		if proposal != 0 && decidedBy[proposal] {
			t.Fatalf("proposal %d was decided twice", proposal)
		}
		decidedBy[proposal] = true
	}
}

// Guards against requests that are accepted without valid credentials, and against
// changes of the operators file that take effect only after a restart.
func TestAuthentication(t *testing.T) {
	a := newAPI(t, t.TempDir(), Config{})
	for _, auth := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic anna-token", "Bearer " + digestOf("anna-token")} {
		code, data := a.sendRaw(http.MethodGet, "view", auth, nil)
		assert.Equal(t, 401, code, auth)
		assert.Contains(t, string(data), "operators file", auth)
	}
	code, _ := a.send(http.MethodGet, "status", "anna-token", nil)
	assert.Equal(t, 200, code)

	require.NoError(t, os.WriteFile(a.operatorsPath, []byte("ben:"+digestOf("ben-token")+"\n"), 0o600))
	code, _ = a.send(http.MethodGet, "view", "anna-token", nil)
	assert.Equal(t, 401, code, "a removed operator is refused at once")
	require.NoError(t, os.WriteFile(a.operatorsPath, []byte("half a li"), 0o600))
	code, _ = a.send(http.MethodGet, "view", "ben-token", nil)
	assert.Equal(t, 200, code, "a damaged file leaves the operators as they were")
}

// Guards against node certificates that are accepted as operators, against an actor
// that is not the certificate's common name, and against tokens sent in plaintext.
func TestCertificatesAndPlaintext(t *testing.T) {
	a := newAPIWithDeclaration(t, Config{})
	request := func(name, remote string, secure bool, token ...string) int {
		body := fmt.Sprintf(`{"request_id":"request-%s","seen":2}`, name)
		r := httptest.NewRequest(http.MethodPost, Prefix+"data-centres/a/out", strings.NewReader(body))
		r.RemoteAddr = remote
		if secure {
			cert := &x509.Certificate{Subject: pkix.Name{CommonName: name}}
			r.TLS = &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{cert}}}
		}
		if len(token) > 0 {
			r.Header.Set("Authorization", "Bearer "+token[0])
		}
		w := httptest.NewRecorder()
		a.handler.ServeHTTP(w, r)
		return w.Code
	}
	assert.Equal(t, 401, request("anna", "10.0.0.7:1", false, "anna-token"), "a valid token without TLS")
	assert.Equal(t, 401, request("carl", "10.0.0.7:1", true, "wrong"), "a wrong token beside a valid certificate")
	assert.Equal(t, 401, request("node-7", "10.0.0.7:1", true))
	assert.Equal(t, 401, request("anna", "10.0.0.7:1", true), "anna is not listed for certificates")
	assert.Equal(t, 401, request("carl", "10.0.0.7:1", false))
	assert.Equal(t, 200, request("carl", "10.0.0.7:1", true))
	assert.Equal(t, "carl", a.control.entries[2].Record.Actor)
}

// Guards against an operator who overloads a node, and against token guessing without
// a rate limit.
func TestRateLimits(t *testing.T) {
	a := newAPI(t, t.TempDir(), Config{RequestsPerSecond: 0.001, Burst: 2})
	for _, want := range []int{200, 200, 429} {
		code, _ := a.send(http.MethodGet, "status", "anna-token", nil)
		assert.Equal(t, want, code)
	}
	code, _ := a.send(http.MethodGet, "status", "ben-token", nil)
	assert.Equal(t, 200, code, "each operator has a budget")
	s := &server{limits: newLimits(1, 1)}
	s.limits.failures.SetLimit(0)
	kinds := map[model.Kind]int{}
	for range failuresBurst + 5 {
		kinds[model.KindOf(s.denied("no"))]++
	}
	assert.Equal(t, map[model.Kind]int{model.KindDenied: failuresBurst, model.KindExhausted: 5}, kinds)
}

// Guards against two operators who take the last two data centres out of service
// concurrently, each of them based on a view in which the other one is in service.
func TestConcurrentOperators(t *testing.T) {
	for round := range 20 {
		a := newAPIWithDeclaration(t, Config{})
		var wg sync.WaitGroup
		codes := make([]int, 2)
		for i, dc := range []string{"a", "b"} {
			wg.Go(func() {
				codes[i], _, _ = a.command("data-centres/"+dc+"/out", DataCentreRequest{Command{"request-of-" + dc, 2}, ""})
			})
		}
		wg.Wait()
		slices.Sort(codes)
		require.Equal(t, []int{200, 409}, codes, "round %d", round)
		require.Len(t, a.control.View().Out, 1)
	}
}

// Guards against long texts in journal records, against accepting a proposal whose
// text is lost, and against history pages that contain texts without a request for them.
func TestTexts(t *testing.T) {
	a := newAPI(t, t.TempDir(), Config{})
	long := sample + strings.Repeat("# comment\n", maxInlineTextBytes/10)
	code, reply, bad := a.command("propose", ProposeRequest{Command{"request-1", 0}, long, ""})
	require.Equal(t, 200, code, bad)
	assert.Empty(t, a.control.entries[0].Record.Proposed.Text)
	assert.Len(t, a.texts, 1)
	for query, want := range map[string]string{"history": "", "history?texts=true": long} {
		_, data := a.send(http.MethodGet, query, "anna-token", nil)
		var page HistoryReply
		require.NoError(t, json.Unmarshal(data, &page))
		assert.Equal(t, want, page.Entries[0].Record.Proposed.Text)
	}
	stored := a.texts[reply.Digest]
	delete(a.texts, reply.Digest)
	code, _, _ = a.command("accept", AcceptRequest{Command{"request-2", 1}, 1, ""})
	assert.Equal(t, 404, code, "a declaration whose text is lost is not accepted")
	a.texts[reply.Digest] = stored
	code, _, bad = a.command("accept", AcceptRequest{Command{"request-2", 1}, 1, ""})
	assert.Equal(t, 200, code, bad)
}

// Guards against history pages that skip or repeat entries and against a request id
// that is not found beyond the first page.
func TestHistory(t *testing.T) {
	a := newAPIWithDeclaration(t, Config{})
	for range historyPage {
		a.control.append(control.Record{Actor: "n", MemberLeft: &control.MemberLeft{}})
	}
	a.control.append(control.Record{Actor: "anna", RequestID: "the-last-one", DataCentreOut: &control.DataCentreOut{DataCentre: "a"}})
	var reply HistoryReply
	next, seen := uint64(1), 0
	for next != 0 {
		_, data := a.send(http.MethodGet, fmt.Sprintf("history?from=%d&limit=100", next), "anna-token", nil)
		reply = HistoryReply{}
		require.NoError(t, json.Unmarshal(data, &reply))
		seen += len(reply.Entries)
		next = reply.Next
	}
	assert.Equal(t, historyPage+3, seen)
	_, data := a.send(http.MethodGet, "history?request_id=the-last-one", "anna-token", nil)
	require.NoError(t, json.Unmarshal(data, &reply))
	require.Len(t, reply.Entries, 1)
	assert.Equal(t, uint64(historyPage+3), reply.Entries[0].Sequence)
	code, _ := a.send(http.MethodGet, "history?from=0", "anna-token", nil)
	assert.Equal(t, 400, code)
}
