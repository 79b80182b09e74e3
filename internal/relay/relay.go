// Package relay forwards TCP connections for tests and tools that impair links.
package relay

import (
	"net"
	"sync"
)

// bufferSize is the most that is read at once, in bytes.
const bufferSize = 32 << 10

// Gate is called with the number of bytes that were read, 0 at the end of a
// direction. It returns once they may pass, and false to drop the direction.
type Gate func(bytes int) bool

// Both carries both directions between two connections until both have ended.
func Both(client, server net.Conn, requests, answers Gate) {
	var wg sync.WaitGroup
	wg.Go(func() { carry(server, client, requests) })
	wg.Go(func() { carry(client, server, answers) })
	wg.Wait()
}

// carry copies one direction, and its end, as the gate allows.
func carry(to, from net.Conn, gate Gate) {
	defer func() {
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite() // fails when the connection has gone
		}
	}()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if !gate(n) {
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
