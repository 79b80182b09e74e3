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
	"time"

	"github.com/stretchr/testify/require"
)

// runRejected runs vpierd with invalid flags, checks that it exits with status 2 and returns
// its output.
func runRejected(t *testing.T, flags ...string) string {
	t.Helper()
	var out bytes.Buffer
	cmd := exec.CommandContext(t.Context(), binary, flags...)
	cmd.Stderr = &out
	var failed *exec.ExitError
	require.ErrorAs(t, cmd.Run(), &failed, "vpierd must not start with %v", flags)
	require.Equal(t, 2, failed.ExitCode(), out.String())
	return strings.TrimSpace(out.String())
}

// withFlag replaces the value of a flag, or adds the flag.
func withFlag(flags []string, name string, value ...string) []string {
	out := append([]string{}, flags...)
	for i, flag := range out {
		if flag == name && len(value) > 0 {
			out[i+1] = value[0]
			return out
		}
	}
	return append(append(out, name), value...)
}

// Guards against a node that starts, fully or in part, with invalid settings, or does not say
// in one line which setting to change.
func TestBadSettings(t *testing.T) {
	c := newEmptyCluster(t)
	good := append(c.flags(0), "--peer-plaintext")
	empty := filepath.Join(t.TempDir(), "empty")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	held, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = held.Close() })
	for name, flags := range map[string][]string{
		"--data-centre":     withFlag(good, "--data-centre", ""),
		"--table-url":       withFlag(good, "--table-url", "127.0.0.1:7000"),
		"--hosts-url":       withFlag(good, "--hosts-url", ""),
		"--advertise":       withFlag(good, "--advertise", "127.0.0.1:0"),
		"--source-address":  withFlag(good, "--source-address", "here"),
		"--seeds":           withFlag(good, "--seeds", "localhost:80"),
		"--cell-lease":      withFlag(good, "--cell-lease", "2m"),
		"--store-timeout":   withFlag(good, "--store-timeout", "20s"),
		"--peer-ca":         c.flags(0),
		"--peer-plaintext":  withFlag(good, "--peer-ca", empty),
		"--operator-tokens": withFlag(good, "--operator-tokens", empty+".none"),
		"--listen":          withFlag(good, "--listen", held.Addr().String()),
		"--admin-listen":    withFlag(good, "--admin-listen", held.Addr().String()),
		"--peer-listen":     withFlag(good, "--peer-listen", held.Addr().String()),
		"--admin-key":       withFlag(good, "--admin-cert", empty),
	} {
		printed := runRejected(t, flags...)
		require.Contains(t, printed, name)
		require.Contains(t, printed, "remedy:", name)
		require.Equal(t, 1, strings.Count(printed, "\n")+1, printed)
	}
	require.Contains(t, runRejected(t, withFlag(good, "--log-level", "loud")...), "remedy:")
	require.Contains(t, runRejected(t, withFlag(good, "--operator-tokens", empty)...), "remedy:")
	require.NotEmpty(t, runRejected(t, withFlag(good, "--no-such-flag")...))
	commits, _ := c.platform.Table().Counts()
	require.Zero(t, commits, "a refused start must write nothing")
}

// Guards against a node that exits, or reports ready, while the platform is unreachable, and
// against one that cannot be stopped in that state.
func TestPlatformUnreachable(t *testing.T) {
	c := newEmptyCluster(t)
	p := c.launchWithoutStore(0)
	require.Equal(t, http.StatusOK, getStatus("http://"+p.callerAddr+"/healthz"))
	require.Equal(t, http.StatusServiceUnavailable, getStatus("http://"+p.callerAddr+"/readyz"))
	code, outcome := c.tryOrder(p, "early")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, "unknown", outcome, "an earlier order under the key cannot be ruled out")
	require.Eventually(t, func() bool {
		_, held := c.network.traffic(p.name)
		return held > 0
	}, 20*time.Second, 20*time.Millisecond, "the node did not try to reach the platform")
	carried, _ := c.network.traffic(p.name)
	require.Empty(t, carried, "bytes over the cut link: the platform was reached")
	c.network.setCut(false, p.name, "store")
	c.nodes = append(c.nodes, p)
	c.acceptDeclaration()
	stopped := c.launchWithoutStore(1)
	stopped.signal(syscall.SIGTERM)
	<-stopped.done
	require.Equal(t, 0, stopped.cmd.ProcessState.ExitCode())
}
