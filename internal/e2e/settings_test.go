package e2e

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// refused runs vpierd with settings that it must refuse and returns what it prints.
func refused(t *testing.T, flags ...string) string {
	t.Helper()
	var out bytes.Buffer
	cmd := exec.CommandContext(t.Context(), binary, flags...)
	cmd.Stderr = &out
	var failed *exec.ExitError
	require.ErrorAs(t, cmd.Run(), &failed, "vpierd must not start with %v", flags)
	require.Equal(t, 2, failed.ExitCode(), out.String())
	return strings.TrimSpace(out.String())
}

// with replaces the value of a flag, or adds the flag.
func with(flags []string, name string, value ...string) []string {
	out := append([]string{}, flags...)
	for i, flag := range out {
		if flag == name && len(value) > 0 {
			out[i+1] = value[0]
			return out
		}
	}
	return append(append(out, name), value...)
}

// Guards against a node that starts with bad settings, starts in part, or does not
// say in one line what to change.
func TestBadSettings(t *testing.T) {
	c := newPlatform(t)
	good := append(c.flags(0), "--peer-plaintext")
	empty := filepath.Join(t.TempDir(), "empty")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	held, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = held.Close() })
	for name, flags := range map[string][]string{
		"--data-centre":     with(good, "--data-centre", ""),
		"--table-url":       with(good, "--table-url", "127.0.0.1:7000"),
		"--hosts-url":       with(good, "--hosts-url", ""),
		"--advertise":       with(good, "--advertise", "127.0.0.1:0"),
		"--source-address":  with(good, "--source-address", "here"),
		"--seeds":           with(good, "--seeds", "localhost:80"),
		"--cell-lease":      with(good, "--cell-lease", "2m"),
		"--store-timeout":   with(good, "--store-timeout", "20s"),
		"--peer-ca":         c.flags(0),
		"--peer-plaintext":  with(good, "--peer-ca", empty),
		"--operator-tokens": with(good, "--operator-tokens", empty+".none"),
		"--listen":          with(good, "--listen", held.Addr().String()),
		"--admin-listen":    with(good, "--admin-listen", held.Addr().String()),
		"--peer-listen":     with(good, "--peer-listen", held.Addr().String()),
		"--admin-key":       with(good, "--admin-cert", empty),
	} {
		printed := refused(t, flags...)
		require.Contains(t, printed, name)
		require.Contains(t, printed, "remedy:", name)
		require.Equal(t, 1, strings.Count(printed, "\n")+1, printed)
	}
	require.Contains(t, refused(t, with(good, "--log-level", "loud")...), "remedy:")
	require.Contains(t, refused(t, with(good, "--operator-tokens", empty)...), "remedy:")
	require.NotEmpty(t, refused(t, with(good, "--no-such-flag")...))
	commits, _ := c.platform.Table().Counts()
	require.Zero(t, commits, "a refused start must write nothing")
}

// Guards against a node that ends, or reports ready, while the platform cannot be
// reached, and against one that cannot be stopped in that state.
func TestPlatformUnreachable(t *testing.T) {
	c := newPlatform(t)
	p := c.launchCut(0)
	require.Equal(t, http.StatusOK, status("http://"+p.callers+"/healthz"))
	require.Equal(t, http.StatusServiceUnavailable, status("http://"+p.callers+"/readyz"))
	code, outcome := c.tryOrder(p, "early")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, "unknown", outcome, "an earlier order under the key cannot be ruled out")
	carried, held := c.network.traffic(p.name)
	require.Empty(t, carried, "bytes over the cut link: the platform was reached")
	require.NotZero(t, held, "the node did not try to reach the platform")
	c.network.both(false, p.name, "store")
	c.nodes = append(c.nodes, p)
	c.accept()
	stopped := c.launchCut(1)
	stopped.signal(syscall.SIGTERM)
	<-stopped.done
	require.Equal(t, 0, stopped.cmd.ProcessState.ExitCode())
}
