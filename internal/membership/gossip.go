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

// State is what a node says about itself.
type State string

const (
	// StateLive is a node in service.
	StateLive State = "live"
	// StateLeaving is a node that is about to leave.
	StateLeaving State = "leaving"
)

// Peer is what this node knows about another one.
type Peer struct {
	Node        model.NodeID
	Incarnation uint64
	Addr        string
	DataCentre  model.DataCentre
	State       State
	// Member is true when the control view names the node.
	Member bool
	// LastDirect and LastIndirect are when the node was last heard of in an
	// exchange with it, and through another peer; zero means never.
	LastDirect   time.Time
	LastIndirect time.Time
	// Suspect is true when neither happened for the suspicion time.
	Suspect bool
	// Begun is set for Config.Merge: the local time at which this node began the
	// exchange, so that ages in the digest can be counted from there. It is zero
	// when the peer began it, because the time under way is unknown then.
	Begun time.Time
}

// peer is the state behind Peer.
type peer struct {
	Peer
	beat  uint64
	known time.Time // when this node first knew of it
}

// heard returns when the peer was last heard of, or first known.
func (p *peer) heard() time.Time {
	at := p.known
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
	Beat        uint64           `json:"beat"`
}

// beat tells that a node was alive: it raises the number with each exchange that
// it begins. Ages would not do, because each hop would make them younger by the
// time under way, and a dead node would live on in the gossip of the others.
type beat struct {
	node        model.NodeID
	incarnation uint64
	number      uint64
}

// MarshalJSON writes a short array.
func (b beat) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]any{b.node, b.incarnation, b.number})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (b *beat) UnmarshalJSON(data []byte) error {
	fields := [3]any{&b.node, &b.incarnation, &b.number}
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if len(list) != len(fields) {
		return fmt.Errorf("beat of %d fields", len(list))
	}
	for i, f := range fields {
		if err := json.Unmarshal(list[i], f); err != nil {
			return err
		}
	}
	return nil
}

// exchange is both the request and the answer of MethodExchange.
type exchange struct {
	// To is the node that the sender expects at the address; empty for a seed.
	To     model.NodeID    `json:"to,omitempty"`
	From   header          `json:"from"`
	Beats  []beat          `json:"beats,omitempty"`
	Digest json.RawMessage `json:"digest,omitempty"`
}

// Sizes that decide how many beats fit into an exchange, in bytes.
const (
	beatSize     = 40
	envelopeSize = 40
)

// target is an address to gossip with. node is empty for a seed.
type target struct {
	node model.NodeID
	addr string
}

// targets returns the other members of the view, or without any the seeds. The
// caller holds the lock.
func (s *Service) targets() []target {
	var out []target
	taken := map[string]bool{s.addr: true}
	for _, m := range s.cfg.Members() {
		if m.ID != s.cfg.Node && !taken[m.Addr] {
			taken[m.Addr] = true
			out = append(out, target{m.ID, m.Addr})
		}
	}
	if len(out) > 0 {
		return out // seeds serve to join; the view has taken their place
	}
	for _, addr := range s.cfg.Seeds {
		if !taken[addr] {
			taken[addr] = true
			out = append(out, target{addr: addr})
		}
	}
	return out
}

// GossipOnce exchanges digests with one random member. Run calls it regularly.
func (s *Service) GossipOnce(ctx context.Context) {
	s.mu.Lock()
	s.beat++
	s.observeMembers()
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
	begun := s.cfg.Now()
	err := s.Call(ctx, t.addr, MethodExchange, s.message(t.node), &answer)
	if err != nil {
		return err
	}
	if t.node != "" && answer.From.Node != t.node {
		return replacedError(t.addr, answer.From.Node, t.node)
	}
	return s.merge(answer, begun)
}

func replacedError(addr string, found, expected model.NodeID) error {
	return model.Errorf(model.KindConflict, "wait for the leave record of the former node",
		"node %s answers at %s instead of %s", found, addr, expected)
}

// handleExchange answers an exchange that a peer began.
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
	return header{s.cfg.Node, s.cfg.Incarnation, s.addr, s.cfg.DataCentre, state, s.beat}
}

// message builds an exchange within the digest limit: the own state first, then
// as many beats of others as fit, chosen at random.
func (s *Service) message(to model.NodeID) exchange {
	m := exchange{To: to, From: s.header()}
	fixed, err := json.Marshal(m)
	if err != nil {
		return m
	}
	room := s.cfg.DigestLimit - len(fixed) - envelopeSize
	m.Digest = s.cfg.Digest(room)
	if len(m.Digest) > room {
		s.cfg.Log.WithField("bytes", len(m.Digest)).Warn("digest exceeds its limit and is left out")
		m.Digest = nil
	}
	m.Beats = s.sampleBeats((room - len(m.Digest)) / beatSize)
	return m
}

