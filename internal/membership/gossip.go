package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vanillapier/vanillapier/internal/model"
)

// State is the state that a node reports of itself.
type State string

const (
	// StateLive is a node in service.
	StateLive State = "live"
	// StateLeaving is a node that is about to leave.
	StateLeaving State = "leaving"
)

// Peer is the information that this node has about another node.
type Peer struct {
	Node        model.NodeID
	Incarnation uint64
	Addr        string
	DataCentre  model.DataCentre
	State       State
	// Member is true if the node is a member in the control view.
	Member bool
	// LastDirect is the time of the last message from the node, LastIndirect the time when a
	// new heartbeat of it last arrived through another peer. Zero means never.
	LastDirect   time.Time
	LastIndirect time.Time
	// Suspect is true if neither happened for the suspicion time.
	Suspect bool
	// ExchangeStart is the local time at which this node began the exchange. Ages in the
	// digest are counted from it. It is set for Config.Merge only, and zero if the peer began
	// the exchange, because the network delay is then unknown.
	ExchangeStart time.Time
}

// peer is a Peer with internal state.
type peer struct {
	Peer
	heartbeatSequence uint64
	firstSeen         time.Time // when the peer was added
}

// lastHeard returns when news of the peer last arrived, or when the peer was added.
func (p *peer) lastHeard() time.Time {
	at := p.firstSeen
	if p.LastDirect.After(at) {
		at = p.LastDirect
	}
	if p.LastIndirect.After(at) {
		at = p.LastIndirect
	}
	return at
}

// header describes the sender of a message.
type header struct {
	Node        model.NodeID     `json:"node"`
	Incarnation uint64           `json:"inc"`
	Addr        string           `json:"addr"`
	DataCentre  model.DataCentre `json:"dc,omitempty"`
	State       State            `json:"state"`
	Heartbeat   uint64           `json:"beat"`
}

// heartbeat shows that a node was alive: a node increases the sequence with each exchange that
// it begins. Ages are not used instead, because they lack the network delay of each hop: gossip
// among the other nodes would keep a failed node alive.
type heartbeat struct {
	node        model.NodeID
	incarnation uint64
	sequence    uint64
}

// MarshalJSON encodes the heartbeat as an array, which is shorter than an object.
func (b heartbeat) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]any{b.node, b.incarnation, b.sequence})
}

// UnmarshalJSON decodes the format of MarshalJSON.
func (b *heartbeat) UnmarshalJSON(data []byte) error {
	fields := [3]any{&b.node, &b.incarnation, &b.sequence}
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if len(list) != len(fields) {
		return fmt.Errorf("heartbeat of %d fields", len(list))
	}
	for i, f := range fields {
		if err := json.Unmarshal(list[i], f); err != nil {
			return err
		}
	}
	return nil
}

// exchange is both the request and the reply of MethodExchange.
type exchange struct {
	// To is the node that the sender expects at the address. It is empty for a seed.
	To         model.NodeID    `json:"to,omitempty"`
	From       header          `json:"from"`
	Heartbeats []heartbeat     `json:"beats,omitempty"`
	Digest     json.RawMessage `json:"digest,omitempty"`
}

// Sizes in bytes that determine how many heartbeats fit into an exchange message.
const (
	heartbeatBytes = 40
	envelopeBytes  = 40
)

// target is an address to gossip with. node is empty for a seed.
type target struct {
	node model.NodeID
	addr string
}

// targets returns the other members of the view, or the seeds if there are none. The caller
// holds s.mu.
func (s *Service) targets() []target {
	var out []target
	seen := map[string]bool{s.addr: true}
	for _, m := range s.cfg.Members() {
		if m.ID != s.cfg.Node && !seen[m.Addr] {
			seen[m.Addr] = true
			out = append(out, target{m.ID, m.Addr})
		}
	}
	if len(out) > 0 {
		return out // seeds are needed only until the view has other members
	}
	for _, addr := range s.cfg.Seeds {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, target{addr: addr})
		}
	}
	return out
}

