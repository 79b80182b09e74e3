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

// methodFetch is the RPC method that returns entries of the control journal.
const methodFetch = "control.fetch"

// fetchParams request the control entries from a sequence on.
type fetchParams struct {
	From uint64 `json:"from"`
}

// fetchReply holds control entries and how long ago the sender's view was confirmed, in
// milliseconds.
type fetchReply struct {
	Entries      []control.Entry `json:"entries"`
	ConfirmedAge int64           `json:"age_ms"`
}

const (
	// maxFetchEntries limits the entries of one reply.
	maxFetchEntries = 64
	// fetchTimeout limits a whole fetch. The fallback is the periodic read of the store.
	fetchTimeout = time.Second
)

// fetchControl reads missing control entries from a peer that has a later view. If the peer no
// longer has them, the periodic read of the store provides them.
func (n *Node) fetchControl(addr string) {
	if !n.fetchMu.TryLock() {
		return
	}
	go func() {
		defer n.fetchMu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		for {
			start, from := time.Now(), n.control.View().Sequence+1
			var reply fetchReply
			if err := n.peers.Call(ctx, addr, methodFetch, fetchParams{From: from}, &reply); err != nil || len(reply.Entries) == 0 {
				return
			}
			age := time.Since(start) + time.Duration(reply.ConfirmedAge)*time.Millisecond
			if err := n.control.Merge(reply.Entries, age); err != nil {
				n.log.WithError(err).Warn("rejected control entries of a peer")
				return
			}
		}
	}()
}

func (n *Node) handleFetch(_ context.Context, p fetchParams) (any, error) {
	view := n.control.View()
	return fetchReply{
		Entries:      n.control.EntriesFrom(p.From, maxFetchEntries),
		ConfirmedAge: confirmedAge(view, time.Now()).Milliseconds(),
	}, nil
}

// handleSubmit stores a job durably in an owned cell.
func (n *Node) handleSubmit(ctx context.Context, p owner.SubmitParams) (any, error) {
	local, err := n.ownedCell(p.Cell)
	if err != nil {
		return nil, err
	}
	return struct{}{}, local.Submit(ctx, p.Job)
}

func (n *Node) handleCancel(ctx context.Context, p owner.JobParams) (any, error) {
	local, err := n.ownedCell(p.Cell)
	if err != nil {
		return nil, err
	}
	return struct{}{}, local.Cancel(ctx, p.Job)
}

func (n *Node) handleJobStatus(ctx context.Context, p owner.JobParams) (any, error) {
	local, err := n.ownedCell(p.Cell)
	if err != nil {
		return nil, err
	}
	return local.Status(ctx, p.Job)
}

func (n *Node) handleTransfer(ctx context.Context, p owner.TransferParams) (any, error) {
	local, err := n.ownedCell(p.Cell)
	if err != nil {
		return nil, err
	}
	return struct{}{}, local.AcceptTransfer(ctx, p.In)
}

// ownedCell returns the runtime of an owned cell. The KindUnavailable error otherwise tells the
// peer that nothing was done.
func (n *Node) ownedCell(id model.CellID) (*owner.Runtime, error) {
	if runtime, ok := n.cells.Local(id); ok {
		return runtime, nil
	}
	return nil, model.Errorf(model.KindUnavailable, "retry; the owner has changed", "this node does not run cell %s", id)
}

// buildPeers creates the peer service and registers the node's RPC methods.
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

// members returns the members of the current view.
func (n *Node) members() []control.Member {
	return slices.Collect(maps.Values(n.control.View().Members))
}

// suspects returns the members that are suspected to have failed. Each call copies the list of
// peers, so a function that checks several members should call it once.
func (n *Node) suspects() map[model.NodeID]bool {
	out := map[model.NodeID]bool{}
	for _, p := range n.peers.Peers() {
		if p.Suspect {
			out[p.Node] = true
		}
	}
	return out
}

// peerTable holds the control view that each peer last reported. Operators see it in the
// node's status.
type peerTable struct {
	mu   sync.Mutex
	last map[model.NodeID]peerReport
}

type peerReport struct {
	sequence    uint64
	confirmedAt time.Time
}

func newPeerTable() *peerTable { return &peerTable{last: map[model.NodeID]peerReport{}} }

func (t *peerTable) set(id model.NodeID, sequence uint64, confirmedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[id] = peerReport{sequence, confirmedAt}
}

// retain deletes the reports of peers that are not in members.
func (t *peerTable) retain(members map[model.NodeID]control.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.last {
		if _, ok := members[id]; !ok {
			delete(t.last, id)
		}
	}
}

func (t *peerTable) list() []adminapi.PeerStatus {
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
