package e2e

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/relay"
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
	names   map[string]string // nodes by the address that their connections come from
	unknown []string          // connections that no node owns
	// carried counts the bytes that each link has let through, held the reads that
	// a cut has kept back.
	carried map[link]int
	held    map[link]int
	closed  chan struct{}
}

func newNetwork(t *testing.T) *network {
	n := &network{
		cut: map[link]bool{}, delay: map[link]time.Duration{}, changed: make(chan struct{}),
		names: map[string]string{}, carried: map[link]int{}, held: map[link]int{}, closed: make(chan struct{}),
	}
	t.Cleanup(func() {
		close(n.closed)
		require.Empty(t, n.strangers(), "connections of unknown source: no cut would hold for them")
	})
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

// cuts lists the links that carry nothing.
func (n *network) cuts() []link {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []link
	for l, cut := range n.cut {
		if cut {
			found = append(found, l)
		}
	}
	return found
}

// slow delays what from sends to another.
func (n *network) slow(from, to string, delay time.Duration) {
	n.update(func() { n.delay[link{from, to}] = delay })
}

// pass returns when the link carries data, and false when the test has ended.
func (n *network) pass(l link) bool {
	for counted := false; ; counted = true {
		n.mu.Lock()
		cut, delay, changed := n.cut[l], n.delay[l], n.changed
		if cut && !counted {
			n.held[l]++
		}
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

func (n *network) count(l link, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carried[l] += bytes
}

// traffic returns the bytes that have passed between a party and any other, in both
// directions, and the reads that cuts have kept back.
func (n *network) traffic(name string) (carried map[link]int, held int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	carried = map[link]int{}
	for l, bytes := range n.carried {
		if l.from == name || l.to == name {
			carried[l] = bytes
		}
	}
	for l, reads := range n.held {
		if l.from == name || l.to == name {
			held += reads
		}
	}
	return carried, held
}

// register gives a node an address of its own, from which it has to open all of
// its connections.
func (n *network) register(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.names) + 1
	address := fmt.Sprintf("127.1.%d.%d", i/250, i%250+1)
	n.names[address] = name
	return address
}

// strangersShown bounds the list of connections of unknown source.
const strangersShown = 10

// source returns the node that a connection comes from, and notes a connection of
// unknown source.
func (n *network) source(addr net.Addr) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	name, ok := n.names[addr.(*net.TCPAddr).IP.String()]
	if !ok && len(n.unknown) < strangersShown {
		n.unknown = append(n.unknown, addr.String())
	}
	return name, ok
}

// strangers returns the connections of unknown source so far and forgets them.
func (n *network) strangers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	found := n.unknown
	n.unknown = nil
	return found
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
	source, ok := p.net.source(client.RemoteAddr())
	if !ok {
		return // a link from nobody could not be cut
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	relay.Pipe(client, server, p.net.gate(link{source, p.name}), p.net.gate(link{p.name, source}))
}

// gate lets bytes pass as the link allows, and counts them.
func (n *network) gate(l link) relay.Throttle {
	return func(bytes int) bool {
		if !n.pass(l) {
			return false
		}
		if bytes > 0 {
			n.count(l, bytes)
		}
		return true
	}
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
	dial := func(from string) (int, error) {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		c, err := d.DialContext(t.Context(), "tcp", p.addr())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
		return c.Read(make([]byte, 1))
	}
	_, err = dial("127.0.0.1") // no node's address
	require.Error(t, err, "the proxy closes the connection")
	require.Len(t, n.strangers(), 1, "the test would fail")
	go func() {
		if c, err := upstream.Accept(); err == nil {
			_, _ = c.Write([]byte("y")) // fails only when the test has ended
		}
	}()
	count, err := dial(n.register("node"))
	require.NoError(t, err)
	require.Equal(t, 1, count)
}

// Each connection of a node is one that cuts hold for: to the store, to workers and
// to peers.
func TestCutHoldsForEveryConnection(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner("north.0", -1)
	c.finishAll(c.orders("before", 3, 2, 100))
	p := c.node(owner)
	everything := append(append(c.others(owner), "store"), c.workers()...)
	c.network.both(true, p.name, everything...)
	c.network.update(func() { c.network.carried = map[link]int{} })
	c.waitOwner("north.0", owner)
	c.finishAll(c.orders("during", 3, 2, 100))
	carried, held := c.network.traffic(p.name)
	require.Empty(t, carried, "bytes over cut links")
	require.NotZero(t, held, "the node tried none of its links")
	others, _ := c.network.traffic("store")
	require.NotEmpty(t, others)
	c.network.both(false, p.name, everything...)
	c.wait("the node that was cut off is ready", p.ready)
	c.noViolations()
}
