package soak

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that counts as still running without a word on whether it had exited, while
// this process stood still and did not wait for it.
func TestProcessStateTellsProcessesThatHaveExited(t *testing.T) {
	require.Regexp(t, `^its process is [RS] `, processState(os.Getpid()))
	cmd := exec.Command("true")
	require.NoError(t, cmd.Start())
	require.Eventually(t, func() bool { return processState(cmd.Process.Pid) == "its process is Z (zombie)" }, time.Minute, time.Millisecond)
	require.NoError(t, cmd.Wait())
	require.Equal(t, "its process has ended", processState(cmd.Process.Pid))
}
