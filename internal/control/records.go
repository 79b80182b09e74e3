package control

import "github.com/vanillapier/vanillapier/internal/model"

// Record is one entry of the control journal. Exactly one of the pointer fields is set.
type Record struct {
	// Actor is the authenticated operator or the node that appended the record.
	Actor string `json:"actor" cbor:"1,keyasint"`
	// At is the time of the append in Unix milliseconds, for reports only.
	At int64 `json:"at" cbor:"2,keyasint"`
	// RequestID is chosen by the client and identifies retries of the same command.
	RequestID string `json:"request_id,omitempty" cbor:"3,keyasint,omitempty"`

	Proposed      *DeclarationProposed `json:"proposed,omitempty" cbor:"4,keyasint,omitempty"`
	Accepted      *DeclarationAccepted `json:"accepted,omitempty" cbor:"5,keyasint,omitempty"`
	Rejected      *DeclarationRejected `json:"rejected,omitempty" cbor:"6,keyasint,omitempty"`
	DataCentreOut *DataCentreOut       `json:"data_centre_out,omitempty" cbor:"7,keyasint,omitempty"`
	DataCentreIn  *DataCentreIn        `json:"data_centre_in,omitempty" cbor:"8,keyasint,omitempty"`
	MemberJoined  *MemberJoined        `json:"member_joined,omitempty" cbor:"9,keyasint,omitempty"`
	MemberLeft    *MemberLeft          `json:"member_left,omitempty" cbor:"10,keyasint,omitempty"`
}

// DeclarationProposed proposes a declaration for acceptance.
type DeclarationProposed struct {
	Digest string `json:"digest" cbor:"1,keyasint"`
	// Text is the declaration's text. It is empty when the text is larger than 64 KiB; the
	// text is then stored in the object store under declarations/<TextSHA256>.
	Text string `json:"text,omitempty" cbor:"2,keyasint,omitempty"`
	// Base is the digest of the accepted declaration that the proposal is based on.
	Base string `json:"base,omitempty" cbor:"3,keyasint,omitempty"`
	Note string `json:"note,omitempty" cbor:"4,keyasint,omitempty"`
	// TextSHA256 is the hexadecimal SHA-256 of a text in the object store. Digest cannot
	// identify the text, because texts that differ only in comments have the same digest.
	TextSHA256 string `json:"text_sha256,omitempty" cbor:"5,keyasint,omitempty"`
}

// DeclarationAccepted makes a proposal the accepted declaration.
type DeclarationAccepted struct {
	Digest string `json:"digest" cbor:"1,keyasint"`
	// Proposal is the control sequence of the proposal.
	Proposal uint64 `json:"proposal" cbor:"2,keyasint"`
}

// DeclarationRejected rejects a proposal.
type DeclarationRejected struct {
	Digest   string `json:"digest" cbor:"1,keyasint"`
	Proposal uint64 `json:"proposal" cbor:"2,keyasint"`
	Reason   string `json:"reason" cbor:"3,keyasint"`
}

// DataCentreOut takes a data centre out of service.
type DataCentreOut struct {
	DataCentre model.DataCentre `json:"data_centre" cbor:"1,keyasint"`
	Reason     string           `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
}

// DataCentreIn returns a data centre to service.
type DataCentreIn struct {
	DataCentre model.DataCentre `json:"data_centre" cbor:"1,keyasint"`
}

// MemberJoined adds a node to the members.
type MemberJoined struct {
	Member Member `json:"member" cbor:"1,keyasint"`
}

// MemberLeft removes a node from the members after a graceful stop, or when the host list
// no longer contains its host.
type MemberLeft struct {
	Node   model.NodeID `json:"node" cbor:"1,keyasint"`
	Reason string       `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
}
