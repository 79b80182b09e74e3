package membership

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/model"
)

// network connects services in one process and can block connections between pairs of them.
type network struct {
	t        *testing.T
	mu       sync.Mutex
	now      time.Time
	blocked  map[[2]string]bool // from, to
	conns    map[[2]string][]net.Conn
	members  []control.Member
	services []*Service
}

func newNetwork(t *testing.T) *network {
	return &network{t: t, now: time.Unix(1_000_000, 0), blocked: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}}
}

func (n *network) time() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.now
}

// start runs a service on loopback that uses the network's clock. It gossips only in
// gossipRounds.
func (n *network) start(id string, listen string, edit func(*Config)) *Service {
	n.t.Helper()
	ln, err := net.Listen("tcp", listen)
	require.NoError(n.t, err)
	addr := ln.Addr().String()
	cfg := Config{
		Node: model.NodeID(id), Addr: addr, Incarnation: 1, Plaintext: true, Seed: uint64(len(id)) + uint64(id[len(id)-1]),
		Now: n.time, ManualGossip: true, CallTimeout: time.Minute, SuspectAfter: 5 * time.Second,
		Members: func() []control.Member {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.members
		},
		Dial: func(ctx context.Context, to string) (net.Conn, error) { return n.dial(ctx, addr, to) },
	}
	if edit != nil {
		edit(&cfg)
	}
	s, err := New(cfg)
	require.NoError(n.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, ln) }()
	n.t.Cleanup(func() { cancel(); require.NoError(n.t, <-done) })
	n.services = append(n.services, s)
	return s
}

func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	pair := [2]string{from, to}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked[pair] {
		return nil, errors.New("cut")
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err == nil {
		n.conns[pair] = append(n.conns[pair], c)
	}
	return c, err
}

func (n *network) setBlocked(from, to *Service, cut bool) {
	pair := [2]string{from.addr, to.addr}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[pair] = cut
	for _, c := range n.conns[pair] {
		_ = c.Close()
	}
	delete(n.conns, pair)
}

func (n *network) join(s *Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = append(n.members, control.Member{ID: s.cfg.Node, Addr: s.addr})
}

// gossipRounds advances the clock by one gossip interval per round and lets each service gossip
// once in it.
func (n *network) gossipRounds(count int, services ...*Service) {
	for range count {
		n.mu.Lock()
		n.now = n.now.Add(DefaultGossipInterval)
		n.mu.Unlock()
		for _, s := range services {
			s.GossipOnce(n.t.Context())
		}
	}
}

func suspectIDs(s *Service) []string {
	var out []string
	for _, p := range s.Peers() {
		if p.Suspect {
			out = append(out, string(p.Node))
		}
	}
	return out
}

func newCluster(t *testing.T, size int) (*network, []*Service) {
	n := newNetwork(t)
	for i := range size {
		n.join(n.start(fmt.Sprintf("n%d", i), "127.0.0.1:0", nil))
	}
	return n, n.services
}

// Guards against a partition that is not detected, and against members that are removed by it or
// still suspected after it.
func TestPartitionAndRejoin(t *testing.T) {
	n, nodes := newCluster(t, 6)
	n.gossipRounds(20, nodes...)
	for _, s := range nodes {
		require.Empty(t, suspectIDs(s))
	}
	split := func(cut bool) {
		for i, a := range nodes {
			for j, b := range nodes {
				if (i < 3) != (j < 3) {
					n.setBlocked(a, b, cut)
				}
			}
		}
	}
	split(true)
	n.gossipRounds(20, nodes...)
	require.Equal(t, []string{"n3", "n4", "n5"}, suspectIDs(nodes[0]))
	require.Equal(t, []string{"n0", "n1", "n2"}, suspectIDs(nodes[5]))
	require.Len(t, nodes[0].Peers(), 5, "a member was removed")
	split(false)
	n.gossipRounds(20, nodes...)
	for _, s := range nodes {
		require.Empty(t, suspectIDs(s))
	}
}

// Guards against suspicion of a node that other peers can still reach, and against a failed node
// that is not suspected because the others gossip about it.
func TestAsymmetricPartitionAndNodeFailure(t *testing.T) {
	n, nodes := newCluster(t, 4)
	n.gossipRounds(10, nodes...)
	// Nodes 0 and 1 cannot connect to each other in either direction.
	n.setBlocked(nodes[0], nodes[1], true)
	n.setBlocked(nodes[1], nodes[0], true)
	n.gossipRounds(40, nodes...)
	require.Empty(t, suspectIDs(nodes[0]))
	for _, p := range nodes[0].Peers() {
		require.Equal(t, p.Node == "n1", n.now.Sub(p.LastDirect) > 15*time.Second, "%+v", p)
	}
	for _, s := range nodes[:3] {
		n.setBlocked(s, nodes[3], true)
	}
	n.gossipRounds(40, nodes[:3]...)
	for _, s := range nodes[:3] {
		require.Equal(t, []string{"n3"}, suspectIDs(s))
	}
}

