package main

import (
	"io"
	"net"
	"sync"
)

// link is the network link of a runner's machine: a proxy between its listed address and its
// process. While the machine has no power, the link answers nothing and delivers nothing. When it is
// back, the connections from before are reset.
type link struct {
	addr, target string
	listener     net.Listener

	mu    sync.Mutex
	dark  bool
	conns map[net.Conn]bool
}

func newLink(ip, target string) (*link, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{addr: ln.Addr().String(), target: target, listener: ln, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

// add notes a connection and reports whether the machine has power.
func (l *link) add(c net.Conn) (power bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return !l.dark
}

// serve forwards a connection; one from the time without power is left silent.
func (l *link) serve(c net.Conn) {
	if !l.add(c) {
		return
	}
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(c) // nobody listens
		return
	}
	l.add(to)
	go l.pass(to, c)
	l.pass(c, to)
}

// pass forwards bytes in one direction. The end of one side ends the other, unless the machine has no
// power: then nothing is said.
func (l *link) pass(from, to net.Conn) {
	_, _ = io.Copy(to, from) // fails when either side ends
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dark {
		return
	}
	reset(from)
	reset(to)
	delete(l.conns, from)
	delete(l.conns, to)
}

// powerOff makes the link silent. The machine's process is killed after it.
func (l *link) powerOff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = true
}

// powerOn ends the silence and resets all connections from before.
func (l *link) powerOn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = false
	for c := range l.conns {
		reset(c)
		delete(l.conns, c)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the close is a plain one
	}
	_ = c.Close()
}
