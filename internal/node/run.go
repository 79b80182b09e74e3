package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
)

// errStopped ends the group after a graceful stop, errAborted without one.
var (
	errStopped = errors.New("graceful stop")
	errAborted = errors.New("aborted")
)

// Abort ends the node at once: connections are cut, nothing is released. It
// serves trials of how the other nodes take a sudden end.
func (n *Node) Abort() {
	n.abortOnce.Do(func() { close(n.aborted) })
}

// runGroup runs the actors until one fails or ctx ends. The lifecycle actor
// performs the graceful stop while all others still run, and only then ends the
// group.
func (n *Node) runGroup(ctx context.Context) error {
	var g run.Group
	n.addServer(&g, n.callers, n.callerLn)
	n.addServer(&g, n.admin, n.adminLn)
	n.addLoop(&g, func(ctx context.Context) error { return n.peers.Run(ctx, n.peerLn) })
	n.addLoop(&g, n.control.Run)
	n.addLoop(&g, n.owners.Run)
	n.addLoop(&g, func(ctx context.Context) error { return n.hosts.Run(ctx, n.settings.HostsEvery) })
	n.addLoop(&g, n.controlLoop)
	n.addLoop(&g, n.epochLoop)
	n.addLoop(&g, n.outageLoop)
	n.addLoop(&g, n.removalLoop)
	n.addLoop(&g, n.lendingLoop)
	n.addLoop(&g, n.sweepLoop)
	n.addLoop(&g, func(actor context.Context) error {
		select {
		case <-actor.Done():
			return nil
		case <-n.aborted:
			return errAborted
		case <-ctx.Done():
		}
		n.stop()
		return errStopped
	})
	if err := g.Run(); !errors.Is(err, errStopped) {
		return err
	}
	return nil
}

// addLoop adds an actor that ends with its context.
func (n *Node) addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// finalShutdown bounds the closing of idle connections at the very end.
const finalShutdown = 2 * time.Second

func (n *Node) addServer(g *run.Group, s *http.Server, ln net.Listener) {
	g.Add(func() error { return serve(s, ln) }, func(err error) {
		if errors.Is(err, errAborted) {
			_ = s.Close() // cutting connections is what an abort is for
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), finalShutdown)
		defer cancel()
		shutdown(ctx, s)
	})
}

// stop performs the graceful stop: readiness off, the load balancer's notice,
// requests in flight, slot shares, cells, membership.
func (n *Node) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.stopping.Store(true)
	n.log.Info("graceful stop begins")
	if err := n.chain.Drain(ctx); err != nil {
		n.log.WithError(err).Error("requests were still in flight at the end of the stop timeout")
	}
	n.leaveShares(ctx)
	if err := n.releaseCells(ctx); err != nil {
		n.log.WithError(err).Warn("not everything was released; leases run out instead")
	}
	n.peers.Leave(ctx)
	n.log.Info("graceful stop ends")
}

// sharesIdle is the wait between two looks at the slots of a leaving node.
const sharesIdle = 50 * time.Millisecond

// leaveShares gives the node's slots up and tells a peer, so that the others need
// not wait for them to rest. Slots that are lent come back by their leases.
func (n *Node) leaveShares(ctx context.Context) {
	n.shares.Leave()
	for !n.shares.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sharesIdle):
		}
	}
	n.peers.GossipOnce(ctx)
}

// releaseCells asks the control goroutine to release the cells and to end the
// membership. Without a join there is nothing to release.
func (n *Node) releaseCells(ctx context.Context) error {
	if !n.joined.Load() {
		return nil
	}
	done := make(chan error, 1)
	select {
	case n.commands <- command{release: &releaseCommand{ctx: ctx, done: done}}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
