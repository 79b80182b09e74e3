package adminapi

import (
	"github.com/vanillapier/vanillapier/internal/control"
	"github.com/vanillapier/vanillapier/internal/declaration"
	"github.com/vanillapier/vanillapier/internal/model"
)

// Command holds the fields that all commands share.
type Command struct {
	// RequestID is chosen by the client, 8 to 64 letters, digits and hyphens.
	// A retry of a command carries the same id.
	RequestID string `json:"request_id"`
	// SeenSequence is the control sequence on which the operator's decision is based.
	SeenSequence uint64 `json:"seen"`
}

// ProposeRequest submits a declaration for review.
type ProposeRequest struct {
	Command
	Text string `json:"text"`
	Note string `json:"note,omitempty"`
}

// AcceptRequest makes a proposal the accepted declaration.
type AcceptRequest struct {
	Command
	// Proposal is the control sequence of the proposal.
	Proposal uint64 `json:"proposal"`
	// Digest is the digest that was reviewed. When it is set, it must be the
	// proposal's.
	Digest string `json:"digest,omitempty"`
}

// RejectRequest rejects a proposal.
type RejectRequest struct {
	Command
	Proposal uint64 `json:"proposal"`
	Reason   string `json:"reason"`
}

// DataCentreRequest takes a data centre out of service or returns it; the name
// is in the path.
type DataCentreRequest struct {
	Command
	// Reason is recorded when the data centre is taken out.
	Reason string `json:"reason,omitempty"`
}

// CommandReply is the result of a command that took effect.
type CommandReply struct {
	// Sequence is the control sequence of the command's record.
	Sequence uint64 `json:"sequence"`
	// Digest is the digest of the declaration that the command refers to, if any.
	Digest string `json:"digest,omitempty"`
	// Actor is the operator as authenticated.
	Actor string `json:"actor"`
	// Repeated is true when the journal already had the record of this request id.
	Repeated bool `json:"repeated,omitempty"`
	// Changes lists the differences between a proposal and the accepted declaration.
	Changes []declaration.Change `json:"changes,omitempty"`
}

// ViewReply is a node's view of the control journal.
type ViewReply struct {
	Sequence         uint64 `json:"sequence"`
	ConfirmedAgeMS   int64  `json:"confirmed_age_ms"`
	AcceptedSequence uint64 `json:"accepted_sequence"`
	Digest           string `json:"digest"`
	// Declaration is the accepted declaration with defaults filled in, or nil.
	Declaration *declaration.Declaration `json:"declaration"`
	// Out maps each data centre that is out of service to the sequence of its record.
	Out map[model.DataCentre]uint64 `json:"out"`
	// Members lists the nodes by id.
	Members []control.Member `json:"members"`
}

// NodeStatus is the state of a node.
type NodeStatus struct {
	Node       model.NodeID     `json:"node"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Version is the build's version.
	Version string `json:"version"`
	// Sequence and Digest are those of the applied view.
	Sequence uint64 `json:"sequence"`
	Digest   string `json:"digest"`
	// ConfirmedAgeMS is the time since the view was last confirmed, in milliseconds.
	ConfirmedAgeMS int64 `json:"confirmed_age_ms"`
	// OwnedCells lists the cells that this node owns.
	OwnedCells []model.CellID `json:"owned_cells"`
	// DataCentres has one entry for each declared data centre.
	DataCentres []DataCentreStatus `json:"data_centres"`
	// Peers holds the latest state received from each other member.
	Peers []PeerStatus `json:"peers"`
}

// ClusterStatus holds the states of all nodes that responded to the queried node.
type ClusterStatus struct {
	Nodes []NodeStatus `json:"nodes"`
	// Unreachable lists the members that did not respond, with the reason.
	Unreachable []string `json:"unreachable,omitempty"`
}

// DataCentreStatus is the part of a data centre that one node owns. The counts cover
// the node's own cells only, so that those of all nodes can be added up.
type DataCentreStatus struct {
	Name model.DataCentre `json:"name"`
	// Out is true when the data centre is out of service in the node's view.
	Out bool `json:"out"`
	// Cells is the number of the data centre's cells that this node owns.
	Cells int `json:"cells"`
	// LiveAttempts is the number of attempts that run or may still run there.
	LiveAttempts int `json:"live_attempts"`
	// Services is the number of runners there that this node sends requests to.
	Services int `json:"services"`
}

// PeerStatus is the latest state that a node received from a peer.
type PeerStatus struct {
	Node           model.NodeID `json:"node"`
	Sequence       uint64       `json:"sequence"`
	ConfirmedAgeMS int64        `json:"confirmed_age_ms"`
}

// HistoryReply holds entries of the control journal in order.
type HistoryReply struct {
	Entries []control.Entry `json:"entries"`
	// Next is the sequence of the next page, or 0 at the end.
	Next uint64 `json:"next,omitempty"`
}

// ErrorReply is the body of every response that is not 200.
type ErrorReply struct {
	Kind    model.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy"`
	// Winner is the conflicting record that was appended first, if any.
	Winner *control.Entry `json:"winner,omitempty"`
	// ValidationErrors lists the validation errors of a declaration.
	ValidationErrors declaration.ValidationErrors `json:"faults,omitempty"`
}
