package membership

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/telemetry"
)

// Methods that the service handles itself.
const (
	// MethodExchange exchanges digests.
	MethodExchange = "gossip.exchange"
	// MethodLeave announces that the sender leaves.
	MethodLeave = "member.leave"
)

// handshakeTimeout limits the TLS handshake of an inbound connection.
const handshakeTimeout = 5 * time.Second

type metrics struct {
	sent, received, protocolErrors prometheus.Counter
	exchanges                      *prometheus.CounterVec
}

func newMetrics(m *telemetry.Metrics) metrics {
	const subsystem = "membership"
	bytes := m.Counter(subsystem, "bytes_total", "Bytes exchanged with peers, with TLS.", "direction")
	return metrics{
		sent: bytes.WithLabelValues("sent"), received: bytes.WithLabelValues("received"),
		protocolErrors: m.Counter(subsystem, "protocol_errors_total", "Malformed or oversize messages.").WithLabelValues(),
		exchanges:      m.Counter(subsystem, "exchanges_total", "Gossip exchanges begun by this node.", "result"),
	}
}

// Service handles the communication of this node with its peers. All methods are safe for
// concurrent use.
type Service struct {
	cfg          Config
	keys         *keyStore // nil for plaintext
	metrics      metrics
	handlerSlots chan struct{}
	// baseCtx ends with Run. background waits for connections and handlers.
	baseCtx    context.Context
	stop       context.CancelFunc
	background sync.WaitGroup

	mu                sync.Mutex
	rng               *rand.Rand
	handlers          map[string]Handler
	links             map[string]*link
	conns             map[*jsonrpc2.Conn]struct{}
	inbound           int
	closed            bool
	leaving           bool
	heartbeatSequence uint64
	peers             map[model.NodeID]*peer
	peerList          []*peer // the values of peers in random order
	addr              string
}

// New returns a service that does not listen yet. KindInvalid means that the TLS files cannot be
// used.
func New(cfg Config) (*Service, error) {
	cfg.provision()
	s := &Service{
		cfg: cfg, metrics: newMetrics(cfg.Metrics), handlerSlots: make(chan struct{}, cfg.Handlers),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		handlers: map[string]Handler{}, links: map[string]*link{},
		conns: map[*jsonrpc2.Conn]struct{}{}, peers: map[model.NodeID]*peer{}, addr: cfg.Addr,
	}
	s.baseCtx, s.stop = context.WithCancel(context.Background())
	if !cfg.Plaintext {
		keys, err := newKeyStore(cfg.TLS, cfg.Log)
		if err != nil {
			return nil, err
		}
		s.keys = keys
	}
	s.Handle(MethodExchange, s.handleExchange)
	s.Handle(MethodLeave, s.handleLeave)
	return s, nil
}

// rpcHandler implements jsonrpc2.Handler for the service.
type rpcHandler struct{ s *Service }

// Handle implements jsonrpc2.Handler.
func (h rpcHandler) Handle(_ context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.s.serve(c, req)
}

// Listen opens the listener for Run at the configured address. KindInvalid means that the
// address cannot be used.
func (s *Service) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return nil, model.Wrap(model.KindInvalid, err, "choose a free address in the settings", "listen on %s", s.cfg.Listen)
	}
	return ln, nil
}

// Run serves peers on ln and gossips until ctx ends. Then it closes ln and all connections.
func (s *Service) Run(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	gossip := make(chan struct{})
	go func() {
		defer close(gossip)
		s.gossipLoop(ctx)
	}()
	err := s.accept(ctx, ln)
	<-gossip
	s.close()
	return err
}

func (s *Service) accept(ctx context.Context, ln net.Listener) error {
	for {
		c, err := ln.Accept()
		switch {
		case ctx.Err() != nil:
			if c != nil {
				_ = c.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return model.Wrap(model.KindUnavailable, err, "restart the node", "peer listener")
		case err != nil:
			// For example too many open files. Other connections may end in the meantime.
			s.cfg.Log.WithError(err).Warn("failed to accept a peer connection")
			time.Sleep(s.cfg.GossipInterval)
			continue
		}
		if !s.admitConn() {
			_ = c.Close()
			continue
		}
		go s.serveConn(c)
	}
}

func (s *Service) admitConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inbound >= s.cfg.Connections {
		return false
	}
	s.inbound++
	return true
}

// serveConn serves one inbound connection until it ends.
func (s *Service) serveConn(c net.Conn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inbound--
	}()
	raw := c
	c = conn{c, s}
	if s.keys != nil {
		secure := tls.Server(c, s.keys.server())
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			s.metrics.protocolErrors.Inc()
			_ = raw.Close()
			return
		}
		c = secure
	}
	rpc, err := s.startRPC(c)
	if err != nil {
		return
	}
	<-rpc.DisconnectNotify()
}

func (s *Service) close() {
	s.mu.Lock()
	s.closed = true
	s.stop()
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // fails if the connection is already closed
	}
	s.background.Wait()
}

func (s *Service) gossipLoop(ctx context.Context) {
	t := time.NewTicker(s.cfg.GossipInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if !s.cfg.ManualGossip {
				s.GossipOnce(ctx)
			}
		}
	}
}

// Leave notifies some members that this node is leaving, so that they stop using it before the
// leave record reaches them. Later exchanges contain the same state.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	targets := s.targets()
	s.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, t := range targets[:min(len(targets), maxLeaveNotices)] {
		wg.Go(func() {
			if err := s.Call(ctx, t.addr, MethodLeave, s.header(), nil); err != nil {
				s.cfg.Log.WithError(err).Debug("failed to announce the leave")
			}
		})
	}
	wg.Wait()
}

func (s *Service) handleLeave(_ context.Context, params json.RawMessage) (any, error) {
	var from header
	if err := json.Unmarshal(params, &from); err != nil || from.Node == "" {
		return nil, model.Errorf(model.KindInvalid, "send the node's header", "leave without node")
	}
	from.State = StateLeaving
	if _, err := s.recordDirect(from); err != nil {
		return nil, err
	}
	return true, nil
}
