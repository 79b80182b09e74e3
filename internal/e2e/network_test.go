package e2e

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// link is one direction between two parties: nodes by name, "store", or a worker's id.
type link struct{ from, to string }

// network stands between the nodes, the store and the workers as TCP proxies, and
// cuts or delays each link in each direction by itself. What is sent over a cut
// link is kept and delivered when the link returns, as TCP does, so that late
// messages arrive as well.
type network struct {
	mu      sync.Mutex
	cut     map[link]bool
	delay   map[link]time.Duration
	changed chan struct{}
	names   map[int]string // nodes by process id
	closed  chan struct{}
}

func newNetwork(t *testing.T) *network {
	n := &network{
		cut: map[link]bool{}, delay: map[link]time.Duration{}, changed: make(chan struct{}),
		names: map[int]string{}, closed: make(chan struct{}),
	}
	t.Cleanup(func() { close(n.closed) })
	return n
}

// update changes the rules and wakes what waits for them.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// oneWay cuts or restores what from sends to each of the others.
func (n *network) oneWay(cut bool, from string, to ...string) {
	n.update(func() {
		for _, other := range to {
			n.cut[link{from, other}] = cut
		}
	})
}

// both cuts or restores both directions.
func (n *network) both(cut bool, a string, others ...string) {
	n.oneWay(cut, a, others...)
	for _, b := range others {
		n.oneWay(cut, b, a)
	}
}

// slow delays what from sends to another.
func (n *network) slow(from, to string, delay time.Duration) {
	n.update(func() { n.delay[link{from, to}] = delay })
}

// pass returns when the link carries data, and false when the test has ended.
func (n *network) pass(l link) bool {
	for {
		n.mu.Lock()
		cut, delay, changed := n.cut[l], n.delay[l], n.changed
		n.mu.Unlock()
		if !cut {
			time.Sleep(delay)
			return true
		}
		select {
		case <-changed:
		case <-n.closed:
			return false
		}
	}
}

// register names the node that a process runs.
func (n *network) register(pid int, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[pid] = name
}

// proxy is a listener for one party. Connections wait until its target is set.
type proxy struct {
	net    *network
	name   string
	ln     net.Listener
	ready  chan struct{}
	target string
}

func (n *network) proxy(t *testing.T, name string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	p := &proxy{net: n, name: name, ln: ln, ready: make(chan struct{})}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) open(target string) {
	p.target = target
	close(p.ready)
}

func (p *proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	select {
	case <-p.ready:
	case <-p.net.closed:
		return
	}
	source := p.net.source(client.RemoteAddr().(*net.TCPAddr).Port)
	if source == "" {
		return // a link from nobody could not be cut; the caller connects again
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	var both sync.WaitGroup
	both.Go(func() { p.net.carry(server, client, link{source, p.name}) })
	both.Go(func() { p.net.carry(client, server, link{p.name, source}) })
	both.Wait()
}

// carry copies one direction, and its end, as the link allows.
func (n *network) carry(to, from net.Conn, l link) {
	defer func() { _ = to.(*net.TCPConn).CloseWrite() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if !n.pass(l) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// sourceTries bounds the search for the process of a connection, 2 ms apart: it
// may be registered shortly after it has started, or be gone, and the kernel's
// table of connections is no snapshot.
const sourceTries = 500

// source returns the node whose process holds the other end of a connection: peers
// share one advertised address, so that the address does not tell them apart.
func (n *network) source(port int) string {
	for range sourceTries {
		// An entry may be missed while others come and go, so one miss proves nothing.
		if inode := socketInode(port); inode != "" {
			if name := n.holder("socket:[" + inode + "]"); name != "" {
				return name
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return ""
}

func (n *network) holder(socket string) string {
	n.mu.Lock()
	names := maps.Clone(n.names)
	n.mu.Unlock()
	for pid, name := range names {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			if to, err := os.Readlink(file); err == nil && to == socket {
				return name
			}
		}
	}
	return ""
}

// socketInode finds the socket with a local port in the kernel's table.
func socketInode(port int) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = table.Close() }()
	want := fmt.Sprintf("0100007F:%04X", port)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		if f := strings.Fields(lines.Text()); len(f) > 9 && f[1] == want && f[9] != "0" {
			return f[9]
		}
	}
	return ""
}

// A connection whose source cannot be found must not pass data: no cut would hold
// for it as long as it is kept open.
func TestConnectionFromUnknownSourceIsRefused(t *testing.T) {
	n := newNetwork(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = upstream.Close() })
	p := n.proxy(t, "store")
	p.open(upstream.Addr().String())
	dial := func() (int, error) {
		c, err := net.Dial("tcp", p.addr())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
		return c.Read(make([]byte, 1))
	}
	_, err = dial() // this process is not registered as a node
	require.Error(t, err, "the proxy closes the connection")
	n.register(os.Getpid(), "node")
	go func() {
		if c, err := upstream.Accept(); err == nil {
			_, _ = c.Write([]byte("y")) // fails only when the test has ended
		}
	}()
	count, err := dial()
	require.NoError(t, err)
	require.Equal(t, 1, count)
}