// Guards against a new node that is mistaken for the former node at its address, and against
// accepting messages of a former process with the same node id.
func TestReplacedNodeAtSameAddress(t *testing.T) {
	n, nodes := newCluster(t, 2)
	old := nodes[1]
	n.gossipRounds(2, nodes...)
	n.mu.Lock()
	n.members[1] = control.Member{ID: "gone", Addr: old.addr}
	n.mu.Unlock()
	err := nodes[0].exchangeWith(t.Context(), target{"gone", old.addr})
	require.Equal(t, model.KindConflict, model.KindOf(err))
	n.gossipRounds(12, nodes[0])
	require.Contains(t, suspectIDs(nodes[0]), "gone")

	_, err = nodes[0].recordDirect(header{Node: "n1", Incarnation: 2, Addr: old.addr, State: StateLive, Heartbeat: 1})
	require.NoError(t, err)
	err = old.Call(t.Context(), nodes[0].addr, MethodExchange, old.message(""), nil)
	require.Equal(t, model.KindStale, model.KindOf(err))
}

// Guards against nodes that cannot join through a seed, and against leaves that peers do not
// notice.
func TestJoinBySeedAndLeave(t *testing.T) {
	n, nodes := newCluster(t, 2)
	var left atomic.Value
	nodes[0].cfg.OnLeave = func(id model.NodeID) { left.Store(id) }
	fresh := n.start("fresh", "127.0.0.1:0", func(c *Config) {
		c.Seeds = []string{nodes[0].addr}
		c.Members = func() []control.Member { return nil }
	})
	fresh.GossipOnce(t.Context())
	require.Equal(t, model.NodeID("n0"), fresh.Peers()[0].Node)
	require.Equal(t, model.NodeID("fresh"), nodes[0].Peers()[0].Node)
	require.False(t, nodes[0].Peers()[0].Member)
	fresh.Leave(t.Context())
	require.Equal(t, model.NodeID("fresh"), left.Load())
	require.Equal(t, StateLeaving, nodes[0].Peers()[0].State)
}

// Guards against errors that lose their kind between nodes, calls that are retried, and
// interrupted calls that are reported as not sent.
func TestCallErrors(t *testing.T) {
	n, nodes := newCluster(t, 2)
	a, b := nodes[0], nodes[1]
	var calls atomic.Int32
	b.Handle("test.fail", func(context.Context, json.RawMessage) (any, error) {
		return nil, model.Wrap(model.KindFenced, errors.New("cause"), "stop", "epoch %d", 3)
	})
	b.Handle("test.echo", func(_ context.Context, p json.RawMessage) (any, error) { return p, nil })
	b.Handle("test.cut", func(context.Context, json.RawMessage) (any, error) {
		calls.Add(1)
		n.setBlocked(a, b, false)
		return nil, nil
	})
	hold := make(chan struct{})
	b.Handle("test.hang", func(ctx context.Context, _ json.RawMessage) (any, error) {
		select {
		case <-hold:
		case <-ctx.Done():
		}
		return nil, nil
	})
	defer close(hold)

	err := a.Call(t.Context(), b.addr, "test.fail", 1, nil)
	require.Equal(t, model.KindFenced, model.KindOf(err))
	require.Equal(t, "epoch 3: cause (remedy: stop)", err.Error())
	var out []int
	require.NoError(t, a.Call(t.Context(), b.addr, "test.echo", []int{1, 2}, &out))
	require.Equal(t, []int{1, 2}, out)
	require.Equal(t, model.KindInvalid, model.KindOf(a.Call(t.Context(), b.addr, "test.none", 1, nil)))
	require.Equal(t, model.KindUnknown, model.KindOf(a.Call(t.Context(), b.addr, "test.cut", 1, nil)))
	require.Equal(t, int32(1), calls.Load())
	big := strings.Repeat("x", DefaultMessageLimit)
	require.Equal(t, model.KindInvalid, model.KindOf(a.Call(t.Context(), b.addr, "test.echo", big, nil)))

	require.NoError(t, a.Call(t.Context(), b.addr, "test.echo", 1, nil))
	first := a.link(b.addr).rpc
	for range maxConsecutiveTimeouts {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		require.Equal(t, model.KindUnknown, model.KindOf(a.Call(ctx, b.addr, "test.hang", 1, nil)))
		cancel()
	}
	require.NoError(t, a.Call(t.Context(), b.addr, "test.echo", 1, nil))
	require.NotSame(t, first, a.link(b.addr).rpc, "a silent connection stayed in use")

	last := a.link(b.addr).rpc
	n.setBlocked(a, b, true)
	<-last.DisconnectNotify()
	require.Equal(t, model.KindUnavailable, model.KindOf(a.Call(t.Context(), b.addr, "test.echo", 1, nil)))
}