// GossipOnce exchanges digests with one random member. Run calls it periodically unless
// ManualGossip is set.
func (s *Service) GossipOnce(ctx context.Context) {
	s.mu.Lock()
	s.heartbeatSequence++
	s.syncMembers()
	targets := s.targets()
	if len(targets) == 0 {
		s.mu.Unlock()
		return
	}
	t := targets[s.rng.IntN(len(targets))]
	s.mu.Unlock()
	err := s.exchangeWith(ctx, t)
	result := "ok"
	if err != nil {
		result = string(model.KindOf(err))
	}
	s.metrics.exchanges.WithLabelValues(result).Inc()
}

func (s *Service) exchangeWith(ctx context.Context, t target) error {
	var answer exchange
	start := s.cfg.Now()
	err := s.Call(ctx, t.addr, MethodExchange, s.message(t.node), &answer)
	if err != nil {
		return err
	}
	if t.node != "" && answer.From.Node != t.node {
		return replacedError(t.addr, answer.From.Node, t.node)
	}
	return s.merge(answer, start)
}

func replacedError(addr string, found, expected model.NodeID) error {
	return model.Errorf(model.KindConflict, "wait for the leave record of the former node",
		"node %s answers at %s instead of %s", found, addr, expected)
}

// handleExchange handles an exchange that a peer began.
func (s *Service) handleExchange(_ context.Context, params json.RawMessage) (any, error) {
	var in exchange
	if err := json.Unmarshal(params, &in); err != nil || in.From.Node == "" {
		return nil, model.Errorf(model.KindInvalid, "run compatible versions", "malformed exchange")
	}
	if in.To != "" && in.To != s.cfg.Node {
		return nil, replacedError(s.addr, s.cfg.Node, in.To)
	}
	if err := s.merge(in, time.Time{}); err != nil {
		return nil, err
	}
	return s.message(in.From.Node), nil
}

func (s *Service) header() header {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := StateLive
	if s.leaving {
		state = StateLeaving
	}
	return header{s.cfg.Node, s.cfg.Incarnation, s.addr, s.cfg.DataCentre, state, s.heartbeatSequence}
}

// message returns an exchange message within the digest limit. It contains this node's state
// and as many heartbeats of random peers as fit.
func (s *Service) message(to model.NodeID) exchange {
	m := exchange{To: to, From: s.header()}
	fixed, err := json.Marshal(m)
	if err != nil {
		return m
	}
	room := s.cfg.DigestLimit - len(fixed) - envelopeBytes
	m.Digest = s.cfg.Digest(room)
	if len(m.Digest) > room {
		s.cfg.Log.WithField("bytes", len(m.Digest)).Warn("digest exceeds its limit; omitted from the exchange")
		m.Digest = nil
	}
	m.Heartbeats = s.sampleHeartbeats((room - len(m.Digest)) / heartbeatBytes)
	return m
}

// sampleHeartbeats returns the heartbeats of up to limit random peers. It skips suspected peers,
// whose heartbeats are old. The shuffle stops when there are enough.
func (s *Service) sampleHeartbeats(limit int) []heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := s.cfg.Now().Add(-s.suspectAfter())
	limit = min(limit, maxHeartbeats)
	var out []heartbeat
	for i := 0; i < len(s.peerList) && len(out) < limit; i++ {
		j := i + s.rng.IntN(len(s.peerList)-i)
		s.peerList[i], s.peerList[j] = s.peerList[j], s.peerList[i]
		if p := s.peerList[i]; p.Incarnation > 0 && p.lastHeard().After(cutoff) {
			out = append(out, heartbeat{p.Node, p.Incarnation, p.heartbeatSequence})
		}
	}
	return out
}

// merge applies an exchange message of a peer. start is when this node began the exchange, or
// zero if the peer began it.
func (s *Service) merge(in exchange, start time.Time) error {
	from, err := s.recordDirect(in.From)
	if err != nil {
		return err
	}
	s.mu.Lock()
	now := s.cfg.Now()
	for _, b := range in.Heartbeats {
		s.recordIndirect(now, b)
	}
	s.mu.Unlock()
	if len(in.Digest) > 0 {
		from.ExchangeStart = start
		s.cfg.Merge(from, in.Digest)
	}
	return nil
}

