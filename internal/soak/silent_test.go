package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Workers that fell silent were listed while they were gone, or cut off before they were up.
func TestSilentRestartsAreListedAndCutOffOnceUp(t *testing.T) {
	faults := silentFaults(5, 24, 10*time.Minute)
	require.Equal(t, faults, silentFaults(5, 24, 10*time.Minute))
	require.Greater(t, len(faults), 300)
	for i := 0; i < len(faults); i += 3 {
		silence, entry, cut := faults[i], faults[i+1], faults[i+2]
		require.Equal(t, []Kind{SilenceWorkers, ListWorkers, CutRestarted}, []Kind{silence.Kind, entry.Kind, cut.Kind})
		require.Equal(t, [][]int{silence.Workers, silence.Workers}, [][]int{entry.Workers, cut.Workers})
		up := silence.At + silence.Duration
		require.True(t, minSilentTime <= silence.Duration && silence.Duration < maxSilentTime)
		require.True(t, up <= entry.At && entry.At < up+maxSilentEntryDelay)
		require.True(t, up+minTimeToCut <= cut.At && cut.At < up+maxTimeToCut)
		require.True(t, minCutRestarted <= cut.Duration && cut.Duration < maxCutRestarted)
	}
}

// A call to a silent address was refused, or reached the former process.
func TestCallAcrossSilenceReachesNextProcess(t *testing.T) {
	former, next := namedServer(t, "former"), namedServer(t, "next")
	p, err := newProxy(freeAddress, former.Listener.Addr().String())
	require.NoError(t, err)
	defer p.close()
	p.silence(true)
	conn, err := net.Dial("tcp", p.addr())
	require.NoError(t, err, "nobody refuses it")
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)
	p.hold(true)
	p.setTarget(next.Listener.Addr().String())
	p.silence(false)
	p.hold(false)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Regexp(t, "next$", string(answer))
}
