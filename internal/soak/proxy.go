package soak

import (
	"cmp"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vanillapier/vanillapier/internal/relay"
)

// proxyMode is what a proxy does with the bytes of one direction.
type proxyMode int

const (
	// modeForward forwards bytes at once.
	modeForward proxyMode = iota
	// modeHold holds bytes back until the mode changes, as TCP does over a lost link.
	modeHold
	// modeDelay delays each read by linkDelay.
	modeDelay
)

// linkDelay is the delay of each read on a slow link, as between continents.
const linkDelay = 80 * time.Millisecond

// proxy forwards connections to a target and can impair each direction.
type proxy struct {
	ln   net.Listener
	link atomic.Pointer[hostLink] // which new connections share; nil if it is wide

	mu           sync.Mutex
	target       string
	requestMode  proxyMode
	responseMode proxyMode
	changed      chan struct{}
	conns        map[net.Conn]bool
	closed       bool
	holds        int // number of faults that hold both directions back
	silences     int // number of faults in which new connections are neither accepted nor refused
}

// freeAddress lets the system choose the port of a listener on loopback.
const freeAddress = "127.0.0.1:0"

// newProxy starts a proxy that listens on an address.
func newProxy(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// setTarget forwards connections from now on to another target and resets the present ones. No
// reset crosses a link that holds a direction back: there they end when the link is whole again.
func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	p.target = target
	held := p.holds > 0 || p.requestMode == modeHold || p.responseMode == modeHold
	p.mu.Unlock()
	if !held {
		p.reset()
	}
}

func (p *proxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// setModes sets the modes of both directions. It reports whether requests were held back that may
// arrive now.
func (p *proxy) setModes(requests, answers proxyMode) (released bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	released = p.requestMode == modeHold && requests != modeHold
	p.requestMode, p.responseMode = requests, answers
	close(p.changed)
	p.changed = make(chan struct{})
	return released
}

// hold holds both directions back, whatever their modes, or ends one such hold. Holds of faults that
// overlap end with the last of them.
func (p *proxy) hold(on bool) { p.count(&p.holds, on) }

// silence neither accepts nor refuses new connections, or ends one such silence. Present connections go on.
func (p *proxy) silence(on bool) { p.count(&p.silences, on) }

// count counts a fault that begins or ends. New connections wait while there is any.
func (p *proxy) count(faults *int, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		*faults++
		p.setQueue(0)
		return
	}
	*faults--
	if p.closed {
		return
	}
	if p.holds+p.silences == 0 {
		p.setQueue(listenerQueue)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// listenerQueue is the number of connections that wait to be accepted, as the system's default.
const listenerQueue = 4096

// setQueue sets the number of connections that wait to be accepted; the system drops further ones, as
// a cut link would.
func (p *proxy) setQueue(connections int) {
	listener, ok := p.ln.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the proxy is closed.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), connections) })
}

// awaitHolds waits until nothing holds the link or new connections back. Callers that try again and again would else use
// up the process's files.
func (p *proxy) awaitHolds() {
	for {
		p.mu.Lock()
		changed, wait := p.changed, p.holds+p.silences > 0 && !p.closed
		p.mu.Unlock()
		if !wait {
			return
		}
		<-changed
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // lets Close send a reset
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.closed = true
		close(p.changed)
	}
}

func (p *proxy) accept() {
	for {
		p.awaitHolds()
		c, err := p.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(pollInterval)
		default:
			go p.serve(c)
		}
	}
}

func (p *proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// track registers a connection, or closes it and removes it. It reports whether the proxy is
// open.
func (p *proxy) track(c net.Conn, open bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
		_ = c.Close()
	}
	return !p.closed
}

func (p *proxy) serve(client net.Conn) {
	defer p.track(client, false)
	if !p.track(client, true) {
		return
	}
	// A connection that is opened while the link is cut or the host is silent reaches the process that is
	// there at the end.
	p.awaitHolds()
	if !p.throttle(&p.requestMode) {
		return
	}
	server, err := net.Dial("tcp", p.currentTarget())
	if err != nil {
		return
	}
	defer p.track(server, false)
	if !p.track(server, true) {
		return
	}
	link := cmp.Or(p.link.Load(), &hostLink{})
	relay.Pipe(client, server,
		func(bytes int) bool { link.out.wait(bytes); return p.throttle(&p.requestMode) },
		func(bytes int) bool { link.in.wait(bytes); return p.throttle(&p.responseMode) })
}

// throttle waits until the mode allows forwarding and returns true, or false once the proxy
// is closed.
func (p *proxy) throttle(mode *proxyMode) bool {
	for {
		p.mu.Lock()
		m, changed, closed, held := *mode, p.changed, p.closed, p.holds > 0
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case held:
		case m == modeForward:
			return true
		case m == modeDelay:
			time.Sleep(linkDelay)
			return true
		}
		<-changed
	}
}