// recordDirect records a message from a peer. KindStale means that the message is from an
// earlier process with the same node id.
func (s *Service) recordDirect(h header) (Peer, error) {
	s.mu.Lock()
	now := s.cfg.Now()
	p := s.getOrAddPeer(now, h.Node)
	if h.Incarnation < p.Incarnation {
		s.mu.Unlock()
		return Peer{}, model.Errorf(model.KindStale, "stop the former process", "node %s has a newer incarnation", h.Node)
	}
	if h.Incarnation > p.Incarnation {
		p.heartbeatSequence = 0
	}
	left := h.State == StateLeaving && p.State != StateLeaving
	p.Incarnation, p.Addr, p.DataCentre, p.State = h.Incarnation, h.Addr, h.DataCentre, h.State
	p.heartbeatSequence, p.LastDirect = max(p.heartbeatSequence, h.Heartbeat), now
	out := p.Peer
	s.mu.Unlock()
	if left {
		s.cfg.OnLeave(h.Node)
	}
	return out, nil
}

// recordIndirect records a heartbeat that arrived through another peer. The caller holds s.mu.
func (s *Service) recordIndirect(now time.Time, b heartbeat) {
	if b.node == s.cfg.Node {
		return
	}
	p := s.peers[b.node]
	if p == nil || b.incarnation < p.Incarnation {
		return // nodes outside the view are added only when they send a message themselves
	}
	if b.incarnation > p.Incarnation || b.sequence > p.heartbeatSequence {
		p.Incarnation, p.heartbeatSequence, p.LastIndirect = b.incarnation, b.sequence, now
	}
}

// getOrAddPeer returns the peer with the given id. The caller holds s.mu.
func (s *Service) getOrAddPeer(now time.Time, id model.NodeID) *peer {
	p := s.peers[id]
	if p == nil {
		p = &peer{Peer: Peer{Node: id, State: StateLive}, firstSeen: now}
		s.peers[id] = p
		s.peerList = append(s.peerList, p)
	}
	return p
}

// syncMembers updates the peers from the members of the view, and deletes silent peers that are
// not members. The caller holds s.mu.
func (s *Service) syncMembers() {
	now := s.cfg.Now()
	members := map[model.NodeID]bool{}
	addrs := map[string]bool{s.addr: true}
	for _, m := range s.cfg.Members() {
		if m.ID == s.cfg.Node {
			continue
		}
		members[m.ID], addrs[m.Addr] = true, true
		p := s.getOrAddPeer(now, m.ID)
		p.Addr, p.DataCentre, p.Member = m.Addr, m.DataCentre, true
	}
	cutoff := now.Add(-s.suspectAfter())
	s.peerList = slices.DeleteFunc(s.peerList, func(p *peer) bool {
		p.Member = members[p.Node]
		gone := !p.Member && p.lastHeard().Before(cutoff)
		if gone {
			delete(s.peers, p.Node)
		}
		return gone
	})
	s.closeIdleLinks(addrs)
}

// closeIdleLinks closes idle connections to addresses that are not in members.
func (s *Service) closeIdleLinks(members map[string]bool) {
	for addr, l := range s.links {
		if !members[addr] && l.idle(linkIdleTimeout) {
			l.close()
			delete(s.links, addr)
		}
	}
}

// maxMissedRefreshes is how many times in a row the expected news of a member must be missing
// before it is suspected.
const maxMissedRefreshes = 3

// suspectAfter returns the silence after which a member is suspected. In each gossip interval a
// node takes part in about two exchanges: one that it begins and one that a peer begins. Each
// brings news of the peer itself and of up to maxHeartbeats others. The caller holds s.mu.
func (s *Service) suspectAfter() time.Duration {
	refresh := s.cfg.GossipInterval * time.Duration(len(s.peers)) / (2 * (1 + maxHeartbeats))
	return max(s.cfg.SuspectAfter, maxMissedRefreshes*refresh)
}

// Peers returns the known other nodes in order of node id.
func (s *Service) Peers() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, limit := s.cfg.Now(), s.suspectAfter()
	out := make([]Peer, 0, len(s.peers))
	for _, p := range s.peers {
		view := p.Peer
		view.Suspect = now.Sub(p.lastHeard()) > limit
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return out
}
