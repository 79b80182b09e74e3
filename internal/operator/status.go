package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/vanillapier/vanillapier/internal/adminapi"
	"github.com/vanillapier/vanillapier/internal/model"
)

// systemStatus is the merged status of all nodes.
type systemStatus struct {
	// Sequence and Digest are the newest that any node has applied.
	Sequence uint64 `json:"sequence"`
	Digest   string `json:"digest"`
	// Nodes are the nodes that responded.
	Nodes []adminapi.NodeStatus `json:"nodes"`
	// Missing are the members that did not respond and that no responding node has
	// received a state from.
	Missing []model.NodeID `json:"missing,omitempty"`
	// Unreachable are the addresses that did not respond, with the reason.
	Unreachable []string `json:"unreachable,omitempty"`
	// DataCentres are the sums over all nodes for each data centre.
	DataCentres []dataCentreTotal `json:"data_centres"`
	// Members maps each member to its newest known sequence.
	Members map[model.NodeID]uint64 `json:"members"`
}

// dataCentreTotal is the sum over the nodes that responded.
type dataCentreTotal struct {
	adminapi.DataCentreStatus
	// DeclaredCells is the data centre's number of cells in the declaration.
	DeclaredCells int `json:"declared_cells"`
}

// collectStatus queries all nodes for their status and one node for its view.
func (p *Program) collectStatus(ctx context.Context) (systemStatus, error) {
	view, err := p.view(ctx)
	if err != nil {
		return systemStatus{}, err
	}
	statuses := make([]adminapi.ClusterStatus, len(p.client.nodes))
	errs := make([]error, len(p.client.nodes))
	var wg sync.WaitGroup
	for i, node := range p.client.nodes {
		wg.Go(func() { statuses[i], errs[i] = p.clusterStatus(ctx, node) })
	}
	wg.Wait()
	var answered []adminapi.NodeStatus
	var unreachable []string
	for i, err := range errs {
		if err != nil {
			unreachable = append(unreachable, fmt.Sprintf("%s: %v", p.client.nodes[i], err))
			continue
		}
		answered = append(answered, statuses[i].Nodes...)
		unreachable = append(unreachable, statuses[i].Unreachable...)
	}
	if len(answered) == 0 {
		return systemStatus{}, allNodesFailed(len(errs), errs[len(errs)-1])
	}
	s := mergeStatuses(view, answered)
	slices.Sort(unreachable)
	s.Unreachable = slices.Compact(unreachable)
	return s, nil
}

// clusterStatus queries a node for the states of all nodes, so that one address is
// enough. A node of an earlier version returns only its own state.
func (p *Program) clusterStatus(ctx context.Context, node string) (adminapi.ClusterStatus, error) {
	var all adminapi.ClusterStatus
	err := p.client.get(ctx, node, "status/all", &all)
	if !model.IsKind(err, model.KindNotFound) {
		return all, err
	}
	var own adminapi.NodeStatus
	err = p.client.get(ctx, node, "status", &own)
	return adminapi.ClusterStatus{Nodes: []adminapi.NodeStatus{own}}, err
}

// mergeStatuses merges the view and the responses. A node that responded at several
// addresses, such as behind a load balancer, counts once.
func mergeStatuses(view adminapi.ViewReply, answered []adminapi.NodeStatus) systemStatus {
	s := systemStatus{Sequence: view.Sequence, Digest: view.Digest, Members: map[model.NodeID]uint64{}}
	for _, member := range view.Members {
		s.Members[member.ID] = 0
	}
	for _, node := range answered {
		if slices.ContainsFunc(s.Nodes, func(n adminapi.NodeStatus) bool { return n.Node == node.Node }) {
			continue
		}
		s.Nodes = append(s.Nodes, node)
		if node.Sequence > s.Sequence {
			s.Sequence, s.Digest = node.Sequence, node.Digest
		}
		s.Members[node.Node] = max(s.Members[node.Node], node.Sequence)
		for _, peer := range node.Peers {
			if known, member := s.Members[peer.Node]; member {
				s.Members[peer.Node] = max(known, peer.Sequence)
			}
		}
	}
	slices.SortFunc(s.Nodes, func(a, b adminapi.NodeStatus) int { return cmp.Compare(a.Node, b.Node) })
	for id, sequence := range s.Members {
		if sequence == 0 {
			s.Missing = append(s.Missing, id)
		}
	}
	slices.Sort(s.Missing)
	s.DataCentres = sumDataCentres(view, s.Nodes)
	return s
}

