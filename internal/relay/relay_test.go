package relay

import (
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// pair returns the two ends of a loopback connection.
func pair(t *testing.T) (dialled, accepted net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	dialled, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	accepted, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return dialled, accepted
}

// Guards against a direction whose end also ends the other, and against bytes that are
// forwarded although the throttle has rejected them.
func TestPipeObeysThrottles(t *testing.T) {
	caller, client := pair(t)
	server, service := pair(t)
	var requests, answers atomic.Int64
	refuse := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		Pipe(client, server, func(n int) bool { requests.Add(int64(n)); return true }, func(n int) bool {
			select {
			case <-refuse:
				return false
			default:
				answers.Add(int64(n))
				return true
			}
		})
	}()
	buffer := make([]byte, 16)
	_, err := caller.Write([]byte("question"))
	require.NoError(t, err)
	_, err = io.ReadFull(service, buffer[:8])
	require.NoError(t, err)
	_, err = service.Write([]byte("yes"))
	require.NoError(t, err)
	_, err = io.ReadFull(caller, buffer[:3])
	require.NoError(t, err)
	close(refuse)
	_, err = service.Write([]byte("no"))
	require.NoError(t, err)
	_, err = caller.Read(buffer)
	require.ErrorIs(t, err, io.EOF, "a rejection by the throttle closes the direction")
	require.NoError(t, caller.(*net.TCPConn).CloseWrite())
	_, err = service.Read(buffer)
	require.ErrorIs(t, err, io.EOF, "the end of a direction is forwarded")
	<-done
	require.EqualValues(t, 8, requests.Load())
	require.EqualValues(t, 3, answers.Load())
}