// sampleBeats returns beats of random peers that are not suspect; those of
// suspects are no news. It shuffles only as far as it needs.
func (s *Service) sampleBeats(limit int) []beat {
	s.mu.Lock()
	defer s.mu.Unlock()
	horizon := s.cfg.Now().Add(-s.suspectAfter())
	limit = min(limit, maxBeats)
	var out []beat
	for i := 0; i < len(s.order) && len(out) < limit; i++ {
		j := i + s.rng.IntN(len(s.order)-i)
		s.order[i], s.order[j] = s.order[j], s.order[i]
		if p := s.order[i]; p.Incarnation > 0 && p.heard().After(horizon) {
			out = append(out, beat{p.Node, p.Incarnation, p.beat})
		}
	}
	return out
}

// merge takes an exchange of a peer. begun is zero when the peer began it.
func (s *Service) merge(in exchange, begun time.Time) error {
	from, err := s.contact(in.From)
	if err != nil {
		return err
	}
	s.mu.Lock()
	now := s.cfg.Now()
	for _, b := range in.Beats {
		s.indirect(now, b)
	}
	s.mu.Unlock()
	if len(in.Digest) > 0 {
		from.Begun = begun
		s.cfg.Merge(from, in.Digest)
	}
	return nil
}

// contact records a direct contact. KindStale means that the message comes from
// an earlier process under the same node id.
func (s *Service) contact(h header) (Peer, error) {
	s.mu.Lock()
	now := s.cfg.Now()
	p := s.peer(now, h.Node)
	if h.Incarnation < p.Incarnation {
		s.mu.Unlock()
		return Peer{}, model.Errorf(model.KindStale, "stop the former process", "node %s has a newer incarnation", h.Node)
	}
	if h.Incarnation > p.Incarnation {
		p.beat = 0
	}
	left := h.State == StateLeaving && p.State != StateLeaving
	p.Incarnation, p.Addr, p.DataCentre, p.State = h.Incarnation, h.Addr, h.DataCentre, h.State
	p.beat, p.LastDirect = max(p.beat, h.Beat), now
	out := p.Peer
	s.mu.Unlock()
	if left {
		s.cfg.OnLeave(h.Node)
	}
	return out, nil
}

// indirect records news of a node through a peer.
func (s *Service) indirect(now time.Time, b beat) {
	if b.node == s.cfg.Node {
		return
	}
	p := s.peers[b.node]
	if p == nil || b.incarnation < p.Incarnation {
		return // a node outside the view is of interest only when it calls itself
	}
	if b.incarnation > p.Incarnation || b.number > p.beat {
		p.Incarnation, p.beat, p.LastIndirect = b.incarnation, b.number, now
	}
}

func (s *Service) peer(now time.Time, id model.NodeID) *peer {
	p := s.peers[id]
	if p == nil {
		p = &peer{Peer: Peer{Node: id, State: StateLive}, known: now}
		s.peers[id] = p
		s.order = append(s.order, p)
	}
	return p
}

// observeMembers takes the members of the view over, and forgets peers that are
// neither members nor heard of. The caller holds the lock.
func (s *Service) observeMembers() {
	now := s.cfg.Now()
	members := map[model.NodeID]bool{}
	addrs := map[string]bool{s.addr: true}
	for _, m := range s.cfg.Members() {
		if m.ID == s.cfg.Node {
			continue
		}
		members[m.ID], addrs[m.Addr] = true, true
		p := s.peer(now, m.ID)
		p.Addr, p.DataCentre, p.Member = m.Addr, m.DataCentre, true
	}
	horizon := now.Add(-s.suspectAfter())
	s.order = slices.DeleteFunc(s.order, func(p *peer) bool {
		p.Member = members[p.Node]
		gone := !p.Member && p.heard().Before(horizon)
		if gone {
			delete(s.peers, p.Node)
		}
		return gone
	})
	s.dropLinks(addrs)
}

// dropLinks closes connections that were not used for a while to addresses that
// belong to no member.
func (s *Service) dropLinks(members map[string]bool) {
	for addr, l := range s.links {
		if !members[addr] && l.idle(linkIdle) {
			l.close()
			delete(s.links, addr)
		}
	}
}

// refreshFactor is the number of expected refreshes that may fail to come before
// a member is suspect.
const refreshFactor = 3

// suspectAfter returns the silence that makes a member suspect. A node takes part
// in about four exchanges a second at two gossips a second, each with news of one
// node directly and of maxBeats others. The caller holds the lock.
func (s *Service) suspectAfter() time.Duration {
	refresh := s.cfg.GossipInterval * time.Duration(len(s.peers)) / (2 * (1 + maxBeats))
	return max(s.cfg.SuspectAfter, refreshFactor*refresh)
}

// Peers returns what is known about the other nodes, in order of node id.
func (s *Service) Peers() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, limit := s.cfg.Now(), s.suspectAfter()
	out := make([]Peer, 0, len(s.peers))
	for _, p := range s.peers {
		view := p.Peer
		view.Suspect = now.Sub(p.heard()) > limit
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return out
}
