package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/external"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Status describes this node for operators. It implements adminapi.Status.
func (n *Node) Status(context.Context) (adminapi.NodeStatus, error) {
	view := n.control.View()
	status := adminapi.NodeStatus{
		Node: n.id, DataCentre: model.DataCentre(n.settings.DataCentre), Version: Version,
		Sequence: view.Sequence, Digest: view.Digest,
		ConfirmedAgeMS: confirmedAge(view, time.Now()).Milliseconds(),
		Peers:          n.peerReports.list(),
	}
	for id := range n.cells.Epochs() {
		status.OwnedCells = append(status.OwnedCells, id)
	}
	slices.Sort(status.OwnedCells)
	status.DataCentres = n.dataCentres(view)
	return status, nil
}

// methodNodeStatus is the RPC method that returns a node's status.
const methodNodeStatus = "node.status"

// Cluster returns the status of all members and lists those that could not be reached. It
// implements adminapi.Cluster.
func (n *Node) Cluster(ctx context.Context) (adminapi.ClusterStatus, error) {
	own, err := n.Status(ctx)
	if err != nil {
		return adminapi.ClusterStatus{}, err
	}
	out := adminapi.ClusterStatus{Nodes: []adminapi.NodeStatus{own}}
	var mu sync.Mutex
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	callMembers(call, n.control.View().Members, n.id, func(ctx context.Context, m control.Member) bool {
		var status adminapi.NodeStatus
		err := n.peers.Call(ctx, m.Addr, methodNodeStatus, struct{}{}, &status)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.Unreachable = append(out.Unreachable, fmt.Sprintf("member %s: %v", m.ID, err))
			return false
		}
		out.Nodes = append(out.Nodes, status)
		return true
	})
	return out, nil
}

func (n *Node) handleNodeStatus(ctx context.Context, _ json.RawMessage) (any, error) {
	return n.Status(ctx)
}

// dataCentres returns the status of each data centre, with the cells of this node there and
// their live attempts.
func (n *Node) dataCentres(view *control.View) []adminapi.DataCentreStatus {
	if view.Declaration == nil {
		return nil
	}
	runners := map[model.DataCentre]int{}
	for _, h := range n.hosts.Hosts() {
		if h.Role == external.RoleRunner && h.State == external.HostLive {
			runners[h.DataCentre]++
		}
	}
	reports := n.cells.Reports()
	var out []adminapi.DataCentreStatus
	for _, dc := range view.Declaration.DataCentres {
		s := adminapi.DataCentreStatus{Name: dc.Name, Out: view.IsOut(dc.Name), Services: runners[dc.Name]}
		for _, r := range reports {
			if r.Summary.DataCentre == dc.Name {
				s.Cells++
				s.LiveAttempts += r.Live
			}
		}
		out = append(out, s)
	}
	return out
}
