package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a command that stops at a node which is not the leader, and against
// accepting responses of other programs.
func TestFleet(t *testing.T) {
	serve := func(body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("job") == "gone" {
				_, _ = w.Write([]byte(`{"node":"n1","leader":"n1","term":4,"fleet":{}}`))
				return
			}
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	follower := serve(`{"node":"n0","leader":"n1","term":4}`)
	leader := serve(`{"node":"n1","dc":"z","leader":"n1","term":4,"configuration":7,"use":{"processor":0.42,"memory":0.7,"link":0.05},"fleet":{"jobs":{"running":2},"out":["y"],
"loop":{"busy_share":0.31,"events_per_second":210,"oldest_ms":{"state":12,"order":900}},
"workers":[{"worker":"w0","state":"usable"},{"worker":"w1","state":"draining"}],"waiting_steps":9,
"waiting":[{"job":"a","step":1,"tasks":3,"waited_ms":40,"reason":"no usable worker with room"}],
"job":{"job":"a","queue":"q","state":"running","reason":"r","runs":[{"task":"a.0.0.0","attempt":2,"worker":"w0","state":"running"}]}}}`)
	cells := serve(`{"node":"n2","dc":"z","leader":"n1","term":4,"configuration":7,"cells":[{"cell":0,"leader":"n1","term":4,"renewed_ms":90,"pending":3},
{"cell":1,"leader":"n2","term":6,"reserved":0.5,"fleet":{"workers":[{"worker":"w0","state":"usable"}]}},{"cell":2,"leader":""}],"fleet":{"workers":[{"worker":"w0","state":"usable"}]}}`)
	other := serve(`# HELP x`)
	for name, test := range map[string]struct {
		args []string
		code int
		want []string
	}{
		"leader":              {[]string{"--metrics", follower, "--metrics", leader, "--job", "a"}, ExitOK, []string{"leader n1 in z, term 4", "processor 42%, memory 70%, link 5%", "busy 31%, 210 events", "state 12 ms, order 900 ms", "older work waits", "workers draining: 1", "y is out of service", "a.0.0.0", "9 steps waiting, the first 1", "no usable worker with room"}},
		"cells":               {[]string{"--metrics", cells}, ExitOK, []string{"3 cells", "cell 0", "n1", "3 jobs not begun", "reserved 50%", "cell 1, led by this node", "workers usable: 1", "the leader"}},
		"job of another cell": {[]string{"--metrics", cells, "--metrics", leader, "--job", "a"}, ExitOK, []string{"leader n1 in z", "a.0.0.0"}},
		"json":                {[]string{"--metrics", leader, "-o", "json"}, ExitOK, []string{`"waiting_steps": 9`}},
		"no leader":           {[]string{"--metrics", follower}, ExitUnavailable, []string{"does not lead", "n1"}},
		"other":               {[]string{"--metrics", other}, ExitUnavailable, []string{"no view of a node"}},
		"unreachable":         {[]string{"--metrics", "127.0.0.1:1"}, ExitUnavailable, []string{"did not answer"}},
		"bad address":         {[]string{"--metrics", "nowhere"}, ExitUsage, []string{"remedy"}},
		"no address":          {nil, ExitUsage, []string{"VPIER_FLEET_METRICS"}},
		"unknown job":         {[]string{"--metrics", leader, "--job", "gone"}, ExitUsage, []string{"knows no job"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			p := &Program{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &out}
			require.Equal(t, test.code, p.Run(context.Background(), append([]string{"fleet"}, test.args...)), out.String())
			for _, w := range test.want {
				require.Contains(t, out.String(), w)
			}
		})
	}
}
