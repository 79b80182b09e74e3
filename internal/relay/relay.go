// Package relay forwards TCP connections for tests and tools that impair links.
package relay

import (
	"net"
	"sync"
)

// bufferSize is the maximum number of bytes read at once.
const bufferSize = 32 << 10

// Throttle is called with the number of bytes that were read, or 0 at the end of a direction.
// It returns true once they may be forwarded, and false to close the direction.
type Throttle func(bytes int) bool

// Pipe copies both directions between two connections until both have ended.
func Pipe(client, server net.Conn, requests, responses Throttle) {
	var wg sync.WaitGroup
	wg.Go(func() { copyDirection(server, client, requests) })
	wg.Go(func() { copyDirection(client, server, responses) })
	wg.Wait()
}

// copyDirection copies the bytes of one direction, and its end, as throttle allows.
func copyDirection(to, from net.Conn, throttle Throttle) {
	defer func() {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite() // fails when the connection is already closed
		}
	}()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if !throttle(n) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
