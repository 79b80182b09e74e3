// Package linkmeter counts the bytes that a process sends and receives over its connections.
package linkmeter

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts payload bytes, without the headers of TCP and IP. A nil Meter counts nothing.
type Meter struct{ received, sent atomic.Int64 }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Totals returns the bytes received and sent so far.
func (m *Meter) Totals() (received, sent int64) {
	if m == nil {
		return 0, 0
	}
	return m.received.Load(), m.sent.Load()
}

// Dialer returns a DialFunc whose connections are counted.
func (m *Meter) Dialer(dial DialFunc) DialFunc {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{c, m}, nil
	}
}

// Listener returns a listener whose accepted connections are counted.
func (m *Meter) Listener(ln net.Listener) net.Listener {
	if m == nil {
		return ln
	}
	return &listener{ln, m}
}

type listener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l.meter}, nil
}

// conn is a connection that counts its bytes.
type conn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}
