package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
)

// errStopped ends the actors after a graceful stop, errAborted after Abort.
var (
	errStopped = errors.New("graceful stop")
	errAborted = errors.New("aborted")
)

// Abort ends the node at once: it closes all connections and releases nothing. Package dev
// uses it to simulate a crash.
func (n *Node) Abort() {
	n.abortOnce.Do(func() { close(n.aborted) })
}

// runGroup runs the actors until one fails, the node is aborted or ctx ends. In the last case
// the lifecycle actor performs the graceful stop while all other actors still run.
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

// serverShutdownTimeout limits the shutdown of an HTTP server after the graceful stop.
const serverShutdownTimeout = 2 * time.Second

func (n *Node) addServer(g *run.Group, s *http.Server, ln net.Listener) {
	g.Add(func() error { return serve(s, ln) }, func(err error) {
		if errors.Is(err, errAborted) {
			_ = s.Close() // closes connections in use as well
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
		defer cancel()
		shutdown(ctx, s)
	})
}

// stop performs the graceful stop. It reports not ready, waits until the load balancer has
// noticed and requests in flight have finished, then gives up slot shares, cells and
// membership.
func (n *Node) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.stopping.Store(true)
	n.log.Info("graceful stop started")
	if err := n.chain.Drain(ctx); err != nil {
		n.log.WithError(err).Error("stop timeout reached with requests in flight")
	}
	n.releaseShares(ctx)
	if err := n.releaseCells(ctx); err != nil {
		n.log.WithError(err).Warn("failed to release cells or membership; leases will expire")
	}
	n.peers.Leave(ctx)
	n.log.Info("graceful stop finished")
}

// sharesPollInterval is the interval of checks whether a stopping node still uses or lends
// slots.
const sharesPollInterval = 50 * time.Millisecond

// releaseShares gives up the node's slots, waits until none is in use or lent, and reports that
// to a peer, so that the other members can use the slots without a delay.
func (n *Node) releaseShares(ctx context.Context) {
	n.shares.Leave()
	for !n.shares.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sharesPollInterval):
		}
	}
	n.peers.GossipOnce(ctx)
}

// releaseCells asks the control goroutine to release the cells and to end the membership. If
// the node has not joined, there is nothing to release.
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