// Guards against an unlimited number of concurrent requests from a peer.
func TestHandlersAreBounded(t *testing.T) {
	n, nodes := newCluster(t, 1)
	busy := n.start("busy", "127.0.0.1:0", func(c *Config) { c.Handlers = 1 })
	entered, hold := make(chan struct{}), make(chan struct{})
	busy.Handle("test.hang", func(context.Context, json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-hold
		return nil, nil
	})
	first := make(chan error, 1)
	go func() { first <- nodes[0].Call(t.Context(), busy.addr, "test.hang", 1, nil) }()
	<-entered
	err := nodes[0].Call(t.Context(), busy.addr, "test.hang", 1, nil)
	require.Equal(t, model.KindExhausted, model.KindOf(err))
	close(hold)
	require.NoError(t, <-first)
}

// Guards against a crash or excessive memory use caused by messages of a peer that are
// malformed, too large or of the wrong type.
func TestMalformedMessages(t *testing.T) {
	n, nodes := newCluster(t, 1)
	s := nodes[0]
	frame := func(body string) []byte { return append(binary.AppendUvarint(nil, uint64(len(body))), body...) }
	for name, data := range map[string][]byte{
		"not json":     frame("{"),
		"null":         frame("null"),
		"batch":        frame(`[{"jsonrpc":"2.0","method":"gossip.exchange","id":1}]`),
		"neither":      frame("{}"),
		"oversize":     binary.AppendUvarint(nil, 1<<40),
		"bad varint":   {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"deep nesting": frame(strings.Repeat("[", 20000)),
	} {
		c, err := net.Dial("tcp", s.addr)
		require.NoError(t, err)
		_, err = c.Write(data)
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1)) // the node closes the connection
		require.Error(t, err, name)
		require.NoError(t, c.Close())
	}
	other := n.start("other", "127.0.0.1:0", nil)
	for _, params := range []string{`null`, `1`, `{}`, `{"from":{"node":"x"},"beats":[[1]]}`, `{"from":{"node":"x","inc":-1}}`} {
		err := other.Call(t.Context(), s.addr, MethodExchange, json.RawMessage(params), nil)
		require.Equal(t, model.KindInvalid, model.KindOf(err), params)
	}
	require.NoError(t, other.exchangeWith(t.Context(), target{s.cfg.Node, s.addr}))
}

// Guards against exchange messages that exceed their limit because of the number of members or a
// large digest.
func TestExchangeStaysBelowLimit(t *testing.T) {
	for _, size := range []int{0, 8, 130, 400} {
		for _, digest := range []int{0, 300, 5000} {
			s := newServiceWithPeers(t, size, digest)
			for range 20 {
				m := s.message("node-0000000001")
				data, err := json.Marshal(m)
				require.NoError(t, err)
				require.LessOrEqual(t, len(data), DefaultDigestLimit)
				require.Equal(t, digest == 300, len(m.Digest) > 0)
				require.GreaterOrEqual(t, len(m.Heartbeats), min(size, 7))
			}
		}
	}
}

// newServiceWithPeers returns a service that knows size peers and has a digest of digest bytes.
func newServiceWithPeers(t testing.TB, size, digest int) *Service {
	s, err := New(Config{Node: "node-0123456789", Addr: "10.123.123.123:7443", DataCentre: "kzn-greytown", Plaintext: true, Seed: 1,
		Digest: func(int) json.RawMessage {
			if digest == 0 {
				return nil
			}
			return json.RawMessage(`"` + strings.Repeat("d", digest-2) + `"`)
		}})
	require.NoError(t, err)
	for i := range size {
		_, err := s.recordDirect(header{Node: model.NodeID(fmt.Sprintf("node-%010d", i)), Incarnation: 1_760_000_000, Heartbeat: 1_000_000})
		require.NoError(t, err)
	}
	return s
}
