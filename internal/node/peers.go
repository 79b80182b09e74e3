package node

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/membership"
	"github.com/vanillapier/vanillapier/internal/model"
	"github.com/vanillapier/vanillapier/internal/owner"
)

// methodFetch returns rows of the control journal.
const methodFetch = "control.fetch"

// fetchParams ask for control entries from a sequence.
type fetchParams struct {
	From uint64 `json:"from"`
}

// fetchReply holds control entries and the age of their confirmation.
type fetchReply struct {
	Entries      []control.Entry `json:"entries"`
	ConfirmedAge int64           `json:"age_ms"`
}

const (
	// fetchLimit bounds the entries of one reply.
	fetchLimit = 64
	// fetchTimeout bounds one fetch; after it the store is read instead.
	fetchTimeout = time.Second
)

// fetchControl reads missing control entries from a peer that is ahead. When the
// peer no longer has them, the store's own check brings them.
func (n *Node) fetchControl(addr string) {
	if !n.fetching.TryLock() {
		return
	}
	go func() {
		defer n.fetching.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		for {
			begun, from := time.Now(), n.control.View().Sequence+1
			var reply fetchReply
			if err := n.peers.Call(ctx, addr, methodFetch, fetchParams{From: from}, &reply); err != nil || len(reply.Entries) == 0 {
				return
			}
			age := time.Since(begun) + time.Duration(reply.ConfirmedAge)*time.Millisecond
			if err := n.control.Merge(reply.Entries, age); err != nil {
				n.log.WithError(err).Warn("control entries of a peer refused")
				return
			}
		}
	}()
}

func (n *Node) handleFetch(_ context.Context, p fetchParams) (any, error) {
	view := n.control.View()
	return fetchReply{
		Entries:      n.control.EntriesFrom(p.From, fetchLimit),
		ConfirmedAge: confirmedAge(view, time.Now()).Milliseconds(),
	}, nil
}

// handleSubmit makes a job durable in an owned cell.
func (n *Node) handleSubmit(ctx context.Context, p owner.SubmitParams) (any, error) {
	local, err := n.local(p.Cell)
	if err != nil {
		return nil, err
	}
	return struct{}{}, local.Submit(ctx, p.Job)
}

func (n *Node) handleCancel(ctx context.Context, p owner.JobParams) (any, error) {
	local, err := n.local(p.Cell)
	if err != nil {
		return nil, err
	}
	return struct{}{}, local.Cancel(ctx, p.Job)
}

func (n *Node) handleJobStatus(ctx context.Context, p owner.JobParams) (any, error) {
	local, err := n.local(p.Cell)
	if err != nil {
		return nil, err
	}
	return local.Status(ctx, p.Job)
}

func (n *Node) handleTransfer(ctx context.Context, p owner.TransferParams) (any, error) {
	local, err := n.local(p.Cell)
	if err != nil {
		return nil, err
	}
	return struct{}{}, local.AcceptTransfer(ctx, p.In)
}

// local returns the runtime of an owned cell. The refusal proves to the peer
// that nothing happened.
func (n *Node) local(id model.CellID) (*owner.Runtime, error) {
	if runtime, ok := n.cells.Local(id); ok {
		return runtime, nil
	}
	return nil, model.Errorf(model.KindUnavailable, "retry; the owner has changed", "this node does not run cell %s", id)
}

// buildPeers creates the peer service and registers the methods of this node.
func (n *Node) buildPeers() error {
	s := n.settings
	peers, err := membership.New(membership.Config{
		Node: n.id, Addr: s.Advertise, DataCentre: model.DataCentre(s.DataCentre), Listen: s.PeerBind,
		TLS:       membership.TLSFiles{Cert: s.PeerCert, Key: s.PeerKey, CA: s.PeerCA},
		Plaintext: s.PeerPlaintext, Seeds: s.SeedList(),
		Members: n.members, Digest: n.localDigest, Merge: n.mergeDigest,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer(s.Source, 0).DialContext(ctx, "tcp", addr)
		},
		Seed: n.seed, Log: n.log, Metrics: n.metrics,
	})
	if err != nil {
		return err
	}
	n.peers = peers
	for method, handler := range map[string]membership.Handler{
		methodFetch: membership.Typed(n.handleFetch), methodLearn: membership.Typed(n.handleLearn), methodState: membership.Typed(n.handleState),
		methodTail: membership.Typed(n.handleTail), methodNodeStatus: n.handleNodeStatus, methodLend: membership.Typed(n.handleLend), methodReturn: membership.Typed(n.handleReturn),
		owner.MethodSubmit: membership.Typed(n.handleSubmit), owner.MethodCancel: membership.Typed(n.handleCancel),
		owner.MethodStatus: membership.Typed(n.handleJobStatus), owner.MethodTransfer: membership.Typed(n.handleTransfer),
	} {
		peers.Handle(method, handler)
	}
	return nil
}

// members lists the members of the current view.
func (n *Node) members() []control.Member {
	return slices.Collect(maps.Values(n.control.View().Members))
}

// suspects returns the members that have been silent for the suspicion time. A
// caller that looks at several members asks once, as each call copies the peers.
func (n *Node) suspects() map[model.NodeID]bool {
	out := map[model.NodeID]bool{}
	for _, p := range n.peers.Peers() {
		if p.Suspect {
			out[p.Node] = true
		}
	}
	return out
}

// heardTable holds what each peer last reported, for operators.
type heardTable struct {
	mu   sync.Mutex
	last map[model.NodeID]heardPeer
}

type heardPeer struct {
	sequence    uint64
	confirmedAt time.Time
}

func newHeardTable() *heardTable { return &heardTable{last: map[model.NodeID]heardPeer{}} }

func (t *heardTable) set(id model.NodeID, sequence uint64, confirmedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[id] = heardPeer{sequence, confirmedAt}
}

// keep forgets peers that are no longer members.
func (t *heardTable) keep(members map[model.NodeID]control.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.last {
		if _, ok := members[id]; !ok {
			delete(t.last, id)
		}
	}
}

func (t *heardTable) list() []adminapi.PeerStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	out := make([]adminapi.PeerStatus, 0, len(t.last))
	for id, p := range t.last {
		out = append(out, adminapi.PeerStatus{Node: id, Sequence: p.sequence, ConfirmedAgeMS: now.Sub(p.confirmedAt).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b adminapi.PeerStatus) int { return cmp.Compare(a.Node, b.Node) })
	return out
}
