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

// link is one direction between two endpoints: a node's name, "store", or a worker's id.
type link struct{ from, to string }

// network connects the nodes, the store and the workers through TCP proxies, which can cut or
// delay each direction of a link on its own. Data sent over a cut link is held back and
// delivered when the link is restored, as TCP does, so that late messages also occur.
type network struct {
	mu             sync.Mutex
	cut            map[link]bool
	delay          map[link]time.Duration
	changed        chan struct{}
	names          map[string]string // node names by the source address of their connections
	unknownSources []string          // source addresses of connections that belong to no node
	// carried counts the bytes that each link has forwarded, held the reads that a cut
	// has held back.
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
		require.Empty(t, n.takeUnknownSources(), "connections of unknown source: no cut would hold for them")
	})
	return n
}

// update changes the state of links and wakes the connections that wait for a change.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// setCutOneWay cuts or restores the links from one endpoint to each of the others.
func (n *network) setCutOneWay(cut bool, from string, to ...string) {
	n.update(func() {
		for _, other := range to {
			n.cut[link{from, other}] = cut
		}
	})
}

// setCut cuts or restores both directions between one endpoint and each of the others.
func (n *network) setCut(cut bool, a string, others ...string) {
	n.setCutOneWay(cut, a, others...)
	for _, b := range others {
		n.setCutOneWay(cut, b, a)
	}
}

// cutLinks returns the links that are cut.
func (n *network) cutLinks() []link {
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

// setDelay sets the delay of a link.
func (n *network) setDelay(from, to string, delay time.Duration) {
	n.update(func() { n.delay[link{from, to}] = delay })
}

// waitToForward waits until the link is not cut, applies its delay and returns true, or false
// once the test has ended.
func (n *network) waitToForward(l link) bool {
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

func (n *network) addCarried(l link, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carried[l] += bytes
}

// traffic returns the bytes forwarded on each link from or to an endpoint, and the number of
// reads that cuts have held back on these links.
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

// registerNode returns a unique source address for a node, which must open all its
// connections from that address.
func (n *network) registerNode(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.names) + 1
	address := fmt.Sprintf("127.1.%d.%d", i/250, i%250+1)
	n.names[address] = name
	return address
}

// maxUnknownSources bounds the list of unknown source addresses.
const maxUnknownSources = 10

// sourceNode returns the node with a source address. It records an unknown source address.
func (n *network) sourceNode(addr net.Addr) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	name, ok := n.names[addr.(*net.TCPAddr).IP.String()]
	if !ok && len(n.unknownSources) < maxUnknownSources {
		n.unknownSources = append(n.unknownSources, addr.String())
	}
	return name, ok
}

// takeUnknownSources returns the unknown source addresses recorded so far and clears them.
func (n *network) takeUnknownSources() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	found := n.unknownSources
	n.unknownSources = nil
	return found
}

// proxy is the listener in front of one endpoint. Connections wait until its target is set.
type proxy struct {
	net    *network
	name   string
	ln     net.Listener
	ready  chan struct{}
	target string
}

func (n *network) newProxy(t *testing.T, name string) *proxy {
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

func (p *proxy) setTarget(target string) {
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
	source, ok := p.net.sourceNode(client.RemoteAddr())
	if !ok {
		return // its links could not be cut
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	relay.Pipe(client, server, p.net.throttle(link{source, p.name}), p.net.throttle(link{p.name, source}))
}

// throttle returns a Throttle that forwards bytes when the link allows, and counts them.
func (n *network) throttle(l link) relay.Throttle {
	return func(bytes int) bool {
		if !n.waitToForward(l) {
			return false
		}
		if bytes > 0 {
			n.addCarried(l, bytes)
		}
		return true
	}
}

// Guards against forwarding data of a connection with an unknown source address, to which no
// cut would apply.
func TestConnectionFromUnknownSourceIsClosed(t *testing.T) {
	n := newNetwork(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = upstream.Close() })
	p := n.newProxy(t, "store")
	p.setTarget(upstream.Addr().String())
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
	require.Len(t, n.takeUnknownSources(), 1, "the test would fail")
	go func() {
		if c, err := upstream.Accept(); err == nil {
			_, _ = c.Write([]byte("y")) // fails only when the test has ended
		}
	}()
	count, err := dial(n.registerNode("node"))
	require.NoError(t, err)
	require.Equal(t, 1, count)
}

// Guards against connections of a node, to the store, to workers or to peers, to which cuts
// do not apply.
func TestCutAppliesToEveryConnection(t *testing.T) {
	c := newCluster(t, 3)
	owner := c.waitOwner("north.0", -1)
	c.waitAllDone(c.submitOrders("before", 3, 2, 100))
	p := c.node(owner)
	everything := append(append(c.others(owner), "store"), c.workers()...)
	c.network.setCut(true, p.name, everything...)
	c.network.update(func() { c.network.carried = map[link]int{} })
	c.waitOwner("north.0", owner)
	c.waitAllDone(c.submitOrders("during", 3, 2, 100))
	carried, held := c.network.traffic(p.name)
	require.Empty(t, carried, "bytes over cut links")
	require.NotZero(t, held, "the node tried none of its links")
	others, _ := c.network.traffic("store")
	require.NotEmpty(t, others)
	c.network.setCut(false, p.name, everything...)
	c.wait("the node that was cut off is ready", p.ready)
	c.requireNoViolations()
}