// sumDataCentres returns the sums over the nodes for each data centre.
func sumDataCentres(view adminapi.ViewReply, nodes []adminapi.NodeStatus) []dataCentreTotal {
	if view.Declaration == nil {
		return nil
	}
	var out []dataCentreTotal
	for _, dc := range view.Declaration.DataCentres {
		_, isOut := view.Out[dc.Name]
		total := dataCentreTotal{DeclaredCells: dc.Cells}
		total.Name, total.Out = dc.Name, isOut
		for _, node := range nodes {
			for _, part := range node.DataCentres {
				if part.Name == dc.Name {
					total.Cells += part.Cells
					total.LiveAttempts += part.LiveAttempts
					// All nodes send to the same runners.
					total.Services = max(total.Services, part.Services)
				}
			}
		}
		out = append(out, total)
	}
	return out
}

// status runs vpier status.
func (p *Program) status(ctx context.Context, a *statusArgs) error {
	if !a.Wait && (a.DataCentre != "" || a.Sequence != 0) {
		return model.Errorf(model.KindInvalid, "add --wait", "--data-centre and --sequence only say what to wait for")
	}
	s, err := p.statusOrWait(ctx, a)
	if err != nil {
		return err
	}
	return p.print(s, func(w io.Writer) { writeStatus(w, s) })
}

// statusOrWait returns the status, with --wait after the condition holds.
func (p *Program) statusOrWait(ctx context.Context, a *statusArgs) (systemStatus, error) {
	switch {
	case !a.Wait:
		return p.collectStatus(ctx)
	case a.DataCentre != "":
		return p.waitUntilDrained(ctx, a.waitArgs, model.DataCentre(a.DataCentre))
	}
	return p.waitForSequence(ctx, a.waitArgs, a.Sequence)
}

// writeStatus writes a status as text.
func writeStatus(w io.Writer, s systemStatus) {
	digest := adminapi.ShortDigest(s.Digest)
	if digest == "" {
		digest = "none"
	}
	fmt.Fprintf(w, "sequence %d, declaration %s\n\n", s.Sequence, digest)
	rows := [][]string{{"NODE", "DATA CENTRE", "VERSION", "SEQUENCE", "DECLARATION", "CONFIRMED", "CELLS"}}
	for _, n := range s.Nodes {
		cells := make([]string, len(n.OwnedCells))
		for i, c := range n.OwnedCells {
			cells[i] = string(c)
		}
		rows = append(rows, []string{
			string(n.Node), string(n.DataCentre), n.Version, strconv.FormatUint(n.Sequence, 10),
			adminapi.ShortDigest(n.Digest), fmt.Sprintf("%d ms ago", n.ConfirmedAgeMS), strings.Join(cells, ","),
		})
	}
	table(w, rows)
	fmt.Fprintln(w)
	rows = [][]string{{"DATA CENTRE", "STATE", "CELLS", "LIVE ATTEMPTS", "SERVICES"}}
	for _, dc := range s.DataCentres {
		state := "in service"
		if dc.Out {
			state = "out of service"
		}
		rows = append(rows, []string{
			string(dc.Name), state, fmt.Sprintf("%d of %d", dc.Cells, dc.DeclaredCells), strconv.Itoa(dc.LiveAttempts), strconv.Itoa(dc.Services),
		})
	}
	table(w, rows)
	for _, id := range s.Missing {
		fmt.Fprintf(w, "member %s was not heard\n", id)
	}
	for _, line := range s.Unreachable {
		fmt.Fprintf(w, "no answer from %s\n", line)
	}
}
