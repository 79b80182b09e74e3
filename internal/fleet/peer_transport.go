package fleet

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/vanillapier/vanillapier/internal/membership"
)

// peerDialTimeout bounds the time to connect to a peer.
const peerDialTimeout = 400 * time.Millisecond

// peerTransport implements Peers with the JSON-RPC connections of package membership. It
// disables gossip: nodes learn the leaders from the store and call no other nodes.
type peerTransport struct {
	service *membership.Service
	ln      net.Listener
}

// NewPeers listens on cfg.PeerAddr and returns the transport between nodes.
func NewPeers(cfg Config) (Peers, error) {
	dial := cfg.Link.Dialer((&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext)
	s, err := membership.New(membership.Config{
		Node: cfg.Node, Addr: cfg.PeerAddr, DataCentre: cfg.DataCentre, Plaintext: true, ManualGossip: true,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) },
		Log:  cfg.Log, Metrics: cfg.Metrics,
	})
	if err != nil {
		return nil, err
	}
	ln, err := s.Listen()
	if err != nil {
		return nil, err
	}
	return &peerTransport{s, cfg.Link.Listener(ln)}, nil
}

// Handle implements Peers.
func (l *peerTransport) Handle(method string, h func(context.Context, json.RawMessage) (any, error)) {
	l.service.Handle(method, h)
}

// Call implements Peers.
func (l *peerTransport) Call(ctx context.Context, addr, method string, params, result any) error {
	return l.service.Call(ctx, addr, method, params, result)
}

// Run implements Peers.
func (l *peerTransport) Run(ctx context.Context) error { return l.service.Run(ctx, l.ln) }
